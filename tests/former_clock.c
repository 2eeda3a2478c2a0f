/* Tests of the scheduler: an executor starts again under its id, and calls that were meant for its
 * former incarnation reach the next one.  Their leases are on the former clock, so the executor
 * takes them for the longest that it accepts, counted from when it carries them out. */
#include "harness.h"
#include "scheduler_fixture.h"

#include "decide/fence_token.h"

enum
{
  LEASE_MS = 5000,
  LEASE_MAX_MS = 10000,
  LEADER_LEASE_MS = 2000,
  CALL_DELAY_MAX_MS = 12000
};

static fixture_t *
open_fixture (guint epoch)
{
  scheduler_limits_t limits = { .executor_lease_us = LEASE_MS * MS,
                                .executor_lease_max_us = LEASE_MAX_MS * MS,
                                .leader_lease_us = LEADER_LEASE_MS * MS,
                                .gang_wait_us = GANG_WAIT_MS * MS,
                                .remote_factor = 2.0 };

  return fixture_new_with_limits (epoch, &limits);
}

/* The VM's hold request got no answer; it may have renewed the lease. */
static void
report_unreachable (fixture_t *fixture, const char *id)
{
  executor_report_t message = { .executor = id,
                                .is_lease_requested = true,
                                .fence_step = fixture_step (fixture, id)->step };

  scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
}

static void
report_restart (fixture_t *fixture, const char *id, gint64 born)
{
  list_executor (fixture, id, born, false);
  report (fixture, id, born, 0, NULL, 0, NULL, 0);
  /* The VM has been told the next step, and the executor answers with that. */
  report (fixture, id, born, 0, NULL, 0, NULL, 0);
}

static void
start_on (fixture_t *fixture, const char *id)
{
  const issued_order_t *start;

  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, id);
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
}

/* Runs rounds until a task starts; returns the milliseconds that it takes, at most `limit_ms`. */
static gint64
ms_until_start (fixture_t *fixture, gint64 limit_ms)
{
  gint64 from_us = fixture->now_us;

  while (fixture->now_us < from_us + limit_ms * MS)
    {
      step (fixture);
      if (next_issued (fixture, 's') != NULL)
        break;
      fixture->now_us += 50 * MS;
    }
  return (fixture->now_us - from_us) / MS;
}

/* TWICE: the executor is cut off soon after it started again. */
static void
test_twice_lease_of_former_clock (void)
{
  fixture_t *fixture = open_fixture (0);

  add_ready_executor (fixture, "e1");
  fixture->now_us += 60000 * MS;
  report_restart (fixture, "e1", 2);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  start_on (fixture, "e1");
  fixture->now_us += 900 * MS;
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 30000) >= LEASE_MAX_MS * 1.02 - 900);
  fixture_free (fixture);
}

/* The longer wait holds only as long as such a lease may last. */
static void
test_wait_for_settled_executor (void)
{
  fixture_t *fixture = open_fixture (0);
  gint64 waited_ms;

  add_ready_executor (fixture, "e1");
  fixture->now_us += 60000 * MS;
  report_restart (fixture, "e1", 2);
  fixture->now_us += LEASE_MAX_MS * MS;
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  start_on (fixture, "e1");
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  waited_ms = ms_until_start (fixture, 30000);
  CU_ASSERT (waited_ms >= LEASE_MS * 1.02);
  CU_ASSERT (waited_ms <= LEASE_MS * 1.02 + 500);
  fixture_free (fixture);
}

/* A fixture whose leader follows one that placed the only task on this incarnation of e1; the
 * registry has the entry of incarnation 2. */
static fixture_t *
open_with_restored_run (gint64 placed_born)
{
  fixture_t *fixture = open_fixture (1);
  placed_run_t placed
      = { .task = task_ref (1, 0), .run = 1, .executor = "e1", .born = placed_born };

  add_job (fixture, make_job_spec (1, 1, 4000), true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 2, false);
  return fixture;
}

/* TWICE: a new leader does not know how long ago the executor started again. */
static void
check_new_leader (bool is_reached)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };

  if (is_reached)
    report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 30000) >= LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

