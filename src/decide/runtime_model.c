#include "decide/runtime_model.h"

#include <math.h>
#include <string.h>

enum
{
  ERROR_BUCKETS = 32,
  ERROR_SAMPLES_MAX = 1024, /* then all buckets are halved, so that old errors are forgotten */
  CENSORED_ITERATIONS = 6,
  OUTLIERS_OF_A_CHANGE = 4 /* in a row on one side: the run times have changed */
};

static const double least_us = 1000.0;
static const double most_us = 30.0 * 24 * 3600 * 1e6;

/* Part of the earlier steps' weight that a new one keeps: the model remembers about 50 steps. */
static const double keep_per_step = 0.98;
static const double keep_per_task = 0.998;
static const double keep_per_tail = 0.95;
/* After a change of the run times, the weight of all steps before it. */
static const double weight_at_change = 0.5;

/* The prior: declared run times are right but for a standard deviation of 0.6 of the logarithm, and
 * tasks of a step differ by 0.25.  Weights are in steps, or tasks. */
static const double offset_prior_weight = 2.0; /* of a new model; decays like that of steps */
static const double slope_prior_weight = 1.0;  /* a sum of squares of logarithms */
static const double step_variance_prior = 0.36;
static const double step_variance_prior_weight = 4.0;
static const double task_variance_prior = 0.0625;
static const double task_variance_prior_weight = 4.0;
static const double job_share_prior = 0.5;
static const double job_share_prior_weight = 4.0;
static const double tail_share_prior = 0.01;
static const double tail_share_prior_weight = 100.0;
static const double tail_excess_prior = 1.39; /* a factor of 4 */
static const double tail_excess_prior_weight = 2.0;

static const double task_variance_min = 0.0025;
static const double task_variance_max = 1.0;
static const double step_variance_min = 0.0025;
/* The slope of the regression stays between 0 and 1.5; that of the residual is 1 less. */
static const double slope_min = -1.0;
static const double slope_max = 0.5;
static const double job_share_max = 0.95;

/* Residuals count up to this many standard deviations, and a factor of 10. */
static const double clamp_deviations = 2.5;
static const double clamp_log = 2.302585;
/* A task that takes at least twice as long as others of its step, and is beyond this many standard
 * deviations, belongs to the tail. */
static const double tail_deviations = 3.0;
static const double tail_log_min = 0.693147;
static const double tail_spread_min = 0.5;
/* Bound of a remaining time, as a multiple of the predicted and of the elapsed time. */
static const double remaining_factor_max = 10.0;

static const double error_bucket_width = 0.1; /* of the logarithm */

typedef struct
{
  guint buckets[ERROR_BUCKETS];
  guint count;
} error_histogram_t;

struct runtime_model
{
  /* Decayed regression of log(actual / declared) on log(declared). */
  decayed_stats_t declared;
  decayed_stats_t ratio; /* has the same weight */
  double products;       /* sum of products of deviations */
  double offset_prior_weight;
  decayed_stats_t step_variance; /* of steps around the regression */
  decayed_stats_t task_variance; /* of tasks within a step */
  decayed_stats_t job_share;
  decayed_stats_t tail_share;  /* of the tasks */
  decayed_stats_t tail_excess; /* of the logarithm of their run times */
  int outliers_in_row;         /* steps; below 0: shorter than predicted */
  guint64 step_count;
  error_histogram_t prediction_errors;
  error_histogram_t declaration_errors;
};

/* Normal distribution of the logarithm of a run time. */
typedef struct
{
  double mean;
  double variance;
} estimate_t;

/* ---- Decaying samples and histograms. */

/* Adds a sample, after which earlier ones count for less. */
static void
add_decaying (decayed_stats_t *stats, double value, double keep)
{
  decayed_stats_fade (stats, keep);
  decayed_stats_add (stats, value, 1.0);
}

static void
add_error (error_histogram_t *errors, double log_ratio)
{
  guint bucket = (guint) MIN (fabs (log_ratio) / error_bucket_width, ERROR_BUCKETS - 1);

  errors->buckets[bucket]++;
  if (++errors->count < ERROR_SAMPLES_MAX)
    return;
  errors->count = 0;
  for (guint i = 0; i < ERROR_BUCKETS; i++)
    {
      errors->buckets[i] /= 2;
      errors->count += errors->buckets[i];
    }
}

/* Linear within a bucket; 1 if the histogram is empty. */
static double
error_quantile (const error_histogram_t *errors, double share)
{
  double wanted = share * errors->count;
  double below = 0.0;

  for (guint i = 0; i < ERROR_BUCKETS && errors->count > 0; i++)
    {
      if (errors->buckets[i] > 0 && below + errors->buckets[i] >= wanted)
        return exp (error_bucket_width * (i + (wanted - below) / errors->buckets[i]));
      below += errors->buckets[i];
    }
  return 1.0;
}

