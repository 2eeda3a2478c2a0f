#include "backend/worker_client.h"

#include "base/http_client.h"
#include "base/json.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct workers
{
  GHashTable *sessions; /* address -> SoupSession, one each to keep its pool small */
  guint outstanding;
  guint64 calls;
};

typedef struct
{
  workers_t *workers;
  SoupMessage *message;
  worker_done_t done;
  void *data;
  bool started;
} call_t;

static const guint timeout_s = 3;
static const gint unacknowledged_ms = 3000;
static const guint connections_per_worker = 2;
static const guint idle_timeout_s = 30;

workers_t *
workers_new (void)
{
  workers_t *workers = g_new0 (workers_t, 1);

  workers->sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  return workers;
}

static void
abort_session (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
  soup_session_abort (value);
}

static SoupSession *
session_for (workers_t *workers, const char *address)
{
  SoupSession *session = g_hash_table_lookup (workers->sessions, address);

  if (session != NULL)
    return session;
  session = http_session_new (connections_per_worker, timeout_s, idle_timeout_s);
  g_hash_table_insert (workers->sessions, g_strdup (address), session);
  return session;
}

void
workers_forget (workers_t *workers, const char *address)
{
  g_hash_table_remove (workers->sessions, address);
}

void
workers_free (workers_t *workers)
{
  if (workers == NULL)
    return;
  g_hash_table_foreach (workers->sessions, abort_session, NULL);
  while (workers->outstanding > 0)
    g_main_context_iteration (NULL, TRUE);
  g_hash_table_unref (workers->sessions);
  g_free (workers);
}

static void
finished (SoupMessage *message, GBytes *body, void *data)
{
  call_t *call = data;
  worker_result_t kind = call->started ? WORKER_LOST : WORKER_UNSENT;
  guint status = soup_message_get_status (message);
  g_autoptr (JsonNode) root = NULL;
  gsize size = 0;

  if (body != NULL)
    {
      const char *text = g_bytes_get_data (body, &size);

      root = json_parse_object (text, (gssize) size);
    }
  if (root != NULL && status == SOUP_STATUS_OK)
    kind = WORKER_DONE;
  else if (root != NULL && status >= 400 && status < 500)
    kind = WORKER_REFUSED;
  call->workers->outstanding--;
  call->done (kind, root != NULL ? json_node_get_object (root) : NULL, call->data);
  g_object_unref (call->message);
  g_free (call);
}

static void
starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  ((call_t *) data)->started = true;
}

/* Bounds how late a message can arrive: a connection that the worker's machine does
 * not acknowledge for so long is reset, with what it still holds.  The delivery
 * time in decide/job.c rests on it. */
static void
network_event (SoupMessage *message G_GNUC_UNUSED,
               GSocketClientEvent event,
               GIOStream *stream,
               gpointer data G_GNUC_UNUSED)
{
  if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION (stream))
    (void) g_socket_set_option (g_socket_connection_get_socket (G_SOCKET_CONNECTION (stream)),
                                IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms, NULL);
}

void
workers_call (workers_t *workers,
              const char *address,
              const char *path,
              JsonBuilder *body,
              worker_done_t done,
              void *data)
{
  g_autoptr (JsonBuilder) builder = body;
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  call_t *call = g_new0 (call_t, 1);

  call->workers = workers;
  call->done = done;
  call->data = data;
  call->message = http_post_new (url, json_builder_text (builder));
  workers->outstanding++;
  workers->calls++;
  g_signal_connect (call->message, "starting", G_CALLBACK (starting), call);
  g_signal_connect (call->message, "network-event", G_CALLBACK (network_event), NULL);
  http_fetch (session_for (workers, address), call->message, HTTP_ANSWER_MAX_BYTES, NULL, finished,
              call);
}

guint64
workers_calls (const workers_t *workers)
{
  return workers->calls;
}
