#define LOG_MODULE "requests"

#include "work/requests.h"

#include "base/log.h"
#include "work/probes.h"

#include <string.h>

/* One version of an environment's shape; older ones run dry beside the newest. */
typedef struct
{
  list_node_t node;
  request_core_t *core;
  environment_t *environment;
} generation_t;

typedef struct
{
  char *name;
  router_t *router;
  GPtrArray *addresses;    /* char *, by router index */
  list_node_t generations; /* newest first */
  requests_t *requests;
} cell_t;

/* One request in progress. */
typedef struct
{
  guint64 id;
  requests_t *requests;
  cell_t *cell;
  generation_t *generation;
  requests_done_t done; /* NULL: the caller went away */
  void *data;
  char *class;
  char *customer;
  char *scope; /* NULL: has no key */
  char *digest;
  char *content_type;
  bool first_try;
  bool claimed;
  gint64 deadline_us;
  GBytes *body;
  executor_call_t *call;
  guint attempt;
  int executor;
  gint64 started_us;
  /* The answer to give when it is not an error. */
  guint http_status;
  char *answer_type;
  GBytes *answer;
  bool replayed;
  idem_result_t claim_result;
  bool claim_seen;
  bool record; /* the claim's end must be recorded */
} exchange_t;

/* What a claim on its way refers to; the exchange may end before it. */
typedef struct
{
  requests_t *requests;
  guint64 id;
  char *scope;
} claim_context_t;

struct requests
{
  char *zone;
  executors_t *executors;
  idem_t *idem;
  metrics_t *metrics;
  GHashTable *cells;     /* name -> cell_t */
  GHashTable *exchanges; /* id -> exchange_t */
  probes_t *probes;
  guint64 last_id;
  guint64 id_prefix;
  guint seats;
  guint seats_used;
  guint timer;
};

static const guint tick_ms = 4;
static const gint64 retry_after_ms = 500;

static void carry_out (cell_t *cell, GArray *actions);

static void
exchange_free (gpointer data)
{
  exchange_t *exchange = data;

  g_free (exchange->class);
  g_free (exchange->customer);
  g_free (exchange->scope);
  g_free (exchange->digest);
  g_free (exchange->content_type);
  g_free (exchange->answer_type);
  g_clear_pointer (&exchange->body, g_bytes_unref);
  g_clear_pointer (&exchange->answer, g_bytes_unref);
  g_free (exchange);
}

static void
generation_free (generation_t *generation)
{
  list_remove (&generation->node);
  request_core_free (generation->core);
  environment_unref (generation->environment);
  g_free (generation);
}

static void
cell_free (gpointer data)
{
  cell_t *cell = data;

  while (!list_is_empty (&cell->generations))
    generation_free (LIST_ENTRY (cell->generations.next, generation_t, node));
  router_free (cell->router);
  g_ptr_array_unref (cell->addresses);
  g_free (cell->name);
  g_free (cell);
}

static GArray *
actions_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (request_action_t));
}

static cell_t *
cell_for (requests_t *requests, const char *name)
{
  cell_t *cell = g_hash_table_lookup (requests->cells, name);

  if (cell != NULL)
    return cell;
  cell = g_new0 (cell_t, 1);
  cell->name = g_strdup (name);
  cell->requests = requests;
  cell->router = router_new (requests->zone, router_policy_least_time, NULL);
  router_set_seats (cell->router, requests->seats, requests->seats_used);
  cell->addresses = g_ptr_array_new_with_free_func (g_free);
  list_init (&cell->generations);
  g_hash_table_insert (requests->cells, cell->name, cell);
  return cell;
}

static generation_t *
newest (const cell_t *cell)
{
  if (cell == NULL || list_is_empty (&cell->generations))
    return NULL;
  return LIST_ENTRY (cell->generations.next, generation_t, node);
}

