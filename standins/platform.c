/* Stand-in for the platform: a key-value service with a subset of the etcd v3 JSON API,
 * and the list of VMs, which can be served with a delay.  All state is kept in memory.
 *
 *   POST /v3/kv/range /v3/kv/put /v3/kv/txn /v3/lease/grant /v3/lease/keepalive
 *        /v3/lease/revoke /v3/watch
 *   GET  /v1/vms              the list as it was list_delay_ms ago
 *   POST /v1/vms              add or update VMs: {"vms": [...]}
 *   POST /v1/vms/remove       {"ids": [...]}
 *   POST /faults              {"latency_ms","down","lose_replies","writes_per_s",
 *                              "reads_per_s","list_delay_ms","lapse_leases"}
 *   GET  /counters
 *
 * Faults:
 *   latency_ms     delay before a call to the key-value service is carried out
 *   down           closes the connections of calls, reads of the list and watches, without a
 *                  reply
 *   lose_replies   number of writes that are carried out but whose reply is lost
 *   writes_per_s, reads_per_s   rate limits; calls above them get 429
 *   list_delay_ms  age of the list of VMs that is served
 *   lapse_leases   revokes all leases at once, expired or not
 */
#include "base/json.h"
#include "base/settings.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

typedef struct
{
  char *value;
  gsize length;
  gint64 mod_revision;
  gint64 create_revision;
  gint64 lease;
} record_t;

typedef struct
{
  gint64 ttl_s;
  gint64 expires_at_us;
} lease_t;

typedef struct
{
  SoupServerMessage *message;
  char *key;
  char *end;
} watch_t;

/* One version of the list of VMs; `text` is the JSON that is served. */
typedef struct
{
  gint64 published_us;
  gint64 revision;
  char *text;
} list_version_t;

typedef struct
{
  gint64 latency_ms;
  bool down;
  gint64 lose_replies; /* number of writes whose reply is still to be lost */
  gint64 writes_per_s; /* 0: unlimited */
  gint64 reads_per_s;
  gint64 list_delay_ms;
} faults_t;

typedef struct
{
  GTree *records;
  GHashTable *leases;
  GPtrArray *watches;
  gint64 revision;
  gint64 last_lease;
  GHashTable *vms; /* id -> JsonNode */
  GPtrArray *list_versions;
  gint64 list_revision;
  faults_t faults;
  gint64 writes;
  gint64 reads;
  gint64 others;
  gint64 lists;
  gint64 refused;
  gint64 window_s; /* the second in which the window_* calls are counted */
  gint64 window_writes;
  gint64 window_reads;
  gint64 peak_calls; /* largest number in one second since the last change of the faults */
  gint64 window_calls;
} platform_t;

/* A call to the key-value service that is held back for `latency_ms`. */
typedef struct
{
  platform_t *platform;
  SoupServerMessage *message;
  char *path;
} delayed_call_t;

static const gsize value_max_bytes = 1024 * 1024;
static const guint lease_check_interval_ms = 100;

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_free (record->value);
  g_free (record);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  return strcmp (a, b);
}

static char *
get_decoded (JsonObject *object, const char *member)
{
  gsize size = 0;
  g_autofree guchar *bytes = g_base64_decode (json_get_string (object, member, ""), &size);

  return g_strndup ((const char *) bytes, size);
}

static void
put_encoded (JsonBuilder *builder, const char *member, const char *text)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *) text, strlen (text));

  json_put_string (builder, member, encoded);
}

static void
put_int_as_string (JsonBuilder *builder, const char *member, gint64 number)
{
  g_autofree char *text = g_strdup_printf ("%" G_GINT64_FORMAT, number);

  json_put_string (builder, member, text);
}

static void
put_header (const platform_t *platform, JsonBuilder *builder)
{
  json_builder_set_member_name (builder, "header");
  json_builder_begin_object (builder);
  put_int_as_string (builder, "revision", platform->revision);
  json_builder_end_object (builder);
}

static void
put_record (JsonBuilder *builder, const char *key, const record_t *record)
{
  json_builder_begin_object (builder);
  put_encoded (builder, "key", key);
  if (record != NULL)
    put_encoded (builder, "value", record->value);
  if (record != NULL)
    put_int_as_string (builder, "mod_revision", record->mod_revision);
  json_builder_end_object (builder);
}