static void
test_twice_lease_of_former_clock_after_new_leader (void)
{
  check_new_leader (true);
}

static void
test_twice_lease_of_former_clock_unknown_to_new_leader (void)
{
  check_new_leader (false);
}

/* The executor started again before the change of leader, and carries out a start order of the
 * former leader late.  `placed_born`: as the record of the run names its incarnation. */
static void
check_late_start_before_new_leader (gint64 placed_born)
{
  fixture_t *fixture = open_with_restored_run (placed_born);

  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 60000) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

static void
test_twice_late_start_unknown_to_new_leader (void)
{
  check_late_start_before_new_leader (1);
}

/* Records of an earlier version do not name the incarnation. */
static void
test_twice_late_start_of_unnamed_incarnation (void)
{
  check_late_start_before_new_leader (0);
}

/* TWICE: the order of the former leader may have got no answer, and an incarnation that is not
 * listed yet may carry it out.  It is not waited for longer than that. */
static void
test_twice_recorded_start_of_unlisted_incarnation (void)
{
  const gint64 wait_ms = LEADER_LEASE_MS + CALL_DELAY_MAX_MS + (gint64) (LEASE_MAX_MS * 1.02);
  fixture_t *fixture = open_with_restored_run (2);
  gint64 waited_ms;

  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  waited_ms = ms_until_start (fixture, 60000);
  CU_ASSERT (waited_ms >= wait_ms);
  CU_ASSERT (waited_ms <= wait_ms + 500);
  fixture_free (fixture);
}

/* The executor confirms the stop and does not list the run, but a start that got no answer may be
 * carried out by one more incarnation: the task waits until that is over, and not for a lease. */
static void
check_waits_for_call_only (fixture_t *fixture, const char *id, gint64 born)
{
  report (fixture, id, born, fixture->mark, NULL, 0, NULL, 0);
  CU_ASSERT (ms_until_start (fixture, CALL_DELAY_MAX_MS - 50) >= CALL_DELAY_MAX_MS - 50);
  fixture->now_us += 100 * MS;
  step (fixture);
  report (fixture, id, born, fixture->mark, NULL, 0, NULL, 0);
  CU_ASSERT (ms_until_start (fixture, 1000) < 500);
}

/* A fixture whose only executor, e1, has not answered the start of the only task. */
static fixture_t *
open_with_unanswered_start (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
  return fixture;
}

/* TWICE: a start order got no answer; the next incarnation, which is known from its registry entry
 * only, carries it out late. */
