#include "decide/scheduler_state.h"

#include <string.h>

/* A stop order that failed is sent again after this time. */
static const gint64 stop_retry_delay_us = 400 * 1000;

static resource_vector_t
task_resources (const task_t *task)
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

  return task != NULL ? task_resources (task) : executor->capacity;
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
static run_t *
add_run (scheduler_t *scheduler,
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
  run_t *run = add_run (scheduler, task, ref, executor, number,
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

/* `order` is the run's start or stop order. */
static void
clear_order (scheduler_t *scheduler, guint64 *order)
{
  if (*order != 0)
    g_hash_table_remove (scheduler->runs_by_order, order);
  *order = 0;
}

static guint64
new_order (scheduler_t *scheduler, run_t *run, guint64 *order)
{
  clear_order (scheduler, order);
  *order = scheduler->next_order++;
  run->has_former_token = false;
  run->has_lower_token = false;
  g_hash_table_insert (scheduler->runs_by_order, order, run);
  return *order;
}

/* ---- Placements. */

static void
delete_placement (scheduler_t *scheduler, placement_t *placement)
{
  scheduler->ops->delete_placement (placement->number, scheduler->data);
  g_hash_table_remove (scheduler->placements, &placement->number);
}

static void
release_placement (scheduler_t *scheduler, run_t *run)
{
  placement_t *placement = run->placement;

  if (placement == NULL)
    return;
  list_remove (&run->placement_node);
  if (list_is_empty (&placement->runs))
    delete_placement (scheduler, placement);
}

static placement_t *
placement_new (scheduler_t *scheduler, guint64 number)
{
  placement_t *placement = g_new0 (placement_t, 1);

  placement->number = number;
  list_init (&placement->runs);
  g_hash_table_insert (scheduler->placements, &placement->number, placement);
  return placement;
}

/* Adds the run to the next placement; its start order is sent once that is stored. */
void
scheduler_plan_run (scheduler_t *scheduler, run_t *run)
{
  run->state = RUN_PLANNED;
  g_array_append_val (scheduler->planned, run);
}

/* Adds the run to the placement; the result borrows from the run's job. */
static placed_run_t
place_run (scheduler_t *scheduler, placement_t *placement, guint index, run_t *run)
{
  run->placement = placement;
  run->placement_index = index;
  run->placed_born = run->executor->born;
  list_push_back (&placement->runs, &run->placement_node);
  scheduler_expect_start (scheduler, run);
  return (placed_run_t){ .task = run->ref,
                         .run = run->number,
                         .executor = run->executor->id,
                         .born = run->executor->born,
                         .workspace = run->task->step->job->spec->workspace,
                         .resources = run->resources };
}

void
scheduler_store_adopted (scheduler_t *scheduler, run_t *run)
{
  placement_t *placement = placement_new (scheduler, scheduler->next_placement++);
  placed_run_t placed = place_run (scheduler, placement, 0, run);

  /* Until the incarnation has seen its token, a late call may renew the lease after a change of
   * leader too, as if it were to start the run. */
  if (!run->executor->has_seen_fence)
    placed.born = 0;
  scheduler->ops->place (placement->number, &placed, 1, scheduler->data);
}

/* Stores the runs that were planned in this round as one placement. */
void
scheduler_store_planned (scheduler_t *scheduler)
{
  g_autofree placed_run_t *placed = NULL;
  placement_t *placement;

  if (scheduler->planned->len == 0)
    return;
  placed = g_new0 (placed_run_t, scheduler->planned->len);
  placement = placement_new (scheduler, scheduler->next_placement++);
  for (guint i = 0; i < scheduler->planned->len; i++)
    placed[i] = place_run (scheduler, placement, i, g_array_index (scheduler->planned, run_t *, i));
  scheduler->ops->place (placement->number, placed, scheduler->planned->len, scheduler->data);
  g_array_set_size (scheduler->planned, 0);
}

/* Computed at the first start, as a new leader reads hundreds of jobs at once: 4,000 bytes took 14
 * us of a whole core, and small VMs have an eighth of one. */
static const text_digest_t *
job_text_digest (job_t *job)
{
  if (!job->has_text_digest)
    job->text_digest = text_digest_compute (job->spec->spec);
  job->has_text_digest = true;
  return &job->text_digest;
}

/* Whether the task would wait too long if its start got no answer: it has to run again within
 * seconds, or there is no ticket that limits how late the order is carried out. */
static bool
needs_check (const step_t *step)
{
  return step->spec->long_running || !step->job->queue->advice.is_needed;
}

static void
send_start (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  const task_t *task = run->task;
  const char *ticket = scheduler_find_ticket (task->step, run->executor, now_us);
  start_order_t order = {
    .order = new_order (scheduler, run, &run->start_order),
    .executor = run->executor->id,
    .born = run->executor->born,
    .fence_step = scheduler_next_start_step (scheduler, run->executor),
    .task = run->ref,
    .run = run->number,
    .spec = task->step->job->spec->spec,
    .text_digest = job_text_digest (task->step->job),
    .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
    .ticket = ticket != NULL ? ticket : "",
    .is_checked = needs_check (task->step),
  };

  run->state = RUN_STARTING;
  run->start_step = order.fence_step;
  run->start_sent_us = now_us;
  run->ticket_until_us = scheduler_ticket_until_us (task->step, run->executor);
  scheduler_log (scheduler, "task_start",
                 "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT
                 " queue=%s waited_ms=%" G_GINT64_FORMAT " cpu=%u free=%u checkpoint=%d",
                 run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
                 run->executor->id, order.order, task->step->job->queue->name,
                 (now_us - task->step->ready_us) / 1000, run->resources.cpu_milli,
                 run->executor->capacity.cpu_milli - run->executor->used.cpu_milli,
                 (int) (task->checkpoint != NULL));
  scheduler->ops->start (&order, scheduler->data);
}

static bool
is_only_run (const run_t *run)
{
  const task_t *task = run->task;

  return task->runs.next == &run->task_node && task->runs.prev == &run->task_node;
}

/* Whether the run may start on its executor as that is known now. */
static bool
may_restart (const run_t *run, gint64 now_us)
{
  const executor_t *executor = run->executor;

  return scheduler_starts_repeat (run->task->step) && !run->task->is_done
         && !run->task->step->job->is_ended && is_only_run (run)
         && run->placed_born == executor->born && executor->has_seen_fence
         && scheduler_resources_fit (executor->used, executor->capacity)
         && scheduler_executor_is_usable (executor, now_us)
         && scheduler_executor_is_eligible (run->task->step, executor);
}

bool
scheduler_restart_restored (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  if (scheduler->is_closed || !may_restart (run, now_us))
    return false;
  run->former_until_us = run->unsettled_until_us;
  run->unsettled_until_us = 0;
  scheduler_note_restarted (scheduler, now_us);
  send_start (scheduler, run, now_us);
  return true;
}

static run_t *
find_withdrawn (const placement_t *placement)
{
  for (list_node_t *node = placement->runs.next; node != &placement->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, placement_node);

      if (run->state == RUN_WITHDRAWN)
        return run;
    }
  return NULL;
}

void
scheduler_placement_stored (scheduler_t *scheduler, guint64 number, gint64 now_us)
{
  placement_t *placement = g_hash_table_lookup (scheduler->placements, &number);
  run_t *withdrawn;

  /* Removing a run withdraws the other members of its gang, and the last one removes the
   * placement. */
  while (placement != NULL && (withdrawn = find_withdrawn (placement)) != NULL)
    {
      scheduler_remove_run (scheduler, withdrawn, now_us);
      placement = g_hash_table_lookup (scheduler->placements, &number);
    }
  if (placement == NULL)
    return;
  for (list_node_t *node = placement->runs.next; node != &placement->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, placement_node);

      if (run->state == RUN_PLANNED)
        send_start (scheduler, run, now_us);
    }
}

