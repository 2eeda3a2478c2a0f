#include "entry/workspace_counts.h"

struct workspace_counts
{
  metrics_t *metrics;
  GHashTable *labels; /* workspace -> label */
};

enum
{
  LABELS_MAX = 64 /* bounds the memory and the length of the metrics page */
};

workspace_counts_t *
workspace_counts_new (metrics_t *metrics)
{
  workspace_counts_t *counts = g_new0 (workspace_counts_t, 1);

  counts->metrics = metrics;
  counts->labels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return counts;
}

void
workspace_counts_free (workspace_counts_t *counts)
{
  if (counts == NULL)
    return;
  g_hash_table_unref (counts->labels);
  g_free (counts);
}

/* Replaces what would need escapes in the text format of metrics. */
static char *
make_label (const char *workspace)
{
  char *label = g_strdup (workspace);

  for (char *at = label; *at != '\0'; at++)
    {
      if (!g_ascii_isgraph (*at) || *at == '"' || *at == '\\')
        *at = '_';
    }
  return label;
}

const char *
workspace_counts_label (workspace_counts_t *counts, const char *workspace)
{
  char *label;

  if (workspace == NULL || workspace[0] == '\0')
    return "";
  label = g_hash_table_lookup (counts->labels, workspace);
  if (label != NULL)
    return label;
  if (g_hash_table_size (counts->labels) >= LABELS_MAX)
    return "other";
  label = make_label (workspace);
  g_hash_table_insert (counts->labels, g_strdup (workspace), label);
  return label;
}

void
workspace_counts_add (workspace_counts_t *counts, const char *label, error_kind_t result)
{
  g_autofree char *name
      = g_strdup_printf ("mimosastair_workspace_requests_total{workspace=\"%s\",result=\"%s\"}",
                         label, error_properties (result)->name);

  (*metrics_counter (counts->metrics, name))++;
}
