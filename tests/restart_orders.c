/* Start orders around one restart of an executor as another kind.  Every order of registry entries,
 * reports, stored placements, deliveries of orders, results and one change of leader is played, up
 * to DEPTH events after each of several beginnings.  ROUTE, LIMIT: no order is issued, and none is
 * carried out, on the labels, the service or the capacity of the former incarnation. */
#include "harness.h"
#include "scheduler_fixture.h"

enum
{
  DEPTH = 7,
  TASKS = 3, /* of each job */
  TASK_CPU_MILLI = 1000,
  QUEUE_MAX = 32,
  FORMER = 1, /* incarnations; the number is their `born` */
  PRESENT = 2,
  INCARNATIONS = 3,
  SETTLE_MS = 16000 /* leader's lease, delay of a call, and 2 s for orders */
};

/* What the incarnations offer.  Tasks of job 1 fit the former one, those of job 2 the present one.
 */
typedef struct
{
  const char *name;
  const char *label[INCARNATIONS];
  const char *service[INCARNATIONS];
  guint cpu_milli[INCARNATIONS];
} kind_t;

static const kind_t kinds[] = {
  { "labels", { "", "a", "b" }, { "", "s", "s" }, { 0, 4000, 4000 } },
  { "service", { "", "a", "a" }, { "", "s", "t" }, { 0, 4000, 4000 } },
  { "capacity", { "", "a", "a" }, { "", "s", "s" }, { 0, 3000, 1000 } },
};

typedef struct
{
  guint64 order;
  gint64 born;
  task_ref_t task;
  guint run;
  guint leader;
  bool is_start;
  order_outcome_t outcome;
} sent_t;

typedef struct
{
  task_ref_t task;
  guint run;
} run_row_t;

typedef struct
{
  guint64 number;
  placed_run_t runs[2 * TASKS];
  guint count;
} placement_row_t;

typedef enum
{
  EVENT_RESTART,
  EVENT_WATCH, /* the leader hears of the present incarnation's entry */
  EVENT_STALE, /* the leader reads the former incarnation's entry once more */
  EVENT_TAKE,  /* the executor answers a hold request */
  EVENT_REPORT,
  EVENT_STORED,
  EVENT_ORDER,
  EVENT_RESULT,
  EVENT_LEADER, /* the next leader reads the former incarnation's entry */
  EVENT_COUNT
} event_kind_t;

static const char event_letters[] = "XWSTRPOAL";

typedef struct
{
  fixture_t fixture; /* first, as its operations are given the address of the whole */
  const kind_t *kind;
  guint leader;
  gint64 heard_born; /* the latest incarnation that the leader has heard of */
  gint64 born;       /* of the executor */
  bool is_listed;    /* the leader knows the present entry */
  bool was_stale;
  run_row_t running[QUEUE_MAX];
  guint running_count;
  /* The answer on its way to the leader. */
  bool has_report;
  gint64 report_born;
  guint64 report_mark;
  run_row_t reported[QUEUE_MAX];
  guint reported_count;
  sent_t orders[QUEUE_MAX]; /* on their way to the executor */
  guint order_count;
  sent_t results[QUEUE_MAX]; /* on their way to the leader */
  guint result_count;
  placement_row_t placements[QUEUE_MAX]; /* being stored */
  guint placement_count;
  placed_run_t stored[QUEUE_MAX];
  guint stored_count;
  const char *broken;
} world_t;

static bool
fits (const world_t *world, const task_ref_t *task, gint64 born)
{
  const kind_t *kind = world->kind;
  gint64 own = task->job[JOB_ID_BYTES - 2] == '1' ? FORMER : PRESENT;

  return strcmp (kind->label[own], kind->label[born]) == 0
         && strcmp (kind->service[own], kind->service[born]) == 0;
}

static void
world_start (const start_order_t *order, void *data)
{
  world_t *world = data;

  if (!fits (world, &order->task, order->born))
    world->broken = "a start is ordered on an incarnation that the task does not fit";
  if (order->born < world->heard_born)
    world->broken = "a start is ordered on an incarnation that is known to have ended";
  g_assert (world->order_count < QUEUE_MAX);
  world->orders[world->order_count++] = (sent_t){ .order = order->order,
                                                  .born = order->born,
                                                  .task = order->task,
                                                  .run = order->run,
                                                  .leader = world->leader,
                                                  .is_start = true };
}

