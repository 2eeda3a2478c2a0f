#include "work/requests.h"

#include "work/request_environments.h"

#include <string.h>

/* A request in progress. */
typedef struct
{
  guint64 id;
  requests_t *requests;
  request_environment_t *environment;
  request_generation_t *generation; /* of `environment` */
  requests_done_t done;             /* NULL: the caller disconnected */
  void *data;
  char *class;
  char *customer;
  char *scope; /* of the idempotency key; NULL when the request needs no claim */
  char *digest;
  char *content_type;
  bool is_first_attempt;
  bool is_claimed;
  gint64 deadline_us;
  GBytes *body;
  executor_call_t *call;
  guint attempt; /* the latest */
  int executor;  /* index in the router */
  gint64 started_us;
  /* The result, once there is one; `answer` is NULL before. */
  guint http_status;
  char *answer_content_type;
  GBytes *answer;
  bool is_replayed;
  idem_result_t idem_result;
  bool is_claim_denied; /* the claim ended with `idem_result`, which is not IDEM_CLAIMED */
  bool must_record_end; /* in the idempotency record of the key */
} exchange_t;

/* A claim in progress, which may outlive its exchange. */
typedef struct
{
  requests_t *requests;
  guint64 id;
  char *scope;
} claim_context_t;

struct requests
{
  executor_client_t *executor_client;
  idem_t *idem;
  metrics_t *metrics;
  request_environments_t *environments;
  GHashTable *exchanges; /* id -> exchange_t */
  guint64 last_id;
  guint64 id_prefix;
  guint tick_timer;
};

static const guint tick_interval_ms = 4;
static const gint64 default_retry_after_ms = 500;

static void execute_actions (GArray *actions, void *data);

static void
exchange_free (gpointer data)
{
  exchange_t *exchange = data;

  g_free (exchange->class);
  g_free (exchange->customer);
  g_free (exchange->scope);
  g_free (exchange->digest);
  g_free (exchange->content_type);
  g_free (exchange->answer_content_type);
  g_clear_pointer (&exchange->body, g_bytes_unref);
  g_clear_pointer (&exchange->answer, g_bytes_unref);
  g_free (exchange);
}

static GArray *
actions_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (request_action_t));
}

static gboolean
tick (gpointer data)
{
  requests_t *requests = data;

  request_environments_tick (requests->environments, g_get_monotonic_time (), execute_actions,
                             requests);
  if (g_hash_table_size (requests->exchanges) > 0)
    return G_SOURCE_CONTINUE;
  requests->tick_timer = 0;
  return G_SOURCE_REMOVE;
}

static void
start_tick_timer (requests_t *requests)
{
  if (requests->tick_timer == 0)
    requests->tick_timer = g_timeout_add (tick_interval_ms, tick, requests);
}

static void
set_claim_error (const exchange_t *exchange, request_reply_t *reply)
{
  switch (exchange->idem_result)
    {
    case IDEM_CLAIMED:
    case IDEM_ANSWER:
      return;
    case IDEM_UNKNOWN:
      (void) error_set (&reply->error, ERROR_OWNER_LOST,
                        "an earlier try with this key may have run; its answer is lost");
      return;
    case IDEM_RUNNING:
      (void) error_set (&reply->error, ERROR_IN_PROGRESS,
                        "an earlier try with this key is still running");
      return;
    case IDEM_KEY_REUSED:
      (void) error_set (&reply->error, ERROR_KEY_REUSED,
                        "this key was used before with another body");
      return;
    case IDEM_UNAVAILABLE:
      (void) error_set (&reply->error, ERROR_PLATFORM_UNAVAILABLE,
                        "the key-value service did not record the key in time");
      return;
    }
}

