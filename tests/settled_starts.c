/* Tests of the scheduler: what the last leader knew of the starts that it ordered.
 *
 * A task that lasts has to run again soon after its executor crashed around a change of leader;
 * and a run whose start is not known must not be taken for one that has ended. */
#include "harness.h"
#include "scheduler_fixture.h"

enum
{
  LEASE_MS = 5000,
  LEASE_MAX_MS = 10000,
  LEADER_LEASE_MS = 2000,
  LEASE_MARGIN_MS = 250,
  CALL_DELAY_MAX_MS = 12000,
  AFTER_RUN_MAX_MS = 9000, /* a task that lasts must run again by then */
  WAIT_MAX_MS = 60000,
  STEP_MS = 50
};

static const scheduler_limits_t limits = { .executor_lease_us = LEASE_MS * MS,
                                           .executor_lease_max_us = LEASE_MAX_MS * MS,
                                           .leader_lease_us = LEADER_LEASE_MS * MS,
                                           .gang_wait_us = GANG_WAIT_MS * MS,
                                           .remote_factor = 2.0 };

static void
list_at (fixture_t *fixture, const char *id, const char *address, gint64 born)
{
  executor_entry_t entry = {
    .id = id,
    .address = address,
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .born = born,
  };

  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
}

static job_spec_t *
make_lasting_job (void)
{
  job_spec_t *spec = make_job_spec (1, 1, 1000);

  spec->steps[0].long_running = true;
  return spec;
}

/* A new leader, with run 1 of a task that lasts on incarnation 1 of e1. */
static fixture_t *
hand_over (bool is_start_known, bool is_steady)
{
  fixture_t *fixture = fixture_new_with_limits (1, &limits);
  placed_run_t placed = { .run = 1,
                          .executor = "e1",
                          .born = 1,
                          .task = task_ref (1, 0),
                          .is_start_known = is_start_known,
                          .is_steady = is_steady };

  add_job (fixture, make_lasting_job (), true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  return fixture;
}

/* Runs rounds until the task is started again.  Returns the time until then. */
static gint64
wait_for_start (fixture_t *fixture)
{
  gint64 began_us = fixture->now_us;

  while (fixture->now_us < began_us + WAIT_MAX_MS * MS)
    {
      step (fixture);
      if (next_issued (fixture, 's') != NULL)
        break;
      fixture->now_us += STEP_MS * MS;
    }
  return (fixture->now_us - began_us) / MS;
}

/* The executor crashed around the hand-over; the next one is at its address. */
static gint64
time_replaced (bool is_start_known)
{
  fixture_t *fixture = hand_over (is_start_known, false);
  gint64 waited_ms;

  list_at (fixture, "e1", "a1", 1);
  list_at (fixture, "e2", "a1", 2);
  report (fixture, "e2", 2, 0, NULL, 0, NULL, 0);
  waited_ms = wait_for_start (fixture);
  fixture_free (fixture);
  return waited_ms;
}

static void
test_lost_crash_around_hand_over (void)
{
  CU_ASSERT (time_replaced (true) < 1000);
}

static void
test_twice_unknown_start_around_hand_over (void)
{
  CU_ASSERT (time_replaced (false) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS);
}

/* The executor is silent, and nothing is at its address. */
static gint64
time_silent (bool is_steady)
{
  fixture_t *fixture = hand_over (true, is_steady);
  gint64 waited_ms;

  list_at (fixture, "e1", "a1", 1);
  add_ready_executor (fixture, "e2");
  waited_ms = wait_for_start (fixture);
  fixture_free (fixture);
  return waited_ms;
}

static void
test_lost_silent_after_hand_over (void)
{
  CU_ASSERT (time_silent (true) < AFTER_RUN_MAX_MS);
}

static void
test_twice_lease_of_any_length_after_hand_over (void)
{
  CU_ASSERT (time_silent (false) >= LEASE_MAX_MS * 1.02 + LEASE_MARGIN_MS);
  /* VMs may act for the earlier leader for some time. */
  CU_ASSERT (time_silent (true) >= LEADER_LEASE_MS + LEASE_MS * 1.02 + LEASE_MARGIN_MS);
}

/* The executor has started again under its id. */
static gint64
time_restarted (bool is_start_known)
{
  fixture_t *fixture = hand_over (is_start_known, false);
  gint64 waited_ms;

  list_executor (fixture, "e1", 2, false);
  add_ready_executor (fixture, "e2");
  waited_ms = wait_for_start (fixture);
  fixture_free (fixture);
  return waited_ms;
}

static void
test_lost_restart_around_hand_over (void)
{
  CU_ASSERT (time_restarted (true) < 1000);
  /* Without an answer, any incarnation may have carried the start out. */
  CU_ASSERT (time_restarted (false) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS);
}

/* The end of a restored run of a task that ends; returns what may be acknowledged at once. */
static guint64
acked_after_hand_over (bool is_start_known, bool may_former_repeat)
{
  fixture_t *fixture = fixture_new_with_limits (1, &limits);
  placed_run_t placed = {
    .run = 1, .executor = "e1", .born = 1, .task = task_ref (1, 0), .is_start_known = is_start_known
  };
  reported_end_t end = { .number = 1, .task = task_ref (1, 0), .run = 1, .how = END_DONE };
  guint64 acked;

  add_job (fixture, make_job_spec (1, 1, 1000), true);
  scheduler_set_former_repeats (fixture->scheduler, may_former_repeat);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 1, false);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  scheduler_batch_stored (fixture->scheduler, scheduler_batch_begin (fixture->scheduler));
  acked = fixture->acked;
  fixture_free (fixture);
  return acked;
}

