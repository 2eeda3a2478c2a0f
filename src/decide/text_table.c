#include "decide/text_table.h"

#include "base/list.h"

#include <string.h>

typedef struct
{
  text_digest_t digest; /* first: an entry is its own key */
  list_node_t node;
  gsize bytes; /* of the text */
  char *text;  /* NULL on the leader's side */
} entry_t;

struct text_table
{
  GHashTable *entries; /* set of entry_t */
  list_node_t recent;  /* entry_t, the one used last first */
  guint max_texts;
  gsize bytes; /* of all texts */
};

static guint
hash_digest (gconstpointer key)
{
  guint hash;

  memcpy (&hash, ((const text_digest_t *) key)->bytes, sizeof hash);
  return hash;
}

static gboolean
digests_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (text_digest_t)) == 0;
}

static void
drop_entry (text_table_t *table, entry_t *entry)
{
  g_hash_table_remove (table->entries, entry);
  list_remove (&entry->node);
  table->bytes -= entry->bytes;
  g_free (entry->text);
  g_free (entry);
}

static entry_t *
find_entry (const text_table_t *table, const text_digest_t *digest)
{
  return g_hash_table_lookup (table->entries, digest);
}

static void
make_most_recent (text_table_t *table, entry_t *entry)
{
  list_remove (&entry->node);
  list_push_front (&table->recent, &entry->node);
}

static entry_t *
add_entry (text_table_t *table, const text_digest_t *digest, gsize bytes)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->digest = *digest;
  entry->bytes = bytes;
  table->bytes += bytes;
  g_hash_table_add (table->entries, entry);
  list_push_front (&table->recent, &entry->node);
  return entry;
}

/* A text over the limit drops all, itself included: what stays is always what was used last. */
static void
enforce_limits (text_table_t *table)
{
  while (table->bytes > TEXT_TABLE_MAX_BYTES
         || g_hash_table_size (table->entries) > table->max_texts)
    drop_entry (table, LIST_ENTRY (table->recent.prev, entry_t, node));
}

bool
text_table_has (const text_table_t *table, const text_digest_t *digest)
{
  return find_entry (table, digest) != NULL;
}

void
text_table_note (text_table_t *table, const text_digest_t *digest, gsize bytes)
{
  entry_t *entry = find_entry (table, digest);

  if (bytes < TEXT_TABLE_MIN_TEXT_BYTES)
    return;
  if (entry != NULL)
    make_most_recent (table, entry);
  else
    (void) add_entry (table, digest, bytes);
  enforce_limits (table);
}

void
text_table_store (text_table_t *table, const char *text)
{
  gsize bytes = strlen (text);
  text_digest_t digest;
  entry_t *entry;

  if (bytes < TEXT_TABLE_MIN_TEXT_BYTES)
    return;
  digest = text_digest_compute (text);
  entry = find_entry (table, &digest);
  if (entry != NULL)
    make_most_recent (table, entry);
  else
    add_entry (table, &digest, bytes)->text = g_strdup (text);
  enforce_limits (table);
}

const char *
text_table_use (text_table_t *table, const text_digest_t *digest)
{
  entry_t *entry = find_entry (table, digest);

  if (entry == NULL)
    return NULL;
  make_most_recent (table, entry);
  return entry->text;
}

void
text_table_clear (text_table_t *table)
{
  while (!list_is_empty (&table->recent))
    drop_entry (table, LIST_ENTRY (table->recent.next, entry_t, node));
}

text_table_t *
text_table_new (guint max_texts)
{
  text_table_t *table = g_new0 (text_table_t, 1);

  table->entries = g_hash_table_new (hash_digest, digests_equal);
  table->max_texts = max_texts;
  list_init (&table->recent);
  return table;
}

void
text_table_free (text_table_t *table)
{
  if (table == NULL)
    return;
  text_table_clear (table);
  g_hash_table_unref (table->entries);
  g_free (table);
}
