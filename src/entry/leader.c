#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/keys.h"

/* Share of the VMs that may make slow advice calls at the same time. */
static const guint max_slow_advice_percent = 70;

enum
{
  METRIC_WORKSPACES_MAX = 64 /* by name; the others are one sum */
};

static void
free_spec (gpointer spec)
{
  job_spec_free (spec);
}

void
leader_destroy (leader_t *leader)
{
  g_hash_table_unref (leader->progress);
  g_hash_table_unref (leader->loaded_jobs);
  g_ptr_array_unref (leader->inherited_placement_keys);
  g_ptr_array_unref (leader->inherited_placement_values);
  g_hash_table_unref (leader->loaded_cancels);
  g_hash_table_unref (leader->assignments);
  g_hash_table_unref (leader->open_orders);
  g_hash_table_unref (leader->ended_jobs);
  g_hash_table_unref (leader->room.reservations);
  g_queue_clear_full (&leader->ended_job_order, g_free);
  leader_refusals_clear (&leader->refusals);
  g_clear_pointer (&leader->settled.former, leader_settled_free);
  scheduler_free (leader->scheduler);
  g_free (leader);
}

void
leader_depose (leader_t *leader, const char *reason)
{
  if (leader->is_deposed)
    return;
  leader->is_deposed = true;
  leader->deposed_us = clock_now_us ();
  LOG_WARN ("decider_deposed", "fence=%" G_GINT64_FORMAT " reason=%s", leader->config.fence,
            reason);
  leader->on_deposed (leader->callback_data);
}

bool
leader_may_act (const leader_t *leader)
{
  return leader->is_loaded && !leader->is_deposed
         && election_remaining_us (leader->election, clock_now_us ()) > 0;
}

/* ---- Scheduler steps. */

static void
update_advice_slots (leader_t *leader)
{
  guint vms = 0;
  guint idle = 0;
  guint slow = 0;
  guint max_slow;

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL || vm->is_leaving)
        continue;
      vms++;
      idle += vm->advice_order == 0;
      slow += vm->advice_order != 0 && vm->is_advice_slow;
    }
  max_slow = MAX (vms * max_slow_advice_percent / 100, 1);
  scheduler_set_advice_slots (leader->scheduler, idle, max_slow > slow ? max_slow - slow : 0);
}

static gboolean
step_timer_fired (gpointer data)
{
  leader_t *leader = data;

  leader->step_timer = 0;
  leader_schedule_round (leader);
  return G_SOURCE_REMOVE;
}

static gboolean
step (gpointer data)
{
  leader_t *leader = data;
  gint64 now_us = clock_now_us ();
  gint64 next_us;

  leader->step_idle = 0;
  if (leader->step_timer != 0)
    g_source_remove (leader->step_timer);
  leader->step_timer = 0;
  if (!leader_may_act (leader))
    {
      leader->step_timer = g_timeout_add (PERIODIC_CHECK_MS, step_timer_fired, leader);
      return G_SOURCE_REMOVE;
    }
  update_advice_slots (leader);
  next_us = scheduler_run_round (leader->scheduler, now_us, clock_unix_ms ());
  leader->step_timer
      = g_timeout_add ((guint) MAX ((next_us - now_us) / 1000, 1), step_timer_fired, leader);
  return G_SOURCE_REMOVE;
}

/* Events of the same main loop iteration share one step. */
void
leader_schedule_round (leader_t *leader)
{
  if (leader->step_idle == 0 && !leader->is_freed)
    leader->step_idle = g_idle_add (step, leader);
}

/* ---- Lifecycle. */

