/* Tests of reading many records from the key-value service over slow and faulty links. */
#include "harness.h"
#include "paced_store.h"

#include "base/metrics.h"
#include "platform/store_kv.h"
#include "store/watcher.h"

enum
{
  LINK_2_MBIT = 2 * 1000 * 1000 / 8,
  LINK_20_MBIT = 20 * 1000 * 1000 / 8,
  JOB_BYTES = 1200, /* a record that holds the customer's text */
  WATCH_MS = 1000,
  CALLS_END_MS = 1200
};

typedef struct
{
  paced_store_t *service;
  metrics_t *metrics;
  store_t *store;
  watcher_t *watcher;
  guint items;
  guint losses;
  bool is_synced;
  bool frees_watcher_when_lost;
  gint64 started_us;
  gint64 synced_us;
} reader_t;

static void
changed (const store_item_t *item G_GNUC_UNUSED, void *data)
{
  ((reader_t *) data)->items++;
}

static void
synced (void *data)
{
  reader_t *reader = data;

  if (!reader->is_synced)
    reader->synced_us = g_get_monotonic_time ();
  reader->is_synced = true;
}

static void
lost (void *data)
{
  reader_t *reader = data;

  reader->losses++;
  if (!reader->frees_watcher_when_lost)
    return;
  watcher_free (reader->watcher);
  reader->watcher = NULL;
}

static const watcher_events_t events = { changed, synced, lost };

static void
reader_open (reader_t *reader, guint bytes_per_s, guint jobs)
{
  *reader = (reader_t){ .service = paced_store_new (bytes_per_s), .metrics = metrics_new () };
  paced_store_fill (reader->service, "job/", jobs, JOB_BYTES);
  reader->store = store_kv_new (paced_store_address (reader->service), reader->metrics);
}

static void
reader_start (reader_t *reader)
{
  reader->started_us = g_get_monotonic_time ();
  reader->watcher = watcher_new (reader->store, "job/", WATCH_MS, &events, reader);
}

static void
reader_close (reader_t *reader)
{
  watcher_free (reader->watcher);
  loop_run_ms (CALLS_END_MS); /* the store may be freed only when no call is in flight */
  reader->store->calls->free (reader->store);
  paced_store_free (reader->service);
  metrics_free (reader->metrics);
}

static bool
is_synced (void *data)
{
  return ((const reader_t *) data)->is_synced;
}

/* Time that the link needs for the bytes sent so far, and a quarter more. */
static gint64
link_time_us (const reader_t *reader, guint bytes_per_s)
{
  guint64 bytes = paced_store_sent_bytes (reader->service);

  return (gint64) (bytes * G_USEC_PER_SEC / bytes_per_s) * 5 / 4 + G_USEC_PER_SEC;
}

static void
check_read (guint bytes_per_s, guint jobs)
{
  reader_t reader;

  reader_open (&reader, bytes_per_s, jobs);
  reader_start (&reader);
  CU_ASSERT_TRUE (loop_run_until (is_synced, &reader));
  CU_ASSERT_EQUAL (reader.items, jobs);
  CU_ASSERT_EQUAL (reader.losses, 0);
  CU_ASSERT_TRUE (reader.synced_us - reader.started_us < link_time_us (&reader, bytes_per_s));
  reader_close (&reader);
}

/* A page takes several seconds on such a link. */
static void
test_slow_link (void)
{
  check_read (LINK_2_MBIT, 100);
  check_read (LINK_2_MBIT, 1000);
}

static void
test_many_jobs (void)
{
  check_read (LINK_20_MBIT, 10000);
}

/* Each page is read until it arrives, and none twice that has arrived. */
static void
test_lost_answers (void)
{
  reader_t reader;

  reader_open (&reader, LINK_20_MBIT, 3000);
  paced_store_set_fault (reader.service, PACED_LOST, 3);
  reader_start (&reader);
  CU_ASSERT_TRUE (loop_run_until (is_synced, &reader));
  CU_ASSERT_EQUAL (reader.items, 3000);
  CU_ASSERT_EQUAL (reader.losses, 1);
  reader_close (&reader);
}

