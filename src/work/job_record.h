/* A job in memory and its record in the key-value service. */
#pragma once

#include "decide/job.h"

#include <json-glib/json-glib.h>

#define JOB_PREFIX "/mimosastair/jobs/"

typedef enum
{
  JOB_ACCEPTED,
  JOB_FINISHED,
  JOB_FAILED
} job_state_t;

typedef struct job
{
  char *id;
  char *zone;
  char *environment;
  char *class;
  char *customer;
  char *digest; /* of what was submitted */
  char *owner;  /* VM */
  char *incarnation;
  job_state_t state;
  gint64 accepted_ms; /* since the epoch */
  gint64 ended_ms;    /* since the epoch, 0 before */
  guint task_count;
  task_t *tasks;
} job_t;

/* The tasks' `job` and `index` are set. */
job_t *job_new (guint task_count);
void job_free (job_t *job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (job_t, job_free)

/* The record's text; unique to each write through `sequence`.  Free with g_free(). */
char *job_record_text (const job_t *job, gint64 sequence);

/* Reads a record; NULL when it is not one.  Its tasks are TASK_RECOVERING. */
job_t *job_from_record (const char *text, gssize length);

/* The job as shown to callers; free with g_free(). */
char *job_describe (const job_t *job, const placer_t *placer);

/* "JOB/INDEX/ATTEMPT"; free with g_free(). */
char *job_task_id (const task_t *task);

/* Splits a task id; `*job_id` is g_malloc'd. */
bool job_split_task_id (const char *task_id, char **job_id, guint *index, guint *attempt);
