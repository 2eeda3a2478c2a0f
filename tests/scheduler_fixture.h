/* Fixture for unit tests of the scheduler: a scheduler with one queue, whose orders are recorded.
 */
#pragma once

#include "decide/scheduler.h"
#include "decide/spec.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define MS ((gint64) 1000)

enum
{
  ORDERS_MAX = 512,
  STEPS_MAX = 512,
  GANG_WAIT_MS = 3000
};

/* An order that the scheduler issued.  Which fields are set depends on its kind. */
typedef struct
{
  char kind; /* 's' start, 'x' stop, 'a' call for advice */
  guint64 order;
  char executor[16];
  char job[JOB_ID_BYTES];
  guint index;
  guint run;
  gint64 born;
  char ticket[32];
  bool is_checked;
  guint candidate_count;
  gint64 expected_us;
  char candidate_ids[16][16];
} issued_order_t;

typedef struct
{
  char executor[16];
  guint step;
} fence_step_t;

typedef struct
{
  scheduler_t *scheduler;
  desired_state_t *desired;
  issued_order_t orders[ORDERS_MAX];
  guint order_count;
  guint read_count; /* orders that next_issued() has returned or skipped */
  guint64 acked;    /* `acked` and `mark` as last passed to op_acknowledge() */
  guint64 mark;
  fence_step_t steps[STEPS_MAX]; /* as last passed for each executor */
  guint save_count;
  job_state_t end_state;
  guint finish_count;
  guint64 unstored_placement; /* the latest; 0: none */
  guint64 last_placement;
  placed_run_t placed; /* the first run of the latest placement; strings are borrowed */
  guint64 deleted_placement;
  bool delays_placements; /* the test calls scheduler_placement_stored() itself */
  bool is_deposed;
  gint64 now_us;
} fixture_t;

static inline issued_order_t *
record_order (fixture_t *fixture, char kind)
{
  issued_order_t *entry = &fixture->orders[fixture->order_count++ % ORDERS_MAX];

  memset (entry, 0, sizeof *entry);
  entry->kind = kind;
  return entry;
}

static inline void
op_start (const start_order_t *order, void *data)
{
  issued_order_t *entry = record_order (data, 's');
  text_digest_t digest = text_digest_compute (order->spec);

  /* A VM would be told to use another text. */
  CU_ASSERT_EQUAL (memcmp (order->text_digest, &digest, sizeof digest), 0);
  entry->order = order->order;
  entry->index = order->task.index;
  entry->run = order->run;
  entry->born = order->born;
  entry->is_checked = order->is_checked;
  g_strlcpy (entry->executor, order->executor, sizeof entry->executor);
  g_strlcpy (entry->job, order->task.job, sizeof entry->job);
  g_strlcpy (entry->ticket, order->ticket, sizeof entry->ticket);
}

static inline void
op_stop (const stop_order_t *order, void *data)
{
  issued_order_t *entry = record_order (data, 'x');

  entry->order = order->order;
  entry->index = order->task.index;
  entry->run = order->run;
  entry->born = order->born;
  g_strlcpy (entry->executor, order->executor, sizeof entry->executor);
}

static inline void
op_advise (const advise_order_t *order, void *data)
{
  issued_order_t *entry = record_order (data, 'a');

  entry->order = order->order;
  entry->candidate_count = order->executor_count;
  entry->expected_us = order->expected_us;
  g_strlcpy (entry->job, order->step.job, sizeof entry->job);
  for (guint i = 0; i < MIN (order->executor_count, 16); i++)
    g_strlcpy (entry->candidate_ids[i], order->executors[i], sizeof entry->candidate_ids[i]);
}

static inline void
op_save_progress (const char *job G_GNUC_UNUSED, void *data)
{
  ((fixture_t *) data)->save_count++;
}

static inline void
op_finish (const char *job G_GNUC_UNUSED, job_state_t state, void *data)
{
  fixture_t *fixture = data;

  fixture->end_state = state;
  fixture->finish_count++;
}

/* The step of calls to the executor, which its VM has been told. */
static inline fence_step_t *
fixture_step (fixture_t *fixture, const char *executor)
{
  for (guint i = 0; i < STEPS_MAX; i++)
    {
      fence_step_t *step = &fixture->steps[i];

      if (step->executor[0] == '\0')
        g_strlcpy (step->executor, executor, sizeof step->executor);
      if (strcmp (step->executor, executor) == 0)
        return step;
    }
  g_error ("too many executors");
}

static inline void
op_acknowledge (const char *executor,
                gint64 born G_GNUC_UNUSED,
                guint64 acked,
                guint64 mark,
                guint fence_step,
                void *data)
{
  fixture_t *fixture = data;

  fixture->acked = acked;
  fixture->mark = mark;
  fixture_step (fixture, executor)->step = fence_step;
}

static inline void
op_hold (const char *executor G_GNUC_UNUSED,
         const char *address G_GNUC_UNUSED,
         void *data G_GNUC_UNUSED)
{
}

/* step() reports the placement as stored, unless the test delays placements. */
static inline void
op_place (guint64 placement, const placed_run_t *runs, guint count G_GNUC_UNUSED, void *data)
{
  fixture_t *fixture = data;

  fixture->unstored_placement = fixture->last_placement = placement;
  fixture->placed = runs[0];
}

static inline void
op_delete_placement (guint64 placement, void *data)
{
  ((fixture_t *) data)->deleted_placement = placement;
}

