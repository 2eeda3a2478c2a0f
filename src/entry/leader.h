/* The decider of a domain while this VM holds its claim.
 *
 * Loads jobs from the key-value service, follows the registry, serves the connections of
 * all entry VMs, and moves events and orders between them and the cell.
 */
#pragma once

#include "base/metrics.h"
#include "decide/scheduler.h"
#include "entry/election.h"

#include <gio/gio.h>

typedef struct leader decider_t;

typedef struct
{
  const char *vm;  /* this VM */
  guint cpu_milli; /* of this VM */
  gint64 fence;
  guint epoch;
  cell_limits_t limits;
} decider_config_t;

/* `deposed` is called once when the claim turns out to be another's; `abdicate` when the
 * store answers other VMs but not this one, or a VM is clearly larger: the VMs have been
 * told that the claim is free. */
decider_t *decider_new (store_t *store,
                        claim_t *election,
                        const decider_config_t *config,
                        const desired_t *desired,
                        metrics_t *metrics,
                        void (*on_deposed) (void *data),
                        void (*on_step_down) (void *data),
                        void *data);

/* Stops at once; nothing is issued after. */
void decider_free (decider_t *leader);

void decider_set_desired (decider_t *leader, const desired_t *desired);

/* Serves an entry VM's connection. */
void decider_accept (decider_t *leader, GSocketConnection *connection);

/* Issues no more starts and stores what waits; `done` is called when that is stored, or
 * after `timeout_ms`. */
void decider_close (decider_t *leader, guint timeout_ms, void (*done) (void *data), void *data);

/* Tells every VM that the claim is free. */
void decider_tell_released (decider_t *leader);

/* Appends gauges of the cell. */
void decider_print (const decider_t *leader, GString *out);
