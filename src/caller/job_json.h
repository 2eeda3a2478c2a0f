/* Parses a submitted job:
 * {"class", "tasks": [{"cpu_milli","memory_mb","accelerators","run_ms","count"}]}. */
#pragma once

#include "base/error.h"
#include "decide/job.h"

#include <glib.h>

/* Returns an array of task_t with `count` copies of each element of "tasks", or NULL on an error.
 * Free `*class` with g_free(). */
GArray *job_parse (GBytes *body, char **class, error_info_t *error);
