/* Startup of a daemon: help, version and invalid settings. */
#pragma once

#include "base/settings.h"

/* Handles the outcome of settings_load(): prints the help, the version or a line on an invalid
 * setting, and returns the exit status of the process.  Returns -1 if the process should
 * continue; logging is then initialized at `log_level`, and `event=starting` and the process's
 * limits are logged.  `is_loaded` is what settings_load() returned; if it is false, `error` holds
 * the reason. */
int program_process_options (bool is_loaded,
                             settings_result_t result,
                             const char *log_level,
                             void (*print_help) (FILE *out),
                             error_info_t *error);

/* Prints `error` to standard error and returns the exit status of the process. */
int program_usage_error (const error_info_t *error);

/* Like program_usage_error(), once logging is initialized: logs `error` too. */
int program_start_error (const error_info_t *error);
