#include "commit_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HEAD "head"
#define KEY_PARTS "part/"

static commit_action_t
finish(commit_machine_t *machine, int error)
{
	machine->step = STEP_FINISHED;
	machine->result.error = error;
	if (machine->result.message[0] == '\0')
		commit_message_set(machine, "%s", masticpitch_strerror(error));
	return (commit_action_t){.kind = COMMIT_ACTION_FINISH};
}

int
commit_machine_create(const commit_request_t *request, uint64_t seed, uint64_t wall_ms,
    uint64_t now, commit_machine_t **result)
{
	commit_machine_t *machine = calloc(1, sizeof(*machine));

	if (machine == NULL)
		return MASTICPITCH_E_NOMEM;
	machine->kind = request->kind;
	machine->has_expected_version = request->has_expected_version;
	machine->expected_version = request->expected_version;
	machine->version_floor = request->version_floor;
	machine->deadline = MIN_OF(request->deadline, now + COMMIT_DURATION_MAX_NS);
	machine->wall_ms = wall_ms;
	machine->clean = request->clean;
	machine->backoff = COMMIT_BACKOFF_MIN_NS;
	rng_init(&machine->rng, seed);
	record_parts_init(&machine->parts);
	buffer_init(&machine->head_text, RECORD_HEAD_MAX_BYTES);
	machine->result.error = commit_request_check(machine, request);
	*result = machine;
	return MASTICPITCH_OK;
}

void
commit_machine_destroy(commit_machine_t *machine)
{
	if (machine == NULL)
		return;
	record_parts_clear(&machine->parts);
	buffer_free(&machine->head_text);
	free(machine->base);
	free(machine->head);
	free(machine->orphans);
	free(machine);
}

const commit_result_t *
commit_machine_result(const commit_machine_t *machine)
{
	return &machine->result;
}

static commit_action_t
head_get(commit_machine_t *machine, commit_step_t step)
{
	machine->step = step;
	return (commit_action_t){.kind = COMMIT_ACTION_GET, .key = KEY_HEAD};
}

static commit_action_t
head_put(commit_machine_t *machine)
{
	machine->step = STEP_HEAD;
	return (commit_action_t){.kind = COMMIT_ACTION_PUT,
	    .key = KEY_HEAD,
	    .put = {.key = KEY_HEAD,
		.value = (const char *)machine->head_text.data,
		.size = machine->head_text.size,
		.expect = machine->base_revision}};
}

/* Writes the next part, or the head after the last one. */
static commit_action_t
parts_put(commit_machine_t *machine)
{
	const chunk_t *content;
	char digest[DIGEST_TEXT_BYTES];

	if (machine->written == machine->write_count)
		return head_put(machine);
	machine->step = STEP_PARTS;
	content = record_parts_find(&machine->parts, &machine->writes[machine->written]);
	INVARIANT(content != NULL);
	digest_format(&machine->writes[machine->written], digest);
	snprintf(machine->key, sizeof(machine->key), KEY_PARTS "%s", digest);
	return (commit_action_t){.kind = COMMIT_ACTION_PUT,
	    .key = machine->key,
	    .put = {.key = machine->key,
		.value = (const char *)content->data,
		.size = content->size,
		.expect = PLATFORM_EXPECT_ANY}};
}

/* Returns the action of the current step once more, after a wait. */
static commit_action_t
step_retry(commit_machine_t *machine)
{
	switch (machine->step) {
	case STEP_PARTS:
		return parts_put(machine);
	case STEP_HEAD:
		return head_put(machine);
	case STEP_READ:
	case STEP_RESOLVE:
		return head_get(machine, machine->step);
	case STEP_START:
	case STEP_LIST:
	case STEP_DELETE:
	case STEP_FINISHED:
		break;
	}
	INVARIANT(false);
}

