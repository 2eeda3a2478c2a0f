#include "decide/scheduler_state.h"

/* Progress of runs: estimates their remaining time, and detects stalled runs.
 *
 * A run whose reported progress does not change for too long is stopped and started elsewhere,
 * and its executor is ejected for a while. */

enum
{
  STALL_RESTARTS_MAX = 2 /* per task: a task that stalls on several executors is itself the cause */
};

/* A run has stalled when its progress has not changed for `stall_us`, or for `stall_fraction` of
 * its expected run time if that is longer. */
static const gint64 stall_us = 2500 * 1000;
static const double stall_fraction = 0.04;
/* From this percentage on a run never counts as stalled, as progress within the last percent
 * is not visible. */
static const guint nearly_done_percent = 99;
static const gint64 ejection_us = 4 * G_USEC_PER_SEC;

gint64
scheduler_time_on (const executor_t *executor, gint64 runtime_us)
{
  return (gint64) ((double) runtime_us / executor_speed_value (executor->speed));
}

/* Speed of the run: a gang runs at the speed of its slowest member. */
static double
run_speed (const run_t *run)
{
  double speed = executor_speed_value (run->executor->speed);
  const step_t *step = run->task != NULL ? run->task->step : NULL;

  if (run->executor->speed == NULL || step == NULL || !step->spec->gang)
    return speed;
  for (guint i = 0; i < step->spec->count; i++)
    {
      const list_node_t *head = &step->tasks[i].runs;

      for (list_node_t *node = head->next; node != head; node = node->next)
        {
          const run_t *member = LIST_ENTRY (node, run_t, task_node);

          if (member->number == run->number)
            speed = MIN (speed, executor_speed_value (member->executor->speed));
        }
    }
  return speed;
}

gint64
scheduler_run_nominal_us (const run_t *run, gint64 now_us)
{
  if (run->running_since_us == 0)
    return 0;
  return (gint64) ((double) (now_us - run->running_since_us) * run_speed (run));
}

/* Lower bound of the estimated remaining time. */
static const gint64 min_remaining_us = 100 * 1000;

gint64
scheduler_run_remaining_us (run_t *run, gint64 now_us)
{
  gint64 remaining_us = min_remaining_us;

  if (run->task == NULL || run->state == RUN_STOPPING || run->state == RUN_STOPPED)
    return min_remaining_us;
  if (run->percent > 0 && run->last_progress_us > run->running_since_us)
    remaining_us = (run->last_progress_us - run->running_since_us) * (100 - (gint64) run->percent)
                       / (gint64) run->percent
                   - (now_us - run->last_progress_us);
  else
    remaining_us = scheduler_expected_remaining_us (run, now_us);
  return MAX (remaining_us, min_remaining_us);
}

void
scheduler_eject_executor (scheduler_t *scheduler,
                          executor_t *executor,
                          const char *reason,
                          gint64 now_us)
{
  if (executor->ejected_until_us > now_us)
    return;
  executor->ejected_until_us = now_us + ejection_us;
  executor->is_on_probation = true;
  scheduler_log (scheduler, "executor_aside",
                 "executor=%s reason=%s failures=%u for_ms=%" G_GINT64_FORMAT, executor->id, reason,
                 executor->consecutive_failures, ejection_us / 1000);
}

void
scheduler_record_progress (executor_t *executor, run_t *run, guint percent, gint64 now_us)
{
  if (run->last_progress_us > 0 && percent == run->percent)
    return;
  if (run->last_progress_us > 0)
    executor->is_on_probation = false;
  run->percent = percent;
  run->last_progress_us = now_us;
}

/* Time without progress after which the run has stalled, if its expected run time allows this
 * much. */
static gint64
stall_limit_on (const scheduler_t *scheduler, const run_t *run, gint64 allowed_us)
{
  gint64 limit_us = allowed_us;

  /* On an executor that is known to be slow, each percent takes longer. */
  if (executor_speed_class (run->executor->speed) < 0)
    limit_us = scheduler_time_on (run->executor, limit_us);
  /* The members of a gang first wait for each other. */
  if (run->task->step->spec->gang && run->percent == 0)
    limit_us += scheduler->limits.gang_wait_us;
  return limit_us;
}

static bool
is_stalled (const scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  gint64 silent_us = now_us - run->last_progress_us;
  gint64 allowed_us;

  /* The expected run time, which only prolongs the limit, takes longer to find. */
  if (run->percent >= nearly_done_percent || silent_us <= stall_limit_on (scheduler, run, stall_us))
    return false;
  allowed_us = (gint64) (stall_fraction
                         * (double) scheduler_expected_runtime_us (run->task->step, now_us));
  return silent_us > stall_limit_on (scheduler, run, MAX (stall_us, allowed_us));
}

void
scheduler_check_stalls (scheduler_t *scheduler,
                        executor_t *executor,
                        const executor_report_t *report,
                        gint64 now_us)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (run->state != RUN_ALIVE || run->task == NULL || run->last_progress_us == 0
          || run->task->step->spec->long_running || run->task->stall_restarts >= STALL_RESTARTS_MAX)
        continue;
      if (!is_stalled (scheduler, run, now_us)
          || scheduler_run_evidence (report, run) == RUN_NOT_TOLD)
        continue;
      run->task->stall_restarts++;
      scheduler_eject_executor (scheduler, executor, "stalled", now_us);
      scheduler_stop_run (scheduler, run, now_us);
    }
}
