#include "entry/uplink_jobs.h"

#include "decide/work_room.h"
#include "entry/codec.h"

struct uplink_jobs
{
  uplink_send_t send;
  void *send_data;
  GHashTable *unconfirmed_jobs;    /* job id -> serialized job */
  GHashTable *unconfirmed_cancels; /* job ids */
  GHashTable *rooms;               /* job id -> bytes (gint64) that are taken from `share` */
  work_share_t share;
};

enum
{
  /* Limit on unconfirmed jobs, and on unconfirmed cancels, that are kept to be sent again; the
   * leader finds the others in the store. */
  UNCONFIRMED_MAX = 5000
};

static void
send_job (uplink_jobs_t *jobs, GBytes *packed)
{
  gsize size;
  const guint8 *bytes = g_bytes_get_data (packed, &size);
  Mimosastair__Job *job = mimosastair__job__unpack (NULL, size, bytes);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  if (job == NULL)
    return;
  frame.n_job = 1;
  frame.job = &job;
  (void) jobs->send (&frame, jobs->send_data);
  mimosastair__job__free_unpacked (job, NULL);
}

static void
send_cancel (uplink_jobs_t *jobs, const char *id)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  char *list = (char *) id;

  frame.n_cancel = 1;
  frame.cancel = &list;
  (void) jobs->send (&frame, jobs->send_data);
}

void
uplink_jobs_send_unconfirmed (uplink_jobs_t *jobs)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->unconfirmed_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_job (jobs, value);
  g_hash_table_iter_init (&iter, jobs->unconfirmed_cancels);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    send_cancel (jobs, key);
}

/* Returns the bytes that the job has taken; none from now on. */
static gint64
steal_room (uplink_jobs_t *jobs, const char *id)
{
  const gint64 *room = g_hash_table_lookup (jobs->rooms, id);
  gint64 bytes = room != NULL ? *room : 0;

  g_hash_table_remove (jobs->rooms, id);
  return bytes;
}

bool
uplink_jobs_take_room (uplink_jobs_t *jobs, const char *id, gint64 bytes)
{
  uplink_jobs_release_room (jobs, id);
  if (!work_share_take (&jobs->share, bytes))
    return false;
  g_hash_table_insert (jobs->rooms, g_strdup (id), g_memdup2 (&bytes, sizeof bytes));
  return true;
}

void
uplink_jobs_release_room (uplink_jobs_t *jobs, const char *id)
{
  work_share_give_back (&jobs->share, steal_room (jobs, id));
}

void
uplink_jobs_announce (uplink_jobs_t *jobs, const job_spec_t *spec)
{
  gsize bytes;
  guint8 *packed = codec_pack_job (spec, &bytes);
  GBytes *job = g_bytes_new_take (packed, bytes);

  send_job (jobs, job);
  if (g_hash_table_size (jobs->unconfirmed_jobs) < UNCONFIRMED_MAX)
    g_hash_table_insert (jobs->unconfirmed_jobs, g_strdup (spec->id), job);
  else
    {
      uplink_jobs_release_room (jobs, spec->id);
      g_bytes_unref (job);
    }
}

void
uplink_jobs_announce_cancel (uplink_jobs_t *jobs, const char *id)
{
  send_cancel (jobs, id);
  if (g_hash_table_size (jobs->unconfirmed_cancels) < UNCONFIRMED_MAX)
    (void) g_hash_table_add (jobs->unconfirmed_cancels, g_strdup (id));
}

void
uplink_jobs_set_share (uplink_jobs_t *jobs, gint64 bytes)
{
  work_share_set (&jobs->share, bytes);
}

void
uplink_jobs_handle_frame (uplink_jobs_t *jobs, const Mimosastair__Frame *frame)
{
  for (gsize i = 0; i < frame->n_job_known; i++)
    {
      g_hash_table_remove (jobs->unconfirmed_jobs, frame->job_known[i]->id);
      work_share_confirm (&jobs->share, steal_room (jobs, frame->job_known[i]->id));
    }
  for (gsize i = 0; i < frame->n_cancel; i++)
    g_hash_table_remove (jobs->unconfirmed_cancels, frame->cancel[i]);
}

uplink_jobs_t *
uplink_jobs_new (uplink_send_t send, void *send_data)
{
  uplink_jobs_t *jobs = g_new0 (uplink_jobs_t, 1);

  jobs->send = send;
  jobs->send_data = send_data;
  jobs->unconfirmed_jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  jobs->unconfirmed_cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  jobs->rooms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return jobs;
}

void
uplink_jobs_free (uplink_jobs_t *jobs)
{
  g_hash_table_unref (jobs->unconfirmed_jobs);
  g_hash_table_unref (jobs->unconfirmed_cancels);
  g_hash_table_unref (jobs->rooms);
  g_free (jobs);
}
