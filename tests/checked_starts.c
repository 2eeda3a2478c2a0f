/* Start orders that are sent only once their executor has answered another call.
 *
 * A start without an answer may be carried out later, so its task waits for many seconds; one that
 * was not sent goes to another executor at once. */
#include "harness.h"

#include "fake_executor.h"
#include "platform/executor_calls.h"
#include "scheduler_fixture.h"

enum
{
  BORN = 1,
  NEXT_BORN = 2,
  RESULT_MAX_MS = 2000,
  LEASE_MS = 5000,
  LEASE_MAX_MS = 10000,
  LEADER_LEASE_MS = 2000,
  TICKET_MS = 1500,
  STEP_MS = 50
};

typedef struct
{
  bool is_done;
  order_outcome_t outcome;
} result_t;

static void
start_done (const executor_answer_t *answer, void *data)
{
  *(result_t *) data = (result_t){ .is_done = true, .outcome = answer->outcome };
}

static order_outcome_t
send_start_to (executor_calls_t *calls, const fake_executor_t *executor, guint run, bool is_checked)
{
  executor_target_t target
      = { .executor = "e1", .address = fake_executor_address (executor), .fence = 1, .born = BORN };
  executor_start_t start = { .task = task_ref (1, 0),
                             .run = run,
                             .spec = "work",
                             .checkpoint = "",
                             .ticket = "",
                             .lease_expiry_ms = fake_executor_clock_ms (executor) + LEASE_MS,
                             .is_checked = is_checked };
  result_t result = { .is_done = false };

  executor_start (calls, &target, &start, start_done, &result);
  for (guint ms = 0; ms < RESULT_MAX_MS && !result.is_done; ms += STEP_MS)
    loop_run_ms (STEP_MS);
  CU_ASSERT (result.is_done);
  return result.outcome;
}

static void
test_lost_checked_start_is_not_sent_to_silent_executor (void)
{
  for (guint is_checked = 0; is_checked < 2; is_checked++)
    {
      executor_calls_t *calls = executor_calls_new ();
      fake_executor_t *executor = fake_executor_new (BORN);

      CU_ASSERT_EQUAL (send_start_to (calls, executor, 1, is_checked), ORDER_OK);
      CU_ASSERT_EQUAL (send_start_to (calls, executor, 2, is_checked), ORDER_OK);
      fake_executor_restart_silently (executor, NEXT_BORN);
      CU_ASSERT_EQUAL (send_start_to (calls, executor, 3, is_checked),
                       is_checked ? ORDER_NOT_SENT : ORDER_NO_ANSWER);
      executor_calls_free (calls);
    }
}

/* Adds a job of one task, and returns whether its start is checked. */
static bool
is_start_checked (bool is_lasting, bool needs_ticket)
{
  fixture_t *fixture = fixture_new (0, LEADER_LEASE_MS * MS);
  queue_spec_t *queue = fixture_queue (fixture);
  job_spec_t *spec = make_job_spec (1, 1, 1000);
  const issued_order_t *order;
  ticket_t ticket = { .executor = "e1", .ticket = "t" };
  bool is_checked;

  queue->advice = (advice_terms_t){ .is_needed = needs_ticket, .valid_us = TICKET_MS * MS };
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  spec->steps[0].long_running = is_lasting;
  add_ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  if (needs_ticket)
    {
      order = expect_issued (fixture, 'a');
      scheduler_advice_result (fixture->scheduler, order->order, true, &ticket, 1, fixture->now_us);
      step (fixture);
    }
  is_checked = expect_issued (fixture, 's')->is_checked;
  fixture_free (fixture);
  return is_checked;
}

/* A task that lasts has to run again within seconds; without a ticket, a start without an answer is
 * waited for far longer. */
static void
test_lost_starts_that_must_not_wait_are_checked (void)
{
  CU_ASSERT (is_start_checked (true, true));
  CU_ASSERT (is_start_checked (true, false));
  CU_ASSERT (is_start_checked (false, false));
  CU_ASSERT (!is_start_checked (false, true));
}

/* The time for which a start of an earlier leader is waited for, on an executor that is silent. */
static gint64
time_former_start (bool needs_ticket)
{
  scheduler_limits_t limits = { .executor_lease_us = LEASE_MS * MS,
                                .executor_lease_max_us = LEASE_MAX_MS * MS,
                                .leader_lease_us = LEADER_LEASE_MS * MS,
                                .gang_wait_us = GANG_WAIT_MS * MS,
                                .remote_factor = 2.0 };
  fixture_t *fixture = fixture_new_with_limits (1, &limits);
  queue_spec_t *queue = fixture_queue (fixture);
  placed_run_t placed = { .run = 1, .executor = "e1", .born = 1, .task = task_ref (1, 0) };
  gint64 began_us = fixture->now_us;
  gint64 waited_ms;

  queue->advice = (advice_terms_t){ .is_needed = needs_ticket, .valid_us = TICKET_MS * MS };
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_job (fixture, make_job_spec (1, 1, 1000), true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  list_executor (fixture, "e1", 1, false);
  while (fixture->deleted_placement == 0 && fixture->now_us < began_us + 60000 * MS)
    {
      fixture->now_us += STEP_MS * MS;
      step (fixture);
    }
  waited_ms = (fixture->now_us - began_us) / MS;
  fixture_free (fixture);
  return waited_ms;
}

/* The earlier leader had the ticket before it was replaced, however late a VM sends the order. */
static void
test_lost_former_start_waits_for_its_own_ticket (void)
{
  gint64 waited_ms = time_former_start (true);

  CU_ASSERT (waited_ms < LEADER_LEASE_MS + (LEASE_MAX_MS + TICKET_MS) * 1.02);
  CU_ASSERT (waited_ms >= (LEASE_MAX_MS + TICKET_MS) * 1.02);
  CU_ASSERT (time_former_start (false) > waited_ms + 10000);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "lost_checked_start_is_not_sent_to_silent_executor",
      test_lost_checked_start_is_not_sent_to_silent_executor },
    { "lost_starts_that_must_not_wait_are_checked",
      test_lost_starts_that_must_not_wait_are_checked },
    { "lost_former_start_waits_for_its_own_ticket",
      test_lost_former_start_waits_for_its_own_ticket },
  };

  return run_suite ("checked_starts", tests, G_N_ELEMENTS (tests));
}
