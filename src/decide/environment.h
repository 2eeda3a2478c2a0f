/* Environment: the configured work classes and customers with their shares and weights.
 *
 * Plain data without parsing.  An environment_t is immutable once built and reference
 * counted, so that work in progress keeps the version under which it was admitted.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  ENVIRONMENT_NAME_MAX = 63,
  ENVIRONMENT_CLASSES_MAX = 32,
  ENVIRONMENT_CUSTOMERS_MAX = 512,
  ENVIRONMENT_URGENCY_MAX = 9
};

typedef enum
{
  WORK_REQUEST,
  WORK_JOB
} work_kind_t;

typedef struct
{
  char name[ENVIRONMENT_NAME_MAX + 1];
  work_kind_t kind;
  bool idempotent;
  guint urgency;        /* 0 is the most urgent, ENVIRONMENT_URGENCY_MAX the least */
  gint64 deadline_us;   /* maximum time until the answer, 1 ms to 10 min */
  double share;         /* guaranteed fraction of the fleet, 0 to 1 */
  double limit;         /* maximum fraction of the fleet, `share` to 1 */
  guint queue_limit;    /* maximum queued requests per entry VM, 0 to 1,000,000 */
  guint retry_attempts; /* maximum retries where a retry is safe, 0 to 5 */
} work_class_t;

typedef struct
{
  char name[ENVIRONMENT_NAME_MAX + 1];
  double weight; /* above 0, up to 1,000 */
} customer_t;

typedef struct
{
  gatomicrefcount references;
  char name[ENVIRONMENT_NAME_MAX + 1];
  gint64 version;
  guint class_count;
  guint customer_count;
  work_class_t classes[ENVIRONMENT_CLASSES_MAX];
  customer_t customers[];
} environment_t;

/* Allocates a zeroed environment with `customers` customers; free with environment_unref(). */
environment_t *environment_new (guint customers);
environment_t *environment_ref (environment_t *environment);
void environment_unref (environment_t *environment);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (environment_t, environment_unref)

/* Returns the index of the class or customer called `name`, or -1. */
int environment_find_class (const environment_t *environment, const char *name);
int environment_find_customer (const environment_t *environment, const char *name);
