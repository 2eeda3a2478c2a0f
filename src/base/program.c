#define LOG_MODULE "program"

#include "base/program.h"

#include "base/fatal_signal.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/process.h"

#include <unistd.h>

int
program_usage_error (const error_info_t *error)
{
  (void) fprintf (stderr, "mimosastaird: %s\n", error->detail);
  return error_properties (ERROR_BAD_SETTING)->exit_code;
}

int
program_start_error (const error_info_t *error)
{
  LOG_WARN ("start_failed", "reason=\"%s\"", error->detail);
  log_flush ();
  return program_usage_error (error);
}

int
program_process_options (bool is_loaded,
                         settings_result_t result,
                         const char *log_level,
                         void (*print_help) (FILE *out),
                         error_info_t *error)
{
  if (!is_loaded)
    return program_usage_error (error);
  if (result == SETTINGS_HELP)
    {
      print_help (stdout);
      return 0;
    }
  if (result == SETTINGS_VERSION)
    {
      (void) printf ("mimosastaird %s\n", MIMOSASTAIR_VERSION);
      return 0;
    }
  if (log_init (log_level))
    {
      fatal_signal_install ();
      LOG_INFO ("starting", "version=%s pid=%d", MIMOSASTAIR_VERSION, (int) getpid ());
      process_log_limits ();
      settings_log_adjusted ();
      loop_watch_turns ();
      log_flush ();
      return -1;
    }
  (void) error_set (error, ERROR_BAD_SETTING,
                    "--log-level: \"%s\" is not error, warning, info or debug", log_level);
  return program_usage_error (error);
}
