/* Tests of the scheduler: an executor has ended more runs than its reports list.
 *
 * A run whose end is still to be listed is neither gone nor stalled, and the list must go on. */
#include "harness.h"
#include "scheduler_fixture.h"

enum
{
  CALL_DELAY_MAX_MS = 12000,
  LEADER_LEASE_MS = 2000,
  STALL_MS = 2500,
  REPORT_INTERVAL_MS = 200,
  OTHER_JOB = 2 /* of the ends that a report lists */
};

/* Reports on e1: what runs, one end of another job, and that there are more ends. */
static void
report_part (fixture_t *fixture, const reported_run_t *running, guint running_count)
{
  reported_end_t end
      = { .number = 1, .task = task_ref (OTHER_JOB, 0), .run = 1, .how = END_STOPPED };
  executor_report_t message = {
    .executor = "e1",
    .is_reachable = true,
    .is_lease_requested = true,
    .fence_step = fixture_step (fixture, "e1")->step,
    .born = 1,
    .mark = fixture->mark,
    .running = running,
    .running_count = running_count,
    .ended = &end,
    .ended_count = 1,
    .has_more_ends = true,
  };

  scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
}

/* Reports in this way for `ms`, during which rounds are run. */
static void
report_part_for (fixture_t *fixture, gint64 ms)
{
  for (gint64 passed_ms = 0; passed_ms < ms; passed_ms += REPORT_INTERVAL_MS)
    {
      fixture->now_us += REPORT_INTERVAL_MS * MS;
      report_part (fixture, NULL, 0);
      step (fixture);
    }
}

static void
report_end (fixture_t *fixture, guint64 number, guint run, end_reason_t how)
{
  reported_end_t end = { .number = number, .task = task_ref (1, 0), .run = run, .how = how };

  report (fixture, "e1", 1, fixture->mark, NULL, 0, &end, 1);
  step (fixture);
  fixture->now_us += REPORT_INTERVAL_MS * MS;
  step (fixture);
}

static void
expect_no_orders (fixture_t *fixture)
{
  guint read_count = fixture->read_count;

  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->read_count = read_count;
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'x'));
}

/* Starts run 1 of a task on e1. */
static fixture_t *
start_task (void)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  return fixture;
}

/* A fixture of a new leader with run 1 of a task of an earlier one, placed on e1. */
static fixture_t *
restore_task (void)
{
  fixture_t *fixture = fixture_new (1, LEADER_LEASE_MS * MS);
  placed_run_t placed = { .run = 1, .executor = "e1", .born = 1, .task = task_ref (1, 0) };

  add_job (fixture, make_job_spec (1, 1, 1000), true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 1, false);
  return fixture;
}

static void
test_twice_end_beyond_list_is_no_stall (void)
{
  fixture_t *fixture = start_task ();
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .percent = 40 };

  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  report_part_for (fixture, 4 * STALL_MS);
  expect_no_orders (fixture);
  report_end (fixture, 2, 1, END_DONE);
  expect_no_orders (fixture);
  CU_ASSERT_EQUAL (fixture->end_state, JOB_SUCCEEDED);
  fixture_free (fixture);
}

static void
test_twice_end_beyond_list_after_stop (void)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);
  const issued_order_t *order;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  add_ready_executor (fixture, "e2");
  report_part_for (fixture, 2 * CALL_DELAY_MAX_MS);
  expect_no_orders (fixture);
  report_end (fixture, 2, 1, END_DONE);
  expect_no_orders (fixture);
  CU_ASSERT_EQUAL (fixture->end_state, JOB_SUCCEEDED);
  fixture_free (fixture);
}

static void
test_twice_end_beyond_list_after_hand_over (void)
{
  fixture_t *fixture = restore_task ();

  report_part (fixture, NULL, 0);
  add_ready_executor (fixture, "e2");
  report_part_for (fixture, 2 * CALL_DELAY_MAX_MS);
  expect_no_orders (fixture);
  report_end (fixture, 2, 1, END_DONE);
  expect_no_orders (fixture);
  CU_ASSERT_EQUAL (fixture->end_state, JOB_SUCCEEDED);
  fixture_free (fixture);
}

/* Ends could be listed again forever, and what ran was never known to have ended. */
static void
test_lost_list_goes_on_after_hand_over (void)
{
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .percent = 40 };

  for (guint is_listed = 0; is_listed < 2; is_listed++)
    {
      fixture_t *fixture = restore_task ();

      report_part (fixture, &running, is_listed);
      report_part_for (fixture, LEADER_LEASE_MS + CALL_DELAY_MAX_MS + 1000);
      CU_ASSERT_EQUAL (fixture->acked, 1);
      report_end (fixture, 2, 1, END_FAILED);
      CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
      fixture_free (fixture);
    }
}

static void
test_lost_list_goes_on_after_unanswered_start (void)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);
  const issued_order_t *order;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  report_part_for (fixture, CALL_DELAY_MAX_MS - 1000);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  report_part_for (fixture, 2000);
  CU_ASSERT_EQUAL (fixture->acked, 1);
  report_end (fixture, 2, 1, END_FAILED);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* The job has ended with another member of the gang, so that no batch follows. */
static void
test_lost_end_that_changes_nothing_is_acknowledged (void)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);
  job_spec_t *spec = make_job_spec (1, 2, 1000);
  reported_end_t ends[] = { { .number = 1, .task = task_ref (1, 0), .run = 1, .how = END_DONE },
                            { .number = 2, .task = task_ref (1, 1), .run = 1, .how = END_DONE } };
  const issued_order_t *start;

  spec->steps[0].gang = true;
  add_ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  while ((start = next_issued (fixture, 's')) != NULL)
    scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  report (fixture, "e1", 1, fixture->mark, NULL, 0, &ends[0], 1);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  scheduler_batch_stored (fixture->scheduler, scheduler_batch_begin (fixture->scheduler));
  CU_ASSERT_EQUAL (fixture->acked, 1);
  report (fixture, "e1", 1, fixture->mark, NULL, 0, &ends[1], 1);
  CU_ASSERT_EQUAL (fixture->acked, 2);
  fixture_free (fixture);
}

/* The end of a new run would be listed last. */
static void
test_lost_no_start_behind_long_list (void)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);

  add_ready_executor (fixture, "e1");
  report_part (fixture, NULL, 0);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  expect_no_orders (fixture);
  report (fixture, "e1", 1, fixture->mark, NULL, 0, NULL, 0);
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "twice_end_beyond_list_is_no_stall", test_twice_end_beyond_list_is_no_stall },
    { "twice_end_beyond_list_after_stop", test_twice_end_beyond_list_after_stop },
    { "twice_end_beyond_list_after_hand_over", test_twice_end_beyond_list_after_hand_over },
    { "lost_list_goes_on_after_hand_over", test_lost_list_goes_on_after_hand_over },
    { "lost_list_goes_on_after_unanswered_start", test_lost_list_goes_on_after_unanswered_start },
    { "lost_end_that_changes_nothing_is_acknowledged",
      test_lost_end_that_changes_nothing_is_acknowledged },
    { "lost_no_start_behind_long_list", test_lost_no_start_behind_long_list },
  };

  return run_suite ("partial_ends", tests, G_N_ELEMENTS (tests));
}
