/* Tests of the tables of texts that the leader and a VM keep for a connection. */
#include "harness.h"

#include "decide/text_table.h"

#include <string.h>

enum
{
  TEXTS = 90,
  BURST_TEXTS = 12, /* texts of most orders */
  ORDERS = 2000,
  SEEDS = 8
};

/* What two jobs that use an id one after the other, or other jobs, have as texts. */
typedef struct
{
  char *text;
  gsize bytes;
  text_digest_t digest;
} sample_t;

/* One connection, whose orders wait between the two sides. */
typedef struct
{
  GRand *random;
  sample_t samples[TEXTS];
  text_table_t *leader;
  text_table_t *vm;
  GQueue on_way; /* order_t */
} connection_t;

typedef struct
{
  const sample_t *meant;
  bool is_left_out;
} order_t;

static void
make_samples (connection_t *connection)
{
  for (guint i = 0; i < TEXTS; i++)
    {
      sample_t *sample = &connection->samples[i];
      guint max = i % 20 == 19 ? 200 * 1024 : 8000;

      /* Texts differ in their first bytes only, and many have the same length. */
      sample->bytes
          = i % 3 == 0 ? 4000 : (gsize) g_rand_int_range (connection->random, 8, (int) max);
      if (i == TEXTS - 1)
        sample->bytes = TEXT_TABLE_MAX_BYTES + 1;
      sample->text = g_strnfill (sample->bytes, 'x');
      g_snprintf (sample->text, 8, "%07u", i);
      sample->text[7] = 'x';
      sample->digest = text_digest_compute (sample->text);
    }
}

static void
open_tables (connection_t *connection, guint leader_max)
{
  text_table_free (connection->leader);
  text_table_free (connection->vm);
  connection->leader = text_table_new (leader_max);
  connection->vm = text_table_new (TEXT_TABLE_MAX_TEXTS);
  g_queue_clear_full (&connection->on_way, g_free);
}

static connection_t *
connection_new (guint32 seed)
{
  connection_t *connection = g_new0 (connection_t, 1);

  connection->random = g_rand_new_with_seed (seed);
  g_queue_init (&connection->on_way);
  make_samples (connection);
  open_tables (connection, TEXT_TABLE_MAX_TEXTS);
  return connection;
}

static void
connection_free (connection_t *connection)
{
  for (guint i = 0; i < TEXTS; i++)
    g_free (connection->samples[i].text);
  text_table_free (connection->leader);
  text_table_free (connection->vm);
  g_queue_clear_full (&connection->on_way, g_free);
  g_rand_free (connection->random);
  g_free (connection);
}

static bool
happens (connection_t *connection, double chance)
{
  return g_rand_double (connection->random) < chance;
}

/* The leader's side.  Jobs of a few texts come in bursts, so that most orders repeat one. */
static void
send_order (connection_t *connection, bool is_taken_by_link)
{
  guint last = (guint) g_rand_int_range (connection->random, 0, TEXTS);
  guint index = happens (connection, 0.7) ? last % BURST_TEXTS : last;
  order_t *order = g_new0 (order_t, 1);

  order->meant = &connection->samples[index];
  order->is_left_out = text_table_has (connection->leader, &order->meant->digest);
  if (!is_taken_by_link)
    {
      g_free (order);
      return;
    }
  text_table_note (connection->leader, &order->meant->digest, order->meant->bytes);
  g_queue_push_tail (&connection->on_way, order);
}

/* The VM's side.  Returns false if it has received nothing; `text` is what an executor would get.
 */
static bool
receive_order (connection_t *connection, const sample_t **meant, const char **text)
{
  g_autofree order_t *order = g_queue_pop_head (&connection->on_way);

  if (order == NULL)
    return false;
  *meant = order->meant;
  if (order->is_left_out)
    *text = text_table_use (connection->vm, &order->meant->digest);
  else
    {
      text_table_store (connection->vm, order->meant->text);
      *text = order->meant->text;
    }
  return true;
}

/* A VM lacked a text that the leader had left out, as the sides dropped different texts, or as the
 * leader counted a text that its link had not taken.  Orders are on their way, links fail, new
 * connections begin, the leader's limit is lower, and it empties its table alone. */
