#define LOG_MODULE "intake"

#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

/* A submitted job on its way into the key-value service. */
typedef struct
{
  jobs_t *jobs;
  job_t *job;
  jobs_done_t done;
  void *data;
} accept_t;

typedef struct
{
  jobs_t *jobs;
  char *id;
  jobs_done_t done;
  void *data;
} show_t;

static const gint64 accept_timeout_us = 3 * G_USEC_PER_SEC;

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
        tasks_queue (jobs, &job->tasks[i]);
      accept->job = NULL;
      LOG_INFO ("job_accepted", "job=%s environment=%s class=%s tasks=%u", job->id,
                job->environment, job->class, job->task_count);
      jobs_count (jobs, "mimosastair_jobs_accepted_total");
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
