#define LOG_MODULE "claims"

#include "records/claims.h"

#include "base/json.h"
#include "base/log.h"

#include <string.h>

struct claims
{
  kv_t *kv;
  char *key;
  claimant_t self;
  claims_changed_t changed;
  claims_drain_t drain;
  void *data;
  GArray *table;       /* claim_t, as last read or written */
  GArray *proposed;    /* claim_t, as in the write in flight */
  gint64 mod_revision; /* of the table; -1: unknown until the next read */
  GPtrArray *names;    /* of char *: the table must contain them */
  guint wanted;
  member_list_t *list;
  guint timer;
  bool is_in_flight;
  bool is_closing;
};

static const guint poll_interval_ms = 2000;
static const guint retry_interval_ms = 150;

static void read_table (claims_t *claims);

static gboolean
timer_fired (gpointer data)
{
  claims_t *claims = data;

  claims->timer = 0;
  read_table (claims);
  return G_SOURCE_REMOVE;
}

static void
schedule_read (claims_t *claims, guint ms)
{
  if (claims->timer != 0)
    g_source_remove (claims->timer);
  /* Jitter separates the retries of VMs whose writes conflicted. */
  claims->timer = g_timeout_add ((guint) g_random_int_range ((gint32) ms / 2, (gint32) ms),
                                 timer_fired, claims);
}

static char *
serialize_table (const GArray *table)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "claims");
  json_builder_begin_array (builder);
  for (guint i = 0; i < table->len; i++)
    {
      const claim_t *claim = &g_array_index (table, claim_t, i);

      json_builder_begin_object (builder);
      json_put_string (builder, "name", claim->name);
      json_put_string (builder, "vm", claim->vm);
      json_put_string (builder, "incarnation", claim->incarnation);
      json_put_string (builder, "address", claim->address);
      json_put_int (builder, "list_revision", claim->list_revision);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
parse_claim (JsonObject *object, claim_t *claim)
{
  g_strlcpy (claim->name, json_get_string (object, "name", ""), sizeof claim->name);
  g_strlcpy (claim->vm, json_get_string (object, "vm", ""), sizeof claim->vm);
  g_strlcpy (claim->incarnation, json_get_string (object, "incarnation", ""),
             sizeof claim->incarnation);
  g_strlcpy (claim->address, json_get_string (object, "address", ""), sizeof claim->address);
  claim->list_revision = json_get_int (object, "list_revision", 0);
}

/* Loads the table from its entry; an absent key is an empty table. */
static void
load_entry (claims_t *claims, const kv_entry_t *entry)
{
  g_autoptr (JsonNode) root = NULL;
  JsonArray *array = NULL;

  g_array_set_size (claims->table, 0);
  claims->mod_revision = entry != NULL ? entry->mod_revision : 0;
  if (claims->mod_revision == 0)
    return;
  root = json_parse_object (entry->value, (gssize) entry->length, NULL);
  if (root != NULL)
    array = json_get_array (json_node_get_object (root), "claims");
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      claim_t claim = { .list_revision = 0 };

      parse_claim (json_array_get_object_element (array, i), &claim);
      g_array_append_val (claims->table, claim);
    }
}

static void
copy_table (GArray *to, const GArray *from)
{
  g_array_set_size (to, 0);
  g_array_append_vals (to, from->data, from->len);
}

/* Reports the table without the claims to be released, which this VM must no longer use. */
static void
report_table (claims_t *claims)
{
  g_autoptr (GArray) kept = g_array_new (FALSE, TRUE, sizeof (claim_t));

  copy_table (kept, claims->table);
  (void) claim_release (kept, &claims->self, claims->wanted);
  claims->changed (kept, claims->data);
}

static void
write_done (const kv_reply_t *reply, void *data)
{
  claims_t *claims = data;

  claims->is_in_flight = false;
  if (claims->is_closing)
    {
      claims_free (claims);
      return;
    }
  switch (reply->status)
    {
    case KV_APPLIED:
      copy_table (claims->table, claims->proposed);
      claims->mod_revision = reply->revision;
      LOG_INFO ("claimed", "key=%s held=%u wanted=%u", claims->key, claims_held (claims),
                claims->wanted);
      report_table (claims);
      schedule_read (claims, poll_interval_ms);
      break;
    case KV_REJECTED:
      load_entry (claims, reply->entries->len > 0 ? g_ptr_array_index (reply->entries, 0) : NULL);
      report_table (claims);
      schedule_read (claims, retry_interval_ms);
      break;
    case KV_UNAVAILABLE:
    case KV_LOST:
      /* The next read shows whether the table was written. */
      claims->mod_revision = -1;
      schedule_read (claims, poll_interval_ms);
      break;
    }
}

