/* The leader of a scheduling domain, while this VM holds that role.
 *
 * Loads jobs from the key-value store, watches the executor registry, serves the
 * connections of all entry VMs, and passes events and orders between them and the
 * scheduler.  Log lines and metrics call the leader the decider.
 */
#pragma once

#include "base/metrics.h"
#include "decide/scheduler.h"
#include "entry/desired_follower.h"
#include "entry/election.h"

#include <gio/gio.h>

typedef struct leader leader_t;

typedef struct
{
  const char *vm;       /* this VM */
  guint cpu_milli;      /* of this VM */
  gint64 job_bytes_max; /* what accepted jobs may take on this VM */
  gint64 fence;         /* fencing token */
  guint epoch;          /* number of elections before the one that this VM won */
  scheduler_limits_t limits;
} leader_config_t;

/* `on_deposed` is called at most once, when a refused write or an executor's answer shows that
 * another VM may be the leader.  `on_step_down` is called when the store answers other VMs but not
 * this one, or when another VM is clearly larger; the VMs have then been told that this VM has
 * resigned.  All pointers, also the one in `config`, are borrowed.  `desired` is told the versions
 * of the other VMs. */
leader_t *leader_new (store_t *store,
                      election_t *election,
                      const leader_config_t *config,
                      desired_follower_t *desired,
                      metrics_t *metrics,
                      void (*on_deposed) (void *data),
                      void (*on_step_down) (void *data),
                      void *data);

/* Stops at once; no order is sent after this.  Must not be called from one of
 * the leader's callbacks. */
void leader_free (leader_t *leader);

/* The desired state has changed. */
void leader_apply_desired (leader_t *leader);

/* Serves an entry VM's connection. */
void leader_accept (leader_t *leader, GSocketConnection *connection);

/* Sends no more start orders and stores pending changes; `done` is called when they are
 * stored, or after `timeout_ms`. */
void leader_close (leader_t *leader, guint timeout_ms, void (*done) (void *data), void *data);

/* Tells every VM that this VM has resigned. */
void leader_announce_resignation (leader_t *leader);

/* Appends the leader's and the scheduler's gauges in the metrics text format. */
void leader_append_metrics (const leader_t *leader, GString *out);
