/* An environment: kinds of work, customers, shares.  Plain data, no parsing.
 *
 * An environment_t is immutable once built and reference counted, so that work
 * in progress keeps the version it was admitted under.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  DOCUMENT_NAME_MAX = 63,
  DOCUMENT_CLASSES_MAX = 32,
  DOCUMENT_CUSTOMERS_MAX = 512,
  DOCUMENT_URGENCY_MAX = 9
};

typedef enum
{
  WORK_REQUEST,
  WORK_JOB
} work_kind_t;

typedef struct
{
  char name[DOCUMENT_NAME_MAX + 1];
  work_kind_t kind;
  bool idempotent;
  guint urgency;        /* 0 is the most urgent, DOCUMENT_URGENCY_MAX the least */
  gint64 deadline_us;   /* longest time until the answer, 1 ms to 10 min */
  double share;         /* guaranteed part of the fleet, 0 to 1 */
  double limit;         /* part of the fleet it may fill, share to 1 */
  guint queue_limit;    /* queued requests per entry VM, 0 to 1,000,000 */
  guint retry_attempts; /* further attempts of safe retries, 0 to 5 */
} work_class_t;

typedef struct
{
  char name[DOCUMENT_NAME_MAX + 1];
  double weight; /* above 0, up to 1,000 */
} customer_t;

typedef struct
{
  gatomicrefcount references;
  char name[DOCUMENT_NAME_MAX + 1];
  gint64 version;
  guint class_count;
  guint customer_count;
  work_class_t classes[DOCUMENT_CLASSES_MAX];
  customer_t customers[];
} environment_t;

/* Allocates an environment with room for `customers`; free with environment_unref(). */
environment_t *environment_new (guint customers);
environment_t *environment_ref (environment_t *environment);
void environment_unref (environment_t *environment);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (environment_t, environment_unref)

/* Return the index, or -1 when there is none of that name. */
int environment_find_class (const environment_t *environment, const char *name);
int environment_find_customer (const environment_t *environment, const char *name);
