/* Whether the key-value service is silent for the leader alone.
 *
 * The leader knows since when its own calls have had no answer; the other VMs report in their pings
 * when the service last answered them.  Answers that other VMs received clearly after the leader's
 * oldest unanswered call was sent are evidence that another VM should lead.  Without such evidence
 * the service may be silent for all VMs, and a hand-over would gain nothing.  Pure functions; times
 * in microseconds.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* What a VM's pings tell about its calls; zeroed before the first ping. */
typedef struct
{
  bool is_known;          /* false: the VM reports no times */
  gint64 answered_us;     /* when the service last answered the VM, on the leader's clock */
  gint64 clock_offset_us; /* leader's clock less the VM's, with the shortest transit of a ping */
  gint64 received_us;     /* of the last ping that was counted */
} store_report_t;

/* Records a ping that was received at `now_us` and sent at `sent_us` on the VM's clock.  `age_us`:
 * time from the last answer to the sending of the ping; 0: not known.  A ping that was delayed on
 * its way counts from when it was sent, found by comparison with the fastest ping. */
void store_report_ping (store_report_t *report, gint64 now_us, gint64 sent_us, guint64 age_us);

/* The leader's own calls to the service. */
typedef struct
{
  gint64 unanswered_since_us; /* when the first call since the last answer was sent; 0: none */
  guint unanswered_calls;     /* sent since the last answer */
  gint64 response_us;         /* recent response time */
  gint64 elected_us;          /* when this VM became the leader */
} store_own_calls_t;

/* Kept from check to check; zeroed before the first one. */
typedef struct
{
  gint64 checked_us;  /* time of the last check */
  gint64 since_us;    /* the silence that is measured began then; 0: none */
  gint64 silent_us;   /* observed time without an answer */
  gint64 evidence_us; /* observed time with sufficient evidence; negative: there is none */
} store_silence_t;

enum
{
  STORE_SILENCE_CHECK_MS = 50 /* time between two checks */
};

typedef enum
{
  STORE_SILENCE_NONE,
  STORE_SILENCE_PROBE,    /* another call should be made, as single answers may have been lost */
  STORE_SILENCE_STEP_DOWN /* the service is silent for the leader alone */
} store_silence_verdict_t;

/* Judges the silence at `now_us`; to be called every STORE_SILENCE_CHECK_MS.  `reports` are those
 * of the other connected VMs that could lead, without the leader's own process.  A check that comes
 * late counts for little: answers may wait to be read while the process does not run. */
store_silence_verdict_t store_silence_check (store_silence_t *silence,
                                             const store_own_calls_t *own,
                                             const store_report_t *reports,
                                             guint report_count,
                                             gint64 now_us);
