#include "decide/scheduler_state.h"

/* Caps and shares of workspaces in the rounds: what a step may start, what it sets aside, and in
 * which order excess work is served.  workspace_accounts.c keeps the accounts. */

enum
{
  /* Excess work requests advice while more calls can be sent than are in flight; after a long wait,
   * while this many times as many can. */
  LONG_WAIT_FACTOR = 4,
  WAITS_LOGGED_PER_SECOND = 100, /* lines on waiting steps, over all steps */
  /* The fleet is full for tasks of a step while fewer of them fit than there are executors that it
   * could use, divided by this: some room is always about to be taken. */
  FULL_DIVISOR = 10
};

/* A job with nothing running may wait for 3 s at most where there is capacity for it. */
static const gint64 long_wait_us = 2 * G_USEC_PER_SEC;

/* A step that waits is logged after the first time, and then at this interval. */
static const gint64 log_after_us = G_USEC_PER_SEC;
static const gint64 log_interval_us = 2 * G_USEC_PER_SEC;

/* What each task of the step counts for: tasks that use spare processor time occupy none. */
static resource_vector_t
counted_need (const step_t *step)
{
  resource_vector_t need = step->spec->need;

  if (step->spec->fills)
    need.cpu_milli = 0;
  return need;
}

/* A gang needs room for all of its tasks; one that has members left of an earlier run waits for
 * those to end. */
static guint
least_room (const step_t *step)
{
  return step->spec->gang && step->unplaced_count == step->spec->count ? step->spec->count : 1;
}

bool
scheduler_is_capped (const step_t *step)
{
  return step->cap.room < least_room (step);
}

bool
scheduler_has_no_room (const step_t *step)
{
  resource_vector_t need = counted_need (step);
  guint least = least_room (step);

  return workspace_account_room (step->job->account, &need, false, false, least) < least;
}

bool
scheduler_can_fit_cap (const step_t *step)
{
  resource_vector_t need = counted_need (step);

  return workspace_account_can_fit (step->job->account, &need, least_room (step));
}

void
scheduler_check_cap (waiting_step_t *entry)
{
  step_t *step = entry->step;
  workspace_account_t *account = step->job->account;
  resource_vector_t need = counted_need (step);

  workspace_account_release (account, &step->cap.hold, &need);
  step->cap.obeys_holds = workspace_account_is_held (account, &entry->key);
  step->cap.room
      = workspace_account_room (account, &need, step->cap.obeys_holds, false, step->unplaced_count);
}

guint
scheduler_wanted_tasks (const step_t *step)
{
  resource_vector_t need = counted_need (step);

  if (step->spec->gang)
    return step->unplaced_count;
  return workspace_account_room (step->job->account, &need, step->cap.obeys_holds, true,
                                 step->unplaced_count);
}

bool
scheduler_may_use_advice_slot (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  guint in_flight = g_hash_table_size (scheduler->advice_calls);
  guint idle = scheduler->advice_slots;

  if (!step->job->is_excess)
    return true;
  if (now_us - step->ready_us >= long_wait_us)
    idle *= LONG_WAIT_FACTOR;
  return idle > in_flight;
}

/* ---- Waiting. */

typedef enum
{
  WAITS_FOR_CAP,
  WAITS_FOR_SHARE,
  WAITS_FOR_RESOURCES,
  WAITS_FOR_ADVICE
} wait_reason_t;

static const char *
wait_reason_name (wait_reason_t reason)
{
  static const char *const names[] = { "cap", "share", "resources", "advice" };

  return names[reason];
}

/* True if the executors have room for what the step starts at a time, whatever advice says. */
static bool
has_resources (const scheduler_t *scheduler, const step_t *step)
{
  guint least = least_room (step);
  guint fits = 0;

  for (guint i = 0; i < scheduler->open_executors->len && fits < least; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->open_executors, i);

      if (scheduler_executor_is_eligible (step, executor))
        fits += scheduler_tasks_that_fit (step, executor);
    }
  return fits >= least;
}

step_room_t
scheduler_step_room (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  guint least = least_room (step);
  guint could_fit = 0;
  guint executors = 0;
  guint fits = 0;

  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      if (!scheduler_executor_is_usable (executor, now_us)
          || !scheduler_executor_is_eligible (step, executor))
        continue;
      executors++;
      could_fit += scheduler_tasks_per_executor (step, executor);
      fits += scheduler_tasks_that_fit (step, executor);
    }
  if (could_fit < least)
    return STEP_UNPLACEABLE;
  return fits < (least > 1 ? least : MAX (executors / FULL_DIVISOR, 1)) ? STEP_CROWDED_OUT
                                                                        : STEP_HAS_ROOM;
}

static wait_reason_t
wait_reason (const scheduler_t *scheduler, const step_t *step)
{
  if (scheduler_is_capped (step) || scheduler_has_no_room (step))
    return WAITS_FOR_CAP;
  if (step->job->is_excess)
    return WAITS_FOR_SHARE;
  if (step->job->queue->advice.is_needed && has_resources (scheduler, step))
    return WAITS_FOR_ADVICE;
  return WAITS_FOR_RESOURCES;
}

