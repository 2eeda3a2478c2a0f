#include "decide/scheduler_gang.h"

#include <string.h>

typedef struct
{
  gint64 at_us;
  resource_vector_t resources;
} release_t;

static int
compare_by_release (const void *a, const void *b)
{
  const release_t *left = a;
  const release_t *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

static int
compare_by_ready (const void *a, const void *b)
{
  const gang_slot_t *left = a;
  const gang_slot_t *right = b;

  if (left->ready_us != right->ready_us)
    return left->ready_us < right->ready_us ? -1 : 1;
  if (left->cost != right->cost)
    return left->cost < right->cost ? -1 : 1;
  return strcmp (left->executor->id, right->executor->id);
}

/* Free resources less those reserved for others.  Below 0 where reserved resources are still
 * in use. */
typedef struct
{
  gint64 cpu_milli;
  gint64 mem_mb;
  gint64 gpu;
} signed_resources_t;

static signed_resources_t
available_on (const step_t *step, const executor_t *executor)
{
  static const resource_vector_t none;
  const resource_vector_t *all = &executor->capacity;
  const resource_vector_t *used = &executor->used;
  const resource_vector_t *reserved = step->overrides_reservations ? &none : &executor->reserved;

  return (signed_resources_t){
    .cpu_milli = (gint64) all->cpu_milli - used->cpu_milli - reserved->cpu_milli,
    .mem_mb = (gint64) all->mem_mb - used->mem_mb - reserved->mem_mb,
    .gpu = (gint64) all->gpu - used->gpu - reserved->gpu,
  };
}

static void
add_scaled_resources (signed_resources_t *available,
                      const resource_vector_t *resources,
                      gint64 factor)
{
  available->cpu_milli += factor * resources->cpu_milli;
  available->mem_mb += factor * resources->mem_mb;
  available->gpu += factor * resources->gpu;
}

static bool
has_resources (const signed_resources_t *available, const resource_vector_t *need)
{
  return available->cpu_milli >= need->cpu_milli && available->mem_mb >= need->mem_mb
         && available->gpu >= need->gpu;
}

/* Lower is better: executors with fewer failures first, then those that are fast enough, then those
 * near the data, then the slowest, then the fullest ones, which leaves whole executors free. */
static gint64
cost_of (const step_t *step, const executor_t *executor)
{
  gint64 cost = (gint64) executor->capacity.cpu_milli - executor->used.cpu_milli
                + scheduler_speed_cost (step, executor);

  if (step->spec->data_rack != NULL
      && !scheduler_executor_has_label (executor, step->spec->data_rack))
    cost += 1000000;
  return cost + (gint64) executor->consecutive_failures * 10000000;
}

static gint64
ready_at (const step_t *step, const executor_t *executor, gint64 at_us, gint64 now_us)
{
  if (scheduler_has_ticket_at (step, executor, at_us))
    return at_us;
  return MAX (at_us, now_us + scheduler_advice_call_us (step, step->spec->count));
}

bool
gang_is_candidate (const step_t *step, const executor_t *executor, gint64 now_us)
{
  return scheduler_executor_is_usable (executor, now_us)
         && scheduler_executor_is_eligible (step, executor)
         && !scheduler_executor_interferes (executor, step);
}

/* An executor and the next slot that it provides. */
typedef struct
{
  gang_slot_t slot;
  signed_resources_t available; /* at slot.at_us, less what its slots so far take */
  guint slot_count;             /* slots so far */
  bool has_releases;            /* its releases were collected */
  guint next_release;           /* in the queue's `releases` */
  guint releases_end;
} slot_source_t;

struct gang_slot_queue
{
  const step_t *step;
  gint64 now_us;
  guint slots_max;        /* of one executor */
  slot_source_t *sources; /* of all candidates that provide a slot */
  slot_source_t **heap;   /* those that have a slot left, as a binary heap by compare_by_ready() */
  guint heap_size;
  GArray *releases; /* release_t; those of one executor are consecutive, the earliest first */
};

/* Moves the last of the releases to its place among those from `first` on, which are in order.
 * Executors have few runs. */
static void
place_last_release (GArray *releases, guint first)
{
  release_t *all = (release_t *) (void *) releases->data;
  guint i = releases->len - 1;
  release_t last = all[i];

  for (; i > first && compare_by_release (&all[i - 1], &last) > 0; i--)
    all[i] = all[i - 1];
  all[i] = last;
}

static void
collect_releases (gang_slot_queue_t *queue, slot_source_t *source)
{
  const list_node_t *head = &source->slot.executor->runs;
  gint64 now_us = queue->now_us;

  source->has_releases = true;
  source->next_release = queue->releases->len;
  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);
      release_t release = { now_us + scheduler_run_remaining_us (run, now_us), run->resources };

      g_array_append_val (queue->releases, release);
      place_last_release (queue->releases, source->next_release);
    }
  source->releases_end = queue->releases->len;
}

