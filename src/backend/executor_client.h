/* HTTP client for the executors.
 *
 * POST /v1/run carries a request; its answer must be complete and echo its Request-Id.
 * Requests are sent as POST because the HTTP library does not resend POST requests.  An
 * aborted attempt closes its connection, so that a late answer cannot be delivered.
 * Each executor has its own connection pool, in which the library never opens more
 * connections than the limit.
 */
#pragma once

#include "decide/request.h"

#include <glib.h>

typedef struct executor_client executor_client_t;
typedef struct executor_call executor_call_t;

typedef struct
{
  const char *address; /* "IP:PORT" */
  const char *request_id;
  const char *environment;
  const char *class;
  const char *customer;
  const char *content_type;
  gint64 deadline_ms; /* time left */
  GBytes *body;
} executor_request_t;

/* Borrowed for the call. */
typedef struct
{
  answer_kind_t kind;
  guint http_status;
  const char *content_type;
  GBytes *body;    /* NULL when no complete HTTP response arrived */
  bool is_leaving; /* the executor announces that it is leaving */
} executor_answer_t;

typedef void (*executor_done_t) (const executor_answer_t *answer, void *data);

executor_client_t *executor_client_new (void);

/* Runs the default main context until every request and probe has ended and `done` has been called.
 * They are aborted, except those on a pool that was removed or replaced. */
void executor_client_free (executor_client_t *client);

/* Limits the connections to the executor at `address`; 1 to 4,096.  Must be called
 * before the first request to it.  Another limit replaces the pool, whose idle
 * connections are then closed. */
void executor_client_set_connection_limit (executor_client_t *client,
                                           const char *address,
                                           guint connections);

/* Removes an executor; its connections are closed once they are idle. */
void executor_client_remove (executor_client_t *client, const char *address);

/* Sends the request.  `done` is called once, after this function has returned, unless the call is
 * aborted.  The returned call must not be used after either. */
executor_call_t *executor_client_send (executor_client_t *client,
                                       const executor_request_t *request,
                                       executor_done_t done,
                                       void *data);

/* Aborts the call: its connection is closed and `done` is not called. */
void executor_call_abort (executor_call_t *call);

/* `state` is "live" or "leaving"; NULL when no valid answer came. */
typedef void (*executor_probe_done_t) (const char *id, const char *state, void *data);

/* Requests GET /v1/health on a separate connection.  Does nothing, and never calls `done`, for an
 * executor without a connection limit. */
void executor_client_probe (executor_client_t *client,
                            const char *id,
                            const char *address,
                            executor_probe_done_t done,
                            void *data);
