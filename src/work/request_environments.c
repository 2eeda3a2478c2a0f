#define LOG_MODULE "requests"

#include "work/request_environments.h"

#include "base/log.h"
#include "work/probes.h"

struct request_environment
{
  char *name;
  router_t *router;
  GPtrArray *addresses;    /* of char *, by router index */
  list_node_t generations; /* newest first */
};

struct request_environments
{
  char *zone;
  executor_client_t *executor_client;
  GHashTable *by_name; /* name -> request_environment_t */
  probes_t *probes;
  guint seats;
  guint seats_used;
};

static GArray *
actions_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (request_action_t));
}

static void
generation_free (request_generation_t *generation)
{
  list_remove (&generation->node);
  request_core_free (generation->core);
  environment_unref (generation->environment);
  g_free (generation);
}

static void
environment_state_free (gpointer data)
{
  request_environment_t *state = data;

  while (!list_is_empty (&state->generations))
    generation_free (LIST_ENTRY (state->generations.next, request_generation_t, node));
  router_free (state->router);
  g_ptr_array_unref (state->addresses);
  g_free (state->name);
  g_free (state);
}

static request_environment_t *
ensure_environment (request_environments_t *environments, const char *name)
{
  request_environment_t *state = g_hash_table_lookup (environments->by_name, name);

  if (state != NULL)
    return state;
  state = g_new0 (request_environment_t, 1);
  state->name = g_strdup (name);
  state->router = router_new (environments->zone, router_policy_least_time, NULL);
  router_set_seats (state->router, environments->seats, environments->seats_used);
  state->addresses = g_ptr_array_new_with_free_func (g_free);
  list_init (&state->generations);
  g_hash_table_insert (environments->by_name, state->name, state);
  return state;
}

request_generation_t *
request_environment_newest (const request_environment_t *environment)
{
  if (environment == NULL || list_is_empty (&environment->generations))
    return NULL;
  return LIST_ENTRY (environment->generations.next, request_generation_t, node);
}

static void
free_drained_generations (request_environment_t *state)
{
  list_node_t *next;

  for (list_node_t *node = state->generations.next; node != &state->generations; node = next)
    {
      request_generation_t *generation = LIST_ENTRY (node, request_generation_t, node);

      next = node->next;
      if (generation != request_environment_newest (state)
          && request_core_open_count (generation->core) == 0)
        generation_free (generation);
    }
}

void
request_environments_tick (request_environments_t *environments,
                           gint64 now_us,
                           request_actions_executor_t execute,
                           void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      request_environment_t *state = value;
      g_autoptr (GArray) actions = actions_new ();

      for (list_node_t *node = state->generations.next; node != &state->generations;
           node = node->next)
        request_tick (LIST_ENTRY (node, request_generation_t, node)->core, now_us, actions);
      execute (actions, data);
      free_drained_generations (state);
    }
}

static void
add_generation (request_environment_t *state, environment_t *environment)
{
  request_generation_t *generation = g_new0 (request_generation_t, 1);

  generation->environment = environment_ref (environment);
  generation->core
      = request_core_new (environment, state->router, g_random_int (), g_get_monotonic_time ());
  list_push_front (&state->generations, &generation->node);
}

void
request_environments_set (request_environments_t *environments, environment_t *environment)
{
  request_environment_t *state = ensure_environment (environments, environment->name);
  request_generation_t *current = request_environment_newest (state);

  if (current != NULL && current->environment->version >= environment->version)
    return;
  LOG_INFO ("environment_in_force", "environment=%s version=%" G_GINT64_FORMAT, environment->name,
            environment->version);
  if (current == NULL || !request_core_set_environment (current->core, environment))
    {
      add_generation (state, environment);
      return;
    }
  environment_unref (current->environment);
  current->environment = environment_ref (environment);
}

static void
set_address (request_environment_t *state, int index, const char *address)
{
  while (state->addresses->len <= (guint) index)
    g_ptr_array_add (state->addresses, NULL);
  g_free (state->addresses->pdata[index]);
  state->addresses->pdata[index] = g_strdup (address);
}

static void
update_executor (request_environments_t *environments, const member_t *member)
{
  request_environment_t *state = ensure_environment (environments, member->environment);
  executor_state_t executor_state = member->leaving ? EXECUTOR_LEAVING : EXECUTOR_LIVE;

  router_update (state->router, member->id, member->zone, executor_state, member->slots,
                 member->connections);
  set_address (state, router_find (state->router, member->id), member->address);
}

static void
drop_missing_executors (request_environments_t *environments,
                        const request_environment_t *state,
                        const member_list_t *list)
{
  for (guint i = 0; i < state->router->executors->len; i++)
    {
      executor_t *executor = router_executor (state->router, (int) i);

      if (member_list_find (list, executor->id) != NULL || executor->state == EXECUTOR_GONE)
        continue;
      executor->state = EXECUTOR_GONE;
      executor_client_remove (environments->executor_client,
                              g_ptr_array_index (state->addresses, i));
    }
}

typedef void (*executor_visitor_t) (const executor_t *executor, const char *address, void *data);

