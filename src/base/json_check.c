#include "base/json_check.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

enum
{
  NUMBER_MAX_BYTES = 400 /* longer than any finite number needs */
};

/* Reads the text from its start to `end`. */
typedef struct
{
  const char *next;
  const char *end;
} cursor_t;

static bool
take (cursor_t *cursor, char c)
{
  if (cursor->next == cursor->end || *cursor->next != c)
    return false;
  cursor->next++;
  return true;
}

static bool
take_word (cursor_t *cursor, const char *word)
{
  gsize length = strlen (word);

  if ((gsize) (cursor->end - cursor->next) < length || memcmp (cursor->next, word, length) != 0)
    return false;
  cursor->next += length;
  return true;
}

/* Returns the number of digits. */
static gsize
take_digits (cursor_t *cursor)
{
  const char *start = cursor->next;

  while (cursor->next < cursor->end && g_ascii_isdigit (*cursor->next))
    cursor->next++;
  return (gsize) (cursor->next - start);
}

/* Takes the number's text.  Returns false if it is not a number of JSON. */
static bool
take_number (cursor_t *cursor, bool *is_integer)
{
  *is_integer = true;
  (void) take (cursor, '-');
  if (!take (cursor, '0') && take_digits (cursor) == 0)
    return false;
  if (take (cursor, '.'))
    {
      *is_integer = false;
      if (take_digits (cursor) == 0)
        return false;
    }
  if (take (cursor, 'e') || take (cursor, 'E'))
    {
      *is_integer = false;
      if (!take (cursor, '+'))
        (void) take (cursor, '-');
      if (take_digits (cursor) == 0)
        return false;
    }
  return cursor->next == cursor->end || !g_ascii_isalnum (*cursor->next);
}

static json_check_result_t
check_number (cursor_t *cursor)
{
  const char *start = cursor->next;
  bool is_integer;
  char text[NUMBER_MAX_BYTES + 1];
  gsize length;

  if (!take_number (cursor, &is_integer))
    return JSON_CHECK_MALFORMED;
  length = (gsize) (cursor->next - start);
  if (length > NUMBER_MAX_BYTES)
    return JSON_CHECK_NUMBER_RANGE;
  memcpy (text, start, length);
  text[length] = '\0';
  if (is_integer ? !g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, NULL, NULL)
                 : !isfinite (g_ascii_strtod (text, NULL)))
    return JSON_CHECK_NUMBER_RANGE;
  return JSON_CHECK_OK;
}

/* Takes four hexadecimal digits. */
static bool
take_code_unit (cursor_t *cursor, guint *unit)
{
  *unit = 0;
  if (cursor->end - cursor->next < 4)
    return false;
  for (guint i = 0; i < 4; i++)
    {
      int digit = g_ascii_xdigit_value (*cursor->next++);

      if (digit < 0)
        return false;
      *unit = *unit << 4 | (guint) digit;
    }
  return true;
}

/* Checks the digits of an escaped code unit of UTF-16.  A character outside the Basic Multilingual
 * Plane takes two, of which neither may stand alone. */
static json_check_result_t
check_code_unit (cursor_t *cursor)
{
  guint unit;
  guint low;

  if (!take_code_unit (cursor, &unit))
    return JSON_CHECK_BAD_STRING;
  if (unit == 0)
    return JSON_CHECK_NUL;
  if (unit < 0xd800 || unit > 0xdfff)
    return JSON_CHECK_OK;
  if (unit > 0xdbff || !take_word (cursor, "\\u") || !take_code_unit (cursor, &low) || low < 0xdc00
      || low > 0xdfff)
    return JSON_CHECK_BAD_STRING;
  return JSON_CHECK_OK;
}

/* Checks an escape, after its backslash. */
static json_check_result_t
check_escape (cursor_t *cursor)
{
  char c;

  if (cursor->next == cursor->end)
    return JSON_CHECK_BAD_STRING;
  c = *cursor->next++;
  if (c == 'u')
    return check_code_unit (cursor);
  return c != '\0' && strchr ("\"\\/bfnrt", c) != NULL ? JSON_CHECK_OK : JSON_CHECK_BAD_STRING;
}

/* Checks a string, after its opening quote. */
static json_check_result_t
check_string (cursor_t *cursor)
{
  while (cursor->next < cursor->end)
    {
      char c = *cursor->next++;
      json_check_result_t result = JSON_CHECK_OK;

      if (c == '"')
        return JSON_CHECK_OK;
      if (c == '\0')
        return JSON_CHECK_NUL;
      if ((guchar) c < ' ')
        return JSON_CHECK_BAD_STRING;
      if (c == '\\')
        result = check_escape (cursor);
      if (result != JSON_CHECK_OK)
        return result;
    }
  return JSON_CHECK_BAD_STRING;
}

json_check_result_t
json_check_text (const char *text, gsize bytes)
{
  cursor_t cursor = { .next = text, .end = text + bytes };
  guint depth = 0;
  guint values = 0;

  if (bytes > JSON_TEXT_MAX_BYTES)
    return JSON_CHECK_TOO_LARGE;
  while (cursor.next < cursor.end)
    {
      char c = *cursor.next;
      json_check_result_t result = JSON_CHECK_OK;

      if (strchr (" \t\r\n,:]}", c) == NULL && ++values > JSON_VALUES_MAX)
        return JSON_CHECK_TOO_MANY_VALUES;
      if (c == '-' || g_ascii_isdigit (c))
        result = check_number (&cursor);
      else if (take (&cursor, '"'))
        result = check_string (&cursor);
      else if (take (&cursor, '{') || take (&cursor, '['))
        result = ++depth > JSON_DEPTH_MAX ? JSON_CHECK_TOO_DEEP : JSON_CHECK_OK;
      else if (take (&cursor, '}') || take (&cursor, ']'))
        result = depth-- == 0 ? JSON_CHECK_MALFORMED : JSON_CHECK_OK;
      else if (c != '\0' && strchr (" \t\r\n,:", c) != NULL)
        cursor.next++;
      else if (!take_word (&cursor, "true") && !take_word (&cursor, "false")
               && !take_word (&cursor, "null"))
        result = JSON_CHECK_MALFORMED;
      if (result != JSON_CHECK_OK)
        return result;
    }
  return JSON_CHECK_OK;
}

const char *
json_check_reason (json_check_result_t result)
{
  switch (result)
    {
    case JSON_CHECK_OK:
      return "valid";
    case JSON_CHECK_TOO_LARGE:
      return "the text is too large";
    case JSON_CHECK_TOO_MANY_VALUES:
      return "the text has too many values";
    case JSON_CHECK_TOO_DEEP:
      return "the text is nested too deeply";
    case JSON_CHECK_MALFORMED:
      return "the text is not JSON";
    case JSON_CHECK_BAD_STRING:
      return "a string is malformed";
    case JSON_CHECK_NUL:
      return "a string holds U+0000";
    case JSON_CHECK_NUMBER_RANGE:
      return "a number is out of range";
    }
  return "unknown";
}
