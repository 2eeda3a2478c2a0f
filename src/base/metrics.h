/* Counters and latency histograms of the daemon's own.
 *
 * Names are those of the text form that metrics_print() writes, one sample a line:
 * `name{label="value",…} number`.  A registry belongs to one thread.
 */
#pragma once

#include "base/histogram.h"

#include <glib.h>

typedef struct metrics metrics_t;

/* Histograms of one customer and class of an environment. */
typedef struct
{
  histogram_t waiting; /* arrival to first send, or to the refusal */
  histogram_t service; /* last send to answer */
  histogram_t total;   /* arrival to answer */
} latency_set_t;

metrics_t *metrics_new (void);
void metrics_free (metrics_t *metrics);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (metrics_t, metrics_free)

/* Returns the counter of that full name, made at its first use; valid until
 * metrics_free(). */
guint64 *metrics_counter (metrics_t *metrics, const char *name);

/* Returns the set of these labels, made at its first use. */
latency_set_t *metrics_latency (metrics_t *metrics,
                                const char *environment,
                                const char *customer,
                                const char *class);

/* Calls `visit` for each set, ordered by environment, class, customer. */
typedef void (*metrics_visit_t) (const char *environment,
                                 const char *customer,
                                 const char *class,
                                 const latency_set_t *set,
                                 void *data);
void metrics_foreach_latency (const metrics_t *metrics, metrics_visit_t visit, void *data);

/* Appends every sample to `out`. */
void metrics_print (const metrics_t *metrics, GString *out);
