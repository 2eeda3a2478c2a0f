/* Unit tests of the scheduler and of the small policies beside it: which orders the scheduler
 * issues, and when it considers a run ended. */
#include "decide/admission.h"
#include "decide/balance.h"
#include "decide/election_policy.h"
#include "decide/lease_validity.h"
#include "decide/queue_order.h"
#include "decide/scheduler.h"
#include "decide/spec.h"
#include "scheduler_fixture.h"

#include <CUnit/Basic.h>
#include <string.h>

/* ---- Runs. */

enum
{
  CALL_DELAY_MAX_MS = 12000
};

static void
test_unanswered_start (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;
  const issued_order_t *stop;

  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
  step (fixture);
  stop = expect_issued (fixture, 'x');
  CU_ASSERT_STRING_EQUAL (stop->executor, start->executor);
  /* The task is not started again while the stop is unanswered, nor before a report arrives that
   * was requested after the stop was confirmed. */
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  scheduler_order_result (fixture->scheduler, stop->order, ORDER_OK, fixture->now_us);
  report (fixture, start->executor, 1, fixture->mark - 1, NULL, 0, NULL, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  report (fixture, start->executor, 1, fixture->mark, NULL, 0, NULL, 0);
  /* TWICE: nor while the next incarnation, which knows of no stop, may carry out the order. */
  fixture->now_us += CALL_DELAY_MAX_MS * MS - 1;
  step (fixture);
  report (fixture, start->executor, 1, fixture->mark, NULL, 0, NULL, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->now_us += 1;
  step (fixture);
  report (fixture, start->executor, 1, fixture->mark, NULL, 0, NULL, 0);
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (start->run, 2);
  fixture_free (fixture);
}

static void
test_unanswered_start_and_restart (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;
  const issued_order_t *stop;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
  (void) next_issued (fixture, 'x');
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  stop = expect_issued (fixture, 'x');
  CU_ASSERT_EQUAL (stop->born, 2);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_stale_registry_entry_ends_no_run (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;

  list_executor (fixture, "e1", 5, false);
  report (fixture, "e1", 5, 0, NULL, 0, NULL, 0);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  list_executor (fixture, "e1", 1, false);
  /* If the stale entry counted as a restart, the task would be started a second time. */
  report (fixture, "e1", 5, 0, NULL, 0, NULL, 0);
  list_executor (fixture, "e1", 5, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_lease_expiry_allows_for_clock_drift (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t unreachable = { .executor = "e1", .is_lease_requested = true };
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  unreachable.executor = start->executor;
  scheduler_executor_report (fixture->scheduler, &unreachable, fixture->now_us);
  /* The executor's clock may be 2 % slow, so that its lease of 5 s lasts up to 5.1 s. */
  fixture->now_us += 5050 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->now_us += 400 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
count_crashes (const task_progress_t *progress, void *data)
{
  *(guint *) data += progress->crashes;
}

/* A new leader may read the entry of the later incarnation first. */
static void
test_budget_crash_shown_by_entries_in_any_order (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  job_spec_t *spec = make_job_spec (1, 1, 1000);
  placed_run_t placed = { .run = 1, .executor = "e1" };
  executor_entry_t entry = { .address = "a", .service = "s", .zone = "z" };
  guint crashes = 0;

  g_strlcpy (placed.task.job, spec->id, sizeof placed.task.job);
  add_job (fixture, spec, true);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  entry.id = "e2";
  entry.born = 2;
  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
  entry.id = "e1";
  entry.born = 1;
  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
  fixture->now_us += 10000 * MS;
  step (fixture);
  scheduler_visit_progress (fixture->scheduler, "0000000000000001", count_crashes, &crashes);
  CU_ASSERT_EQUAL (crashes, 1);
  fixture_free (fixture);
}

/* LOST: executors crash before they receive the start of an innocent task. */
static void
test_lost_job_whose_starts_were_not_received (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t unreachable = { .is_reachable = false };

  add_job (fixture, make_job_spec (1, 1, 1000), false);
  for (guint life = 1; life <= 3; life++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", life);
      executor_entry_t entry = { .id = id,
                                 .address = "a",
                                 .service = "s",
                                 .zone = "z",
                                 .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
                                 .born = life };
      const issued_order_t *start;

      scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
      report (fixture, id, life, 0, NULL, 0, NULL, 0);
      if (life == 3)
        break; /* its entry shows that the second one has crashed */
      step (fixture);
      start = expect_issued (fixture, 's');
      scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
      unreachable.executor = id;
      scheduler_executor_report (fixture->scheduler, &unreachable, fixture->now_us);
      fixture->now_us += 6000 * MS;
      step (fixture);
    }
  CU_ASSERT_EQUAL (fixture->finish_count, 0);
  fixture_free (fixture);
}

/* A report without a lease: the hold request asked for none. */
static void
report_without_lease (fixture_t *fixture, const char *id, bool is_reachable)
{
  executor_report_t message = { .executor = id, .is_reachable = is_reachable, .born = 1 };

  scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
}

/* Starts a task on e1, 4 s after the last lease that a report showed was granted. */
static const issued_order_t *
start_long_after_lease (fixture_t *fixture)
{
  add_ready_executor (fixture, "e1");
  fixture->now_us += 4000 * MS;
  report_without_lease (fixture, "e1", true);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  return expect_issued (fixture, 's');
}

/* A start grants a lease.  TWICE: a run that started long after the last renewal was taken as
 * lapsed by that renewal. */
static void
test_twice_start_grants_lease (void)
{
  fixture_t *fixture = fixture_new (0, 2000 * MS);
  const issued_order_t *start = start_long_after_lease (fixture);

  fixture->now_us += 500 * MS;
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  report_without_lease (fixture, "e1", false);
  add_ready_executor (fixture, "e2");
  fixture->now_us += 5000 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->now_us += 600 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* While a start order is in flight, a lease may be granted at any time. */
static void
test_twice_start_in_flight_keeps_run (void)
{
  fixture_t *fixture = fixture_new (0, 2000 * MS);
  const issued_order_t *start = start_long_after_lease (fixture);

  report_without_lease (fixture, "e1", false);
  add_ready_executor (fixture, "e2");
  fixture->now_us += 3500 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  scheduler_order_result (fixture->scheduler, start->order, ORDER_NO_ANSWER, fixture->now_us);
  fixture->now_us += (CALL_DELAY_MAX_MS + 5000) * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->now_us += 600 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_end_acknowledged_when_stored (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  reported_end_t end = { .number = 1, .run = 1, .how = END_DONE, .checkpoint = "" };
  const issued_order_t *start;
  guint64 batch;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 2, 1000), false);
  step (fixture);
  while ((start = next_issued (fixture, 's')) != NULL)
    scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->save_count, 1);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  batch = scheduler_batch_begin (fixture->scheduler);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  scheduler_batch_stored (fixture->scheduler, batch);
  CU_ASSERT_EQUAL (fixture->acked, 1);
  fixture_free (fixture);
}

static void
test_job_started_when_run_confirmed (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (scheduler_pending_job_count (fixture->scheduler, "q"), 1);
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  CU_ASSERT_EQUAL (scheduler_pending_job_count (fixture->scheduler, "q"), 0);
  fixture_free (fixture);
}

static void
test_capacity_not_exceeded (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  guint starts = 0;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 9, 1500), false);
  step (fixture);
  while (next_issued (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 2);
  fixture_free (fixture);
}

static void
test_gang_starts_together (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = make_job_spec (1, 3, 2000);
  const issued_order_t *start;
  guint starts = 0;

  spec->steps[0].gang = true;
  add_ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  add_ready_executor (fixture, "e2");
  step (fixture);
  while ((start = next_issued (fixture, 's')) != NULL)
    {
      CU_ASSERT_EQUAL (start->run, 1);
      starts++;
    }
  CU_ASSERT_EQUAL (starts, 3);
  fixture_free (fixture);
}

static void
test_failures_out_of_order (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  reported_end_t end = { .number = 1, .run = 2, .how = END_FAILED, .checkpoint = "" };

  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finish_count, 0);
  /* The end of the first run is reported later, by an executor that was unreachable. */
  end.run = 1;
  report (fixture, "e2", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->end_state, JOB_FAILED);
  CU_ASSERT_EQUAL (fixture->finish_count, 1);
  fixture_free (fixture);
}

static void
add_rack_executor (fixture_t *fixture, const char *id, const char *rack)
{
  executor_entry_t entry = { .id = id,
                             .address = id,
                             .service = "s",
                             .zone = "z",
                             .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
                             .rack = rack,
                             .born = 1 };

  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
  report (fixture, id, 1, 0, NULL, 0, NULL, 0);
}

static void
test_gang_in_one_rack (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = make_job_spec (1, 2, 4000);
  const issued_order_t *start;

  spec->steps[0].gang = true;
  spec->steps[0].same_rack = true;
  add_rack_executor (fixture, "e1", "r1");
  add_rack_executor (fixture, "e2", "r2");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  add_rack_executor (fixture, "e3", "r2");
  step (fixture);
  while ((start = next_issued (fixture, 's')) != NULL)
    CU_ASSERT_STRING_NOT_EQUAL (start->executor, "e1");
  CU_ASSERT (fixture->unstored_placement == 0 && fixture->order_count >= 2);
  fixture_free (fixture);
}

static void
test_gang_spread_after_wait (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = make_job_spec (1, 2, 4000);

  spec->steps[0].gang = true;
  spec->steps[0].same_rack = true;
  add_rack_executor (fixture, "e1", "r1");
  add_rack_executor (fixture, "e2", "r2");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  /* Spread over racks, the gang's work of 1 s would take 1 s longer, so it waits for that long. */
  fixture->now_us += 1100 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_best_effort_kept_apart (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *latency_sensitive = make_job_spec (1, 1, 1000);
  job_spec_t *best_effort = make_job_spec (2, 1, 1000);

  latency_sensitive->steps[0].long_running = true;
  latency_sensitive->steps[0].target_ms = 50;
  best_effort->steps[0].fills = true;
  add_ready_executor (fixture, "e1");
  add_job (fixture, latency_sensitive, false);
  step (fixture);
  (void) expect_issued (fixture, 's');
  add_job (fixture, best_effort, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  add_ready_executor (fixture, "e2");
  CU_ASSERT_STRING_EQUAL (expect_issued (fixture, 's')->executor, "e2");
  fixture_free (fixture);
}

static void
test_gang_stopped_when_start_refused (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = make_job_spec (1, 2, 2000);
  const issued_order_t *first;
  const issued_order_t *second;

  spec->steps[0].gang = true;
  add_ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  first = expect_issued (fixture, 's');
  second = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, first->order, ORDER_OK, fixture->now_us);
  scheduler_order_result (fixture->scheduler, second->order, ORDER_UNHEALTHY, fixture->now_us);
  /* A member that cannot start stops the others at once. */
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 'x'));
  fixture_free (fixture);
}

/* Starts a gang of two, one member of which has answered. */
static const issued_order_t *
start_half_a_gang (fixture_t *fixture)
{
  job_spec_t *spec = make_job_spec (1, 2, 2000);
  const issued_order_t *first;

  spec->steps[0].gang = true;
  add_ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  first = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, first->order, ORDER_OK, fixture->now_us);
  return expect_issued (fixture, 's');
}

static guint
count_stops (fixture_t *fixture)
{
  guint count = 0;

  while (next_issued (fixture, 'x') != NULL)
    count++;
  return count;
}

/* Plays the time in which the gang's members wait for each other; the stop that `already` counts
 * was sent before. */
static void
expect_stop_at_half_time (fixture_t *fixture, guint already)
{
  CU_ASSERT_EQUAL (count_stops (fixture), already);
  fixture->now_us += GANG_WAIT_MS / 2 * MS - 100 * MS;
  step (fixture);
  CU_ASSERT_EQUAL (count_stops (fixture), 0);
  fixture->now_us += 100 * MS;
  step (fixture);
  CU_ASSERT_EQUAL (count_stops (fixture), 2 - already);
}

/* Guards against members that wait for one whose start order got no answer until their time limit
 * (GANG). */
static void
test_gang_stopped_when_start_unanswered (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *second = start_half_a_gang (fixture);

  scheduler_order_result (fixture->scheduler, second->order, ORDER_NO_ANSWER, fixture->now_us);
  expect_stop_at_half_time (fixture, 1);
  fixture_free (fixture);
}

/* Guards against members that wait for one whose VM is too busy to tell what became of its start
 * order (GANG). */
static void
test_gang_stopped_when_start_is_late (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  (void) start_half_a_gang (fixture);
  expect_stop_at_half_time (fixture, 0);
  fixture_free (fixture);
}

static void
test_cancel (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  add_job (fixture, make_job_spec (2, 4, 4000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  CU_ASSERT (scheduler_cancel_job (fixture->scheduler, "0000000000000001", fixture->now_us));
  CU_ASSERT (scheduler_cancel_job (fixture->scheduler, "0000000000000002", fixture->now_us));
  CU_ASSERT_EQUAL (fixture->end_state, JOB_CANCELLED);
  CU_ASSERT_EQUAL (fixture->finish_count, 2);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 'x'));
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  CU_ASSERT (!scheduler_cancel_job (fixture->scheduler, "0000000000000003", fixture->now_us));
  fixture_free (fixture);
}

static void
report_progress (fixture_t *fixture, const char *id, guint percent)
{
  reported_run_t running = { .run = 1, .checkpoint = "", .percent = percent };

  running.task = task_ref (1, 0);
  report (fixture, id, 1, 0, &running, 1, NULL, 0);
  step (fixture);
}

static void
test_stalled_run (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const issued_order_t *start;
  const issued_order_t *stop;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  for (guint i = 0; i < 4; i++)
    {
      report_progress (fixture, "e1", 10 + 20 * i);
      fixture->now_us += 1000 * MS;
    }
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'x'));
  for (guint i = 0; i < 3; i++)
    {
      report_progress (fixture, "e1", 70);
      fixture->now_us += 1000 * MS;
    }
  stop = next_issued (fixture, 'x');
  CU_ASSERT_PTR_NOT_NULL (stop);
  /* The executor is ejected: it gets no start. */
  add_job (fixture, make_job_spec (2, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* ---- After a change of leader. */

static void
test_unneeded_run_keeps_resources (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  task_progress_t done = { .index = 0, .is_done = true };
  reported_run_t running = { .run = 1, .checkpoint = "" };
  const issued_order_t *stop;

  CU_ASSERT (scheduler_add_job (fixture->scheduler, make_job_spec (1, 2, 3000), &done, 1, true,
                                fixture->now_us, fixture->now_us / MS));
  list_executor (fixture, "e1", 1, false);
  running.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  step (fixture);
  /* The run of the completed task is stopped.  Until it is gone it still uses 3 of 4 cores. */
  stop = next_issued (fixture, 'x');
  CU_ASSERT_PTR_NOT_NULL (stop);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_run_of_unknown_job (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  reported_run_t running = { .run = 1, .checkpoint = "" };

  list_executor (fixture, "e1", 1, false);
  running.task = task_ref (7, 0);
  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 'x'));
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_failure_counted_once (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  task_progress_t failed
      = { .index = 0, .failures = 1, .failed_runs = { 1 }, .failed_run_count = 1 };
  reported_end_t end = { .number = 1, .run = 1, .how = END_FAILED, .checkpoint = "" };

  CU_ASSERT (scheduler_add_job (fixture->scheduler, make_job_spec (1, 1, 1000), &failed, 1, true,
                                fixture->now_us, fixture->now_us / MS));
  list_executor (fixture, "e1", 1, false);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finish_count, 0);
  end.number = 2;
  end.run = 1001;
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finish_count, 1);
  CU_ASSERT_EQUAL (fixture->end_state, JOB_FAILED);
  fixture_free (fixture);
}

