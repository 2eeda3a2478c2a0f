/* Parses the JSON document of an environment.
 *
 * All errors are reported together, each as "POINTER: what was found; what is
 * allowed".  Unknown fields are errors.  mimosastair-environment(5) documents the
 * format.
 */
#pragma once

#include "decide/environment.h"

#include <json-glib/json-glib.h>

enum
{
  DOCUMENT_TEXT_MAX_BYTES = 256 * 1024
};

/* Returns the environment, with its version set to `version`.  On an error returns NULL and
 * appends a line per error to `problems` (of char *). */
environment_t *document_parse (JsonNode *root, gint64 version, GPtrArray *problems);

/* Parses the same from JSON text. */
environment_t *
document_parse_text (const char *text, gssize length, gint64 version, GPtrArray *problems);
