/* Texts of jobs that a VM has from start orders of one connection, so that the leader leaves them
 * out of later ones.
 *
 * The leader and the VM each have a table and apply the same orders to it, in the order in which
 * they were sent, so both have the same texts without telling each other.  Texts are identified by
 * their contents alone: a table that has gone wrong lacks a text, but has no other in its place,
 * whatever jobs use the same id.
 *
 * A table keeps the texts that were used last, and drops the others while it is over a limit.  So a
 * table with lower limits, or one that was emptied, has no text that the other lacks.
 */
#pragma once

#include "decide/text_digest.h"

#include <glib.h>
#include <stdbool.h>

enum
{
  TEXT_TABLE_MAX_TEXTS = 512,
  TEXT_TABLE_MAX_BYTES = 512 * 1024,
  /* Shorter texts are always sent: the digest that replaces one takes about as many bytes, and an
   * entry of the table more. */
  TEXT_TABLE_MIN_TEXT_BYTES = 64
};

typedef struct text_table text_table_t;

/* The table keeps up to `max_texts` texts of TEXT_TABLE_MAX_BYTES in total. */
text_table_t *text_table_new (guint max_texts);
void text_table_free (text_table_t *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (text_table_t, text_table_free)

void text_table_clear (text_table_t *table);

/* Returns whether an order may leave the text out. */
bool text_table_has (const text_table_t *table, const text_digest_t *digest);

/* Applies an order, with or without its text, on the leader's side: `bytes` is the text's length.
 * Call it for orders that were sent only. */
void text_table_note (text_table_t *table, const text_digest_t *digest, gsize bytes);

/* Applies an order that has its text, on the VM's side; the text is copied. */
void text_table_store (text_table_t *table, const char *text);

/* Applies an order without its text, on the VM's side.  Returns the text, which is valid until the
 * table changes, or NULL if the table lacks it. */
const char *text_table_use (text_table_t *table, const text_digest_t *digest);
