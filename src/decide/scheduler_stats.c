#include "decide/scheduler_state.h"

#include <string.h>

void
scheduler_stats (const scheduler_t *scheduler, scheduler_stats_t *stats)
{
  memset (stats, 0, sizeof *stats);
  stats->jobs = g_hash_table_size (scheduler->jobs);
  stats->runs = scheduler->run_total;
  stats->outlived_leases = scheduler->outlived_lease_count;
  stats->advice_calls = g_hash_table_size (scheduler->advice_calls);
  for (list_node_t *node = scheduler->job_list.next; node != &scheduler->job_list;
       node = node->next)
    {
      const job_t *job = LIST_ENTRY (node, job_t, node);

      for (guint i = 0; i < job->step_total; i++)
        stats->waiting_task_count += job->steps[i].unplaced_count;
    }
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      stats->executors++;
      stats->cpu_used_milli += executor->used.cpu_milli;
      if (executor->is_listed && executor->has_reported && !executor->is_draining)
        {
          stats->executors_usable++;
          stats->cpu_milli += executor->capacity.cpu_milli;
          stats->executors_slow += executor_speed_class (executor->speed) < 0;
          stats->executors_fast += executor_speed_class (executor->speed) > 0;
        }
    }
}

void
scheduler_visit_queues (const scheduler_t *scheduler, scheduler_queue_visitor_t visit, void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, scheduler->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const queue_t *queue = value;
      queue_stats_t stats = {
        .name = queue->name,
        .pending_jobs = queue->pending_job_count,
        .runtime_ratio = queue->runtime_ratio,
        .allowed_share = queue->allowed_share,
      };

      if (queue->runtimes != NULL)
        stats.runtimes = runtime_model_stats (queue->runtimes);
      visit (&stats, data);
    }
}

void
scheduler_visit_workspaces (const scheduler_t *scheduler, workspace_visitor_t visit, void *data)
{
  workspace_accounts_visit (scheduler->accounts, visit, data);
}
