#include "decide/scheduler_state.h"

/* Run times are rough, and the longest task of a step decides when it ends: an executor is fast
 * enough for a job if it would be on time even if its work took this much longer. */
static const double runtime_margin = 2.0;
/* Time that is lost before a task starts and after it ends: advice, placement, reports. */
static const gint64 overhead_us = 100 * 1000;
/* Runs that are shorter than this are measured too roughly. */
static const gint64 min_measured_us = 50 * 1000;
/* Progress below this is rounded too roughly. */
static const guint min_percent = 20;
/* A step waits for a faster executor for at most this long after it is ready, and for at most this
 * part of its run time. */
static const gint64 hold_limit_us = 250 * 1000;
static const gint64 hold_divisor = 4;

/* Data near the executor outweighs the choice among those that are fast enough, and speed that is
 * needed outweighs both.  Failures outweigh all (slot_cost()). */
static const gint64 class_cost = 100 * 1000;

/* Ranks of executors for a step, in units of class_cost; lower is better. */
enum
{
  TOO_SLOW_RANK = 20, /* of the fastest class among those that are too slow */
  RANKS = TOO_SLOW_RANK + EXECUTOR_SPEED_CLASS_MAX - EXECUTOR_SPEED_CLASS_MIN + 1
};

/* False for a run that tells nothing on its executor.  A run of an earlier leader began before this
 * one knew it, and a task with a checkpoint has done part of its work before.  The members of a
 * gang end together, and a task that uses spare processor time runs as fast as others let it. */
static bool
is_measurable (const run_t *run, gint64 now_us)
{
  const task_t *task = run->task;

  return run->executor->speed != NULL && task != NULL && !task->is_done && task->checkpoint == NULL
         && run->start_sent_us > 0 && run->running_since_us > 0
         && now_us - run->running_since_us >= min_measured_us && task->step->spec->count > 1
         && !task->step->spec->gang && !task->step->spec->fills && !task->step->spec->long_running;
}

static executor_speed_runs_t *
ensure_speed_runs (step_t *step)
{
  if (step->speed_runs == NULL)
    step->speed_runs = executor_speed_runs_new (step->spec->count);
  return step->speed_runs;
}

/* Run time that the progress of the run promises; 0 while it is too little to tell. */
static gint64
promised_runtime_us (const run_t *run)
{
  if (run->percent < min_percent || run->last_progress_us - run->running_since_us < min_measured_us)
    return 0;
  return (run->last_progress_us - run->running_since_us) * 100 / (gint64) run->percent;
}

static void
log_speed (const scheduler_t *scheduler, const executor_t *executor, gint64 now_us)
{
  if (executor_speed_is_log_due (executor->speed, now_us))
    scheduler_log (scheduler, "executor_speed", "executor=%s speed=%.2f class=%d", executor->id,
                   executor_speed_value (executor->speed), executor_speed_class (executor->speed));
}

void
scheduler_learn_speed (scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  gint64 promised_us = promised_runtime_us (run);

  if (!is_measurable (run, now_us))
    return;
  if (promised_us > 0)
    executor_speeds_check_progress (scheduler->speeds, promised_us, now_us - run->running_since_us);
  executor_speeds_learn (scheduler->speeds, ensure_speed_runs (run->task->step),
                         run->executor->speed, run->task->index, now_us - run->running_since_us);
  log_speed (scheduler, run->executor, now_us);
}

void
scheduler_learn_speed_from_progress (scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  gint64 promised_us = promised_runtime_us (run);

  if (promised_us == 0 || run->state != RUN_ALIVE || !is_measurable (run, now_us)
      || !executor_speeds_trust_progress (scheduler->speeds))
    return;
  executor_speeds_learn_progress (scheduler->speeds, ensure_speed_runs (run->task->step),
                                  run->executor->speed, run->task->index, promised_us);
  log_speed (scheduler, run->executor, now_us);
}

