/* Stand-in for the backend servers of one environment: executors and workers, each on its
 * own loopback port, and a control port that sets faults and reports counters.
 *
 *   executor   POST /v1/run, GET /v1/health
 *   worker     POST /v1/tasks/start /v1/tasks/stop /v1/tasks/ack /v1/lease
 *   control    POST /faults {"id": ID or "*", ...}, GET /counters, GET /arrivals
 *
 * Faults of an executor:
 *   service_ms   service time of a request
 *   late_ms      added to the service time
 *   refuse       answers 503 without running the request
 *   truncate     sends less of the answer than its Content-Length states
 *   wrong_id     answers with the Request-Id of another request
 *   black_hole   never answers a request, whose slot stays in use
 *   leaving      announces that it is leaving, but still runs requests
 * Faults of a worker:
 *   refuse       refuses to start tasks
 *   lose_replies number of calls that are carried out but whose answer is lost
 *   black_hole   never answers
 */
#include "base/json.h"
#include "base/settings.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

typedef struct
{
  gint64 service_us;
  gint64 late_ms;
  bool refuse;
  bool truncate;
  bool wrong_id;
  bool black_hole;
  bool leaving;
  gint64 lose_replies;
} faults_t;

typedef struct
{
  gint64 runs;
  gint64 refused;
  gint64 exceeded;    /* requests that arrived while all slots were in use */
  gint64 exceeded_us; /* total time that they spent in the queue */
  gint64 connections; /* unused: put_counters() counts open_sockets */
  gint64 connections_max;
  gint64 running_max;
  gint64 after_leaving; /* requests received later than leaving_grace_us after it began to leave */
  gint64 starts;
  gint64 over_capacity; /* task starts that exceeded the resources of the worker */
  gint64 lapsed;        /* tasks that ended because their lease expired */
} counters_t;

typedef struct backends backends_t;

typedef struct
{
  backends_t *backends;
  char *id;
  char *zone;
  char *rack;
  bool is_worker;
  SoupServer *server;
  faults_t faults;
  counters_t counters;
  gint64 slots;
  gint64 running_count;
  GQueue waiting_runs; /* run_t */
  GHashTable *open_sockets;
  GHashTable *tasks;            /* of a worker: id -> standin_task_t */
  GHashTable *stopped_task_ids; /* of a worker: a later start of these is refused */
  gint64 cpu_milli;
  gint64 memory_mb;
  gint64 accelerators;
  gint64 leaving_since_us;
} backend_t;

/* One request at an executor, running or queued. */
typedef struct
{
  backend_t *backend;
  SoupServerMessage *message;
  gint64 arrived_us;
} run_t;

typedef struct
{
  backend_t *backend;
  char *id;
  char *id_without_attempt; /* the same for every attempt of the task */
  bool running;
  bool finished;
  gint64 lease_expires_at_us;
  gint64 cpu_milli;
  gint64 memory_mb;
  gint64 accelerators;
  guint timer;
} standin_task_t;

struct backends
{
  GPtrArray *all;
  GHashTable *runs_by_body;   /* request body -> number of runs */
  GHashTable *running_copies; /* id_without_attempt -> number of copies running now */
  gint64 double_runs;         /* task starts while another copy of the task ran */
  char *environment;
};

static const gint64 leaving_grace_us = 3 * G_USEC_PER_SEC;
static const guint lease_check_interval_ms = 50;

static void run_start (run_t *run);

static void
run_free (run_t *run)
{
  g_object_unref (run->message);
  g_free (run);
}

static void
count_run_by_body (backends_t *backends, SoupServerMessage *message)
{
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize size = 0;
  const char *text = g_bytes_get_data (bytes, &size);
  char *body = g_strndup (text != NULL ? text : "", size);
  gpointer runs = g_hash_table_lookup (backends->runs_by_body, body);

  g_hash_table_insert (backends->runs_by_body, body, GINT_TO_POINTER (GPOINTER_TO_INT (runs) + 1));
}