static const char *
error_detail (error_kind_t kind)
{
  switch (kind)
    {
    case ERROR_QUEUE_FULL:
      return "the queue of this customer and class is full";
    case ERROR_OVERLOADED:
      return "the expected wait is longer than the deadline";
    case ERROR_DEADLINE_PASSED:
      return "the deadline passed before the request was sent";
    case ERROR_NO_BACKEND:
      return "no backend server can be used now";
    case ERROR_REFUSED:
      return "the backend server refused the request";
    case ERROR_ANSWER_LOST:
      return "the connection to the backend server broke after the request was sent";
    case ERROR_ANSWER_TIMEOUT:
      return "no answer came by the deadline";
    case ERROR_ANSWER_INVALID:
      return "the answer was for another request";
    default:
      return error_properties (kind)->name;
    }
}

/* Returns what is known about the work.  That this attempt did not run says nothing about earlier
 * attempts with the same key through other VMs.  So "not run" becomes "unknown" for a key that this
 * VM never claimed, unless the caller asserts that this is the first attempt. */
static outcome_t
reply_outcome (const exchange_t *exchange, error_kind_t kind)
{
  outcome_t outcome = error_properties (kind)->outcome;

  if (outcome != OUTCOME_NOT_RUN || exchange->scope == NULL)
    return outcome;
  if (exchange->is_claimed || exchange->is_first_attempt || kind == ERROR_KEY_REUSED)
    return OUTCOME_NOT_RUN;
  return OUTCOME_UNKNOWN;
}

static void
record_end (const exchange_t *exchange, const request_reply_t *reply)
{
  idem_answer_t answer = { .http_status = reply->http_status,
                           .content_type = reply->content_type,
                           .body = reply->body };

  if (!exchange->must_record_end)
    return;
  idem_finish (exchange->requests->idem, exchange->scope,
               reply->error.kind == ERROR_NONE ? &answer : NULL);
}

static void
record_reply_metrics (const exchange_t *exchange, const request_reply_t *reply, gint64 now_us)
{
  metrics_t *metrics = exchange->requests->metrics;
  latency_set_t *set = metrics_latency (metrics, request_environment_name (exchange->environment),
                                        exchange->customer, exchange->class);
  g_autofree char *name = g_strdup_printf (
      "mimosastair_answers_total{environment=\"%s\",class=\"%s\",outcome=\"%s\",error=\"%s\"}",
      request_environment_name (exchange->environment), exchange->class,
      outcome_name (reply->outcome), error_properties (reply->error.kind)->name);

  (*metrics_counter (metrics, name))++;
  histogram_add (&set->waiting, (guint64) MAX (0, reply->waited_us));
  if (reply->service_us > 0)
    histogram_add (&set->service, (guint64) reply->service_us);
  histogram_add (&set->total, (guint64) MAX (0, now_us - exchange->started_us));
}

static void
send_reply (exchange_t *exchange, const request_action_t *action)
{
  requests_t *requests = exchange->requests;
  request_reply_t reply = { .waited_us = action->waited_us, .service_us = action->service_us };
  bool has_answer = exchange->answer != NULL;

  reply.error.kind = has_answer ? ERROR_NONE : action->error;
  exchange->must_record_end = action->keyed;
  if (!has_answer && exchange->is_claim_denied)
    set_claim_error (exchange, &reply);
  else if (!has_answer && exchange->scope != NULL && !exchange->is_claimed
           && !exchange->is_first_attempt && action->error == ERROR_DEADLINE_PASSED)
    (void) error_set (&reply.error, ERROR_IN_PROGRESS,
                      "the key was not settled by the deadline; try again with the same key");
  if (!has_answer && reply.error.detail[0] == '\0')
    g_strlcpy (reply.error.detail, error_detail (reply.error.kind), sizeof reply.error.detail);
  reply.outcome = reply_outcome (exchange, reply.error.kind);
  reply.http_status
      = has_answer ? exchange->http_status : error_properties (reply.error.kind)->http_status;
  reply.content_type = exchange->answer_content_type;
  reply.body = exchange->answer;
  reply.is_replayed = exchange->is_replayed;
  reply.retry_after_ms = error_properties (reply.error.kind)->retry ? default_retry_after_ms : 0;
  record_reply_metrics (exchange, &reply, g_get_monotonic_time ());
  g_hash_table_steal (requests->exchanges, &exchange->id);
  record_end (exchange, &reply);
  if (exchange->done != NULL)
    exchange->done (&reply, exchange->data);
  exchange_free (exchange);
}