void
scheduler_set_min_speed (const scheduler_t *scheduler,
                         step_t *step,
                         const queue_order_key_t *key,
                         gint64 remaining_us)
{
  double remaining = (double) MAX (remaining_us, 1);
  double available = remaining + (double) key->slack_us - (double) overhead_us;

  step->min_speed = 0.0;
  if (scheduler->speeds == NULL || !queue_order_has_slack (key))
    return;
  step->min_speed = runtime_margin * remaining / MAX (available, 1.0);
}

bool
scheduler_is_fast_enough (const step_t *step, const executor_t *executor)
{
  return executor_speed_for_placement (executor->speed) >= MIN (step->min_speed, 1.0);
}

static guint
rank_of (const step_t *step, const executor_t *executor)
{
  int class = executor_speed_class (executor->speed);

  if (executor_speed_for_placement (executor->speed) >= step->min_speed)
    return (guint) (class - EXECUTOR_SPEED_CLASS_MIN);
  return (guint) (TOO_SLOW_RANK + EXECUTOR_SPEED_CLASS_MAX - class);
}

gint64
scheduler_speed_cost (const step_t *step, const executor_t *executor)
{
  return class_cost * rank_of (step, executor);
}

/* True if a task of the step is expected to fit on the executor within this time. */
static bool
has_room_within (const step_t *step, const executor_t *executor, gint64 within_us, gint64 now_us)
{
  resource_vector_t resources = scheduler_free_resources (step, executor);

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (scheduler_run_remaining_us (run, now_us) > within_us)
        continue;
      resources.cpu_milli += run->resources.cpu_milli;
      resources.mem_mb += run->resources.mem_mb;
      resources.gpu += run->resources.gpu;
    }
  return scheduler_resources_fit (step->spec->need, resources);
}

bool
scheduler_should_hold_for_speed (const scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  gint64 limit_us
      = MIN (hold_limit_us, scheduler_expected_runtime_us (step, now_us) / hold_divisor);
  gint64 left_us = step->ready_us + limit_us - now_us;

  if (scheduler->speeds == NULL || left_us <= 0)
    return false;
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      if (!scheduler_is_fast_enough (step, executor)
          || !scheduler_executor_is_usable (executor, now_us)
          || !scheduler_executor_is_eligible (step, executor)
          || scheduler_executor_interferes (executor, step)
          || (step->job->queue->advice.is_needed
              && scheduler_advice_decision (step, executor) == ADVICE_DENIED))
        continue;
      if (has_room_within (step, executor, left_us, now_us))
        return true;
    }
  return false;
}

static bool
is_one_class (const GPtrArray *executors)
{
  for (guint i = 1; i < executors->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (executors, i);
      const executor_t *first = g_ptr_array_index (executors, 0);

      if (executor_speed_class (executor->speed) != executor_speed_class (first->speed))
        return false;
    }
  return true;
}

/* Sorted by counting: there are few ranks, and executors of one rank stay as they are. */
GPtrArray *
scheduler_sort_by_speed (const step_t *step, GPtrArray *executors)
{
  g_autofree guint8 *ranks = NULL;
  guint starts[RANKS + 1] = { 0 };
  GPtrArray *sorted;

  if (is_one_class (executors))
    return g_ptr_array_ref (executors);
  ranks = g_new (guint8, executors->len);
  for (guint i = 0; i < executors->len; i++)
    {
      ranks[i] = (guint8) rank_of (step, g_ptr_array_index (executors, i));
      starts[ranks[i] + 1]++;
    }
  for (guint rank = 1; rank < RANKS; rank++)
    starts[rank] += starts[rank - 1];
  sorted = g_ptr_array_sized_new (executors->len);
  g_ptr_array_set_size (sorted, (gint) executors->len);
  for (guint i = 0; i < executors->len; i++)
    g_ptr_array_index (sorted, starts[ranks[i]]++) = g_ptr_array_index (executors, i);
  return sorted;
}
