#include "decide/workspace_accounts.h"

#include <string.h>

/* A hold that leaves the cap unused lasts for this long at first, and pauses for this long: a job
 * with nothing running may wait for 3 s at most while its workspace uses little. */
static const gint64 hold_limit_us = 2 * G_USEC_PER_SEC;

/* In a fleet that has room, work may wait this long for advice and placements, whatever it
 * declares.
 */
static const gint64 min_useful_us = G_USEC_PER_SEC;
static const guint64 min_refuse_ms = 1000; /* callers are told whole seconds */
/* Capacity may be free again by then. */
static const guint64 max_refuse_ms = 3000;
/* VMs admit the share in parts and fill their buckets at other times, so that up to this part of a
 * second's worth, or this many jobs, may be left unused while more jobs arrive than the share. */
static const double unused_share = 0.25;
static const double unused_jobs = 2.0;

enum
{
  HOLD_DOUBLINGS_MAX = 4 /* of the one or the other, up to 32 s, which few tasks take */
};

struct workspace_account
{
  workspace_accounts_t *accounts;
  char *name;
  bool is_desired;
  guint weight;         /* 0: no limit */
  resource_total_t cap; /* 0: no limit */
  gint64 cap_version;   /* the version of the desired state that `cap` is from */
  resource_total_t used;
  guint run_count;
  guint job_count;
  guint pending_job_count;
  guint64 excess_job_count;
  double tokens; /* jobs that may be accepted within the share */
  gint64 filled_us;
  bool is_filled;           /* `tokens` and `filled_us` are set */
  gint64 excess_started_us; /* when a job in excess last started; 0: never */
  /* Of the current round. */
  resource_total_t held;
  resource_total_t planned;
  guint hold_count;
  bool has_first_hold; /* of work that the cap keeps from starting */
  bool has_turn;       /* such work has one */
  queue_order_key_t first_key;
};

struct workspace_accounts
{
  GPtrArray *list;     /* workspace_account_t, owned */
  GHashTable *by_name; /* name -> workspace_account_t */
  guint64 round;
  bool has_limits; /* the desired state has workspaces */
};

static void
account_free (gpointer data)
{
  workspace_account_t *account = data;

  g_free (account->name);
  g_free (account);
}

workspace_accounts_t *
workspace_accounts_new (void)
{
  workspace_accounts_t *accounts = g_new0 (workspace_accounts_t, 1);

  accounts->list = g_ptr_array_new_with_free_func (account_free);
  accounts->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  accounts->round = 1;
  return accounts;
}

void
workspace_accounts_free (workspace_accounts_t *accounts)
{
  if (accounts == NULL)
    return;
  g_hash_table_unref (accounts->by_name);
  g_ptr_array_unref (accounts->list);
  g_free (accounts);
}

workspace_account_t *
workspace_accounts_ensure (workspace_accounts_t *accounts, const char *name)
{
  workspace_account_t *account;

  if (name == NULL)
    return NULL;
  account = g_hash_table_lookup (accounts->by_name, name);
  if (account != NULL)
    return account;
  account = g_new0 (workspace_account_t, 1);
  account->accounts = accounts;
  account->name = g_strdup (name);
  g_ptr_array_add (accounts->list, account);
  g_hash_table_insert (accounts->by_name, account->name, account);
  return account;
}

/* ---- Limits. */

static double
bucket_depth (const workspace_account_t *account)
{
  return MAX (account->weight, 1);
}

static void
set_limits (workspace_account_t *account, guint weight, const resource_total_t *cap)
{
  account->weight = weight;
  account->cap = *cap;
  account->tokens = MIN (account->tokens, bucket_depth (account));
}

static void
remove_unused_accounts (workspace_accounts_t *accounts)
{
  for (guint i = accounts->list->len; i > 0; i--)
    {
      workspace_account_t *account = g_ptr_array_index (accounts->list, i - 1);

      if (account->is_desired || account->job_count > 0 || account->run_count > 0)
        continue;
      g_hash_table_remove (accounts->by_name, account->name);
      g_ptr_array_remove_index (accounts->list, i - 1);
    }
}

