#include "decide/scheduler_state.h"

#include <string.h>

executor_t *
scheduler_find_executor (const scheduler_t *scheduler, const char *id)
{
  return g_hash_table_lookup (scheduler->executors, id);
}

executor_t *
scheduler_ensure_executor (scheduler_t *scheduler, const char *id)
{
  executor_t *executor = scheduler_find_executor (scheduler, id);

  if (executor != NULL)
    return executor;
  executor = g_new0 (executor_t, 1);
  executor->id = g_strdup (id);
  executor->index = scheduler->executor_list->len;
  executor->mark = 1;
  list_init (&executor->runs);
  g_queue_init (&executor->pending_acks);
  executor->lost_runs = g_array_new (FALSE, FALSE, sizeof (lost_run_t));
  executor->expired_runs = g_array_new (FALSE, FALSE, sizeof (expired_run_t));
  if (scheduler->speeds != NULL)
    executor->speed = executor_speeds_add (scheduler->speeds);
  g_hash_table_insert (scheduler->executors, executor->id, executor);
  g_ptr_array_add (scheduler->executor_list, executor);
  return executor;
}

static void
clear_acks (executor_t *executor)
{
  gpointer ack;

  while ((ack = g_queue_pop_head (&executor->pending_acks)) != NULL)
    g_free (ack);
  list_remove (&executor->ack_node);
}

void
scheduler_executor_free (gpointer data)
{
  executor_t *executor = data;

  while (!list_is_empty (&executor->runs))
    {
      run_t *run = LIST_ENTRY (executor->runs.next, run_t, executor_node);

      list_remove (&run->executor_node);
      g_free (run);
    }
  clear_acks (executor);
  g_array_unref (executor->lost_runs);
  g_array_unref (executor->expired_runs);
  g_free (executor->id);
  g_free (executor->address);
  g_free (executor->service);
  g_free (executor->zone);
  g_strfreev (executor->labels);
  g_free (executor->rack);
  g_free (executor);
}

bool
scheduler_executor_has_label (const executor_t *executor, const char *label)
{
  return executor->labels != NULL
         && g_strv_contains ((const char *const *) executor->labels, label);
}

resource_vector_t
scheduler_free_resources (const step_t *step, const executor_t *executor)
{
  static const resource_vector_t none;
  resource_vector_t resources = { 0 };
  const resource_vector_t *reserved = step->overrides_reservations ? &none : &executor->reserved;
  guint cpu = executor->used.cpu_milli + reserved->cpu_milli;
  guint mem = executor->used.mem_mb + reserved->mem_mb;
  guint gpu = executor->used.gpu + reserved->gpu;

  if (executor->capacity.cpu_milli > cpu)
    resources.cpu_milli = executor->capacity.cpu_milli - cpu;
  if (executor->capacity.mem_mb > mem)
    resources.mem_mb = executor->capacity.mem_mb - mem;
  if (executor->capacity.gpu > gpu)
    resources.gpu = executor->capacity.gpu - gpu;
  return resources;
}

bool
scheduler_resources_fit (resource_vector_t need, resource_vector_t resources)
{
  return need.cpu_milli <= resources.cpu_milli && need.mem_mb <= resources.mem_mb
         && need.gpu <= resources.gpu;
}

bool
scheduler_executor_is_usable (const executor_t *executor, gint64 now_us)
{
  return executor->is_listed && !executor->is_draining && executor->has_reported
         && executor->entry_born == executor->born && executor->is_reachable
         && !executor->is_out_of_steps && !executor->has_more_ends
         && (!executor->is_on_probation || list_is_empty (&executor->runs))
         && executor->ejected_until_us <= now_us && executor->trial_until_us <= now_us;
}

/* The runs of an incarnation end with it.  But a start order that the former incarnation may
 * not have received can be carried out by the next one, which has the same executor id and knows
 * nothing of a stop that the former one confirmed. */
