/* The connections of one session on which an incarnation of an executor has answered.
 *
 * A connection ends with the process at its other end, so what is sent on one of them reaches the
 * incarnation that has answered on it, or nobody.  A connection may be closed without notice here.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct answered_connections answered_connections_t;

/* One incarnation of an executor; borrowed for the call. */
typedef struct
{
  const char *address; /* "IP:PORT" */
  gint64 born;
} incarnation_t;

/* `connections_max` and `idle_us` are those of the session: how many connections it opens to each
 * address, and how long an unused one stays open. */
answered_connections_t *answered_connections_new (guint connections_max, gint64 idle_us);
void answered_connections_free (answered_connections_t *connections); /* accepts NULL */

/* The incarnation has answered on the connection `id`, which was new. */
void answered_connections_add (answered_connections_t *connections,
                               guint64 id,
                               const incarnation_t *incarnation,
                               gint64 now_us);

/* Has the incarnation answered on the connection? */
bool answered_connections_has (const answered_connections_t *connections,
                               guint64 id,
                               const incarnation_t *incarnation);

/* Has a former incarnation answered on the connection?  If so, the connection may be open without
 * a process at its other end: the caller does not use it, which closes it, and it is forgotten. */
bool answered_connections_drop_former (answered_connections_t *connections,
                                       guint64 id,
                                       const incarnation_t *incarnation);

/* Marks the connection as used now, if the incarnation has answered on it.  Returns whether it
 * has. */
bool answered_connections_touch (answered_connections_t *connections,
                                 guint64 id,
                                 const incarnation_t *incarnation,
                                 gint64 now_us);

/* Marks the connection as busy, if the incarnation has answered on it.  If not, the session found
 * no idle connection to the address: forgets those that count as idle, and returns false. */
bool answered_connections_take (answered_connections_t *connections,
                                guint64 id,
                                const incarnation_t *incarnation);

/* Ends answered_connections_take().  Does nothing if the connection is unknown. */
void answered_connections_release (answered_connections_t *connections,
                                   guint64 id,
                                   bool is_open,
                                   gint64 now_us);

/* Is the next call to the address likely to get a connection on which the incarnation has
 * answered? */
bool answered_connections_is_likely (const answered_connections_t *connections,
                                     const incarnation_t *incarnation);