/* Sends fewer bytes than the Content-Length states and closes the connection. */
static void
send_truncated (SoupServerMessage *message, const char *request_id)
{
  g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: application/json\r\n"
                         "Content-Length: 500\r\n\r\n{\"part\":",
                         request_id);

  (void) g_output_stream_write_all (g_io_stream_get_output_stream (stream), text, strlen (text),
                                    NULL, NULL, NULL);
  (void) g_io_stream_close (stream, NULL, NULL);
}

static char *
build_answer (const backend_t *backend, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) body = standin_parse_body (message);

  json_builder_begin_object (builder);
  json_put_string (builder, "executor", backend->id);
  json_put_string (builder, "class", soup_message_headers_get_one (headers, "Class"));
  json_put_int (builder, "run", backend->counters.runs);
  if (body != NULL)
    {
      json_builder_set_member_name (builder, "echo");
      json_builder_add_value (builder, json_node_copy (body));
    }
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
run_respond (run_t *run)
{
  backend_t *backend = run->backend;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (run->message);
  SoupMessageHeaders *out = soup_server_message_get_response_headers (run->message);
  const char *request_id = soup_message_headers_get_one (headers, "Request-Id");

  if (backend->faults.truncate)
    {
      send_truncated (run->message, request_id);
      return;
    }
  if (request_id != NULL)
    soup_message_headers_append (out, "Request-Id",
                                 backend->faults.wrong_id ? "another-request" : request_id);
  if (backend->faults.leaving)
    soup_message_headers_append (out, "Backend-State", "leaving");
  standin_respond (run->message, 200, build_answer (backend, run->message));
  soup_server_message_unpause (run->message);
}

static gboolean
run_finished (gpointer data)
{
  run_t *run = data;
  backend_t *backend = run->backend;
  run_t *next;

  backend->running_count--;
  run_respond (run);
  run_free (run);
  next = g_queue_pop_head (&backend->waiting_runs);
  if (next != NULL)
    {
      backend->counters.exceeded_us += g_get_monotonic_time () - next->arrived_us;
      run_start (next);
    }
  return G_SOURCE_REMOVE;
}

static void
run_start (run_t *run)
{
  backend_t *backend = run->backend;
  gint64 ms = (backend->faults.service_us + 500) / 1000 + backend->faults.late_ms;

  backend->running_count++;
  backend->counters.runs++;
  backend->counters.running_max = MAX (backend->counters.running_max, backend->running_count);
  count_run_by_body (backend->backends, run->message);
  /* A black hole never answers, so the slot stays in use for ever. */
  if (backend->faults.black_hole)
    return;
  if (ms == 0)
    run_finished (run);
  else
    g_timeout_add ((guint) ms, run_finished, run);
}

static void
refuse_run (backend_t *backend, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  SoupMessageHeaders *out = soup_server_message_get_response_headers (message);
  const char *request_id = soup_message_headers_get_one (headers, "Request-Id");

  backend->counters.refused++;
  if (request_id != NULL)
    soup_message_headers_append (out, "Request-Id", request_id);
  soup_message_headers_append (out, "Not-Run", "1");
  if (backend->faults.leaving)
    soup_message_headers_append (out, "Backend-State", "leaving");
  standin_respond (message, 503, g_strdup ("{}"));
}

static void
handle_run (backend_t *backend, SoupServerMessage *message)
{
  run_t *run;

  if (backend->faults.leaving
      && g_get_monotonic_time () - backend->leaving_since_us > leaving_grace_us)
    backend->counters.after_leaving++;
  if (backend->faults.refuse)
    {
      refuse_run (backend, message);
      return;
    }
  run = g_new0 (run_t, 1);
  run->backend = backend;
  run->message = g_object_ref (message);
  run->arrived_us = g_get_monotonic_time ();
  soup_server_message_pause (message);
  if (backend->running_count >= backend->slots)
    {
      backend->counters.exceeded++;
      g_queue_push_tail (&backend->waiting_runs, run);
      return;
    }
  run_start (run);
}

