/* The text of a job goes to each VM once over the leader's connection. */
#include "fake_executor.h"
#include "harness.h"

#include "base/clock.h"
#include "entry/agent.h"
#include "entry/leader_state.h"
#include "peer/listener.h"
#include "peer/sent_bytes.h"

#include <string.h>

enum
{
  VMS = 8,
  GANG = 32,
  TEXT_BYTES = 4000,
  BORN = 1000,
  LEASE_MS = 5000
};

/* A VM with one executor, which carries out the orders of the leader. */
typedef struct
{
  char name[8];
  guint keeps_texts; /* as its hello says */
  fake_executor_t *executor;
  agent_t *agent;
  link_t *link;
  vm_t *vm; /* the leader's side */
  guint results;
  guint missing; /* results that say that the text is missing */
  order_outcome_t outcome;
} member_t;

/* A leader that only sends orders, and has no store. */
typedef struct
{
  leader_t leader;
  listener_t *listener;
  char *address;
  guint64 last_order;
  guint freed_vms;
} fixture_t;

static fixture_t *fixture;

static void
accepted (GSocketConnection *connection, void *data G_GNUC_UNUSED)
{
  leader_accept (&fixture->leader, connection);
}

static void
open_fixture (void)
{
  static const scheduler_limits_t limits = { .full_round_interval_us = 25000 };
  error_info_t error = { .kind = ERROR_NONE };
  leader_t *leader;

  fixture = g_new0 (fixture_t, 1);
  leader = &fixture->leader;
  list_init (&leader->vms);
  leader->assignments = g_hash_table_new (g_str_hash, g_str_equal);
  leader->open_orders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  leader->scheduler = scheduler_new (&limits, 1, &leader_scheduler_ops, leader);
  fixture->listener = listener_new ("127.0.0.1:0", 100, accepted, NULL, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->listener);
  fixture->address = g_strdup_printf ("127.0.0.1:%u", listener_port (fixture->listener));
}

static bool
send_to_leader (const Mimosastair__Frame *frame, void *data)
{
  member_t *member = data;

  for (gsize i = 0; i < frame->n_result; i++)
    {
      member->results++;
      member->outcome = frame->result[i]->outcome;
      member->missing += frame->result[i]->text_missing;
    }
  return link_send (member->link, frame);
}

static void
member_opened (link_t *link, void *data)
{
  const member_t *member = data;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Hello hello = MIMOSASTAIR__HELLO__INIT;

  hello.vm = (char *) member->name;
  hello.zone = (char *) "z";
  hello.keeps_texts = member->keeps_texts;
  frame.hello = &hello;
  (void) link_send (link, &frame);
}

static void
member_received (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  agent_handle_frame (((member_t *) data)->agent, frame);
}

static void
member_broken (link_t *link G_GNUC_UNUSED,
               const char *reason G_GNUC_UNUSED,
               void *data G_GNUC_UNUSED)
{
}

static const link_events_t member_events = { member_opened, member_received, member_broken };

static vm_t *
find_vm (const char *name)
{
  const list_node_t *head = &fixture->leader.vms;

  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (g_strcmp0 (vm->name, name) == 0)
        return vm;
    }
  return NULL;
}

static bool
has_joined (void *data)
{
  return find_vm (((const member_t *) data)->name) != NULL;
}

static bool
has_left (void *data)
{
  return !has_joined (data);
}

static void
connect_member (member_t *member)
{
  member->link = link_connect (fixture->address, &member_events, member);
  CU_ASSERT_TRUE_FATAL (loop_run_until (has_joined, member));
  member->vm = find_vm (member->name);
}

static bool
is_held (void *data)
{
  return fake_executor_holds (((const member_t *) data)->executor) > 1;
}

/* Assigns the member's executor, which has its name, to it. */
static void
assign (member_t *member)
{
  assignment_t *assignment;

  leader_scheduler_ops.hold (member->name, fake_executor_address (member->executor),
                             &fixture->leader);
  assignment = g_hash_table_lookup (fixture->leader.assignments, member->name);
  assignment->vm = member->vm;
  member->vm->executor_count = 1;
  leader_send_assignment (assignment, member->vm, false);
  CU_ASSERT_TRUE (loop_run_until (is_held, member));
}

static void
member_open (member_t *member, guint number, guint keeps_texts)
{
  *member = (member_t){ .keeps_texts = keeps_texts };
  g_snprintf (member->name, sizeof member->name, "m%u", number);
  member->executor = fake_executor_new (BORN);
  member->agent = agent_new (LEASE_MS, "", send_to_leader, member);
  agent_set_leadership (member->agent, 1, clock_now_us () + 60 * G_USEC_PER_SEC);
  connect_member (member);
}

/* Ends the connection as a VM does that loses its leader. */
static void
disconnect_member (member_t *member)
{
  link_free (member->link);
  agent_reset (member->agent);
  CU_ASSERT_TRUE (loop_run_until (has_left, member));
}

