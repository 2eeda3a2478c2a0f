/* Checks of a desired state before it is submitted.
 *
 * They find what the parser reads without fault and what can still not be meant: entries that never
 * match, and limits that contradict each other.  A comparison finds what differs from the version
 * in force.  Keys are counted and never part of a finding. */
#pragma once

#include "decide/spec.h"

typedef enum
{
  FINDING_ERROR, /* a part has no effect, or the document has none */
  FINDING_WARNING,
  FINDING_CHANGE
} finding_level_t;

typedef enum
{
  PART_DOCUMENT,
  PART_ROUTE,
  PART_SERVICE,
  PART_WORKSPACE,
  PART_COUNT
} desired_part_t;

typedef enum
{
  FIELD_NONE, /* the part itself */
  FIELD_VERSION,
  FIELD_NAME,
  FIELD_HOST,
  FIELD_PREFIX,
  FIELD_SERVICE,
  FIELD_PRIORITY,
  FIELD_ATTEMPTS,
  FIELD_STRETCH,
  FIELD_OBJECTIVE,
  FIELD_TIMEOUT,
  FIELD_ANONYMOUS,
  FIELD_ADVICE,
  FIELD_ADVICE_CALL,
  FIELD_ADVICE_PER_EXECUTOR,
  FIELD_ADVICE_VALID,
  FIELD_ENFORCES_CAPACITY,
  FIELD_WEIGHT,
  FIELD_CAP_CPU,
  FIELD_CAP_MEM,
  FIELD_CAP_GPU,
  FIELD_KEYS,
  FIELD_COUNT
} desired_field_t;

enum
{
  ROW_NONE = -1 /* the whole list */
};

/* A place in a document; `row` is without meaning for PART_DOCUMENT. */
typedef struct
{
  desired_part_t part;
  gint64 row;
  desired_field_t field;
} desired_place_t;

typedef struct
{
  finding_level_t level;
  desired_place_t place;
  char *text; /* one printable line */
} desired_finding_t;

/* Return a list of desired_finding_t, which it owns.  Free with g_ptr_array_unref().  Places of
 * desired_compare() are in the document of `desired`; those of removed parts are its lists. */
GPtrArray *desired_check (const desired_state_t *desired);
GPtrArray *desired_compare (const desired_state_t *desired, const desired_state_t *in_force);
