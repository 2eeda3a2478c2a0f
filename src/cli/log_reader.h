/* Reads the log files of several processes into records.
 *
 * A line is `time=UNIX up=SECONDS level=L module=M event=E key=value ...`; a word before
 * `time=` is taken for the name of the VM, else the file's name is.  Lines of another kind
 * are counted and skipped.
 *
 * The time of day of a VM may step.  `up` is the time of its process on the steady clock:
 * the difference of the two that most lines of a process show is taken as true, and
 * records are put in order by it.
 */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stdio.h>

typedef struct
{
  char *vm;
  guint incarnation;     /* of the VM's process, from 0, as the log tells of starts */
  gint64 time_ms; /* Unix time as written, and after log_order() as taken for true */
  gint64 up_ms;   /* -1: the line has none */
  guint64 number; /* of the record in reading order */
  char *module;
  char *event;
  char *pairs; /* the rest of the line */
} log_record_t;

void log_record_free (log_record_t *record);

/* Value of a key in the record's pairs; NULL: there is none.  Free with g_free(). */
char *log_value (const log_record_t *record, const char *key);

bool log_has_value (const log_record_t *record, const char *key, const char *value);

/* "HH:MM:SS.mmm" in UTC; free with g_free(). */
char *log_format_time (gint64 time_ms);

/* True when one of the record's values is this text. */
bool log_mentions (const log_record_t *record, const char *text);

typedef struct log_reader log_reader_t;

/* True keeps a record; it is freed otherwise. */
typedef bool (*log_filter_t) (const log_record_t *record, void *data);

log_reader_t *log_reader_new (log_filter_t filter, void *data);
void log_reader_free (log_reader_t *reader);

/* Reads a file, "-" is standard input.  False with ERROR_BAD_REQUEST and one line when it
 * can't be read or holds no line of a log. */
bool log_reader_read (log_reader_t *reader, const char *path, error_info_t *error);

/* Reads all of `count` files; none: standard input. */
bool log_reader_read_all (log_reader_t *reader, char **files, guint count, error_info_t *error);

/* The kept records (log_record_t, owned by the reader) in the order of true time. */
GPtrArray *log_reader_sort (log_reader_t *reader);

/* Lines that were no log lines. */
guint64 log_reader_skipped_lines (const log_reader_t *reader);
