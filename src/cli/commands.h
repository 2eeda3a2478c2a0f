/* Commands of the command-line tool. */
#pragma once

#include "base/error.h"

#include <glib.h>

#define COMMAND_OPERATOR_ADDRESS "127.0.0.1:8081" /* default of --operator */

/* Values of the flags, which all commands share. */
typedef struct
{
  char *operator_address;
  char *caller_address;
  char *customer;
  char *key;
  char *writer;
  char *environment;
  char *against;
  gint64 deadline_ms;
  gint64 expected;
  gint64 interval_ms;
  gint64 rounds;
  gboolean json;
} command_options_t;

typedef struct
{
  const char *group; /* first word of the command */
  const char *verb;  /* second word of the command, or NULL */
  guint arguments;   /* number of required arguments */
  const char *usage; /* names of the arguments */
  const char *help;
  /* `arguments` is NULL-terminated.  Returns false and leaves ERROR_NONE if the command has
   * reported errors in what it checks. */
  bool (*run) (char **arguments, const command_options_t *options, error_info_t *error);
  bool is_variadic; /* whether more than `arguments` arguments are allowed */
} command_t;

/* All commands; `group` is NULL in the last element. */
extern const command_t commands[];
