/* Until when the runs on an executor that does not answer may be alive: until its leases have
 * expired, or until another executor answers at its address. */
#include "decide/scheduler_state.h"

#include <string.h>

/* A renewal that a report shows may reach the executor up to this long after the report. */
static const gint64 lease_margin_us = 250 * 1000;

/* A call that got no answer may be carried out up to this long after it was sent. */
static const gint64 call_delay_max_us = 12 * G_USEC_PER_SEC;

/* When a lease of `lease_us` that was granted at `from_us` has certainly expired. */
static gint64
lease_end_us (gint64 lease_us, gint64 from_us)
{
  return from_us + (gint64) ((double) lease_us * CLOCK_DRIFT_FACTOR) + lease_margin_us;
}

static gint64
lease_max_us (const scheduler_t *scheduler)
{
  return MAX (scheduler->limits.executor_lease_us, scheduler->limits.executor_lease_max_us);
}

void
scheduler_extend_lease_expiry (const scheduler_t *scheduler, executor_t *executor, gint64 from_us)
{
  gint64 end_us = lease_end_us (scheduler->limits.executor_lease_us, from_us);

  executor->lease_expiry_us = MAX (executor->lease_expiry_us, end_us);
}

void
scheduler_extend_lease_expiry_by_max (const scheduler_t *scheduler,
                                      executor_t *executor,
                                      gint64 from_us)
{
  gint64 end_us = lease_end_us (lease_max_us (scheduler), from_us);

  executor->lease_expiry_us = MAX (executor->lease_expiry_us, end_us);
}

void
scheduler_note_fence_seen (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  if (executor->has_seen_fence || executor->is_out_of_steps)
    return;
  executor->has_seen_fence = true;
  executor->token_seen_us = now_us;
  if (executor->former_steady_born != executor->born)
    scheduler_extend_lease_expiry_by_max (scheduler, executor, now_us);
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    LIST_ENTRY (node, run_t, executor_node)->late_renewal_until_us = 0;
  scheduler_log (scheduler, "executor_token_seen",
                 "executor=%s born=%" G_GINT64_FORMAT " step=%u lease_left_ms=%" G_GINT64_FORMAT,
                 executor->id, executor->born, executor->fence_step,
                 (executor->lease_expiry_us - now_us) / 1000);
}

bool
scheduler_is_steady (const scheduler_t *scheduler, const executor_t *executor, gint64 now_us)
{
  if (executor->born != 0 && executor->former_steady_born == executor->born)
    return true;
  return executor->has_seen_fence
         && lease_end_us (lease_max_us (scheduler), executor->token_seen_us) <= now_us;
}

/* The latest time at which a start order that was sent by `sent_us` is carried out by the
 * incarnation that it is for: after that its lease has expired, and it is refused. */
static gint64
start_limit_us (const scheduler_t *scheduler, gint64 sent_us)
{
  return lease_end_us (scheduler->limits.executor_lease_us, sent_us);
}

/* Until when the runs on the executor may be alive if its VM sent a start order at `sent_us`. */
static gint64
start_lease_end_us (const scheduler_t *scheduler, const executor_t *executor, gint64 sent_us)
{
  if (executor->has_seen_fence)
    return lease_end_us (scheduler->limits.executor_lease_us, sent_us);
  return lease_end_us (lease_max_us (scheduler), start_limit_us (scheduler, sent_us));
}

void
scheduler_note_start_unanswered (const scheduler_t *scheduler, executor_t *executor, gint64 sent_us)
{
  gint64 end_us = start_lease_end_us (scheduler, executor, sent_us);

  executor->lease_expiry_us = MAX (executor->lease_expiry_us, end_us);
}

gint64
scheduler_late_call_lease_end_us (const scheduler_t *scheduler, gint64 sent_us)
{
  return lease_end_us (lease_max_us (scheduler), sent_us + call_delay_max_us);
}

void
scheduler_expect_late_renewal (const scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  const executor_t *executor = run->executor;

  if (!executor->has_seen_fence && executor->former_seen_born != executor->born)
    run->late_renewal_until_us = scheduler_late_call_lease_end_us (scheduler, now_us);
}

