/* Unit tests of the decider: what it orders, and when it believes that something ended. */
#include "decide/scheduler.h"
#include "decide/admission.h"
#include "decide/queue_order.h"
#include "decide/spec.h"
#include "decide/balance.h"
#include "decide/election_policy.h"
#include "decide/lease_validity.h"

#include <CUnit/Basic.h>
#include <string.h>

#define MS ((gint64) 1000)

enum
{
  LOG_MAX = 512
};

/* What the cell ordered, in order. */
typedef struct
{
  char kind; /* 's' start, 'x' stop, 'a' advice */
  guint64 order;
  char executor[16];
  char job[JOB_ID_BYTES];
  guint index;
  guint run;
  gint64 born;
  char ticket[32];
  guint named;
  gint64 expected_us;
  char names[16][16];
} entry_t;

typedef struct
{
  cell_t *cell;
  desired_t *desired;
  entry_t log[LOG_MAX];
  guint count;
  guint read; /* entries already looked at */
  guint64 acked;
  guint64 mark;
  guint saves;
  job_state_t finished;
  guint finishes;
  guint64 placement; /* the latest; 0: none waits */
  guint64 dropped;
  bool holds_placements;
  bool is_deposed;
  gint64 now_us;
} fixture_t;

static entry_t *
add (fixture_t *fixture, char kind)
{
  entry_t *entry = &fixture->log[fixture->count++ % LOG_MAX];

  memset (entry, 0, sizeof *entry);
  entry->kind = kind;
  return entry;
}

static void
op_start (const start_order_t *order, void *data)
{
  entry_t *entry = add (data, 's');

  entry->order = order->order;
  entry->index = order->task.index;
  entry->run = order->run;
  entry->born = order->born;
  g_strlcpy (entry->executor, order->executor, sizeof entry->executor);
  g_strlcpy (entry->job, order->task.job, sizeof entry->job);
  g_strlcpy (entry->ticket, order->ticket, sizeof entry->ticket);
}

static void
op_stop (const stop_order_t *order, void *data)
{
  entry_t *entry = add (data, 'x');

  entry->order = order->order;
  entry->index = order->task.index;
  entry->run = order->run;
  entry->born = order->born;
  g_strlcpy (entry->executor, order->executor, sizeof entry->executor);
}

static void
op_advise (const advise_order_t *order, void *data)
{
  entry_t *entry = add (data, 'a');

  entry->order = order->order;
  entry->named = order->executor_count;
  entry->expected_us = order->expected_us;
  g_strlcpy (entry->job, order->step.job, sizeof entry->job);
  for (guint i = 0; i < MIN (order->executor_count, 16); i++)
    g_strlcpy (entry->names[i], order->executors[i], sizeof entry->names[i]);
}

static void
op_save (const char *job G_GNUC_UNUSED, void *data)
{
  ((fixture_t *) data)->saves++;
}

static void
op_finish (const char *job G_GNUC_UNUSED, job_state_t state, void *data)
{
  fixture_t *fixture = data;

  fixture->finished = state;
  fixture->finishes++;
}

static void
op_acknowledge (const char *executor G_GNUC_UNUSED, guint64 acked, guint64 mark, void *data)
{
  fixture_t *fixture = data;

  fixture->acked = acked;
  fixture->mark = mark;
}

static void
op_hold (const char *executor G_GNUC_UNUSED,
         const char *address G_GNUC_UNUSED,
         void *data G_GNUC_UNUSED)
{
}

/* Placements are stored at once, unless a test holds them back. */
static void
op_place (guint64 placement,
          const placed_run_t *runs G_GNUC_UNUSED,
          guint count G_GNUC_UNUSED,
          void *data)
{
  ((fixture_t *) data)->placement = placement;
}

static void
op_drop_placement (guint64 placement, void *data)
{
  ((fixture_t *) data)->dropped = placement;
}

static void
op_deposed (void *data)
{
  ((fixture_t *) data)->is_deposed = true;
}

static void
op_note (const char *event G_GNUC_UNUSED, const char *pairs G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static const cell_ops_t ops = {
  .start = op_start,
  .stop = op_stop,
  .advise = op_advise,
  .save = op_save,
  .finish = op_finish,
  .acknowledge = op_acknowledge,
  .hold = op_hold,
  .place = op_place,
  .drop_placement = op_drop_placement,
  .deposed = op_deposed,
  .note = op_note,
};

/* ---- A cell with one queue. */

static fixture_t *
fixture_new (guint epoch, gint64 claim_us)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  cell_limits_t limits = { .hold_us = 5000 * MS, .claim_us = claim_us, .remote_factor = 2.0 };
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  fixture->now_us = 1000000 * MS;
  fixture->desired = desired_new ();
  queue->name = g_strdup ("q");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("s");
  queue->attempts = 2;
  queue->stretch = 2.0;
  queue->objective_us = 500 * MS;
  g_ptr_array_add (fixture->desired->queues, queue);
  fixture->cell = cell_new (&limits, epoch, fixture->now_us, &ops, fixture);
  cell_set_desired (fixture->cell, fixture->desired);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  cell_free (fixture->cell);
  desired_free (fixture->desired);
  g_free (fixture);
}

