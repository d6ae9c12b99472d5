/*
 * The configuration record: a head that names the parts of every preset, and
 * the parts themselves. Pure functions of the texts, so that all nodes of a
 * release accept or refuse the same records. See docs/design.md section 6.
 * May be called on any thread; an object is used by one thread at a time.
 */
#ifndef MASTICPITCH_RECORD_H
#define MASTICPITCH_RECORD_H

#include "buffer.h"
#include "dialect.h"
#include "preset.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RECORD_FORMAT 1
#define RECORD_PRESETS_MAX 8
#define RECORD_BUCKETS 32
/*
 * One part of routes and workspaces, and the buckets of services. A document has a part
 * of services, buckets of routes and RECORD_WORKSPACE_BUCKETS of workspaces.
 */
#define RECORD_WORKSPACE_BUCKETS 8
#define RECORD_PRESET_PARTS_MAX (1 + RECORD_BUCKETS + RECORD_WORKSPACE_BUCKETS)
#define RECORD_PARTS_MAX (RECORD_PRESETS_MAX * RECORD_PRESET_PARTS_MAX)
#define RECORD_HISTORY_MAX 128
#define RECORD_HEAD_MAX_BYTES (64 * 1024)
#define RECORD_PART_MAX_BYTES PRESET_TEXT_MAX_BYTES
/* Largest version; JSON numbers stay in the range of signed 64 bits. */
#define RECORD_VERSION_MAX (UINT64_C(1) << 62)
/* An operation id: 128 random bits in hex with a terminator. */
#define RECORD_OPERATION_BYTES DIGEST_TEXT_BYTES
#define RECORD_ACTION_BYTES 8 /* "create", "edit", "delete", "use" */

/* One commit in the head's history; in JSON, action and preset are one string. */
typedef struct record_commit {
	uint64_t version;
	char operation[RECORD_OPERATION_BYTES];
	char operator_name[NAME_BYTES];
	char action[RECORD_ACTION_BYTES];
	char preset[NAME_BYTES]; /* that the action applies to */
	uint64_t at;		 /* wall clock of the operator's host, ms since 1970 */
} record_commit_t;

/* A preset's parts: routes first, then the buckets that are not empty. */
typedef struct record_preset {
	char name[NAME_BYTES];
	digest_t parts[RECORD_PRESET_PARTS_MAX];
	size_t part_count;
} record_preset_t;

typedef struct record_head {
	uint64_t version;
	char in_force[NAME_BYTES];
	record_preset_t presets[RECORD_PRESETS_MAX]; /* sorted by name */
	size_t preset_count;
	record_commit_t history[RECORD_HISTORY_MAX]; /* oldest first */
	size_t history_count;
} record_head_t;

/* Parts by digest; each item holds one reference to its content. */
typedef struct record_part {
	digest_t digest;
	chunk_t *content;
} record_part_t;

typedef struct record_parts {
	record_part_t items[2 * RECORD_PARTS_MAX]; /* of two heads at most */
	size_t count;
} record_parts_t;

/*
 * Parses and checks a head. The result is freed with free(). On failure
 * message names location and reason. Errors: MASTICPITCH_E_INVALID,
 * MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int record_head_parse(const char *text, size_t size, record_head_t **head, char *message,
    size_t message_size);
/* Writes a head as JSON. Errors: as buffer_append(). */
int record_head_format(const record_head_t *head, buffer_t *text);
/* The preset of that name, or NULL. */
const record_preset_t *record_preset_find(const record_head_t *head, const char *name);
/*
 * Adds a preset or replaces the one of its name. Errors: MASTICPITCH_E_LIMIT
 * (too many presets).
 */
int record_preset_set(record_head_t *head, const record_preset_t *preset);
/* Errors: MASTICPITCH_E_NOT_FOUND. */
int record_preset_remove(record_head_t *head, const char *name);
/* Appends to the history; evicts the oldest entry if it is full. */
void record_history_add(record_head_t *head, const record_commit_t *commit);
/* The commit with that operation id, or NULL. */
const record_commit_t *record_history_find(
    const record_head_t *head, const char *operation);
/* The first commit after a version, or NULL. */
const record_commit_t *record_history_after(const record_head_t *head, uint64_t version);
/*
 * True if the history lists every commit after version, so that an operation
 * absent from it did not take effect.
 */
