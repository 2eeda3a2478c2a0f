#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"

/* By the pings of VMs that do not report when the store answered them: the leader steps down when
 * the store has been unhealthy for this long and answers such a VM. */
static const gint64 store_outage_limit_us = 500 * 1000;

/* Probes of one silence: with the call that began it, enough for store_silence_check(). */
static const guint probes_max = 3;

static bool
is_own_process (const vm_t *vm)
{
  return g_strcmp0 (vm->name, vm->leader->config.vm) == 0;
}

/* Returns the reports of the other VMs that could lead. */
static GArray *
collect_reports (const leader_t *leader)
{
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (store_report_t));

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name != NULL && !vm->is_leaving && !is_own_process (vm))
        g_array_append_val (reports, vm->store_report);
    }
  return reports;
}

static void
probe_answered (const store_reply_t *reply G_GNUC_UNUSED, void *data)
{
  leader_t *leader = data;

  leader->pending_call_count--;
  if (leader->is_freed && leader->pending_call_count == 0)
    leader_destroy (leader);
}

/* A call of its own shows whether only single answers were lost: an idle leader makes few. */
static void
probe (leader_t *leader)
{
  if (leader->store_watch.probe_count >= probes_max)
    return;
  leader->store_watch.probe_count++;
  leader->pending_call_count++;
  leader->store->calls->get (leader->store, election_key (leader->election), probe_answered,
                             leader);
}

static void
step_down (leader_t *leader, const char *reason)
{
  const store_health_t *health = &leader->store->health;

  LOG_WARN ("store_silent",
            "silent_ms=%" G_GINT64_FORMAT " calls=%u failures=%u response_ms=%" G_GINT64_FORMAT,
            leader->store_watch.silence.silent_us / 1000, health->unanswered_calls,
            health->failures, store_response_us (leader->store) / 1000);
  (*metrics_counter (leader->metrics, "mimosastair_store_silent_hand_overs_total"))++;
  leader_step_down (leader, reason);
}

/* Returns whether the store answers a VM whose pings do not tell when it did. */
static bool
is_reachable_without_report (const leader_t *leader)
{
  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->is_store_reachable && !vm->store_report.is_known)
        return true;
    }
  return false;
}

static bool
is_outage_over_limit (leader_t *leader, gint64 now_us)
{
  gint64 *lost_us = &leader->store_watch.lost_us;

  if (store_is_healthy (leader->store, now_us))
    *lost_us = 0;
  else if (*lost_us == 0)
    *lost_us = now_us;
  return *lost_us != 0 && now_us - *lost_us >= store_outage_limit_us;
}

static store_silence_verdict_t
judge_silence (leader_t *leader, gint64 now_us)
{
  const store_health_t *health = &leader->store->health;
  g_autoptr (GArray) reports = collect_reports (leader);
  store_own_calls_t own = {
    .unanswered_since_us = health->unanswered_since_us,
    .unanswered_calls = health->unanswered_calls,
    .response_us = store_response_us (leader->store),
    .elected_us = leader->started_us,
  };

  if (leader->store_watch.silence.since_us != own.unanswered_since_us)
    leader->store_watch.probe_count = 0;
  return store_silence_check (&leader->store_watch.silence, &own,
                              (const store_report_t *) (void *) reports->data, reports->len,
                              now_us);
}

gboolean
leader_check_store (gpointer data)
{
  leader_t *leader = data;
  gint64 now_us = clock_now_us ();
  store_silence_verdict_t verdict = judge_silence (leader, now_us);
  bool is_over_limit = is_outage_over_limit (leader, now_us);

  if (!leader_may_act (leader))
    {
      leader->store_watch.lost_us = 0;
      return G_SOURCE_CONTINUE;
    }
  if (verdict == STORE_SILENCE_PROBE)
    probe (leader);
  if (verdict == STORE_SILENCE_STEP_DOWN)
    step_down (leader, "store_silent");
  else if (is_over_limit && is_reachable_without_report (leader))
    step_down (leader, "store_unreachable");
  return G_SOURCE_CONTINUE;
}
