#include "decide/queue_order.h"
#include "decide/scheduler_state.h"

#include <string.h>

/* Interval between scheduling rounds while steps wait, and while none does. */
static const gint64 busy_interval_us = 25 * 1000;
static const gint64 idle_interval_us = 200 * 1000;

enum
{
  RESERVATIONS_MIN = 8,           /* gangs for which resources may be reserved at a time */
  EXECUTORS_PER_RESERVATION = 64, /* in a larger fleet, one for each of these */
  PLANS_PER_RESERVATION = 4       /* gangs that are planned in one round */
};

bool
scheduler_executor_is_eligible (const step_t *step, const executor_t *executor)
{
  const job_t *job = step->job;
  const step_spec_t *spec = step->spec;

  if (g_strcmp0 (executor->service, job->queue->service) != 0)
    return false;
  if (spec->requires != NULL && !scheduler_executor_has_label (executor, spec->requires))
    return false;
  return scheduler_resources_fit (spec->need, executor->capacity);
}

static bool
is_ready (step_t *step, gint64 now_us)
{
  const job_t *job = step->job;
  const step_t *steps = &job->steps[step->occurrence * job->spec->step_count];

  if (step->due_us > now_us)
    return false;
  if (step->ready_us > 0)
    return true;
  for (guint i = 0; i < step->index; i++)
    {
      if ((step->spec->after >> i & 1) != 0 && steps[i].done_count < steps[i].spec->count)
        return false;
    }
  step->ready_us = now_us;
  return true;
}

/* Critical path of an occurrence, the longest chain of run times.  With `only_unfinished`, steps
 * that are done count as 0. */
static gint64
critical_path_us (const job_t *job, guint occurrence, bool only_unfinished, gint64 now_us)
{
  step_t *steps = &job->steps[occurrence * job->spec->step_count];
  gint64 ends[JOB_SPEC_MAX_STEPS];
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
        ends[i] += scheduler_step_runtime_us (&steps[i], now_us);
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

gint64
scheduler_objective_us (const job_t *job, guint occurrence, gint64 now_us)
{
  gint64 path_us = critical_path_us (job, occurrence, false, now_us);

  return (gint64) (job->queue->stretch * (double) path_us) + job->queue->objective_us;
}

static void
set_step_key (queue_order_key_t *key, const scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  job_t *job = step->job;
  queue_order_job_t order = {
    .priority = job->queue->priority,
    .accepted_us = job->spec->times > 0 ? step->due_us : job->accepted_us,
    .objective_us = scheduler_objective_us (job, step->occurrence, now_us),
    .remaining_us = critical_path_us (job, step->occurrence, true, now_us),
    .placing_us = scheduler_placing_us (step),
  };

  job->objective_us = order.objective_us;
  scheduler->limits.order->set_key (key, &order, now_us);
  scheduler_set_min_speed (scheduler, step, key, order.remaining_us);
}

static int
compare_by_key (const void *a, const void *b)
{
  return queue_order_compare (&((const waiting_step_t *) a)->key,
                              &((const waiting_step_t *) b)->key);
}

static void
add_if_waiting (scheduler_t *scheduler, GArray *waiting, step_t *step, gint64 now_us)
{
  waiting_step_t entry = { .step = step };

  if (step->job->is_ended || step->unplaced_count == 0 || !is_ready (step, now_us))
    return;
  set_step_key (&entry.key, scheduler, step, now_us);
  scheduler_apply_turn (&entry);
  if (step->job->is_excess)
    entry.key = queue_order_excess_key (&entry.key, 0.0);
  step->overrides_reservations = false;
  g_array_append_val (waiting, entry);
}

/* Ready steps that have unplaced tasks, in the order in which they are served. */
static GArray *
collect_waiting (scheduler_t *scheduler, gint64 now_us)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (waiting_step_t));

  for (list_node_t *node = scheduler->job_list.next; node != &scheduler->job_list;
       node = node->next)
    {
      job_t *job = LIST_ENTRY (node, job_t, node);

      for (guint i = 0; i < job->step_total; i++)
        add_if_waiting (scheduler, waiting, &job->steps[i], now_us);
    }
  scheduler_grant_turns (scheduler, waiting, now_us);
  g_array_sort (waiting, compare_by_key);
  if (scheduler_order_excess (waiting))
    g_array_sort (waiting, compare_by_key);
  return waiting;
}

/* Like collect_waiting(), but only steps that have changed since the last round.  Excess work is
 * left to full rounds, in which all other work that waits goes before it. */
static GArray *
collect_touched (scheduler_t *scheduler, gint64 now_us)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (waiting_step_t));

  for (guint i = 0; i < scheduler->touched->len; i++)
    {
      step_t *step = g_ptr_array_index (scheduler->touched, i);

      if (!step->job->is_excess)
        add_if_waiting (scheduler, waiting, step, now_us);
    }
  g_array_sort (waiting, compare_by_key);
  return waiting;
}

