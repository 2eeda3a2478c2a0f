#include "entry/codec.h"

#include <string.h>

static char *
text_or_empty (char *text)
{
  return text != NULL ? text : (char *) protobuf_c_empty_string;
}

static char *
copy_nonempty (const char *text)
{
  return text != NULL && text[0] != '\0' ? g_strdup (text) : NULL;
}

static void
fill_after (Mimosastair__Step *message, guint64 after)
{
  message->after = g_new0 (uint32_t, JOB_SPEC_MAX_STEPS);
  for (guint32 i = 0; i < JOB_SPEC_MAX_STEPS; i++)
    {
      if ((after >> i & 1) != 0)
        message->after[message->n_after++] = i;
    }
}

static void
fill_step (Mimosastair__Step *message, const step_spec_t *step)
{
  mimosastair__step__init (message);
  message->count = step->count;
  message->cpu_milli = step->need.cpu_milli;
  message->mem_mb = step->need.mem_mb;
  message->gpu = step->need.gpu;
  message->est_ms = (guint32) MIN (step->est_runtime_us / 1000, (gint64) G_MAXUINT32);
  message->gang = step->gang;
  message->same_rack = step->same_rack;
  message->speculative = step->speculative;
  message->checkpointing = step->checkpointing;
  message->long_running = step->long_running;
  message->fills = step->fills;
  message->requires = text_or_empty (step->requires);
  message->data_rack = text_or_empty (step->data_rack);
  message->max_per_executor = step->max_per_executor;
  message->image = text_or_empty (step->image);
  message->target_ms = step->target_ms;
  message->may_miss = step->may_miss;
  if (step->after != 0)
    fill_after (message, step->after);
}

void
codec_fill_job (Mimosastair__Job *message, const job_spec_t *spec)
{
  mimosastair__job__init (message);
  message->id = (char *) spec->id;
  message->queue = text_or_empty (spec->queue);
  message->service = text_or_empty (spec->service);
  message->workspace = text_or_empty (spec->workspace);
  message->cap_version = spec->workspace_cap_version;
  message->cap_cpu_milli = spec->workspace_cap.cpu_milli;
  message->cap_mem_mb = spec->workspace_cap.mem_mb;
  message->cap_gpu = spec->workspace_cap.gpu;
  message->spec = text_or_empty (spec->spec);
  message->accepted_ms = spec->accepted_ms;
  message->times = spec->times;
  message->start_at_ms = spec->start_at_ms;
  message->interval_ms = spec->interval_ms;
  message->revision = spec->revision;
  message->n_steps = spec->step_count;
  message->steps = g_new0 (Mimosastair__Step *, spec->step_count);
  for (guint i = 0; i < spec->step_count; i++)
    {
      message->steps[i] = g_new0 (Mimosastair__Step, 1);
      fill_step (message->steps[i], &spec->steps[i]);
    }
}

void
codec_clear_job (Mimosastair__Job *message)
{
  for (gsize i = 0; i < message->n_steps; i++)
    {
      g_free (message->steps[i]->after);
      g_free (message->steps[i]);
    }
  g_free (message->steps);
}

guint8 *
codec_pack_job (const job_spec_t *spec, gsize *bytes)
{
  Mimosastair__Job message;
  guint8 *packed;

  codec_fill_job (&message, spec);
  *bytes = mimosastair__job__get_packed_size (&message);
  packed = g_malloc (*bytes);
  mimosastair__job__pack (&message, packed);
  codec_clear_job (&message);
  return packed;
}

static bool
read_step (step_spec_t *step, const Mimosastair__Step *message, guint index)
{
  step->count = message->count;
  step->need.cpu_milli = message->cpu_milli;
  step->need.mem_mb = message->mem_mb;
  step->need.gpu = message->gpu;
  step->est_runtime_us = (gint64) message->est_ms * 1000;
  step->gang = message->gang;
  step->same_rack = message->same_rack;
  step->speculative = message->speculative;
  step->checkpointing = message->checkpointing;
  step->long_running = message->long_running;
  step->fills = message->fills;
  step->requires = copy_nonempty (message->requires);
  step->data_rack = copy_nonempty (message->data_rack);
  step->max_per_executor = message->max_per_executor;
  step->image = copy_nonempty (message->image);
  step->target_ms = message->target_ms;
  step->may_miss = message->may_miss;
  for (gsize i = 0; i < message->n_after; i++)
    {
      if (message->after[i] >= index)
        return false;
      step->after |= (guint64) 1 << message->after[i];
    }
  return true;
}

