#include "decide/request.h"

#include "decide/retry_budget.h"

#include <math.h>
#include <string.h>

typedef enum
{
  STATE_CLAIMING,
  STATE_QUEUED,
  STATE_SENT
} request_state_t;

typedef struct
{
  fairqueue_item_t item;
  wheel_timer_t timer;
  guint64 id;
  request_state_t state;
  bool keyed;
  bool holds_claim;
  bool may_have_run; /* an earlier attempt was sent and its outcome is unknown */
  gint64 arrived_us;
  gint64 deadline_us;
  gint64 sent_us;
  gint64 waited_us;
  guint attempts;
  int executor;
  int avoid;
} request_t;

struct request_core
{
  environment_t *environment;
  router_t *router;
  fairqueue_t *queue;
  GHashTable *requests; /* id -> request_t */
  timerwheel_t wheel;
  guint running[ENVIRONMENT_CLASSES_MAX];
  guint claiming[ENVIRONMENT_CLASSES_MAX];
  double service_us[ENVIRONMENT_CLASSES_MAX];
  retry_budget_t budgets[ENVIRONMENT_CLASSES_MAX];
  request_counters_t counters;
  guint32 random;
};

/* Context of the timer callback. */
typedef struct
{
  request_core_t *core;
  gint64 now_us;
  GArray *actions;
} tick_context_t;

static const double initial_service_us = 2000;
static const double service_smoothing = 0.1; /* weight of the newest sample */
/* Fraction of the time to the deadline that may be spent waiting. */
static const double max_wait_fraction = 0.5;
static const double retry_ratio = 0.1; /* retries per first attempt */
static const double retry_burst = 10;  /* retries that can accumulate */

static guint32
next_random (request_core_t *core)
{
  /* xorshift32: from any non-zero state it cycles through all others. */
  core->random ^= core->random << 13;
  core->random ^= core->random >> 17;
  core->random ^= core->random << 5;
  return core->random;
}

static void
free_request (gpointer data)
{
  g_free (data);
}

request_core_t *
request_core_new (environment_t *environment, router_t *router, guint32 seed, gint64 now_us)
{
  request_core_t *core = g_new0 (request_core_t, 1);

  core->environment = environment_ref (environment);
  core->router = router;
  core->queue = fairqueue_new (environment);
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_request);
  core->random = seed | 1U;
  timerwheel_init (&core->wheel, now_us);
  for (guint i = 0; i < ENVIRONMENT_CLASSES_MAX; i++)
    {
      core->service_us[i] = initial_service_us;
      core->budgets[i] = (retry_budget_t){ .ratio = retry_ratio, .burst = retry_burst };
    }
  return core;
}

void
request_core_free (request_core_t *core)
{
  if (core == NULL)
    return;
  g_hash_table_unref (core->requests);
  fairqueue_free (core->queue);
  environment_unref (core->environment);
  g_free (core);
}

static const work_class_t *
class_of (const request_core_t *core, const request_t *request)
{
  return &core->environment->classes[request->item.class_index];
}

static request_action_t
make_action (const request_t *request, request_action_kind_t kind)
{
  return (request_action_t){ .kind = kind,
                             .id = request->id,
                             .attempt = request->attempts,
                             .executor = request->executor,
                             .deadline_us = request->deadline_us,
                             .class_index = request->item.class_index,
                             .customer_index = request->item.customer_index };
}

static void
append_action (const request_t *request, request_action_kind_t kind, GArray *actions)
{
  request_action_t action = make_action (request, kind);

  g_array_append_val (actions, action);
}

/* Replies to the caller and removes the request.  An error that means "not run" becomes
 * ERROR_ANSWER_LOST if an earlier attempt may have run. */
static void
reply (request_core_t *core, request_t *request, error_kind_t error, gint64 now_us, GArray *actions)
{
  request_action_t action = make_action (request, REQUEST_ACTION_REPLY);
  bool not_run;

  if (request->may_have_run && error_properties (error)->outcome == OUTCOME_NOT_RUN)
    error = ERROR_ANSWER_LOST;
  not_run = error_properties (error)->outcome == OUTCOME_NOT_RUN;
  if (request->holds_claim && not_run)
    append_action (request, REQUEST_ACTION_RELEASE, actions);
  action.error = error;
  action.keyed = request->holds_claim && !not_run;
  action.waited_us = request->attempts > 0 ? request->waited_us : now_us - request->arrived_us;
  action.service_us = request->attempts > 0 ? now_us - request->sent_us : 0;
  g_array_append_val (actions, action);
  timerwheel_stop (&core->wheel, &request->timer);
  fairqueue_remove (core->queue, &request->item);
  g_hash_table_remove (core->requests, &request->id);
}

