/* Tests of the record of settled starts: what a leader writes is what the next one relies on, and
 * no more. */
#include "harness.h"
#include "scheduler_fixture.h"

#include "entry/keys.h"
#include "entry/leader_state.h"
#include "fake_store.h"

enum
{
  EPOCH = 4,
  FENCE = 90,
  CALL_MS = 50,                            /* of the store */
  PLACEMENT = RESTORED_PLACEMENT_LIMIT + 1 /* larger than any restored one */
};

static bool
is_written (gpointer service)
{
  return fake_service_revision (service, KEYS_SETTLED_STARTS) > 0;
}

static leader_t *
leader_new_for_test (fixture_t *fixture, guint epoch, gint64 fence)
{
  leader_t *leader = g_new0 (leader_t, 1);

  leader->config.epoch = epoch;
  leader->config.fence = fence;
  leader->scheduler = fixture->scheduler;
  leader->inherited_placement_keys = g_ptr_array_new_with_free_func (g_free);
  return leader;
}

static void
leader_free_for_test (leader_t *leader)
{
  g_clear_pointer (&leader->settled.former, leader_settled_free);
  g_ptr_array_unref (leader->inherited_placement_keys);
  g_free (leader);
}

/* The record of the leader EPOCH: three placements, of which one run has no known start. */
static void
load_record (leader_t *leader)
{
  Mimosastair__SettledStarts message = MIMOSASTAIR__SETTLED_STARTS__INIT;
  Mimosastair__SettledPlacements placements = MIMOSASTAIR__SETTLED_PLACEMENTS__INIT;
  Mimosastair__SettledPlacements *list = &placements;
  guint64 open_placement = PLACEMENT + 1;
  guint32 open_run = 2;
  char *unsteady = (char *) "e2";
  g_autofree guint8 *packed = NULL;
  gsize size;

  placements.fence = FENCE;
  placements.below = PLACEMENT + 3;
  placements.n_open_placements = placements.n_open_runs = 1;
  placements.open_placements = &open_placement;
  placements.open_runs = &open_run;
  message.epoch = EPOCH;
  message.n_placements = 1;
  message.placements = &list;
  message.n_unsteady = 1;
  message.unsteady = &unsteady;
  size = mimosastair__settled_starts__get_packed_size (&message);
  packed = g_malloc (size);
  mimosastair__settled_starts__pack (&message, packed);
  leader_load_settled (leader, packed, size);
}

