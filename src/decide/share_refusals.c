#include "decide/share_refusals.h"

/* The leader repeats itself with each pong, every 250 ms. */
static const gint64 told_for_us = G_USEC_PER_SEC;
/* Longer than the bursts for which work is refused: a caller that is told more has no use of it. */
static const gint64 max_retry_us = 10 * G_USEC_PER_SEC;

typedef struct
{
  GHashTable *queues; /* name -> stay_ms (pointer to integer) */
  guint rate_milli;
  double tokens; /* jobs that may be accepted */
  gint64 filled_us;
  gint64 next_retry_us; /* no caller was told to retry after this */
  bool is_told;         /* by the latest rows */
} part_t;

struct share_refusals
{
  GHashTable *parts; /* workspace -> part_t */
  gint64 told_us;
};

static void
part_free (gpointer data)
{
  part_t *part = data;

  g_hash_table_unref (part->queues);
  g_free (part);
}

share_refusals_t *
share_refusals_new (void)
{
  share_refusals_t *refusals = g_new0 (share_refusals_t, 1);

  refusals->parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, part_free);
  return refusals;
}

void
share_refusals_free (share_refusals_t *refusals)
{
  if (refusals == NULL)
    return;
  g_hash_table_unref (refusals->parts);
  g_free (refusals);
}

void
share_refusals_clear (share_refusals_t *refusals)
{
  g_hash_table_remove_all (refusals->parts);
}

static double
bucket_depth (const part_t *part)
{
  return MAX ((double) part->rate_milli / 1000.0, 1.0);
}

static part_t *
ensure_part (share_refusals_t *refusals, const share_refusal_t *row, gint64 now_us)
{
  part_t *part = g_hash_table_lookup (refusals->parts, row->workspace);

  if (part != NULL)
    return part;
  part = g_new0 (part_t, 1);
  part->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  part->rate_milli = row->rate_milli;
  part->tokens = bucket_depth (part);
  part->filled_us = now_us;
  g_hash_table_insert (refusals->parts, g_strdup (row->workspace), part);
  return part;
}

static void
forget_told (share_refusals_t *refusals)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, refusals->parts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((part_t *) value)->is_told = false;
      g_hash_table_remove_all (((part_t *) value)->queues);
    }
}

static gboolean
is_untold (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
  return !((const part_t *) value)->is_told;
}

void
share_refusals_set (share_refusals_t *refusals,
                    const share_refusal_t *rows,
                    guint count,
                    gint64 now_us)
{
  refusals->told_us = now_us;
  forget_told (refusals);
  for (guint i = 0; i < count; i++)
    {
      part_t *part = ensure_part (refusals, &rows[i], now_us);

      part->is_told = true;
      part->rate_milli = MAX (rows[i].rate_milli, 1);
      g_hash_table_insert (part->queues, g_strdup (rows[i].queue),
                           GUINT_TO_POINTER (rows[i].stay_ms));
    }
  (void) g_hash_table_foreach_remove (refusals->parts, is_untold, NULL);
}

static bool
take_token (part_t *part, gint64 now_us)
{
  double seconds = (double) MAX (now_us - part->filled_us, 0) / G_USEC_PER_SEC;

  part->tokens += seconds * part->rate_milli / 1000.0;
  part->tokens = MIN (part->tokens, bucket_depth (part));
  part->filled_us = now_us;
  if (part->tokens < 1.0)
    return false;
  part->tokens -= 1.0;
  return true;
}

static gint64
next_retry_ms (part_t *part, guint stay_ms, gint64 now_us)
{
  gint64 interval_us = G_USEC_PER_SEC * 1000 / part->rate_milli;
  gint64 retry_us = now_us + (gint64) stay_ms * 1000;

  if (part->next_retry_us > 0)
    retry_us = MAX (retry_us, part->next_retry_us + interval_us);
  part->next_retry_us = MIN (retry_us, now_us + max_retry_us);
  return MAX ((part->next_retry_us - now_us) / 1000, 1);
}

gint64
share_refusals_check (share_refusals_t *refusals,
                      const char *workspace,
                      const char *queue,
                      gint64 now_us)
{
  part_t *part;
  gpointer stay_ms;

  if (now_us - refusals->told_us > told_for_us)
    share_refusals_clear (refusals);
  part = workspace != NULL ? g_hash_table_lookup (refusals->parts, workspace) : NULL;
  if (part == NULL || take_token (part, now_us)
      || !g_hash_table_lookup_extended (part->queues, queue, NULL, &stay_ms))
    return 0;
  return next_retry_ms (part, GPOINTER_TO_UINT (stay_ms), now_us);
}
