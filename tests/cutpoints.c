/* At most once on the wire: an executor that cuts the connection at each point is
 * sent each request once, and the attempt is never called "not sent" after a byte of
 * it arrived, nor "whole" unless the answer was. */
#include "backend/executor_client.h"

#include <CUnit/Basic.h>
#include <gio/gio.h>
#include <string.h>

typedef enum
{
  CUT_AT_ACCEPT,
  CUT_IN_REQUEST, /* after its first bytes */
  CUT_AFTER_REQUEST,
  CUT_IN_HEADERS,
  CUT_IN_BODY,
  CUT_NOWHERE,
  ANSWER_ANOTHER, /* whole, with another request's id */
  ANSWER_TWICE,   /* a second answer follows unasked */
  CUT_COUNT
} cut_t;

/* The executor: serves `before` requests of a connection well, then cuts. */
typedef struct
{
  GSocketListener *listener;
  GThread *thread;
  GCancellable *stop;
  guint16 port;
  cut_t cut;
  int before;
  gint arrivals; /* requests of which a byte arrived */
  gint connections;
} executor_server_t;

typedef struct
{
  GMainLoop *loop;
  answer_kind_t kind;
  char *body;
  int answers;
} outcome_seen_t;

/* Reads one request; its length is known from Content-Length.  Returns the id. */
static char *
read_request (GInputStream *in, executor_server_t *server, bool partly)
{
  g_autoptr (GString) text = g_string_new (NULL);
  const char *end;
  const char *length;
  const char *id;
  char byte;

  while (strstr (text->str, "\r\n\r\n") == NULL)
    {
      if (g_input_stream_read (in, &byte, 1, server->stop, NULL) != 1)
        return NULL;
      if (text->len == 0)
        g_atomic_int_inc (&server->arrivals);
      g_string_append_c (text, byte);
      if (partly && text->len >= 20)
        return NULL;
    }
  end = strstr (text->str, "\r\n\r\n") + 4;
  length = strstr (text->str, "Content-Length: ");
  for (long left = strtol (length + 16, NULL, 10) - (long) strlen (end); left > 0; left--)
    (void) g_input_stream_read (in, &byte, 1, server->stop, NULL);
  id = strstr (text->str, "Request-Id: ") + 12;
  return g_strndup (id, strcspn (id, "\r"));
}

static void
write_text (GOutputStream *out, const char *text, gsize length)
{
  (void) g_output_stream_write_all (out, text, length, NULL, NULL, NULL);
}

static void
answer (GOutputStream *out, const char *id, cut_t cut)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: application/json\r\n"
                         "Content-Length: 12\r\n\r\n{\"done\":true}",
                         cut == ANSWER_ANOTHER ? "stranger" : id);
  gsize length = strlen (text) - 1; /* the body is twelve bytes */

  if (cut == CUT_IN_HEADERS)
    length = 30;
  if (cut == CUT_IN_BODY)
    length -= 6;
  write_text (out, text, length);
  if (cut == ANSWER_TWICE)
    write_text (out, text, length);
}

static void
serve_connection (executor_server_t *server, GSocketConnection *connection)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (connection));
  GOutputStream *out = g_io_stream_get_output_stream (G_IO_STREAM (connection));

  for (int served = 0;; served++)
    {
      bool cut_now = served >= server->before;
      g_autofree char *id = NULL;

      if (cut_now && server->cut == CUT_AT_ACCEPT)
        return;
      id = read_request (in, server, cut_now && server->cut == CUT_IN_REQUEST);
      if (id == NULL || (cut_now && server->cut == CUT_AFTER_REQUEST))
        return;
      answer (out, id, cut_now ? server->cut : CUT_NOWHERE);
      if (cut_now && (server->cut == CUT_IN_HEADERS || server->cut == CUT_IN_BODY))
        return;
    }
}

static gpointer
serve (gpointer data)
{
  executor_server_t *server = data;

  for (;;)
    {
      g_autoptr (GSocketConnection) connection
          = g_socket_listener_accept (server->listener, NULL, server->stop, NULL);

      if (connection == NULL)
        return NULL;
      server->connections++;
      serve_connection (server, connection);
      (void) g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
    }
}

