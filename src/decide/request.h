/* Life of a request in one environment on one entry VM, from admission to answer.
 *
 * A pure state machine: events and the present time go in, actions come out.  All
 * times are microseconds of one monotonic clock; the owner maps each request id to
 * its socket, body and idempotency key.
 *
 *   arrive ── shed: REPLY not run
 *     └ CLAIMING (non-idempotent only; CLAIM) ── claim refused: REPLY
 *         └ QUEUED ── no time left: REPLY not run, RELEASE
 *             └ SENT (SEND) ── whole answer: REPLY result, RECORD
 *                 ├ refused or never sent: QUEUED again, or REPLY not run, RELEASE
 *                 ├ lost, idempotent, budget left: QUEUED again
 *                 └ lost or deadline passed: ABORT, REPLY unknown, RECORD
 *
 * Guarantees, each with a property test: a non-idempotent request has at most one
 * SEND whose fate is not known to be "not run"; a REPLY of outcome "not run" is
 * never given after such a SEND; each request gets exactly one REPLY, whose answer
 * is that of its own last SEND.
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
  REQUEST_ACTION_CLAIM,   /* record the intent to run durably, then request_claimed() */
  REQUEST_ACTION_RELEASE, /* the claimed intent did not run; free its key */
  REQUEST_ACTION_SEND,    /* send attempt to the executor, then request_answered() */
  REQUEST_ACTION_ABORT,   /* give up the attempt and close its connection */
  REQUEST_ACTION_REPLY    /* answer the caller; the id is forgotten */
} request_action_kind_t;

typedef struct
{
  request_action_kind_t kind;
  guint64 id;
  guint attempt;      /* SEND, ABORT */
  int executor;       /* SEND, ABORT: router index */
  gint64 deadline_us; /* SEND */
  error_kind_t error; /* REPLY: ERROR_NONE for a result */
  bool keyed;         /* REPLY: a claim is held and its fate must be recorded */
  guint class_index;
  guint customer_index;
  gint64 waited_us;  /* REPLY: arrival to first send, or to now when never sent */
  gint64 service_us; /* REPLY: last send to answer, 0 when never sent */
} request_action_t;

typedef enum
{
  CLAIM_HELD,        /* ours, durably */
  CLAIM_UNAVAILABLE, /* not ours as far as is known; nothing may be sent */
  CLAIM_TAKEN        /* another request has the key; the owner answers the caller */
} claim_result_t;

typedef enum
{
  ANSWER_WHOLE,   /* complete, and for this request */
  ANSWER_REFUSED, /* the executor says that it did not run it */
  ANSWER_UNSENT,  /* no connection: no byte was sent */
  ANSWER_LOST,    /* the connection broke after the first byte was sent */
  ANSWER_INVALID  /* truncated, or for another request */
} answer_kind_t;

typedef struct
{
  guint class_index;
  guint customer_index;
  bool keyed;         /* has an idempotency key: needs a claim */
  gint64 deadline_us; /* 0: the class's own */
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

/* `environment` is referenced; `router` is borrowed and must live longer. */
request_core_t *
request_core_new (environment_t *environment, router_t *router, guint32 seed, gint64 now_us);
void request_core_free (request_core_t *core);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (request_core_t, request_core_free)

/* Every function below appends request_action_t to `actions`, to be carried out in
 * order. */

void request_arrive (
    request_core_t *core, guint64 id, const request_spec_t *spec, gint64 now_us, GArray *actions);
void request_claimed (
    request_core_t *core, guint64 id, claim_result_t result, gint64 now_us, GArray *actions);

/* An answer of an attempt that is not the current one is ignored. */
void request_answered (request_core_t *core,
                       guint64 id,
                       guint attempt,
                       answer_kind_t answer,
                       gint64 now_us,
                       GArray *actions);

/* The caller went away: a queued request is dropped, a sent one runs on. */
void request_abandon (request_core_t *core, guint64 id, gint64 now_us, GArray *actions);

/* Passes deadlines and fills free slots; due at least every TIMERWHEEL_TICK_US
 * while request_core_busy(). */
void request_tick (request_core_t *core, gint64 now_us, GArray *actions);

/* Puts a newer document in force: requests in progress keep theirs only when the
 * classes and customers still have the same names and order; otherwise the owner
 * makes a new core and lets this one run dry. */
bool request_core_adopt (request_core_t *core, environment_t *environment);

guint request_core_busy (const request_core_t *core);
const request_counters_t *request_core_counters (const request_core_t *core);
guint request_core_queued (const request_core_t *core, guint class_index);
guint request_core_running (const request_core_t *core, guint class_index);