static void
member_close (member_t *member)
{
  disconnect_member (member);
  loop_run_ms (50);
  agent_free (member->agent);
}

/* Starts a task on the member's executor. */
static void
start (const member_t *member, const char *job, const char *text)
{
  text_digest_t digest = text_digest_compute (text);
  start_order_t order = { .order = ++fixture->last_order,
                          .executor = member->name,
                          .born = BORN,
                          .run = 1,
                          .spec = text,
                          .text_digest = &digest,
                          .checkpoint = "",
                          .ticket = "" };

  g_strlcpy (order.task.job, job, sizeof order.task.job);
  order.task.index = (guint) fixture->last_order;
  leader_scheduler_ops.start (&order, &fixture->leader);
}

static bool
has_no_open_order (void *data G_GNUC_UNUSED)
{
  return g_hash_table_size (fixture->leader.open_orders) == 0;
}

static void
finish_orders (void)
{
  CU_ASSERT_TRUE (loop_run_until (has_no_open_order, NULL));
}

static const char job[] = "00000000000000aa";

/* Returns a text that differs from that of another number in one byte. */
static char *
make_text (char number)
{
  char *text = g_strnfill (TEXT_BYTES, 'x');

  text[TEXT_BYTES / 2] = number;
  return text;
}

/* Each start order of a gang carried the text: 128 KB, which saturated the leader's link. */
static guint64
run_gang (guint keeps_texts)
{
  member_t members[VMS];
  g_autofree char *text = make_text ('a');
  guint64 before;
  guint64 bytes;

  open_fixture ();
  for (guint i = 0; i < VMS; i++)
    {
      member_open (&members[i], i, keeps_texts);
      assign (&members[i]);
    }
  before = sent_bytes_of ("start");
  for (guint i = 0; i < GANG; i++)
    start (&members[i % VMS], job, text);
  bytes = sent_bytes_of ("start") - before;
  finish_orders ();
  for (guint i = 0; i < VMS; i++)
    {
      CU_ASSERT_EQUAL (fake_executor_starts (members[i].executor), GANG / VMS);
      CU_ASSERT_EQUAL (members[i].missing, 0);
      for (guint t = 0; t < GANG / VMS; t++)
        CU_ASSERT_EQUAL (g_strcmp0 (fake_executor_text (members[i].executor, t), text), 0);
      member_close (&members[i]);
    }
  return bytes;
}

static void
test_gang_sends_text_once_to_each_vm (void)
{
  guint64 bytes = run_gang (TEXT_TABLE_MAX_TEXTS);

  g_print ("%" G_GUINT64_FORMAT " bytes ...", bytes);
  CU_ASSERT_TRUE (bytes >= VMS * TEXT_BYTES);
  CU_ASSERT_TRUE (bytes < VMS * TEXT_BYTES + GANG * 100);
}

/* A VM of an earlier version would start tasks without their text. */
static void
test_vm_of_earlier_version_gets_all_texts (void)
{
  guint64 bytes = run_gang (0);

  g_print ("%" G_GUINT64_FORMAT " bytes ...", bytes);
  CU_ASSERT_TRUE (bytes >= GANG * TEXT_BYTES);
}

/* A job that used the id of a former one got the text of that one. */
static void
test_id_used_again_has_its_own_text (void)
{
  member_t member;
  g_autofree char *former = make_text ('a');
  g_autofree char *next = make_text ('b');
  const char *expected[] = { former, former, next, next, former };

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      start (&member, job, expected[i]);
      finish_orders ();
      CU_ASSERT_EQUAL (g_strcmp0 (fake_executor_text (member.executor, i), expected[i]), 0);
    }
  CU_ASSERT_EQUAL (member.missing, 0);
  member_close (&member);
}

/* The leader counted on the text of an order that the VM had not carried out, as the executor was
 * not assigned to it, and every later order failed. */
static void
test_text_of_rejected_order_is_kept (void)
{
  member_t member;
  assignment_t *assignment;
  g_autofree char *text = make_text ('a');

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  assignment = g_hash_table_lookup (fixture->leader.assignments, member.name);
  leader_send_assignment (assignment, member.vm, true);
  start (&member, job, text);
  finish_orders ();
  CU_ASSERT_EQUAL (member.outcome, ORDER_NOT_SENT);
  CU_ASSERT_EQUAL (fake_executor_starts (member.executor), 0);
  assign (&member);
  loop_run_ms (3 * FAKE_EXECUTOR_ANSWER_MS);
  start (&member, job, text);
  finish_orders ();
  CU_ASSERT_EQUAL (member.outcome, ORDER_OK);
  CU_ASSERT_EQUAL (member.missing, 0);
  CU_ASSERT_EQUAL (g_strcmp0 (fake_executor_text (member.executor, 0), text), 0);
  member_close (&member);
}

