#include "base/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define PROPERTIES(kind, label, status, exit_status, can_retry, run_outcome)                       \
  [kind] = { .name = (label),                                                                      \
             .http_status = (status),                                                              \
             .exit_code = (exit_status),                                                           \
             .retry = (can_retry),                                                                 \
             .outcome = (run_outcome) }

static const error_properties_t properties[ERROR_KIND_COUNT] = {
  PROPERTIES (ERROR_NONE, "none", 200, 0, false, OUTCOME_RESULT),
  PROPERTIES (ERROR_BAD_SETTING, "bad_setting", 500, 2, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_BAD_REQUEST, "bad_request", 400, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_BAD_DOCUMENT, "bad_document", 422, 4, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNSUPPORTED_TYPE, "unsupported_type", 415, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_TOO_LARGE, "too_large", 413, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_METHOD_NOT_ALLOWED, "method_not_allowed", 405, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_NOT_FOUND, "not_found", 404, 5, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNKNOWN_ENVIRONMENT, "unknown_environment", 404, 5, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNKNOWN_CLASS, "unknown_class", 404, 5, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNKNOWN_CUSTOMER, "unknown_customer", 403, 5, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNAUTHORIZED, "unauthorized", 401, 5, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_KEY_REQUIRED, "key_required", 400, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_KEY_REUSED, "key_reused", 422, 3, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_CONFLICT, "conflict", 409, 6, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_UNSCHEDULABLE, "unschedulable", 422, 7, false, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_QUEUE_FULL, "queue_full", 429, 8, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_OVER_SHARE, "over_share", 429, 8, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_OVERLOADED, "overloaded", 503, 8, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_DEADLINE_PASSED, "deadline_passed", 504, 9, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_NO_BACKEND, "no_backend", 503, 10, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_REFUSED, "refused", 503, 10, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_STOPPING, "stopping", 503, 10, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_PLATFORM_UNAVAILABLE, "platform_unavailable", 503, 11, true, OUTCOME_NOT_RUN),
  PROPERTIES (ERROR_IN_PROGRESS, "in_progress", 409, 12, true, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_OWNER_LOST, "owner_lost", 502, 12, false, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_ANSWER_LOST, "answer_lost", 502, 12, false, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_ANSWER_TIMEOUT, "answer_timeout", 504, 12, false, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_ANSWER_INVALID, "answer_invalid", 502, 12, false, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_UNREACHABLE, "unreachable", 503, 13, true, OUTCOME_UNKNOWN),
  PROPERTIES (ERROR_INTERNAL, "internal", 500, 70, false, OUTCOME_UNKNOWN),
};

const error_properties_t *
error_properties (error_kind_t kind)
{
  assert (kind < ERROR_KIND_COUNT);
  return &properties[kind];
}

error_kind_t
error_kind_from_name (const char *name)
{
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      if (strcmp (properties[kind].name, name) == 0)
        return (error_kind_t) kind;
    }
  return ERROR_INTERNAL;
}

bool
error_set (error_info_t *error, error_kind_t kind, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return false;
  error->kind = kind;
  va_start (args, format);
  (void) vsnprintf (error->detail, sizeof error->detail, format, args);
  va_end (args);
  return false;
}

const char *
outcome_name (outcome_t outcome)
{
  switch (outcome)
    {
    case OUTCOME_RESULT:
      return "result";
    case OUTCOME_NOT_RUN:
      return "not_run";
    case OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}