static void
world_stop (const stop_order_t *order, void *data)
{
  world_t *world = data;

  g_assert (world->order_count < QUEUE_MAX);
  world->orders[world->order_count++] = (sent_t){ .order = order->order,
                                                  .born = order->born,
                                                  .task = order->task,
                                                  .run = order->run,
                                                  .leader = world->leader };
}

static void
world_place (guint64 placement, const placed_run_t *runs, guint count, void *data)
{
  world_t *world = data;
  placement_row_t *row = &world->placements[world->placement_count];

  g_assert (world->placement_count < QUEUE_MAX && count <= G_N_ELEMENTS (row->runs));
  *row = (placement_row_t){ .number = placement, .count = count };
  for (guint i = 0; i < count; i++)
    row->runs[i] = (placed_run_t){ .task = runs[i].task, .run = runs[i].run, .executor = "e" };
  world->placement_count++;
}

static void
list_entry (world_t *world, gint64 born)
{
  const char *labels[] = { world->kind->label[born], NULL };
  executor_entry_t entry = {
    .id = "e",
    .address = "e",
    .service = world->kind->service[born],
    .zone = "z",
    .labels = labels,
    .capacity = { .cpu_milli = world->kind->cpu_milli[born], .mem_mb = 1000 },
    .born = born,
  };

  world->heard_born = MAX (world->heard_born, born);
  scheduler_executor_listed (world->fixture.scheduler, &entry, world->fixture.now_us);
}

static void
add_jobs (world_t *world)
{
  for (guint number = FORMER; number <= PRESENT; number++)
    {
      job_spec_t *spec = make_job_spec (number, TASKS, TASK_CPU_MILLI);

      if (strcmp (world->kind->service[number], "s") != 0)
        {
          g_free (spec->queue);
          spec->queue = g_strdup ("t");
        }
      spec->steps[0].requires = g_strdup (world->kind->label[number]);
      add_job (&world->fixture, spec, world->leader > 0);
    }
}

static void
start_leader (world_t *world)
{
  static scheduler_ops_t world_ops;
  scheduler_limits_t limits
      = { .executor_lease_us = 5000 * MS, .leader_lease_us = 2000 * MS, .remote_factor = 2.0 };

  world_ops = ops;
  world_ops.start = world_start;
  world_ops.stop = world_stop;
  world_ops.place = world_place;
  scheduler_free (world->fixture.scheduler);
  world->fixture.scheduler = scheduler_new (&limits, world->leader, &world_ops, world);
  scheduler_set_desired (world->fixture.scheduler, world->fixture.desired);
  add_jobs (world);
  scheduler_restore_placement (world->fixture.scheduler, 1, world->stored, world->stored_count,
                               world->fixture.now_us);
}

static void
change_leader (world_t *world)
{
  world->leader++;
  world->heard_born = 0;
  world->fixture.mark = 0;
  world->has_report = false;
  world->placement_count = 0;
  start_leader (world);
  list_entry (world, FORMER);
}

static void
take_report (world_t *world)
{
  world->has_report = true;
  world->report_born = world->born;
  world->report_mark = world->fixture.mark;
  world->reported_count = world->running_count;
  memcpy (world->reported, world->running, sizeof world->reported);
}

static void
deliver_report (world_t *world)
{
  reported_run_t running[QUEUE_MAX];

  for (guint i = 0; i < world->reported_count; i++)
    running[i] = (reported_run_t){ .task = world->reported[i].task,
                                   .run = world->reported[i].run,
                                   .checkpoint = "" };
  world->has_report = false;
  world->heard_born = MAX (world->heard_born, world->report_born);
  report (&world->fixture, "e", world->report_born, world->report_mark, running,
          world->reported_count, NULL, 0);
}

