#define LOG_MODULE "tasks"

#include "base/json.h"
#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

/* A call to a worker about one task, or the write of a job's end. */
typedef struct
{
  jobs_t *jobs;
  char *id; /* of the task; of the job while its end is written */
  int worker;
} task_call_t;

typedef struct
{
  jobs_t *jobs;
  int worker;
} report_call_t;

/* The leases on a worker that is silent for longer are not renewed. */
static const gint64 max_silence_us = 5 * G_USEC_PER_SEC;
static const guint max_entries_per_step = 200;
static const gint64 end_record_timeout_us = G_GINT64_CONSTANT (3600) * G_USEC_PER_SEC;

static void
pending_task_free (gpointer data)
{
  pending_task_t *pending = data;

  g_free (pending->job_id);
  g_free (pending);
}

tracked_worker_t *
jobs_tracked_worker (const jobs_t *jobs, int worker)
{
  return g_ptr_array_index (jobs->tracked_workers, worker);
}

void
jobs_count_event (jobs_t *jobs, const char *name)
{
  (*metrics_counter (jobs->metrics, name))++;
}

void
tasks_enqueue (jobs_t *jobs, const task_t *task)
{
  pending_task_t *pending = g_new0 (pending_task_t, 1);

  pending->job_id = g_strdup (task->job->id);
  pending->index = task->index;
  g_queue_push_tail (&jobs->pending_tasks, pending);
}

static void
attach_to_worker (jobs_t *jobs, task_t *task, int worker)
{
  list_push_back (&jobs_tracked_worker (jobs, worker)->tasks, &task->worker_node);
}

/* Detaches a task that certainly runs nowhere from its worker, and queues it again. */
static void
requeue (jobs_t *jobs, task_t *task)
{
  list_remove (&task->worker_node);
  task_unplace (task, jobs->placer);
  tasks_enqueue (jobs, task);
}

/* Returns the task with this id, or NULL when it is unknown or on another attempt. */
static task_t *
find_task (const jobs_t *jobs, const char *task_id)
{
  g_autofree char *job_id = NULL;
  guint index;
  guint attempt;
  const job_t *job;
  task_t *task;

  if (!job_parse_task_id (task_id, &job_id, &index, &attempt))
    return NULL;
  job = g_hash_table_lookup (jobs->jobs, job_id);
  if (job == NULL || index >= job->task_count)
    return NULL;
  task = &job->tasks[index];
  /* Job records hold no attempt numbers.  After a takeover they are taken from the reports. */
  if (task->state == TASK_RECOVERING)
    task->attempt = MAX (task->attempt, attempt);
  return task->attempt == attempt ? task : NULL;
}

static void
job_end_recorded (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  task_call_t *call = data;
  job_t *job = g_hash_table_lookup (call->jobs->jobs, call->id);

  if (job != NULL && result == BATCH_APPLIED)
    {
      job->state = job->ended_ms < 0 ? JOB_FAILED : JOB_FINISHED;
      job->ended_ms = ABS (job->ended_ms);
      call->jobs->open_count--;
      LOG_INFO ("job_ended", "job=%s state=%s", job->id,
                job->state == JOB_FAILED ? "failed" : "finished");
      jobs_count_event (call->jobs, job->state == JOB_FAILED ? "mimosastair_jobs_failed_total"
                                                             : "mimosastair_jobs_finished_total");
    }
  else
    {
      LOG_WARN ("job_end_not_recorded", "job=%s result=%d", call->id, result);
    }
  g_free (call->id);
  g_free (call);
}

