/* Small helpers over json-glib: checked reads of members, and text output. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* Parses an object; NULL when `text` is not JSON or not an object.  Free with
 * json_node_unref(). */
JsonNode *json_parse_object (const char *text, gssize length);

/* Read a member of the wanted type, or return the fallback. */
const char *json_get_text (JsonObject *object, const char *member, const char *fallback);
gint64 json_get_number (JsonObject *object, const char *member, gint64 fallback);
bool json_get_flag (JsonObject *object, const char *member, bool fallback);
JsonArray *json_get_list (JsonObject *object, const char *member);
JsonObject *json_get_object (JsonObject *object, const char *member);

/* Some writers encode 64-bit numbers as text; reads both forms. */
gint64 json_get_number_or_text (JsonObject *object, const char *member, gint64 fallback);

/* Returns the builder's root as text; free with g_free(). */
char *json_builder_text (JsonBuilder *builder);

void json_put_text (JsonBuilder *builder, const char *member, const char *value);
void json_put_number (JsonBuilder *builder, const char *member, gint64 value);
void json_put_real (JsonBuilder *builder, const char *member, double value);
void json_put_flag (JsonBuilder *builder, const char *member, bool value);
