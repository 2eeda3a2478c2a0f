#define LOG_MODULE "jobs"

#include "work/jobs.h"

#include "base/json.h"
#include "base/log.h"
#include "work/job_record.h"

#include <string.h>

/* What the last report of a worker told, besides the placer's sums. */
typedef struct
{
  char *address;
  bool reported;       /* reconciled since this VM holds its rack */
  bool asked;          /* a report is on its way */
  resources_t foreign; /* of tasks that are not of this VM's jobs */
  gint64 asked_us;     /* when the report on its way was asked for */
  gint64 heard_us;     /* the last report; 0 before the first */
  list_node_t tasks;   /* task_t placed there by this VM */
} worker_link_t;

struct jobs
{
  kv_t *kv;
  batch_t *batch;
  workers_t *workers;
  metrics_t *metrics;
  claimant_t self;
  char *zone;
  placer_t *placer;
  GPtrArray *links; /* worker_link_t, by placer index */
  GHashTable *jobs; /* id -> job_t */
  GHashTable *held; /* rack names */
  GQueue pending;   /* pending_t, tasks to place, oldest first */
  member_list_t *list;
  gint64 sequence;
  guint open;
  guint timer;
  guint step;
  bool adopting;
};

/* One task in the queue. */
typedef struct
{
  char *job_id;
  guint index;
} pending_t;

/* A submitted job on its way into the key-value service. */
typedef struct
{
  jobs_t *jobs;
  job_t *job;
  jobs_done_t done;
  void *data;
} accept_t;

/* A call to a worker about one task. */
typedef struct
{
  jobs_t *jobs;
  char *task_id;
  int worker;
} task_call_t;

typedef struct
{
  jobs_t *jobs;
  int worker;
} report_call_t;

typedef struct
{
  jobs_t *jobs;
  char *id;
  jobs_done_t done;
  void *data;
} show_t;

static const gint64 lease_ms = 10000;
static const gint64 silence_us = 5 * G_USEC_PER_SEC; /* then leases are not renewed */
static const guint step_ms = 50;
static const guint bunch_steps = 10;  /* reports are asked for in bunches, every 0.5 s */
static const guint renew_bunches = 4; /* a report from each worker every 2 s */
static const guint adopt_steps = 40;  /* a look for lost owners every 2 s */
static const guint lapse_steps = 20;  /* a look for lapsed leases every second */
static const gint64 accept_timeout_us = 3 * G_USEC_PER_SEC;
static const gint64 record_timeout_us = G_GINT64_CONSTANT (3600) * G_USEC_PER_SEC;
static const guint starts_per_step = 200;

static void
link_free (gpointer data)
{
  worker_link_t *link = data;

  g_free (link->address);
  g_free (link);
}

static void
pending_free (gpointer data)
{
  pending_t *pending = data;

  g_free (pending->job_id);
  g_free (pending);
}

static worker_link_t *
link_of (const jobs_t *jobs, int worker)
{
  return g_ptr_array_index (jobs->links, worker);
}

static void
count (jobs_t *jobs, const char *name)
{
  (*metrics_counter (jobs->metrics, name))++;
}

static void
queue_task (jobs_t *jobs, const task_t *task)
{
  pending_t *pending = g_new0 (pending_t, 1);

  pending->job_id = g_strdup (task->job->id);
  pending->index = task->index;
  g_queue_push_tail (&jobs->pending, pending);
}

static void
occupy (jobs_t *jobs, task_t *task, int worker)
{
  list_push_back (&link_of (jobs, worker)->tasks, &task->worker_node);
}

/* Takes a task that runs nowhere off its worker and queues it again. */
static void
requeue (jobs_t *jobs, task_t *task)
{
  list_remove (&task->worker_node);
  task_free (task, jobs->placer);
  queue_task (jobs, task);
}

/* Finds the task of an id, if it is this attempt that the job now has. */
static task_t *
find_task (const jobs_t *jobs, const char *task_id)
{
  g_autofree char *job_id = NULL;
  guint index;
  guint attempt;
  const job_t *job;
  task_t *task;

  if (!job_split_task_id (task_id, &job_id, &index, &attempt))
    return NULL;
  job = g_hash_table_lookup (jobs->jobs, job_id);
  if (job == NULL || index >= job->task_count)
    return NULL;
  task = &job->tasks[index];
  /* A job that was taken over does not know its attempts. */
  if (task->state == TASK_RECOVERING)
    task->attempt = MAX (task->attempt, attempt);
  return task->attempt == attempt ? task : NULL;
}

