/* The connections of one session on which an incarnation of an executor has answered.
 *
 * What is sent on one of them normally reaches the incarnation that has answered on it, or nobody:
 * a connection may be closed without notice here, or stay open without an answer.  But it may also
 * outlive the incarnation, and the next one answers on it (entry/executor_clock.h).
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

/* `connections_max` is how many connections there are to an incarnation at most, and `idle_us` how
 * long the session keeps an unused one open. */
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

/* Marks the connection as busy, if the incarnation has answered on it; if not, returns false.  A
 * connection on which nobody has answered is new, so the session found no idle one to the address:
 * forgets those that count as idle. */
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