/* Returns how long one more request is expected to wait for the queued requests of its
 * customer.  The class has the slots that it uses now or those that are guaranteed to it,
 * whichever is more, and the customer gets its fraction of them. */
static double
expected_wait_us (const request_core_t *core, const request_t *request, guint capacity)
{
  guint class_index = request->item.class_index;
  guint customer_index = request->item.customer_index;
  const work_class_t *class = &core->environment->classes[class_index];
  guint queued = fairqueue_customer_length (core->queue, class_index, customer_index);
  double slots = fmax (class->share * capacity, core->running[class_index]);

  slots *= fairqueue_customer_fraction (core->queue, class_index, customer_index);
  return queued * core->service_us[class_index] / fmax (1.0, slots);
}

static error_kind_t
admission_error (const request_core_t *core, const request_t *request, gint64 now_us)
{
  guint class_index = request->item.class_index;
  guint customer_index = request->item.customer_index;
  guint usable_count = 0;
  guint capacity = router_capacity (core->router, now_us, &usable_count);
  gint64 left_us = request->deadline_us - now_us;

  if (usable_count == 0 || capacity == 0)
    return ERROR_NO_BACKEND;
  if (left_us <= 0)
    return ERROR_DEADLINE_PASSED;
  if (fairqueue_customer_length (core->queue, class_index, customer_index)
      >= MAX (1U, fairqueue_customer_limit (core->queue, class_index, customer_index)))
    return ERROR_QUEUE_FULL;
  if (expected_wait_us (core, request, capacity) > max_wait_fraction * (double) left_us)
    return ERROR_OVERLOADED;
  return ERROR_NONE;
}

static void
send_request (
    request_core_t *core, request_t *request, int executor, gint64 now_us, GArray *actions)
{
  if (request->attempts == 0)
    {
      request->waited_us = now_us - request->arrived_us;
      retry_budget_deposit (&core->budgets[request->item.class_index]);
    }
  request->attempts++;
  request->state = STATE_SENT;
  request->sent_us = now_us;
  request->executor = executor;
  core->running[request->item.class_index]++;
  core->counters.sent++;
  append_action (request, REQUEST_ACTION_SEND, actions);
}

/* True when the request would waste a slot: its deadline has passed, or comes sooner than an
 * answer usually does while others of its class wait.  The last one in the queue is still
 * sent, so that an estimate of the service time that is too long gets corrected. */
static bool
would_waste_slot (const request_core_t *core, const request_t *request, gint64 now_us)
{
  guint class_index = request->item.class_index;
  double left_us = (double) (request->deadline_us - now_us);

  if (left_us <= 0)
    return true;
  return left_us < core->service_us[class_index]
         && fairqueue_class_length (core->queue, class_index) > 0;
}

/* Sends queued requests while there are free slots. */
static void
dispatch (request_core_t *core, gint64 now_us, GArray *actions)
{
  guint capacity;

  if (fairqueue_length (core->queue) == 0)
    return;
  capacity = router_capacity (core->router, now_us, NULL);
  while (fairqueue_length (core->queue) > 0)
    {
      fairqueue_item_t *item;
      request_t *request;
      int executor = router_pick (core->router, ROUTER_NONE, now_us, next_random (core));

      if (executor == ROUTER_NONE)
        return;
      item = fairqueue_pop (core->queue, core->running, capacity, core->service_us);
      if (item == NULL)
        {
          router_executor (core->router, executor)->in_flight--;
          return;
        }
      request = LIST_ENTRY (item, request_t, item);
      if (would_waste_slot (core, request, now_us))
        {
          router_executor (core->router, executor)->in_flight--;
          core->counters.expired++;
          reply (core, request, ERROR_DEADLINE_PASSED, now_us, actions);
          continue;
        }
      if (request->avoid == executor)
        {
          router_executor (core->router, executor)->in_flight--;
          executor = router_pick (core->router, request->avoid, now_us, next_random (core));
        }
      send_request (core, request, executor, now_us, actions);
    }
}

static void
enqueue (request_core_t *core, request_t *request)
{
  request->state = STATE_QUEUED;
  fairqueue_push (core->queue, &request->item);
}

