/* The platform's list of VMs, as this VM last received it.
 *
 * The list is delayed.  Its revision grows with each change, so a reader can tell
 * whether a list is newer than a known event.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  MEMBER_NAME_MAX = 63
};

typedef enum
{
  MEMBER_ENTRY,
  MEMBER_EXECUTOR,
  MEMBER_WORKER
} member_role_t;

typedef struct
{
  char id[MEMBER_NAME_MAX + 1];
  char zone[MEMBER_NAME_MAX + 1];
  char rack[MEMBER_NAME_MAX + 1];        /* workers */
  char environment[MEMBER_NAME_MAX + 1]; /* executors */
  char address[MEMBER_NAME_MAX + 1];     /* "IP:PORT" */
  member_role_t role;
  bool leaving;
  guint slots;         /* executors */
  guint connections;   /* executors */
  gint64 cpu_milli;    /* workers: thousandths of a core */
  gint64 memory_mb;    /* workers */
  gint64 accelerators; /* workers */
} member_t;

typedef struct
{
  gint64 revision; /* 0: no list received yet */
  GArray *members; /* member_t, one per id */
} member_list_t;

member_list_t *member_list_new (gint64 revision);
void member_list_free (member_list_t *list);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (member_list_t, member_list_free)

/* Returns the member with this id, or NULL.  The list owns it. */
const member_t *member_list_find (const member_list_t *list, const char *id);
