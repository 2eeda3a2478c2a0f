#include "decide/executor_speed.h"

#include "decide/decayed_stats.h"

#include <math.h>

enum
{
  RUNS_MAX = 64,        /* of a step that are compared with each other */
  UPDATE_INTERVAL = 32, /* measured runs from one update of mean and median to the next */
  CHECKED_RUNS_MIN = 20 /* before progress is trusted */
};

/* Samples beyond this factor come from tasks that are longer than their siblings. */
static const double clamp_factor = 3.0;
/* Limit of a sample's deviation from the value once the weight is `certain_weight`. */
static const double deviation_limit = 0.6;
static const double certain_weight = 4.0;
/* Variance of the logarithm of the run times in a step, until it is learned: tasks differ by 15 to
 * 30 %, and a few take much longer. */
static const double initial_variance = 0.12;
static const double variance_weight_max = 500.0; /* in pairs; a new fleet starts with it */
/* Weight of the assumption that an executor's speed is 1.0. */
static const double prior_weight = 1.0;
/* Older samples fade beyond this weight. */
static const double weight_max = 30.0;
/* Standard errors by which a value has to differ from the median to count. */
static const double certainty = 1.5;
/* Half the width of a class: 15 %. */
static const double class_half_width = 0.14;
/* A class is kept until the value is beyond its limit by this. */
static const double class_hysteresis = 0.05;
/* Part of a run's weight that counts before it ends, by the run time that its progress promises. */
static const double progress_share = 0.4;
/* Progress is used while the run times that it promised are off by less than this on average, in
 * the logarithm. */
static const double progress_error_max = 0.15;
static const double progress_weight_max = 50.0; /* of that average, in runs */
static const gint64 log_interval_us = 5 * G_USEC_PER_SEC;

struct executor_speed
{
  executor_speeds_t *fleet;
  guint incarnation;       /* counts calls to executor_speed_forget() */
  decayed_stats_t samples; /* in the logarithm; none: unknown */
  double value;            /* the speed */
  int class;
  int logged_class;
  gint64 logged_us; /* 0: never */
};

struct executor_speeds
{
  GPtrArray *all;                 /* executor_speed_t */
  double median;                  /* of the known speeds, in the logarithm */
  decayed_stats_t variance;       /* of the logarithm of the run times in a step */
  guint learned;                  /* ended tasks since the last update */
  decayed_stats_t progress_error; /* of runs whose progress was compared with their run time */
  guint unusual;                  /* executors that are not in the usual class */
};

typedef struct
{
  executor_speed_t *speed;
  guint incarnation;
  guint task_index;
  double log_us;
} measured_run_t;

struct executor_speed_runs
{
  guint task_count;
  guint stride;     /* one task in so many is compared */
  GArray *measured; /* measured_run_t, one for a task */
};

executor_speeds_t *
executor_speeds_new (void)
{
  executor_speeds_t *speeds = g_new0 (executor_speeds_t, 1);

  speeds->all = g_ptr_array_new_with_free_func (g_free);
  speeds->variance = (decayed_stats_t){ .weight = variance_weight_max, .mean = initial_variance };
  return speeds;
}

void
executor_speeds_free (executor_speeds_t *speeds)
{
  if (speeds == NULL)
    return;
  g_ptr_array_unref (speeds->all);
  g_free (speeds);
}

executor_speed_t *
executor_speeds_add (executor_speeds_t *speeds)
{
  executor_speed_t *speed = g_new0 (executor_speed_t, 1);

  speed->fleet = speeds;
  speed->value = 1.0;
  g_ptr_array_add (speeds->all, speed);
  return speed;
}

static void
set_class (executor_speed_t *speed, int class)
{
  if (speed->class != 0)
    speed->fleet->unusual--;
  if (class != 0)
    speed->fleet->unusual++;
  speed->class = class;
}

void
executor_speed_forget (executor_speed_t *speed)
{
  if (speed == NULL)
    return;
  set_class (speed, 0);
  speed->incarnation++;
  speed->samples = (decayed_stats_t){ 0 };
  speed->value = 1.0;
  speed->logged_class = 0;
}

