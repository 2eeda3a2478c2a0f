#include "decide/scheduler_state.h"

#include <string.h>

/* A ticket that expires within this time is not used, since it must still be valid when the
 * start order arrives. */
static const gint64 ticket_margin_us = TICKET_MARGIN_US;
static const gint64 advice_retry_delay_us = 100 * 1000;
/* Calls that are expected to take longer count as slow. */
static const gint64 slow_call_us = 150 * 1000;
/* Weight of one decision in the moving average of the allowed share. */
static const double allowed_share_weight = 0.05;

enum
{
  ADVICE_EXECUTORS_MAX = 100, /* executors per call */
  GANG_CALLS_MAX = 4,         /* calls for one gang in flight */
  ADVICE_SPARE_TASKS = 1,     /* a call should cover this many tasks more than are unplaced */
  SPARE_DIVISOR = 4           /* spare executors prolong a call by at most `call_us` / this */
};

/* Stand for each executor that advice has denied, and for each that a call in flight asks about
 * for the first time. */
static advice_t denied;
static advice_t asked;

static void
advice_free (gpointer data)
{
  advice_t *advice = data;

  g_free (advice->ticket);
  g_free (advice);
}

/* Returns the advice on the executor, NULL if the step has not asked about it. */
static advice_t *
find_advice (const step_t *step, const executor_t *executor)
{
  return executor->index < step->advice_size ? step->advice[executor->index] : NULL;
}

/* Returns the advice on an executor that was allowed, NULL for any other. */
static advice_t *
find_allowed (const step_t *step, const executor_t *executor)
{
  advice_t *advice = find_advice (step, executor);

  return advice == &denied || advice == &asked ? NULL : advice;
}

advice_decision_t
scheduler_advice_decision (const step_t *step, const executor_t *executor)
{
  const advice_t *advice = find_advice (step, executor);

  if (advice == NULL)
    return ADVICE_UNKNOWN;
  if (advice == &asked)
    return ADVICE_ASKED;
  return advice == &denied ? ADVICE_DENIED : ADVICE_ALLOWED;
}

bool
scheduler_is_ticket_asked (const step_t *step, const executor_t *executor)
{
  const advice_t *advice = find_allowed (step, executor);

  return advice != NULL && advice->is_asked;
}

static bool
is_ticket_valid (const advice_t *advice, gint64 at_us)
{
  return advice->ticket != NULL && advice->born == advice->executor->born
         && advice->expires_us - ticket_margin_us >= at_us;
}

const char *
scheduler_find_ticket (const step_t *step, const executor_t *executor, gint64 now_us)
{
  const advice_t *advice;

  if (!step->job->queue->advice.is_needed)
    return "";
  advice = find_allowed (step, executor);
  if (advice == NULL || !is_ticket_valid (advice, now_us))
    return NULL;
  return advice->ticket;
}

gint64
scheduler_ticket_end_us (const advice_terms_t *terms, gint64 expires_us)
{
  return expires_us + (gint64) ((double) terms->valid_us * (CLOCK_DRIFT_FACTOR - 1.0));
}

gint64
scheduler_ticket_until_us (const step_t *step, const executor_t *executor)
{
  const advice_terms_t *terms = &step->job->queue->advice;
  const advice_t *advice = terms->is_needed ? find_allowed (step, executor) : NULL;

  return advice != NULL ? scheduler_ticket_end_us (terms, advice->expires_us) : 0;
}

void
scheduler_discard_ticket (step_t *step, const executor_t *executor)
{
  advice_t *advice = find_allowed (step, executor);

  if (advice != NULL)
    g_clear_pointer (&advice->ticket, g_free);
}

