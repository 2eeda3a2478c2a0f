#include "decide/scheduler_state.h"

#include <string.h>

static void
end_job (scheduler_t *scheduler, job_t *job, job_state_t state)
{
  if (job->is_ended)
    return;
  if (!job->was_started)
    {
      job->queue->pending_job_count--;
      workspace_account_job_started (job->account);
    }
  job->was_started = true;
  job->state = state;
  job->is_ended = true;
  for (guint i = 0; i < job->step_total; i++)
    {
      job->steps[i].unplaced_count = 0;
      scheduler_discard_advice (scheduler, &job->steps[i]);
      scheduler_release_reservation (scheduler, &job->steps[i]);
    }
  scheduler_log (scheduler, "job_ended", "job=%s queue=%s state=%s", job->spec->id,
                 job->queue->name, job_state_name (state));
  scheduler->is_batch_needed = true;
  scheduler->ops->finish (job->spec->id, state, scheduler->data);
}

static void
stop_all_runs (scheduler_t *scheduler, job_t *job, gint64 now_us)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      for (guint t = 0; t < job->steps[i].spec->count; t++)
        {
          task_t *task = &job->steps[i].tasks[t];
          list_node_t *next;

          for (list_node_t *node = task->runs.next; node != &task->runs; node = next)
            {
              next = node->next;
              scheduler_stop_run (scheduler, LIST_ENTRY (node, run_t, task_node), now_us);
            }
        }
    }
}

void
scheduler_finish_job_if_done (scheduler_t *scheduler, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      if (job->steps[i].done_count < job->steps[i].spec->count)
        return;
    }
  end_job (scheduler, job, JOB_SUCCEEDED);
}

static void
mark_task_done (task_t *task)
{
  if (task->is_done)
    return;
  if (scheduler_task_is_unplaced (task))
    task->step->unplaced_count--;
  task->is_done = true;
  task->step->done_count++;
}

/* The step is done: those that come after it may be ready now. */
static void
finish_step (scheduler_t *scheduler, step_t *step)
{
  const job_t *job = step->job;
  guint first = step->occurrence * job->spec->step_count;

  scheduler_discard_advice (scheduler, step);
  scheduler_learn_step (step);
  for (guint i = step->index + 1; i < job->spec->step_count; i++)
    {
      if ((job->spec->steps[i].after >> step->index & 1) != 0)
        scheduler_touch_step (scheduler, &job->steps[first + i]);
    }
}

void
scheduler_task_done (scheduler_t *scheduler, task_t *task, gint64 now_us)
{
  step_t *step = task->step;
  job_t *job = step->job;

  if (task->is_done || job->is_ended || step->spec->long_running)
    return;
  mark_task_done (task);
  /* When one member of a gang is done, all of them are. */
  for (guint i = 0; step->spec->gang && i < step->spec->count; i++)
    mark_task_done (&step->tasks[i]);
  if (step->done_count == step->spec->count)
    finish_step (scheduler, step);
  /* Stops the other runs of a speculative task.  The run that is done is sent a stop order as
   * well, and then removed by the caller. */
  for (list_node_t *node = task->runs.next; step->spec->speculative && node != &task->runs;)
    {
      run_t *run = LIST_ENTRY (node, run_t, task_node);

      node = node->next;
      scheduler_stop_run (scheduler, run, now_us);
    }
  scheduler_mark_dirty (scheduler, job);
  scheduler_finish_job_if_done (scheduler, job);
}

/* Counts each failed run once, whatever the order in which ends are reported: the end on an
 * executor that was unreachable may be reported after those of later runs.  Returns false if the
 * run was counted before. */
static bool
count_failure (task_t *task, guint run)
{
  for (guint i = 0; i < task->failed_run_count; i++)
    {
      if (task->failed_runs[i] == run)
        return false;
    }
  if (task->failed_run_count == FAILED_RUNS_KEPT)
    {
      memmove (task->failed_runs, task->failed_runs + 1,
               (FAILED_RUNS_KEPT - 1) * sizeof task->failed_runs[0]);
      task->failed_run_count--;
    }
  task->failed_runs[task->failed_run_count++] = run;
  task->failures++;
  return true;
}

void
scheduler_fail_job (scheduler_t *scheduler, job_t *job, gint64 now_us)
{
  end_job (scheduler, job, JOB_FAILED);
  stop_all_runs (scheduler, job, now_us);
}

void
scheduler_task_failed (scheduler_t *scheduler, task_t *task, guint run, gint64 now_us)
{
  step_t *step = task->step;
  job_t *job = step->job;
  /* A gang fails as a whole, once per run number: its first task keeps the count. */
  task_t *counted = step->spec->gang ? &step->tasks[0] : task;

  if (task->is_done || job->is_ended || step->spec->long_running)
    return;
  if (!count_failure (counted, run))
    return;
  scheduler_mark_dirty (scheduler, job);
  if (counted->failures >= job->queue->attempts)
    scheduler_fail_job (scheduler, job, now_us);
}

bool
scheduler_cancel_job (scheduler_t *scheduler, const char *id, gint64 now_us)
{
  job_t *job = scheduler_find_job (scheduler, id);

  if (job == NULL)
    return false;
  end_job (scheduler, job, JOB_CANCELLED);
  stop_all_runs (scheduler, job, now_us);
  return true;
}
