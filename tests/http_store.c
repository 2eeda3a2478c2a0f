#include "http_store.h"

#include "base/json.h"
#include "platform/names.h"
#include "standins/standin.h"

#include <string.h>

struct http_store
{
  SoupServer *server;
  store_t *store;
  char *address;
  http_store_mode_t mode;
};

typedef struct
{
  http_store_t *front;
  SoupServerMessage *message;
  const char *list; /* member that holds the items; NULL: the item is the body */
} call_t;

enum
{
  ROWS_MAX = STORE_TXN_ROWS_MAX
};

static void
put_item (JsonBuilder *builder, const store_item_t *item)
{
  g_autofree char *value = g_base64_encode (item->value, item->value_bytes);

  json_put_string (builder, WIRE_KEY, item->key);
  json_put_string (builder, WIRE_VALUE, value);
  json_put_int (builder, WIRE_REVISION, item->revision);
  json_put_int (builder, WIRE_CREATED, item->created);
  json_put_int (builder, WIRE_LEASE, item->lease);
  if (!item->deleted)
    return;
  json_builder_set_member_name (builder, WIRE_DELETED);
  json_builder_add_boolean_value (builder, TRUE);
}

static char *
build_body (const call_t *call, const store_reply_t *reply)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_int (builder, WIRE_STORE_REVISION, reply->revision);
  if (call->list == NULL && reply->items->len > 0)
    put_item (builder, g_ptr_array_index (reply->items, 0));
  else if (call->list == NULL)
    json_put_int (builder, WIRE_REVISION, reply->revision);
  if (reply->lease != 0)
    json_put_int (builder, WIRE_LEASE, reply->lease);
  if (reply->ttl_ms != 0)
    json_put_int (builder, WIRE_TTL_MS, reply->ttl_ms);
  if (call->list != NULL)
    {
      json_builder_set_member_name (builder, call->list);
      json_builder_begin_array (builder);
      for (guint i = 0; i < reply->items->len; i++)
        {
          json_builder_begin_object (builder);
          put_item (builder, g_ptr_array_index (reply->items, i));
          json_builder_end_object (builder);
        }
      json_builder_end_array (builder);
    }
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static guint
http_status (store_status_t status)
{
  switch (status)
    {
    case STORE_DONE:
      return 200;
    case STORE_REFUSED:
      return 412;
    case STORE_MISSING:
      return 404;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      break;
    }
  return 503;
}

static void
answered (const store_reply_t *reply, void *data)
{
  call_t *call = data;
  guint status = http_status (reply->status);

  if (call->front->mode == HTTP_STORE_REFUSES)
    status = 503;
  if (reply->status == STORE_REFUSED)
    call->list = WIRE_ITEMS;
  /* A silent front leaves the message paused. */
  if (call->front->mode != HTTP_STORE_SILENT)
    {
      standin_respond (call->message, status,
                       status == 503 ? g_strdup ("{}") : build_body (call, reply));
      soup_server_message_unpause (call->message);
      g_object_unref (call->message);
    }
  g_free (call);
}

static call_t *
call_new (http_store_t *front, SoupServerMessage *message, const char *list)
{
  call_t *call = g_new0 (call_t, 1);

  call->front = front;
  call->message = g_object_ref (message);
  call->list = list;
  soup_server_message_pause (message);
  return call;
}