static exchange_t *
find_exchange (const requests_t *requests, guint64 id)
{
  return g_hash_table_lookup (requests->exchanges, &id);
}

static void
claim_context_free (claim_context_t *context)
{
  g_free (context->scope);
  g_free (context);
}

static void
claim_done (idem_result_t result, const idem_answer_t *answer, void *data)
{
  claim_context_t *context = data;
  requests_t *requests = context->requests;
  exchange_t *exchange = find_exchange (requests, context->id);
  g_autoptr (GArray) actions = actions_new ();
  request_claim_result_t claim = REQUEST_CLAIM_TAKEN;

  if (exchange == NULL && result == IDEM_CLAIMED)
    idem_release (requests->idem, context->scope);
  claim_context_free (context);
  if (exchange == NULL)
    return;
  exchange->idem_result = result;
  exchange->is_claim_denied = result != IDEM_CLAIMED;
  if (result == IDEM_CLAIMED)
    {
      exchange->is_claimed = true;
      claim = REQUEST_CLAIM_HELD;
    }
  if (result == IDEM_ANSWER)
    {
      exchange->answer = g_bytes_ref (answer->body);
      exchange->answer_content_type = g_strdup (answer->content_type);
      exchange->http_status = answer->http_status;
      exchange->is_replayed = true;
    }
  request_claim_done (exchange->generation->core, exchange->id, claim, g_get_monotonic_time (),
                      actions);
  execute_actions (actions, requests);
}

static void
begin_claim (exchange_t *exchange)
{
  claim_context_t *context = g_new0 (claim_context_t, 1);

  context->requests = exchange->requests;
  context->id = exchange->id;
  context->scope = g_strdup (exchange->scope);
  idem_begin (exchange->requests->idem, exchange->scope, exchange->digest, exchange->deadline_us,
              claim_done, context);
}

static void
attempt_answered (const executor_answer_t *answer, void *data)
{
  exchange_t *exchange = data;
  requests_t *requests = exchange->requests;
  g_autoptr (GArray) actions = actions_new ();

  exchange->call = NULL;
  if (answer->is_leaving)
    request_environment_set_leaving (exchange->environment, exchange->executor);
  if (answer->kind == ANSWER_COMPLETE)
    {
      exchange->answer = g_bytes_ref (answer->body);
      exchange->answer_content_type = g_strdup (answer->content_type);
      exchange->http_status = answer->http_status;
    }
  request_attempt_done (exchange->generation->core, exchange->id, exchange->attempt, answer->kind,
                        g_get_monotonic_time (), actions);
  execute_actions (actions, requests);
}

static void
send_attempt (exchange_t *exchange, const request_action_t *action)
{
  g_autofree char *request_id
      = g_strdup_printf ("%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x-%u",
                         exchange->requests->id_prefix, exchange->id, action->attempt);
  gint64 left_us = action->deadline_us - g_get_monotonic_time ();
  executor_request_t request
      = { .address = request_environment_address (exchange->environment, action->executor),
          .request_id = request_id,
          .environment = request_environment_name (exchange->environment),
          .class = exchange->class,
          .customer = exchange->customer,
          .content_type = exchange->content_type,
          .deadline_ms = MAX (1, left_us / 1000),
          .body = exchange->body };

  exchange->attempt = action->attempt;
  exchange->executor = action->executor;
  exchange->call = executor_client_send (exchange->requests->executor_client, &request,
                                         attempt_answered, exchange);
}

