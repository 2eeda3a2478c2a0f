/* Tasks under which executors crash.
 *
 * A run that is lost with its executor says little: the executor may be cut off, and other runs
 * were lost with it.  So a loss counts only once a later incarnation shows that the executor has
 * crashed, without an answer of the former one after the loss.  It counts as a crash at the start
 * unless a report had listed the run; and for less if the executor had not answered the start.  A
 * task that may have crashed an executor starts again on an executor on which nothing else starts
 * for a while, which tells it from those that were started beside it.
 *
 * Long-running tasks never fail: crashes add up over their life.  One whose runs are lost early,
 * time after time, starts again after a growing delay, and only one of its step is on trial at a
 * time.
 */
#include "decide/scheduler_state.h"

#include <string.h>

enum
{
  /* What a crash at the start of a run counts.  An executor that did not answer the start may have
   * crashed before it came. */
  CONFIRMED_POINTS = 3,
  UNCONFIRMED_POINTS = 2,
  POINTS_MAX = 6, /* the job fails: two confirmed ones, or three */
  /* The members of a gang start together and cannot be told apart by another start. */
  GANG_POINTS_MAX = 9,
  CRASHES_MAX = 5 /* executors that crashed while a run of the task was on them */
};

/* Longer than a hold request waits before it lists the run. */
static const gint64 trial_us = 1200 * 1000;

/* A run that lasted longer says that the task did not crash the executor. */
static const gint64 early_us = 10 * G_USEC_PER_SEC;
/* From the executor's last report to the next start, from the second early loss in a row, doubled
 * with each.  A long-running task has to run again within 6 s. */
static const gint64 back_off_min_us = 500 * 1000;
static const gint64 back_off_max_us = 4 * G_USEC_PER_SEC;

enum
{
  /* From this streak on the tasks of a step are on trial one at a time. */
  LONE_TRIAL_STREAK = 2
};

static void
back_off (task_t *task, const lost_run_t *lost)
{
  gint64 delay_us = back_off_min_us;

  task->crash_streak = lost->ran_us < early_us ? task->crash_streak + 1 : 0;
  if (task->crash_streak < LONE_TRIAL_STREAK)
    return;
  for (guint i = LONE_TRIAL_STREAK; i < task->crash_streak && delay_us < back_off_max_us; i++)
    delay_us *= 2;
  task->retry_at_us = MAX (task->retry_at_us, lost->seen_us + delay_us);
}

static bool
is_on_trial (const task_t *task)
{
  return task->is_suspect && !list_is_empty (&task->runs);
}

bool
scheduler_must_wait_for_trial (const task_t *task)
{
  const step_t *step = task->step;

  if (!step->spec->long_running || !task->is_suspect || task->crash_streak < LONE_TRIAL_STREAK)
    return false;
  for (guint i = 0; i < step->spec->count; i++)
    {
      if (is_on_trial (&step->tasks[i]))
        return true;
    }
  return false;
}

bool
scheduler_gang_backs_off (const step_t *step, gint64 now_us)
{
  for (guint i = 0; step->spec->long_running && i < step->spec->count; i++)
    {
      if (step->tasks[i].retry_at_us > now_us)
        return true;
    }
  return false;
}

static void
count_crash (scheduler_t *scheduler,
             const executor_t *executor,
             const lost_run_t *lost,
             gint64 now_us)
{
  task_t *task = scheduler_find_task (scheduler, &lost->task);
  guint points_max;

  if (task == NULL || task->is_done || task->step->job->is_ended)
    return;
  task->crashes++;
  if (lost->is_at_start)
    task->crash_points += lost->is_start_confirmed ? CONFIRMED_POINTS : UNCONFIRMED_POINTS;
  scheduler_log (scheduler, "crash_counted",
                 "job=%s task=%u.%u.%u run=%u executor=%s at_start=%d confirmed=%d "
                 "crash_points=%u crashes=%u",
                 lost->task.job, lost->task.occurrence, lost->task.step, lost->task.index,
                 lost->run, executor->id, (int) lost->is_at_start, (int) lost->is_start_confirmed,
                 task->crash_points, task->crashes);
  scheduler_mark_dirty (scheduler, task->step->job);
  if (task->step->spec->long_running)
    {
      back_off (task, lost);
      return;
    }
  points_max = task->step->spec->gang ? GANG_POINTS_MAX : POINTS_MAX;
  if (task->crash_points >= points_max || task->crashes >= CRASHES_MAX)
    scheduler_fail_job (scheduler, task->step->job, now_us);
}

