#include "decide/scheduler_state.h"
#include "decide/queue_order.h"

#include <string.h>

/* Interval between scheduling rounds while steps wait, and while none does. */
static const gint64 busy_step_us = 25 * 1000;
static const gint64 idle_step_us = 200 * 1000;

enum
{
  RESERVATIONS_MAX = 8 /* gangs for which resources are reserved at a time */
};

typedef struct
{
  step_t *step;
  queue_order_key_t key;
} waiting_step_t;

bool
cell_executor_suits (const step_t *step, const executor_t *executor)
{
  const job_t *job = step->job;
  const step_spec_t *spec = step->spec;

  if (g_strcmp0 (executor->service, job->queue->service) != 0)
    return false;
  if (spec->requires != NULL && !cell_has_label (executor, spec->requires))
    return false;
  return cell_room_fits (spec->need, executor->capacity);
}

static bool
is_ready (step_t *step, gint64 now_us)
{
  const job_t *job = step->job;
  const step_t *first = &job->steps[step->occurrence * job->spec->step_count];

  if (step->due_us > now_us)
    return false;
  if (step->ready_us > 0)
    return true;
  for (guint i = 0; i < step->index; i++)
    {
      if ((step->spec->after >> i & 1) != 0 && first[i].done_count < first[i].spec->count)
        return false;
    }
  step->ready_us = now_us;
  return true;
}

/* Critical path of an occurrence, the longest chain of estimated run times.  With
 * `only_unfinished`, steps that are done count as 0. */
static gint64
chain_us (const job_t *job, guint occurrence, bool only_unfinished)
{
  const step_t *steps = &job->steps[occurrence * job->spec->step_count];
  gint64 ends[JOB_MAX_STEPS];
  gint64 longest = 0;

  for (guint i = 0; i < job->spec->step_count; i++)
    {
      bool is_done = steps[i].done_count == steps[i].spec->count;
      gint64 start = 0;

      for (guint j = 0; j < i; j++)
        {
          if ((steps[i].spec->after >> j & 1) != 0)
            start = MAX (start, ends[j]);
        }
      ends[i] = start;
      if (!(only_unfinished && is_done))
        ends[i] += (gint64) ((double) steps[i].spec->est_us * job->queue->work_ratio);
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

static queue_order_key_t
key_of (const step_t *step, gint64 now_us)
{
  const job_t *job = step->job;
  gint64 chain = chain_us (job, step->occurrence, false);
  queue_order_job_t order = {
    .priority = job->queue->priority,
    .accepted_us = job->spec->times > 0 ? step->due_us : job->accepted_us,
    .objective_us = (gint64) (job->queue->stretch * (double) chain) + job->queue->objective_us,
    .remaining_us = chain_us (job, step->occurrence, true),
  };

  return queue_order_key (&order, now_us);
}

static int
by_key (const void *a, const void *b)
{
  return queue_order_compare (&((const waiting_step_t *) a)->key,
                              &((const waiting_step_t *) b)->key);
}

/* Ready steps that have unplaced tasks, in the order in which they are served. */
static GArray *
collect_waiting (cell_t *cell, gint64 now_us)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (waiting_step_t));

  for (list_node_t *node = cell->job_list.next; node != &cell->job_list; node = node->next)
    {
      job_t *job = LIST_ENTRY (node, job_t, node);

      if (job->is_ended)
        continue;
      for (guint i = 0; i < job->step_total; i++)
        {
          waiting_step_t entry = { .step = &job->steps[i] };

          if (entry.step->unplaced_count == 0 || !is_ready (entry.step, now_us))
            continue;
          entry.key = key_of (entry.step, now_us);
          g_array_append_val (waiting, entry);
        }
    }
  g_array_sort (waiting, by_key);
  return waiting;
}

/* True if the step must not run next to a run on the executor.  Tasks that use spare CPU slow
 * down tasks that serve users with a response-time target.  Nothing throttles the former, so
 * the two kinds are not placed on the same executor. */
bool
cell_executor_disturbed (const executor_t *executor, const step_t *step)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, by_executor);
      const step_spec_t *other = run->task != NULL ? run->task->step->spec : NULL;

      if (other == NULL)
        continue;
      if ((step->spec->fills && other->target_ms > 0)
          || (step->spec->target_ms > 0 && other->fills))
        return true;
    }
  return false;
}

static guint
runs_of_step (const executor_t *executor, const step_t *step)
{
  guint count = 0;

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, by_executor);

      count += run->ref.step == step->index && run->ref.occurrence == step->occurrence
               && strcmp (run->ref.job, step->job->spec->id) == 0;
    }
  return count;
}

/* An executor with free resources for the step, while a round is planned. */
typedef struct
{
  executor_t *executor;
  room_t resources; /* still free */
  guint placed;     /* tasks of the step on it, running ones included */
  guint taken;      /* tasks placed on it in this round */
} slot_t;

