/* Reads a submitted job from JSON:
 * {"class", "tasks": [{"cpu_milli","memory_mb","accelerators","run_ms","count"}]}. */
#pragma once

#include "base/error.h"
#include "decide/job.h"

#include <glib.h>

/* Returns the tasks (task_t), or NULL.  `*class` is g_malloc'd. */
GArray *job_parse (GBytes *body, char **class, error_info_t *error);
