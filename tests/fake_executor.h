/* Speaks an executor's side of the platform's protocol on loopback: hold requests, start and stop
 * orders.  It runs nothing; the test decides what it lists.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct fake_executor fake_executor_t;

enum
{
  FAKE_EXECUTOR_ANSWER_MS = 20 /* until a hold request is answered */
};

/* `born` identifies its incarnation.  It is never freed, nor is its port. */
fake_executor_t *fake_executor_new (gint64 born);

/* Returns "IP:PORT", borrowed. */
const char *fake_executor_address (const fake_executor_t *executor);

/* Lists the ends 1 to `count` of runs of the job, each `done`, until they are acknowledged. */
void fake_executor_set_ends (fake_executor_t *executor, const char *job, guint count);

/* Starts again at its address: the pending hold request gets no answer, and what the former
 * incarnation listed is gone. */
void fake_executor_restart (fake_executor_t *executor, gint64 born);

/* Starts again at its address; until the main loop runs, callers do not notice that their
 * connections are gone. */
void fake_executor_restart_unnoticed (fake_executor_t *executor, gint64 born);

/* Starts again at its address; its connections stay open, and the next incarnation answers on them,
 * also what the former one has received. */
void fake_executor_restart_behind_connections (fake_executor_t *executor, gint64 born);

/* Starts again at its address; its connections stay open, and get no answer any more. */
void fake_executor_restart_silently (fake_executor_t *executor, gint64 born);

/* Answers every call with this body and status 200; NULL: as usual. */
void fake_executor_set_answer (fake_executor_t *executor, const char *body);

/* Refuses start orders for this reason, a string that is kept; NULL: carries them out. */
void fake_executor_refuse_starts (fake_executor_t *executor, const char *reason);

/* Returns its clock, which begins at 0 in each incarnation. */
gint64 fake_executor_clock_ms (const fake_executor_t *executor);

/* Sets the clock of this incarnation forward. */
void fake_executor_advance_clock (fake_executor_t *executor, gint64 ms);

/* It has seen a call with this token, and refuses hold requests with a lower one when they are to
 * be answered. */
void fake_executor_see_fence (fake_executor_t *executor, gint64 fence);

/* Returns the token of the last hold request to this incarnation; 0: there was none. */
gint64 fake_executor_call_fence (const fake_executor_t *executor);

/* Returns when the lease ends, on its clock, that this request asked for; 0: none. */
gint64 fake_executor_lease_end_ms (const fake_executor_t *executor);

/* Returns the ends that this incarnation has forgotten, as they were acknowledged. */
guint fake_executor_forgotten (const fake_executor_t *executor);

/* Returns the hold requests that this incarnation has received. */
guint fake_executor_holds (const fake_executor_t *executor);

/* Returns whether a hold request waits for its answer. */
bool fake_executor_is_held (const fake_executor_t *executor);

/* Returns the start orders that this incarnation has received. */
guint fake_executor_starts (const fake_executor_t *executor);

/* Returns the text of such an order, from 0; NULL: there are fewer orders. */
const char *fake_executor_text (const fake_executor_t *executor, guint index);
