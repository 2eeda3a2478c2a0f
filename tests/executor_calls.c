/* Calls to many executors at a time. */
#include "platform/executor_calls.h"
#include "base/clock.h"
#include "base/http_server.h"

#include <CUnit/Basic.h>
#include <gio/gio.h>
#include <time.h>

enum
{
  EXECUTORS = 100, /* of each kind */
  ROUNDS = 2,
  WAIT_MS = 100,
  STOPS = 8, /* at a time to a silent executor: more than it may have connections */
  CPU_PER_CALL_US = 1000,
  QUEUE_LENGTH = 2,     /* connections that fill the queue of a listener */
  ENDS_PER_ANSWER = 500 /* an executor lists no more */
};

typedef struct
{
  GMainLoop *loop;
  executor_calls_t *calls;
  guint open;
} fixture_t;

static gint64
thread_cpu_us (void)
{
  struct timespec used;

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (gint64) used.tv_sec * G_USEC_PER_SEC + used.tv_nsec / 1000;
}

static GSocket *
socket_new (void)
{
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (socket);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

/* A port that answers no attempt to connect, as an executor behind a cut: its queue of connections
 * is full. */
static guint16
open_silent_port (GPtrArray *sockets)
{
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("0.0.0.0", 0);
  g_autoptr (GSocketAddress) address = NULL;
  g_autoptr (GSocketAddress) peer = NULL;
  GSocket *listener = socket_new ();
  guint16 port;

  g_ptr_array_add (sockets, listener);
  g_socket_set_listen_backlog (listener, 0);
  CU_ASSERT_FATAL (g_socket_bind (listener, any, FALSE, NULL));
  CU_ASSERT_FATAL (g_socket_listen (listener, NULL));
  address = g_socket_get_local_address (listener, NULL);
  port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
  peer = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  for (guint i = 0; i < QUEUE_LENGTH; i++)
    {
      GSocket *waiting = socket_new ();

      (void) g_socket_connect (waiting, peer, NULL, NULL);
      g_ptr_array_add (sockets, waiting);
    }
  return port;
}

static void
answer_request (http_request_t *request, void *data G_GNUC_UNUSED)
{
  http_respond_text (request, 200, "application/json", g_strdup ("{\"clock-ms\":1}"));
}

static void
call_done (const executor_answer_t *answer G_GNUC_UNUSED, void *data)
{
  fixture_t *fixture = data;

  if (--fixture->open == 0)
    g_main_loop_quit (fixture->loop);
}

static void
hold_done (const executor_answer_t *answer,
           const executor_report_t *report G_GNUC_UNUSED,
           void *data)
{
  call_done (answer, data);
}

static void
call_all (fixture_t *fixture, const char *network, guint16 port, guint stops)
{
  static const task_ref_t task = { .job = "0000000000000001" };
  executor_hold_t hold = { .wait_ms = WAIT_MS };

  for (guint i = 0; i < EXECUTORS; i++)
    {
      g_autofree char *address = g_strdup_printf ("%s.%u:%u", network, i + 1, port);
      executor_target_t target = { .executor = "e", .address = address };

      fixture->open += 1 + stops;
      executor_hold (fixture->calls, &target, &hold, hold_done, fixture);
      for (guint j = 0; j < stops; j++)
        executor_stop (fixture->calls, &target, &task, 1, call_done, fixture);
    }
}

/* Guards against executors behind a cut that take the processor of the VM that calls them, so that
 * it loses its leader and answers nobody.  While an executor has all connections that it may have,
 * each event of its session looked at all calls and connections of that session. */
static void
test_silent_executors_cost_little (void)
{
  fixture_t fixture = { .loop = g_main_loop_new (NULL, FALSE), .calls = executor_calls_new () };
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  http_limits_t limits = { .listener = "test",
                           .connections = 4 * EXECUTORS,
                           .header_bytes = 16 * 1024,
                           .body_bytes = 64 * 1024,
                           .read_timeout_ms = 5000 };
  error_info_t error = { .kind = ERROR_NONE };
  http_server_t *server = http_server_new ("0.0.0.0:0", &limits, answer_request, NULL, &error);
  guint16 silent_port = open_silent_port (sockets);

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  for (guint i = 0; i < ROUNDS; i++)
    {
      gint64 before_us = thread_cpu_us ();
      guint calls;

      call_all (&fixture, "127.0.1", http_server_port (server), 1);
      call_all (&fixture, "127.0.2", silent_port, STOPS);
      calls = fixture.open;
      g_main_loop_run (fixture.loop);
      CU_ASSERT_TRUE (thread_cpu_us () - before_us <= (gint64) calls * CPU_PER_CALL_US);
    }
  executor_calls_free (fixture.calls);
  http_server_free (server);
  g_main_loop_unref (fixture.loop);
}

/* Answers as an executor with this many ends (`data`) to list. */
static void
answer_with_ends (http_request_t *request, void *data)
{
  GString *body = g_string_new ("{\"clock-ms\":1,\"born\":1,\"running\":[],\"ended\":[");

  for (guint number = 1; number <= *(const guint *) data; number++)
    g_string_append_printf (body, "%s[%u,\"0000000000000001.0.0.%u\",1,\"done\",\"\"]",
                            number > 1 ? "," : "", number, number);
  g_string_append (body, "]}");
  http_respond_text (request, 200, "application/json", g_string_free (body, FALSE));
}

typedef struct
{
  GMainLoop *loop;
  guint ended_count;
  bool has_more_ends;
} listed_t;

static void
ends_listed (const executor_answer_t *answer G_GNUC_UNUSED,
             const executor_report_t *report,
             void *data)
{
  listed_t *listed = data;

  g_main_loop_quit (listed->loop);
  if (report == NULL)
    return;
  listed->ended_count = report->ended_count;
  listed->has_more_ends = report->has_more_ends;
}

/* Guards against tasks that run twice as their ends are beyond those listed (review/12). */
static void
test_twice_full_list_may_go_on (void)
{
  http_limits_t limits = { .listener = "test",
                           .connections = 4,
                           .header_bytes = 16 * 1024,
                           .body_bytes = 64 * 1024,
                           .read_timeout_ms = 5000 };
  error_info_t error = { .kind = ERROR_NONE };

  for (guint count = ENDS_PER_ANSWER - 1; count <= ENDS_PER_ANSWER; count++)
    {
      http_server_t *server
          = http_server_new ("127.0.0.1:0", &limits, answer_with_ends, &count, &error);
      g_autofree char *address = NULL;
      executor_calls_t *calls = executor_calls_new ();
      executor_target_t target = { .executor = "e" };
      executor_hold_t hold = { .wait_ms = 0 };
      listed_t listed = { .loop = g_main_loop_new (NULL, FALSE) };

      CU_ASSERT_PTR_NOT_NULL_FATAL (server);
      address = g_strdup_printf ("127.0.0.1:%u", http_server_port (server));
      target.address = address;
      executor_hold (calls, &target, &hold, ends_listed, &listed);
      g_main_loop_run (listed.loop);
      CU_ASSERT_EQUAL (listed.ended_count, count);
      CU_ASSERT_EQUAL (listed.has_more_ends, count == ENDS_PER_ANSWER);
      executor_calls_free (calls);
      http_server_free (server);
      g_main_loop_unref (listed.loop);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("executor_calls", NULL, NULL);
  CU_add_test (suite, "silent executors cost little", test_silent_executors_cost_little);
  CU_add_test (suite, "twice: a full list may go on", test_twice_full_list_may_go_on);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
