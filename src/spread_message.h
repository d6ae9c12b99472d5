/*
 * Messages of configuration distribution between nodes, and their protobuf
 * form, ConfigMessage. Reference counted, immutable once sent. One thread.
 */
#ifndef MASTICPITCH_SPREAD_MESSAGE_H
#define MASTICPITCH_SPREAD_MESSAGE_H

#include "buffer.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Parts or digests in one message. */
#define SPREAD_ITEMS_MAX 264

/* The numbers are those of ConfigMessage.Kind. */
typedef enum spread_kind {
	SPREAD_ANNOUNCE,    /* version and digest of the head held */
	SPREAD_PUSH,	    /* head and perhaps parts that changed */
	SPREAD_PULL_HEAD,   /* version: what the sender holds */
	SPREAD_PULL_PARTS,  /* digests wanted; version: of the head they are for */
	SPREAD_PARTS,	    /* parts or pieces of parts */
	SPREAD_ASK_VERSION, /* by a returning node; age: since its start */
	SPREAD_VERSION,
	SPREAD_KIND_COUNT
} spread_kind_t;

/* A part, or a piece of a part that is too long for one message. */
typedef struct spread_piece {
	digest_t digest; /* of the whole part */
	chunk_t *content;
	uint32_t offset; /* bytes */
	uint32_t total;	 /* bytes of the whole part */
} spread_piece_t;

typedef struct spread_message {
	uint32_t references;
	spread_kind_t kind;
	uint64_t version;
	digest_t digest; /* of the head's text: ANNOUNCE */
	chunk_t *head;	 /* PUSH: text */
	spread_piece_t *pieces;
	size_t piece_count;
	digest_t *wanted;
	size_t wanted_count;
	uint64_t floor;	      /* VERSION: of the receiver, as the sender knows it */
	uint64_t version_max; /* largest version the sender has seen anywhere */
	/* The platform had the sender's head confirmed_age_ms ago. */
	bool confirmed;
	uint64_t confirmed_age_ms; /* ASK_VERSION: since the sender's start */
	uint64_t token;		   /* VERSION repeats that of ASK_VERSION */
} spread_message_t;

/* NULL: no memory. */
spread_message_t *spread_message_create(spread_kind_t kind, uint64_t version);
spread_message_t *spread_message_hold(spread_message_t *message);
/* Drops one reference; NULL is allowed. */
void spread_message_release(spread_message_t *message);
/* Adds a piece; takes a reference. Errors: MASTICPITCH_E_LIMIT, _NOMEM. */
int spread_message_piece_add(spread_message_t *message, const spread_piece_t *piece);
/* Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM. */
int spread_message_wanted_set(
    spread_message_t *message, const digest_t *wanted, size_t count);

/* NULL: no memory. */
chunk_t *spread_message_pack(const spread_message_t *message);
/*
 * Reads the protobuf form; every length and count is checked. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_NOMEM.
 */
int spread_message_unpack(const void *data, size_t size, spread_message_t **message);

#ifdef __cplusplus
}
#endif

#endif
