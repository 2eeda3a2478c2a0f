#include "store/store.h"

const char *
store_status_name (store_status_t status)
{
  switch (status)
    {
    case STORE_DONE:
      return "done";
    case STORE_REFUSED:
      return "refused";
    case STORE_MISSING:
      return "missing";
    case STORE_UNAVAILABLE:
      return "unavailable";
    case STORE_LOST:
      return "lost";
    }
  return "unknown";
}

void
store_item_free (store_item_t *item)
{
  if (item == NULL)
    return;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}
