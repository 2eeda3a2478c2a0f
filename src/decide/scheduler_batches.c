#include "decide/scheduler_state.h"

#include <string.h>

void
scheduler_mark_dirty (scheduler_t *scheduler, job_t *job)
{
  if (list_is_linked (&job->dirty_node) || job->is_ended)
    return;
  list_push_back (&scheduler->dirty_jobs, &job->dirty_node);
  scheduler->is_batch_needed = true;
  scheduler->ops->save_progress (job->spec->id, scheduler->data);
}

void
scheduler_visit_progress (const scheduler_t *scheduler,
                          const char *id,
                          scheduler_progress_visitor_t visit,
                          void *data)
{
  job_t *job = scheduler_find_job (scheduler, id);

  if (job == NULL)
    return;
  for (guint i = 0; i < job->step_total; i++)
    {
      const step_t *step = &job->steps[i];

      for (guint t = 0; t < step->spec->count; t++)
        {
          const task_t *task = &step->tasks[t];
          task_progress_t progress = {
            .occurrence = step->occurrence,
            .step = step->index,
            .index = t,
            .is_done = task->is_done,
            .failures = task->failures,
            .failed_run_count = task->failed_run_count,
            .crashes = task->crashes,
            .crash_points = task->crash_points,
          };

          memcpy (progress.failed_runs, task->failed_runs, sizeof progress.failed_runs);
          if (progress.is_done || progress.failures > 0 || progress.crashes > 0)
            visit (&progress, data);
        }
    }
}

guint64
scheduler_batch_begin (scheduler_t *scheduler)
{
  while (!list_is_empty (&scheduler->dirty_jobs))
    list_remove (scheduler->dirty_jobs.next);
  scheduler->is_batch_needed = false;
  return scheduler->batch++;
}

guint64
scheduler_last_batch (const scheduler_t *scheduler)
{
  return scheduler->is_batch_needed ? scheduler->batch : scheduler->batch - 1;
}

void
scheduler_acknowledge_stored (scheduler_t *scheduler, executor_t *executor)
{
  pending_ack_t *ack = g_queue_peek_head (&executor->pending_acks);
  guint64 before = executor->acked;

  while (ack != NULL && ack->batch <= scheduler->stored_batch && ack->not_before_us == 0)
    {
      executor->acked = MAX (executor->acked, ack->number);
      g_free (g_queue_pop_head (&executor->pending_acks));
      ack = g_queue_peek_head (&executor->pending_acks);
    }
  if (g_queue_is_empty (&executor->pending_acks))
    list_remove (&executor->ack_node);
  if (executor->acked != before)
    scheduler_acknowledge (scheduler, executor);
}

void
scheduler_batch_stored (scheduler_t *scheduler, guint64 batch)
{
  list_node_t *next;

  scheduler->stored_batch = MAX (scheduler->stored_batch, batch);
  for (list_node_t *node = scheduler->acking.next; node != &scheduler->acking; node = next)
    {
      next = node->next;
      scheduler_acknowledge_stored (scheduler, LIST_ENTRY (node, executor_t, ack_node));
    }
}