/* Records of former versions lack the workspace and the resources of a run.  Returns false if they
 * are not known from its job either, or if the job has no workspace. */
static bool
complete_left_run (const task_t *task, placed_run_t *placed)
{
  if (placed->workspace != NULL)
    return true;
  if (task == NULL)
    return false;
  placed->workspace = task->step->job->spec->workspace;
  placed->resources = task_resources (task);
  return placed->workspace != NULL;
}

/* The run of a job whose end is stored, or of a task that is done, may still be alive. */
static run_t *
restore_left_run (scheduler_t *scheduler, const placed_run_t *placed, executor_t *executor)
{
  workspace_account_t *account = workspace_accounts_ensure (scheduler->accounts, placed->workspace);

  return add_run (scheduler, NULL, &placed->task, executor, placed->run, placed->resources,
                  account);
}

/* VMs may send the start order of the earlier leader until `sent_us`, with a ticket that it had
 * when it still led, so before `now_us`. */
static void
note_restored_start (run_t *run, gint64 sent_us, gint64 now_us)
{
  const advice_terms_t *terms = run->task != NULL ? &run->task->step->job->queue->advice : NULL;

  if (terms != NULL && terms->is_needed)
    run->ticket_until_us = scheduler_ticket_end_us (terms, now_us + terms->valid_us);
  scheduler_note_start_unsettled (run, sent_us);
}

