#define LOG_MODULE "tasks"

#include "base/json.h"
#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

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

static const gint64 silence_us = 5 * G_USEC_PER_SEC; /* then leases are not renewed */
static const guint starts_per_step = 200;
static const gint64 record_timeout_us = G_GINT64_CONSTANT (3600) * G_USEC_PER_SEC;

static void
pending_free (gpointer data)
{
  pending_t *pending = data;

  g_free (pending->job_id);
  g_free (pending);
}

worker_link_t *
jobs_link (const jobs_t *jobs, int worker)
{
  return g_ptr_array_index (jobs->links, worker);
}

void
jobs_count (jobs_t *jobs, const char *name)
{
  (*metrics_counter (jobs->metrics, name))++;
}

void
tasks_queue (jobs_t *jobs, const task_t *task)
{
  pending_t *pending = g_new0 (pending_t, 1);

  pending->job_id = g_strdup (task->job->id);
  pending->index = task->index;
  g_queue_push_tail (&jobs->pending, pending);
}

static void
occupy (jobs_t *jobs, task_t *task, int worker)
{
  list_push_back (&jobs_link (jobs, worker)->tasks, &task->worker_node);
}

/* Takes a task that runs nowhere off its worker and queues it again. */
static void
requeue (jobs_t *jobs, task_t *task)
{
  list_remove (&task->worker_node);
  task_free (task, jobs->placer);
  tasks_queue (jobs, task);
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
      jobs_count (context->jobs, job->state == JOB_FAILED ? "mimosastair_jobs_failed_total"
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
      jobs_count (jobs, "mimosastair_tasks_finished_total");
    }
  else
    {
      task_fail (task, jobs->placer);
      if (task->state == TASK_PENDING)
        tasks_queue (jobs, task);
      jobs_count (jobs, "mimosastair_tasks_failed_total");
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
  workers_call (jobs->workers, jobs_link (jobs, task->worker)->address, "/v1/tasks/stop", body,
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
      placer_record_start (jobs->placer, call->worker, result == WORKER_DONE, now_us);
      switch (result)
        {
        case WORKER_DONE:
          task->state = TASK_RUNNING;
          jobs_count (jobs, "mimosastair_tasks_started_total");
          break;
        case WORKER_REFUSED:
        case WORKER_UNSENT:
          requeue (jobs, task);
          jobs_count (jobs, "mimosastair_task_starts_refused_total");
          break;
        case WORKER_LOST:
          stop_task (jobs, task);
          jobs_count (jobs, "mimosastair_task_starts_lost_total");
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
  task->lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
  task_id = job_task_id (task);
  json_put_text (body, "id", task_id);
  json_put_text (body, "owner", jobs->self.vm);
  json_put_number (body, "lease_ms", TASKS_LEASE_MS);
  json_put_number (body, "cpu_milli", task->need.cpu_milli);
  json_put_number (body, "memory_mb", task->need.memory_mb);
  json_put_number (body, "accelerators", task->need.accelerators);
  json_put_number (body, "run_ms", task->run_ms);
  json_builder_end_object (body);
  workers_call (jobs->workers, jobs_link (jobs, worker)->address, "/v1/tasks/start", body,
                start_done, task_call_new (jobs, task_id, worker));
}

/* Places the oldest tasks that fit; those that do not go to the end. */
void
tasks_place (jobs_t *jobs, gint64 now_us)
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
      placer_allocate (jobs->placer, worker, &task->need);
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
  workers_call (jobs->workers, jobs_link (jobs, worker)->address, "/v1/tasks/ack", body,
                ignore_done, NULL);
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
  list_node_t *head = &jobs_link (jobs, worker)->tasks;

  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      task_t *task = LIST_ENTRY (node, task_t, worker_node);
      g_autofree char *id = NULL;

      /* A start confirmed after the report was asked for may not be in it. */
      if (task->state != TASK_RUNNING
          || task->lease_until_us > task_lease_expiry_us (asked_us, TASKS_LEASE_MS * 1000))
        continue;
      id = job_task_id (task);
      if (!g_hash_table_contains (seen, id))
        stop_task (jobs, task);
    }
}

void
tasks_update_usable (jobs_t *jobs, int worker)
{
  const worker_link_t *link = jobs_link (jobs, worker);
  worker_t *state = placer_worker (jobs->placer, worker);

  state->usable
      = link->reported && !link->leaving && g_hash_table_contains (jobs->held, state->rack);
}

static void
take_report (jobs_t *jobs, int worker, JsonObject *answer, gint64 asked_us)
{
  JsonArray *tasks = json_get_list (answer, "tasks");
  worker_link_t *link = jobs_link (jobs, worker);
  resources_t foreign = { 0 };
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();

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
  placer_allocate (jobs->placer, worker, &link->foreign);
  find_missing (jobs, worker, seen, asked_us);
  acknowledge (jobs, worker, ended);
  link->reported = true;
  tasks_update_usable (jobs, worker);
}

static void
report_done (worker_result_t result, JsonObject *answer, void *data)
{
  report_call_t *call = data;
  worker_link_t *link = jobs_link (call->jobs, call->worker);

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
      task->lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
      json_builder_add_string_value (body, id);
    }
}

/* Renews the leases of this VM's tasks on a worker and asks what runs there. */
static void
ask_report (jobs_t *jobs, int worker, gint64 now_us)
{
  worker_link_t *link = jobs_link (jobs, worker);
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
  json_put_number (body, "lease_ms", TASKS_LEASE_MS);
  json_builder_set_member_name (body, "ids");
  json_builder_begin_array (body);
  put_renewals (body, link, now_us);
  json_builder_end_array (body);
  json_builder_end_object (body);
  workers_call (jobs->workers, link->address, "/v1/lease", body, report_done, call);
}

void
tasks_renew (jobs_t *jobs, guint bunch, gint64 now_us)
{
  for (guint i = bunch; i < jobs->placer->workers->len; i += TASKS_RENEW_BUNCHES)
    {
      const worker_t *worker = placer_worker (jobs->placer, (int) i);

      /* Tasks started before a rack was given up are seen to their end. */
      if (g_hash_table_contains (jobs->held, worker->rack)
          || !list_is_empty (&jobs_link (jobs, (int) i)->tasks))
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
      if (!task_lease_is_expired (task, now_us))
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

void
tasks_restart_lapsed (jobs_t *jobs, gint64 now_us)
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