static queue_spec_t *
queue_of (fixture_t *fixture)
{
  return g_ptr_array_index (fixture->desired->queues, 0);
}

static void
list_executor (fixture_t *fixture, const char *id, gint64 born, bool is_draining)
{
  executor_entry_t entry = {
    .id = id,
    .address = id,
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .is_draining = is_draining,
    .born = born,
  };

  cell_executor_listed (fixture->cell, &entry, fixture->now_us);
}

static void
report (fixture_t *fixture,
        const char *id,
        gint64 born,
        guint64 mark,
        const run_row_t *running,
        guint running_count,
        const end_row_t *ended,
        guint ended_count)
{
  executor_report_t message = {
    .executor = id,
    .is_reached = true,
    .is_renewed = true,
    .born = born,
    .mark = mark,
    .running = running,
    .running_count = running_count,
    .ended = ended,
    .ended_count = ended_count,
  };

  cell_executor_report (fixture->cell, &message, fixture->now_us);
}

static void
step (fixture_t *fixture)
{
  guint64 placement;

  (void) cell_step (fixture->cell, fixture->now_us, fixture->now_us / MS);
  placement = fixture->placement;
  if (placement == 0 || fixture->holds_placements)
    return;
  fixture->placement = 0;
  cell_placement_stored (fixture->cell, placement, fixture->now_us);
}

/* An executor that can be used at once. */
static void
ready_executor (fixture_t *fixture, const char *id)
{
  list_executor (fixture, id, 1, false);
  report (fixture, id, 1, 0, NULL, 0, NULL, 0);
  step (fixture);
}

static job_spec_t *
job_spec (guint number, guint count, guint cpu_milli)
{
  job_spec_t *spec = g_new0 (job_spec_t, 1);

  g_snprintf (spec->id, sizeof spec->id, "%016x", number);
  spec->queue = g_strdup ("q");
  spec->service = g_strdup ("s");
  spec->spec = g_strdup ("work");
  spec->step_count = 1;
  spec->steps = g_new0 (step_spec_t, 1);
  spec->steps[0].count = count;
  spec->steps[0].need.cpu_milli = cpu_milli;
  spec->steps[0].est_us = 1000 * MS;
  spec->accepted_ms = 1000000;
  return spec;
}

static void
add_job (fixture_t *fixture, job_spec_t *spec, bool is_old)
{
  CU_ASSERT (
      cell_add_job (fixture->cell, spec, NULL, 0, is_old, fixture->now_us, fixture->now_us / MS));
}

/* The next order of this kind that was not looked at, or NULL. */
static const entry_t *
next (fixture_t *fixture, char kind)
{
  while (fixture->read < fixture->count)
    {
      const entry_t *entry = &fixture->log[fixture->read++];

      if (entry->kind == kind)
        return entry;
    }
  return NULL;
}

/* The same, where a test cannot go on without one. */
static const entry_t *
must (fixture_t *fixture, char kind)
{
  const entry_t *entry = next (fixture, kind);

  if (entry == NULL)
    g_error ("no order of kind %c was given", kind);
  return entry;
}

static task_ref_t
task_ref (guint number, guint index)
{
  task_ref_t ref = { .index = index };

  g_snprintf (ref.job, sizeof ref.job, "%016x", number);
  return ref;
}

/* ---- Runs. */

static void
test_lost_start (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;
  const entry_t *stop;

  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_LOST, fixture->now_us);
  step (fixture);
  stop = must (fixture, 'x');
  CU_ASSERT_STRING_EQUAL (stop->executor, start->executor);
  /* Not started again while the stop is on its way, nor before a report that was asked
   * for after it. */
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  cell_order_result (fixture->cell, stop->order, ORDER_OK, fixture->now_us);
  report (fixture, start->executor, 1, fixture->mark - 1, NULL, 0, NULL, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  report (fixture, start->executor, 1, fixture->mark, NULL, 0, NULL, 0);
  step (fixture);
  start = must (fixture, 's');
  CU_ASSERT_EQUAL (start->run, 2);
  fixture_free (fixture);
}

static void
test_unsure_start_and_new_life (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;
  const entry_t *stop;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_LOST, fixture->now_us);
  (void) next (fixture, 'x');
  report (fixture, "e1", 2, 0, NULL, 0, NULL, 0);
  stop = must (fixture, 'x');
  CU_ASSERT_EQUAL (stop->born, 2);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_stale_registry_entry (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;

  ready_executor (fixture, "e1");
  report (fixture, "e1", 5, 0, NULL, 0, NULL, 0);
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  list_executor (fixture, "e1", 1, false);
  /* Usable again, it would be given the task a second time. */
  report (fixture, "e1", 5, 0, NULL, 0, NULL, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_lapse (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t silent = { .executor = "e1", .is_renewed = true };
  const entry_t *start;

  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 4000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  silent.executor = start->executor;
  cell_executor_report (fixture->cell, &silent, fixture->now_us);
  /* The executor's clock may be 2 % slow. */
  fixture->now_us += 5050 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture->now_us += 400 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_acknowledged_when_stored (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  end_row_t end = { .number = 1, .run = 1, .how = END_DONE, .checkpoint = "" };
  const entry_t *start;
  guint64 batch;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 2, 1000), false);
  step (fixture);
  while ((start = next (fixture, 's')) != NULL)
    cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->saves, 1);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  batch = cell_batch_begin (fixture->cell);
  CU_ASSERT_EQUAL (fixture->acked, 0);
  cell_batch_done (fixture->cell, batch);
  CU_ASSERT_EQUAL (fixture->acked, 1);
  fixture_free (fixture);
}

