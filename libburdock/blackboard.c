#include "blackboard.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_ALLOCATION 16

void
burdock_blackboard_init (BurdockBlackboard *board, const BurdockSettings *settings,
                         uint64_t now_us)
{
  memset (board, 0, sizeof *board);
  board->self.settings = *settings;
  board->self.member_id = burdock_member_id (settings->name);
  board->self.started_us = now_us;
  board->config.refusal = BURDOCK_REASON_NO_CONFIG;
}

void
burdock_blackboard_clear (BurdockBlackboard *board)
{
  free (board->members.items);
  free (board->members.slots);
  free (board->instances.items);
  free (board->leases.items);
  free (board->groups.items);
  free (board->shares.items);
  free (board->config.body);
  burdock_config_unref (board->config.config);
  memset (board, 0, sizeof *board);
}

BurdockMemberRecord
burdock_blackboard_own_record (const BurdockBlackboard *board, uint64_t beat)
{
  const BurdockSelf *self = &board->self;
  const BurdockSettings *settings = &self->settings;
  BurdockMemberRecord record = {
    .id = self->member_id,
    .incarnation = settings->incarnation,
    .heartbeat_sequence = beat,
    .role = settings->role,
    .state = self->leaving ? BURDOCK_MEMBER_LEAVING : BURDOCK_MEMBER_ALIVE,
    .control_address = settings->control_address,
    .traffic_address = settings->traffic_address,
    .http_address = settings->http_address,
    .rank = settings->rank,
    .capacity = settings->capacity,
    .generation = board->config.generation,
  };

  memcpy (record.name, settings->name, sizeof record.name);
  memcpy (record.failure_domain, settings->failure_domain, sizeof record.failure_domain);
  memcpy (record.pool, settings->pool, sizeof record.pool);
  memcpy (record.group, settings->group, sizeof record.group);
  return record;
}

/* Slot that holds @id, or the empty slot for its insertion. At most half of the slots are
 * in use, so the search ends. */
static uint32_t
find_slot (const BurdockMembers *members, uint64_t id)
{
  uint32_t mask = members->slot_count - 1;
  uint32_t slot = (uint32_t)id & mask;

  while (members->slots[slot] != 0 &&
         members->items[members->slots[slot] - 1].record.id != id)
    slot = (slot + 1) & mask;
  return slot;
}

void
burdock_members_reindex (BurdockMembers *members)
{
  free (members->slots);
  members->slot_count = 2 * members->allocated;
  members->slots = calloc (members->slot_count, sizeof *members->slots);
  for (uint32_t i = 0; i < members->count; i++)
    members->slots[find_slot (members, members->items[i].record.id)] = i + 1;
}

BurdockMemberEntry *
burdock_members_find (const BurdockMembers *members, uint64_t id)
{
  uint32_t position;

  if (members->slot_count == 0)
    return NULL;
  position = members->slots[find_slot (members, id)];
  return position > 0 ? &members->items[position - 1] : NULL;
}

static void
grow_members (BurdockMembers *members)
{
  uint32_t allocated = members->allocated > 0 ? 2 * members->allocated : FIRST_ALLOCATION;
  BurdockMemberEntry *items = calloc (allocated, sizeof *items);

  if (items == NULL)
    abort ();
  for (uint32_t i = 0; members->items != NULL && i < members->count; i++)
    items[i] = members->items[i];
  free (members->items);
  members->items = items;
  members->allocated = allocated;
  burdock_members_reindex (members);
}

BurdockMemberEntry *
burdock_members_insert (BurdockMembers *members, uint64_t id)
{
  BurdockMemberEntry *member = burdock_members_find (members, id);

  if (member != NULL)
    return member;
  if (members->items == NULL || members->count == members->allocated)
    grow_members (members);
  member = &members->items[members->count];
  *member = (BurdockMemberEntry){ .record = { .id = id } };
  members->slots[find_slot (members, id)] = ++members->count;
  return member;
}

BurdockMemberEntry *
burdock_members_find_rank (const BurdockMembers *members, const char *group,
                           uint32_t rank)
{
  for (uint32_t i = 0; i < members->count; i++) {
    BurdockMemberRecord *record = &members->items[i].record;

    if (record->role != BURDOCK_ROLE_AGENT || record->state == BURDOCK_MEMBER_REMOVED)
      continue;
    if (record->rank == rank && strcmp (record->group, group) == 0)
      return &members->items[i];
  }
  return NULL;
}

const BurdockLease *
burdock_leases_find_valid (const BurdockLeases *leases, const char *name, uint64_t now_us)
{
  for (uint32_t i = 0; i < leases->count; i++) {
    const BurdockLease *lease = &leases->items[i];

    if (strcmp (lease->name, name) == 0)
      return lease->held && now_us < lease->valid_until_us ? lease : NULL;
  }
  return NULL;
}
