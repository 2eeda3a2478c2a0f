/* Reader of the platform's delayed list of VMs: GET /v1/vms, polled. */
#pragma once

#include "decide/members.h"

typedef struct vmlist vmlist_t;

/* Called with each newer list; the list is borrowed. */
typedef void (*vmlist_changed_t) (const member_list_t *list, void *data);

/* `address` is "IP:PORT"; polls every `interval_ms`. */
vmlist_t *vmlist_new (const char *address, guint interval_ms, vmlist_changed_t changed, void *data);
void vmlist_free (vmlist_t *vmlist);

/* The newest list, never NULL; revision 0 before the first. */
const member_list_t *vmlist_current (const vmlist_t *vmlist);