bool record_history_covers(const record_head_t *head, uint64_t version);
/* True if the head names the part. */
bool record_head_has_part(const record_head_t *head, const digest_t *digest);

void record_parts_init(record_parts_t *parts);
void record_parts_clear(record_parts_t *parts);
/*
 * Adds content under its digest, which is computed here, and takes a reference.
 * Does nothing if there is a part with that digest. Errors: MASTICPITCH_E_LIMIT.
 */
int record_parts_add(record_parts_t *parts, chunk_t *content);
/* The content of a part, or NULL; no reference is taken. */
chunk_t *record_parts_find(const record_parts_t *parts, const digest_t *digest);
/* Removes the parts that neither head names; each head may be NULL. */
void record_parts_retain(
    record_parts_t *parts, const record_head_t *a, const record_head_t *b);
/*
 * Lists the parts that head names and that are not in parts, each once. missing
 * has room for RECORD_PARTS_MAX. Returns their number.
 */
size_t record_parts_missing(
    const record_parts_t *parts, const record_head_t *head, digest_t *missing);
/* Lists the parts that head names and older does not; older may be NULL. As above. */
size_t record_head_diff(
    const record_head_t *head, const record_head_t *older, digest_t *changed);

/*
 * Splits a preset's text (an operator's file, comments allowed) into parts in
 * canonical form: the same preset gives the same digests. Errors: as
 * preset_parse(); also MASTICPITCH_E_LIMIT if a part exceeds RECORD_PART_MAX_BYTES.
 */
int record_preset_split(const char *name, const char *text, size_t size,
    record_preset_t *preset, record_parts_t *parts, char *message, size_t message_size);
/*
 * Parses one preset of a head from its parts. Errors: as preset_parse();
 * MASTICPITCH_E_NOT_FOUND if a part is absent.
 */
int record_preset_parse(const record_preset_t *preset, const record_parts_t *parts,
    preset_t **result, char *message, size_t message_size);
/*
 * Cache of parsed presets by their parts. A preset whose parts did not change is
 * not parsed again, so that a switch of the preset in force needs no parsing, which
 * takes some 14 ms for a preset with 320 services.
 */
typedef struct record_cache_item {
	record_preset_t key; /* only its parts are compared */
	preset_t *preset;    /* one reference */
} record_cache_item_t;

#define RECORD_CACHE_MAX (2 * RECORD_PRESETS_MAX)

typedef struct record_cache {
	dialect_t dialect; /* of the parts */
	record_cache_item_t items[RECORD_CACHE_MAX];
	size_t count;
} record_cache_t;

void record_cache_init(record_cache_t *cache, dialect_t dialect);
/* Evicts the presets that head does not name; NULL: all presets. */
void record_cache_retain(record_cache_t *cache, const record_head_t *head);

/*
 * Checks the complete record: every preset from its parts. Presets in the cache
 * have been checked; the others are parsed and added to it. On success in_force
 * holds one reference to the preset in force. Errors: as record_preset_parse().
 * The caller must evict presets that are no longer needed by
 * record_cache_retain(): presets are not added to a full cache, and are then
 * parsed in each call.
 */
int record_check(const record_head_t *head, record_cache_t *cache,
    const record_parts_t *parts, preset_t **in_force, char *message, size_t message_size);

/*
 * Builds the record of a configuration document (see document.h): its texts are
 * the parts of the record's only preset. Adds them to parts and formats the head
 * that names them; the same document gives the same head on every node. Errors:
 * MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int record_document_build(uint64_t version, const buffer_t *texts, size_t count,
    record_parts_t *parts, buffer_t *head);

/* A stored part as the platform lists it. */
typedef struct record_stored {
	digest_t digest;
	uint64_t revision;
} record_stored_t;

/*
 * Selects the stored parts that a committer may delete by compare-and-delete:
 * those that neither its own head nor the one it replaced names and that are
 * older than its own write of the head. Any later committer writes the parts
 * it needs after it has read that head or a newer one, so those parts have a
 * greater revision. Moves them to the front; returns their number.
 */
size_t record_orphans_select(record_stored_t *stored, size_t count,
    const record_head_t *head, const record_head_t *replaced, uint64_t head_revision);

#ifdef __cplusplus
}
#endif

#endif
