#include "decide/work_room.h"

enum
{
  /* Enough for the jobs that a VM accepts while there is no leader; the rest is for large jobs. */
  SHARES_DIVISOR = 4
};

gint64
work_room_next_share (const work_room_t *room, gint64 share)
{
  gint64 vms = MAX (room->vms, 1);
  gint64 all = (room->bound - room->known - room->reserved) / SHARES_DIVISOR;
  gint64 part = all / vms;

  if (share > room->bound / SHARES_DIVISOR / vms)
    return MAX (part, 0);
  return MAX (share, MIN (part, all - (room->shares - share)));
}

bool
work_room_may_reserve (const work_room_t *room, gint64 size)
{
  return size <= (room->bound - room->known - room->reserved - room->shares) / 2;
}

void
work_share_set (work_share_t *share, gint64 size)
{
  share->is_known = true;
  share->share = size;
}

bool
work_share_take (work_share_t *share, gint64 size)
{
  if (share->is_known && share->taken + size > share->share)
    return false;
  share->taken += size;
  return true;
}

void
work_share_give_back (work_share_t *share, gint64 size)
{
  share->taken -= size;
}

void
work_share_confirm (work_share_t *share, gint64 size)
{
  share->taken -= size;
  share->share = MAX (share->share - size, 0);
}
