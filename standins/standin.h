/* HTTP server on loopback and JSON helpers that the stand-ins share. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/* Listens on 127.0.0.1; port 0 chooses a free port.  Exits with status 1 on failure. */
SoupServer *standin_listen (guint16 port, SoupServerCallback handler, gpointer data);

/* Returns the port that the server listens on. */
guint16 standin_port (SoupServer *server);

/* Responds to the message with JSON text.  Takes ownership of `text`. */
void standin_respond (SoupServerMessage *message, guint status, char *text);

/* Closes the connection of the message without sending a response. */
void standin_drop_connection (SoupServerMessage *message);

/* Returns the body of the request as a JSON object, or NULL when it is not one. */
JsonNode *standin_parse_body (SoupServerMessage *message);

/* Prints one line on standard output and flushes it, for a script that waits for the line. */
void standin_print_line (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Runs the main loop until SIGTERM or SIGINT. */
void standin_serve (void);
