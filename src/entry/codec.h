/* Converts between the scheduler's types and the protobuf messages used for stored records and
 * between VMs. */
#pragma once

#include "decide/scheduler.h"
#include "peer/peer.pb-c.h"

/* Serializes a job record; free with g_free(). */
guint8 *codec_pack_job (const job_spec_t *spec, gsize *bytes);

/* Parses a job; NULL when it is malformed or can never run (see job_spec_error()).  Free with
 * job_spec_free(). */
job_spec_t *codec_unpack_job (const guint8 *bytes, gsize size);
job_spec_t *codec_job_from_message (const Mimosastair__Job *message);

/* Fills a message that borrows the strings of `spec`; codec_clear_job() frees what it allocated. */
void codec_fill_job (Mimosastair__Job *message, const job_spec_t *spec);
void codec_clear_job (Mimosastair__Job *message);

/* Fills a message that borrows the job id of `task`. */
void codec_fill_task (Mimosastair__TaskRef *message, task_ref_t *task);

/* Copies a task reference; returns false when the message is NULL or its job id is malformed. */
bool codec_read_task (const Mimosastair__TaskRef *message, task_ref_t *task);

/* Serializes task_progress_t elements as the record run/ID; free with g_free(). */
guint8 *codec_pack_progress (const GArray *progress, gsize *bytes);

/* Serializes the record place/FENCE-NUMBER; free with g_free(). */
guint8 *codec_pack_placement (const placed_run_t *runs, guint count, gsize *bytes);

/* Reads a run of the record, whose strings it borrows; returns false if its task is malformed. */
bool codec_read_placed_run (const Mimosastair__Placement *message, gsize index, placed_run_t *run);

/* Returns an array of task_progress_t, empty when the record is malformed; free with
 * g_array_unref(). */
GArray *codec_unpack_progress (const guint8 *bytes, gsize size);
