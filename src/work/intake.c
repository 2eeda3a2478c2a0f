#define LOG_MODULE "intake"

#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

/* A submitted job whose record is being written. */
typedef struct
{
  jobs_t *jobs;
  job_t *job;
  jobs_done_t done;
  void *data;
} acceptance_t;

typedef struct
{
  jobs_t *jobs;
  char *id;
  jobs_done_t done;
  void *data;
} query_t;

static const gint64 accept_timeout_us = 3 * G_USEC_PER_SEC;

static void
record_written (batch_result_t result, const kv_entry_t *current, void *data)
{
  acceptance_t *acceptance = data;
  jobs_t *jobs = acceptance->jobs;
  job_t *job = acceptance->job;
  error_info_t error = { .kind = ERROR_NONE };
  g_autofree char *text = NULL;

  if (result == BATCH_APPLIED)
    {
      jobs->open_count++;
      g_hash_table_insert (jobs->jobs, job->id, job);
      for (guint i = 0; i < job->task_count; i++)
        tasks_enqueue (jobs, &job->tasks[i]);
      acceptance->job = NULL;
      LOG_INFO ("job_accepted", "job=%s environment=%s class=%s tasks=%u", job->id,
                job->environment, job->class, job->task_count);
      jobs_count_event (jobs, "mimosastair_jobs_accepted_total");
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
      /* The record may have been written all the same.  The job is then taken over when the records
       * are next read. */
      jobs->is_takeover_due = true;
      (void) error_set (&error, ERROR_PLATFORM_UNAVAILABLE,
                        "the key-value service did not record the job in time; "
                        "try again with the same key");
    }
  acceptance->done (&error, text, acceptance->data);
  job_free (acceptance->job);
  g_free (acceptance);
}

/* Derives the job id from the idempotency key, so that a retry with the same key finds the job of
 * the first attempt.  Without a key the id is random. */
static char *
job_id_for (const job_submission_t *submission)
{
  g_autofree char *scope = NULL;
  g_autofree char *digest = NULL;

  if (submission->key != NULL)
    scope = g_strjoin ("/", submission->environment, submission->customer, submission->key, NULL);
  else
    scope = g_uuid_string_random ();
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, scope, -1);
  return g_strdup_printf ("j-%.24s", digest);
}

static job_t *
job_from_submission (const jobs_t *jobs, const job_submission_t *submission)
{
  job_t *job = job_new (submission->task_count);

  job->id = job_id_for (submission);
  job->zone = g_strdup (jobs->zone);
  job->environment = g_strdup (submission->environment);
  job->class = g_strdup (submission->class);
  job->customer = g_strdup (submission->customer);
  job->digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, submission->body);
  job->owner = g_strdup (jobs->self.vm);
  job->incarnation = g_strdup (jobs->self.incarnation);
  job->accepted_ms = g_get_real_time () / 1000;
  for (guint i = 0; i < submission->task_count; i++)
    {
      job->tasks[i].need = submission->tasks[i].need;
      job->tasks[i].run_ms = submission->tasks[i].run_ms;
    }
  return job;
}

static bool
check_placeable (const jobs_t *jobs, const job_submission_t *submission, error_info_t *error)
{
  if (jobs->placer->workers->len == 0)
    return error_set (error, ERROR_NO_BACKEND, "no worker of zone %s is known yet", jobs->zone);
  if (g_hash_table_size (jobs->held_racks) == 0)
    return error_set (error, ERROR_NO_BACKEND, "this entry VM holds no rack of zone %s",
                      jobs->zone);
  for (guint i = 0; i < submission->task_count; i++)
    {
      const resources_t *need = &submission->tasks[i].need;

      if (!placer_could_ever_fit (jobs->placer, need))
        return error_set (error, ERROR_UNSCHEDULABLE,
                          "/tasks/%u: no worker has cpu_milli %" G_GINT64_FORMAT
                          ", memory_mb %" G_GINT64_FORMAT " and accelerators %" G_GINT64_FORMAT,
                          i, need->cpu_milli, need->memory_mb, need->accelerators);
    }
  return true;
}

void
jobs_submit (jobs_t *jobs, const job_submission_t *submission, jobs_done_t done, void *data)
{
  error_info_t error = { .kind = ERROR_NONE };
  acceptance_t *acceptance;
  batch_op_t op = { .expect = KV_EXPECT_REVISION,
                    .deadline_us = g_get_monotonic_time () + accept_timeout_us,
                    .done = record_written };

  if (!check_placeable (jobs, submission, &error))
    {
      done (&error, NULL, data);
      return;
    }
  acceptance = g_new0 (acceptance_t, 1);
  acceptance->jobs = jobs;
  acceptance->job = job_from_submission (jobs, submission);
  acceptance->done = done;
  acceptance->data = data;
  op.key = g_strconcat (JOB_KEY_PREFIX, acceptance->job->id, NULL);
  op.value = job_to_record (acceptance->job, ++jobs->record_sequence);
  op.data = acceptance;
  batch_add (jobs->batch, &op);
}

static void
record_read (const kv_reply_t *reply, void *data)
{
  query_t *query = data;
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
    (void) error_set (&error, ERROR_NOT_FOUND, "there is no job %s", query->id);
  else
    (void) error_set (&error, ERROR_PLATFORM_UNAVAILABLE, "the key-value service does not answer");
  query->done (&error, text, query->data);
  g_free (query->id);
  g_free (query);
}

void
jobs_query (jobs_t *jobs, const char *id, jobs_done_t done, void *data)
{
  const job_t *job = g_hash_table_lookup (jobs->jobs, id);
  const error_info_t no_error = { .kind = ERROR_NONE };
  g_autofree char *key = NULL;
  query_t *query;

  if (job != NULL)
    {
      g_autofree char *text = job_describe (job, jobs->placer);

      done (&no_error, text, data);
      return;
    }
  query = g_new0 (query_t, 1);
  query->jobs = jobs;
  query->id = g_strdup (id);
  query->done = done;
  query->data = data;
  key = g_strconcat (JOB_KEY_PREFIX, id, NULL);
  kv_range (jobs->kv, key, false, record_read, query);
}