executor_speed_runs_t *
executor_speed_runs_new (guint task_count)
{
  executor_speed_runs_t *runs = g_new0 (executor_speed_runs_t, 1);

  runs->task_count = task_count;
  runs->stride = (task_count + RUNS_MAX - 1) / RUNS_MAX;
  runs->measured = g_array_new (FALSE, FALSE, sizeof (measured_run_t));
  return runs;
}

void
executor_speed_runs_free (executor_speed_runs_t *runs)
{
  if (runs == NULL)
    return;
  g_array_unref (runs->measured);
  g_free (runs);
}

static double
shrunk_mean (const executor_speed_t *speed)
{
  return decayed_stats_mean (&speed->samples, 0.0, prior_weight);
}

/* Difference from the median that is certain, in the logarithm. */
static double
certain_difference (const executor_speed_t *speed)
{
  double difference = shrunk_mean (speed) - speed->fleet->median;
  double error = certainty * sqrt (speed->fleet->variance.mean / speed->samples.weight);

  return copysign (MAX (fabs (difference) - error, 0.0), difference);
}

static void
update_class (executor_speed_t *speed)
{
  double middle = 2.0 * class_half_width * speed->class;
  double difference;

  if (speed->samples.weight <= 0.0)
    return;
  difference = certain_difference (speed);
  if (fabs (difference - middle) <= class_half_width + class_hysteresis)
    return;
  set_class (speed, CLAMP ((int) lround (difference / (2.0 * class_half_width)),
                           EXECUTOR_SPEED_CLASS_MIN, EXECUTOR_SPEED_CLASS_MAX));
}

static void
update_value (executor_speed_t *speed)
{
  speed->value = exp (shrunk_mean (speed));
  update_class (speed);
}

/* The deviation of a pair comes from two run times. */
static void
learn_variance (executor_speeds_t *speeds, double deviation)
{
  decayed_stats_fade_to (&speeds->variance, variance_weight_max - 1.0);
  decayed_stats_add (&speeds->variance, deviation * deviation / 2.0, 1.0);
}

static void
add_sample (executor_speed_t *speed, double sample, double weight)
{
  double limit = log (clamp_factor);
  double deviation = CLAMP (sample, -limit, limit) - speed->samples.mean;

  if (speed->samples.weight >= certain_weight)
    {
      deviation = CLAMP (deviation, -deviation_limit, deviation_limit);
      learn_variance (speed->fleet, deviation);
    }
  decayed_stats_fade_to (&speed->samples, weight_max - weight);
  decayed_stats_add (&speed->samples, speed->samples.mean + deviation, weight);
}

static int
compare_numbers (const void *a, const void *b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return left < right ? -1 : left > right;
}

/* Scales the speeds to a mean of 1.0, and finds the median.  Speeds count by what is known of them.
 */
static void
update_fleet (executor_speeds_t *speeds)
{
  g_autoptr (GArray) known = g_array_new (FALSE, FALSE, sizeof (double));
  double sum = 0.0;
  double weight = 0.0;
  double shift;

  speeds->learned = 0;
  for (guint i = 0; i < speeds->all->len; i++)
    {
      const executor_speed_t *speed = g_ptr_array_index (speeds->all, i);
      double certain = speed->samples.weight / (speed->samples.weight + prior_weight);

      sum += certain * exp (speed->samples.mean);
      weight += certain;
    }
  if (weight <= 0.0)
    return;
  shift = log (sum / weight);
  for (guint i = 0; i < speeds->all->len; i++)
    {
      executor_speed_t *speed = g_ptr_array_index (speeds->all, i);
      double value;

      if (speed->samples.weight <= 0.0)
        continue;
      speed->samples.mean -= shift;
      value = shrunk_mean (speed);
      g_array_append_val (known, value);
    }
  g_array_sort (known, compare_numbers);
  speeds->median = g_array_index (known, double, known->len / 2);
  for (guint i = 0; i < speeds->all->len; i++)
    update_value (g_ptr_array_index (speeds->all, i));
}

/* A certain value is not shrunk, since otherwise executors of one speed that are only compared with
 * each other would drift towards 1.0. */
static double
correction (const executor_speed_t *speed)
{
  return speed->samples.weight >= certain_weight ? speed->samples.mean : shrunk_mean (speed);
}

/* Each of the two executors learns from the other's run time.  With `n` siblings a run counts as
 * n / (n + 1) samples, since the spread of the siblings adds to its own. */
