#define LOG_MODULE "placements"

#include "entry/placement_writer.h"

#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"

typedef struct
{
  guint64 placement;
  char *key;
  guint8 *value;
  gsize bytes;
} record_t;

struct placements
{
  store_t *store;
  char *claim_key;
  gint64 claim_revision;
  const placements_events_t *events;
  void *data;
  GPtrArray *waiting; /* record_t */
  guint calls;        /* transactions on their way, or to be sent again */
  bool is_closed;
};

/* Records that share a transaction. */
typedef struct
{
  placements_t *placements;
  GPtrArray *records;
} group_t;

enum
{
  GROUPS_AT_ONCE = 2,
  RECORDS_MAX = STORE_TXN_ROWS - 1, /* beside the condition */
  RETRY_MS = 40
};

static void send_group (group_t *group);

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static void
destroy (placements_t *placements)
{
  g_ptr_array_unref (placements->waiting);
  g_free (placements->claim_key);
  g_free (placements);
}

/* Ends a transaction; true when the placements was closed meanwhile. */
static bool
end_group (group_t *group)
{
  placements_t *placements = group->placements;

  placements->calls--;
  g_ptr_array_unref (group->records);
  g_free (group);
  if (!placements->is_closed)
    return false;
  if (placements->calls == 0)
    destroy (placements);
  return true;
}

static void
send_waiting (placements_t *placements)
{
  while (placements->waiting->len > 0 && placements->calls < GROUPS_AT_ONCE)
    {
      group_t *group = g_new0 (group_t, 1);

      group->placements = placements;
      group->records = g_ptr_array_new_with_free_func (record_free);
      while (placements->waiting->len > 0 && group->records->len < RECORDS_MAX)
        g_ptr_array_add (group->records, g_ptr_array_steal_index (placements->waiting, 0));
      placements->calls++;
      send_group (group);
    }
}

static gboolean
send_again (gpointer data)
{
  group_t *group = data;

  if (group->placements->is_closed)
    (void) end_group (group);
  else
    send_group (group);
  return G_SOURCE_REMOVE;
}

static void
tell_stored (group_t *group)
{
  placements_t *placements = group->placements;

  for (guint i = 0; i < group->records->len && !placements->is_closed; i++)
    placements->events->stored (
        ((const record_t *) g_ptr_array_index (group->records, i))->placement, placements->data);
}

static void
written (const store_reply_t *reply, void *data)
{
  group_t *group = data;
  placements_t *placements = group->placements;

  if (placements->is_closed)
    {
      (void) end_group (group);
      return;
    }
  switch (reply->status)
    {
    case STORE_LOST:
    case STORE_UNAVAILABLE:
      LOG_WARN ("placement_retry", "first=%" G_GUINT64_FORMAT " records=%u status=%s",
                ((const record_t *) g_ptr_array_index (group->records, 0))->placement,
                group->records->len, store_status_name (reply->status));
      (void) g_timeout_add (RETRY_MS, send_again, group);
      return;
    case STORE_DONE:
      tell_stored (group);
      break;
    case STORE_REFUSED:
    case STORE_MISSING:
      placements->events->refused (placements->data);
      break;
    }
  if (!end_group (group))
    send_waiting (placements);
}

static void
send_group (group_t *group)
{
  placements_t *placements = group->placements;
  store_expect_t expect = { placements->claim_key, placements->claim_revision };
  store_write_t writes[RECORDS_MAX];

  for (guint i = 0; i < group->records->len; i++)
    {
      const record_t *record = g_ptr_array_index (group->records, i);

      writes[i] = (store_write_t){ record->key, record->value, record->bytes, 0 };
    }
  placements->store->calls->txn (placements->store, &expect, 1, writes, group->records->len,
                                 written, group);
}

placements_t *
placements_new (store_t *store,
                const char *claim_key,
                gint64 claim_revision,
                const placements_events_t *events,
                void *data)
{
  placements_t *placements = g_new0 (placements_t, 1);

  placements->store = store;
  placements->claim_key = g_strdup (claim_key);
  placements->claim_revision = claim_revision;
  placements->events = events;
  placements->data = data;
  placements->waiting = g_ptr_array_new_with_free_func (record_free);
  return placements;
}

void
placements_free (placements_t *placements)
{
  if (placements == NULL)
    return;
  placements->is_closed = true;
  if (placements->calls == 0)
    destroy (placements);
}

char *
placements_key (const placements_t *placements, guint64 placement)
{
  return g_strdup_printf (KEYS_PLACEMENTS "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
                          placements->claim_revision, placement);
}

void
placements_store (placements_t *placements,
                  guint64 placement,
                  const placed_run_t *runs,
                  guint count)
{
  record_t *record = g_new0 (record_t, 1);

  record->placement = placement;
  record->key = placements_key (placements, placement);
  record->value = codec_pack_placement (runs, count, &record->bytes);
  g_ptr_array_add (placements->waiting, record);
  send_waiting (placements);
}
