/* Random schedules of deciders, executors and a store, against the promises of
 * decide/cell.h.
 *
 * Each schedule runs a few jobs on a few executors.  Orders are carried out late or
 * their answers get lost, executors crash, restart, are cut off and are moved from one VM
 * to another before the answer of a granted lease comes, deciders are deposed
 * in an orderly way or while they still believe in their claim, and everything that is
 * not stored can be lost at once.  Checked from what executors see:
 *  - no task has two runs at a time on executors that are up;
 *  - no task starts after an end "done" of it was acknowledged;
 *  - what runs on an executor never exceeds its capacity;
 *  - no task fails more often than its queue allows and then starts again;
 *  - no start comes for a job that was not accepted, or long after its cancel;
 *  - every accepted job ends once the trouble is over.
 *
 * usage: schedules [COUNT [SEED [v] [no-moves]]] */
#include "decide/scheduler.h"
#include "decide/lease_validity.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXECUTORS = 3,
  JOBS = 4,
  TASKS_MAX = 4,
  DECIDERS = 3, /* alive at a time: one that holds the claim, others that were deposed */
  EVENTS_MAX = 512,
  RUNS_MAX = 8,
  ENDS_MAX = 256,
  PLACEMENTS_MAX = 256,
  CPU = 4000,
  ATTEMPTS = 2
};

#define MS ((gint64) 1000)

static const gint64 hold_us = 5000 * MS;
static const gint64 ttl_us = 2000 * MS;
static const gint64 trouble_us = 12000 * MS;
static const gint64 end_us = 60000 * MS;

typedef struct
{
  bool is_alive;
  guint job;
  guint index;
  guint number;
  gint64 ends_us;  /* of a gang that is not whole: G_MAXINT64 */
  gint64 alone_us; /* gives up waiting for the rest of its gang then */
  bool will_fail;
} live_t;

typedef struct
{
  guint64 number;
  guint job;
  guint index;
  guint run;
  end_how_t how;
} listed_t;

typedef struct
{
  char id[8];
  bool is_up;
  bool is_cut;
  gint64 cut_until_us;
  gint64 up_again_us;
  gint64 born;
  gint64 fence;
  gint64 lease_end_us;
  live_t runs[RUNS_MAX];
  listed_t ends[ENDS_MAX];
  guint end_count;
  guint64 next_end;
  guint64 acked;
  guint stopped[JOBS][TASKS_MAX]; /* highest run stopped or ended here in this life */
} model_executor_t;

typedef struct
{
  bool is_accepted;
  bool is_ended; /* its end is stored */
  bool is_cancelled;
  gint64 cancelled_us;
  guint count;
  bool is_gang;
  bool is_poison;
  gint64 revision;
  bool is_done[TASKS_MAX];                        /* stored */
  guint failures[TASKS_MAX];                      /* stored */
  guint failed_runs[TASKS_MAX][FAILED_RUNS_KEPT]; /* stored */
  guint failed_run_count[TASKS_MAX];
  bool acked_done[TASKS_MAX]; /* an end "done" was acknowledged */
  guint acked_failed[TASKS_MAX];
} model_job_t;

typedef struct world world_t;

/* A placement as the store holds it. */
typedef struct
{
  bool is_there;
  gint64 fence;
  guint64 number;
  placed_run_t runs[JOBS * TASKS_MAX];
  guint count;
} stored_t;

typedef struct
{
  world_t *world;
  cell_t *cell; /* NULL: this place is free */
  gint64 fence;
  guint epoch;
  bool is_holder;
  gint64 valid_until_us; /* as it believes */
  bool dirty[JOBS];
  int finished[JOBS];            /* job_state_t + 1 */
  guint64 drops[PLACEMENTS_MAX]; /* numbers to be deleted */
  guint drop_count;
  bool is_writing;
  bool is_deposed;
  guint64 acked[EXECUTORS];
  guint64 mark[EXECUTORS];
  gint64 held_born[EXECUTORS];
  bool is_held[EXECUTORS];
  bool answers[EXECUTORS];
  guint vm[EXECUTORS]; /* how often another VM was given the executor */
} decider_t;

typedef enum
{
  EVENT_START, /* arrives at an executor */
  EVENT_STOP,
  EVENT_RESULT, /* arrives at a decider */
  EVENT_HOLD,   /* arrives at an executor */
  EVENT_REPORT, /* arrives at a decider */
  EVENT_HOLD_NEXT,
  EVENT_BATCH,  /* the store carries out a batch */
  EVENT_PLACE,  /* the store carries out a placement */
  EVENT_PLACED, /* and its answer arrives */
  EVENT_STEP,
  EVENT_TAKEOVER,
  EVENT_LOSE_ALL,
  EVENT_JOB,
  EVENT_CANCEL,
  EVENT_CRASH,
  EVENT_CUT,
  EVENT_MOVE,     /* another VM is to hold an executor */
  EVENT_REGISTER, /* an executor writes its registry entry */
  EVENT_LISTED    /* a decider reads it, maybe late */
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  gint64 at_us;
  guint64 serial;
  guint decider;
  guint64 generation; /* of the decider */
  guint executor;
  guint vm;
  gint64 fence;
  guint64 order;
  guint job;
  guint index;
  guint run;
  order_outcome_t outcome;
  gint64 deadline_us;
  guint64 acked;
  guint64 mark;
  gint64 born;
  bool renews;
  bool is_reached;
  bool is_lost; /* the answer does not arrive */
  guint64 batch;
  run_row_t *running;
  guint running_count;
  end_row_t *ended;
  guint ended_count;
  bool dirty[JOBS];
  int finished[JOBS];
  task_progress_t progress[JOBS][TASKS_MAX];
  guint progress_count[JOBS];
  guint64 placement;
  placed_run_t placed[JOBS * TASKS_MAX];
  guint placed_count;
  guint64 drops[PLACEMENTS_MAX];
  guint drop_count;
} event_t;