job_spec_t *
codec_job_from_message (const Mimosastair__Job *message)
{
  job_spec_t *spec;
  bool ok = strlen (message->id) == JOB_ID_BYTES - 1 && message->n_steps <= JOB_SPEC_MAX_STEPS;

  if (!ok)
    return NULL;
  spec = g_new0 (job_spec_t, 1);
  memcpy (spec->id, message->id, JOB_ID_BYTES);
  spec->queue = g_strdup (message->queue);
  spec->service = g_strdup (message->service);
  spec->workspace = copy_nonempty (message->workspace);
  spec->workspace_cap_version = message->cap_version;
  spec->workspace_cap = (resource_total_t){ .cpu_milli = message->cap_cpu_milli,
                                            .mem_mb = message->cap_mem_mb,
                                            .gpu = message->cap_gpu };
  spec->spec = g_strdup (message->spec);
  spec->accepted_ms = message->accepted_ms;
  spec->times = message->times;
  spec->start_at_ms = message->start_at_ms;
  spec->interval_ms = message->interval_ms;
  spec->revision = message->revision;
  spec->step_count = (guint) message->n_steps;
  spec->steps = g_new0 (step_spec_t, message->n_steps);
  for (guint i = 0; i < spec->step_count; i++)
    ok = read_step (&spec->steps[i], message->steps[i], i) && ok;
  if (ok && job_spec_error (spec) == NULL)
    return spec;
  job_spec_free (spec);
  return NULL;
}

job_spec_t *
codec_unpack_job (const guint8 *bytes, gsize size)
{
  Mimosastair__Job *message = mimosastair__job__unpack (NULL, size, bytes);
  job_spec_t *spec;

  if (message == NULL)
    return NULL;
  spec = codec_job_from_message (message);
  mimosastair__job__free_unpacked (message, NULL);
  return spec;
}

void
codec_fill_task (Mimosastair__TaskRef *message, task_ref_t *task)
{
  mimosastair__task_ref__init (message);
  message->job = task->job;
  message->occurrence = task->occurrence;
  message->step = task->step;
  message->index = task->index;
}

bool
codec_read_task (const Mimosastair__TaskRef *message, task_ref_t *task)
{
  if (message == NULL || strlen (message->job) != JOB_ID_BYTES - 1)
    return false;
  memcpy (task->job, message->job, JOB_ID_BYTES);
  task->occurrence = message->occurrence;
  task->step = message->step;
  task->index = message->index;
  return true;
}

/* Returns the place of the name in `names`, from 1; 0 for NULL.  It is added if necessary. */
static guint
name_index (GPtrArray *names, const char *name)
{
  if (name == NULL)
    return 0;
  for (guint i = names->len; i > 0; i--)
    {
      if (strcmp (g_ptr_array_index (names, i - 1), name) == 0)
        return i;
    }
  g_ptr_array_add (names, (char *) name);
  return names->len;
}

static void
fill_placed_run (Mimosastair__PlacedRun *message, const placed_run_t *run, GPtrArray *workspaces)
{
  message->run = run->run;
  message->executor = (char *) run->executor;
  message->born = run->born;
  message->workspace = name_index (workspaces, run->workspace);
  if (run->workspace == NULL)
    return;
  message->cpu_milli = run->resources.cpu_milli;
  message->mem_mb = run->resources.mem_mb;
  message->gpu = run->resources.gpu;
}

