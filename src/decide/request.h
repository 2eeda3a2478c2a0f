/* State machine of the requests of one environment on one entry VM, from admission to reply.
 *
 * The machine is pure: events and the current time go in, actions come out.  All times are
 * microseconds of one monotonic clock.  The owner of the core maps each request id to
 * its socket, body and idempotency key; "recorded" is the outcome that the owner stores
 * under that key (see `keyed`).
 *
 *   arrive ── shed: REPLY not run
 *     └ CLAIMING (non-idempotent only; CLAIM) ── claim refused: REPLY
 *         └ QUEUED ── no time left: RELEASE, REPLY not run
 *             └ SENT (SEND) ── complete answer: REPLY result, recorded
 *                 ├ refused or not sent: QUEUED again, or RELEASE, REPLY not run
 *                 ├ lost, idempotent, retry budget left: QUEUED again
 *                 ├ lost otherwise: REPLY unknown, recorded
 *                 └ deadline passed: ABORT, REPLY unknown, recorded
 *
 * Invariants, each with a property test:
 *  - a non-idempotent request has at most one SEND whose outcome is not known to be
 *    "not run";
 *  - a REPLY with outcome "not run" never follows such a SEND;
 *  - each request gets exactly one REPLY, whose answer is that of its own last SEND.
 */
#pragma once

#include "base/error.h"
#include "decide/environment.h"
#include "decide/fairqueue.h"
#include "decide/router.h"
#include "decide/timerwheel.h"

typedef struct request_core request_core_t;

typedef enum
{
  REQUEST_ACTION_CLAIM,   /* durably record the intent to run, then call request_claim_done() */
  REQUEST_ACTION_RELEASE, /* the claimed request did not run; free its key */
  REQUEST_ACTION_SEND,    /* send the attempt to the executor, then call request_attempt_done() */
  REQUEST_ACTION_ABORT,   /* abort the attempt and close its connection */
  REQUEST_ACTION_REPLY    /* reply to the caller; the id is no longer known */
} request_action_kind_t;

typedef struct
{
  request_action_kind_t kind;
  guint64 id;
  guint attempt;      /* SEND, ABORT */
  int executor;       /* SEND, ABORT: index in the router */
  gint64 deadline_us; /* SEND */
  error_kind_t error; /* REPLY: ERROR_NONE for a result */
  bool keyed;         /* REPLY: a claim is held and the outcome must be recorded under its key */
  guint class_index;
  guint customer_index;
  gint64 waited_us;  /* REPLY: from arrival to the first send, or to now when never sent */
  gint64 service_us; /* REPLY: from the last send to now, 0 when never sent */
} request_action_t;

typedef enum
{
  REQUEST_CLAIM_HELD,        /* durably recorded for this request */
  REQUEST_CLAIM_UNAVAILABLE, /* not known to be recorded; nothing may be sent */
  REQUEST_CLAIM_TAKEN        /* another request holds the key; the core's owner chooses the reply */
} request_claim_result_t;

typedef enum
{
  ANSWER_COMPLETE, /* complete and for this request */
  ANSWER_REFUSED,  /* the executor reports that it did not run the request */
  ANSWER_NOT_SENT, /* no connection: not a byte was sent */
  ANSWER_LOST,     /* the connection broke after the first byte was sent */
  ANSWER_INVALID   /* truncated, or for another request */
} answer_kind_t;

typedef struct
{
  guint class_index;
  guint customer_index;
  bool keyed;         /* non-idempotent: needs a claim under its idempotency key */
  gint64 deadline_us; /* the class's deadline applies if it is earlier, or if this is 0 */
} request_spec_t;

typedef struct
{
  guint64 admitted;
  guint64 shed;
  guint64 sent;
  guint64 retried;
  guint64 retry_denied;
  guint64 expired;
} request_counters_t;

/* Takes a reference on `environment`; `router` is borrowed and must outlive the core. */
request_core_t *
request_core_new (environment_t *environment, router_t *router, guint32 seed, gint64 now_us);
void request_core_free (request_core_t *core);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (request_core_t, request_core_free)

/* The functions below append request_action_t to `actions`; the owner executes them in
 * order. */

void request_arrive (
    request_core_t *core, guint64 id, const request_spec_t *spec, gint64 now_us, GArray *actions);
void request_claim_done (request_core_t *core,
                         guint64 id,
                         request_claim_result_t result,
                         gint64 now_us,
                         GArray *actions);

/* Handles the end of an attempt.  An answer to any other than the current attempt is ignored. */
void request_attempt_done (request_core_t *core,
                           guint64 id,
                           guint attempt,
                           answer_kind_t answer,
                           gint64 now_us,
                           GArray *actions);

/* Handles a caller that disconnected: a queued request is dropped with a REPLY, one that is
 * being claimed or has been sent continues. */
void request_caller_disconnected (request_core_t *core, guint64 id, gint64 now_us, GArray *actions);

/* Expires deadlines and dispatches queued requests to free slots.  Must be called at least
 * every TIMERWHEEL_TICK_US while request_core_open_count() is not 0. */
void request_tick (request_core_t *core, gint64 now_us, GArray *actions);

/* Replaces the environment by a newer version and takes a reference on it.  The classes and
 * customers must have the same names and order, and each class the same `idempotent`.
 * Otherwise returns false without effect; the owner then creates a new core and lets this one
 * drain. */
bool request_core_set_environment (request_core_t *core, environment_t *environment);

/* Returns the number of requests that have no REPLY yet. */
guint request_core_open_count (const request_core_t *core);
const request_counters_t *request_core_counters (const request_core_t *core);

/* Returns the number of requests of the class that wait for a claim or a slot. */
guint request_core_queued_count (const request_core_t *core, guint class_index);

/* Returns the number of requests of the class that are sent and not answered. */
guint request_core_running_count (const request_core_t *core, guint class_index);
