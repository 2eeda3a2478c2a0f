#define LOG_MODULE "settings"

#include "base/settings.h"

#include "base/address.h"
#include "base/log.h"

#include <argtable2.h>
#include <gio/gio.h>
#include <math.h>
#include <string.h>

enum
{
  ARGTABLE_ERRORS = 20
};

static GPtrArray *adjusted; /* char *, a log line for each value outside its range; NULL: none */

static char *
variable_name (const char *flag)
{
  g_autofree char *upper = g_ascii_strup (flag, -1);

  g_strdelimit (upper, "-", '_');
  return g_strconcat ("MIMOSASTAIR_", upper, NULL);
}

static void
replace_string (char **value, const char *text)
{
  g_free (*value);
  *value = g_strdup (text);
}

enum
{
  DECIMAL_SCALE = 1000
};

/* Reads a decimal number, an exponent allowed. */
static bool
read_number (const char *text, double *number)
{
  char *end = NULL;

  if (text[0] == '\0' || text[strspn (text, "+-.0123456789eE")] != '\0')
    return false;
  *number = g_ascii_strtod (text, &end);
  return end != text && *end == '\0';
}

static double
setting_scale (const setting_t *setting)
{
  return setting->kind == SETTING_DECIMAL ? DECIMAL_SCALE : 1;
}

static bool
number_error (const setting_t *setting, const char *text, error_info_t *error)
{
  double scale = setting_scale (setting);

  return error_set (error, ERROR_BAD_SETTING, "--%s: \"%s\" is not a number from %.15g to %.15g",
                    setting->flag, text, (double) setting->min / scale,
                    (double) setting->max / scale);
}

/* Stores the nearest bound for a number outside the range, or fails. */
static bool
store_bound (const setting_t *setting, const char *text, gint64 bound, error_info_t *error)
{
  if (!setting->takes_nearest_bound)
    return number_error (setting, text, error);
  if (adjusted == NULL)
    adjusted = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (adjusted, g_strdup_printf ("flag=%s value=%s bound=%.15g", setting->flag, text,
                                              (double) bound / setting_scale (setting)));
  *(gint64 *) setting->value = bound;
  return true;
}

/* Integers are rounded down, decimal numbers to the nearest thousandth. */
static bool
store_number (const setting_t *setting, const char *text, error_info_t *error)
{
  double number;

  if (!read_number (text, &number))
    return number_error (setting, text, error);
  if (setting->kind == SETTING_INTEGER)
    number = floor (number);
  else
    number *= DECIMAL_SCALE;
  if (number < (double) setting->min)
    return store_bound (setting, text, setting->min, error);
  if (number > (double) setting->max)
    return store_bound (setting, text, setting->max, error);
  *(gint64 *) setting->value = (gint64) floor (number + 0.5);
  return true;
}

static bool
store_address (const setting_t *setting, const char *text, error_info_t *error)
{
  g_autofree char *host = NULL;
  guint16 port;
  bool is_optional = setting->fallback != NULL && setting->fallback[0] == '\0';

  if (!(is_optional && text[0] == '\0') && !address_split (text, &host, &port))
    return error_set (error, ERROR_BAD_SETTING,
                      "--%s: \"%s\" is not an address of the form IP:PORT, port 0 to 65535",
                      setting->flag, text);
  replace_string (setting->value, text);
  return true;
}

static bool
store_string (const setting_t *setting, const char *text, error_info_t *error)
{
  gsize length = strlen (text);

  if (length < (gsize) setting->min || length > (gsize) setting->max)
    return error_set (error, ERROR_BAD_SETTING,
                      "--%s: \"%s\" must be %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                      " bytes long",
                      setting->flag, text, setting->min, setting->max);
  replace_string (setting->value, text);
  return true;
}

static bool
store_switch (const setting_t *setting, const char *text, error_info_t *error)
{
  bool is_on = strcmp (text, "1") == 0 || g_ascii_strcasecmp (text, "true") == 0;

  if (!is_on && strcmp (text, "0") != 0 && g_ascii_strcasecmp (text, "false") != 0)
    return error_set (error, ERROR_BAD_SETTING, "--%s: \"%s\" is not 0, 1, false or true",
                      setting->flag, text);
  *(gboolean *) setting->value = is_on;
  return true;
}

