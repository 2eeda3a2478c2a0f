/* Learned run times: the model by itself, and what the scheduler lets it learn from.  The loads are
 * those of docs/design/hard-load.md: declared run times that are off by a log-normal factor of 0.5
 * to 0.9, and 3 % of the tasks taking seven times as long. */
#include "harness.h"
#include "scheduler_fixture.h"

#include "decide/runtime_model.h"

#include <math.h>

#define SECOND ((gint64) G_USEC_PER_SEC)

static const runtime_job_t no_job;

/* Normally distributed. */
static double
draw (GRand *random)
{
  double u = g_rand_double_range (random, 1e-12, 1.0);

  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * g_rand_double (random));
}

static double
predict_s (const runtime_model_t *model, double declared_s)
{
  runtime_step_t step;

  runtime_step_init (&step, (gint64) (declared_s * 1e6));
  return runtime_model_predict (model, &step, &no_job, SECOND).median_us / 1e6;
}

/* A step whose tasks take `ran_s` each, but for those that belong to the tail. */
static void
learn (runtime_model_t *model,
       runtime_job_t *job,
       double declared_s,
       double ran_s,
       guint count,
       GRand *tail)
{
  runtime_step_t step;

  runtime_step_init (&step, (gint64) (declared_s * 1e6));
  runtime_model_run_began (model, &step, job, SECOND);
  runtime_step_run_gone (&step, SECOND);
  for (guint i = 0; i < count; i++)
    {
      double factor = tail != NULL && g_rand_double (tail) < 0.03 ? 7.0 : 1.0;

      runtime_model_task_done (model, &step, job, (gint64) (ran_s * factor * 1e6), SECOND);
    }
  runtime_model_step_done (model, &step, job);
}

static void
learn_one (runtime_model_t *model, double declared_s, double ran_s)
{
  runtime_job_t job = { 0 };

  learn (model, &job, declared_s, ran_s, 1, NULL);
}

/* A new leader, which has learned nothing: the declared run times. */
static void
test_cold_start_is_declared (void)
{
  runtime_model_t *model = runtime_model_new ();

  CU_ASSERT_DOUBLE_EQUAL (predict_s (model, 4.2), 4.2, 1e-6);
  CU_ASSERT_DOUBLE_EQUAL (predict_s (model, 0.64), 0.64, 1e-6);
  CU_ASSERT_DOUBLE_EQUAL (predict_s (model, 0.0), 0.001, 1e-6);
  runtime_model_free (model);
}

/* Declarations that are three times too short throughout: 20 steps suffice. */
static void
test_common_factor_within_20_steps (void)
{
  runtime_model_t *model = runtime_model_new ();
  GRand *random = g_rand_new_with_seed (1);

  learn_one (model, 1.0, 3.0);
  CU_ASSERT (predict_s (model, 1.0) < 2.0);
  for (guint i = 0; i < 20; i++)
    {
      double declared_s = exp (0.5 * draw (random));

      learn_one (model, declared_s, 3.0 * declared_s * exp (0.2 * draw (random)));
    }
  CU_ASSERT_DOUBLE_EQUAL (predict_s (model, 1.0), 3.0, 0.6);
  g_rand_free (random);
  runtime_model_free (model);
}

/* Run times that vary by 0.5 and declarations that are off by 0.9: predictions are nearer, and
 * declarations that are far from the usual run time are believed less. */
static void
test_misdeclared_run_times (void)
{
  runtime_model_t *model = runtime_model_new ();
  GRand *random = g_rand_new_with_seed (2);
  runtime_model_stats_t stats;

  for (guint i = 0; i < 200; i++)
    {
      double ran_s = exp (0.5 * draw (random));

      learn_one (model, ran_s * exp (0.9 * draw (random)), ran_s);
    }
  stats = runtime_model_stats (model);
  CU_ASSERT_EQUAL (stats.step_count, 200);
  CU_ASSERT (stats.declaration.median > 1.6);
  CU_ASSERT (stats.prediction.median < 0.85 * stats.declaration.median);
  CU_ASSERT (stats.prediction.p90 < 0.6 * stats.declaration.p90);
  CU_ASSERT (predict_s (model, 0.1) > 0.3);
  CU_ASSERT (predict_s (model, 10.0) < 3.0);
  g_rand_free (random);
  runtime_model_free (model);
}

