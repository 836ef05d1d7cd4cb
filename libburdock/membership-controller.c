/**
 * DOC: membership-controller.c - who is there, by heartbeats and gossip
 *
 * Members are ordered on RING_COUNT rings, each by another hash of the member id. A
 * member sends its heartbeat to its successor on every ring, so each member is watched by
 * RING_COUNT others, cost does not grow with the fleet, and changes spread over a random
 * graph of logarithmic diameter. One ring with four successors would have a diameter of
 * a quarter of the fleet.
 *
 * Records are ordered by incarnation, then beat, then state, so that a suspect refutes
 * its suspicion with a newer beat and an old record never wins.
 *
 * Gossip alone can leave two members with different views for good, for example when a
 * suspicion is refuted on the other side of a cut. Heartbeats therefore carry a digest of
 * the view, and a member that disagrees with a peer for long fetches that peer's view.
 */
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define FLUSH_GAP_US (50 * US_PER_MS)

/* Longer than a change takes to spread, so that ordinary changes cause no transfer. */
#define DISAGREE_US (4000 * US_PER_MS)
#define SYNC_GAP_US (5000 * US_PER_MS)

static void
compare_views (BurdockMembership *membership, BurdockMemberEntry *member, uint64_t digest,
               uint64_t now_us)
{
  if (digest == burdock_membership_digest (membership)) {
    member->disagrees_since_us = 0;
    return;
  }
  if (member->disagrees_since_us == 0)
    member->disagrees_since_us = now_us;
  if (now_us - member->disagrees_since_us < DISAGREE_US || !membership->synced ||
      now_us < membership->next_sync_us)
    return;
  member->disagrees_since_us = now_us;
  membership->synced = false;
  membership->sync_index = 0;
  membership->has_sync_peer = true;
  membership->sync_peer = member->record.control_address;
  membership->sync_limit_us = now_us + SYNC_GAP_US;
}

static void
take_load (BurdockMemberEntry *member, const BurdockHeartbeatMessage *beat)
{
  member->running = beat->running;
  member->queued = beat->queued;
}

/* All but the updates. */
static void
fill_heartbeat (BurdockMembership *membership, BurdockMessage *message)
{
  BurdockCore *core = membership->core;
  BurdockHeartbeatMessage *beat = &message->heartbeat;

  message->header.type = BURDOCK_MSG_HEARTBEAT;
  membership->beat++;
  beat->self = burdock_blackboard_own_record (&core->board, membership->beat);
  beat->member_digest = burdock_membership_digest (membership);
  beat->config_generation = core->board.config.generation;
  beat->config_hash = (BurdockBytes){ core->board.config.hash, BURDOCK_HASH_BYTES };
  beat->running = core->board.usage.running;
  beat->queued = core->board.usage.queued;
}

/* The record of a sender that has not heard of its own leaving notice, or NULL. */
static const BurdockMemberRecord *
missed_notice (BurdockMembership *membership, const BurdockMemberRecord *self)
{
  const BurdockMemberEntry *member =
      burdock_members_find (burdock_membership_members (membership), self->id);

  if (member == NULL || member->record.incarnation != self->incarnation ||
      member->record.state != BURDOCK_MEMBER_LEAVING ||
      self->state != BURDOCK_MEMBER_ALIVE)
    return NULL;
  return &member->record;
}

/* Answers stale suspicions at once and to their sender: a refutation that is spread
 * travels only where it changes a record, which need not lead back to the sender. */
static void
contradict (BurdockMembership *membership, const BurdockHeartbeatMessage *beat)
{
  BurdockMessage *reply = calloc (1, sizeof *reply);
  BurdockHeartbeatMessage *out = &reply->heartbeat;
  const BurdockMemberRecord *notice = missed_notice (membership, &beat->self);

  if (notice != NULL)
    out->updates[out->update_count++] = *notice;
  for (uint32_t i = 0; i < beat->update_count; i++) {
    const BurdockMemberEntry *member =
        burdock_membership_refute (membership, &beat->updates[i]);

    if (member != NULL && out->update_count < BURDOCK_HEARTBEAT_UPDATES_MAX)
      out->updates[out->update_count++] = member->record;
  }
  if (out->update_count > 0) {
    fill_heartbeat (membership, reply);
    burdock_core_send (membership->core, beat->self.control_address, reply);
  }
  free (reply);
}