static inline void
op_deposed (void *data)
{
  ((fixture_t *) data)->is_deposed = true;
}

static inline void
op_write_log (const char *event G_GNUC_UNUSED,
              const char *pairs G_GNUC_UNUSED,
              void *data G_GNUC_UNUSED)
{
}

static const scheduler_ops_t ops = {
  .start = op_start,
  .stop = op_stop,
  .advise = op_advise,
  .save_progress = op_save_progress,
  .finish = op_finish,
  .acknowledge = op_acknowledge,
  .hold = op_hold,
  .place = op_place,
  .delete_placement = op_delete_placement,
  .deposed = op_deposed,
  .write_log = op_write_log,
};

/* ---- Fixture: a scheduler with one queue. */

static inline fixture_t *
fixture_new_with_limits (guint epoch, const scheduler_limits_t *limits)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  fixture->now_us = 1000000 * MS;
  fixture->desired = desired_state_new ();
  queue->name = g_strdup ("q");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("s");
  queue->attempts = 2;
  queue->stretch = 2.0;
  queue->objective_us = 500 * MS;
  g_ptr_array_add (fixture->desired->queues, queue);
  fixture->scheduler = scheduler_new (limits, epoch, &ops, fixture);
  scheduler_set_desired (fixture->scheduler, fixture->desired);
  return fixture;
}

static inline fixture_t *
fixture_new (guint epoch, gint64 leader_lease_us)
{
  scheduler_limits_t limits = { .executor_lease_us = 5000 * MS,
                                .leader_lease_us = leader_lease_us,
                                .gang_wait_us = GANG_WAIT_MS * MS,
                                .remote_factor = 2.0 };

  return fixture_new_with_limits (epoch, &limits);
}

static inline void
fixture_free (fixture_t *fixture)
{
  scheduler_free (fixture->scheduler);
  desired_state_free (fixture->desired);
  g_free (fixture);
}

static inline queue_spec_t *
fixture_queue (fixture_t *fixture)
{
  return g_ptr_array_index (fixture->desired->queues, 0);
}

/* Gives the scheduler a registry entry of the executor. */
static inline void
list_executor (fixture_t *fixture, const char *id, gint64 born, bool is_draining)
{
  executor_entry_t entry = {
    .id = id,
    .address = id,
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .is_draining = is_draining,
    .born = born,
  };

  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
}

static inline void
report (fixture_t *fixture,
        const char *id,
        gint64 born,
        guint64 mark,
        const reported_run_t *running,
        guint running_count,
        const reported_end_t *ended,
        guint ended_count)
{
  executor_report_t message = {
    .executor = id,
    .is_reachable = true,
    .is_lease_requested = true,
    .fence_step = fixture_step (fixture, id)->step,
    .born = born,
    .mark = mark,
    .running = running,
    .running_count = running_count,
    .ended = ended,
    .ended_count = ended_count,
  };

  scheduler_executor_report (fixture->scheduler, &message, fixture->now_us);
}

static inline void
step (fixture_t *fixture)
{
  guint64 placement;

  (void) scheduler_run_round (fixture->scheduler, fixture->now_us, fixture->now_us / MS);
  placement = fixture->unstored_placement;
  if (placement == 0 || fixture->delays_placements)
    return;
  fixture->unstored_placement = 0;
  scheduler_placement_stored (fixture->scheduler, placement, fixture->now_us);
}

/* Adds an executor that has reported, so that it is usable at once. */
static inline void
add_ready_executor (fixture_t *fixture, const char *id)
{
  list_executor (fixture, id, 1, false);
  report (fixture, id, 1, 0, NULL, 0, NULL, 0);
  step (fixture);
}

static inline job_spec_t *
make_job_spec (guint number, guint count, guint cpu_milli)
{
  job_spec_t *spec = g_new0 (job_spec_t, 1);

  g_snprintf (spec->id, sizeof spec->id, "%016x", number);
  spec->queue = g_strdup ("q");
  spec->service = g_strdup ("s");
  spec->spec = g_strdup ("work");
  spec->step_count = 1;
  spec->steps = g_new0 (step_spec_t, 1);
  spec->steps[0].count = count;
  spec->steps[0].need.cpu_milli = cpu_milli;
  spec->steps[0].est_runtime_us = 1000 * MS;
  spec->accepted_ms = 1000000;
  return spec;
}

static inline void
add_job (fixture_t *fixture, job_spec_t *spec, bool may_have_started)
{
  CU_ASSERT (scheduler_add_job (fixture->scheduler, spec, NULL, 0, may_have_started,
                                fixture->now_us, fixture->now_us / MS));
}

/* Returns the next unread order of this kind, or NULL.  Skips unread orders of other kinds. */
static inline const issued_order_t *
next_issued (fixture_t *fixture, char kind)
{
  while (fixture->read_count < fixture->order_count)
    {
      const issued_order_t *entry = &fixture->orders[fixture->read_count++ % ORDERS_MAX];

      if (entry->kind == kind)
        return entry;
    }
  return NULL;
}

/* Like next_issued(), but aborts the test program when there is no such order. */
static inline const issued_order_t *
expect_issued (fixture_t *fixture, char kind)
{
  const issued_order_t *entry = next_issued (fixture, kind);

  if (entry == NULL)
    g_error ("no order of kind %c was issued", kind);
  return entry;
}

static inline task_ref_t
task_ref (guint number, guint index)
{
  task_ref_t ref = { .index = index };

  g_snprintf (ref.job, sizeof ref.job, "%016x", number);
  return ref;
}