/* Writes the end of the job to its record once all its tasks have ended. */
static void
end_job_if_done (jobs_t *jobs, job_t *job)
{
  bool has_failed = false;
  gint64 now_ms = g_get_real_time () / 1000;
  job_t ended = *job;
  task_call_t *call;
  batch_op_t op = { .expect = KV_EXPECT_ANY,
                    .deadline_us = g_get_monotonic_time () + end_record_timeout_us,
                    .done = job_end_recorded };

  if (job->state != JOB_ACCEPTED || job->ended_ms != 0)
    return;
  for (guint i = 0; i < job->task_count; i++)
    {
      if (job->tasks[i].state != TASK_FINISHED && job->tasks[i].state != TASK_FAILED)
        return;
      has_failed |= job->tasks[i].state == TASK_FAILED;
    }
  ended.state = has_failed ? JOB_FAILED : JOB_FINISHED;
  ended.ended_ms = now_ms;
  /* Not 0 from here on, so that the end is not written twice.  `state` changes only once the end is
   * recorded; until then a negative time marks a failed job. */
  job->ended_ms = has_failed ? -now_ms : now_ms;
  call = g_new0 (task_call_t, 1);
  call->jobs = jobs;
  call->id = g_strdup (job->id);
  op.key = g_strconcat (JOB_KEY_PREFIX, job->id, NULL);
  op.value = job_to_record (&ended, ++jobs->record_sequence);
  op.data = call;
  batch_add (jobs->batch, &op);
}

static void
task_ended (jobs_t *jobs, task_t *task, bool is_finished)
{
  list_remove (&task->worker_node);
  if (is_finished)
    {
      task_unplace (task, jobs->placer);
      task->state = TASK_FINISHED;
      jobs_count_event (jobs, "mimosastair_tasks_finished_total");
    }
  else
    {
      task_fail (task, jobs->placer);
      if (task->state == TASK_PENDING)
        tasks_enqueue (jobs, task);
      jobs_count_event (jobs, "mimosastair_tasks_failed_total");
    }
  end_job_if_done (jobs, task->job);
}

static task_call_t *
task_call_new (jobs_t *jobs, const char *task_id, int worker)
{
  task_call_t *call = g_new0 (task_call_t, 1);

  call->jobs = jobs;
  call->id = g_strdup (task_id);
  call->worker = worker;
  return call;
}

static void
task_call_free (task_call_t *call)
{
  g_free (call->id);
  g_free (call);
}

static void
stop_done (worker_result_t result, JsonObject *answer G_GNUC_UNUSED, void *data)
{
  task_call_t *call = data;
  jobs_t *jobs = call->jobs;
  task_t *task = find_task (jobs, call->id);

  if (task != NULL && task->state == TASK_STOPPING && result == WORKER_DONE)
    requeue (jobs, task);
  task_call_free (call);
}

static JsonBuilder *
object_builder_new (void)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  return builder;
}

/* Orders the worker to stop the task, and to refuse it should its start arrive later. */
static void
stop_task (jobs_t *jobs, task_t *task)
{
  g_autofree char *task_id = job_task_id (task);
  JsonBuilder *body = object_builder_new ();

  task->state = TASK_STOPPING;
  json_put_string (body, "id", task_id);
  json_builder_end_object (body);
  worker_client_call (jobs->worker_client, jobs_tracked_worker (jobs, task->worker)->address,
                      "/v1/tasks/stop", body, stop_done,
                      task_call_new (jobs, task_id, task->worker));
}

static void
start_done (worker_result_t result, JsonObject *answer G_GNUC_UNUSED, void *data)
{
  task_call_t *call = data;
  jobs_t *jobs = call->jobs;
  task_t *task = find_task (jobs, call->id);
  gint64 now_us = g_get_monotonic_time ();

  if (task != NULL && task->state == TASK_STARTING)
    {
      placer_record_start (jobs->placer, call->worker, result == WORKER_DONE, now_us);
      switch (result)
        {
        case WORKER_DONE:
          task->state = TASK_RUNNING;
          jobs_count_event (jobs, "mimosastair_tasks_started_total");
          break;
        case WORKER_REFUSED:
        case WORKER_NOT_SENT:
          requeue (jobs, task);
          jobs_count_event (jobs, "mimosastair_task_starts_refused_total");
          break;
        case WORKER_NO_ANSWER:
          stop_task (jobs, task);
          jobs_count_event (jobs, "mimosastair_task_starts_lost_total");
          break;
        }
    }
  task_call_free (call);
}