struct world
{
  guint64 random;
  gint64 now_us;
  guint64 serial;
  event_t *events[EVENTS_MAX];
  guint event_count;
  model_executor_t executors[EXECUTORS];
  model_job_t jobs[JOBS];
  decider_t deciders[DECIDERS];
  guint64 generation[DECIDERS];
  guint holder;
  gint64 revision;
  guint epoch;
  stored_t placements[PLACEMENTS_MAX];
  desired_t *desired;
  guint64 seed;
  const char *violation;
  char detail[200];
};

static bool verbose;
static bool has_moves = true; /* executors are moved between VMs, and answers wait */

/* ---- Random numbers. */

static guint64
next_random (world_t *world)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return world->random;
}

static guint
below (world_t *world, guint limit)
{
  return (guint) ((next_random (world) >> 11) % limit);
}

static bool
chance (world_t *world, guint percent)
{
  return below (world, 100) < percent;
}

static void
violate (world_t *world, const char *what, guint job, guint index, guint run, guint executor)
{
  if (world->violation != NULL)
    return;
  world->violation = what;
  g_snprintf (world->detail, sizeof world->detail,
              "job %u task %u run %u executor %u at %" G_GINT64_FORMAT " ms", job, index, run,
              executor, world->now_us / MS);
}

/* ---- Events, a small heap by time. */

static bool
before (const event_t *a, const event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->serial < b->serial;
}

static void
event_free (event_t *event)
{
  g_free (event->running);
  g_free (event->ended);
  g_free (event);
}

static event_t *
push (world_t *world, event_kind_t kind, gint64 delay_us)
{
  event_t *event = g_new0 (event_t, 1);
  guint place = world->event_count++;

  if (place >= EVENTS_MAX)
    {
      (void) fprintf (stderr, "too many events\n");
      abort ();
    }
  event->kind = kind;
  event->at_us = world->now_us + delay_us;
  event->serial = world->serial++;
  while (place > 0 && before (event, world->events[(place - 1) / 2]))
    {
      world->events[place] = world->events[(place - 1) / 2];
      place = (place - 1) / 2;
    }
  world->events[place] = event;
  return event;
}

static event_t *
pop (world_t *world)
{
  event_t *top = world->events[0];
  event_t *last = world->events[--world->event_count];
  guint place = 0;

  for (;;)
    {
      guint child = 2 * place + 1;

      if (child >= world->event_count)
        break;
      if (child + 1 < world->event_count && before (world->events[child + 1], world->events[child]))
        child++;
      if (!before (world->events[child], last))
        break;
      world->events[place] = world->events[child];
      place = child;
    }
  if (world->event_count > 0)
    world->events[place] = last;
  return top;
}

/* ---- Names. */

static void
job_id (char *id, guint job)
{
  g_snprintf (id, JOB_ID_BYTES, "%016x", job);
}

static guint
job_of (const char *id)
{
  return (guint) strtoul (id, NULL, 16);
}

static guint
executor_of (const char *id)
{
  return (guint) (id[1] - '0');
}

static task_ref_t
task_of (guint job, guint index)
{
  task_ref_t ref = { .index = index };

  job_id (ref.job, job);
  return ref;
}

/* ---- Executors. */

static guint
cpu_of (const model_job_t *job G_GNUC_UNUSED)
{
  return 1500;
}

static void
list_end (model_executor_t *executor, const live_t *run, end_how_t how)
{
  listed_t *end = &executor->ends[executor->end_count++];

  if (executor->end_count > ENDS_MAX)
    abort ();
  end->number = executor->next_end++;
  end->job = run->job;
  end->index = run->index;
  end->run = run->number;
  end->how = how;
  executor->stopped[run->job][run->index]
      = MAX (executor->stopped[run->job][run->index], run->number);
}

/* Ends what has come to its end by now. */
static void
settle_executor (world_t *world, model_executor_t *executor)
{
  if (executor->is_cut && world->now_us >= executor->cut_until_us)
    executor->is_cut = false;
  if (!executor->is_up && world->now_us >= executor->up_again_us)
    {
      executor->is_up = true;
      executor->born = world->now_us + 1;
      executor->fence = 0;
      executor->lease_end_us = 0;
      executor->end_count = 0;
      executor->next_end = 1;
      executor->acked = 0;
      memset (executor->stopped, 0, sizeof executor->stopped);
    }
  if (!executor->is_up)
    return;
  for (guint i = 0; i < RUNS_MAX; i++)
    {
      live_t *run = &executor->runs[i];

      if (!run->is_alive)
        continue;
      if (run->ends_us <= MIN (world->now_us, executor->lease_end_us))
        {
          run->is_alive = false;
          list_end (executor, run, run->will_fail ? END_FAILED : END_DONE);
        }
      else if (executor->lease_end_us <= world->now_us)
        {
          run->is_alive = false;
          list_end (executor, run, END_LAPSED);
        }
    }
}

/* Members of this run of a gang that are at work. */
static guint
gang_members (const world_t *world, guint job, guint number)
{
  guint count = 0;

  for (guint i = 0; i < EXECUTORS; i++)
    {
      const model_executor_t *executor = &world->executors[i];

      for (guint r = 0; r < RUNS_MAX && executor->is_up; r++)
        count += executor->runs[r].is_alive && executor->runs[r].job == job
                 && executor->runs[r].number == number;
    }
  return count;
}

