#include "base/log.h"
#include "daemon/daemon.h"
#include "entry/entry.h"

#include <stdio.h>
#include <string.h>

static int
usage_error (const error_info_t *error)
{
  (void) fprintf (stderr, "mimosastaird: %s\n", error->detail);
  return error_answer (ERROR_BAD_SETTING)->exit_code;
}

int
main (int argc, char **argv)
{
  options_t options = { 0 };
  settings_result_t result;
  error_info_t error = { .kind = ERROR_NONE };
  daemon_t *daemon;

  if (argc > 1 && strcmp (argv[1], "entry") == 0)
    return entry_main (argc - 1, argv + 1);
  if (!options_load (&options, argc, argv, &result, &error))
    return usage_error (&error);
  if (result == SETTINGS_HELP)
    {
      options_print_help (stdout);
      return 0;
    }
  if (result == SETTINGS_VERSION)
    {
      (void) printf ("mimosastaird %s\n", MIMOSASTAIR_VERSION);
      return 0;
    }
  if (!log_init (options.log_level))
    {
      (void) error_set (&error, ERROR_BAD_SETTING,
                        "--log-level: \"%s\" is not error, warning, info or debug",
                        options.log_level);
      return usage_error (&error);
    }
  daemon = daemon_new (&options, &error);
  if (daemon == NULL)
    return usage_error (&error);
  daemon_run (daemon);
  daemon_free (daemon);
  options_clear (&options);
  return 0;
}
