/* When the leader hands over because the store does not answer it: soon if the store answers the
 * other VMs, and never because it is silent or slow for all, or loses single answers. */
#include "harness.h"

#include "decide/store_silence.h"

enum
{
  VMS = 3,
  STEP_MS = 10,
  PING_MS = 250,
  NEVER = -1
};

static const gint64 begin_us = (gint64) 1000000 * 1000;
/* What the VMs' clocks show when the leader's shows 0. */
static const gint64 vm_clock_us = 77 * G_USEC_PER_SEC;

/* A fleet at one service, in steps of STEP_MS: the leader and the VMs make calls. */
typedef struct
{
  gint64 ms; /* that have passed */
  store_silence_t silence;
  store_own_calls_t own;
  store_report_t reports[VMS];
  guint vms;
  gint64 vm_answered_ms[VMS];
  guint call_ms; /* between two calls of the leader */
  guint vm_call_ms;
  guint response_ms;
  guint ping_transit_ms;
  gint64 leader_silent_ms; /* from then on; NEVER */
  gint64 vms_silent_ms;
  bool pings_tell;
  GRand *random; /* NULL: no answer is lost */
} fleet_t;

static fleet_t
fleet_new (guint vms)
{
  fleet_t fleet = { .vms = vms,
                    .call_ms = 20,
                    .vm_call_ms = 20,
                    .response_ms = 10,
                    .leader_silent_ms = NEVER,
                    .vms_silent_ms = NEVER,
                    .pings_tell = true };

  fleet.own.elected_us = begin_us - 60 * G_USEC_PER_SEC;
  fleet.own.response_us = 10000;
  return fleet;
}

static bool
is_silent (gint64 from_ms, gint64 ms)
{
  return from_ms != NEVER && ms >= from_ms;
}

static bool
is_lost (const fleet_t *fleet)
{
  return fleet->random != NULL && g_rand_int_range (fleet->random, 0, 10) < 3;
}

static void
ping (fleet_t *fleet, guint vm, gint64 ms)
{
  gint64 sent_ms = ms - fleet->ping_transit_ms;
  gint64 age_us = MAX ((sent_ms - fleet->vm_answered_ms[vm]) * 1000, 1);

  store_report_ping (&fleet->reports[vm], begin_us + ms * 1000, sent_ms * 1000 + vm_clock_us,
                     fleet->pings_tell ? (guint64) age_us : 0);
}

static void
send_call (fleet_t *fleet, gint64 ms)
{
  if (fleet->own.unanswered_since_us == 0)
    fleet->own.unanswered_since_us = begin_us + ms * 1000;
  fleet->own.unanswered_calls++;
}

/* The call that was sent `response_ms` before has its answer. */
static void
receive (fleet_t *fleet, gint64 ms)
{
  if (is_silent (fleet->leader_silent_ms, ms - fleet->response_ms) || is_lost (fleet))
    return;
  fleet->own.unanswered_since_us = 0;
  fleet->own.unanswered_calls = 0;
  fleet->own.response_us = fleet->response_ms * 1000;
}

/* Returns the time at which the leader steps down; NEVER within `end_ms`. */
static gint64
run (fleet_t *fleet, gint64 end_ms)
{
  gint64 probe_ms = NEVER;

  for (; fleet->ms < end_ms; fleet->ms += STEP_MS)
    {
      gint64 ms = fleet->ms;

      for (guint vm = 0; vm < fleet->vms; vm++)
        {
          if (!is_silent (fleet->vms_silent_ms, ms) && (ms + 7 * vm) % fleet->vm_call_ms < STEP_MS)
            fleet->vm_answered_ms[vm] = ms;
          if ((ms + 30 * vm) % PING_MS < STEP_MS)
            ping (fleet, vm, ms);
        }
      if (ms >= fleet->response_ms && (ms - fleet->response_ms) % fleet->call_ms < STEP_MS)
        receive (fleet, ms);
      if (probe_ms != NEVER && ms == probe_ms + fleet->response_ms)
        receive (fleet, ms);
      if (ms % fleet->call_ms < STEP_MS)
        send_call (fleet, ms);
      if (ms % STORE_SILENCE_CHECK_MS != 0)
        continue;
      switch (store_silence_check (&fleet->silence, &fleet->own, fleet->reports, fleet->vms,
                                   begin_us + ms * 1000))
        {
        case STORE_SILENCE_NONE:
          break;
        case STORE_SILENCE_PROBE:
          probe_ms = ms;
          send_call (fleet, ms);
          break;
        case STORE_SILENCE_STEP_DOWN:
          return ms;
        }
    }
  return NEVER;
}

