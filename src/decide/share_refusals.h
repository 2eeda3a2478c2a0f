/* What a VM knows of the workspaces whose work beyond their share is to stay away.
 *
 * The leader tells it, each time in full, while the fleet is full (scheduler_refusals.c).  What it
 * has not repeated for 1 s is forgotten.  Of a workspace that is told, the VM accepts its part of
 * the share: a token bucket with one second's worth, at least one job.  Callers beyond that are
 * told to retry one after the other, as the VM's part can take them.  Pure functions. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct share_refusals share_refusals_t;

/* Work of the workspace in this queue that is beyond the share stays away. */
typedef struct
{
  const char *workspace;
  const char *queue;
  guint stay_ms;    /* for at least so long */
  guint rate_milli; /* the VM's part of the share, in thousandths of a job a second */
} share_refusal_t;

share_refusals_t *share_refusals_new (void);

/* NULL is allowed. */
void share_refusals_free (share_refusals_t *refusals);

/* Replaces what the leader has told.  Copies the rows; those of a workspace have the same rate. */
void share_refusals_set (share_refusals_t *refusals,
                         const share_refusal_t *rows,
                         guint count,
                         gint64 now_us);

/* The leader is lost. */
void share_refusals_clear (share_refusals_t *refusals);

/* Counts a job of the workspace (NULL: none).  Returns 0 if it may be accepted, or else the time in
 * milliseconds after which its caller should retry. */
gint64 share_refusals_check (share_refusals_t *refusals,
                             const char *workspace,
                             const char *queue,
                             gint64 now_us);