static void
test_begun_when_confirmed (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  CU_ASSERT_EQUAL (cell_pending (fixture->cell, "q"), 1);
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  CU_ASSERT_EQUAL (cell_pending (fixture->cell, "q"), 0);
  fixture_free (fixture);
}

static void
test_capacity (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  guint starts = 0;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 9, 1500), false);
  step (fixture);
  while (next (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 2);
  fixture_free (fixture);
}

static void
test_gang_whole (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = job_spec (1, 3, 2000);
  const entry_t *start;
  guint starts = 0;

  spec->steps[0].gang = true;
  ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  ready_executor (fixture, "e2");
  step (fixture);
  while ((start = next (fixture, 's')) != NULL)
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
  end_row_t end = { .number = 1, .run = 2, .how = END_FAILED, .checkpoint = "" };

  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finishes, 0);
  /* The first run's end is listed later, by an executor that was cut off. */
  end.run = 1;
  report (fixture, "e2", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finished, JOB_FAILED);
  CU_ASSERT_EQUAL (fixture->finishes, 1);
  fixture_free (fixture);
}

static void
rack_executor (fixture_t *fixture, const char *id, const char *rack)
{
  executor_entry_t entry = { .id = id,
                             .address = id,
                             .service = "s",
                             .zone = "z",
                             .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
                             .rack = rack,
                             .born = 1 };

  cell_executor_listed (fixture->cell, &entry, fixture->now_us);
  report (fixture, id, 1, 0, NULL, 0, NULL, 0);
}

static void
test_gang_in_one_rack (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = job_spec (1, 2, 4000);
  const entry_t *start;

  spec->steps[0].gang = true;
  spec->steps[0].same_rack = true;
  rack_executor (fixture, "e1", "r1");
  rack_executor (fixture, "e2", "r2");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  rack_executor (fixture, "e3", "r2");
  step (fixture);
  while ((start = next (fixture, 's')) != NULL)
    CU_ASSERT_STRING_NOT_EQUAL (start->executor, "e1");
  CU_ASSERT (fixture->placement == 0 && fixture->count >= 2);
  fixture_free (fixture);
}

