#ifndef LUG_CORE_LIST_H
#define LUG_CORE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct lug_list - node or head of an intrusive doubly linked list
 * @next: following node, the head after the last node
 * @prev: preceding node, the head before the first node
 *
 * A node that is in no list points to itself.
 */
struct lug_list {
	struct lug_list *next;
	struct lug_list *prev;
};

#define LUG_CONTAINER_OF(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#define LUG_LIST_FOREACH(head, pos) \
	for (struct lug_list *pos = (head)->next; pos != (head); pos = pos->next)

/* The loop body may remove @pos from the list. */
#define LUG_LIST_FOREACH_SAFE(head, pos, tmp)                                      \
	for (struct lug_list *pos = (head)->next, *tmp = pos->next; pos != (head); \
	     pos = tmp, tmp = pos->next)

static inline void lug_list_init(struct lug_list *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool lug_list_empty(const struct lug_list *head)
{
	return head->next == head;
}

static inline void lug_list_append(struct lug_list *head, struct lug_list *node)
{
	node->prev = head->prev;
	node->next = head;
	head->prev->next = node;
	head->prev = node;
}

static inline void lug_list_remove(struct lug_list *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	lug_list_init(node);
}

#endif
