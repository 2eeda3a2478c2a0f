/* Between the scheduler's types and the protobuf messages of records and peers. */
#pragma once

#include "decide/scheduler.h"
#include "peer/peer.pb-c.h"

/* Packs a job as a record; free with g_free(). */
guint8 *codec_pack_job (const job_spec_t *spec, gsize *bytes);

/* NULL when the bytes are no job that can be run. */
job_spec_t *codec_unpack_job (const guint8 *bytes, gsize size);
job_spec_t *codec_job_from_message (const Mimosastair__Job *message);

/* Fills a message that points into `spec`; codec_clear_job() frees what it allocated. */
void codec_fill_job (Mimosastair__Job *message, const job_spec_t *spec);
void codec_clear_job (Mimosastair__Job *message);

/* The message points into `task`. */
void codec_fill_task (Mimosastair__TaskRef *message, task_ref_t *task);
bool codec_read_task (const Mimosastair__TaskRef *message, task_ref_t *task);

/* Rows of task_progress_t as a record; free with g_free(). */
guint8 *codec_pack_progress (const GArray *progress, gsize *bytes);

/* Record place/FENCE-N. */
guint8 *codec_pack_placement (const placed_run_t *runs, guint count, gsize *bytes);

/* Returns task_progress_t rows, empty when the bytes are no record. */
GArray *codec_unpack_progress (const guint8 *bytes, gsize size);
