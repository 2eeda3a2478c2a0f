/* Blocking HTTP calls of the command-line tool. */
#pragma once

#include "base/error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct client client_t;

client_t *client_new (const char *address);
void client_free (client_t *client);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (client_t, client_free)

typedef struct
{
  const char *method;
  const char *path;           /* with the query */
  const char *body;           /* NULL: none */
  const char *const *headers; /* name, value, …, NULL; may be NULL */
} client_request_t;

/* Returns the answer's text, or NULL with the error that the daemon told.  `*headers`
 * (may be NULL) takes the answer's headers. */
char *client_call (client_t *client,
                   const client_request_t *request,
                   SoupMessageHeaders **headers,
                   error_info_t *error);

/* The same for an answer that is a JSON object. */
JsonNode *client_call_json (client_t *client, const client_request_t *request, error_info_t *error);
