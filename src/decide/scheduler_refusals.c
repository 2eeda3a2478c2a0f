/* Work beyond the share of a workspace that is to stay away, as the fleet is full and more of it
 * waits than can be served in time. */
#include "decide/scheduler_state.h"

enum
{
  NEEDS_MAX = 4 /* of a row; a bound on the work of a scan */
};

/* Jobs beyond the share of a workspace that wait in a queue with nothing running. */
typedef struct
{
  workspace_account_t *account;
  const queue_t *queue;
  guint jobs;
  gint64 useful_us; /* the longest of them */
  /* For each of the first needs that were found, the step that has waited for longest. */
  const step_t *steps[NEEDS_MAX];
  guint step_count;
} waiting_row_t;

/* What one scan has found.  It runs every 200 ms over all jobs, so that it looks up rows and the
 * room of executors instead of searching for them again. */
typedef struct
{
  GPtrArray *rows;     /* waiting_row_t, owned, in the order in which they were found */
  GHashTable *row_set; /* of them */
  GHashTable *jobs;    /* workspace_account_t -> number of its jobs in all rows */
  GHashTable *rooms;   /* step_t -> step_room_t of all steps that need the same */
} waiting_rows_t;

static guint
row_hash (gconstpointer data)
{
  const waiting_row_t *row = data;

  return g_direct_hash (row->account) * 31 + g_direct_hash (row->queue);
}

static gboolean
row_equal (gconstpointer a, gconstpointer b)
{
  const waiting_row_t *left = a;
  const waiting_row_t *right = b;

  return left->account == right->account && left->queue == right->queue;
}

/* A job that runs at set times does not wait from its acceptance on. */
static bool
is_waiting_excess (const job_t *job)
{
  return job->is_excess && !job->was_started && !job->is_ended && job->spec->times == 0;
}

static waiting_row_t *
ensure_row (waiting_rows_t *waiting, const job_t *job)
{
  waiting_row_t key = { .account = job->account, .queue = job->queue };
  waiting_row_t *row = g_hash_table_lookup (waiting->row_set, &key);

  if (row != NULL)
    return row;
  row = g_memdup2 (&key, sizeof key);
  g_ptr_array_add (waiting->rows, row);
  (void) g_hash_table_add (waiting->row_set, row);
  return row;
}

static guint
account_jobs (const waiting_rows_t *waiting, const waiting_row_t *row)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (waiting->jobs, row->account));
}

static void
count_jobs (const waiting_rows_t *waiting)
{
  for (guint i = 0; i < waiting->rows->len; i++)
    {
      const waiting_row_t *row = g_ptr_array_index (waiting->rows, i);
      guint jobs = account_jobs (waiting, row) + row->jobs;

      g_hash_table_insert (waiting->jobs, row->account, GUINT_TO_POINTER (jobs));
    }
}

/* ---- Steps that need the same of the executors. */

static guint
need_hash (gconstpointer data)
{
  const step_spec_t *spec = ((const step_t *) data)->spec;
  guint hash = spec->need.cpu_milli;

  hash = hash * 31 + spec->need.mem_mb;
  hash = hash * 31 + spec->need.gpu;
  return hash * 31 + spec->count;
}

static gboolean
need_equal (gconstpointer a, gconstpointer b)
{
  const step_t *left = a;
  const step_t *right = b;
  const step_spec_t *left_spec = left->spec;
  const step_spec_t *right_spec = right->spec;

  return left_spec->need.cpu_milli == right_spec->need.cpu_milli
         && left_spec->need.mem_mb == right_spec->need.mem_mb
         && left_spec->need.gpu == right_spec->need.gpu && left_spec->count == right_spec->count
         && left_spec->max_per_executor == right_spec->max_per_executor
         && left_spec->gang == right_spec->gang && left_spec->fills == right_spec->fills
         && left->unplaced_count == right->unplaced_count
         && left->overrides_reservations == right->overrides_reservations
         && g_strcmp0 (left_spec->requires, right_spec->requires) == 0
         && g_strcmp0 (left->job->queue->service, right->job->queue->service) == 0;
}

