/* Settings from flags and environment variables, checked at start.
 *
 * Each setting has a flag and an environment variable; the flag wins.  The
 * variable's name is "MIMOSASTAIR_" and the flag in upper case with '_' for '-'.
 */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>

typedef enum
{
  SETTING_TEXT,    /* char **, g_malloc'd; what it held before is freed */
  SETTING_NUMBER,  /* gint64 *, within min and max */
  SETTING_DECIMAL, /* gint64 *, thousandths of a decimal number, min and max in these */
  SETTING_ADDRESS, /* char **, "IP:PORT", or "" when it is optional */
  SETTING_SWITCH   /* gboolean * */
} setting_kind_t;

typedef struct
{
  const char *flag; /* without the leading "--" */
  setting_kind_t kind;
  void *value;
  const char *fallback; /* text form of the default; NULL: must be given */
  gint64 min;
  gint64 max;
  const char *placeholder; /* shown in the help, e.g. "MS" */
  const char *help;
} setting_t;

typedef enum
{
  SETTINGS_READY,
  SETTINGS_HELP,   /* --help was given */
  SETTINGS_VERSION /* --version was given */
} settings_result_t;

/* Fills each setting's value from `argv`, the environment and the defaults.
 * Returns false with ERROR_BAD_SETTING and one line that names the flag, the
 * value and what is allowed. */
bool settings_load (const setting_t *settings,
                    size_t count,
                    int argc,
                    char **argv,
                    settings_result_t *result,
                    error_info_t *error);

/* Prints flags, variables, ranges and defaults. */
void settings_print_help (const setting_t *settings, size_t count, FILE *out);

/* Splits "IP:PORT" ("[v6]:PORT" too).  `*host` is g_malloc'd. */
bool settings_split_address (const char *text, char **host, guint16 *port);