static void
standin_task_free (gpointer data)
{
  standin_task_t *task = data;

  if (task->timer != 0)
    g_source_remove (task->timer);
  g_free (task->id);
  g_free (task->id_without_attempt);
  g_free (task);
}

static void
adjust_running_copies (backends_t *backends, const char *id_without_attempt, int delta)
{
  int copies = GPOINTER_TO_INT (g_hash_table_lookup (backends->running_copies, id_without_attempt))
               + delta;

  if (delta > 0 && copies > 1)
    backends->double_runs++;
  g_hash_table_insert (backends->running_copies, g_strdup (id_without_attempt),
                       GINT_TO_POINTER (copies));
}

static void
task_end (standin_task_t *task, bool finished)
{
  if (!task->running)
    return;
  task->running = false;
  task->finished = finished;
  adjust_running_copies (task->backend->backends, task->id_without_attempt, -1);
  if (task->timer != 0)
    g_source_remove (task->timer);
  task->timer = 0;
}

static gboolean
task_run_time_elapsed (gpointer data)
{
  standin_task_t *task = data;

  task->timer = 0;
  task_end (task, true);
  return G_SOURCE_REMOVE;
}

static bool
task_fits (const backend_t *worker, const standin_task_t *candidate)
{
  gint64 cpu = candidate->cpu_milli;
  gint64 memory = candidate->memory_mb;
  gint64 accelerators = candidate->accelerators;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const standin_task_t *task = value;

      if (!task->running)
        continue;
      cpu += task->cpu_milli;
      memory += task->memory_mb;
      accelerators += task->accelerators;
    }
  return cpu <= worker->cpu_milli && memory <= worker->memory_mb
         && accelerators <= worker->accelerators;
}

static void
start_task (backend_t *worker, JsonObject *request)
{
  standin_task_t *task = g_new0 (standin_task_t, 1);
  gint64 run_ms = json_get_int (request, "run_ms", 0);

  task->backend = worker;
  task->id = g_strdup (json_get_string (request, "id", ""));
  task->id_without_attempt = g_strndup (task->id, (gsize) (strrchr (task->id, '/') - task->id));
  task->cpu_milli = json_get_int (request, "cpu_milli", 0);
  task->memory_mb = json_get_int (request, "memory_mb", 0);
  task->accelerators = json_get_int (request, "accelerators", 0);
  task->lease_expires_at_us
      = g_get_monotonic_time () + json_get_int (request, "lease_ms", 0) * 1000;
  /* Accepts every task, but counts those that exceed the capacity of the worker. */
  worker->counters.over_capacity += !task_fits (worker, task);
  worker->counters.starts++;
  task->running = true;
  g_hash_table_insert (worker->tasks, task->id, task);
  adjust_running_copies (worker->backends, task->id_without_attempt, 1);
  task->timer = g_timeout_add ((guint) MAX (1, run_ms), task_run_time_elapsed, task);
}

static void
put_task (JsonBuilder *builder, const standin_task_t *task)
{
  json_builder_begin_object (builder);
  json_put_string (builder, "id", task->id);
  json_put_string (builder, "state",
                   task->running ? "running" : (task->finished ? "finished" : "stopped"));
  json_put_int (builder, "cpu_milli", task->cpu_milli);
  json_put_int (builder, "memory_mb", task->memory_mb);
  json_put_int (builder, "accelerators", task->accelerators);
  json_builder_end_object (builder);
}

/* Renews the unexpired leases of the named tasks and returns the state of every task. */
static char *
renew_leases (backend_t *worker, JsonObject *request)
{
  JsonArray *ids = json_get_array (request, "ids");
  gint64 expires_at_us = g_get_monotonic_time () + json_get_int (request, "lease_ms", 0) * 1000;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; ids != NULL && i < json_array_get_length (ids); i++)
    {
      standin_task_t *task
          = g_hash_table_lookup (worker->tasks, json_array_get_string_element (ids, i));

      if (task != NULL && task->lease_expires_at_us > g_get_monotonic_time ())
        task->lease_expires_at_us = expires_at_us;
    }
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "tasks");
  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    put_task (builder, value);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