static void
start_task (jobs_t *jobs, task_t *task, int worker, gint64 now_us)
{
  g_autofree char *task_id = NULL;
  JsonBuilder *body = object_builder_new ();

  task_place (task, worker);
  attach_to_worker (jobs, task, worker);
  task->lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
  task_id = job_task_id (task);
  json_put_string (body, "id", task_id);
  json_put_string (body, "owner", jobs->self.vm);
  json_put_int (body, "lease_ms", TASKS_LEASE_MS);
  json_put_int (body, "cpu_milli", task->need.cpu_milli);
  json_put_int (body, "memory_mb", task->need.memory_mb);
  json_put_int (body, "accelerators", task->need.accelerators);
  json_put_int (body, "run_ms", task->run_ms);
  json_builder_end_object (body);
  worker_client_call (jobs->worker_client, jobs_tracked_worker (jobs, worker)->address,
                      "/v1/tasks/start", body, start_done, task_call_new (jobs, task_id, worker));
}

/* Tries the oldest tasks first; those that fit nowhere move to the end of the queue. */
void
tasks_place (jobs_t *jobs, gint64 now_us)
{
  guint entry_count = MIN (jobs->pending_tasks.length, max_entries_per_step);

  for (guint i = 0; i < entry_count; i++)
    {
      pending_task_t *pending = g_queue_pop_head (&jobs->pending_tasks);
      job_t *job = g_hash_table_lookup (jobs->jobs, pending->job_id);
      int worker;

      if (job == NULL || job->tasks[pending->index].state != TASK_PENDING)
        {
          pending_task_free (pending);
          continue;
        }
      worker = placer_place (jobs->placer, &job->tasks[pending->index].need, now_us);
      if (worker == PLACE_NONE)
        {
          g_queue_push_tail (&jobs->pending_tasks, pending);
          continue;
        }
      start_task (jobs, &job->tasks[pending->index], worker, now_us);
      pending_task_free (pending);
    }
}

static void
read_resources (JsonObject *object, resources_t *resources)
{
  resources->cpu_milli = json_get_int (object, "cpu_milli", 0);
  resources->memory_mb = json_get_int (object, "memory_mb", 0);
  resources->accelerators = json_get_int (object, "accelerators", 0);
}

static void
add_resources (resources_t *sum, const resources_t *part)
{
  sum->cpu_milli += part->cpu_milli;
  sum->memory_mb += part->memory_mb;
  sum->accelerators += part->accelerators;
}

/* Reconciles a task with what its worker reports.  Returns true when the end of a task of this VM
 * has been handled; it can then be acknowledged if may_acknowledge() allows it. */
static bool
reconcile_task (jobs_t *jobs, int worker, JsonObject *object, resources_t *foreign_used)
{
  const char *id = json_get_string (object, "id", "");
  const char *state = json_get_string (object, "state", "");
  bool has_ended = strcmp (state, "running") != 0;
  resources_t need;
  task_t *task = find_task (jobs, id);

  read_resources (object, &need);
  if (task == NULL || task->state == TASK_FINISHED || task->state == TASK_FAILED)
    {
      if (!has_ended)
        add_resources (foreign_used, &need);
      return has_ended && task != NULL;
    }
  if (task->state == TASK_RECOVERING)
    {
      task->worker = worker;
      attach_to_worker (jobs, task, worker);
      placer_allocate (jobs->placer, worker, &task->need);
      task->state = TASK_RUNNING;
    }
  if (task->worker != worker || task->state == TASK_STOPPING)
    return false;
  if (task->state == TASK_STARTING)
    task->state = TASK_RUNNING;
  if (has_ended)
    task_ended (jobs, task, strcmp (state, "finished") == 0);
  return has_ended;
}