static void
test_leader_only (void)
{
  for (guint vms = 1; vms <= VMS; vms++)
    {
      fleet_t fleet = fleet_new (vms);
      gint64 ms;

      fleet.leader_silent_ms = 2000;
      ms = run (&fleet, 10000);
      /* With few VMs, the next ping of the second one is waited for. */
      CU_ASSERT (ms >= 2250 && ms <= 2450);
    }
}

/* An idle leader makes a call in 400 ms: the first unanswered one begins the silence. */
static void
test_leader_only_idle (void)
{
  fleet_t fleet = fleet_new (VMS);
  gint64 ms;

  fleet.call_ms = 400;
  fleet.vm_call_ms = 400;
  fleet.leader_silent_ms = 2000;
  ms = run (&fleet, 10000);
  CU_ASSERT (ms >= 2250 && ms <= 3000);
}

static void
test_silent_for_all (void)
{
  for (gint64 lead_ms = -100; lead_ms <= 50; lead_ms += STEP_MS)
    {
      fleet_t fleet = fleet_new (VMS);

      fleet.leader_silent_ms = 2000;
      fleet.vms_silent_ms = 2000 + lead_ms;
      CU_ASSERT_EQUAL (run (&fleet, 10000), NEVER);
    }
}

/* Pings that queue on their way look as if the answers in them had just come. */
static void
test_silent_for_all_delayed_pings (void)
{
  fleet_t fleet = fleet_new (VMS);

  CU_ASSERT_EQUAL (run (&fleet, 2000), NEVER);
  fleet.leader_silent_ms = 2000;
  fleet.vms_silent_ms = 2000;
  fleet.ping_transit_ms = 400;
  CU_ASSERT_EQUAL (run (&fleet, 5000), NEVER);
}

/* A paused leader has answers to read when it goes on. */
static void
test_paused_leader (void)
{
  fleet_t fleet = fleet_new (VMS);

  (void) run (&fleet, 1000);
  send_call (&fleet, 1000);
  for (guint vm = 0; vm < VMS; vm++)
    {
      fleet.vm_answered_ms[vm] = 3000;
      ping (&fleet, vm, 3000);
    }
  for (guint i = 0; i < 3; i++)
    send_call (&fleet, 1000);
  CU_ASSERT_NOT_EQUAL (
      store_silence_check (&fleet.silence, &fleet.own, fleet.reports, VMS, begin_us + 3000000),
      STORE_SILENCE_STEP_DOWN);
  CU_ASSERT_NOT_EQUAL (
      store_silence_check (&fleet.silence, &fleet.own, fleet.reports, VMS, begin_us + 3050000),
      STORE_SILENCE_STEP_DOWN);
}

static void
test_slow_for_all (void)
{
  fleet_t fleet = fleet_new (VMS);

  CU_ASSERT_EQUAL (run (&fleet, 2000), NEVER);
  fleet.response_ms = 200;
  fleet.call_ms = 400;
  fleet.vm_call_ms = 400;
  CU_ASSERT_EQUAL (run (&fleet, 20000), NEVER);
  /* The leader still steps down if the slow service then ignores it: after three answers' time. */
  fleet.leader_silent_ms = 20000;
  CU_ASSERT (run (&fleet, 40000) >= 20600);
}

static void
test_lost_answers (void)
{
  guint hand_overs = 0;

  for (guint seed = 1; seed <= 50; seed++)
    {
      fleet_t fleet = fleet_new (VMS);

      fleet.random = g_rand_new_with_seed (seed);
      hand_overs += run (&fleet, 60000) != NEVER;
      g_rand_free (fleet.random);
    }
  CU_ASSERT_EQUAL (hand_overs, 0);
}

