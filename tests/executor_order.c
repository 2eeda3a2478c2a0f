/* Orders in which the scheduler considers executors, against plain sorting: a wrong one breaks no
 * rule, but places work elsewhere. */
#include "harness.h"

#include "decide/scheduler_gang.h"

enum
{
  ROUNDS = 400,
  EXECUTORS_MAX = 60,
  RUNS_MAX = 5
};

static const gint64 now_us = 1000 * G_USEC_PER_SEC;
static const char service[] = "rota";

static GRand *draw;

static guint
below (guint limit)
{
  return (guint) g_rand_int_range (draw, 0, (gint32) limit);
}

/* ---- A fleet and a gang. */

typedef struct
{
  executor_t executors[EXECUTORS_MAX];
  run_t runs[EXECUTORS_MAX][RUNS_MAX];
  GPtrArray *list; /* executor_t */
  queue_t queue;
  job_t job;
  step_spec_t spec;
  step_t step;
  task_t task;
} fleet_t;

static void
add_run (fleet_t *fleet, executor_t *executor, run_t *run)
{
  run->executor = executor;
  run->task = below (4) > 0 ? &fleet->task : NULL;
  run->state = RUN_ALIVE;
  run->resources = (resource_vector_t){ .cpu_milli = 1000 * (1 + below (6)), .mem_mb = 1024 };
  run->running_since_us = now_us - G_USEC_PER_SEC;
  run->last_progress_us = now_us - 1000;
  run->percent = 10 * (1 + below (9));
  list_push_back (&executor->runs, &run->executor_node);
  executor->used.cpu_milli += run->resources.cpu_milli;
  executor->used.mem_mb += run->resources.mem_mb;
}

static void
add_executor (fleet_t *fleet, guint index)
{
  executor_t *executor = &fleet->executors[index];

  executor->index = index;
  executor->id = g_strdup_printf ("i-%u", below (1000000) * 100 + index);
  executor->service = (char *) service;
  executor->capacity = (resource_vector_t){ .cpu_milli = 32000, .mem_mb = 65536 };
  executor->is_listed = executor->has_reported = true;
  executor->is_reachable = below (8) > 0;
  executor->consecutive_failures = below (5) == 0;
  list_init (&executor->runs);
  for (guint i = below (RUNS_MAX + 1); i > 0; i--)
    add_run (fleet, executor, &fleet->runs[index][i - 1]);
  g_ptr_array_add (fleet->list, executor);
}

static fleet_t *
fleet_new (void)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->queue.service = (char *) service;
  fleet->queue.advice.is_needed = below (2) > 0;
  fleet->queue.advice.call_us = 300 * 1000;
  fleet->job.queue = &fleet->queue;
  fleet->spec.count = 1 + below (20);
  fleet->spec.gang = true;
  fleet->spec.max_per_executor = below (2) * (1 + below (4));
  fleet->spec.need = (resource_vector_t){ .cpu_milli = 1000 * (1 + below (16)), .mem_mb = 512 };
  fleet->step.job = &fleet->job;
  fleet->step.spec = &fleet->spec;
  fleet->task.step = &fleet->step;
  fleet->list = g_ptr_array_new ();
  for (guint i = below (EXECUTORS_MAX + 1); i > 0; i--)
    add_executor (fleet, fleet->list->len);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  for (guint i = 0; i < fleet->list->len; i++)
    g_free (fleet->executors[i].id);
  g_ptr_array_unref (fleet->list);
  g_free (fleet);
}

/* ---- Slots of gangs. */

static int
compare_slots (const void *a, const void *b)
{
  const gang_slot_t *left = a;
  const gang_slot_t *right = b;

  if (left->ready_us != right->ready_us)
    return left->ready_us < right->ready_us ? -1 : 1;
  if (left->cost != right->cost)
    return left->cost < right->cost ? -1 : 1;
  return strcmp (left->executor->id, right->executor->id);
}