static void
ignore_result (worker_result_t result G_GNUC_UNUSED,
               JsonObject *answer G_GNUC_UNUSED,
               void *data G_GNUC_UNUSED)
{
}

static void
acknowledge_ends (jobs_t *jobs, int worker, GPtrArray *ids)
{
  JsonBuilder *body;

  if (ids->len == 0)
    return;
  body = object_builder_new ();
  json_builder_set_member_name (body, "ids");
  json_builder_begin_array (body);
  for (guint i = 0; i < ids->len; i++)
    json_builder_add_string_value (body, g_ptr_array_index (ids, i));
  json_builder_end_array (body);
  json_builder_end_object (body);
  worker_client_call (jobs->worker_client, jobs_tracked_worker (jobs, worker)->address,
                      "/v1/tasks/ack", body, ignore_result, NULL);
}

/* Returns whether the task is of a job of this VM whose end is recorded. */
static bool
may_acknowledge (const jobs_t *jobs, const char *task_id)
{
  g_autofree char *job_id = NULL;
  guint index;
  guint attempt;
  const job_t *job;

  if (!job_parse_task_id (task_id, &job_id, &index, &attempt))
    return false;
  job = g_hash_table_lookup (jobs->jobs, job_id);
  return job != NULL && job->state != JOB_ACCEPTED;
}

/* Stops the tasks that should run on the worker but are not in its report, because their lease
 * expired there or the worker was restarted.  The worker's answer confirms the stop. */
static void
stop_missing_tasks (jobs_t *jobs, int worker, GHashTable *reported_ids, gint64 report_sent_us)
{
  list_node_t *head = &jobs_tracked_worker (jobs, worker)->tasks;

  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      task_t *task = LIST_ENTRY (node, task_t, worker_node);
      g_autofree char *id = NULL;

      /* A task that was started after the report was requested may be missing from it. */
      if (task->state != TASK_RUNNING
          || task->lease_until_us > task_lease_expiry_us (report_sent_us, TASKS_LEASE_MS * 1000))
        continue;
      id = job_task_id (task);
      if (!g_hash_table_contains (reported_ids, id))
        stop_task (jobs, task);
    }
}

void
tasks_update_usable (jobs_t *jobs, int index)
{
  const tracked_worker_t *tracked = jobs_tracked_worker (jobs, index);
  worker_t *worker = placer_worker (jobs->placer, index);

  worker->usable = tracked->is_reconciled && !tracked->is_leaving
                   && g_hash_table_contains (jobs->held_racks, worker->rack);
}

static void
handle_report (jobs_t *jobs, int worker, JsonObject *answer, gint64 report_sent_us)
{
  JsonArray *tasks = json_get_array (answer, "tasks");
  tracked_worker_t *tracked = jobs_tracked_worker (jobs, worker);
  resources_t foreign_used = { 0 };
  g_autoptr (GHashTable) reported_ids = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) ended_ids = g_ptr_array_new ();

  for (guint i = 0; tasks != NULL && i < json_array_get_length (tasks); i++)
    {
      JsonObject *object = json_array_get_object_element (tasks, i);
      const char *id = json_get_string (object, "id", "");

      g_hash_table_add (reported_ids, (gpointer) id);
      if (reconcile_task (jobs, worker, object, &foreign_used) && may_acknowledge (jobs, id))
        g_ptr_array_add (ended_ids, (gpointer) id);
    }
  placer_release (jobs->placer, worker, &tracked->foreign_used);
  tracked->foreign_used = foreign_used;
  placer_allocate (jobs->placer, worker, &tracked->foreign_used);
  stop_missing_tasks (jobs, worker, reported_ids, report_sent_us);
  acknowledge_ends (jobs, worker, ended_ids);
  tracked->is_reconciled = true;
  tasks_update_usable (jobs, worker);
}

