/* Structured logging to standard output, one line of key=value pairs per event.
 *
 * The format is `time=… up=… level=… module=… event=… key=value …`.  Lines are kept in a
 * buffer of fixed size until they can be written without blocking, so that a slow or dead
 * reader never blocks the daemon.  Lines that do not fit into the buffer are dropped; their
 * number is logged once there is space again.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Sets the log level and redirects the messages of GLib to this log.  `level` is "error",
 * "warning", "info" or "debug"; returns false for any other value. */
bool log_init (const char *level);

/* Logs `event` of `module`, which are constants.  `format` produces further pairs of the form
 * key=value and may be NULL.  Control characters in them, such as line breaks, are logged as '?'.
 */
void
log_event (GLogLevelFlags level, const char *module, const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Writes as many buffered lines as possible without blocking.  Must be called before the
 * process exits, or the lines that are still buffered are lost. */
void log_flush (void);

/* Writes the buffered lines and a last one with `text`, pairs of the form key=value, without
 * blocking. Safe in a signal handler of a process that is about to end; nothing may be logged
 * afterwards. */
void log_last_line (const char *module, const char *text);

/* Returns the number of lines dropped since the process started. */
guint64 log_dropped_line_count (void);

/* The event that was logged last; the names are those given to log_event(). */
typedef struct
{
  const char *module;
  const char *event;
  guint64 count; /* of events logged since the process started */
} log_last_event_t;

log_last_event_t log_last_event (void);

/* Appends the numbers of dropped lines, of failed writes, whose lines wait and are tried again, and
 * of messages of libraries by level, whether they are logged or not. */
void log_append_metrics (GString *out);

#define LOG_INFO(event, ...) log_event (G_LOG_LEVEL_INFO, LOG_MODULE, event, __VA_ARGS__)
#define LOG_WARN(event, ...) log_event (G_LOG_LEVEL_WARNING, LOG_MODULE, event, __VA_ARGS__)
#define LOG_DEBUG(event, ...) log_event (G_LOG_LEVEL_DEBUG, LOG_MODULE, event, __VA_ARGS__)