/* A gang works once it is whole, and ends together; one that loses a member breaks. */
static void
settle_gang_member (world_t *world, model_executor_t *executor, live_t *run)
{
  const model_job_t *job = &world->jobs[run->job];
  guint members;

  if (!job->is_gang || !run->is_alive || !executor->is_up)
    return;
  members = gang_members (world, run->job, run->number);
  if (members == job->count && run->ends_us == G_MAXINT64)
    {
      gint64 ends_us = world->now_us + (100 + below (world, 2500)) * MS;

      for (guint i = 0; i < EXECUTORS; i++)
        {
          for (guint r = 0; r < RUNS_MAX; r++)
            {
              live_t *member = &world->executors[i].runs[r];

              if (member->is_alive && member->job == run->job && member->number == run->number)
                {
                  member->ends_us = ends_us;
                  member->will_fail = run->will_fail;
                }
            }
        }
    }
  else if (members < job->count && (run->ends_us != G_MAXINT64 || world->now_us >= run->alone_us))
    {
      run->is_alive = false;
      list_end (executor, run, run->ends_us != G_MAXINT64 ? END_BROKEN : END_ALONE);
    }
}

static void
settle_gangs (world_t *world)
{
  for (guint i = 0; i < EXECUTORS; i++)
    {
      for (guint r = 0; r < RUNS_MAX; r++)
        settle_gang_member (world, &world->executors[i], &world->executors[i].runs[r]);
    }
}

static void
settle (world_t *world)
{
  settle_gangs (world);
  for (guint i = 0; i < EXECUTORS; i++)
    settle_executor (world, &world->executors[i]);
}

static live_t *
find_live (model_executor_t *executor, guint job, guint index, guint number)
{
  for (guint i = 0; i < RUNS_MAX; i++)
    {
      live_t *run = &executor->runs[i];

      if (run->is_alive && run->job == job && run->index == index && run->number == number)
        return run;
    }
  return NULL;
}

static void
check_start (world_t *world, guint executor, guint job, guint index, guint run)
{
  const model_job_t *model = &world->jobs[job];
  guint used = 0;

  if (!model->is_accepted)
    violate (world, "started a job that was not accepted", job, index, run, executor);
  if (model->acked_done[index])
    violate (world, "started after an acknowledged end", job, index, run, executor);
  if (model->acked_failed[index] >= ATTEMPTS)
    violate (world, "started after too many failures", job, index, run, executor);
  for (guint i = 0; i < EXECUTORS; i++)
    {
      for (guint r = 0; r < RUNS_MAX; r++)
        {
          const live_t *live = &world->executors[i].runs[r];

          if (!live->is_alive || !world->executors[i].is_up)
            continue;
          if (live->job == job && live->index == index)
            violate (world, "two runs of a task at a time", job, index, run, executor);
          if (i == executor)
            used += cpu_of (&world->jobs[live->job]);
        }
    }
  if (used + cpu_of (model) > CPU)
    violate (world, "more than the executor's capacity", job, index, run, executor);
}

static order_outcome_t
carry_out_start (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];
  live_t *free_run = NULL;

  if (event->born != executor->born)
    return ORDER_OTHER_LIFE;
  if (event->fence < executor->fence)
    return ORDER_FENCED;
  executor->fence = event->fence;
  if (find_live (executor, event->job, event->index, event->run) != NULL)
    return ORDER_OK;
  executor->lease_end_us = MAX (executor->lease_end_us, event->deadline_us);
  if (event->run <= executor->stopped[event->job][event->index])
    return ORDER_OLD;
  if (event->deadline_us <= world->now_us)
    return ORDER_LATE;
  for (guint i = 0; i < RUNS_MAX; i++)
    {
      if (!executor->runs[i].is_alive)
        free_run = &executor->runs[i];
    }
  if (free_run == NULL)
    return ORDER_BUSY;
  check_start (world, event->executor, event->job, event->index, event->run);
  *free_run = (live_t){
    .is_alive = true,
    .job = event->job,
    .index = event->index,
    .number = event->run,
    .ends_us = world->jobs[event->job].is_gang ? G_MAXINT64
                                               : world->now_us + (100 + below (world, 2500)) * MS,
    .alone_us = world->now_us + 3000 * MS,
    .will_fail = world->jobs[event->job].is_poison || chance (world, 8),
  };
  return ORDER_OK;
}

static order_outcome_t
carry_out_stop (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];
  live_t *run = find_live (executor, event->job, event->index, event->run);

  if (event->born != executor->born)
    return ORDER_OTHER_LIFE;
  if (event->fence < executor->fence)
    return ORDER_FENCED;
  executor->fence = event->fence;
  executor->stopped[event->job][event->index]
      = MAX (executor->stopped[event->job][event->index], event->run);
  if (run != NULL)
    {
      run->is_alive = false;
      list_end (executor, run, END_STOPPED);
    }
  return ORDER_OK;
}

/* ---- Deciders' side of the network. */

static decider_t *
decider_of (world_t *world, const event_t *event)
{
  decider_t *decider = &world->deciders[event->decider];

  if (decider->cell == NULL || world->generation[event->decider] != event->generation)
    return NULL;
  return decider;
}

static event_t *
push_for (decider_t *decider, event_kind_t kind, gint64 delay_us)
{
  world_t *world = decider->world;
  event_t *event = push (world, kind, delay_us);

  event->decider = (guint) (decider - world->deciders);
  event->generation = world->generation[event->decider];
  return event;
}

static void
step_soon (decider_t *decider, gint64 delay_us)
{
  (void) push_for (decider, EVENT_STEP, delay_us);
}

static bool
is_calm (const world_t *world)
{
  return world->now_us > trouble_us;
}

/* Delay of an order: mostly short, sometimes seconds. */
static gint64
order_delay_us (world_t *world, bool *is_late)
{
  *is_late = !is_calm (world) && chance (world, 8);
  return *is_late ? (2000 + below (world, 10000)) * MS : (1 + below (world, 5)) * MS;
}