static bool
is_in_range (const char *key, const char *from, const char *end)
{
  if (end[0] == '\0')
    return strcmp (key, from) == 0;
  return strcmp (key, from) >= 0 && strcmp (key, end) < 0;
}

typedef struct
{
  JsonBuilder *builder;
  const char *from;
  const char *end;
} range_t;

static gboolean
put_if_in_range (gpointer key, gpointer value, gpointer data)
{
  const range_t *range = data;

  if (is_in_range (key, range->from, range->end))
    put_record (range->builder, key, value);
  return range->end[0] != '\0' && strcmp (key, range->end) >= 0;
}

static void
put_range (const platform_t *platform, JsonBuilder *builder, JsonObject *request)
{
  g_autofree char *from = get_decoded (request, "key");
  g_autofree char *end = get_decoded (request, "range_end");
  range_t range = { .builder = builder, .from = from, .end = end };

  json_builder_set_member_name (builder, "kvs");
  json_builder_begin_array (builder);
  g_tree_foreach (platform->records, put_if_in_range, &range);
  json_builder_end_array (builder);
}

static void
notify_watches (platform_t *platform, const char *key, const record_t *record)
{
  for (guint i = 0; i < platform->watches->len; i++)
    {
      watch_t *watch = g_ptr_array_index (platform->watches, i);
      g_autoptr (JsonBuilder) builder = NULL;
      g_autofree char *text = NULL;
      g_autofree char *line = NULL;

      if (!is_in_range (key, watch->key, watch->end))
        continue;
      builder = json_builder_new ();
      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "result");
      json_builder_begin_object (builder);
      put_header (platform, builder);
      json_builder_set_member_name (builder, "events");
      json_builder_begin_array (builder);
      json_builder_begin_object (builder);
      json_put_string (builder, "type", record != NULL ? "PUT" : "DELETE");
      json_builder_set_member_name (builder, "kv");
      put_record (builder, key, record);
      json_builder_end_object (builder);
      json_builder_end_array (builder);
      json_builder_end_object (builder);
      json_builder_end_object (builder);
      text = json_builder_to_string (builder);
      line = g_strconcat (text, "\n", NULL);
      soup_message_body_append (soup_server_message_get_response_body (watch->message),
                                SOUP_MEMORY_COPY, line, strlen (line));
      soup_server_message_unpause (watch->message);
    }
}

static void
write_record (platform_t *platform, const char *key, char *value, gint64 lease)
{
  record_t *record = g_new0 (record_t, 1);
  const record_t *old = g_tree_lookup (platform->records, key);

  record->value = value;
  record->length = strlen (value);
  record->mod_revision = platform->revision;
  record->create_revision = old != NULL ? old->create_revision : platform->revision;
  record->lease = lease;
  g_tree_replace (platform->records, g_strdup (key), record);
  notify_watches (platform, key, record);
}

static void
delete_record (platform_t *platform, const char *key)
{
  if (g_tree_remove (platform->records, key))
    notify_watches (platform, key, NULL);
}

static bool
comparison_holds (const platform_t *platform, JsonObject *comparison)
{
  g_autofree char *key = get_decoded (comparison, "key");
  const record_t *record = g_tree_lookup (platform->records, key);
  const char *target = json_get_string (comparison, "target", "");

  if (strcmp (target, "VALUE") == 0)
    {
      g_autofree char *value = get_decoded (comparison, "value");

      return record != NULL && strcmp (record->value, value) == 0;
    }
  if (strcmp (target, "CREATE") == 0)
    return (record != NULL ? record->create_revision : 0)
           == json_get_int_or_string (comparison, "create_revision", 0);
  return (record != NULL ? record->mod_revision : 0)
         == json_get_int_or_string (comparison, "mod_revision", 0);
}

static bool
exceeds_value_limit (JsonArray *ops)
{
  for (guint i = 0; ops != NULL && i < json_array_get_length (ops); i++)
    {
      JsonObject *put = json_get_object (json_array_get_object_element (ops, i), "request_put");
      g_autofree char *value = put != NULL ? get_decoded (put, "value") : NULL;

      if (value != NULL && strlen (value) > value_max_bytes)
        return true;
    }
  return false;
}