/* ---- Placements, draining and fencing. */

static void
test_start_waits_for_placement (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  fixture->delays_placements = true;
  step (fixture);
  CU_ASSERT (fixture->unstored_placement > RESTORED_PLACEMENT_LIMIT);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  scheduler_placement_stored (fixture->scheduler, fixture->unstored_placement, fixture->now_us);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 's'));
  CU_ASSERT_EQUAL (fixture->deleted_placement, 0);
  fixture_free (fixture);
}

static void
test_cancelled_before_placement_stored (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  fixture->delays_placements = true;
  step (fixture);
  CU_ASSERT (scheduler_cancel_job (fixture->scheduler, "0000000000000001", fixture->now_us));
  scheduler_placement_stored (fixture->scheduler, fixture->unstored_placement, fixture->now_us);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  CU_ASSERT_EQUAL (fixture->deleted_placement, fixture->unstored_placement);
  fixture_free (fixture);
}

static void
test_restored_placement_blocks_task (void)
{
  fixture_t *fixture = fixture_new (1, 2000 * MS);
  placed_run_t placed = { .run = 1, .executor = "e2" };
  const issued_order_t *start;

  add_job (fixture, make_job_spec (1, 2, 1000), true);
  placed.task = task_ref (1, 0);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  add_ready_executor (fixture, "e1");
  step (fixture);
  /* Task 1 runs nowhere.  Task 0 may run on e2, which has not reported. */
  start = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (start->index, 1);
  /* The run number is above those of every earlier leader. */
  CU_ASSERT (start->run > 1000);
  /* For up to 2 s, a VM may act for the earlier leader and send the start order, which may be
   * carried out CALL_DELAY_MAX_MS later, with a lease of 5 s. */
  fixture->now_us += (7000 + CALL_DELAY_MAX_MS) * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture->now_us += 1000 * MS;
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_EQUAL (start->index, 0);
  CU_ASSERT_EQUAL (fixture->deleted_placement, 1);
  fixture_free (fixture);
}