static event_t *
push_order (decider_t *decider, event_kind_t kind, const char *executor, guint64 order)
{
  world_t *world = decider->world;
  bool is_late;
  gint64 delay_us = order_delay_us (world, &is_late);
  event_t *event = push_for (decider, kind, delay_us);

  event->executor = executor_of (executor);
  event->order = order;
  event->fence = decider->fence;
  event->is_lost = is_late || (!is_calm (world) && chance (world, 8));
  if (event->is_lost)
    {
      event_t *result = push_for (decider, EVENT_RESULT, 500 * MS);

      result->order = order;
      result->outcome = ORDER_LOST;
    }
  return event;
}

static void
op_start (const start_order_t *order, void *data)
{
  decider_t *decider = data;
  event_t *event;

  if (decider->world->now_us >= decider->valid_until_us)
    {
      event = push_for (decider, EVENT_RESULT, MS);
      event->order = order->order;
      event->outcome = ORDER_NOT_SENT;
      return;
    }
  event = push_order (decider, EVENT_START, order->executor, order->order);
  event->born = order->born;
  event->job = job_of (order->task.job);
  event->index = order->task.index;
  event->run = order->run;
  event->deadline_us = decider->world->now_us + hold_us;
}

static void
op_stop (const stop_order_t *order, void *data)
{
  decider_t *decider = data;
  event_t *event = push_order (decider, EVENT_STOP, order->executor, order->order);

  event->born = order->born;
  event->job = job_of (order->task.job);
  event->index = order->task.index;
  event->run = order->run;
}

static void
op_advise (const advise_order_t *order G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
write_soon (decider_t *decider)
{
  if (decider->is_writing)
    return;
  decider->is_writing = true;
  (void) push_for (decider, EVENT_BATCH, 5 * MS);
}

static void
op_save (const char *job, void *data)
{
  decider_t *decider = data;

  decider->dirty[job_of (job)] = true;
  write_soon (decider);
}

static void
op_finish (const char *job, job_state_t state, void *data)
{
  decider_t *decider = data;

  decider->finished[job_of (job)] = (int) state + 1;
  write_soon (decider);
}

static void
op_acknowledge (const char *executor, guint64 acked, guint64 mark, void *data)
{
  decider_t *decider = data;

  decider->acked[executor_of (executor)] = acked;
  decider->mark[executor_of (executor)] = mark;
}

static void
op_hold (const char *executor, const char *address, void *data)
{
  decider_t *decider = data;
  guint index = executor_of (executor);
  event_t *event;

  if (address == NULL || decider->is_held[index])
    {
      decider->is_held[index] = address != NULL;
      return;
    }
  decider->is_held[index] = true;
  event = push_for (decider, EVENT_HOLD_NEXT, MS);
  event->executor = index;
  event->vm = decider->vm[index];
}

static const char *
executor_name (const char *id)
{
  static const char *const names[EXECUTORS] = { "e0", "e1", "e2" };

  return names[executor_of (id)];
}

static void
op_place (guint64 placement, const placed_run_t *runs, guint count, void *data)
{
  decider_t *decider = data;
  event_t *event = push_for (decider, EVENT_PLACE, (2 + below (decider->world, 20)) * MS);

  event->placement = placement;
  event->placed_count = count;
  for (guint i = 0; i < count; i++)
    {
      event->placed[i] = runs[i];
      event->placed[i].executor = executor_name (runs[i].executor);
    }
}

static void
op_drop_placement (guint64 placement, void *data)
{
  decider_t *decider = data;

  if (decider->drop_count == PLACEMENTS_MAX)
    abort ();
  decider->drops[decider->drop_count++] = placement;
  write_soon (decider);
}

static void
op_deposed (void *data)
{
  decider_t *decider = data;

  decider->is_deposed = true;
}

static void
op_note (const char *event, const char *pairs, void *data)
{
  const decider_t *decider = data;

  if (verbose)
    (void) printf ("%8.3f decider %u fence %d %s %s\n", (double) decider->world->now_us / 1e6,
                   (guint) (decider - decider->world->deciders), (int) decider->fence, event,
                   pairs);
}

static const cell_ops_t ops = {
  .start = op_start,
  .stop = op_stop,
  .advise = op_advise,
  .save = op_save,
  .finish = op_finish,
  .acknowledge = op_acknowledge,
  .hold = op_hold,
  .place = op_place,
  .drop_placement = op_drop_placement,
  .deposed = op_deposed,
  .note = op_note,
};

/* Asks an executor for a report, with a lease while the claim is valid. */
static void
send_hold (decider_t *decider, guint index, guint vm)
{
  world_t *world = decider->world;
  event_t *event;

  if (!decider->is_held[index] || decider->is_deposed || vm != decider->vm[index])
    return;
  if (world->now_us >= decider->valid_until_us)
    {
      event = push_for (decider, EVENT_HOLD_NEXT, 100 * MS);
      event->executor = index;
      event->vm = vm;
      return;
    }
  event = push_for (decider, EVENT_HOLD, (1 + below (world, 3)) * MS);
  event->executor = index;
  event->vm = vm;
  event->fence = decider->fence;
  event->acked
      = decider->held_born[index] == world->executors[index].born ? decider->acked[index] : 0;
  event->born = decider->held_born[index];
  event->mark = decider->mark[index];
  event->renews = decider->answers[index];
  event->deadline_us = event->renews ? world->now_us + hold_us : 0;
  event->is_lost = !is_calm (world) && chance (world, 6);
}

static void
fill_report (world_t *world, model_executor_t *executor, event_t *report)
{
  report->is_reached = true;
  report->born = executor->born;
  report->running = g_new0 (run_row_t, RUNS_MAX);
  report->ended = g_new0 (end_row_t, ENDS_MAX);
  for (guint i = 0; i < RUNS_MAX; i++)
    {
      const live_t *run = &executor->runs[i];

      if (!run->is_alive)
        continue;
      report->running[report->running_count++]
          = (run_row_t){ .task = task_of (run->job, run->index),
                         .run = run->number,
                         .checkpoint = "",
                         .percent = below (world, 100) };
    }
  for (guint i = 0; i < executor->end_count; i++)
    {
      const listed_t *end = &executor->ends[i];

      if (end->number <= executor->acked)
        continue;
      report->ended[report->ended_count++] = (end_row_t){ .number = end->number,
                                                          .task = task_of (end->job, end->index),
                                                          .run = end->run,
                                                          .how = end->how,
                                                          .checkpoint = "" };
    }
}

static void
acknowledge (world_t *world, model_executor_t *executor, guint64 acked)
{
  for (guint i = 0; i < executor->end_count; i++)
    {
      const listed_t *end = &executor->ends[i];

      if (end->number <= executor->acked || end->number > acked)
        continue;
      if (end->how == END_DONE)
        {
          world->jobs[end->job].acked_done[end->index] = true;
          for (guint t = 0; world->jobs[end->job].is_gang && t < TASKS_MAX; t++)
            world->jobs[end->job].acked_done[t] = true;
        }
      if (end->how == END_FAILED && !world->jobs[end->job].is_gang)
        world->jobs[end->job].acked_failed[end->index]++;
    }
  executor->acked = MAX (executor->acked, acked);
}

static void
hold_arrives (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];
  decider_t *decider = decider_of (world, event);
  bool is_answering = executor->is_up && !executor->is_cut;
  gint64 delay_us;
  event_t *report;

  if (decider == NULL)
    return;
  /* The lease is granted at once; the answer waits for something to tell. */
  delay_us = has_moves && event->renews && chance (world, 30) ? below (world, 1000) * MS : 2 * MS;
  report = push_for (decider, EVENT_REPORT, event->is_lost || !is_answering ? 500 * MS : delay_us);
  report->executor = event->executor;
  report->vm = event->vm;
  report->mark = event->mark;
  report->renews = event->renews;
  if (!is_answering)
    return;
  if (event->fence < executor->fence)
    {
      report->outcome = ORDER_FENCED;
      return;
    }
  executor->fence = event->fence;
  if (event->deadline_us > 0)
    executor->lease_end_us = MAX (executor->lease_end_us, event->deadline_us);
  if (event->born == executor->born)
    acknowledge (world, executor, event->acked);
  if (!event->is_lost)
    fill_report (world, executor, report);
}