static bool
store (const setting_t *setting, const char *text, error_info_t *error)
{
  if (text == NULL)
    return error_set (error, ERROR_BAD_SETTING, "--%s: a value is required (%s)", setting->flag,
                      setting->help);
  switch (setting->kind)
    {
    case SETTING_STRING:
      return store_string (setting, text, error);
    case SETTING_INTEGER:
    case SETTING_DECIMAL:
      return store_number (setting, text, error);
    case SETTING_ADDRESS:
      return store_address (setting, text, error);
    case SETTING_SWITCH:
      return store_switch (setting, text, error);
    }
  return false;
}

/* True if the text stands for no value: "false" for a number, ":" for an address whose parts have
 * none. */
static bool
is_absent (const setting_t *setting, const char *text)
{
  if (text[0] == '\0')
    return true;
  switch (setting->kind)
    {
    case SETTING_INTEGER:
    case SETTING_DECIMAL:
      return strcmp (text, "false") == 0;
    case SETTING_ADDRESS:
      return strcmp (text, ":") == 0;
    case SETTING_STRING:
    case SETTING_SWITCH:
      return false;
    }
  return false;
}

/* Returns the last value that the flag was given; NULL: none. */
static const char *
flag_value (const setting_t *setting, void *parsed)
{
  const struct arg_str *strings = parsed;

  for (int i = strings->count - 1; i >= 0; i--)
    {
      if (!is_absent (setting, strings->sval[i]))
        return strings->sval[i];
    }
  return NULL;
}

static const char *
variable_value (const setting_t *setting)
{
  g_autofree char *variable = variable_name (setting->flag);
  const char *text = g_getenv (variable);

  return text != NULL && !is_absent (setting, text) ? text : NULL;
}

static bool
store_all (const setting_t *settings, size_t count, void **table, error_info_t *error)
{
  for (size_t i = 0; i < count; i++)
    {
      const char *text = flag_value (&settings[i], table[i]);

      if (text == NULL)
        text = variable_value (&settings[i]);
      if (text == NULL)
        text = settings[i].fallback;
      if (!store (&settings[i], text, error))
        return false;
    }
  return true;
}

static bool
is_flag (const setting_t *settings, size_t count, const char *name, gsize length)
{
  for (size_t i = 0; i < count; i++)
    {
      if (settings[i].kind != SETTING_SWITCH && strlen (settings[i].flag) == length
          && strncmp (name, settings[i].flag, length) == 0)
        return true;
    }
  return false;
}

/* Returns the number of arguments at `argv` that are a flag without a value, which argtable
 * refuses: "--FLAG=", or "--FLAG" and "". */
static int
empty_flag_length (const setting_t *settings, size_t count, char **argv)
{
  gsize length = strlen (argv[0]);

  if (!g_str_has_prefix (argv[0], "--"))
    return 0;
  if (argv[0][length - 1] == '=')
    return is_flag (settings, count, argv[0] + 2, length - 3) ? 1 : 0;
  if (argv[1] != NULL && argv[1][0] == '\0')
    return is_flag (settings, count, argv[0] + 2, length - 2) ? 2 : 0;
  return 0;
}

/* Returns the arguments that give a value, followed by NULL.  The strings are those of `argv`. */
static char **
arguments_with_values (
    const setting_t *settings, size_t count, int argc, char **argv, int *kept_count)
{
  char **kept = g_new0 (char *, argc + 1);
  int skipped;

  *kept_count = 0;
  for (int i = 0; i < argc; i += MAX (skipped, 1))
    {
      skipped = i > 0 ? empty_flag_length (settings, count, argv + i) : 0;
      if (skipped == 0)
        kept[(*kept_count)++] = argv[i];
    }
  return kept;
}

/* Returns the argument of a setting for argtable.  A switch has an optional value, so that a wrong
 * one is reported by store_switch(); argtable would not name the flag. */
static struct arg_str *
argument_new (const setting_t *setting, int max_count)
{
  struct arg_str *argument
      = arg_strn (NULL, setting->flag, setting->placeholder, 0, max_count, NULL);

  if (setting->kind != SETTING_SWITCH)
    return argument;
  argument->hdr.flag = ARG_HASOPTVALUE;
  for (int i = 0; i < max_count; i++)
    argument->sval[i] = "1"; /* kept for a flag without a value */
  return argument;
}