static void
store_placement (world_t *world)
{
  placement_row_t row = world->placements[0];

  world->placement_count--;
  memmove (world->placements, world->placements + 1, world->placement_count * sizeof row);
  g_assert (world->stored_count + row.count <= QUEUE_MAX);
  memcpy (&world->stored[world->stored_count], row.runs, row.count * sizeof row.runs[0]);
  world->stored_count += row.count;
  scheduler_placement_stored (world->fixture.scheduler, row.number, world->fixture.now_us);
}

static bool
is_same_task (const task_ref_t *a, const task_ref_t *b)
{
  return strcmp (a->job, b->job) == 0 && a->occurrence == b->occurrence && a->step == b->step
         && a->index == b->index;
}

/* The VM sends an order only to the incarnation that it names. */
static order_outcome_t
carry_out (world_t *world, const sent_t *sent)
{
  if (sent->born != world->born)
    return ORDER_EXECUTOR_RESTARTED;
  if (sent->is_start)
    {
      world->running[world->running_count++] = (run_row_t){ sent->task, sent->run };
      if (world->running_count * TASK_CPU_MILLI > world->kind->cpu_milli[world->born])
        world->broken = "the runs exceed what the executor has";
      return ORDER_OK;
    }
  for (guint i = 0; i < world->running_count; i++)
    {
      if (world->running[i].run == sent->run && is_same_task (&world->running[i].task, &sent->task))
        world->running[i] = world->running[--world->running_count];
    }
  return ORDER_OK;
}

static void
deliver_order (world_t *world)
{
  sent_t sent = world->orders[0];

  world->order_count--;
  memmove (world->orders, world->orders + 1, world->order_count * sizeof sent);
  sent.outcome = carry_out (world, &sent);
  world->results[world->result_count++] = sent;
}

static void
deliver_result (world_t *world)
{
  sent_t sent = world->results[0];

  world->result_count--;
  memmove (world->results, world->results + 1, world->result_count * sizeof sent);
  if (sent.leader == world->leader)
    scheduler_order_result (world->fixture.scheduler, sent.order, sent.outcome,
                            world->fixture.now_us);
}

static bool
may_happen (const world_t *world, event_kind_t event)
{
  switch (event)
    {
    case EVENT_RESTART:
      return world->born == FORMER;
    case EVENT_WATCH:
      return world->born == PRESENT && !world->is_listed;
    case EVENT_STALE:
      return world->is_listed && !world->was_stale;
    case EVENT_TAKE:
      return !world->has_report;
    case EVENT_REPORT:
      return world->has_report;
    case EVENT_STORED:
      return world->placement_count > 0;
    case EVENT_ORDER:
      return world->order_count > 0;
    case EVENT_RESULT:
      return world->result_count > 0;
    case EVENT_LEADER:
      return world->leader == 0;
    case EVENT_COUNT:
      break;
    }
  return false;
}

static void
play_event (world_t *world, event_kind_t event)
{
  switch (event)
    {
    case EVENT_RESTART:
      world->born = PRESENT;
      world->running_count = 0;
      break;
    case EVENT_WATCH:
      world->is_listed = true;
      list_entry (world, PRESENT);
      break;
    case EVENT_STALE:
      world->was_stale = true;
      list_entry (world, FORMER);
      break;
    case EVENT_TAKE:
      take_report (world);
      break;
    case EVENT_REPORT:
      deliver_report (world);
      break;
    case EVENT_STORED:
      store_placement (world);
      break;
    case EVENT_ORDER:
      deliver_order (world);
      break;
    case EVENT_RESULT:
      deliver_result (world);
      break;
    case EVENT_LEADER:
      world->is_listed = false;
      change_leader (world);
      break;
    case EVENT_COUNT:
      break;
    }
  world->fixture.now_us += MS;
  (void) scheduler_run_round (world->fixture.scheduler, world->fixture.now_us,
                              world->fixture.now_us / MS);
}

/* Plays the events of `path` in letters, as far as they are possible. */
static void
play_letters (world_t *world, const char *path)
{
  for (; *path != '\0'; path++)
    {
      event_kind_t event = (event_kind_t) (strchr (event_letters, *path) - event_letters);

      if (may_happen (world, event))
        play_event (world, event);
    }
}