void
scheduler_note_start_unsettled (run_t *run, gint64 sent_us)
{
  run->unsettled_until_us = sent_us + call_delay_max_us;
  if (run->ticket_until_us > 0)
    run->unsettled_until_us = MIN (run->unsettled_until_us, run->ticket_until_us);
}

void
scheduler_expect_former_starts (scheduler_t *scheduler, gint64 now_us)
{
  if (scheduler->former_starts_until_us == 0 && scheduler->may_former_repeat)
    scheduler->former_starts_until_us = scheduler_repeats_end_us (scheduler, now_us);
}

gint64
scheduler_repeats_end_us (const scheduler_t *scheduler, gint64 now_us)
{
  return now_us + scheduler->limits.leader_lease_us + call_delay_max_us;
}

gint64
scheduler_run_unsettled_until_us (const run_t *run)
{
  return MAX (run->unsettled_until_us, run->former_until_us);
}

gint64
scheduler_repeated_until_us (const run_t *run, gint64 now_us)
{
  gint64 until_us = scheduler_run_unsettled_until_us (run);

  return run->start_order != 0 ? MAX (until_us, now_us + call_delay_max_us) : until_us;
}

bool
scheduler_starts_repeat (const step_t *step)
{
  return !step->job->queue->advice.is_needed && !step->spec->gang && !step->spec->long_running;
}

void
scheduler_start_carried_out (run_t *run, gint64 now_us)
{
  /* Earlier leaders may have ordered it more than once. */
  if (run->is_restored && run->task != NULL && scheduler_starts_repeat (run->task->step))
    run->former_until_us = scheduler_run_unsettled_until_us (run);
  run->unsettled_until_us = 0;
  /* What is carried out after that finds the run. */
  if (run->former_until_us <= now_us)
    run->former_until_us = 0;
}

void
scheduler_start_settled (run_t *run)
{
  run->unsettled_until_us = 0;
  run->former_until_us = 0;
}

bool
scheduler_run_is_unsettled (const run_t *run)
{
  return (run->start_order != 0 || scheduler_run_unsettled_until_us (run) > 0) && run->task != NULL
         && !run->task->is_done && !run->task->step->job->is_ended;
}

bool
scheduler_run_may_be_gone (const run_t *run)
{
  const step_spec_t *spec = run->task != NULL ? run->task->step->spec : NULL;

  if (run->is_settling || !scheduler_run_is_unsettled (run))
    return true;
  return spec->long_running && !run->task->step->job->queue->advice.is_needed;
}

gint64
scheduler_run_unknown_until_us (const scheduler_t *scheduler, const run_t *run)
{
  gint64 until_us = scheduler_run_unsettled_until_us (run);

  if (until_us > 0)
    until_us = lease_end_us (lease_max_us (scheduler), until_us);
  return MAX (until_us, run->late_renewal_until_us);
}

static void
note_expired_run (executor_t *executor, const run_t *run, gint64 now_us)
{
  expired_run_t expired = { .task = run->ref, .run = run->number, .given_up_us = now_us };

  g_array_append_val (executor->expired_runs, expired);
}

static const expired_run_t *
find_expired_run (const executor_t *executor, const reported_run_t *reported)
{
  for (guint i = 0; i < executor->expired_runs->len; i++)
    {
      const expired_run_t *expired = &g_array_index (executor->expired_runs, expired_run_t, i);

      if (expired->run == reported->run && scheduler_is_same_task (&expired->task, &reported->task))
        return expired;
    }
  return NULL;
}

void
scheduler_check_expired_runs (scheduler_t *scheduler,
                              executor_t *executor,
                              const executor_report_t *report,
                              gint64 now_us)
{
  for (guint i = 0; i < report->running_count && executor->expired_runs->len > 0; i++)
    {
      const reported_run_t *reported = &report->running[i];
      const expired_run_t *expired = find_expired_run (executor, reported);

      if (expired == NULL)
        continue;
      scheduler->outlived_lease_count++;
      scheduler_log (scheduler, "lease_outlived",
                     "job=%s task=%u.%u.%u run=%u executor=%s by_ms=%" G_GINT64_FORMAT,
                     reported->task.job, reported->task.occurrence, reported->task.step,
                     reported->task.index, reported->run, executor->id,
                     (now_us - expired->given_up_us) / 1000);
    }
  g_array_set_size (executor->expired_runs, 0);
}

