/* Steps of the fencing tokens of the calls to an executor, and the ends that may be acknowledged.
 *
 * A start order without a result may be carried out by the next incarnation, and so may a hold
 * request that acknowledges ends.  The ends of what the one starts must not be forgotten by the
 * other.  So a start has a later step than any acknowledgement sent before it, and is refused none;
 * and nothing is acknowledged with the step of a start that is not settled, or a later one. */
#include "decide/fence_token.h"
#include "decide/scheduler_state.h"

void
scheduler_begin_fence_steps (scheduler_t *scheduler, executor_t *executor)
{
  if (executor->last_step + 1 >= FENCE_STEPS_PER_LEADER)
    {
      executor->is_out_of_steps = true;
      scheduler_log (scheduler, "executor_out_of_steps", "executor=%s born=%" G_GINT64_FORMAT,
                     executor->id, executor->born);
      return;
    }
  executor->first_step = ++executor->last_step;
  executor->fence_step = executor->first_step;
  executor->start_step = executor->first_step;
}

guint
scheduler_next_start_step (scheduler_t *scheduler, executor_t *executor)
{
  guint step = MAX (executor->start_step, executor->fence_step);

  /* The steps of the next leader begin anew. */
  if (step >= FENCE_STEPS_FOR_STARTS)
    scheduler->ops->deposed (scheduler->data);
  executor->last_step = MAX (executor->last_step, step);
  return step;
}

void
scheduler_fence_step_seen (scheduler_t *scheduler, executor_t *executor, guint step)
{
  if (step <= executor->fence_step || step > executor->last_step)
    return;
  executor->fence_step = step;
  scheduler_send_terms (scheduler, executor);
}

/* Whether a start that is not settled has this step or a lower one. */
static bool
has_unsettled_start (const executor_t *executor, guint step)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);

      if (run->start_step <= step && scheduler_run_is_unsettled (run))
        return true;
    }
  return false;
}

/* Ends up to the number that is returned may be acknowledged now. */
static guint64
ends_to_acknowledge (const executor_t *executor)
{
  return has_unsettled_start (executor, executor->fence_step) ? 0 : executor->acked;
}

void
scheduler_send_terms (scheduler_t *scheduler, executor_t *executor)
{
  executor->told_acked = ends_to_acknowledge (executor);
  if (executor->told_acked > 0)
    executor->start_step = MAX (executor->start_step, executor->fence_step + 1);
  scheduler->ops->acknowledge (executor->id, executor->born, executor->told_acked,
                               executor->told_mark, executor->fence_step, scheduler->data);
}

void
scheduler_acknowledge (scheduler_t *scheduler, executor_t *executor)
{
  executor->told_mark = executor->mark;
  scheduler_send_terms (scheduler, executor);
}

void
scheduler_update_terms (scheduler_t *scheduler, executor_t *executor)
{
  if (executor->told_acked != ends_to_acknowledge (executor))
    scheduler_send_terms (scheduler, executor);
}
