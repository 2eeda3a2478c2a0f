/* The claim on a domain against a service within this process: who holds it, and how
 * long a domain is without a holder. */
#include "entry/election.h"
#include "base/clock.h"
#include "fake_store.h"
#include "harness.h"

enum
{
  TTL_MS = 5000,
  MOMENT_MS = 300, /* for calls and the spread of attempts */
  PATIENCE_MS = 20000,
  TRIES = 3 /* of what a pause of the whole process can turn round */
};

typedef struct
{
  store_t *store;
  claim_t *claim;
  gint64 fence; /* 0: not the holder */
  guint epoch;
  guint gains;
} bidder_t;

static fake_service_t *service;

static void
gained (gint64 fence, guint epoch, void *data)
{
  bidder_t *bidder = data;

  bidder->fence = fence;
  bidder->epoch = epoch;
  bidder->gains++;
}

static void
lost (const char *reason G_GNUC_UNUSED, void *data)
{
  ((bidder_t *) data)->fence = 0;
}

static void
holder_told (const char *vm G_GNUC_UNUSED,
             const char *address G_GNUC_UNUSED,
             void *data G_GNUC_UNUSED)
{
}

static const claim_events_t events = { gained, lost, holder_told };

static void
start (bidder_t *bidder, const char *vm, guint cpu_milli)
{
  claim_config_t config = {
    .domain = "d",
    .vm = vm,
    .address = vm,
    .life = 1,
    .ttl_ms = TTL_MS,
    .cpu_milli = cpu_milli,
  };

  *bidder = (bidder_t){ .store = fake_store_new (service) };
  bidder->claim = claim_new (bidder->store, &config, &events, bidder);
}

/* Waits until one of two bidders holds the claim; the test ends when none does in `ms`. */
static bidder_t *
wait_for_holder (bidder_t *first, bidder_t *second, guint ms)
{
  gint64 end_us = clock_now_us () + (gint64) ms * 1000;

  while (clock_now_us () < end_us)
    {
      if (first->fence != 0)
        return first;
      if (second->fence != 0)
        return second;
      run_wait_ms (5);
    }
  g_error ("nobody holds the claim after %u ms", ms);
  return first;
}

static void
given_up (void *data G_GNUC_UNUSED)
{
}

/* The calls of the claims are answered before their owners go. */
static void
finish (bidder_t *const *bidders, guint count)
{
  fake_service_set_down (service, false);
  for (guint i = 0; i < count; i++)
    claim_give_up (bidders[i]->claim, given_up, NULL);
  run_wait_ms (MOMENT_MS);
  /* Ends the watches. */
  fake_service_set_down (service, true);
  run_wait_ms (MOMENT_MS);
  for (guint i = 0; i < count; i++)
    claim_free (bidders[i]->claim);
  run_wait_ms (MOMENT_MS);
  for (guint i = 0; i < count; i++)
    bidders[i]->store->calls->free (bidders[i]->store);
  fake_service_free (service);
}

static void
finish_two (bidder_t *first, bidder_t *second)
{
  bidder_t *bidders[] = { first, second };

  finish (bidders, 2);
}

static void
test_one_holder (void)
{
  bidder_t a;
  bidder_t b;
  bidder_t *holder;
  gint64 fence;

  service = fake_service_new ();
  start (&a, "a", 1000);
  start (&b, "b", 1000);
  holder = wait_for_holder (&a, &b, PATIENCE_MS);
  run_wait_ms (MOMENT_MS);
  CU_ASSERT ((a.fence == 0) != (b.fence == 0));
  fence = holder->fence;
  /* The key is taken away, while the holder's lease is renewed. */
  fake_service_revoke (service, "claim/d");
  while (holder->fence == fence)
    run_wait_ms (5);
  (void) wait_for_holder (&a, &b, PATIENCE_MS);
  run_wait_ms (MOMENT_MS);
  CU_ASSERT ((a.fence == 0) != (b.fence == 0));
  CU_ASSERT (MAX (a.fence, b.fence) > fence);
  CU_ASSERT_EQUAL (MAX (a.epoch, b.epoch), 1);
  finish_two (&a, &b);
}