static void
report_done (worker_result_t result, JsonObject *answer, void *data)
{
  report_call_t *call = data;
  tracked_worker_t *tracked = jobs_tracked_worker (call->jobs, call->worker);

  tracked->is_report_pending = false;
  if (result == WORKER_DONE)
    tracked->last_report_us = g_get_monotonic_time ();
  if (result == WORKER_DONE)
    handle_report (call->jobs, call->worker, answer, tracked->report_sent_us);
  g_free (call);
}

/* Appends the ids of the tasks whose leases the request renews.  A renewal counts from when it is
 * sent, whether or not it is answered, so a worker that has been silent gets none: its leases would
 * otherwise never expire. */
static void
add_renewed_ids (JsonBuilder *body, const tracked_worker_t *tracked, gint64 now_us)
{
  if (tracked->last_report_us != 0 && now_us - tracked->last_report_us > max_silence_us)
    return;
  for (list_node_t *node = tracked->tasks.next; node != &tracked->tasks; node = node->next)
    {
      task_t *task = LIST_ENTRY (node, task_t, worker_node);
      g_autofree char *id = job_task_id (task);

      if (task->state == TASK_STOPPING)
        continue;
      task->lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
      json_builder_add_string_value (body, id);
    }
}

/* Renews the leases of this VM's tasks on a worker and requests a report of what runs there. */
static void
request_report (jobs_t *jobs, int worker, gint64 now_us)
{
  tracked_worker_t *tracked = jobs_tracked_worker (jobs, worker);
  report_call_t *call;
  JsonBuilder *body;

  if (tracked->is_report_pending || tracked->address == NULL)
    return;
  call = g_new0 (report_call_t, 1);
  call->jobs = jobs;
  call->worker = worker;
  tracked->is_report_pending = true;
  tracked->report_sent_us = now_us;
  body = object_builder_new ();
  json_put_string (body, "owner", jobs->self.vm);
  json_put_int (body, "lease_ms", TASKS_LEASE_MS);
  json_builder_set_member_name (body, "ids");
  json_builder_begin_array (body);
  add_renewed_ids (body, tracked, now_us);
  json_builder_end_array (body);
  json_builder_end_object (body);
  worker_client_call (jobs->worker_client, tracked->address, "/v1/lease", body, report_done, call);
}

void
tasks_renew_leases (jobs_t *jobs, guint group, gint64 now_us)
{
  for (guint i = group; i < jobs->placer->workers->len; i += TASKS_RENEW_GROUPS)
    {
      const worker_t *worker = placer_worker (jobs->placer, (int) i);

      /* Tasks on a rack that this VM no longer holds are kept alive until they end. */
      if (g_hash_table_contains (jobs->held_racks, worker->rack)
          || !list_is_empty (&jobs_tracked_worker (jobs, (int) i)->tasks))
        request_report (jobs, (int) i, now_us);
    }
}

static bool
is_worker_gone (const jobs_t *jobs, const task_t *task)
{
  if (task->worker == PLACE_NONE || jobs->member_list == NULL)
    return false;
  return member_list_find (jobs->member_list, placer_worker (jobs->placer, task->worker)->id)
         == NULL;
}

/* Queues a task again once it certainly runs nowhere: its worker was silent until the lease had
 * certainly expired or, when a stop is not confirmed, has left the VM list.  Until then the stop is
 * retried. */
static void
restart_if_expired (jobs_t *jobs, task_t *task, gint64 now_us)
{
  switch (task->state)
    {
    case TASK_RUNNING:
    case TASK_RECOVERING:
      if (!task_lease_is_expired (task, now_us))
        return;
      break;
    case TASK_STOPPING:
      if (is_worker_gone (jobs, task))
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
tasks_restart_expired (jobs_t *jobs, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      for (guint i = 0; job->state == JOB_ACCEPTED && i < job->task_count; i++)
        restart_if_expired (jobs, &job->tasks[i], now_us);
    }
}