leader_t *
leader_new (store_t *store,
            election_t *election,
            const leader_config_t *config,
            desired_follower_t *desired,
            metrics_t *metrics,
            void (*on_deposed) (void *data),
            void (*on_step_down) (void *data),
            void *data)
{
  leader_t *leader = g_new0 (leader_t, 1);

  leader->store = store;
  leader->election = election;
  leader->config = *config;
  leader->desired = desired;
  leader->metrics = metrics;
  leader->on_deposed = on_deposed;
  leader->on_step_down = on_step_down;
  leader->callback_data = data;
  leader->started_us = clock_now_us ();
  list_init (&leader->vms);
  leader->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref);
  leader->inherited_placement_keys = g_ptr_array_new_with_free_func (g_free);
  leader->inherited_placement_values
      = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  leader->loaded_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_spec);
  leader->loaded_cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  leader->assignments
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, leader_assignment_free);
  leader->open_orders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  leader->ended_jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, leader_ended_job_free);
  g_queue_init (&leader->ended_job_order);
  leader->room.reservations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader->scheduler = scheduler_new (&config->limits, config->epoch, &leader_scheduler_ops, leader);
  scheduler_set_desired (leader->scheduler, desired_follower_state (desired));
  leader->recorder = recorder_new (store, election_key (election), config->fence, leader->scheduler,
                                   RECORDER_END_TTL_MS, &leader_recorder_events, leader);
  leader->placement_writer = placement_writer_new (store, election_key (election), config->fence,
                                                   &leader_placement_writer_events, leader);
  leader->periodic_check_timer
      = g_timeout_add (PERIODIC_CHECK_MS, leader_run_periodic_checks, leader);
  leader->store_check_timer = g_timeout_add (STORE_SILENCE_CHECK_MS, leader_check_store, leader);
  leader_start_loading (leader);
  return leader;
}

void
leader_free (leader_t *leader)
{
  if (leader == NULL)
    return;
  leader->is_deposed = true;
  while (!list_is_empty (&leader->vms))
    leader_remove_vm (LIST_ENTRY (leader->vms.next, vm_t, node), "not_decider");
  leader->is_freed = true;
  watcher_free (leader->progress_watcher);
  watcher_free (leader->placements_watcher);
  watcher_free (leader->jobs_watcher);
  watcher_free (leader->registry_watcher);
  recorder_free (leader->recorder);
  leader->recorder = NULL;
  placement_writer_free (leader->placement_writer);
  leader->placement_writer = NULL;
  if (leader->step_idle != 0)
    g_source_remove (leader->step_idle);
  if (leader->step_timer != 0)
    g_source_remove (leader->step_timer);
  if (leader->close_timer != 0)
    g_source_remove (leader->close_timer);
  g_source_remove (leader->periodic_check_timer);
  g_source_remove (leader->store_check_timer);
  if (leader->pending_call_count == 0)
    leader_destroy (leader);
}

void
leader_apply_desired (leader_t *leader)
{
  scheduler_set_desired (leader->scheduler, desired_follower_state (leader->desired));
  /* The registry is read again for entries of services that were unknown until now. */
  if (leader->registry_watcher != NULL)
    leader->registry_watcher = watcher_restart (leader->registry_watcher);
  leader_schedule_round (leader);
}

static gboolean
close_timed_out (gpointer data)
{
  leader_t *leader = data;
  void (*on_closed) (void *data) = leader->on_closed;

  leader->close_timer = 0;
  leader->on_closed = NULL;
  if (on_closed != NULL)
    on_closed (leader->on_closed_data);
  return G_SOURCE_REMOVE;
}

void
leader_close (leader_t *leader, guint timeout_ms, void (*done) (void *data), void *data)
{
  leader->is_closing = true;
  scheduler_close (leader->scheduler);
  leader->on_closed = done;
  leader->on_closed_data = data;
  if (recorder_is_idle (leader->recorder))
    timeout_ms = 0;
  else
    recorder_flush (leader->recorder);
  leader->close_timer = g_timeout_add (timeout_ms, close_timed_out, leader);
}

void
leader_announce_resignation (leader_t *leader)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  frame.released = leader->config.fence;
  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    (void) link_send (LIST_ENTRY (node, vm_t, node)->link, &frame);
}

static void
append_runtime_error (GString *out, const char *queue, const char *of, const runtime_error_t *error)
{
  g_string_append_printf (out,
                          "mimosastair_queue_runtime_error{class=\"%s\",of=\"%s\","
                          "quantile=\"0.5\"} %.3f\n",
                          queue, of, error->median);
  g_string_append_printf (out,
                          "mimosastair_queue_runtime_error{class=\"%s\",of=\"%s\","
                          "quantile=\"0.9\"} %.3f\n",
                          queue, of, error->p90);
}

