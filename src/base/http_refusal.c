#include "base/http_server_state.h"

#include "base/json.h"

#include <string.h>

enum
{
  BODY_GRACE_US = G_USEC_PER_SEC,
  RETRY_AFTER_MAX_S = 3
};

static const goffset refused_body_max_bytes = 4 * 1024 * 1024;
static const guint status_headers_too_large = 431;

char *
http_error_to_json (const error_info_t *error, outcome_t outcome, gint64 retry_after_ms)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_string (builder, "outcome", outcome_name (outcome));
  json_put_string (builder, "error", error_properties (error->kind)->name);
  json_put_string (builder, "reason", error->detail);
  json_put_bool (builder, "retry", error_properties (error->kind)->retry);
  if (retry_after_ms > 0)
    json_put_int (builder, "retry_after_ms", retry_after_ms);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static error_kind_t
refused_kind (guint status)
{
  switch (status)
    {
    case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
      return ERROR_TOO_LARGE;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return ERROR_OVERLOADED;
    default:
      return ERROR_BAD_REQUEST;
    }
}

/* Responds with an error to a request that violates a limit, and closes the connection after
 * the response. */
static void
refuse_request (http_server_t *server, SoupServerMessage *message, guint status, const char *reason)
{
  error_info_t error = { .kind = refused_kind (status) };
  connection_t *connection = http_connection_find (server, message);
  char *text;

  g_strlcpy (error.detail, reason, sizeof error.detail);
  text = http_error_to_json (&error, OUTCOME_NOT_RUN, 0);
  server->counters.refused_requests++;
  if (connection != NULL)
    connection->is_refused = true;
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, HTTP_JSON_TYPE, SOUP_MEMORY_TAKE, text, strlen (text));
}

/* Responds before the body is read.  The library would read the body first. */
static void
refuse_before_body (http_server_t *server, SoupServerMessage *message, const char *text)
{
  connection_t *connection = http_connection_find (server, message);

  if (connection == NULL)
    return;
  (void) g_socket_send (connection->socket, text, strlen (text), NULL, NULL);
  /* Only the sending side is shut down.  The rest of the request is still read, because unread
   * data would reset the connection and the client would lose the response. */
  (void) g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
}

/* Spreads the clients that were refused for lack of memory over the seconds in which slow bodies
 * give theirs back. */
gint64
http_refusal_retry_after_ms (const http_server_t *server)
{
  return (gint64) (1 + server->counters.refused_requests % RETRY_AFTER_MAX_S) * 1000;
}

const error_info_t http_refusal_no_memory
    = { .kind = ERROR_OVERLOADED, .detail = "the memory for requests is in use" };

/* Returns the whole response to a request whose body has no room. */
static char *
no_memory_response (const http_server_t *server)
{
  gint64 retry_after_ms = http_refusal_retry_after_ms (server);
  g_autofree char *json
      = http_error_to_json (&http_refusal_no_memory, OUTCOME_NOT_RUN, retry_after_ms);

  return g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                          "Content-Type: application/json\r\nMimosastair-Outcome: %s\r\n"
                          "Retry-After: %" G_GINT64_FORMAT "\r\nContent-Length: %zu\r\n\r\n%s",
                          outcome_name (OUTCOME_NOT_RUN), retry_after_ms / 1000, strlen (json),
                          json);
}

/* Refuses a request whose body has no room, and frees what was read of it. */
static void
refuse_for_memory (http_server_t *server, SoupServerMessage *message)
{
  g_autofree char *text = no_memory_response (server);

  refuse_request (server, message, SOUP_STATUS_SERVICE_UNAVAILABLE, http_refusal_no_memory.detail);
  soup_message_body_truncate (soup_server_message_get_request_body (message));
  refuse_before_body (server, message, text);
}

/* Takes the memory for `bytes` more of the body. */
static bool
take_body_memory (http_server_t *server, SoupServerMessage *message, goffset bytes)
{
  connection_t *connection = http_connection_find (server, message);

  if (connection == NULL)
    return true;
  if (memory_take (MEMORY_REQUESTS, connection->held_bytes, bytes))
    {
      connection->held_bytes += bytes;
      return true;
    }
  http_connection_give_back (connection);
  refuse_for_memory (server, message);
  return false;
}

