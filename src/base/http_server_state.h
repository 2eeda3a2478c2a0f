/* Internal state of the HTTP server, which http_server.c, http_connections.c and http_refusal.c
 * share. */
#pragma once

#include "base/http_server.h"
#include "base/list.h"
#include "base/memory_budget.h"

#include <libsoup/soup.h>

#define HTTP_JSON_TYPE "application/json"

typedef enum
{
  CONNECTION_READING,    /* waiting for the first request, or receiving a request */
  CONNECTION_RESPONDING, /* a complete request was received */
  CONNECTION_IDLE        /* the response was sent; another request may follow */
} connection_state_t;

/* One accepted connection. */
typedef struct
{
  list_node_t node;
  http_server_t *server;
  GSocket *socket;                /* weak reference */
  GSocketAddress *remote_address; /* names the connection to the library */
  connection_state_t state;
  gint64 state_since_us;  /* time of the last state change */
  gint64 closed_since_us; /* 0: not known to be closed */
  bool is_replaced;       /* shut down for a new one, and not released yet */
  bool has_headers;       /* the headers of a request were received */
  bool is_refused;        /* this layer responds to the request with an error */
  goffset body_bytes;     /* received so far of the current request */
  gint64 held_bytes;      /* of MEMORY_REQUESTS, for the body of the current request */
  gint64 window_start_us; /* of the body's rate */
  goffset window_bytes;   /* received since */
} connection_t;

struct http_server
{
  SoupServer *soup;
  acceptor_t *acceptor; /* NULL: stopped */
  http_limits_t limits;
  http_handler_t handler;
  void *data;
  list_node_t connection_list;
  GHashTable *connections; /* GSocketAddress, by identity -> connection_t */
  guint connection_count;
  guint replaced_count; /* of connection_count */
  guint open_request_count;
  guint sweep_timer;
  gint64 last_sweep_us;
  bool is_stopping;
  http_counters_t counters;
};

/* ---- http_connections.c: the open connections, from their acceptance to their release. */

/* Returns NULL if the connection was released meanwhile. */
connection_t *http_connection_find (const http_server_t *server, SoupServerMessage *message);

/* Gives back the memory of the body that is being read. */
void http_connection_give_back (connection_t *connection);

void http_connection_shutdown (const connection_t *connection);

/* Stops tracking a connection whose socket still exists. */
void http_connection_untrack (connection_t *connection);

/* Callbacks of the acceptor; `data` is the server. */
bool http_connections_have_room (void *data);
void http_connections_accept (GSocketConnection *stream, void *data);

/* Handlers of the library's signals; `data` is the server. */
void
http_connections_on_request_started (SoupServer *soup, SoupServerMessage *message, gpointer data);
void http_connections_on_request_read (SoupServer *soup, SoupServerMessage *message, gpointer data);
void
http_connections_on_request_finished (SoupServer *soup, SoupServerMessage *message, gpointer data);

/* Releases closed connections, and closes those whose client is too slow.  Called periodically. */
gboolean http_connections_sweep (gpointer data);

/* ---- http_refusal.c: requests that are refused by their headers or their body. */

/* Handler of the library for the headers of a request; `data` is the server. */
void http_refusal_on_headers (SoupServer *soup,
                              SoupServerMessage *message,
                              const char *path,
                              GHashTable *query,
                              gpointer data);

/* Handler of the signal "got-chunk"; `data` is the server. */
void http_refusal_on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data);

/* Responds to a request whose body comes too slowly; its connection is to be closed. */
void http_refuse_slow_body (http_server_t *server, const connection_t *connection);

/* Why a request that finds no memory is refused, and when its client may come back. */
extern const error_info_t http_refusal_no_memory;
gint64 http_refusal_retry_after_ms (const http_server_t *server);

/* Returns the body of an error response; free with g_free(). */
char *http_error_to_json (const error_info_t *error, outcome_t outcome, gint64 retry_after_ms);
