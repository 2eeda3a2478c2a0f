/* Speaks the platform's key-value protocol on loopback for a fake service, so that whole entry
 * daemons can run against it.  Each front has an address of its own: the service can turn one VM
 * away and serve the others.
 */
#pragma once

#include "fake_store.h"

typedef struct http_store http_store_t;

typedef enum
{
  HTTP_STORE_SERVES,
  HTTP_STORE_REFUSES, /* answers every call with 503, also those that are waiting */
  HTTP_STORE_SILENT   /* answers no call, and none that is waiting */
} http_store_mode_t;

/* `service` is borrowed. */
http_store_t *http_store_new (fake_service_t *service);

/* Returns "IP:PORT", borrowed. */
const char *http_store_address (const http_store_t *front);

void http_store_set_mode (http_store_t *front, http_store_mode_t mode);