static bool
may_start_after_restart (const run_t *run)
{
  return (run->running_since_us == 0 || run->former_until_us > 0)
         && !scheduler_run_is_planned (run);
}

/* The next incarnation may carry out a start order that is on its way. */
static void
expect_late_start (run_t *run, gint64 now_us)
{
  if (run->start_order != 0)
    scheduler_note_start_unsettled (run, now_us);
}

/* Start orders were not sent yet, and the executor may be another kind now: the runs that are
 * planned on it are withdrawn.  Stop orders follow for those that the next incarnation may start.
 */
static void
stop_runs_left (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (scheduler_run_is_planned (run))
        {
          scheduler_stop_run (scheduler, run, now_us);
          continue;
        }
      expect_late_start (run, now_us);
      scheduler_resend_stop (scheduler, run, now_us);
    }
}

static void
end_incarnation (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  list_node_t *node = executor->runs.next;
  g_autoptr (GArray) lost_runs = scheduler_lost_runs (executor);

  while (node != &executor->runs)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      node = node->next;
      if (may_start_after_restart (run) || scheduler_run_is_planned (run))
        continue;
      scheduler_log_lost_run (scheduler, run, "executor_restarted", now_us);
      scheduler_remove_run (scheduler, run, now_us);
      /* Removing the run may have changed the rest of the list: start over. */
      node = executor->runs.next;
    }
  stop_runs_left (scheduler, executor, now_us);
  scheduler_count_lost_runs (scheduler, executor, lost_runs, now_us);
  if (!executor->is_draining)
    scheduler_executor_crashed (scheduler, executor, now_us);
  g_array_set_size (executor->lost_runs, 0);
  g_array_set_size (executor->expired_runs, 0);
  executor->has_crashed = false;
}

/* Forgets what is known of the former incarnation. */
static void
reset_incarnation (executor_t *executor, gint64 born, gint64 now_us)
{
  executor->born = born;
  executor->born_known_us = now_us;
  executor->has_seen_fence = false;
  executor->has_reported = false;
  executor->is_address_doubtful = false;
  executor->last_seen_end = 0;
  executor->has_more_ends = false;
  executor->acked = 0;
  executor->told_acked = 0;
  executor->consecutive_failures = 0;
  executor->is_on_probation = false;
  executor->ejected_until_us = 0;
  executor->trial_until_us = 0;
  executor_speed_forget (executor->speed);
  clear_acks (executor);
}

/* Start orders that an earlier leader sent to a former incarnation may be carried out late by this
 * one, and so may renewals of what they have started.  VMs may still act for that leader. */
static void
expect_late_starts (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (run->placed_born != executor->born)
        run->late_renewal_until_us = scheduler_late_call_lease_end_us (
            scheduler, now_us + scheduler->limits.leader_lease_us);
    }
}

/* Runs of an earlier leader that are known to have been on a former incarnation have ended with it.
 */
static void
end_former_runs (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  list_node_t *node = executor->runs.next;

  while (node != &executor->runs)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      node = node->next;
      if (!run->is_start_known || run->placed_born >= executor->born)
        continue;
      scheduler_log_lost_run (scheduler, run, "executor_restarted", now_us);
      scheduler_remove_run (scheduler, run, now_us);
      /* Removing the run may have changed the rest of the list: start over. */
      node = executor->runs.next;
    }
}

void
scheduler_begin_incarnation (scheduler_t *scheduler,
                             executor_t *executor,
                             gint64 born,
                             gint64 now_us)
{
  gint64 former_born = executor->born;

  if (former_born == born || born == 0)
    return;
  reset_incarnation (executor, born, now_us);
  if (former_born == 0)
    {
      expect_late_starts (scheduler, executor, now_us);
      end_former_runs (scheduler, executor, now_us);
      scheduler_send_terms (scheduler, executor);
      return;
    }
  scheduler_log (scheduler, "executor_restarted",
                 "executor=%s born=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT, executor->id,
                 born, former_born);
  scheduler_begin_fence_steps (scheduler, executor);
  scheduler_send_terms (scheduler, executor);
  end_incarnation (scheduler, executor, now_us);
}

