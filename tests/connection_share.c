/* The bound of connections to executors: who gets one, and which are closed. */
#include "backend/connection_share.h"

#include "base/clock.h"

#include <CUnit/Basic.h>

enum
{
  CLAIMS = 8,
  CONNECTIONS_MAX = 6, /* of a pool */
  TIMEOUT_MS = 50,
  WAIT_MS = 1000
};

/* Claims of one test, each of which tells how it went on. */
typedef struct
{
  connection_share_t *share;
  connection_claim_t claims[CLAIMS];
  GIOStream *streams[CLAIMS]; /* connections, as the library keeps them; NULL: none */
  guint granted;              /* bit set */
  guint refused;              /* bit set */
} fixture_t;

typedef struct
{
  fixture_t *fixture;
  guint index;
} mark_t;

static fixture_t fixture;
static mark_t marks[CLAIMS];

static void
fixture_open (guint limit)
{
  fixture = (fixture_t){ .share = connection_share_new () };
  for (guint i = 0; i < CLAIMS; i++)
    marks[i] = (mark_t){ .fixture = &fixture, .index = i };
  connection_share_set_limit (limit);
}

static void
fixture_close (void)
{
  connection_share_set_limit (0);
  connection_share_free (fixture.share);
  for (guint i = 0; i < CLAIMS; i++)
    g_clear_object (&fixture.streams[i]);
}

static void
claim_done (bool is_granted, void *data)
{
  const mark_t *mark = data;

  if (is_granted)
    mark->fixture->granted |= 1U << mark->index;
  else
    mark->fixture->refused |= 1U << mark->index;
}

static bool
is_granted (guint index)
{
  return (fixture.granted & 1U << index) != 0;
}

static void
release (guint index)
{
  if (is_granted (index))
    connection_share_release (&fixture.claims[index]);
}

static void
claim_at (guint index, const char *address, connection_use_t use)
{
  connection_request_t request = { .session = &fixture,
                                   .address = address,
                                   .connections_max = CONNECTIONS_MAX,
                                   .use = use,
                                   .timeout_ms = TIMEOUT_MS };

  connection_share_claim (fixture.share, &fixture.claims[index], &request, claim_done,
                          &marks[index], clock_now_us ());
}

/* The claim's call opens a connection and uses it. */
static void
open_and_use (guint index)
{
  g_autoptr (GInputStream) input = g_memory_input_stream_new ();
  g_autoptr (GOutputStream) output = g_memory_output_stream_new_resizable ();

  fixture.streams[index] = g_simple_io_stream_new (input, output);
  connection_share_opened (&fixture.claims[index], index + 1, fixture.streams[index]);
}

/* The call has ended; its connection stays open. */
static void
leave_idle (guint index)
{
  connection_share_unused (&fixture.claims[index], true);
  release (index);
}

static bool
is_open (guint index)
{
  return !g_io_stream_is_closed (fixture.streams[index]);
}

/* Guards against a VM whose connections to executors take the descriptors of its listeners, and
 * against stops and renewals of leases that wait for starts. */
static void
test_most_urgent_first (void)
{
  fixture_open (2);
  claim_at (0, "a", CONNECTION_FOR_START);
  claim_at (1, "b", CONNECTION_FOR_START);
  claim_at (2, "c", CONNECTION_FOR_START);
  claim_at (3, "d", CONNECTION_FOR_HOLD);
  claim_at (4, "e", CONNECTION_FOR_STOP);
  CU_ASSERT_EQUAL (fixture.granted, 3);
  release (0);
  CU_ASSERT_TRUE (is_granted (4));
  release (1);
  CU_ASSERT_TRUE (is_granted (3));
  CU_ASSERT_FALSE (is_granted (2));
  release (4);
  CU_ASSERT_TRUE (is_granted (2));
  release (3);
  release (2);
  fixture_close ();
}

/* Guards against calls that wait while unused connections are kept, and against the loss of the
 * connection that a call is about to use again. */