static void
free_dry_generations (cell_t *cell)
{
  list_node_t *next;

  for (list_node_t *node = cell->generations.next; node != &cell->generations; node = next)
    {
      generation_t *generation = LIST_ENTRY (node, generation_t, node);

      next = node->next;
      if (generation != newest (cell) && request_core_open_count (generation->core) == 0)
        generation_free (generation);
    }
}

static gboolean
tick (gpointer data)
{
  requests_t *requests = data;
  gint64 now_us = g_get_monotonic_time ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cell_t *cell = value;
      g_autoptr (GArray) actions = actions_new ();

      for (list_node_t *node = cell->generations.next; node != &cell->generations;
           node = node->next)
        request_tick (LIST_ENTRY (node, generation_t, node)->core, now_us, actions);
      carry_out (cell, actions);
      free_dry_generations (cell);
    }
  if (g_hash_table_size (requests->exchanges) > 0)
    return G_SOURCE_CONTINUE;
  requests->timer = 0;
  return G_SOURCE_REMOVE;
}

static void
reply_claim_problem (const exchange_t *exchange, reply_message_t *reply)
{
  switch (exchange->claim_result)
    {
    case IDEM_OURS:
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
detail_for (error_kind_t kind)
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
      return error_answer (kind)->name;
    }
}

/* What is known of the work under a key that this VM never held is less than what
 * is known of this try, unless the caller states that there was none before. */
static outcome_t
outcome_of (const exchange_t *exchange, error_kind_t kind)
{
  outcome_t outcome = error_answer (kind)->outcome;

  if (outcome != OUTCOME_NOT_RUN || exchange->scope == NULL)
    return outcome;
  if (exchange->claimed || exchange->first_try || kind == ERROR_KEY_REUSED)
    return OUTCOME_NOT_RUN;
  return OUTCOME_UNKNOWN;
}

static void
record_end (const exchange_t *exchange, const reply_message_t *reply)
{
  idem_answer_t answer = { .http_status = reply->http_status,
                           .content_type = reply->content_type,
                           .body = reply->body };

  if (!exchange->record)
    return;
  idem_finish (exchange->requests->idem, exchange->scope,
               reply->error.kind == ERROR_NONE ? &answer : NULL);
}

static void
count_reply (const exchange_t *exchange, const reply_message_t *reply, gint64 now_us)
{
  metrics_t *metrics = exchange->requests->metrics;
  latency_set_t *set
      = metrics_latency (metrics, exchange->cell->name, exchange->customer, exchange->class);
  g_autofree char *name = g_strdup_printf (
      "mimosastair_answers_total{environment=\"%s\",class=\"%s\",outcome=\"%s\",error=\"%s\"}",
      exchange->cell->name, exchange->class, outcome_name (reply->outcome),
      error_answer (reply->error.kind)->name);

  (*metrics_counter (metrics, name))++;
  histogram_add (&set->waiting, (guint64) MAX (0, reply->waited_us));
  if (reply->service_us > 0)
    histogram_add (&set->service, (guint64) reply->service_us);
  histogram_add (&set->total, (guint64) MAX (0, now_us - exchange->started_us));
}

static void
finish (exchange_t *exchange, const request_action_t *action)
{
  requests_t *requests = exchange->requests;
  reply_message_t reply = { .waited_us = action->waited_us, .service_us = action->service_us };
  bool answered = exchange->answer != NULL;

  reply.error.kind = answered ? ERROR_NONE : action->error;
  exchange->record = action->keyed;
  if (!answered && exchange->claim_seen)
    reply_claim_problem (exchange, &reply);
  else if (!answered && exchange->scope != NULL && !exchange->claimed && !exchange->first_try
           && action->error == ERROR_DEADLINE_PASSED)
    (void) error_set (&reply.error, ERROR_IN_PROGRESS,
                      "the key was not settled by the deadline; try again with the same key");
  if (!answered && reply.error.detail[0] == '\0')
    g_strlcpy (reply.error.detail, detail_for (reply.error.kind), sizeof reply.error.detail);
  reply.outcome = outcome_of (exchange, reply.error.kind);
  reply.http_status
      = answered ? exchange->http_status : error_answer (reply.error.kind)->http_status;
  reply.content_type = exchange->answer_type;
  reply.body = exchange->answer;
  reply.replayed = exchange->replayed;
  reply.retry_after_ms = error_answer (reply.error.kind)->retry ? retry_after_ms : 0;
  count_reply (exchange, &reply, g_get_monotonic_time ());
  g_hash_table_steal (requests->exchanges, &exchange->id);
  record_end (exchange, &reply);
  if (exchange->done != NULL)
    exchange->done (&reply, exchange->data);
  exchange_free (exchange);
}

