#include "base/json.h"
#include "base/quantile.h"
#include "cli/log_reader.h"
#include "cli/trace.h"

#include <string.h>

enum
{
  WIDEST_RANGE_LOG2 = 7, /* 128 tasks and more */
  RANGE_COUNT = WIDEST_RANGE_LOG2 + 1
};

/* The gangs of a queue whose widths are in the same range, a power of two up to the next. */
typedef struct
{
  guint gangs;
  guint late;         /* placed, or last seen, when they could no longer be on time */
  GArray *placed_ms;  /* gint64: how long those that were placed had waited */
  GArray *waiting_ms; /* gint64: how long the others had waited when they were last seen */
  gint64 calls;
  gint64 renewed;
  gint64 rounds;
  gint64 unplanned;
  gint64 unreserved;
} wait_range_t;

typedef struct
{
  char *queue;
  wait_range_t ranges[RANGE_COUNT];
} queue_waits_t;

static void
queue_waits_free (gpointer data)
{
  queue_waits_t *queue = data;

  for (guint i = 0; i < RANGE_COUNT; i++)
    {
      g_array_unref (queue->ranges[i].placed_ms);
      g_array_unref (queue->ranges[i].waiting_ms);
    }
  g_free (queue->queue);
  g_free (queue);
}

static queue_waits_t *
ensure_queue (GHashTable *queues, const char *name)
{
  queue_waits_t *queue = g_hash_table_lookup (queues, name);

  if (queue != NULL)
    return queue;
  queue = g_new0 (queue_waits_t, 1);
  queue->queue = g_strdup (name);
  for (guint i = 0; i < RANGE_COUNT; i++)
    {
      queue->ranges[i].placed_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
      queue->ranges[i].waiting_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  g_hash_table_insert (queues, queue->queue, queue);
  return queue;
}

static gint64
number_value (const log_record_t *record, const char *key)
{
  g_autofree char *value = log_value (record, key);

  return value != NULL ? g_ascii_strtoll (value, NULL, 10) : 0;
}

static bool
is_about_gang (const log_record_t *record)
{
  return strcmp (record->event, "gang_waits") == 0 || strcmp (record->event, "gang_placed") == 0;
}

static bool
is_about_step (const log_record_t *record)
{
  return strcmp (record->event, "step_waits") == 0;
}

static bool
is_about_wait (const log_record_t *record, void *data G_GNUC_UNUSED)
{
  return is_about_gang (record) || is_about_step (record);
}

/* The last record of each gang, or of each step: "job step" -> log_record_t. */
static GHashTable *
last_records (const GPtrArray *records, bool (*is_wanted) (const log_record_t *record))
{
  GHashTable *last = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < records->len; i++)
    {
      log_record_t *record = g_ptr_array_index (records, i);
      g_autofree char *job = NULL;
      g_autofree char *step = NULL;

      if (!is_wanted (record))
        continue;
      job = log_value (record, "job");
      step = log_value (record, "step");
      if (job != NULL && step != NULL)
        g_hash_table_replace (last, g_strconcat (job, " ", step, NULL), record);
    }
  return last;
}

/* True if the gang could no longer be on time. */
static bool
is_late (const log_record_t *record)
{
  return log_has_value (record, "group", "late") || log_has_value (record, "group", "lost")
         || log_has_value (record, "group", "turn");
}

static void
count_gang (GHashTable *queues, const log_record_t *record)
{
  g_autofree char *name = log_value (record, "queue");
  gint64 tasks = CLAMP (number_value (record, "tasks"), 1, G_MAXINT32);
  gint64 waited_ms = number_value (record, "waited_ms");
  wait_range_t *range;

  if (name == NULL)
    return;
  range = &ensure_queue (queues, name)
               ->ranges[MIN (g_bit_storage ((gulong) tasks) - 1, WIDEST_RANGE_LOG2)];
  range->gangs++;
  range->late += is_late (record);
  if (strcmp (record->event, "gang_placed") == 0)
    g_array_append_val (range->placed_ms, waited_ms);
  else
    g_array_append_val (range->waiting_ms, waited_ms);
  range->calls += number_value (record, "calls");
  range->renewed += number_value (record, "renewed");
  range->rounds += number_value (record, "rounds");
  range->unplanned += number_value (record, "unplanned");
  range->unreserved += number_value (record, "unreserved");
}

