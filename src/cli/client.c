#include "cli/client.h"

#include "base/json.h"

#include <string.h>

struct client
{
  SoupSession *session;
  char *base_url;
};

static const guint timeout_s = 60;

client_t *
client_new (const char *address)
{
  client_t *client = g_new0 (client_t, 1);

  client->session = soup_session_new_with_options ("timeout", timeout_s, NULL);
  client->base_url = g_strconcat ("http://", address, NULL);
  return client;
}

void
client_free (client_t *client)
{
  if (client == NULL)
    return;
  g_object_unref (client->session);
  g_free (client->base_url);
  g_free (client);
}

/* Sets `error` from the daemon's error response. */
static void
read_error (guint status, const char *text, error_info_t *error)
{
  g_autoptr (JsonNode) root = json_parse_object (text, -1, NULL);
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  JsonArray *problems = json_get_array (object, "problems");
  g_autoptr (GString) detail = g_string_new (json_get_string (object, "outcome", ""));

  if (object == NULL)
    {
      (void) error_set (error, ERROR_INTERNAL, "the response has HTTP status %u and no JSON object",
                        status);
      return;
    }
  g_string_append_printf (detail, "%s%s: %s", detail->len > 0 ? ": " : "",
                          json_get_string (object, "error", "error"),
                          json_get_string (object, "reason", ""));
  for (guint i = 1; problems != NULL && i < json_array_get_length (problems); i++)
    g_string_append_printf (detail, "\n  %s", json_array_get_string_element (problems, i));
  (void) error_set (error, error_kind_from_name (json_get_string (object, "error", "")), "%s",
                    detail->str);
}

static SoupMessage *
message_new (const client_t *client, const client_request_t *request)
{
  g_autofree char *url = g_strconcat (client->base_url, request->path, NULL);
  SoupMessage *message = soup_message_new (request->method, url);

  if (message == NULL)
    return NULL;
  if (request->body != NULL)
    {
      g_autoptr (GBytes) body = g_bytes_new (request->body, strlen (request->body));

      soup_message_set_request_body_from_bytes (message, "application/json", body);
    }
  for (const char *const *header = request->headers; header != NULL && header[0] != NULL;
       header += 2)
    soup_message_headers_append (soup_message_get_request_headers (message), header[0], header[1]);
  return message;
}

char *
client_call (client_t *client,
             const client_request_t *request,
             SoupMessageHeaders **headers,
             error_info_t *error)
{
  g_autoptr (SoupMessage) message = message_new (client, request);
  g_autoptr (GError) problem = NULL;
  g_autoptr (GBytes) body = NULL;
  g_autofree char *text = NULL;
  guint status;

  if (message == NULL)
    {
      (void) error_set (error, ERROR_BAD_SETTING, "\"%s%s\" is not a valid URL", client->base_url,
                        request->path);
      return NULL;
    }
  body = soup_session_send_and_read (client->session, message, NULL, &problem);
  if (body == NULL)
    {
      (void) error_set (error, ERROR_UNREACHABLE, "request to %s failed: %s", client->base_url,
                        problem->message);
      return NULL;
    }
  status = soup_message_get_status (message);
  text = g_strndup (g_bytes_get_size (body) > 0 ? g_bytes_get_data (body, NULL) : "",
                    g_bytes_get_size (body));
  if (status < 200 || status > 299)
    {
      read_error (status, text, error);
      return NULL;
    }
  if (headers != NULL)
    *headers = soup_message_headers_ref (soup_message_get_response_headers (message));
  return g_steal_pointer (&text);
}

JsonNode *
client_call_json (client_t *client, const client_request_t *request, error_info_t *error)
{
  g_autofree char *text = client_call (client, request, NULL, error);
  JsonNode *root;

  if (text == NULL)
    return NULL;
  root = json_parse_object (text, -1, NULL);
  if (root == NULL)
    (void) error_set (error, ERROR_INTERNAL, "the response is not a JSON object");
  return root;
}
