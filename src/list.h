/*
 * Intrusive doubly linked list. A list head and an unlinked node both point to
 * themselves, so list_remove() on an unlinked node has no effect.
 */
#ifndef MASTICPITCH_LIST_H
#define MASTICPITCH_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list {
	struct list *next;
	struct list *prev;
} list_t;

#define LIST_ENTRY(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define LIST_FOREACH(node, head) \
	for (list_t *node = (head)->next; node != (head); node = node->next)

/* Allows removal of the current node inside the loop. */
#define LIST_FOREACH_SAFE(node, head) \
	for (list_t *node = (head)->next, *node##_next = node->next; node != (head); \
	     node = node##_next, node##_next = node->next)

static inline void
list_init(list_t *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool
list_is_empty(const list_t *head)
{
	return head->next == head;
}

static inline void
list_insert_before(list_t *position, list_t *node)
{
	node->prev = position->prev;
	node->next = position;
	position->prev->next = node;
	position->prev = node;
}

static inline void
list_append(list_t *head, list_t *node)
{
	list_insert_before(head, node);
}

static inline void
list_prepend(list_t *head, list_t *node)
{
	list_insert_before(head->next, node);
}

static inline void
list_remove(list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

/* Removes and returns the first node; NULL if the list is empty. */
static inline list_t *
list_take_first(list_t *head)
{
	list_t *node = head->next;

	if (node == head)
		return NULL;
	list_remove(node);
	return node;
}

#endif
