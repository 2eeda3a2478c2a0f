/* Jobs and cancels of this VM that the leader has not confirmed, and the room that the jobs take.
 *
 * They are kept to be sent again on the next connection.  Private to the uplink.
 */
#pragma once

#include "entry/uplink.h"

typedef struct uplink_jobs uplink_jobs_t;

/* `send_data` is borrowed. */
uplink_jobs_t *uplink_jobs_new (uplink_send_t send, void *send_data);
void uplink_jobs_free (uplink_jobs_t *jobs);

/* Sets the bytes that this VM may accept in jobs that the leader does not know. */
void uplink_jobs_set_share (uplink_jobs_t *jobs, gint64 bytes);

/* See uplink_take_room() and uplink_release_room(). */
bool uplink_jobs_take_room (uplink_jobs_t *jobs, const char *id, gint64 bytes);
void uplink_jobs_release_room (uplink_jobs_t *jobs, const char *id);

/* Sends a job or a cancel, and keeps it until the leader confirms it. */
void uplink_jobs_announce (uplink_jobs_t *jobs, const job_spec_t *spec);
void uplink_jobs_announce_cancel (uplink_jobs_t *jobs, const char *id);

/* Sends the jobs and cancels that no leader has confirmed, on each new connection. */
void uplink_jobs_send_unconfirmed (uplink_jobs_t *jobs);

/* Handles the confirmations in a frame of the leader. */
void uplink_jobs_handle_frame (uplink_jobs_t *jobs, const Mimosastair__Frame *frame);
