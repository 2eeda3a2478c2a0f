/* A job in memory, and its record in the key-value service. */
#pragma once

#include "decide/job.h"

#include <json-glib/json-glib.h>

#define JOB_KEY_PREFIX "/mimosastair/jobs/"

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
  char *digest;      /* of the submitted body, in hexadecimal */
  char *owner;       /* id of the VM that runs the job */
  char *incarnation; /* of the owner */
  job_state_t state;
  gint64 accepted_ms; /* Unix time */
  gint64 ended_ms;    /* Unix time; 0 until all tasks have ended, then negative for a failed job
                         until its end is recorded */
  guint task_count;
  task_t *tasks;
} job_t;

/* Allocates a job whose tasks have `job`, `index` and `worker` (PLACE_NONE) set; all else is 0. */
job_t *job_new (guint task_count);
void job_free (job_t *job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (job_t, job_free)

/* Returns the record as JSON; free with g_free().  Each write passes another `sequence`, which
 * makes its record unique, as batch_add() requires. */
char *job_to_record (const job_t *job, gint64 sequence);

/* Parses a record.  Returns NULL when `text` is not one.  The tasks are TASK_RECOVERING. */
job_t *job_from_record (const char *text, gssize length);

/* Returns the job as JSON for callers; free with g_free().  `placer` resolves worker ids; NULL
 * omits them. */
char *job_describe (const job_t *job, const placer_t *placer);

/* Returns "JOB/INDEX/ATTEMPT"; free with g_free(). */
char *job_task_id (const task_t *task);

/* Parses a task id.  Returns false when it is malformed; else `*job_id` must be freed with
 * g_free(). */
bool job_parse_task_id (const char *task_id, char **job_id, guint *index, guint *attempt);
