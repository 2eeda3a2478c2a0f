#include "base/json.h"
#include "cli/log_reader.h"
#include "cli/trace.h"

#include <string.h>

enum
{
  WORST_SECONDS_MAX = 10,
  BAR_MAX_WIDTH = 40
};

typedef struct
{
  guint accepted;
  guint refused;
  guint ended;
  guint lost_runs; /* runs whose logged end is neither "done" nor "failed" */
} second_stats_t;

typedef struct
{
  GHashTable *causes;          /* "event type: value" -> count */
  GHashTable *stats_by_second; /* Unix second -> second_stats_t */
  GHashTable *ended; /* job ids; an end may be logged again after a change of the leader */
} summary_t;

static void
count_cause (summary_t *summary,
             const char *event_type,
             const log_record_t *record,
             const char *key)
{
  g_autofree char *value = log_value (record, key);
  char *cause = g_strdup_printf ("%s: %s", event_type, value != NULL ? value : "unknown");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (summary->causes, cause));

  g_hash_table_replace (summary->causes, cause, GUINT_TO_POINTER (count + 1));
}

static second_stats_t *
ensure_second (summary_t *summary, const log_record_t *record)
{
  gint64 key = record->time_ms / 1000;
  second_stats_t *second = g_hash_table_lookup (summary->stats_by_second, &key);

  if (second == NULL)
    {
      second = g_new0 (second_stats_t, 1);
      g_hash_table_insert (summary->stats_by_second, g_memdup2 (&key, sizeof key), second);
    }
  return second;
}

static void
count_record (summary_t *summary, const log_record_t *record)
{
  if (strcmp (record->event, "job_request") == 0 && log_has_value (record, "action", "submit"))
    {
      bool is_accepted = log_has_value (record, "result", "none");

      ensure_second (summary, record)->accepted += is_accepted;
      ensure_second (summary, record)->refused += !is_accepted;
      count_cause (summary, is_accepted ? "submission taken" : "submission refused", record,
                   "result");
    }
  else if (strcmp (record->event, "job_ended") == 0)
    {
      if (!g_hash_table_add (summary->ended, log_value (record, "job")))
        return;
      ensure_second (summary, record)->ended++;
      count_cause (summary, "job ended", record, "state");
    }
  else if (strcmp (record->event, "task_ended") == 0)
    {
      ensure_second (summary, record)->lost_runs
          += !log_has_value (record, "how", "done") && !log_has_value (record, "how", "failed");
      count_cause (summary, "run ended", record, "how");
    }
  else if (strcmp (record->event, "order_failed") == 0)
    count_cause (summary, "order not carried out", record, "outcome");
}

static bool
is_counted (const log_record_t *record, void *data G_GNUC_UNUSED)
{
  static const char *const counted[] = { "job_request", "job_ended", "task_ended", "order_failed" };

  for (guint i = 0; i < G_N_ELEMENTS (counted); i++)
    {
      if (strcmp (record->event, counted[i]) == 0)
        return true;
    }
  return false;
}

static guint
failure_count (const second_stats_t *second)
{
  return second->refused + second->lost_runs;
}

typedef struct
{
  gint64 unix_s;
  const second_stats_t *second;
} ranked_second_t;

static gint
compare_by_failures (gconstpointer a, gconstpointer b)
{
  const ranked_second_t *left = a;
  const ranked_second_t *right = b;

  if (failure_count (left->second) != failure_count (right->second))
    return failure_count (left->second) > failure_count (right->second) ? -1 : 1;
  return left->unix_s < right->unix_s ? -1 : left->unix_s > right->unix_s;
}

static GArray *
worst_seconds (const summary_t *summary)
{
  GArray *worst = g_array_new (FALSE, FALSE, sizeof (ranked_second_t));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, summary->stats_by_second);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      ranked_second_t row = { *(const gint64 *) key, value };

      if (failure_count (row.second) > 0)
        g_array_append_val (worst, row);
    }
  g_array_sort (worst, compare_by_failures);
  g_array_set_size (worst, MIN (worst->len, WORST_SECONDS_MAX));
  return worst;
}

