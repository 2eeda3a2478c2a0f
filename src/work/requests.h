/* Task that carries requests from the caller side to executors and back.
 *
 * Feeds the pure core of each environment (decide/request.h) and carries out its
 * actions through the key-value and executor clients.
 */
#pragma once

#include "backend/executor_client.h"
#include "base/json.h"
#include "base/metrics.h"
#include "decide/members.h"
#include "records/idem.h"

typedef struct requests requests_t;

/* A request as the caller side hands it over; borrowed for the call. */
typedef struct
{
  const char *environment;
  const char *class;
  const char *customer;
  const char *key;    /* idempotency key, or NULL */
  bool first_try;     /* the caller states that the key was never sent before */
  gint64 deadline_ms; /* 0: the class's own */
  const char *content_type;
  GBytes *body;
} request_message_t;

/* The answer; borrowed for the call. */
typedef struct
{
  error_info_t error; /* ERROR_NONE for a result */
  outcome_t outcome;
  guint http_status;
  const char *content_type;
  GBytes *body; /* of a result */
  bool replayed;
  gint64 waited_us;
  gint64 service_us;
  gint64 retry_after_ms; /* 0: no hint */
} reply_message_t;

typedef void (*requests_done_t) (const reply_message_t *reply, void *data);

/* The executors' client, idempotency records and metrics are borrowed. */
requests_t *
requests_new (const char *zone, executors_t *executors, idem_t *idem, metrics_t *metrics);
void requests_free (requests_t *requests);

/* Puts a document in force; referenced. */
void requests_set_environment (requests_t *requests, environment_t *environment);

/* Returns the environment in force, or NULL. */
environment_t *requests_environment (const requests_t *requests, const char *name);

/* Takes the executors out of a newer list. */
void requests_set_list (requests_t *requests, const member_list_t *list);

/* Seats in the cell and those in use; 0 seats: this VM holds none. */
void requests_set_seats (requests_t *requests, guint seats, guint seats_used);

/* Starts a request; `done` is called exactly once.  Returns its id. */
guint64 requests_submit (requests_t *requests,
                         const request_message_t *message,
                         requests_done_t done,
                         void *data);

/* The caller went away: `done` is not called any more. */
void requests_abandon (requests_t *requests, guint64 id);

/* True while the request is not answered. */
bool requests_is_open (const requests_t *requests, guint64 id);

/* Requests in progress. */
guint requests_busy (const requests_t *requests);

/* Describes each environment's classes, queues and executors. */
void requests_describe (const requests_t *requests, JsonBuilder *builder);