/* A VM that lacks the text gave the executor an empty one, or the leader left it out forever. */
static void
test_order_without_text_is_not_sent (void)
{
  member_t member;
  g_autofree char *text = make_text ('a');
  text_digest_t digest = text_digest_compute (text);

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  text_table_note (member.vm->texts, &digest, TEXT_BYTES);
  start (&member, job, text);
  finish_orders ();
  CU_ASSERT_EQUAL (member.outcome, ORDER_NOT_SENT);
  CU_ASSERT_EQUAL (member.missing, 1);
  CU_ASSERT_EQUAL (fake_executor_starts (member.executor), 0);
  start (&member, job, text);
  finish_orders ();
  CU_ASSERT_EQUAL (member.outcome, ORDER_OK);
  CU_ASSERT_EQUAL (member.missing, 1);
  CU_ASSERT_EQUAL (g_strcmp0 (fake_executor_text (member.executor, 0), text), 0);
  member_close (&member);
}

/* Gives the VM an order without its text, which has `bytes` of the digest. */
static void
give_known_order (member_t *member, const text_digest_t *digest, gsize bytes)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StartOrder order = MIMOSASTAIR__START_ORDER__INIT;
  Mimosastair__StartOrder *list = &order;
  Mimosastair__TaskRef ref = MIMOSASTAIR__TASK_REF__INIT;

  ref.job = (char *) job;
  order.executor = member->name;
  order.born = BORN;
  order.task = &ref;
  order.text_known = true;
  order.text_digest.data = (guint8 *) digest->bytes;
  order.text_digest.len = bytes;
  frame.n_start = 1;
  frame.start = &list;
  agent_handle_frame (member->agent, &frame);
  loop_run_ms (50);
}

/* A digest of another length was read beyond its end. */
static void
test_malformed_digest_is_not_sent (void)
{
  member_t member;
  g_autofree char *text = make_text ('a');
  text_digest_t digest = text_digest_compute (text);

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  start (&member, job, text);
  finish_orders ();
  give_known_order (&member, &digest, sizeof digest.bytes - 1);
  give_known_order (&member, &digest, 0);
  CU_ASSERT_EQUAL (member.missing, 2);
  CU_ASSERT_EQUAL (fake_executor_starts (member.executor), 1);
  give_known_order (&member, &digest, sizeof digest.bytes);
  CU_ASSERT_EQUAL (member.missing, 2);
  CU_ASSERT_EQUAL (fake_executor_starts (member.executor), 2);
  member_close (&member);
}

/* The leader left out a text that it had sent on a former connection, or that was lost with it; and
 * a VM held the texts of a leader that it had lost. */
static void
test_new_connection_begins_without_texts (void)
{
  member_t member;
  g_autofree char *text = make_text ('a');
  text_digest_t digest = text_digest_compute (text);
  guint64 before;

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  start (&member, job, text);
  finish_orders ();
  /* Queued, and lost with the connection. */
  start (&member, job, text);
  disconnect_member (&member);
  connect_member (&member);
  give_known_order (&member, &digest, sizeof digest.bytes);
  CU_ASSERT_EQUAL (member.missing, 1);
  agent_set_leadership (member.agent, 2, clock_now_us () + 60 * G_USEC_PER_SEC);
  assign (&member);
  loop_run_ms (3 * FAKE_EXECUTOR_ANSWER_MS);
  before = sent_bytes_of ("start");
  start (&member, job, text);
  CU_ASSERT_TRUE (sent_bytes_of ("start") - before > TEXT_BYTES);
  finish_orders ();
  CU_ASSERT_EQUAL (member.outcome, ORDER_OK);
  CU_ASSERT_EQUAL (member.missing, 1);
  member_close (&member);
}

/* The leader counted on the text of an order that its link had not taken. */
static void
test_unsent_text_is_not_counted (void)
{
  member_t member;
  g_autofree char *text = make_text ('a');
  g_autofree char *filler = g_strnfill (4 * 1024 * 1024, 'x');
  text_digest_t digest = text_digest_compute (text);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  open_fixture ();
  member_open (&member, 0, TEXT_TABLE_MAX_TEXTS);
  assign (&member);
  frame.n_cancel = 1;
  frame.cancel = &filler;
  while (link_send (member.vm->link, &frame))
    ;
  start (&member, job, text);
  CU_ASSERT_FALSE (text_table_has (member.vm->texts, &digest));
  member_close (&member);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "gang_sends_text_once_to_each_vm", test_gang_sends_text_once_to_each_vm },
    { "vm_of_earlier_version_gets_all_texts", test_vm_of_earlier_version_gets_all_texts },
    { "id_used_again_has_its_own_text", test_id_used_again_has_its_own_text },
    { "text_of_rejected_order_is_kept", test_text_of_rejected_order_is_kept },
    { "order_without_text_is_not_sent", test_order_without_text_is_not_sent },
    { "malformed_digest_is_not_sent", test_malformed_digest_is_not_sent },
    { "new_connection_begins_without_texts", test_new_connection_begins_without_texts },
    { "unsent_text_is_not_counted", test_unsent_text_is_not_counted },
  };

  return run_suite ("order_texts", tests, G_N_ELEMENTS (tests));
}