/* VMs may act for the earlier leader until its lease, as they know it, has expired. */
static void
restore_start (scheduler_t *scheduler, run_t *run, const placed_run_t *placed, gint64 now_us)
{
  executor_t *executor = run->executor;
  gint64 acting_until_us = now_us + scheduler->limits.leader_lease_us;

  run->is_start_known = placed->is_start_known && placed->born != 0;
  if (!run->is_start_known)
    {
      note_restored_start (run, acting_until_us, now_us);
      scheduler_extend_lease_expiry_by_max (scheduler, executor, acting_until_us);
      return;
    }
  executor->former_seen_born = MAX (executor->former_seen_born, placed->born);
  scheduler_extend_lease_expiry (scheduler, executor, acting_until_us);
  if (placed->is_steady)
    executor->former_steady_born = MAX (executor->former_steady_born, placed->born);
  else
    scheduler_extend_lease_expiry_by_max (scheduler, executor, now_us);
}

void
scheduler_restore_placement (
    scheduler_t *scheduler, guint64 placement, const placed_run_t *runs, guint count, gint64 now_us)
{
  placement_t *restored = placement_new (scheduler, placement);

  for (guint i = 0; i < count; i++)
    {
      task_t *task = scheduler_find_task (scheduler, &runs[i].task);
      bool is_left = task == NULL || task->is_done || task->step->job->is_ended;
      placed_run_t left = runs[i];
      executor_t *executor;
      run_t *run;

      if (is_left && !complete_left_run (task, &left))
        continue;
      executor = scheduler_ensure_executor (scheduler, runs[i].executor);
      if (scheduler_find_run (executor, &runs[i].task, runs[i].run) != NULL)
        continue;
      if (is_left)
        run = restore_left_run (scheduler, &left, executor);
      else
        run = scheduler_run_new (scheduler, task, &runs[i].task, executor, runs[i].run);
      run->state = RUN_RESTORED;
      run->is_restored = true;
      run->placed_born = runs[i].born;
      run->placement = restored;
      list_push_back (&restored->runs, &run->placement_node);
      restore_start (scheduler, run, &runs[i], now_us);
    }
  if (list_is_empty (&restored->runs))
    delete_placement (scheduler, restored);
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
  clear_order (scheduler, &run->start_order);
  clear_order (scheduler, &run->stop_order);
  workspace_account_remove_run (run->account, &run->resources);
  subtract_used (executor, run->resources);
  list_remove (&run->executor_node);
  list_remove (&run->task_node);
  scheduler->run_total--;
  if (run->has_turn)
    scheduler->turn_cpu_milli -= run->resources.cpu_milli;
  release_placement (scheduler, run);
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

static void
send_stop (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  stop_order_t order = {
    .order = new_order (scheduler, run, &run->stop_order),
    .executor = run->executor->id,
    .born = run->executor->born,
    .task = run->ref,
    .run = run->number,
  };

  run->retry_at_us = 0;
  scheduler_log (scheduler, "task_stop",
                 "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT
                 " running_ms=%" G_GINT64_FORMAT,
                 run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
                 run->executor->id, order.order,
                 run->running_since_us > 0 ? (now_us - run->running_since_us) / 1000 : -1);
  scheduler->ops->stop (&order, scheduler->data);
}

void
scheduler_stop_run (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  switch (run->state)
    {
    case RUN_PLANNED:
      /* No start order was sent, and none will be.  The run is removed once the placement is
       * stored. */
      scheduler_start_known (scheduler, run);
      run->state = RUN_WITHDRAWN;
      return;
    case RUN_STARTING:
      /* The stop does not wait for the result of the start, which may renew the lease.  A stop
       * order that arrives before the start order prevents the start, but only on that incarnation.
       */
      scheduler_note_start_unanswered (scheduler, run->executor,
                                       now_us + scheduler->limits.leader_lease_us);
      run->state = RUN_STOPPING;
      send_stop (scheduler, run, now_us);
      return;
    case RUN_RESTORED:
    case RUN_START_UNCONFIRMED:
    case RUN_ALIVE:
      run->state = RUN_STOPPING;
      send_stop (scheduler, run, now_us);
      return;
    case RUN_WITHDRAWN:
    case RUN_STOPPING:
    case RUN_STOPPED:
      return;
    }
}

/* Sends a stop order to the current incarnation of the run's executor. */
void
scheduler_resend_stop (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  run->state = RUN_STOPPING;
  run->is_settling = false;
  send_stop (scheduler, run, now_us);
}

/* Stops the gang's runs with this number, as a gang does not work with a member missing. */
void
scheduler_stop_gang (scheduler_t *scheduler, step_t *step, guint number, gint64 now_us)
{
  for (guint i = 0; i < step->spec->count; i++)
    {
      list_node_t *runs = &step->tasks[i].runs;
      list_node_t *next;

      for (list_node_t *node = runs->next; node != runs; node = next)
        {
          run_t *run = LIST_ENTRY (node, run_t, task_node);

          next = node->next;
          if (run->number == number)
            scheduler_stop_run (scheduler, run, now_us);
        }
    }
}

/* Whether the incarnation that the order was for has taken note of its token. */
static bool
is_answered_by_addressee (order_outcome_t outcome)
{
  switch (outcome)
    {
    case ORDER_OK:
    case ORDER_OLD_RUN:
    case ORDER_LEASE_EXPIRED:
    case ORDER_NO_CAPACITY:
    case ORDER_BAD_TICKET:
      return true;
    case ORDER_NO_ANSWER:
    case ORDER_NOT_SENT:
    case ORDER_FENCED:
    case ORDER_UNHEALTHY:
    case ORDER_EXECUTOR_RESTARTED:
      return false;
    }
  return false;
}

/* What follows from the result of a start, whether or not the run is being stopped. */
static void
note_start_result (scheduler_t *scheduler, run_t *run, order_outcome_t outcome, gint64 now_us)
{
  /* A start renews the executor's lease, also one that is refused or gets no answer. */
  if (is_answered_by_addressee (outcome) && !run->has_former_token)
    {
      scheduler_note_fence_seen (scheduler, run->executor, now_us);
      scheduler_fence_step_seen (scheduler, run->executor, run->start_step);
    }
  if (outcome != ORDER_NOT_SENT && outcome != ORDER_EXECUTOR_RESTARTED)
    scheduler_note_start_unanswered (scheduler, run->executor, now_us);
  if (outcome != ORDER_NO_ANSWER && !run->has_former_token)
    scheduler_start_known (scheduler, run);
  /* One that a report lists has been carried out, but not both if there were two. */
  if (outcome == ORDER_NO_ANSWER && (!run->was_reported || run->former_until_us > 0))
    scheduler_note_start_unsettled (run, MAX (now_us, run->sent_until_us));
  else
    run->unsettled_until_us = 0;
  scheduler_update_terms (scheduler, run->executor);
}

void
scheduler_start_vm_lost (const scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  if (run->start_order != 0)
    run->sent_until_us = now_us + scheduler->limits.leader_lease_us;
}

void
scheduler_order_vm_lost (scheduler_t *scheduler, guint64 order, gint64 now_us)
{
  run_t *run = g_hash_table_lookup (scheduler->runs_by_order, &order);

  if (run != NULL)
    scheduler_start_vm_lost (scheduler, run, now_us);
}

/* The executor did not start the run.  It must not do so any more if the task is to start
 * elsewhere. */
static void
end_refused (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  if (scheduler_run_is_unsettled (run))
    scheduler_resend_stop (scheduler, run, now_us);
  else
    scheduler_remove_run (scheduler, run, now_us);
}

static void
handle_start_result (scheduler_t *scheduler, run_t *run, order_outcome_t outcome, gint64 now_us)
{
  executor_t *executor = run->executor;
  task_t *task = run->task;

  switch (outcome)
    {
    case ORDER_OK:
      run->state = RUN_ALIVE;
      scheduler_expect_late_renewal (scheduler, run, now_us);
      scheduler_run_began (run, now_us);
      return;
    case ORDER_NO_ANSWER:
      run->state = RUN_START_UNCONFIRMED;
      scheduler_stop_run (scheduler, run, now_us);
      return;
    case ORDER_FENCED:
      scheduler->ops->deposed (scheduler->data);
      return;
    case ORDER_BAD_TICKET:
      if (task != NULL)
        scheduler_discard_ticket (task->step, executor);
      break;
    case ORDER_NO_CAPACITY:
    case ORDER_UNHEALTHY:
      executor->ejected_until_us = MAX (executor->ejected_until_us, now_us + G_USEC_PER_SEC / 2);
      break;
    case ORDER_NOT_SENT:
      executor->is_reachable = false;
      break;
    case ORDER_OLD_RUN:
    case ORDER_LEASE_EXPIRED:
    case ORDER_EXECUTOR_RESTARTED:
      break;
    }
  end_refused (scheduler, run, now_us);
}

/* The time in which the start order may be carried out is over. */
static bool
is_time_over (const run_t *run, gint64 now_us)
{
  gint64 until_us = scheduler_run_unsettled_until_us (run);

  return run->start_order == 0 && until_us > 0 && until_us <= now_us;
}

/* Whether no stop order is to be confirmed first. */
static bool
is_settled_by_report (const run_t *run)
{
  return run->state == RUN_RESTORED || run->state == RUN_ALIVE || run->state == RUN_STOPPED;
}

/* The run is stopped, or the time of its start orders is over.  Asks for a report that tells what
 * has become of it. */
static void
expect_report (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  run->is_settling = is_time_over (run, now_us);
  run->mark = ++run->executor->mark;
  scheduler_acknowledge (scheduler, run->executor);
}

/* A gang does not wait for the start of a member that is stopped to be settled. */
static void
stop_other_members (scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  if (scheduler_run_is_unsettled (run) && run->task->step->spec->gang)
    scheduler_stop_gang (scheduler, run->task->step, run->number, now_us);
}

void
scheduler_run_ended_unsettled (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  run->state = RUN_STOPPED;
  expect_report (scheduler, run, now_us);
  stop_other_members (scheduler, run, now_us);
}

static void
handle_stop_result (scheduler_t *scheduler, run_t *run, order_outcome_t outcome, gint64 now_us)
{
  executor_t *executor = run->executor;

  switch (outcome)
    {
    case ORDER_OK:
    case ORDER_OLD_RUN:
      run->state = RUN_STOPPED;
      expect_report (scheduler, run, now_us);
      stop_other_members (scheduler, run, now_us);
      return;
    case ORDER_FENCED:
      scheduler->ops->deposed (scheduler->data);
      return;
    case ORDER_EXECUTOR_RESTARTED:
      /* A run ends with the incarnation of its executor, which may live elsewhere. */
      if (scheduler_is_address_known (executor) && scheduler_run_is_of_known_incarnation (run)
          && !scheduler_run_is_unsettled (run))
        scheduler_remove_run (scheduler, run, now_us);
      else
        run->retry_at_us = now_us + stop_retry_delay_us;
      return;
    case ORDER_NO_ANSWER:
    case ORDER_NOT_SENT:
    case ORDER_LEASE_EXPIRED:
    case ORDER_NO_CAPACITY:
    case ORDER_BAD_TICKET:
    case ORDER_UNHEALTHY:
      run->retry_at_us = now_us + stop_retry_delay_us;
      return;
    }
}

const char *
order_outcome_name (order_outcome_t outcome)
{
  switch (outcome)
    {
    case ORDER_OK:
      return "ok";
    case ORDER_NO_ANSWER:
      return "no_answer";
    case ORDER_NOT_SENT:
      return "not_sent";
    case ORDER_FENCED:
      return "fenced";
    case ORDER_OLD_RUN:
      return "old_run";
    case ORDER_LEASE_EXPIRED:
      return "lease_over";
    case ORDER_NO_CAPACITY:
      return "no_room";
    case ORDER_BAD_TICKET:
      return "bad_ticket";
    case ORDER_UNHEALTHY:
      return "not_healthy";
    case ORDER_EXECUTOR_RESTARTED:
      return "other_life";
    }
  return "unknown";
}

void
scheduler_order_token (scheduler_t *scheduler, guint64 order, guint fence_step)
{
  run_t *run = g_hash_table_lookup (scheduler->runs_by_order, &order);

  if (run != NULL)
    {
      run->has_former_token = fence_step < run->executor->first_step;
      run->has_lower_token = fence_step < run->executor->last_step;
    }
}

/* The outcome of an order that was refused as the executor has seen a later token. */
static order_outcome_t
fenced_outcome (scheduler_t *scheduler, run_t *run, bool is_start)
{
  /* A VM of an earlier version does not know of the step. */
  if (run->has_former_token)
    return ORDER_NOT_SENT;
  if (!run->has_lower_token)
    return ORDER_FENCED;
  scheduler_fence_step_seen (scheduler, run->executor, run->executor->last_step);
  return is_start ? ORDER_OLD_RUN : ORDER_NOT_SENT;
}

void
scheduler_order_result (scheduler_t *scheduler,
                        guint64 order,
                        order_outcome_t outcome,
                        gint64 now_us)
{
  run_t *run = g_hash_table_lookup (scheduler->runs_by_order, &order);
  bool is_start;
  bool is_overtaken;

  if (run == NULL)
    return;
  is_start = run->start_order == order;
  clear_order (scheduler, is_start ? &run->start_order : &run->stop_order);
  /* A stop that is sent again then has a token that the executor takes. */
  is_overtaken = outcome == ORDER_FENCED && run->has_lower_token && !run->has_former_token;
  if (outcome == ORDER_FENCED)
    outcome = fenced_outcome (scheduler, run, is_start);
  if (outcome != ORDER_OK)
    scheduler_log (scheduler, "order_failed",
                   "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT " outcome=%s",
                   run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
                   run->executor->id, order, order_outcome_name (outcome));
  if (is_start)
    note_start_result (scheduler, run, outcome, now_us);
  if (is_start && run->state == RUN_STARTING)
    handle_start_result (scheduler, run, outcome, now_us);
  else if (is_start && outcome == ORDER_FENCED)
    scheduler->ops->deposed (scheduler->data);
  else if (!is_start && run->state == RUN_STOPPING)
    handle_stop_result (scheduler, run, outcome, now_us);
  if (is_overtaken && !is_start)
    run->retry_at_us = now_us;
}

/* Sends failed stop orders again, and settles the starts whose time is over: an incarnation that is
 * not known may have carried them out, which the next report tells. */
void
scheduler_retry_stops (scheduler_t *scheduler, gint64 now_us)
{
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
        {
          run_t *run = LIST_ENTRY (node, run_t, executor_node);

          if (!executor->is_reachable)
            break;
          if (run->state == RUN_STOPPING && run->stop_order == 0 && run->retry_at_us <= now_us)
            send_stop (scheduler, run, now_us);
          else if (is_settled_by_report (run) && !run->is_settling && is_time_over (run, now_us))
            expect_report (scheduler, run, now_us);
        }
    }
}

