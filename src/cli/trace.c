#include "cli/trace.h"

#include "base/json.h"
#include "cli/log_reader.h"

#include <string.h>

/* Search for the records of one id. */
typedef struct
{
  const char *id;
  GHashTable *orders; /* "vm/incarnation/order" of the calls and orders that concern the id */
} trace_search_t;

/* Changes of the leader, which are shown between the events of the id. */
static const char *const leadership_events[]
    = { "claim_gained", "claim_lost", "claim_released", "decider_loaded", "decider_deposed" };

/* Events that indicate a failure, a stop or a cancellation. */
static const char *const problem_events[]
    = { "order_failed",      "task_stop",         "executor_lost", "executor_unreached",
        "executor_unlisted", "executor_aside",    "claim_lost",    "decider_deposed",
        "batch_refused",     "placement_refused", "job_unknown",   "job_cancel" };

static bool
is_in_list (const char *event, const char *const *list, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      if (strcmp (event, list[i]) == 0)
        return true;
    }
  return false;
}

static bool
is_leadership_event (const log_record_t *record)
{
  return is_in_list (record->event, leadership_events, G_N_ELEMENTS (leadership_events));
}

/* Returns an identifier of the order that is unique among all leaders, or NULL if the record
 * has no order. */
static char *
qualified_order_id (const log_record_t *record)
{
  g_autofree char *order = log_value (record, "order");

  return order != NULL ? g_strdup_printf ("%s/%u/%s", record->vm, record->incarnation, order)
                       : NULL;
}

static bool
is_relevant (const log_record_t *record, void *data)
{
  trace_search_t *search = data;
  g_autofree char *order = qualified_order_id (record);

  if (log_mentions (record, search->id))
    {
      if (order != NULL)
        (void) g_hash_table_add (search->orders, g_steal_pointer (&order));
      return true;
    }
  return is_leadership_event (record)
         || (order != NULL && g_hash_table_contains (search->orders, order));
}

typedef struct
{
  const log_record_t *refused;  /* the last submission that was refused */
  const log_record_t *accepted; /* the first submission that was accepted */
  const log_record_t *started;  /* the first start of a task */
  const log_record_t *ended;
  const log_record_t *cause; /* the last event that contributed to a failure */
  guint run_count;
  guint failed_run_count; /* runs whose logged end is not "done" */
} trace_outcome_t;

static void
record_submission (trace_outcome_t *outcome, const log_record_t *record)
{
  if (!log_has_value (record, "action", "submit"))
    return;
  if (!log_has_value (record, "result", "none"))
    outcome->refused = record;
  else if (outcome->accepted == NULL)
    outcome->accepted = record;
}

static void
record_event (trace_outcome_t *outcome, const log_record_t *record)
{
  if (strcmp (record->event, "job_request") == 0)
    record_submission (outcome, record);
  else if (strcmp (record->event, "job_ended") == 0)
    outcome->ended = record;
  else if (strcmp (record->event, "task_start") == 0)
    {
      outcome->run_count++;
      if (outcome->started == NULL)
        outcome->started = record;
    }
  else if (strcmp (record->event, "task_ended") == 0 && !log_has_value (record, "how", "done"))
    {
      outcome->failed_run_count++;
      if (outcome->ended == NULL)
        outcome->cause = record;
    }
  else if (outcome->ended == NULL
           && is_in_list (record->event, problem_events, G_N_ELEMENTS (problem_events)))
    outcome->cause = record;
}

static trace_outcome_t
find_outcome (const GPtrArray *records)
{
  trace_outcome_t outcome = { 0 };

  for (guint i = 0; i < records->len; i++)
    record_event (&outcome, g_ptr_array_index (records, i));
  return outcome;
}

static char *
outcome_text (const trace_outcome_t *outcome)
{
  g_autofree char *state = NULL;

  if (outcome->ended != NULL)
    {
      state = log_value (outcome->ended, "state");
      return g_strdup_printf ("ended, %s", state != NULL ? state : "unknown");
    }
  if (outcome->started != NULL)
    return g_strdup ("started, no end in these logs");
  if (outcome->accepted != NULL)
    return g_strdup ("accepted, not started in these logs");
  if (outcome->refused != NULL)
    {
      state = log_value (outcome->refused, "result");
      return g_strdup_printf ("not accepted: %s", state != NULL ? state : "unknown");
    }
  return g_strdup ("no submission, start or end of that id in these logs");
}

static void
print_record (const log_record_t *record, gint64 start_ms, FILE *out)
{
  g_autofree char *time = log_format_time (record->time_ms);

  (void) fprintf (out, "%s %+9.3f  %-20s %-8s %-18s %s\n", time,
                  (double) (record->time_ms - start_ms) / 1000.0, record->vm, record->module,
                  record->event, record->pairs);
}