typedef struct
{
  gsize bytes;
  guint content_lengths;
  guint transfer_encodings;
  guint idempotency_keys;
} header_totals_t;

static void
add_header (const char *name, const char *value, gpointer data)
{
  header_totals_t *totals = data;

  totals->bytes += strlen (name) + strlen (value) + 4;
  totals->content_lengths += g_ascii_strcasecmp (name, "Content-Length") == 0;
  totals->transfer_encodings += g_ascii_strcasecmp (name, "Transfer-Encoding") == 0;
  totals->idempotency_keys += g_ascii_strcasecmp (name, "Idempotency-Key") == 0;
}

/* Refuses a request by its headers, before its body is read.  A request that gives its length
 * twice is refused because two parsers could interpret it differently (request smuggling).
 * Returns true if the request is accepted. */
static bool
check_headers (http_server_t *server, SoupServerMessage *message)
{
  static const char ambiguous_length[]
      = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
        "Content-Type: application/json\r\n\r\n"
        "{\"outcome\":\"not_run\",\"error\":\"bad_request\",\"reason\":"
        "\"the length of the body is given more than once\",\"retry\":false}";
  static const char negative_length[]
      = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
        "Content-Type: application/json\r\n\r\n"
        "{\"outcome\":\"not_run\",\"error\":\"bad_request\",\"reason\":"
        "\"the length of the body is negative\",\"retry\":false}";
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  header_totals_t totals = { .bytes = 0 };

  soup_message_headers_foreach (headers, add_header, &totals);
  if (totals.bytes > server->limits.header_bytes)
    {
      refuse_request (server, message, status_headers_too_large,
                      "the headers are larger than allowed");
      return false;
    }
  if (totals.content_lengths > 1 || totals.transfer_encodings > 1
      || (totals.content_lengths > 0 && totals.transfer_encodings > 0))
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "the length of the body is given more than once");
      refuse_before_body (server, message, ambiguous_length);
      return false;
    }
  if (totals.idempotency_keys > 1)
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "Idempotency-Key is given more than once");
      return false;
    }
  if (soup_message_headers_get_content_length (headers) < 0)
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "the length of the body is negative");
      refuse_before_body (server, message, negative_length);
      return false;
    }
  if (soup_message_headers_get_content_length (headers) > server->limits.body_bytes)
    {
      refuse_request (server, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                      "the body is larger than allowed");
      return false;
    }
  return take_body_memory (server, message, soup_message_headers_get_content_length (headers));
}

void
http_refusal_on_headers (SoupServer *soup G_GNUC_UNUSED,
                         SoupServerMessage *message,
                         const char *path G_GNUC_UNUSED,
                         GHashTable *query G_GNUC_UNUSED,
                         gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = http_connection_find (server, message);

  if (connection != NULL)
    {
      connection->has_headers = true;
      connection->window_start_us = g_get_monotonic_time () + BODY_GRACE_US;
      connection->window_bytes = 0;
    }
  (void) check_headers (server, message);
}

void
http_refusal_on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = http_connection_find (server, message);
  goffset limit_bytes = server->limits.body_bytes;

  if (connection == NULL)
    return;
  /* The body of a refused request is read and discarded, because the response would be lost if
   * unread data reset the connection.  A limit still applies. */
  if (connection->is_refused)
    limit_bytes = MAX (limit_bytes, refused_body_max_bytes);
  connection->body_bytes += (goffset) g_bytes_get_size (chunk);
  if (g_get_monotonic_time () >= connection->window_start_us)
    connection->window_bytes += (goffset) g_bytes_get_size (chunk);
  if (connection->body_bytes <= limit_bytes)
    {
      /* Only a chunked body is not taken at its headers. */
      if (!connection->is_refused && connection->body_bytes > connection->held_bytes)
        (void) take_body_memory (server, message, connection->body_bytes - connection->held_bytes);
      return;
    }
  server->counters.refused_requests++;
  http_connection_shutdown (connection);
}

/* Refuses a request whose body comes too slowly, and closes its connection, which frees what was
 * read. */
void
http_refuse_slow_body (http_server_t *server, const connection_t *connection)
{
  g_autofree char *text = no_memory_response (server);

  server->counters.refused_requests++;
  (void) g_socket_send (connection->socket, text, strlen (text), NULL, NULL);
}