static void
end_recorded (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  task_call_t *context = data;
  job_t *job = g_hash_table_lookup (context->jobs->jobs, context->task_id);

  if (job != NULL && result == BATCH_APPLIED)
    {
      job->state = job->ended_ms < 0 ? JOB_FAILED : JOB_FINISHED;
      job->ended_ms = ABS (job->ended_ms);
      context->jobs->open--;
      LOG_INFO ("job_ended", "job=%s state=%s", job->id,
                job->state == JOB_FAILED ? "failed" : "finished");
      count (context->jobs, job->state == JOB_FAILED ? "mimosastair_jobs_failed_total"
                                                     : "mimosastair_jobs_finished_total");
    }
  else
    {
      LOG_WARN ("job_end_not_recorded", "job=%s result=%d", context->task_id, result);
    }
  g_free (context->task_id);
  g_free (context);
}

/* Records the end of a job whose tasks have all ended. */
static void
end_if_done (jobs_t *jobs, job_t *job)
{
  bool failed = false;
  gint64 now_ms = g_get_real_time () / 1000;
  job_t ended = *job;
  task_call_t *context;
  batch_op_t op = { .expect = KV_EXPECT_ANY,
                    .deadline_us = g_get_monotonic_time () + record_timeout_us,
                    .done = end_recorded };

  if (job->state != JOB_ACCEPTED || job->ended_ms != 0)
    return;
  for (guint i = 0; i < job->task_count; i++)
    {
      if (job->tasks[i].state != TASK_FINISHED && job->tasks[i].state != TASK_FAILED)
        return;
      failed |= job->tasks[i].state == TASK_FAILED;
    }
  ended.state = failed ? JOB_FAILED : JOB_FINISHED;
  ended.ended_ms = now_ms;
  /* Negative until recorded, so that the end is neither told nor written twice. */
  job->ended_ms = failed ? -now_ms : now_ms;
  context = g_new0 (task_call_t, 1);
  context->jobs = jobs;
  context->task_id = g_strdup (job->id);
  op.key = g_strconcat (JOB_PREFIX, job->id, NULL);
  op.value = job_record_text (&ended, ++jobs->sequence);
  op.data = context;
  batch_add (jobs->batch, &op);
}

static void
task_ended (jobs_t *jobs, task_t *task, bool finished)
{
  list_remove (&task->worker_node);
  if (finished)
    {
      task_free (task, jobs->placer);
      task->state = TASK_FINISHED;
      count (jobs, "mimosastair_tasks_finished_total");
    }
  else
    {
      task_fail (task, jobs->placer);
      if (task->state == TASK_PENDING)
        queue_task (jobs, task);
      count (jobs, "mimosastair_tasks_failed_total");
    }
  end_if_done (jobs, task->job);
}

static task_call_t *
task_call_new (jobs_t *jobs, const char *task_id, int worker)
{
  task_call_t *call = g_new0 (task_call_t, 1);

  call->jobs = jobs;
  call->task_id = g_strdup (task_id);
  call->worker = worker;
  return call;
}

static void
task_call_free (task_call_t *call)
{
  g_free (call->task_id);
  g_free (call);
}

static void
stop_done (worker_result_t result, JsonObject *answer G_GNUC_UNUSED, void *data)
{
  task_call_t *call = data;
  jobs_t *jobs = call->jobs;
  task_t *task = find_task (jobs, call->task_id);

  if (task != NULL && task->state == TASK_STOPPING && result == WORKER_DONE)
    requeue (jobs, task);
  task_call_free (call);
}

static JsonBuilder *
object_new (void)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  return builder;
}

/* Asks the worker to stop the task, and never to start it if it has not yet. */
static void
stop_task (jobs_t *jobs, task_t *task)
{
  g_autofree char *task_id = job_task_id (task);
  JsonBuilder *body = object_new ();

  task->state = TASK_STOPPING;
  json_put_text (body, "id", task_id);
  json_builder_end_object (body);
  workers_call (jobs->workers, link_of (jobs, task->worker)->address, "/v1/tasks/stop", body,
                stop_done, task_call_new (jobs, task_id, task->worker));
}

