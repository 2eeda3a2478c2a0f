#include "mutated_text.h"

#include "base/json_check.h"

enum
{
  MUTATIONS_MAX = 6, /* of one text */
  NESTING_MAX = 3 * JSON_DEPTH_MAX
};

static guint
below (GRand *random_source, guint bound)
{
  return (guint) g_rand_int_range (random_source, 0, (gint32) bound);
}

static const char *const tokens[] = { "[",
                                      "]",
                                      "{",
                                      "}",
                                      "\"",
                                      "\\",
                                      ",",
                                      ":",
                                      ".",
                                      "-",
                                      "e9",
                                      "0x1",
                                      "null",
                                      "true",
                                      "{\"a\":",
                                      "\\u0000",
                                      "\\u001f",
                                      "\\ud800",
                                      "1e999",
                                      "99999999999999999999",
                                      "-9223372036854775808",
                                      "2147483648",
                                      "4294967296",
                                      "1.5",
                                      "\xff",
                                      "\xc3\xa9",
                                      "\n",
                                      "/*",
                                      "'",
                                      "65536",
                                      "::" };

static void
mutate_once (GRand *random_source, GString *text)
{
  guint at = below (random_source, (guint) text->len + 1);
  guint wanted = below (random_source, 16);
  guint length = MIN (wanted, (guint) text->len - at);
  const char *token = tokens[below (random_source, G_N_ELEMENTS (tokens))];

  switch (below (random_source, 6))
    {
    case 0:
      g_string_erase (text, at, length);
      break;
    case 1:
      g_string_insert (text, at, token);
      break;
    case 2:
      g_string_erase (text, at, length);
      g_string_insert (text, at, token);
      break;
    case 3:
      if (at < text->len)
        text->str[at] = (char) below (random_source, 256);
      break;
    case 4:
      for (guint i = below (random_source, NESTING_MAX); i > 0; i--)
        g_string_insert (text, at, token);
      break;
    default:
      g_string_truncate (text, at);
      break;
    }
}

GString *
mutated_text_new (GRand *random_source, const char *valid)
{
  GString *text = g_string_new (valid);

  for (guint i = below (random_source, MUTATIONS_MAX + 1); i > 0; i--)
    mutate_once (random_source, text);
  return text;
}
