/**
 * DOC: membership-records.c - order, merging and distribution of member records
 */
#include "hash.h"
#include "membership.h"

#include <stdlib.h>
#include <string.h>

/* Number of heartbeats that carry an updated record. Each goes to the successors on four
 * rings, so every member has four predecessors times two rounds to receive it from.
 * 3 log2(n) rounds cost sixteen times the bytes at 930 members and are no faster. */
#define GOSSIP_ROUNDS 2

void
burdock_membership_queue_update (BurdockMembership *membership, uint64_t id)
{
  membership->early_heartbeat = true;
  for (uint32_t i = 0; i < membership->pending_count; i++) {
    if (membership->pending[i].id == id) {
      membership->pending[i].sends_left = GOSSIP_ROUNDS;
      return;
    }
  }
  if (membership->pending_count == membership->pending_allocated) {
    membership->pending_allocated = 2 * membership->pending_allocated + 16;
    membership->pending = realloc (membership->pending, membership->pending_allocated *
                                                            sizeof *membership->pending);
  }
  membership->pending[membership->pending_count++] =
      (BurdockPendingUpdate){ .id = id, .sends_left = GOSSIP_ROUNDS };
}

static void
log_member_event (BurdockMembership *membership, const BurdockMemberEntry *member,
                  const char *step)
{
  char peer[24];

  burdock_address_format (member->record.control_address, peer, sizeof peer);
  burdock_timeline_add (membership->core->timeline, BURDOCK_LOG_INFO,
                        BURDOCK_EVENT_MEMBER, step, peer, member->record.name,
                        "beat %llu",
                        (unsigned long long)member->record.heartbeat_sequence);
}

void
burdock_membership_mark_changed (BurdockMembership *membership)
{
  membership->members_revision++;
  burdock_blackboard_touch (&membership->core->board);
}

static const char *const state_steps[] = {
  [BURDOCK_MEMBER_ALIVE] = "member alive",
  [BURDOCK_MEMBER_SUSPECT] = "member suspected",
  [BURDOCK_MEMBER_LEAVING] = "member leaving",
  [BURDOCK_MEMBER_REMOVED] = "member removed",
};

void
burdock_membership_set_state (BurdockMembership *membership, BurdockMemberEntry *member,
                              uint32_t state, uint64_t now_us)
{
  if (member->record.state == state)
    return;
  member->record.state = state;
  member->suspect_since_us = state == BURDOCK_MEMBER_SUSPECT ? now_us : 0;
  if (state == BURDOCK_MEMBER_REMOVED) {
    member->silent_since_us = now_us;
    burdock_count (&membership->core->counters, BURDOCK_COUNTER_MEMBERS_REMOVED, 1);
  }
  log_member_event (membership, member, state_steps[state]);
  burdock_membership_mark_changed (membership);
  burdock_membership_queue_update (membership, member->record.id);
}

static bool
record_is_newer (const BurdockMemberRecord *a, const BurdockMemberRecord *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  if (a->heartbeat_sequence != b->heartbeat_sequence)
    return a->heartbeat_sequence > b->heartbeat_sequence;
  return a->state > b->state;
}

/* Compares the fields whose changes are forwarded to others. Heartbeat sequences are not
 * forwarded, nor are generations: with each change of configuration, each of 930 members
 * would distribute its record to all others, which is 15 KB/s per process at 450 changes
 * a day. */
static bool
record_differs (const BurdockMemberRecord *a, const BurdockMemberRecord *b)
{
  return a->incarnation != b->incarnation || a->state != b->state ||
         a->capacity != b->capacity;
}

static bool
record_is_valid (const BurdockMemberRecord *record)
{
  return record->id != 0 && record->name[0] != '\0' &&
         record->id == burdock_member_id (record->name) &&
         record->state >= BURDOCK_MEMBER_ALIVE &&
         record->state <= BURDOCK_MEMBER_REMOVED &&
         (record->role == BURDOCK_ROLE_ENTRY || record->role == BURDOCK_ROLE_AGENT);
}