static void
test_restored_run_not_reported (void)
{
  fixture_t *fixture = fixture_new (1, 2000 * MS);
  placed_run_t placed = { .run = 1, .executor = "e1" };

  add_job (fixture, make_job_spec (1, 1, 1000), true);
  placed.task = task_ref (1, 0);
  scheduler_restore_placement (fixture->scheduler, 1, &placed, 1, fixture->now_us);
  add_ready_executor (fixture, "e1");
  /* The start order of the earlier leader may still arrive. */
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 'x'));
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_draining_executor_gets_no_start (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  add_ready_executor (fixture, "e1");
  list_executor (fixture, "e1", 1, true);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

static void
test_deposed_by_fencing_token (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t fenced = { .executor = "e1", .is_fenced = true };

  add_ready_executor (fixture, "e1");
  scheduler_executor_report (fixture->scheduler, &fenced, fixture->now_us);
  CU_ASSERT (fixture->is_deposed);
  fixture_free (fixture);
}

/* ---- Advice. */

static void
require_advice (fixture_t *fixture)
{
  fixture_queue (fixture)->advice = (advice_terms_t){
    .is_needed = true, .call_us = 10 * MS, .per_executor_us = MS, .valid_us = 2000 * MS
  };
  scheduler_set_desired (fixture->scheduler, fixture->desired);
}

static void
test_start_carries_ticket (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t ticket = { "e2", "t-1" };
  const issued_order_t *call;
  const issued_order_t *start;

  require_advice (fixture);
  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 2);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  scheduler_advice_result (fixture->scheduler, call->order, true, &ticket, 1, fixture->now_us);
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, "e2");
  CU_ASSERT_STRING_EQUAL (start->ticket, "t-1");
  fixture_free (fixture);
}