static void
test_twice_start_carried_out_by_next_incarnation (void)
{
  fixture_t *fixture = open_with_unanswered_start ();

  report_unreachable (fixture, "e1");
  fixture->now_us += 700 * MS;
  list_executor (fixture, "e1", 2, false);
  add_ready_executor (fixture, "e2");
  /* From when the order was sent. */
  CU_ASSERT (700 + ms_until_start (fixture, 60000) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

/* The wait is shorter once the next incarnation confirms the stop. */
static void
test_wait_for_late_start_ends_with_stop (void)
{
  fixture_t *fixture = open_with_unanswered_start ();
  const issued_order_t *order;

  list_executor (fixture, "e1", 2, false);
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  do
    order = expect_issued (fixture, 'x');
  while (order->born != 2);
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  check_waits_for_call_only (fixture, "e1", 2);
  fixture_free (fixture);
}

/* TWICE: the next incarnation answers a call with its token, but one more may follow and carry the
 * start out.  Then it runs for as long as a lease lasts at most. */
static void
test_twice_start_carried_out_after_token (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *order;
  gint64 waited_ms;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  list_executor (fixture, "e1", 2, false);
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  waited_ms = ms_until_start (fixture, 60000);
  CU_ASSERT (waited_ms >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  CU_ASSERT (waited_ms <= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02 + 500);
  fixture_free (fixture);
}

/* LOST: the order of the former leader may have got no answer, which delayed the task for as long
 * as such orders may be carried out.  The present incarnation is ordered to start the same run
 * again. */
static void
test_lost_recorded_start_is_ordered_again (void)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_end_t end = { .number = 1, .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  const issued_order_t *start;

  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  start = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (start->run, 1);
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  /* TWICE: the next incarnation may carry out the first order after the end is acknowledged. */
  report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
  scheduler_batch_stored (fixture->scheduler, scheduler_batch_begin (fixture->scheduler));
  fixture->now_us += (LEADER_LEASE_MS + CALL_DELAY_MAX_MS - 50) * MS;
  report (fixture, "e1", 2, fixture->mark, NULL, 0, NULL, 0);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  fixture->now_us += 100 * MS;
  report (fixture, "e1", 2, fixture->mark, NULL, 0, NULL, 0);
  CU_ASSERT_EQUAL (fixture->acked, 1);
  fixture_free (fixture);
}

/* An executor takes no ticket of a former incarnation, nor one that has expired: a start that got
 * no answer is waited for until its ticket has expired. */
static void
test_wait_for_unanswered_start_ends_with_ticket (void)
{
  fixture_t *fixture = open_fixture (0);
  const gint64 valid_ms = 2000;
  ticket_t ticket = { "e1", "t-1" };
  const issued_order_t *order;
  gint64 waited_ms;

  fixture_queue (fixture)->advice = (advice_terms_t){
    .is_needed = true, .call_us = 10 * MS, .per_executor_us = MS, .valid_us = valid_ms * MS
  };
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  step (fixture);
  order = expect_issued (fixture, 'a');
  scheduler_advice_result (fixture->scheduler, order->order, true, &ticket, 1, fixture->now_us);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  for (waited_ms = 0; waited_ms < 60000; waited_ms += 50)
    {
      scheduler_set_advice_slots (fixture->scheduler, 1, 1);
      step (fixture);
      if (next_issued (fixture, 'a') != NULL)
        break;
      fixture->now_us += 50 * MS;
    }
  CU_ASSERT (waited_ms >= valid_ms * 1.02 + LEASE_MAX_MS * 1.02);
  CU_ASSERT (waited_ms <= valid_ms * 1.02 + LEASE_MAX_MS * 1.02 + 500);
  fixture_free (fixture);
}

/* TWICE: the former incarnation confirmed the stop of a start that got no answer, and started again
 * before its next report.  The next one knows nothing of the stop. */
static void
test_twice_start_stopped_in_former_incarnation (void)
{
  fixture_t *fixture = open_with_unanswered_start ();
  const issued_order_t *order;

  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  report_restart (fixture, "e1", 2);
  add_ready_executor (fixture, "e2");
  order = expect_issued (fixture, 'x');
  CU_ASSERT_EQUAL (order->born, 2);
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  check_waits_for_call_only (fixture, "e1", 2);
  fixture_free (fixture);
}

/* TWICE: a start order that was carried out late began a run that no record named, which was taken
 * over; the next leader did not know of it. */
static void
test_twice_late_run_unknown_to_next_leader (void)
{
  fixture_t *fixture = open_fixture (0);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };

  list_executor (fixture, "e1", 1, false);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  CU_ASSERT_NOT_EQUAL (fixture->unstored_placement, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  report (fixture, "e1", 1, 0, NULL, 0,
          &(reported_end_t){ .number = 1, .task = running.task, .run = 1 }, 1);
  CU_ASSERT_NOT_EQUAL (fixture->deleted_placement, 0);
  fixture_free (fixture);
}

/* TWICE: the leader is replaced before the incarnation on which the run was taken over has answered
 * a call with its own token: late calls may extend the lease of the run after that. */
static gint64
ms_until_start_after_late_run (bool has_seen_token)
{
  fixture_t *fixture = open_fixture (0);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  placed_run_t placed;
  gint64 waited_ms;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  if (has_seen_token)
    report_restart (fixture, "e1", 2);
  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  placed = fixture->placed;
  fixture_free (fixture);
  CU_ASSERT_EQUAL (placed.run, 1);
  fixture = open_with_restored_run (placed.born);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  waited_ms = ms_until_start (fixture, 60000);
  fixture_free (fixture);
  return waited_ms;
}

static void
test_twice_record_of_late_run (void)
{
  CU_ASSERT (ms_until_start_after_late_run (false)
             >= LEADER_LEASE_MS + CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
}

static void
test_wait_for_recorded_late_run (void)
{
  CU_ASSERT (ms_until_start_after_late_run (true)
             <= LEADER_LEASE_MS + CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02 + 500);
}

/* TWICE: the next incarnation was cut off before it had answered a call with its own token.  A run
 * that a late order began there has a lease on the former clock, which late calls extend. */
static void
test_twice_lease_of_late_run (void)
{
  fixture_t *fixture = open_fixture (0);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  fixture->now_us += 60000 * MS;
  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 60000) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

/* TWICE: a VM of an earlier version knows no steps.  The start that it sends to the next
 * incarnation carries the token of the former one, and keeps no late call from extending its lease.
 */
static void
check_start_by_earlier_version (bool is_listed)
{
  fixture_t *fixture = open_fixture (0);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  executor_report_t message
      = { .executor = "e1", .is_reachable = true, .is_lease_requested = true, .born = 2 };
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  list_executor (fixture, "e1", 2, false);
  scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_token (fixture->scheduler, start->order, message.fence_step);
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  message.running = &running;
  message.running_count = 1;
  if (is_listed)
    scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 60000) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

static void
test_twice_start_by_earlier_version (void)
{
  check_start_by_earlier_version (false);
}

static void
test_twice_listed_start_by_earlier_version (void)
{
  check_start_by_earlier_version (true);
}

/* A refused call that was meant for the former incarnation shows no later leader. */
static void
test_refusal_of_former_token_deposes_nobody (void)
{
  fixture_t *fixture = open_fixture (0);
  executor_report_t refused = { .executor = "e1", .is_fenced = true };

  add_ready_executor (fixture, "e1");
  report_restart (fixture, "e1", 2);
  scheduler_executor_report (fixture->scheduler, &refused, fixture->now_us);
  CU_ASSERT_FALSE (fixture->is_deposed);
  refused.fence_step = fixture_step (fixture, "e1")->step;
  scheduler_executor_report (fixture->scheduler, &refused, fixture->now_us);
  CU_ASSERT_TRUE (fixture->is_deposed);
  fixture_free (fixture);
}

/* LOST: an executor that has seen a step was moved to a VM of an earlier version, which knows none
 * and is refused.  Its run lapsed, and its task was waited for until the leader was replaced. */
static void
test_lost_run_held_by_earlier_version (void)
{
  fixture_t *fixture = open_fixture (0);
  executor_report_t refused = { .executor = "e1", .is_fenced = true, .is_lease_requested = true };

  add_ready_executor (fixture, "e1");
  report_restart (fixture, "e1", 2);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  start_on (fixture, "e1");
  scheduler_executor_reassigned (fixture->scheduler, "e1", fixture->now_us);
  scheduler_executor_report (fixture->scheduler, &refused, fixture->now_us);
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 60000) <= LEASE_MAX_MS * 1.02 + 500);
  CU_ASSERT_FALSE (fixture->is_deposed);
  fixture_free (fixture);
}

/* The leader was deposed when such a VM was refused a stop. */
static void
test_refused_stop_of_earlier_version_deposes_nobody (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *stop;

  add_ready_executor (fixture, "e1");
  report_restart (fixture, "e1", 2);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  start_on (fixture, "e1");
  CU_ASSERT (scheduler_cancel_job (fixture->scheduler, task_ref (1, 0).job, fixture->now_us));
  stop = expect_issued (fixture, 'x');
  scheduler_order_token (fixture->scheduler, stop->order, 0);
  scheduler_order_result (fixture->scheduler, stop->order, ORDER_FENCED, fixture->now_us);
  CU_ASSERT_FALSE (fixture->is_deposed);
  fixture->now_us += 1000 * MS;
  step (fixture);
  stop = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, stop->order, ORDER_FENCED, fixture->now_us);
  CU_ASSERT_TRUE (fixture->is_deposed);
  fixture_free (fixture);
}

/* An executor that has started again more often than there are tokens is not used any more. */
static void
test_twice_tokens_used_up (void)
{
  fixture_t *fixture = open_fixture (0);

  for (gint64 born = 1; born <= FENCE_STEPS_PER_LEADER; born++)
    report_restart (fixture, "e1", born);
  CU_ASSERT_EQUAL (fixture_step (fixture, "e1")->step, FENCE_STEPS_PER_LEADER - 1);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  start_on (fixture, "e1");
  report_restart (fixture, "e1", FENCE_STEPS_PER_LEADER + 1);
  fixture->now_us += 1000 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* TWICE: incarnations after that share the last token, so that an answer to it does not keep the
 * executor from carrying out calls that were meant for a former one. */
static void
test_twice_late_start_with_last_token (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *start;

  for (gint64 born = 1; born <= FENCE_STEPS_PER_LEADER; born++)
    report_restart (fixture, "e1", born);
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
  report_restart (fixture, "e1", FENCE_STEPS_PER_LEADER + 1);
  report_unreachable (fixture, "e1");
  add_ready_executor (fixture, "e2");
  CU_ASSERT (ms_until_start (fixture, 60000) >= CALL_DELAY_MAX_MS + LEASE_MAX_MS * 1.02);
  fixture_free (fixture);
}

static void
test_tokens_rise (void)
{
  gint64 former = fence_token_first (7);
  gint64 next = fence_token_first (8);
  gint64 leader_max = fence_token_leader_max ();

  CU_ASSERT (former > 7);
  CU_ASSERT (fence_token (former, 1) > fence_token (former, 0));
  CU_ASSERT (next > fence_token (former, FENCE_STEPS_PER_LEADER - 1));
  CU_ASSERT (next > fence_token (former, G_MAXUINT));
  CU_ASSERT (fence_token (fence_token_first (leader_max), G_MAXUINT) < G_GINT64_CONSTANT (1) << 53);
  CU_ASSERT_EQUAL (fence_token_first (leader_max + 1), leader_max + 1);
  CU_ASSERT_EQUAL (fence_token_first (G_MAXINT64), G_MAXINT64);
  CU_ASSERT_EQUAL (fence_token (G_MAXINT64, 3), G_MAXINT64);
  /* Of a leader of an earlier version. */
  CU_ASSERT_EQUAL (fence_token (4097, 3), 4097);
}

/* ACKS: the leader follows another one, whose run the executor lists.  Once the orders of the
 * former leader can no longer be carried out, ends are acknowledged while that run goes on. */
static void
test_acks_beside_run_of_former_leader (void)
{
  fixture_t *fixture = open_fixture (1);
  placed_run_t placed = { .task = task_ref (1, 0), .run = 1, .executor = "e1", .born = 2 };
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  reported_end_t end = { .number = 1, .task = task_ref (2, 0), .checkpoint = "" };
  const issued_order_t *start = NULL;

  add_job (fixture, make_job_spec (1, 1, 1000), true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 2, false);
  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  report (fixture, "e1", 2, fixture->mark, &running, 1, NULL, 0);
  for (guint i = 0; i < 40; i++)
    {
      fixture->now_us += 1000 * MS;
      running.percent++;
      report (fixture, "e1", 2, fixture->mark, &running, 1, NULL, 0);
      step (fixture);
    }
  add_job (fixture, make_job_spec (2, 1, 1000), false);
  for (guint i = 0; i < 20 && fixture->unstored_placement == 0; i++)
    {
      fixture->now_us += 50 * MS;
      step (fixture);
      if ((start = next_issued (fixture, 's')) != NULL)
        break;
    }
  g_assert_nonnull (start);
  end.run = start->run;
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  report (fixture, "e1", 2, fixture->mark, &running, 1, &end, 1);
  scheduler_batch_stored (fixture->scheduler, scheduler_batch_begin (fixture->scheduler));
  for (guint i = 0; i < 40; i++)
    {
      fixture->now_us += 1000 * MS;
      running.percent++;
      report (fixture, "e1", 2, fixture->mark, &running, 1, &end, 1);
      step (fixture);
    }
  CU_ASSERT_EQUAL (fixture->acked, 1);
  fixture_free (fixture);
}

/* LOST: a run of a former leader ends with its incarnation once no order can start it again: its
 * task does not wait for a lease of the next one, which is cut off at once. */
static void
test_lost_run_of_former_leader_ends_with_incarnation (void)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };

  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  for (guint i = 0; i < 40; i++)
    {
      fixture->now_us += 1000 * MS;
      running.percent++;
      report (fixture, "e1", 2, fixture->mark, &running, 1, NULL, 0);
      step (fixture);
    }
  add_ready_executor (fixture, "e2");
  list_executor (fixture, "e1", 3, false);
  report_unreachable (fixture, "e1");
  CU_ASSERT (ms_until_start (fixture, 60000) < 500);
  fixture_free (fixture);
}