static void
clear_touched (scheduler_t *scheduler)
{
  for (guint i = 0; i < scheduler->touched->len; i++)
    ((step_t *) g_ptr_array_index (scheduler->touched, i))->is_touched = false;
  g_ptr_array_set_size (scheduler->touched, 0);
}

/* True if the step must not run next to a run on the executor.  Tasks that use spare CPU slow
 * down tasks that serve users with a response-time target.  Nothing throttles the former, so
 * the two kinds are not placed on the same executor. */
bool
scheduler_executor_interferes (const executor_t *executor, const step_t *step)
{
  if (!step->spec->fills && step->spec->target_ms == 0)
    return false;
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);
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
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);

      count += run->ref.step == step->index && run->ref.occurrence == step->occurrence
               && strcmp (run->ref.job, step->job->spec->id) == 0;
    }
  return count;
}

/* An executor with free resources for the step, while a round is planned. */
typedef struct
{
  executor_t *executor;
  resource_vector_t resources; /* still free */
  guint placed;                /* tasks of the step on it, running ones included */
  guint taken;                 /* tasks placed on it in this round */
} slot_t;

static GArray *
collect_slots (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  g_autoptr (GPtrArray) allowed = scheduler_allowed_executors (scheduler, step);
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (slot_t));

  for (guint i = 0; i < allowed->len; i++)
    {
      executor_t *executor = g_ptr_array_index (allowed, i);
      slot_t slot = { .executor = executor };

      if (!scheduler_executor_is_usable (executor, now_us)
          || !scheduler_executor_is_eligible (step, executor)
          || scheduler_find_ticket (step, executor, now_us) == NULL
          || scheduler_executor_interferes (executor, step))
        continue;
      slot.resources = scheduler_free_resources (step, executor);
      if (!scheduler_resources_fit (step->spec->need, slot.resources))
        continue;
      if (step->spec->max_per_executor > 0)
        slot.placed = runs_of_step (executor, step);
      g_array_append_val (slots, slot);
    }
  return slots;
}

/* Lower is better: executors with fewer failures first, then those that are fast enough, then those
 * near the data, then the slowest, then the fullest ones, which leaves whole executors free for
 * large tasks. */
static gint64
slot_cost (const step_t *step, const slot_t *slot)
{
  gint64 cost = slot->resources.cpu_milli + scheduler_speed_cost (step, slot->executor);

  if (step->spec->data_rack != NULL
      && !scheduler_executor_has_label (slot->executor, step->spec->data_rack))
    cost += 1000000;
  return cost + (gint64) slot->executor->consecutive_failures * 10000000;
}