static void
execute_action (exchange_t *exchange, const request_action_t *action)
{
  switch (action->kind)
    {
    case REQUEST_ACTION_CLAIM:
      begin_claim (exchange);
      return;
    case REQUEST_ACTION_RELEASE:
      idem_release (exchange->requests->idem, exchange->scope);
      return;
    case REQUEST_ACTION_SEND:
      send_attempt (exchange, action);
      return;
    case REQUEST_ACTION_ABORT:
      executor_call_abort (g_steal_pointer (&exchange->call));
      return;
    case REQUEST_ACTION_REPLY:
      send_reply (exchange, action);
      return;
    }
}

static void
execute_actions (GArray *actions, void *data)
{
  const requests_t *requests = data;

  for (guint i = 0; i < actions->len; i++)
    {
      const request_action_t *action = &g_array_index (actions, request_action_t, i);
      exchange_t *exchange = find_exchange (requests, action->id);

      if (exchange != NULL)
        execute_action (exchange, action);
    }
}

static void
reply_error (const error_info_t *error, requests_done_t done, void *data)
{
  request_reply_t reply = { .error = *error,
                            .outcome = error_properties (error->kind)->outcome,
                            .http_status = error_properties (error->kind)->http_status };

  done (&reply, data);
}

/* Resolves class and customer, and checks that the request has a key if its class needs one. */
static bool
check_submission (const request_generation_t *generation,
                  const request_submission_t *submission,
                  request_spec_t *spec,
                  error_info_t *error)
{
  int class_index;
  int customer_index;
  const work_class_t *class;

  if (generation == NULL)
    return error_set (error, ERROR_UNKNOWN_ENVIRONMENT, "no environment \"%s\" is in force",
                      submission->environment);
  class_index = environment_find_class (generation->environment, submission->class);
  if (class_index < 0)
    return error_set (error, ERROR_UNKNOWN_CLASS, "environment \"%s\" has no class \"%s\"",
                      submission->environment, submission->class);
  customer_index = environment_find_customer (generation->environment, submission->customer);
  if (customer_index < 0)
    return error_set (error, ERROR_UNKNOWN_CUSTOMER, "environment \"%s\" has no customer \"%s\"",
                      submission->environment, submission->customer);
  class = &generation->environment->classes[class_index];
  if (class->kind != WORK_REQUEST)
    return error_set (error, ERROR_BAD_REQUEST, "class \"%s\" is for jobs", submission->class);
  if (!class->idempotent && submission->key == NULL)
    return error_set (error, ERROR_KEY_REQUIRED, "class \"%s\" needs an Idempotency-Key",
                      submission->class);
  *spec = (request_spec_t){ .class_index = (guint) class_index,
                            .customer_index = (guint) customer_index,
                            .keyed = !class->idempotent };
  return true;
}

static char *
submission_digest (const request_submission_t *submission)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = 0;
  const guchar *bytes = g_bytes_get_data (submission->body, &size);

  g_checksum_update (checksum, (const guchar *) submission->class,
                     (gssize) strlen (submission->class));
  g_checksum_update (checksum, (const guchar *) "\n", 1);
  g_checksum_update (checksum, bytes, (gssize) size);
  return g_strdup (g_checksum_get_string (checksum));
}