static void
apply_operation (platform_t *platform, JsonBuilder *builder, JsonObject *op)
{
  JsonObject *put = json_get_object (op, "request_put");
  JsonObject *delete_range = json_get_object (op, "request_delete_range");
  JsonObject *range = json_get_object (op, "request_range");

  json_builder_begin_object (builder);
  if (put != NULL)
    {
      g_autofree char *key = get_decoded (put, "key");

      write_record (platform, key, get_decoded (put, "value"),
                    json_get_int_or_string (put, "lease", 0));
    }
  if (delete_range != NULL)
    {
      g_autofree char *key = get_decoded (delete_range, "key");

      delete_record (platform, key);
    }
  if (range != NULL)
    {
      json_builder_set_member_name (builder, "response_range");
      json_builder_begin_object (builder);
      put_range (platform, builder, range);
      json_builder_end_object (builder);
    }
  json_builder_end_object (builder);
}

static bool
apply_transaction (platform_t *platform, JsonBuilder *builder, JsonObject *request)
{
  JsonArray *comparisons = json_get_array (request, "compare");
  JsonArray *ops;
  bool holds = true;

  for (guint i = 0; comparisons != NULL && i < json_array_get_length (comparisons); i++)
    holds = holds && comparison_holds (platform, json_array_get_object_element (comparisons, i));
  ops = json_get_array (request, holds ? "success" : "failure");
  if (holds && exceeds_value_limit (ops))
    return false;
  if (holds)
    platform->revision++;
  json_put_bool (builder, "succeeded", holds);
  json_builder_set_member_name (builder, "responses");
  json_builder_begin_array (builder);
  for (guint i = 0; ops != NULL && i < json_array_get_length (ops); i++)
    apply_operation (platform, builder, json_array_get_object_element (ops, i));
  json_builder_end_array (builder);
  return true;
}

static void
grant_lease (platform_t *platform, JsonBuilder *builder, JsonObject *request)
{
  lease_t *lease = g_new0 (lease_t, 1);
  gint64 id = ++platform->last_lease;

  lease->ttl_s = json_get_int_or_string (request, "TTL", 60);
  lease->expires_at_us = g_get_monotonic_time () + lease->ttl_s * G_USEC_PER_SEC;
  g_hash_table_insert (platform->leases, GINT_TO_POINTER ((gint) id), lease);
  put_int_as_string (builder, "ID", id);
  put_int_as_string (builder, "TTL", lease->ttl_s);
}

static void
renew_lease (const platform_t *platform, JsonBuilder *builder, JsonObject *request)
{
  gint64 id = json_get_int_or_string (request, "ID", 0);
  lease_t *lease = g_hash_table_lookup (platform->leases, GINT_TO_POINTER ((gint) id));

  if (lease != NULL)
    lease->expires_at_us = g_get_monotonic_time () + lease->ttl_s * G_USEC_PER_SEC;
  put_int_as_string (builder, "ID", id);
  put_int_as_string (builder, "TTL", lease != NULL ? lease->ttl_s : 0);
}

typedef struct
{
  gint64 lease;
  GPtrArray *keys;
} leased_keys_t;

static gboolean
collect_leased_key (gpointer key, gpointer value, gpointer data)
{
  leased_keys_t *leased = data;

  if (((record_t *) value)->lease == leased->lease)
    g_ptr_array_add (leased->keys, g_strdup (key));
  return FALSE;
}

static void
revoke_lease (platform_t *platform, gint64 id)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  leased_keys_t leased = { .lease = id, .keys = keys };

  g_hash_table_remove (platform->leases, GINT_TO_POINTER ((gint) id));
  g_tree_foreach (platform->records, collect_leased_key, &leased);
  if (keys->len > 0)
    platform->revision++;
  for (guint i = 0; i < keys->len; i++)
    delete_record (platform, g_ptr_array_index (keys, i));
}

static void
revoke_leases (platform_t *platform, bool include_unexpired)
{
  g_autoptr (GList) ids = g_hash_table_get_keys (platform->leases);
  gint64 now_us = g_get_monotonic_time ();

  for (const GList *link = ids; link != NULL; link = link->next)
    {
      const lease_t *lease = g_hash_table_lookup (platform->leases, link->data);

      if (include_unexpired || lease->expires_at_us <= now_us)
        revoke_lease (platform, GPOINTER_TO_INT (link->data));
    }
}

static gboolean
expire_leases (gpointer data)
{
  revoke_leases (data, false);
  return G_SOURCE_CONTINUE;
}

