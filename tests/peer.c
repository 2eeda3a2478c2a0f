/* Tests of the connections between entry VMs. */
#include "harness.h"

#include "base/clock.h"
#include "peer/link.h"
#include "peer/listener.h"
#include "peer/sent_bytes.h"

#include <string.h>

enum
{
  FLEET = 300,
  JOIN_MS = 700, /* less than the time after which a dropped connection request is repeated */
  FRAME_BYTES = 1024 * 1024,
  FRAMES_MAX = 200,
  RANDOM_MESSAGES = 300
};

/* Accepts connections as links, which are kept until the end of the test. */
typedef struct
{
  listener_t *listener;
  char *address;
  GPtrArray *links;       /* link_t of accepted connections */
  GPtrArray *connections; /* accepted without a link, while `reads` is false */
  bool reads;
  guint frames;
  guint broken;
} server_t;

typedef struct
{
  link_t *link;
  guint opened;
  guint broken;
  bool is_sending;
  bool was_broken_while_sending;
  const char *reason;
} client_t;

static void
server_received (link_t *link G_GNUC_UNUSED,
                 const Mimosastair__Frame *frame G_GNUC_UNUSED,
                 void *data)
{
  ((server_t *) data)->frames++;
}

static void
server_broken (link_t *link, const char *reason G_GNUC_UNUSED, void *data)
{
  server_t *server = data;

  server->broken++;
  (void) g_ptr_array_remove_fast (server->links, link);
}

static const link_events_t server_events = { NULL, server_received, server_broken };

static void
accepted (GSocketConnection *connection, void *data)
{
  server_t *server = data;

  if (server->reads)
    g_ptr_array_add (server->links, link_accept (connection, &server_events, server));
  else
    g_ptr_array_add (server->connections, g_object_ref (connection));
}

static void
server_open (server_t *server, bool reads)
{
  error_info_t error = { .kind = ERROR_NONE };

  *server = (server_t){ .reads = reads };
  server->links = g_ptr_array_new_with_free_func ((GDestroyNotify) link_free);
  server->connections = g_ptr_array_new_with_free_func (g_object_unref);
  server->listener = listener_new ("127.0.0.1:0", 100, accepted, server, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server->listener);
  server->address = g_strdup_printf ("127.0.0.1:%u", listener_port (server->listener));
}

static void
server_close (server_t *server)
{
  listener_free (server->listener);
  g_ptr_array_unref (server->links);
  g_ptr_array_unref (server->connections);
  g_free (server->address);
  loop_run_ms (20);
}

static void
client_opened (link_t *link G_GNUC_UNUSED, void *data)
{
  ((client_t *) data)->opened++;
}

static void
client_received (link_t *link G_GNUC_UNUSED,
                 const Mimosastair__Frame *frame G_GNUC_UNUSED,
                 void *data G_GNUC_UNUSED)
{
}

static void
client_broken (link_t *link, const char *reason, void *data)
{
  client_t *client = data;

  client->broken++;
  client->reason = reason;
  client->was_broken_while_sending |= client->is_sending;
  link_free (link);
  client->link = NULL;
}

static const link_events_t client_events = { client_opened, client_received, client_broken };

/* Every VM reaches a new leader at once, although all connect at the same moment. */
static void
test_fleet_connects_at_once (void)
{
  server_t server;
  client_t *clients = g_new0 (client_t, FLEET);
  guint opened = 0;

  server_open (&server, true);
  for (guint i = 0; i < FLEET; i++)
    clients[i].link = link_connect (server.address, &client_events, &clients[i]);
  loop_run_ms (JOIN_MS);
  for (guint i = 0; i < FLEET; i++)
    opened += clients[i].opened;
  CU_ASSERT_EQUAL (opened, FLEET);
  for (guint i = 0; i < FLEET; i++)
    link_free (clients[i].link);
  server_close (&server);
  g_free (clients);
}

static bool
is_open (void *data)
{
  return ((const client_t *) data)->opened > 0;
}

static bool
is_broken (void *data)
{
  return ((const client_t *) data)->broken > 0;
}

/* A caller of link_send() may go on to use what belongs to the link. */
static void
test_full_queue_is_reported_later (void)
{
  server_t server;
  client_t client = { 0 };
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  g_autofree char *text = g_strnfill (FRAME_BYTES, 'x');
  bool is_sent = true;

  server_open (&server, false);
  client.link = link_connect (server.address, &client_events, &client);
  CU_ASSERT_TRUE (loop_run_until (is_open, &client));
  frame.n_cancel = 1;
  frame.cancel = &text;
  client.is_sending = true;
  for (guint i = 0; i < FRAMES_MAX && is_sent; i++)
    is_sent = link_send (client.link, &frame);
  CU_ASSERT_FALSE (is_sent);
  CU_ASSERT_FALSE (link_send (client.link, &frame));
  client.is_sending = false;
  CU_ASSERT_TRUE (loop_run_until (is_broken, &client));
  CU_ASSERT_FALSE (client.was_broken_while_sending);
  CU_ASSERT_STRING_EQUAL (client.reason, "queue_full");
  loop_run_ms (20);
  CU_ASSERT_EQUAL (client.broken, 1);
  server_close (&server);
}