static exchange_t *
exchange_new (requests_t *requests,
              request_environment_t *environment,
              const request_submission_t *submission,
              const request_spec_t *spec)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  const request_generation_t *generation = request_environment_newest (environment);
  gint64 timeout_us = generation->environment->classes[spec->class_index].deadline_us;

  exchange->id = ++requests->last_id;
  exchange->requests = requests;
  exchange->environment = environment;
  exchange->generation = request_environment_newest (environment);
  exchange->class = g_strdup (submission->class);
  exchange->customer = g_strdup (submission->customer);
  exchange->content_type = g_strdup (submission->content_type);
  exchange->body = g_bytes_ref (submission->body);
  exchange->is_first_attempt = submission->is_first_attempt;
  exchange->started_us = g_get_monotonic_time ();
  if (submission->deadline_ms > 0)
    timeout_us = MIN (timeout_us, submission->deadline_ms * 1000);
  exchange->deadline_us = exchange->started_us + timeout_us;
  if (spec->keyed)
    {
      exchange->scope
          = g_strjoin ("/", submission->environment, submission->customer, submission->key, NULL);
      exchange->digest = submission_digest (submission);
    }
  g_hash_table_insert (requests->exchanges, &exchange->id, exchange);
  return exchange;
}

guint64
requests_submit (requests_t *requests,
                 const request_submission_t *submission,
                 requests_done_t done,
                 void *data)
{
  request_environment_t *environment
      = request_environments_find (requests->environments, submission->environment);
  error_info_t error = { .kind = ERROR_NONE };
  request_spec_t spec = { .class_index = 0 };
  exchange_t *exchange;
  g_autoptr (GArray) actions = NULL;
  guint64 id;

  if (!check_submission (request_environment_newest (environment), submission, &spec, &error))
    {
      reply_error (&error, done, data);
      return 0;
    }
  exchange = exchange_new (requests, environment, submission, &spec);
  exchange->done = done;
  exchange->data = data;
  spec.deadline_us = exchange->deadline_us;
  id = exchange->id;
  actions = actions_new ();
  request_arrive (exchange->generation->core, id, &spec, exchange->started_us, actions);
  start_tick_timer (requests);
  execute_actions (actions, requests);
  return id;
}

void
requests_caller_disconnected (requests_t *requests, guint64 id)
{
  exchange_t *exchange = find_exchange (requests, id);
  g_autoptr (GArray) actions = NULL;

  if (exchange == NULL)
    return;
  exchange->done = NULL;
  actions = actions_new ();
  request_caller_disconnected (exchange->generation->core, id, g_get_monotonic_time (), actions);
  execute_actions (actions, requests);
}

void
requests_set_environment (requests_t *requests, environment_t *environment)
{
  request_environments_set (requests->environments, environment);
}

environment_t *
requests_environment (const requests_t *requests, const char *name)
{
  const request_generation_t *generation
      = request_environment_newest (request_environments_find (requests->environments, name));

  return generation != NULL ? generation->environment : NULL;
}

void
requests_set_member_list (requests_t *requests, const member_list_t *list)
{
  request_environments_set_member_list (requests->environments, list);
  start_tick_timer (requests);
}

void
requests_set_seats (requests_t *requests, guint seats, guint seats_used)
{
  if (request_environments_set_seats (requests->environments, seats, seats_used))
    start_tick_timer (requests);
}

requests_t *
requests_new (const char *zone,
              executor_client_t *executor_client,
              idem_t *idem,
              metrics_t *metrics)
{
  requests_t *requests = g_new0 (requests_t, 1);

  requests->executor_client = executor_client;
  requests->idem = idem;
  requests->metrics = metrics;
  requests->environments = request_environments_new (zone, executor_client);
  requests->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
  requests->id_prefix = ((guint64) g_random_int () << 32U) | g_random_int ();
  return requests;
}

void
requests_free (requests_t *requests)
{
  if (requests == NULL)
    return;
  if (requests->tick_timer != 0)
    g_source_remove (requests->tick_timer);
  g_hash_table_unref (requests->exchanges);
  request_environments_free (requests->environments);
  g_free (requests);
}

bool
requests_is_open (const requests_t *requests, guint64 id)
{
  return find_exchange (requests, id) != NULL;
}

guint
requests_open_count (const requests_t *requests)
{
  return g_hash_table_size (requests->exchanges);
}

void
requests_describe (const requests_t *requests, JsonBuilder *builder)
{
  request_environments_describe (requests->environments, builder);
}
