#include "base/json.h"

#include "base/json_check.h"

#include <math.h>
#include <string.h>

/* Up to here, a double holds each whole number. */
static const double json_max_whole_double = 9007199254740992.0;

JsonNode *
json_parse (const char *text, gssize length, const char **reason)
{
  g_autoptr (JsonParser) parser = NULL;
  gsize bytes = length >= 0 ? (gsize) length : strlen (text);
  json_check_result_t result = json_check_text (text, bytes);
  JsonNode *root;

  *reason = json_check_reason (result);
  if (result != JSON_CHECK_OK)
    return NULL;
  *reason = json_check_reason (JSON_CHECK_MALFORMED);
  if (bytes == 0)
    return NULL;
  parser = json_parser_new_immutable ();
  if (!json_parser_load_from_data (parser, text, (gssize) bytes, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  return root != NULL ? json_node_ref (root) : NULL;
}

JsonNode *
json_parse_object (const char *text, gssize length, const char **reason)
{
  const char *ignored = NULL;
  const char **why = reason != NULL ? reason : &ignored;
  JsonNode *root = json_parse (text, length, why);

  if (root == NULL || JSON_NODE_HOLDS_OBJECT (root))
    return root;
  *why = "the text is not a JSON object";
  json_node_unref (root);
  return NULL;
}

static JsonNode *
get_member_of_type (JsonObject *object, const char *member, JsonNodeType type)
{
  JsonNode *node = object != NULL ? json_object_get_member (object, member) : NULL;

  return node != NULL && json_node_get_node_type (node) == type ? node : NULL;
}

const char *
json_get_string (JsonObject *object, const char *member, const char *fallback)
{
  JsonNode *node = get_member_of_type (object, member, JSON_NODE_VALUE);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return fallback;
  return json_node_get_string (node);
}

gint64
json_get_int (JsonObject *object, const char *member, gint64 fallback)
{
  JsonNode *node = get_member_of_type (object, member, JSON_NODE_VALUE);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return fallback;
  return json_node_get_int (node);
}

gint64
json_get_int_or_string (JsonObject *object, const char *member, gint64 fallback)
{
  const char *text = json_get_string (object, member, NULL);
  gint64 number;

  if (text == NULL)
    return json_get_int (object, member, fallback);
  return g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, &number, NULL) ? number
                                                                                    : fallback;
}

bool
json_node_read_int (JsonNode *node, gint64 min, gint64 max, gint64 *number)
{
  double fraction;

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return false;
  if (json_node_get_value_type (node) == G_TYPE_INT64)
    *number = json_node_get_int (node);
  else if (json_node_get_value_type (node) == G_TYPE_DOUBLE)
    {
      fraction = json_node_get_double (node);
      if (!(fraction >= -json_max_whole_double && fraction <= json_max_whole_double)
          || fraction != floor (fraction))
        return false;
      *number = (gint64) fraction;
    }
  else
    return false;
  return *number >= min && *number <= max;
}

bool
json_get_bool (JsonObject *object, const char *member, bool fallback)
{
  JsonNode *node = get_member_of_type (object, member, JSON_NODE_VALUE);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return fallback;
  return json_node_get_boolean (node);
}

JsonArray *
json_get_array (JsonObject *object, const char *member)
{
  JsonNode *node = get_member_of_type (object, member, JSON_NODE_ARRAY);

  return node != NULL ? json_node_get_array (node) : NULL;
}

JsonObject *
json_get_object (JsonObject *object, const char *member)
{
  JsonNode *node = get_member_of_type (object, member, JSON_NODE_OBJECT);

  return node != NULL ? json_node_get_object (node) : NULL;
}

/* Whether the text at `point`, which is ".0", ends a number with an exponent. */
static bool
follows_exponent (const char *text, const char *point)
{
  const char *digits = point;

  while (digits > text && g_ascii_isdigit (digits[-1]))
    digits--;
  return digits < point && digits - text >= 2 && (digits[-1] == '+' || digits[-1] == '-')
         && digits[-2] == 'e';
}

/* The library writes U+001F as it is, and ".0" behind an exponent (1e+30.0).  Names of tasks and
 * decimals in strings have a ".0" too, but seldom one that looks like that. */
static bool
needs_repair (const char *text)
{
  if (strchr (text, '\x1f') != NULL)
    return true;
  for (const char *point = strstr (text, ".0"); point != NULL; point = strstr (point + 1, ".0"))
    {
      if (follows_exponent (text, point))
        return true;
    }
  return false;
}

/* Copies a string of JSON from its opening quote on; returns the text behind it. */
static const char *
repair_string (const char *text, GString *repaired)
{
  g_string_append_c (repaired, *text++);
  while (*text != '\0' && *text != '"')
    {
      if (*text == '\x1f')
        g_string_append (repaired, "\\u001f");
      else
        g_string_append_c (repaired, *text);
      if (*text++ == '\\' && *text != '\0')
        g_string_append_c (repaired, *text++);
    }
  if (*text != '\0')
    g_string_append_c (repaired, *text++);
  return text;
}

static char *
repair (const char *text)
{
  GString *repaired = g_string_sized_new (strlen (text));
  bool is_in_exponent = false;

  while (*text != '\0')
    {
      if (*text == '"')
        {
          text = repair_string (text, repaired);
          continue;
        }
      if (is_in_exponent && g_str_has_prefix (text, ".0"))
        {
          text += strlen (".0");
          continue;
        }
      if (*text == 'e')
        is_in_exponent = true;
      else if (!g_ascii_isdigit (*text) && *text != '+' && *text != '-')
        is_in_exponent = false;
      g_string_append_c (repaired, *text++);
    }
  return g_string_free (repaired, FALSE);
}

char *
json_node_to_text (JsonNode *node)
{
  g_autofree char *text = json_to_string (node, FALSE);

  return needs_repair (text) ? repair (text) : g_steal_pointer (&text);
}

char *
json_builder_to_string (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);

  return json_node_to_text (root);
}

void
json_put_string (JsonBuilder *builder, const char *member, const char *value)
{
  json_builder_set_member_name (builder, member);
  json_builder_add_string_value (builder, value);
}

void
json_put_int (JsonBuilder *builder, const char *member, gint64 value)
{
  json_builder_set_member_name (builder, member);
  json_builder_add_int_value (builder, value);
}

void
json_put_double (JsonBuilder *builder, const char *member, double value)
{
  json_builder_set_member_name (builder, member);
  json_builder_add_double_value (builder, value);
}

void
json_put_bool (JsonBuilder *builder, const char *member, bool value)
{
  json_builder_set_member_name (builder, member);
  json_builder_add_boolean_value (builder, value);
}