/* The deadline has passed in the current step. */
static commit_action_t
finish_timed_out(commit_machine_t *machine)
{
	if (machine->kind != COMMIT_LOOKUP && machine->in_doubt) {
		commit_message_set(machine,
		    "the platform did not confirm the commit in time; its outcome is "
		    "unknown, look up operation %s",
		    machine->result.operation);
		return finish(machine, MASTICPITCH_E_UNKNOWN);
	}
	if (machine->step == STEP_RESOLVE) {
		commit_message_set(machine,
		    "lost to another commit after version %" PRIu64
		    "; the head could not be read to find which one",
		    machine->result.base_version);
		return finish(machine, MASTICPITCH_E_CONFLICT);
	}
	commit_message_set(
	    machine, "the platform did not answer in time; nothing was committed");
	return finish(machine, MASTICPITCH_E_UNREACHABLE);
}

/* Waits for the backoff with jitter, then retries the step. */
static commit_action_t
retry_after_backoff(commit_machine_t *machine, uint64_t now)
{
	uint64_t delay = rng_below(&machine->rng, machine->backoff);

	machine->backoff = MIN_OF(2 * machine->backoff, COMMIT_BACKOFF_MAX_NS);
	if (now + delay >= machine->deadline)
		return finish_timed_out(machine);
	return (commit_action_t){.kind = COMMIT_ACTION_WAIT, .until = now + delay};
}

static commit_action_t
finish_conflict(commit_machine_t *machine, const record_head_t *head, uint64_t after)
{
	const record_commit_t *winner = record_history_after(head, after);

	if (winner != NULL) {
		machine->result.lost_to = *winner;
		commit_message_set(machine,
		    "lost to version %" PRIu64 ": %s %s by %s; nothing was committed",
		    winner->version, winner->action, winner->preset,
		    winner->operator_name);
	} else {
		commit_message_set(machine,
		    "the head has version %" PRIu64 ", not %" PRIu64
		    "; nothing was committed",
		    head->version, after);
	}
	return finish(machine, MASTICPITCH_E_CONFLICT);
}

static commit_action_t
finish_committed(commit_machine_t *machine, uint64_t version)
{
	machine->result.version = version;
	commit_message_set(machine, "committed as version %" PRIu64, version);
	return finish(machine, MASTICPITCH_OK);
}

/* Builds the new head from the one that was read and starts writing its parts. */
static commit_action_t
head_build(commit_machine_t *machine)
{
	int error;

	machine->head = calloc(1, sizeof(*machine->head));
	if (machine->head == NULL)
		return finish(machine, MASTICPITCH_E_NOMEM);
	if (machine->base != NULL)
		*machine->head = *machine->base;
	machine->result.base_version = machine->head->version;
	if (machine->has_expected_version &&
	    machine->expected_version != machine->head->version)
		return finish_conflict(machine, machine->head, machine->expected_version);
	error = commit_head_change(machine);
	if (error == MASTICPITCH_OK)
		error = commit_head_stamp(machine);
	if (error != MASTICPITCH_OK)
		return finish(machine, error);
	machine->write_count =
	    record_head_diff(machine->head, machine->base, machine->writes);
	return parts_put(machine);
}

static commit_action_t
lookup_absent(commit_machine_t *machine)
{
	const record_head_t *head = machine->base;

	if (machine->has_expected_version && head != NULL &&
	    head->version > machine->expected_version &&
	    record_history_covers(head, machine->expected_version))
		return finish_conflict(machine, head, machine->expected_version);
	if (machine->has_expected_version) {
		commit_message_set(machine,
		    "the operation is not in the history, but no later commit "
		    "excludes that it takes effect");
		return finish(machine, MASTICPITCH_E_UNKNOWN);
	}
	commit_message_set(machine, "the operation is not among the last %d commits",
	    RECORD_HISTORY_MAX);
	return finish(machine, MASTICPITCH_E_NOT_FOUND);
}

