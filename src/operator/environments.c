#define LOG_MODULE "environments"

#include "operator/environments.h"

#include "base/json.h"
#include "base/log.h"
#include "operator/document_json.h"

#include <string.h>

/* A version in force on this VM. */
typedef struct
{
  char *name;
  char *record; /* JSON as stored */
  gint64 version;
  gint64 in_force_since_ms; /* Unix time */
} document_in_force_t;

struct environments
{
  kv_t *kv;
  environment_watcher_t *config;
  char *vm;
  GHashTable *in_force; /* name -> document_in_force_t */
  environments_changed_t changed;
  void *data;
};

/* An edit in progress. */
typedef struct
{
  environments_t *environments;
  char *name;
  char *key;
  char *writer;
  char *nonce; /* unique; identifies the record that this edit wrote */
  JsonNode *document;
  gint64 expected;
  gint64 version; /* to write */
  guint attempts;
  environments_done_t done;
  void *data;
} edit_t;

static const guint max_attempts = 5;
static const guint retry_delay_ms = 100;

static void edit_read_record (edit_t *edit);

static void
document_in_force_free (gpointer data)
{
  document_in_force_t *in_force = data;

  g_free (in_force->name);
  g_free (in_force->record);
  g_free (in_force);
}

static void
edit_finish (edit_t *edit, const error_info_t *error)
{
  edit->done (error, edit->version, edit->data);
  g_free (edit->name);
  g_free (edit->key);
  g_free (edit->writer);
  g_free (edit->nonce);
  json_node_unref (edit->document);
  g_free (edit);
}

static void
put_in_force (environments_t *environments,
              const char *name,
              const char *text,
              gint64 version,
              environment_t *environment)
{
  document_in_force_t *in_force = g_new0 (document_in_force_t, 1);

  in_force->name = g_strdup (name);
  in_force->record = g_strdup (text);
  in_force->version = version;
  in_force->in_force_since_ms = g_get_real_time () / 1000;
  g_hash_table_replace (environments->in_force, in_force->name, in_force);
  environments->changed (environment, environments->data);
}

static void
record_received (const char *name, const char *text, gint64 mod_revision G_GNUC_UNUSED, void *data)
{
  environments_t *environments = data;
  const document_in_force_t *in_force = g_hash_table_lookup (environments->in_force, name);
  g_autoptr (JsonNode) root = json_parse_object (text, -1, NULL);
  JsonObject *record = root != NULL ? json_node_get_object (root) : NULL;
  gint64 version = json_get_int (record, "version", 0);
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (environment_t) environment = NULL;

  if (in_force != NULL && in_force->version >= version)
    return;
  if (record != NULL && json_object_has_member (record, "document"))
    environment = document_parse (json_object_get_member (record, "document"), version, problems);
  if (environment == NULL || strcmp (environment->name, name) != 0)
    {
      LOG_WARN ("document_unreadable", "environment=%s version=%" G_GINT64_FORMAT, name, version);
      return;
    }
  put_in_force (environments, name, text, version, environment);
}

environments_t *
environments_new (kv_t *kv, const char *vm, environments_changed_t changed, void *data)
{
  environments_t *environments = g_new0 (environments_t, 1);

  environments->kv = kv;
  environments->vm = g_strdup (vm);
  environments->changed = changed;
  environments->data = data;
  environments->in_force
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, document_in_force_free);
  environments->config = environment_watcher_new (kv, record_received, environments);
  return environments;
}

void
environments_free (environments_t *environments)
{
  if (environments == NULL)
    return;
  environment_watcher_free (environments->config);
  g_hash_table_unref (environments->in_force);
  g_free (environments->vm);
  g_free (environments);
}

const char *
environments_get_record (const environments_t *environments, const char *name)
{
  const document_in_force_t *in_force = g_hash_table_lookup (environments->in_force, name);

  return in_force != NULL ? in_force->record : NULL;
}

static char *
edit_to_record (const edit_t *edit)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_int (builder, "version", edit->version);
  json_put_string (builder, "writer", edit->writer);
  json_put_string (builder, "through", edit->environments->vm);
  json_put_string (builder, "nonce", edit->nonce);
  json_put_int (builder, "time_ms", g_get_real_time () / 1000);
  json_builder_set_member_name (builder, "document");
  json_builder_add_value (builder, json_node_copy (edit->document));
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
edit_fail_unreachable (edit_t *edit)
{
  error_info_t error;

  (void) error_set (&error, ERROR_UNREACHABLE,
                    "the key-value service does not answer; whether version %" G_GINT64_FORMAT
                    " was written shows when it does",
                    edit->version);
  edit_finish (edit, &error);
}