BurdockMemberEntry *
burdock_membership_merge (BurdockMembership *membership,
                          const BurdockMemberRecord *record, bool forward,
                          uint64_t now_us)
{
  BurdockMembers *members = burdock_membership_members (membership);
  BurdockMemberEntry *member;
  BurdockMemberRecord old;
  bool restarted;
  bool differs;
  bool leaving;

  if (record->id == membership->core->board.self.member_id || !record_is_valid (record))
    return NULL;
  member = burdock_members_find (members, record->id);
  if (member == NULL) {
    if (record->state == BURDOCK_MEMBER_REMOVED)
      return NULL;
    member = burdock_members_insert (members, record->id);
  }
  if (!record_is_newer (record, &member->record))
    return member;
  restarted = record->incarnation != member->record.incarnation;
  leaving = !restarted && member->record.state == BURDOCK_MEMBER_LEAVING;
  old = member->record;
  member->record = *record;
  if (leaving && record->state == BURDOCK_MEMBER_ALIVE)
    member->record.state =
        BURDOCK_MEMBER_LEAVING; /* leaving is final for an incarnation */
  differs = record_differs (&member->record, &old);
  member->suspect_since_us = record->state == BURDOCK_MEMBER_SUSPECT ? now_us : 0;
  if (restarted)
    member->first_seen_us = now_us;
  if (record->state != BURDOCK_MEMBER_SUSPECT && record->state != BURDOCK_MEMBER_REMOVED)
    member->silent_since_us = now_us; /* a newer heartbeat: the member is alive */
  if (differs) {
    log_member_event (membership, member,
                      restarted ? "member joined"
                      : old.state != member->record.state
                          ? state_steps[member->record.state]
                          : "member record changed");
    burdock_membership_mark_changed (membership);
    if (forward)
      burdock_membership_queue_update (membership, record->id);
  }
  return member;
}

const BurdockMemberEntry *
burdock_membership_refute (BurdockMembership *membership,
                           const BurdockMemberRecord *record)
{
  const BurdockMemberEntry *member;

  if (record->state != BURDOCK_MEMBER_SUSPECT && record->state != BURDOCK_MEMBER_REMOVED)
    return NULL;
  if (record->id == membership->core->board.self.member_id) {
    if (record->incarnation == membership->core->board.self.settings.incarnation &&
        record->heartbeat_sequence >= membership->heartbeat_sequence)
      membership->heartbeat_sequence = record->heartbeat_sequence + 1;
    membership->early_heartbeat = true;
    return NULL;
  }
  member = burdock_members_find (burdock_membership_members (membership), record->id);
  if (member == NULL || !record_is_newer (&member->record, record) ||
      member->record.state == BURDOCK_MEMBER_SUSPECT ||
      member->record.state == BURDOCK_MEMBER_REMOVED)
    return NULL;
  return member;
}

static uint64_t
digest_record (uint64_t id, uint64_t incarnation, uint32_t state)
{
  return burdock_hash_pair (burdock_hash_pair (id, incarnation), state);
}

/* XOR of the record digests, as the order of members differs between processes. */
uint64_t
burdock_membership_digest (BurdockMembership *membership)
{
  const BurdockSelf *self = &membership->core->board.self;
  const BurdockMembers *members = burdock_membership_members (membership);

  if (membership->digest_revision == membership->members_revision &&
      membership->digest_leaving == self->leaving)
    return membership->digest;
  membership->digest_revision = membership->members_revision;
  membership->digest_leaving = self->leaving;
  membership->digest =
      digest_record (self->member_id, self->settings.incarnation,
                     self->leaving ? BURDOCK_MEMBER_LEAVING : BURDOCK_MEMBER_ALIVE);
  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;

    if (record->state != BURDOCK_MEMBER_REMOVED)
      membership->digest ^=
          digest_record (record->id, record->incarnation, record->state);
  }
  return membership->digest;
}

/* Moves the first @by updates to the end of the queue, so that a queue longer than one
 * heartbeat does not send the same records again and again. */
static void
rotate_updates (BurdockMembership *membership, uint32_t by)
{
  uint32_t count = membership->pending_count;
  BurdockPendingUpdate head[BURDOCK_HEARTBEAT_UPDATES_MAX];

  if (count <= by || by == 0)
    return;
  memcpy (head, membership->pending, by * sizeof *head);
  memmove (membership->pending, membership->pending + by, (count - by) * sizeof *head);
  memcpy (membership->pending + count - by, head, by * sizeof *head);
}

uint32_t
burdock_membership_dequeue_updates (BurdockMembership *membership,
                                    BurdockMemberRecord *out)
{
  uint32_t count = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < membership->pending_count; i++) {
    BurdockPendingUpdate *update = &membership->pending[i];
    const BurdockMemberEntry *member =
        burdock_members_find (burdock_membership_members (membership), update->id);

    if (member != NULL && count < BURDOCK_HEARTBEAT_UPDATES_MAX) {
      out[count++] = member->record;
      update->sends_left--;
    }
    if (member != NULL && update->sends_left > 0)
      membership->pending[kept++] = *update;
  }
  membership->pending_count = kept;
  rotate_updates (membership, count);
  return count;
}