/* The emptiest executor: if the task crashes it, the least work is lost. */
static slot_t *
trial_slot (const step_t *step, GArray *slots)
{
  slot_t *best = NULL;

  for (guint i = 0; i < slots->len; i++)
    {
      slot_t *slot = &g_array_index (slots, slot_t, i);

      if (slot->taken > 0 || !scheduler_resources_fit (step->spec->need, slot->resources)
          || (step->spec->max_per_executor > 0 && slot->placed >= step->spec->max_per_executor))
        continue;
      if (best == NULL || slot->executor->used.cpu_milli < best->executor->used.cpu_milli)
        best = slot;
    }
  return best;
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

      if (!scheduler_resources_fit (step->spec->need, slot->resources))
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
scheduler_start_task (scheduler_t *scheduler, task_t *task, executor_t *executor, guint number)
{
  task_ref_t ref = scheduler_task_ref (task);

  scheduler_plan_run (scheduler, scheduler_run_new (scheduler, task, &ref, executor, number));
}

static bool
is_held (const scheduler_t *scheduler, step_t *step, const slot_t *slot, gint64 now_us)
{
  if (scheduler_is_fast_enough (step, slot->executor))
    return false;
  step->is_held_for_speed = scheduler_should_hold_for_speed (scheduler, step, now_us);
  return step->is_held_for_speed;
}

/* Places the unplaced tasks of the step that the cap of its workspace lets start.  Returns false if
 * no slot was left for one of them. */
static bool
place_tasks (scheduler_t *scheduler, step_t *step, GArray *slots, gint64 now_us)
{
  guint room = step->cap.room;

  for (guint i = 0; i < step->spec->count && room > 0; i++)
    {
      task_t *task = &step->tasks[i];
      slot_t *slot;

      if (!scheduler_task_is_unplaced (task) || task->retry_at_us > now_us
          || scheduler_must_wait_for_trial (task))
        continue;
      slot = task->is_suspect ? trial_slot (step, slots) : best_slot (step, slots);
      if (slot == NULL || is_held (scheduler, step, slot, now_us))
        return false;
      take_slot (step, slot);
      room--;
      scheduler_start_task (scheduler, task, slot->executor, task->last_run_number + 1);
      if (!task->is_suspect)
        continue;
      scheduler_begin_trial (slot->executor, now_us);
      slot->resources = (resource_vector_t){ 0 };
    }
  return true;
}

static bool
place_step (scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  g_autoptr (GArray) slots = NULL;

  step->is_held_for_speed = false;
  if (scheduler_is_capped (step))
    return true;
  slots = collect_slots (scheduler, step, now_us);
  return place_tasks (scheduler, step, slots, now_us);
}

static void
release_reservations (scheduler_t *scheduler)
{
  while (scheduler->reserving->len > 0)
    scheduler_release_reservation (scheduler, g_ptr_array_index (scheduler->reserving, 0));
}

/* Reservations for excess work hold only against other excess work, which small rounds leave out.
 */
static void
release_excess_reservations (scheduler_t *scheduler)
{
  for (guint i = scheduler->reserving->len; i > 0; i--)
    {
      step_t *step = g_ptr_array_index (scheduler->reserving, i - 1);

      if (step->job->is_excess)
        scheduler_release_reservation (scheduler, step);
    }
}

/* Places a gang.  Returns what the round did for it. */
static gang_round_t
dispatch_gang (scheduler_t *scheduler,
               const waiting_step_t *waiting,
               guint max_reservations,
               gint64 now_us)
{
  step_t *step = waiting->step;
  bool may_reserve = step->reserved_on != NULL || scheduler->reserving->len < max_reservations;

  if (scheduler_place_gang (scheduler, step, may_reserve, now_us))
    return step->unplaced_count > 0 ? GANG_HELD : GANG_PLACED;
  if (step->reserved_on == NULL)
    return GANG_UNRESERVED;
  if (scheduler->reserving->len == 1)
    scheduler->first_reserving_key = waiting->key;
  return GANG_RESERVED;
}

/* Places the waiting steps in order. */
static void
dispatch (scheduler_t *scheduler, GArray *waiting, gint64 now_us)
{
  guint max_reservations
      = MAX (RESERVATIONS_MIN, scheduler->executor_list->len / EXECUTORS_PER_RESERVATION);
  guint plans = 0;

  for (guint i = 0; i < waiting->len; i++)
    {
      waiting_step_t *entry = &g_array_index (waiting, waiting_step_t, i);
      step_t *step = entry->step;

      scheduler_check_cap (entry);
      if (step->spec->gang)
        {
          gang_round_t round = GANG_UNPLANNED;

          if (scheduler_is_capped (step))
            {
              scheduler_release_reservation (scheduler, step);
              round = GANG_CAPPED;
            }
          else if (plans++ < max_reservations * PLANS_PER_RESERVATION)
            round = dispatch_gang (scheduler, entry, max_reservations, now_us);
          scheduler_count_gang_round (scheduler, step, round, &entry->key, now_us);
        }
      else if (!place_step (scheduler, step, now_us) && step->job->queue->advice.is_needed)
        (void) scheduler_request_advice (scheduler, step, now_us);
      scheduler_note_wait (scheduler, entry, now_us);
    }
}

/* Serves all waiting work.  Returns true if there is any. */
static bool
run_full_round (scheduler_t *scheduler, gint64 now_us)
{
  g_autoptr (GArray) waiting = NULL;

  scheduler_check_executors (scheduler, now_us);
  scheduler_retry_stops (scheduler, now_us);
  scheduler_stop_late_gangs (scheduler, now_us);
  clear_touched (scheduler);
  if (scheduler->is_closed)
    return false;
  release_reservations (scheduler);
  workspace_accounts_begin_round (scheduler->accounts);
  scheduler_list_open_executors (scheduler, now_us);
  waiting = collect_waiting (scheduler, now_us);
  dispatch (scheduler, waiting, now_us);
  return waiting->len > 0;
}

/* Serves the work that has changed, between the reservations of the last full round. */
static void
run_small_round (scheduler_t *scheduler, gint64 now_us)
{
  g_autoptr (GArray) waiting = NULL;

  if (scheduler->touched->len == 0)
    return;
  waiting = collect_touched (scheduler, now_us);
  clear_touched (scheduler);
  release_excess_reservations (scheduler);
  for (guint i = 0; i < waiting->len; i++)
    {
      const waiting_step_t *entry = &g_array_index (waiting, waiting_step_t, i);

      entry->step->overrides_reservations
          = queue_order_compare (&entry->key, &scheduler->first_reserving_key) < 0;
    }
  if (!scheduler->is_closed)
    dispatch (scheduler, waiting, now_us);
}

gint64
scheduler_run_round (scheduler_t *scheduler, gint64 now_us, gint64 unix_ms G_GNUC_UNUSED)
{
  bool is_busy = true;

  if (scheduler->first_round_us == 0)
    scheduler->first_round_us = now_us;
  if (now_us < scheduler->next_full_us)
    run_small_round (scheduler, now_us);
  else
    {
      is_busy = run_full_round (scheduler, now_us);
      scheduler->next_full_us = now_us + scheduler->limits.full_round_interval_us;
      scheduler->next_round_us = now_us + (is_busy ? busy_interval_us : idle_interval_us);
    }
  scheduler_store_planned (scheduler);
  return MAX (scheduler->next_round_us, scheduler->next_full_us);
}
