/* Bound of the memory that accepted jobs take on the leader, and on each VM that may be the next.
 *
 * Each VM has a share of the room, from which it accepts jobs without asking; all shares together
 * are a quarter of the room at most.  A job that does not fit into its VM's share has room reserved
 * by the leader first.  Leader and VM take a job from the share when the leader knows it, so that
 * both go by the same share.  It is not made smaller otherwise, as the VM may be using it, unless
 * VMs have joined: they divide the room by more, and one with less memory lowers the bound.  Pure
 * functions; sizes in bytes. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* What a leader knows. */
typedef struct
{
  gint64 bound;    /* of the VM with the least memory */
  gint64 known;    /* of jobs that it knows */
  gint64 reserved; /* for jobs that are being stored */
  gint64 shares;   /* of all VMs */
  guint vms;
} work_room_t;

/* Returns the next share of a VM that has `share`: less only if that exceeds an equal part of what
 * all shares may be. */
gint64 work_room_next_share (const work_room_t *room, gint64 share);

/* Whether a job may be reserved: one alone gets half of what is left, so that small ones have room.
 */
bool work_room_may_reserve (const work_room_t *room, gint64 size);

/* What a VM knows. */
typedef struct
{
  bool is_known; /* a leader has told the share */
  gint64 share;
  gint64 taken; /* by jobs that are being stored, or that the leader has not confirmed */
} work_share_t;

/* The leader has told the share. */
void work_share_set (work_share_t *share, gint64 size);

/* Takes `size` of the share, or returns false. */
bool work_share_take (work_share_t *share, gint64 size);

/* The job is not stored. */
void work_share_give_back (work_share_t *share, gint64 size);

/* The leader knows the job.  Its share is used up until the leader tells the next one. */
void work_share_confirm (work_share_t *share, gint64 size);
