/* Bounds the open connections of all pools to their share of the process's descriptors.
 *
 * A pool is the connections of one session to one address.  A claim stands for one connection that
 * a call uses.  Claims beyond the share wait, the most urgent first, then in their order.  To make
 * room, the connection that has been unused longest is closed.  Long polls leave a part of the
 * share to the other calls, and are shortened so that each has its turn about as often as if none
 * had to wait.
 *
 * A connection counts from the claim that may open it until it is closed.
 */
#pragma once

#include "base/list.h"

#include <gio/gio.h>
#include <stdbool.h>

typedef struct connection_share connection_share_t;
typedef struct connection_pool connection_pool_t;
typedef struct open_connection open_connection_t;

/* The most urgent first. */
typedef enum
{
  CONNECTION_FOR_STOP,
  CONNECTION_FOR_HOLD, /* a long poll */
  CONNECTION_FOR_START,
} connection_use_t;

enum
{
  CONNECTION_USES = CONNECTION_FOR_START + 1
};

/* `is_granted`: a connection of the pool may be used, or opened, until the claim is released.  If
 * not, the claim has ended. */
typedef void (*connection_claim_done_t) (bool is_granted, void *data);

/* A claim, embedded in what uses the connection.  Its fields are private. */
typedef struct
{
  list_node_t node; /* linked while it waits */
  connection_share_t *share;
  connection_pool_t *pool;
  open_connection_t *connection; /* that its call uses now; NULL: none yet */
  connection_use_t use;
  gint64 born;
  gint64 deadline_us;
  connection_claim_done_t done;
  void *data;
} connection_claim_t;

/* What a claim is for. */
typedef struct
{
  const void *session;   /* identifies it */
  const char *address;   /* "IP:PORT" */
  guint connections_max; /* to one incarnation of the executor at this address */
  connection_use_t use;
  gint64 born; /* that incarnation; calls to former ones leave it its connections; 0: not known */
  guint timeout_ms; /* the longest wait */
} connection_request_t;

/* Sets the share of each connection_share_t of the process; 0: no bound. */
void connection_share_set_limit (guint connections);

connection_share_t *connection_share_new (void);

/* Refuses the claims that wait, and all later ones, from the main loop. */
void connection_share_close (connection_share_t *share);

/* Claims that were granted are to be released first.  Accepts NULL. */
void connection_share_free (connection_share_t *share);

/* Claims a connection.  `done` is called exactly once: before this function returns if the claim is
 * granted at once, later otherwise. */
void connection_share_claim (connection_share_t *share,
                             connection_claim_t *claim,
                             const connection_request_t *request,
                             connection_claim_done_t done,
                             void *data,
                             gint64 now_us);

/* Ends a claim that was granted.  Others may be granted before this function returns. */
void connection_share_release (connection_claim_t *claim);

/* The connection `id` of the session was opened for a call of the claim, which uses it. */
void connection_share_opened (connection_claim_t *claim, guint64 id, GIOStream *stream);

/* A call of the claim begins to use the connection `id`, which was opened before. */
void connection_share_used (connection_claim_t *claim, guint64 id);

/* The call has ended.  `is_kept`: its connection may be used again; if not, it counts until it is
 * closed. */
void connection_share_unused (connection_claim_t *claim, bool is_kept);

/* Returns whether the next call of a granted claim finds an open connection. */
bool connection_share_has_idle (const connection_claim_t *claim);

/* Returns whether long polls are shortened, as there are more of them than may be open. */
bool connection_share_is_crowded (const connection_share_t *share);

/* Returns how long a poll may wait that would wait `wait_ms` if there were room for all. */
guint connection_share_poll_ms (const connection_share_t *share, guint wait_ms);

/* Appends mimosastair_executor_connections and the metrics of calls that wait for one. */
void connection_share_append_metrics (GString *out);
