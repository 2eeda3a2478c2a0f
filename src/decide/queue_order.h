/* Order in which queued work is dispatched when capacity does not suffice for all of it.
 *
 * A job is on time until its objective (a stretch factor times its critical path, plus a
 * constant), late until three times the objective, and lost after that.  Urgent work that
 * can still be on time goes first, then other work that can, by its slack (least first).  Work
 * that will be late anyway waits until it would otherwise be lost.  Lost work goes last, in the
 * order of acceptance.  Some of the late and lost work is given a turn before that
 * (scheduler_turns.c).  Work in excess of the share of its workspace goes after all other work, the
 * workspace that uses the least for its weight first.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  guint priority; /* 0 is urgent */
  gint64 accepted_us;
  gint64 objective_us; /* time from acceptance until the job is late */
  gint64 remaining_us; /* estimated critical path of the work still to be done */
  gint64 placing_us;   /* expected time from now until it can start, even if it goes first */
} queue_order_job_t;

typedef struct
{
  guint group; /* the lowest goes first */
  gint64
      slack_us; /* the least goes first within a group; a point in time for a turn or lost work */
  gint64 placing_us;  /* taken off the slack when work that is on time is compared */
  double usage;       /* of the workspace, for its weight; of excess work only, and goes first */
  guint excess_group; /* the group that excess work would be in; then this does */
} queue_order_key_t;

/* Returns the sort key of the job at `now_us`. */
queue_order_key_t queue_order_key (const queue_order_job_t *job, gint64 now_us);

/* Returns the time from acceptance after which a job with this objective is lost. */
gint64 queue_order_useful_us (gint64 objective_us);

/* True for lost work, and for late work that does not yet go with the work that is on time; false
 * for excess work. */
bool queue_order_is_late (const queue_order_key_t *key);

/* True if `slack_us` of the key is the time that the job can lose and still be on time, or still be
 * late rather than lost. */
bool queue_order_has_slack (const queue_order_key_t *key);

/* Returns the key of late work that has a turn, which goes before all work but urgent work that can
 * be on time.  Of two such keys, the one with the lower `since_us` goes first. */
queue_order_key_t queue_order_turn_key (gint64 since_us);

/* Returns the key of work in excess of the share, which otherwise has this key.  `usage` is what
 * its workspace uses for its weight. */
queue_order_key_t queue_order_excess_key (const queue_order_key_t *key, double usage);

bool queue_order_is_excess (const queue_order_key_t *key);

/* Name of the key's group in log lines. */
const char *queue_order_group_name (const queue_order_key_t *key);

/* A policy; others than the one above serve comparison. */
typedef struct
{
  const char *name;
  void (*set_key) (queue_order_key_t *key, const queue_order_job_t *job, gint64 now_us);
} queue_order_policy_t;

extern const queue_order_policy_t queue_order_by_slack; /* queue_order_key() */
extern const queue_order_policy_t queue_order_fifo;     /* first in, first out */

/* Compares like strcmp(): negative when `a` goes first. */
int queue_order_compare (const queue_order_key_t *a, const queue_order_key_t *b);
