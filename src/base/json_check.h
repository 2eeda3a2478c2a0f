/* Checks JSON text before the library parses it.
 *
 * The library's parser calls itself for each level of nesting, takes over a hundred bytes for each
 * value, wraps integers that are too large,
 * ends strings at a U+0000, and takes comments and other texts that are not JSON.  What this check
 * passes has none of these; that brackets and members stand where they may is left to the library.
 */
#pragma once

#include <glib.h>

enum
{
  JSON_DEPTH_MAX = 32,                    /* objects and arrays inside each other */
  JSON_TEXT_MAX_BYTES = 64 * 1024 * 1024, /* of one text */
  JSON_VALUES_MAX = 128 * 1024            /* values and names of members in one text */
};

typedef enum
{
  JSON_CHECK_OK,
  JSON_CHECK_TOO_LARGE,       /* more than JSON_TEXT_MAX_BYTES */
  JSON_CHECK_TOO_MANY_VALUES, /* more than JSON_VALUES_MAX */
  JSON_CHECK_TOO_DEEP,        /* nested deeper than JSON_DEPTH_MAX */
  JSON_CHECK_MALFORMED,       /* a character or word that JSON does not have */
  JSON_CHECK_BAD_STRING,      /* unterminated, a control character, or an escape that is no JSON */
  JSON_CHECK_NUL,             /* U+0000 in a string */
  JSON_CHECK_NUMBER_RANGE,    /* an integer beyond 64 bits, or a fraction that is not finite */
} json_check_result_t;

json_check_result_t json_check_text (const char *text, gsize bytes);

/* Returns what is wrong, for an error message. */
const char *json_check_reason (json_check_result_t result);
