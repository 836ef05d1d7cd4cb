/**
 * DOC: membership-watch.c - heartbeat targets, suspicion and removal of members
 */
#include "hash.h"
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Times from the suspicion of a member to its removal: the usual one, and the one that
 * applies while the network may be the cause, for members that the platform no longer
 * lists. */
#define REMOVE_SUSPECT_AFTER_US (8000 * US_PER_MS)
#define REMOVE_UNLISTED_AFTER_US (30000 * US_PER_MS)

/* Time from the removal of a member to the deletion of its record. */
#define PURGE_AFTER_US (120000 * US_PER_MS)

/* If two ticks are this much more than a heartbeat period apart, this process was paused;
 * heartbeats missed meanwhile are no evidence that other members failed. */
#define PAUSE_MIN_US (1000 * US_PER_MS)

/* If more than one in this many members is silent at once, the network is taken to be the
 * cause. */
#define CORRELATED_DIVISOR 5

static bool
is_target (const BurdockMembership *membership, uint64_t id)
{
  for (uint32_t i = 0; i < membership->target_count; i++) {
    if (membership->targets[i] == id)
      return true;
  }
  return false;
}

/* Successor of this process on @ring; with @live_only, suspected members are skipped. */
static const BurdockMemberEntry *
ring_successor (BurdockMembership *membership, uint32_t ring, bool live_only)
{
  const BurdockMembers *members = burdock_membership_members (membership);
  uint64_t own = burdock_hash_pair (membership->core->board.self.member_id, ring);
  const BurdockMemberEntry *best = NULL;
  uint64_t best_distance = UINT64_MAX;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberEntry *member = &members->items[i];
    uint64_t distance = burdock_hash_pair (member->record.id, ring) - own;

    if (member->record.state == BURDOCK_MEMBER_REMOVED)
      continue;
    if (live_only && member->record.state == BURDOCK_MEMBER_SUSPECT)
      continue;
    if (distance < best_distance) {
      best = member;
      best_distance = distance;
    }
  }
  return best;
}

/* A suspected successor stays a target, as it may recover, and the next live member is
 * added to it. Called at regular heartbeats only: a call iterates over all members on
 * each ring, and while a fleet starts the members change with every message. */
void
burdock_membership_choose_targets (BurdockMembership *membership)
{
  if (membership->targets_revision == membership->members_revision)
    return;
  membership->targets_revision = membership->members_revision;
  membership->target_count = 0;
  for (uint32_t ring = 0; ring < BURDOCK_RING_COUNT; ring++) {
    for (uint32_t live = 0; live < 2; live++) {
      const BurdockMemberEntry *member = ring_successor (membership, ring, live == 1);

      if (member != NULL && !is_target (membership, member->record.id))
        membership->targets[membership->target_count++] = member->record.id;
    }
  }
}

/* Whether this process is the successor of @member on one of the rings. It then receives
 * the heartbeats of @member and is responsible for detecting their absence. */
static bool
is_watched_here (BurdockMembership *membership, const BurdockMemberEntry *member)
{
  const BurdockMembers *members = burdock_membership_members (membership);
  uint64_t self_id = membership->core->board.self.member_id;

  for (uint32_t ring = 0; ring < BURDOCK_RING_COUNT; ring++) {
    uint64_t start = burdock_hash_pair (member->record.id, ring);
    uint64_t own_distance = burdock_hash_pair (self_id, ring) - start;
    bool nearer_exists = false;

    for (uint32_t i = 0; i < members->count && !nearer_exists; i++) {
      const BurdockMemberEntry *other = &members->items[i];

      if (other == member || other->record.state == BURDOCK_MEMBER_REMOVED ||
          other->record.state == BURDOCK_MEMBER_SUSPECT)
        continue;
      nearer_exists = burdock_hash_pair (other->record.id, ring) - start < own_distance;
    }
    if (!nearer_exists)
      return true;
  }
  return false;
}

static void
suspect_silent (BurdockMembership *membership, uint64_t now_us)
{
  BurdockMembers *members = burdock_membership_members (membership);

  for (uint32_t i = 0; i < members->count; i++) {
    BurdockMemberEntry *member = &members->items[i];
    uint32_t state = member->record.state;

    if (state != BURDOCK_MEMBER_ALIVE && state != BURDOCK_MEMBER_LEAVING)
      continue;
    if (now_us - member->silent_since_us < BURDOCK_SUSPECT_AFTER_US)
      continue;
    if (!is_watched_here (membership, member)) {
      member->silent_since_us = now_us; /* its successors watch it */
      continue;
    }
    burdock_membership_set_state (membership, member, BURDOCK_MEMBER_SUSPECT, now_us);
  }
}

/* Whether so many members are suspected that the network is taken to be the cause: more
 * than a fifth of all, or all known members in the failure domain of @member; at least
 * two in any case. */
