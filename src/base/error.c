#include "base/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define ROW(kind, text, status, exit, again, known)                                                \
  [kind] = { .name = (text),                                                                       \
             .http_status = (status),                                                              \
             .exit_code = (exit),                                                                  \
             .retry = (again),                                                                     \
             .outcome = (known) }

static const error_answer_t table[ERROR_KIND_COUNT] = {
  ROW (ERROR_NONE, "none", 200, 0, false, OUTCOME_RESULT),
  ROW (ERROR_BAD_SETTING, "bad_setting", 500, 2, false, OUTCOME_NOT_RUN),
  ROW (ERROR_BAD_REQUEST, "bad_request", 400, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_BAD_DOCUMENT, "bad_document", 422, 4, false, OUTCOME_NOT_RUN),
  ROW (ERROR_UNSUPPORTED_TYPE, "unsupported_type", 415, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_TOO_LARGE, "too_large", 413, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_METHOD_NOT_ALLOWED, "method_not_allowed", 405, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_NOT_FOUND, "not_found", 404, 5, false, OUTCOME_NOT_RUN),
  ROW (ERROR_UNKNOWN_ENVIRONMENT, "unknown_environment", 404, 5, false, OUTCOME_NOT_RUN),
  ROW (ERROR_UNKNOWN_CLASS, "unknown_class", 404, 5, false, OUTCOME_NOT_RUN),
  ROW (ERROR_UNKNOWN_CUSTOMER, "unknown_customer", 403, 5, false, OUTCOME_NOT_RUN),
  ROW (ERROR_KEY_REQUIRED, "key_required", 400, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_KEY_REUSED, "key_reused", 422, 3, false, OUTCOME_NOT_RUN),
  ROW (ERROR_CONFLICT, "conflict", 409, 6, false, OUTCOME_NOT_RUN),
  ROW (ERROR_UNSCHEDULABLE, "unschedulable", 422, 7, false, OUTCOME_NOT_RUN),
  ROW (ERROR_QUEUE_FULL, "queue_full", 429, 8, true, OUTCOME_NOT_RUN),
  ROW (ERROR_OVERLOADED, "overloaded", 503, 8, true, OUTCOME_NOT_RUN),
  ROW (ERROR_DEADLINE_PASSED, "deadline_passed", 504, 9, true, OUTCOME_NOT_RUN),
  ROW (ERROR_NO_BACKEND, "no_backend", 503, 10, true, OUTCOME_NOT_RUN),
  ROW (ERROR_REFUSED, "refused", 503, 10, true, OUTCOME_NOT_RUN),
  ROW (ERROR_STOPPING, "stopping", 503, 10, true, OUTCOME_NOT_RUN),
  ROW (ERROR_PLATFORM_UNAVAILABLE, "platform_unavailable", 503, 11, true, OUTCOME_NOT_RUN),
  ROW (ERROR_IN_PROGRESS, "in_progress", 409, 12, true, OUTCOME_UNKNOWN),
  ROW (ERROR_OWNER_LOST, "owner_lost", 502, 12, false, OUTCOME_UNKNOWN),
  ROW (ERROR_ANSWER_LOST, "answer_lost", 502, 12, false, OUTCOME_UNKNOWN),
  ROW (ERROR_ANSWER_TIMEOUT, "answer_timeout", 504, 12, false, OUTCOME_UNKNOWN),
  ROW (ERROR_ANSWER_INVALID, "answer_invalid", 502, 12, false, OUTCOME_UNKNOWN),
  ROW (ERROR_UNREACHABLE, "unreachable", 503, 13, true, OUTCOME_UNKNOWN),
  ROW (ERROR_INTERNAL, "internal", 500, 70, false, OUTCOME_UNKNOWN),
};

const error_answer_t *
error_answer (error_kind_t kind)
{
  assert (kind < ERROR_KIND_COUNT);
  return &table[kind];
}

error_kind_t
error_kind_from_name (const char *name)
{
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      if (strcmp (table[kind].name, name) == 0)
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
