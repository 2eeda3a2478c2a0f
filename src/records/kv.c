#include "records/kv.h"

#include "base/http_client.h"
#include "base/json.h"

#include <libsoup/soup.h>
#include <string.h>

struct kv
{
  SoupSession *session;
  SoupSession *watch_session; /* a waiting watch must neither time out nor block other calls */
  GCancellable *cancel;
  char *base_url;
  guint64 call_count;
  guint64 failure_count;
  guint outstanding_call_count;
};

typedef struct
{
  kv_t *kv;
  SoupMessage *message;
  kv_done_t done;
  void *data;
  bool may_have_been_sent; /* at least part of the request */
} call_t;

struct kv_watch
{
  kv_t *kv;
  GCancellable *cancel;
  kv_event_t event;
  kv_closed_t closed;
  void *data;
};

/* Reads the response of a watch.  Outlives a watch that is freed while a read is in progress. */
typedef struct
{
  kv_watch_t *watch;
  GCancellable *cancel;
  GDataInputStream *stream;
  SoupMessage *message;
} watch_reader_t;

static const guint max_connections = 16;
static const guint idle_timeout_s = 60;
static const guint too_many_requests = 429;

kv_t *
kv_new (const char *address, guint timeout_s)
{
  kv_t *kv = g_new0 (kv_t, 1);

  kv->session = http_session_new (max_connections, timeout_s, idle_timeout_s);
  kv->watch_session = http_session_new (max_connections, 0, idle_timeout_s);
  kv->cancel = g_cancellable_new ();
  kv->base_url = g_strdup_printf ("http://%s", address);
  return kv;
}

void
kv_free (kv_t *kv)
{
  if (kv == NULL)
    return;
  g_cancellable_cancel (kv->cancel);
  soup_session_abort (kv->session);
  soup_session_abort (kv->watch_session);
  while (kv->outstanding_call_count > 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (kv->session);
  g_object_unref (kv->watch_session);
  g_object_unref (kv->cancel);
  g_free (kv->base_url);
  g_free (kv);
}

guint64
kv_call_count (const kv_t *kv)
{
  return kv->call_count;
}

guint64
kv_failure_count (const kv_t *kv)
{
  return kv->failure_count;
}

static void
entry_free (gpointer data)
{
  kv_entry_t *entry = data;

  g_free (entry->key);
  g_free (entry->value);
  g_free (entry);
}

static char *
decode (const char *encoded, gsize *length)
{
  gsize size = 0;
  g_autofree guchar *bytes = g_base64_decode (encoded, &size);
  char *text = g_malloc (size + 1);

  if (size > 0)
    memcpy (text, bytes, size);
  text[size] = '\0';
  if (length != NULL)
    *length = size;
  return text;
}

static kv_entry_t *
entry_from_json (JsonObject *object)
{
  kv_entry_t *entry = g_new0 (kv_entry_t, 1);

  entry->key = decode (json_get_string (object, "key", ""), NULL);
  entry->value = decode (json_get_string (object, "value", ""), &entry->length);
  entry->mod_revision = json_get_int_or_string (object, "mod_revision", 0);
  return entry;
}

/* Appends the entries of a range.  With `keep_absent`, an empty range adds an entry with
 * mod_revision 0, so that each op keeps its entry. */
static void
add_range (GPtrArray *entries, JsonObject *range, bool keep_absent)
{
  JsonArray *found = json_get_array (range, "kvs");
  guint count = found != NULL ? json_array_get_length (found) : 0;

  for (guint i = 0; i < count; i++)
    g_ptr_array_add (entries, entry_from_json (json_array_get_object_element (found, i)));
  if (count == 0 && keep_absent)
    g_ptr_array_add (entries, g_new0 (kv_entry_t, 1));
}

static void
parse_reply (JsonObject *object, kv_reply_t *reply)
{
  JsonArray *responses = json_get_array (object, "responses");

  reply->revision = json_get_int_or_string (json_get_object (object, "header"), "revision", 0);
  reply->lease = json_get_int_or_string (object, "ID", 0);
  reply->status = KV_APPLIED;
  add_range (reply->entries, object, false);
  if (responses == NULL || json_get_bool (object, "succeeded", false))
    return;
  reply->status = KV_REJECTED;
  for (guint i = 0; i < json_array_get_length (responses); i++)
    {
      JsonObject *element = json_array_get_object_element (responses, i);

      add_range (reply->entries, json_get_object (element, "response_range"), true);
    }
}

/* Sets the reply of a finished call; see kv_status_t. */
static void
interpret_response (const call_t *call, GBytes *body, kv_reply_t *reply)
{
  guint status = soup_message_get_status (call->message);
  g_autoptr (JsonNode) root = NULL;
  gsize size = 0;
  const char *text;

  reply->status = call->may_have_been_sent ? KV_LOST : KV_UNAVAILABLE;
  if (body == NULL)
    return;
  if (status == too_many_requests)
    reply->status = KV_UNAVAILABLE;
  if (status != SOUP_STATUS_OK)
    return;
  text = g_bytes_get_data (body, &size);
  root = json_parse_object (text, (gssize) size, NULL);
  if (root != NULL)
    parse_reply (json_node_get_object (root), reply);
}

static void
call_finished (SoupMessage *message G_GNUC_UNUSED, GBytes *body, void *data)
{
  call_t *call = data;
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (entry_free);
  kv_reply_t reply = { .entries = entries };

  interpret_response (call, body, &reply);
  if (!g_cancellable_is_cancelled (call->kv->cancel)
      && (reply.status == KV_LOST || reply.status == KV_UNAVAILABLE))
    call->kv->failure_count++;
  call->done (&reply, call->data);
  call->kv->outstanding_call_count--;
  g_object_unref (call->message);
  g_free (call);
}

static void
call_starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  ((call_t *) data)->may_have_been_sent = true;
}

