/* Reads an environment's document from JSON.
 *
 * Every error is listed at once, each as "POINTER: what was found; what is
 * allowed".  Unknown fields are errors.  mimosastair-environment(5) describes the
 * same form.
 */
#pragma once

#include "decide/environment.h"

#include <json-glib/json-glib.h>

enum
{
  DOCUMENT_TEXT_MAX_BYTES = 256 * 1024
};

/* Returns the environment, or NULL with one line per error in `problems` (char *,
 * appended).  `version` is put into it. */
environment_t *document_parse (JsonNode *root, gint64 version, GPtrArray *problems);

/* The same from text. */
environment_t *
document_parse_text (const char *text, gssize length, gint64 version, GPtrArray *problems);
