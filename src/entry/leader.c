#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/keys.h"
#include "platform/documents.h"

/* Part of the VMs that may make slow calls for advice at a time, in percent. */
static const guint slow_percent = 70;

static void
free_spec (gpointer spec)
{
  job_spec_free (spec);
}

void
decider_destroy (decider_t *decider)
{
  g_hash_table_unref (decider->progress);
  g_hash_table_unref (decider->found);
  g_ptr_array_unref (decider->former_placements);
  g_ptr_array_unref (decider->former_values);
  g_hash_table_unref (decider->cancels);
  g_hash_table_unref (decider->assignments);
  g_hash_table_unref (decider->orders);
  g_hash_table_unref (decider->ended);
  g_queue_clear_full (&decider->ended_order, g_free);
  cell_free (decider->cell);
  g_free (decider);
}

void
decider_depose (decider_t *decider, const char *reason)
{
  if (decider->is_deposed)
    return;
  decider->is_deposed = true;
  LOG_WARN ("decider_deposed", "fence=%" G_GINT64_FORMAT " reason=%s", decider->config.fence,
            reason);
  decider->deposed (decider->deposed_data);
}

bool
decider_may_act (const decider_t *decider)
{
  return decider->is_loaded && !decider->is_deposed
         && claim_left_us (decider->claim, clock_now_us ()) > 0;
}

/* ---- Steps of the cell. */

static void
offer_advice_slots (decider_t *decider)
{
  guint vms = 0;
  guint idle = 0;
  guint slow = 0;
  guint slow_most;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL || vm->is_leaving)
        continue;
      vms++;
      idle += vm->advice_order == 0;
      slow += vm->advice_order != 0 && vm->is_slow_advice;
    }
  slow_most = MAX (vms * slow_percent / 100, 1);
  cell_set_advice_slots (decider->cell, idle, slow_most > slow ? slow_most - slow : 0);
}

static gboolean
step_by_timer (gpointer data)
{
  decider_t *decider = data;

  decider->step_timer = 0;
  decider_schedule_step (decider);
  return G_SOURCE_REMOVE;
}

static gboolean
step (gpointer data)
{
  decider_t *decider = data;
  gint64 now_us = clock_now_us ();
  gint64 next_us;

  decider->step_idle = 0;
  if (decider->step_timer != 0)
    g_source_remove (decider->step_timer);
  decider->step_timer = 0;
  if (!decider_may_act (decider))
    {
      decider->step_timer = g_timeout_add (SWEEP_MS, step_by_timer, decider);
      return G_SOURCE_REMOVE;
    }
  offer_advice_slots (decider);
  next_us = cell_step (decider->cell, now_us, clock_unix_ms ());
  decider->step_timer
      = g_timeout_add ((guint) MAX ((next_us - now_us) / 1000, 1), step_by_timer, decider);
  return G_SOURCE_REMOVE;
}

/* Several events of one turn of the main loop share a step. */
void
decider_schedule_step (decider_t *decider)
{
  if (decider->step_idle == 0 && !decider->is_freed)
    decider->step_idle = g_idle_add (step, decider);
}

/* ---- Life. */

decider_t *
decider_new (store_t *store,
             claim_t *claim,
             const decider_config_t *config,
             const desired_t *desired,
             metrics_t *metrics,
             void (*deposed) (void *data),
             void (*abdicate) (void *data),
             void *data)
{
  decider_t *decider = g_new0 (decider_t, 1);

  decider->store = store;
  decider->claim = claim;
  decider->config = *config;
  decider->desired = desired;
  decider->metrics = metrics;
  decider->deposed = deposed;
  decider->abdicate = abdicate;
  decider->deposed_data = data;
  decider->started_us = clock_now_us ();
  list_init (&decider->vms);
  decider->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref);
  decider->former_placements = g_ptr_array_new_with_free_func (g_free);
  decider->former_values = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  decider->found = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_spec);
  decider->cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  decider->assignments
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, decider_assignment_free);
  decider->orders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  decider->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&decider->ended_order);
  decider->cell
      = cell_new (&config->limits, config->epoch, decider->started_us, &decider_cell_ops, decider);
  cell_set_desired (decider->cell, desired);
  decider->recorder = recorder_new (store, claim_key (claim), config->fence, decider->cell,
                                    &decider_recorder_events, decider);
  decider->placements = placements_new (store, claim_key (claim), config->fence,
                                        &decider_placements_events, decider);
  decider->sweep_timer = g_timeout_add (SWEEP_MS, decider_sweep, decider);
  decider->placements_mirror
      = mirror_new (store, KEYS_PLACEMENTS, JOBS_WAIT_MS, &decider_placement_events, decider);
  decider->progress_mirror
      = mirror_new (store, KEYS_PROGRESS, JOBS_WAIT_MS, &decider_progress_events, decider);
  decider->jobs_mirror = mirror_new (store, KEYS_JOBS, JOBS_WAIT_MS, &decider_jobs_events, decider);
  return decider;
}