void
scheduler_discard_advice (scheduler_t *scheduler, step_t *step)
{
  GHashTableIter iter;
  gpointer value;

  g_clear_pointer (&step->allowed, g_ptr_array_unref);
  g_clear_pointer (&step->advice, g_free);
  step->advice_size = 0;
  step->expected_tasks = 0.0;
  if (step->calls_in_flight == 0)
    return;
  g_hash_table_iter_init (&iter, scheduler->advice_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      advice_call_t *call = value;

      if (call->step == step)
        call->step = NULL;
    }
  step->calls_in_flight = 0;
}

static guint
tasks_that_fit (const step_t *step, const resource_vector_t *resources)
{
  resource_vector_t need = step->spec->need;
  guint fits = step->spec->count;

  if (need.cpu_milli > 0 && !step->spec->fills)
    fits = MIN (fits, resources->cpu_milli / need.cpu_milli);
  if (need.mem_mb > 0)
    fits = MIN (fits, resources->mem_mb / need.mem_mb);
  if (need.gpu > 0)
    fits = MIN (fits, resources->gpu / need.gpu);
  if (step->spec->max_per_executor > 0)
    fits = MIN (fits, step->spec->max_per_executor);
  return fits;
}

/* Tasks of the step that fit now.  Without `is_shared`, other steps whose calls are in flight are
 * expected to take part of the room. */
static guint
tasks_that_fit_on (const step_t *step, const executor_t *executor, bool is_shared)
{
  resource_vector_t resources = scheduler_free_resources (step, executor);

  if (!is_shared)
    resources.cpu_milli -= MIN (resources.cpu_milli, executor->asked_cpu_milli);
  return tasks_that_fit (step, &resources);
}

guint
scheduler_tasks_per_executor (const step_t *step, const executor_t *executor)
{
  return tasks_that_fit (step, &executor->capacity);
}

guint
scheduler_tasks_that_fit (const step_t *step, const executor_t *executor)
{
  return tasks_that_fit_on (step, executor, true);
}

static bool
is_candidate (const step_t *step, const executor_t *executor, gint64 now_us)
{
  return scheduler_executor_is_usable (executor, now_us)
         && scheduler_executor_is_eligible (step, executor)
         && (!step->is_held_for_speed || scheduler_is_fast_enough (step, executor));
}

guint
scheduler_advice_spare (const step_t *step)
{
  const advice_terms_t *terms = &step->job->queue->advice;

  return terms->per_executor_us > 0
             ? (guint) (terms->call_us / SPARE_DIVISOR / terms->per_executor_us)
             : ADVICE_EXECUTORS_MAX;
}

/* A call that is being put together. */
typedef struct
{
  GPtrArray *executors;
  double expected; /* tasks that are expected to get a ticket */
  double wanted;
  guint spare; /* executors that may still be added once enough are expected */
} selection_t;

/* Adds the executor.  Returns false once the call is complete. */
static bool
select_executor (selection_t *selection, executor_t *executor, guint fits, double share)
{
  if (selection->expected >= selection->wanted && selection->spare-- == 0)
    return false;
  selection->expected += fits * share;
  g_ptr_array_add (selection->executors, executor);
  return selection->executors->len < ADVICE_EXECUTORS_MAX;
}

/* Executors that advice has allowed before, and whose tickets have expired, go first. */
static bool
select_allowed (selection_t *selection, const step_t *step, gint64 now_us)
{
  for (guint i = 0; step->allowed != NULL && i < step->allowed->len; i++)
    {
      const advice_t *advice = g_ptr_array_index (step->allowed, i);
      guint fits;

      if (is_ticket_valid (advice, now_us) || !is_candidate (step, advice->executor, now_us))
        continue;
      fits = tasks_that_fit_on (step, advice->executor, true);
      if (fits > 0 && !select_executor (selection, advice->executor, fits, 1.0))
        return false;
    }
  return true;
}

/* Then those that the step has not asked about, in the order given.  Those on which other steps
 * have just asked are left to a second pass, with `is_shared`. */
