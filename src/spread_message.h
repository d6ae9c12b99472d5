/*
 * Messages of configuration distribution between nodes, and their protobuf
 * form, ConfigMessage. Reference counted, immutable once sent. Not thread-safe.
 */
#ifndef MASTICPITCH_SPREAD_MESSAGE_H
#define MASTICPITCH_SPREAD_MESSAGE_H

#include "buffer.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest number of parts, and of digests, in one message. */
#define SPREAD_ITEMS_MAX 264
/* Largest size of a message before its compression, bytes. */
#define SPREAD_PLAIN_MAX_BYTES (512 * 1024)

/* The numbers are those of ConfigMessage.Kind. */
typedef enum spread_kind {
	SPREAD_ANNOUNCE,    /* version and digest of the accepted head */
	SPREAD_PUSH,	    /* head and optionally the parts that changed */
	SPREAD_PULL_HEAD,   /* version: the sender's accepted one */
	SPREAD_PULL_PARTS,  /* digests wanted; version: of the head that names them */
	SPREAD_PARTS,	    /* parts or pieces of parts */
	SPREAD_ASK_VERSION, /* from a starting node; age: since its start */
	SPREAD_VERSION,	    /* answer to ASK_VERSION */
	SPREAD_VERIFIED,    /* version: the platform had no newer one, age ago */
	SPREAD_KIND_COUNT
} spread_kind_t;

/* A complete part, or a piece of a part that is too long for one message. */
typedef struct spread_piece {
	digest_t digest; /* of the complete part */
	chunk_t *content;
	uint32_t offset; /* bytes */
	uint32_t total;	 /* bytes of the complete part */
} spread_piece_t;

typedef struct spread_message {
	uint32_t references;
	spread_kind_t kind;
	uint64_t version;
	digest_t digest; /* ANNOUNCE: of the head's text */
	chunk_t *head;	 /* PUSH: the head's text */
	spread_piece_t *pieces;
	size_t piece_count;
	digest_t *wanted;
	size_t wanted_count;
	uint64_t floor;	      /* VERSION: of the receiver, as recorded by the sender */
	uint64_t version_max; /* largest version the sender has seen anywhere */
	/* The platform had the sender's head as its newest confirmed_age_ms ago. */
	bool confirmed;
	/* VERIFIED: age; ASK_VERSION: time since the sender's start. */
	uint64_t confirmed_age_ms;
	/* Of ASK_VERSION, repeated by VERSION; VERIFIED: node that read the platform. */
	uint64_t token;
	bool accepts_lz4; /* PULL_PARTS: the answer may be compressed */
	bool compress;	  /* PARTS: packed as an LZ4 block */
} spread_message_t;

/* NULL: no memory. */
spread_message_t *spread_message_create(spread_kind_t kind, uint64_t version);
/* Adds a reference. */
spread_message_t *spread_message_hold(spread_message_t *message);
/* Drops one reference; NULL is allowed. */
void spread_message_release(spread_message_t *message);
/*
 * Adds a piece and a reference to its content. Errors: MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_NOMEM.
 */
int spread_message_piece_add(spread_message_t *message, const spread_piece_t *piece);
/* Replaces the wanted digests. Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM. */
int spread_message_wanted_set(
    spread_message_t *message, const digest_t *wanted, size_t count);

/* The protobuf form; NULL: no memory. */
chunk_t *spread_message_pack(const spread_message_t *message);
/*
 * Parses the protobuf form; every length and count is checked. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_NOMEM.
 */
int spread_message_unpack(const void *data, size_t size, spread_message_t **message);

#ifdef __cplusplus
}
#endif

#endif