void
workspace_accounts_set_desired (workspace_accounts_t *accounts,
                                const GPtrArray *workspaces,
                                gint64 version)
{
  static const resource_total_t no_cap;

  accounts->has_limits = workspaces->len > 0;
  for (guint i = 0; i < accounts->list->len; i++)
    {
      workspace_account_t *account = g_ptr_array_index (accounts->list, i);

      account->is_desired = false;
      if (workspaces->len == 0)
        set_limits (account, 0, &no_cap);
    }
  for (guint i = 0; i < workspaces->len; i++)
    {
      const workspace_spec_t *spec = g_ptr_array_index (workspaces, i);
      workspace_account_t *account = workspace_accounts_ensure (accounts, spec->name);

      account->is_desired = true;
      account->cap_version = version;
      set_limits (account, spec->weight, &spec->cap);
    }
  remove_unused_accounts (accounts);
}

void
workspace_account_note_cap (workspace_account_t *account,
                            const resource_total_t *cap,
                            gint64 version)
{
  if (account == NULL || account->is_desired || !account->accounts->has_limits
      || version <= account->cap_version)
    return;
  account->cap = *cap;
  account->cap_version = version;
}

/* ---- Jobs. */

/* Takes a token.  Returns false if there is none. */
static bool
take_token (workspace_account_t *account, gint64 at_us)
{
  double depth = bucket_depth (account);

  if (!account->is_filled)
    {
      account->is_filled = true;
      account->tokens = depth;
      account->filled_us = at_us;
    }
  if (at_us > account->filled_us)
    {
      account->tokens += (double) (at_us - account->filled_us) / G_USEC_PER_SEC * account->weight;
      account->tokens = MIN (account->tokens, depth);
      account->filled_us = at_us;
    }
  if (account->tokens < 1.0)
    return false;
  account->tokens -= 1.0;
  return true;
}

bool
workspace_account_add_job (workspace_account_t *account, gint64 accepted_us)
{
  if (account == NULL)
    return true;
  account->job_count++;
  account->pending_job_count++;
  if (account->weight == 0 || take_token (account, accepted_us))
    return true;
  account->excess_job_count++;
  return false;
}

/* Whether less than the share was accepted lately.  The depth of the bucket does not count here: it
 * may be a single job. */
static bool
has_unused_share (const workspace_account_t *account, gint64 now_us)
{
  double seconds = (double) MAX (now_us - account->filled_us, 0) / G_USEC_PER_SEC;

  return account->tokens + seconds * account->weight
         >= MAX (unused_share * account->weight, unused_jobs);
}

void
workspace_account_excess_started (workspace_account_t *account, gint64 now_us)
{
  account->excess_started_us = now_us;
}

guint
workspace_account_refuse_ms (const workspace_account_t *account,
                             const excess_wait_t *wait,
                             gint64 now_us)
{
  gint64 useful_us = MAX (wait->useful_us, min_useful_us);
  /* Then another job might start in time, too. */
  bool has_started
      = account->excess_started_us > 0 && now_us - account->excess_started_us < useful_us;

  if (account->weight == 0 || wait->jobs <= account->weight || has_started
      || now_us - wait->since_us <= useful_us || has_unused_share (account, now_us))
    return 0;
  return (guint) CLAMP ((guint64) wait->jobs * 1000 / account->weight, min_refuse_ms,
                        max_refuse_ms);
}

void
workspace_account_job_started (workspace_account_t *account)
{
  if (account == NULL)
    return;
  g_assert (account->pending_job_count > 0);
  account->pending_job_count--;
}

void
workspace_account_remove_job (workspace_account_t *account)
{
  if (account == NULL)
    return;
  g_assert (account->job_count > 0);
  account->job_count--;
}

/* ---- Usage. */

static void
add_scaled (resource_total_t *total, const resource_vector_t *resources, guint64 factor)
{
  total->cpu_milli += factor * resources->cpu_milli;
  total->mem_mb += factor * resources->mem_mb;
  total->gpu += factor * resources->gpu;
}

