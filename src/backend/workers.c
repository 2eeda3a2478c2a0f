#include "backend/workers.h"

#include "base/http_client.h"
#include "base/json.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct workers
{
  SoupSession *session;
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

  workers->session = http_session_new (connections_per_worker, timeout_s, idle_timeout_s);
  return workers;
}

void
workers_free (workers_t *workers)
{
  if (workers == NULL)
    return;
  soup_session_abort (workers->session);
  while (workers->outstanding > 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (workers->session);
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
  http_fetch (workers->session, call->message, HTTP_ANSWER_MAX_BYTES, NULL, finished, call);
}

guint64
workers_calls (const workers_t *workers)
{
  return workers->calls;
}