static void
test_gang_spread_at_last (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = job_spec (1, 2, 4000);

  spec->steps[0].gang = true;
  spec->steps[0].same_rack = true;
  rack_executor (fixture, "e1", "r1");
  rack_executor (fixture, "e2", "r2");
  add_job (fixture, spec, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  /* Spread, its second of work takes a second more. */
  fixture->now_us += 1100 * MS;
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_filling_work_kept_apart (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *serving = job_spec (1, 1, 1000);
  job_spec_t *filling = job_spec (2, 1, 1000);

  serving->steps[0].long_running = true;
  serving->steps[0].target_ms = 50;
  filling->steps[0].fills = true;
  ready_executor (fixture, "e1");
  add_job (fixture, serving, false);
  step (fixture);
  (void) must (fixture, 's');
  add_job (fixture, filling, false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  ready_executor (fixture, "e2");
  CU_ASSERT_STRING_EQUAL (must (fixture, 's')->executor, "e2");
  fixture_free (fixture);
}

static void
test_gang_member_refused (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *spec = job_spec (1, 2, 2000);
  const entry_t *first;
  const entry_t *second;

  spec->steps[0].gang = true;
  ready_executor (fixture, "e1");
  add_job (fixture, spec, false);
  step (fixture);
  first = must (fixture, 's');
  second = must (fixture, 's');
  cell_order_result (fixture->cell, first->order, ORDER_OK, fixture->now_us);
  cell_order_result (fixture->cell, second->order, ORDER_BUSY, fixture->now_us);
  /* One that cannot start ends the others at once. */
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 'x'));
  fixture_free (fixture);
}

static void
test_cancel (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  add_job (fixture, job_spec (2, 4, 4000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  CU_ASSERT (cell_cancel (fixture->cell, "0000000000000001", fixture->now_us));
  CU_ASSERT (cell_cancel (fixture->cell, "0000000000000002", fixture->now_us));
  CU_ASSERT_EQUAL (fixture->finished, JOB_CANCELLED);
  CU_ASSERT_EQUAL (fixture->finishes, 2);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 'x'));
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  CU_ASSERT (!cell_cancel (fixture->cell, "0000000000000003", fixture->now_us));
  fixture_free (fixture);
}

static void
show (fixture_t *fixture, const char *id, guint percent)
{
  run_row_t running = { .run = 1, .checkpoint = "", .percent = percent };

  running.task = task_ref (1, 0);
  report (fixture, id, 1, 0, &running, 1, NULL, 0);
  step (fixture);
}

static void
test_stalled_run (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  const entry_t *start;
  const entry_t *stop;

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  for (guint i = 0; i < 4; i++)
    {
      show (fixture, "e1", 10 + 20 * i);
      fixture->now_us += 1000 * MS;
    }
  CU_ASSERT_PTR_NULL (next (fixture, 'x'));
  for (guint i = 0; i < 3; i++)
    {
      show (fixture, "e1", 70);
      fixture->now_us += 1000 * MS;
    }
  stop = next (fixture, 'x');
  CU_ASSERT_PTR_NOT_NULL (stop);
  /* Its executor is set aside. */
  add_job (fixture, job_spec (2, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

/* ---- After another decider. */

static void
test_unwanted_run_keeps_room (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  task_progress_t done = { .index = 0, .is_done = true };
  run_row_t running = { .run = 1, .checkpoint = "" };
  const entry_t *stop;

  CU_ASSERT (cell_add_job (fixture->cell, job_spec (1, 2, 3000), &done, 1, true, fixture->now_us,
                           fixture->now_us / MS));
  list_executor (fixture, "e1", 1, false);
  running.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  step (fixture);
  /* The run of the task that is done is stopped, and still takes 3 of 4 cores. */
  stop = next (fixture, 'x');
  CU_ASSERT_PTR_NOT_NULL (stop);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_run_of_unknown_job (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  run_row_t running = { .run = 1, .checkpoint = "" };

  list_executor (fixture, "e1", 1, false);
  running.task = task_ref (7, 0);
  report (fixture, "e1", 1, 0, &running, 1, NULL, 0);
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 'x'));
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_failure_counted_once (void)
{
  fixture_t *fixture = fixture_new (1, 0);
  task_progress_t failed
      = { .index = 0, .failures = 1, .failed_runs = { 1 }, .failed_run_count = 1 };
  end_row_t end = { .number = 1, .run = 1, .how = END_FAILED, .checkpoint = "" };

  CU_ASSERT (cell_add_job (fixture->cell, job_spec (1, 1, 1000), &failed, 1, true, fixture->now_us,
                           fixture->now_us / MS));
  list_executor (fixture, "e1", 1, false);
  end.task = task_ref (1, 0);
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finishes, 0);
  end.number = 2;
  end.run = 1001;
  report (fixture, "e1", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (fixture->finishes, 1);
  CU_ASSERT_EQUAL (fixture->finished, JOB_FAILED);
  fixture_free (fixture);
}

static void
test_placed_before_started (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  fixture->holds_placements = true;
  step (fixture);
  CU_ASSERT (fixture->placement > CELL_OWN_PLACEMENTS);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  cell_placement_stored (fixture->cell, fixture->placement, fixture->now_us);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 's'));
  CU_ASSERT_EQUAL (fixture->dropped, 0);
  fixture_free (fixture);
}

static void
test_cancelled_before_placed (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  fixture->holds_placements = true;
  step (fixture);
  CU_ASSERT (cell_cancel (fixture->cell, "0000000000000001", fixture->now_us));
  cell_placement_stored (fixture->cell, fixture->placement, fixture->now_us);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  CU_ASSERT_EQUAL (fixture->dropped, fixture->placement);
  fixture_free (fixture);
}

static void
test_restored_placement (void)
{
  fixture_t *fixture = fixture_new (1, 2000 * MS);
  placed_run_t placed = { .run = 1, .executor = "e2" };
  const entry_t *start;

  add_job (fixture, job_spec (1, 2, 1000), true);
  placed.task = task_ref (1, 0);
  cell_restore_placement (fixture->cell, 1, &placed, 1, fixture->now_us);
  ready_executor (fixture, "e1");
  step (fixture);
  /* Task 1 runs nowhere; task 0 may run on e2, which has not answered. */
  start = must (fixture, 's');
  CU_ASSERT_EQUAL (start->index, 1);
  /* Above the numbers of every earlier claim. */
  CU_ASSERT (start->run > 1000);
  fixture->now_us += 7000 * MS;
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture->now_us += 1000 * MS;
  step (fixture);
  start = must (fixture, 's');
  CU_ASSERT_EQUAL (start->index, 0);
  CU_ASSERT_EQUAL (fixture->dropped, 1);
  fixture_free (fixture);
}

static void
test_restored_run_not_shown (void)
{
  fixture_t *fixture = fixture_new (1, 2000 * MS);
  placed_run_t placed = { .run = 1, .executor = "e1" };

  add_job (fixture, job_spec (1, 1, 1000), true);
  placed.task = task_ref (1, 0);
  cell_restore_placement (fixture->cell, 1, &placed, 1, fixture->now_us);
  ready_executor (fixture, "e1");
  /* Its order may still be on the way. */
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 'x'));
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_draining (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  ready_executor (fixture, "e1");
  list_executor (fixture, "e1", 1, true);
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

static void
test_deposed_by_fence (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t fenced = { .executor = "e1", .is_fenced = true };

  ready_executor (fixture, "e1");
  cell_executor_report (fixture->cell, &fenced, fixture->now_us);
  CU_ASSERT (fixture->is_deposed);
  fixture_free (fixture);
}

/* ---- Advice. */

static void
need_advice (fixture_t *fixture)
{
  queue_of (fixture)->advice = (advice_terms_t){
    .is_needed = true, .call_us = 10 * MS, .each_us = MS, .valid_us = 2000 * MS
  };
  cell_set_desired (fixture->cell, fixture->desired);
}

static void
test_advice (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t ticket = { "e2", "t-1" };
  const entry_t *call;
  const entry_t *start;

  need_advice (fixture);
  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 1000), false);
  cell_set_advice_slots (fixture->cell, 1, 1);
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 2);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  cell_advice_result (fixture->cell, call->order, true, &ticket, 1, fixture->now_us);
  step (fixture);
  start = must (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, "e2");
  CU_ASSERT_STRING_EQUAL (start->ticket, "t-1");
  fixture_free (fixture);
}