static void
test_expiring_ticket_requested_again (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t ticket = { "e2", "t-1" };
  const issued_order_t *call;
  const issued_order_t *start;

  require_advice (fixture);
  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 2, 4000), false);
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  step (fixture);
  call = expect_issued (fixture, 'a');
  scheduler_advice_result (fixture->scheduler, call->order, true, &ticket, 1, fixture->now_us);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_UNHEALTHY, fixture->now_us);
  /* The ticket for e2 expires in 100 ms, too soon for the ticket to be used.  The next call leaves
   * out e1, which advice denied. */
  fixture->now_us += 1900 * MS;
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 1);
  CU_ASSERT_STRING_EQUAL (call->candidate_ids[0], "e2");
  fixture_free (fixture);
}

static void
test_slow_advice_needs_slow_slot (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  require_advice (fixture);
  fixture_queue (fixture)->advice.call_us = 500 * MS;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  scheduler_set_advice_slots (fixture->scheduler, 3, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'a'));
  scheduler_set_advice_slots (fixture->scheduler, 3, 1);
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next_issued (fixture, 'a'));
  fixture_free (fixture);
}

/* ---- Queue order and executor assignment. */

static queue_order_key_t
make_order_key (guint priority, gint64 age_ms, gint64 objective_ms, gint64 remaining_ms)
{
  queue_order_job_t job = { .priority = priority,
                            .accepted_us = 1000000 * MS - age_ms * MS,
                            .objective_us = objective_ms * MS,
                            .remaining_us = remaining_ms * MS };

  return queue_order_key (&job, 1000000 * MS);
}

/* Key of a job that was accepted at this time and has long been lost. */
static queue_order_key_t
make_lost_key (gint64 accepted_ms, gint64 remaining_ms)
{
  queue_order_job_t job = { .priority = 1,
                            .accepted_us = accepted_ms * MS,
                            .objective_us = remaining_ms * MS,
                            .remaining_us = remaining_ms * MS };

  return queue_order_key (&job, 1000000 * MS);
}

/* Guards against large work that loses its turn to small work (SHORT): a lost job goes before those
 * that were accepted after it, whatever their size. */
static void
test_order_of_lost_work (void)
{
  queue_order_key_t large = make_lost_key (10000, 20000);
  queue_order_key_t small_later = make_lost_key (10001, 30);
  queue_order_key_t small_earlier = make_lost_key (9999, 30);

  CU_ASSERT (queue_order_compare (&large, &small_later) < 0);
  CU_ASSERT (queue_order_compare (&small_earlier, &large) < 0);
}

static void
test_queue_order (void)
{
  queue_order_key_t urgent = make_order_key (0, 100, 1750, 1000);
  queue_order_key_t normal = make_order_key (1, 100, 15000, 6000);
  queue_order_key_t normal_low_slack = make_order_key (1, 7000, 15000, 6000);
  queue_order_key_t late_urgent = make_order_key (0, 3000, 1750, 1000);
  queue_order_key_t nearly_lost_urgent = make_order_key (0, 3900, 1750, 1000);
  queue_order_key_t lost_urgent = make_order_key (0, 9000, 1750, 1000);

  CU_ASSERT (queue_order_compare (&urgent, &normal_low_slack) < 0);
  CU_ASSERT (queue_order_compare (&normal_low_slack, &normal) < 0);
  /* A job that will be late anyway does not delay one that can be on time... */
  CU_ASSERT (queue_order_compare (&normal, &lost_urgent) < 0);
  CU_ASSERT (queue_order_compare (&urgent, &late_urgent) < 0);
  /* ...until it is close to being lost. */
  CU_ASSERT (queue_order_compare (&nearly_lost_urgent, &normal) < 0);
  CU_ASSERT (queue_order_compare (&late_urgent, &lost_urgent) < 0);
}

static void
test_executor_assignment (void)
{
  balance_vm_t vms[] = {
    { .zone = "a", .cpu_milli = 250, .is_leader = true, .held = 0 },
    { .zone = "a", .cpu_milli = 250, .held = 3 },
    { .zone = "a", .cpu_milli = 500, .held = 3 },
    { .zone = "b", .cpu_milli = 250, .held = 0 },
  };

  CU_ASSERT_EQUAL (balance_choose_vm (vms, 4, "a"), 2);
  CU_ASSERT_EQUAL (balance_choose_vm (vms, 4, "b"), 3);
  CU_ASSERT_EQUAL (balance_choose_vm (vms, 1, "a"), 0);
  CU_ASSERT_EQUAL (balance_choose_vm (vms, 0, "a"), -1);
  vms[2].is_leaving = true;
  CU_ASSERT_EQUAL (balance_choose_vm (vms, 4, "a"), 1);
  CU_ASSERT (balance_should_move (vms, 4, "a", 2));
  CU_ASSERT (!balance_should_move (vms, 4, "a", 1));
}

/* ---- Leases of reassigned executors. */

/* Guards against a task started twice after its executor was reassigned.  The first VM had
 * renewed the executor's lease, but its report had not arrived; the second VM did not reach the
 * executor at once.  The tasks may run until that lease expires. */
static void
test_reassigned_executor_keeps_lease (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t first_report = { .executor = "e1", .is_reachable = true, .born = 1 };
  executor_report_t unreachable = { .executor = "e1" };
  const issued_order_t *start;

  list_executor (fixture, "e1", 1, false);
  scheduler_executor_report (fixture->scheduler, &first_report, fixture->now_us);
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, "e1");
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  scheduler_executor_reassigned (fixture->scheduler, "e1", fixture->now_us);
  fixture->now_us += 500 * MS;
  scheduler_executor_report (fixture->scheduler, &unreachable, fixture->now_us);
  step (fixture);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* Guards against the same fault for an executor that has not restarted, and whose registry entry
 * is read again with another address. */
static void
test_executor_with_new_address_keeps_lease (void)
{
  fixture_t *fixture = fixture_new (0, 2000 * MS);
  executor_report_t first_report = { .executor = "e1", .is_reachable = true, .born = 1 };
  executor_report_t unreachable = { .executor = "e1" };
  executor_entry_t entry = {
    .id = "e1",
    .address = "elsewhere",
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .born = 1,
  };

  list_executor (fixture, "e1", 1, false);
  scheduler_executor_report (fixture->scheduler, &first_report, fixture->now_us);
  add_ready_executor (fixture, "e2");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  scheduler_order_result (fixture->scheduler, expect_issued (fixture, 's')->order, ORDER_OK,
                          fixture->now_us);
  /* With the 500 ms below, this is beyond the lease expiry that the first listing set. */
  fixture->now_us += 7000 * MS;
  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
  fixture->now_us += 500 * MS;
  scheduler_executor_report (fixture->scheduler, &unreachable, fixture->now_us);
  step (fixture);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  fixture_free (fixture);
}