static bool
select_unknown (selection_t *selection,
                const GPtrArray *executors,
                const step_t *step,
                bool is_shared,
                gint64 now_us)
{
  double share = scheduler_allowed_share (step);

  for (guint i = 0; i < executors->len; i++)
    {
      executor_t *executor = g_ptr_array_index (executors, i);
      bool is_first_pass = tasks_that_fit_on (step, executor, false) > 0;
      guint fits;

      if (is_shared == is_first_pass || find_advice (step, executor) != NULL
          || !is_candidate (step, executor, now_us))
        continue;
      fits = tasks_that_fit_on (step, executor, is_shared);
      if (fits > 0 && !select_executor (selection, executor, fits, share))
        return false;
    }
  return true;
}

/* Chooses as many executors as are likely to be needed, given the share that advice allows, and
 * as many more as prolong the call little.  Those whose speed suits the step go first, and then the
 * emptiest. */
static GPtrArray *
choose_executors (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  g_autoptr (GPtrArray) sorted = scheduler_sort_by_speed (step, scheduler->open_executors);
  selection_t selection = {
    .executors = g_ptr_array_new (),
    .wanted = scheduler_wanted_tasks (step) + ADVICE_SPARE_TASKS,
    .spare = scheduler_advice_spare (step),
  };

  if (select_allowed (&selection, step, now_us)
      && select_unknown (&selection, sorted, step, false, now_us))
    (void) select_unknown (&selection, sorted, step, true, now_us);
  return selection.executors;
}

/* Number of the step's tasks that fit on executors for which it has a valid ticket. */
static guint
tasks_with_ticket (const step_t *step, gint64 now_us)
{
  guint covered = 0;

  for (guint i = 0; step->allowed != NULL && i < step->allowed->len; i++)
    {
      const advice_t *advice = g_ptr_array_index (step->allowed, i);
      resource_vector_t resources = scheduler_free_resources (step, advice->executor);

      if (is_ticket_valid (advice, now_us)
          && scheduler_executor_is_usable (advice->executor, now_us)
          && (!step->is_held_for_speed || scheduler_is_fast_enough (step, advice->executor)))
        covered += tasks_that_fit (step, &resources);
    }
  return covered;
}

GPtrArray *
scheduler_allowed_executors (const scheduler_t *scheduler, const step_t *step)
{
  GPtrArray *allowed;

  if (!step->job->queue->advice.is_needed)
    return g_ptr_array_ref (scheduler->open_executors);
  allowed = g_ptr_array_new ();
  for (guint i = 0; step->allowed != NULL && i < step->allowed->len; i++)
    g_ptr_array_add (allowed, ((advice_t *) g_ptr_array_index (step->allowed, i))->executor);
  return allowed;
}

bool
scheduler_has_ticket_at (const step_t *step, const executor_t *executor, gint64 at_us)
{
  return scheduler_find_ticket (step, executor, at_us) != NULL;
}

double
scheduler_allowed_share (const step_t *step)
{
  return CLAMP (step->job->queue->allowed_share, 0.1, 1.0);
}

gint64
scheduler_advice_call_us (const step_t *step, guint count)
{
  const advice_terms_t *terms = &step->job->queue->advice;

  return terms->is_needed ? terms->call_us + count * terms->per_executor_us : 0;
}

static void
count_asked (const advice_call_t *call, bool is_sent)
{
  for (guint i = 0; i < call->executors->len; i++)
    {
      executor_t *executor = g_ptr_array_index (call->executors, i);

      if (is_sent)
        executor->asked_cpu_milli += call->asked_cpu_milli;
      else
        executor->asked_cpu_milli -= call->asked_cpu_milli;
    }
}

static void
ensure_advice_size (const scheduler_t *scheduler, step_t *step, const executor_t *executor)
{
  guint size = scheduler->executor_list->len;

  if (executor->index < step->advice_size)
    return;
  step->advice = g_renew (advice_t *, step->advice, size);
  memset (step->advice + step->advice_size, 0, (size - step->advice_size) * sizeof (advice_t *));
  step->advice_size = size;
}