/* TWICE: the order of the former leader has been carried out, and that of this leader, which names
 * the same run, got no answer.  The next incarnation may carry out the latter. */
static void
test_twice_second_start_of_listed_run (void)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  const issued_order_t *order;
  gint64 sent_us;

  /* The executor is reached late. */
  fixture->now_us += 10000 * MS;
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  order = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (order->run, 1);
  sent_us = fixture->now_us;
  fixture->now_us += 100 * MS;
  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  fixture->now_us += 400 * MS;
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  while (fixture->now_us < sent_us + CALL_DELAY_MAX_MS * MS)
    {
      report (fixture, "e1", 2, fixture->mark, NULL, 0, NULL, 0);
      step (fixture);
      if (next_issued (fixture, 's') != NULL)
        break;
      fixture->now_us += 50 * MS;
    }
  CU_ASSERT (fixture->now_us >= sent_us + CALL_DELAY_MAX_MS * MS);
  fixture_free (fixture);
}

/* TWICE: the leader has lost its VM, which may be suspended, and send the order until its
 * leadership expires; the call may be carried out that much later. */
static void
test_twice_start_sent_by_lost_vm (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *order;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_executor_vm_lost (fixture->scheduler, "e1", fixture->now_us);
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  report (fixture, "e1", 1, 0, NULL, 0, NULL, 0);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  report (fixture, "e1", 1, fixture->mark, NULL, 0, NULL, 0);
  fixture->now_us += (LEADER_LEASE_MS + CALL_DELAY_MAX_MS - 100) * MS;
  for (guint i = 0; i < 2; i++)
    {
      step (fixture);
      report (fixture, "e1", 1, fixture->mark, NULL, 0, NULL, 0);
    }
  CU_ASSERT (ms_until_start (fixture, 50) >= 50);
  fixture_free (fixture);
}

