/* Analysis of logs: a timeline of one job, task, executor or VM, and a summary of all
 * submissions and runs. */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stdio.h>

/* Prints a timeline of the events that mention `id` in the logs of all processes, with the
 * leader changes between them, the outcome and the last event that caused it.  `files` are
 * `count` paths; standard input is read if `count` is 0.  `json` selects JSON instead of text.
 * Returns false with ERROR_BAD_REQUEST if a log cannot be read or no event mentions `id`. */
bool
trace_show (const char *id, char **files, guint count, bool json, FILE *out, error_info_t *error);

/* Prints the number of outcomes by cause, and the seconds with the most refused submissions
 * and lost runs.  `files`, `count` and `json` are as in trace_show().  Returns false with
 * ERROR_BAD_REQUEST if a log cannot be read. */
bool trace_summary (char **files, guint count, bool json, FILE *out, error_info_t *error);

/* Prints for each queue and range of widths how many gangs waited and were placed, how long, and
 * what passed over them; and for each workspace how many steps waited for which reason.  `files`,
 * `count` and `json` are as in trace_show().  Returns false with ERROR_BAD_REQUEST if a log cannot
 * be read. */
bool trace_waits (char **files, guint count, bool json, FILE *out, error_info_t *error);
