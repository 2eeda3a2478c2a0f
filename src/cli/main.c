#include "base/settings.h"
#include "cli/commands.h"

#include <stdio.h>
#include <string.h>

enum
{
  EXIT_FINDINGS = 1, /* a command has run, and what it checked has errors */
  MAX_WORDS = 256    /* of a command line; enough for the log files of that many processes */
};

static command_options_t options;

static const setting_t settings[] = {
  { .flag = "operator",
    .kind = SETTING_ADDRESS,
    .value = &options.operator_address,
    .fallback = COMMAND_OPERATOR_ADDRESS,
    .placeholder = "IP:PORT",
    .help = "operator address of an entry VM" },
  { .flag = "caller",
    .kind = SETTING_ADDRESS,
    .value = &options.caller_address,
    .fallback = "127.0.0.1:8080",
    .placeholder = "IP:PORT",
    .help = "caller address of an entry VM" },
  { .flag = "customer",
    .kind = SETTING_STRING,
    .value = &options.customer,
    .fallback = "",
    .max = 63,
    .placeholder = "NAME",
    .help = "customer of a request or job" },
  { .flag = "key",
    .kind = SETTING_STRING,
    .value = &options.key,
    .fallback = "",
    .max = 128,
    .placeholder = "KEY",
    .help = "idempotency key of a request or job" },
  { .flag = "deadline-ms",
    .kind = SETTING_INTEGER,
    .value = &options.deadline_ms,
    .fallback = "0",
    .max = 600000,
    .placeholder = "MS",
    .help = "deadline of a request; 0: that of its class" },
  { .flag = "expected",
    .kind = SETTING_INTEGER,
    .value = &options.expected,
    .fallback = "-1",
    .min = -1,
    .max = G_MAXINT64,
    .placeholder = "VERSION",
    .help
    = "apply only if this is the current version; 0: only if the environment is new; -1: always" },
  { .flag = "writer",
    .kind = SETTING_STRING,
    .value = &options.writer,
    .fallback = "operator",
    .min = 1,
    .max = 63,
    .placeholder = "NAME",
    .help = "name of the writer, reported to others whose concurrent apply fails" },
  { .flag = "interval-ms",
    .kind = SETTING_INTEGER,
    .value = &options.interval_ms,
    .fallback = "1000",
    .min = 50,
    .max = 60000,
    .placeholder = "MS",
    .help = "interval between updates of top" },
  { .flag = "rounds",
    .kind = SETTING_INTEGER,
    .value = &options.rounds,
    .fallback = "0",
    .max = 1000000,
    .placeholder = "COUNT",
    .help = "number of updates of top; 0: unlimited" },
  { .flag = "against",
    .kind = SETTING_STRING,
    .value = &options.against,
    .fallback = "",
    .max = 4096,
    .placeholder = "FILE",
    .help = "desired state in force, with which check compares" },
  { .flag = "json",
    .kind = SETTING_SWITCH,
    .value = &options.json,
    .fallback = "0",
    .help = "print JSON" },
};

static void
print_help (FILE *out)
{
  (void) fprintf (out, "usage: mimosastair COMMAND [ARGUMENT...] [FLAG...]\n\n"
                       "Command-line tool of the mimosastair cluster scheduler.\n\ncommands:\n");
  for (const command_t *command = commands; command->group != NULL; command++)
    {
      g_autofree char *words
          = g_strjoin (" ", command->group, command->verb != NULL ? command->verb : command->usage,
                       command->verb != NULL ? command->usage : NULL, NULL);

      (void) fprintf (out, "  %-34s %s\n", words, command->help);
    }
  (void) fprintf (out, "\nflags:\n");
  settings_print_help (settings, G_N_ELEMENTS (settings), out);
}

static const command_t *
find_command (char **words, int count)
{
  for (const command_t *command = commands; command->group != NULL; command++)
    {
      int name_words = command->verb != NULL ? 2 : 1;

      int min_words = name_words + (int) command->arguments;

      if (count < min_words || (count > min_words && !command->is_variadic)
          || g_strcmp0 (words[0], command->group) != 0)
        continue;
      if (command->verb == NULL || g_strcmp0 (words[1], command->verb) == 0)
        return command;
    }
  return NULL;
}

static int
fail (const error_info_t *error)
{
  (void) fprintf (stderr, "mimosastair: %s\n", error->detail);
  return error_properties (error->kind)->exit_code;
}

int
main (int argc, char **argv)
{
  error_info_t error = { .kind = ERROR_NONE };
  settings_result_t result;
  const command_t *command;
  char *words[MAX_WORDS + 1] = { NULL };
  int count = 0;

  while (count < argc - 1 && count < MAX_WORDS && argv[count + 1][0] != '-')
    {
      words[count] = argv[count + 1];
      count++;
    }
  /* The flags follow the words.  The parser expects the program name as the first argument. */
  argv[count] = argv[0];
  if (!settings_load (settings, G_N_ELEMENTS (settings), argc - count, argv + count, &result,
                      &error))
    return fail (&error);
  if (result == SETTINGS_HELP)
    {
      print_help (stdout);
      return 0;
    }
  if (result == SETTINGS_VERSION)
    {
      (void) printf ("mimosastair %s\n", MIMOSASTAIR_VERSION);
      return 0;
    }
  command = count > 0 ? find_command (words, count) : NULL;
  if (command == NULL)
    {
      (void) error_set (&error, ERROR_BAD_SETTING,
                        "unknown command or wrong number of arguments; see --help");
      return fail (&error);
    }
  if (command->run (words + (command->verb != NULL ? 2 : 1), &options, &error))
    return 0;
  return error.kind == ERROR_NONE ? EXIT_FINDINGS : fail (&error);
}