static exchange_t *
exchange_find (const requests_t *requests, guint64 id)
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
  exchange_t *exchange = exchange_find (context->requests, context->id);
  g_autoptr (GArray) actions = actions_new ();
  claim_result_t claim = CLAIM_TAKEN;

  if (exchange == NULL && result == IDEM_OURS)
    idem_release (context->requests->idem, context->scope);
  claim_context_free (context);
  if (exchange == NULL)
    return;
  exchange->claim_result = result;
  exchange->claim_seen = result != IDEM_OURS;
  if (result == IDEM_OURS)
    {
      exchange->claimed = true;
      claim = CLAIM_HELD;
    }
  if (result == IDEM_ANSWER)
    {
      exchange->answer = g_bytes_ref (answer->body);
      exchange->answer_type = g_strdup (answer->content_type);
      exchange->http_status = answer->http_status;
      exchange->replayed = true;
    }
  request_claimed (exchange->generation->core, exchange->id, claim, g_get_monotonic_time (),
                   actions);
  carry_out (exchange->cell, actions);
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
answered (const executor_answer_t *answer, void *data)
{
  exchange_t *exchange = data;
  cell_t *cell = exchange->cell;
  g_autoptr (GArray) actions = actions_new ();

  exchange->call = NULL;
  if (answer->leaving)
    router_executor (cell->router, exchange->executor)->state = EXECUTOR_LEAVING;
  if (answer->kind == ANSWER_COMPLETE)
    {
      exchange->answer = g_bytes_ref (answer->body);
      exchange->answer_type = g_strdup (answer->content_type);
      exchange->http_status = answer->http_status;
    }
  request_answered (exchange->generation->core, exchange->id, exchange->attempt, answer->kind,
                    g_get_monotonic_time (), actions);
  carry_out (cell, actions);
}

static void
send_attempt (exchange_t *exchange, const request_action_t *action)
{
  g_autofree char *request_id
      = g_strdup_printf ("%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x-%u",
                         exchange->requests->id_prefix, exchange->id, action->attempt);
  gint64 left_us = action->deadline_us - g_get_monotonic_time ();
  executor_request_t request
      = { .address = g_ptr_array_index (exchange->cell->addresses, action->executor),
          .request_id = request_id,
          .environment = exchange->cell->name,
          .class = exchange->class,
          .customer = exchange->customer,
          .content_type = exchange->content_type,
          .deadline_ms = MAX (1, left_us / 1000),
          .body = exchange->body };

  exchange->attempt = action->attempt;
  exchange->executor = action->executor;
  exchange->call = executors_send (exchange->requests->executors, &request, answered, exchange);
}

static void
carry_out_one (exchange_t *exchange, const request_action_t *action)
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
      finish (exchange, action);
      return;
    }
}

static void
carry_out (cell_t *cell, GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const request_action_t *action = &g_array_index (actions, request_action_t, i);
      exchange_t *exchange = exchange_find (cell->requests, action->id);

      if (exchange != NULL)
        carry_out_one (exchange, action);
    }
}

static void
reply_at_once (const error_info_t *error, requests_done_t done, void *data)
{
  reply_message_t reply = { .error = *error,
                            .outcome = error_answer (error->kind)->outcome,
                            .http_status = error_answer (error->kind)->http_status };

  done (&reply, data);
}

