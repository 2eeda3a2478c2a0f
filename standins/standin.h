/* What the stand-ins share: a plain HTTP server on loopback and JSON answers. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/* Listens on 127.0.0.1; port 0 takes a free one.  Ends the program on failure. */
SoupServer *standin_listen (guint16 port, SoupServerCallback handler, gpointer data);

/* The port that the server listens on. */
guint16 standin_port (SoupServer *server);

/* Answers with JSON text, which is taken. */
void standin_respond (SoupServerMessage *message, guint status, char *text);

/* Closes the connection of the message without an answer. */
void standin_drop_connection (SoupServerMessage *message);

/* The message's body as a JSON object, or NULL. */
JsonNode *standin_parse_body (SoupServerMessage *message);

/* Prints `format` as one line on standard output at once. */
void standin_print_line (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Serves until SIGTERM or SIGINT. */
void standin_serve (void);