/* A member that has not started by then would leave the others waiting on their executors for the
 * whole time limit; this leaves their stop orders half of it to arrive. */
static gint64
gang_start_limit_us (const scheduler_t *scheduler)
{
  return scheduler->limits.gang_wait_us / 2;
}

/* Whether the run is a member of a gang and not known to have started in time. */
static bool
is_late_member (const scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  return run->task != NULL && run->task->step->spec->gang && run->running_since_us == 0
         && run->start_sent_us > 0
         && now_us - run->start_sent_us >= gang_start_limit_us (scheduler);
}

static bool
is_waiting_member (const run_t *run, guint number)
{
  return run->number == number && (run->state == RUN_STARTING || run->state == RUN_ALIVE);
}

/* Whether a member of the gang's runs with this number is not being stopped. */
static bool
has_waiting_member (const step_t *step, guint number)
{
  for (guint i = 0; i < step->spec->count; i++)
    {
      const list_node_t *runs = &step->tasks[i].runs;

      for (const list_node_t *node = runs->next; node != runs; node = node->next)
        {
          if (is_waiting_member (LIST_ENTRY (node, run_t, task_node), number))
            return true;
        }
    }
  return false;
}

static void
stop_late_gang (scheduler_t *scheduler, const run_t *run, gint64 now_us)
{
  if (!has_waiting_member (run->task->step, run->number))
    return;
  scheduler_log (scheduler, "gang_start_late",
                 "job=%s task=%u.%u.%u run=%u executor=%s sent_ms=%" G_GINT64_FORMAT, run->ref.job,
                 run->ref.occurrence, run->ref.step, run->ref.index, run->number, run->executor->id,
                 (now_us - run->start_sent_us) / 1000);
  scheduler_stop_gang (scheduler, run->task->step, run->number, now_us);
}

void
scheduler_stop_late_gangs (scheduler_t *scheduler, gint64 now_us)
{
  if (scheduler->limits.gang_wait_us == 0)
    return;
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      /* Stopping runs removes none of them. */
      for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
        {
          const run_t *run = LIST_ENTRY (node, run_t, executor_node);

          if (is_late_member (scheduler, run, now_us))
            stop_late_gang (scheduler, run, now_us);
        }
    }
}