bool
codec_read_placed_run (const Mimosastair__Placement *message, gsize index, placed_run_t *run)
{
  const Mimosastair__PlacedRun *row = message->runs[index];

  *run = (placed_run_t){ .run = row->run, .executor = row->executor, .born = row->born };
  if (row->workspace > 0 && row->workspace <= message->n_workspaces)
    run->workspace = message->workspaces[row->workspace - 1];
  run->resources
      = (resource_vector_t){ .cpu_milli = row->cpu_milli, .mem_mb = row->mem_mb, .gpu = row->gpu };
  return codec_read_task (row->task, &run->task);
}

guint8 *
codec_pack_placement (const placed_run_t *runs, guint count, gsize *bytes)
{
  Mimosastair__Placement message = MIMOSASTAIR__PLACEMENT__INIT;
  g_autofree Mimosastair__PlacedRun *rows = g_new0 (Mimosastair__PlacedRun, count);
  g_autofree Mimosastair__PlacedRun **pointers = g_new0 (Mimosastair__PlacedRun *, count);
  g_autofree Mimosastair__TaskRef *refs = g_new0 (Mimosastair__TaskRef, count);
  g_autoptr (GPtrArray) workspaces = g_ptr_array_new ();
  guint8 *packed;

  for (guint i = 0; i < count; i++)
    {
      mimosastair__placed_run__init (&rows[i]);
      codec_fill_task (&refs[i], (task_ref_t *) &runs[i].task);
      rows[i].task = &refs[i];
      fill_placed_run (&rows[i], &runs[i], workspaces);
      pointers[i] = &rows[i];
    }
  message.n_runs = count;
  message.runs = pointers;
  message.n_workspaces = workspaces->len;
  message.workspaces = (char **) workspaces->pdata;
  *bytes = mimosastair__placement__get_packed_size (&message);
  packed = g_malloc (*bytes + 1);
  mimosastair__placement__pack (&message, packed);
  return packed;
}

guint8 *
codec_pack_progress (const GArray *progress, gsize *bytes)
{
  Mimosastair__Progress message = MIMOSASTAIR__PROGRESS__INIT;
  g_autofree Mimosastair__TaskProgress *rows = g_new0 (Mimosastair__TaskProgress, progress->len);
  g_autofree Mimosastair__TaskProgress **pointers
      = g_new0 (Mimosastair__TaskProgress *, progress->len);
  guint8 *packed;

  for (guint i = 0; i < progress->len; i++)
    {
      const task_progress_t *task = &g_array_index (progress, task_progress_t, i);

      mimosastair__task_progress__init (&rows[i]);
      rows[i].occurrence = task->occurrence;
      rows[i].step = task->step;
      rows[i].index = task->index;
      rows[i].done = task->is_done;
      rows[i].failures = task->failures;
      rows[i].crashes = task->crashes;
      rows[i].crash_points = task->crash_points;
      rows[i].n_failed_runs = task->failed_run_count;
      rows[i].failed_runs = (uint32_t *) task->failed_runs;
      pointers[i] = &rows[i];
    }
  message.n_tasks = progress->len;
  message.tasks = pointers;
  *bytes = mimosastair__progress__get_packed_size (&message);
  packed = g_malloc (*bytes + 1);
  mimosastair__progress__pack (&message, packed);
  return packed;
}

GArray *
codec_unpack_progress (const guint8 *bytes, gsize size)
{
  GArray *progress = g_array_new (FALSE, TRUE, sizeof (task_progress_t));
  Mimosastair__Progress *message = mimosastair__progress__unpack (NULL, size, bytes);

  if (message == NULL)
    return progress;
  for (gsize i = 0; i < message->n_tasks; i++)
    {
      const Mimosastair__TaskProgress *row = message->tasks[i];
      task_progress_t task = { .occurrence = row->occurrence,
                               .step = row->step,
                               .index = row->index,
                               .is_done = row->done,
                               .failures = row->failures,
                               .crashes = row->crashes,
                               .crash_points = row->crash_points };

      task.failed_run_count = (guint) MIN (row->n_failed_runs, FAILED_RUNS_KEPT);
      for (guint f = 0; f < task.failed_run_count; f++)
        task.failed_runs[f] = row->failed_runs[f];

      g_array_append_val (progress, task);
    }
  mimosastair__progress__free_unpacked (message, NULL);
  return progress;
}
