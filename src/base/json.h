/* Helpers for json-glib: parsing of text from outside, type-checked reads of members, and output.
 */
#pragma once

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* Parses JSON text of `length` bytes (-1: NUL-terminated) that json_check_text() passes; all text
 * from outside is parsed here.  Returns NULL and sets `*reason`, a constant, if it is not valid.
 * Free with json_node_unref(). */
JsonNode *json_parse (const char *text, gssize length, const char **reason);

/* Like json_parse(); the text must be an object.  `reason` may be NULL. */
JsonNode *json_parse_object (const char *text, gssize length, const char **reason);

/* Return the value of a member, or `fallback` (NULL for containers) if the member is missing
 * or has another type.  `object` may be NULL. */
const char *json_get_string (JsonObject *object, const char *member, const char *fallback);
gint64 json_get_int (JsonObject *object, const char *member, gint64 fallback);
bool json_get_bool (JsonObject *object, const char *member, bool fallback);
JsonArray *json_get_array (JsonObject *object, const char *member);
JsonObject *json_get_object (JsonObject *object, const char *member);

/* Reads a whole number from `min` to `max`, which may be written as a fraction (2.0).  Returns
 * false if `node` is NULL or something else; `*number` is then undefined. */
bool json_node_read_int (JsonNode *node, gint64 min, gint64 max, gint64 *number);

/* Reads an integer or a string that holds one, since some writers encode 64-bit integers as
 * strings. */
gint64 json_get_int_or_string (JsonObject *object, const char *member, gint64 fallback);

/* Serializes a node as JSON.  Free with g_free(). */
char *json_node_to_text (JsonNode *node);

/* Serializes the root of the builder.  Free with g_free(). */
char *json_builder_to_string (JsonBuilder *builder);

/* Add a member to the current object of the builder. */
void json_put_string (JsonBuilder *builder, const char *member, const char *value);
void json_put_int (JsonBuilder *builder, const char *member, gint64 value);
void json_put_double (JsonBuilder *builder, const char *member, double value);
void json_put_bool (JsonBuilder *builder, const char *member, bool value);
