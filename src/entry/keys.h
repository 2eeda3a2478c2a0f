/* Keys of the scheduler's records in the key-value store, and the protobuf messages in them. */
#pragma once

#include <glib.h>

#define KEYS_JOB_PREFIX "job/"         /* job/ID: Job; job/ID.x: cancel marker */
#define KEYS_PROGRESS_PREFIX "run/"    /* run/ID: Progress */
#define KEYS_END_PREFIX "end/"         /* end/ID: Ended */
#define KEYS_PLACEMENT_PREFIX "place/" /* place/FENCE-NUMBER: Placement */
#define KEYS_SETTLED_STARTS KEYS_PLACEMENT_PREFIX "settled" /* SettledStarts */
#define KEYS_BATCH_COUNTER "batch" /* counter that serializes the leader's batches */
#define KEYS_CANCEL_SUFFIX ".x"

/* Free with g_free(). */
static inline char *
keys_job (const char *id)
{
  return g_strconcat (KEYS_JOB_PREFIX, id, NULL);
}

static inline char *
keys_cancel (const char *id)
{
  return g_strconcat (KEYS_JOB_PREFIX, id, KEYS_CANCEL_SUFFIX, NULL);
}

static inline char *
keys_progress (const char *id)
{
  return g_strconcat (KEYS_PROGRESS_PREFIX, id, NULL);
}

static inline char *
keys_end (const char *id)
{
  return g_strconcat (KEYS_END_PREFIX, id, NULL);
}
