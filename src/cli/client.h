/* Blocking HTTP client of the command-line tool. */
#pragma once

#include "base/error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct client client_t;

/* `address` is "IP:PORT". */
client_t *client_new (const char *address);
void client_free (client_t *client);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (client_t, client_free)

typedef struct
{
  const char *method;
  const char *path;           /* including the query string */
  const char *body;           /* JSON text; NULL: no body */
  const char *const *headers; /* alternating names and values, NULL-terminated; may be NULL */
} client_request_t;

/* Sends a request and returns the body of the response, to be freed with g_free().  Returns
 * NULL with the daemon's error if the status is not 2xx, with ERROR_UNREACHABLE if there is no
 * response, or with ERROR_BAD_SETTING if the URL is invalid.  `headers` may be NULL; otherwise
 * `*headers` is set on success.  Free it with soup_message_headers_unref(). */
char *client_call (client_t *client,
                   const client_request_t *request,
                   SoupMessageHeaders **headers,
                   error_info_t *error);

/* Like client_call(), for a response that is a JSON object.  Returns NULL with ERROR_INTERNAL if
 * it is not one.  Free with json_node_unref(). */
JsonNode *client_call_json (client_t *client, const client_request_t *request, error_info_t *error);
