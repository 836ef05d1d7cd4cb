/**
 * DOC: membership-controller.c - group membership by heartbeats and gossip
 *
 * Members are ordered on BURDOCK_RING_COUNT rings, on each by a different hash of the
 * member id. A member sends its heartbeats to its successor on every ring. So each member
 * is watched by BURDOCK_RING_COUNT others, the cost per member does not grow with the
 * fleet, and changes propagate over a random graph of logarithmic diameter. One ring with
 * four successors would have a diameter of a quarter of the fleet.
 *
 * Records are ordered by incarnation, then heartbeat sequence, then state. A suspected
 * member refutes the suspicion with a higher heartbeat sequence, and an old record never
 * replaces a newer one.
 *
 * Gossip alone can leave two members with permanently different views, for example when a
 * suspicion is refuted on the other side of a network partition. Heartbeats therefore
 * carry a digest of the view, and a member whose digest differs from that of a peer for
 * DISAGREEMENT_LIMIT_US fetches the peer's view (anti-entropy).
 */
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Least time from any heartbeat to the next early one. */
#define HEARTBEAT_GAP_US (50 * US_PER_MS)

/* Longer than a change takes to propagate, so that ordinary changes cause no transfer. */
#define DISAGREEMENT_LIMIT_US (4000 * US_PER_MS)

/* Least time from the end of a transfer to the next, and longest duration of one. */
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
  if (now_us - member->disagrees_since_us < DISAGREEMENT_LIMIT_US ||
      !membership->synced || now_us < membership->next_sync_us)
    return;
  member->disagrees_since_us = now_us;
  membership->synced = false;
  membership->sync_index = 0;
  membership->has_sync_peer = true;
  membership->sync_peer = member->record.control_address;
  membership->sync_deadline_us = now_us + SYNC_GAP_US;
}

static void
update_load (BurdockMemberEntry *member, const BurdockHeartbeatMessage *heartbeat)
{
  member->running = heartbeat->running;
  member->queued = heartbeat->queued;
}

/* Fills in all fields except the updates. */
static void
fill_heartbeat (BurdockMembership *membership, BurdockMessage *message)
{
  BurdockCore *core = membership->core;
  BurdockHeartbeatMessage *heartbeat = &message->heartbeat;

  message->header.type = BURDOCK_MSG_HEARTBEAT;
  membership->heartbeat_sequence++;
  heartbeat->self =
      burdock_blackboard_own_record (&core->board, membership->heartbeat_sequence);
  heartbeat->member_digest = burdock_membership_digest (membership);
  heartbeat->config_generation = core->board.config.generation;
  heartbeat->config_hash = (BurdockBytes){ core->board.config.hash, BURDOCK_HASH_BYTES };
  heartbeat->running = core->board.usage.running;
  heartbeat->queued = core->board.usage.queued;
}

/* Record that marks the sender of @self as leaving, if it does not know this itself,
 * otherwise NULL. */
static const BurdockMemberRecord *
missed_leaving_record (BurdockMembership *membership, const BurdockMemberRecord *self)
{
  const BurdockMemberEntry *member =
      burdock_members_find (burdock_membership_members (membership), self->id);

  if (member == NULL || member->record.incarnation != self->incarnation ||
      member->record.state != BURDOCK_MEMBER_LEAVING ||
      self->state != BURDOCK_MEMBER_ALIVE)
    return NULL;
  return &member->record;
}

/* Replies to outdated suspicions directly to their sender: gossip forwards a refutation
 * only where it changes a record, so it need not reach the sender. */
static void
send_refutations (BurdockMembership *membership, const BurdockHeartbeatMessage *heartbeat)
{
  BurdockMessage *reply = calloc (1, sizeof *reply);
  BurdockHeartbeatMessage *out = &reply->heartbeat;
  const BurdockMemberRecord *leaving_record =
      missed_leaving_record (membership, &heartbeat->self);

  if (leaving_record != NULL)
    out->updates[out->update_count++] = *leaving_record;
  for (uint32_t i = 0; i < heartbeat->update_count; i++) {
    const BurdockMemberEntry *member =
        burdock_membership_refute (membership, &heartbeat->updates[i]);

    if (member != NULL && out->update_count < BURDOCK_HEARTBEAT_UPDATES_MAX)
      out->updates[out->update_count++] = member->record;
  }
  if (out->update_count > 0) {
    fill_heartbeat (membership, reply);
    burdock_core_send (membership->core, heartbeat->self.control_address, reply);
  }
  free (reply);
}

