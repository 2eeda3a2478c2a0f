/* State of jobs and tasks, as pure transitions.
 *
 *   PENDING ── placed ── STARTING ── worker confirms ── RUNNING ── FINISHED
 *      ↑          refused ┘   │ reply lost                 │ worker silent
 *      │                      ↓                            ↓
 *      └── stop confirmed, ─ STOPPING                    RUNNING until its lease has
 *          worker gone, or lease surely lapsed           surely lapsed, then PENDING
 *
 * A task is PENDING again only when it certainly runs nowhere.
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
  TASK_RECOVERING, /* taken over; may run on some worker until its lease lapses */
  TASK_FINISHED,
  TASK_FAILED
} task_state_t;

struct job;

typedef struct
{
  list_node_t worker_node; /* in the owner's list of tasks on a worker */
  struct job *job;
  guint index; /* in the job */
  task_state_t state;
  resources_t need;
  gint64 run_ms; /* declared */
  guint attempt;
  guint failures;
  int worker;            /* placer index, or PLACE_NONE */
  gint64 lease_until_us; /* after it, the worker has surely stopped the task */
} task_t;

/* Time after which a lease of `lease_us`, renewed by a message sent at `sent_us`,
 * has surely run out on the worker, whose clock may drift. */
gint64 task_lease_end_us (gint64 sent_us, gint64 lease_us);

/* True when a task whose worker is silent may be started elsewhere. */
bool task_is_surely_lapsed (const task_t *task, gint64 now_us);

/* Placed: resources were given out on `worker`. */
void task_place (task_t *task, int worker);

/* Ends the task's stay on its worker: returns its resources and makes it PENDING. */
void task_free (task_t *task, placer_t *placer);

/* Records a failed run; FAILED after too many, else PENDING. */
void task_fail (task_t *task, placer_t *placer);

/* Returns the state's name as shown to people. */
const char *task_state_name (task_state_t state);