static SoupMessage *
message_new (const kv_t *kv, const char *path, JsonBuilder *builder)
{
  g_autofree char *url = g_strconcat (kv->base_url, path, NULL);
  SoupMessage *message = soup_message_new ("POST", url);
  char *text = json_builder_to_string (builder);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
  /* Allows the library to reuse a connection; it does not resend a POST. */
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  return message;
}

static void
call_start (kv_t *kv, const char *path, JsonBuilder *builder, kv_done_t done, void *data)
{
  call_t *call = g_new0 (call_t, 1);

  call->kv = kv;
  call->done = done;
  call->data = data;
  call->message = message_new (kv, path, builder);
  kv->call_count++;
  kv->outstanding_call_count++;
  g_signal_connect (call->message, "starting", G_CALLBACK (call_starting), call);
  http_fetch (kv->session, call->message, HTTP_RESPONSE_MAX_BYTES, kv->cancel, call_finished, call);
}

static void
put_base64 (JsonBuilder *builder, const char *member, const char *text)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *) text, strlen (text));

  json_put_string (builder, member, encoded);
}

/* The range of a prefix ends at the prefix with its last byte incremented. */
static void
put_range (JsonBuilder *builder, const char *key, bool is_prefix)
{
  g_autofree char *end = g_strdup (key);

  put_base64 (builder, "key", key);
  if (!is_prefix)
    return;
  end[strlen (end) - 1]++;
  put_base64 (builder, "range_end", end);
}

void
kv_range (kv_t *kv, const char *key, bool is_prefix, kv_done_t done, void *data)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  put_range (builder, key, is_prefix);
  json_builder_end_object (builder);
  call_start (kv, "/v3/kv/range", builder, done, data);
}

static void
put_int_as_string (JsonBuilder *builder, const char *member, gint64 number)
{
  g_autofree char *text = g_strdup_printf ("%" G_GINT64_FORMAT, number);

  json_put_string (builder, member, text);
}

static void
add_compare (JsonBuilder *builder, const kv_op_t *op)
{
  if (op->expect == KV_EXPECT_ANY)
    return;
  json_builder_begin_object (builder);
  put_base64 (builder, "key", op->key);
  json_put_string (builder, "result", "EQUAL");
  json_put_string (builder, "target", op->expect == KV_EXPECT_VALUE ? "VALUE" : "MOD");
  if (op->expect == KV_EXPECT_VALUE)
    put_base64 (builder, "value", op->expected);
  else
    put_int_as_string (builder, "mod_revision", op->revision);
  json_builder_end_object (builder);
}

static void
add_write (JsonBuilder *builder, const kv_op_t *op)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder,
                                op->value != NULL ? "request_put" : "request_delete_range");
  json_builder_begin_object (builder);
  put_base64 (builder, "key", op->key);
  if (op->value != NULL)
    put_base64 (builder, "value", op->value);
  if (op->value != NULL && op->lease != 0)
    put_int_as_string (builder, "lease", op->lease);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
}

static void
add_read (JsonBuilder *builder, const kv_op_t *op)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "request_range");
  json_builder_begin_object (builder);
  put_base64 (builder, "key", op->key);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
}

typedef void (*add_op_t) (JsonBuilder *builder, const kv_op_t *op);

