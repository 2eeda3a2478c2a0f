#include "base/process.h"
#include "base/program.h"
#include "base/signals.h"
#include "daemon/daemon.h"
#include "entry/entry.h"

#include <string.h>

int
main (int argc, char **argv)
{
  daemon_options_t options = { 0 };
  settings_result_t result = SETTINGS_LOADED;
  bool is_loaded;
  int status;
  error_info_t error = { .kind = ERROR_NONE };
  daemon_t *daemon;

  signals_prepare ();
  process_open_standard_descriptors ();
  if (argc > 1 && strcmp (argv[1], "entry") == 0)
    return entry_main (argc - 1, argv + 1);
  is_loaded = daemon_options_load (&options, argc, argv, &result, &error);
  status = program_process_options (is_loaded, result, options.log_level, daemon_options_print_help,
                                    &error);
  if (status >= 0)
    return status;
  daemon = daemon_new (&options, &error);
  if (daemon == NULL)
    return program_start_error (&error);
  if (!daemon_run (daemon, &error))
    return program_start_error (&error);
  daemon_free (daemon);
  daemon_options_clear (&options);
  return 0;
}
