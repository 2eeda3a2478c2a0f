/* Fault injection for the at-most-once guarantee.  A fake executor closes the connection at each
 * point of the exchange, answers another request, or answers twice.  The client must send it each
 * request at most once, must not report a request as not sent when a byte of it has arrived, and
 * must not report an answer as complete when it was not. */
#include "backend/executor_client.h"

#include <CUnit/Basic.h>
#include <gio/gio.h>
#include <string.h>

typedef enum
{
  FAULT_CLOSE_AT_ACCEPT,
  FAULT_CLOSE_IN_REQUEST, /* after its first 20 bytes */
  FAULT_CLOSE_AFTER_REQUEST,
  FAULT_CLOSE_IN_HEADERS,
  FAULT_CLOSE_IN_BODY,
  FAULT_NONE,
  FAULT_WRONG_REQUEST_ID, /* a complete answer with another request's id */
  FAULT_SECOND_ANSWER,    /* a second answer without a request */
  FAULT_COUNT
} fault_t;

/* An executor that answers `requests_before_fault` requests of each connection correctly and
 * then applies the fault. */
typedef struct
{
  GSocketListener *listener;
  GThread *thread;
  GCancellable *stop;
  guint16 port;
  fault_t fault;
  int requests_before_fault;
  gint request_count; /* requests of which at least one byte arrived */
  gint connection_count;
} fake_executor_t;

typedef struct
{
  GMainLoop *loop;
  answer_kind_t kind;
  char *body;
  int answer_count;
} received_answer_t;

/* Reads one request up to the end that Content-Length gives, or only its first 20 bytes when
 * `is_cut_short`.  Returns the request id; NULL when the request was not read in full. */
static char *
read_request (GInputStream *in, fake_executor_t *server, bool is_cut_short)
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
        g_atomic_int_inc (&server->request_count);
      g_string_append_c (text, byte);
      if (is_cut_short && text->len >= 20)
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
write_answer (GOutputStream *out, const char *id, fault_t fault)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: application/json\r\n"
                         "Content-Length: 12\r\n\r\n{\"done\":true}",
                         fault == FAULT_WRONG_REQUEST_ID ? "another-request" : id);
  gsize length = strlen (text) - 1; /* Content-Length leaves out the closing brace */

  if (fault == FAULT_CLOSE_IN_HEADERS)
    length = 30;
  if (fault == FAULT_CLOSE_IN_BODY)
    length -= 6;
  write_text (out, text, length);
  if (fault == FAULT_SECOND_ANSWER)
    write_text (out, text, length);
}

static void
serve_connection (fake_executor_t *server, GSocketConnection *connection)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (connection));
  GOutputStream *out = g_io_stream_get_output_stream (G_IO_STREAM (connection));

  for (int served = 0;; served++)
    {
      bool is_faulty = served >= server->requests_before_fault;
      g_autofree char *id = NULL;

      if (is_faulty && server->fault == FAULT_CLOSE_AT_ACCEPT)
        return;
      id = read_request (in, server, is_faulty && server->fault == FAULT_CLOSE_IN_REQUEST);
      if (id == NULL || (is_faulty && server->fault == FAULT_CLOSE_AFTER_REQUEST))
        return;
      write_answer (out, id, is_faulty ? server->fault : FAULT_NONE);
      if (is_faulty
          && (server->fault == FAULT_CLOSE_IN_HEADERS || server->fault == FAULT_CLOSE_IN_BODY))
        return;
    }
}

static gpointer
serve_connections (gpointer data)
{
  fake_executor_t *server = data;

  for (;;)
    {
      g_autoptr (GSocketConnection) connection
          = g_socket_listener_accept (server->listener, NULL, server->stop, NULL);

      if (connection == NULL)
        return NULL;
      server->connection_count++;
      serve_connection (server, connection);
      (void) g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
    }
}

