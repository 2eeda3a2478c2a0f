/* This VM's connection to the leader.
 *
 * Announces stored jobs and cancels, queries job states, and carries the agent's reports.
 * Jobs and cancels that the leader has not confirmed are kept and sent again on the next
 * connection.
 */
#pragma once

#include "decide/spec.h"
#include "peer/peer.pb-c.h"
#include "store/store.h"

typedef struct uplink uplink_t;

/* Sends a frame to the leader; returns false when it is not connected. */
typedef bool (*uplink_send_t) (const Mimosastair__Frame *frame, void *data);

typedef struct
{
  const char *vm;
  const char *zone;
  gint64 life; /* start of this process, Unix time in microseconds */
  guint cpu_milli;
  gint64 job_bytes_max; /* what accepted jobs may take on this VM if it leads */
  guint executor_lease_ms;
  const char *advice_address;
  const store_t *store; /* its health is reported to the leader */
  /* The leader resigned: its leader record, written at `revision`, may still exist. */
  void (*leader_resigned) (gint64 revision, void *data);
  /* CPU of the largest VM that the leader knows, in thousandths of a core; called after
   * every pong. */
  void (*largest_cpu_reported) (guint cpu_milli, void *data);
  /* Returns the version of the desired state in force on this VM; 0: none. */
  gint64 (*desired_version) (void *data);
  /* The leader has this version of the desired state, which was the newest one at `confirmed_us`
   * (0: not known); called after every pong. */
  void (*desired_reported) (gint64 version, gint64 confirmed_us, void *data);
  void *data;
} uplink_config_t;

/* Copies `config`; what its pointers refer to is borrowed. */
uplink_t *uplink_new (const uplink_config_t *config);

/* No query, relayed call or call of the agent may be in progress. */
void uplink_free (uplink_t *uplink);

/* Sets the leader's peer address "IP:PORT"; NULL when there is no leader.  An open connection to
 * another address is closed. */
void uplink_set_leader (uplink_t *uplink, const char *address);

/* Tells the leader, on this and later connections, to assign no more executors to this VM. */
void uplink_set_leaving (uplink_t *uplink);

/* Takes room for a job that is to be stored, from this VM's share.  Returns false if the share does
 * not have it: the leader has to be asked.  The room is given back when the leader confirms the
 * job, or by uplink_release_room(). */
bool uplink_take_room (uplink_t *uplink, const char *id, gint64 bytes);

/* The job was not stored, or the leader has reserved its room. */
void uplink_release_room (uplink_t *uplink, const char *id);

/* Counts a job of a workspace (NULL: none) that is to be stored.  Returns 0, or the time in
 * milliseconds after which its caller should retry: the job is beyond the share of its workspace,
 * and the leader has no capacity for such work. */
gint64 uplink_refuse_ms (uplink_t *uplink, const char *workspace, const char *queue);

/* Announces a stored job to the leader.  Copies `spec`. */
void uplink_announce_job (uplink_t *uplink, const job_spec_t *spec);

/* Announces a stored cancel to the leader. */
void uplink_announce_cancel (uplink_t *uplink, const char *id);

typedef struct
{
  bool is_answered; /* by a leader that has loaded its state and whose lease is valid */
  bool is_known;
  job_state_t state;
  const char *workspace; /* of the job; NULL or "": none */
  guint pending;
} uplink_query_result_t;

typedef void (*uplink_query_done_t) (const uplink_query_result_t *answer, void *data);

/* Queries the state of job `id` or, when `id` is NULL, the number of pending jobs of `queue`.
 * `done` is called once, within `timeout_ms`, and never before this function returns. */
void uplink_query (uplink_t *uplink,
                   const char *id,
                   const char *queue,
                   guint timeout_ms,
                   uplink_query_done_t done,
                   void *data);

/* Asks the leader to reserve room for a job that is to be stored: `is_known` tells whether it did,
 * or knows the job already. */
void uplink_reserve_room (uplink_t *uplink,
                          const char *id,
                          gint64 bytes,
                          guint timeout_ms,
                          uplink_query_done_t done,
                          void *data);

/* Makes a call to the key-value service through the leader: reads the key `get` or, when it is
 * NULL, runs a transaction.  `done` is called once, within `timeout_ms`, and never before this
 * function returns; with STORE_LOST when no answer came, and with STORE_UNAVAILABLE when the call
 * was not sent. */
void uplink_relay (uplink_t *uplink,
                   const char *get,
                   const store_condition_t *expect,
                   gsize expect_count,
                   const store_write_t *writes,
                   gsize write_count,
                   guint timeout_ms,
                   store_done_t done,
                   void *data);

/* Returns whether a leader is connected, has loaded its state and has not announced that it
 * resigns. */
bool uplink_is_ready (const uplink_t *uplink);

/* Returns whether the leader can make calls to the key-value service for this VM. */
bool uplink_can_relay (const uplink_t *uplink);

guint uplink_executor_count (const uplink_t *uplink);
