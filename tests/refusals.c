/* Refusals of submissions at a VM whose leader is played by the test.  A refusal states that the
 * job is not stored, so that its caller may give it up: it was also sent for jobs that were stored.
 */
#include "entry/codec.h"
#include "entry/intake.h"
#include "entry/keys.h"
#include "entry/relay.h"
#include "fake_store.h"
#include "harness.h"

#include "base/clock.h"
#include "peer/link.h"
#include "peer/listener.h"

#include <string.h>

#define ID "00000000000000a1"
#define JOB_BYTES_MAX (64 * 1024 * 1024)

enum
{
  WAIT_MS = 2000, /* of callers */
  SHORT_WAIT_MS = 120,
  DELAY_MS = 1500, /* of answers of the store */
  LEASE_MS = 5000,
  CONNECTIONS = 4,
  VALID_US = 10 * 1000 * 1000
};

static fake_service_t *service;
static store_t *direct;
static store_t *store;
static uplink_t *uplink;
static metrics_t *metrics;
static intake_t *intake;

/* The leader.  Its share of room for jobs is empty, and it reserves none. */
static struct
{
  listener_t *listener;
  char *address;
  link_t *link;
  bool knows_job;
  const char *workspace; /* of the job */
  char *job_text;        /* of the job that was announced last */
  guint pongs;
} leader;

typedef struct
{
  bool is_done;
  error_kind_t kind;
} outcome_cell_t;

static void
answer_ping (const Mimosastair__Ping *ping)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Pong pong = MIMOSASTAIR__PONG__INIT;

  pong.sent_us = ping->sent_us;
  pong.ready = true;
  pong.fence = 1;
  pong.valid_us = VALID_US;
  pong.job_share = 1;
  frame.pong = &pong;
  (void) link_send (leader.link, &frame);
  leader.pongs++;
}

static void
answer_ask (const Mimosastair__Ask *ask)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Answer answer = MIMOSASTAIR__ANSWER__INIT;
  Mimosastair__Answer *list = &answer;

  answer.number = ask->number;
  answer.known = leader.knows_job;
  if (leader.workspace != NULL)
    answer.workspace = (char *) leader.workspace;
  frame.n_answer = 1;
  frame.answer = &list;
  (void) link_send (leader.link, &frame);
}

static void
refuse_relay (const Mimosastair__Relay *relay)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__RelayReply reply = MIMOSASTAIR__RELAY_REPLY__INIT;
  Mimosastair__RelayReply *list = &reply;

  reply.number = relay->number;
  reply.status = STORE_UNAVAILABLE;
  frame.n_relay_reply = 1;
  frame.relay_reply = &list;
  (void) link_send (leader.link, &frame);
}

static void
leader_received (link_t *link G_GNUC_UNUSED,
                 const Mimosastair__Frame *frame,
                 void *data G_GNUC_UNUSED)
{
  if (frame->ping != NULL)
    answer_ping (frame->ping);
  for (gsize i = 0; i < frame->n_ask; i++)
    answer_ask (frame->ask[i]);
  for (gsize i = 0; i < frame->n_job; i++)
    {
      g_free (leader.job_text);
      leader.job_text = g_strdup (frame->job[i]->spec);
    }
  for (gsize i = 0; i < frame->n_relay; i++)
    refuse_relay (frame->relay[i]);
}

static void
leader_broken (link_t *link, const char *reason G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  leader.link = NULL;
  link_free (link);
}

static const link_events_t leader_events = { NULL, leader_received, leader_broken };

static void
leader_accepted (GSocketConnection *connection, void *data G_GNUC_UNUSED)
{
  if (leader.link == NULL)
    leader.link = link_accept (connection, &leader_events, NULL);
}