static gint64
percent_of (gint64 part, gint64 whole)
{
  return whole > 0 ? 100 * part / whole : 0;
}

static void
print_range (const char *queue, guint index, const wait_range_t *range, FILE *out)
{
  (void) fprintf (out,
                  "%-20s %5u+ %6u %6u %6u %9.3f %9.3f %9.3f %6.1f %8.1f %9" G_GINT64_FORMAT
                  " %10" G_GINT64_FORMAT "\n",
                  queue, 1U << index, range->gangs, range->placed_ms->len, range->late,
                  (double) quantile_of (range->placed_ms, 0.5) / 1000.0,
                  (double) quantile_of (range->placed_ms, 0.9) / 1000.0,
                  (double) quantile_of (range->waiting_ms, 0.5) / 1000.0,
                  (double) range->calls / range->gangs, (double) range->renewed / range->gangs,
                  percent_of (range->unplanned, range->rounds),
                  percent_of (range->unreserved, range->rounds));
}

static void
print_waits (GHashTable *queues, FILE *out)
{
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (queues), (GCompareFunc) strcmp);

  (void) fprintf (out, "%-20s %6s %6s %6s %6s %9s %9s %9s %6s %8s %9s %10s\n", "queue", "tasks",
                  "gangs", "placed", "late", "p50_s", "p90_s", "unplaced_s", "calls", "renewed",
                  "unplanned%", "unreserved%");
  for (GList *item = names; item != NULL; item = item->next)
    {
      const queue_waits_t *queue = g_hash_table_lookup (queues, item->data);

      for (guint i = 0; i < RANGE_COUNT; i++)
        {
          if (queue->ranges[i].gangs > 0)
            print_range (queue->queue, i, &queue->ranges[i], out);
        }
    }
}

/* ---- Reasons, by workspace. */

/* The steps of a workspace that were last seen waiting for the same reason. */
typedef struct
{
  char *workspace;
  char *reason;
  GArray *waited_ms; /* gint64 */
} wait_reason_t;

static void
wait_reason_free (gpointer data)
{
  wait_reason_t *reason = data;

  g_array_unref (reason->waited_ms);
  g_free (reason->workspace);
  g_free (reason->reason);
  g_free (reason);
}

/* "workspace reason" -> wait_reason_t. */
static GHashTable *
count_reasons (GHashTable *last)
{
  GHashTable *reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, wait_reason_free);
  GHashTableIter iter;
  gpointer record;

  g_hash_table_iter_init (&iter, last);
  while (g_hash_table_iter_next (&iter, NULL, &record))
    {
      g_autofree char *workspace = log_value (record, "workspace");
      g_autofree char *name = log_value (record, "reason");
      gint64 waited_ms = number_value (record, "waited_ms");
      g_autofree char *key = NULL;
      wait_reason_t *reason;

      if (workspace == NULL || name == NULL)
        continue;
      key = g_strconcat (workspace, " ", name, NULL);
      reason = g_hash_table_lookup (reasons, key);
      if (reason == NULL)
        {
          reason = g_new0 (wait_reason_t, 1);
          reason->workspace = g_steal_pointer (&workspace);
          reason->reason = g_steal_pointer (&name);
          reason->waited_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
          g_hash_table_insert (reasons, g_steal_pointer (&key), reason);
        }
      g_array_append_val (reason->waited_ms, waited_ms);
    }
  return reasons;
}

