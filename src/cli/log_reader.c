#include "cli/log_reader.h"

#include <errno.h>
#include <string.h>

/* A difference between the wall clock and the monotonic clock of a process, and the number of
 * lines that have it. */
typedef struct
{
  gint64 offset_ms;
  guint64 count;
} clock_offset_t;

/* One incarnation of a VM's process. */
typedef struct
{
  char *vm;
  guint incarnation;
  GArray *offsets; /* clock_offset_t */
} process_t;

struct log_reader
{
  log_filter_t filter;
  void *data;
  GPtrArray *records;       /* log_record_t */
  GHashTable *incarnations; /* vm -> latest incarnation */
  GHashTable *processes;    /* "vm/incarnation" -> process_t */
  guint64 lines;
  guint64 skipped;
};

/* A smaller change of the offset is not a step of the wall clock. */
static const gint64 step_threshold_ms = 50;

void
log_record_free (log_record_t *record)
{
  g_free (record->vm);
  g_free (record->module);
  g_free (record->event);
  g_free (record->pairs);
  g_free (record);
}

/* Returns the value of `key` in "key=value key=value".  A quoted value may contain spaces. */
static char *
find_value (const char *pairs, const char *key)
{
  gsize length = strlen (key);

  for (const char *at = pairs; at != NULL && *at != '\0';)
    {
      const char *value = at + length + 1;

      if (strncmp (at, key, length) == 0 && at[length] == '=')
        return *value == '"' ? g_strndup (value + 1, strcspn (value + 1, "\""))
                             : g_strndup (value, strcspn (value, " "));
      at = strchr (at, ' ');
      if (at != NULL)
        at++;
    }
  return NULL;
}

char *
log_value (const log_record_t *record, const char *key)
{
  return find_value (record->pairs, key);
}

bool
log_has_value (const log_record_t *record, const char *key, const char *value)
{
  g_autofree char *text = log_value (record, key);

  return g_strcmp0 (text, value) == 0;
}

char *
log_format_time (gint64 time_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (time_ms / 1000);
  g_autofree char *seconds
      = time != NULL ? g_date_time_format (time, "%H:%M:%S") : g_strdup ("--:--:--");

  return g_strdup_printf ("%s.%03d", seconds, (int) (time_ms % 1000));
}

bool
log_mentions (const log_record_t *record, const char *text)
{
  gsize length = strlen (text);

  for (const char *at = strstr (record->pairs, text); at != NULL; at = strstr (at + 1, text))
    {
      if (at > record->pairs && at[-1] == '=' && (at[length] == ' ' || at[length] == '\0'))
        return true;
    }
  return false;
}

/* Parses "SECONDS.mmm".  Returns -1 if `text` is not a valid number. */
static gint64
parse_milliseconds (const char *text)
{
  char *end = NULL;
  double seconds = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || !(seconds >= 0.0) || seconds > 1e12)
    return -1;
  return (gint64) (seconds * 1000.0 + 0.5);
}

static gint64
get_milliseconds (const char *pairs, const char *key)
{
  g_autofree char *text = find_value (pairs, key);

  return text != NULL ? parse_milliseconds (text) : -1;
}

/* Returns the word before `time=`, or NULL if there is none. */
static char *
vm_before_time (const char *line, const char *time)
{
  const char *end = time;
  const char *start;

  while (end > line && end[-1] == ' ')
    end--;
  start = end;
  while (start > line && start[-1] != ' ')
    start--;
  return start < end ? g_strndup (start, (gsize) (end - start)) : NULL;
}

static log_record_t *
parse_line (const char *line, const char *file)
{
  const char *time = strstr (line, "time=");
  const char *pairs;
  log_record_t *record;

  if (time == NULL || (time > line && time[-1] != ' '))
    return NULL;
  record = g_new0 (log_record_t, 1);
  record->time_ms = get_milliseconds (time, "time");
  record->up_ms = get_milliseconds (time, "up");
  record->module = find_value (time, "module");
  record->event = find_value (time, "event");
  if (record->time_ms < 0 || record->module == NULL || record->event == NULL)
    {
      log_record_free (record);
      return NULL;
    }
  record->vm = vm_before_time (line, time);
  if (record->vm == NULL)
    record->vm = g_strdup (file);
  pairs = strstr (time, "event=");
  pairs += strcspn (pairs, " ");
  record->pairs = g_strdup (*pairs == ' ' ? pairs + 1 : "");
  return record;
}

static void
process_free (gpointer data)
{
  process_t *process = data;

  g_array_unref (process->offsets);
  g_free (process->vm);
  g_free (process);
}

static process_t *
ensure_process (log_reader_t *reader, const char *vm, guint incarnation)
{
  char *key = g_strdup_printf ("%s/%u", vm, incarnation);
  process_t *process = g_hash_table_lookup (reader->processes, key);

  if (process != NULL)
    {
      g_free (key);
      return process;
    }
  process = g_new0 (process_t, 1);
  process->vm = g_strdup (vm);
  process->incarnation = incarnation;
  process->offsets = g_array_new (FALSE, FALSE, sizeof (clock_offset_t));
  g_hash_table_insert (reader->processes, key, process);
  return process;
}