static void
server_start (fake_executor_t *server, fault_t fault, int requests_before_fault)
{
  *server = (fake_executor_t){ .fault = fault, .requests_before_fault = requests_before_fault };
  server->stop = g_cancellable_new ();
  server->listener = g_socket_listener_new ();
  server->port = g_socket_listener_add_any_inet_port (server->listener, NULL, NULL);
  server->thread = g_thread_new ("executor", serve_connections, server);
}

static void
server_stop (fake_executor_t *server)
{
  g_cancellable_cancel (server->stop);
  g_thread_join (server->thread);
  g_object_unref (server->listener);
  g_object_unref (server->stop);
}

static void
on_answer (const executor_answer_t *executor_answer, void *data)
{
  received_answer_t *received = data;

  received->kind = executor_answer->kind;
  received->answer_count++;
  if (executor_answer->body != NULL)
    received->body = g_strndup (g_bytes_get_data (executor_answer->body, NULL),
                                g_bytes_get_size (executor_answer->body));
  g_main_loop_quit (received->loop);
}

/* Sends one request and waits for its result. */
static answer_kind_t
send_request (executor_client_t *client, const char *address, const char *id)
{
  g_autoptr (GBytes) body = g_bytes_new_static ("{}", 2);
  received_answer_t received = { .loop = g_main_loop_new (NULL, FALSE) };
  executor_request_t request = { .address = address,
                                 .request_id = id,
                                 .environment = "e",
                                 .class = "c",
                                 .customer = "k",
                                 .content_type = "application/json",
                                 .deadline_ms = 1000,
                                 .body = body };

  (void) executor_client_send (client, &request, on_answer, &received);
  g_main_loop_run (received.loop);
  g_main_loop_unref (received.loop);
  CU_ASSERT_EQUAL (received.answer_count, 1);
  if (received.kind == ANSWER_COMPLETE)
    CU_ASSERT_STRING_EQUAL (received.body, "{\"done\":true");
  g_free (received.body);
  return received.kind;
}

/* Sends three requests to an executor that answers `requests_before_fault` requests of each
 * connection correctly.  Checks that each arrives at most once, and that its result is consistent
 * with whether it arrived. */
static void
check_fault (fault_t fault, int requests_before_fault)
{
  fake_executor_t server;
  executor_client_t *client = executor_client_new ();
  g_autofree char *address = NULL;
  int sent_count = 0;

  server_start (&server, fault, requests_before_fault);
  address = g_strdup_printf ("127.0.0.1:%u", server.port);
  executor_client_set_connection_limit (client, address, 2);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("request-%d", i);
      int request_count = g_atomic_int_get (&server.request_count);
      answer_kind_t kind = send_request (client, address, id);
      int new_request_count = g_atomic_int_get (&server.request_count) - request_count;

      sent_count++;
      CU_ASSERT (new_request_count <= 1);
      if (new_request_count == 1)
        CU_ASSERT_NOT_EQUAL (kind, ANSWER_NOT_SENT);
      if (kind == ANSWER_COMPLETE)
        CU_ASSERT_EQUAL (new_request_count, 1);
      /* A truncated answer or one to another request is never reported as complete. */
      if (requests_before_fault == 0 && fault != FAULT_NONE && fault != FAULT_SECOND_ANSWER)
        CU_ASSERT_NOT_EQUAL (kind, ANSWER_COMPLETE);
    }
  CU_ASSERT (g_atomic_int_get (&server.request_count) <= sent_count);
  executor_client_free (client);
  server_stop (&server);
}

static void
test_fresh_connection (void)
{
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    check_fault ((fault_t) fault, 0);
}

static void
test_reused_connection (void)
{
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    {
      check_fault ((fault_t) fault, 1);
      check_fault ((fault_t) fault, 2);
    }
}

int
main (void)
{
  CU_pSuite suite;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("cutpoints", NULL, NULL);
  CU_add_test (suite, "each request is sent at most once on a new connection",
               test_fresh_connection);
  CU_add_test (suite, "each request is sent at most once on a reused connection",
               test_reused_connection);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
