#define LOG_MODULE "vmlist"

#include "records/vmlist.h"

#include "base/address.h"
#include "base/http_client.h"
#include "base/json.h"
#include "base/log.h"

#include <libsoup/soup.h>
#include <string.h>

struct vmlist
{
  SoupSession *session;
  GCancellable *cancel;
  char *url;
  guint timer;
  bool is_in_flight;
  bool is_failing;
  member_list_t *current;
  GBytes *body; /* last list response; an identical one is not parsed again */
  char *etag;   /* of that response; NULL: none, so each response holds the whole list */
  vmlist_changed_t changed;
  void *data;
};

/* A poll in flight; it may outlive the vmlist_t. */
typedef struct
{
  vmlist_t *vmlist;
  GCancellable *cancel;
} poll_t;

static const guint timeout_s = 3;
static const guint idle_timeout_s = 30;

static bool
parse_role (const char *text, member_role_t *role)
{
  if (strcmp (text, "entry") == 0)
    *role = MEMBER_ENTRY;
  else if (strcmp (text, "executor") == 0)
    *role = MEMBER_EXECUTOR;
  else if (strcmp (text, "worker") == 0)
    *role = MEMBER_WORKER;
  else
    return false;
  return true;
}

static bool
parse_member (JsonObject *object, member_t *member)
{
  g_strlcpy (member->id, json_get_string (object, "id", ""), sizeof member->id);
  g_strlcpy (member->zone, json_get_string (object, "zone", ""), sizeof member->zone);
  g_strlcpy (member->rack, json_get_string (object, "rack", ""), sizeof member->rack);
  g_strlcpy (member->environment, json_get_string (object, "environment", ""),
             sizeof member->environment);
  g_strlcpy (member->address, json_get_string (object, "address", ""), sizeof member->address);
  member->leaving = strcmp (json_get_string (object, "state", "live"), "leaving") == 0;
  member->slots = (guint) CLAMP (json_get_int (object, "slots", 0), 0, 4096);
  member->connections = (guint) CLAMP (json_get_int (object, "connections", 0), 0, 4096);
  member->cpu_milli = json_get_int (object, "cpu_milli", 0);
  member->memory_mb = json_get_int (object, "memory_mb", 0);
  member->accelerators = json_get_int (object, "accelerators", 0);
  return member->id[0] != '\0' && address_is_callable (member->address)
         && parse_role (json_get_string (object, "role", ""), &member->role);
}

static member_list_t *
parse_list (JsonObject *object)
{
  member_list_t *list = member_list_new (json_get_int (object, "revision", 0));
  JsonArray *vms = json_get_array (object, "vms");

  for (guint i = 0; vms != NULL && i < json_array_get_length (vms); i++)
    {
      JsonNode *node = json_array_get_element (vms, i);
      member_t member = { .leaving = false };

      if (JSON_NODE_HOLDS_OBJECT (node) && parse_member (json_node_get_object (node), &member))
        g_array_append_val (list->members, member);
    }
  return list;
}

static void
record_failure (vmlist_t *vmlist)
{
  if (!vmlist->is_failing)
    LOG_WARN ("list_unavailable", "url=%s", vmlist->url);
  vmlist->is_failing = true;
}

static void
apply_response (vmlist_t *vmlist, SoupMessage *message, GBytes *body)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (body, &size);
  g_autoptr (JsonNode) root = json_parse_object (text, (gssize) size, NULL);
  g_autoptr (member_list_t) list = NULL;

  if (root == NULL)
    {
      record_failure (vmlist);
      return;
    }
  vmlist->is_failing = false;
  g_clear_pointer (&vmlist->body, g_bytes_unref);
  vmlist->body = g_bytes_ref (body);
  g_free (vmlist->etag);
  vmlist->etag = g_strdup (
      soup_message_headers_get_one (soup_message_get_response_headers (message), "ETag"));
  list = parse_list (json_node_get_object (root));
  if (list->revision <= vmlist->current->revision)
    return;
  member_list_free (vmlist->current);
  vmlist->current = g_steal_pointer (&list);
  vmlist->changed (vmlist->current, vmlist->data);
}

static void
poll_done (SoupMessage *message, GBytes *body, void *data)
{
  poll_t *poll = data;
  vmlist_t *vmlist = poll->vmlist;

  /* If cancelled, vmlist_free() has freed `vmlist`. */
  if (!g_cancellable_is_cancelled (poll->cancel))
    {
      vmlist->is_in_flight = false;
      if (body == NULL)
        record_failure (vmlist);
      else if (soup_message_get_status (message) == SOUP_STATUS_NOT_MODIFIED)
        vmlist->is_failing = false;
      else if (vmlist->body == NULL || !g_bytes_equal (vmlist->body, body))
        apply_response (vmlist, message, body);
    }
  g_object_unref (poll->cancel);
  g_free (poll);
}

static gboolean
poll_start (gpointer data)
{
  vmlist_t *vmlist = data;
  g_autoptr (SoupMessage) message = NULL;
  poll_t *poll;

  if (vmlist->is_in_flight)
    return G_SOURCE_CONTINUE;
  vmlist->is_in_flight = true;
  message = soup_message_new ("GET", vmlist->url);
  if (vmlist->etag != NULL)
    soup_message_headers_append (soup_message_get_request_headers (message), "If-None-Match",
                                 vmlist->etag);
  poll = g_new0 (poll_t, 1);
  poll->vmlist = vmlist;
  poll->cancel = g_object_ref (vmlist->cancel);
  http_fetch (vmlist->session, message, HTTP_RESPONSE_MAX_BYTES, vmlist->cancel, poll_done, poll);
  return G_SOURCE_CONTINUE;
}

vmlist_t *
vmlist_new (const char *address, guint interval_ms, vmlist_changed_t changed, void *data)
{
  vmlist_t *vmlist = g_new0 (vmlist_t, 1);

  vmlist->session = http_session_new (1, timeout_s, idle_timeout_s);
  vmlist->cancel = g_cancellable_new ();
  vmlist->url = g_strdup_printf ("http://%s/v1/vms", address);
  vmlist->current = member_list_new (0);
  vmlist->changed = changed;
  vmlist->data = data;
  vmlist->timer = g_timeout_add (interval_ms, poll_start, vmlist);
  poll_start (vmlist);
  return vmlist;
}

void
vmlist_free (vmlist_t *vmlist)
{
  if (vmlist == NULL)
    return;
  g_source_remove (vmlist->timer);
  g_cancellable_cancel (vmlist->cancel);
  soup_session_abort (vmlist->session);
  g_object_unref (vmlist->session);
  g_object_unref (vmlist->cancel);
  member_list_free (vmlist->current);
  g_clear_pointer (&vmlist->body, g_bytes_unref);
  g_free (vmlist->etag);
  g_free (vmlist->url);
  g_free (vmlist);
}

const member_list_t *
vmlist_current (const vmlist_t *vmlist)
{
  return vmlist->current;
}