void
request_arrive (
    request_core_t *core, guint64 id, const request_spec_t *spec, gint64 now_us, GArray *actions)
{
  request_t *request = g_new0 (request_t, 1);
  const work_class_t *class = &core->environment->classes[spec->class_index];
  gint64 class_deadline_us = now_us + class->deadline_us;
  error_kind_t error;

  request->id = id;
  request->item.class_index = spec->class_index;
  request->item.customer_index = spec->customer_index;
  request->keyed = spec->keyed;
  request->arrived_us = now_us;
  request->deadline_us
      = spec->deadline_us > 0 ? MIN (spec->deadline_us, class_deadline_us) : class_deadline_us;
  request->executor = ROUTER_NONE;
  request->avoid = ROUTER_NONE;
  g_hash_table_insert (core->requests, &request->id, request);

  error = admission_error (core, request, now_us);
  if (error != ERROR_NONE)
    {
      core->counters.shed++;
      reply (core, request, error, now_us, actions);
      return;
    }
  core->counters.admitted++;
  timerwheel_start (&core->wheel, &request->timer, request->deadline_us);
  if (request->keyed)
    {
      request->state = STATE_CLAIMING;
      core->claiming[spec->class_index]++;
      append_action (request, REQUEST_ACTION_CLAIM, actions);
      return;
    }
  enqueue (core, request);
  dispatch (core, now_us, actions);
}

void
request_claim_done (
    request_core_t *core, guint64 id, request_claim_result_t result, gint64 now_us, GArray *actions)
{
  request_t *request = g_hash_table_lookup (core->requests, &id);

  if (request == NULL)
    {
      /* The deadline passed while the claim was in progress, and the reply was "not run". */
      request_t late_request = { .id = id, .executor = ROUTER_NONE };

      if (result == REQUEST_CLAIM_HELD)
        append_action (&late_request, REQUEST_ACTION_RELEASE, actions);
      return;
    }
  g_assert (request->state == STATE_CLAIMING);
  core->claiming[request->item.class_index]--;
  switch (result)
    {
    case REQUEST_CLAIM_HELD:
      request->holds_claim = true;
      enqueue (core, request);
      dispatch (core, now_us, actions);
      return;
    case REQUEST_CLAIM_UNAVAILABLE:
      reply (core, request, ERROR_PLATFORM_UNAVAILABLE, now_us, actions);
      return;
    case REQUEST_CLAIM_TAKEN:
      reply (core, request, ERROR_IN_PROGRESS, now_us, actions);
      return;
    }
}

static void
record_service_time (request_core_t *core, const request_t *request, gint64 now_us)
{
  double *average = &core->service_us[request->item.class_index];

  *average += service_smoothing * ((double) (now_us - request->sent_us) - *average);
}

static router_result_t
router_result (answer_kind_t answer)
{
  switch (answer)
    {
    case ANSWER_COMPLETE:
      return ROUTER_ANSWERED;
    case ANSWER_REFUSED:
      return ROUTER_REFUSED;
    case ANSWER_NOT_SENT:
    case ANSWER_LOST:
    case ANSWER_INVALID:
      return ROUTER_FAILED;
    }
  return ROUTER_FAILED;
}

static error_kind_t
answer_error (answer_kind_t answer)
{
  switch (answer)
    {
    case ANSWER_COMPLETE:
      return ERROR_NONE;
    case ANSWER_REFUSED:
      return ERROR_REFUSED;
    case ANSWER_NOT_SENT:
      return ERROR_NO_BACKEND;
    case ANSWER_LOST:
      return ERROR_ANSWER_LOST;
    case ANSWER_INVALID:
      return ERROR_ANSWER_INVALID;
    }
  return ERROR_INTERNAL;
}

/* True when the request may be retried: it certainly did not run or is idempotent, and the
 * class's retry limit, the deadline and the retry budget allow it.  If so, takes a token from
 * the budget. */
static bool
may_retry (request_core_t *core, const request_t *request, error_kind_t error, gint64 now_us)
{
  const work_class_t *class = class_of (core, request);
  bool is_safe = class->idempotent || error_properties (error)->outcome == OUTCOME_NOT_RUN;

  if (!is_safe || request->attempts > class->retry_attempts || now_us >= request->deadline_us)
    return false;
  if (retry_budget_withdraw (&core->budgets[request->item.class_index]))
    return true;
  core->counters.retry_denied++;
  return false;
}