static void
watch_finished (SoupServerMessage *message, gpointer data)
{
  platform_t *platform = data;

  for (guint i = 0; i < platform->watches->len; i++)
    {
      watch_t *watch = g_ptr_array_index (platform->watches, i);

      if (watch->message != message)
        continue;
      g_ptr_array_remove_index_fast (platform->watches, i);
      g_free (watch->key);
      g_free (watch->end);
      g_object_unref (watch->message);
      g_free (watch);
      return;
    }
}

typedef struct
{
  GString *out;
  const watch_t *watch;
  gint64 start_revision;
} replay_t;

/* Appends a record that was written at or after the start revision of the watch.  These records
 * are sent first, so that the client sees the writes between its range call and its watch. */
static gboolean
replay (gpointer key, gpointer value, gpointer data)
{
  const replay_t *context = data;
  const record_t *record = value;
  g_autoptr (JsonBuilder) builder = NULL;
  g_autofree char *text = NULL;

  if (!is_in_range (key, context->watch->key, context->watch->end)
      || record->mod_revision < context->start_revision)
    return FALSE;
  builder = json_builder_new ();
  put_record (builder, key, record);
  text = json_builder_to_string (builder);
  g_string_append_printf (context->out,
                          "{\"result\":{\"events\":[{\"type\":\"PUT\",\"kv\":%s}]}}\n", text);
  return FALSE;
}

static void
start_watch (platform_t *platform, SoupServerMessage *message, JsonObject *request)
{
  JsonObject *create = json_get_object (request, "create_request");
  watch_t *watch = g_new0 (watch_t, 1);
  g_autoptr (GString) out = g_string_new ("{\"result\":{\"created\":true}}\n");
  replay_t context = { .out = out,
                       .watch = watch,
                       .start_revision = json_get_int_or_string (create, "start_revision", 0) };

  watch->key = get_decoded (create, "key");
  watch->end = get_decoded (create, "range_end");
  watch->message = g_object_ref (message);
  g_ptr_array_add (platform->watches, watch);
  g_signal_connect (message, "finished", G_CALLBACK (watch_finished), platform);
  soup_message_headers_set_encoding (soup_server_message_get_response_headers (message),
                                     SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (message), FALSE);
  soup_server_message_set_status (message, 200, NULL);
  if (context.start_revision > 0)
    g_tree_foreach (platform->records, replay, &context);
  soup_message_body_append (soup_server_message_get_response_body (message), SOUP_MEMORY_COPY,
                            out->str, out->len);
}

static void
count_in_window (platform_t *platform)
{
  gint64 second = g_get_monotonic_time () / G_USEC_PER_SEC;

  if (second != platform->window_s)
    {
      platform->window_s = second;
      platform->window_calls = 0;
      platform->window_writes = 0;
      platform->window_reads = 0;
    }
  platform->window_calls++;
  platform->peak_calls = MAX (platform->peak_calls, platform->window_calls);
}

/* Counts the call; returns false when it exceeds the configured rate limit. */
static bool
count_call (platform_t *platform, bool is_write, bool is_read)
{
  const faults_t *faults = &platform->faults;

  count_in_window (platform);
  platform->writes += is_write;
  platform->reads += is_read;
  platform->others += !is_write && !is_read;
  platform->window_writes += is_write;
  platform->window_reads += is_read;
  if ((is_write && faults->writes_per_s > 0 && platform->window_writes > faults->writes_per_s)
      || (is_read && faults->reads_per_s > 0 && platform->window_reads > faults->reads_per_s))
    {
      platform->refused++;
      return false;
    }
  return true;
}

