/* In which order work that waits is served when there is not room for all of it.
 *
 * A job is on time until its objective (stretch times its longest chain of work, and a
 * constant more), late until three times that, and lost after.  Urgent work that can
 * still be on time goes first, then other work by the time it has left; work that will
 * be late anyway waits until it would otherwise be lost.
 */
#pragma once

#include <glib.h>

typedef struct
{
  guint priority; /* 0 is urgent */
  gint64 accepted_us;
  gint64 objective_us; /* time from acceptance until the job is late */
  gint64 remaining_us; /* longest chain of work still to be done, as estimated */
} order_job_t;

typedef struct
{
  guint group;     /* lower goes first */
  gint64 slack_us; /* lower goes first within a group */
} order_key_t;

order_key_t order_key (const order_job_t *job, gint64 now_us);

/* Negative: `a` goes first. */
int order_compare (const order_key_t *a, const order_key_t *b);
