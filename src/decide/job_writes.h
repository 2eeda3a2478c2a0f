/* Ids of the jobs that this VM may have stored.
 *
 * A refusal states that a job is not stored.  While a write for its id is open, and for 12 s after
 * one that was or may have been carried out, this is not known without reading the records, so such
 * an id must not be refused without them.  The table is bounded: the id whose last write began or
 * ended first is dropped when it is full.  Pure functions; times in microseconds of one clock. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct job_writes job_writes_t;

/* Holds at most `max` ids, at least 1. */
job_writes_t *job_writes_new (guint max);

/* NULL is allowed. */
void job_writes_free (job_writes_t *writes);

/* A write for this job id is about to be sent.  Copies `id`. */
void job_writes_begin (job_writes_t *writes, const char *id, gint64 now_us);

/* A write that was begun has its outcome, or will have none.  `may_be_stored` is false if it was
 * certainly not carried out and never will be. */
void job_writes_end (job_writes_t *writes, const char *id, bool may_be_stored, gint64 now_us);

/* Returns whether this VM may have stored the job. */
bool job_writes_may_be_stored (const job_writes_t *writes, const char *id, gint64 now_us);

/* Returns the number of ids that were dropped although they may have been stored. */
guint64 job_writes_dropped_count (const job_writes_t *writes);