void
decider_free (decider_t *decider)
{
  if (decider == NULL)
    return;
  decider->is_deposed = true;
  while (!list_is_empty (&decider->vms))
    decider_drop_vm (LIST_ENTRY (decider->vms.next, vm_t, node), "not_decider");
  decider->is_freed = true;
  mirror_free (decider->progress_mirror);
  mirror_free (decider->placements_mirror);
  mirror_free (decider->jobs_mirror);
  mirror_free (decider->registry_mirror);
  recorder_free (decider->recorder);
  decider->recorder = NULL;
  placements_free (decider->placements);
  decider->placements = NULL;
  if (decider->step_idle != 0)
    g_source_remove (decider->step_idle);
  if (decider->step_timer != 0)
    g_source_remove (decider->step_timer);
  if (decider->close_timer != 0)
    g_source_remove (decider->close_timer);
  g_source_remove (decider->sweep_timer);
  if (decider->calls == 0)
    decider_destroy (decider);
}

void
decider_set_desired (decider_t *decider, const desired_t *desired)
{
  decider->desired = desired;
  cell_set_desired (decider->cell, desired);
  /* Entries of services that were not known before are looked at again. */
  if (decider->registry_mirror != NULL)
    {
      mirror_free (decider->registry_mirror);
      decider->registry_mirror = mirror_new (decider->store, documents_registry_prefix,
                                             REGISTRY_WAIT_MS, &decider_registry_events, decider);
    }
  decider_schedule_step (decider);
}

static gboolean
close_timed_out (gpointer data)
{
  decider_t *decider = data;
  void (*closed) (void *data) = decider->closed;

  decider->close_timer = 0;
  decider->closed = NULL;
  if (closed != NULL)
    closed (decider->closed_data);
  return G_SOURCE_REMOVE;
}

void
decider_close (decider_t *decider, guint timeout_ms, void (*done) (void *data), void *data)
{
  decider->is_closing = true;
  cell_close (decider->cell);
  decider->closed = done;
  decider->closed_data = data;
  if (recorder_is_idle (decider->recorder))
    timeout_ms = 0;
  else
    recorder_flush (decider->recorder);
  decider->close_timer = g_timeout_add (timeout_ms, close_timed_out, decider);
}

void
decider_tell_released (decider_t *decider)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  frame.released = decider->config.fence;
  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    (void) link_send (LIST_ENTRY (node, vm_t, node)->link, &frame);
}

void
decider_print (const decider_t *decider, GString *out)
{
  cell_stats_t stats;

  cell_stats (decider->cell, &stats);
  g_string_append_printf (out, "mimosastair_decider_fence %" G_GINT64_FORMAT "\n",
                          decider->config.fence);
  g_string_append_printf (out, "mimosastair_cell_jobs %u\n", stats.jobs);
  g_string_append_printf (out, "mimosastair_cell_tasks_waiting %u\n", stats.waiting_tasks);
  g_string_append_printf (out, "mimosastair_cell_runs %u\n", stats.runs);
  g_string_append_printf (out, "mimosastair_cell_executors %u\n", stats.executors);
  g_string_append_printf (out, "mimosastair_cell_executors_usable %u\n", stats.executors_usable);
  g_string_append_printf (out, "mimosastair_cell_cpu_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_milli);
  g_string_append_printf (out, "mimosastair_cell_cpu_used_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_used_milli);
  g_string_append_printf (out, "mimosastair_cell_advice_calls %u\n", stats.advice_calls);
}
