/* Whole entry daemons against a store that stops answering the leader. */
#include "entry_fixture.h"

#include "peer/link.h"

enum
{
  HAND_OVER_MS = 900, /* an idle call after 400 ms, 300 ms of silence, the next ping */
  HAND_OVER_INTERVAL_MS = 5000,
  MAX_ATTEMPTS = 3 /* a pause of the whole process can make one fail */
};

static guint leader_index; /* of the present leader */

static gint64
leader_revision (void)
{
  return fake_service_revision (service, "claim/all");
}

/* Makes the other VM read from the store until another leader record is written; returns the
 * milliseconds until then, at most `ms`. */
static gint64
time_hand_over (const vm_t *other, gint64 ms)
{
  gint64 began_us = clock_now_us ();
  gint64 revision = leader_revision ();
  gint64 took_ms = 0;

  while (leader_revision () == revision && took_ms < ms)
    {
      (void) entry_fixture_request (other, "GET", "/q1/00000000000000ee", NULL);
      loop_run_ms (20);
      took_ms = (clock_now_us () - began_us) / 1000;
    }
  return took_ms;
}

/* The leader's calls are not answered, or fail at once.  The next leader is the other VM. */
static void
check_silent_for_leader (http_store_mode_t mode)
{
  gint64 took_ms = HAND_OVER_MS;

  (void) entry_fixture_vm (1);
  for (guint i = 0; i < MAX_ATTEMPTS && took_ms >= HAND_OVER_MS; i++)
    {
      loop_run_ms (HAND_OVER_INTERVAL_MS + 1000);
      http_store_set_mode (vms[leader_index].store, mode);
      took_ms = time_hand_over (&vms[1 - leader_index], 5000);
      http_store_set_mode (vms[leader_index].store, HTTP_STORE_SERVES);
      g_print ("hand-over after %" G_GINT64_FORMAT " ms; ", took_ms);
      leader_index = 1 - leader_index;
    }
  CU_ASSERT (took_ms < HAND_OVER_MS);
}

static void
test_silent_for_leader (void)
{
  check_silent_for_leader (HTTP_STORE_SILENT);
}

static void
test_refuses_leader (void)
{
  check_silent_for_leader (HTTP_STORE_REFUSES);
}

static void
test_slow_for_all (void)
{
  loop_run_ms (HAND_OVER_INTERVAL_MS);
  fake_service_set_delay (service, 200);
  CU_ASSERT (time_hand_over (&vms[1 - leader_index], 3000) >= 3000);
  fake_service_set_delay (service, 0);
}

/* Shorter than the lease, whose end would make any VM the leader. */
static void
test_silent_for_all (void)
{
  gint64 revision = leader_revision ();

  loop_run_ms (HAND_OVER_INTERVAL_MS);
  http_store_set_mode (vms[0].store, HTTP_STORE_SILENT);
  http_store_set_mode (vms[1].store, HTTP_STORE_SILENT);
  loop_run_ms (1300);
  CU_ASSERT_EQUAL (leader_revision (), revision);
  http_store_set_mode (vms[0].store, HTTP_STORE_SERVES);
  http_store_set_mode (vms[1].store, HTTP_STORE_SERVES);
  loop_run_ms (300);
  CU_ASSERT_EQUAL (leader_revision (), revision);
}

/* A VM of a version whose pings do not tell when the store answered it, played by the test. */
typedef struct
{
  link_t *link;
  bool is_open;
  gint64 released; /* by the leader; 0: it has not resigned */
} former_vm_t;

static void
opened (link_t *link G_GNUC_UNUSED, void *data)
{
  ((former_vm_t *) data)->is_open = true;
}

static void
received (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  if (frame->released != 0)
    ((former_vm_t *) data)->released = frame->released;
}

static void
broken (link_t *link G_GNUC_UNUSED, const char *reason G_GNUC_UNUSED, void *data)
{
  ((former_vm_t *) data)->is_open = false;
}

static const link_events_t link_events = { opened, received, broken };

static bool
is_open (void *data)
{
  return ((const former_vm_t *) data)->is_open;
}

static void
former_vm_ping (former_vm_t *vm, bool is_store_ok)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Hello hello = MIMOSASTAIR__HELLO__INIT;
  Mimosastair__Ping message = MIMOSASTAIR__PING__INIT;

  hello.vm = (char *) "x";
  hello.zone = (char *) "z";
  message.sent_us = clock_now_us ();
  message.store_ok = is_store_ok;
  frame.hello = &hello;
  frame.ping = &message;
  (void) link_send (vm->link, &frame);
}

/* Returns the milliseconds until the leader resigns while the store is silent for all but the
 * former VM; at most `ms`. */
static gint64
time_resignation (const vm_t *leader, bool is_store_ok, gint64 ms)
{
  former_vm_t former = { .link = NULL };
  gint64 took_ms = 0;
  gint64 began_us;

  former.link = link_connect (leader->options.peer_listen, &link_events, &former);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_open, &former));
  former_vm_ping (&former, is_store_ok);
  http_store_set_mode (vms[0].store, HTTP_STORE_SILENT);
  http_store_set_mode (vms[1].store, HTTP_STORE_SILENT);
  began_us = clock_now_us ();
  while (former.released == 0 && took_ms < ms)
    {
      loop_run_ms (50);
      former_vm_ping (&former, is_store_ok);
      took_ms = (clock_now_us () - began_us) / 1000;
    }
  link_free (former.link);
  http_store_set_mode (vms[0].store, HTTP_STORE_SERVES);
  http_store_set_mode (vms[1].store, HTTP_STORE_SERVES);
  return took_ms;
}

/* Beside VMs of an earlier version the leader steps down as it did: after a second, if one of them
 * says that the store answers it. */
static void
test_pings_without_times (void)
{
  gint64 took_ms;

  loop_run_ms (HAND_OVER_INTERVAL_MS);
  CU_ASSERT (time_resignation (&vms[leader_index], false, 1300) >= 1300);
  loop_run_ms (1000);
  took_ms = time_resignation (&vms[leader_index], true, 1700);
  CU_ASSERT (took_ms >= 900 && took_ms < 1700);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "the store is silent for the leader", test_silent_for_leader },
    { "the store refuses the leader", test_refuses_leader },
    { "the store is slow for all", test_slow_for_all },
    { "the store is silent for all", test_silent_for_all },
    { "the VMs' pings do not tell when the store answered", test_pings_without_times },
  };

  return run_suite ("hand_over", tests, G_N_ELEMENTS (tests));
}
