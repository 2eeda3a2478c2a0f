/* Mutations of valid texts, for tests of what reads text from outside. */
#pragma once

#include <glib.h>

/* Returns a copy of `valid` with some changes, or none.  The same numbers give the same text. */
GString *mutated_text_new (GRand *random_source, const char *valid);
