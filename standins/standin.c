#include "standin.h"

#include "base/json.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

SoupServer *
standin_listen (guint16 port, SoupServerCallback handler, gpointer data)
{
  SoupServer *server = soup_server_new ("server-header", "standin", NULL);
  g_autoptr (GError) error = NULL;

  soup_server_add_handler (server, NULL, handler, data, NULL);
  if (!soup_server_listen_local (server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    {
      (void) fprintf (stderr, "standin: cannot listen on 127.0.0.1:%u: %s\n", port, error->message);
      exit (1);
    }
  return server;
}

guint16
standin_port (SoupServer *server)
{
  GSList *uris = soup_server_get_uris (server);
  guint16 port = (guint16) g_uri_get_port (uris->data);

  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  return port;
}

void
standin_respond (SoupServerMessage *message, guint status, char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, text,
                                    strlen (text));
}

void
standin_drop_connection (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);

  if (socket != NULL)
    (void) g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

JsonNode *
standin_parse_body (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize size = 0;
  const char *text = g_bytes_get_data (bytes, &size);

  return json_parse_object (text != NULL ? text : "", (gssize) size, NULL);
}

void
standin_print_line (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  (void) vprintf (format, args);
  va_end (args);
  (void) putchar ('\n');
  (void) fflush (stdout);
}

static gboolean
quit_loop (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

void
standin_serve (void)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  g_unix_signal_add (SIGTERM, quit_loop, loop);
  g_unix_signal_add (SIGINT, quit_loop, loop);
  g_main_loop_run (loop);
}