/* A new version of the customers' programs takes five times as long: 15 steps suffice. */
static void
test_change_of_run_times (void)
{
  runtime_model_t *model = runtime_model_new ();

  for (guint i = 0; i < 100; i++)
    learn_one (model, 1.0, 1.0);
  for (guint i = 0; i < 15; i++)
    learn_one (model, 1.0, 5.0);
  CU_ASSERT (predict_s (model, 1.0) > 3.5);
  runtime_model_free (model);
}

/* 3 % of the tasks take seven times as long: others are predicted as before, in narrow steps as in
 * wide ones.  A run that has outlived its prediction is not about to end. */
static void
test_tails_do_not_poison (void)
{
  runtime_model_t *model = runtime_model_new ();
  GRand *random = g_rand_new_with_seed (3);
  gint64 begun_us = 100 * SECOND;
  runtime_step_t step;
  gint64 before_us;

  for (guint i = 0; i < 300; i++)
    {
      runtime_job_t job = { 0 };

      learn (model, &job, 1.0, exp (0.2 * draw (random)), i % 2 == 0 ? 1 : 20, random);
    }
  CU_ASSERT_DOUBLE_EQUAL (predict_s (model, 1.0), 1.0, 0.2);
  runtime_step_init (&step, SECOND);
  runtime_model_run_began (model, &step, &no_job, begun_us);
  before_us = runtime_model_remaining_us (model, &step, &no_job, begun_us, 0, begun_us);
  CU_ASSERT_DOUBLE_EQUAL ((double) before_us / 1e6, 1.0, 0.2);
  for (gint64 ran_us = SECOND; ran_us <= 6 * SECOND; ran_us += SECOND)
    {
      gint64 left_us
          = runtime_model_remaining_us (model, &step, &no_job, begun_us, ran_us, begun_us + ran_us);

      CU_ASSERT (left_us > 80 * MS);
      CU_ASSERT (left_us < 10 * MAX (ran_us, SECOND));
      if (ran_us == 3 * SECOND)
        CU_ASSERT (left_us > 2 * SECOND);
    }
  g_rand_free (random);
  runtime_model_free (model);
}

/* Batches of 25 tasks, declared at a third of their run time: the tasks that are done, and before
 * any is, the time for which the others have run, correct the prediction for the rest. */
static void
test_evidence_of_the_step (void)
{
  runtime_model_t *model = runtime_model_new ();
  runtime_step_t step;
  runtime_prediction_t running;
  runtime_prediction_t done;

  runtime_step_init (&step, SECOND);
  for (guint i = 0; i < 10; i++)
    runtime_model_run_began (model, &step, &no_job, 100 * SECOND);
  CU_ASSERT_DOUBLE_EQUAL (
      runtime_model_predict (model, &step, &no_job, 100 * SECOND + 100 * MS).median_us, 1e6, 1e4);
  running = runtime_model_predict (model, &step, &no_job, 102500 * MS);
  CU_ASSERT (running.median_us > 2.5e6);
  for (guint i = 0; i < 5; i++)
    {
      runtime_step_run_gone (&step, 100 * SECOND);
      runtime_model_task_done (model, &step, &no_job, 3 * SECOND, 103 * SECOND);
    }
  done = runtime_model_predict (model, &step, &no_job, 103 * SECOND);
  CU_ASSERT (done.median_us > 2.8e6 && done.median_us < 3.9e6);
  CU_ASSERT (done.spread < 0.4);
  /* One of the tail among few. */
  runtime_step_init (&step, SECOND);
  for (gint64 ran_us = SECOND; ran_us <= 7 * SECOND; ran_us += 3 * SECOND)
    runtime_model_task_done (model, &step, &no_job, ran_us == 4 * SECOND ? SECOND : ran_us, 0);
  CU_ASSERT (runtime_model_predict (model, &step, &no_job, 0).median_us < 1.5e6);
  runtime_model_free (model);
}