static void
run_same_tables (guint32 seed, guint leader_max)
{
  connection_t *connection = connection_new (seed);
  guint left_out = 0;
  guint sent = 0;

  open_tables (connection, leader_max);
  for (guint i = 0; i < ORDERS; i++)
    {
      const sample_t *meant;
      const char *text = NULL;
      guint received = (guint) g_rand_int_range (connection->random, 0, 3);

      send_order (connection, happens (connection, 0.95));
      while (received-- > 0 && receive_order (connection, &meant, &text))
        {
          sent++;
          left_out += text != meant->text;
          CU_ASSERT_EQUAL (g_strcmp0 (text, meant->text), 0);
        }
      if (happens (connection, 0.002))
        text_table_clear (connection->leader);
      if (happens (connection, 0.002))
        open_tables (connection, leader_max);
    }
  CU_ASSERT_TRUE (left_out > sent / (leader_max < BURST_TEXTS ? 20 : 4));
  connection_free (connection);
}

static void
test_same_tables (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      run_same_tables (seed, TEXT_TABLE_MAX_TEXTS);
      run_same_tables (seed, 5);
    }
}

/* An executor got the text of another job, or of a former job of the same id.  Whatever goes wrong
 * between the sides - orders that are lost, repeated or overtaken, a VM that keeps its table for
 * the next connection or empties it, a leader that counts on what it never sent - a VM has the text
 * that is meant or none. */
static void
test_text_is_right_or_missing (void)
{
  guint missing = 0;
  guint left_out = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      connection_t *connection = connection_new (seed);

      for (guint i = 0; i < ORDERS; i++)
        {
          const sample_t *meant;
          const char *text = NULL;

          send_order (connection, true);
          if (happens (connection, 0.1))
            g_free (g_queue_pop_head (&connection->on_way));
          if (happens (connection, 0.1) && connection->on_way.length > 1)
            g_queue_push_tail (&connection->on_way, g_queue_pop_head (&connection->on_way));
          if (happens (connection, 0.01))
            text_table_clear (connection->vm);
          if (happens (connection, 0.01))
            text_table_note (connection->leader, &connection->samples[i % TEXTS].digest,
                             connection->samples[i % TEXTS].bytes);
          if (happens (connection, 0.5) || !receive_order (connection, &meant, &text))
            continue;
          missing += text == NULL;
          left_out += text != meant->text;
          if (text != NULL)
            CU_ASSERT_EQUAL (g_strcmp0 (text, meant->text), 0);
        }
      connection_free (connection);
    }
  CU_ASSERT_TRUE (missing > 0);
  CU_ASSERT_TRUE (left_out > missing);
}

/* A table grew without a bound, or dropped texts that are in use. */
static void
test_limits (void)
{
  g_autoptr (text_table_t) table = text_table_new (TEXT_TABLE_MAX_TEXTS);
  g_autofree char *large = g_strnfill (TEXT_TABLE_MAX_BYTES / 4, 'x');
  text_digest_t first;
  text_digest_t large_digest = text_digest_compute (large);

  for (guint i = 0; i <= TEXT_TABLE_MAX_TEXTS; i++)
    {
      g_autofree char *text = g_strdup_printf ("%0100u", i);
      text_digest_t digest = text_digest_compute (text);

      if (i == 0)
        first = digest;
      text_table_store (table, text);
      CU_ASSERT_TRUE (text_table_has (table, &digest));
      CU_ASSERT_EQUAL (text_table_has (table, &first), i < TEXT_TABLE_MAX_TEXTS);
    }
  text_table_store (table, large);
  for (guint i = 0; i < 4; i++)
    {
      g_autofree char *text = g_strnfill (TEXT_TABLE_MAX_BYTES / 4, (char) ('a' + i));

      text_table_store (table, text);
      if (i > 0)
        continue;
      first = text_digest_compute (text);
      CU_ASSERT_PTR_NOT_NULL (text_table_use (table, &large_digest));
    }
  CU_ASSERT_TRUE (text_table_has (table, &large_digest));
  CU_ASSERT_FALSE (text_table_has (table, &first));
}

/* Short texts cost more in a table than in orders. */
static void
test_short_texts_are_not_kept (void)
{
  g_autoptr (text_table_t) leader = text_table_new (1);
  g_autoptr (text_table_t) vm = text_table_new (1);
  g_autofree char *text = g_strnfill (TEXT_TABLE_MIN_TEXT_BYTES - 1, 'x');
  text_digest_t digest = text_digest_compute (text);

  text_table_note (leader, &digest, strlen (text));
  text_table_store (vm, text);
  CU_ASSERT_FALSE (text_table_has (leader, &digest));
  CU_ASSERT_FALSE (text_table_has (vm, &digest));
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "same_tables", test_same_tables },
    { "text_is_right_or_missing", test_text_is_right_or_missing },
    { "limits", test_limits },
    { "short_texts_are_not_kept", test_short_texts_are_not_kept },
  };

  return run_suite ("text_table", tests, G_N_ELEMENTS (tests));
}