/* Marks the executors of a call that is sent.  Returns the number of tasks that are expected to
 * get a ticket on those that the step has not asked about before. */
static double
mark_asked (const scheduler_t *scheduler, step_t *step, const GPtrArray *executors)
{
  double share = scheduler_allowed_share (step);
  double expected = 0.0;

  for (guint i = 0; i < executors->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (executors, i);
      advice_t *allowed = find_allowed (step, executor);

      ensure_advice_size (scheduler, step, executor);
      if (allowed != NULL)
        allowed->is_asked = true;
      else if (step->advice[executor->index] == NULL)
        {
          step->advice[executor->index] = &asked;
          expected += share * scheduler_tasks_per_executor (step, executor);
        }
    }
  return expected;
}

/* Undoes mark_asked() when the call has ended. */
static void
clear_asked (step_t *step, const advice_call_t *call)
{
  for (guint i = 0; i < call->executors->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (call->executors, i);
      advice_t *allowed = find_allowed (step, executor);

      if (allowed != NULL)
        allowed->is_asked = false;
      else if (step->advice[executor->index] == &asked)
        step->advice[executor->index] = NULL;
    }
  step->expected_tasks -= call->expected_tasks;
  step->calls_in_flight--;
}

void
scheduler_send_advice_call (scheduler_t *scheduler,
                            step_t *step,
                            GPtrArray *executors,
                            gint64 now_us)
{
  gint64 expected_us = scheduler_advice_call_us (step, executors->len);
  guint wanted = scheduler_wanted_tasks (step);
  advice_call_t *call = g_new0 (advice_call_t, 1);
  guint64 *key = g_new (guint64, 1);
  g_autofree const char **ids = g_new0 (const char *, executors->len);
  advise_order_t order = {
    .order = scheduler->next_order++,
    .executors = ids,
    .executor_count = executors->len,
    .expected_us = expected_us,
    .is_slow = expected_us > slow_call_us,
  };

  call->born = g_new (gint64, executors->len);
  for (guint i = 0; i < executors->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (executors, i);

      ids[i] = executor->id;
      call->born[i] = executor->born;
    }
  memcpy (order.step.job, step->job->spec->id, sizeof order.step.job);
  order.step.occurrence = step->occurrence;
  order.step.step = step->index;
  *key = order.order;
  call->step = step;
  call->executors = executors;
  call->asked_cpu_milli = step->spec->need.cpu_milli * wanted / executors->len;
  call->sent_us = now_us;
  call->is_slow = order.is_slow;
  call->expected_tasks = mark_asked (scheduler, step, executors);
  step->expected_tasks += call->expected_tasks;
  step->calls_in_flight++;
  count_asked (call, true);
  step->waits.advice_calls++;
  g_hash_table_insert (scheduler->advice_calls, key, call);
  scheduler->advice_slots--;
  if (call->is_slow && scheduler->slow_slots > 0)
    scheduler->slow_slots--;
  scheduler_log (scheduler, "advice_asked",
                 "job=%s step=%u.%u queue=%s named=%u wanting=%u expected_ms=%" G_GINT64_FORMAT
                 " order=%" G_GUINT64_FORMAT,
                 order.step.job, step->occurrence, step->index, step->job->queue->name,
                 executors->len, wanted, expected_us / 1000, order.order);
  scheduler->ops->advise (&order, scheduler->data);
}

bool
scheduler_may_request_advice (const scheduler_t *scheduler, const step_t *step, gint64 now_us)
{
  guint most = step->spec->gang ? GANG_CALLS_MAX : 1;

  return step->calls_in_flight < most && step->advice_retry_at_us <= now_us
         && scheduler->advice_slots > 0 && scheduler_may_use_advice_slot (scheduler, step, now_us)
         && (step->job->queue->advice.call_us <= slow_call_us || scheduler->slow_slots > 0);
}