/* Visits every executor in the VM list. */
static void
visit_executors (const request_environments_t *environments, executor_visitor_t visit, void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_environment_t *state = value;

      for (guint i = 0; i < state->router->executors->len; i++)
        {
          const executor_t *executor = router_executor (state->router, (int) i);

          if (executor->state != EXECUTOR_GONE)
            visit (executor, g_ptr_array_index (state->addresses, i), data);
        }
    }
}

static void
set_executor_connection_limit (const executor_t *executor, const char *address, void *data)
{
  if (executor->connection_share > 0)
    executor_client_set_connection_limit (data, address, executor->connection_share);
}

/* Limits each executor's connection pool to this VM's share of its connections. */
static void
update_connection_limits (request_environments_t *environments)
{
  visit_executors (environments, set_executor_connection_limit, environments->executor_client);
}

void
request_environments_set_member_list (request_environments_t *environments,
                                      const member_list_t *list)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role == MEMBER_EXECUTOR)
        update_executor (environments, member);
    }
  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_missing_executors (environments, value, list);
  update_connection_limits (environments);
}

bool
request_environments_set_seats (request_environments_t *environments, guint seats, guint seats_used)
{
  GHashTableIter iter;
  gpointer value;

  if (environments->seats == seats && environments->seats_used == seats_used)
    return false;
  environments->seats = seats;
  environments->seats_used = seats_used;
  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    router_set_seats (((request_environment_t *) value)->router, seats, seats_used);
  update_connection_limits (environments);
  return true;
}

static void
probe_answered (const char *id, const char *state, void *data)
{
  request_environments_t *environments = data;
  GHashTableIter iter;
  gpointer value;

  if (g_strcmp0 (state, "leaving") != 0)
    return;
  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    router_set_state (((request_environment_t *) value)->router, id, EXECUTOR_LEAVING);
}

static void
add_probe_target (const executor_t *executor, const char *address, void *data)
{
  if (executor->state == EXECUTOR_LIVE && executor->has_probe_connection)
    probes_add_target (data, executor->id, address);
}

static void
list_probe_targets (probes_t *probes, void *data)
{
  visit_executors (data, add_probe_target, probes);
}

request_environments_t *
request_environments_new (const char *zone, executor_client_t *executor_client)
{
  request_environments_t *environments = g_new0 (request_environments_t, 1);

  environments->zone = g_strdup (zone);
  environments->executor_client = executor_client;
  environments->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, environment_state_free);
  environments->probes
      = probes_new (executor_client, list_probe_targets, probe_answered, environments);
  return environments;
}

void
request_environments_free (request_environments_t *environments)
{
  if (environments == NULL)
    return;
  probes_free (environments->probes);
  g_hash_table_unref (environments->by_name);
  g_free (environments->zone);
  g_free (environments);
}

request_environment_t *
request_environments_find (const request_environments_t *environments, const char *name)
{
  return g_hash_table_lookup (environments->by_name, name);
}

const char *
request_environment_name (const request_environment_t *environment)
{
  return environment->name;
}

const char *
request_environment_address (const request_environment_t *environment, int executor)
{
  return g_ptr_array_index (environment->addresses, executor);
}

void
request_environment_set_leaving (request_environment_t *environment, int executor)
{
  router_executor (environment->router, executor)->state = EXECUTOR_LEAVING;
}

static void
describe_classes (const request_generation_t *generation, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "classes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < generation->environment->class_count; i++)
    {
      const work_class_t *class = &generation->environment->classes[i];

      json_builder_begin_object (builder);
      json_put_string (builder, "name", class->name);
      json_put_string (builder, "kind", class->kind == WORK_JOB ? "job" : "request");
      json_put_int (builder, "urgency", class->urgency);
      json_put_int (builder, "queued", request_core_queued_count (generation->core, i));
      json_put_int (builder, "running", request_core_running_count (generation->core, i));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
describe_environment (const request_environment_t *state, JsonBuilder *builder)
{
  const request_generation_t *generation = request_environment_newest (state);
  const request_counters_t *counters;
  guint usable = 0;
  guint capacity = router_capacity (state->router, g_get_monotonic_time (), &usable);

  if (generation == NULL)
    return;
  counters = request_core_counters (generation->core);
  json_builder_begin_object (builder);
  json_put_string (builder, "name", state->name);
  json_put_int (builder, "version", generation->environment->version);
  json_put_int (builder, "executors", state->router->executors->len);
  json_put_int (builder, "executors_usable", usable);
  json_put_int (builder, "slots", capacity);
  json_put_int (builder, "admitted", (gint64) counters->admitted);
  json_put_int (builder, "shed", (gint64) counters->shed);
  json_put_int (builder, "sent", (gint64) counters->sent);
  json_put_int (builder, "retried", (gint64) counters->retried);
  json_put_int (builder, "retry_denied", (gint64) counters->retry_denied);
  json_put_int (builder, "expired", (gint64) counters->expired);
  describe_classes (generation, builder);
  json_builder_end_object (builder);
}

void
request_environments_describe (const request_environments_t *environments, JsonBuilder *builder)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, environments->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    describe_environment (value, builder);
  json_builder_end_array (builder);
}