static void
ignore_resignation (gint64 revision G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
ignore_cpu (guint cpu_milli G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static gint64
no_version (void *data G_GNUC_UNUSED)
{
  return 0;
}

static void
ignore_version (gint64 version G_GNUC_UNUSED,
                gint64 confirmed_us G_GNUC_UNUSED,
                void *data G_GNUC_UNUSED)
{
}

static bool
is_led (void *data G_GNUC_UNUSED)
{
  return uplink_is_ready (uplink);
}

/* Starts the parts of a VM; each test has its own, and connects them to the leader if it wants. */
static void
begin (void)
{
  error_info_t error = { .kind = ERROR_NONE };
  uplink_config_t config = { .vm = "a",
                             .zone = "z",
                             .cpu_milli = 250,
                             .job_bytes_max = JOB_BYTES_MAX,
                             .executor_lease_ms = LEASE_MS,
                             .advice_address = "",
                             .leader_resigned = ignore_resignation,
                             .largest_cpu_reported = ignore_cpu,
                             .desired_version = no_version,
                             .desired_reported = ignore_version };

  service = fake_service_new ();
  direct = fake_store_new (service);
  config.store = direct;
  uplink = uplink_new (&config);
  store = relay_new (direct, uplink);
  metrics = metrics_new ();
  intake = intake_new (store, uplink, metrics);
  leader.knows_job = false;
  leader.workspace = NULL;
  leader.listener = listener_new ("127.0.0.1:0", CONNECTIONS, leader_accepted, NULL, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (leader.listener);
  leader.address = g_strdup_printf ("127.0.0.1:%u", listener_port (leader.listener));
}

static void
connect_leader (void)
{
  uplink_set_leader (uplink, leader.address);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_led, NULL));
}

static void
end (void)
{
  intake_free (intake);
  store->calls->free (store);
  uplink_free (uplink);
  g_clear_pointer (&leader.link, link_free);
  listener_free (leader.listener);
  g_free (leader.address);
  direct->calls->free (direct);
  metrics_free (metrics);
  loop_run_ms (10);
  fake_service_free (service);
}

static bool
is_done (void *data)
{
  return ((const outcome_cell_t *) data)->is_done;
}

static void
submitted (error_kind_t kind, gint64 retry_after_ms G_GNUC_UNUSED, void *data)
{
  outcome_cell_t *cell = data;

  cell->kind = kind;
  cell->is_done = true;
}

/* The caller is of workspace "w". */
static void
begin_submit (outcome_cell_t *cell, guint wait_ms)
{
  job_spec_t *spec = g_new0 (job_spec_t, 1);

  g_strlcpy (spec->id, ID, sizeof spec->id);
  spec->queue = g_strdup ("q");
  spec->service = g_strdup ("s");
  spec->workspace = g_strdup ("w");
  spec->spec = g_strdup ("{}");
  *cell = (outcome_cell_t){ .is_done = false };
  intake_submit (intake, spec, "w", clock_now_us () + (gint64) wait_ms * 1000, submitted, cell);
}

static const char *
submit (guint wait_ms)
{
  outcome_cell_t cell;

  begin_submit (&cell, wait_ms);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_done, &cell));
  return error_properties (cell.kind)->name;
}

static void
written (const store_reply_t *reply, void *data)
{
  outcome_cell_t *cell = data;

  cell->kind = reply->status == STORE_DONE ? ERROR_NONE : ERROR_INTERNAL;
  cell->is_done = true;
}

static void
write_record (const char *key, const guint8 *value, gsize bytes)
{
  store_write_t write = { .key = key, .value = value, .value_bytes = bytes };
  outcome_cell_t cell = { .is_done = false };

  direct->calls->txn (direct, NULL, 0, &write, 1, written, &cell);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_done, &cell));
  CU_ASSERT_EQUAL_FATAL (cell.kind, ERROR_NONE);
}

static void
write_job_record (const char *workspace)
{
  Mimosastair__Job job = MIMOSASTAIR__JOB__INIT;
  g_autofree char *key = keys_job (ID);
  g_autofree guint8 *bytes = NULL;

  job.id = (char *) ID;
  job.workspace = (char *) workspace;
  bytes = g_malloc (mimosastair__job__get_packed_size (&job));
  write_record (key, bytes, mimosastair__job__pack (&job, bytes));
}

static void
write_end_record (const char *workspace)
{
  Mimosastair__Ended ended = MIMOSASTAIR__ENDED__INIT;
  g_autofree char *key = keys_end (ID);
  g_autofree guint8 *bytes = NULL;

  ended.workspace = (char *) workspace;
  bytes = g_malloc (mimosastair__ended__get_packed_size (&ended));
  write_record (key, bytes, mimosastair__ended__pack (&ended, bytes));
}