static void
handle_txn (http_store_t *front, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);
  JsonObject *body = json_node_get_object (root);
  JsonArray *conditions = json_get_array (body, WIRE_CONDITIONS);
  JsonArray *sets = json_get_array (body, WIRE_SET_KEYS);
  JsonArray *deletes = json_get_array (body, WIRE_DELETE_KEYS);
  store_condition_t expect[ROWS_MAX];
  store_write_t writes[2 * ROWS_MAX];
  guint expect_count = json_array_get_length (conditions);
  guint set_count = json_array_get_length (sets);
  guint write_count = set_count + json_array_get_length (deletes);

  for (guint i = 0; i < expect_count; i++)
    {
      JsonObject *row = json_array_get_object_element (conditions, i);

      expect[i] = (store_condition_t){ json_get_string (row, WIRE_KEY, ""),
                                       json_get_int (row, WIRE_REVISION, 0) };
    }
  for (guint i = 0; i < set_count; i++)
    {
      JsonObject *row = json_array_get_object_element (sets, i);

      writes[i] = (store_write_t){ .key = json_get_string (row, WIRE_KEY, ""),
                                   .lease = json_get_int (row, WIRE_LEASE, 0) };
      writes[i].value
          = g_base64_decode (json_get_string (row, WIRE_VALUE, ""), &writes[i].value_bytes);
    }
  for (guint i = set_count; i < write_count; i++)
    writes[i] = (store_write_t){ .key = json_array_get_string_element (deletes, i - set_count) };
  front->store->calls->txn (front->store, expect, expect_count, writes, write_count, answered,
                            call_new (front, message, NULL));
  for (guint i = 0; i < set_count; i++)
    g_free ((void *) writes[i].value);
}

static void
handle_lease (http_store_t *front, SoupServerMessage *message)
{
  g_autoptr (JsonNode) root = standin_parse_body (message);

  front->store->calls->lease (front->store,
                              json_get_int (json_node_get_object (root), WIRE_TTL_MS, 0), answered,
                              call_new (front, message, NULL));
}

static const char *
argument (GHashTable *query, const char *name)
{
  return query != NULL ? g_hash_table_lookup (query, name) : NULL;
}

static gint64
number_argument (GHashTable *query, const char *name)
{
  const char *text = argument (query, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : 0;
}

/* Returns the number after the last slash of the path. */
static gint64
lease_in_path (const char *path)
{
  return g_ascii_strtoll (strrchr (path, '/') + 1, NULL, 10);
}

static void
handle (SoupServer *server G_GNUC_UNUSED,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  http_store_t *front = data;
  store_t *store = front->store;

  if (front->mode == HTTP_STORE_REFUSES)
    standin_respond (message, 503, g_strdup ("{}"));
  else if (front->mode == HTTP_STORE_SILENT)
    soup_server_message_pause (g_object_ref (message));
  else if (strcmp (path, WIRE_KV_KEY) == 0)
    store->calls->get (store, argument (query, WIRE_KEY), answered,
                       call_new (front, message, NULL));
  else if (strcmp (path, WIRE_KV_RANGE) == 0)
    store->calls->range (store, argument (query, WIRE_PREFIX), argument (query, WIRE_AFTER),
                         answered, call_new (front, message, WIRE_ITEMS));
  else if (strcmp (path, WIRE_KV_WATCH) == 0)
    store->calls->watch (store, argument (query, WIRE_PREFIX), number_argument (query, WIRE_AFTER),
                         (guint) number_argument (query, WIRE_WAIT_MS), answered,
                         call_new (front, message, WIRE_EVENTS));
  else if (strcmp (path, WIRE_KV_TXN) == 0)
    handle_txn (front, message);
  else if (strcmp (path, WIRE_KV_LEASE_GRANT) == 0)
    handle_lease (front, message);
  else if (g_str_has_prefix (path, WIRE_KV_LEASE_RENEW "/"))
    store->calls->keep (store, lease_in_path (path), answered, call_new (front, message, NULL));
  else if (g_str_has_prefix (path, WIRE_KV_LEASE_REVOKE "/"))
    store->calls->lease_end (store, lease_in_path (path), answered,
                             call_new (front, message, NULL));
  else
    standin_respond (message, 404, g_strdup ("{}"));
}

http_store_t *
http_store_new (fake_service_t *service)
{
  http_store_t *front = g_new0 (http_store_t, 1);

  front->store = fake_store_new (service);
  front->server = standin_listen (0, handle, front);
  front->address = g_strdup_printf ("127.0.0.1:%u", standin_port (front->server));
  return front;
}

const char *
http_store_address (const http_store_t *front)
{
  return front->address;
}

void
http_store_set_mode (http_store_t *front, http_store_mode_t mode)
{
  front->mode = mode;
}
