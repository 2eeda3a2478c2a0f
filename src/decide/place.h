/* Placement of tasks on the workers of the racks that this VM owns.
 *
 * A worker's free resources are its total less what is allocated.  A task is placed only
 * where CPU, memory and accelerators all fit, and its resources stay allocated until it
 * ends or its lease has certainly expired.  Declared sizes may be wrong, but placements never
 * allocate more than the worker's total.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  PLACE_ID_MAX = 63,
  PLACE_NONE = -1
};

typedef struct
{
  gint64 cpu_milli;
  gint64 memory_mb;
  gint64 accelerators;
} resources_t;

typedef struct
{
  char id[PLACE_ID_MAX + 1];
  char rack[PLACE_ID_MAX + 1];
  bool usable; /* listed, not leaving, and in a rack that this VM owns */
  resources_t total;
  resources_t used;        /* allocated */
  guint failures;          /* consecutive starts that were refused or failed */
  gint64 ejected_until_us; /* gets no new task until then; 0: never ejected */
} worker_t;

typedef struct
{
  GArray *workers; /* worker_t; indices are stable */
} placer_t;

placer_t *placer_new (void);
void placer_free (placer_t *placer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (placer_t, placer_free)

/* Adds the worker or updates its rack and total resources.  Returns its index. */
int placer_update (placer_t *placer, const char *id, const char *rack, const resources_t *total);

/* Returns the index of the worker, or PLACE_NONE. */
int placer_find (const placer_t *placer, const char *id);

/* Returns the worker at a valid index.  The pointer is invalid once a worker is added. */
worker_t *placer_worker (const placer_t *placer, int index);

/* True when the total resources of some known worker, usable or not, suffice for the task. */
bool placer_could_ever_fit (const placer_t *placer, const resources_t *need);

/* Allocates the resources on the best-fitting usable worker.  Returns its index, or
 * PLACE_NONE when none fits. */
int placer_place (placer_t *placer, const resources_t *need, gint64 now_us);

/* Allocates the resources of a task that already runs on the worker, without a check. */
void placer_allocate (placer_t *placer, int index, const resources_t *need);

/* Releases the resources that were allocated for the task. */
void placer_release (placer_t *placer, int index, const resources_t *need);

/* Records whether a start succeeded.  A worker with several consecutive failures is ejected
 * for a while. */
void placer_record_start (placer_t *placer, int index, bool started, gint64 now_us);
