/* What customers and operators ask for: queues, jobs and their steps. */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  JOB_ID_BYTES = 17, /* 16 hexadecimal digits and NUL */
  JOB_MAX_STEPS = 64,
  JOB_MAX_TASKS = 100000, /* of all steps and occurrences */
  JOB_MAX_TIMES = 10000
};

typedef struct
{
  guint cpu_milli; /* thousandths of a core */
  guint mem_mb;
  guint gpu;
} room_t;

/* Advice that a queue's executors need before each start. */
typedef struct
{
  bool is_needed;
  gint64 call_us;  /* time that each call takes */
  gint64 each_us;  /* and more for each executor named */
  gint64 valid_us; /* lifetime of a ticket */
} advice_terms_t;

/* One queue of the desired state. */
typedef struct
{
  char *name;
  char *host;   /* routes by this host and the longest prefix */
  char *prefix; /* of the path */
  char *service;
  guint priority; /* 0 is the most urgent */
  guint attempts; /* failed runs of a task until its job has failed */
  double stretch; /* objective: stretch x the job's longest chain of work + objective_us */
  gint64 objective_us;
  gint64 timeout_us; /* of one request */
  advice_terms_t advice;
} queue_spec_t;

typedef struct
{
  char *name;
  bool guards_capacity; /* its executors reject what does not fit */
} service_spec_t;

/* A version of the desired state. */
typedef struct
{
  gint64 version;
  GPtrArray *queues;   /* queue_spec_t, owned */
  GPtrArray *services; /* service_spec_t, owned */
} desired_t;

typedef struct
{
  guint count;
  room_t need; /* of each task */
  gint64 est_us;
  guint64 after; /* bit i: step i must be done first */
  bool gang;
  bool same_rack;
  bool speculative;
  bool checkpointing;
  bool long_running;
  bool fills;
  char *requires;         /* a label of the executor; NULL: any */
  char *data_rack;        /* label of the rack that holds the data; NULL: none */
  guint max_per_executor; /* 0: no limit */
  char *image;
  guint target_ms;
  guint may_miss;
} step_spec_t;

typedef struct
{
  char id[JOB_ID_BYTES];
  char *queue;
  char *service; /* of the queue when the job was accepted */
  char *spec;    /* opaque to the scheduler */
  guint step_count;
  step_spec_t *steps;
  gint64 accepted_ms; /* Unix time */
  guint times;        /* 0: once */
  gint64 start_at_ms; /* Unix time of occurrence 0 */
  gint64 interval_ms;
  gint64 revision; /* of the stored record; 0: not known */
} job_spec_t;

typedef enum
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_SUCCEEDED,
  JOB_FAILED,
  JOB_CANCELLED
} job_state_t;

const char *job_state_name (job_state_t state);

/* Every free function takes NULL. */
void desired_free (desired_t *desired);
void job_spec_free (job_spec_t *spec);
desired_t *desired_new (void);

/* Returns the queue that a host and path lead to, or NULL; borrowed. */
const queue_spec_t *desired_route (const desired_t *desired, const char *host, const char *path);

const queue_spec_t *desired_queue (const desired_t *desired, const char *name);
const service_spec_t *desired_service (const desired_t *desired, const char *name);

/* Returns why the job can never be run, or NULL. */
const char *job_spec_fault (const job_spec_t *spec);
