/* Writes what the decider must not lose, in batches of conditional transactions.
 *
 * Each transaction holds only while the claim is this VM's and while a counter has the
 * value that the last batch gave it, so that one whose answer was lost and that is carried
 * out late changes nothing.  A large batch is several transactions on their way together,
 * and one that comes after them with the counter and what is to be deleted.
 */
#pragma once

#include "decide/scheduler.h"
#include "entry/election.h"

typedef struct recorder recorder_t;

typedef struct
{
  /* The ends of these jobs are stored. */
  void (*job_end_stored) (const char *id, job_state_t state, void *data);
  /* A batch is stored: its ends may be acknowledged. */
  void (*batch_stored) (guint64 batch, void *data);
  /* The claim is not this VM's any more. */
  void (*deposed) (void *data);
} recorder_events_t;

/* `cell` must outlive the recorder. */
recorder_t *recorder_new (store_t *store,
                          const char *claim_key,
                          gint64 claim_revision,
                          cell_t *cell,
                          const recorder_events_t *events,
                          void *data);
void recorder_free (recorder_t *recorder);

/* The job has a progress record from an earlier claim. */
void recorder_note_stored_progress (recorder_t *recorder, const char *id);

void recorder_save_progress (recorder_t *recorder, const char *id);
void recorder_save_end (recorder_t *recorder, const char *id, job_state_t state);

/* Deletes a key after what was saved before. */
void recorder_delete_key (recorder_t *recorder, const char *key);

/* True when nothing waits to be written. */
bool recorder_is_idle (const recorder_t *recorder);

/* Writes at once what waits. */
void recorder_flush (recorder_t *recorder);
