/* Reports of executors: the ends that they list, and what follows for the runs that are known. */
#include "decide/scheduler_state.h"

static const gint64 task_retry_delay_us = 20 * 1000;
/* Weight of one step in the moving average of actual over estimated run time. */
static const double runtime_ratio_weight = 0.05;

static const char *
end_reason_name (end_reason_t how)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return (guint) how < G_N_ELEMENTS (names) ? names[how] : "unknown";
}

static void
keep_checkpoint (task_t *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0' || !task->step->spec->checkpointing)
    return;
  if (g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* Updates the moving average of actual over estimated run time.  Each step counts alike, whatever
 * its width: its tasks share an estimate, so that their errors are the same.  A gang's tasks end
 * together, and only the first end is counted.  Runs of a task that has a checkpoint do not count.
 */
static void
update_runtime_ratio (task_t *task, const run_t *run, gint64 now_us)
{
  const step_spec_t *spec = task->step->spec;
  queue_t *queue = task->step->job->queue;
  double real = (double) scheduler_run_nominal_us (run, now_us);
  double estimate = (double) MAX (spec->est_runtime_us, 1000);
  double weight = runtime_ratio_weight / (spec->gang ? 1.0 : spec->count);

  if (run->running_since_us > 0 && task->checkpoint == NULL && !task->is_done)
    queue->runtime_ratio += weight * (CLAMP (real / estimate, 0.1, 10.0) - queue->runtime_ratio);
}

static void
update_executor_health (scheduler_t *scheduler,
                        executor_t *executor,
                        end_reason_t how,
                        gint64 now_us)
{
  if (how == END_DONE)
    {
      executor->consecutive_failures = 0;
      executor->is_on_probation = false;
    }
  if (how != END_FAILED || ++executor->consecutive_failures < FAILURES_UNTIL_EJECTION)
    return;
  scheduler_eject_executor (scheduler, executor, "failures", now_us);
  /* One more failure after the ejection ejects it again. */
  executor->consecutive_failures = FAILURES_UNTIL_EJECTION - 1;
}

static void
handle_end (scheduler_t *scheduler, executor_t *executor, const reported_end_t *end, gint64 now_us)
{
  run_t *run = scheduler_find_run (executor, &end->task, end->run);
  task_t *task = scheduler_find_task (scheduler, &end->task);
  gint64 ran_us = run != NULL && run->running_since_us > 0 ? now_us - run->running_since_us : -1;
  char expected[96] = "";

  if (task != NULL && scheduler_learns_runtimes (task->step))
    (void) g_snprintf (expected, sizeof expected,
                       " expected_ms=%" G_GINT64_FORMAT " declared_ms=%" G_GINT64_FORMAT,
                       runtime_step_expected_us (&task->step->runtime) / 1000,
                       task->step->spec->est_runtime_us / 1000);
  scheduler_log (scheduler, "task_ended",
                 "job=%s task=%u.%u.%u run=%u executor=%s end=%" G_GUINT64_FORMAT
                 " how=%s ran_ms=%" G_GINT64_FORMAT "%s",
                 end->task.job, end->task.occurrence, end->task.step, end->task.index, end->run,
                 executor->id, end->number, end_reason_name (end->how), ran_us / 1000, expected);
  update_executor_health (scheduler, executor, end->how, now_us);
  if (run != NULL)
    scheduler_run_began (run, now_us);
  if (task != NULL)
    {
      keep_checkpoint (task, end->checkpoint);
      if (end->how != END_STOPPED)
        scheduler_task_survived_start (scheduler, task, executor);
      task->last_run_number = MAX (task->last_run_number, end->run);
      if (end->how == END_DONE)
        {
          if (run != NULL)
            {
              scheduler_learn_speed (scheduler, run, now_us);
              update_runtime_ratio (task, run, now_us);
              scheduler_learn_runtime (task, run, now_us);
            }
          scheduler_task_done (scheduler, task, now_us);
        }
      else if (end->how == END_FAILED)
        {
          task->retry_at_us = now_us + task_retry_delay_us;
          scheduler_task_failed (scheduler, task, end->run, now_us);
        }
    }
  if (run == NULL)
    return;
  scheduler_start_carried_out (run, now_us);
  if (run->former_until_us > 0 && scheduler_run_is_unsettled (run))
    scheduler_run_ended_unsettled (scheduler, run, now_us);
  else
    scheduler_remove_run (scheduler, run, now_us);
}

/* The next incarnation must not carry out a start order once the end of its task is acknowledged.
 * Leaders send those again that got no answer from executors that need no ticket; for how long
 * earlier ones did is not known. */
static gint64
ack_not_before_us (const scheduler_t *scheduler,
                   const executor_t *executor,
                   const reported_end_t *end,
                   gint64 now_us)
{
  const run_t *run = scheduler_find_run (executor, &end->task, end->run);
  const task_t *task = scheduler_find_task (scheduler, &end->task);

  if (scheduler->epoch == 0 || (run != NULL && (!run->is_restored || run->is_start_known)))
    return 0;
  if (task != NULL && !scheduler_starts_repeat (task->step))
    return 0;
  return MAX (scheduler->former_starts_until_us,
              run != NULL ? scheduler_repeated_until_us (run, now_us) : 0);
}

static void
release_acks (executor_t *executor, gint64 now_us)
{
  for (GList *link = executor->pending_acks.head; link != NULL; link = link->next)
    {
      pending_ack_t *ack = link->data;

      if (ack->not_before_us <= now_us)
        ack->not_before_us = 0;
    }
}

static void
handle_ends (scheduler_t *scheduler,
             executor_t *executor,
             const executor_report_t *report,
             gint64 now_us)
{
  for (guint i = 0; i < report->ended_count; i++)
    {
      const reported_end_t *end = &report->ended[i];
      pending_ack_t *ack;

      if (end->number <= executor->last_seen_end)
        continue;
      executor->last_seen_end = end->number;
      ack = g_new0 (pending_ack_t, 1);
      ack->number = end->number;
      ack->not_before_us = ack_not_before_us (scheduler, executor, end, now_us);
      handle_end (scheduler, executor, end, now_us);
      /* Only ends that change the stored progress wait for a batch. */
      ack->batch = end->how == END_DONE || end->how == END_FAILED ? scheduler_last_batch (scheduler)
                                                                  : scheduler->stored_batch;
      g_queue_push_tail (&executor->pending_acks, ack);
      if (!list_is_linked (&executor->ack_node))
        list_push_back (&scheduler->acking, &executor->ack_node);
    }
}

/* Takes over a reported run that this leader did not start.  It is kept if its task is
 * unplaced, and stored, as no record names it; else it is stopped. */
static void
adopt (scheduler_t *scheduler, executor_t *executor, const reported_run_t *reported, gint64 now_us)
{
  task_t *task = scheduler_find_task (scheduler, &reported->task);
  bool is_wanted = task != NULL && scheduler_task_is_unplaced (task);
  run_t *run = scheduler_run_new (scheduler, is_wanted ? task : NULL, &reported->task, executor,
                                  reported->run);

  run->state = RUN_ALIVE;
  run->was_reported = true;
  scheduler_expect_late_renewal (scheduler, run, now_us);
  scheduler_run_began (run, now_us);
  scheduler_log (scheduler, "task_adopted", "job=%s task=%u.%u.%u run=%u executor=%s wanted=%d",
                 reported->task.job, reported->task.occurrence, reported->task.step,
                 reported->task.index, reported->run, executor->id, (int) is_wanted);
  if (task != NULL)
    task->last_run_number = MAX (task->last_run_number, reported->run);
  if (is_wanted)
    scheduler_store_adopted (scheduler, run);
  else
    scheduler_stop_run (scheduler, run, now_us);
}

static void
handle_running (scheduler_t *scheduler,
                executor_t *executor,
                const executor_report_t *report,
                gint64 now_us)
{
  for (guint i = 0; i < report->running_count; i++)
    {
      const reported_run_t *reported = &report->running[i];
      run_t *run = scheduler_find_run (executor, &reported->task, reported->run);

      if (run == NULL)
        {
          adopt (scheduler, executor, reported, now_us);
          continue;
        }
      scheduler_expect_late_renewal (scheduler, run, now_us);
      scheduler_run_began (run, now_us);
      run->was_reported = true;
      scheduler_start_carried_out (run, now_us);
      if (run->start_sent_us > 0 && run->placed_born == executor->born)
        scheduler_start_known (scheduler, run);
      if (run->task != NULL)
        scheduler_task_survived_start (scheduler, run->task, executor);
      if (run->state == RUN_RESTORED && run->task != NULL)
        run->state = RUN_ALIVE;
      else if (run->state == RUN_RESTORED)
        scheduler_stop_run (scheduler, run, now_us);
      scheduler_record_progress (executor, run, reported->percent, now_us);
      scheduler_learn_speed_from_progress (scheduler, run, now_us);
      if (run->state == RUN_ALIVE && run->task != NULL)
        keep_checkpoint (run->task, reported->checkpoint);
    }
}

static bool
is_listed_as_running (const executor_report_t *report, const run_t *run)
{
  for (guint i = 0; i < report->running_count; i++)
    {
      const reported_run_t *reported = &report->running[i];

      if (reported->run == run->number && scheduler_is_same_task (&reported->task, &run->ref))
        return true;
    }
  return false;
}

run_evidence_t
scheduler_run_evidence (const executor_report_t *report, const run_t *run)
{
  if (is_listed_as_running (report, run))
    return RUN_LISTED;
  return report->has_more_ends ? RUN_NOT_TOLD : RUN_ABSENT;
}

/* Reports from the mark on were requested when the start orders of the run could not be carried out
 * any more.  What they have started is known on this incarnation, or has ended with a former one.
 */
static void
settle_starts (executor_t *executor, const executor_report_t *report)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (run->is_settling && report->mark >= run->mark)
        scheduler_start_settled (run);
    }
}

