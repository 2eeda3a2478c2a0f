#include "base/metrics.h"

#include <string.h>

typedef struct
{
  char *environment;
  char *customer;
  char *class;
  latency_set_t set;
} labeled_latency_t;

struct metrics
{
  GTree *counters;  /* name -> guint64 */
  GTree *latencies; /* "environment/class/customer" -> labeled_latency_t */
};

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  return strcmp (a, b);
}

static void
labeled_latency_free (gpointer data)
{
  labeled_latency_t *labeled = data;

  g_free (labeled->environment);
  g_free (labeled->customer);
  g_free (labeled->class);
  g_free (labeled);
}

metrics_t *
metrics_new (void)
{
  metrics_t *metrics = g_new0 (metrics_t, 1);

  metrics->counters = g_tree_new_full (compare_names, NULL, g_free, g_free);
  metrics->latencies = g_tree_new_full (compare_names, NULL, g_free, labeled_latency_free);
  return metrics;
}

void
metrics_free (metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  g_tree_unref (metrics->counters);
  g_tree_unref (metrics->latencies);
  g_free (metrics);
}

guint64 *
metrics_counter (metrics_t *metrics, const char *name)
{
  guint64 *counter = g_tree_lookup (metrics->counters, name);

  if (counter != NULL)
    return counter;
  counter = g_new0 (guint64, 1);
  g_tree_insert (metrics->counters, g_strdup (name), counter);
  return counter;
}

latency_set_t *
metrics_latency (metrics_t *metrics,
                 const char *environment,
                 const char *customer,
                 const char *class)
{
  g_autofree char *key = g_strjoin ("/", environment, class, customer, NULL);
  labeled_latency_t *labeled = g_tree_lookup (metrics->latencies, key);

  if (labeled != NULL)
    return &labeled->set;
  labeled = g_new0 (labeled_latency_t, 1);
  labeled->environment = g_strdup (environment);
  labeled->customer = g_strdup (customer);
  labeled->class = g_strdup (class);
  g_tree_insert (metrics->latencies, g_steal_pointer (&key), labeled);
  return &labeled->set;
}

typedef struct
{
  metrics_visit_t visit;
  void *data;
} visit_context_t;

static gboolean
visit_latency (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  const labeled_latency_t *labeled = value;
  const visit_context_t *context = data;

  context->visit (labeled->environment, labeled->customer, labeled->class, &labeled->set,
                  context->data);
  return FALSE;
}

void
metrics_foreach_latency (const metrics_t *metrics, metrics_visit_t visit, void *data)
{
  visit_context_t context = { .visit = visit, .data = data };

  g_tree_foreach (metrics->latencies, visit_latency, &context);
}

static gboolean
append_counter (gpointer key, gpointer value, gpointer data)
{
  g_string_append_printf (data, "%s %" G_GUINT64_FORMAT "\n", (const char *) key,
                          *(const guint64 *) value);
  return FALSE;
}

static void
append_histogram (GString *out,
                  const char *metric,
                  const char *labels,
                  const histogram_t *histogram)
{
  guint64 cumulative_count = 0;

  for (guint i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      if (histogram->buckets[i] == 0)
        continue;
      cumulative_count += histogram->buckets[i];
      g_string_append_printf (
          out, "mimosastair_%s_us_bucket{%s,le=\"%" G_GUINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
          metric, labels, (guint64) histogram_bucket_upper_us (i), cumulative_count);
    }
  g_string_append_printf (out, "mimosastair_%s_us_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          metric, labels, (guint64) histogram->count);
  g_string_append_printf (out, "mimosastair_%s_us_sum{%s} %" G_GUINT64_FORMAT "\n", metric, labels,
                          (guint64) histogram->sum_us);
  g_string_append_printf (out, "mimosastair_%s_us_count{%s} %" G_GUINT64_FORMAT "\n", metric,
                          labels, (guint64) histogram->count);
}

static void
append_latency (const char *environment,
                const char *customer,
                const char *class,
                const latency_set_t *set,
                void *data)
{
  g_autofree char *labels = g_strdup_printf ("environment=\"%s\",class=\"%s\",customer=\"%s\"",
                                             environment, class, customer);

  append_histogram (data, "waiting", labels, &set->waiting);
  append_histogram (data, "service", labels, &set->service);
  append_histogram (data, "total", labels, &set->total);
}

void
metrics_append_samples (const metrics_t *metrics, GString *out)
{
  g_tree_foreach (metrics->counters, append_counter, out);
  metrics_foreach_latency (metrics, append_latency, out);
}
