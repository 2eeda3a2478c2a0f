/* Queue of admitted requests, fair between classes and between customers.
 *
 * Choice of the next class, given the slots in use:
 *   1. a class below its guaranteed share, the most urgent first;
 *   2. else a class below its limit, by start-time fair queueing on the shares.
 * Within a class, customers are served by start-time fair queueing on weights.
 * The cost charged is the slot time that the class has been seen to use, so that
 * shares are of the fleet's time and not of a count of requests.
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

/* Number of items the customer may have queued in the class: its part of the
 * class's queue limit by weight, at least 1 when the limit is not 0. */
guint fairqueue_customer_limit (const fairqueue_t *queue, guint class_index, guint customer_index);

/* Queued items of the customer in the class; of the class; of all. */
guint fairqueue_customer_length (const fairqueue_t *queue, guint class_index, guint customer_index);
guint fairqueue_class_length (const fairqueue_t *queue, guint class_index);
guint fairqueue_length (const fairqueue_t *queue);

/* The customer's part of the class's service while those now queued stay, 0 to 1. */
double fairqueue_customer_fraction (const fairqueue_t *queue, guint class_index, guint customer_index);

void fairqueue_push (fairqueue_t *queue, fairqueue_item_t *item);

/* Removes a queued item, wherever it stands. */
void fairqueue_remove (fairqueue_t *queue, fairqueue_item_t *item);

/* Takes the next item to start and charges `cost_us[class]` to its customer and
 * class.  `running[class]` counts slots in use and `slots` the slots there are.
 * Returns NULL when nothing is queued or every queued class is at its limit. */
fairqueue_item_t *
fairqueue_pop (fairqueue_t *queue, const guint *running, guint slots, const double *cost_us);

/* Returns the oldest item of the class's longest-waiting customer queues through
 * `visit`, until it returns false.  The visitor may remove the item it gets. */
typedef bool (*fairqueue_visit_t) (fairqueue_item_t *item, void *data);
void fairqueue_foreach (fairqueue_t *queue, fairqueue_visit_t visit, void *data);
