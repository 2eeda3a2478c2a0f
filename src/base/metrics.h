/* Registry of the daemon's counters and latency histograms.
 *
 * metrics_append_samples() writes all of them as text, one sample per line:
 * `name{label="value",…} number`.  A registry may be used by one thread only.
 */
#pragma once

#include "base/histogram.h"

#include <glib.h>

typedef struct metrics metrics_t;

/* Latencies of one customer and class of an environment. */
typedef struct
{
  histogram_t waiting; /* from arrival until the first send, or the response if it is never sent */
  histogram_t service; /* from the last send until the response */
  histogram_t total;   /* from arrival until the response */
} latency_set_t;

metrics_t *metrics_new (void);
void metrics_free (metrics_t *metrics);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (metrics_t, metrics_free)

/* Returns the counter with this full name, labels included, and creates it if necessary.  The
 * pointer is valid until metrics_free(). */
guint64 *metrics_counter (metrics_t *metrics, const char *name);

/* Returns the histograms with these labels and creates them if necessary.  The pointer is
 * valid until metrics_free(). */
latency_set_t *metrics_latency (metrics_t *metrics,
                                const char *environment,
                                const char *customer,
                                const char *class);

/* Calls `visit` for each set of histograms, ordered by environment, class and customer. */
typedef void (*metrics_visit_t) (const char *environment,
                                 const char *customer,
                                 const char *class,
                                 const latency_set_t *set,
                                 void *data);
void metrics_foreach_latency (const metrics_t *metrics, metrics_visit_t visit, void *data);

/* Appends all samples to `out`. */
void metrics_append_samples (const metrics_t *metrics, GString *out);