stop_task (backend_t *worker, const char *id)
{
  standin_task_t *task = g_hash_table_lookup (worker->tasks, id);

  if (task != NULL)
    {
      task_end (task, false);
      g_hash_table_remove (worker->tasks, id);
    }
  g_hash_table_add (worker->stopped_task_ids, g_strdup (id));
}

static void
acknowledge_ended_tasks (backend_t *worker, JsonObject *request)
{
  JsonArray *ids = json_get_array (request, "ids");

  for (guint i = 0; ids != NULL && i < json_array_get_length (ids); i++)
    {
      const char *id = json_array_get_string_element (ids, i);
      const standin_task_t *task = g_hash_table_lookup (worker->tasks, id);

      if (task != NULL && !task->running)
        g_hash_table_remove (worker->tasks, id);
    }
}

static void
handle_start (backend_t *worker, SoupServerMessage *message, JsonObject *request)
{
  const char *id = json_get_string (request, "id", "");

  if (worker->faults.refuse || g_hash_table_contains (worker->stopped_task_ids, id)
      || strrchr (id, '/') == NULL)
    {
      worker->counters.refused++;
      standin_respond (message, 409, g_strdup ("{\"error\":\"refused\"}"));
      return;
    }
  if (!g_hash_table_contains (worker->tasks, id))
    start_task (worker, request);
  standin_respond (message, 200, g_strdup ("{\"state\":\"running\"}"));
}

static void
handle_worker (backend_t *worker, SoupServerMessage *message, const char *path)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *request = root != NULL ? json_node_get_object (root) : NULL;

  if (worker->faults.black_hole)
    {
      soup_server_message_pause (message);
      return;
    }
  if (strcmp (path, "/v1/tasks/start") == 0)
    handle_start (worker, message, request);
  else if (strcmp (path, "/v1/lease") == 0)
    standin_respond (message, 200, renew_leases (worker, request));
  else if (strcmp (path, "/v1/tasks/stop") == 0)
    {
      stop_task (worker, json_get_string (request, "id", ""));
      standin_respond (message, 200, g_strdup ("{\"state\":\"stopped\"}"));
    }
  else if (strcmp (path, "/v1/tasks/ack") == 0)
    {
      acknowledge_ended_tasks (worker, request);
      standin_respond (message, 200, g_strdup ("{}"));
    }
  else
    standin_respond (message, 404, g_strdup ("{}"));
  if (worker->faults.lose_replies > 0)
    {
      worker->faults.lose_replies--;
      standin_drop_connection (message);
    }
}

static void
handle_message (SoupServer *server G_GNUC_UNUSED,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query G_GNUC_UNUSED,
                gpointer data)
{
  backend_t *backend = data;

  if (strcmp (path, "/v1/health") == 0)
    standin_respond (
        message, 200,
        g_strdup (backend->faults.leaving ? "{\"state\":\"leaving\"}" : "{\"state\":\"live\"}"));
  else if (backend->is_worker)
    handle_worker (backend, message, path);
  else if (strcmp (path, "/v1/run") == 0)
    handle_run (backend, message);
  else
    standin_respond (message, 404, g_strdup ("{}"));
}

static void
remove_socket (gpointer data, GObject *socket)
{
  backend_t *backend = data;

  g_hash_table_remove (backend->open_sockets, socket);
}

/* Tracks the open connections of a backend server and their largest number. */
static void
track_connection (SoupServer *server G_GNUC_UNUSED, SoupServerMessage *message, gpointer data)
{
  backend_t *backend = data;
  GSocket *socket = soup_server_message_get_socket (message);
  gint64 open;

  if (!g_hash_table_contains (backend->open_sockets, socket))
    {
      g_hash_table_add (backend->open_sockets, socket);
      g_object_weak_ref (G_OBJECT (socket), remove_socket, backend);
    }
  open = g_hash_table_size (backend->open_sockets);
  backend->counters.connections_max = MAX (backend->counters.connections_max, open);
}