/* Jobs of two steps.  With `is_common`, both steps are misdeclared by the same factor. */
static runtime_model_t *
learn_jobs (bool is_common)
{
  runtime_model_t *model = runtime_model_new ();
  GRand *random = g_rand_new_with_seed (4);

  for (guint i = 0; i < 100; i++)
    {
      runtime_job_t job = { 0 };
      double first = 0.7 * draw (random);
      double second = is_common ? first : 0.7 * draw (random);

      learn (model, &job, 1.0, exp (first), 1, NULL);
      learn (model, &job, 1.0, exp (second), 1, NULL);
    }
  g_rand_free (random);
  return model;
}

/* Whether the steps of a job are misdeclared alike is learned: the second step is expected to be so
 * only where that has been seen. */
static void
test_evidence_of_the_job (void)
{
  runtime_model_t *alike = learn_jobs (true);
  runtime_model_t *apart = learn_jobs (false);
  runtime_job_t job = { 0 };
  runtime_step_t step;

  CU_ASSERT (runtime_model_job_share (alike) > 0.6);
  CU_ASSERT (runtime_model_job_share (apart) < 0.3);
  runtime_step_init (&step, SECOND);
  learn (alike, &job, 1.0, 3.0, 1, NULL);
  CU_ASSERT (runtime_model_predict (alike, &step, &job, 0).median_us
             > 1.6 * runtime_model_predict (alike, &step, &no_job, 0).median_us);
  runtime_model_free (alike);
  runtime_model_free (apart);
}

/* ---- What the scheduler learns from. */

static fixture_t *
learning_fixture (bool learns)
{
  fixture_t *fixture = fixture_new (1, 2000 * MS);
  scheduler_limits_t limits = { .executor_lease_us = 60000 * MS,
                                .leader_lease_us = 2000 * MS,
                                .remote_factor = 2.0,
                                .learn_run_times = learns };

  scheduler_free (fixture->scheduler);
  fixture->scheduler = scheduler_new (&limits, 1, &ops, fixture);
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  add_ready_executor (fixture, "e0");
  return fixture;
}

static void
keep_steps (const queue_stats_t *stats, void *data)
{
  *(guint64 *) data = stats->runtimes.step_count;
}

static guint64
learned_steps (const fixture_t *fixture)
{
  guint64 count = 0;

  scheduler_visit_queues (fixture->scheduler, keep_steps, &count);
  return count;
}

static void
report_end (fixture_t *fixture, const issued_order_t *start, end_reason_t how, guint64 number)
{
  reported_end_t end = { .number = number, .run = start->run, .how = how };

  memcpy (end.task.job, start->job, sizeof end.task.job);
  end.task.index = start->index;
  report (fixture, start->executor, 1, 0, NULL, 0, &end, 1);
  step (fixture);
}

/* Starts a job, and ends its first run after a second.  Returns the number of the end. */
static guint64
run_job (fixture_t *fixture, job_spec_t *spec, end_reason_t how)
{
  guint64 number = (guint64) (fixture->now_us / MS);
  guint count = spec->steps[0].gang ? 1 : spec->steps[0].count;

  add_job (fixture, spec, false);
  step (fixture);
  for (guint i = 0; i < count; i++)
    {
      const issued_order_t *start = expect_issued (fixture, 's');

      scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
      fixture->now_us += 1000 * MS;
      report_end (fixture, start, how, number + i);
    }
  return number + count;
}

/* A wide step and a gang count once; a run that failed, and one that was cancelled, do not count.
 */
