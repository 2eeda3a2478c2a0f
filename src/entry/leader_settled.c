#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/log.h"
#include "entry/keys.h"

#include <stdio.h>
#include <string.h>

/* How long the record waits for placements that it can be stored with. */
static const guint write_delay_ms = 250;

void
leader_settled_free (Mimosastair__SettledStarts *message)
{
  mimosastair__settled_starts__free_unpacked (message, NULL);
}

void
leader_load_settled (leader_t *leader, const guint8 *bytes, gsize size)
{
  Mimosastair__SettledStarts *message = mimosastair__settled_starts__unpack (NULL, size, bytes);
  leader_settled_t *settled = &leader->settled;

  if (message == NULL)
    {
      LOG_WARN ("bad_record", "key=%s", KEYS_SETTLED_STARTS);
      return;
    }
  /* A leader in between may have ordered starts again. */
  if (message->epoch + 1 != leader->config.epoch)
    {
      LOG_INFO ("settled_starts_outdated", "epoch=%u own=%u", message->epoch, leader->config.epoch);
      mimosastair__settled_starts__free_unpacked (message, NULL);
      return;
    }
  g_clear_pointer (&settled->former, leader_settled_free);
  settled->former = message;
  scheduler_set_former_repeats (leader->scheduler, message->may_repeat);
}

static const Mimosastair__SettledPlacements *
find_placements (const Mimosastair__SettledStarts *settled, gint64 fence)
{
  for (gsize i = 0; i < settled->n_placements; i++)
    {
      if (settled->placements[i]->fence == fence)
        return settled->placements[i];
    }
  return NULL;
}

static bool
is_start_known (const Mimosastair__SettledStarts *settled, const char *key, guint index)
{
  const Mimosastair__SettledPlacements *placements;
  gint64 fence;
  guint64 number;

  if (sscanf (key, KEYS_PLACEMENT_PREFIX "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT, &fence, &number)
      != 2)
    return false;
  placements = find_placements (settled, fence);
  if (placements == NULL || number >= placements->below
      || placements->n_open_placements != placements->n_open_runs)
    return false;
  for (gsize i = 0; i < placements->n_open_runs; i++)
    {
      if (placements->open_placements[i] == number && placements->open_runs[i] == index)
        return false;
    }
  return true;
}

void
leader_apply_settled (const leader_t *leader, const char *key, guint index, placed_run_t *run)
{
  const Mimosastair__SettledStarts *settled = leader->settled.former;

  if (settled == NULL)
    return;
  run->is_start_known = is_start_known (settled, key, index);
  run->is_steady = run->is_start_known;
  for (gsize i = 0; i < settled->n_unsteady && run->is_steady; i++)
    run->is_steady = strcmp (settled->unsteady[i], run->executor) != 0;
}

/* Whether a placement of that leader is still in the store. */
static bool
has_inherited (const leader_t *leader, gint64 fence)
{
  g_autofree char *prefix = g_strdup_printf (KEYS_PLACEMENT_PREFIX "%" G_GINT64_FORMAT "-", fence);

  for (guint i = 0; i < leader->inherited_placement_keys->len; i++)
    {
      if (g_str_has_prefix (g_ptr_array_index (leader->inherited_placement_keys, i), prefix))
        return true;
    }
  return false;
}

/* Adds the entries of earlier leaders, whose placements the next one may still find. */
static void
add_former (const leader_t *leader, GPtrArray *entries)
{
  const Mimosastair__SettledStarts *former = leader->settled.former;

  for (gsize i = 0; former != NULL && i < former->n_placements; i++)
    {
      if (has_inherited (leader, former->placements[i]->fence))
        g_ptr_array_add (entries, former->placements[i]);
    }
}

/* Fills the entry of this leader, whose lists are allocated. */
static void
fill_own (const leader_t *leader,
          const settled_starts_t *settled,
          Mimosastair__SettledPlacements *own)
{
  own->fence = leader->config.fence;
  own->below = settled->below;
  own->n_open_placements = settled->open->len;
  own->n_open_runs = settled->open->len;
  own->open_placements = g_new (uint64_t, settled->open->len);
  own->open_runs = g_new (uint32_t, settled->open->len);
  for (guint i = 0; i < settled->open->len; i++)
    {
      const open_start_t *start = &g_array_index (settled->open, open_start_t, i);

      own->open_placements[i] = start->placement;
      own->open_runs[i] = start->run;
    }
}

static void
write_record (leader_t *leader, const settled_starts_t *settled, guint delay_ms)
{
  Mimosastair__SettledStarts message = MIMOSASTAIR__SETTLED_STARTS__INIT;
  Mimosastair__SettledPlacements own = MIMOSASTAIR__SETTLED_PLACEMENTS__INIT;
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();
  guint8 *packed;
  gsize size;

  add_former (leader, entries);
  g_ptr_array_add (entries, &own);
  fill_own (leader, settled, &own);
  message.epoch = leader->config.epoch;
  message.may_repeat = settled->may_repeat;
  message.n_placements = entries->len;
  message.placements = (Mimosastair__SettledPlacements **) entries->pdata;
  message.n_unsteady = settled->unsteady->len;
  message.unsteady = (char **) settled->unsteady->pdata;
  size = mimosastair__settled_starts__get_packed_size (&message);
  packed = g_malloc (size);
  mimosastair__settled_starts__pack (&message, packed);
  placement_writer_write_settled (leader->placement_writer, packed, size, delay_ms);
  g_free (own.open_placements);
  g_free (own.open_runs);
}

void
leader_write_settled (leader_t *leader, gint64 now_us)
{
  guint64 known_starts = scheduler_known_starts (leader->scheduler);
  bool is_first = !leader->settled.is_written;
  settled_starts_t settled;

  if (leader->placement_writer == NULL
      || (!is_first && leader->settled.known_starts == known_starts))
    return;
  leader->settled.known_starts = known_starts;
  leader->settled.is_written = true;
  scheduler_get_settled_starts (leader->scheduler, &settled, now_us);
  /* The next leader may rely on no record of former ones, so the first one is not delayed. */
  write_record (leader, &settled, is_first ? 0 : write_delay_ms);
  settled_starts_clear (&settled);
}
