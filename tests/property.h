// Shared by the property tests: the C headers under test, RapidCheck and helpers.
#pragma once

#include <glib.h>

extern "C"
{
#include "decide/claim.h"
#include "decide/fairqueue.h"
#include "decide/job.h"
#include "decide/place.h"
#include "decide/request.h"
#include "decide/router.h"
}

#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Makes an environment with `classes` request classes, of which every second one is idempotent,
// and `customers` customers with the weights 1, 2, 3 and so on.
inline environment_t *
make_environment (guint classes, guint customers)
{
  environment_t *environment = environment_new (customers);

  g_strlcpy (environment->name, "test", sizeof environment->name);
  environment->version = 1;
  environment->class_count = classes;
  for (guint i = 0; i < classes; i++)
    {
      work_class_t *work_class = &environment->classes[i];

      g_snprintf (work_class->name, sizeof work_class->name, "class-%u", i);
      work_class->kind = WORK_REQUEST;
      work_class->idempotent = i % 2 == 0;
      work_class->urgency = i;
      work_class->deadline_us = G_USEC_PER_SEC;
      work_class->share = 1.0 / classes;
      work_class->limit = 1.0;
      work_class->queue_limit = 100;
      work_class->retry_attempts = 2;
    }
  for (guint i = 0; i < customers; i++)
    {
      g_snprintf (environment->customers[i].name, sizeof environment->customers[i].name,
                  "customer-%u", i);
      environment->customers[i].weight = i + 1;
    }
  return environment;
}

// Draws a value uniformly from [min, max), whatever the size of the test case.
template <typename T>
T
draw (T min, T max)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange<T> (min, max));
}

// Checks properties and counts the failed ones.  finish() prints `N passed, N failed` as the last
// line of the output and returns the exit status of the program.
class Suite
{
public:
  template <typename Property>
  void
  check (const std::string &name, Property property)
  {
    if (rc::check (name, property))
      passed_++;
    else
      failed_++;
  }

  int
  finish () const
  {
    std::printf ("%d passed, %d failed\n", passed_, failed_);
    return failed_ == 0 ? 0 : 1;
  }

private:
  int passed_ = 0;
  int failed_ = 0;
};