/* Adds the slots of one executor: those that fit now, then those that fit after each release. */
static void
add_slots (GArray *slots, const fleet_t *fleet, executor_t *executor)
{
  const step_spec_t *spec = &fleet->spec;
  gint64 free_cpu = (gint64) executor->capacity.cpu_milli - executor->used.cpu_milli;
  guint limit
      = spec->max_per_executor > 0 ? MIN (spec->count, spec->max_per_executor) : spec->count;
  bool is_released[RUNS_MAX] = { false };
  gang_slot_t slot = { .executor = executor, .at_us = now_us };

  slot.cost = free_cpu + scheduler_speed_cost (&fleet->step, executor)
              + (gint64) executor->consecutive_failures * 10000000;
  for (;;)
    {
      run_t *next = NULL;

      for (; limit > 0 && free_cpu >= spec->need.cpu_milli; limit--)
        {
          slot.ready_us = slot.at_us;
          if (fleet->queue.advice.is_needed)
            slot.ready_us = MAX (slot.at_us, now_us + fleet->queue.advice.call_us);
          free_cpu -= spec->need.cpu_milli;
          g_array_append_val (slots, slot);
        }
      for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
        {
          run_t *run = LIST_ENTRY (node, run_t, executor_node);
          const run_t *first = fleet->runs[executor->index];

          if (!is_released[run - first]
              && (next == NULL
                  || scheduler_run_remaining_us (run, now_us)
                         < scheduler_run_remaining_us (next, now_us)))
            next = run;
        }
      if (next == NULL)
        return;
      is_released[next - fleet->runs[executor->index]] = true;
      slot.at_us = now_us + scheduler_run_remaining_us (next, now_us);
      free_cpu += next->resources.cpu_milli;
    }
}

/* A queue that forgot a slot or gave it too early would have gangs planned on other executors. */
static void
test_gang_slots_come_in_order (void)
{
  for (guint round = 0; round < ROUNDS; round++)
    {
      fleet_t *fleet = fleet_new ();
      g_autoptr (GArray) found = gang_collect_slots (fleet->list, &fleet->step, now_us);
      g_autoptr (GArray) expected = g_array_new (FALSE, FALSE, sizeof (gang_slot_t));

      for (guint i = 0; i < fleet->list->len; i++)
        {
          if (fleet->executors[i].is_reachable)
            add_slots (expected, fleet, &fleet->executors[i]);
        }
      g_array_sort (expected, compare_slots);
      CU_ASSERT_EQUAL_FATAL (found->len, expected->len);
      for (guint i = 0; i < found->len; i++)
        {
          const gang_slot_t *slot = &g_array_index (found, gang_slot_t, i);
          const gang_slot_t *other = &g_array_index (expected, gang_slot_t, i);

          CU_ASSERT (slot->executor == other->executor && slot->at_us == other->at_us
                     && slot->ready_us == other->ready_us && slot->cost == other->cost);
        }
      fleet_free (fleet);
    }
}

/* ---- Open executors. */

static int
compare_by_free_cpu (const void *a, const void *b)
{
  const executor_t *left = *(executor_t *const *) a;
  const executor_t *right = *(executor_t *const *) b;
  gint64 left_free = (gint64) left->capacity.cpu_milli - left->used.cpu_milli;
  gint64 right_free = (gint64) right->capacity.cpu_milli - right->used.cpu_milli;

  if (left_free != right_free)
    return left_free > right_free ? -1 : 1;
  return left->index < right->index ? -1 : 1;
}

/* Differences of CPU of one, two, three and four bytes, and more in use than there is. */
static void
test_open_executors_come_emptiest_first (void)
{
  static const guint units[] = { 1, 100, 10000, 100000, 20000000 };

  for (guint round = 0; round < ROUNDS; round++)
    {
      fleet_t *fleet = fleet_new ();
      scheduler_t scheduler = { .executor_list = fleet->list };
      g_autoptr (GPtrArray) expected = g_ptr_array_new ();

      scheduler.open_executors = g_ptr_array_new ();
      for (guint i = 0; i < fleet->list->len; i++)
        {
          fleet->executors[i].capacity.cpu_milli = units[round % G_N_ELEMENTS (units)] * below (99);
          if (fleet->executors[i].is_reachable)
            g_ptr_array_add (expected, &fleet->executors[i]);
        }
      g_ptr_array_sort (expected, compare_by_free_cpu);
      scheduler_list_open_executors (&scheduler, now_us);
      CU_ASSERT_EQUAL_FATAL (scheduler.open_executors->len, expected->len);
      for (guint i = 0; i < expected->len; i++)
        CU_ASSERT (g_ptr_array_index (scheduler.open_executors, i)
                   == g_ptr_array_index (expected, i));
      g_ptr_array_unref (scheduler.open_executors);
      fleet_free (fleet);
    }
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "gang_slots_come_in_order", test_gang_slots_come_in_order },
    { "open_executors_come_emptiest_first", test_open_executors_come_emptiest_first },
  };

  draw = g_rand_new_with_seed (1);
  return run_suite ("executor_order", tests, G_N_ELEMENTS (tests));
}