static void
report_arrives (world_t *world, const event_t *event)
{
  decider_t *decider = decider_of (world, event);
  char id[3] = { 'e', (char) ('0' + event->executor), '\0' };
  executor_report_t report = {
    .executor = id,
    .is_reached = event->is_reached,
    .is_fenced = event->outcome == ORDER_FENCED,
    .is_renewed = event->renews,
    .born = event->born,
    .mark = event->mark,
    .running = event->running,
    .running_count = event->running_count,
    .ended = event->ended,
    .ended_count = event->ended_count,
  };
  event_t *next;

  if (decider == NULL || decider->is_deposed || event->vm != decider->vm[event->executor])
    return;
  if (event->is_reached)
    {
      if (decider->held_born[event->executor] != event->born)
        decider->acked[event->executor] = 0;
      decider->held_born[event->executor] = event->born;
    }
  decider->answers[event->executor] = event->is_reached;
  cell_executor_report (decider->cell, &report, world->now_us);
  step_soon (decider, MS);
  next = push_for (decider, EVENT_HOLD_NEXT, (20 + below (world, 400)) * MS);
  next->executor = event->executor;
  next->vm = event->vm;
}

/* ---- The store. */

typedef struct
{
  event_t *event;
  guint job;
} collect_t;

static void
collect (const task_progress_t *progress, void *data)
{
  collect_t *into = data;

  into->event->progress[into->job][into->event->progress_count[into->job]++] = *progress;
}

/* The batch is made up now and carried out a little later. */
static void
begin_batch (decider_t *decider)
{
  world_t *world = decider->world;
  event_t *event = push_for (decider, EVENT_BATCH, (3 + below (world, 20)) * MS);

  event->batch = cell_batch_begin (decider->cell);
  for (guint job = 0; job < JOBS; job++)
    {
      char id[JOB_ID_BYTES];
      collect_t into = { event, job };

      job_id (id, job);
      event->finished[job] = decider->finished[job];
      event->dirty[job] = decider->dirty[job] && decider->finished[job] == 0;
      if (event->dirty[job])
        cell_progress (decider->cell, id, collect, &into);
      decider->dirty[job] = false;
      decider->finished[job] = 0;
    }
  memcpy (event->drops, decider->drops, sizeof event->drops);
  event->drop_count = decider->drop_count;
  decider->drop_count = 0;
}

/* Placements of earlier claims have small numbers: places in the store. */
static void
drop_stored (decider_t *decider, guint64 number)
{
  world_t *world = decider->world;

  if (number >= 1 && number <= PLACEMENTS_MAX)
    {
      world->placements[number - 1].is_there = false;
      return;
    }
  for (guint i = 0; i < PLACEMENTS_MAX; i++)
    {
      stored_t *stored = &world->placements[i];

      if (stored->is_there && stored->fence == decider->fence && stored->number == number)
        stored->is_there = false;
    }
}

/* Carried out only while the claim is held, perhaps twice. */
static void
place_arrives (world_t *world, const event_t *event)
{
  decider_t *decider = decider_of (world, event);
  stored_t *stored = NULL;
  event_t *answer;

  if (decider == NULL || decider->is_deposed)
    return;
  if (!decider->is_holder)
    {
      decider->is_deposed = true;
      return;
    }
  for (guint i = 0; i < PLACEMENTS_MAX; i++)
    {
      stored_t *other = &world->placements[i];

      if (other->is_there && other->fence == decider->fence && other->number == event->placement)
        stored = other;
      if (!other->is_there && stored == NULL)
        stored = other;
    }
  if (stored == NULL)
    abort ();
  stored->is_there = true;
  stored->fence = decider->fence;
  stored->number = event->placement;
  stored->count = event->placed_count;
  memcpy (stored->runs, event->placed, sizeof stored->runs);
  answer = push_for (decider, EVENT_PLACED, (1 + below (world, 10)) * MS);
  answer->placement = event->placement;
}

