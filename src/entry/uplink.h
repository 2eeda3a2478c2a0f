/* This VM's connection to the decider.
 *
 * Tells it of stored jobs and cancels, asks it for states, and carries the agent's
 * reports; keeps what the decider has not confirmed and sends it again on the next
 * connection.
 */
#pragma once

#include "decide/spec.h"
#include "peer/peer.pb-c.h"
#include "store/store.h"

typedef struct uplink uplink_t;

typedef struct
{
  const char *vm;
  const char *zone;
  guint cpu_milli;
  guint hold_ms;
  const char *advice_address;
  const store_t *store; /* its health is told to the decider */
  /* The holder gave up the claim written at `revision`, though its key may be there. */
  void (*abandoned) (gint64 revision, void *data);
  /* Processor of the largest VM that the decider knows. */
  void (*cpu_most) (guint cpu_milli, void *data);
  void *data;
} uplink_config_t;

uplink_t *uplink_new (const uplink_config_t *config);
void uplink_free (uplink_t *uplink);

/* The decider's peer address; NULL: there is none. */
void uplink_set_leader (uplink_t *uplink, const char *address);

/* Tells the decider that this VM takes no more executors. */
void uplink_set_draining (uplink_t *uplink);

/* The decider is to know this job, which is stored.  Copies `spec`. */
void uplink_job_stored (uplink_t *uplink, const job_spec_t *spec);

/* The decider is to know that the job's cancel is stored. */
void uplink_job_cancelled (uplink_t *uplink, const char *id);

typedef struct
{
  bool is_answered; /* by a decider that has rebuilt its state */
  bool is_known;
  job_state_t state;
  guint pending;
} uplink_query_result_t;

typedef void (*uplink_query_done_t) (const uplink_query_result_t *answer, void *data);

/* Asks for a job's state, or (id NULL) a queue's backlog.  `done` is called once, within
 * `timeout_ms`, and not before this returns. */
void uplink_query (uplink_t *uplink,
                 const char *id,
                 const char *queue,
                 guint timeout_ms,
                 uplink_query_done_t done,
                 void *data);

/* Has the decider make a call to the key-value service: the value of `get`, or (NULL) a
 * transaction.  `done` is called once, within `timeout_ms`, and not before this returns;
 * STORE_LOST when no answer came, STORE_UNAVAILABLE when it was not sent. */
void uplink_relay (uplink_t *uplink,
                   const char *get,
                   const store_expect_t *expect,
                   gsize expect_count,
                   const store_write_t *writes,
                   gsize write_count,
                   guint timeout_ms,
                   store_done_t done,
                   void *data);

/* A decider answers and its claim is valid. */
bool uplink_is_ready (const uplink_t *uplink);

/* The decider can make calls to the key-value service for this VM. */
bool uplink_can_relay (const uplink_t *uplink);

guint uplink_executor_count (const uplink_t *uplink);