static void
add_lost_run (GArray *lost_runs, run_t *run)
{
  lost_run_t lost = { .task = run->ref, .run = run->number };

  if (run->state == RUN_PLANNED || run->state == RUN_WITHDRAWN || run->is_counted_lost)
    return;
  run->is_counted_lost = true;
  lost.is_at_start = !run->was_reported && !run->is_restored;
  lost.is_start_confirmed = run->running_since_us > 0;
  lost.seen_us = run->executor->last_report_us;
  if (lost.is_start_confirmed && lost.seen_us > run->running_since_us)
    lost.ran_us = lost.seen_us - run->running_since_us;
  if (run->task != NULL && lost.is_at_start)
    run->task->is_suspect = true;
  g_array_append_val (lost_runs, lost);
}

GArray *
scheduler_lost_runs (executor_t *executor)
{
  GArray *lost_runs = g_array_new (FALSE, FALSE, sizeof (lost_run_t));

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    add_lost_run (lost_runs, LIST_ENTRY (node, run_t, executor_node));
  return lost_runs;
}

void
scheduler_count_lost_runs (scheduler_t *scheduler,
                           executor_t *executor,
                           const GArray *lost_runs,
                           gint64 now_us)
{
  for (guint i = 0; i < lost_runs->len; i++)
    {
      const lost_run_t *lost = &g_array_index (lost_runs, lost_run_t, i);

      if (executor->has_crashed)
        count_crash (scheduler, executor, lost, now_us);
      else
        g_array_append_val (executor->lost_runs, *lost);
    }
}

void
scheduler_executor_crashed (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  g_autoptr (GArray) lost_runs = executor->lost_runs;

  if (!executor->has_crashed)
    scheduler_log (scheduler, "executor_crashed", "executor=%s address=%s lost=%u", executor->id,
                   executor->address != NULL ? executor->address : "-", lost_runs->len);
  executor->has_crashed = true;
  executor->lost_runs = g_array_new (FALSE, FALSE, sizeof (lost_run_t));
  scheduler_count_lost_runs (scheduler, executor, lost_runs, now_us);
}

void
scheduler_executor_survived (executor_t *executor)
{
  g_array_set_size (executor->lost_runs, 0);
  executor->has_crashed = false;
}

/* Returns the executor that was last known at the address; NULL: none is there, as a later
 * incarnation of it is elsewhere. */
static executor_t *
find_at_address (const scheduler_t *scheduler, const char *address)
{
  executor_t *executor = g_hash_table_lookup (scheduler->executors_by_address, address);

  return executor != NULL && strcmp (executor->address, address) == 0 ? executor : NULL;
}

void
scheduler_executor_at_address (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  executor_t *other = find_at_address (scheduler, executor->address);
  executor_t *former = other;

  if (other == executor)
    return;
  if (other == NULL || other->born < executor->born)
    g_hash_table_insert (scheduler->executors_by_address, g_strdup (executor->address), executor);
  else
    former = executor;
  if (former != NULL && former->born > 0 && !former->is_draining)
    scheduler_executor_crashed (scheduler, former, now_us);
}

void
scheduler_task_survived_start (scheduler_t *scheduler, task_t *task, executor_t *executor)
{
  if (!task->is_suspect)
    return;
  task->is_suspect = false;
  executor->trial_until_us = 0;
  if (task->crash_points == 0)
    return;
  task->crash_points = 0;
  scheduler_mark_dirty (scheduler, task->step->job);
}

void
scheduler_begin_trial (executor_t *executor, gint64 now_us)
{
  executor->trial_until_us = now_us + trial_us;
}