static void
take_heartbeat (BurdockMembership *membership, const BurdockMessage *message)
{
  const BurdockHeartbeatMessage *beat = &message->heartbeat;
  uint64_t now_us = burdock_core_now (membership->core);
  BurdockMemberEntry *member;

  contradict (membership, beat);
  for (uint32_t i = 0; i < beat->update_count; i++)
    burdock_membership_merge (membership, &beat->updates[i], true, now_us);
  if (beat->self.id != message->header.sender_id ||
      beat->self.incarnation != message->header.sender_incarnation)
    return;
  member = burdock_membership_merge (membership, &beat->self, true, now_us);
  if (member == NULL || member->record.incarnation != beat->self.incarnation)
    return;
  member->last_heard_us = now_us;
  member->silent_since_us = now_us;
  compare_views (membership, member, beat->member_digest, now_us);
  take_load (member, beat);
}

static void
answer_sync (BurdockMembership *membership, const BurdockMessage *message)
{
  const BurdockMembers *members = burdock_membership_members (membership);
  const BurdockMemberSyncMessage *sync = &message->member_sync;
  BurdockMessage *reply = calloc (1, sizeof *reply);
  BurdockMemberPageMessage *page = &reply->member_page;

  reply->header.type = BURDOCK_MSG_MEMBER_PAGE;
  reply->header.target_incarnation = message->header.sender_incarnation;
  page->from_index = sync->from_index;
  page->total = members->count;
  for (uint32_t i = sync->from_index;
       i < members->count && page->record_count < BURDOCK_MEMBER_PAGE_MAX; i++)
    page->records[page->record_count++] = members->items[i].record;
  burdock_core_send (membership->core, sync->reply_to, reply);
  free (reply);
}

static void
end_sync (BurdockMembership *membership, uint64_t now_us)
{
  membership->synced = true;
  membership->has_sync_peer = false;
  membership->next_sync_us = now_us + SYNC_GAP_US;
}

static void
take_page (BurdockMembership *membership, const BurdockMemberPageMessage *page)
{
  uint64_t now_us = burdock_core_now (membership->core);

  for (uint32_t i = 0; i < page->record_count; i++)
    burdock_membership_merge (membership, &page->records[i], false, now_us);
  if (page->from_index != membership->sync_index)
    return;
  membership->sync_index += page->record_count;
  membership->next_sync_us = now_us;
  if (membership->sync_index < page->total && page->record_count > 0)
    return;
  end_sync (membership, now_us);
}

static bool
membership_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  BurdockMembership *membership = ctx;

  switch (message->header.type) {
  case BURDOCK_MSG_HEARTBEAT:
    take_heartbeat (membership, message);
    return true;
  case BURDOCK_MSG_MEMBER_SYNC:
    answer_sync (membership, message);
    return true;
  case BURDOCK_MSG_MEMBER_PAGE:
    take_page (membership, &message->member_page);
    return true;
  default:
    return false;
  }
}

static bool
is_known_address (BurdockMembership *membership, BurdockAddress address)
{
  const BurdockMembers *members = burdock_membership_members (membership);

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;

    if (record->control_address.ipv4 == address.ipv4 &&
        record->control_address.port == address.port &&
        record->state != BURDOCK_MEMBER_REMOVED)
      return true;
  }
  return false;
}

/* Seeds and listed instances that are not members yet hear of this process directly. */
static void
greet_unknown (BurdockMembership *membership, BurdockMessage *message)
{
  BurdockCore *core = membership->core;
  const BurdockSettings *settings = &core->board.self.settings;
  const BurdockInstances *instances = &core->board.instances;

  for (uint32_t i = 0; i < settings->seed_count; i++) {
    if (!is_known_address (membership, settings->seeds[i]))
      burdock_core_send (core, settings->seeds[i], message);
  }
  for (uint32_t i = 0; i < instances->count; i++) {
    const BurdockInstance *instance = &instances->items[i];

    if (strcmp (instance->name, settings->name) != 0 &&
        !is_known_address (membership, instance->control_address))
      burdock_core_send (core, instance->control_address, message);
  }
}