static void
test_refused_calls (void)
{
  reader_t reader;

  reader_open (&reader, LINK_20_MBIT, 3000);
  paced_store_set_fault (reader.service, PACED_REFUSED, 2);
  reader_start (&reader);
  CU_ASSERT_TRUE (loop_run_until (is_synced, &reader));
  CU_ASSERT_EQUAL (reader.items, 3000);
  reader_close (&reader);
}

static void
test_slow_service (void)
{
  reader_t reader;

  reader_open (&reader, LINK_20_MBIT, 3000);
  paced_store_set_delay (reader.service, 400);
  reader_start (&reader);
  CU_ASSERT_TRUE (loop_run_until (is_synced, &reader));
  CU_ASSERT_EQUAL (reader.items, 3000);
  CU_ASSERT_EQUAL (reader.losses, 0);
  reader_close (&reader);
}

static void
count_done (const store_reply_t *reply, void *data)
{
  *(guint *) data += reply->status == STORE_DONE;
}

/* Renewals are answered while a large page is on its way. */
static void
test_renewals_while_reading (void)
{
  reader_t reader;
  guint done = 0;

  reader_open (&reader, LINK_2_MBIT, 500);
  reader_start (&reader);
  for (guint i = 0; i < 5; i++)
    {
      loop_run_ms (400);
      reader.store->calls->keep (reader.store, 1, count_done, &done);
    }
  loop_run_ms (400);
  CU_ASSERT_EQUAL (done, 5);
  CU_ASSERT_FALSE (reader.is_synced);
  reader_close (&reader);
}

/* The owner may give up when the service is lost. */
static void
test_free_when_lost (void)
{
  reader_t reader;

  reader_open (&reader, LINK_20_MBIT, 10);
  reader.frees_watcher_when_lost = true;
  paced_store_set_fault (reader.service, PACED_REFUSED, 1);
  reader_start (&reader);
  loop_run_ms (400);
  CU_ASSERT_EQUAL (reader.losses, 1);
  reader_close (&reader);
}

/* A service that answers reads and watches with keys that were not asked for. */
static void
answer_foreign_keys (store_done_t done, void *data)
{
  store_item_t asked_for = { .key = (char *) "job/0123456789abcdef" };
  store_item_t foreign[]
      = { { .key = (char *) "x" }, { .key = (char *) "" }, { .key = (char *) "jobs" } };
  g_autoptr (GPtrArray) items = g_ptr_array_new ();
  store_reply_t reply = { .status = STORE_DONE, .items = items };

  for (gsize i = 0; i < G_N_ELEMENTS (foreign); i++)
    g_ptr_array_add (items, &foreign[i]);
  g_ptr_array_add (items, &asked_for);
  done (&reply, data);
}

static void
foreign_range (store_t *store G_GNUC_UNUSED,
               const char *prefix G_GNUC_UNUSED,
               const char *after G_GNUC_UNUSED,
               store_done_t done,
               void *data)
{
  answer_foreign_keys (done, data);
}

static void
foreign_watch (store_t *store G_GNUC_UNUSED,
               const char *prefix G_GNUC_UNUSED,
               gint64 after G_GNUC_UNUSED,
               guint wait_ms G_GNUC_UNUSED,
               store_done_t done,
               void *data)
{
  answer_foreign_keys (done, data);
}

/* Their users read the part of a key behind the prefix. */
static void
test_foreign_keys (void)
{
  static const store_calls_t calls = { .range = foreign_range, .watch = foreign_watch };
  store_t store = { .calls = &calls };
  reader_t reader = { .store = &store };

  reader_start (&reader);
  watcher_set_pause_ms (reader.watcher, CALLS_END_MS);
  CU_ASSERT_TRUE (loop_run_until (is_synced, &reader));
  CU_ASSERT_EQUAL (reader.items, 2); /* of the read and of the first watch */
  watcher_free (reader.watcher);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "slow_link", test_slow_link },
    { "many_jobs", test_many_jobs },
    { "lost_answers", test_lost_answers },
    { "refused_calls", test_refused_calls },
    { "slow_service", test_slow_service },
    { "renewals_while_reading", test_renewals_while_reading },
    { "free_when_lost", test_free_when_lost },
    { "foreign_keys", test_foreign_keys },
  };

  return run_suite ("loading", tests, G_N_ELEMENTS (tests));
}