static void
add_list (JsonBuilder *builder, const char *member, const kv_op_t *ops, gsize count, add_op_t add)
{
  json_builder_set_member_name (builder, member);
  json_builder_begin_array (builder);
  for (gsize i = 0; i < count; i++)
    add (builder, &ops[i]);
  json_builder_end_array (builder);
}

void
kv_txn (kv_t *kv, const kv_op_t *ops, gsize count, kv_done_t done, void *data)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  add_list (builder, "compare", ops, count, add_compare);
  add_list (builder, "success", ops, count, add_write);
  add_list (builder, "failure", ops, count, add_read);
  json_builder_end_object (builder);
  call_start (kv, "/v3/kv/txn", builder, done, data);
}

void
kv_lease_grant (kv_t *kv, gint64 ttl_s, kv_done_t done, void *data)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  put_int_as_string (builder, "TTL", ttl_s);
  json_builder_end_object (builder);
  call_start (kv, "/v3/lease/grant", builder, done, data);
}

static void
watch_reader_free (watch_reader_t *reader)
{
  g_clear_object (&reader->cancel);
  g_clear_object (&reader->stream);
  g_clear_object (&reader->message);
  g_free (reader);
}

static void
watch_broken (watch_reader_t *reader)
{
  if (!g_cancellable_is_cancelled (reader->cancel))
    reader->watch->closed (reader->watch->data);
  watch_reader_free (reader);
}

static void
deliver_events (const watch_reader_t *reader, const char *line)
{
  g_autoptr (JsonNode) root = json_parse_object (line, -1, NULL);
  JsonObject *result;
  JsonArray *events;

  if (root == NULL)
    return;
  result = json_get_object (json_node_get_object (root), "result");
  events = json_get_array (result, "events");
  for (guint i = 0; events != NULL && i < json_array_get_length (events); i++)
    {
      JsonObject *event = json_array_get_object_element (events, i);
      kv_entry_t *entry = entry_from_json (json_get_object (event, "kv"));

      if (strcmp (json_get_string (event, "type", "PUT"), "DELETE") == 0)
        g_clear_pointer (&entry->value, g_free);
      if (!g_cancellable_is_cancelled (reader->cancel))
        reader->watch->event (entry, reader->watch->data);
      entry_free (entry);
    }
}

static void
line_read (GObject *source, GAsyncResult *result, gpointer data)
{
  watch_reader_t *reader = data;
  g_autofree char *line
      = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, NULL, NULL);

  if (line == NULL || g_cancellable_is_cancelled (reader->cancel))
    {
      watch_broken (reader);
      return;
    }
  deliver_events (reader, line);
  g_data_input_stream_read_line_async (reader->stream, G_PRIORITY_DEFAULT, reader->cancel,
                                       line_read, reader);
}

static void
watch_opened (GObject *source, GAsyncResult *result, gpointer data)
{
  watch_reader_t *reader = data;
  g_autoptr (GInputStream) input = soup_session_send_finish (SOUP_SESSION (source), result, NULL);

  if (input == NULL || soup_message_get_status (reader->message) != SOUP_STATUS_OK)
    {
      watch_broken (reader);
      return;
    }
  reader->stream = g_data_input_stream_new (input);
  g_data_input_stream_read_line_async (reader->stream, G_PRIORITY_DEFAULT, reader->cancel,
                                       line_read, reader);
}

kv_watch_t *
kv_watch (
    kv_t *kv, const char *prefix, gint64 revision, kv_event_t event, kv_closed_t closed, void *data)
{
  kv_watch_t *watch = g_new0 (kv_watch_t, 1);
  watch_reader_t *reader = g_new0 (watch_reader_t, 1);
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  *watch = (kv_watch_t){ .kv = kv, .event = event, .closed = closed, .data = data };
  watch->cancel = g_cancellable_new ();
  reader->watch = watch;
  reader->cancel = g_object_ref (watch->cancel);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "create_request");
  json_builder_begin_object (builder);
  put_range (builder, prefix, true);
  put_int_as_string (builder, "start_revision", revision);
  json_builder_end_object (builder);
  json_builder_end_object (builder);
  reader->message = message_new (kv, "/v3/watch", builder);
  kv->call_count++;
  soup_session_send_async (kv->watch_session, reader->message, G_PRIORITY_DEFAULT, reader->cancel,
                           watch_opened, reader);
  return watch;
}

void
kv_watch_free (kv_watch_t *watch)
{
  if (watch == NULL)
    return;
  g_cancellable_cancel (watch->cancel);
  g_object_unref (watch->cancel);
  g_free (watch);
}
