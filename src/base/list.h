/* Intrusive doubly linked list.
 *
 * Nodes are embedded in the list's elements, so the list never allocates memory.  A node
 * that is in no list has NULL pointers.  The list head is a node itself.
 */
#pragma once

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct list_node
{
  struct list_node *prev;
  struct list_node *next;
} list_node_t;

#define LIST_ENTRY(node, type, member)                                                             \
  ((type *) (void *) ((char *) (node) -offsetof (type, member)))

static inline void
list_init (list_node_t *head)
{
  head->prev = head;
  head->next = head;
}

static inline bool
list_is_empty (const list_node_t *head)
{
  return head->next == head;
}

static inline bool
list_is_linked (const list_node_t *node)
{
  return node->next != NULL;
}

static inline void
list_push_back (list_node_t *head, list_node_t *node)
{
  node->prev = head->prev;
  node->next = head;
  head->prev->next = node;
  head->prev = node;
}

static inline void
list_push_front (list_node_t *head, list_node_t *node)
{
  list_node_t *first = head->next;

  assert (first != NULL);
  node->next = first;
  node->prev = head;
  first->prev = node;
  head->next = node;
}

static inline void
list_remove (list_node_t *node)
{
  list_node_t *prev = node->prev;
  list_node_t *next = node->next;

  if (prev == NULL || next == NULL)
    return;
  prev->next = next;
  next->prev = prev;
  node->prev = NULL;
  node->next = NULL;
}
