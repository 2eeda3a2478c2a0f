#include "decide/claim.h"

#include <string.h>

bool
claim_is_held_by (const claim_t *claim, const claimant_t *self)
{
  return strcmp (claim->vm, self->vm) == 0 && strcmp (claim->incarnation, self->incarnation) == 0;
}

bool
claim_is_available (const claim_t *claim, const claimant_t *self, const member_list_t *list)
{
  if (claim->vm[0] == '\0')
    return true;
  if (claim_is_held_by (claim, self))
    return false;
  if (strcmp (claim->vm, self->vm) == 0 && strcmp (claim->address, self->address) == 0)
    return true;
  if (list->revision <= claim->list_revision)
    return false;
  return member_list_find (list, claim->vm) == NULL;
}

static void
set_holder (claim_t *claim, const claimant_t *self, const member_list_t *list)
{
  g_strlcpy (claim->vm, self->vm, sizeof claim->vm);
  g_strlcpy (claim->incarnation, self->incarnation, sizeof claim->incarnation);
  g_strlcpy (claim->address, self->address, sizeof claim->address);
  claim->list_revision = list->revision;
}

guint
claim_acquire (GArray *table, const claimant_t *self, const member_list_t *list, guint wanted)
{
  guint held = claim_count_held (table, self);
  guint acquired = 0;

  if (list->revision == 0 || member_list_find (list, self->vm) == NULL)
    return 0;
  for (guint i = 0; i < table->len && held < wanted; i++)
    {
      claim_t *claim = &g_array_index (table, claim_t, i);

      if (!claim_is_available (claim, self, list))
        continue;
      set_holder (claim, self, list);
      held++;
      acquired++;
    }
  return acquired;
}

static void
clear_holder (claim_t *claim)
{
  claim->vm[0] = '\0';
  claim->incarnation[0] = '\0';
  claim->address[0] = '\0';
  claim->list_revision = 0;
}

guint
claim_release (GArray *table, const claimant_t *self, guint wanted)
{
  guint held = claim_count_held (table, self);
  guint released = 0;

  for (guint i = table->len; i > 0 && held > wanted; i--)
    {
      claim_t *claim = &g_array_index (table, claim_t, i - 1);

      if (!claim_is_held_by (claim, self))
        continue;
      clear_holder (claim);
      held--;
      released++;
    }
  return released;
}

guint
claim_count_used (const GArray *table)
{
  guint used = 0;

  for (guint i = 0; i < table->len; i++)
    used += g_array_index (table, claim_t, i).vm[0] != '\0';
  return used;
}

guint
claim_count_held (const GArray *table, const claimant_t *self)
{
  guint held = 0;

  for (guint i = 0; i < table->len; i++)
    held += claim_is_held_by (&g_array_index (table, claim_t, i), self);
  return held;
}

bool
claim_add (GArray *table, const char *name)
{
  claim_t claim = { .list_revision = 0 };

  for (guint i = 0; i < table->len; i++)
    {
      if (strcmp (g_array_index (table, claim_t, i).name, name) == 0)
        return false;
    }
  g_strlcpy (claim.name, name, sizeof claim.name);
  g_array_append_val (table, claim);
  return true;
}
