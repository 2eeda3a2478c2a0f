#include "decide/fairqueue.h"

#include <math.h>

typedef struct
{
  list_node_t items;
  guint length;
  double start_tag;
  double weight;
} flow_t;

typedef struct
{
  flow_t *flows; /* one per customer */
  guint length;
  double start_tag;
  double flow_virtual_time;
  double share;
  double limit;
  guint urgency;
  guint queue_limit;
  double weight_sum;
} class_queue_t;

struct fairqueue
{
  guint class_count;
  guint customer_count;
  guint length;
  double virtual_time;
  class_queue_t classes[ENVIRONMENT_CLASSES_MAX];
};

/* Minimum weight, so that a class without a guaranteed share still makes progress. */
static const double min_share_weight = 0.001;

static void
class_queue_init (class_queue_t *class, const work_class_t *spec, const environment_t *environment)
{
  class->share = spec->share;
  class->limit = spec->limit;
  class->urgency = spec->urgency;
  class->queue_limit = spec->queue_limit;
  class->flows = g_new0 (flow_t, environment->customer_count);
  for (guint i = 0; i < environment->customer_count; i++)
    {
      list_init (&class->flows[i].items);
      class->flows[i].weight = environment->customers[i].weight;
      class->weight_sum += environment->customers[i].weight;
    }
}

fairqueue_t *
fairqueue_new (const environment_t *environment)
{
  fairqueue_t *queue = g_new0 (fairqueue_t, 1);

  queue->class_count = environment->class_count;
  queue->customer_count = environment->customer_count;
  for (guint i = 0; i < environment->class_count; i++)
    class_queue_init (&queue->classes[i], &environment->classes[i], environment);
  return queue;
}

void
fairqueue_free (fairqueue_t *queue)
{
  if (queue == NULL)
    return;
  for (guint i = 0; i < queue->class_count; i++)
    g_free (queue->classes[i].flows);
  g_free (queue);
}

guint
fairqueue_customer_limit (const fairqueue_t *queue, guint class_index, guint customer_index)
{
  const class_queue_t *class = &queue->classes[class_index];
  double allotment;

  if (class->queue_limit == 0)
    return 0;
  allotment = class->queue_limit * class->flows[customer_index].weight / class->weight_sum;
  return allotment < 1 ? 1 : (guint) allotment;
}

guint
fairqueue_customer_length (const fairqueue_t *queue, guint class_index, guint customer_index)
{
  return queue->classes[class_index].flows[customer_index].length;
}

guint
fairqueue_class_length (const fairqueue_t *queue, guint class_index)
{
  return queue->classes[class_index].length;
}

guint
fairqueue_length (const fairqueue_t *queue)
{
  return queue->length;
}

double
fairqueue_customer_fraction (const fairqueue_t *queue, guint class_index, guint customer_index)
{
  const flow_t *flows = queue->classes[class_index].flows;
  double own_weight = flows[customer_index].weight;
  double active_weight = own_weight;

  for (guint i = 0; i < queue->customer_count; i++)
    {
      if (i != customer_index && flows[i].length > 0)
        active_weight += flows[i].weight;
    }
  return own_weight / active_weight;
}

void
fairqueue_push (fairqueue_t *queue, fairqueue_item_t *item)
{
  class_queue_t *class = &queue->classes[item->class_index];
  flow_t *flow = &class->flows[item->customer_index];

  /* A class or flow that was idle must not accumulate credit for the time without requests. */
  if (class->length == 0)
    class->start_tag = fmax (class->start_tag, queue->virtual_time);
  if (flow->length == 0)
    flow->start_tag = fmax (flow->start_tag, class->flow_virtual_time);
  list_push_back (&flow->items, &item->node);
  flow->length++;
  class->length++;
  queue->length++;
}

void
fairqueue_remove (fairqueue_t *queue, fairqueue_item_t *item)
{
  class_queue_t *class = &queue->classes[item->class_index];

  if (!list_is_linked (&item->node))
    return;
  list_remove (&item->node);
  class->flows[item->customer_index].length--;
  class->length--;
  queue->length--;
}

/* Orders classes by urgency; on a tie the one served least (smaller start tag) goes first. */
static bool
is_more_urgent (const class_queue_t *a, const class_queue_t *b)
{
  if (a->urgency != b->urgency)
    return a->urgency < b->urgency;
  return a->start_tag < b->start_tag;
}

static class_queue_t *
class_below_share (fairqueue_t *queue, const guint *running, guint slots, guint *index)
{
  class_queue_t *best = NULL;

  for (guint i = 0; i < queue->class_count; i++)
    {
      class_queue_t *class = &queue->classes[i];

      if (class->length == 0 || running[i] >= class->share * slots)
        continue;
      if (best != NULL && !is_more_urgent (class, best))
        continue;
      best = class;
      *index = i;
    }
  return best;
}

static class_queue_t *
class_below_limit (fairqueue_t *queue, const guint *running, guint slots, guint *index)
{
  class_queue_t *best = NULL;

  for (guint i = 0; i < queue->class_count; i++)
    {
      class_queue_t *class = &queue->classes[i];

      /* Each class may run at least one request at a time, even if its limit is below one slot. */
      if (class->length == 0 || running[i] >= fmax (1.0, class->limit * slots))
        continue;
      if (best != NULL && class->start_tag >= best->start_tag)
        continue;
      best = class;
      *index = i;
    }
  return best;
}

static flow_t *
next_flow (class_queue_t *class, guint customer_count)
{
  flow_t *best = NULL;

  for (guint i = 0; i < customer_count; i++)
    {
      flow_t *flow = &class->flows[i];

      if (flow->length > 0 && (best == NULL || flow->start_tag < best->start_tag))
        best = flow;
    }
  return best;
}

fairqueue_item_t *
fairqueue_pop (fairqueue_t *queue, const guint *running, guint slots, const double *cost_us)
{
  guint index = 0;
  class_queue_t *class;
  flow_t *flow;
  fairqueue_item_t *item;

  if (queue->length == 0)
    return NULL;
  class = class_below_share (queue, running, slots, &index);
  if (class == NULL)
    class = class_below_limit (queue, running, slots, &index);
  if (class == NULL)
    return NULL;
  flow = next_flow (class, queue->customer_count);
  item = LIST_ENTRY (flow->items.next, fairqueue_item_t, node);
  queue->virtual_time = fmax (queue->virtual_time, class->start_tag);
  class->flow_virtual_time = fmax (class->flow_virtual_time, flow->start_tag);
  class->start_tag += cost_us[index] / fmax (class->share, min_share_weight);
  flow->start_tag += cost_us[index] / flow->weight;
  fairqueue_remove (queue, item);
  return item;
}

void
fairqueue_foreach (fairqueue_t *queue, fairqueue_visit_t visit, void *data)
{
  for (guint c = 0; c < queue->class_count; c++)
    {
      for (guint f = 0; f < queue->customer_count; f++)
        {
          list_node_t *head = &queue->classes[c].flows[f].items;
          list_node_t *next;

          for (list_node_t *node = head->next; node != head; node = next)
            {
              next = node->next;
              if (!visit (LIST_ENTRY (node, fairqueue_item_t, node), data))
                return;
            }
        }
    }
}
