/* Identifies a text by its contents. */
#pragma once

#include <glib.h>

enum
{
  TEXT_DIGEST_BYTES = 16
};

/* The first half of the text's SHA-256: no two texts that anybody knows have the same. */
typedef struct
{
  guint8 bytes[TEXT_DIGEST_BYTES];
} text_digest_t;

text_digest_t text_digest_compute (const char *text);