/* LOST: an executor that starts again every few seconds does not keep a task whose order was sent
 * long ago. */
static void
test_lost_start_on_restarting_executor (void)
{
  fixture_t *fixture = open_fixture (0);
  const issued_order_t *order;
  gint64 from_us = fixture->now_us;
  bool is_started = false;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  add_ready_executor (fixture, "e2");
  for (gint64 born = 2; born < 12 && !is_started; born++)
    {
      fixture->now_us += 10000 * MS;
      report_restart (fixture, "e1", born);
      for (guint i = 0; i < 3; i++)
        {
          while ((order = next_issued (fixture, 'x')) != NULL)
            scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
          report (fixture, "e1", born, fixture->mark, NULL, 0, NULL, 0);
        }
      is_started = ms_until_start (fixture, 100) < 100;
    }
  CU_ASSERT (is_started);
  CU_ASSERT (fixture->now_us - from_us <= 30000 * MS);
  fixture_free (fixture);
}

/* LOST: a task that lasts ran under the former leader, and fails soon after the change.  It may be
 * without a run for 9 s (6 s and 3 s of calm). */
static void
test_lost_failed_run_of_former_leader (void)
{
  fixture_t *fixture = open_fixture (1);
  placed_run_t placed = { .task = task_ref (1, 0), .run = 1, .executor = "e1", .born = 2 };
  reported_run_t running = { .task = task_ref (1, 0), .run = 1, .checkpoint = "", .percent = 100 };
  reported_end_t end
      = { .number = 1, .task = task_ref (1, 0), .run = 1, .how = END_FAILED, .checkpoint = "" };
  job_spec_t *spec = make_job_spec (1, 1, 1000);
  gint64 waited_ms;
  bool is_started = false;

  spec->steps[0].long_running = true;
  add_job (fixture, spec, true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 2, false);
  report (fixture, "e1", 2, 0, &running, 1, NULL, 0);
  add_ready_executor (fixture, "e2");
  fixture->now_us += 1000 * MS;
  report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
  for (waited_ms = 0; waited_ms < 30000 && !is_started; waited_ms += 50)
    {
      fixture->now_us += 50 * MS;
      report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
      report (fixture, "e2", 1, fixture->mark, NULL, 0, NULL, 0);
      step (fixture);
      is_started = next_issued (fixture, 's') != NULL;
    }
  CU_ASSERT (waited_ms < 9000);
  fixture_free (fixture);
}