void
request_attempt_done (request_core_t *core,
                      guint64 id,
                      guint attempt,
                      answer_kind_t answer,
                      gint64 now_us,
                      GArray *actions)
{
  request_t *request = g_hash_table_lookup (core->requests, &id);
  error_kind_t error = answer_error (answer);

  if (request == NULL || request->state != STATE_SENT || request->attempts != attempt)
    return;
  core->running[request->item.class_index]--;
  router_request_done (core->router, request->executor, router_result (answer),
                       now_us - request->sent_us, now_us);
  if (answer == ANSWER_COMPLETE)
    record_service_time (core, request, now_us);
  if (error_properties (error)->outcome == OUTCOME_UNKNOWN)
    request->may_have_run = true;
  if (error != ERROR_NONE && may_retry (core, request, error, now_us))
    {
      core->counters.retried++;
      request->avoid = request->executor;
      enqueue (core, request);
    }
  else
    {
      reply (core, request, error, now_us, actions);
    }
  dispatch (core, now_us, actions);
}

void
request_caller_disconnected (request_core_t *core, guint64 id, gint64 now_us, GArray *actions)
{
  request_t *request = g_hash_table_lookup (core->requests, &id);

  if (request == NULL || request->state != STATE_QUEUED)
    return;
  reply (core, request, ERROR_DEADLINE_PASSED, now_us, actions);
}

static void
on_deadline (wheel_timer_t *timer, void *data)
{
  tick_context_t *context = data;
  request_core_t *core = context->core;
  request_t *request = LIST_ENTRY (timer, request_t, timer);

  core->counters.expired++;
  switch (request->state)
    {
    case STATE_CLAIMING:
      core->claiming[request->item.class_index]--;
      reply (core, request, ERROR_DEADLINE_PASSED, context->now_us, context->actions);
      return;
    case STATE_QUEUED:
      reply (core, request, ERROR_DEADLINE_PASSED, context->now_us, context->actions);
      return;
    case STATE_SENT:
      core->running[request->item.class_index]--;
      router_request_done (core->router, request->executor, ROUTER_TIMED_OUT,
                           context->now_us - request->sent_us, context->now_us);
      append_action (request, REQUEST_ACTION_ABORT, context->actions);
      reply (core, request, ERROR_ANSWER_TIMEOUT, context->now_us, context->actions);
      return;
    }
}

void
request_tick (request_core_t *core, gint64 now_us, GArray *actions)
{
  tick_context_t context = { .core = core, .now_us = now_us, .actions = actions };

  timerwheel_advance (&core->wheel, now_us, on_deadline, &context);
  dispatch (core, now_us, actions);
}

static bool
has_same_layout (const environment_t *a, const environment_t *b)
{
  if (a->class_count != b->class_count || a->customer_count != b->customer_count)
    return false;
  for (guint i = 0; i < a->class_count; i++)
    {
      if (strcmp (a->classes[i].name, b->classes[i].name) != 0
          || a->classes[i].idempotent != b->classes[i].idempotent)
        return false;
    }
  for (guint i = 0; i < a->customer_count; i++)
    {
      if (strcmp (a->customers[i].name, b->customers[i].name) != 0)
        return false;
    }
  return true;
}

typedef struct
{
  fairqueue_t *queue;
  fairqueue_t *old_queue;
} requeue_context_t;

static bool
requeue (fairqueue_item_t *item, void *data)
{
  requeue_context_t *context = data;

  fairqueue_remove (context->old_queue, item);
  fairqueue_push (context->queue, item);
  return true;
}

bool
request_core_set_environment (request_core_t *core, environment_t *environment)
{
  requeue_context_t context = { .old_queue = core->queue };

  if (!has_same_layout (core->environment, environment))
    return false;
  context.queue = fairqueue_new (environment);
  fairqueue_foreach (core->queue, requeue, &context);
  fairqueue_free (core->queue);
  core->queue = context.queue;
  environment_unref (core->environment);
  core->environment = environment_ref (environment);
  return true;
}

guint
request_core_open_count (const request_core_t *core)
{
  return g_hash_table_size (core->requests);
}

const request_counters_t *
request_core_counters (const request_core_t *core)
{
  return &core->counters;
}

guint
request_core_queued_count (const request_core_t *core, guint class_index)
{
  return fairqueue_class_length (core->queue, class_index) + core->claiming[class_index];
}

guint
request_core_running_count (const request_core_t *core, guint class_index)
{
  return core->running[class_index];
}
