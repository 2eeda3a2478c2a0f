#include "decide/store_silence.h"

enum
{
  CALLS_MIN = 3,          /* unanswered; of ten answers, three may be lost */
  EVIDENCE_MIN = 2,       /* VMs; one may have been paused before it reported an answer */
  RESPONSE_MULTIPLE = 3,  /* of the response time: a slow service is not a silent one */
  CLOCK_DRIFT_PARTS = 50, /* steady clocks differ by at most 1/50 */
  CHECK_PARTS_MAX = 2     /* a check counts for at most this many intervals */
};

static const gint64 wait_min_us = 250 * 1000;
static const gint64 probe_after_us = 100 * 1000;
/* Covers the transit of a ping, and answers that were on their way when the silence began. */
static const gint64 clearly_after_us = 100 * 1000;
/* The leader's own answer may come with those of the other VMs: one more check is waited for. */
static const gint64 evidence_hold_us = 40 * 1000;
static const gint64 hand_over_interval_us = 5 * G_USEC_PER_SEC;
static const gint64 age_max_us = (gint64) 3600 * G_USEC_PER_SEC;
/* Clocks beyond this are not plausible, and sums with them could overflow. */
static const gint64 clock_max_us = G_MAXINT64 / 8;

void
store_report_ping (store_report_t *report, gint64 now_us, gint64 sent_us, guint64 age_us)
{
  gint64 offset_us;
  gint64 drift_us;

  if (age_us == 0 || sent_us < 0 || sent_us > clock_max_us)
    {
      report->is_known = false;
      return;
    }
  offset_us = now_us - sent_us;
  drift_us = (now_us - report->received_us) / CLOCK_DRIFT_PARTS;
  if (report->received_us != 0)
    offset_us = MIN (offset_us, report->clock_offset_us + drift_us);
  report->clock_offset_us = offset_us;
  report->received_us = now_us;
  report->answered_us = sent_us + offset_us - (gint64) MIN (age_us, (guint64) age_max_us);
  report->is_known = true;
}

/* Measures only time in which this process ran, so that answers would have been read. */
static gint64
observed_step_us (store_silence_t *silence, gint64 now_us)
{
  gint64 step_us = now_us - silence->checked_us;

  silence->checked_us = now_us;
  return CLAMP (step_us, 0, (gint64) CHECK_PARTS_MAX * STORE_SILENCE_CHECK_MS * 1000);
}

static bool
has_evidence (gint64 since_us, const store_report_t *reports, guint report_count)
{
  guint answered = 0;

  for (guint i = 0; i < report_count; i++)
    answered += reports[i].is_known && reports[i].answered_us >= since_us + clearly_after_us;
  return report_count > 0 && answered >= MIN (report_count, EVIDENCE_MIN);
}

store_silence_verdict_t
store_silence_check (store_silence_t *silence,
                     const store_own_calls_t *own,
                     const store_report_t *reports,
                     guint report_count,
                     gint64 now_us)
{
  gint64 step_us = observed_step_us (silence, now_us);
  gint64 wait_us = MAX (wait_min_us, RESPONSE_MULTIPLE * own->response_us);

  if (own->unanswered_since_us != silence->since_us)
    {
      silence->since_us = own->unanswered_since_us;
      silence->silent_us = 0;
      silence->evidence_us = -1;
      step_us = MIN (step_us, now_us - silence->since_us);
    }
  if (silence->since_us == 0)
    return STORE_SILENCE_NONE;
  silence->silent_us += step_us;
  if (!has_evidence (silence->since_us, reports, report_count))
    silence->evidence_us = -1;
  else
    silence->evidence_us = silence->evidence_us < 0 ? 0 : silence->evidence_us + step_us;
  if (own->unanswered_calls < CALLS_MIN)
    return silence->silent_us >= MAX (probe_after_us, 2 * own->response_us) ? STORE_SILENCE_PROBE
                                                                            : STORE_SILENCE_NONE;
  if (silence->silent_us < wait_us || silence->evidence_us < evidence_hold_us
      || now_us - own->elected_us < hand_over_interval_us)
    return STORE_SILENCE_NONE;
  return STORE_SILENCE_STEP_DOWN;
}