static void
print_elapsed (const char *label, const log_record_t *from, const log_record_t *to, FILE *out)
{
  if (from != NULL && to != NULL)
    (void) fprintf (out, "%s: %.3f s\n", label, (double) (to->time_ms - from->time_ms) / 1000.0);
}

static void
print_outcome (const trace_outcome_t *outcome, FILE *out)
{
  g_autofree char *text = outcome_text (outcome);

  (void) fprintf (out, "\noutcome: %s\n", text);
  print_elapsed ("accepted to first start", outcome->accepted, outcome->started, out);
  print_elapsed ("first start to end", outcome->started, outcome->ended, out);
  if (outcome->run_count > 0)
    (void) fprintf (out, "runs: %u started, %u ended in another way than done\n",
                    outcome->run_count, outcome->failed_run_count);
  if (outcome->cause != NULL)
    (void) fprintf (out, "last cause: %s at %s: %s\n", outcome->cause->event, outcome->cause->vm,
                    outcome->cause->pairs);
  else if (outcome->refused != NULL && outcome->accepted == NULL)
    (void) fprintf (out, "last cause: %s at %s: %s\n", outcome->refused->event,
                    outcome->refused->vm, outcome->refused->pairs);
}

static void
put_record (JsonBuilder *builder, const log_record_t *record)
{
  json_builder_begin_object (builder);
  json_put_int (builder, "time_ms", record->time_ms);
  json_put_string (builder, "vm", record->vm);
  json_put_string (builder, "module", record->module);
  json_put_string (builder, "event", record->event);
  json_put_string (builder, "pairs", record->pairs);
  json_builder_end_object (builder);
}

static void
print_json (const char *id, const GPtrArray *records, const trace_outcome_t *outcome, FILE *out)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree char *state = outcome_text (outcome);
  g_autofree char *text = NULL;

  json_builder_begin_object (builder);
  json_put_string (builder, "id", id);
  json_put_string (builder, "outcome", state);
  if (outcome->cause != NULL)
    {
      json_builder_set_member_name (builder, "cause");
      put_record (builder, outcome->cause);
    }
  json_builder_set_member_name (builder, "events");
  json_builder_begin_array (builder);
  for (guint i = 0; i < records->len; i++)
    put_record (builder, g_ptr_array_index (records, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  text = json_builder_to_string (builder);
  (void) fprintf (out, "%s\n", text);
}

/* Selects the records from the first to the last that mention the id, preceded by the last
 * gain of leadership before them. */
static GPtrArray *
select_records (const GPtrArray *all, const trace_search_t *search)
{
  GPtrArray *found = g_ptr_array_new ();
  guint first = all->len;
  guint last = 0;

  for (guint i = 0; i < all->len; i++)
    {
      if (!log_mentions (g_ptr_array_index (all, i), search->id))
        continue;
      first = MIN (first, i);
      last = i;
    }
  if (first == all->len)
    return found;
  for (guint i = first; i > 0; i--)
    {
      log_record_t *record = g_ptr_array_index (all, i - 1);

      if (strcmp (record->event, "claim_gained") != 0)
        continue;
      g_ptr_array_add (found, record);
      break;
    }
  for (guint i = first; i <= last; i++)
    g_ptr_array_add (found, g_ptr_array_index (all, i));
  return found;
}

static bool
print_trace (
    log_reader_t *reader, const trace_search_t *search, bool json, FILE *out, error_info_t *error)
{
  g_autoptr (GPtrArray) records = select_records (log_reader_sort (reader), search);
  trace_outcome_t outcome;

  if (records->len == 0)
    return error_set (error, ERROR_BAD_REQUEST, "no event in these logs mentions \"%s\"",
                      search->id);
  outcome = find_outcome (records);
  if (json)
    {
      print_json (search->id, records, &outcome, out);
      return true;
    }
  for (guint i = 0; i < records->len; i++)
    print_record (g_ptr_array_index (records, i),
                  ((const log_record_t *) g_ptr_array_index (records, 0))->time_ms, out);
  print_outcome (&outcome, out);
  return true;
}

bool
trace_show (const char *id, char **files, guint count, bool json, FILE *out, error_info_t *error)
{
  trace_search_t search
      = { .id = id, .orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  log_reader_t *reader = log_reader_new (is_relevant, &search);
  bool ok = log_reader_read_all (reader, files, count, error)
            && print_trace (reader, &search, json, out, error);

  log_reader_free (reader);
  g_hash_table_unref (search.orders);
  return ok;
}