static void
test_advice_renewed (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t ticket = { "e2", "t-1" };
  const entry_t *call;
  const entry_t *start;

  need_advice (fixture);
  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 2, 4000), false);
  cell_set_advice_slots (fixture->cell, 1, 1);
  step (fixture);
  call = must (fixture, 'a');
  cell_advice_result (fixture->cell, call->order, true, &ticket, 1, fixture->now_us);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_BUSY, fixture->now_us);
  /* The ticket has expired; the executor that was denied is not named again. */
  fixture->now_us += 1900 * MS;
  cell_set_advice_slots (fixture->cell, 1, 1);
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 1);
  CU_ASSERT_STRING_EQUAL (call->names[0], "e2");
  fixture_free (fixture);
}

static void
test_slow_advice_leaves_slots (void)
{
  fixture_t *fixture = fixture_new (0, 0);

  need_advice (fixture);
  queue_of (fixture)->advice.call_us = 500 * MS;
  cell_set_desired (fixture->cell, fixture->desired);
  ready_executor (fixture, "e1");
  add_job (fixture, job_spec (1, 1, 1000), false);
  cell_set_advice_slots (fixture->cell, 3, 0);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 'a'));
  cell_set_advice_slots (fixture->cell, 3, 1);
  step (fixture);
  CU_ASSERT_PTR_NOT_NULL (next (fixture, 'a'));
  fixture_free (fixture);
}

/* ---- Order of work, sharing, tenure. */

static order_key_t
key (guint priority, gint64 age_ms, gint64 objective_ms, gint64 remaining_ms)
{
  order_job_t job = { .priority = priority,
                      .accepted_us = 1000000 * MS - age_ms * MS,
                      .objective_us = objective_ms * MS,
                      .remaining_us = remaining_ms * MS };

  return order_key (&job, 1000000 * MS);
}

static void
test_order (void)
{
  order_key_t urgent = key (0, 100, 1750, 1000);
  order_key_t plan = key (1, 100, 15000, 6000);
  order_key_t pressed_plan = key (1, 7000, 15000, 6000);
  order_key_t late_lookup = key (0, 3000, 1750, 1000);
  order_key_t sinking_lookup = key (0, 3900, 1750, 1000);
  order_key_t lost = key (0, 9000, 1750, 1000);

  CU_ASSERT (order_compare (&urgent, &pressed_plan) < 0);
  CU_ASSERT (order_compare (&pressed_plan, &plan) < 0);
  /* What is late anyway does not hold up what can be on time… */
  CU_ASSERT (order_compare (&plan, &lost) < 0);
  CU_ASSERT (order_compare (&urgent, &late_lookup) < 0);
  /* …until it would be lost. */
  CU_ASSERT (order_compare (&sinking_lookup, &plan) < 0);
  CU_ASSERT (order_compare (&late_lookup, &lost) < 0);
}

static void
test_share (void)
{
  share_vm_t vms[] = {
    { .zone = "a", .cpu_milli = 250, .is_decider = true, .held = 0 },
    { .zone = "a", .cpu_milli = 250, .held = 3 },
    { .zone = "a", .cpu_milli = 500, .held = 3 },
    { .zone = "b", .cpu_milli = 250, .held = 0 },
  };

  CU_ASSERT_EQUAL (share_choose (vms, 4, "a"), 2);
  CU_ASSERT_EQUAL (share_choose (vms, 4, "b"), 3);
  CU_ASSERT_EQUAL (share_choose (vms, 1, "a"), 0);
  CU_ASSERT_EQUAL (share_choose (vms, 0, "a"), -1);
  vms[2].is_leaving = true;
  CU_ASSERT_EQUAL (share_choose (vms, 4, "a"), 1);
  CU_ASSERT (share_should_move (vms, 4, "a", 2));
  CU_ASSERT (!share_should_move (vms, 4, "a", 1));
}

/* An executor was moved between VMs before the report of a lease came that the first had
 * been granted; the second did not reach it at once.  Its tasks may run on. */