/* Has a VM send hold requests to the executor.  A VM that did so before may have renewed the
 * executor's lease in a request whose report does not arrive. */
static void
assign_executor (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  if (executor->is_assigned || executor->address == NULL)
    return;
  executor->is_assigned = true;
  scheduler_extend_lease_expiry (scheduler, executor, now_us + scheduler->limits.leader_lease_us);
  scheduler->ops->hold (executor->id, executor->address, scheduler->data);
  scheduler_send_terms (scheduler, executor);
}

void
scheduler_executor_listed (scheduler_t *scheduler, const executor_entry_t *entry, gint64 now_us)
{
  executor_t *executor = scheduler_ensure_executor (scheduler, entry->id);
  bool has_moved = g_strcmp0 (executor->address, entry->address) != 0;
  bool is_reborn = executor->entry_born != entry->born;
  bool is_known_elsewhere = has_moved && executor->address != NULL && executor->born == entry->born;

  if (!executor->is_listed || executor->is_draining != entry->is_draining
      || executor->entry_born != entry->born)
    scheduler_log (scheduler, "executor_listed",
                   "executor=%s zone=%s draining=%d born=%" G_GINT64_FORMAT, entry->id, entry->zone,
                   (int) entry->is_draining, entry->born);
  /* The entry may be an outdated one of an earlier incarnation, which ends none.  Whether
   * the former incarnation drained is told by its own entry. */
  if (entry->born > executor->born)
    scheduler_begin_incarnation (scheduler, executor, entry->born, now_us);
  g_free (executor->service);
  g_free (executor->zone);
  g_strfreev (executor->labels);
  executor->service = g_strdup (entry->service);
  executor->zone = g_strdup (entry->zone);
  executor->labels = g_strdupv ((char **) entry->labels);
  g_free (executor->rack);
  executor->rack = g_strdup (entry->rack);
  executor->capacity = entry->capacity;
  scheduler_resize_unknown_runs (executor);
  executor->entry_born = entry->born;
  executor->is_listed = true;
  executor->is_draining = entry->is_draining;
  executor->is_address_doubtful |= is_known_elsewhere;
  if (has_moved)
    {
      g_free (executor->address);
      executor->address = g_strdup (entry->address);
      executor->is_assigned = false;
    }
  if (has_moved || is_reborn)
    scheduler_executor_at_address (scheduler, executor, now_us);
  assign_executor (scheduler, executor, now_us);
}

void
scheduler_executor_unlisted (scheduler_t *scheduler, const char *id, gint64 now_us G_GNUC_UNUSED)
{
  executor_t *executor = scheduler_find_executor (scheduler, id);

  if (executor == NULL || !executor->is_listed)
    return;
  scheduler_log (scheduler, "executor_unlisted", "executor=%s reached=%d", id,
                 (int) executor->is_reachable);
  executor->is_listed = false;
}

void
scheduler_executor_vm_lost (scheduler_t *scheduler, const char *id, gint64 now_us)
{
  executor_t *executor = scheduler_find_executor (scheduler, id);

  if (executor == NULL)
    return;
  executor->is_assigned = false;
  executor->is_reachable = false;
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    scheduler_start_vm_lost (scheduler, LIST_ENTRY (node, run_t, executor_node), now_us);
  scheduler_extend_lease_expiry (scheduler, executor, now_us + scheduler->limits.leader_lease_us);
  assign_executor (scheduler, executor, now_us);
}

void
scheduler_executor_reassigned (scheduler_t *scheduler, const char *id, gint64 now_us)
{
  executor_t *executor = scheduler_find_executor (scheduler, id);

  if (executor != NULL)
    scheduler_extend_lease_expiry (scheduler, executor, now_us + scheduler->limits.leader_lease_us);
}
