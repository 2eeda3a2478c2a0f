/* Polls the platform's list of VMs by GET /v1/vms.  The platform updates the list with a delay. */
#pragma once

#include "decide/members.h"

typedef struct vmlist vmlist_t;

/* Called with each list that is newer than the last; the list is borrowed. */
typedef void (*vmlist_changed_t) (const member_list_t *list, void *data);

/* `address` is "IP:PORT"; polls every `interval_ms`. */
vmlist_t *vmlist_new (const char *address, guint interval_ms, vmlist_changed_t changed, void *data);
void vmlist_free (vmlist_t *vmlist);

/* Returns the newest list, borrowed; never NULL.  Its revision is 0 until a list is received. */
const member_list_t *vmlist_current (const vmlist_t *vmlist);