static commit_action_t
lookup(commit_machine_t *machine)
{
	const record_commit_t *found = NULL;

	if (machine->base != NULL)
		found = record_history_find(machine->base, machine->result.operation);
	return found != NULL ? finish_committed(machine, found->version)
			     : lookup_absent(machine);
}

static bool
answer_is_failure(const platform_answer_t *answer)
{
	return answer->outcome != PLATFORM_OK && answer->outcome != PLATFORM_NOT_FOUND &&
	       answer->outcome != PLATFORM_CONFLICT;
}

static commit_action_t
head_get_done(commit_machine_t *machine, const platform_answer_t *answer, uint64_t now)
{
	char reason[MASTICPITCH_MESSAGE_MAX];

	if (answer_is_failure(answer))
		return retry_after_backoff(machine, now);
	if (answer->outcome == PLATFORM_OK) {
		int error = record_head_parse(
		    answer->value, answer->size, &machine->base, reason, sizeof(reason));

		if (error != MASTICPITCH_OK) {
			commit_message_set(
			    machine, "invalid head on the platform: %.400s", reason);
			return finish(machine, error);
		}
		machine->base_revision = answer->revision;
	}
	machine->backoff = COMMIT_BACKOFF_MIN_NS;
	return machine->kind == COMMIT_LOOKUP ? lookup(machine) : head_build(machine);
}

static commit_action_t
part_put_done(commit_machine_t *machine, const platform_answer_t *answer, uint64_t now)
{
	if (answer->outcome != PLATFORM_OK)
		return retry_after_backoff(machine, now);
	machine->backoff = COMMIT_BACKOFF_MIN_NS;
	machine->result.parts_written++;
	machine->written++;
	return parts_put(machine);
}

static commit_action_t
head_committed(commit_machine_t *machine)
{
	uint64_t version = machine->head->version;

	machine->result.version = version;
	if (machine->head_revision == 0 ||
	    (!machine->clean && version % COMMIT_CLEANUP_INTERVAL_VERSIONS != 0))
		return finish_committed(machine, version);
	machine->step = STEP_LIST;
	return (commit_action_t){.kind = COMMIT_ACTION_LIST, .key = KEY_PARTS};
}

static commit_action_t
head_put_done(commit_machine_t *machine, const platform_answer_t *answer, uint64_t now)
{
	switch (answer->outcome) {
	case PLATFORM_OK:
		machine->head_revision = answer->revision;
		return head_committed(machine);
	case PLATFORM_CONFLICT:
	case PLATFORM_NOT_FOUND:
		return head_get(machine, STEP_RESOLVE);
	case PLATFORM_UNKNOWN:
	case PLATFORM_UNCHANGED:
	case PLATFORM_OUTCOME_COUNT:
		machine->in_doubt = true;
		break;
	case PLATFORM_REFUSED:
	case PLATFORM_NOT_SENT:
		break;
	}
	return retry_after_backoff(machine, now);
}

/* Decides the outcome after a conflict, from the head that was read again. */
static commit_action_t
resolve(commit_machine_t *machine, const record_head_t *head, uint64_t revision)
{
	uint64_t base = machine->result.base_version;

	if (record_history_find(head, machine->result.operation) != NULL) {
		if (head->version == machine->head->version)
			machine->head_revision = revision;
		return head_committed(machine);
	}
	if (!machine->in_doubt)
		return finish_conflict(machine, head, base);
	if (head->version > base && record_history_covers(head, base))
		return finish_conflict(machine, head, base);
	commit_message_set(machine,
	    "the head's history does not reach back to version %" PRIu64
	    "; the outcome of operation %s is unknown",
	    base, machine->result.operation);
	return finish(machine, MASTICPITCH_E_UNKNOWN);
}