static void
subtract_scaled (resource_total_t *total, const resource_vector_t *resources, guint64 factor)
{
  total->cpu_milli -= factor * resources->cpu_milli;
  total->mem_mb -= factor * resources->mem_mb;
  total->gpu -= factor * resources->gpu;
}

void
workspace_account_add_run (workspace_account_t *account, const resource_vector_t *resources)
{
  if (account == NULL)
    return;
  add_scaled (&account->used, resources, 1);
  account->run_count++;
}

void
workspace_account_remove_run (workspace_account_t *account, const resource_vector_t *resources)
{
  if (account == NULL)
    return;
  g_assert (account->run_count > 0);
  subtract_scaled (&account->used, resources, 1);
  account->run_count--;
}

double
workspace_account_usage_per_weight (const workspace_account_t *account, guint64 more_cpu_milli)
{
  if (account == NULL)
    return 0.0;
  return (double) (account->used.cpu_milli + more_cpu_milli) / MAX (account->weight, 1);
}

/* ---- Cap. */

/* Tasks that fit between `used` and `cap` in one component; a cap of 0 is no limit. */
static guint64
fit_component (guint64 cap, guint64 used, guint64 need)
{
  if (cap == 0)
    return G_MAXUINT64;
  if (used > cap)
    return 0; /* nothing starts until the usage is below the cap, whatever it needs */
  return need > 0 ? (cap - used) / need : G_MAXUINT64;
}

static guint
fit_tasks (const resource_total_t *cap,
           const resource_total_t *used,
           const resource_vector_t *need,
           guint wanted)
{
  guint64 fits = wanted;

  fits = MIN (fits, fit_component (cap->cpu_milli, used->cpu_milli, need->cpu_milli));
  fits = MIN (fits, fit_component (cap->mem_mb, used->mem_mb, need->mem_mb));
  fits = MIN (fits, fit_component (cap->gpu, used->gpu, need->gpu));
  return (guint) fits;
}

static void
add_total (resource_total_t *total, const resource_total_t *more)
{
  total->cpu_milli += more->cpu_milli;
  total->mem_mb += more->mem_mb;
  total->gpu += more->gpu;
}

bool
workspace_account_is_held (const workspace_account_t *account, const queue_order_key_t *key)
{
  return account != NULL && account->hold_count > 0
         && queue_order_compare (key, &account->first_key) >= 0;
}

bool
workspace_account_can_fit (const workspace_account_t *account,
                           const resource_vector_t *need,
                           guint tasks)
{
  static const resource_total_t none;

  return account == NULL || tasks <= 1 || fit_tasks (&account->cap, &none, need, tasks) == tasks;
}

guint
workspace_account_room (const workspace_account_t *account,
                        const resource_vector_t *need,
                        bool obeys_holds,
                        bool obeys_plans,
                        guint wanted)
{
  static const resource_total_t none;
  resource_total_t used;

  if (account == NULL)
    return wanted;
  obeys_holds &= account->hold_count > 0;
  if (fit_tasks (&account->cap, &none, need, 1) == 0)
    return account->run_count == 0 && !obeys_holds ? MIN (wanted, 1) : 0;
  used = account->used;
  if (obeys_holds)
    add_total (&used, &account->held);
  if (obeys_plans)
    add_total (&used, &account->planned);
  return fit_tasks (&account->cap, &used, need, wanted);
}

static bool
is_below_half (const workspace_account_t *account)
{
  const resource_total_t *cap = &account->cap;
  const resource_total_t *used = &account->used;

  return (cap->cpu_milli == 0 || 2 * used->cpu_milli < cap->cpu_milli)
         && (cap->mem_mb == 0 || 2 * used->mem_mb < cap->mem_mb)
         && (cap->gpu == 0 || 2 * used->gpu < cap->gpu);
}

static gint64
doubled_limit_us (guint times)
{
  return hold_limit_us << MIN (times, HOLD_DOUBLINGS_MAX);
}