static void
answer_kv_call (platform_t *platform, SoupServerMessage *message, const char *path)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *request = root != NULL ? json_node_get_object (root) : NULL;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  bool is_write = strcmp (path, "/v3/kv/txn") == 0 || strcmp (path, "/v3/kv/put") == 0;
  bool is_valid = request != NULL;

  if (platform->faults.down)
    {
      standin_drop_connection (message);
      return;
    }
  if (!count_call (platform, is_write, strcmp (path, "/v3/kv/range") == 0))
    {
      standin_respond (message, 429, g_strdup ("{\"error\":\"rate\"}"));
      return;
    }
  if (is_valid && strcmp (path, "/v3/watch") == 0)
    {
      start_watch (platform, message, request);
      return;
    }
  json_builder_begin_object (builder);
  if (is_valid && strcmp (path, "/v3/kv/range") == 0)
    put_range (platform, builder, request);
  else if (is_valid && strcmp (path, "/v3/kv/txn") == 0)
    is_valid = apply_transaction (platform, builder, request);
  else if (is_valid && strcmp (path, "/v3/kv/put") == 0)
    {
      g_autofree char *key = get_decoded (request, "key");

      platform->revision++;
      write_record (platform, key, get_decoded (request, "value"),
                    json_get_int_or_string (request, "lease", 0));
    }
  else if (is_valid && strcmp (path, "/v3/lease/grant") == 0)
    grant_lease (platform, builder, request);
  else if (is_valid && strcmp (path, "/v3/lease/keepalive") == 0)
    renew_lease (platform, builder, request);
  else if (is_valid && strcmp (path, "/v3/lease/revoke") == 0)
    revoke_lease (platform, json_get_int_or_string (request, "ID", 0));
  else
    is_valid = false;
  put_header (platform, builder);
  json_builder_end_object (builder);
  if (is_write && platform->faults.lose_replies > 0)
    {
      platform->faults.lose_replies--;
      standin_drop_connection (message);
      return;
    }
  if (is_valid)
    standin_respond (message, 200, json_builder_to_string (builder));
  else
    standin_respond (message, 400, g_strdup ("{\"error\":\"bad request\"}"));
}

static gboolean
answer_delayed_call (gpointer data)
{
  delayed_call_t *delayed = data;

  answer_kv_call (delayed->platform, delayed->message, delayed->path);
  soup_server_message_unpause (delayed->message);
  g_object_unref (delayed->message);
  g_free (delayed->path);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
handle_kv (platform_t *platform, SoupServerMessage *message, const char *path)
{
  delayed_call_t *delayed;

  if (platform->faults.latency_ms == 0)
    {
      answer_kv_call (platform, message, path);
      return;
    }
  delayed = g_new0 (delayed_call_t, 1);
  delayed->platform = platform;
  delayed->message = g_object_ref (message);
  delayed->path = g_strdup (path);
  soup_server_message_pause (message);
  g_timeout_add ((guint) platform->faults.latency_ms, answer_delayed_call, delayed);
}

static void
publish_list (platform_t *platform)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  list_version_t *list_version = g_new0 (list_version_t, 1);
  GHashTableIter iter;
  gpointer value;

  json_builder_begin_object (builder);
  json_put_int (builder, "revision", ++platform->list_revision);
  json_builder_set_member_name (builder, "vms");
  json_builder_begin_array (builder);
  g_hash_table_iter_init (&iter, platform->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_builder_add_value (builder, json_node_copy (value));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  list_version->published_us = g_get_monotonic_time ();
  list_version->revision = platform->list_revision;
  list_version->text = json_builder_to_string (builder);
  g_ptr_array_add (platform->list_versions, list_version);
}

static void
update_vms (platform_t *platform, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonArray *vms = root != NULL ? json_get_array (json_node_get_object (root), "vms") : NULL;

  for (guint i = 0; vms != NULL && i < json_array_get_length (vms); i++)
    {
      JsonNode *node = json_array_get_element (vms, i);
      const char *id = json_get_string (json_node_get_object (node), "id", "");

      g_hash_table_insert (platform->vms, g_strdup (id), json_node_copy (node));
    }
  publish_list (platform);
  standin_respond (message, 200, g_strdup ("{}"));
}

static void
remove_vms (platform_t *platform, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonArray *ids = root != NULL ? json_get_array (json_node_get_object (root), "ids") : NULL;

  for (guint i = 0; ids != NULL && i < json_array_get_length (ids); i++)
    g_hash_table_remove (platform->vms, json_array_get_string_element (ids, i));
  publish_list (platform);
  standin_respond (message, 200, g_strdup ("{}"));
}

static void
show_vms (platform_t *platform, SoupServerMessage *message)
{
  gint64 as_of_us = g_get_monotonic_time () - platform->faults.list_delay_ms * 1000;
  const char *text = "{\"revision\":0,\"vms\":[]}";
  g_autofree char *etag = NULL;
  const char *known_etag = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "If-None-Match");
  gint64 revision = 0;

  platform->lists++;
  if (platform->faults.down)
    {
      standin_drop_connection (message);
      return;
    }
  for (guint i = 0; i < platform->list_versions->len; i++)
    {
      const list_version_t *list_version = g_ptr_array_index (platform->list_versions, i);

      if (list_version->published_us > as_of_us)
        continue;
      text = list_version->text;
      revision = list_version->revision;
    }
  etag = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", revision);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "ETag", etag);
  if (g_strcmp0 (known_etag, etag) == 0)
    soup_server_message_set_status (message, 304, NULL);
  else
    standin_respond (message, 200, g_strdup (text));
}