static void
server_start (executor_server_t *server, cut_t cut, int before)
{
  *server = (executor_server_t){ .cut = cut, .before = before };
  server->stop = g_cancellable_new ();
  server->listener = g_socket_listener_new ();
  server->port = g_socket_listener_add_any_inet_port (server->listener, NULL, NULL);
  server->thread = g_thread_new ("executor", serve, server);
}

static void
server_stop (executor_server_t *server)
{
  g_cancellable_cancel (server->stop);
  g_thread_join (server->thread);
  g_object_unref (server->listener);
  g_object_unref (server->stop);
}

static void
answered (const executor_answer_t *got, void *data)
{
  outcome_seen_t *seen = data;

  seen->kind = got->kind;
  seen->answers++;
  if (got->body != NULL)
    seen->body = g_strndup (g_bytes_get_data (got->body, NULL), g_bytes_get_size (got->body));
  g_main_loop_quit (seen->loop);
}

/* Sends one request and waits for its fate. */
static answer_kind_t
send_one (executors_t *executors, const char *address, const char *id)
{
  g_autoptr (GBytes) body = g_bytes_new_static ("{}", 2);
  outcome_seen_t seen = { .loop = g_main_loop_new (NULL, FALSE) };
  executor_request_t request = { .address = address,
                                 .request_id = id,
                                 .environment = "e",
                                 .class = "c",
                                 .customer = "k",
                                 .content_type = "application/json",
                                 .deadline_ms = 1000,
                                 .body = body };

  (void) executors_send (executors, &request, answered, &seen);
  g_main_loop_run (seen.loop);
  g_main_loop_unref (seen.loop);
  CU_ASSERT_EQUAL (seen.answers, 1);
  if (seen.kind == ANSWER_WHOLE)
    CU_ASSERT_STRING_EQUAL (seen.body, "{\"done\":true");
  g_free (seen.body);
  return seen.kind;
}

/* Sends three requests to an executor that serves `before` of each connection well. */
static void
check_cut (cut_t cut, int before)
{
  executor_server_t server;
  executors_t *executors = executors_new ();
  g_autofree char *address = NULL;
  int sent = 0;

  server_start (&server, cut, before);
  address = g_strdup_printf ("127.0.0.1:%u", server.port);
  executors_bound (executors, address, 2);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%d", i);
      int arrivals = g_atomic_int_get (&server.arrivals);
      answer_kind_t kind = send_one (executors, address, id);
      int more = g_atomic_int_get (&server.arrivals) - arrivals;

      sent++;
      CU_ASSERT (more <= 1);
      if (more == 1)
        CU_ASSERT_NOT_EQUAL (kind, ANSWER_UNSENT);
      if (kind == ANSWER_WHOLE)
        CU_ASSERT_EQUAL (more, 1);
      /* Every answer that is cut short, or another's, is not taken for whole. */
      if (before == 0 && cut != CUT_NOWHERE && cut != ANSWER_TWICE)
        CU_ASSERT_NOT_EQUAL (kind, ANSWER_WHOLE);
    }
  CU_ASSERT (g_atomic_int_get (&server.arrivals) <= sent);
  executors_free (executors);
  server_stop (&server);
}

static void
test_fresh_connection (void)
{
  for (int cut = 0; cut < CUT_COUNT; cut++)
    check_cut ((cut_t) cut, 0);
}

static void
test_reused_connection (void)
{
  for (int cut = 0; cut < CUT_COUNT; cut++)
    {
      check_cut ((cut_t) cut, 1);
      check_cut ((cut_t) cut, 2);
    }
}

int
main (void)
{
  CU_pSuite suite;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("cutpoints", NULL, NULL);
  CU_add_test (suite, "each request is sent once on a fresh connection", test_fresh_connection);
  CU_add_test (suite, "each request is sent once on a reused one", test_reused_connection);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
