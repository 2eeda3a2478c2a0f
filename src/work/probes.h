/* Probes the health of the executors, so that one that is leaving is known within
 * seconds although the platform's list is delayed.  The probes of a round are sent in a
 * few groups, because calls that run together wake the process less often. */
#pragma once

#include "backend/executor_client.h"

typedef struct probes probes_t;

/* Called at the start of each round; adds the targets through probes_add_target(). */
typedef void (*probes_list_targets_t) (probes_t *probes, void *data);

/* `executor_client` is borrowed; `list_targets` and `done` are called with `data`. */
probes_t *probes_new (executor_client_t *executor_client,
                      probes_list_targets_t list_targets,
                      executor_probe_done_t done,
                      void *data);
void probes_free (probes_t *probes);

/* Queues a probe of the executor `id` at `address` "IP:PORT".  Copies both. */
void probes_add_target (probes_t *probes, const char *id, const char *address);