static void
store_batch (decider_t *decider, const event_t *event)
{
  world_t *world = decider->world;

  for (guint job = 0; job < JOBS; job++)
    {
      model_job_t *model = &world->jobs[job];
      char id[JOB_ID_BYTES];

      job_id (id, job);
      for (guint i = 0; event->dirty[job] && i < event->progress_count[job]; i++)
        {
          const task_progress_t *progress = &event->progress[job][i];

          model->is_done[progress->index] = progress->is_done;
          model->failures[progress->index] = progress->failures;
          model->failed_run_count[progress->index] = progress->failed_run_count;
          memcpy (model->failed_runs[progress->index], progress->failed_runs,
                  sizeof progress->failed_runs);
        }
      if (event->finished[job] != 0)
        {
          model->is_ended = true;
          cell_forget (decider->cell, id);
        }
    }
  for (guint i = 0; i < event->drop_count; i++)
    drop_stored (decider, event->drops[i]);
  cell_batch_done (decider->cell, event->batch);
}

static bool
has_unsaved (const decider_t *decider)
{
  for (guint job = 0; job < JOBS; job++)
    {
      if (decider->dirty[job] || decider->finished[job] != 0)
        return true;
    }
  return decider->drop_count > 0;
}

static void
batch_arrives (world_t *world, const event_t *event)
{
  decider_t *decider = decider_of (world, event);

  if (decider == NULL || decider->is_deposed)
    return;
  if (event->batch == 0)
    {
      begin_batch (decider);
      return;
    }
  if (!decider->is_holder)
    {
      decider->is_deposed = true;
      return;
    }
  store_batch (decider, event);
  decider->is_writing = false;
  if (has_unsaved (decider))
    write_soon (decider);
  step_soon (decider, MS);
}

/* ---- Jobs. */

static job_spec_t *
spec_of (const model_job_t *model, guint job)
{
  job_spec_t *spec = g_new0 (job_spec_t, 1);

  job_id (spec->id, job);
  spec->queue = g_strdup ("q");
  spec->service = g_strdup ("s");
  spec->spec = g_strdup ("");
  spec->step_count = 1;
  spec->steps = g_new0 (step_spec_t, 1);
  spec->steps[0].count = model->count;
  spec->steps[0].need.cpu_milli = cpu_of (model);
  spec->steps[0].est_us = 1000 * MS;
  spec->steps[0].gang = model->is_gang;
  spec->revision = model->revision;
  return spec;
}

static void
job_arrives (world_t *world, const event_t *event)
{
  model_job_t *model = &world->jobs[event->job];

  model->is_accepted = true;
  model->revision = ++world->revision;
  for (guint i = 0; i < DECIDERS; i++)
    {
      decider_t *decider = &world->deciders[i];

      /* A deposed decider may be told of it, too. */
      if (decider->cell == NULL || decider->is_deposed || model->revision <= decider->fence)
        continue;
      (void) cell_add_job (decider->cell, spec_of (model, event->job), NULL, 0, false,
                           world->now_us, world->now_us / MS);
      step_soon (decider, MS);
    }
}

static void
cancel_arrives (world_t *world, const event_t *event)
{
  model_job_t *model = &world->jobs[event->job];
  char id[JOB_ID_BYTES];

  if (!model->is_accepted)
    return;
  job_id (id, event->job);
  model->is_cancelled = true;
  model->cancelled_us = world->now_us;
  for (guint i = 0; i < DECIDERS; i++)
    {
      decider_t *decider = &world->deciders[i];

      if (decider->cell != NULL && !decider->is_deposed)
        {
          (void) cell_cancel (decider->cell, id, world->now_us);
          step_soon (decider, MS);
        }
    }
}

/* ---- Changes of the decider. */

static void
list_executors (decider_t *decider)
{
  for (guint i = 0; i < EXECUTORS; i++)
    {
      model_executor_t *executor = &decider->world->executors[i];
      executor_entry_t entry = {
        .id = executor->id,
        .address = executor->id,
        .service = "s",
        .zone = "z",
        .capacity = { .cpu_milli = CPU, .mem_mb = 1000 },
        .born = executor->born,
      };

      cell_executor_listed (decider->cell, &entry, decider->world->now_us);
    }
}

/* A decider may read an entry that a later life has replaced meanwhile. */
static void
entry_arrives (world_t *world, const event_t *event)
{
  decider_t *decider = decider_of (world, event);
  model_executor_t *executor = &world->executors[event->executor];
  executor_entry_t entry = {
    .id = executor->id,
    .address = executor->id,
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = CPU, .mem_mb = 1000 },
    .born = event->born,
  };

  if (decider != NULL && !decider->is_deposed)
    cell_executor_listed (decider->cell, &entry, world->now_us);
}

static void
register_executors (world_t *world)
{
  for (guint i = 0; i < EXECUTORS * DECIDERS; i++)
    {
      model_executor_t *executor = &world->executors[i % EXECUTORS];
      decider_t *decider = &world->deciders[i / EXECUTORS];
      event_t *event;

      if (!executor->is_up || decider->cell == NULL)
        continue;
      event = push_for (decider, EVENT_LISTED, below (world, is_calm (world) ? 20 : 3000) * MS);
      event->executor = i % EXECUTORS;
      event->born = executor->born;
    }
  if (!is_calm (world))
    (void) push (world, EVENT_REGISTER, 1000 * MS);
}