/* Counts for how long the hold has left the cap unused.  Returns false if it pauses. */
static bool
may_hold (cap_hold_t *hold, hold_reason_t reason, bool is_unused, gint64 now_us)
{
  bool is_certain = reason != HOLD_FOR_ADVICE;
  guint pauses = hold->pauses[reason];

  if (now_us < hold->paused_until_us)
    return false;
  if (is_unused && hold->counted_us > 0)
    hold->unused_us[reason] += now_us - hold->counted_us;
  hold->counted_us = is_unused ? now_us : 0;
  if (hold->unused_us[reason] < (is_certain ? doubled_limit_us (pauses) : hold_limit_us))
    return true;
  hold->unused_us[reason] = 0;
  hold->counted_us = 0;
  hold->paused_until_us = now_us + (is_certain ? hold_limit_us : doubled_limit_us (pauses));
  hold->pauses[reason]++;
  return false;
}

void
workspace_account_hold (workspace_account_t *account,
                        cap_hold_t *hold,
                        const resource_vector_t *need,
                        guint tasks,
                        const queue_order_key_t *key,
                        hold_reason_t reason,
                        gint64 now_us)
{
  bool is_for_cap = reason == HOLD_FOR_CAP;

  if (account == NULL || (is_for_cap && account->has_first_hold))
    return;
  if (!may_hold (hold, reason, !is_for_cap || is_below_half (account), now_us))
    return;
  if (account->hold_count == 0 || queue_order_compare (key, &account->first_key) < 0)
    account->first_key = *key;
  account->has_first_hold |= is_for_cap;
  account->hold_count++;
  add_scaled (&account->held, need, tasks);
  hold->held = tasks;
  hold->is_first = is_for_cap;
  hold->was_first |= is_for_cap;
  hold->round = account->accounts->round;
}

void
workspace_account_plan (workspace_account_t *account,
                        cap_hold_t *hold,
                        const resource_vector_t *need,
                        guint tasks)
{
  if (account == NULL)
    return;
  add_scaled (&account->planned, need, tasks);
  hold->planned = tasks;
  hold->round = account->accounts->round;
}

bool
workspace_account_take_turn (workspace_account_t *account)
{
  bool is_first = account != NULL && !account->has_turn;

  if (is_first)
    account->has_turn = true;
  return is_first;
}

void
workspace_account_release (workspace_account_t *account,
                           cap_hold_t *hold,
                           const resource_vector_t *need)
{
  if (account != NULL && hold->round == account->accounts->round)
    {
      subtract_scaled (&account->held, need, hold->held);
      subtract_scaled (&account->planned, need, hold->planned);
      account->hold_count -= hold->held > 0;
      account->has_first_hold &= !hold->is_first;
    }
  hold->held = 0;
  hold->planned = 0;
  hold->is_first = false;
}

void
workspace_accounts_begin_round (workspace_accounts_t *accounts)
{
  static const resource_total_t none;

  accounts->round++;
  for (guint i = 0; i < accounts->list->len; i++)
    {
      workspace_account_t *account = g_ptr_array_index (accounts->list, i);

      account->held = none;
      account->planned = none;
      account->hold_count = 0;
      account->has_first_hold = false;
      account->has_turn = false;
    }
}

/* ---- Statistics. */

void
workspace_account_stats (const workspace_account_t *account, workspace_stats_t *stats)
{
  *stats = (workspace_stats_t){
    .name = account->name,
    .used = account->used,
    .cap = account->cap,
    .pending_jobs = account->pending_job_count,
    .excess_jobs = account->excess_job_count,
    .weight = account->weight,
  };
}

void
workspace_accounts_visit (const workspace_accounts_t *accounts,
                          workspace_visitor_t visit,
                          void *data)
{
  for (guint i = 0; i < accounts->list->len; i++)
    {
      workspace_stats_t stats;

      workspace_account_stats (g_ptr_array_index (accounts->list, i), &stats);
      visit (&stats, data);
    }
}