/* ---- Gangs that wait for resources. */

/* Adds a second queue, whose starts need no advice. */
static void
add_queue_without_advice (fixture_t *fixture)
{
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  queue->name = g_strdup ("plain");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/plain");
  queue->service = g_strdup ("s");
  queue->attempts = 2;
  queue->stretch = 2.0;
  g_ptr_array_add (fixture->desired->queues, queue);
  scheduler_set_desired (fixture->scheduler, fixture->desired);
}

/* Starts a task of a new job in this queue, with an estimated run time of `est_ms`. */
static void
start_task_in (fixture_t *fixture, const char *queue, guint number, guint cpu_milli, gint64 est_ms)
{
  job_spec_t *spec = make_job_spec (number, 1, cpu_milli);
  const issued_order_t *start;

  g_free (spec->queue);
  spec->queue = g_strdup (queue);
  spec->steps[0].est_runtime_us = est_ms * MS;
  add_job (fixture, spec, false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
}

static void
report_done (fixture_t *fixture, const char *id, guint number)
{
  reported_end_t end = { .number = 1, .task = task_ref (number, 0), .run = 1, .how = END_DONE };

  report (fixture, id, 1, fixture->mark, NULL, 0, &end, 1);
}

/* Guards against a gang that finds no free resources, as seen in the benchmark.  As there, both
 * executors are busy, and a call for advice takes 700 ms.  The calls must be made while the
 * resources are still in use, so that the gang starts as soon as they are free. */
static void
test_gang_requests_advice_early (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t tickets[] = { { "e1", "t-1" }, { "e2", "t-2" } };
  job_spec_t *gang = make_job_spec (9, 2, 4000);
  const issued_order_t *call;
  guint starts = 0;

  add_queue_without_advice (fixture);
  require_advice (fixture);
  fixture_queue (fixture)->advice.call_us = 700 * MS;
  fixture_queue (fixture)->advice.valid_us = 1500 * MS;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  start_task_in (fixture, "plain", 1, 4000, 3000);
  start_task_in (fixture, "plain", 2, 4000, 3000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 2);
  fixture->now_us += 700 * MS;
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, 2, fixture->now_us);
  /* New tickets would expire before the resources are free, so no call is made yet. */
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'a'));
  fixture->now_us += 1600 * MS;
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 2);
  fixture->now_us += 600 * MS;
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, 2, fixture->now_us);
  fixture->now_us += 100 * MS;
  report_done (fixture, "e1", 1);
  report_done (fixture, "e2", 2);
  step (fixture);
  while (next_issued (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 2);
  fixture_free (fixture);
}

/* A call that is slow only because it asks about many executors may be sent without a slow slot; it
 * must not open one for calls that are slow in themselves. */
static void
test_slow_slots_stay_closed (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  queue_spec_t *slow_queue;
  job_spec_t *slow = make_job_spec (2, 1, 1000);

  add_queue_without_advice (fixture);
  require_advice (fixture);
  fixture_queue (fixture)->advice.call_us = 100 * MS;
  fixture_queue (fixture)->advice.per_executor_us = 100 * MS;
  slow_queue = g_ptr_array_index (fixture->desired->queues, 1);
  slow_queue->advice = fixture_queue (fixture)->advice;
  slow_queue->advice.call_us = 700 * MS;
  slow_queue->objective_us = 5000 * MS; /* served last */
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  g_free (slow->queue);
  slow->queue = g_strdup (slow_queue->name);
  add_job (fixture, slow, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 0);
  step (fixture);
  CU_ASSERT_STRING_EQUAL (expect_issued (fixture, 'a')->job, "0000000000000001");
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'a'));
  fixture_free (fixture);
}

/* Adds `count` executors that have reported: e000, e001 and so on. */
static void
add_fleet (fixture_t *fixture, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%03u", i);
      add_ready_executor (fixture, id);
    }
}

/* Answers the call with a ticket for each executor that it asks about, of which there are `count`
 * from the executor with this number on. */
static void
allow_all (fixture_t *fixture, const issued_order_t *call, guint first, guint count)
{
  g_autofree ticket_t *tickets = g_new0 (ticket_t, count);
  g_autofree char (*ids)[8] = g_malloc0 (count * sizeof *ids);

  for (guint i = 0; i < count; i++)
    {
      g_snprintf (ids[i], sizeof ids[i], "e%03u", first + i);
      tickets[i] = (ticket_t){ ids[i], "t" };
    }
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, count, fixture->now_us);
}

/* Guards against gangs that wait in a fleet with room for them.  Advice had allowed enough
 * executors, but those are occupied for long; others have room, and the gang asks about them. */
static void
test_gang_asks_about_free_executors (void)
{
  enum
  {
    OCCUPIED = 16 /* as many as a gang of two asks about */
  };
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (99, 2, 4000);
  const issued_order_t *call;

  add_queue_without_advice (fixture);
  require_advice (fixture);
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_fleet (fixture, OCCUPIED);
  for (guint i = 0; i < OCCUPIED; i++)
    start_task_in (fixture, "plain", i + 1, 4000, 30000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, OCCUPIED);
  fixture->now_us += 15 * MS;
  allow_all (fixture, call, 0, OCCUPIED);
  list_executor (fixture, "f1", 1, false);
  report (fixture, "f1", 1, 0, NULL, 0, NULL, 0);
  list_executor (fixture, "f2", 1, false);
  report (fixture, "f2", 1, 0, NULL, 0, NULL, 0);
  fixture->now_us += 200 * MS;
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 2);
  fixture_free (fixture);
}

/* Guards against large gangs that do not start at peak load.  Each call for advice renewed only
 * the tickets that had just expired, so that the gang never had all tickets at the same time.  A
 * call must include the tickets that expire while it is under way. */
static void
test_gang_tickets_requested_together (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t tickets[] = { { "e1", "t-1" }, { "e2", "t-2" }, { "e3", "t-3" }, { "e4", "t-4" } };
  job_spec_t *gang = make_job_spec (9, 4, 4000);
  const issued_order_t *call;
  guint starts = 0;

  require_advice (fixture);
  fixture_queue (fixture)->advice.call_us = 700 * MS;
  fixture_queue (fixture)->advice.valid_us = 1500 * MS;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 2);
  fixture->now_us += 700 * MS;
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, 2, fixture->now_us);
  fixture->now_us += 800 * MS;
  add_ready_executor (fixture, "e3");
  add_ready_executor (fixture, "e4");
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  /* The call that was made when e3 joined fails. */
  call = expect_issued (fixture, 'a');
  scheduler_advice_result (fixture->scheduler, call->order, false, NULL, 0, fixture->now_us);
  fixture->now_us += 200 * MS;
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  CU_ASSERT_EQUAL (call->candidate_count, 4);
  fixture->now_us += 700 * MS;
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, 4, fixture->now_us);
  step (fixture);
  while (next_issued (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 4);
  fixture_free (fixture);
}

