/* Carries requests from callers to executors, and the answers back.
 *
 * Feeds events to the state machine of each environment (decide/request.h) and executes
 * its actions through the idempotency records and the executor client.
 */
#pragma once

#include "backend/executor_client.h"
#include "base/json.h"
#include "base/metrics.h"
#include "decide/members.h"
#include "records/idem.h"

typedef struct requests requests_t;

/* A request from a caller; borrowed for the call. */
typedef struct
{
  const char *environment;
  const char *class;
  const char *customer;
  const char *key;       /* idempotency key, or NULL */
  bool is_first_attempt; /* the caller asserts that it has never sent the key before */
  gint64 deadline_ms;    /* from now, capped at the class's deadline; 0: the class's deadline */
  const char *content_type;
  GBytes *body;
} request_submission_t;

/* The reply to the caller; borrowed for the call. */
typedef struct
{
  error_info_t error; /* ERROR_NONE for a result */
  outcome_t outcome;
  guint http_status;
  const char *content_type;
  GBytes *body;     /* of a result */
  bool is_replayed; /* the stored answer of an earlier attempt with this key */
  gint64 waited_us;
  gint64 service_us;
  gint64 retry_after_ms; /* 0: no hint */
} request_reply_t;

typedef void (*requests_done_t) (const request_reply_t *reply, void *data);

/* `executor_client`, `idem` and `metrics` are borrowed. */
requests_t *requests_new (const char *zone,
                          executor_client_t *executor_client,
                          idem_t *idem,
                          metrics_t *metrics);
void requests_free (requests_t *requests);

/* Puts the environment in force, unless this version or a newer one is in force already.  Takes a
 * reference. */
void requests_set_environment (requests_t *requests, environment_t *environment);

/* Returns the environment in force, or NULL.  Borrowed. */
environment_t *requests_environment (const requests_t *requests, const char *name);

/* Updates the executors from a newer VM list; borrowed for the call. */
void requests_set_member_list (requests_t *requests, const member_list_t *list);

/* Sets the number of seats in the cluster and of those in use; `seats` is 0 when this VM holds no
 * seat. */
void requests_set_seats (requests_t *requests, guint seats, guint seats_used);

/* Starts a request.  `done` is called exactly once, possibly before this function returns, unless
 * the caller disconnects.  Returns the request's id, 0 when it was refused at once. */
guint64 requests_submit (requests_t *requests,
                         const request_submission_t *submission,
                         requests_done_t done,
                         void *data);

/* Handles a caller that disconnected: `done` is no longer called. */
void requests_caller_disconnected (requests_t *requests, guint64 id);

/* Returns whether the request has no reply yet. */
bool requests_is_open (const requests_t *requests, guint64 id);

/* Returns the number of requests that have no reply yet. */
guint requests_open_count (const requests_t *requests);

/* Appends an array with the version, executors, counters and classes of each environment. */
void requests_describe (const requests_t *requests, JsonBuilder *builder);