static bool
silence_is_correlated (const BurdockMembers *members, const BurdockMemberEntry *member)
{
  uint32_t known = 0;
  uint32_t silent = 0;
  uint32_t domain_known = 0;
  uint32_t domain_silent = 0;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;
    bool is_silent = record->state == BURDOCK_MEMBER_SUSPECT;

    if (record->state == BURDOCK_MEMBER_REMOVED)
      continue;
    known++;
    silent += is_silent;
    if (strcmp (record->failure_domain, member->record.failure_domain) != 0)
      continue;
    domain_known++;
    domain_silent += is_silent;
  }
  if (silent < 2)
    return false;
  return silent * CORRELATED_DIVISOR > known ||
         (domain_known > 1 && domain_silent == domain_known);
}

static bool
is_listed (const BurdockInstances *instances, const char *name)
{
  for (uint32_t i = 0; i < instances->count; i++) {
    if (strcmp (instances->items[i].name, name) == 0)
      return true;
  }
  return false;
}

static bool
may_remove (BurdockMembership *membership, const BurdockMemberEntry *member,
            uint64_t now_us)
{
  const BurdockInstances *instances = &membership->core->board.instances;
  uint64_t silent_us = now_us - member->suspect_since_us;

  if (silent_us < REMOVE_SUSPECT_AFTER_US)
    return false;
  if (!silence_is_correlated (burdock_membership_members (membership), member))
    return true;
  return silent_us >= REMOVE_UNLISTED_AFTER_US &&
         instances->read_us > member->suspect_since_us + REMOVE_UNLISTED_AFTER_US &&
         !is_listed (instances, member->record.name);
}

static void
remove_and_purge_members (BurdockMembership *membership, uint64_t now_us)
{
  BurdockMembers *members = burdock_membership_members (membership);
  uint32_t kept = 0;

  for (uint32_t i = 0; i < members->count; i++) {
    BurdockMemberEntry *member = &members->items[i];

    if (member->record.state == BURDOCK_MEMBER_SUSPECT &&
        may_remove (membership, member, now_us))
      burdock_membership_set_state (membership, member, BURDOCK_MEMBER_REMOVED, now_us);
  }
  for (uint32_t i = 0; i < members->count; i++) {
    BurdockMemberEntry *member = &members->items[i];

    if (member->record.state == BURDOCK_MEMBER_REMOVED &&
        now_us - member->silent_since_us > PURGE_AFTER_US)
      continue;
    members->items[kept++] = *member;
  }
  if (kept == members->count)
    return;
  members->count = kept;
  burdock_members_reindex (members);
}

/* Marks members that the instance list reports as leaving. The record keeps its heartbeat
 * sequence and gets a higher state, so it replaces the former one at other members. */
static void
apply_leaving_notices (BurdockMembership *membership, uint64_t now_us)
{
  const BurdockInstances *instances = &membership->core->board.instances;

  for (uint32_t i = 0; i < instances->count; i++) {
    const BurdockInstance *instance = &instances->items[i];
    BurdockMemberEntry *member;

    if (instance->state != BURDOCK_INSTANCE_LEAVING)
      continue;
    member = burdock_members_find (burdock_membership_members (membership),
                                   burdock_member_id (instance->name));
    if (member != NULL && member->record.state == BURDOCK_MEMBER_ALIVE)
      burdock_membership_set_state (membership, member, BURDOCK_MEMBER_LEAVING, now_us);
  }
}

void
burdock_membership_reset_after_pause (BurdockMembership *membership, uint64_t now_us)
{
  BurdockMembers *members = burdock_membership_members (membership);
  uint64_t last_us = membership->last_tick_us;

  membership->last_tick_us = now_us;
  if (last_us == 0 || now_us - last_us < PAUSE_MIN_US + BURDOCK_HEARTBEAT_PERIOD_US)
    return;
  for (uint32_t i = 0; i < members->count; i++) {
    members->items[i].silent_since_us = now_us;
    if (members->items[i].suspect_since_us != 0)
      members->items[i].suspect_since_us = now_us;
  }
}

static void
update_member_gauges (BurdockMembership *membership)
{
  const BurdockMembers *members = burdock_membership_members (membership);
  uint64_t alive = 0;
  uint64_t suspect = 0;

  for (uint32_t i = 0; i < members->count; i++) {
    alive += members->items[i].record.state == BURDOCK_MEMBER_ALIVE;
    suspect += members->items[i].record.state == BURDOCK_MEMBER_SUSPECT;
  }
  burdock_gauge (&membership->core->counters, BURDOCK_COUNTER_MEMBERS_ALIVE, alive);
  burdock_gauge (&membership->core->counters, BURDOCK_COUNTER_MEMBERS_SUSPECT, suspect);
}

void
burdock_membership_detect_failures (BurdockMembership *membership, uint64_t now_us)
{
  apply_leaving_notices (membership, now_us);
  suspect_silent (membership, now_us);
  remove_and_purge_members (membership, now_us);
  update_member_gauges (membership);
}
