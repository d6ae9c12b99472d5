#include "reason.h"

typedef struct reason_row {
	const char *text;
	const char *meaning;
	int status;
} reason_row_t;

static const reason_row_t rows[REASON_COUNT] = {
#define REASON(symbol, text, status, meaning) {text, meaning, status},
#include "reason.def"
#undef REASON
};

static const reason_row_t *
reason_row(reason_t reason)
{
	return &rows[(unsigned)reason < REASON_COUNT ? reason : REASON_NONE];
}

const char *
reason_text(reason_t reason)
{
	return reason_row(reason)->text;
}

int
reason_status(reason_t reason)
{
	return reason_row(reason)->status;
}

const char *
reason_meaning(reason_t reason)
{
	return reason_row(reason)->meaning;
}

const char *
run_state_text(run_state_t run)
{
	switch (run) {
	case RUN_NO:
		return "no";
	case RUN_YES:
		return "yes";
	case RUN_UNKNOWN:
	default:
		return "unknown";
	}
}

bool
reason_is_overload(reason_t reason)
{
	switch (reason) {
	case REASON_QUEUE_FULL:
	case REASON_QUEUE_SHED:
	case REASON_TARGET_MISSED:
	case REASON_DEPENDENCY:
	case REASON_LINK_BUSY:
	case REASON_DEADLINE_TOO_SHORT:
	case REASON_DEADLINE_PASSED:
	case REASON_BACKEND_SHED:
	case REASON_STREAM_LIMIT:
		return true;
	default:
		return false;
	}
}