static void
handle_heartbeat (BurdockMembership *membership, const BurdockMessage *message)
{
  const BurdockHeartbeatMessage *heartbeat = &message->heartbeat;
  uint64_t now_us = burdock_core_now (membership->core);
  BurdockMemberEntry *member;

  send_refutations (membership, heartbeat);
  for (uint32_t i = 0; i < heartbeat->update_count; i++)
    burdock_membership_merge (membership, &heartbeat->updates[i], true, now_us);
  if (heartbeat->self.id != message->header.sender_id ||
      heartbeat->self.incarnation != message->header.sender_incarnation)
    return;
  member = burdock_membership_merge (membership, &heartbeat->self, true, now_us);
  if (member == NULL || member->record.incarnation != heartbeat->self.incarnation)
    return;
  member->last_heartbeat_us = now_us;
  member->silent_since_us = now_us;
  compare_views (membership, member, heartbeat->member_digest, now_us);
  update_load (member, heartbeat);
}

static void
handle_sync (BurdockMembership *membership, const BurdockMessage *message)
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
handle_page (BurdockMembership *membership, const BurdockMemberPageMessage *page)
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
    handle_heartbeat (membership, message);
    return true;
  case BURDOCK_MSG_MEMBER_SYNC:
    handle_sync (membership, message);
    return true;
  case BURDOCK_MSG_MEMBER_PAGE:
    handle_page (membership, &message->member_page);
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

/* Sends the heartbeat to seeds and listed instances that are not known as members. */
static void
contact_non_members (BurdockMembership *membership, BurdockMessage *message)
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
send_heartbeats (BurdockMembership *membership, bool regular)
{
  BurdockCore *core = membership->core;
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockHeartbeatMessage *heartbeat = &message->heartbeat;

  fill_heartbeat (membership, message);
  heartbeat->update_count =
      burdock_membership_dequeue_updates (membership, heartbeat->updates);
  for (uint32_t i = 0; i < membership->target_count; i++) {
    const BurdockMemberEntry *member =
        burdock_members_find (burdock_membership_members (membership),
                              membership->targets[i]);

    if (member != NULL)
      burdock_core_send (core, member->record.control_address, message);
  }
  if (regular)
    contact_non_members (membership, message);
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

  if (membership->has_sync_peer && now_us >= membership->sync_deadline_us) {
    /* The peer is gone. If views still differ, the digest of another peer shows it. */
    end_sync (membership, now_us);
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

/* Requests an early heartbeat for changes of this process that must not wait for the next
 * regular one. */
static void
check_own_changes (BurdockMembership *membership)
{
  const BurdockBlackboard *board = &membership->core->board;

  if (board->self.leaving != membership->announced_leaving ||
      board->config.generation != membership->announced_generation) {
    membership->announced_leaving = board->self.leaving;
    membership->announced_generation = board->config.generation;
    membership->early_heartbeat = true;
  }
}

static uint64_t
membership_tick (void *ctx, uint64_t now_us)
{
  BurdockMembership *membership = ctx;
  bool regular = now_us >= membership->next_heartbeat_us;

  burdock_membership_reset_after_pause (membership, now_us);
  check_own_changes (membership);
  if (regular) {
    burdock_membership_detect_failures (membership, now_us);
    burdock_membership_choose_targets (membership);
  }
  if (regular || (membership->early_heartbeat && now_us >= membership->next_early_us)) {
    membership->early_heartbeat = false;
    membership->next_early_us = now_us + HEARTBEAT_GAP_US;
    send_heartbeats (membership, regular);
  }
  if (regular)
    membership->next_heartbeat_us = now_us + BURDOCK_HEARTBEAT_PERIOD_US;
  if (!membership->synced && now_us >= membership->next_sync_us)
    request_sync (membership, now_us);
  if (membership->early_heartbeat &&
      membership->next_early_us < membership->next_heartbeat_us)
    return membership->next_early_us;
  return membership->next_heartbeat_us;
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
  /* Distributes the heartbeats of a fleet that starts simultaneously over a quarter of
   * the period. */
  membership->next_heartbeat_us =
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
