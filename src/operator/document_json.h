/* Parses the JSON document of an environment.
 *
 * All problems are reported together, each as "POINTER: what was found; what is
 * allowed".  An unknown field is a problem.  mimosastair-environment(5) documents the
 * format.
 */
#pragma once

#include "decide/environment.h"

#include <json-glib/json-glib.h>

enum
{
  DOCUMENT_TEXT_MAX_BYTES = 256 * 1024
};

/* Returns the environment, with its version set to `version`; free with environment_unref().  If
 * the document is invalid, returns NULL and appends a line per problem to `problems` (of char *,
 * g_malloc() memory). */
environment_t *document_parse (JsonNode *root, gint64 version, GPtrArray *problems);

/* Like document_parse(), for a document as JSON text. */
environment_t *
document_parse_text (const char *text, gssize length, gint64 version, GPtrArray *problems);