/* Sets the source's next slot, which is no earlier than the one before.  Returns false if it has
 * none left. */
static bool
find_next_slot (gang_slot_queue_t *queue, slot_source_t *source)
{
  const resource_vector_t *need = &queue->step->spec->need;

  if (source->slot_count == queue->slots_max)
    return false;
  while (!has_resources (&source->available, need))
    {
      const release_t *release;

      if (!source->has_releases)
        collect_releases (queue, source);
      if (source->next_release == source->releases_end)
        return false;
      release = &g_array_index (queue->releases, release_t, source->next_release++);
      source->slot.at_us = release->at_us;
      add_scaled_resources (&source->available, &release->resources, 1);
    }
  add_scaled_resources (&source->available, need, -1);
  source->slot.ready_us
      = ready_at (queue->step, source->slot.executor, source->slot.at_us, queue->now_us);
  source->slot_count++;
  return true;
}

/* Moves the source at `i` down to its place in the heap. */
static void
sift_down (gang_slot_queue_t *queue, guint i)
{
  slot_source_t **heap = queue->heap;
  slot_source_t *source = heap[i];

  for (guint child = 2 * i + 1; child < queue->heap_size; child = 2 * i + 1)
    {
      if (child + 1 < queue->heap_size
          && compare_by_ready (&heap[child + 1]->slot, &heap[child]->slot) < 0)
        child++;
      if (compare_by_ready (&source->slot, &heap[child]->slot) <= 0)
        break;
      heap[i] = heap[child];
      i = child;
    }
  heap[i] = source;
}

static void
add_source (gang_slot_queue_t *queue, executor_t *executor)
{
  slot_source_t *source = &queue->sources[queue->heap_size];

  *source = (slot_source_t){
    .slot
    = { .executor = executor, .at_us = queue->now_us, .cost = cost_of (queue->step, executor) },
    .available = available_on (queue->step, executor),
  };
  if (find_next_slot (queue, source))
    queue->heap[queue->heap_size++] = source;
}

gang_slot_queue_t *
gang_slot_queue_new (const GPtrArray *executors, const step_t *step, gint64 now_us)
{
  gang_slot_queue_t *queue = g_new0 (gang_slot_queue_t, 1);

  queue->step = step;
  queue->now_us = now_us;
  queue->slots_max = step->spec->count;
  if (step->spec->max_per_executor > 0)
    queue->slots_max = MIN (queue->slots_max, step->spec->max_per_executor);
  queue->sources = g_new (slot_source_t, executors->len);
  queue->heap = g_new (slot_source_t *, executors->len);
  queue->releases = g_array_new (FALSE, FALSE, sizeof (release_t));
  for (guint i = 0; i < executors->len; i++)
    {
      executor_t *executor = g_ptr_array_index (executors, i);

      if (gang_is_candidate (step, executor, now_us))
        add_source (queue, executor);
    }
  for (guint i = queue->heap_size / 2; i > 0; i--)
    sift_down (queue, i - 1);
  return queue;
}

void
gang_slot_queue_free (gang_slot_queue_t *queue)
{
  g_free (queue->sources);
  g_free (queue->heap);
  g_array_unref (queue->releases);
  g_free (queue);
}

bool
gang_slot_queue_pop (gang_slot_queue_t *queue, gang_slot_t *slot)
{
  if (queue->heap_size == 0)
    return false;
  *slot = queue->heap[0]->slot;
  if (!find_next_slot (queue, queue->heap[0]))
    queue->heap[0] = queue->heap[--queue->heap_size];
  if (queue->heap_size > 0)
    sift_down (queue, 0);
  return true;
}

bool
gang_slot_queue_has_fast_enough (const gang_slot_queue_t *queue)
{
  for (guint i = 0; i < queue->heap_size; i++)
    {
      if (scheduler_is_fast_enough (queue->step, queue->heap[i]->slot.executor))
        return true;
    }
  return false;
}

GArray *
gang_collect_slots (const GPtrArray *executors, const step_t *step, gint64 now_us)
{
  g_autoptr (gang_slot_queue_t) queue = gang_slot_queue_new (executors, step, now_us);
  GArray *gang_slots = g_array_new (FALSE, FALSE, sizeof (gang_slot_t));
  gang_slot_t slot;

  while (gang_slot_queue_pop (queue, &slot))
    g_array_append_val (gang_slots, slot);
  return gang_slots;
}

bool
gang_is_complete (const GArray *plan, const step_t *step)
{
  return plan != NULL && plan->len >= step->spec->count;
}

gint64
gang_start_us (const GArray *plan, const step_t *step)
{
  if (plan == NULL || plan->len < step->spec->count)
    return G_MAXINT64;
  return g_array_index (plan, gang_slot_t, step->spec->count - 1).ready_us;
}
