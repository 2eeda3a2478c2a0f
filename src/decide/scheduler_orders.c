/* Start and stop orders of runs, and what follows from their results. */
#include "decide/scheduler_state.h"

/* A stop order that failed is sent again after this time. */
static const gint64 stop_retry_delay_us = 400 * 1000;

/* `order` is the run's start or stop order. */
void
scheduler_clear_order (scheduler_t *scheduler, guint64 *order)
{
  if (*order != 0)
    g_hash_table_remove (scheduler->runs_by_order, order);
  *order = 0;
}

static guint64
new_order (scheduler_t *scheduler, run_t *run, guint64 *order)
{
  scheduler_clear_order (scheduler, order);
  *order = scheduler->next_order++;
  run->has_former_token = false;
  run->has_lower_token = false;
  g_hash_table_insert (scheduler->runs_by_order, order, run);
  return *order;
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

void
scheduler_send_start (scheduler_t *scheduler, run_t *run, gint64 now_us)
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
  scheduler_send_start (scheduler, run, now_us);
  return true;
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
  scheduler_clear_order (scheduler, is_start ? &run->start_order : &run->stop_order);
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