static void
test_moved_executor_keeps_lease (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t fresh = { .executor = "e1", .is_reached = true, .born = 1 };
  executor_report_t silent = { .executor = "e1" };
  const entry_t *start;

  list_executor (fixture, "e1", 1, false);
  cell_executor_report (fixture->cell, &fresh, fixture->now_us);
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  start = must (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, "e1");
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
  cell_executor_moved (fixture->cell, "e1", fixture->now_us);
  fixture->now_us += 500 * MS;
  cell_executor_report (fixture->cell, &silent, fixture->now_us);
  step (fixture);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

/* The same when its entry is read again with another address, in the same life. */
static void
test_readdressed_executor_keeps_lease (void)
{
  fixture_t *fixture = fixture_new (0, 2000 * MS);
  executor_report_t fresh = { .executor = "e1", .is_reached = true, .born = 1 };
  executor_report_t silent = { .executor = "e1" };
  executor_entry_t entry = {
    .id = "e1",
    .address = "elsewhere",
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .born = 1,
  };

  list_executor (fixture, "e1", 1, false);
  cell_executor_report (fixture->cell, &fresh, fixture->now_us);
  ready_executor (fixture, "e2");
  add_job (fixture, job_spec (1, 1, 1000), false);
  step (fixture);
  cell_order_result (fixture->cell, must (fixture, 's')->order, ORDER_OK, fixture->now_us);
  /* Longer than what the first listing left in the books. */
  fixture->now_us += 7000 * MS;
  cell_executor_listed (fixture->cell, &entry, fixture->now_us);
  fixture->now_us += 500 * MS;
  cell_executor_report (fixture->cell, &silent, fixture->now_us);
  step (fixture);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  fixture_free (fixture);
}

/* A second queue, whose starts need no advice. */
static void
add_plain_queue (fixture_t *fixture)
{
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  queue->name = g_strdup ("plain");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/plain");
  queue->service = g_strdup ("s");
  queue->attempts = 2;
  queue->stretch = 2.0;
  g_ptr_array_add (fixture->desired->queues, queue);
  cell_set_desired (fixture->cell, fixture->desired);
}

/* Starts a task that runs for about `est_ms`. */
static void
occupy_in (fixture_t *fixture, const char *queue, guint number, guint cpu_milli, gint64 est_ms)
{
  job_spec_t *spec = job_spec (number, 1, cpu_milli);
  const entry_t *start;

  g_free (spec->queue);
  spec->queue = g_strdup (queue);
  spec->steps[0].est_us = est_ms * MS;
  add_job (fixture, spec, false);
  step (fixture);
  start = must (fixture, 's');
  cell_order_result (fixture->cell, start->order, ORDER_OK, fixture->now_us);
}

static void
finish_run (fixture_t *fixture, const char *id, guint number)
{
  end_row_t end = { .number = 1, .task = task_ref (number, 0), .run = 1, .how = END_DONE };

  report (fixture, id, 1, fixture->mark, NULL, 0, &end, 1);
}

/* The load at which a gang met no free room in the bench: both executors are busy, and a
 * call for advice takes 700 ms.  The calls are made while the room is still taken, so
 * that the gang starts when it becomes free. */
static void
test_gang_asks_ahead (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t tickets[] = { { "e1", "t-1" }, { "e2", "t-2" } };
  job_spec_t *gang = job_spec (9, 2, 4000);
  const entry_t *call;
  guint starts = 0;

  add_plain_queue (fixture);
  need_advice (fixture);
  queue_of (fixture)->advice.call_us = 700 * MS;
  queue_of (fixture)->advice.valid_us = 1500 * MS;
  cell_set_desired (fixture->cell, fixture->desired);
  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  occupy_in (fixture, "plain", 1, 4000, 3000);
  occupy_in (fixture, "plain", 2, 4000, 3000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  cell_set_advice_slots (fixture->cell, 2, 2);
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 2);
  fixture->now_us += 700 * MS;
  cell_advice_result (fixture->cell, call->order, true, tickets, 2, fixture->now_us);
  /* The tickets would expire before the room is free: no call yet. */
  cell_set_advice_slots (fixture->cell, 2, 2);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 'a'));
  fixture->now_us += 1600 * MS;
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 2);
  fixture->now_us += 600 * MS;
  cell_advice_result (fixture->cell, call->order, true, tickets, 2, fixture->now_us);
  fixture->now_us += 100 * MS;
  finish_run (fixture, "e1", 1);
  finish_run (fixture, "e2", 2);
  step (fixture);
  while (next (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 2);
  fixture_free (fixture);
}

/* Wide gangs at the height of load had each call renew only the tickets that had just
 * expired, and never held all of them at one time: what expires during a call is asked for
 * with it. */