static void
send_heartbeats (BurdockMembership *membership, bool full)
{
  BurdockCore *core = membership->core;
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockHeartbeatMessage *beat = &message->heartbeat;

  fill_heartbeat (membership, message);
  beat->update_count = burdock_membership_take_updates (membership, beat->updates);
  for (uint32_t i = 0; i < membership->target_count; i++) {
    const BurdockMemberEntry *member =
        burdock_members_find (burdock_membership_members (membership),
                              membership->targets[i]);

    if (member != NULL)
      burdock_core_send (core, member->record.control_address, message);
  }
  if (full)
    greet_unknown (membership, message);
  free (message);
}

static void
request_sync (BurdockMembership *membership, uint64_t now_us)
{
  BurdockCore *core = membership->core;
  const BurdockSettings *settings = &core->board.self.settings;
  BurdockMessage message = {
    .header = { .type = BURDOCK_MSG_MEMBER_SYNC },
    .member_sync = { .from_index = membership->sync_index,
                     .reply_to = settings->control_address },
  };
  uint32_t count = burdock_membership_members (membership)->count;
  uint64_t pick = burdock_core_random (core);

  if (membership->has_sync_peer && now_us >= membership->sync_limit_us) {
    end_sync (membership, now_us); /* the peer is gone; another one will differ too */
    return;
  }
  membership->next_sync_us = now_us + BURDOCK_HEARTBEAT_PERIOD_US;
  if (membership->has_sync_peer)
    burdock_core_send (core, membership->sync_peer, &message);
  else if (settings->seed_count > 0)
    burdock_core_send (core, settings->seeds[pick % settings->seed_count], &message);
  else if (count > 0)
    burdock_core_send (core,
                       burdock_membership_members (membership)
                           ->items[pick % count]
                           .record.control_address,
                       &message);
}

/* Own changes that must not wait for the next regular heartbeat. */
static void
check_own_changes (BurdockMembership *membership)
{
  const BurdockBlackboard *board = &membership->core->board;

  if (board->self.leaving != membership->announced_leaving ||
      board->config.generation != membership->announced_generation) {
    membership->announced_leaving = board->self.leaving;
    membership->announced_generation = board->config.generation;
    membership->flush = true;
  }
}

static uint64_t
membership_tick (void *ctx, uint64_t now_us)
{
  BurdockMembership *membership = ctx;
  bool regular = now_us >= membership->next_beat_us;

  burdock_membership_forgive_pause (membership, now_us);
  check_own_changes (membership);
  if (regular) {
    burdock_membership_watch (membership, now_us);
    burdock_membership_choose_targets (membership);
  }
  if (regular || (membership->flush && now_us >= membership->next_flush_us)) {
    membership->flush = false;
    membership->next_flush_us = now_us + FLUSH_GAP_US;
    send_heartbeats (membership, regular);
  }
  if (regular)
    membership->next_beat_us = now_us + BURDOCK_HEARTBEAT_PERIOD_US;
  if (!membership->synced && now_us >= membership->next_sync_us)
    request_sync (membership, now_us);
  if (membership->flush && membership->next_flush_us < membership->next_beat_us)
    return membership->next_flush_us;
  return membership->next_beat_us;
}

static void
membership_free (void *ctx)
{
  BurdockMembership *membership = ctx;

  free (membership->pending);
  free (membership);
}

BurdockController
burdock_membership_controller (BurdockCore *core, uint32_t index)
{
  BurdockMembership *membership = calloc (1, sizeof *membership);

  membership->core = core;
  membership->members_revision = 1;
  /* Spreads the beats of a fleet that starts at once over the period. */
  membership->next_beat_us =
      burdock_core_now (core) +
      burdock_core_random (core) % (BURDOCK_HEARTBEAT_PERIOD_US / 4);
  return (BurdockController){
    .name = "membership",
    .ctx = membership,
    .tick = membership_tick,
    .message = membership_message,
    .free = membership_free,
  };
}
