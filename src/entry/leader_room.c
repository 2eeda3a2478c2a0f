#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/work_room.h"

/* Longer than a job takes to be stored and announced. */
static const gint64 reservation_us = 10 * G_USEC_PER_SEC;

typedef struct
{
  gint64 bytes;
  gint64 expires_us;
} reservation_t;

/* The next leader may be any VM, so the one with the least memory counts. */
static work_room_t
get_room (const leader_t *leader)
{
  work_room_t room = { .bound = leader->config.job_bytes_max,
                       .known = scheduler_all_job_bytes (leader->scheduler),
                       .reserved = leader->room.reserved_bytes };

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL)
        continue;
      room.vms++;
      room.shares += vm->job_share;
      if (vm->job_bytes_max > 0 && !vm->is_leaving)
        room.bound = MIN (room.bound, vm->job_bytes_max);
    }
  return room;
}

static void
drop_reservation (leader_t *leader, const char *id)
{
  const reservation_t *reservation = g_hash_table_lookup (leader->room.reservations, id);

  if (reservation == NULL)
    return;
  leader->room.reserved_bytes -= reservation->bytes;
  g_hash_table_remove (leader->room.reservations, id);
}

void
leader_expire_reservations (leader_t *leader, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->room.reservations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const reservation_t *reservation = value;

      if (reservation->expires_us > now_us)
        continue;
      leader->room.reserved_bytes -= reservation->bytes;
      g_hash_table_iter_remove (&iter);
    }
}

bool
leader_reserve_room (leader_t *leader, const char *id, gint64 bytes)
{
  work_room_t room;
  reservation_t *reservation;

  drop_reservation (leader, id);
  room = get_room (leader);
  if (!work_room_may_reserve (&room, bytes))
    {
      LOG_WARN ("job_without_room",
                "job=%s bytes=%" G_GINT64_FORMAT " known=%" G_GINT64_FORMAT
                " reserved=%" G_GINT64_FORMAT " bound=%" G_GINT64_FORMAT " shares=%" G_GINT64_FORMAT
                " vms=%u",
                id, bytes, room.known, room.reserved, room.bound, room.shares, room.vms);
      return false;
    }
  reservation = g_new0 (reservation_t, 1);
  reservation->bytes = bytes;
  reservation->expires_us = clock_now_us () + reservation_us;
  leader->room.reserved_bytes += bytes;
  g_hash_table_insert (leader->room.reservations, g_strdup (id), reservation);
  return true;
}

bool
leader_raise_share (vm_t *vm)
{
  const leader_t *leader = vm->leader;
  gint64 connect_delay_us = (gint64) CONNECT_DELAY_MS * 1000;
  work_room_t room = get_room (leader);

  if (!leader->is_loaded || clock_now_us () - leader->started_us <= connect_delay_us)
    return false;
  if (vm->name != NULL)
    vm->job_share = work_room_next_share (&room, vm->job_share);
  return true;
}

void
leader_use_room (vm_t *vm, const job_spec_t *spec)
{
  if (g_hash_table_contains (vm->leader->room.reservations, spec->id))
    drop_reservation (vm->leader, spec->id);
  else
    vm->job_share = MAX (vm->job_share - scheduler_job_bytes (spec), 0);
}