/* Finds class and customer, and checks the key against the class. */
static bool
check (const generation_t *generation,
       const request_message_t *message,
       request_spec_t *spec,
       error_info_t *error)
{
  int class_index;
  int customer_index;
  const work_class_t *class;

  if (generation == NULL)
    return error_set (error, ERROR_UNKNOWN_ENVIRONMENT, "no environment \"%s\" is in force",
                      message->environment);
  class_index = environment_find_class (generation->environment, message->class);
  if (class_index < 0)
    return error_set (error, ERROR_UNKNOWN_CLASS, "environment \"%s\" has no class \"%s\"",
                      message->environment, message->class);
  customer_index = environment_find_customer (generation->environment, message->customer);
  if (customer_index < 0)
    return error_set (error, ERROR_UNKNOWN_CUSTOMER, "environment \"%s\" has no customer \"%s\"",
                      message->environment, message->customer);
  class = &generation->environment->classes[class_index];
  if (class->kind != WORK_REQUEST)
    return error_set (error, ERROR_BAD_REQUEST, "class \"%s\" is for jobs", message->class);
  if (!class->idempotent && message->key == NULL)
    return error_set (error, ERROR_KEY_REQUIRED, "class \"%s\" needs an Idempotency-Key",
                      message->class);
  *spec = (request_spec_t){ .class_index = (guint) class_index,
                            .customer_index = (guint) customer_index,
                            .keyed = !class->idempotent };
  return true;
}

static char *
digest_of (const request_message_t *message)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = 0;
  const guchar *bytes = g_bytes_get_data (message->body, &size);

  g_checksum_update (checksum, (const guchar *) message->class, (gssize) strlen (message->class));
  g_checksum_update (checksum, (const guchar *) "\n", 1);
  g_checksum_update (checksum, bytes, (gssize) size);
  return g_strdup (g_checksum_get_string (checksum));
}

static exchange_t *
exchange_new (requests_t *requests,
              cell_t *cell,
              const request_message_t *message,
              const request_spec_t *spec)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  const generation_t *generation = newest (cell);
  gint64 limit_us = generation->environment->classes[spec->class_index].deadline_us;

  exchange->id = ++requests->last_id;
  exchange->requests = requests;
  exchange->cell = cell;
  exchange->generation = newest (cell);
  exchange->class = g_strdup (message->class);
  exchange->customer = g_strdup (message->customer);
  exchange->content_type = g_strdup (message->content_type);
  exchange->body = g_bytes_ref (message->body);
  exchange->first_try = message->first_try;
  exchange->started_us = g_get_monotonic_time ();
  if (message->deadline_ms > 0)
    limit_us = MIN (limit_us, message->deadline_ms * 1000);
  exchange->deadline_us = exchange->started_us + limit_us;
  if (spec->keyed)
    {
      exchange->scope
          = g_strjoin ("/", message->environment, message->customer, message->key, NULL);
      exchange->digest = digest_of (message);
    }
  g_hash_table_insert (requests->exchanges, &exchange->id, exchange);
  return exchange;
}

guint64
requests_submit (requests_t *requests,
                 const request_message_t *message,
                 requests_done_t done,
                 void *data)
{
  cell_t *cell = g_hash_table_lookup (requests->cells, message->environment);
  error_info_t error = { .kind = ERROR_NONE };
  request_spec_t spec = { .class_index = 0 };
  exchange_t *exchange;
  g_autoptr (GArray) actions = NULL;
  guint64 id;

  if (!check (newest (cell), message, &spec, &error))
    {
      reply_at_once (&error, done, data);
      return 0;
    }
  exchange = exchange_new (requests, cell, message, &spec);
  exchange->done = done;
  exchange->data = data;
  spec.deadline_us = exchange->deadline_us;
  id = exchange->id;
  actions = actions_new ();
  request_arrive (exchange->generation->core, id, &spec, exchange->started_us, actions);
  if (requests->timer == 0)
    requests->timer = g_timeout_add (tick_ms, tick, requests);
  carry_out (cell, actions);
  return id;
}