static GArray *
collect_slots (const cell_t *cell, const step_t *step, gint64 now_us)
{
  g_autoptr (GPtrArray) allowed = cell_allowed_executors (cell, step);
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (slot_t));

  for (guint i = 0; i < allowed->len; i++)
    {
      executor_t *executor = g_ptr_array_index (allowed, i);
      slot_t slot = { .executor = executor };

      if (!cell_executor_usable (executor, now_us) || !cell_executor_suits (step, executor)
          || cell_ticket (step, executor, now_us) == NULL
          || cell_executor_disturbed (executor, step))
        continue;
      slot.resources = cell_free_room (executor);
      if (!cell_room_fits (step->spec->need, slot.resources))
        continue;
      if (step->spec->max_per_executor > 0)
        slot.placed = runs_of_step (executor, step);
      g_array_append_val (slots, slot);
    }
  return slots;
}

/* Lower is better: executors with fewer failures first, then those near the data, then the
 * fullest ones, which leaves whole executors free for large tasks. */
static gint64
slot_cost (const step_t *step, const slot_t *slot)
{
  gint64 cost = slot->resources.cpu_milli;

  if (step->spec->data_rack != NULL && !cell_has_label (slot->executor, step->spec->data_rack))
    cost += 1000000;
  return cost + (gint64) slot->executor->consecutive_failures * 10000000;
}

static slot_t *
best_slot (const step_t *step, GArray *slots)
{
  slot_t *best = NULL;
  gint64 best_cost = G_MAXINT64;

  for (guint i = 0; i < slots->len; i++)
    {
      slot_t *slot = &g_array_index (slots, slot_t, i);
      gint64 cost;

      if (!cell_room_fits (step->spec->need, slot->resources))
        continue;
      if (step->spec->max_per_executor > 0 && slot->placed >= step->spec->max_per_executor)
        continue;
      cost = slot_cost (step, slot);
      if (cost < best_cost)
        {
          best = slot;
          best_cost = cost;
        }
    }
  return best;
}

static void
take_slot (const step_t *step, slot_t *slot)
{
  slot->resources.cpu_milli -= step->spec->fills ? 0 : step->spec->need.cpu_milli;
  slot->resources.mem_mb -= step->spec->need.mem_mb;
  slot->resources.gpu -= step->spec->need.gpu;
  slot->placed++;
  slot->taken++;
}

void
cell_start_task (cell_t *cell, task_t *task, executor_t *executor, guint number)
{
  task_ref_t ref = cell_task_ref (task);

  cell_plan_run (cell, cell_run_new (cell, task, &ref, executor, number));
}

static bool
place_each (cell_t *cell, step_t *step, GArray *slots, gint64 now_us)
{
  for (guint i = 0; i < step->spec->count; i++)
    {
      task_t *task = &step->tasks[i];
      slot_t *slot;

      if (!cell_task_wants_run (task) || task->retry_us > now_us)
        continue;
      slot = best_slot (step, slots);
      if (slot == NULL)
        return false;
      take_slot (step, slot);
      cell_start_task (cell, task, slot->executor, task->last_run + 1);
    }
  return true;
}

static bool
place_step (cell_t *cell, step_t *step, gint64 now_us)
{
  g_autoptr (GArray) slots = collect_slots (cell, step, now_us);

  return place_each (cell, step, slots, now_us);
}

static void
clear_reservations (cell_t *cell)
{
  for (guint i = 0; i < cell->executor_list->len; i++)
    ((executor_t *) g_ptr_array_index (cell->executor_list, i))->reserved = (room_t){ 0 };
}

/* Places the waiting steps in order.  Returns true if any step was waiting. */
static bool
dispatch (cell_t *cell, gint64 now_us)
{
  g_autoptr (GArray) waiting = collect_waiting (cell, now_us);
  guint reservations = 0;

  clear_reservations (cell);
  for (guint i = 0; i < waiting->len; i++)
    {
      step_t *step = g_array_index (waiting, waiting_step_t, i).step;

      if (step->spec->gang)
        {
          if (!cell_place_gang (cell, step, reservations < RESERVATIONS_MAX, now_us))
            reservations++;
        }
      else if (!place_step (cell, step, now_us) && step->job->queue->advice.is_needed)
        (void) cell_ask_advice (cell, step, now_us);
    }
  clear_reservations (cell);
  return waiting->len > 0;
}

gint64
cell_step (cell_t *cell, gint64 now_us, gint64 unix_ms G_GNUC_UNUSED)
{
  bool is_busy = false;

  cell_fleet_step (cell, now_us);
  cell_retry_stops (cell, now_us);
  if (!cell->is_closed)
    is_busy = dispatch (cell, now_us);
  cell_place_planned (cell);
  return now_us + (is_busy ? busy_step_us : idle_step_us);
}
