/* Asks executors for their state, so that one that leaves is known within seconds
 * although the platform's list is late.  Probes go out in a few bunches a round, since
 * calls that run together wake the process less often. */
#pragma once

#include "backend/executor_client.h"

typedef struct probes probes_t;

/* Asks the owner for the targets of the next round, through probes_add(). */
typedef void (*probes_targets_t) (probes_t *probes, void *data);

probes_t *
probes_new (executors_t *executors, probes_targets_t targets, executor_health_t done, void *data);
void probes_free (probes_t *probes);

void probes_add (probes_t *probes, const char *id, const char *address);