/* The bound keeps a flood of waiting work from flooding the log. */
static bool
may_log (scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  if (now_us - step->ready_us < log_after_us
      || (step->cap.logged_us > 0 && now_us - step->cap.logged_us < log_interval_us))
    return false;
  if (now_us - scheduler->waits_logged_from_us >= G_USEC_PER_SEC)
    {
      scheduler->waits_logged_from_us = now_us;
      scheduler->waits_logged = 0;
    }
  return scheduler->waits_logged < WAITS_LOGGED_PER_SECOND;
}

static void
log_wait (scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  const job_t *job = step->job;
  resource_vector_t need = counted_need (step);
  workspace_stats_t stats;

  if (!may_log (scheduler, step, now_us))
    return;
  scheduler->waits_logged++;
  step->cap.logged_us = now_us;
  workspace_account_stats (job->account, &stats);
  scheduler_log (scheduler, "step_waits",
                 "job=%s step=%u.%u reason=%s waited_ms=%" G_GINT64_FORMAT
                 " unplaced=%u cpu_milli=%u mem_mb=%u used_cpu=%" G_GUINT64_FORMAT
                 " cap_cpu=%" G_GUINT64_FORMAT " used_mem=%" G_GUINT64_FORMAT
                 " cap_mem=%" G_GUINT64_FORMAT " fits_cap=%d excess=%d workspace=%s",
                 job->spec->id, step->occurrence, step->index,
                 wait_reason_name (wait_reason (scheduler, step)), (now_us - step->ready_us) / 1000,
                 step->unplaced_count, need.cpu_milli, need.mem_mb, stats.used.cpu_milli,
                 stats.cap.cpu_milli, stats.used.mem_mb, stats.cap.mem_mb,
                 (int) scheduler_can_fit_cap (step), (int) job->is_excess, stats.name);
}

/* A gang that is wider than the cap holds nothing: it cannot run. */
static void
hold_for_cap (const waiting_step_t *entry, const resource_vector_t *need, gint64 now_us)
{
  step_t *step = entry->step;

  if (!scheduler_can_fit_cap (step))
    return;
  workspace_account_hold (step->job->account, &step->cap.hold, need, step->unplaced_count,
                          &entry->key, HOLD_FOR_CAP, now_us);
}

static void
set_aside (const waiting_step_t *entry, gint64 now_us)
{
  step_t *step = entry->step;
  resource_vector_t need = counted_need (step);

  if (scheduler_is_capped (step) || scheduler_has_no_room (step))
    hold_for_cap (entry, &need, now_us);
  else if (step->spec->gang && step->unplaced_count == step->spec->count)
    workspace_account_hold (
        step->job->account, &step->cap.hold, &need, step->unplaced_count, &entry->key,
        step->reserved_on != NULL ? HOLD_FOR_EXECUTORS : HOLD_FOR_ADVICE, now_us);
  else if (!step->spec->gang && step->calls_in_flight > 0)
    {
      workspace_account_plan (step->job->account, &step->cap.hold, &need,
                              scheduler_wanted_tasks (step));
      /* The cap was held for it, and would be taken again before the call is answered. */
      if (step->cap.hold.was_first)
        workspace_account_hold (step->job->account, &step->cap.hold, &need, 1, &entry->key,
                                HOLD_FOR_ADVICE, now_us);
    }
}

void
scheduler_note_wait (scheduler_t *scheduler, const waiting_step_t *entry, gint64 now_us)
{
  step_t *step = entry->step;

  if (step->job->account == NULL)
    return;
  if (step->unplaced_count == 0)
    {
      step->cap.hold = (cap_hold_t){ 0 };
      return;
    }
  set_aside (entry, now_us);
  log_wait (scheduler, step, now_us);
}

/* ---- Excess work. */

bool
scheduler_order_excess (GArray *waiting)
{
  g_autoptr (GHashTable) queued = g_hash_table_new_full (NULL, NULL, NULL, g_free);

  for (guint i = 0; i < waiting->len; i++)
    {
      waiting_step_t *entry = &g_array_index (waiting, waiting_step_t, i);
      workspace_account_t *account = entry->step->job->account;
      guint64 *cpu_milli;

      if (!queue_order_is_excess (&entry->key))
        continue;
      cpu_milli = g_hash_table_lookup (queued, account);
      if (cpu_milli == NULL)
        {
          cpu_milli = g_new0 (guint64, 1);
          g_hash_table_insert (queued, account, cpu_milli);
        }
      entry->key.usage = workspace_account_usage_per_weight (account, *cpu_milli);
      *cpu_milli += (guint64) entry->step->unplaced_count * entry->step->spec->need.cpu_milli;
    }
  return g_hash_table_size (queued) > 0;
}
