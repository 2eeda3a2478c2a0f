#include "decide/scheduler_state.h"

#include <math.h>

/* Expected run times: declared ones times the queue's moving ratio, or, with `learn_run_times`,
 * those of the queue's runtime_model_t.
 *
 * The model counts a gang as one task, that of index 0, since the members of a gang end together.
 */

static runtime_model_t *
model_of (const step_t *step)
{
  return step->job->queue->runtimes;
}

bool
scheduler_learns_runtimes (const step_t *step)
{
  return model_of (step) != NULL;
}

gint64
scheduler_expected_runtime_us (step_t *step, gint64 now_us)
{
  if (!scheduler_learns_runtimes (step))
    return (gint64) ((double) MAX (step->spec->est_runtime_us, 1000)
                     * step->job->queue->runtime_ratio);
  /* A round asks several times. */
  if (step->predicted_at_us != now_us)
    step->runtime_us = llround (
        runtime_model_predict (model_of (step), &step->runtime, &step->job->runtime, now_us)
            .median_us);
  step->predicted_at_us = now_us;
  return step->runtime_us;
}

gint64
scheduler_step_runtime_us (step_t *step, gint64 now_us)
{
  if (!scheduler_learns_runtimes (step))
    return (gint64) ((double) step->spec->est_runtime_us * step->job->queue->runtime_ratio);
  return MAX (scheduler_expected_runtime_us (step, now_us),
              llround (runtime_step_longest_us (&step->runtime)));
}

gint64
scheduler_expected_remaining_us (run_t *run, gint64 now_us)
{
  step_t *step = run->task->step;
  gint64 ran_us = run->running_since_us > 0 ? now_us - run->running_since_us : 0;

  if (!scheduler_learns_runtimes (step))
    return scheduler_time_on (run->executor, scheduler_expected_runtime_us (step, now_us)) - ran_us;
  /* A round asks for each gang that it plans. */
  if (run->remaining_at_us != now_us)
    run->remaining_us
        = runtime_model_remaining_us (model_of (step), &step->runtime, &step->job->runtime,
                                      run->is_timed || step->spec->gang ? run->running_since_us : 0,
                                      scheduler_run_nominal_us (run, now_us), now_us);
  run->remaining_at_us = now_us;
  return scheduler_time_on (run->executor, run->remaining_us);
}

void
scheduler_time_run (run_t *run)
{
  task_t *task = run->task;

  if (run->is_timed || !scheduler_learns_runtimes (task->step)
      || (task->step->spec->gang && task->index > 0) || task->step->spec->long_running)
    return;
  run->is_timed = true;
  runtime_model_run_began (model_of (task->step), &task->step->runtime, &task->step->job->runtime,
                           run->running_since_us);
}

void
scheduler_untime_run (run_t *run)
{
  if (!run->is_timed)
    return;
  run->is_timed = false;
  runtime_step_run_gone (&run->task->step->runtime, run->running_since_us);
}

/* What an earlier leader started began before this one knew of it, and a run from a checkpoint does
 * only the rest of the work. */
static bool
is_sample (const task_t *task, const run_t *run)
{
  return run->start_sent_us > 0 && run->running_since_us > 0 && task->checkpoint == NULL
         && !task->is_done && !task->step->job->is_ended && !task->step->spec->long_running;
}

void
scheduler_learn_runtime (task_t *task, run_t *run, gint64 now_us)
{
  gint64 ran_us = scheduler_run_nominal_us (run, now_us);

  if (!scheduler_learns_runtimes (task->step))
    return;
  scheduler_untime_run (run);
  if (!is_sample (task, run))
    return;
  task->step->predicted_at_us = 0;
  /* The end of a short run may be reported before the result of its start. */
  if (ran_us <= 0)
    ran_us = now_us - run->start_sent_us;
  if (ran_us > 0)
    runtime_model_task_done (model_of (task->step), &task->step->runtime, &task->step->job->runtime,
                             ran_us, now_us);
}

void
scheduler_learn_step (step_t *step)
{
  if (scheduler_learns_runtimes (step))
    runtime_model_step_done (model_of (step), &step->runtime, &step->job->runtime);
}