static void
test_idle_connections_make_room (void)
{
  fixture_open (2);
  claim_at (0, "a", CONNECTION_FOR_STOP);
  open_and_use (0);
  claim_at (1, "b", CONNECTION_FOR_STOP);
  open_and_use (1);
  leave_idle (0);
  leave_idle (1);
  claim_at (2, "a", CONNECTION_FOR_STOP);
  CU_ASSERT_TRUE (is_granted (2));
  CU_ASSERT_TRUE (is_open (0));
  CU_ASSERT_TRUE (is_open (1));
  claim_at (3, "c", CONNECTION_FOR_STOP);
  CU_ASSERT_TRUE (is_granted (3));
  CU_ASSERT_TRUE (is_open (0));
  CU_ASSERT_FALSE (is_open (1));
  claim_at (4, "d", CONNECTION_FOR_STOP);
  CU_ASSERT_FALSE (is_granted (4));
  CU_ASSERT_TRUE (is_open (0));
  release (2);
  CU_ASSERT_TRUE (is_granted (4));
  CU_ASSERT_FALSE (is_open (0));
  release (3);
  release (4);
  fixture_close ();
}

/* Guards against a connection that counts after the executor has closed it. */
static void
test_closed_connections_make_room (void)
{
  fixture_open (1);
  claim_at (0, "a", CONNECTION_FOR_STOP);
  open_and_use (0);
  release (0);
  claim_at (1, "b", CONNECTION_FOR_STOP);
  CU_ASSERT_FALSE (is_granted (1));
  g_clear_object (&fixture.streams[0]);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  CU_ASSERT_TRUE (is_granted (1));
  release (1);
  fixture_close ();
}

/* Guards against a connection more than the share: one on which an order must not be sent is closed
 * by the library, and the order's next call opens another before that. */
static void
test_connection_about_to_close_counts (void)
{
  fixture_open (2);
  claim_at (0, "a", CONNECTION_FOR_START);
  open_and_use (0);
  connection_share_unused (&fixture.claims[0], false);
  claim_at (1, "b", CONNECTION_FOR_STOP);
  CU_ASSERT_FALSE (is_granted (1));
  g_clear_object (&fixture.streams[0]);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  CU_ASSERT_TRUE (is_granted (1));
  release (0);
  release (1);
  fixture_close ();
}

/* Guards against orders that stay unanswered until the leader has to assume a run. */
static void
test_refused_in_time (void)
{
  gint64 until_us;

  fixture_open (1);
  claim_at (0, "a", CONNECTION_FOR_START);
  claim_at (1, "b", CONNECTION_FOR_START);
  until_us = clock_now_us () + (gint64) 10 * TIMEOUT_MS * 1000;
  while (fixture.refused == 0 && clock_now_us () < until_us)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  CU_ASSERT_EQUAL (fixture.refused, 2);
  release (0);
  CU_ASSERT_FALSE (is_granted (1));
  fixture_close ();
}

/* Guards against hold requests of many executors, which wait for up to a second each, that leave no
 * connection to orders or renew leases too late. */
static void
test_polls_leave_room (void)
{
  static const char *const addresses[] = { "a", "b", "c", "d", "e", "f" };

  fixture_open (4);
  for (guint i = 0; i < 3; i++)
    claim_at (i, addresses[i], CONNECTION_FOR_HOLD);
  CU_ASSERT_FALSE (connection_share_is_crowded (fixture.share));
  CU_ASSERT_EQUAL (connection_share_poll_ms (fixture.share, WAIT_MS), WAIT_MS);
  for (guint i = 3; i < 6; i++)
    claim_at (i, addresses[i], CONNECTION_FOR_HOLD);
  CU_ASSERT_EQUAL (fixture.granted, 7);
  CU_ASSERT_TRUE (connection_share_is_crowded (fixture.share));
  CU_ASSERT_EQUAL (connection_share_poll_ms (fixture.share, WAIT_MS), WAIT_MS / 2);
  claim_at (6, "g", CONNECTION_FOR_START);
  CU_ASSERT_TRUE (is_granted (6));
  for (guint i = 0; i < 7; i++)
    release (i);
  fixture_close ();
}

int
main (void)
{
  CU_pSuite suite;
  guint failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return (int) CU_get_error ();
  suite = CU_add_suite ("connection_share", NULL, NULL);
  CU_add_test (suite, "most urgent first", test_most_urgent_first);
  CU_add_test (suite, "idle connections make room", test_idle_connections_make_room);
  CU_add_test (suite, "closed connections make room", test_closed_connections_make_room);
  CU_add_test (suite, "connection about to close counts", test_connection_about_to_close_counts);
  CU_add_test (suite, "refused in time", test_refused_in_time);
  CU_add_test (suite, "polls leave room", test_polls_leave_room);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  (void) CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0 ? 1 : 0;
}