static void
test_lost_acknowledgements_after_hand_over (void)
{
  CU_ASSERT_EQUAL (acked_after_hand_over (true, true), 1);
  CU_ASSERT_EQUAL (acked_after_hand_over (false, true), 0);
}

static void
expect_open (fixture_t *fixture, guint count)
{
  settled_starts_t settled;

  scheduler_get_settled_starts (fixture->scheduler, &settled, fixture->now_us);
  CU_ASSERT_EQUAL (settled.open->len, count);
  CU_ASSERT (settled.below > RESTORED_PLACEMENT_LIMIT);
  settled_starts_clear (&settled);
}

static void
test_twice_unanswered_start_stays_open (void)
{
  fixture_t *fixture = fixture_new_with_limits (0, &limits);
  const issued_order_t *order;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_lasting_job (), false);
  step (fixture);
  expect_open (fixture, 1);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  expect_open (fixture, 1);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  report (fixture, "e1", 1, fixture->mark, NULL, 0, NULL, 0);
  /* The run is gone; its record may still be found, and its order carried out. */
  CU_ASSERT_NOT_EQUAL (fixture->deleted_placement, 0);
  fixture->now_us += (LEADER_LEASE_MS + CALL_DELAY_MAX_MS + LEASE_MAX_MS) * MS;
  expect_open (fixture, 1);
  CU_ASSERT_EQUAL (scheduler_known_starts (fixture->scheduler), 0);
  fixture->now_us += LEASE_MAX_MS * MS;
  expect_open (fixture, 0);
  fixture_free (fixture);
}

/* What is known is known of each run, not of its placement. */
static void
test_lost_open_start_holds_back_no_other (void)
{
  fixture_t *fixture = fixture_new_with_limits (0, &limits);
  const issued_order_t *order;
  settled_starts_t settled;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 3, 1000), false);
  step (fixture);
  expect_open (fixture, 3);
  while ((order = next_issued (fixture, 's')) != NULL)
    scheduler_order_result (fixture->scheduler, order->order,
                            order->index == 1 ? ORDER_NO_ANSWER : ORDER_OK, fixture->now_us);
  scheduler_get_settled_starts (fixture->scheduler, &settled, fixture->now_us);
  CU_ASSERT_EQUAL_FATAL (settled.open->len, 1);
  CU_ASSERT_EQUAL (g_array_index (settled.open, open_start_t, 0).run, 1);
  settled_starts_clear (&settled);
  fixture_free (fixture);
}

static void
test_answered_or_listed_start_is_known (void)
{
  reported_run_t running = { .task = task_ref (1, 0), .run = 1 };

  for (guint is_listed = 0; is_listed < 2; is_listed++)
    {
      fixture_t *fixture = fixture_new_with_limits (0, &limits);
      const issued_order_t *order;

      add_ready_executor (fixture, "e1");
      add_job (fixture, make_lasting_job (), false);
      step (fixture);
      order = expect_issued (fixture, 's');
      if (is_listed)
        report (fixture, "e1", 1, fixture->mark, &running, 1, NULL, 0);
      else
        scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
      expect_open (fixture, 0);
      CU_ASSERT_EQUAL (scheduler_known_starts (fixture->scheduler), 1);
      fixture_free (fixture);
    }
}

/* The next incarnation has carried the order out: the record names the former one. */
static void
test_twice_start_listed_by_next_incarnation_stays_open (void)
{
  fixture_t *fixture = fixture_new_with_limits (0, &limits);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1 };

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_lasting_job (), false);
  step (fixture);
  (void) expect_issued (fixture, 's');
  report (fixture, "e1", 2, fixture->mark, &running, 1, NULL, 0);
  expect_open (fixture, 1);
  fixture_free (fixture);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "lost_crash_around_hand_over", test_lost_crash_around_hand_over },
    { "twice_unknown_start_around_hand_over", test_twice_unknown_start_around_hand_over },
    { "lost_silent_after_hand_over", test_lost_silent_after_hand_over },
    { "twice_lease_of_any_length_after_hand_over", test_twice_lease_of_any_length_after_hand_over },
    { "lost_restart_around_hand_over", test_lost_restart_around_hand_over },
    { "lost_acknowledgements_after_hand_over", test_lost_acknowledgements_after_hand_over },
    { "twice_unanswered_start_stays_open", test_twice_unanswered_start_stays_open },
    { "lost_open_start_holds_back_no_other", test_lost_open_start_holds_back_no_other },
    { "answered_or_listed_start_is_known", test_answered_or_listed_start_is_known },
    { "twice_start_listed_by_next_incarnation_stays_open",
      test_twice_start_listed_by_next_incarnation_stays_open },
  };

  return run_suite ("settled_starts", tests, G_N_ELEMENTS (tests));
}
