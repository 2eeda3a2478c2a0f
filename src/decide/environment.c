#include "decide/environment.h"

#include <string.h>

environment_t *
environment_new (guint customers)
{
  environment_t *environment = g_malloc0 (sizeof (environment_t) + customers * sizeof (customer_t));

  g_atomic_ref_count_init (&environment->references);
  environment->customer_count = customers;
  return environment;
}

environment_t *
environment_ref (environment_t *environment)
{
  g_atomic_ref_count_inc (&environment->references);
  return environment;
}

void
environment_unref (environment_t *environment)
{
  if (environment != NULL && g_atomic_ref_count_dec (&environment->references))
    g_free (environment);
}

int
environment_find_class (const environment_t *environment, const char *name)
{
  for (guint i = 0; i < environment->class_count; i++)
    {
      if (strcmp (environment->classes[i].name, name) == 0)
        return (int) i;
    }
  return -1;
}

int
environment_find_customer (const environment_t *environment, const char *name)
{
  for (guint i = 0; i < environment->customer_count; i++)
    {
      if (strcmp (environment->customers[i].name, name) == 0)
        return (int) i;
    }
  return -1;
}