/* ---- The normal distribution. */

/* Probability of more than `z` standard deviations above the mean. */
static double
upper_tail (double z)
{
  return 0.5 * erfc (z / G_SQRT2);
}

/* The `z` with this probability, from 0 to 0.5, of more than it; Abramowitz and Stegun 26.2.23. */
static double
upper_quantile (double probability)
{
  double t = sqrt (-2.0 * log (probability));

  return t
         - (2.515517 + t * (0.802853 + t * 0.010328))
               / (1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
}

/* Mean of what lies more than `z` standard deviations above the mean. */
static double
mean_above (double z)
{
  if (z > 6.0)
    return z + 1.0 / z;
  return exp (-0.5 * z * z) / sqrt (2.0 * G_PI) / upper_tail (z);
}

/* ---- Parameters. */

static double
step_variance (const runtime_model_t *model)
{
  return MAX (
      decayed_stats_mean (&model->step_variance, step_variance_prior, step_variance_prior_weight),
      step_variance_min);
}

static double
task_variance (const runtime_model_t *model)
{
  double variance
      = decayed_stats_mean (&model->task_variance, task_variance_prior, task_variance_prior_weight);

  return CLAMP (variance, task_variance_min, task_variance_max);
}

double
runtime_model_job_share (const runtime_model_t *model)
{
  double share = decayed_stats_mean (&model->job_share, job_share_prior, job_share_prior_weight);

  return CLAMP (share, 0.0, job_share_max);
}

/* What the queue's regression says of a step. */
static estimate_t
regress (const runtime_model_t *model, double log_declared)
{
  const decayed_stats_t *declared = &model->declared;
  double slope = model->products / (declared->squares + slope_prior_weight);
  double offset = decayed_stats_mean (&model->ratio, 0.0, model->offset_prior_weight);
  double deviation = declared->weight > 0.0 ? log_declared - declared->mean : 0.0;
  double leverage = 1.0 / (declared->weight + model->offset_prior_weight)
                    + deviation * deviation / (declared->squares + slope_prior_weight);

  slope = CLAMP (slope, slope_min, slope_max);
  return (estimate_t){ .mean = log_declared + offset + slope * deviation,
                       .variance = step_variance (model) * (1.0 + MIN (leverage, 1.0)) };
}

/* Adds what the job's finished steps tell: the mean of their residuals, shrunk by the share of the
 * variance that the steps of a job have in common. */
static void
apply_job (const runtime_model_t *model, const runtime_job_t *job, estimate_t *estimate)
{
  double common = runtime_model_job_share (model) * step_variance (model);
  double own = step_variance (model) - common;
  double gain;

  if (job->count == 0 || common <= 0.0)
    return;
  gain = common / (common + own / job->count);
  estimate->mean += gain * job->residual_sum / job->count;
  estimate->variance -= gain * common;
}

/* The running tasks of the step have run for `log_elapsed` in the mean, which is a lower bound of
 * their run times.  Newton's method for the most likely mean of the step, given that and
 * `estimate`. */
static void
apply_lower_bound (double within_variance, guint count, double log_elapsed, estimate_t *estimate)
{
  double deviation = sqrt (within_variance);
  double precision = 1.0 / estimate->variance;
  double mean = estimate->mean;
  double bound_precision = 0.0;

  for (guint i = 0; i < CENSORED_ITERATIONS; i++)
    {
      double z = (log_elapsed - mean) / deviation;
      double pull = z > -tail_deviations ? mean_above (z) : 0.0;
      double change;

      bound_precision = count * CLAMP (pull * (pull - z), 0.0, 1.0) / within_variance;
      /* A task of the tail does not speak for the others. */
      pull = MIN (pull, tail_deviations);
      change = ((estimate->mean - mean) * precision + count * pull / deviation)
               / (precision + bound_precision);
      mean += change;
      if (fabs (change) < 1e-3)
        break;
    }
  estimate->mean = mean;
  estimate->variance = 1.0 / (precision + bound_precision);
}

/* Typical run time of the step's tasks. */
static estimate_t
estimate_step (const runtime_model_t *model,
               const runtime_step_t *step,
               const runtime_job_t *job,
               gint64 now_us)
{
  estimate_t estimate = regress (model, step->log_declared);
  double within = task_variance (model);

  apply_job (model, job, &estimate);
  if (step->done.weight > 0.0)
    {
      double prior_precision = 1.0 / estimate.variance;
      double precision = step->done.weight / within;

      estimate.mean = (estimate.mean * prior_precision + step->done.mean * precision)
                      / (prior_precision + precision);
      estimate.variance = 1.0 / (prior_precision + precision);
    }
  if (step->running_count > 0)
    {
      double elapsed_us
          = (double) now_us - (double) step->running_since_sum_us / step->running_count;

      apply_lower_bound (within, step->running_count, log (MAX (elapsed_us, 1.0)), &estimate);
    }
  return estimate;
}

/* ---- Steps. */

runtime_model_t *
runtime_model_new (void)
{
  runtime_model_t *model = g_new0 (runtime_model_t, 1);

  model->offset_prior_weight = offset_prior_weight;
  return model;
}

void
runtime_model_free (runtime_model_t *model)
{
  g_free (model);
}

void
runtime_step_init (runtime_step_t *step, gint64 declared_us)
{
  memset (step, 0, sizeof *step);
  step->log_declared = log (MAX ((double) declared_us, least_us));
}

void
runtime_model_run_began (const runtime_model_t *model,
                         runtime_step_t *step,
                         const runtime_job_t *job,
                         gint64 since_us)
{
  if (step->log_expected == 0.0)
    step->log_expected = estimate_step (model, step, job, since_us).mean;
  step->running_count++;
  step->running_since_sum_us += since_us;
}

void
runtime_step_run_gone (runtime_step_t *step, gint64 since_us)
{
  g_assert (step->running_count > 0);
  step->running_count--;
  step->running_since_sum_us -= since_us;
}

gint64
runtime_step_expected_us (const runtime_step_t *step)
{
  return step->log_expected != 0.0 ? llround (exp (step->log_expected)) : 0;
}

/* Whether the task belongs to the tail can be told once the step's other tasks say what is usual.
 */
static void
learn_tail (runtime_model_t *model, const estimate_t *estimate, double residual, double deviation)
{
  bool is_tail = residual > MAX (tail_log_min, tail_deviations * deviation);

  if (estimate->variance > task_variance (model))
    return;
  add_decaying (&model->tail_share, is_tail ? 1.0 : 0.0, keep_per_task);
  if (is_tail)
    add_decaying (&model->tail_excess, MIN (residual, clamp_log), keep_per_tail);
}

void
runtime_model_task_done (runtime_model_t *model,
                         runtime_step_t *step,
                         const runtime_job_t *job,
                         gint64 ran_us,
                         gint64 now_us)
{
  estimate_t estimate = estimate_step (model, step, job, now_us);
  double deviation = sqrt (estimate.variance + task_variance (model));
  double residual = log (MAX ((double) ran_us, 1.0)) - estimate.mean;
  double limit = clamp_deviations * deviation;
  double value = estimate.mean + CLAMP (residual, -limit, limit);

  learn_tail (model, &estimate, residual, deviation);
  step->longest_us = MAX (step->longest_us, (double) ran_us);
  decayed_stats_add (&step->done, value, 1.0);
}

static void
forget (runtime_model_t *model, double keep)
{
  decayed_stats_fade (&model->declared, keep);
  decayed_stats_fade (&model->ratio, keep);
  model->products *= keep;
}

/* Clamps the residual of a step.  One outlier is a tail, several in a row on one side are a change
 * of the run times: what was learned before then counts little. */
static double
clamp_residual (runtime_model_t *model, double residual, double deviation)
{
  double limit = MIN (clamp_deviations * deviation, clamp_log);

  if (fabs (residual) <= limit)
    {
      model->outliers_in_row = 0;
      return residual;
    }
  if (residual > 0.0)
    model->outliers_in_row = MAX (model->outliers_in_row, 0) + 1;
  else
    model->outliers_in_row = MIN (model->outliers_in_row, 0) - 1;
  if (ABS (model->outliers_in_row) < OUTLIERS_OF_A_CHANGE)
    return CLAMP (residual, -limit, limit);
  model->outliers_in_row = 0;
  forget (model, MIN (weight_at_change / model->declared.weight, 1.0));
  return CLAMP (residual, -clamp_log, clamp_log);
}

static void
update_regression (runtime_model_t *model, double log_declared, double ratio)
{
  double declared_change = log_declared - model->declared.mean;

  forget (model, keep_per_step);
  model->offset_prior_weight *= keep_per_step;
  decayed_stats_add (&model->declared, log_declared, 1.0);
  decayed_stats_add (&model->ratio, ratio, 1.0);
  model->products += declared_change * (ratio - model->ratio.mean);
}

/* Learns from the residual of a step, and of the job's earlier steps, how far the steps of a job
 * are misdeclared alike. */
static void
learn_job_share (runtime_model_t *model, const runtime_job_t *job, double residual)
{
  double product;

  if (job->count == 0)
    return;
  product = residual * job->residual_sum / job->count / step_variance (model);
  add_decaying (
      &model->job_share,
      CLAMP (product, -clamp_deviations * clamp_deviations, clamp_deviations * clamp_deviations),
      keep_per_step);
}

void
runtime_model_step_done (runtime_model_t *model, const runtime_step_t *step, runtime_job_t *job)
{
  estimate_t estimate;
  double residual;

  if (step->done.weight <= 0.0)
    return;
  estimate = regress (model, step->log_declared);
  residual = step->done.mean - estimate.mean;
  if (step->log_expected != 0.0)
    {
      add_error (&model->prediction_errors, step->done.mean - step->log_expected);
      add_error (&model->declaration_errors, step->done.mean - step->log_declared);
    }
  residual = clamp_residual (model, residual, sqrt (estimate.variance));
  learn_job_share (model, job, residual);
  job->residual_sum += residual;
  job->count++;
  add_decaying (&model->step_variance,
                residual * residual * step_variance (model) / estimate.variance, keep_per_step);
  if (step->done.weight > 1.0)
    add_decaying (&model->task_variance, step->done.squares / (step->done.weight - 1.0),
                  keep_per_step);
  update_regression (model, step->log_declared, estimate.mean + residual - step->log_declared);
  model->step_count++;
}

/* ---- Predictions. */

double
runtime_step_longest_us (const runtime_step_t *step)
{
  return step->longest_us;
}

runtime_prediction_t
runtime_model_predict (const runtime_model_t *model,
                       const runtime_step_t *step,
                       const runtime_job_t *job,
                       gint64 now_us)
{
  estimate_t estimate = estimate_step (model, step, job, now_us);

  return (runtime_prediction_t){ .median_us = CLAMP (exp (estimate.mean), least_us, most_us),
                                 .spread = sqrt (estimate.variance + task_variance (model)) };
}

/* Median of the time that remains of a log-normal run time after `ran_us`, and the probability of a
 * run time above that. */
static double
median_after (runtime_prediction_t prediction, double ran_us, double *survival)
{
  double z = log (MAX (ran_us, 1.0) / prediction.median_us) / prediction.spread;

  *survival = upper_tail (z);
  if (z < -4.0)
    return prediction.median_us - ran_us;
  /* Far out, the median is log(2) / z standard deviations further. */
  if (z > 5.0)
    return ran_us * expm1 (prediction.spread * G_LN2 / z);
  return prediction.median_us * exp (prediction.spread * upper_quantile (0.5 * *survival)) - ran_us;
}

gint64
runtime_model_remaining_us (const runtime_model_t *model,
                            const runtime_step_t *step,
                            const runtime_job_t *job,
                            gint64 since_us,
                            gint64 ran_us,
                            gint64 now_us)
{
  runtime_step_t others = *step;
  double tail_share
      = decayed_stats_mean (&model->tail_share, tail_share_prior, tail_share_prior_weight);
  runtime_prediction_t body;
  runtime_prediction_t tail;
  double body_survival;
  double tail_survival;
  double body_us;
  double tail_us;
  double tail_weight;

  /* Its own elapsed time is taken into account below. */
  if (since_us > 0 && others.running_count > 0)
    runtime_step_run_gone (&others, since_us);
  body = runtime_model_predict (model, &others, job, now_us);
  tail = body;
  tail.median_us *= exp (
      decayed_stats_mean (&model->tail_excess, tail_excess_prior, tail_excess_prior_weight));
  tail.spread = MAX (body.spread, tail_spread_min);
  body_us = median_after (body, (double) ran_us, &body_survival);
  tail_us = median_after (tail, (double) ran_us, &tail_survival);
  tail_weight = tail_share * tail_survival;
  tail_weight /= MAX (tail_weight + (1.0 - tail_share) * body_survival, 1e-300);
  /* A run counts as one of the tail only once it has outlived the others. */
  if (ran_us < (gint64) body.median_us)
    tail_weight = 0.0;
  body_us += tail_weight * (tail_us - body_us);
  return (gint64) CLAMP (body_us, 1.0,
                         remaining_factor_max * MAX (body.median_us, (double) ran_us));
}

runtime_model_stats_t
runtime_model_stats (const runtime_model_t *model)
{
  const error_histogram_t *prediction = &model->prediction_errors;
  const error_histogram_t *declaration = &model->declaration_errors;

  return (runtime_model_stats_t){
    .step_count = model->step_count,
    .prediction = { error_quantile (prediction, 0.5), error_quantile (prediction, 0.9) },
    .declaration = { error_quantile (declaration, 0.5), error_quantile (declaration, 0.9) },
  };
}