/* Large frames arrive whole although a connection takes only parts of them at a time. */
static void
test_large_frames_arrive (void)
{
  server_t server;
  client_t client = { 0 };
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  g_autofree char *text = g_strnfill (FRAME_BYTES, 'x');

  server_open (&server, true);
  client.link = link_connect (server.address, &client_events, &client);
  CU_ASSERT_TRUE (loop_run_until (is_open, &client));
  frame.n_cancel = 1;
  frame.cancel = &text;
  for (guint i = 0; i < 12; i++)
    CU_ASSERT_TRUE (link_send (client.link, &frame));
  loop_run_ms (500);
  CU_ASSERT_EQUAL (server.frames, 12);
  CU_ASSERT_EQUAL (client.broken, 0);
  link_free (client.link);
  server_close (&server);
}

/* Sends bytes on a connection of its own, and closes it. */
static void
send_bytes (const server_t *server, const guint8 *bytes, gsize size)
{
  g_autoptr (GSocketClient) socket_client = g_socket_client_new ();
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect_to_host (socket_client, server->address, 0, NULL, NULL);

  if (connection == NULL)
    return;
  (void) g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)), bytes,
                                    size, NULL, NULL, NULL);
  (void) g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
}

/* Whatever a peer sends ends its own connection at most. */
static void
test_malformed_bytes (void)
{
  server_t server;
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  client_t client = { 0 };
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  server_open (&server, true);
  for (guint i = 0; i < RANDOM_MESSAGES; i++)
    {
      guint8 bytes[64];
      gsize size = (gsize) g_rand_int_range (random, 1, sizeof bytes);

      for (gsize b = 0; b < size; b++)
        bytes[b] = (guint8) g_rand_int_range (random, 0, 256);
      /* Half of them announce their true length, so that the body is decoded. */
      if (i % 2 == 0 && size > 4)
        memcpy (bytes, (const guint8[]){ 0, 0, 0, (guint8) (size - 4) }, 4);
      send_bytes (&server, bytes, size);
      loop_run_ms (1);
    }
  loop_run_ms (100);
  CU_ASSERT_EQUAL (server.links->len, 0);
  client.link = link_connect (server.address, &client_events, &client);
  CU_ASSERT_TRUE (loop_run_until (is_open, &client));
  frame.released = 1;
  server.frames = 0;
  CU_ASSERT_TRUE (link_send (client.link, &frame));
  loop_run_ms (50);
  CU_ASSERT_EQUAL (server.frames, 1);
  link_free (client.link);
  server_close (&server);
}

/* Bytes were counted under a wrong kind, so that a measurement of the leader's link misled: the
 * kind is read from the packed frame, whose tag takes two bytes from field 16 on. */
static void
test_sent_bytes_by_kind (void)
{
  server_t server;
  client_t client = { 0 };
  Mimosastair__Frame cancel = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Frame released = MIMOSASTAIR__FRAME__INIT;
  g_autofree char *text = g_strnfill (1000, 'x');
  g_autoptr (GString) samples = g_string_new (NULL);
  guint64 cancel_bytes = sent_bytes_of ("cancel");
  guint64 released_bytes = sent_bytes_of ("released");
  guint64 job_bytes = sent_bytes_of ("job");

  server_open (&server, true);
  client.link = link_connect (server.address, &client_events, &client);
  cancel.n_cancel = 1;
  cancel.cancel = &text;
  released.released = 5;
  CU_ASSERT_FALSE (link_send (client.link, &cancel));
  CU_ASSERT_EQUAL (sent_bytes_of ("cancel"), cancel_bytes);
  CU_ASSERT_TRUE (loop_run_until (is_open, &client));
  CU_ASSERT_TRUE (link_send (client.link, &cancel));
  CU_ASSERT_TRUE (link_send (client.link, &cancel));
  CU_ASSERT_TRUE (link_send (client.link, &released));
  /* Length of the frame, tag and length of the field, text. */
  CU_ASSERT_EQUAL (sent_bytes_of ("cancel") - cancel_bytes, 2 * (4 + 1 + 2 + 1000));
  CU_ASSERT_EQUAL (sent_bytes_of ("released") - released_bytes, 4 + 2 + 1);
  CU_ASSERT_EQUAL (sent_bytes_of ("job"), job_bytes);
  CU_ASSERT_EQUAL (sent_bytes_of ("no such kind"), 0);
  sent_bytes_append_metrics (samples);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (samples->str, "mimosastair_link_sent_bytes_total{kind=\"released\"} "));
  link_free (client.link);
  server_close (&server);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "fleet_connects_at_once", test_fleet_connects_at_once },
    { "full_queue_is_reported_later", test_full_queue_is_reported_later },
    { "large_frames_arrive", test_large_frames_arrive },
    { "malformed_bytes", test_malformed_bytes },
    { "sent_bytes_by_kind", test_sent_bytes_by_kind },
  };

  return run_suite ("peer", tests, G_N_ELEMENTS (tests));
}
