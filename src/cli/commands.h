/* Commands of the command-line tool. */
#pragma once

#include "base/error.h"

#include <glib.h>

/* Flags common to the commands. */
typedef struct
{
  char *operator_address;
  char *caller_address;
  char *customer;
  char *key;
  char *writer;
  char *environment;
  gint64 deadline_ms;
  gint64 expected;
  gint64 interval_ms;
  gint64 rounds;
  gboolean json;
} command_options_t;

typedef struct
{
  const char *group; /* first word */
  const char *verb;  /* second word, or NULL */
  guint arguments;   /* further words */
  const char *usage; /* of those words */
  const char *help;
  /* The list of arguments ends with NULL. */
  bool (*run) (char **arguments, const command_options_t *options, error_info_t *error);
  bool is_variadic; /* words than `arguments` */
} command_t;

/* All commands; the last has no group. */
extern const command_t commands[];