static void
set_backend_faults (backend_t *backend, JsonObject *object)
{
  faults_t *faults = &backend->faults;
  bool leaving = json_get_bool (object, "leaving", faults->leaving);

  if (leaving && !faults->leaving)
    backend->leaving_since_us = g_get_monotonic_time ();
  faults->service_us = json_get_int (object, "service_ms", faults->service_us / 1000) * 1000;
  faults->late_ms = json_get_int (object, "late_ms", faults->late_ms);
  faults->refuse = json_get_bool (object, "refuse", faults->refuse);
  faults->truncate = json_get_bool (object, "truncate", faults->truncate);
  faults->wrong_id = json_get_bool (object, "wrong_id", faults->wrong_id);
  faults->black_hole = json_get_bool (object, "black_hole", faults->black_hole);
  faults->lose_replies = json_get_int (object, "lose_replies", faults->lose_replies);
  faults->leaving = leaving;
}

static void
apply_faults (const backends_t *backends, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  const char *id = json_get_string (object, "id", "*");

  for (guint i = 0; object != NULL && i < backends->all->len; i++)
    {
      backend_t *backend = g_ptr_array_index (backends->all, i);

      if (strcmp (id, "*") == 0 || strcmp (id, backend->id) == 0)
        set_backend_faults (backend, object);
    }
  standin_respond (message, object != NULL ? 200 : 400, g_strdup ("{}"));
}

static void
put_counters (JsonBuilder *builder, const backend_t *backend)
{
  const counters_t *counters = &backend->counters;

  json_builder_begin_object (builder);
  json_put_string (builder, "id", backend->id);
  json_put_int (builder, "runs", counters->runs);
  json_put_int (builder, "refused", counters->refused);
  json_put_int (builder, "exceeded", counters->exceeded);
  json_put_int (builder, "exceeded_us", counters->exceeded_us);
  json_put_int (builder, "running_max", counters->running_max);
  json_put_int (builder, "connections", g_hash_table_size (backend->open_sockets));
  json_put_int (builder, "connections_max", counters->connections_max);
  json_put_int (builder, "after_leaving", counters->after_leaving);
  json_put_int (builder, "starts", counters->starts);
  json_put_int (builder, "over_capacity", counters->over_capacity);
  json_put_int (builder, "lapsed", counters->lapsed);
  json_builder_end_object (builder);
}

static void
show_counters (const backends_t *backends, SoupServerMessage *message)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_int (builder, "double_runs", backends->double_runs);
  json_builder_set_member_name (builder, "backends");
  json_builder_begin_array (builder);
  for (guint i = 0; i < backends->all->len; i++)
    put_counters (builder, g_ptr_array_index (backends->all, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  standin_respond (message, 200, json_builder_to_string (builder));
}

/* Answers with the number of runs of each distinct request body. */
static void
show_arrivals (const backends_t *backends, SoupServerMessage *message)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  json_builder_begin_object (builder);
  g_hash_table_iter_init (&iter, backends->runs_by_body);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_put_int (builder, key, GPOINTER_TO_INT (value));
  json_builder_end_object (builder);
  standin_respond (message, 200, json_builder_to_string (builder));
}

static void
handle_control (SoupServer *server G_GNUC_UNUSED,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query G_GNUC_UNUSED,
                gpointer data)
{
  if (strcmp (path, "/faults") == 0)
    apply_faults (data, message);
  else if (strcmp (path, "/counters") == 0)
    show_counters (data, message);
  else if (strcmp (path, "/arrivals") == 0)
    show_arrivals (data, message);
  else
    standin_respond (message, 404, g_strdup ("{}"));
}

static gboolean
expire_leases (gpointer data)
{
  const backends_t *backends = data;
  gint64 now_us = g_get_monotonic_time ();

  for (guint i = 0; i < backends->all->len; i++)
    {
      backend_t *worker = g_ptr_array_index (backends->all, i);
      GHashTableIter iter;
      gpointer value;

      if (!worker->is_worker)
        continue;
      g_hash_table_iter_init (&iter, worker->tasks);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          standin_task_t *task = value;

          if (!task->running || task->lease_expires_at_us > now_us)
            continue;
          worker->counters.lapsed++;
          task_end (task, false);
          g_hash_table_iter_remove (&iter);
        }
    }
  return G_SOURCE_CONTINUE;
}