/* Requests tickets if the valid ones do not suffice for all unplaced tasks.  Returns false if
 * no call was sent. */
bool
scheduler_request_advice (scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  GPtrArray *executors;

  if (!scheduler_may_request_advice (scheduler, step, now_us))
    return false;
  if (tasks_with_ticket (step, now_us) >= scheduler_wanted_tasks (step))
    return false;
  executors = choose_executors (scheduler, step, now_us);
  if (executors->len == 0)
    {
      g_ptr_array_unref (executors);
      return false;
    }
  scheduler_send_advice_call (scheduler, step, executors, now_us);
  return true;
}

static advice_t *
add_allowed (step_t *step, executor_t *executor)
{
  advice_t *advice = g_new0 (advice_t, 1);

  advice->executor = executor;
  if (step->allowed == NULL)
    step->allowed = g_ptr_array_new_with_free_func (advice_free);
  g_ptr_array_add (step->allowed, advice);
  step->advice[executor->index] = advice;
  return advice;
}

static void
deny (step_t *step, const executor_t *executor)
{
  advice_t *advice = find_allowed (step, executor);

  if (advice != NULL)
    (void) g_ptr_array_remove_fast (step->allowed, advice);
  step->advice[executor->index] = &denied;
}

/* A ticket counts for the incarnation `born`, which was asked about: the next one may have begun
 * since. */
static void
record_decision (const scheduler_t *scheduler,
                 step_t *step,
                 executor_t *executor,
                 gint64 born,
                 const char *ticket,
                 gint64 now_us)
{
  queue_t *queue = step->job->queue;
  advice_t *advice;

  ensure_advice_size (scheduler, step, executor);
  advice = step->advice[executor->index];
  if (advice == NULL)
    queue->allowed_share
        += allowed_share_weight * ((ticket != NULL ? 1.0 : 0.0) - queue->allowed_share);
  if (ticket == NULL)
    {
      deny (step, executor);
      return;
    }
  if (advice == NULL || advice == &denied)
    advice = add_allowed (step, executor);
  else
    step->waits.renewed_tickets++;
  g_free (advice->ticket);
  advice->ticket = g_strdup (ticket);
  advice->born = born;
  advice->expires_us = now_us + queue->advice.valid_us;
}

static const char *
ticket_for (const char *id, const ticket_t *tickets, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      if (strcmp (tickets[i].executor, id) == 0)
        return tickets[i].ticket;
    }
  return NULL;
}

void
scheduler_advice_result (scheduler_t *scheduler,
                         guint64 order,
                         bool is_answered,
                         const ticket_t *tickets,
                         guint ticket_count,
                         gint64 now_us)
{
  advice_call_t *call = g_hash_table_lookup (scheduler->advice_calls, &order);
  step_t *step;

  if (call == NULL)
    return;
  step = call->step;
  count_asked (call, false);
  scheduler_log (scheduler, "advice_answered",
                 "order=%" G_GUINT64_FORMAT " answered=%d allowed=%u took_ms=%" G_GINT64_FORMAT
                 " wanted=%d",
                 order, (int) is_answered, ticket_count, (now_us - call->sent_us) / 1000,
                 (int) (step != NULL));
  if (step != NULL)
    {
      clear_asked (step, call);
      if (!is_answered)
        step->advice_retry_at_us = now_us + advice_retry_delay_us;
      for (guint i = 0; is_answered && i < call->executors->len; i++)
        {
          executor_t *executor = g_ptr_array_index (call->executors, i);

          record_decision (scheduler, step, executor, call->born[i],
                           ticket_for (executor->id, tickets, ticket_count), now_us);
        }
      scheduler_touch_step (scheduler, step);
    }
  g_hash_table_remove (scheduler->advice_calls, &order);
}

void
scheduler_set_advice_slots (scheduler_t *scheduler, guint all, guint slow)
{
  scheduler->advice_slots = all;
  scheduler->slow_slots = slow;
}