static void
start_done (worker_result_t result, JsonObject *answer G_GNUC_UNUSED, void *data)
{
  task_call_t *call = data;
  jobs_t *jobs = call->jobs;
  task_t *task = find_task (jobs, call->task_id);
  gint64 now_us = g_get_monotonic_time ();

  if (task != NULL && task->state == TASK_STARTING)
    {
      placer_note_start (jobs->placer, call->worker, result == WORKER_DONE, now_us);
      switch (result)
        {
        case WORKER_DONE:
          task->state = TASK_RUNNING;
          count (jobs, "mimosastair_tasks_started_total");
          break;
        case WORKER_REFUSED:
        case WORKER_UNSENT:
          requeue (jobs, task);
          count (jobs, "mimosastair_task_starts_refused_total");
          break;
        case WORKER_LOST:
          stop_task (jobs, task);
          count (jobs, "mimosastair_task_starts_lost_total");
          break;
        }
    }
  task_call_free (call);
}

static void
start_task (jobs_t *jobs, task_t *task, int worker, gint64 now_us)
{
  g_autofree char *task_id = NULL;
  JsonBuilder *body = object_new ();

  task_place (task, worker);
  occupy (jobs, task, worker);
  task->lease_until_us = task_lease_end_us (now_us, lease_ms * 1000);
  task_id = job_task_id (task);
  json_put_text (body, "id", task_id);
  json_put_text (body, "owner", jobs->self.vm);
  json_put_number (body, "lease_ms", lease_ms);
  json_put_number (body, "cpu_milli", task->need.cpu_milli);
  json_put_number (body, "memory_mb", task->need.memory_mb);
  json_put_number (body, "accelerators", task->need.accelerators);
  json_put_number (body, "run_ms", task->run_ms);
  json_builder_end_object (body);
  workers_call (jobs->workers, link_of (jobs, worker)->address, "/v1/tasks/start", body, start_done,
                task_call_new (jobs, task_id, worker));
}

/* Places the oldest tasks that fit; those that do not go to the end. */
static void
place_pending (jobs_t *jobs, gint64 now_us)
{
  guint tries = MIN (jobs->pending.length, starts_per_step);

  for (guint i = 0; i < tries; i++)
    {
      pending_t *pending = g_queue_pop_head (&jobs->pending);
      job_t *job = g_hash_table_lookup (jobs->jobs, pending->job_id);
      int worker;

      if (job == NULL || job->tasks[pending->index].state != TASK_PENDING)
        {
          pending_free (pending);
          continue;
        }
      worker = placer_place (jobs->placer, &job->tasks[pending->index].need, now_us);
      if (worker == PLACE_NONE)
        {
          g_queue_push_tail (&jobs->pending, pending);
          continue;
        }
      start_task (jobs, &job->tasks[pending->index], worker, now_us);
      pending_free (pending);
    }
}

static void
read_resources (JsonObject *object, resources_t *resources)
{
  resources->cpu_milli = json_get_number (object, "cpu_milli", 0);
  resources->memory_mb = json_get_number (object, "memory_mb", 0);
  resources->accelerators = json_get_number (object, "accelerators", 0);
}

static void
add_resources (resources_t *sum, const resources_t *part)
{
  sum->cpu_milli += part->cpu_milli;
  sum->memory_mb += part->memory_mb;
  sum->accelerators += part->accelerators;
}

/* Takes in what a worker says of one task; true when it is ended and may be
 * acknowledged. */
static bool
see_task (jobs_t *jobs, int worker, JsonObject *object, resources_t *foreign)
{
  const char *id = json_get_text (object, "id", "");
  const char *state = json_get_text (object, "state", "");
  bool ended = strcmp (state, "running") != 0;
  resources_t need;
  task_t *task = find_task (jobs, id);

  read_resources (object, &need);
  if (task == NULL || task->state == TASK_FINISHED || task->state == TASK_FAILED)
    {
      if (!ended)
        add_resources (foreign, &need);
      return ended && task != NULL;
    }
  if (task->state == TASK_RECOVERING)
    {
      task->worker = worker;
      occupy (jobs, task, worker);
      placer_take (jobs->placer, worker, &task->need);
      task->state = TASK_RUNNING;
    }
  if (task->worker != worker || task->state == TASK_STOPPING)
    return false;
  if (task->state == TASK_STARTING)
    task->state = TASK_RUNNING;
  if (ended)
    task_ended (jobs, task, strcmp (state, "finished") == 0);
  return ended;
}