static gboolean
edit_retry_timer_fired (gpointer data)
{
  edit_read_record (data);
  return G_SOURCE_REMOVE;
}

static void
edit_schedule_retry (edit_t *edit)
{
  edit->attempts++;
  if (edit->attempts >= max_attempts)
    edit_fail_unreachable (edit);
  else
    g_timeout_add (retry_delay_ms, edit_retry_timer_fired, edit);
}

static void
edit_written (const kv_reply_t *reply, void *data)
{
  edit_t *edit = data;
  const error_info_t no_error = { .kind = ERROR_NONE };

  switch (reply->status)
    {
    case KV_APPLIED:
      LOG_INFO ("document_written", "environment=%s version=%" G_GINT64_FORMAT " writer=%s",
                edit->name, edit->version, edit->writer);
      edit_finish (edit, &no_error);
      return;
    case KV_REJECTED:
    case KV_UNAVAILABLE:
    case KV_LOST:
      /* The retry reads the record, whose nonce shows whether this write was applied. */
      edit_schedule_retry (edit);
      return;
    }
}

static void
edit_conflict (edit_t *edit, JsonObject *record, gint64 version)
{
  error_info_t error;

  (void) error_set (&error, ERROR_CONFLICT,
                    "environment %s is at version %" G_GINT64_FORMAT
                    ", written by %s, and not at %" G_GINT64_FORMAT,
                    edit->name, version, json_get_string (record, "writer", "nobody"),
                    edit->expected);
  edit_finish (edit, &error);
}

static void
edit_record_read (const kv_reply_t *reply, void *data)
{
  edit_t *edit = data;
  const kv_entry_t *entry = reply->entries->len > 0 ? g_ptr_array_index (reply->entries, 0) : NULL;
  g_autoptr (JsonNode) root = NULL;
  JsonObject *record = NULL;
  g_autofree char *text = NULL;
  const error_info_t no_error = { .kind = ERROR_NONE };
  kv_op_t op = { .key = edit->key, .expect = KV_EXPECT_REVISION };
  gint64 version;

  if (reply->status != KV_APPLIED)
    {
      edit_schedule_retry (edit);
      return;
    }
  if (entry != NULL)
    root = json_parse_object (entry->value, (gssize) entry->length, NULL);
  record = root != NULL ? json_node_get_object (root) : NULL;
  version = json_get_int (record, "version", 0);
  if (strcmp (json_get_string (record, "nonce", ""), edit->nonce) == 0)
    {
      edit->version = version;
      edit_finish (edit, &no_error);
      return;
    }
  if (edit->expected >= 0 && version != edit->expected)
    {
      edit_conflict (edit, record, version);
      return;
    }
  edit->version = version + 1;
  text = edit_to_record (edit);
  op.value = text;
  op.revision = entry != NULL ? entry->mod_revision : 0;
  kv_txn (edit->environments->kv, &op, 1, edit_written, edit);
}

static void
edit_read_record (edit_t *edit)
{
  kv_range (edit->environments->kv, edit->key, false, edit_record_read, edit);
}

void
environments_apply (environments_t *environments,
                    const char *name,
                    JsonNode *document,
                    gint64 expected,
                    const char *writer,
                    environments_done_t done,
                    void *data)
{
  edit_t *edit = g_new0 (edit_t, 1);

  edit->environments = environments;
  edit->name = g_strdup (name);
  edit->key = g_strconcat (CONFIG_PREFIX, name, NULL);
  edit->writer = g_strdup (writer);
  edit->nonce = g_uuid_string_random ();
  edit->document = json_node_copy (document);
  edit->expected = expected;
  edit->done = done;
  edit->data = data;
  edit_read_record (edit);
}

void
environments_describe (const environments_t *environments, JsonBuilder *builder)
{
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, environments->in_force);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const document_in_force_t *in_force = value;

      json_builder_begin_object (builder);
      json_put_string (builder, "name", in_force->name);
      json_put_int (builder, "version", in_force->version);
      json_put_int (builder, "in_force_since_ms", in_force->in_force_since_ms);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}
