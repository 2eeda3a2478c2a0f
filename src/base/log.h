/* One line of key=value pairs per event, on standard output.
 *
 * `time=… level=… module=… event=… key=value …`.  Lines wait in a buffer of fixed size
 * and leave when the reader takes them; a reader that is slow or gone never blocks the
 * daemon.  Lines that find the buffer full are dropped, counted, and their number is
 * logged once there is room again.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Installs the writer.  `level` is one of "error", "warning", "info", "debug";
 * returns false for any other. */
bool log_init (const char *level);

/* Logs `event` of `module`.  `format` gives the remaining pairs, already in the
 * form key=value; it may be NULL. */
void
log_event (GLogLevelFlags level, const char *module, const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Writes what the reader takes now; call it when the process ends. */
void log_flush (void);

/* Lines dropped since the start. */
guint64 log_dropped (void);

#define LOG_INFO(event, ...) log_event (G_LOG_LEVEL_INFO, LOG_MODULE, event, __VA_ARGS__)
#define LOG_WARN(event, ...) log_event (G_LOG_LEVEL_WARNING, LOG_MODULE, event, __VA_ARGS__)
#define LOG_DEBUG(event, ...) log_event (G_LOG_LEVEL_DEBUG, LOG_MODULE, event, __VA_ARGS__)
