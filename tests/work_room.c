/* Accepted jobs must fit into the memory of the leader, whatever VMs accept at the same time: it
 * went over its limit when small requests for jobs of very many tasks were accepted without a
 * bound. */
#include "harness.h"

#include "decide/work_room.h"

enum
{
  VMS = 6,
  JOBS_MAX = 64, /* under way at a time */
  ROUNDS = 200000,
  BOUND = 1000000
};

typedef enum
{
  JOB_FREE,
  JOB_STORING,  /* not known to the leader */
  JOB_CONFIRMED /* known to the leader; its VM is not told yet */
} job_phase_t;

typedef struct
{
  job_phase_t phase;
  guint vm;
  gint64 size;
  bool is_reserved;
} job_t;

typedef struct
{
  work_room_t room;
  work_share_t shares[VMS];
  gint64 leader_shares[VMS]; /* as the leader knows them */
  gint64 told[VMS];          /* on its way to the VM; -1: none */
  job_t jobs[JOBS_MAX];
  gint64 storing;
  guint accepted;
  guint refused;
} model_t;

static void
submit (model_t *model, job_t *job, guint vm, gint64 size)
{
  job->is_reserved = !work_share_take (&model->shares[vm], size);
  if (job->is_reserved && !work_room_may_reserve (&model->room, size))
    {
      model->refused++;
      return;
    }
  if (job->is_reserved)
    model->room.reserved += size;
  job->phase = JOB_STORING;
  job->vm = vm;
  job->size = size;
  model->storing += size;
  model->accepted++;
}

static void
announce (model_t *model, job_t *job)
{
  model->storing -= job->size;
  model->room.known += job->size;
  if (job->is_reserved)
    model->room.reserved -= job->size;
  else
    {
      model->leader_shares[job->vm] -= job->size;
      model->room.shares -= job->size;
      CU_ASSERT_FATAL (model->leader_shares[job->vm] >= 0);
    }
  job->phase = JOB_CONFIRMED;
}

/* The leader's messages arrive in their order: a share that was sent before comes first. */
static void
confirm (model_t *model, job_t *job)
{
  if (model->told[job->vm] >= 0)
    work_share_set (&model->shares[job->vm], model->told[job->vm]);
  model->told[job->vm] = -1;
  if (!job->is_reserved)
    work_share_confirm (&model->shares[job->vm], job->size);
  job->phase = JOB_FREE;
}

static void
play_job (model_t *model, job_t *job)
{
  switch (job->phase)
    {
    case JOB_FREE:
      submit (model, job, (guint) g_random_int_range (0, VMS),
              g_random_int_range (0, 20) == 0 ? g_random_int_range (1000, BOUND / 4)
                                              : g_random_int_range (1, 2000));
      return;
    case JOB_STORING:
      announce (model, job);
      return;
    case JOB_CONFIRMED:
      confirm (model, job);
      return;
    }
}

static void
raise_share (model_t *model, guint vm)
{
  gint64 share = work_room_next_share (&model->room, model->leader_shares[vm]);

  model->room.shares += share - model->leader_shares[vm];
  model->leader_shares[vm] = share;
  model->told[vm] = share;
}

static void
play_round (model_t *model)
{
  guint vm = (guint) g_random_int_range (0, VMS);

  if (g_random_int_range (0, 4) > 0)
    play_job (model, &model->jobs[g_random_int_range (0, JOBS_MAX)]);
  else if (model->told[vm] < 0)
    raise_share (model, vm);
  else
    {
      work_share_set (&model->shares[vm], model->told[vm]);
      model->told[vm] = -1;
    }
  if (g_random_int_range (0, 3000) == 0)
    model->room.known = 0; /* all jobs have ended */
}