static void
ignore_done (worker_result_t result G_GNUC_UNUSED,
             JsonObject *answer G_GNUC_UNUSED,
             void *data G_GNUC_UNUSED)
{
}

static void
acknowledge (jobs_t *jobs, int worker, GPtrArray *ids)
{
  JsonBuilder *body;

  if (ids->len == 0)
    return;
  body = object_new ();
  json_builder_set_member_name (body, "ids");
  json_builder_begin_array (body);
  for (guint i = 0; i < ids->len; i++)
    json_builder_add_string_value (body, g_ptr_array_index (ids, i));
  json_builder_end_array (body);
  json_builder_end_object (body);
  workers_call (jobs->workers, link_of (jobs, worker)->address, "/v1/tasks/ack", body, ignore_done,
                NULL);
}

/* True when the end of the task's job is durable, or will be told by this VM. */
static bool
may_acknowledge (const jobs_t *jobs, const char *task_id)
{
  g_autofree char *job_id = NULL;
  guint index;
  guint attempt;
  const job_t *job;

  if (!job_split_task_id (task_id, &job_id, &index, &attempt))
    return false;
  job = g_hash_table_lookup (jobs->jobs, job_id);
  return job != NULL && job->state != JOB_ACCEPTED;
}

/* Tasks that the worker should have and does not: their lease lapsed there, or it
 * was restarted.  Its own word that they are gone is a confirmed stop. */
static void
find_missing (jobs_t *jobs, int worker, GHashTable *seen, gint64 asked_us)
{
  list_node_t *head = &link_of (jobs, worker)->tasks;

  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      task_t *task = LIST_ENTRY (node, task_t, worker_node);
      g_autofree char *id = NULL;

      /* A start confirmed after the report was asked for may not be in it. */
      if (task->state != TASK_RUNNING
          || task->lease_until_us > task_lease_end_us (asked_us, lease_ms * 1000))
        continue;
      id = job_task_id (task);
      if (!g_hash_table_contains (seen, id))
        stop_task (jobs, task);
    }
}

static void
take_report (jobs_t *jobs, int worker, JsonObject *answer, gint64 asked_us)
{
  JsonArray *tasks = json_get_list (answer, "tasks");
  worker_link_t *link = link_of (jobs, worker);
  resources_t foreign = { 0 };
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  worker_t *state = placer_worker (jobs->placer, worker);

  for (guint i = 0; tasks != NULL && i < json_array_get_length (tasks); i++)
    {
      JsonObject *object = json_array_get_object_element (tasks, i);
      const char *id = json_get_text (object, "id", "");

      g_hash_table_add (seen, (gpointer) id);
      if (see_task (jobs, worker, object, &foreign) && may_acknowledge (jobs, id))
        g_ptr_array_add (ended, (gpointer) id);
    }
  placer_release (jobs->placer, worker, &link->foreign);
  link->foreign = foreign;
  placer_take (jobs->placer, worker, &link->foreign);
  find_missing (jobs, worker, seen, asked_us);
  acknowledge (jobs, worker, ended);
  link->reported = true;
  state->usable = g_hash_table_contains (jobs->held, state->rack);
}

static void
report_done (worker_result_t result, JsonObject *answer, void *data)
{
  report_call_t *call = data;
  worker_link_t *link = link_of (call->jobs, call->worker);

  link->asked = false;
  if (result == WORKER_DONE)
    link->heard_us = g_get_monotonic_time ();
  if (result == WORKER_DONE)
    take_report (call->jobs, call->worker, answer, link->asked_us);
  g_free (call);
}

/* Lists the tasks whose leases the message renews.  A renewal counts from when it
 * is sent, whether or not it is answered; a worker that has been silent gets none,
 * so that its leases do run out. */
static void
put_renewals (JsonBuilder *body, const worker_link_t *link, gint64 now_us)
{
  if (link->heard_us != 0 && now_us - link->heard_us > silence_us)
    return;
  for (list_node_t *node = link->tasks.next; node != &link->tasks; node = node->next)
    {
      task_t *task = LIST_ENTRY (node, task_t, worker_node);
      g_autofree char *id = job_task_id (task);

      if (task->state == TASK_STOPPING)
        continue;
      task->lease_until_us = task_lease_end_us (now_us, lease_ms * 1000);
      json_builder_add_string_value (body, id);
    }
}

