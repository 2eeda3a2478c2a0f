/* Placements: records of runs, which are stored before their start orders are sent. */
#include "decide/scheduler_state.h"

static void
delete_placement (scheduler_t *scheduler, placement_t *placement)
{
  scheduler->ops->delete_placement (placement->number, scheduler->data);
  g_hash_table_remove (scheduler->placements, &placement->number);
}

void
scheduler_release_placement (scheduler_t *scheduler, run_t *run)
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
        scheduler_send_start (scheduler, run, now_us);
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
  placed->resources = scheduler_task_resources (task);
  return placed->workspace != NULL;
}

/* The run of a job whose end is stored, or of a task that is done, may still be alive. */
static run_t *
restore_left_run (scheduler_t *scheduler, const placed_run_t *placed, executor_t *executor)
{
  workspace_account_t *account = workspace_accounts_ensure (scheduler->accounts, placed->workspace);

  return scheduler_add_run (scheduler, NULL, &placed->task, executor, placed->run,
                            placed->resources, account);
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
