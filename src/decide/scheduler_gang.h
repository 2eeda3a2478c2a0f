/* Parts of the placement of gangs, private to decide/scheduler_gang*.c.
 *
 * decide/scheduler_gang.c describes how a gang is planned.  A plan is an array of slots, of which
 * the first `count` are for the tasks of the step.
 */
#pragma once

#include "decide/scheduler_state.h"

/* A place on an executor for one task of the gang. */
typedef struct
{
  executor_t *executor;
  gint64 at_us;    /* when the resources are expected to be free */
  gint64 ready_us; /* when there is also a ticket */
  gint64 cost;     /* orders slots that are ready at the same time; lower is better */
} gang_slot_t;

/* Can the executor take tasks of the step, now or once it has room? */
bool gang_is_candidate (const step_t *step, const executor_t *executor, gint64 now_us);

/* The slots that the candidates among some executors provide, the earliest first.  Each is found
 * when it is taken, so that a caller that needs few of them pays for few. */
typedef struct gang_slot_queue gang_slot_queue_t;

/* `step` is borrowed.  Executors and their runs must not change while the queue is in use. */
gang_slot_queue_t *
gang_slot_queue_new (const GPtrArray *executors, const step_t *step, gint64 now_us);
void gang_slot_queue_free (gang_slot_queue_t *queue);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (gang_slot_queue_t, gang_slot_queue_free)

/* Takes the earliest slot.  Returns false if there is none left. */
bool gang_slot_queue_pop (gang_slot_queue_t *queue, gang_slot_t *slot);

/* True if an executor with slots left is fast enough for the step. */
bool gang_slot_queue_has_fast_enough (const gang_slot_queue_t *queue);

/* Returns all slots of such a queue. */
GArray *gang_collect_slots (const GPtrArray *executors, const step_t *step, gint64 now_us);

/* False for NULL. */
bool gang_is_complete (const GArray *plan, const step_t *step);

/* Time at which all members can start; G_MAXINT64 if the plan is incomplete or NULL. */
gint64 gang_start_us (const GArray *plan, const step_t *step);

/* Requests the advice that the plan needs, and advice on further executors while the known ones may
 * not suffice.  `plan` may be NULL; `gang_slots` are those of the allowed executors. */
void gang_request_advice (scheduler_t *scheduler,
                          step_t *step,
                          const GArray *plan,
                          const GArray *gang_slots,
                          gint64 now_us);