/* Stops runs of an earlier leader that the executor does not report: a delayed order may still
 * start them.  Those that no task needs any more are gone: the executor knows this leader and
 * refuses the orders of earlier ones. */
static void
stop_unreported_runs (scheduler_t *scheduler,
                      executor_t *executor,
                      const executor_report_t *report,
                      gint64 now_us)
{
  list_node_t *next;

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      next = node->next;
      if (run->state != RUN_RESTORED)
        continue;
      if (run->task != NULL && scheduler_run_evidence (report, run) != RUN_ABSENT)
        continue;
      if (run->task == NULL || (run->is_start_known && run->placed_born == executor->born))
        {
          scheduler_remove_run (scheduler, run, now_us);
          /* Removing the run may have changed the rest of the list: start over. */
          next = executor->runs.next;
        }
      else if (!scheduler_restart_restored (scheduler, run, now_us))
        scheduler_stop_run (scheduler, run, now_us);
    }
}

/* Removes runs whose stop was confirmed before this report was requested and that are gone by it.
 */
static void
remove_stopped_runs (scheduler_t *scheduler,
                     executor_t *executor,
                     const executor_report_t *report,
                     gint64 now_us)
{
  list_node_t *next;

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = next)
    {
      run_t *run = LIST_ENTRY (node, run_t, executor_node);

      next = node->next;
      if (run->state == RUN_STOPPED && report->mark >= run->mark
          && scheduler_run_evidence (report, run) == RUN_ABSENT && scheduler_run_may_be_gone (run))
        {
          scheduler_remove_run (scheduler, run, now_us);
          /* Removing the run may have changed the rest of the list: start over. */
          next = executor->runs.next;
        }
    }
}

