#define LOG_MODULE "decider"

#include "base/log.h"
#include "entry/leader_state.h"

enum
{
  MIN_RATE_MILLI = 1000 /* of a VM: its callers always get some work in */
};

static const gint64 check_interval_us = 200 * 1000;
/* Of the lines on a workspace. */
static const gint64 log_interval_us = G_USEC_PER_SEC;

typedef struct
{
  char *workspace;
  char *queue;
  guint weight;
  guint stay_ms;
} refusal_row_t;

/* What was logged of a workspace. */
typedef struct
{
  bool is_refused;
  bool is_logged_refused;
  guint jobs; /* that waited when it was last refused */
  gint64 logged_us;
} refusal_log_t;

static void
row_clear (gpointer data)
{
  refusal_row_t *row = data;

  g_free (row->workspace);
  g_free (row->queue);
}

static void
add_row (const scheduler_refusal_t *refusal, void *data)
{
  leader_refusals_t *refusals = data;
  const char *workspace = refusal->workspace.name;
  refusal_log_t *log = g_hash_table_lookup (refusals->logs, workspace);
  refusal_row_t row = { .workspace = g_strdup (workspace),
                        .queue = g_strdup (refusal->queue),
                        .weight = refusal->workspace.weight,
                        .stay_ms = refusal->stay_ms };

  g_array_append_val (refusals->rows, row);
  if (log == NULL)
    {
      log = g_new0 (refusal_log_t, 1);
      g_hash_table_insert (refusals->logs, g_strdup (workspace), log);
    }
  log->is_refused = true;
  log->jobs = refusal->jobs;
}

static void
log_changes (leader_refusals_t *refusals, gint64 now_us)
{
  GHashTableIter iter;
  gpointer workspace;
  gpointer value;

  g_hash_table_iter_init (&iter, refusals->logs);
  while (g_hash_table_iter_next (&iter, &workspace, &value))
    {
      refusal_log_t *log = value;
      bool is_due = log->logged_us == 0 || now_us - log->logged_us >= log_interval_us;

      if (log->is_refused != log->is_logged_refused && is_due)
        {
          LOG_INFO (log->is_refused ? "over_share_refused" : "over_share_accepted",
                    "waiting=%u workspace=%s", log->jobs, (const char *) workspace);
          log->is_logged_refused = log->is_refused;
          log->logged_us = now_us;
        }
      else if (!log->is_refused && !log->is_logged_refused && is_due)
        g_hash_table_iter_remove (&iter);
    }
}

static void
begin_check (leader_refusals_t *refusals)
{
  GHashTableIter iter;
  gpointer log;

  if (refusals->rows == NULL)
    {
      refusals->rows = g_array_new (FALSE, FALSE, sizeof (refusal_row_t));
      g_array_set_clear_func (refusals->rows, row_clear);
      refusals->logs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  g_array_set_size (refusals->rows, 0);
  g_hash_table_iter_init (&iter, refusals->logs);
  while (g_hash_table_iter_next (&iter, NULL, &log))
    ((refusal_log_t *) log)->is_refused = false;
}

void
leader_check_refusals (leader_t *leader, gint64 now_us)
{
  leader_refusals_t *refusals = &leader->refusals;

  if (now_us - refusals->checked_us < check_interval_us)
    return;
  refusals->checked_us = now_us;
  begin_check (refusals);
  if (leader_may_act (leader))
    scheduler_visit_refusals (leader->scheduler, now_us, add_row, refusals);
  log_changes (refusals, now_us);
}

void
leader_refusals_clear (leader_refusals_t *refusals)
{
  if (refusals->rows == NULL)
    return;
  g_array_unref (refusals->rows);
  g_hash_table_unref (refusals->logs);
}

static guint
serving_vm_count (const leader_t *leader)
{
  guint count = 0;

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      count += vm->name != NULL && !vm->is_leaving;
    }
  return MAX (count, 1);
}

void
leader_fill_refusals (const leader_t *leader, Mimosastair__Pong *pong)
{
  const GArray *rows = leader->refusals.rows;
  guint vms = serving_vm_count (leader);

  if (rows == NULL || rows->len == 0)
    return;
  pong->refusals = g_new0 (Mimosastair__Refusal *, rows->len);
  for (; pong->n_refusals < rows->len; pong->n_refusals++)
    {
      const refusal_row_t *row = &g_array_index (rows, refusal_row_t, pong->n_refusals);
      Mimosastair__Refusal *message = g_new0 (Mimosastair__Refusal, 1);

      mimosastair__refusal__init (message);
      message->workspace = row->workspace;
      message->queue = row->queue;
      message->stay_ms = row->stay_ms;
      message->rate_milli
          = (guint32) CLAMP ((guint64) row->weight * 1000 / vms, MIN_RATE_MILLI, G_MAXUINT32);
      pong->refusals[pong->n_refusals] = message;
    }
}

void
leader_clear_refusals (Mimosastair__Pong *pong)
{
  for (gsize i = 0; i < pong->n_refusals; i++)
    g_free (pong->refusals[i]);
  g_free (pong->refusals);
}
