#include "records/idem_waiters.h"

#include <string.h>

typedef struct
{
  list_node_t node;
  char *digest;
  gint64 deadline_us;
  idem_done_t done;
  void *data;
  bool is_claimant;
} waiter_t;

static void
waiter_free (waiter_t *waiter)
{
  list_remove (&waiter->node);
  g_free (waiter->digest);
  g_free (waiter);
}

void
idem_waiters_init (idem_waiters_t *waiters)
{
  list_init (&waiters->list);
}

static waiter_t *
first_waiter (const idem_waiters_t *waiters)
{
  return LIST_ENTRY (waiters->list.next, waiter_t, node);
}

void
idem_waiters_clear (idem_waiters_t *waiters)
{
  while (!idem_waiters_is_empty (waiters))
    waiter_free (first_waiter (waiters));
}

bool
idem_waiters_is_empty (const idem_waiters_t *waiters)
{
  return list_is_empty (&waiters->list);
}

void
idem_waiters_add (idem_waiters_t *waiters,
                  const char *digest,
                  gint64 deadline_us,
                  idem_done_t done,
                  void *data,
                  bool is_claimant)
{
  waiter_t *waiter = g_new0 (waiter_t, 1);

  waiter->digest = g_strdup (digest);
  waiter->deadline_us = deadline_us;
  waiter->done = done;
  waiter->data = data;
  waiter->is_claimant = is_claimant;
  list_push_back (&waiters->list, &waiter->node);
}

static waiter_t *
find_claimant (const idem_waiters_t *waiters)
{
  for (list_node_t *node = waiters->list.next; node != &waiters->list; node = node->next)
    {
      waiter_t *waiter = LIST_ENTRY (node, waiter_t, node);

      if (waiter->is_claimant)
        return waiter;
    }
  return NULL;
}

bool
idem_waiters_has_claimant (const idem_waiters_t *waiters)
{
  return find_claimant (waiters) != NULL;
}

gint64
idem_waiters_claimant_deadline_us (const idem_waiters_t *waiters, gint64 fallback_us)
{
  const waiter_t *claimant = find_claimant (waiters);

  return claimant != NULL ? claimant->deadline_us : fallback_us;
}

const char *
idem_waiters_choose_claimant (idem_waiters_t *waiters)
{
  waiter_t *waiter = first_waiter (waiters);

  g_assert (!idem_waiters_is_empty (waiters));
  waiter->is_claimant = true;
  return waiter->digest;
}

static void
answer_waiter (waiter_t *waiter, idem_result_t result, const idem_answer_t *answer)
{
  idem_done_t done = waiter->done;
  void *data = waiter->data;

  waiter_free (waiter);
  done (result, answer, data);
}

void
idem_waiters_answer_claimant (idem_waiters_t *waiters, idem_result_t result)
{
  waiter_t *claimant = find_claimant (waiters);

  g_assert (claimant != NULL);
  answer_waiter (claimant, result, NULL);
}

void
idem_waiters_answer_all (idem_waiters_t *waiters, idem_result_t result, const idem_answer_t *answer)
{
  list_node_t detached;

  /* Detach the waiters first: an answered attempt may start another one on the same entry. */
  list_init (&detached);
  while (!idem_waiters_is_empty (waiters))
    {
      list_node_t *node = waiters->list.next;

      list_remove (node);
      list_push_back (&detached, node);
    }
  while (!list_is_empty (&detached))
    answer_waiter (LIST_ENTRY (detached.next, waiter_t, node), result, answer);
}

void
idem_waiters_reject_others (idem_waiters_t *waiters, const char *digest)
{
  list_node_t *next;

  for (list_node_t *node = waiters->list.next; node != &waiters->list; node = next)
    {
      waiter_t *waiter = LIST_ENTRY (node, waiter_t, node);

      next = node->next;
      if (strcmp (waiter->digest, digest) != 0)
        answer_waiter (waiter, IDEM_KEY_REUSED, NULL);
    }
}

bool
idem_waiters_answer_expired (idem_waiters_t *waiters, gint64 now_us, idem_result_t result)
{
  for (list_node_t *node = waiters->list.next; node != &waiters->list; node = node->next)
    {
      waiter_t *waiter = LIST_ENTRY (node, waiter_t, node);

      if (waiter->deadline_us > now_us)
        continue;
      answer_waiter (waiter, result, NULL);
      return true;
    }
  return false;
}
