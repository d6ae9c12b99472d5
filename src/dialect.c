#include "dialect.h"

#include "headers.h"
#include "platform/hosted.h"

#include <stddef.h>

static const header_names_t native_names = {
    .request_id = HEADER_REQUEST_ID,
    .deadline = HEADER_DEADLINE,
    .depth = HEADER_DEPTH,
    .trace = HEADER_TRACE,
    .ticket = HEADER_TICKET,
    .reason = HEADER_REASON,
    .run = HEADER_RUN,
    .final = HEADER_FINAL,
    .rate_limit = HEADER_RATE_LIMIT,
    .leaving = HEADER_LEAVING,
    .key = HEADER_KEY,
    .workspace = HEADER_WORKSPACE,
};

const header_names_t *
dialect_headers(dialect_t dialect)
{
	switch (dialect) {
	case DIALECT_HOSTED:
		return hosted_header_names();
	case DIALECT_NATIVE:
	default:
		return &native_names;
	}
}

const char *
dialect_readiness_path(dialect_t dialect)
{
	switch (dialect) {
	case DIALECT_HOSTED:
		return hosted_readiness_path();
	case DIALECT_NATIVE:
	default:
		return "/ready";
	}
}