static commit_action_t
head_resolve_done(
    commit_machine_t *machine, const platform_answer_t *answer, uint64_t now)
{
	char reason[MASTICPITCH_MESSAGE_MAX];
	record_head_t *head = NULL;
	commit_action_t action;

	if (answer_is_failure(answer))
		return retry_after_backoff(machine, now);
	if (answer->outcome != PLATFORM_OK ||
	    record_head_parse(answer->value, answer->size, &head, reason,
		sizeof(reason)) != MASTICPITCH_OK) {
		commit_message_set(machine,
		    "the head on the platform is missing or invalid after a conflict");
		return finish(machine,
		    machine->in_doubt ? MASTICPITCH_E_UNKNOWN : MASTICPITCH_E_CONFLICT);
	}
	action = resolve(machine, head, answer->revision);
	free(head);
	return action;
}

static commit_action_t
orphan_delete(commit_machine_t *machine)
{
	char digest[DIGEST_TEXT_BYTES];

	if (machine->orphans_done == machine->orphan_count)
		return finish_committed(machine, machine->result.version);
	machine->step = STEP_DELETE;
	digest_format(&machine->orphans[machine->orphans_done].digest, digest);
	snprintf(machine->key, sizeof(machine->key), KEY_PARTS "%s", digest);
	return (commit_action_t){.kind = COMMIT_ACTION_DELETE,
	    .key = machine->key,
	    .expect = machine->orphans[machine->orphans_done].revision};
}

static commit_action_t
parts_list_done(commit_machine_t *machine, const platform_answer_t *answer)
{
	size_t count = 0;

	if (answer->outcome != PLATFORM_OK)
		return finish_committed(machine, machine->result.version);
	machine->orphans =
	    calloc(MAX_OF(answer->entry_count, 1), sizeof(*machine->orphans));
	if (machine->orphans == NULL)
		return finish_committed(machine, machine->result.version);
	for (size_t i = 0; i < answer->entry_count; i++) {
		const char *key = answer->entries[i].key;
		record_stored_t *stored = &machine->orphans[count];

		if (strncmp(key, KEY_PARTS, strlen(KEY_PARTS)) != 0 ||
		    digest_parse(key + strlen(KEY_PARTS), &stored->digest) !=
			MASTICPITCH_OK)
			continue;
		stored->revision = answer->entries[i].revision;
		count++;
	}
	machine->orphan_count =
	    MIN_OF(record_orphans_select(machine->orphans, count, machine->head,
		       machine->base, machine->head_revision),
		(size_t)COMMIT_CLEANUP_PARTS_MAX);
	return orphan_delete(machine);
}

static commit_action_t
orphan_delete_done(commit_machine_t *machine, const platform_answer_t *answer)
{
	if (answer_is_failure(answer))
		return finish_committed(machine, machine->result.version);
	if (answer->outcome == PLATFORM_OK)
		machine->result.parts_removed++;
	machine->orphans_done++;
	return orphan_delete(machine);
}

commit_action_t
commit_machine_step(
    commit_machine_t *machine, const platform_answer_t *answer, uint64_t now)
{
	if (machine->step == STEP_START) {
		if (machine->result.error != MASTICPITCH_OK)
			return finish(machine, machine->result.error);
		return head_get(machine, STEP_READ);
	}
	if (now >= machine->deadline &&
	    (machine->step == STEP_LIST || machine->step == STEP_DELETE))
		return finish_committed(machine, machine->result.version);
	if (answer == NULL)
		return step_retry(machine);
	switch (machine->step) {
	case STEP_READ:
		return head_get_done(machine, answer, now);
	case STEP_PARTS:
		return part_put_done(machine, answer, now);
	case STEP_HEAD:
		return head_put_done(machine, answer, now);
	case STEP_RESOLVE:
		return head_resolve_done(machine, answer, now);
	case STEP_LIST:
		return parts_list_done(machine, answer);
	case STEP_DELETE:
		return orphan_delete_done(machine, answer);
	case STEP_START:
	case STEP_FINISHED:
		break;
	}
	INVARIANT(false);
}
