#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/log.h"
#include "decide/admission.h"

typedef struct
{
  leader_t *leader;
  char *vm;       /* name; the VM may have reconnected when the answer arrives */
  gint64 life;    /* of the process that asked; 0: not known */
  guint64 number; /* each process counts from 1 */
} relay_call_t;

/* Returns the connection of the process that asked; NULL: it has none, or has ended. */
static vm_t *
find_caller (const leader_t *leader, const relay_call_t *call)
{
  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->life == call->life && g_strcmp0 (vm->name, call->vm) == 0)
        return vm;
    }
  return NULL;
}

static void
send_relay_reply (vm_t *vm, guint64 number, const store_reply_t *reply)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__RelayReply message = MIMOSASTAIR__RELAY_REPLY__INIT;
  Mimosastair__RelayReply *list = &message;
  guint count = reply->items->len;
  g_autofree Mimosastair__RelayItem *rows = g_new0 (Mimosastair__RelayItem, count);
  g_autofree Mimosastair__RelayItem **pointers = g_new0 (Mimosastair__RelayItem *, count);

  for (guint i = 0; i < count; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      mimosastair__relay_item__init (&rows[i]);
      rows[i].key = item->key;
      rows[i].value.data = item->value;
      rows[i].value.len = item->value_bytes;
      rows[i].revision = item->revision;
      rows[i].created = item->created;
      pointers[i] = &rows[i];
    }
  message.number = number;
  message.status = reply->status;
  message.revision = reply->revision;
  message.n_items = count;
  message.items = pointers;
  frame.n_relay_reply = 1;
  frame.relay_reply = &list;
  (void) link_send (vm->link, &frame);
}

static void
relay_done (const store_reply_t *reply, void *data)
{
  relay_call_t *call = data;
  leader_t *leader = call->leader;
  vm_t *vm;

  leader->pending_call_count--;
  leader->pending_relay_count--;
  if (!leader->is_freed)
    {
      vm = find_caller (leader, call);
      if (vm != NULL)
        send_relay_reply (vm, call->number, reply);
    }
  else if (leader->pending_call_count == 0)
    leader_destroy (leader);
  g_free (call->vm);
  g_free (call);
}

static void
refuse_relay (vm_t *vm, guint64 number)
{
  g_autoptr (GPtrArray) items = g_ptr_array_new ();
  store_reply_t reply = { .status = STORE_UNAVAILABLE, .items = items };

  send_relay_reply (vm, number, &reply);
}

void
leader_relay_call (vm_t *vm, const Mimosastair__Relay *message)
{
  leader_t *leader = vm->leader;
  store_condition_t expect[STORE_TXN_ROWS_MAX];
  store_write_t writes[STORE_TXN_ROWS_MAX];
  gsize expect_count = message->n_expect;
  gsize write_count = message->n_write;
  bool is_too_large = MAX (expect_count, write_count) > STORE_TXN_ROWS_MAX;
  relay_call_t *call;

  if (is_too_large || !admission_may_relay (leader->pending_relay_count))
    {
      if (is_too_large)
        LOG_WARN ("relay_refused", "vm=%s conditions=%" G_GSIZE_FORMAT " writes=%" G_GSIZE_FORMAT,
                  vm->name, expect_count, write_count);
      refuse_relay (vm, message->number);
      return;
    }
  call = g_new0 (relay_call_t, 1);
  leader->pending_relay_count++;
  call->leader = leader;
  call->vm = g_strdup (vm->name);
  call->life = vm->life;
  call->number = message->number;
  leader->pending_call_count++;
  if (message->get[0] != '\0')
    {
      leader->store->calls->get (leader->store, message->get, relay_done, call);
      return;
    }
  for (gsize i = 0; i < expect_count; i++)
    expect[i] = (store_condition_t){ message->expect[i]->key, message->expect[i]->revision };
  for (gsize i = 0; i < write_count; i++)
    {
      const Mimosastair__KeyWrite *row = message->write[i];

      writes[i]
          = (store_write_t){ row->key, row->delete_ ? NULL : row->value.data, row->value.len, 0 };
    }
  leader->store->calls->txn (leader->store, expect, expect_count, writes, write_count, relay_done,
                             call);
}
