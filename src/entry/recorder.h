/* Writes the state that must survive the loss of the leader, in batches of conditional
 * transactions.
 *
 * Each transaction applies only while this VM is the leader and a counter in the store is
 * unchanged since the last batch wrote it.  So a transaction whose answer was lost changes
 * nothing if it reaches the store late, after its batch was committed or the leader has changed.
 * A large batch consists of several transactions that are in flight together, its parts, and a
 * commit transaction after them, which writes the counter and the deletions.
 */
#pragma once

#include "decide/scheduler.h"
#include "entry/election.h"

typedef struct recorder recorder_t;

typedef struct
{
  /* The job's end is stored. */
  void (*job_end_stored) (const char *id, job_state_t state, void *data);
  /* A batch is stored: the ends in it may be acknowledged to their executors. */
  void (*batch_stored) (guint64 batch, void *data);
  /* A write was refused: this VM is no longer the leader. */
  void (*deposed) (void *data);
} recorder_events_t;

enum
{
  RECORDER_END_TTL_MS = 600 * 1000 /* the longest lease that the store grants */
};

/* `scheduler` must outlive the recorder.  End records are kept for a third of `end_ttl_ms` at
 * least. */
recorder_t *recorder_new (store_t *store,
                          const char *election_key,
                          gint64 election_revision,
                          scheduler_t *scheduler,
                          guint end_ttl_ms,
                          const recorder_events_t *events,
                          void *data);

/* Discards pending changes and the results of calls in flight; the memory is freed once these calls
 * have ended. */
void recorder_free (recorder_t *recorder);

/* Notes that an earlier leader stored a progress record of the job. */
void recorder_note_stored_progress (recorder_t *recorder, const char *id);

/* Adds the job's progress, or its end, to the next batch. */
void recorder_save_progress (recorder_t *recorder, const char *id);
void recorder_save_end (recorder_t *recorder, const char *id, job_state_t state);

/* Deletes a key, after everything that was saved before. */
void recorder_delete_key (recorder_t *recorder, const char *key);

/* Returns true when no change is pending and no batch is in flight. */
bool recorder_is_idle (const recorder_t *recorder);

/* Starts writing pending changes at once. */
void recorder_flush (recorder_t *recorder);
