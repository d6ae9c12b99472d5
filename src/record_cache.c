#include "record.h"

#include "platform/hosted.h"

#include <stdio.h>
#include <string.h>

void
record_cache_init(record_cache_t *cache, dialect_t dialect)
{
	cache->dialect = dialect;
	cache->count = 0;
}

static bool
parts_are_equal(const record_preset_t *a, const record_preset_t *b)
{
	return a->part_count == b->part_count &&
	       memcmp(a->parts, b->parts, a->part_count * sizeof(digest_t)) == 0;
}

static preset_t *
cache_find(const record_cache_t *cache, const record_preset_t *key)
{
	for (size_t i = 0; i < cache->count; i++) {
		if (parts_are_equal(&cache->items[i].key, key))
			return cache->items[i].preset;
	}
	return NULL;
}

static void
cache_add(record_cache_t *cache, const record_preset_t *key, preset_t *preset)
{
	record_cache_item_t *item;

	if (cache->count == RECORD_CACHE_MAX)
		return;
	item = &cache->items[cache->count++];
	item->key = *key;
	item->preset = preset_hold(preset);
}

static bool
head_has_preset(const record_head_t *head, const record_preset_t *key)
{
	for (size_t i = 0; head != NULL && i < head->preset_count; i++) {
		if (parts_are_equal(&head->presets[i], key))
			return true;
	}
	return false;
}

void
record_cache_retain(record_cache_t *cache, const record_head_t *head)
{
	size_t kept_count = 0;

	for (size_t i = 0; i < cache->count; i++) {
		if (head_has_preset(head, &cache->items[i].key))
			cache->items[kept_count++] = cache->items[i];
		else
			preset_release(cache->items[i].preset);
	}
	cache->count = kept_count;
}

/* Newest cached preset with the same first part; most other parts are likely equal. */
static const record_cache_item_t *
cache_find_older(const record_cache_t *cache, const record_preset_t *key)
{
	for (size_t i = cache->count; i > 0; i--) {
		const record_preset_t *older = &cache->items[i - 1].key;

		if (older->part_count > 0 && key->part_count > 0 &&
		    digest_equal(&older->parts[0], &key->parts[0]))
			return &cache->items[i - 1];
	}
	return NULL;
}

/* Finds the parts that key and the older preset have in common. */
static void
older_match(const record_cache_item_t *item, const record_preset_t *key,
    hosted_older_preset_t *older)
{
	*older = (hosted_older_preset_t){.preset = item->preset};
	for (size_t i = 1; i < key->part_count; i++) {
		for (size_t j = 1; j < item->key.part_count; j++) {
			if (digest_equal(&item->key.parts[j], &key->parts[i]))
				older->same_part[i] = (uint32_t)j;
		}
	}
}

static int
document_parse(const record_preset_t *key, const record_cache_t *cache,
    const record_parts_t *parts, preset_t **result, char *message, size_t message_size)
{
	const record_cache_item_t *item = cache_find_older(cache, key);
	preset_text_t texts[RECORD_PRESET_PARTS_MAX];
	hosted_older_preset_t older;

	for (size_t i = 0; i < key->part_count; i++) {
		const chunk_t *content = record_parts_find(parts, &key->parts[i]);

		if (content == NULL) {
			snprintf(message, message_size, "part %zu is missing", i);
			return MASTICPITCH_E_NOT_FOUND;
		}
		texts[i] = (preset_text_t){(const char *)content->data, content->size};
	}
	if (item != NULL)
		older_match(item, key, &older);
	return hosted_preset_parse(texts, key->part_count, item != NULL ? &older : NULL,
	    result, message, message_size);
}

/* Sets *result to one reference to the parsed preset, from the cache if it is there. */
static int
preset_get(const record_preset_t *key, record_cache_t *cache, const record_parts_t *parts,
    preset_t **result, char *message, size_t message_size)
{
	preset_t *preset = cache_find(cache, key);
	int error;

	if (preset != NULL) {
		*result = preset_hold(preset);
		return MASTICPITCH_OK;
	}
	switch (cache->dialect) {
	case DIALECT_HOSTED:
		error = document_parse(key, cache, parts, result, message, message_size);
		break;
	case DIALECT_NATIVE:
	default:
		error = record_preset_parse(key, parts, result, message, message_size);
		break;
	}
	if (error == MASTICPITCH_OK)
		cache_add(cache, key, *result);
	return error;
}

int
record_check(const record_head_t *head, record_cache_t *cache,
    const record_parts_t *parts, preset_t **in_force, char *message, size_t message_size)
{
	preset_t *found = NULL;

	for (size_t i = 0; i < head->preset_count; i++) {
		const record_preset_t *key = &head->presets[i];
		preset_t *preset = NULL;
		int error = preset_get(key, cache, parts, &preset, message, message_size);

		if (error != MASTICPITCH_OK) {
			preset_release(found);
			return error;
		}
		if (strcmp(key->name, head->in_force) == 0)
			found = preset;
		else
			preset_release(preset);
	}
	*in_force = found;
	return MASTICPITCH_OK;
}