static backend_t *
backend_new (backends_t *backends, const char *kind, guint index, const char *zone)
{
  backend_t *backend = g_new0 (backend_t, 1);

  backend->backends = backends;
  backend->id = g_strdup_printf ("%s-%s-%u", backends->environment, kind, index);
  backend->zone = g_strdup (zone);
  backend->open_sockets = g_hash_table_new (NULL, NULL);
  backend->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, standin_task_free);
  backend->stopped_task_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&backend->waiting_runs);
  backend->server = standin_listen (0, handle_message, backend);
  g_signal_connect (backend->server, "request-started", G_CALLBACK (track_connection), backend);
  g_ptr_array_add (backends->all, backend);
  return backend;
}

static void
put_vm (JsonBuilder *builder, const backend_t *backend, gint64 connections)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", standin_port (backend->server));

  json_builder_begin_object (builder);
  json_put_string (builder, "id", backend->id);
  json_put_string (builder, "role", backend->is_worker ? "worker" : "executor");
  json_put_string (builder, "zone", backend->zone);
  json_put_string (builder, "address", address);
  json_put_string (builder, "state", "live");
  if (backend->is_worker)
    {
      json_put_string (builder, "rack", backend->rack);
      json_put_int (builder, "cpu_milli", backend->cpu_milli);
      json_put_int (builder, "memory_mb", backend->memory_mb);
      json_put_int (builder, "accelerators", backend->accelerators);
    }
  else
    {
      json_put_string (builder, "environment", backend->backends->environment);
      json_put_int (builder, "slots", backend->slots);
      json_put_int (builder, "connections", connections);
    }
  json_builder_end_object (builder);
}

/* Adds every backend server to the platform's list of VMs. */
static void
register_backends (const backends_t *backends, const char *platform, gint64 connections)
{
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autofree char *url = g_strdup_printf ("http://%s/v1/vms", platform);
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (GBytes) reply = NULL;
  g_autoptr (GBytes) body = NULL;
  char *text;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "vms");
  json_builder_begin_array (builder);
  for (guint i = 0; i < backends->all->len; i++)
    put_vm (builder, g_ptr_array_index (backends->all, i), connections);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  text = json_builder_to_string (builder);
  body = g_bytes_new_take (text, strlen (text));
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  reply = soup_session_send_and_read (session, message, NULL, NULL);
  if (reply == NULL)
    (void) fprintf (stderr,
                    "standin-backends: cannot register the backend servers: no answer from the "
                    "platform at %s\n",
                    platform);
}

typedef struct
{
  char *platform;
  char *environment;
  char *zones;
  gint64 executors;
  gint64 workers;
  gint64 service_ms;
  gint64 slots;
  gint64 connections;
  gint64 per_rack;
  gint64 cpu_milli;
  gint64 memory_mb;
  gint64 accelerators;
} backends_options_t;