static void
load_jobs (decider_t *decider)
{
  world_t *world = decider->world;

  for (guint job = 0; job < JOBS; job++)
    {
      const model_job_t *model = &world->jobs[job];
      task_progress_t progress[TASKS_MAX];
      char id[JOB_ID_BYTES];

      if (!model->is_accepted || model->is_ended)
        continue;
      for (guint i = 0; i < model->count; i++)
        {
          progress[i] = (task_progress_t){ .index = i,
                                           .is_done = model->is_done[i],
                                           .failures = model->failures[i],
                                           .failed_run_count = model->failed_run_count[i] };
          memcpy (progress[i].failed_runs, model->failed_runs[i], sizeof progress[i].failed_runs);
        }
      (void) cell_add_job (decider->cell, spec_of (model, job), progress, model->count, true,
                           world->now_us, world->now_us / MS);
      job_id (id, job);
      if (model->is_cancelled)
        (void) cell_cancel (decider->cell, id, world->now_us);
    }
}

static void
clear_decider (decider_t *decider)
{
  world_t *world = decider->world;

  cell_free (decider->cell);
  world->generation[decider - world->deciders]++;
  memset (decider, 0, sizeof *decider);
  decider->world = world;
}

static void
take_over (world_t *world, bool former_may_act)
{
  decider_t *former = &world->deciders[world->holder];
  decider_t *decider;
  cell_limits_t limits = { .hold_us = hold_us, .claim_us = ttl_us };

  former->is_holder = false;
  if (!former_may_act)
    former->valid_until_us = world->now_us;
  else
    former->valid_until_us = world->now_us + below (world, (guint) (ttl_us / MS)) * MS;
  world->holder = (world->holder + 1) % DECIDERS;
  decider = &world->deciders[world->holder];
  if (decider->cell != NULL)
    clear_decider (decider);
  decider->fence = ++world->revision;
  decider->epoch = world->epoch++;
  decider->is_holder = true;
  decider->valid_until_us = G_MAXINT64;
  decider->cell = cell_new (&limits, decider->epoch, world->now_us, &ops, decider);
  cell_set_desired (decider->cell, world->desired);
  load_jobs (decider);
  for (guint i = 0; i < PLACEMENTS_MAX; i++)
    {
      const stored_t *stored = &world->placements[i];

      if (stored->is_there)
        cell_restore_placement (decider->cell, i + 1, stored->runs, stored->count, world->now_us);
    }
  list_executors (decider);
  step_soon (decider, MS);
}

static void
lose_all (world_t *world)
{
  for (guint i = 0; i < DECIDERS; i++)
    {
      if (world->deciders[i].cell != NULL)
        clear_decider (&world->deciders[i]);
    }
  take_over (world, false);
}

/* ---- One schedule. */

static void
crash (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];

  if (!executor->is_up)
    return;
  executor->is_up = false;
  executor->up_again_us = world->now_us + (200 + below (world, 4000)) * MS;
  memset (executor->runs, 0, sizeof executor->runs);
}

static void
cut (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];

  executor->is_cut = true;
  executor->cut_until_us = world->now_us + (500 + below (world, 7000)) * MS;
}

/* The former VM's hold may be carried out still; its answer is not looked at. */
static void
move (world_t *world, const event_t *event)
{
  decider_t *decider = &world->deciders[world->holder];
  char id[3] = { 'e', (char) ('0' + event->executor), '\0' };
  event_t *next;

  if (decider->cell == NULL || decider->is_deposed || !decider->is_held[event->executor])
    return;
  decider->vm[event->executor]++;
  decider->answers[event->executor] = false;
  cell_executor_moved (decider->cell, id, world->now_us);
  next = push_for (decider, EVENT_HOLD_NEXT, (1 + below (world, 20)) * MS);
  next->executor = event->executor;
  next->vm = decider->vm[event->executor];
}

static void
order_arrives (world_t *world, const event_t *event)
{
  model_executor_t *executor = &world->executors[event->executor];
  decider_t *decider;
  order_outcome_t outcome;
  event_t *result;

  if (!executor->is_up || executor->is_cut)
    outcome = ORDER_LOST;
  else if (event->kind == EVENT_START)
    outcome = carry_out_start (world, event);
  else
    outcome = carry_out_stop (world, event);
  decider = decider_of (world, event);
  if (decider == NULL || event->is_lost)
    return;
  result = push_for (decider, EVENT_RESULT, (outcome == ORDER_LOST ? 500 : 2) * MS);
  result->order = event->order;
  result->outcome = outcome;
}

static void
play (world_t *world, const event_t *event)
{
  decider_t *decider = decider_of (world, event);
  gint64 next_us;

  switch (event->kind)
    {
    case EVENT_START:
    case EVENT_STOP:
      order_arrives (world, event);
      return;
    case EVENT_RESULT:
      if (decider == NULL || decider->is_deposed)
        return;
      cell_order_result (decider->cell, event->order, event->outcome, world->now_us);
      step_soon (decider, MS);
      return;
    case EVENT_HOLD:
      hold_arrives (world, event);
      return;
    case EVENT_REPORT:
      report_arrives (world, event);
      return;
    case EVENT_HOLD_NEXT:
      if (decider != NULL)
        send_hold (decider, event->executor, event->vm);
      return;
    case EVENT_BATCH:
      batch_arrives (world, event);
      return;
    case EVENT_PLACE:
      place_arrives (world, event);
      return;
    case EVENT_PLACED:
      if (decider == NULL || decider->is_deposed)
        return;
      cell_placement_stored (decider->cell, event->placement, world->now_us);
      step_soon (decider, MS);
      return;
    case EVENT_STEP:
      if (decider == NULL || decider->is_deposed || world->now_us >= decider->valid_until_us)
        return;
      next_us = cell_step (decider->cell, world->now_us, world->now_us / MS);
      if (event->batch == 1)
        {
          event_t *again = push_for (decider, EVENT_STEP, MAX (next_us - world->now_us, 100 * MS));

          again->batch = 1;
        }
      return;
    case EVENT_TAKEOVER:
      take_over (world, chance (world, 50));
      push_for (&world->deciders[world->holder], EVENT_STEP, MS)->batch = 1;
      return;
    case EVENT_LOSE_ALL:
      lose_all (world);
      push_for (&world->deciders[world->holder], EVENT_STEP, MS)->batch = 1;
      return;
    case EVENT_JOB:
      job_arrives (world, event);
      return;
    case EVENT_CANCEL:
      cancel_arrives (world, event);
      return;
    case EVENT_CRASH:
      crash (world, event);
      return;
    case EVENT_CUT:
      cut (world, event);
      return;
    case EVENT_MOVE:
      move (world, event);
      return;
    case EVENT_REGISTER:
      register_executors (world);
      return;
    case EVENT_LISTED:
      entry_arrives (world, event);
      return;
    }
}

