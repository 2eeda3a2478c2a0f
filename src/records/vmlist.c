#define LOG_MODULE "vmlist"

#include "records/vmlist.h"

#include "base/http_client.h"
#include "base/json.h"
#include "base/log.h"

#include <libsoup/soup.h>
#include <string.h>

struct vmlist
{
  SoupSession *session;
  GCancellable *closing;
  char *url;
  guint timer;
  bool in_flight;
  bool failing;
  member_list_t *current;
  GBytes *text; /* of the current list; the same again needs no reading */
  char *etag;   /* of the current list, or NULL: then the whole list is sent each time */
  vmlist_changed_t changed;
  void *data;
};

/* A read on its way. */
typedef struct
{
  vmlist_t *vmlist;
  GCancellable *closing;
} poll_t;

static const guint timeout_s = 3;
static const guint idle_timeout_s = 30;

static bool
read_role (const char *text, member_role_t *role)
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
read_member (JsonObject *object, member_t *member)
{
  g_strlcpy (member->id, json_get_text (object, "id", ""), sizeof member->id);
  g_strlcpy (member->zone, json_get_text (object, "zone", ""), sizeof member->zone);
  g_strlcpy (member->rack, json_get_text (object, "rack", ""), sizeof member->rack);
  g_strlcpy (member->environment, json_get_text (object, "environment", ""),
             sizeof member->environment);
  g_strlcpy (member->address, json_get_text (object, "address", ""), sizeof member->address);
  member->leaving = strcmp (json_get_text (object, "state", "live"), "leaving") == 0;
  member->slots = (guint) CLAMP (json_get_number (object, "slots", 0), 0, 4096);
  member->connections = (guint) CLAMP (json_get_number (object, "connections", 0), 0, 4096);
  member->cpu_milli = json_get_number (object, "cpu_milli", 0);
  member->memory_mb = json_get_number (object, "memory_mb", 0);
  member->accelerators = json_get_number (object, "accelerators", 0);
  return member->id[0] != '\0' && read_role (json_get_text (object, "role", ""), &member->role);
}

static member_list_t *
read_list (JsonObject *object)
{
  member_list_t *list = member_list_new (json_get_number (object, "revision", 0));
  JsonArray *vms = json_get_list (object, "vms");

  for (guint i = 0; vms != NULL && i < json_array_get_length (vms); i++)
    {
      JsonNode *node = json_array_get_element (vms, i);
      member_t member = { .leaving = false };

      if (JSON_NODE_HOLDS_OBJECT (node) && read_member (json_node_get_object (node), &member))
        g_array_append_val (list->members, member);
    }
  return list;
}

static void
note_failure (vmlist_t *vmlist)
{
  if (!vmlist->failing)
    LOG_WARN ("list_unavailable", "url=%s", vmlist->url);
  vmlist->failing = true;
}

static void
adopt (vmlist_t *vmlist, SoupMessage *message, GBytes *body)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (body, &size);
  g_autoptr (JsonNode) root = json_parse_object (text, (gssize) size);
  g_autoptr (member_list_t) list = NULL;

  if (root == NULL)
    {
      note_failure (vmlist);
      return;
    }
  vmlist->failing = false;
  g_clear_pointer (&vmlist->text, g_bytes_unref);
  vmlist->text = g_bytes_ref (body);
  g_free (vmlist->etag);
  vmlist->etag = g_strdup (
      soup_message_headers_get_one (soup_message_get_response_headers (message), "ETag"));
  list = read_list (json_node_get_object (root));
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

  /* Cancelled by vmlist_free(), which has freed the reader. */
  if (!g_cancellable_is_cancelled (poll->closing))
    {
      vmlist->in_flight = false;
      if (body == NULL)
        note_failure (vmlist);
      else if (soup_message_get_status (message) == SOUP_STATUS_NOT_MODIFIED)
        vmlist->failing = false;
      else if (vmlist->text == NULL || !g_bytes_equal (vmlist->text, body))
        adopt (vmlist, message, body);
    }
  g_object_unref (poll->closing);
  g_free (poll);
}

static gboolean
poll_start (gpointer data)
{
  vmlist_t *vmlist = data;
  g_autoptr (SoupMessage) message = NULL;
  poll_t *poll;

  if (vmlist->in_flight)
    return G_SOURCE_CONTINUE;
  vmlist->in_flight = true;
  message = soup_message_new ("GET", vmlist->url);
  if (vmlist->etag != NULL)
    soup_message_headers_append (soup_message_get_request_headers (message), "If-None-Match",
                                 vmlist->etag);
  poll = g_new0 (poll_t, 1);
  poll->vmlist = vmlist;
  poll->closing = g_object_ref (vmlist->closing);
  http_fetch (vmlist->session, message, HTTP_ANSWER_MAX_BYTES, vmlist->closing, poll_done, poll);
  return G_SOURCE_CONTINUE;
}

vmlist_t *
vmlist_new (const char *address, guint interval_ms, vmlist_changed_t changed, void *data)
{
  vmlist_t *vmlist = g_new0 (vmlist_t, 1);

  vmlist->session = http_session_new (1, timeout_s, idle_timeout_s);
  vmlist->closing = g_cancellable_new ();
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
  g_cancellable_cancel (vmlist->closing);
  soup_session_abort (vmlist->session);
  g_object_unref (vmlist->session);
  g_object_unref (vmlist->closing);
  member_list_free (vmlist->current);
  g_clear_pointer (&vmlist->text, g_bytes_unref);
  g_free (vmlist->etag);
  g_free (vmlist->url);
  g_free (vmlist);
}

const member_list_t *
vmlist_current (const vmlist_t *vmlist)
{
  return vmlist->current;
}