void
requests_abandon (requests_t *requests, guint64 id)
{
  exchange_t *exchange = exchange_find (requests, id);
  g_autoptr (GArray) actions = NULL;

  if (exchange == NULL)
    return;
  exchange->done = NULL;
  actions = actions_new ();
  request_caller_disconnected (exchange->generation->core, id, g_get_monotonic_time (), actions);
  carry_out (exchange->cell, actions);
}

static void
add_generation (cell_t *cell, environment_t *environment)
{
  generation_t *generation = g_new0 (generation_t, 1);

  generation->environment = environment_ref (environment);
  generation->core
      = request_core_new (environment, cell->router, g_random_int (), g_get_monotonic_time ());
  list_push_front (&cell->generations, &generation->node);
}

void
requests_set_environment (requests_t *requests, environment_t *environment)
{
  cell_t *cell = cell_for (requests, environment->name);
  generation_t *current = newest (cell);

  if (current != NULL && current->environment->version >= environment->version)
    return;
  LOG_INFO ("environment_in_force", "environment=%s version=%" G_GINT64_FORMAT, environment->name,
            environment->version);
  if (current == NULL || !request_core_set_environment (current->core, environment))
    {
      add_generation (cell, environment);
      return;
    }
  environment_unref (current->environment);
  current->environment = environment_ref (environment);
}

environment_t *
requests_environment (const requests_t *requests, const char *name)
{
  const generation_t *generation = newest (g_hash_table_lookup (requests->cells, name));

  return generation != NULL ? generation->environment : NULL;
}

static void
set_address (cell_t *cell, int index, const char *address)
{
  while (cell->addresses->len <= (guint) index)
    g_ptr_array_add (cell->addresses, NULL);
  g_free (cell->addresses->pdata[index]);
  cell->addresses->pdata[index] = g_strdup (address);
}

static void
update_executor (requests_t *requests, const member_t *member)
{
  cell_t *cell = cell_for (requests, member->environment);
  executor_state_t state = member->leaving ? EXECUTOR_LEAVING : EXECUTOR_LIVE;

  router_update (cell->router, member->id, member->zone, state, member->slots, member->connections);
  set_address (cell, router_find (cell->router, member->id), member->address);
}

static void
drop_missing (requests_t *requests, const cell_t *cell, const member_list_t *list)
{
  for (guint i = 0; i < cell->router->executors->len; i++)
    {
      executor_t *executor = router_executor (cell->router, (int) i);

      if (member_list_find (list, executor->id) != NULL || executor->state == EXECUTOR_GONE)
        continue;
      executor->state = EXECUTOR_GONE;
      executors_forget (requests->executors, g_ptr_array_index (cell->addresses, i));
    }
}

static void
tick_soon (requests_t *requests)
{
  if (requests->timer == 0)
    requests->timer = g_timeout_add (tick_ms, tick, requests);
}

typedef void (*executor_visit_t) (const executor_t *executor, const char *address, void *data);

/* Visits every executor that is on the list. */
static void
visit_executors (const requests_t *requests, executor_visit_t visit, void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cell_t *cell = value;

      for (guint i = 0; i < cell->router->executors->len; i++)
        {
          const executor_t *executor = router_executor (cell->router, (int) i);

          if (executor->state != EXECUTOR_GONE)
            visit (executor, g_ptr_array_index (cell->addresses, i), data);
        }
    }
}

static void
bound_executor (const executor_t *executor, const char *address, void *data)
{
  if (executor->connection_share > 0)
    executors_bound (data, address, executor->connection_share);
}

/* Gives each executor's pool of connections the executor's share. */
static void
bound_connections (requests_t *requests)
{
  visit_executors (requests, bound_executor, requests->executors);
}

void
requests_set_list (requests_t *requests, const member_list_t *list)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role == MEMBER_EXECUTOR)
        update_executor (requests, member);
    }
  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_missing (requests, value, list);
  bound_connections (requests);
  tick_soon (requests);
}