static void
plan_troubles (world_t *world)
{
  guint takeovers = 1 + below (world, 3);

  for (guint i = 0; i < takeovers; i++)
    (void) push (world, EVENT_TAKEOVER, below (world, 10000) * MS);
  if (chance (world, 30))
    (void) push (world, EVENT_LOSE_ALL, below (world, 10000) * MS);
  for (guint i = below (world, 3); i > 0; i--)
    push (world, EVENT_CRASH, below (world, 10000) * MS)->executor = below (world, EXECUTORS);
  for (guint i = has_moves ? below (world, 6) : 0; i > 0; i--)
    push (world, EVENT_MOVE, below (world, 10000) * MS)->executor = below (world, EXECUTORS);
  for (guint i = below (world, 3); i > 0; i--)
    push (world, EVENT_CUT, below (world, 9000) * MS)->executor = below (world, EXECUTORS);
}

static void
plan_jobs (world_t *world)
{
  for (guint job = 0; job < JOBS; job++)
    {
      model_job_t *model = &world->jobs[job];

      model->is_gang = chance (world, 30);
      model->count = 1 + below (world, TASKS_MAX);
      if (model->is_gang)
        model->count = MAX (model->count, 2);
      model->is_poison = chance (world, 10);
      push (world, EVENT_JOB, below (world, 8000) * MS)->job = job;
      if (chance (world, 15))
        push (world, EVENT_CANCEL, below (world, 12000) * MS)->job = job;
    }
}

static desired_t *
one_queue (void)
{
  desired_t *desired = desired_new ();
  queue_spec_t *queue = g_new0 (queue_spec_t, 1);

  queue->name = g_strdup ("q");
  queue->host = g_strdup ("h");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("s");
  queue->attempts = ATTEMPTS;
  queue->stretch = 2.0;
  g_ptr_array_add (desired->queues, queue);
  return desired;
}

static bool
is_finished (const world_t *world)
{
  for (guint job = 0; job < JOBS; job++)
    {
      if (world->jobs[job].is_accepted && !world->jobs[job].is_ended)
        return false;
    }
  return world->now_us > trouble_us;
}

static bool
run_schedule (guint64 seed, const desired_t *desired)
{
  world_t *world = g_new0 (world_t, 1);
  bool is_ok;

  world->seed = seed;
  world->random = seed * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15) + 1;
  world->desired = (desired_t *) desired;
  for (guint i = 0; i < 8; i++)
    (void) next_random (world);
  for (guint i = 0; i < DECIDERS; i++)
    world->deciders[i].world = world;
  for (guint i = 0; i < EXECUTORS; i++)
    {
      g_snprintf (world->executors[i].id, sizeof world->executors[i].id, "e%u", i);
      world->executors[i].is_up = true;
      world->executors[i].born = 1;
      world->executors[i].next_end = 1;
    }
  take_over (world, false);
  push_for (&world->deciders[world->holder], EVENT_STEP, MS)->batch = 1;
  (void) push (world, EVENT_REGISTER, 500 * MS);
  plan_troubles (world);
  plan_jobs (world);
  while (world->violation == NULL && world->event_count > 0 && world->now_us < end_us
         && !is_finished (world))
    {
      event_t *event = pop (world);

      world->now_us = event->at_us;
      settle (world);
      play (world, event);
      event_free (event);
    }
  if (world->violation == NULL && !is_finished (world))
    world->violation = "a job never ends";
  is_ok = world->violation == NULL;
  if (!is_ok)
    (void) printf ("schedule %" G_GUINT64_FORMAT ": %s (%s)\n", seed, world->violation,
                   world->detail);
  while (world->event_count > 0)
    event_free (pop (world));
  for (guint i = 0; i < DECIDERS; i++)
    cell_free (world->deciders[i].cell);
  g_free (world);
  return is_ok;
}

int
main (int argc, char **argv)
{
  guint64 count = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 3000;
  guint64 first = argc > 2 ? g_ascii_strtoull (argv[2], NULL, 10) : 1;
  desired_t *desired = one_queue ();
  guint64 failed = 0;

  for (int i = 3; i < argc; i++)
    {
      verbose |= strcmp (argv[i], "v") == 0;
      has_moves &= strcmp (argv[i], "no-moves") != 0;
    }
  for (guint64 i = 0; i < count && failed < 5; i++)
    failed += !run_schedule (first + i, desired);
  desired_free (desired);
  (void) printf ("%" G_GUINT64_FORMAT " schedules from %" G_GUINT64_FORMAT "\n", count, first);
  (void) printf ("%d passed, %d failed\n", failed == 0, failed != 0);
  return failed == 0 ? 0 : 1;
}
