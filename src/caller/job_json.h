/* Parses a submitted job:
 * {"class", "tasks": [{"cpu_milli","memory_mb","accelerators","run_ms","count"}]}. */
#pragma once

#include "base/error.h"
#include "decide/job.h"

#include <glib.h>

/* Returns an array of task_t with `count` copies of each element of "tasks".  Free it with
 * g_array_unref() and `*class` with g_free().  Returns NULL with ERROR_BAD_REQUEST if `body` is
 * invalid, or with ERROR_TOO_LARGE if it has more than JOB_TASKS_MAX tasks. */
GArray *job_parse (GBytes *body, char **class, error_info_t *error);