static bool
load_options (backends_options_t *options, int argc, char **argv, error_info_t *error)
{
  const setting_t settings[] = {
    { .flag = "platform",
      .kind = SETTING_ADDRESS,
      .value = &options->platform,
      .placeholder = "IP:PORT",
      .help = "address of the stand-in platform that lists the backend servers" },
    { .flag = "environment",
      .kind = SETTING_STRING,
      .value = &options->environment,
      .min = 1,
      .max = 63,
      .placeholder = "NAME",
      .help = "environment of the executors" },
    { .flag = "zones",
      .kind = SETTING_STRING,
      .value = &options->zones,
      .min = 1,
      .max = 1000,
      .placeholder = "A,B",
      .help = "zones, assigned to the backend servers in rotation" },
    { .flag = "executors",
      .kind = SETTING_INTEGER,
      .value = &options->executors,
      .fallback = "4",
      .max = 2000,
      .placeholder = "COUNT",
      .help = "executors" },
    { .flag = "workers",
      .kind = SETTING_INTEGER,
      .value = &options->workers,
      .fallback = "4",
      .max = 2000,
      .placeholder = "COUNT",
      .help = "workers" },
    { .flag = "service-ms",
      .kind = SETTING_INTEGER,
      .value = &options->service_ms,
      .fallback = "5",
      .max = 60000,
      .placeholder = "MS",
      .help = "service time of a request, in ms" },
    { .flag = "slots",
      .kind = SETTING_INTEGER,
      .value = &options->slots,
      .fallback = "8",
      .min = 1,
      .max = 4096,
      .placeholder = "COUNT",
      .help = "number of slots of an executor" },
    { .flag = "connections",
      .kind = SETTING_INTEGER,
      .value = &options->connections,
      .fallback = "64",
      .min = 1,
      .max = 4096,
      .placeholder = "COUNT",
      .help = "connections that an executor accepts" },
    { .flag = "per-rack",
      .kind = SETTING_INTEGER,
      .value = &options->per_rack,
      .fallback = "6",
      .min = 1,
      .max = 100,
      .placeholder = "COUNT",
      .help = "number of workers in a rack" },
    { .flag = "cpu-milli",
      .kind = SETTING_INTEGER,
      .value = &options->cpu_milli,
      .fallback = "32000",
      .min = 1,
      .max = 1000000,
      .placeholder = "MILLI",
      .help = "CPU of a worker, in thousandths of a core" },
    { .flag = "memory-mb",
      .kind = SETTING_INTEGER,
      .value = &options->memory_mb,
      .fallback = "131072",
      .min = 1,
      .max = 100000000,
      .placeholder = "MB",
      .help = "memory of a worker, in MB" },
    { .flag = "accelerators",
      .kind = SETTING_INTEGER,
      .value = &options->accelerators,
      .fallback = "0",
      .max = 64,
      .placeholder = "COUNT",
      .help = "number of accelerators of a worker" },
  };
  settings_result_t result;

  return settings_load (settings, G_N_ELEMENTS (settings), argc, argv, &result, error);
}

static void
add_executors (backends_t *backends, const backends_options_t *options, char **zones)
{
  guint zone_count = g_strv_length (zones);

  for (guint i = 0; i < options->executors; i++)
    {
      backend_t *executor = backend_new (backends, "executor", i, zones[i % zone_count]);

      executor->slots = options->slots;
      executor->faults.service_us = options->service_ms * 1000;
    }
}

static void
add_workers (backends_t *backends, const backends_options_t *options, char **zones)
{
  guint zone_count = g_strv_length (zones);

  for (guint i = 0; i < options->workers; i++)
    {
      const char *zone = zones[i % zone_count];
      backend_t *worker = backend_new (backends, "worker", i, zone);

      worker->is_worker = true;
      worker->rack = g_strdup_printf ("%s-%s-rack-%u", backends->environment, zone,
                                      (guint) (i / zone_count / options->per_rack));
      worker->cpu_milli = options->cpu_milli;
      worker->memory_mb = options->memory_mb;
      worker->accelerators = options->accelerators;
    }
}

int
main (int argc, char **argv)
{
  backends_options_t options = { 0 };
  backends_t backends = { 0 };
  error_info_t error;
  SoupServer *control;
  g_auto (GStrv) zones = NULL;

  if (!load_options (&options, argc, argv, &error))
    {
      (void) fprintf (stderr, "standin-backends: %s\n", error.detail);
      return 2;
    }
  zones = g_strsplit (options.zones, ",", -1);
  backends.environment = options.environment;
  backends.all = g_ptr_array_new ();
  backends.runs_by_body = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backends.running_copies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  add_executors (&backends, &options, zones);
  add_workers (&backends, &options, zones);
  control = standin_listen (0, handle_control, &backends);
  register_backends (&backends, options.platform, options.connections);
  g_timeout_add (lease_check_interval_ms, expire_leases, &backends);
  standin_print_line ("control=127.0.0.1:%u", standin_port (control));
  standin_serve ();
  return 0;
}