/* Guards against a job without room that is refused although an earlier attempt was accepted, and
 * against one that is said to be not stored when nobody could know. */
static void
test_no_room (void)
{
  begin ();
  connect_leader ();
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "overloaded");
  write_end_record ("w");
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  write_end_record ("v");
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "conflict");
  write_job_record ("w");
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  write_job_record ("v");
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "conflict");
  fake_service_set_down (service, true);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "platform_unavailable");
  fake_service_set_down (service, false);
  end ();
}

/* A caller sends another text under the id of its stored job.  Guards against a leader that is told
 * the text of this request, and has it run in place of the stored one. */
static void
test_other_text (void)
{
  step_spec_t step = { .count = 1 };
  job_spec_t stored = { .id = ID,
                        .spec = (char *) "stored",
                        .steps = &step,
                        .step_count = 1,
                        .queue = (char *) "q",
                        .service = (char *) "s",
                        .workspace = (char *) "w" };
  g_autofree char *key = keys_job (ID);
  g_autofree guint8 *bytes = NULL;
  gsize size;

  begin ();
  connect_leader ();
  leader.knows_job = true;
  bytes = codec_pack_job (&stored, &size);
  write_record (key, bytes, size);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  loop_run_ms (SHORT_WAIT_MS);
  CU_ASSERT_STRING_EQUAL (leader.job_text, "stored");
  end ();
  g_clear_pointer (&leader.job_text, g_free);
}

/* Whether the service is taken to answer this VM. */
static void
set_direct_path (bool is_usable)
{
  direct->health.failures = is_usable ? 0 : 1;
}

/* Guards against a job that the leader knows and that is refused, and against refusals that wait
 * although there is nobody to ask. */
static void
test_no_path (void)
{
  gint64 begun_us = clock_now_us ();

  begin ();
  set_direct_path (false);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "platform_unavailable");
  CU_ASSERT_TRUE (clock_now_us () - begun_us < 1000 * 1000);
  connect_leader ();
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "platform_unavailable");
  leader.knows_job = true;
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  leader.workspace = "w";
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  leader.workspace = "v";
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "conflict");
  end ();
}

/* Guards against a refusal of a job whose earlier write may still be carried out. */
static void
test_write_without_answer (void)
{
  begin ();
  fake_service_set_down (service, true);
  CU_ASSERT_STRING_EQUAL (submit (SHORT_WAIT_MS), "answer_lost");
  fake_service_set_down (service, false);
  set_direct_path (false);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "answer_lost");
  set_direct_path (true);
  connect_leader ();
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "answer_lost");
  write_job_record ("w");
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "none");
  end ();
}

/* Guards against a refusal of a job that an earlier request is storing, or has just stored. */
static void
test_open_write (void)
{
  outcome_cell_t first;

  begin ();
  fake_service_set_delay (service, DELAY_MS);
  begin_submit (&first, WAIT_MS);
  set_direct_path (false);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "answer_lost");
  CU_ASSERT_FALSE (first.is_done);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_done, &first));
  CU_ASSERT_EQUAL (first.kind, ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (submit (WAIT_MS), "answer_lost");
  end ();
}

/* Guards against texts that state more than is known. */
static void
test_details (void)
{
  CU_ASSERT_PTR_NOT_NULL (strstr (intake_submit_detail (ERROR_OVERLOADED), "job is not stored"));
  CU_ASSERT_PTR_NULL (strstr (intake_submit_detail (ERROR_PLATFORM_UNAVAILABLE), "not stored"));
  CU_ASSERT_PTR_NULL (strstr (intake_submit_detail (ERROR_ANSWER_LOST), "not stored"));
  CU_ASSERT_PTR_NULL (strstr (intake_cancel_detail (ERROR_ANSWER_LOST), "not stored"));
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "no_room", test_no_room },       { "other_text", test_other_text },
    { "no_path", test_no_path },       { "write_without_answer", test_write_without_answer },
    { "open_write", test_open_write }, { "details", test_details },
  };

  return run_suite ("refusals", tests, G_N_ELEMENTS (tests));
}