static placed_run_t
apply (const leader_t *leader, gint64 fence, guint64 placement, guint index, const char *executor)
{
  g_autofree char *key = g_strdup_printf (
      KEYS_PLACEMENT_PREFIX "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT, fence, placement);
  placed_run_t run = { .executor = executor };

  leader_apply_settled (leader, key, index, &run);
  return run;
}

static void
test_known_starts_of_the_last_leader (void)
{
  fixture_t *fixture = fixture_new (EPOCH + 1, 0);
  leader_t *leader = leader_new_for_test (fixture, EPOCH + 1, FENCE + 10);

  load_record (leader);
  CU_ASSERT (apply (leader, FENCE, PLACEMENT, 2, "e1").is_start_known);
  CU_ASSERT (apply (leader, FENCE, PLACEMENT, 2, "e1").is_steady);
  CU_ASSERT (apply (leader, FENCE, PLACEMENT, 2, "e2").is_start_known);
  CU_ASSERT (apply (leader, FENCE, PLACEMENT + 1, 1, "e1").is_start_known);
  leader_free_for_test (leader);
  fixture_free (fixture);
}

static void
test_twice_what_the_record_does_not_tell (void)
{
  fixture_t *fixture = fixture_new (EPOCH + 1, 0);
  leader_t *leader = leader_new_for_test (fixture, EPOCH + 1, FENCE + 10);

  CU_ASSERT (!apply (leader, FENCE, PLACEMENT, 0, "e1").is_start_known);
  load_record (leader);
  CU_ASSERT (!apply (leader, FENCE, PLACEMENT + 1, 2, "e1").is_start_known);
  CU_ASSERT (!apply (leader, FENCE, PLACEMENT + 3, 0, "e1").is_start_known);
  CU_ASSERT (!apply (leader, FENCE + 1, PLACEMENT, 0, "e1").is_start_known);
  CU_ASSERT (!apply (leader, FENCE, PLACEMENT, 2, "e2").is_steady);
  leader_free_for_test (leader);
  fixture_free (fixture);
}

/* A leader in between, perhaps of an earlier version, may have ordered starts again. */
static void
test_twice_record_of_a_leader_before_the_last (void)
{
  fixture_t *fixture = fixture_new (EPOCH + 2, 0);
  leader_t *leader = leader_new_for_test (fixture, EPOCH + 2, FENCE + 10);

  load_record (leader);
  CU_ASSERT (!apply (leader, FENCE, PLACEMENT, 0, "e1").is_start_known);
  leader_free_for_test (leader);
  fixture_free (fixture);
}

/* Leaders of earlier versions read the record as a placement. */
static void
test_record_is_a_placement_without_runs (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  leader_t *leader = leader_new_for_test (fixture, EPOCH + 1, FENCE + 10);
  g_autofree guint8 *packed = NULL;
  Mimosastair__Placement *placement;
  gsize size;

  load_record (leader);
  size = mimosastair__settled_starts__get_packed_size (leader->settled.former);
  packed = g_malloc (size);
  mimosastair__settled_starts__pack (leader->settled.former, packed);
  placement = mimosastair__placement__unpack (NULL, size, packed);
  if (placement == NULL)
    g_error ("the record is no placement");
  CU_ASSERT_EQUAL (placement->n_runs, 0);
  CU_ASSERT_EQUAL (placement->n_workspaces, 0);
  mimosastair__placement__free_unpacked (placement, NULL);
  leader_free_for_test (leader);
  fixture_free (fixture);
}

/* A start that got no answer, and one that was answered, of one placement. */
static void
order_two_starts (fixture_t *fixture)
{
  const issued_order_t *order;

  add_ready_executor (fixture, "e1");
  add_job (fixture, make_job_spec (1, 2, 1000), false);
  step (fixture);
  while ((order = next_issued (fixture, 's')) != NULL)
    scheduler_order_result (fixture->scheduler, order->order,
                            order->index == 0 ? ORDER_NO_ANSWER : ORDER_OK, fixture->now_us);
}

static void
placement_stored (guint64 placement G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
deposed (void *data G_GNUC_UNUSED)
{
  CU_FAIL ("deposed");
}

static void
ignore (const store_reply_t *reply G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
record_read (const store_reply_t *reply, void *data)
{
  const store_item_t *item;

  CU_ASSERT_EQUAL_FATAL (reply->items->len, 1);
  item = g_ptr_array_index (reply->items, 0);
  leader_load_settled (data, item->value, item->value_bytes);
}

/* Has the leader store its record, and the next one load it. */
static void
hand_over_record (leader_t *leader, leader_t *next)
{
  static const placement_writer_events_t events = { placement_stored, deposed };
  fake_service_t *service = fake_service_new ();
  store_t *store = fake_store_new (service);
  store_write_t claim = { "claim", (const guint8 *) "", 0, 0 };

  store->calls->txn (store, NULL, 0, &claim, 1, ignore, NULL);
  loop_run_ms (CALL_MS);
  leader->placement_writer = placement_writer_new (
      store, "claim", fake_service_revision (service, "claim"), &events, NULL);
  leader_write_settled (leader, leader->started_us);
  CU_ASSERT_TRUE (loop_run_until (is_written, service));
  store->calls->get (store, KEYS_SETTLED_STARTS, record_read, next);
  loop_run_ms (CALL_MS);
  placement_writer_free (leader->placement_writer);
  store->calls->free (store);
  fake_service_free (service);
}

/* What the record says goes on to the leader after the next one, with what the next one adds. */
static void
test_record_is_handed_on (void)
{
  fixture_t *fixtures[] = { fixture_new (EPOCH + 1, 0), fixture_new (EPOCH + 2, 0) };
  leader_t *leader = leader_new_for_test (fixtures[0], EPOCH + 1, FENCE + 10);
  leader_t *next = leader_new_for_test (fixtures[1], EPOCH + 2, FENCE + 20);
  guint64 own;

  load_record (leader);
  g_ptr_array_add (leader->inherited_placement_keys,
                   g_strdup_printf (KEYS_PLACEMENT_PREFIX "%d-%u", FENCE, PLACEMENT));
  order_two_starts (fixtures[0]);
  own = fixtures[0]->last_placement;
  hand_over_record (leader, next);
  CU_ASSERT (apply (next, FENCE, PLACEMENT, 0, "e1").is_start_known);
  CU_ASSERT (!apply (next, FENCE, PLACEMENT + 1, 2, "e1").is_start_known);
  CU_ASSERT (!apply (next, FENCE + 10, own, 0, "e1").is_start_known);
  CU_ASSERT (apply (next, FENCE + 10, own, 1, "e1").is_start_known);
  /* That leader has known the executor for a moment only. */
  CU_ASSERT (!apply (next, FENCE + 10, own, 1, "e1").is_steady);
  CU_ASSERT (!apply (next, FENCE + 10, own + 1, 0, "e1").is_start_known);
  leader_free_for_test (leader);
  leader_free_for_test (next);
  fixture_free (fixtures[0]);
  fixture_free (fixtures[1]);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "known_starts_of_the_last_leader", test_known_starts_of_the_last_leader },
    { "twice_what_the_record_does_not_tell", test_twice_what_the_record_does_not_tell },
    { "twice_record_of_a_leader_before_the_last", test_twice_record_of_a_leader_before_the_last },
    { "record_is_a_placement_without_runs", test_record_is_a_placement_without_runs },
    { "record_is_handed_on", test_record_is_handed_on },
  };

  return run_suite ("settled_record", tests, G_N_ELEMENTS (tests));
}
