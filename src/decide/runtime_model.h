/* Run times of the tasks of a queue, learned from steps that are done.
 *
 * The logarithm of a run time is the sum of a linear function of the logarithm of the declared run
 * time, an effect of the job, one of the step, and one of the task.  The function is a decayed
 * regression with a prior at the declared run time.  The variances of the effects are learned as
 * well, so that a prediction weighs the declaration, the usual run time of the queue, the earlier
 * steps of the job and the other tasks of the step by what each of them has told so far.
 *
 * All run times are at nominal speed.  The module has no clock and no other state than the structs
 * that are passed to it.
 */
#pragma once

#include "decide/decayed_stats.h"

#include <glib.h>
#include <stdbool.h>

/* The model of one queue, of fixed size. */
typedef struct runtime_model runtime_model_t;

/* What is known of the tasks of a step.  The fields are private to the module. */
typedef struct
{
  double log_declared;
  double log_expected;  /* when its first task started; 0: none has started */
  decayed_stats_t done; /* logarithms of the run times of its tasks that are done */
  double longest_us;
  guint running_count;
  gint64 running_since_sum_us; /* of those that run */
} runtime_step_t;

/* What is known of a job's steps that are done.  The fields are private to the module. */
typedef struct
{
  double residual_sum; /* of the logarithms, against the regression */
  guint count;
} runtime_job_t;

typedef struct
{
  double median_us;
  double spread; /* standard deviation of the logarithm */
} runtime_prediction_t;

/* Of max(ratio, 1/ratio) of expected and actual run times of steps. */
typedef struct
{
  double median;
  double p90;
} runtime_error_t;

typedef struct
{
  guint64 step_count; /* steps learned from */
  runtime_error_t prediction;
  runtime_error_t declaration;
} runtime_model_stats_t;

runtime_model_t *runtime_model_new (void);
void runtime_model_free (runtime_model_t *model); /* accepts NULL */

/* `declared_us` is the declared run time of each task; the least one is 1 ms. */
void runtime_step_init (runtime_step_t *step, gint64 declared_us);

/* A task of the step is known to run since `since_us`; a gang counts as one task.  Each call is
 * followed by one of runtime_step_run_gone() with the same time, however the run ends. */
void runtime_model_run_began (const runtime_model_t *model,
                              runtime_step_t *step,
                              const runtime_job_t *job,
                              gint64 since_us);
void runtime_step_run_gone (runtime_step_t *step, gint64 since_us);

/* A task of the step is done, after `ran_us` (above 0) from its beginning.  A gang counts as one
 * task.  To be called after runtime_step_run_gone(). */
void runtime_model_task_done (runtime_model_t *model,
                              runtime_step_t *step,
                              const runtime_job_t *job,
                              gint64 ran_us,
                              gint64 now_us);

/* All tasks of the step are done. */
void
runtime_model_step_done (runtime_model_t *model, const runtime_step_t *step, runtime_job_t *job);

/* Predicts the run time of a task of the step. */
runtime_prediction_t runtime_model_predict (const runtime_model_t *model,
                                            const runtime_step_t *step,
                                            const runtime_job_t *job,
                                            gint64 now_us);

/* The longest run time of the step's tasks that are done; 0: none is. */
double runtime_step_longest_us (const runtime_step_t *step);

/* Predicts for how much longer a task of the step runs that began at `since_us` and has run for
 * `ran_us` at nominal speed; above 0.  A `since_us` of 0: it has not begun. */
gint64 runtime_model_remaining_us (const runtime_model_t *model,
                                   const runtime_step_t *step,
                                   const runtime_job_t *job,
                                   gint64 since_us,
                                   gint64 ran_us,
                                   gint64 now_us);

/* The run time that was predicted when the first task of the step started; 0: none has. */
gint64 runtime_step_expected_us (const runtime_step_t *step);

/* Share of the steps' misdeclaration that the steps of a job have in common, from 0 to 1. */
double runtime_model_job_share (const runtime_model_t *model);

runtime_model_stats_t runtime_model_stats (const runtime_model_t *model);