static void
print_reasons (GHashTable *reasons, FILE *out)
{
  g_autoptr (GList) keys = g_list_sort (g_hash_table_get_keys (reasons), (GCompareFunc) strcmp);

  if (keys == NULL)
    return;
  (void) fprintf (out, "\n%-20s %-10s %6s %9s %9s\n", "workspace", "reason", "steps", "p50_s",
                  "p90_s");
  for (GList *item = keys; item != NULL; item = item->next)
    {
      const wait_reason_t *reason = g_hash_table_lookup (reasons, item->data);

      (void) fprintf (out, "%-20s %-10s %6u %9.3f %9.3f\n", reason->workspace, reason->reason,
                      reason->waited_ms->len,
                      (double) quantile_of (reason->waited_ms, 0.5) / 1000.0,
                      (double) quantile_of (reason->waited_ms, 0.9) / 1000.0);
    }
}

static void
put_reasons (JsonBuilder *builder, GHashTable *reasons)
{
  g_autoptr (GList) keys = g_list_sort (g_hash_table_get_keys (reasons), (GCompareFunc) strcmp);

  for (GList *item = keys; item != NULL; item = item->next)
    {
      const wait_reason_t *reason = g_hash_table_lookup (reasons, item->data);

      json_builder_begin_object (builder);
      json_put_string (builder, "workspace", reason->workspace);
      json_put_string (builder, "reason", reason->reason);
      json_put_int (builder, "steps", reason->waited_ms->len);
      json_put_int (builder, "waited_p50_ms", quantile_of (reason->waited_ms, 0.5));
      json_put_int (builder, "waited_p90_ms", quantile_of (reason->waited_ms, 0.9));
      json_builder_end_object (builder);
    }
}

static void
put_range (JsonBuilder *builder, const char *queue, guint index, const wait_range_t *range)
{
  json_builder_begin_object (builder);
  json_put_string (builder, "queue", queue);
  json_put_int (builder, "tasks", 1U << index);
  json_put_int (builder, "gangs", range->gangs);
  json_put_int (builder, "placed", range->placed_ms->len);
  json_put_int (builder, "late", range->late);
  json_put_int (builder, "placed_p50_ms", quantile_of (range->placed_ms, 0.5));
  json_put_int (builder, "placed_p90_ms", quantile_of (range->placed_ms, 0.9));
  json_put_int (builder, "unplaced_p50_ms", quantile_of (range->waiting_ms, 0.5));
  json_put_int (builder, "calls", range->calls);
  json_put_int (builder, "renewed", range->renewed);
  json_put_int (builder, "rounds", range->rounds);
  json_put_int (builder, "unplanned", range->unplanned);
  json_put_int (builder, "unreserved", range->unreserved);
  json_builder_end_object (builder);
}

static void
print_waits_json (GHashTable *queues, GHashTable *reasons, FILE *out)
{
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (queues), (GCompareFunc) strcmp);
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree char *text = NULL;

  json_builder_begin_array (builder);
  for (GList *item = names; item != NULL; item = item->next)
    {
      const queue_waits_t *queue = g_hash_table_lookup (queues, item->data);

      for (guint i = 0; i < RANGE_COUNT; i++)
        {
          if (queue->ranges[i].gangs > 0)
            put_range (builder, queue->queue, i, &queue->ranges[i]);
        }
    }
  put_reasons (builder, reasons);
  json_builder_end_array (builder);
  text = json_builder_to_string (builder);
  (void) fprintf (out, "%s\n", text);
}

bool
trace_waits (char **files, guint count, bool json, FILE *out, error_info_t *error)
{
  g_autoptr (GHashTable) queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_waits_free);
  log_reader_t *reader = log_reader_new (is_about_wait, NULL);
  bool ok = log_reader_read_all (reader, files, count, error);

  if (ok)
    {
      const GPtrArray *records = log_reader_sort (reader);
      g_autoptr (GHashTable) last = last_records (records, is_about_gang);
      g_autoptr (GHashTable) last_steps = last_records (records, is_about_step);
      g_autoptr (GHashTable) reasons = count_reasons (last_steps);
      GHashTableIter iter;
      gpointer record;

      g_hash_table_iter_init (&iter, last);
      while (g_hash_table_iter_next (&iter, NULL, &record))
        count_gang (queues, record);
      if (json)
        print_waits_json (queues, reasons, out);
      else
        {
          print_waits (queues, out);
          print_reasons (reasons, out);
        }
    }
  log_reader_free (reader);
  return ok;
}
