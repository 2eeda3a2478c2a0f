/* Parses a submitted job:
 * {"class", "tasks": [{"cpu_milli","memory_mb","accelerators","run_ms","count"}]}. */
#pragma once

#include "base/error.h"
#include "decide/job.h"

#include <glib.h>

/* Returns one task_t per task, with an entry's `count` expanded, or NULL on an error.  `*class`
 * must be freed with g_free(). */
GArray *job_parse (GBytes *body, char **class, error_info_t *error);
