#include "decide/queue_order.h"

enum
{
  GROUP_URGENT,
  GROUP_TURN,
  GROUP_ON_TIME,
  GROUP_LATE,
  GROUP_LOST,
  GROUP_EXCESS
};

/* A job is late from its objective up to this multiple of it, and lost after that. */
static const int late_limit_factor = 3;
/* Estimates are rough: work that seems late by less than this fraction (1/3) of its
 * remaining time may still be on time. */
static const gint64 tolerance_divisor = 3;
/* Late work that would be lost within this time is dispatched with the work that is on time. */
static const gint64 late_promotion_window_us = 3 * G_USEC_PER_SEC;

/* Lost work with this many seconds of processor time counts as accepted a second later. */

queue_order_key_t
queue_order_key (const queue_order_job_t *job, gint64 now_us)
{
  gint64 needed_us = now_us + job->remaining_us - job->accepted_us;
  gint64 slack_us = job->objective_us - needed_us;
  gint64 late_slack_us = late_limit_factor * job->objective_us - needed_us;
  gint64 tolerance_us = job->remaining_us / tolerance_divisor;

  if (slack_us > -tolerance_us)
    return (queue_order_key_t){ .group = job->priority == 0 ? GROUP_URGENT : GROUP_ON_TIME,
                                .slack_us = slack_us,
                                .placing_us = job->placing_us };
  if (late_slack_us > -tolerance_us && late_slack_us < late_promotion_window_us)
    return (queue_order_key_t){ .group = GROUP_ON_TIME, .slack_us = late_slack_us };
  if (late_slack_us > 0)
    return (queue_order_key_t){ .group = GROUP_LATE, .slack_us = late_slack_us };
  return (queue_order_key_t){ .group = GROUP_LOST, .slack_us = job->accepted_us };
}

gint64
queue_order_useful_us (gint64 objective_us)
{
  return late_limit_factor * objective_us;
}

bool
queue_order_is_late (const queue_order_key_t *key)
{
  return key->group == GROUP_LATE || key->group == GROUP_LOST;
}

bool
queue_order_has_slack (const queue_order_key_t *key)
{
  return key->group == GROUP_URGENT || key->group == GROUP_ON_TIME;
}

queue_order_key_t
queue_order_turn_key (gint64 since_us)
{
  return (queue_order_key_t){ .group = GROUP_TURN, .slack_us = since_us };
}

queue_order_key_t
queue_order_excess_key (const queue_order_key_t *key, double usage)
{
  return (queue_order_key_t){
    .group = GROUP_EXCESS,
    .slack_us = key->slack_us,
    .placing_us = key->placing_us,
    .usage = usage,
    .excess_group = key->group,
  };
}

bool
queue_order_is_excess (const queue_order_key_t *key)
{
  return key->group == GROUP_EXCESS;
}

const char *
queue_order_group_name (const queue_order_key_t *key)
{
  static const char *const names[] = {
    [GROUP_URGENT] = "urgent", [GROUP_TURN] = "turn", [GROUP_ON_TIME] = "on_time",
    [GROUP_LATE] = "late",     [GROUP_LOST] = "lost", [GROUP_EXCESS] = "excess",
  };

  return names[key->group];
}

int
queue_order_compare (const queue_order_key_t *a, const queue_order_key_t *b)
{
  if (a->group != b->group)
    return a->group < b->group ? -1 : 1;
  if (a->usage < b->usage || a->usage > b->usage)
    return a->usage < b->usage ? -1 : 1;
  if (a->excess_group != b->excess_group)
    return a->excess_group < b->excess_group ? -1 : 1;
  if (a->slack_us - a->placing_us != b->slack_us - b->placing_us)
    return a->slack_us - a->placing_us < b->slack_us - b->placing_us ? -1 : 1;
  return 0;
}

static void
set_key_by_slack (queue_order_key_t *key, const queue_order_job_t *job, gint64 now_us)
{
  *key = queue_order_key (job, now_us);
}

static void
set_key_fifo (queue_order_key_t *key, const queue_order_job_t *job, gint64 now_us G_GNUC_UNUSED)
{
  *key = (queue_order_key_t){ .group = GROUP_ON_TIME, .slack_us = job->accepted_us };
}

const queue_order_policy_t queue_order_by_slack = { "slack", set_key_by_slack };
const queue_order_policy_t queue_order_fifo = { "fifo", set_key_fifo };