/* Reports the first error of argtable.  argtable starts each line with a program name, for
 * which "arguments" is given. */
static bool
argument_error (struct arg_end *end, error_info_t *error)
{
  g_autofree char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);

  if (stream == NULL)
    return error_set (error, ERROR_BAD_SETTING,
                      "invalid arguments; the details could not be formatted");
  arg_print_errors (stream, end, "arguments");
  (void) fclose (stream);
  g_strdelimit (text, "\n", '\0');
  return error_set (error, ERROR_BAD_SETTING, "%s", text);
}

/* Stores the value of a switch that has no variable; it stays as it is if the flag is not given. */
static bool
store_flag (const setting_t *setting, void *parsed, error_info_t *error)
{
  const char *text = flag_value (setting, parsed);

  return text == NULL || store_switch (setting, text, error);
}

bool
settings_load (const setting_t *settings,
               size_t count,
               int argc,
               char **argv,
               settings_result_t *result,
               error_info_t *error)
{
  int kept_count;
  g_autofree char **kept = arguments_with_values (settings, count, argc, argv, &kept_count);
  g_autofree void **table = g_new0 (void *, count + 4);
  gboolean is_help = FALSE;
  gboolean is_version = FALSE;
  const setting_t help = { .flag = "help", .kind = SETTING_SWITCH, .value = &is_help };
  const setting_t version = { .flag = "version", .kind = SETTING_SWITCH, .value = &is_version };
  /* argtable requires a value after a letter whose value is optional. */
  struct arg_lit *help_letter = arg_lit0 ("h", NULL, NULL);
  struct arg_end *end = arg_end (ARGTABLE_ERRORS);
  bool ok;

  for (size_t i = 0; i < count; i++)
    table[i] = argument_new (&settings[i], MAX (argc, 1));
  table[count] = argument_new (&help, MAX (argc, 1));
  table[count + 1] = argument_new (&version, MAX (argc, 1));
  table[count + 2] = help_letter;
  table[count + 3] = end;

  int errors = arg_parse (kept_count, kept, table);
  ok = store_flag (&help, table[count], error) && store_flag (&version, table[count + 1], error);
  *result = is_version ? SETTINGS_VERSION : SETTINGS_LOADED;
  if (is_help || help_letter->count > 0)
    *result = SETTINGS_HELP;
  if (ok && *result == SETTINGS_LOADED)
    ok = errors > 0 ? argument_error (end, error) : store_all (settings, count, table, error);
  arg_freetable (table, count + 4);
  return ok;
}

void
settings_log_adjusted (void)
{
  for (guint i = 0; adjusted != NULL && i < adjusted->len; i++)
    LOG_WARN ("setting_adjusted", "%s", (const char *) g_ptr_array_index (adjusted, i));
  g_clear_pointer (&adjusted, g_ptr_array_unref);
}

static void
print_setting (const setting_t *setting, FILE *out)
{
  g_autofree char *variable = variable_name (setting->flag);
  const char *placeholder = setting->placeholder != NULL ? setting->placeholder : "";

  (void) fprintf (out, "  --%s%s%s\n        %s", setting->flag, placeholder[0] != '\0' ? "=" : "",
                  placeholder, setting->help);
  if (setting->kind == SETTING_INTEGER)
    (void) fprintf (out, "; %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, setting->min, setting->max);
  if (setting->kind == SETTING_DECIMAL)
    (void) fprintf (out, "; %g to %g", (double) setting->min / DECIMAL_SCALE,
                    (double) setting->max / DECIMAL_SCALE);
  if (setting->fallback == NULL)
    (void) fprintf (out, " (required)");
  else if (setting->fallback[0] != '\0' && setting->kind != SETTING_SWITCH)
    (void) fprintf (out, " (default %s)", setting->fallback);
  (void) fprintf (out, " [%s]\n", variable);
}

void
settings_print_help (const setting_t *settings, size_t count, FILE *out)
{
  for (size_t i = 0; i < count; i++)
    print_setting (&settings[i], out);
  (void) fprintf (out,
                  "  --help\n        print this help\n  --version\n        print the version\n");
}