static void
world_open (world_t *world, const kind_t *kind)
{
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  memset (world, 0, sizeof *world);
  world->kind = kind;
  world->born = FORMER;
  world->fixture.now_us = 1000000 * MS;
  world->fixture.desired = desired_state_new ();
  for (guint i = 0; i < 2; i++)
    {
      queue = i == 0 ? queue : g_new0 (queue_spec_t, 1);
      queue->name = g_strdup (i == 0 ? "q" : "t");
      queue->host = g_strdup ("h");
      queue->prefix = g_strdup (i == 0 ? "/" : "/t");
      queue->service = g_strdup (i == 0 ? "s" : "t");
      queue->attempts = 2;
      queue->stretch = 2.0;
      queue->objective_us = 500 * MS;
      g_ptr_array_add (world->fixture.desired->queues, queue);
    }
  start_leader (world);
  list_entry (world, FORMER);
}

static void
world_close (world_t *world)
{
  scheduler_free (world->fixture.scheduler);
  desired_state_free (world->fixture.desired);
}

/* Once all is known, and an order that got no result can no longer be carried out, the present
 * incarnation is used, and for what fits it alone. */
static bool
serves_in_the_end (world_t *world)
{
  if (world->born == FORMER)
    play_event (world, EVENT_RESTART);
  for (guint i = 0; i < 4 || (world->running_count == 0 && i < SETTLE_MS / 500); i++)
    {
      world->fixture.now_us += 500 * MS;
      list_entry (world, PRESENT);
      play_event (world, EVENT_TAKE);
      play_event (world, EVENT_REPORT);
      play_letters (world, "PPPPOOOOOOOOOOAAAAAAAAAA");
    }
  for (guint i = 0; i < world->running_count; i++)
    {
      if (!fits (world, &world->running[i].task, PRESENT))
        return false;
    }
  return world->running_count > 0;
}

static void
extend (const kind_t *kind, const char *beginning, char *path, guint length, guint *count)
{
  static world_t world;
  bool is_possible[EVENT_COUNT];

  world_open (&world, kind);
  play_letters (&world, beginning);
  play_letters (&world, path);
  for (guint i = 0; i < EVENT_COUNT; i++)
    is_possible[i] = may_happen (&world, i);
  if (world.broken == NULL && length == DEPTH && !serves_in_the_end (&world)
      && world.broken == NULL)
    world.broken = "the present incarnation is not used";
  if (world.broken != NULL)
    (void) g_printerr ("%s, %s%s: %s\n", kind->name, beginning, path, world.broken);
  world_close (&world);
  (*count)++;
  CU_ASSERT_PTR_NULL_FATAL (world.broken);
  for (guint i = 0; i < EVENT_COUNT && length < DEPTH; i++)
    {
      if (!is_possible[i])
        continue;
      path[length] = event_letters[i];
      path[length + 1] = '\0';
      extend (kind, beginning, path, length + 1, count);
      path[length] = '\0';
    }
}

static void
play_all (const kind_t *kind)
{
  /* Listed; reported, with a placement that is being stored; orders under way; tasks running; the
   * next leader before and after its first report. */
  static const char *const beginnings[]
      = { "", "TR", "TRP", "TRPOOOAAA", "TRPOOOAAALT", "TRPOLTR" };
  guint count = 0;

  for (guint i = 0; i < G_N_ELEMENTS (beginnings); i++)
    {
      char path[DEPTH + 1] = "";

      extend (kind, beginnings[i], path, 0, &count);
    }
  CU_ASSERT (count > 1000);
  if (g_getenv ("VERBOSE") != NULL)
    (void) g_printerr ("%s: %u\n", kind->name, count);
}

static void
test_route_labels (void)
{
  play_all (&kinds[0]);
}

static void
test_route_service (void)
{
  play_all (&kinds[1]);
}

static void
test_limit_capacity (void)
{
  play_all (&kinds[2]);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "route_labels", test_route_labels },
    { "route_service", test_route_service },
    { "limit_capacity", test_limit_capacity },
  };

  return run_suite ("restart_orders", tests, G_N_ELEMENTS (tests));
}