/* Guards against wide gangs that lose their turn (SHORT).  One call asks about 100 executors, and
 * its tickets have expired when a second one that is sent after its answer is answered: a gang that
 * needs more asks about different executors at the same time. */
static void
test_short_wide_gang_asks_at_once (void)
{
  enum
  {
    FLEET = 180,
    WIDTH = 150
  };
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (9, WIDTH, 4000);
  const issued_order_t *calls[2];
  guint starts = 0;

  require_advice (fixture);
  fixture_queue (fixture)->advice.call_us = 700 * MS;
  fixture_queue (fixture)->advice.valid_us = 800 * MS;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_fleet (fixture, FLEET);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      scheduler_set_advice_slots (fixture->scheduler, 1, 1);
      step (fixture);
      calls[i] = expect_issued (fixture, 'a');
    }
  CU_ASSERT_EQUAL (calls[0]->candidate_count, 100);
  CU_ASSERT_EQUAL (calls[1]->candidate_count, FLEET - 100);
  scheduler_set_advice_slots (fixture->scheduler, 1, 1);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'a'));
  fixture->now_us += 700 * MS;
  allow_all (fixture, calls[0], 0, 100);
  allow_all (fixture, calls[1], 100, FLEET - 100);
  step (fixture);
  while (next_issued (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, WIDTH);
  fixture_free (fixture);
}

/* Guards against gangs that wait for the few executors that they know (SHORT).  All executors are
 * occupied: the more of them are known to be allowed, the sooner room for a whole gang is free. */
static void
test_short_gang_knows_many_executors (void)
{
  enum
  {
    OCCUPIED = 30
  };
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (99, 2, 4000);

  add_queue_without_advice (fixture);
  require_advice (fixture);
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_fleet (fixture, OCCUPIED);
  for (guint i = 0; i < OCCUPIED; i++)
    start_task_in (fixture, "plain", i + 1, 4000, 30000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  CU_ASSERT_EQUAL (expect_issued (fixture, 'a')->candidate_count, OCCUPIED);
  fixture_free (fixture);
}

/* Guards against gangs that cannot start and use up the calls for advice (SHORT).  A gang that
 * needs three executors is allowed two of all there are: it does not renew their tickets. */
static void
test_short_unplaceable_gang_renews_no_tickets (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t tickets[] = { { "e1", "t-1" }, { "e2", "t-2" } };
  job_spec_t *gang = make_job_spec (9, 3, 4000);
  const issued_order_t *call;

  require_advice (fixture);
  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  add_ready_executor (fixture, "e3");
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  call = expect_issued (fixture, 'a');
  scheduler_advice_result (fixture->scheduler, call->order, true, tickets, 2, fixture->now_us);
  fixture->now_us += 2500 * MS;
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 'a'));
  add_ready_executor (fixture, "e4");
  scheduler_set_advice_slots (fixture->scheduler, 2, 2);
  step (fixture);
  CU_ASSERT_EQUAL (expect_issued (fixture, 'a')->candidate_count, 3);
  fixture_free (fixture);
}

/* Guards against a fleet that stands idle for gangs that cannot start (SHORT).  A gang for which
 * there are not enough slots, at whatever time, reserves nothing. */
static void
test_short_gang_without_enough_slots_reserves_nothing (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (9, 3, 4000);

  add_ready_executor (fixture, "e1");
  add_ready_executor (fixture, "e2");
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  step (fixture);
  fixture->now_us += 100 * MS;
  add_job (fixture, make_job_spec (10, 1, 1000), false);
  step (fixture);
  CU_ASSERT_STRING_EQUAL (expect_issued (fixture, 's')->job, "000000000000000a");
  fixture_free (fixture);
}

static void
keep_runtime_ratio (const queue_stats_t *stats, void *data)
{
  *(double *) data = stats->runtime_ratio;
}

/* Reports that the gang's members, one on each executor, have ended. */
static void
report_gang_done (fixture_t *fixture, const char *job, guint width)
{
  for (guint i = 0; i < width; i++)
    {
      const issued_order_t *start = expect_issued (fixture, 's');
      reported_end_t end = { .number = 1, .run = start->run, .how = END_DONE, .checkpoint = "" };

      g_strlcpy (end.task.job, job, sizeof end.task.job);
      end.task.index = start->index;
      report (fixture, start->executor, 1, 0, NULL, 0, &end, 1);
    }
}

/* Guards against an order of work that follows the last gang that ended (SHORT).  A gang whose
 * estimate was wrong by a factor of ten moves the estimates of its queue as a narrow job does. */
static void
test_short_wide_gang_counts_once_in_estimates (void)
{
  enum
  {
    WIDTH = 30
  };
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (9, WIDTH, 4000);
  double ratio = 0.0;

  add_fleet (fixture, WIDTH);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  step (fixture);
  for (guint i = 0; i < fixture->order_count; i++)
    {
      if (fixture->orders[i].kind == 's')
        scheduler_order_result (fixture->scheduler, fixture->orders[i].order, ORDER_OK,
                                fixture->now_us);
    }
  fixture->now_us += 10000 * MS;
  report_gang_done (fixture, "0000000000000009", WIDTH);
  scheduler_visit_queues (fixture->scheduler, keep_runtime_ratio, &ratio);
  CU_ASSERT (ratio > 1.1);
  CU_ASSERT (ratio < 2.0);
  fixture_free (fixture);
}

