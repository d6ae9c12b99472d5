/*
 * State of a commit machine, shared by the source files of commit.h.
 */
#ifndef MASTICPITCH_COMMIT_INTERNAL_H
#define MASTICPITCH_COMMIT_INTERNAL_H

#include "commit.h"

#define COMMIT_KEY_BYTES 48

typedef enum commit_step {
	STEP_START,
	STEP_READ,    /* read the head that the commit is based on */
	STEP_PARTS,   /* write the new parts */
	STEP_HEAD,    /* compare-and-swap the head */
	STEP_RESOLVE, /* after a conflict: read the head again to find the winner */
	STEP_LIST,    /* committed: list the stored parts to find orphans */
	STEP_DELETE,  /* committed: remove the orphans */
	STEP_FINISHED
} commit_step_t;

struct commit_machine {
	commit_kind_t kind;
	char preset_name[NAME_BYTES];
	char operator_name[NAME_BYTES];
	bool has_expected_version;
	uint64_t expected_version;
	uint64_t version_floor;
	uint64_t deadline;
	uint64_t wall_ms;
	bool clean;
	rng_t rng;
	commit_step_t step;
	uint64_t backoff;
	record_preset_t preset; /* as split from the request's text */
	record_parts_t parts;
	record_head_t *base; /* NULL: there is no head yet */
	uint64_t base_revision;
	record_head_t *head; /* the new one */
	uint64_t head_revision;
	bool in_doubt; /* the answer to a compare-and-swap was lost */
	buffer_t head_text;
	digest_t writes[RECORD_PARTS_MAX];
	size_t write_count;
	size_t written;
	record_stored_t *orphans;
	size_t orphan_count;
	size_t orphans_done;
	char key[COMMIT_KEY_BYTES];
	commit_result_t result;
};

/* Formats the message of the result. */
void commit_message_set(commit_machine_t *machine, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Checks a request and splits its preset. Errors: see commit_result_t. */
int commit_request_check(commit_machine_t *machine, const commit_request_t *request);
/* Applies the request to machine->head. Errors: see commit_result_t. */
int commit_head_change(commit_machine_t *machine);
/*
 * Sets the version of machine->head, adds its history entry and formats its text.
 * Errors: see commit_result_t.
 */
int commit_head_stamp(commit_machine_t *machine);

#endif
