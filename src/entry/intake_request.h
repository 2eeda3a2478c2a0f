/* What the actions of intake.h share: their requests, who has access to a job, and how long a
 * request may take.
 */
#pragma once

#include "decide/job_writes.h"
#include "entry/intake.h"

enum
{
  INTAKE_RETRY_DELAY_MS = 60 /* between attempts at the store */
};

struct intake
{
  store_t *store;
  uplink_t *uplink;
  metrics_t *metrics;
  job_writes_t *writes;
  guint64 *dropped_count; /* metric */
  guint open_count;
};

typedef enum
{
  ACTION_SUBMIT,
  ACTION_STATE,
  ACTION_CANCEL,
  ACTION_PENDING
} action_t;

/* One request of a customer. */
typedef struct
{
  intake_t *intake;
  action_t action;
  char id[JOB_ID_BYTES];
  char *caller; /* see intake.h */
  job_spec_t *spec;
  char *key;     /* of the job record */
  char *end_key; /* of the end record */
  guint8 *record;
  gsize record_bytes;
  gint64 started_us;
  gint64 deadline_us;
  bool may_be_stored;    /* a write got no answer */
  gint64 job_revision;   /* of the record to cancel; 0: not read yet */
  gint64 retry_after_ms; /* with ERROR_OVER_SHARE */
  error_kind_t refusal;  /* of a job whose records are read before it is refused */
  intake_done_t done;
  intake_submit_done_t submit_done;
  intake_state_done_t state_done;
  intake_pending_done_t pending_done;
  void *data;
} request_t;

/* Returns a request that counts as open until intake_request_free().  `id`, NULL if it is for no
 * job, and `caller` are copied. */
request_t *intake_request_new (intake_t *intake,
                               action_t action,
                               const char *id,
                               const char *caller,
                               gint64 deadline_us,
                               void *data);

/* Also frees the job specification. */
void intake_request_free (request_t *request);

/* Counts the request in mimosastair_intake_total. */
void intake_request_count (request_t *request, error_kind_t kind);

/* Logs event=job_request. */
void intake_request_log (const request_t *request, error_kind_t kind);

/* Returns whether the caller has access to a job of workspace `owner` (NULL or "": none); logs it
 * if not. */
bool intake_may_access_owner (const request_t *request, const char *owner);

/* Returns whether the caller has access to the jobs of all job and end records of the reply.  A
 * record that cannot be read belongs to nobody. */
bool intake_may_access_records (const request_t *request, const store_reply_t *reply);

/* Returns whether there is time for one more attempt at the store before the deadline. */
bool intake_has_time_for_attempt (const request_t *request);

/* Returns the time in milliseconds that the leader has to answer; what is left is for the store. */
guint intake_query_timeout_ms (const request_t *request);