static void
append_queue_metrics (const queue_stats_t *stats, void *data)
{
  g_string_append_printf (data, "mimosastair_queue_pending_jobs{class=\"%s\"} %u\n", stats->name,
                          stats->pending_jobs);
  g_string_append_printf (data, "mimosastair_queue_runtime_ratio{class=\"%s\"} %.3f\n", stats->name,
                          stats->runtime_ratio);
  if (stats->runtimes.step_count > 0)
    {
      append_runtime_error (data, stats->name, "prediction", &stats->runtimes.prediction);
      append_runtime_error (data, stats->name, "declaration", &stats->runtimes.declaration);
    }
  g_string_append_printf (data, "mimosastair_queue_allowed_share{class=\"%s\"} %.3f\n", stats->name,
                          stats->allowed_share);
}

typedef struct
{
  GString *out;
  guint count;
  workspace_stats_t others;
} workspace_metrics_t;

static void
append_workspace (GString *out, const workspace_stats_t *stats)
{
  g_autofree char *name = g_strescape (stats->name, NULL);

  g_string_append_printf (
      out, "mimosastair_workspace_cpu_milli{workspace=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
      stats->used.cpu_milli);
  g_string_append_printf (
      out, "mimosastair_workspace_cap_cpu_milli{workspace=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
      stats->cap.cpu_milli);
  g_string_append_printf (out, "mimosastair_workspace_pending_jobs{workspace=\"%s\"} %u\n", name,
                          stats->pending_jobs);
  g_string_append_printf (
      out, "mimosastair_workspace_excess_jobs_total{workspace=\"%s\"} %" G_GUINT64_FORMAT "\n",
      name, stats->excess_jobs);
}

static void
append_workspace_metrics (const workspace_stats_t *stats, void *data)
{
  workspace_metrics_t *metrics = data;

  if (metrics->count++ < METRIC_WORKSPACES_MAX)
    {
      append_workspace (metrics->out, stats);
      return;
    }
  metrics->others.name = "other";
  metrics->others.used.cpu_milli += stats->used.cpu_milli;
  metrics->others.cap.cpu_milli += stats->cap.cpu_milli;
  metrics->others.pending_jobs += stats->pending_jobs;
  metrics->others.excess_jobs += stats->excess_jobs;
}

void
leader_append_metrics (const leader_t *leader, GString *out)
{
  scheduler_stats_t stats;
  workspace_metrics_t workspaces = { .out = out };

  scheduler_stats (leader->scheduler, &stats);
  g_string_append_printf (out, "mimosastair_decider_fence %" G_GINT64_FORMAT "\n",
                          leader->config.fence);
  g_string_append_printf (out, "mimosastair_cell_jobs %u\n", stats.jobs);
  g_string_append_printf (out, "mimosastair_cell_job_bytes %" G_GINT64_FORMAT "\n",
                          scheduler_all_job_bytes (leader->scheduler));
  g_string_append_printf (out, "mimosastair_cell_tasks_waiting %u\n", stats.waiting_task_count);
  g_string_append_printf (out, "mimosastair_cell_runs %u\n", stats.runs);
  g_string_append_printf (out, "mimosastair_cell_executors %u\n", stats.executors);
  g_string_append_printf (out, "mimosastair_cell_executors_usable %u\n", stats.executors_usable);
  g_string_append_printf (out, "mimosastair_cell_executors_by_speed{class=\"slow\"} %u\n",
                          stats.executors_slow);
  g_string_append_printf (out, "mimosastair_cell_executors_by_speed{class=\"usual\"} %u\n",
                          stats.executors_usable - stats.executors_slow - stats.executors_fast);
  g_string_append_printf (out, "mimosastair_cell_executors_by_speed{class=\"fast\"} %u\n",
                          stats.executors_fast);
  g_string_append_printf (out, "mimosastair_cell_cpu_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_milli);
  g_string_append_printf (out, "mimosastair_cell_cpu_used_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_used_milli);
  g_string_append_printf (out, "mimosastair_leases_outlived_total %" G_GUINT64_FORMAT "\n",
                          stats.outlived_leases);
  g_string_append_printf (out, "mimosastair_cell_advice_calls %u\n", stats.advice_calls);
  scheduler_visit_queues (leader->scheduler, append_queue_metrics, out);
  scheduler_visit_workspaces (leader->scheduler, append_workspace_metrics, &workspaces);
  if (workspaces.others.name != NULL)
    append_workspace (out, &workspaces.others);
}