static void
set_faults (platform_t *platform, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  faults_t *faults = &platform->faults;

  if (object == NULL)
    {
      standin_respond (message, 400, g_strdup ("{}"));
      return;
    }
  faults->latency_ms = json_get_int (object, "latency_ms", faults->latency_ms);
  faults->down = json_get_bool (object, "down", faults->down);
  faults->lose_replies = json_get_int (object, "lose_replies", faults->lose_replies);
  faults->writes_per_s = json_get_int (object, "writes_per_s", faults->writes_per_s);
  faults->reads_per_s = json_get_int (object, "reads_per_s", faults->reads_per_s);
  faults->list_delay_ms = json_get_int (object, "list_delay_ms", faults->list_delay_ms);
  if (json_get_bool (object, "lapse_leases", false))
    revoke_leases (platform, true);
  if (faults->down)
    for (guint i = 0; i < platform->watches->len; i++)
      standin_drop_connection (((watch_t *) g_ptr_array_index (platform->watches, i))->message);
  platform->peak_calls = 0;
  standin_respond (message, 200, g_strdup ("{}"));
}

static void
show_counters (const platform_t *platform, SoupServerMessage *message)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_int (builder, "writes", platform->writes);
  json_put_int (builder, "reads", platform->reads);
  json_put_int (builder, "others", platform->others);
  json_put_int (builder, "lists", platform->lists);
  json_put_int (builder, "refused", platform->refused);
  json_put_int (builder, "peak_calls_per_s", platform->peak_calls);
  json_put_int (builder, "watches", platform->watches->len);
  json_put_int (builder, "records", g_tree_nnodes (platform->records));
  json_put_int (builder, "revision", platform->revision);
  json_builder_end_object (builder);
  standin_respond (message, 200, json_builder_to_string (builder));
}

static void
handle_message (SoupServer *server G_GNUC_UNUSED,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query G_GNUC_UNUSED,
                gpointer data)
{
  platform_t *platform = data;
  bool is_post = strcmp (soup_server_message_get_method (message), "POST") == 0;

  if (g_str_has_prefix (path, "/v3/"))
    handle_kv (platform, message, path);
  else if (strcmp (path, "/v1/vms") == 0 && is_post)
    update_vms (platform, message);
  else if (strcmp (path, "/v1/vms") == 0)
    show_vms (platform, message);
  else if (strcmp (path, "/v1/vms/remove") == 0)
    remove_vms (platform, message);
  else if (strcmp (path, "/faults") == 0)
    set_faults (platform, message);
  else if (strcmp (path, "/counters") == 0)
    show_counters (platform, message);
  else
    standin_respond (message, 404, g_strdup ("{}"));
}

int
main (int argc, char **argv)
{
  platform_t platform = { .revision = 1 };
  gint64 port = 0;
  const setting_t settings[] = { { .flag = "port",
                                   .kind = SETTING_INTEGER,
                                   .value = &port,
                                   .fallback = "0",
                                   .max = G_MAXUINT16,
                                   .placeholder = "PORT",
                                   .help = "port on 127.0.0.1; 0 chooses a free port" } };
  settings_result_t result;
  error_info_t error;
  SoupServer *server;

  if (!settings_load (settings, 1, argc, argv, &result, &error))
    {
      (void) fprintf (stderr, "standin-platform: %s\n", error.detail);
      return 2;
    }
  platform.records = g_tree_new_full (compare_keys, NULL, g_free, record_free);
  platform.leases = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  platform.watches = g_ptr_array_new ();
  platform.vms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) json_node_unref);
  platform.list_versions = g_ptr_array_new ();
  server = standin_listen ((guint16) port, handle_message, &platform);
  g_timeout_add (lease_check_interval_ms, expire_leases, &platform);
  standin_print_line ("platform=127.0.0.1:%u", standin_port (server));
  standin_serve ();
  return 0;
}
