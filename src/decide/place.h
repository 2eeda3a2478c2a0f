/* Placement of tasks on the workers of the racks that this VM owns.
 *
 * Every worker's free resources are what it has less what was given out; a task is
 * placed only where all three fit, and its resources stay given out until its end
 * or its surely lapsed lease.  Declared sizes may be wrong; what is given out never
 * exceeds what the worker has.
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
  bool usable; /* listed, not leaving, and its rack is owned */
  resources_t total;
  resources_t used;
  guint failures;        /* starts refused or failed in a row */
  gint64 aside_until_us; /* 0: in use */
} worker_t;

typedef struct
{
  GArray *workers; /* worker_t; indices are stable */
} placer_t;

placer_t *placer_new (void);
void placer_free (placer_t *placer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (placer_t, placer_free)

/* Adds the worker or updates what it has; returns its index. */
int placer_update (placer_t *placer, const char *id, const char *rack, const resources_t *total);
int placer_find (const placer_t *placer, const char *id);
worker_t *placer_worker (const placer_t *placer, int index);

/* True when some known worker, used or not, is large enough for the task. */
bool placer_could_ever_fit (const placer_t *placer, const resources_t *need);

/* Picks the worker that the task fills best, counts the resources as given out,
 * and returns its index, or PLACE_NONE. */
int placer_place (placer_t *placer, const resources_t *need, gint64 now_us);

/* Counts resources of a task found on a worker as given out. */
void placer_take (placer_t *placer, int index, const resources_t *need);

/* Returns resources given out, after the task's end. */
void placer_release (placer_t *placer, int index, const resources_t *need);

/* Records whether a start worked; a worker that fails several in a row is set
 * aside for a while. */
void placer_note_start (placer_t *placer, int index, bool started, gint64 now_us);