/* A claim is given up while the service is down; its key outlives the outage. */
static void
test_back_after_outage (void)
{
  bidder_t a;
  bidder_t b;
  bidder_t *holder;
  gint64 fence;
  gint64 up_us;

  service = fake_service_new ();
  start (&a, "a", 1000);
  start (&b, "b", 1000);
  holder = wait_for_holder (&a, &b, PATIENCE_MS);
  fence = holder->fence;
  run_wait_ms (MOMENT_MS);
  fake_service_set_down (service, true);
  run_wait_ms (MOMENT_MS);
  claim_abdicate (holder->claim);
  run_wait_ms (8 * MOMENT_MS);
  fake_service_set_down (service, false);
  up_us = clock_now_us ();
  /* The former claim's key is there for TTL_MS yet: its owner takes it away. */
  holder = wait_for_holder (&a, &b, PATIENCE_MS);
  CU_ASSERT (holder->fence > fence);
  CU_ASSERT (clock_now_us () - up_us < (TTL_MS - 1000) * (gint64) 1000);
  finish_two (&a, &b);
}

/* Told that a claim is given up while the service is down, a VM remembers it. */
static void
test_abandoned_in_outage (void)
{
  bidder_t a;
  bidder_t b;
  bidder_t *holder;
  bidder_t *other;

  service = fake_service_new ();
  start (&a, "a", 1000);
  start (&b, "b", 1000);
  holder = wait_for_holder (&a, &b, PATIENCE_MS);
  other = holder == &a ? &b : &a;
  run_wait_ms (MOMENT_MS);
  fake_service_set_down (service, true);
  claim_abandoned (other->claim, holder->fence);
  run_wait_ms (2 * MOMENT_MS);
  fake_service_set_down (service, false);
  CU_ASSERT_PTR_EQUAL (wait_for_holder (other, other, PATIENCE_MS), other);
  finish_two (&a, &b);
}

/* VMs are restarted in turn: the one that began after the claim was written takes it.
 * Its name puts it last among VMs of one age. */
static bool
is_younger_first (void)
{
  bidder_t a;
  bidder_t b;
  bidder_t young;
  bidder_t *bidders[] = { &a, &b, &young };
  bidder_t *holder;
  bool is_first;

  service = fake_service_new ();
  start (&a, "a", 1000);
  start (&b, "b", 1000);
  holder = wait_for_holder (&a, &b, PATIENCE_MS);
  run_wait_ms (MOMENT_MS);
  start (&young, "j", 1000);
  run_wait_ms (MOMENT_MS);
  fake_service_revoke (service, "claim/d");
  while (holder->fence != 0)
    run_wait_ms (5);
  while (a.fence == 0 && b.fence == 0 && young.fence == 0)
    run_wait_ms (5);
  is_first = young.fence != 0;
  finish (bidders, G_N_ELEMENTS (bidders));
  return is_first;
}

static bool
is_larger_first (void)
{
  bidder_t small;
  bidder_t large;
  bool is_first;

  service = fake_service_new ();
  start (&small, "a", 120);
  start (&large, "j", 500);
  is_first = wait_for_holder (&small, &large, PATIENCE_MS) == &large;
  finish_two (&small, &large);
  return is_first;
}

static bool
holds_once (bool (*holds) (void))
{
  for (guint i = 0; i < TRIES; i++)
    {
      if (holds ())
        return true;
    }
  return false;
}

static void
test_younger_first (void)
{
  CU_ASSERT (holds_once (is_younger_first));
}

static void
test_larger_first (void)
{
  CU_ASSERT (holds_once (is_larger_first));
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "one VM holds the claim", test_one_holder },
    { "a claim is back soon after an outage", test_back_after_outage },
    { "a claim given up in an outage", test_abandoned_in_outage },
    { "a VM that was restarted goes first", test_younger_first },
    { "the larger VM is first", test_larger_first },
  };

  return run_suite ("claim", tests, G_N_ELEMENTS (tests));
}
