/* Specifications: the desired state (queues and services) set by operators, and the jobs with
 * their steps submitted by customers. */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  JOB_ID_BYTES = 17, /* 16 hexadecimal digits and NUL */
  JOB_SPEC_MAX_STEPS = 64,
  JOB_SPEC_MAX_TASKS = 100000, /* over all steps and occurrences */
  JOB_SPEC_MAX_OCCURRENCES = 10000,
  TICKET_MARGIN_US
  = 150 * 1000 /* a ticket of advice is not used in the last part of its validity */
};

/* The last millisecond of the year 9999: no time of a job is later. */
#define JOB_SPEC_MAX_UNIX_MS G_GINT64_CONSTANT (253402300799999)

typedef struct
{
  guint cpu_milli; /* thousandths of a core */
  guint mem_mb;
  guint gpu;
} resource_vector_t;

/* Terms of the advice service.  If a queue needs advice, each start of a task needs a ticket
 * for its executor, which a call for advice returns.  A call takes call_us, and per_executor_us for
 * each executor that it asks about. */
typedef struct
{
  bool is_needed;
  gint64 call_us;
  gint64 per_executor_us;
  gint64 valid_us; /* lifetime of a ticket */
} advice_terms_t;

/* A queue of the desired state. */
typedef struct
{
  char *name;
  char *host;   /* a request goes to the queue of its host with the longest matching prefix */
  char *prefix; /* of the path */
  char *service;
  guint priority; /* 0 is the most urgent */
  guint attempts; /* the job fails when this many runs of one task have failed */
  double stretch; /* target duration of a job: stretch x its critical path + objective_us */
  gint64 objective_us;
  gint64 timeout_us; /* of a request */
  advice_terms_t advice;
  bool is_anonymous; /* requests need no key of a workspace */
  guint row;         /* in the document's list of routes */
} queue_spec_t;

typedef struct
{
  char *name;
  bool enforces_capacity; /* its executors reject runs that exceed their capacity */
  guint row;              /* in the document's list of services */
} service_spec_t;

/* Sums over many tasks, which exceed the range of resource_vector_t. */
typedef struct
{
  guint64 cpu_milli;
  guint64 mem_mb;
  guint64 gpu;
} resource_total_t;

/* A workspace: the customer that jobs are accounted to. */
typedef struct
{
  char *name;
  guint weight; /* share of the fleet when it is full, and jobs a second within it; 0: no limit */
  resource_total_t cap; /* what may run over all executors; a component that is 0 has no limit */
  guint row;            /* in the document's list of workspaces */
  guint repeated_keys;  /* entries of its list of keys that repeat an earlier one of the list */
} workspace_spec_t;

/* A part of a document that was ignored, or the reason why the document was rejected.  Never holds
 * a key. */
typedef struct
{
  char *pointer;   /* JSON pointer; "": the whole document */
  char *workspace; /* that the part belongs to, by desired_name_to_text(); "": none */
  char *reason;    /* printable */
  bool is_note;    /* a part that the document may well have, and that nothing reads */
} desired_problem_t;

/* A version of the desired state. */
typedef struct
{
  gint64 version;
  GPtrArray *queues;     /* queue_spec_t, owned */
  GPtrArray *services;   /* service_spec_t, owned */
  GPtrArray *workspaces; /* workspace_spec_t, owned */
  GHashTable *keys;      /* SHA-256 digest of a key -> workspace_spec_t, borrowed */
  bool checks_keys;      /* requests need the key of a workspace, unless their queue is anonymous */
  GPtrArray *problems;   /* desired_problem_t, owned: parts of the document that were ignored */
} desired_state_t;

/* A step of a job: `count` equal tasks. */
typedef struct
{
  guint count;
  resource_vector_t need; /* of each task */
  gint64 est_runtime_us;  /* estimated run time of each task */
  guint64 after;          /* bit i: step i must be done first */
  bool gang;
  bool same_rack;
  bool speculative;
  bool checkpointing;
  bool long_running;
  bool fills;             /* uses spare CPU: its tasks occupy no CPU capacity */
  char *requires;         /* label that the executor must have; NULL: none */
  char *data_rack;        /* label of executors in the rack that holds the data; NULL: none */
  guint max_per_executor; /* 0: no limit */
  char *image;
  guint target_ms; /* response-time target of tasks that serve requests; 0: none */
  guint may_miss;
} step_spec_t;

typedef struct
{
  char id[JOB_ID_BYTES];
  char *queue;
  char *service;                  /* service of the queue when the job was accepted */
  char *workspace;                /* NULL: the job was accepted without a key */
  resource_total_t workspace_cap; /* in the desired state that it was accepted under */
  gint64 workspace_cap_version;   /* of that desired state; 0: not known */
  char *spec;                     /* opaque to the scheduler */
  guint step_count;
  step_spec_t *steps;
  gint64 accepted_ms; /* Unix time */
  guint times;        /* number of occurrences; 0: the job runs once, immediately */
  gint64 start_at_ms; /* Unix time of occurrence 0 */
  gint64 interval_ms;
  gint64 revision; /* of the stored record; 0: unknown */
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

/* The free functions accept NULL. */
void desired_state_free (desired_state_t *desired);
void job_spec_free (job_spec_t *spec);
desired_state_t *desired_state_new (void);

/* Returns a name as it is shown in messages: escaped, and shortened if it is very long, so that
 * many messages with it stay small.  Free with g_free(). */
char *desired_name_to_text (const char *name);

/* Returns an empty list of desired_problem_t, which the list owns. */
GPtrArray *desired_problems_new (void);

/* Returns the queue for a request to this host and path, or NULL; borrowed. */
const queue_spec_t *
desired_state_find_route (const desired_state_t *desired, const char *host, const char *path);

/* Find a queue or service by name; NULL if there is none.  Borrowed; `desired` may be NULL. */
const queue_spec_t *desired_state_find_queue (const desired_state_t *desired, const char *name);
const service_spec_t *desired_state_find_service (const desired_state_t *desired, const char *name);

/* Adds a workspace and takes ownership of `spec`.  Frees it and returns NULL if one of this name
 * was added before. */
const workspace_spec_t *desired_state_add_workspace (desired_state_t *desired,
                                                     workspace_spec_t *spec);

/* Has `key` stand for the workspace.  Only a digest of the key is kept.  Returns false if the key
 * is empty or stands for a workspace already. */
bool desired_state_add_key (desired_state_t *desired,
                            const workspace_spec_t *workspace,
                            const char *key);

/* Returns the workspace that `key` stands for, or NULL; borrowed.  `key` may be NULL. */
const workspace_spec_t *desired_state_find_key (const desired_state_t *desired, const char *key);
const workspace_spec_t *desired_state_find_workspace (const desired_state_t *desired,
                                                      const char *name);

/* Returns why the job can never run, as a static string, or NULL if the spec is valid. */
const char *job_spec_error (const job_spec_t *spec);
