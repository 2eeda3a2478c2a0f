/* Settings from flags and environment variables, validated at startup.
 *
 * Each setting has a flag and an environment variable; the flag takes precedence.  The
 * variable is named "MIMOSASTAIR_" followed by the flag in upper case with '_' for '-'.  A flag
 * or variable without a value counts as not given.  The last value of a repeated flag holds.
 */
#pragma once

#include "base/error.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>

/* Type of a setting.  Loading a string or an address frees the previous value. */
typedef enum
{
  SETTING_STRING,  /* char **, g_malloc() memory; min and max bound its length in bytes */
  SETTING_INTEGER, /* gint64 *, from min to max; fractions are rounded down; "false": no value */
  SETTING_DECIMAL, /* gint64 *, number in thousandths, as are min and max; "false": no value */
  SETTING_ADDRESS, /* char **, "IP:PORT"; "" is allowed if it is the default; ":": no value */
  SETTING_SWITCH   /* gboolean *; 0, 1, false or true; the flag alone is 1 */
} setting_kind_t;

typedef struct
{
  const char *flag; /* without the leading "--" */
  setting_kind_t kind;
  void *value;
  const char *fallback; /* default value as a string; NULL: the setting is required */
  gint64 min;
  gint64 max;
  bool takes_nearest_bound; /* for a number outside the range; otherwise that is an error */
  const char *placeholder;  /* shown in the help, e.g. "MS" */
  const char *help;
} setting_t;

typedef enum
{
  SETTINGS_LOADED,
  SETTINGS_HELP,   /* --help was given */
  SETTINGS_VERSION /* --version was given */
} settings_result_t;

/* Sets the value of each setting from `argv`, the environment or its default.  If --help or
 * --version is given, only `*result` is set.  On failure returns false and sets
 * ERROR_BAD_SETTING with one line that names the flag, the value and the allowed range. */
bool settings_load (const setting_t *settings,
                    size_t count,
                    int argc,
                    char **argv,
                    settings_result_t *result,
                    error_info_t *error);

/* Logs each number that settings_load() has replaced by the nearest bound, and forgets them. */
void settings_log_adjusted (void);

/* Prints the flags with their variables, ranges and defaults. */
void settings_print_help (const setting_t *settings, size_t count, FILE *out);
