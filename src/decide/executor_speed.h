/* Speeds of executors, learned from the run times of tasks of the same step.
 *
 * The tasks of a step do similar work, so the ratio of their run times on two executors shows the
 * ratio of their speeds.  Each pair of ended tasks of a step gives both executors a sample,
 * corrected by what is known of the other one.  An executor's speed is a moving average of its
 * samples in the logarithm, shrunk towards 1.0 while there are few of them.  Ratios only tell
 * speeds relative to each other: they are scaled so that their mean over the fleet is 1.0.
 *
 * For placement, speeds are rounded to classes around the median, since differences below 15 % are
 * mostly noise.  An executor is in the usual class until its samples show with some certainty that
 * it is not.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  EXECUTOR_SPEED_CLASS_MIN = -4, /* samples are clamped to a factor of 3 */
  EXECUTOR_SPEED_CLASS_MAX = 4
};

/* The speeds of a fleet. */
typedef struct executor_speeds executor_speeds_t;

/* The speed of one executor, owned by the executor_speeds_t. */
typedef struct executor_speed executor_speed_t;

/* Run times of a step's ended tasks; bounded. */
typedef struct executor_speed_runs executor_speed_runs_t;

executor_speeds_t *executor_speeds_new (void);
void executor_speeds_free (executor_speeds_t *speeds);

/* Adds an executor of unknown speed, which counts as 1.0. */
executor_speed_t *executor_speeds_add (executor_speeds_t *speeds);

/* Forgets what is known of the executor; to be called when it has restarted. */
void executor_speed_forget (executor_speed_t *speed);

/* Run times of a step with this many tasks.  Free with executor_speed_runs_free(). */
executor_speed_runs_t *executor_speed_runs_new (guint task_count);
void executor_speed_runs_free (executor_speed_runs_t *runs);

/* Learns from a task that was run from beginning to end in `ran_us`, which is above 0.  Each task
 * of the step is to be passed at most once. */
void executor_speeds_learn (executor_speeds_t *speeds,
                            executor_speed_runs_t *runs,
                            executor_speed_t *speed,
                            guint task_index,
                            gint64 ran_us);

/* Progress of running tasks promises a run time, elapsed time over the completed part, which shows
 * a slow executor earlier.  It is compared with the run times of tasks that end, and used only
 * while it is accurate. */
void executor_speeds_check_progress (executor_speeds_t *speeds, gint64 expected_us, gint64 ran_us);
bool executor_speeds_trust_progress (const executor_speeds_t *speeds);
/* Learns from a task that is running; does nothing while progress is not trusted or if the task was
 * passed before. */
void executor_speeds_learn_progress (executor_speeds_t *speeds,
                                     executor_speed_runs_t *runs,
                                     executor_speed_t *speed,
                                     guint task_index,
                                     gint64 expected_us);

/* Relative to the fleet's mean; 1.0 if `speed` is NULL or unknown, and for each executor while all
 * are in the usual class. */
double executor_speed_value (const executor_speed_t *speed);

/* 0: usual, below: slow, above: fast.  Neighbouring classes differ by 15 % or more from the middle
 * of the class to its limit.  0 if `speed` is NULL. */
int executor_speed_class (const executor_speed_t *speed);

/* Speed for decisions on placement: 1.0 in the usual class. */
double executor_speed_for_placement (const executor_speed_t *speed);

/* True if the class has changed since the previous time that this returned true, at most once per
 * executor and 5 s. */
bool executor_speed_is_log_due (executor_speed_t *speed, gint64 now_us);
