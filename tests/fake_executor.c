#include "fake_executor.h"

#include "base/json.h"
#include "platform/names.h"
#include "standins/standin.h"

#include <string.h>

struct fake_executor
{
  SoupServer *server;
  char *address;
  gint64 born;
  gint64 started_us;
  gint64 clock_ahead_ms;
  gint64 fence;        /* highest token seen */
  gint64 call_fence;   /* of the last hold request */
  gint64 lease_end_ms; /* that the last hold request asks for; 0: none */
  char *job;
  char *answer;        /* to every call; NULL: as usual */
  const char *refusal; /* of start orders; NULL: none */
  guint ends;          /* ends 1 to this number happened */
  guint forgotten;
  guint holds;
  guint starts;
  GPtrArray *texts; /* of start orders */
  GQueue waiting;   /* hold_t */
  guint life;       /* raised when the connections of all former ones fall silent; from 1 */
};

typedef struct
{
  fake_executor_t *executor;
  SoupServerMessage *message;
  gint64 fence;
} hold_t;

static void
put_end (JsonBuilder *builder, const fake_executor_t *executor, guint number)
{
  g_autofree char *task = g_strdup_printf ("%s.0.0.%u", executor->job, number - 1);

  json_builder_begin_array (builder);
  json_builder_add_int_value (builder, number);
  json_builder_add_string_value (builder, task);
  json_builder_add_int_value (builder, 1);
  json_builder_add_string_value (builder, "done");
  json_builder_add_string_value (builder, "");
  json_builder_end_array (builder);
}

gint64
fake_executor_clock_ms (const fake_executor_t *executor)
{
  return executor->clock_ahead_ms + (g_get_monotonic_time () - executor->started_us) / 1000;
}

static char *
build_report (const fake_executor_t *executor)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_int (builder, WIRE_CLOCK_MS, fake_executor_clock_ms (executor));
  json_put_int (builder, WIRE_BORN, executor->born);
  json_builder_set_member_name (builder, WIRE_RUNNING);
  json_builder_begin_array (builder);
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, WIRE_ENDED);
  json_builder_begin_array (builder);
  for (guint number = executor->forgotten + 1; number <= executor->ends; number++)
    put_end (builder, executor, number);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
hold_free (hold_t *hold)
{
  g_object_unref (hold->message);
  g_free (hold);
}

static gboolean
answer_hold (gpointer data)
{
  hold_t *hold = data;

  /* Unless a restart has ended it. */
  if (g_queue_remove (&hold->executor->waiting, hold))
    {
      if (hold->fence < hold->executor->fence)
        standin_respond (hold->message, 409, g_strdup ("{\"reason\":\"fence\"}"));
      else
        standin_respond (hold->message, 200, build_report (hold->executor));
      soup_server_message_unpause (hold->message);
    }
  hold_free (hold);
  return G_SOURCE_REMOVE;
}

static void
handle_hold (fake_executor_t *executor, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *body = json_node_get_object (root);
  guint acked = (guint) json_get_int (body, WIRE_ACK_CURSOR, 0);
  hold_t *hold = g_new0 (hold_t, 1);

  executor->holds++;
  executor->forgotten = MAX (executor->forgotten, MIN (acked, executor->ends));
  executor->call_fence = json_get_int (body, WIRE_FENCE, 0);
  executor->lease_end_ms = json_get_int (body, WIRE_LEASE_EXPIRY_MS, 0);
  executor->fence = MAX (executor->fence, executor->call_fence);
  hold->executor = executor;
  hold->fence = executor->call_fence;
  hold->message = g_object_ref (message);
  soup_server_message_pause (message);
  g_queue_push_tail (&executor->waiting, hold);
  g_timeout_add (FAKE_EXECUTOR_ANSWER_MS, answer_hold, hold);
}

static void
note_start (fake_executor_t *executor, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);

  executor->starts++;
  g_ptr_array_add (executor->texts,
                   g_strdup (json_get_string (json_node_get_object (root), WIRE_SPEC, "")));
}

/* Whether the connection was used before the connections of that time fell silent. */
static bool
is_on_silent_connection (const fake_executor_t *executor, SoupServerMessage *message)
{
  static const char key[] = "life";
  GObject *socket = G_OBJECT (soup_server_message_get_socket (message));
  guint life = GPOINTER_TO_UINT (g_object_get_data (socket, key));

  if (life == 0)
    g_object_set_data (socket, key, GUINT_TO_POINTER (executor->life));
  return life != 0 && life != executor->life;
}