/* Renews the leases of this VM's tasks on a worker and asks what runs there. */
static void
ask_report (jobs_t *jobs, int worker, gint64 now_us)
{
  worker_link_t *link = link_of (jobs, worker);
  report_call_t *call;
  JsonBuilder *body;

  if (link->asked || link->address == NULL)
    return;
  call = g_new0 (report_call_t, 1);
  call->jobs = jobs;
  call->worker = worker;
  link->asked = true;
  link->asked_us = now_us;
  body = object_new ();
  json_put_text (body, "owner", jobs->self.vm);
  json_put_number (body, "lease_ms", lease_ms);
  json_builder_set_member_name (body, "ids");
  json_builder_begin_array (body);
  put_renewals (body, link, now_us);
  json_builder_end_array (body);
  json_builder_end_object (body);
  workers_call (jobs->workers, link->address, "/v1/lease", body, report_done, call);
}

static void
renew (jobs_t *jobs, gint64 now_us)
{
  guint bunch = jobs->step / bunch_steps % renew_bunches;

  for (guint i = bunch; i < jobs->placer->workers->len; i += renew_bunches)
    {
      const worker_t *worker = placer_worker (jobs->placer, (int) i);

      /* Tasks started before a rack was given up are seen to their end. */
      if (g_hash_table_contains (jobs->held, worker->rack)
          || !list_is_empty (&link_of (jobs, (int) i)->tasks))
        ask_report (jobs, (int) i, now_us);
    }
}

static bool
worker_is_gone (const jobs_t *jobs, const task_t *task)
{
  if (task->worker == PLACE_NONE || jobs->list == NULL)
    return false;
  return member_list_find (jobs->list, placer_worker (jobs->placer, task->worker)->id) == NULL;
}

/* Starts a task elsewhere once it certainly runs nowhere: its worker was silent
 * until the lease surely ran out, or left the list. */
static void
restart_if_lapsed (jobs_t *jobs, task_t *task, gint64 now_us)
{
  switch (task->state)
    {
    case TASK_RUNNING:
    case TASK_RECOVERING:
      if (!task_is_surely_lapsed (task, now_us))
        return;
      break;
    case TASK_STOPPING:
      if (worker_is_gone (jobs, task))
        break;
      stop_task (jobs, task);
      return;
    case TASK_PENDING:
    case TASK_STARTING:
    case TASK_FINISHED:
    case TASK_FAILED:
      return;
    }
  LOG_WARN ("task_restarted", "job=%s task=%u", task->job->id, task->index);
  requeue (jobs, task);
}

static void
restart_lapsed (jobs_t *jobs, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      for (guint i = 0; job->state == JOB_ACCEPTED && i < job->task_count; i++)
        restart_if_lapsed (jobs, &job->tasks[i], now_us);
    }
}

static void
adopt_written (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  accept_t *accept = data;
  jobs_t *jobs = accept->jobs;
  g_autoptr (job_t) job = accept->job;
  gint64 now_us = g_get_monotonic_time ();

  g_free (accept);
  if (result != BATCH_APPLIED || g_hash_table_contains (jobs->jobs, job->id))
    return;
  LOG_INFO ("job_taken_over", "job=%s", job->id);
  for (guint i = 0; i < job->task_count; i++)
    job->tasks[i].lease_until_us = task_lease_end_us (now_us, lease_ms * 1000);
  jobs->open++;
  g_hash_table_insert (jobs->jobs, job->id, job);
  g_steal_pointer (&job);
}

