/* Addresses of the form IP:PORT, with an IPv6 address in brackets. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Splits the address; port 0 is allowed, as a listener may have the system choose one.  Returns
 * false and sets nothing if `text` is not such an address.  Free `*host` with g_free(). */
bool address_split (const char *text, char **host, guint16 *port);

/* Returns true if a connection to the address can be attempted. */
bool address_is_callable (const char *text);