static char *
build_refusal (const fake_executor_t *executor)
{
  return g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
                          fake_executor_clock_ms (executor), executor->refusal);
}

static void
handle (SoupServer *server G_GNUC_UNUSED,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query G_GNUC_UNUSED,
        gpointer data)
{
  fake_executor_t *executor = data;

  if (is_on_silent_connection (executor, message))
    soup_server_message_pause (message);
  else if (executor->answer != NULL)
    standin_respond (message, 200, g_strdup (executor->answer));
  else if (strcmp (path, WIRE_HOLD) == 0)
    handle_hold (executor, message);
  else if (strcmp (path, WIRE_RUN_START) == 0 && executor->refusal != NULL)
    standin_respond (message, 409, build_refusal (executor));
  else
    {
      if (strcmp (path, WIRE_RUN_START) == 0)
        note_start (executor, message);
      standin_respond (message, 200, build_report (executor));
    }
}

fake_executor_t *
fake_executor_new (gint64 born)
{
  fake_executor_t *executor = g_new0 (fake_executor_t, 1);

  executor->born = born;
  executor->life = 1;
  executor->started_us = g_get_monotonic_time ();
  executor->texts = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&executor->waiting);
  executor->server = standin_listen (0, handle, executor);
  executor->address = g_strdup_printf ("127.0.0.1:%u", standin_port (executor->server));
  return executor;
}

const char *
fake_executor_address (const fake_executor_t *executor)
{
  return executor->address;
}

void
fake_executor_set_ends (fake_executor_t *executor, const char *job, guint count)
{
  g_free (executor->job);
  executor->job = g_strdup (job);
  executor->ends = count;
}

static void
begin_incarnation (fake_executor_t *executor, gint64 born)
{
  executor->born = born;
  executor->started_us = g_get_monotonic_time ();
  executor->clock_ahead_ms = 0;
  executor->fence = 0;
  executor->call_fence = 0;
  executor->lease_end_ms = 0;
  executor->ends = 0;
  executor->forgotten = 0;
  executor->holds = 0;
  executor->starts = 0;
  g_ptr_array_set_size (executor->texts, 0);
}

void
fake_executor_restart (fake_executor_t *executor, gint64 born)
{
  hold_t *hold;

  while ((hold = g_queue_pop_head (&executor->waiting)) != NULL)
    {
      standin_drop_connection (hold->message);
      /* Its timer frees it. */
      soup_server_message_unpause (hold->message);
    }
  begin_incarnation (executor, born);
}

void
fake_executor_restart_unnoticed (fake_executor_t *executor, gint64 born)
{
  guint16 port = standin_port (executor->server);

  g_queue_clear (&executor->waiting);
  soup_server_disconnect (executor->server);
  g_object_unref (executor->server);
  executor->server = standin_listen (port, handle, executor);
  begin_incarnation (executor, born);
}

void
fake_executor_restart_behind_connections (fake_executor_t *executor, gint64 born)
{
  begin_incarnation (executor, born);
}

void
fake_executor_restart_silently (fake_executor_t *executor, gint64 born)
{
  g_queue_clear (&executor->waiting);
  executor->life++;
  begin_incarnation (executor, born);
}

void
fake_executor_set_answer (fake_executor_t *executor, const char *body)
{
  g_free (executor->answer);
  executor->answer = g_strdup (body);
}

void
fake_executor_refuse_starts (fake_executor_t *executor, const char *reason)
{
  executor->refusal = reason;
}

void
fake_executor_advance_clock (fake_executor_t *executor, gint64 ms)
{
  executor->clock_ahead_ms += ms;
}

void
fake_executor_see_fence (fake_executor_t *executor, gint64 fence)
{
  executor->fence = MAX (executor->fence, fence);
}

gint64
fake_executor_call_fence (const fake_executor_t *executor)
{
  return executor->call_fence;
}

gint64
fake_executor_lease_end_ms (const fake_executor_t *executor)
{
  return executor->lease_end_ms;
}

guint
fake_executor_forgotten (const fake_executor_t *executor)
{
  return executor->forgotten;
}

guint
fake_executor_holds (const fake_executor_t *executor)
{
  return executor->holds;
}

bool
fake_executor_is_held (const fake_executor_t *executor)
{
  return executor->waiting.length > 0;
}

guint
fake_executor_starts (const fake_executor_t *executor)
{
  return executor->starts;
}

const char *
fake_executor_text (const fake_executor_t *executor, guint index)
{
  return index < executor->texts->len ? g_ptr_array_index (executor->texts, index) : NULL;
}