/* An idle leader makes few calls, of which one may be lost: the probes are answered. */
static void
test_lost_answer_of_idle_leader (void)
{
  fleet_t fleet = fleet_new (VMS);

  fleet.call_ms = 400;
  fleet.own.unanswered_since_us = begin_us;
  fleet.own.unanswered_calls = 1;
  fleet.response_ms = 30;
  fleet.ms = 40; /* the answer to the call at 0 would have come */
  CU_ASSERT_EQUAL (run (&fleet, 390), NEVER);
  CU_ASSERT_EQUAL (fleet.own.unanswered_calls, 0);
}

static void
test_pings_without_times (void)
{
  fleet_t fleet = fleet_new (VMS);

  fleet.pings_tell = false;
  fleet.leader_silent_ms = 2000;
  CU_ASSERT_EQUAL (run (&fleet, 10000), NEVER);
  CU_ASSERT_FALSE (fleet.reports[0].is_known);
}

/* One of two VMs may be wrong; a hand-over needs both. */
static void
test_one_answer_of_three (void)
{
  fleet_t fleet = fleet_new (VMS);

  fleet.leader_silent_ms = 2000;
  fleet.vms_silent_ms = 2000;
  CU_ASSERT_EQUAL (run (&fleet, 2500), NEVER);
  for (gint64 ms = 2500; ms < 4000; ms += STORE_SILENCE_CHECK_MS)
    {
      fleet.vm_answered_ms[0] = ms;
      ping (&fleet, 0, ms);
      CU_ASSERT_EQUAL (store_silence_check (&fleet.silence, &fleet.own, fleet.reports, VMS,
                                            begin_us + ms * 1000),
                       STORE_SILENCE_NONE);
    }
}

/* The leader's own answer may come at the same time as those of the others, if the service became
 * slow a moment ago. */
static void
test_answers_just_come (void)
{
  fleet_t fleet = fleet_new (VMS);

  fleet.leader_silent_ms = 2000;
  fleet.vms_silent_ms = 2000;
  CU_ASSERT_EQUAL (run (&fleet, 2500), NEVER);
  for (guint vm = 0; vm < VMS; vm++)
    {
      fleet.vm_answered_ms[vm] = 2500;
      ping (&fleet, vm, 2500);
    }
  CU_ASSERT_EQUAL (
      store_silence_check (&fleet.silence, &fleet.own, fleet.reports, VMS, begin_us + 2500000),
      STORE_SILENCE_NONE);
  CU_ASSERT_EQUAL (
      store_silence_check (&fleet.silence, &fleet.own, fleet.reports, VMS, begin_us + 2550000),
      STORE_SILENCE_STEP_DOWN);
}

/* The next leader is silent as well: leadership must not go round. */
static void
test_two_leaders_in_a_row (void)
{
  fleet_t fleet = fleet_new (VMS);

  fleet.own.elected_us = begin_us;
  fleet.leader_silent_ms = 500;
  CU_ASSERT (run (&fleet, 10000) >= 5000);
}

/* Numbers from outside must not overflow. */
static void
test_odd_pings (void)
{
  static const gint64 times[] = { G_MININT64, -1, 0, 1, G_MAXINT64 / 8, G_MAXINT64 };
  static const guint64 ages[] = { 0, 1, G_MAXINT64, G_MAXUINT64 };
  store_report_t report = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (times); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (ages); j++)
        {
          store_report_ping (&report, begin_us, times[i], ages[j]);
          CU_ASSERT (report.answered_us <= begin_us);
        }
    }
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "silent for the leader only", test_leader_only },
    { "silent for an idle leader only", test_leader_only_idle },
    { "silent for all", test_silent_for_all },
    { "silent for all, pings delayed", test_silent_for_all_delayed_pings },
    { "the leader was paused", test_paused_leader },
    { "slow for all", test_slow_for_all },
    { "lost answers", test_lost_answers },
    { "a lost answer of an idle leader", test_lost_answer_of_idle_leader },
    { "pings without times", test_pings_without_times },
    { "one answer of three VMs", test_one_answer_of_three },
    { "answers that just come", test_answers_just_come },
    { "two leaders in a row", test_two_leaders_in_a_row },
    { "odd pings", test_odd_pings },
  };

  return run_suite ("store_silence", tests, G_N_ELEMENTS (tests));
}
