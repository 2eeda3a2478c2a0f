#include "decide/scheduler_state.h"

/* Interval between two log lines on the same waiting gang. */
static const gint64 log_interval_us = G_USEC_PER_SEC;

static void
log_waits (const scheduler_t *scheduler,
           const step_t *step,
           const char *event,
           gang_round_t round,
           const queue_order_key_t *key,
           gint64 now_us)
{
  const gang_waits_t *waits = &step->waits;
  const job_t *job = step->job;

  scheduler_log (
      scheduler, event,
      "job=%s step=%u.%u queue=%s tasks=%u cpu_milli=%u group=%s slack_ms=%" G_GINT64_FORMAT
      " waited_ms=%" G_GINT64_FORMAT " reserved=%d allowed=%u calls=%u renewed=%u"
      " rounds=%u unplanned=%u unreserved=%u",
      job->spec->id, step->occurrence, step->index, job->queue->name, step->spec->count,
      step->spec->need.cpu_milli, queue_order_group_name (key), key->slack_us / 1000,
      (now_us - step->ready_us) / 1000, (int) (round == GANG_RESERVED),
      step->allowed != NULL ? step->allowed->len : 0, waits->advice_calls, waits->renewed_tickets,
      waits->rounds, waits->unplanned_rounds, waits->unreserved_rounds);
}

/* The mean wait of a queue's gangs goes back over about 16 of them. */
static const double gang_waits_weight_max = 16.0;
/* The wait is not known before so many gangs were placed. */
static const double gang_waits_weight_min = 4.0;

static void
learn_gang_wait (step_t *step, const queue_order_key_t *key, gint64 now_us)
{
  queue_t *queue = step->job->queue;

  if (queue->runtimes == NULL || step->was_placed || !queue_order_has_slack (key))
    return;
  decayed_stats_fade_to (&queue->gang_waits_us, gang_waits_weight_max - 1.0);
  decayed_stats_add (&queue->gang_waits_us,
                     (double) MIN (now_us - step->ready_us, step->job->objective_us), 1.0);
}

gint64
scheduler_placing_us (const step_t *step)
{
  const queue_t *queue = step->job->queue;

  if (!step->spec->gang || queue->runtimes == NULL
      || queue->gang_waits_us.weight < gang_waits_weight_min)
    return 0;
  return (gint64) queue->gang_waits_us.mean;
}

void
scheduler_count_gang_round (const scheduler_t *scheduler,
                            step_t *step,
                            gang_round_t round,
                            const queue_order_key_t *key,
                            gint64 now_us)
{
  gang_waits_t *waits = &step->waits;

  waits->rounds++;
  waits->unplanned_rounds += round == GANG_UNPLANNED;
  waits->unreserved_rounds += round == GANG_UNRESERVED;
  if (round == GANG_PLACED)
    {
      log_waits (scheduler, step, "gang_placed", round, key, now_us);
      learn_gang_wait (step, key, now_us);
      step->was_placed = true;
      *waits = (gang_waits_t){ 0 };
    }
  else if (now_us - MAX (waits->logged_us, step->ready_us) >= log_interval_us)
    {
      log_waits (scheduler, step, "gang_waits", round, key, now_us);
      waits->logged_us = now_us;
    }
}
