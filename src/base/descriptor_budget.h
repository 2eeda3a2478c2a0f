/* Division of a process's descriptors among what needs them.
 *
 * The shares of the listeners and of the executors are their bounds; those of other outgoing
 * connections and files are kept free for them.
 */
#pragma once

#include <glib.h>

typedef struct
{
  guint customers;
  guint readiness; /* a listener that replaces idle connections may have twice its bound */
  guint metrics;   /* the same */
  guint vms;       /* connections from other VMs */
  guint executors;
  guint store;
  guint advice;
  guint files; /* and listening sockets */
} descriptor_budget_t;

/* Divides `limit` descriptors; 0: as many as it may divide. */
descriptor_budget_t descriptor_budget (guint limit);

/* Returns the smaller limit; 0 is none. */
guint descriptor_limit (guint first, guint second);