static void
record_clock_offset (log_reader_t *reader, const log_record_t *record)
{
  process_t *process = ensure_process (reader, record->vm, record->incarnation);
  clock_offset_t fresh = { record->time_ms - record->up_ms, 1 };

  for (guint i = 0; i < process->offsets->len; i++)
    {
      clock_offset_t *offset = &g_array_index (process->offsets, clock_offset_t, i);

      if (ABS (offset->offset_ms - fresh.offset_ms) < step_threshold_ms)
        {
          offset->count++;
          return;
        }
    }
  g_array_append_val (process->offsets, fresh);
}

static void
set_incarnation (log_reader_t *reader, log_record_t *record)
{
  guint incarnation = GPOINTER_TO_UINT (g_hash_table_lookup (reader->incarnations, record->vm));

  if (strcmp (record->event, "started") == 0)
    {
      incarnation++;
      g_hash_table_replace (reader->incarnations, g_strdup (record->vm),
                            GUINT_TO_POINTER (incarnation));
    }
  record->incarnation = incarnation;
}

static void
read_line (log_reader_t *reader, const char *line, const char *file)
{
  log_record_t *record = parse_line (line, file);

  if (record == NULL)
    {
      reader->skipped++;
      return;
    }
  record->line_index = reader->lines++;
  set_incarnation (reader, record);
  if (record->up_ms >= 0)
    record_clock_offset (reader, record);
  if (reader->filter (record, reader->data))
    g_ptr_array_add (reader->records, record);
  else
    log_record_free (record);
}

log_reader_t *
log_reader_new (log_filter_t filter, void *data)
{
  log_reader_t *reader = g_new0 (log_reader_t, 1);

  reader->filter = filter;
  reader->data = data;
  reader->records = g_ptr_array_new_with_free_func ((GDestroyNotify) log_record_free);
  reader->incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  reader->processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, process_free);
  return reader;
}

void
log_reader_free (log_reader_t *reader)
{
  g_ptr_array_unref (reader->records);
  g_hash_table_unref (reader->incarnations);
  g_hash_table_unref (reader->processes);
  g_free (reader);
}

bool
log_reader_read (log_reader_t *reader, const char *path, error_info_t *error)
{
  bool is_input = strcmp (path, "-") == 0;
  FILE *file = is_input ? stdin : fopen (path, "r");
  g_autofree char *name = is_input ? g_strdup ("-") : g_path_get_basename (path);
  guint64 before = reader->lines;
  char *line = NULL;
  size_t size = 0;
  ssize_t length;

  if (file == NULL)
    return error_set (error, ERROR_BAD_REQUEST, "%s: %s", path, g_strerror (errno));
  while ((length = getline (&line, &size, file)) > 0)
    {
      if (line[length - 1] == '\n')
        line[length - 1] = '\0';
      read_line (reader, line, name);
    }
  free (line);
  if (!is_input)
    (void) fclose (file);
  if (reader->lines == before)
    return error_set (error, ERROR_BAD_REQUEST, "%s: contains no line of a log of mimosastaird",
                      path);
  return true;
}

bool
log_reader_read_all (log_reader_t *reader, char **files, guint count, error_info_t *error)
{
  if (count == 0)
    return log_reader_read (reader, "-", error);
  for (guint i = 0; i < count; i++)
    {
      if (!log_reader_read (reader, files[i], error))
        return false;
    }
  return true;
}

/* Returns the clock offset that most lines of the process have. */
static gint64
most_common_offset (const process_t *process)
{
  clock_offset_t best = { 0, 0 };

  for (guint i = 0; i < process->offsets->len; i++)
    {
      clock_offset_t offset = g_array_index (process->offsets, clock_offset_t, i);

      if (offset.count > best.count)
        best = offset;
    }
  return best.offset_ms;
}

static gint
compare_by_time (gconstpointer a, gconstpointer b)
{
  const log_record_t *left = *(log_record_t *const *) a;
  const log_record_t *right = *(log_record_t *const *) b;

  if (left->time_ms != right->time_ms)
    return left->time_ms < right->time_ms ? -1 : 1;
  return left->line_index < right->line_index ? -1 : left->line_index > right->line_index;
}

GPtrArray *
log_reader_sort (log_reader_t *reader)
{
  for (guint i = 0; i < reader->records->len; i++)
    {
      log_record_t *record = g_ptr_array_index (reader->records, i);

      if (record->up_ms >= 0)
        record->time_ms
            = record->up_ms
              + most_common_offset (ensure_process (reader, record->vm, record->incarnation));
    }
  g_ptr_array_sort (reader->records, compare_by_time);
  return reader->records;
}

guint64
log_reader_skipped_line_count (const log_reader_t *reader)
{
  return reader->skipped;
}
