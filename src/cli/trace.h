/* What logs tell of one job, task, executor or VM, and of all requests together. */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stdio.h>

/* Prints the events that mention `id` from the logs of all processes in one timeline, with
 * the changes of the deciding VM between them, the outcome and the last decision that led
 * to it.  `files` are `count` paths, none: standard input. */
bool
trace_show (const char *id, char **files, guint count, bool json, FILE *out, error_info_t *error);

/* Prints outcomes by cause, and the worst seconds. */
bool trace_summary (char **files, guint count, bool json, FILE *out, error_info_t *error);