static void
test_gang_tickets_together (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  ticket_t tickets[] = { { "e1", "t-1" }, { "e2", "t-2" }, { "e3", "t-3" }, { "e4", "t-4" } };
  job_spec_t *gang = job_spec (9, 4, 4000);
  const entry_t *call;
  guint starts = 0;

  need_advice (fixture);
  queue_of (fixture)->advice.call_us = 700 * MS;
  queue_of (fixture)->advice.valid_us = 1500 * MS;
  cell_set_desired (fixture->cell, fixture->desired);
  ready_executor (fixture, "e1");
  ready_executor (fixture, "e2");
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  cell_set_advice_slots (fixture->cell, 2, 2);
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 2);
  fixture->now_us += 700 * MS;
  cell_advice_result (fixture->cell, call->order, true, tickets, 2, fixture->now_us);
  fixture->now_us += 800 * MS;
  ready_executor (fixture, "e3");
  ready_executor (fixture, "e4");
  cell_set_advice_slots (fixture->cell, 2, 2);
  /* The call that e3 led to is answered without it. */
  call = must (fixture, 'a');
  cell_advice_result (fixture->cell, call->order, false, NULL, 0, fixture->now_us);
  fixture->now_us += 200 * MS;
  cell_set_advice_slots (fixture->cell, 2, 2);
  step (fixture);
  call = must (fixture, 'a');
  CU_ASSERT_EQUAL (call->named, 4);
  fixture->now_us += 700 * MS;
  cell_advice_result (fixture->cell, call->order, true, tickets, 4, fixture->now_us);
  step (fixture);
  while (next (fixture, 's') != NULL)
    starts++;
  CU_ASSERT_EQUAL (starts, 4);
  fixture_free (fixture);
}

/* Room is kept for a gang where it becomes free first, and only there. */
static void
test_gang_reserves_soonest (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  job_spec_t *gang = job_spec (9, 2, 4000);
  const entry_t *start;

  ready_executor (fixture, "e1");
  occupy_in (fixture, "q", 1, 4000, 9000);
  ready_executor (fixture, "e2");
  occupy_in (fixture, "q", 2, 3000, 1000);
  ready_executor (fixture, "e3");
  occupy_in (fixture, "q", 3, 3000, 2000);
  gang->steps[0].gang = true;
  add_job (fixture, gang, false);
  step (fixture);
  /* A small task finds no room: what is free on e2 and e3 is the gang's. */
  add_job (fixture, job_spec (4, 1, 1000), false);
  step (fixture);
  CU_ASSERT_PTR_NULL (next (fixture, 's'));
  ready_executor (fixture, "e4");
  start = must (fixture, 's');
  /* The gang takes e4 at once in its plan, and no longer waits for e3. */
  CU_ASSERT_STRING_EQUAL (start->executor, "e3");
  fixture_free (fixture);
}

/* A fleet of two sizes of VM, all bidding for a free claim: a larger one has it, unless
 * all of these are gone. */
static void
test_succession (void)
{
  CU_ASSERT_EQUAL (succession_delay_ms (500, 500, true), 0);
  CU_ASSERT (succession_delay_ms (120, 500, true) > succession_delay_ms (500, 500, true));
  /* Less than the time without a decider that a lapsed claim costs anyway. */
  CU_ASSERT (succession_delay_ms (120, 500, true) < 1000);
  /* VMs of one size don't wait for each other. */
  CU_ASSERT_EQUAL (succession_delay_ms (250, 250, true), 0);
  CU_ASSERT_EQUAL (succession_delay_ms (450, 500, true), 0);
  /* At the first start no size is known but the own one. */
  CU_ASSERT (succession_delay_ms (120, 0, true) > succession_delay_ms (500, 0, true));
  CU_ASSERT_EQUAL (succession_delay_ms (1000, 0, true), 0);
  /* VMs restarted in turn: one that has been restarted is taken rather than one that is
   * to be stopped next; the larger one still goes first. */
  CU_ASSERT (succession_delay_ms (250, 250, true) < succession_delay_ms (250, 250, false));
  CU_ASSERT (succession_delay_ms (500, 500, false) < succession_delay_ms (120, 500, true));
  CU_ASSERT (succession_should_yield (120, 500));
  CU_ASSERT_FALSE (succession_should_yield (500, 500));
  CU_ASSERT_FALSE (succession_should_yield (500, 120));
  CU_ASSERT_FALSE (succession_should_yield (450, 500));
}

static void
test_tenure (void)
{
  tenure_t tenure = { 0 };

  tenure_begin (&tenure, 2000 * MS, 1000 * MS);
  CU_ASSERT_EQUAL (tenure_left_us (&tenure, 1500 * MS), 1500 * MS);
  tenure_renewed (&tenure, 1600 * MS);
  /* A renewed lease alone says nothing of the key. */
  CU_ASSERT_EQUAL (tenure_left_us (&tenure, 1700 * MS), 1300 * MS);
  tenure_seen (&tenure);
  CU_ASSERT_EQUAL (tenure_left_us (&tenure, 1700 * MS), 1900 * MS);
  tenure_renewed (&tenure, 1200 * MS);
  tenure_seen (&tenure);
  CU_ASSERT_EQUAL (tenure_left_us (&tenure, 1700 * MS), 1900 * MS);
}

static void
test_admission (void)
{
  admission_ways_t none = { false, false };
  admission_ways_t through = { false, true };

  CU_ASSERT (!admission_has_way (&none));
  CU_ASSERT (admission_has_way (&through));
  CU_ASSERT_EQUAL (admission_retry_after_ms (0), 1000);
  CU_ASSERT_EQUAL (admission_retry_after_ms (2500 * MS), 2500);
  CU_ASSERT_EQUAL (admission_retry_after_ms (60000 * MS), 3000);
}