/* Resources are reserved for a gang only on the executors where they become free first. */
static void
test_gang_reserves_earliest_resources (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = make_job_spec (9, 2, 4000);
  const issued_order_t *start;

  add_ready_executor (fixture, "e1");
  start_task_in (fixture, "q", 1, 4000, 9000);
  add_ready_executor (fixture, "e2");
  start_task_in (fixture, "q", 2, 3000, 1000);
  add_ready_executor (fixture, "e3");
  start_task_in (fixture, "q", 3, 3000, 2000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  step (fixture);
  /* A small task cannot start: the free CPU of e2 and e3 is reserved for the gang. */
  add_job (fixture, make_job_spec (4, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next_issued (fixture, 's'));
  add_ready_executor (fixture, "e4");
  start = expect_issued (fixture, 's');
  /* The gang's plan now uses e4 instead of e3, which is free for the small task. */
  CU_ASSERT_STRING_EQUAL (start->executor, "e3");
  fixture_free (fixture);
}

/* ---- Leader election, admission and routing. */

/* VMs of two sizes compete for a vacant leadership.  One of the larger VMs wins, unless none of
 * them is left. */
static void
test_election_delays (void)
{
  CU_ASSERT_EQUAL (election_policy_delay_ms (500, 500, true), 0);
  CU_ASSERT (election_policy_delay_ms (120, 500, true) > election_policy_delay_ms (500, 500, true));
  /* The delay is shorter than the time without a leader that an expired lease costs anyway. */
  CU_ASSERT (election_policy_delay_ms (120, 500, true) < 1000);
  /* After an outage, a smaller VM waits until a larger one has noticed its end as well. */
  CU_ASSERT (election_policy_delay_ms (120, 500, true) + election_policy_outage_delay_ms (120, 500)
             > 860);
  CU_ASSERT_EQUAL (election_policy_outage_delay_ms (500, 500), 0);
  CU_ASSERT_EQUAL (election_policy_outage_delay_ms (120, 0), 0);
  /* VMs of about the same size don't wait for each other. */
  CU_ASSERT_EQUAL (election_policy_delay_ms (250, 250, true), 0);
  CU_ASSERT_EQUAL (election_policy_delay_ms (450, 500, true), 0);
  /* At the first start a VM knows no size but its own. */
  CU_ASSERT (election_policy_delay_ms (120, 0, true) > election_policy_delay_ms (500, 0, true));
  CU_ASSERT_EQUAL (election_policy_delay_ms (1000, 0, true), 0);
  /* Rolling restart: a VM that has been restarted goes before one that is to be stopped next.  A
   * larger VM still goes before a smaller one. */
  CU_ASSERT (election_policy_delay_ms (250, 250, true)
             < election_policy_delay_ms (250, 250, false));
  CU_ASSERT (election_policy_delay_ms (500, 500, false)
             < election_policy_delay_ms (120, 500, true));
  CU_ASSERT (election_policy_should_step_down (120, 500));
  CU_ASSERT_FALSE (election_policy_should_step_down (500, 500));
  CU_ASSERT_FALSE (election_policy_should_step_down (500, 120));
  CU_ASSERT_FALSE (election_policy_should_step_down (450, 500));
}

static void
test_leader_lease_validity (void)
{
  lease_validity_t validity = { 0 };

  lease_validity_begin (&validity, 2000 * MS, 1000 * MS);
  CU_ASSERT_EQUAL (lease_validity_remaining_us (&validity, 1500 * MS), 1500 * MS);
  lease_validity_renewed (&validity, 1600 * MS);
  /* A renewed lease does not show that the leader still owns the key. */
  CU_ASSERT_EQUAL (lease_validity_remaining_us (&validity, 1700 * MS), 1300 * MS);
  lease_validity_confirmed (&validity);
  CU_ASSERT_EQUAL (lease_validity_remaining_us (&validity, 1700 * MS), 1900 * MS);
  lease_validity_renewed (&validity, 1200 * MS);
  lease_validity_confirmed (&validity);
  CU_ASSERT_EQUAL (lease_validity_remaining_us (&validity, 1700 * MS), 1900 * MS);
}

static void
test_admission_and_retry_delay (void)
{
  admission_paths_t no_path = { false, false };
  admission_paths_t relay_only = { false, true };

  CU_ASSERT (!admission_has_path (&no_path));
  CU_ASSERT (admission_has_path (&relay_only));
  CU_ASSERT_EQUAL (admission_retry_after_ms (0), 1000);
  CU_ASSERT_EQUAL (admission_retry_after_ms (2500 * MS), 2500);
  CU_ASSERT_EQUAL (admission_retry_after_ms (60000 * MS), 3000);
}

/* When the store answers every VM in 200 ms, hedging stops after the few calls that raise the
 * mean latency.  The leader relays a limited number of calls, so that its own are not delayed
 * by those of 40 VMs. */
static void
test_hedging_on_slow_store (void)
{
  gint64 mean_us = 0;
  guint hedged = 0;
  guint open = 0;

  for (guint i = 0; i < 100; i++)
    mean_us = admission_mean_latency_us (mean_us, 8 * MS);
  CU_ASSERT_EQUAL (mean_us, 8 * MS);
  CU_ASSERT_EQUAL (admission_hedge_delay_us (mean_us), 150 * MS);
  for (guint i = 0; i < 100; i++)
    {
      hedged += admission_hedge_delay_us (mean_us) < 200 * MS;
      mean_us = admission_mean_latency_us (mean_us, 200 * MS);
    }
  CU_ASSERT (hedged <= 3);
  CU_ASSERT (admission_hedge_delay_us (800 * MS) < 700 * MS);
  while (admission_may_relay (open))
    open++;
  CU_ASSERT (open >= 4 && open <= 12);
}

static void
test_longest_prefix_selects_queue (void)
{
  desired_state_t *desired = desired_state_new ();
  static const char *const prefixes[] = { "/a/", "/a/b/" };

  for (guint i = 0; i < 2; i++)
    {
      queue_spec_t *queue = g_new0 (queue_spec_t, 1);

      queue->name = g_strdup (prefixes[i]);
      queue->host = g_strdup ("H.example");
      queue->prefix = g_strdup (prefixes[i]);
      queue->service = g_strdup ("s");
      g_ptr_array_add (desired->queues, queue);
    }
  CU_ASSERT_STRING_EQUAL (desired_state_find_route (desired, "h.example:80", "/a/b/c")->name,
                          "/a/b/");
  CU_ASSERT_STRING_EQUAL (desired_state_find_route (desired, "h.example", "/a/x")->name, "/a/");
  CU_ASSERT_PTR_NULL (desired_state_find_route (desired, "other", "/a/x"));
  CU_ASSERT_PTR_NULL (desired_state_find_route (desired, "h.example", "/b"));
  desired_state_free (desired);
}

/* Due times are sums of these numbers, which a client may choose: a sum that wraps around is due
 * long before its time. */
static void
test_times_of_occurrences (void)
{
  static const struct
  {
    guint times;
    gint64 start_at_ms;
    gint64 interval_ms;
    bool is_valid;
  } cases[] = {
    { 1, 0, 0, true },
    { 10000, 1800000000000, 60000, true },
    { 1, JOB_SPEC_MAX_UNIX_MS, JOB_SPEC_MAX_UNIX_MS, true },
    { 2, JOB_SPEC_MAX_UNIX_MS, 1, false },
    { 10000, 1800000000000, JOB_SPEC_MAX_UNIX_MS, false },
    { 1, G_MAXINT64, 0, false },
    { 2, 0, G_MAXINT64, false },
    { 1, -1, 0, false },
    { 2, 1800000000000, -1, false },
    { 0, G_MAXINT64, G_MAXINT64, true },
  };
  step_spec_t step = { .count = 1 };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      job_spec_t spec = { .steps = &step,
                          .step_count = 1,
                          .times = cases[i].times,
                          .start_at_ms = cases[i].start_at_ms,
                          .interval_ms = cases[i].interval_ms };

      CU_ASSERT_EQUAL (job_spec_error (&spec) == NULL, cases[i].is_valid);
    }
}

int
main (void)
{
  CU_pSuite suite;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("cell", NULL, NULL);
  CU_add_test (suite, "an unanswered start is stopped before a retry", test_unanswered_start);
  CU_add_test (suite, "an unanswered start is stopped again after a restart",
               test_unanswered_start_and_restart);
  CU_add_test (suite, "a stale registry entry ends no run", test_stale_registry_entry_ends_no_run);
  CU_add_test (suite, "occurrences are due in a time that can be added to",
               test_times_of_occurrences);
  CU_add_test (suite, "lease expiry allows for clock drift",
               test_lease_expiry_allows_for_clock_drift);
  CU_add_test (suite, "BUDGET: registry entries show a crash in any order",
               test_budget_crash_shown_by_entries_in_any_order);
  CU_add_test (suite, "LOST: starts that were not received are no crashes",
               test_lost_job_whose_starts_were_not_received);
  CU_add_test (suite, "TWICE: a start grants a lease", test_twice_start_grants_lease);
  CU_add_test (suite, "TWICE: a start in flight may grant a lease",
               test_twice_start_in_flight_keeps_run);
  CU_add_test (suite, "an end is acknowledged only once it is stored",
               test_end_acknowledged_when_stored);
  CU_add_test (suite, "a job has started once a run is confirmed",
               test_job_started_when_run_confirmed);
  CU_add_test (suite, "capacity is not exceeded", test_capacity_not_exceeded);
  CU_add_test (suite, "a gang starts all of its tasks or none", test_gang_starts_together);
  CU_add_test (suite, "a gang with same_rack starts in one rack", test_gang_in_one_rack);
  CU_add_test (suite, "a gang is spread over racks when waiting costs more",
               test_gang_spread_after_wait);
  CU_add_test (suite, "best-effort and latency-sensitive tasks share no executor",
               test_best_effort_kept_apart);
  CU_add_test (suite, "a reassigned executor keeps its lease",
               test_reassigned_executor_keeps_lease);
  CU_add_test (suite, "an executor with a new address keeps its lease",
               test_executor_with_new_address_keeps_lease);
  CU_add_test (suite, "a gang requests advice before resources are free",
               test_gang_requests_advice_early);
  CU_add_test (suite, "a call slow by its executors opens no slow slot",
               test_slow_slots_stay_closed);
  CU_add_test (suite, "a gang asks about free executors while the allowed ones are occupied",
               test_gang_asks_about_free_executors);
  CU_add_test (suite, "a gang's tickets are requested together",
               test_gang_tickets_requested_together);
  CU_add_test (suite, "SHORT: a wide gang asks about different executors at the same time",
               test_short_wide_gang_asks_at_once);
  CU_add_test (suite, "SHORT: a gang in an occupied fleet knows many executors",
               test_short_gang_knows_many_executors);
  CU_add_test (suite, "SHORT: a gang without enough slots reserves nothing",
               test_short_gang_without_enough_slots_reserves_nothing);
  CU_add_test (suite, "SHORT: a gang that cannot be placed renews no tickets",
               test_short_unplaceable_gang_renews_no_tickets);
  CU_add_test (suite, "SHORT: a wide gang counts once in the estimates of its queue",
               test_short_wide_gang_counts_once_in_estimates);
  CU_add_test (suite, "a gang reserves the resources that are free first",
               test_gang_reserves_earliest_resources);
  CU_add_test (suite, "a gang is stopped when a start is refused",
               test_gang_stopped_when_start_refused);
  CU_add_test (suite, "GANG: members are stopped when a start is unanswered",
               test_gang_stopped_when_start_unanswered);
  CU_add_test (suite, "GANG: members are stopped when a start is late",
               test_gang_stopped_when_start_is_late);
  CU_add_test (suite, "a cancel stops runs and prevents starts", test_cancel);
  CU_add_test (suite, "a stalled run is stopped and its executor ejected", test_stalled_run);
  CU_add_test (suite, "an unneeded run keeps its resources until it is gone",
               test_unneeded_run_keeps_resources);
  CU_add_test (suite, "a run of an unknown job occupies its whole executor",
               test_run_of_unknown_job);
  CU_add_test (suite, "a failure is counted once", test_failure_counted_once);
  CU_add_test (suite, "failures are counted in any order of their reports",
               test_failures_out_of_order);
  CU_add_test (suite, "a start waits until its placement is stored",
               test_start_waits_for_placement);
  CU_add_test (suite, "a cancel before the placement is stored prevents the start",
               test_cancelled_before_placement_stored);
  CU_add_test (suite, "a restored placement blocks only its own task",
               test_restored_placement_blocks_task);
  CU_add_test (suite, "a restored run that is not reported is stopped",
               test_restored_run_not_reported);
  CU_add_test (suite, "a draining executor gets no start", test_draining_executor_gets_no_start);
  CU_add_test (suite, "a higher fencing token deposes the leader", test_deposed_by_fencing_token);
  CU_add_test (suite, "a start carries its ticket", test_start_carries_ticket);
  CU_add_test (suite, "a ticket close to expiry is requested again, but not for a denied executor",
               test_expiring_ticket_requested_again);
  CU_add_test (suite, "a slow call for advice needs a slow slot", test_slow_advice_needs_slow_slot);
  CU_add_test (suite, "waiting work is ordered by urgency and slack", test_queue_order);
  CU_add_test (suite, "SHORT: lost work is ordered by acceptance", test_order_of_lost_work);
  CU_add_test (suite, "executors are assigned by the load of VMs", test_executor_assignment);
  CU_add_test (suite, "a larger VM takes a vacant leadership first", test_election_delays);
  CU_add_test (suite, "leadership is valid while renewed and confirmed",
               test_leader_lease_validity);
  CU_add_test (suite, "admission requires a path and the retry delay is clamped",
               test_admission_and_retry_delay);
  CU_add_test (suite, "calls to a slow store are rarely hedged", test_hedging_on_slow_store);
  CU_add_test (suite, "the longest path prefix selects the queue",
               test_longest_prefix_selects_queue);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