static void
test_work_never_exceeds_the_bound (void)
{
  model_t model = { .room = { .bound = BOUND, .vms = VMS } };

  g_random_set_seed (7);
  for (guint i = 0; i < VMS; i++)
    {
      model.told[i] = -1;
      work_share_set (&model.shares[i], 0);
    }
  for (guint i = 0; i < ROUNDS; i++)
    {
      play_round (&model);
      CU_ASSERT_FATAL (model.room.known + model.storing <= BOUND);
    }
  CU_ASSERT (model.accepted > ROUNDS / 20);
  CU_ASSERT (model.refused > 0);
}

static void
test_small_jobs_have_room (void)
{
  work_room_t room = { .bound = BOUND, .vms = VMS };

  CU_ASSERT (!work_room_may_reserve (&room, BOUND / 2 + 1));
  while (work_room_may_reserve (&room, BOUND / 8))
    room.known += BOUND / 8;
  CU_ASSERT (room.known <= BOUND - BOUND / 8);
  CU_ASSERT (work_room_next_share (&room, 0) > 0);
  room.known = 2 * BOUND;
  CU_ASSERT_EQUAL (work_room_next_share (&room, 0), 0);
  CU_ASSERT (!work_room_may_reserve (&room, 1));
}

/* Guards against VMs that join first and get all of the room, so that the leader refuses the jobs
 * of all others while next to nothing is accepted. */
static void
test_shares_of_vms_that_join (void)
{
  enum
  {
    JOINING_VMS = 31
  };
  work_room_t room = { .bound = BOUND };
  gint64 shares[JOINING_VMS] = { 0 };

  for (guint joined = 1; joined <= JOINING_VMS; joined++)
    {
      room.vms = joined;
      for (guint i = 0; i < joined; i++)
        {
          gint64 share = work_room_next_share (&room, shares[i]);

          room.shares += share - shares[i];
          shares[i] = share;
        }
      CU_ASSERT (room.shares <= BOUND / 4);
      CU_ASSERT (work_room_may_reserve (&room, BOUND / 4));
    }
}

/* Guards against large VMs that join first and share out more than the room that is left once
 * smaller ones have joined: jobs were refused for 18 s while executors were free. */
static void
test_shares_when_smaller_vms_join (void)
{
  enum
  {
    LARGE_VMS = 8,
    ALL_VMS = 31,
    PONGS = 2 /* to each VM */
  };
  work_room_t room = { .bound = 4 * BOUND };
  gint64 shares[ALL_VMS] = { 0 };

  room.vms = LARGE_VMS;
  for (guint i = 0; i < PONGS * ALL_VMS + LARGE_VMS; i++)
    {
      guint vm = i < LARGE_VMS ? i : (i - LARGE_VMS) % ALL_VMS;
      gint64 share;

      if (i == LARGE_VMS)
        {
          room.bound = BOUND;
          room.vms = ALL_VMS;
        }
      share = work_room_next_share (&room, shares[vm]);
      room.shares += share - shares[vm];
      shares[vm] = share;
    }
  CU_ASSERT (room.shares <= BOUND / 4);
  CU_ASSERT (work_room_may_reserve (&room, BOUND / 4));
  for (guint i = 0; i < ALL_VMS; i++)
    CU_ASSERT (shares[i] > 0);
}

/* Until a leader has told the share, as one of an earlier version does not, nothing is refused. */
static void
test_unknown_share (void)
{
  work_share_t share = { 0 };

  CU_ASSERT (work_share_take (&share, BOUND));
  work_share_set (&share, BOUND);
  CU_ASSERT (!work_share_take (&share, 1));
  work_share_give_back (&share, BOUND);
  CU_ASSERT (work_share_take (&share, BOUND));
  work_share_confirm (&share, BOUND);
  CU_ASSERT (!work_share_take (&share, 1));
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "work_never_exceeds_the_bound", test_work_never_exceeds_the_bound },
    { "small_jobs_have_room", test_small_jobs_have_room },
    { "shares_of_vms_that_join", test_shares_of_vms_that_join },
    { "shares_when_smaller_vms_join", test_shares_when_smaller_vms_join },
    { "unknown_share", test_unknown_share },
  };

  return run_suite ("work_room", tests, G_N_ELEMENTS (tests));
}