/* A service that answers all VMs in 200 ms: their calls are not made twice, after the few
 * that teach it; and the decider's own calls are not held up by those of 40 VMs. */
static void
test_hedge_on_slow_store (void)
{
  gint64 mean_us = 0;
  guint hedged = 0;
  guint open = 0;

  for (guint i = 0; i < 100; i++)
    mean_us = admission_answer_mean_us (mean_us, 8 * MS);
  CU_ASSERT_EQUAL (mean_us, 8 * MS);
  CU_ASSERT_EQUAL (admission_hedge_us (mean_us), 150 * MS);
  for (guint i = 0; i < 100; i++)
    {
      hedged += admission_hedge_us (mean_us) < 200 * MS;
      mean_us = admission_answer_mean_us (mean_us, 200 * MS);
    }
  CU_ASSERT (hedged <= 3);
  CU_ASSERT (admission_hedge_us (800 * MS) < 700 * MS);
  while (admission_may_relay (open))
    open++;
  CU_ASSERT (open >= 4 && open <= 12);
}

static void
test_routes (void)
{
  desired_t *desired = desired_new ();
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
  CU_ASSERT_STRING_EQUAL (desired_route (desired, "h.example:80", "/a/b/c")->name, "/a/b/");
  CU_ASSERT_STRING_EQUAL (desired_route (desired, "h.example", "/a/x")->name, "/a/");
  CU_ASSERT_PTR_NULL (desired_route (desired, "other", "/a/x"));
  CU_ASSERT_PTR_NULL (desired_route (desired, "h.example", "/b"));
  desired_free (desired);
}

int
main (void)
{
  CU_pSuite suite;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("cell", NULL, NULL);
  CU_add_test (suite, "a lost start is stopped before another", test_lost_start);
  CU_add_test (suite, "an unsure start is stopped in a new life", test_unsure_start_and_new_life);
  CU_add_test (suite, "a stale registry entry ends nothing", test_stale_registry_entry);
  CU_add_test (suite, "a lease has lapsed only with drift", test_lapse);
  CU_add_test (suite, "an end is acknowledged once stored", test_acknowledged_when_stored);
  CU_add_test (suite, "a job has begun when a run is confirmed", test_begun_when_confirmed);
  CU_add_test (suite, "capacity is not exceeded", test_capacity);
  CU_add_test (suite, "a gang starts whole", test_gang_whole);
  CU_add_test (suite, "a gang stays in one rack", test_gang_in_one_rack);
  CU_add_test (suite, "a gang is spread at last", test_gang_spread_at_last);
  CU_add_test (suite, "filling work is kept from serving work", test_filling_work_kept_apart);
  CU_add_test (suite, "a moved executor keeps its lease", test_moved_executor_keeps_lease);
  CU_add_test (suite, "a readdressed executor keeps its lease",
               test_readdressed_executor_keeps_lease);
  CU_add_test (suite, "a gang asks for advice ahead", test_gang_asks_ahead);
  CU_add_test (suite, "a gang's tickets are asked for together", test_gang_tickets_together);
  CU_add_test (suite, "a gang has room where it is free soonest", test_gang_reserves_soonest);
  CU_add_test (suite, "a gang that lacks a member is stopped", test_gang_member_refused);
  CU_add_test (suite, "a cancel stops and prevents", test_cancel);
  CU_add_test (suite, "a run that stands still is moved", test_stalled_run);
  CU_add_test (suite, "a run to be stopped keeps its room", test_unwanted_run_keeps_room);
  CU_add_test (suite, "a run of an unknown job blocks its executor", test_run_of_unknown_job);
  CU_add_test (suite, "a failure is counted once", test_failure_counted_once);
  CU_add_test (suite, "failures are counted in any order", test_failures_out_of_order);
  CU_add_test (suite, "a run is placed before it is started", test_placed_before_started);
  CU_add_test (suite, "a run cancelled before it is placed", test_cancelled_before_placed);
  CU_add_test (suite, "a placed run waits for its executor only", test_restored_placement);
  CU_add_test (suite, "a placed run that is not shown is stopped", test_restored_run_not_shown);
  CU_add_test (suite, "a draining executor gets no start", test_draining);
  CU_add_test (suite, "a later fence deposes", test_deposed_by_fence);
  CU_add_test (suite, "a start carries its ticket", test_advice);
  CU_add_test (suite, "tickets are renewed where allowed", test_advice_renewed);
  CU_add_test (suite, "slow advice leaves slots", test_slow_advice_leaves_slots);
  CU_add_test (suite, "order of waiting work", test_order);
  CU_add_test (suite, "executors are shared by load", test_share);
  CU_add_test (suite, "the larger VM takes a free claim", test_succession);
  CU_add_test (suite, "a claim is valid while renewed and seen", test_tenure);
  CU_add_test (suite, "when to come back", test_admission);
  CU_add_test (suite, "a slow store is not asked twice", test_hedge_on_slow_store);
  CU_add_test (suite, "the longest prefix routes", test_routes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
