#include "decide/scheduler_state.h"

#include <string.h>

resource_vector_t
scheduler_task_resources (const task_t *task)
{
  resource_vector_t resources = task->step->spec->need;

  if (task->step->spec->fills)
    resources.cpu_milli = 0;
  return resources;
}

/* Resources that a run occupies, even if it is only to be stopped.  A run of an unknown job is
 * assumed to occupy the whole executor. */
static resource_vector_t
run_resources (const scheduler_t *scheduler, const task_ref_t *ref, const executor_t *executor)
{
  const task_t *task = scheduler_find_task (scheduler, ref);

  return task != NULL ? scheduler_task_resources (task) : executor->capacity;
}

/* The workspace of the run's job, whether or not the run is one of its tasks'. */
static workspace_account_t *
run_account (const scheduler_t *scheduler, const task_ref_t *ref)
{
  const job_t *job = scheduler_find_job (scheduler, ref->job);

  return job != NULL ? job->account : NULL;
}

static void
add_used (executor_t *executor, resource_vector_t resources)
{
  executor->used.cpu_milli += resources.cpu_milli;
  executor->used.mem_mb += resources.mem_mb;
  executor->used.gpu += resources.gpu;
}

static void
subtract_used (executor_t *executor, resource_vector_t resources)
{
  executor->used.cpu_milli -= resources.cpu_milli;
  executor->used.mem_mb -= resources.mem_mb;
  executor->used.gpu -= resources.gpu;
}

void
scheduler_resize_unknown_runs (executor_t *executor)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (!run->has_unknown_job)
        continue;
      subtract_used (executor, run->resources);
      workspace_account_remove_run (run->account, &run->resources);
      run->resources = executor->capacity;
      workspace_account_add_run (run->account, &run->resources);
      add_used (executor, run->resources);
    }
}

/* Adds a run that takes these resources and counts for this account. */
run_t *
scheduler_add_run (scheduler_t *scheduler,
                   task_t *task,
                   const task_ref_t *ref,
                   executor_t *executor,
                   guint number,
                   resource_vector_t resources,
                   workspace_account_t *account)
{
  run_t *run = g_new0 (run_t, 1);

  run->task = task;
  run->ref = *ref;
  run->executor = executor;
  run->number = number;
  run->resources = resources;
  run->account = account;
  workspace_account_add_run (run->account, &run->resources);
  if (task != NULL)
    {
      if (scheduler_task_is_unplaced (task))
        task->step->unplaced_count--;
      if (task->step->turn_us > 0)
        {
          run->has_turn = true;
          scheduler->turn_cpu_milli += run->resources.cpu_milli;
        }
      if (task->step->unplaced_count == 0)
        task->step->turn_us = 0;
      task->last_run_number = MAX (task->last_run_number, number);
      list_push_back (&task->runs, &run->task_node);
      task->step->job->run_count++;
    }
  add_used (executor, run->resources);
  list_push_back (&executor->runs, &run->executor_node);
  scheduler->run_total++;
  return run;
}

run_t *
scheduler_run_new (
    scheduler_t *scheduler, task_t *task, const task_ref_t *ref, executor_t *executor, guint number)
{
  run_t *run
      = scheduler_add_run (scheduler, task, ref, executor, number,
                           run_resources (scheduler, ref, executor), run_account (scheduler, ref));

  run->has_unknown_job = scheduler_find_task (scheduler, ref) == NULL;
  return run;
}

/* Records that the run is known to have started. */
void
scheduler_run_began (run_t *run, gint64 now_us)
{
  job_t *job;

  if (run->running_since_us == 0)
    run->running_since_us = now_us;
  if (run->task == NULL)
    return;
  scheduler_time_run (run);
  job = run->task->step->job;
  if (job->began_us == 0)
    job->began_us = now_us;
  if (job->was_started)
    return;
  job->was_started = true;
  job->queue->pending_job_count--;
  workspace_account_job_started (job->account);
  if (job->is_excess)
    workspace_account_excess_started (job->account, now_us);
}

/* Removes a run that is not alive and will not start, and releases its resources.  The other
 * members of its gang are stopped. */
void
scheduler_remove_run (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  executor_t *executor = run->executor;
  task_t *task = run->task;
  guint number = run->number;

  scheduler_untime_run (run);
  scheduler_abandon_start (scheduler, run, now_us);
  scheduler_clear_order (scheduler, &run->start_order);
  scheduler_clear_order (scheduler, &run->stop_order);
  workspace_account_remove_run (run->account, &run->resources);
  subtract_used (executor, run->resources);
  list_remove (&run->executor_node);
  list_remove (&run->task_node);
  scheduler->run_total--;
  if (run->has_turn)
    scheduler->turn_cpu_milli -= run->resources.cpu_milli;
  scheduler_release_placement (scheduler, run);
  g_free (run);
  if (task == NULL)
    return;
  task->step->job->run_count--;
  if (scheduler_task_is_unplaced (task))
    {
      task->step->unplaced_count++;
      scheduler_touch_step (scheduler, task->step);
    }
  if (task->step->spec->gang && !task->is_done && !task->step->job->is_ended)
    scheduler_stop_gang (scheduler, task->step, number, now_us);
  if (task->step->job->is_ended)
    scheduler_release_job (scheduler, task->step->job);
}

/* How the start of the run is known: what tells a run that has ended with its executor from one
 * that the next incarnation may have started. */
static const char *
start_evidence (const run_t *run)
{
  if (run->was_reported)
    return "reported";
  if (run->running_since_us > 0)
    return "answered";
  return run->is_restored ? "restored" : "unanswered";
}

void
scheduler_log_lost_run (const scheduler_t *scheduler,
                        const run_t *run,
                        const char *reason,
                        gint64 now_us)
{
  scheduler_log (
      scheduler, "task_lost",
      "job=%s task=%u.%u.%u run=%u executor=%s reason=%s start=%s sent_ms=%" G_GINT64_FORMAT,
      run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
      run->executor->id, reason, start_evidence (run),
      run->start_sent_us > 0 ? (now_us - run->start_sent_us) / 1000 : -1);
}

bool
scheduler_run_is_planned (const run_t *run)
{
  return run->state == RUN_PLANNED || run->state == RUN_WITHDRAWN;
}

run_t *
scheduler_find_run (const executor_t *executor, const task_ref_t *ref, guint number)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (run->number == number && scheduler_is_same_task (&run->ref, ref))
        return run;
    }
  return NULL;
}