static step_room_t
find_room (const scheduler_t *scheduler,
           const waiting_rows_t *waiting,
           const step_t *step,
           gint64 now_us)
{
  gpointer known;

  if (!g_hash_table_lookup_extended (waiting->rooms, step, NULL, &known))
    {
      known = GUINT_TO_POINTER (scheduler_step_room (scheduler, step, now_us));
      g_hash_table_insert (waiting->rooms, (gpointer) step, known);
    }
  return (step_room_t) GPOINTER_TO_UINT (known);
}

/* ---- Refusals. */

/* The step that the job waits with; NULL: none is ready. */
static const step_t *
waiting_step (const job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      if (job->steps[i].ready_us > 0 && job->steps[i].unplaced_count > 0)
        return &job->steps[i];
    }
  return NULL;
}

static void
add_step (waiting_row_t *row, const step_t *step)
{
  for (guint i = 0; i < row->step_count; i++)
    {
      if (!need_equal (row->steps[i], step))
        continue;
      if (step->job->accepted_us < row->steps[i]->job->accepted_us)
        row->steps[i] = step;
      return;
    }
  if (row->step_count < NEEDS_MAX)
    row->steps[row->step_count++] = step;
}

static void
add_waiting_job (waiting_rows_t *waiting, const job_t *job, gint64 now_us)
{
  waiting_row_t *row = ensure_row (waiting, job);
  const step_t *step = waiting_step (job);
  gint64 objective_us
      = job->objective_us > 0 ? job->objective_us : scheduler_objective_us (job, 0, now_us);

  row->jobs++;
  row->useful_us = MAX (row->useful_us, queue_order_useful_us (objective_us));
  if (step != NULL)
    add_step (row, step);
}

/* The first step that some executor could run decides: a job that can run nowhere must not keep
 * the others from being refused. */
static guint
refuse_ms (const scheduler_t *scheduler,
           const waiting_rows_t *waiting,
           const waiting_row_t *row,
           gint64 now_us)
{
  excess_wait_t wait = { .jobs = account_jobs (waiting, row), .useful_us = row->useful_us };

  if (scheduler->first_round_us == 0)
    return 0;
  for (guint i = 0; i < row->step_count; i++)
    {
      const step_t *step = row->steps[i];
      guint stay_ms;
      step_room_t room;

      /* Before that, no leader may have been there, or it was still loading. */
      wait.since_us = MAX (step->job->accepted_us, scheduler->first_round_us);
      stay_ms = workspace_account_refuse_ms (row->account, &wait, now_us);
      if (stay_ms == 0)
        return 0;
      room = find_room (scheduler, waiting, step, now_us);
      if (room != STEP_UNPLACEABLE)
        return room == STEP_CROWDED_OUT && !scheduler_has_no_room (step) ? stay_ms : 0;
    }
  return 0;
}

void
scheduler_visit_refusals (const scheduler_t *scheduler,
                          gint64 now_us,
                          scheduler_refusal_visitor_t visit,
                          void *data)
{
  g_autoptr (GPtrArray) rows = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) row_set = g_hash_table_new (row_hash, row_equal);
  g_autoptr (GHashTable) jobs = g_hash_table_new (NULL, NULL);
  g_autoptr (GHashTable) rooms = g_hash_table_new (need_hash, need_equal);
  waiting_rows_t waiting = { .rows = rows, .row_set = row_set, .jobs = jobs, .rooms = rooms };

  for (list_node_t *node = scheduler->job_list.next; node != &scheduler->job_list;
       node = node->next)
    {
      const job_t *job = LIST_ENTRY (node, job_t, node);

      if (is_waiting_excess (job))
        add_waiting_job (&waiting, job, now_us);
    }
  count_jobs (&waiting);
  for (guint i = 0; i < rows->len; i++)
    {
      const waiting_row_t *row = g_ptr_array_index (rows, i);
      scheduler_refusal_t refusal = {
        .queue = row->queue->name,
        .jobs = account_jobs (&waiting, row),
        .stay_ms = refuse_ms (scheduler, &waiting, row, now_us),
      };

      if (refusal.stay_ms == 0)
        continue;
      workspace_account_stats (row->account, &refusal.workspace);
      visit (&refusal, data);
    }
}
