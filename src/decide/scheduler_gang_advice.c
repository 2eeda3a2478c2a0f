#include "decide/scheduler_gang.h"

/* A call for advice is sent this long before its tickets are needed, plus its own duration. */
static const gint64 advice_margin_us = 100 * 1000;

enum
{
  /* Advice on more executors is requested until the allowed ones are expected to have slots for
   * this many gangs. */
  CANDIDATE_FACTOR = 8,
  ADVICE_EXECUTORS_MAX = 100 /* executors per call */
};

/* Executors on which advice has not decided for this step.  Full ones may have room in time. */
static GPtrArray *
unknown_executors (const scheduler_t *scheduler, const step_t *step)
{
  GPtrArray *unknown = g_ptr_array_new ();

  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      if (scheduler_advice_decision (step, executor) == ADVICE_UNKNOWN)
        g_ptr_array_add (unknown, executor);
    }
  return unknown;
}

static void
add_advice_executor (GPtrArray *executors, executor_t *executor)
{
  if (executors->len < ADVICE_EXECUTORS_MAX && !g_ptr_array_find (executors, executor, NULL))
    g_ptr_array_add (executors, executor);
}

/* Adds the executors of the plan that have no ticket valid when their resources become free, and
 * a few beyond the plan.  Adds none while the start of the plan is too far ahead.  A ticket that
 * would expire before the call is answered is requested again in the same call. */
static void
add_planned_executors (GPtrArray *executors, const GArray *plan, const step_t *step, gint64 now_us)
{
  gint64 start_us = gang_start_us (plan, step);
  gint64 answer_us = now_us + scheduler_advice_call_us (step, MIN (plan->len, step->spec->count));
  guint planned = 0;
  guint spare = scheduler_advice_spare (step);

  if (gang_is_complete (plan, step) && start_us > answer_us + advice_margin_us)
    return;
  for (guint i = 0; i < plan->len; i++)
    {
      const gang_slot_t *gang_slot = &g_array_index (plan, gang_slot_t, i);

      if (i == step->spec->count)
        planned = executors->len;
      /* Executors beyond the plan are added only to a call that the plan itself needs. */
      if (i >= step->spec->count && (planned == 0 || executors->len - planned >= spare))
        return;
      if (!scheduler_is_ticket_asked (step, gang_slot->executor)
          && !scheduler_has_ticket_at (step, gang_slot->executor,
                                       MAX (gang_slot->at_us, answer_us)))
        add_advice_executor (executors, gang_slot->executor);
    }
}

/* Number of slots on executors that are fast enough and expected to be free at `until_us`. */
static guint
count_slots_until (const GArray *gang_slots, const step_t *step, gint64 until_us)
{
  guint count = 0;

  for (guint i = 0; i < gang_slots->len; i++)
    {
      const gang_slot_t *gang_slot = &g_array_index (gang_slots, gang_slot_t, i);

      count += gang_slot->at_us <= until_us && scheduler_is_fast_enough (step, gang_slot->executor);
    }
  return count;
}

/* Adds executors without a decision until advice is expected to allow enough slots, whenever they
 * are free.  Those that are too slow are added only if there are no others. */
static void
add_unknown_executors (const scheduler_t *scheduler,
                       GPtrArray *executors,
                       const step_t *step,
                       double expected,
                       gint64 now_us)
{
  g_autoptr (GPtrArray) unknown = unknown_executors (scheduler, step);
  g_autoptr (gang_slot_queue_t) queue = gang_slot_queue_new (unknown, step, now_us);
  double share = scheduler_allowed_share (step);
  bool has_fast_enough = gang_slot_queue_has_fast_enough (queue);
  gang_slot_t gang_slot;

  while (expected < CANDIDATE_FACTOR * step->spec->count && executors->len < ADVICE_EXECUTORS_MAX
         && gang_slot_queue_pop (queue, &gang_slot))
    {
      if (has_fast_enough && !scheduler_is_fast_enough (step, gang_slot.executor))
        continue;
      add_advice_executor (executors, gang_slot.executor);
      expected += share;
    }
}

/* Adds executors without a decision that have room now, until advice is expected to allow enough.
 */
static void
add_free_executors (const scheduler_t *scheduler,
                    GPtrArray *executors,
                    const step_t *step,
                    double expected,
                    gint64 now_us)
{
  g_autoptr (GPtrArray) sorted = scheduler_sort_by_speed (step, scheduler->open_executors);
  double share = scheduler_allowed_share (step);

  for (guint i = 0; i < sorted->len; i++)
    {
      executor_t *executor = g_ptr_array_index (sorted, i);
      guint fits;

      if (expected >= CANDIDATE_FACTOR * step->spec->count)
        return;
      if (scheduler_advice_decision (step, executor) != ADVICE_UNKNOWN
          || !gang_is_candidate (step, executor, now_us))
        continue;
      fits = scheduler_tasks_that_fit (step, executor);
      if (fits == 0)
        continue;
      add_advice_executor (executors, executor);
      expected += fits * share;
    }
}

/* While the allowed executors are occupied, others that have room are asked about, however many
 * are known. */
static void
add_more_executors (const scheduler_t *scheduler,
                    GPtrArray *executors,
                    const step_t *step,
                    const GArray *known_slots,
                    gint64 now_us)
{
  gint64 answer_us = now_us + scheduler_advice_call_us (step, ADVICE_EXECUTORS_MAX);
  double expected = count_slots_until (known_slots, step, G_MAXINT64) + step->expected_tasks;
  double soon = count_slots_until (known_slots, step, answer_us) + step->expected_tasks;

  if (expected < CANDIDATE_FACTOR * step->spec->count)
    add_unknown_executors (scheduler, executors, step, expected, now_us);
  else if (soon < step->spec->count)
    add_free_executors (scheduler, executors, step, soon, now_us);
}

/* True if advice has yet to decide on an executor that could take a task of the step. */
static bool
has_undecided_executor (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);
      advice_decision_t decision = scheduler_advice_decision (step, executor);

      if ((decision == ADVICE_UNKNOWN || decision == ADVICE_ASKED)
          && gang_is_candidate (step, executor, now_us))
        return true;
    }
  return false;
}

void
gang_request_advice (scheduler_t *scheduler,
                     step_t *step,
                     const GArray *plan,
                     const GArray *gang_slots,
                     gint64 now_us)
{
  g_autoptr (GPtrArray) executors = NULL;

  if (!step->job->queue->advice.is_needed
      || !scheduler_may_request_advice (scheduler, step, now_us))
    return;
  if (!gang_is_complete (plan, step) && !has_undecided_executor (scheduler, step, now_us))
    return; /* tickets would expire unused */
  executors = g_ptr_array_new ();
  if (plan != NULL)
    add_planned_executors (executors, plan, step, now_us);
  add_more_executors (scheduler, executors, step, gang_slots, now_us);
  if (executors->len > 0)
    scheduler_send_advice_call (scheduler, step, g_steal_pointer (&executors), now_us);
}