/* Whether the report was sent before the incarnation that is known by now began: its entry may be
 * read first.  After a lease's time an earlier birth is that of a machine whose clock was set back.
 */
static bool
is_of_former_incarnation (const scheduler_t *scheduler,
                          const executor_t *executor,
                          const executor_report_t *report,
                          gint64 now_us)
{
  return report->born < executor->born
         && now_us < executor->born_known_us + scheduler->limits.executor_lease_us;
}

static void
set_reachable (const scheduler_t *scheduler, executor_t *executor, bool is_reachable, gint64 now_us)
{
  if (executor->is_reachable != is_reachable)
    scheduler_log (scheduler, is_reachable ? "executor_reached" : "executor_unreached",
                   "executor=%s born=%" G_GINT64_FORMAT " lease_left_ms=%" G_GINT64_FORMAT,
                   executor->id, executor->born, (executor->lease_expiry_us - now_us) / 1000);
  executor->is_reachable = is_reachable;
}

/* The incarnation has seen a later token.  That of a start order is known from its refusal only, if
 * no answer came and another VM has sent the order.  A VM of an earlier version knows no steps, and
 * is refused until the next leader. */
static void
handle_fenced (scheduler_t *scheduler,
               executor_t *executor,
               const executor_report_t *report,
               gint64 now_us)
{
  if (report->fence_step >= executor->last_step)
    {
      scheduler->ops->deposed (scheduler->data);
      return;
    }
  set_reachable (scheduler, executor, false, now_us);
  if (report->fence_step >= executor->first_step)
    scheduler_fence_step_seen (scheduler, executor, executor->last_step);
}

void
scheduler_executor_report (scheduler_t *scheduler, const executor_report_t *report, gint64 now_us)
{
  executor_t *executor = scheduler_find_executor (scheduler, report->executor);

  if (executor == NULL)
    return;
  if (report->is_fenced)
    {
      handle_fenced (scheduler, executor, report, now_us);
      return;
    }
  if (report->is_lease_requested)
    scheduler_extend_lease_expiry (scheduler, executor, now_us);
  if (report->is_reachable && is_of_former_incarnation (scheduler, executor, report, now_us))
    return;
  set_reachable (scheduler, executor, report->is_reachable, now_us);
  if (!report->is_reachable)
    return;
  scheduler_begin_incarnation (scheduler, executor, report->born, now_us);
  scheduler_executor_survived (executor);
  executor->has_reported = true;
  executor->last_report_us = now_us;
  if (report->fence_step >= executor->first_step)
    scheduler_note_fence_seen (scheduler, executor, now_us);
  scheduler_fence_step_seen (scheduler, executor, report->fence_step);
  scheduler_check_expired_runs (scheduler, executor, report, now_us);
  scheduler_expect_former_starts (scheduler, now_us);
  handle_ends (scheduler, executor, report, now_us);
  handle_running (scheduler, executor, report, now_us);
  executor->has_more_ends = report->has_more_ends;
  settle_starts (executor, report);
  stop_unreported_runs (scheduler, executor, report, now_us);
  scheduler_check_stalls (scheduler, executor, report, now_us);
  remove_stopped_runs (scheduler, executor, report, now_us);
  release_acks (executor, now_us);
  if (!g_queue_is_empty (&executor->pending_acks))
    scheduler_acknowledge_stored (scheduler, executor);
  scheduler_update_terms (scheduler, executor);
}
