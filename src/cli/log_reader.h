/* Reads the log files of several processes into records.
 *
 * A line has the form `time=UNIX up=SECONDS level=L module=M event=E key=value ...`.  The word
 * before `time=`, if there is one, is the name of the VM; otherwise the file name is used.
 * Other lines are counted and skipped.
 *
 * The wall clock of a VM may step, whereas `up` is the monotonic time of its process.  The
 * difference between the two clocks that most lines of a process have is taken as correct.
 * Records are ordered by `up` plus that difference.
 */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stdio.h>

typedef struct
{
  char *vm;
  guint incarnation;  /* of the VM's process; incremented by each `started` event, from 0 */
  gint64 time_ms;     /* Unix time as logged; corrected for clock steps by log_reader_sort() */
  gint64 up_ms;       /* monotonic; -1: not in the line */
  guint64 line_index; /* among all log lines, in reading order */
  char *module;
  char *event;
  char *pairs; /* the key=value pairs after the event */
} log_record_t;

void log_record_free (log_record_t *record);

/* Returns the value of `key` in the record's pairs, or NULL if there is none.  Free with
 * g_free(). */
char *log_value (const log_record_t *record, const char *key);

bool log_has_value (const log_record_t *record, const char *key, const char *value);

/* Formats a Unix time as "HH:MM:SS.mmm" in UTC.  Free with g_free(). */
char *log_format_time (gint64 time_ms);

/* Returns whether one of the record's values equals `text`. */
bool log_mentions (const log_record_t *record, const char *text);

typedef struct log_reader log_reader_t;

/* Returns whether to keep a record; other records are freed. */
typedef bool (*log_filter_t) (const log_record_t *record, void *data);

log_reader_t *log_reader_new (log_filter_t filter, void *data);
void log_reader_free (log_reader_t *reader);

/* Reads a file, or standard input if `path` is "-".  Returns false with ERROR_BAD_REQUEST if
 * the file cannot be opened or has no log lines. */
bool log_reader_read (log_reader_t *reader, const char *path, error_info_t *error);

/* Reads `count` files, or standard input if `count` is 0.  Stops at the first error. */
bool log_reader_read_all (log_reader_t *reader, char **files, guint count, error_info_t *error);

/* Corrects the times for clock steps and returns the kept records (log_record_t) ordered by
 * time.  The array is owned by the reader. */
GPtrArray *log_reader_sort (log_reader_t *reader);

/* Returns the number of lines that were not log lines. */
guint64 log_reader_skipped_line_count (const log_reader_t *reader);
