/* Store calls that the leader makes for a VM.  Every process counts its calls from 1, so the reply
 * to a call of a VM's former process could be taken as the answer to another call of its new
 * process: a job that was not stored was reported as stored. */
#include "entry_fixture.h"

#include "peer/link.h"

enum
{
  STORE_DELAY_MS = 400,
  REPLIES_MAX = 8
};

/* A process of a VM, played by the test. */
typedef struct
{
  gint64 life; /* 0: it does not tell */
  link_t *link;
  bool is_open;
  store_status_t statuses[REPLIES_MAX]; /* of the replies to call 1 */
  guint reply_count;
} process_t;

static void
opened (link_t *link G_GNUC_UNUSED, void *data)
{
  ((process_t *) data)->is_open = true;
}

static void
received (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  process_t *process = data;

  for (gsize i = 0; i < frame->n_relay_reply && process->reply_count < REPLIES_MAX; i++)
    {
      CU_ASSERT_EQUAL (frame->relay_reply[i]->number, 1);
      process->statuses[process->reply_count++] = frame->relay_reply[i]->status;
    }
}

static void
broken (link_t *link G_GNUC_UNUSED, const char *reason G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  CU_FAIL ("the leader closed the connection");
}

static const link_events_t link_events = { opened, received, broken };

static bool
is_open (void *data)
{
  return ((const process_t *) data)->is_open;
}

static bool
has_reply (void *data)
{
  return ((const process_t *) data)->reply_count > 0;
}

static void
process_connect (process_t *process)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Hello hello = MIMOSASTAIR__HELLO__INIT;

  process->is_open = false;
  process->link = link_connect (vms[0].options.peer_listen, &link_events, process);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_open, process));
  hello.vm = (char *) "x";
  hello.zone = (char *) "z";
  hello.life = process->life;
  frame.hello = &hello;
  CU_ASSERT_TRUE (link_send (process->link, &frame));
}

/* Sends call 1, which creates the key. */
static void
process_create_key (process_t *process, const char *key)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Relay relay = MIMOSASTAIR__RELAY__INIT;
  Mimosastair__Relay *relays = &relay;
  Mimosastair__KeyRevision expect = MIMOSASTAIR__KEY_REVISION__INIT;
  Mimosastair__KeyRevision *conditions = &expect;
  Mimosastair__KeyWrite write = MIMOSASTAIR__KEY_WRITE__INIT;
  Mimosastair__KeyWrite *writes = &write;

  expect.key = (char *) key;
  write.key = (char *) key;
  write.value.data = (guint8 *) key;
  write.value.len = strlen (key);
  relay.number = 1;
  relay.n_expect = 1;
  relay.expect = &conditions;
  relay.n_write = 1;
  relay.write = &writes;
  frame.n_relay = 1;
  frame.relay = &relays;
  CU_ASSERT_TRUE (link_send (process->link, &frame));
}

static void
process_close (process_t *process)
{
  link_free (process->link);
  process->link = NULL;
}

/* A process makes a call and ends, and the next one makes another, which is refused. */
static void
check_replies (const char *key, const char *taken_key, process_t *former, process_t *next)
{
  (void) entry_fixture_vm (0);
  write_key (taken_key, "taken");
  fake_service_set_delay (service, STORE_DELAY_MS);
  process_connect (former);
  process_create_key (former, key);
  loop_run_ms (STORE_DELAY_MS / 4);
  process_close (former);
  process_connect (next);
  process_create_key (next, taken_key);
  CU_ASSERT_TRUE (loop_run_until (has_reply, next));
  loop_run_ms (STORE_DELAY_MS);
  CU_ASSERT_EQUAL (next->reply_count, 1);
  CU_ASSERT_EQUAL (next->statuses[0], STORE_REFUSED);
  process_close (next);
  fake_service_set_delay (service, 0);
  CU_ASSERT_NOT_EQUAL (fake_service_revision (service, key), 0);
}

static void
test_new_process (void)
{
  process_t former = { .life = 1000 };
  process_t next = { .life = 2000 };

  check_replies ("relayed/1", "taken/1", &former, &next);
}

/* The former process is older than the field. */
static void
test_process_without_life (void)
{
  process_t former = { .life = 0 };
  process_t next = { .life = 2000 };

  check_replies ("relayed/2", "taken/2", &former, &next);
}

/* A process that has connected again still gets the reply to its call. */
static void
test_same_process (void)
{
  process_t process = { .life = 3000 };

  fake_service_set_delay (service, STORE_DELAY_MS);
  process_connect (&process);
  process_create_key (&process, "relayed/3");
  loop_run_ms (STORE_DELAY_MS / 4);
  process_close (&process);
  process_connect (&process);
  CU_ASSERT_TRUE (loop_run_until (has_reply, &process));
  CU_ASSERT_EQUAL (process.statuses[0], STORE_DONE);
  process_close (&process);
  fake_service_set_delay (service, 0);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "the reply to a former process", test_new_process },
    { "the reply to a former process that tells no life", test_process_without_life },
    { "the reply to a process that has connected again", test_same_process },
  };

  return run_suite ("relay_reply", tests, G_N_ELEMENTS (tests));
}