/* Removes all runs of an executor that has ended or whose leases have all expired: none of them is
 * alive.  Runs whose placement is being stored stay, as no start order was sent; and so do those
 * whose order may still be carried out, unless the executor has ended. */
static void
remove_dead_runs (scheduler_t *scheduler, executor_t *executor, bool has_ended, gint64 now_us)
{
  const char *reason = has_ended ? "executor_replaced" : "lease_lapsed";
  list_node_t *node = executor->runs.next;
  g_autoptr (GArray) lost_runs = scheduler_lost_runs (executor);

  while (node != &executor->runs)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      node = node->next;
      if (scheduler_run_is_planned (run)
          || (!has_ended && scheduler_run_unknown_until_us (scheduler, run) > now_us))
        continue;
      scheduler_log_lost_run (scheduler, run, reason, now_us);
      if (!has_ended)
        note_expired_run (executor, run, now_us);
      scheduler_remove_run (scheduler, run, now_us);
      /* Removing the run may have changed the rest of the list: start over. */
      node = executor->runs.next;
    }
  scheduler_count_lost_runs (scheduler, executor, lost_runs, now_us);
}

/* A start order in flight may renew the executor's lease, until its VM's leadership expires. */
static bool
has_start_in_flight (const scheduler_t *scheduler, const executor_t *executor, gint64 now_us)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);
      gint64 sent_until_us = run->start_sent_us + scheduler->limits.leader_lease_us;

      if (run->start_order != 0 && now_us < start_lease_end_us (scheduler, executor, sent_until_us))
        return true;
    }
  return false;
}

bool
scheduler_is_address_known (const executor_t *executor)
{
  return executor->born > 0 && executor->entry_born == executor->born
         && !executor->is_address_doubtful;
}

/* Returns whether another executor answers at the address of this one, which therefore has ended:
 * one process listens on an address.  A start order that is on its way names the executor and is
 * refused by the other.  The times of start are of clocks that may be off, so the answers have to
 * be in that order too. */
static bool
is_replaced (const scheduler_t *scheduler, const executor_t *executor)
{
  const executor_t *other;

  if (executor->address == NULL || executor->is_reachable || !scheduler_is_address_known (executor))
    return false;
  other = g_hash_table_lookup (scheduler->executors_by_address, executor->address);
  return other != NULL && other != executor && other->is_reachable && other->has_reported
         && scheduler_is_address_known (other) && other->born > executor->born
         && other->last_report_us > executor->last_report_us
         && strcmp (other->address, executor->address) == 0;
}

bool
scheduler_run_is_of_known_incarnation (const run_t *run)
{
  return !run->is_restored || run->was_reported
         || (run->placed_born != 0 && run->placed_born == run->executor->born);
}

/* Whether a run may have been started by an earlier leader on another incarnation than the one that
 * is known. */
static bool
has_run_of_unknown_incarnation (const executor_t *executor)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if ((run->state == RUN_RESTORED && !run->is_start_known)
          || !scheduler_run_is_of_known_incarnation (run))
        return true;
    }
  return false;
}

/* Removes the runs of an unreachable executor once its leases have expired, and ends the hold
 * requests to an unlisted executor once it has no runs and its leases have expired or it is
 * unreachable. */
static void
check_executor (scheduler_t *scheduler, executor_t *executor, gint64 now_us)
{
  if (!list_is_empty (&executor->runs) && is_replaced (scheduler, executor)
      && !has_run_of_unknown_incarnation (executor))
    remove_dead_runs (scheduler, executor, true, now_us);
  if (!executor->is_reachable && !list_is_empty (&executor->runs)
      && executor->lease_expiry_us <= now_us && !has_start_in_flight (scheduler, executor, now_us))
    remove_dead_runs (scheduler, executor, false, now_us);
  if (!list_is_empty (&executor->runs))
    return;
  if (executor->is_listed)
    return;
  if (executor->lease_expiry_us > now_us && executor->is_reachable)
    return;
  if (executor->is_assigned)
    {
      executor->is_assigned = false;
      executor->has_reported = false;
      scheduler->ops->hold (executor->id, NULL, scheduler->data);
    }
}

void
scheduler_check_executors (scheduler_t *scheduler, gint64 now_us)
{
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    check_executor (scheduler, g_ptr_array_index (scheduler->executor_list, i), now_us);
}