/* LOST: the answer to the start of a task that lasts is lost, and the executor goes on answering.
 * The task may be without a run for 9 s (6 s and 3 s of calm). */
static void
test_lost_answer_to_start_of_lasting_task (void)
{
  fixture_t *fixture = open_fixture (0);
  job_spec_t *spec = make_job_spec (1, 1, 1000);
  const issued_order_t *order;
  gint64 waited_ms;
  bool is_started = false;

  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  spec->steps[0].long_running = true;
  add_job (fixture, spec, false);
  step (fixture);
  order = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  order = expect_issued (fixture, 'x');
  scheduler_order_result (fixture->scheduler, order->order, ORDER_OK, fixture->now_us);
  for (waited_ms = 0; waited_ms < 30000 && !is_started; waited_ms += 50)
    {
      fixture->now_us += 50 * MS;
      report (fixture, "e1", 1, fixture->mark, NULL, 0, NULL, 0);
      report (fixture, "e2", 1, fixture->mark, NULL, 0, NULL, 0);
      step (fixture);
      is_started = next_issued (fixture, 's') != NULL;
    }
  CU_ASSERT (waited_ms < 9000);
  fixture_free (fixture);
}

/* TWICE: the executor is reached late.  The order of the former leader is carried out and its run
 * ends, while that of this leader, which names the same run, has no answer: the next incarnation
 * may carry out the latter, and must not after the end is acknowledged. */
