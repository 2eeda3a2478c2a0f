/* One line of key=value pairs per event, through GLib structured logging.
 *
 * The writer prints `time=… level=… module=… event=… key=value …` on standard
 * error.  Values with blanks or quotes are quoted.
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

#define LOG_INFO(event, ...) log_event (G_LOG_LEVEL_INFO, LOG_MODULE, event, __VA_ARGS__)
#define LOG_WARN(event, ...) log_event (G_LOG_LEVEL_WARNING, LOG_MODULE, event, __VA_ARGS__)
#define LOG_DEBUG(event, ...) log_event (G_LOG_LEVEL_DEBUG, LOG_MODULE, event, __VA_ARGS__)
