/* Error kinds and how each is reported.
 *
 * A function that can fail takes an error_info_t pointer as its last parameter.  On
 * failure it fills the struct and returns false or NULL.  The struct owns no memory.
 * The table in error.c gives for every kind the HTTP status, the exit code of the
 * command-line tool, whether the caller may retry, and whether the work may have run.
 */
#pragma once

#include <stdbool.h>

/* Whether a request or job ran, as reported to its caller. */
typedef enum
{
  OUTCOME_RESULT,  /* it ran, and the response is its result */
  OUTCOME_NOT_RUN, /* it certainly did not run: not sent to a backend server, or refused by it */
  OUTCOME_UNKNOWN  /* it may have run, so it is not sent again */
} outcome_t;

typedef enum
{
  ERROR_NONE,
  ERROR_BAD_SETTING,
  ERROR_BAD_REQUEST,
  ERROR_BAD_DOCUMENT,
  ERROR_UNSUPPORTED_TYPE,
  ERROR_TOO_LARGE,
  ERROR_METHOD_NOT_ALLOWED,
  ERROR_NOT_FOUND,
  ERROR_UNKNOWN_ENVIRONMENT,
  ERROR_UNKNOWN_CLASS,
  ERROR_UNKNOWN_CUSTOMER,
  ERROR_UNAUTHORIZED,
  ERROR_KEY_REQUIRED,
  ERROR_KEY_REUSED,
  ERROR_CONFLICT,
  ERROR_UNSCHEDULABLE,
  ERROR_QUEUE_FULL,
  ERROR_OVER_SHARE,
  ERROR_OVERLOADED,
  ERROR_DEADLINE_PASSED,
  ERROR_NO_BACKEND,
  ERROR_REFUSED,
  ERROR_STOPPING,
  ERROR_PLATFORM_UNAVAILABLE,
  ERROR_IN_PROGRESS,
  ERROR_OWNER_LOST,
  ERROR_ANSWER_LOST,
  ERROR_ANSWER_TIMEOUT,
  ERROR_ANSWER_INVALID,
  ERROR_UNREACHABLE,
  ERROR_INTERNAL,
  ERROR_KIND_COUNT
} error_kind_t;

typedef struct
{
  const char *name; /* stable name in responses and logs */
  unsigned http_status;
  int exit_code;
  bool retry; /* whether the caller may send the same request again */
  outcome_t outcome;
} error_properties_t;

enum
{
  ERROR_DETAIL_BYTES = 240
};

typedef struct
{
  error_kind_t kind;
  char detail[ERROR_DETAIL_BYTES];
} error_info_t;

/* Returns the properties of `kind`, in static storage; never NULL. */
const error_properties_t *error_properties (error_kind_t kind);

/* Returns the kind called `name`, or ERROR_INTERNAL if there is none. */
error_kind_t error_kind_from_name (const char *name);

/* Fills `error`, which may be NULL.  Always returns false, so that a failing function can
 * return its result. */
bool error_set (error_info_t *error, error_kind_t kind, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns "result", "not_run" or "unknown". */
const char *outcome_name (outcome_t outcome);
