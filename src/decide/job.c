#include "decide/job.h"

static const gint64 max_drift_divisor = 20; /* clocks drift by at most 1/20 of the time */
static const gint64 max_delivery_us = 4 * G_USEC_PER_SEC; /* longest time until a message arrives */
static const guint max_failures = 5;

gint64
task_lease_expiry_us (gint64 sent_us, gint64 lease_us)
{
  return sent_us + lease_us + lease_us / max_drift_divisor + max_delivery_us;
}

bool
task_lease_is_expired (const task_t *task, gint64 now_us)
{
  return task->lease_until_us <= now_us;
}

void
task_place (task_t *task, int worker)
{
  task->worker = worker;
  task->attempt++;
  task->state = TASK_STARTING;
}

void
task_unplace (task_t *task, placer_t *placer)
{
  if (task->worker != PLACE_NONE)
    placer_release (placer, task->worker, &task->need);
  task->worker = PLACE_NONE;
  task->state = TASK_PENDING;
}

void
task_fail (task_t *task, placer_t *placer)
{
  task_unplace (task, placer);
  task->failures++;
  if (task->failures >= max_failures)
    task->state = TASK_FAILED;
}

const char *
task_state_name (task_state_t state)
{
  switch (state)
    {
    case TASK_PENDING:
      return "pending";
    case TASK_STARTING:
      return "starting";
    case TASK_RUNNING:
      return "running";
    case TASK_STOPPING:
      return "stopping";
    case TASK_RECOVERING:
      return "recovering";
    case TASK_FINISHED:
      return "finished";
    case TASK_FAILED:
      return "failed";
    }
  return "unknown";
}
