/**
 * DOC: instance-list-controller.c - reads the platform's list of instances
 *
 * All entries together read the list at most LIST_READS_PER_S times a second, so the
 * period of one entry grows with the number of entries. A change that one entry reads
 * reaches the others by gossip.
 */
#include "controller.h"

#include <stdlib.h>
#include <string.h>

#define LIST_READS_PER_S 50
#define LIST_PERIOD_MIN_US UINT64_C (1000000)
#define LIST_DEADLINE_MS 2000
#define US_PER_S UINT64_C (1000000)

typedef struct {
  BurdockCore *core;
  uint64_t next_read_us;
  bool reading; /* a read is in progress */
} InstanceList;

/* Number of entries that are not removed, this process included. */
static uint32_t
count_entries (const BurdockMembers *members)
{
  uint32_t count = 1;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;

    if (record->role == BURDOCK_ROLE_ENTRY && record->state != BURDOCK_MEMBER_REMOVED)
      count++;
  }
  return count;
}

/* Jittered by up to a quarter in both directions, so that entries do not synchronise. */
static uint64_t
next_period_us (InstanceList *list)
{
  uint64_t period_us =
      count_entries (&list->core->board.members) * US_PER_S / LIST_READS_PER_S;

  if (period_us < LIST_PERIOD_MIN_US)
    period_us = LIST_PERIOD_MIN_US;
  return period_us - period_us / 4 +
         burdock_core_random (list->core) % (period_us / 2 + 1);
}

static void
handle_list (void *ctx, const BurdockStoreResult *result)
{
  InstanceList *list = ctx;
  BurdockInstances *instances = &list->core->board.instances;
  size_t size_bytes = result->instance_count * sizeof *instances->items;

  list->reading = false;
  if (result->status < 0)
    return;
  instances->read_us = burdock_core_now (list->core);
  if (instances->count == result->instance_count &&
      (size_bytes == 0 || memcmp (instances->items, result->instances, size_bytes) == 0))
    return;
  free (instances->items);
  instances->count = result->instance_count;
  instances->items = size_bytes > 0 ? malloc (size_bytes) : NULL;
  if (size_bytes > 0)
    memcpy (instances->items, result->instances, size_bytes);
  burdock_blackboard_touch (&list->core->board);
}

static uint64_t
list_tick (void *ctx, uint64_t now_us)
{
  InstanceList *list = ctx;

  if (now_us < list->next_read_us)
    return list->next_read_us;
  list->next_read_us = now_us + next_period_us (list);
  if (!list->reading)
    list->reading = burdock_store_instances (list->core->store, LIST_DEADLINE_MS,
                                             handle_list, list) == 0;
  return list->next_read_us;
}

BurdockController
burdock_instance_list_controller (BurdockCore *core, uint32_t index)
{
  InstanceList *list = calloc (1, sizeof *list);

  list->core = core;
  /* Random, so that a fleet that starts simultaneously does not read simultaneously. */
  list->next_read_us = burdock_core_now (core) + burdock_core_random (core) % US_PER_S;
  return (BurdockController){
    .name = "instance-list",
    .ctx = list,
    .tick = list_tick,
    .free = free,
  };
}