/* Fills `proposed` with the table that this VM wants to write.  Returns true if it differs from the
 * last table. */
static bool
propose_table (claims_t *claims)
{
  guint changes = 0;

  copy_table (claims->proposed, claims->table);
  for (guint i = 0; i < claims->names->len; i++)
    changes += claim_add (claims->proposed, g_ptr_array_index (claims->names, i));
  if (claims->list != NULL)
    changes += claim_acquire (claims->proposed, &claims->self, claims->list, claims->wanted);
  changes += claim_release (claims->proposed, &claims->self, claims->wanted);
  return changes > 0;
}

/* Returns true if no claim is to be released, or those to be released have been drained. */
static bool
may_release_claims (claims_t *claims)
{
  g_autoptr (GArray) kept = g_array_new (FALSE, TRUE, sizeof (claim_t));

  copy_table (kept, claims->table);
  if (claims->drain == NULL || claim_release (kept, &claims->self, claims->wanted) == 0)
    return true;
  return claims->drain (kept, claims->data);
}

static void
write_if_changed (claims_t *claims)
{
  g_autofree char *text = NULL;
  kv_op_t op = { .key = claims->key, .expect = KV_EXPECT_REVISION };

  if (!propose_table (claims))
    {
      schedule_read (claims, poll_interval_ms);
      return;
    }
  if (!may_release_claims (claims))
    {
      schedule_read (claims, retry_interval_ms);
      return;
    }
  text = serialize_table (claims->proposed);
  op.value = text;
  op.revision = claims->mod_revision;
  claims->is_in_flight = true;
  kv_txn (claims->kv, &op, 1, write_done, claims);
}

static void
read_done (const kv_reply_t *reply, void *data)
{
  claims_t *claims = data;

  claims->is_in_flight = false;
  if (claims->is_closing)
    {
      claims_free (claims);
      return;
    }
  if (reply->status != KV_APPLIED)
    {
      schedule_read (claims, poll_interval_ms);
      return;
    }
  load_entry (claims, reply->entries->len > 0 ? g_ptr_array_index (reply->entries, 0) : NULL);
  report_table (claims);
  write_if_changed (claims);
}

static void
read_table (claims_t *claims)
{
  if (claims->is_in_flight)
    return;
  claims->is_in_flight = true;
  kv_range (claims->kv, claims->key, false, read_done, claims);
}

claims_t *
claims_new (kv_t *kv,
            const char *key,
            const claimant_t *self,
            claims_changed_t changed,
            claims_drain_t drain,
            void *data)
{
  claims_t *claims = g_new0 (claims_t, 1);

  claims->kv = kv;
  claims->key = g_strdup (key);
  claims->self = *self;
  claims->changed = changed;
  claims->drain = drain;
  claims->data = data;
  claims->table = g_array_new (FALSE, TRUE, sizeof (claim_t));
  claims->proposed = g_array_new (FALSE, TRUE, sizeof (claim_t));
  claims->names = g_ptr_array_new_with_free_func (g_free);
  claims->mod_revision = -1;
  return claims;
}

void
claims_free (claims_t *claims)
{
  if (claims == NULL)
    return;
  if (claims->timer != 0)
    g_source_remove (claims->timer);
  claims->timer = 0;
  claims->is_closing = true;
  if (claims->is_in_flight)
    return;
  g_array_unref (claims->table);
  g_array_unref (claims->proposed);
  g_ptr_array_unref (claims->names);
  member_list_free (claims->list);
  g_free (claims->key);
  g_free (claims);
}

void
claims_set_wanted (claims_t *claims, const char *const *names, gsize count, guint wanted)
{
  g_ptr_array_set_size (claims->names, 0);
  for (gsize i = 0; i < count; i++)
    g_ptr_array_add (claims->names, g_strdup (names[i]));
  claims->wanted = wanted;
  schedule_read (claims, 2);
}

void
claims_set_member_list (claims_t *claims, const member_list_t *list)
{
  member_list_free (claims->list);
  claims->list = member_list_new (list->revision);
  g_array_append_vals (claims->list->members, list->members->data, list->members->len);
}

guint
claims_held (const claims_t *claims)
{
  return claim_count_held (claims->table, &claims->self);
}

const GArray *
claims_table (const claims_t *claims)
{
  return claims->table;
}
