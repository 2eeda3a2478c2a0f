/* State machine of a task, as pure transitions.
 *
 *   PENDING ── placed ── STARTING ── worker confirms ── RUNNING ── FINISHED
 *      ↑          refused ┘   │ reply lost                 │ worker silent
 *      │                      ↓                            ↓
 *      └── stop confirmed, ─ STOPPING                    RUNNING until its lease has
 *          worker gone, or lease certainly expired       certainly expired, then PENDING
 *
 * A running task that is missing from its worker's report becomes STOPPING.
 *
 * A task becomes PENDING again only when it is certain that no worker runs it.  A lease
 * has certainly expired once clock drift and message delay are allowed for.
 */
#pragma once

#include "base/list.h"
#include "decide/place.h"

enum
{
  JOB_ID_MAX = 63,
  JOB_TASKS_MAX = 1000
};

typedef enum
{
  TASK_PENDING,
  TASK_STARTING,
  TASK_RUNNING,
  TASK_STOPPING,
  TASK_RECOVERING, /* restored from the job's record; may run somewhere until its lease expires */
  TASK_FINISHED,
  TASK_FAILED
} task_state_t;

struct job;

typedef struct
{
  list_node_t worker_node; /* in the list of tasks on the worker, kept by the caller */
  struct job *job;
  guint index; /* of the task in the job */
  task_state_t state;
  resources_t need;
  gint64 run_ms; /* declared run time */
  guint attempt;
  guint failures;
  int worker;            /* index in the placer, or PLACE_NONE */
  gint64 lease_until_us; /* the worker has certainly stopped the task by then */
} task_t;

/* Returns the time at which a lease of `lease_us`, renewed by a message that was sent at
 * `sent_us`, has certainly expired on the worker, whose clock may drift. */
gint64 task_lease_expiry_us (gint64 sent_us, gint64 lease_us);

/* True when the lease has certainly expired, so that a task whose worker is silent may be
 * started elsewhere. */
bool task_lease_is_expired (const task_t *task, gint64 now_us);

/* Moves the task to STARTING and counts an attempt.  The caller has allocated its resources on
 * `worker`. */
void task_place (task_t *task, int worker);

/* Detaches the task from its worker: releases its resources and makes it PENDING.  Frees no
 * memory. */
void task_unplace (task_t *task, placer_t *placer);

/* Records a failed run: the task becomes FAILED after too many, else PENDING. */
void task_fail (task_t *task, placer_t *placer);

/* Returns the state's name for display.  Static storage. */
const char *task_state_name (task_state_t state);