static GList *
sorted_causes (const summary_t *summary)
{
  return g_list_sort (g_hash_table_get_keys (summary->causes), (GCompareFunc) strcmp);
}

static guint
cause_count (const summary_t *summary, const char *cause)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (summary->causes, cause));
}

static void
print_summary (const summary_t *summary, guint64 skipped, FILE *out)
{
  g_autoptr (GArray) worst = worst_seconds (summary);
  g_autoptr (GList) causes = sorted_causes (summary);
  guint largest_count
      = worst->len > 0 ? failure_count (g_array_index (worst, ranked_second_t, 0).second) : 1;

  for (GList *item = causes; item != NULL; item = item->next)
    (void) fprintf (out, "%8u  %s\n", cause_count (summary, item->data), (char *) item->data);
  (void) fprintf (out, "\nworst seconds: submissions refused and runs lost\n");
  for (guint i = 0; i < worst->len; i++)
    {
      const ranked_second_t *row = &g_array_index (worst, ranked_second_t, i);
      g_autofree char *time = log_format_time (row->unix_s * 1000);
      g_autofree char *bar
          = g_strnfill (MAX (failure_count (row->second) * BAR_MAX_WIDTH / largest_count, 1), '#');

      (void) fprintf (out, "%.8s  taken %4u  refused %4u  ended %4u  lost %4u  %s\n", time,
                      row->second->accepted, row->second->refused, row->second->ended,
                      row->second->lost_runs, bar);
    }
  if (skipped > 0)
    (void) fprintf (out, "\n%" G_GUINT64_FORMAT " lines were no log lines\n", skipped);
}

static void
print_summary_json (const summary_t *summary, guint64 skipped, FILE *out)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (GArray) worst = worst_seconds (summary);
  g_autoptr (GList) causes = sorted_causes (summary);
  g_autofree char *text = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "causes");
  json_builder_begin_object (builder);
  for (GList *item = causes; item != NULL; item = item->next)
    json_put_int (builder, item->data, cause_count (summary, item->data));
  json_builder_end_object (builder);
  json_builder_set_member_name (builder, "worst_seconds");
  json_builder_begin_array (builder);
  for (guint i = 0; i < worst->len; i++)
    {
      const ranked_second_t *row = &g_array_index (worst, ranked_second_t, i);

      json_builder_begin_object (builder);
      json_put_int (builder, "unix_s", row->unix_s);
      json_put_int (builder, "taken", row->second->accepted);
      json_put_int (builder, "refused", row->second->refused);
      json_put_int (builder, "ended", row->second->ended);
      json_put_int (builder, "lost", row->second->lost_runs);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_put_int (builder, "lines_skipped", (gint64) skipped);
  json_builder_end_object (builder);
  text = json_builder_to_string (builder);
  (void) fprintf (out, "%s\n", text);
}

bool
trace_summary (char **files, guint count, bool json, FILE *out, error_info_t *error)
{
  summary_t summary
      = { .causes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          .stats_by_second = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free),
          .ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  log_reader_t *reader = log_reader_new (is_counted, NULL);
  bool ok = log_reader_read_all (reader, files, count, error);

  if (ok)
    {
      const GPtrArray *records = log_reader_sort (reader);

      for (guint i = 0; i < records->len; i++)
        count_record (&summary, g_ptr_array_index (records, i));
      if (json)
        print_summary_json (&summary, log_reader_skipped_line_count (reader), out);
      else
        print_summary (&summary, log_reader_skipped_line_count (reader), out);
    }
  log_reader_free (reader);
  g_hash_table_unref (summary.causes);
  g_hash_table_unref (summary.stats_by_second);
  g_hash_table_unref (summary.ended);
  return ok;
}
