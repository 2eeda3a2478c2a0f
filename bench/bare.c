/* A minimal libsoup server that sends the same response to every request: the baseline for the
 * cost of a request in the daemon. */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

static const char response[] = "{\"executor\":\"bare\",\"class\":\"none\",\"run\":1,\"echo\":{}}";

static void
handle_message (SoupServer *server G_GNUC_UNUSED,
                SoupServerMessage *message,
                const char *path G_GNUC_UNUSED,
                GHashTable *query G_GNUC_UNUSED,
                gpointer data G_GNUC_UNUSED)
{
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_STATIC, response,
                                    strlen (response));
}

int
main (void)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  GSList *uris;

  soup_server_add_handler (server, NULL, handle_message, NULL, NULL);
  if (!soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
    return 1;
  uris = soup_server_get_uris (server);
  (void) printf ("bare=127.0.0.1:%d\n", g_uri_get_port (uris->data));
  (void) fflush (stdout);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