static void
test_samples_of_the_scheduler (void)
{
  fixture_t *fixture = learning_fixture (true);
  job_spec_t *gang = make_job_spec (2, 2, 100);
  g_autofree char *cancelled = g_strdup_printf ("%016x", 4);

  run_job (fixture, make_job_spec (1, 3, 100), END_DONE);
  CU_ASSERT_EQUAL (learned_steps (fixture), 1);
  gang->steps[0].gang = true;
  run_job (fixture, gang, END_DONE);
  CU_ASSERT_EQUAL (learned_steps (fixture), 2);
  run_job (fixture, make_job_spec (3, 1, 100), END_FAILED);
  add_job (fixture, make_job_spec (4, 1, 100), false);
  step (fixture);
  CU_ASSERT (scheduler_cancel_job (fixture->scheduler, cancelled, fixture->now_us));
  CU_ASSERT_EQUAL (learned_steps (fixture), 2);
  fixture_free (fixture);
}

/* A new leader finds a run that an earlier one started, and does not know for how long it runs; and
 * a run from a checkpoint does only a part of the work.  Neither is learned from. */
static void
test_partly_seen_runs_do_not_count (void)
{
  fixture_t *fixture = learning_fixture (true);
  reported_run_t running = { .task = task_ref (1, 0), .run = 7, .checkpoint = "" };
  reported_end_t end = { .number = 1, .task = task_ref (1, 0), .run = 7, .how = END_DONE };
  job_spec_t *resumed = make_job_spec (2, 1, 100);
  const issued_order_t *start;

  add_job (fixture, make_job_spec (1, 1, 100), true);
  report (fixture, "e0", 1, 0, &running, 1, NULL, 0);
  fixture->now_us += 300 * MS;
  report (fixture, "e0", 1, 0, NULL, 0, &end, 1);
  CU_ASSERT_EQUAL (learned_steps (fixture), 0);

  resumed->steps[0].checkpointing = true;
  add_job (fixture, resumed, false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  end = (reported_end_t){
    .number = 2, .task = task_ref (2, 0), .run = start->run, .how = END_FAILED, .checkpoint = "half"
  };
  report (fixture, "e0", 1, 0, NULL, 0, &end, 1);
  fixture->now_us += 100 * MS;
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  fixture->now_us += 500 * MS;
  report_end (fixture, start, END_DONE, 3);
  CU_ASSERT_EQUAL (fixture->finish_count, 2);
  CU_ASSERT_EQUAL (learned_steps (fixture), 0);
  fixture_free (fixture);
}

/* Two jobs wait for the only executor: one that is declared at 10 ms has waited for 2.5 s, the
 * other just came.  Tasks of their queue take a second whatever is declared.  Returns the last
 * digit of the job that starts first. */
static char
first_of_two (bool learns)
{
  fixture_t *fixture = learning_fixture (learns);
  job_spec_t *early = make_job_spec (100, 1, 4000);
  job_spec_t *overstated = make_job_spec (101, 1, 4000);
  job_spec_t *holder = make_job_spec (102, 1, 4000);
  const issued_order_t *start;
  char first;

  fixture_queue (fixture)->stretch = 4.0;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  for (guint i = 1; i <= 40; i++)
    {
      job_spec_t *spec = make_job_spec (i, 1, 100);

      spec->steps[0].est_runtime_us = i % 2 == 0 ? 10000 * MS : 100 * MS;
      run_job (fixture, spec, END_DONE);
    }
  add_job (fixture, holder, false);
  step (fixture);
  start = expect_issued (fixture, 's');
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  early->steps[0].est_runtime_us = 10 * MS;
  early->accepted_ms = fixture->now_us / MS;
  overstated->steps[0].est_runtime_us = 10000 * MS;
  add_job (fixture, early, false);
  fixture->now_us += 2500 * MS;
  overstated->accepted_ms = fixture->now_us / MS;
  add_job (fixture, overstated, false);
  report_end (fixture, start, END_DONE, 1000000000);
  first = expect_issued (fixture, 's')->job[15];
  fixture_free (fixture);
  return first;
}

/* Guards against work that is declared too short and therefore given up as lost after a short wait.
 * Without the switch the declaration counts, as before. */
static void
test_order_of_misdeclared_work (void)
{
  CU_ASSERT_EQUAL (first_of_two (true), '4');
  CU_ASSERT_EQUAL (first_of_two (false), '5');
}

/* Has the scheduler accept a job, and start it if there is room. */
static void
submit (fixture_t *fixture, job_spec_t *spec)
{
  spec->accepted_ms = fixture->now_us / MS;
  add_job (fixture, spec, false);
  step (fixture);
}

/* Returns the start order of a job, after the orders of all its tasks have been carried out. */
static const issued_order_t *
expect_started (fixture_t *fixture, guint tasks)
{
  const issued_order_t *start = NULL;

  for (guint i = 0; i < tasks; i++)
    {
      start = expect_issued (fixture, 's');
      scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
    }
  return start;
}

static job_spec_t *
make_gang_spec (guint number)
{
  job_spec_t *spec = make_job_spec (number, 2, 2000);

  spec->steps[0].gang = true;
  return spec;
}

/* Has the only executor run another job for two seconds, in which a gang waits; then the gang. */
static void
run_gang_after_wait (fixture_t *fixture, guint number)
{
  const issued_order_t *start;
  issued_order_t member;

  submit (fixture, make_job_spec (number + 1, 1, 4000));
  start = expect_started (fixture, 1);
  submit (fixture, make_gang_spec (number));
  fixture->now_us += 2000 * MS;
  report_end (fixture, start, END_DONE, (guint64) (fixture->now_us / MS));
  member = *expect_started (fixture, 2);
  fixture->now_us += 1000 * MS;
  for (member.index = 0; member.index < 2; member.index++)
    report_end (fixture, &member, END_DONE, (guint64) (fixture->now_us / MS) + member.index);
}

/* A batch and a gang wait for the only executor; the batch has a second less to lose.  Returns the
 * last digit of the job that starts first. */
static char
first_of_batch_and_gang (bool learns)
{
  fixture_t *fixture = learning_fixture (learns);
  const issued_order_t *start;
  char first;

  fixture_queue (fixture)->stretch = 4.0;
  fixture_queue (fixture)->objective_us = 10000 * MS;
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  for (guint i = 1; i <= 16; i += 2)
    run_gang_after_wait (fixture, i);
  submit (fixture, make_job_spec (102, 1, 4000));
  start = expect_started (fixture, 1);
  submit (fixture, make_job_spec (100, 1, 4000));
  fixture->now_us += 1000 * MS;
  submit (fixture, make_gang_spec (101));
  report_end (fixture, start, END_DONE, 1000000000);
  first = expect_issued (fixture, 's')->job[15];
  fixture_free (fixture);
  return first;
}

/* Guards against gangs that are late because batches with as much slack, which need no room at one
 * time, go before them. */
static void
test_gangs_begin_to_be_placed_early (void)
{
  CU_ASSERT_EQUAL (first_of_batch_and_gang (true), '5');
  CU_ASSERT_EQUAL (first_of_batch_and_gang (false), '4');
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "cold_start_is_declared", test_cold_start_is_declared },
    { "common_factor_within_20_steps", test_common_factor_within_20_steps },
    { "misdeclared_run_times", test_misdeclared_run_times },
    { "change_of_run_times", test_change_of_run_times },
    { "tails_do_not_poison", test_tails_do_not_poison },
    { "evidence_of_the_step", test_evidence_of_the_step },
    { "evidence_of_the_job", test_evidence_of_the_job },
    { "samples_of_the_scheduler", test_samples_of_the_scheduler },
    { "partly_seen_runs_do_not_count", test_partly_seen_runs_do_not_count },
    { "order_of_misdeclared_work", test_order_of_misdeclared_work },
    { "gangs_begin_to_be_placed_early", test_gangs_begin_to_be_placed_early },
  };

  return run_suite ("runtimes", tests, G_N_ELEMENTS (tests));
}
