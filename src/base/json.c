#include "base/json.h"

JsonNode *
json_parse_object (const char *text, gssize length)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonNode *root;

  if (!json_parser_load_from_data (parser, text, length, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  return json_node_ref (root);
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

char *
json_builder_to_string (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);

  return json_to_string (root, FALSE);
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