/* Takes over an open job of this zone whose owner is gone from the list. */
static void
consider (jobs_t *jobs, const kv_entry_t *entry)
{
  g_autoptr (job_t) job = job_from_record (entry->value, (gssize) entry->length);
  accept_t *accept;
  bool own;
  batch_op_t op = { .expect = KV_EXPECT_REVISION,
                    .revision = entry->mod_revision,
                    .deadline_us = g_get_monotonic_time () + accept_timeout_us,
                    .done = adopt_written };

  if (job == NULL || job->state != JOB_ACCEPTED || strcmp (job->zone, jobs->zone) != 0
      || g_hash_table_contains (jobs->jobs, job->id))
    return;
  /* Of a former process of this VM, which has ended since this one holds its
   * address; or accepted by this one with the reply lost. */
  own = strcmp (job->owner, jobs->self.vm) == 0;
  if (!own && member_list_find (jobs->list, job->owner) != NULL)
    return;
  g_free (job->owner);
  g_free (job->incarnation);
  job->owner = g_strdup (jobs->self.vm);
  job->incarnation = g_strdup (jobs->self.incarnation);
  accept = g_new0 (accept_t, 1);
  accept->jobs = jobs;
  op.key = g_strdup (entry->key);
  op.value = job_record_text (job, ++jobs->sequence);
  op.data = accept;
  accept->job = g_steal_pointer (&job);
  batch_add (jobs->batch, &op);
}

static void
adopt_read (const kv_reply_t *reply, void *data)
{
  jobs_t *jobs = data;

  jobs->adopting = reply->status != KV_APPLIED;
  for (guint i = 0; i < reply->entries->len; i++)
    consider (jobs, g_ptr_array_index (reply->entries, i));
}

static gboolean
step (gpointer data)
{
  jobs_t *jobs = data;
  gint64 now_us = g_get_monotonic_time ();

  jobs->step++;
  if (jobs->step % bunch_steps == 0)
    renew (jobs, now_us);
  if (jobs->step % lapse_steps == 0)
    restart_lapsed (jobs, now_us);
  place_pending (jobs, now_us);
  if (jobs->adopting && jobs->step % adopt_steps == 0)
    {
      jobs->adopting = false;
      kv_range (jobs->kv, JOB_PREFIX, true, adopt_read, jobs);
    }
  return G_SOURCE_CONTINUE;
}

static void
job_free_value (gpointer data)
{
  job_free (data);
}

jobs_t *
jobs_new (kv_t *kv,
          batch_t *batch,
          workers_t *workers,
          metrics_t *metrics,
          const claimant_t *self,
          const char *zone)
{
  jobs_t *jobs = g_new0 (jobs_t, 1);

  jobs->kv = kv;
  jobs->batch = batch;
  jobs->workers = workers;
  jobs->metrics = metrics;
  jobs->self = *self;
  jobs->zone = g_strdup (zone);
  jobs->placer = placer_new ();
  jobs->links = g_ptr_array_new_with_free_func (link_free);
  jobs->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free_value);
  jobs->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&jobs->pending);
  jobs->timer = g_timeout_add (step_ms, step, jobs);
  return jobs;
}

void
jobs_free (jobs_t *jobs)
{
  if (jobs == NULL)
    return;
  g_source_remove (jobs->timer);
  g_queue_clear_full (&jobs->pending, pending_free);
  g_hash_table_unref (jobs->jobs);
  g_hash_table_unref (jobs->held);
  g_ptr_array_unref (jobs->links);
  placer_free (jobs->placer);
  member_list_free (jobs->list);
  g_free (jobs->zone);
  g_free (jobs);
}

static void
update_worker (jobs_t *jobs, const member_t *member)
{
  resources_t total = { .cpu_milli = member->cpu_milli,
                        .memory_mb = member->memory_mb,
                        .accelerators = member->accelerators };
  int index = placer_update (jobs->placer, member->id, member->rack, &total);
  worker_link_t *link;

  while (jobs->links->len <= (guint) index)
    {
      link = g_new0 (worker_link_t, 1);
      list_init (&link->tasks);
      g_ptr_array_add (jobs->links, link);
    }
  link = link_of (jobs, index);
  g_free (link->address);
  link->address = g_strdup (member->address);
  placer_worker (jobs->placer, index)->usable
      = link->reported && !member->leaving && g_hash_table_contains (jobs->held, member->rack);
}

void
jobs_set_list (jobs_t *jobs, const member_list_t *list)
{
  member_list_free (jobs->list);
  jobs->list = member_list_new (list->revision);
  g_array_append_vals (jobs->list->members, list->members->data, list->members->len);
  jobs->adopting = true;
  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role == MEMBER_WORKER && strcmp (member->zone, jobs->zone) == 0)
        update_worker (jobs, member);
    }
  for (guint i = 0; i < jobs->placer->workers->len; i++)
    {
      worker_t *worker = placer_worker (jobs->placer, (int) i);

      if (member_list_find (list, worker->id) != NULL)
        continue;
      worker->usable = false;
      workers_forget (jobs->workers, link_of (jobs, (int) i)->address);
    }
}

