#include "entry.h"
#include "log.h"

#include <errno.h>
#include <stdlib.h>

static int
receive_frame (void *ctx, BurdockAddress from, const uint8_t *frame,
               uint32_t length_bytes)
{
  BurdockEntryControl *control = ctx;

  return burdock_control_receive (control->control, from, frame, length_bytes);
}

/* Heartbeats detect members that fail, so the loss of a connection needs no action. */
static void
ignore_connection_lost (void *ctx, BurdockAddress peer, bool connected)
{
}

static void
store_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockEntryControl *control = ctx;

  burdock_control_store_done (control->control, result);
}

static void
apply_snapshot (void *ctx)
{
  BurdockEntryTraffic *traffic = ctx;
  BurdockSnapshot *snapshot = burdock_slot_take (&traffic->entry->snapshot_slot);

  if (snapshot == NULL)
    return;
  burdock_snapshot_unref (traffic->snapshot);
  traffic->snapshot = burdock_snapshot_ref (snapshot);
  burdock_dispatcher_set_snapshot (traffic->dispatcher, snapshot);
}

static void
publish (void *ctx, BurdockSnapshot *snapshot)
{
  BurdockEntryControl *control = ctx;
  BurdockEntry *entry = control->entry;

  burdock_snapshot_unref (burdock_slot_put (&entry->snapshot_slot, snapshot));
  burdock_loop_post (entry->traffic.runtime.loop, apply_snapshot, &entry->traffic);
}

static void
finish_if_drained (BurdockEntryControl *control)
{
  BurdockEntry *entry = control->entry;

  if (!control->leaving || control->finishing)
    return;
  if (!burdock_control_drained (control->control, atomic_load (&entry->in_flight)))
    return;
  control->finishing = true;
  burdock_loop_post (entry->traffic.runtime.loop, burdock_entry_traffic_finish, entry);
}

static uint64_t
control_hook (void *ctx, uint64_t now_us)
{
  BurdockEntryControl *control = ctx;
  BurdockUsage *usage = burdock_slot_take (&control->entry->usage_slot);
  uint64_t due_us;

  if (usage != NULL)
    burdock_control_set_usage (control->control, usage);
  free (usage);
  due_us = burdock_control_tick (control->control);
  finish_if_drained (control);
  return due_us;
}

void
burdock_entry_control_leave (void *ctx)
{
  BurdockEntry *entry = ctx;

  entry->control.leaving = true;
  burdock_control_leave (entry->control.control);
}

int
burdock_entry_control_init (BurdockEntry *entry)
{
  BurdockEntryControl *control = &entry->control;
  BurdockSettings *settings = &entry->settings.library;
  BurdockTransportHandler handler = { control, receive_frame, ignore_connection_lost };
  BurdockEnv env;
  int status = burdock_runtime_init (&control->runtime);

  if (status < 0)
    return status;
  control->entry = entry;
  control->runtime.store =
      burdock_http_store_new (control->runtime.client, entry->settings.store_url,
                              store_done, control);
  burdock_loop_add_hook (control->runtime.loop, control_hook, control);
  control->runtime.transport =
      burdock_transport_new (control->runtime.loop, &handler, true);
  status =
      burdock_transport_listen (control->runtime.transport, &settings->control_address);
  if (status < 0)
    return status;
  env = burdock_runtime_env (&control->runtime);
  env.publish = publish;
  env.apply_done = burdock_admin_apply_done;
  control->control = burdock_control_new (settings, &env);
  return control->control != NULL ? 0 : -ENOMEM;
}

void
burdock_entry_control_clear (BurdockEntry *entry)
{
  BurdockEntryControl *control = &entry->control;

  burdock_admin_free_pending (control);
  burdock_control_free (control->control);
  burdock_runtime_clear (&control->runtime);
}
