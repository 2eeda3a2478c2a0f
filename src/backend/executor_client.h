/* HTTP client of the executors.
 *
 * POST /v1/run carries a request; the answer must echo its Request-Id and be whole.
 * Requests are sent as POST, which the HTTP library does not resend.  An attempt
 * that is given up closes its connection, so that its late answer can reach nobody.
 * Each executor has a pool of its own, in which the library never opens more
 * connections than its bound.
 */
#pragma once

#include "decide/request.h"

#include <glib.h>

typedef struct executors executors_t;
typedef struct executor_call executor_call_t;

typedef struct
{
  const char *address; /* "IP:PORT" */
  const char *request_id;
  const char *environment;
  const char *class;
  const char *customer;
  const char *content_type;
  gint64 deadline_ms; /* left */
  GBytes *body;
} executor_request_t;

typedef struct
{
  answer_kind_t kind;
  guint http_status;
  const char *content_type;
  GBytes *body; /* NULL unless ANSWER_COMPLETE */
  bool leaving; /* the executor says that it leaves */
} executor_answer_t;

typedef void (*executor_done_t) (const executor_answer_t *answer, void *data);

executors_t *executors_new (void);
void executors_free (executors_t *executors);

/* Bounds the connections to the executor at `address`; 1 to 4,096.  Must be called
 * before the first request to it; a later change closes its idle connections. */
void executors_bound (executors_t *executors, const char *address, guint connections);

/* Forgets an executor: its connections close once they are idle. */
void executors_forget (executors_t *executors, const char *address);

/* Starts the request.  `done` is called once, unless the call is aborted. */
executor_call_t *executors_send (executors_t *executors,
                                 const executor_request_t *request,
                                 executor_done_t done,
                                 void *data);

/* Gives the call up: its connection is closed and `done` is not called. */
void executor_call_abort (executor_call_t *call);

/* GET /v1/health on a connection of its own: `state` is "live", "leaving", or NULL
 * without an answer.  An executor without a bound is not asked. */
typedef void (*executor_health_t) (const char *id, const char *state, void *data);
void executors_probe (executors_t *executors,
                      const char *id,
                      const char *address,
                      executor_health_t done,
                      void *data);