void
jobs_set_racks (jobs_t *jobs, const GArray *table)
{
  g_autoptr (GHashTable) held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < table->len; i++)
    {
      const claim_t *claim = &g_array_index (table, claim_t, i);

      if (claim_is_held_by (claim, &jobs->self))
        g_hash_table_add (held, g_strdup (claim->name));
    }
  for (guint i = 0; i < jobs->placer->workers->len; i++)
    {
      worker_t *worker = placer_worker (jobs->placer, (int) i);

      /* A rack newly held is used once its workers have said what runs there. */
      if (g_hash_table_contains (held, worker->rack)
          && g_hash_table_contains (jobs->held, worker->rack))
        continue;
      worker->usable = false;
      link_of (jobs, (int) i)->reported = false;
    }
  g_hash_table_unref (jobs->held);
  jobs->held = g_steal_pointer (&held);
}

guint
jobs_unsettled (const jobs_t *jobs)
{
  guint unsettled = 0;

  for (guint i = 0; i < jobs->links->len; i++)
    {
      const list_node_t *head = &link_of (jobs, (int) i)->tasks;

      if (g_hash_table_contains (jobs->held, placer_worker (jobs->placer, (int) i)->rack))
        continue;
      for (const list_node_t *node = head->next; node != head; node = node->next)
        {
          const task_t *task = LIST_ENTRY (node, task_t, worker_node);

          unsettled += task->state == TASK_STARTING || task->state == TASK_STOPPING;
        }
    }
  return unsettled;
}

static void
accepted (batch_result_t result, const kv_entry_t *current, void *data)
{
  accept_t *accept = data;
  jobs_t *jobs = accept->jobs;
  job_t *job = accept->job;
  error_info_t error = { .kind = ERROR_NONE };
  g_autofree char *text = NULL;

  if (result == BATCH_APPLIED)
    {
      jobs->open++;
      g_hash_table_insert (jobs->jobs, job->id, job);
      for (guint i = 0; i < job->task_count; i++)
        queue_task (jobs, &job->tasks[i]);
      accept->job = NULL;
      LOG_INFO ("job_accepted", "job=%s environment=%s class=%s tasks=%u", job->id,
                job->environment, job->class, job->task_count);
      count (jobs, "mimosastair_jobs_accepted_total");
      text = job_describe (job, jobs->placer);
    }
  else if (result == BATCH_CONFLICT && current != NULL)
    {
      g_autoptr (job_t) earlier = job_from_record (current->value, (gssize) current->length);

      if (earlier != NULL && strcmp (earlier->digest, job->digest) == 0)
        text = job_describe (earlier, NULL);
      else
        (void) error_set (&error, ERROR_KEY_REUSED, "this key was used before with another job");
    }
  else
    {
      /* It may have been recorded all the same, and is then found and run. */
      jobs->adopting = true;
      (void) error_set (&error, ERROR_PLATFORM_UNAVAILABLE,
                        "the key-value service did not record the job in time; "
                        "try again with the same key");
    }
  accept->done (&error, text, accept->data);
  job_free (accept->job);
  g_free (accept);
}

/* The same key always gives the same id, so that a second try finds the first. */
static char *
job_id_for (const job_message_t *message)
{
  g_autofree char *scope = NULL;
  g_autofree char *digest = NULL;

  if (message->key != NULL)
    scope = g_strjoin ("/", message->environment, message->customer, message->key, NULL);
  else
    scope = g_uuid_string_random ();
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, scope, -1);
  return g_strdup_printf ("j-%.24s", digest);
}

static job_t *
job_from_message (const jobs_t *jobs, const job_message_t *message)
{
  job_t *job = job_new (message->task_count);

  job->id = job_id_for (message);
  job->zone = g_strdup (jobs->zone);
  job->environment = g_strdup (message->environment);
  job->class = g_strdup (message->class);
  job->customer = g_strdup (message->customer);
  job->digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, message->body);
  job->owner = g_strdup (jobs->self.vm);
  job->incarnation = g_strdup (jobs->self.incarnation);
  job->accepted_ms = g_get_real_time () / 1000;
  for (guint i = 0; i < message->task_count; i++)
    {
      job->tasks[i].need = message->tasks[i].need;
      job->tasks[i].run_ms = message->tasks[i].run_ms;
    }
  return job;
}

