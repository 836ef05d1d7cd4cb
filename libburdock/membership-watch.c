/**
 * DOC: membership-watch.c - rings, suspicion and removal
 */
#include "hash.h"
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define REMOVE_AFTER_US (8000 * US_PER_MS)
#define FORGET_AFTER_US (120000 * US_PER_MS)
#define UNLISTED_REMOVE_US (30000 * US_PER_MS)

/* A gap between ticks above this means that this process was paused: what it did not
 * hear meanwhile says nothing about others. */
#define PAUSE_US (1000 * US_PER_MS)

/* If more than this part of all members is silent at once, the cause is the network. */
#define CORRELATED_FRACTION 5

static bool
is_target (const BurdockMembership *membership, uint64_t id)
{
  for (uint32_t i = 0; i < membership->target_count; i++) {
    if (membership->targets[i] == id)
      return true;
  }
  return false;
}

/* Successor of this process on @ring; with @live_only, the next one that is alive. */
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

/* A suspected successor is still sent to, as it may come back, but beside a live one.
 * Done at regular beats only: each round looks at all members, and a fleet that starts at
 * once changes with every message. */
void
burdock_membership_choose_targets (BurdockMembership *membership)
{
  if (membership->watched_revision == membership->members_revision)
    return;
  membership->watched_revision = membership->members_revision;
  membership->target_count = 0;
  for (uint32_t ring = 0; ring < BURDOCK_RING_COUNT; ring++) {
    for (uint32_t live = 0; live < 2; live++) {
      const BurdockMemberEntry *member = ring_successor (membership, ring, live == 1);

      if (member != NULL && !is_target (membership, member->record.id))
        membership->targets[membership->target_count++] = member->record.id;
    }
  }
}

/* True if this process is the predecessor of @member on one of the rings and so is the
 * one to hear its heartbeats; the watch is on those that send to this process. */
static bool
sends_to_us (BurdockMembership *membership, const BurdockMemberEntry *member)
{
  const BurdockMembers *members = burdock_membership_members (membership);
  uint64_t self_id = membership->core->board.self.member_id;

  for (uint32_t ring = 0; ring < BURDOCK_RING_COUNT; ring++) {
    uint64_t start = burdock_hash_pair (member->record.id, ring);
    uint64_t own_distance = burdock_hash_pair (self_id, ring) - start;
    bool nearer = false;

    for (uint32_t i = 0; i < members->count && !nearer; i++) {
      const BurdockMemberEntry *other = &members->items[i];

      if (other == member || other->record.state == BURDOCK_MEMBER_REMOVED ||
          other->record.state == BURDOCK_MEMBER_SUSPECT)
        continue;
      nearer = burdock_hash_pair (other->record.id, ring) - start < own_distance;
    }
    if (!nearer)
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
    if (!sends_to_us (membership, member)) {
      member->silent_since_us = now_us; /* others watch it */
      continue;
    }
    burdock_membership_set_state (membership, member, BURDOCK_MEMBER_SUSPECT, now_us);
  }
}

/* Whether so many are silent that the cause is taken to be the network: more than a
 * fifth of all, or all that are known of the failure domain of @member. */
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
  return silent * CORRELATED_FRACTION > known ||
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

  if (silent_us < REMOVE_AFTER_US)
    return false;
  if (!silence_is_correlated (burdock_membership_members (membership), member))
    return true;
  return silent_us >= UNLISTED_REMOVE_US &&
         instances->read_us > member->suspect_since_us + UNLISTED_REMOVE_US &&
         !is_listed (instances, member->record.name);
}

static void
remove_and_forget (BurdockMembership *membership, uint64_t now_us)
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
        now_us - member->silent_since_us > FORGET_AFTER_US)
      continue;
    members->items[kept++] = *member;
  }
  if (kept == members->count)
    return;
  members->count = kept;
  burdock_members_reindex (members);
}

/* The list's notice is taken over as a record of the same beat with a higher state. */
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

/* After a pause of this process, nobody is suspected for what it could not hear. */
void
burdock_membership_forgive_pause (BurdockMembership *membership, uint64_t now_us)
{
  BurdockMembers *members = burdock_membership_members (membership);
  uint64_t last_us = membership->last_tick_us;

  membership->last_tick_us = now_us;
  if (last_us == 0 || now_us - last_us < PAUSE_US + BURDOCK_HEARTBEAT_PERIOD_US)
    return;
  for (uint32_t i = 0; i < members->count; i++) {
    members->items[i].silent_since_us = now_us;
    if (members->items[i].suspect_since_us != 0)
      members->items[i].suspect_since_us = now_us;
  }
}

static void
count_members (BurdockMembership *membership)
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
burdock_membership_watch (BurdockMembership *membership, uint64_t now_us)
{
  apply_leaving_notices (membership, now_us);
  suspect_silent (membership, now_us);
  remove_and_forget (membership, now_us);
  count_members (membership);
}
