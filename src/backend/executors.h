/* HTTP client of the executors.
 *
 * POST /v1/run carries a request; the answer must echo its Request-Id and be whole.
 * Requests are sent as POST, which the HTTP library does not resend.  An attempt
 * that is given up closes its connection, so that its late answer can reach nobody.
 * The library never opens more connections to one executor than `connections`.
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
  GBytes *body; /* NULL unless ANSWER_WHOLE */
  bool leaving; /* the executor says that it leaves */
} executor_answer_t;

typedef void (*executor_done_t) (const executor_answer_t *answer, void *data);

/* `connections` bounds those to one executor; 1 to 4,096. */
executors_t *executors_new (guint connections);
void executors_free (executors_t *executors);

/* Changes the bound.  Fewer: idle connections above it are closed. */
void executors_set_connections (executors_t *executors, guint connections);

/* Starts the request.  `done` is called once, unless the call is aborted. */
executor_call_t *executors_send (executors_t *executors,
                                 const executor_request_t *request,
                                 executor_done_t done,
                                 void *data);

/* Gives the call up: its connection is closed and `done` is not called. */
void executor_call_abort (executor_call_t *call);

/* GET /v1/health: `state` is "live", "leaving", or NULL without an answer. */
typedef void (*executor_health_t) (const char *id, const char *state, void *data);
void executors_probe (executors_t *executors,
                      const char *id,
                      const char *address,
                      executor_health_t done,
                      void *data);