static void
compare_runs (const executor_speed_runs_t *runs,
              const measured_run_t *a,
              const measured_run_t *b,
              double share)
{
  guint compared = (runs->task_count + runs->stride - 1) / runs->stride;
  double weight = share / compared;
  double nominal_a = a->log_us + correction (a->speed);
  double nominal_b = b->log_us + correction (b->speed);

  add_sample (a->speed, nominal_b - a->log_us, weight);
  add_sample (b->speed, nominal_a - b->log_us, weight);
}

static bool
is_of_former_incarnation (const measured_run_t *run)
{
  return run->incarnation != run->speed->incarnation;
}

static void
compare_with_siblings (executor_speeds_t *speeds,
                       const executor_speed_runs_t *runs,
                       const measured_run_t *run,
                       double share)
{
  for (guint i = 0; i < runs->measured->len; i++)
    {
      const measured_run_t *other = &g_array_index (runs->measured, measured_run_t, i);

      if (other->speed == run->speed || is_of_former_incarnation (other))
        continue;
      compare_runs (runs, run, other, share);
      update_value (other->speed);
    }
  update_value (run->speed);
  if (++speeds->learned >= UPDATE_INTERVAL)
    update_fleet (speeds);
}

static measured_run_t *
find_measured (const executor_speed_runs_t *runs, guint task_index)
{
  for (guint i = 0; i < runs->measured->len; i++)
    {
      measured_run_t *run = &g_array_index (runs->measured, measured_run_t, i);

      if (run->task_index == task_index)
        return run;
    }
  return NULL;
}

void
executor_speeds_learn (executor_speeds_t *speeds,
                       executor_speed_runs_t *runs,
                       executor_speed_t *speed,
                       guint task_index,
                       gint64 ran_us)
{
  measured_run_t run = { speed, speed->incarnation, task_index, log ((double) ran_us) };
  measured_run_t *earlier;
  double share = 1.0;

  g_assert (ran_us > 0);
  if (task_index % runs->stride != 0)
    return;
  earlier = find_measured (runs, task_index);
  if (earlier != NULL && earlier->speed == speed && !is_of_former_incarnation (earlier))
    share -= progress_share;
  if (earlier != NULL)
    *earlier = run;
  compare_with_siblings (speeds, runs, &run, share);
  if (earlier == NULL)
    g_array_append_val (runs->measured, run);
}

bool
executor_speeds_trust_progress (const executor_speeds_t *speeds)
{
  return speeds->progress_error.weight >= CHECKED_RUNS_MIN
         && speeds->progress_error.mean < progress_error_max;
}

void
executor_speeds_check_progress (executor_speeds_t *speeds, gint64 expected_us, gint64 ran_us)
{
  double error = fabs (log ((double) expected_us / (double) ran_us));

  g_assert (expected_us > 0 && ran_us > 0);
  decayed_stats_fade_to (&speeds->progress_error, progress_weight_max - 1.0);
  decayed_stats_add (&speeds->progress_error, error, 1.0);
}

void
executor_speeds_learn_progress (executor_speeds_t *speeds,
                                executor_speed_runs_t *runs,
                                executor_speed_t *speed,
                                guint task_index,
                                gint64 expected_us)
{
  measured_run_t run = { speed, speed->incarnation, task_index, log ((double) expected_us) };

  g_assert (expected_us > 0);
  if (task_index % runs->stride != 0 || find_measured (runs, task_index) != NULL
      || !executor_speeds_trust_progress (speeds))
    return;
  compare_with_siblings (speeds, runs, &run, progress_share);
  g_array_append_val (runs->measured, run);
}

double
executor_speed_value (const executor_speed_t *speed)
{
  return speed != NULL && speed->fleet->unusual > 0 ? speed->value : 1.0;
}

int
executor_speed_class (const executor_speed_t *speed)
{
  return speed != NULL ? speed->class : 0;
}

double
executor_speed_for_placement (const executor_speed_t *speed)
{
  return executor_speed_class (speed) == 0 ? 1.0 : speed->value;
}

bool
executor_speed_is_log_due (executor_speed_t *speed, gint64 now_us)
{
  if (speed->class == speed->logged_class
      || (speed->logged_us > 0 && now_us - speed->logged_us < log_interval_us))
    return false;
  speed->logged_class = speed->class;
  speed->logged_us = now_us;
  return true;
}
