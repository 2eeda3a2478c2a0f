/* Counts customers' requests by workspace and result, as the metric
 * mimosastair_workspace_requests_total.  The first 64 workspaces have a label of their own, the
 * others share the label "other". */
#pragma once

#include "base/error.h"
#include "base/metrics.h"

typedef struct workspace_counts workspace_counts_t;

/* `metrics` is borrowed. */
workspace_counts_t *workspace_counts_new (metrics_t *metrics);

/* NULL is allowed. */
void workspace_counts_free (workspace_counts_t *counts);

/* Returns the label of a workspace (NULL or "": none, which has the label ""); borrowed, valid
 * until workspace_counts_free(). */
const char *workspace_counts_label (workspace_counts_t *counts, const char *workspace);

/* Counts a request.  `label` must come from workspace_counts_label(). */
void workspace_counts_add (workspace_counts_t *counts, const char *label, error_kind_t result);
