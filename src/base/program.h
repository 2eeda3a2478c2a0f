/* How a daemon answers its command line. */
#pragma once

#include "base/settings.h"

/* Status with which the process is to end once its settings were loaded (`is_loaded`, with
 * `error` set when not): after help, the version or one line on a bad setting; -1: it goes
 * on, and logs at `log_level`. */
int program_answer (bool is_loaded,
                    settings_result_t result,
                    const char *log_level,
                    void (*print_help) (FILE *out),
                    error_info_t *error);

/* Prints the error's line; the status to end with. */
int program_usage_error (const error_info_t *error);
