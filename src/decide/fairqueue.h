/* Two-level fair queue of admitted requests: between classes, then between customers.
 *
 * The next class is chosen by the slots in use:
 *   1. a class below its guaranteed share, the most urgent first;
 *   2. else a class below its limit, or with no request running, by start-time fair queueing on
 *      the shares.
 * Within a class, customers are served by start-time fair queueing on their weights.
 * Each request is charged the measured slot time of its class, so that shares divide
 * the fleet's time and not the number of requests.
 *
 * Items are intrusive; the queue never owns them.
 */
#pragma once

#include "base/list.h"
#include "decide/environment.h"

typedef struct fairqueue fairqueue_t;

typedef struct
{
  list_node_t node;
  guint class_index;
  guint customer_index;
} fairqueue_item_t;

fairqueue_t *fairqueue_new (const environment_t *environment);
void fairqueue_free (fairqueue_t *queue);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (fairqueue_t, fairqueue_free)

/* Returns how many items the customer may have queued in the class: its share by weight of
 * the class's queue limit, at least 1 unless the limit is 0. */
guint fairqueue_customer_limit (const fairqueue_t *queue, guint class_index, guint customer_index);

/* Return the number of queued items: of one customer in a class, of a class, in total. */
guint fairqueue_customer_length (const fairqueue_t *queue, guint class_index, guint customer_index);
guint fairqueue_class_length (const fairqueue_t *queue, guint class_index);
guint fairqueue_length (const fairqueue_t *queue);

/* Returns the fraction (0 to 1) of the class's service that the customer gets while the
 * customers with queued items stay the same. */
double
fairqueue_customer_fraction (const fairqueue_t *queue, guint class_index, guint customer_index);

void fairqueue_push (fairqueue_t *queue, fairqueue_item_t *item);

/* Removes the item; does nothing when it is not queued. */
void fairqueue_remove (fairqueue_t *queue, fairqueue_item_t *item);

/* Removes and returns the next item to start, and charges `cost_us[class]` to its customer
 * and class.  `running[class]` is the number of slots in use, `slots` the total number.
 * Returns NULL when nothing is queued or every class with queued items is at its limit. */
fairqueue_item_t *
fairqueue_pop (fairqueue_t *queue, const guint *running, guint slots, const double *cost_us);

/* Calls `visit` for each queued item, by class, by customer, and oldest first for each
 * customer, until it returns false.  The visitor may remove the item that it gets. */
typedef bool (*fairqueue_visit_t) (fairqueue_item_t *item, void *data);
void fairqueue_foreach (fairqueue_t *queue, fairqueue_visit_t visit, void *data);