void
requests_set_seats (requests_t *requests, guint seats, guint seats_used)
{
  GHashTableIter iter;
  gpointer value;

  if (requests->seats == seats && requests->seats_used == seats_used)
    return;
  requests->seats = seats;
  requests->seats_used = seats_used;
  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    router_set_seats (((cell_t *) value)->router, seats, seats_used);
  bound_connections (requests);
  tick_soon (requests);
}

static void
probe_answered (const char *id, const char *state, void *data)
{
  requests_t *requests = data;
  GHashTableIter iter;
  gpointer value;

  if (g_strcmp0 (state, "leaving") != 0)
    return;
  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    router_set_state (((cell_t *) value)->router, id, EXECUTOR_LEAVING);
}

static void
probe_target (const executor_t *executor, const char *address, void *data)
{
  if (executor->state == EXECUTOR_LIVE && executor->has_probe_connection)
    probes_add (data, executor->id, address);
}

static void
probe_targets (probes_t *probes, void *data)
{
  visit_executors (data, probe_target, probes);
}

requests_t *
requests_new (const char *zone, executors_t *executors, idem_t *idem, metrics_t *metrics)
{
  requests_t *requests = g_new0 (requests_t, 1);

  requests->zone = g_strdup (zone);
  requests->executors = executors;
  requests->idem = idem;
  requests->metrics = metrics;
  requests->cells = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cell_free);
  requests->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, exchange_free);
  requests->id_prefix = ((guint64) g_random_int () << 32U) | g_random_int ();
  requests->probes = probes_new (executors, probe_targets, probe_answered, requests);
  return requests;
}

void
requests_free (requests_t *requests)
{
  if (requests == NULL)
    return;
  if (requests->timer != 0)
    g_source_remove (requests->timer);
  probes_free (requests->probes);
  g_hash_table_unref (requests->exchanges);
  g_hash_table_unref (requests->cells);
  g_free (requests->zone);
  g_free (requests);
}

bool
requests_is_open (const requests_t *requests, guint64 id)
{
  return exchange_find (requests, id) != NULL;
}

guint
requests_busy (const requests_t *requests)
{
  return g_hash_table_size (requests->exchanges);
}

static void
describe_classes (const generation_t *generation, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "classes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < generation->environment->class_count; i++)
    {
      const work_class_t *class = &generation->environment->classes[i];

      json_builder_begin_object (builder);
      json_put_text (builder, "name", class->name);
      json_put_text (builder, "kind", class->kind == WORK_JOB ? "job" : "request");
      json_put_number (builder, "urgency", class->urgency);
      json_put_number (builder, "queued", request_core_queued_count (generation->core, i));
      json_put_number (builder, "running", request_core_running_count (generation->core, i));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
describe_cell (const cell_t *cell, JsonBuilder *builder)
{
  const generation_t *generation = newest (cell);
  const request_counters_t *counters;
  guint usable = 0;
  guint capacity = router_capacity (cell->router, g_get_monotonic_time (), &usable);

  if (generation == NULL)
    return;
  counters = request_core_counters (generation->core);
  json_builder_begin_object (builder);
  json_put_text (builder, "name", cell->name);
  json_put_number (builder, "version", generation->environment->version);
  json_put_number (builder, "executors", cell->router->executors->len);
  json_put_number (builder, "executors_usable", usable);
  json_put_number (builder, "slots", capacity);
  json_put_number (builder, "admitted", (gint64) counters->admitted);
  json_put_number (builder, "shed", (gint64) counters->shed);
  json_put_number (builder, "sent", (gint64) counters->sent);
  json_put_number (builder, "retried", (gint64) counters->retried);
  json_put_number (builder, "retry_denied", (gint64) counters->retry_denied);
  json_put_number (builder, "expired", (gint64) counters->expired);
  describe_classes (generation, builder);
  json_builder_end_object (builder);
}

void
requests_describe (const requests_t *requests, JsonBuilder *builder)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, requests->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    describe_cell (value, builder);
  json_builder_end_array (builder);
}