static void
test_twice_second_start_after_end (void)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_end_t end = { .number = 1, .task = task_ref (1, 0), .run = 1, .checkpoint = "" };
  const issued_order_t *order;
  gint64 sent_us;

  add_ready_executor (fixture, "e2");
  fixture->now_us += 13000 * MS;
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  order = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (order->run, 1);
  sent_us = fixture->now_us;
  fixture->now_us += 100 * MS;
  report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
  scheduler_batch_stored (fixture->scheduler, scheduler_batch_begin (fixture->scheduler));
  fixture->now_us += 400 * MS;
  scheduler_order_result (fixture->scheduler, order->order, ORDER_NO_ANSWER, fixture->now_us);
  fixture->acked = 0;
  while (fixture->now_us < sent_us + (CALL_DELAY_MAX_MS - 100) * MS && fixture->acked == 0)
    {
      fixture->now_us += 100 * MS;
      report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
      step (fixture);
    }
  CU_ASSERT_EQUAL (fixture->acked, 0);
  fixture_free (fixture);
}

/* TWICE: earlier leaders may have ordered the recorded run more than once, and the executor lists
 * the end of what one of the orders started.  Another one may be carried out by the next
 * incarnation (seed 3004865 of schedules with unreached-calls). */
static void
test_twice_recorded_run_has_lapsed (void)
{
  fixture_t *fixture = open_with_restored_run (2);
  reported_end_t end = {
    .number = 1, .task = task_ref (1, 0), .run = 1, .how = END_LEASE_EXPIRED, .checkpoint = ""
  };

  add_ready_executor (fixture, "e2");
  report (fixture, "e1", 2, 0, NULL, 0, &end, 1);
  report (fixture, "e1", 2, fixture->mark, NULL, 0, &end, 1);
  CU_ASSERT (ms_until_start (fixture, CALL_DELAY_MAX_MS) >= CALL_DELAY_MAX_MS);
  fixture_free (fixture);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "twice_lease_of_former_clock", test_twice_lease_of_former_clock },
    { "twice_lease_of_former_clock_after_new_leader",
      test_twice_lease_of_former_clock_after_new_leader },
    { "twice_lease_of_former_clock_unknown_to_new_leader",
      test_twice_lease_of_former_clock_unknown_to_new_leader },
    { "twice_start_carried_out_by_next_incarnation",
      test_twice_start_carried_out_by_next_incarnation },
    { "lost_recorded_start_is_ordered_again", test_lost_recorded_start_is_ordered_again },
    { "wait_for_unanswered_start_ends_with_ticket",
      test_wait_for_unanswered_start_ends_with_ticket },
    { "acks_beside_run_of_former_leader", test_acks_beside_run_of_former_leader },
    { "lost_run_of_former_leader_ends_with_incarnation",
      test_lost_run_of_former_leader_ends_with_incarnation },
    { "twice_second_start_of_listed_run", test_twice_second_start_of_listed_run },
    { "twice_second_start_after_end", test_twice_second_start_after_end },
    { "twice_recorded_run_has_lapsed", test_twice_recorded_run_has_lapsed },
    { "twice_start_sent_by_lost_vm", test_twice_start_sent_by_lost_vm },
    { "lost_start_on_restarting_executor", test_lost_start_on_restarting_executor },
    { "lost_failed_run_of_former_leader", test_lost_failed_run_of_former_leader },
    { "lost_answer_to_start_of_lasting_task", test_lost_answer_to_start_of_lasting_task },
    { "twice_start_stopped_in_former_incarnation", test_twice_start_stopped_in_former_incarnation },
    { "twice_late_run_unknown_to_next_leader", test_twice_late_run_unknown_to_next_leader },
    { "twice_lease_of_late_run", test_twice_lease_of_late_run },
    { "twice_late_start_unknown_to_new_leader", test_twice_late_start_unknown_to_new_leader },
    { "twice_late_start_of_unnamed_incarnation", test_twice_late_start_of_unnamed_incarnation },
    { "twice_record_of_late_run", test_twice_record_of_late_run },
    { "wait_for_recorded_late_run", test_wait_for_recorded_late_run },
    { "twice_recorded_start_of_unlisted_incarnation",
      test_twice_recorded_start_of_unlisted_incarnation },
    { "twice_tokens_used_up", test_twice_tokens_used_up },
    { "twice_late_start_with_last_token", test_twice_late_start_with_last_token },
    { "wait_for_settled_executor", test_wait_for_settled_executor },
    { "wait_for_late_start_ends_with_stop", test_wait_for_late_start_ends_with_stop },
    { "twice_start_carried_out_after_token", test_twice_start_carried_out_after_token },
    { "twice_start_by_earlier_version", test_twice_start_by_earlier_version },
    { "twice_listed_start_by_earlier_version", test_twice_listed_start_by_earlier_version },
    { "refusal_of_former_token_deposes_nobody", test_refusal_of_former_token_deposes_nobody },
    { "lost_run_held_by_earlier_version", test_lost_run_held_by_earlier_version },
    { "refused_stop_of_earlier_version_deposes_nobody",
      test_refused_stop_of_earlier_version_deposes_nobody },
    { "tokens_rise", test_tokens_rise },
  };

  return run_suite ("former_clock", tests, G_N_ELEMENTS (tests));
}
