#include "decide/members.h"

#include <string.h>

member_list_t *
member_list_new (gint64 revision)
{
  member_list_t *list = g_new0 (member_list_t, 1);

  list->revision = revision;
  list->members = g_array_new (FALSE, TRUE, sizeof (member_t));
  return list;
}

void
member_list_free (member_list_t *list)
{
  if (list == NULL)
    return;
  g_array_unref (list->members);
  g_free (list);
}

const member_t *
member_list_find (const member_list_t *list, const char *id)
{
  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (strcmp (member->id, id) == 0)
        return member;
    }
  return NULL;
}