static bool
check_placeable (const jobs_t *jobs, const job_message_t *message, error_info_t *error)
{
  if (jobs->placer->workers->len == 0)
    return error_set (error, ERROR_NO_BACKEND, "no worker of zone %s is known yet", jobs->zone);
  if (g_hash_table_size (jobs->held) == 0)
    return error_set (error, ERROR_NO_BACKEND, "this entry VM holds no rack of zone %s",
                      jobs->zone);
  for (guint i = 0; i < message->task_count; i++)
    {
      const resources_t *need = &message->tasks[i].need;

      if (!placer_could_ever_fit (jobs->placer, need))
        return error_set (error, ERROR_UNSCHEDULABLE,
                          "/tasks/%u: no worker has cpu_milli %" G_GINT64_FORMAT
                          ", memory_mb %" G_GINT64_FORMAT " and accelerators %" G_GINT64_FORMAT,
                          i, need->cpu_milli, need->memory_mb, need->accelerators);
    }
  return true;
}

void
jobs_submit (jobs_t *jobs, const job_message_t *message, jobs_done_t done, void *data)
{
  error_info_t error = { .kind = ERROR_NONE };
  accept_t *accept;
  batch_op_t op = { .expect = KV_EXPECT_REVISION,
                    .deadline_us = g_get_monotonic_time () + accept_timeout_us,
                    .done = accepted };

  if (!check_placeable (jobs, message, &error))
    {
      done (&error, NULL, data);
      return;
    }
  accept = g_new0 (accept_t, 1);
  accept->jobs = jobs;
  accept->job = job_from_message (jobs, message);
  accept->done = done;
  accept->data = data;
  op.key = g_strconcat (JOB_PREFIX, accept->job->id, NULL);
  op.value = job_record_text (accept->job, ++jobs->sequence);
  op.data = accept;
  batch_add (jobs->batch, &op);
}

static void
show_read (const kv_reply_t *reply, void *data)
{
  show_t *show = data;
  error_info_t error = { .kind = ERROR_NONE };
  g_autoptr (job_t) job = NULL;
  g_autofree char *text = NULL;

  if (reply->entries->len > 0)
    {
      const kv_entry_t *entry = g_ptr_array_index (reply->entries, 0);

      job = job_from_record (entry->value, (gssize) entry->length);
    }
  if (job != NULL)
    text = job_describe (job, NULL);
  else if (reply->status == KV_APPLIED)
    (void) error_set (&error, ERROR_NOT_FOUND, "there is no job %s", show->id);
  else
    (void) error_set (&error, ERROR_PLATFORM_UNAVAILABLE, "the key-value service does not answer");
  show->done (&error, text, show->data);
  g_free (show->id);
  g_free (show);
}

void
jobs_show (jobs_t *jobs, const char *id, jobs_done_t done, void *data)
{
  const job_t *job = g_hash_table_lookup (jobs->jobs, id);
  const error_info_t none = { .kind = ERROR_NONE };
  g_autofree char *key = NULL;
  show_t *show;

  if (job != NULL)
    {
      g_autofree char *text = job_describe (job, jobs->placer);

      done (&none, text, data);
      return;
    }
  show = g_new0 (show_t, 1);
  show->jobs = jobs;
  show->id = g_strdup (id);
  show->done = done;
  show->data = data;
  key = g_strconcat (JOB_PREFIX, id, NULL);
  kv_range (jobs->kv, key, false, show_read, show);
}

guint
jobs_open (const jobs_t *jobs)
{
  return jobs->open;
}

guint
jobs_running_tasks (const jobs_t *jobs)
{
  guint running = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_t *job = value;

      for (guint i = 0; i < job->task_count; i++)
        running += job->tasks[i].state == TASK_RUNNING;
    }
  return running;
}

guint
jobs_workers (const jobs_t *jobs)
{
  guint usable = 0;

  for (guint i = 0; i < jobs->placer->workers->len; i++)
    usable += placer_worker (jobs->placer, (int) i)->usable;
  return usable;
}
