/**
 * DOC: membership.h - state of the membership controller, shared by its parts
 */
#ifndef BURDOCK_MEMBERSHIP_H
#define BURDOCK_MEMBERSHIP_H

#include "controller.h"

#define BURDOCK_RING_COUNT 4
#define BURDOCK_TARGETS_MAX (2 * BURDOCK_RING_COUNT)
#define BURDOCK_HEARTBEAT_PERIOD_US UINT64_C (1000000)

/* Three missed heartbeats and half a period. */
#define BURDOCK_SUSPECT_AFTER_US UINT64_C (3500000)

/** struct BurdockPendingUpdate - record that is still to be spread */
typedef struct {
  uint64_t id;
  uint32_t sends_left;
} BurdockPendingUpdate;

/**
 * struct BurdockMembership - state of the controller
 * @members_revision: raised at each change of a record that others must learn of
 * @targets: members that heartbeats are sent to
 * @synced: whether the members of a peer have been fetched
 */
typedef struct {
  BurdockCore *core;
  uint64_t beat;
  uint64_t next_beat_us;
  uint64_t next_flush_us;
  uint64_t last_tick_us;
  bool flush;
  bool announced_leaving;
  uint64_t announced_generation;
  uint64_t watched_revision;
  uint64_t members_revision;
  uint32_t target_count;
  uint64_t targets[BURDOCK_TARGETS_MAX];
  uint32_t pending_count;
  uint32_t pending_allocated;
  BurdockPendingUpdate *pending;
  bool synced;
  uint32_t sync_index;
  uint64_t next_sync_us;
  bool has_sync_peer;
  BurdockAddress sync_peer;
  uint64_t sync_limit_us;
  uint64_t digest;
  uint64_t digest_revision;
  bool digest_leaving;
} BurdockMembership;

static inline BurdockMembers *
burdock_membership_members (BurdockMembership *membership)
{
  return &membership->core->board.members;
}

/** burdock_membership_spread() - queues the record of @id and asks for an early heartbeat
 */
void burdock_membership_spread (BurdockMembership *membership, uint64_t id);
void burdock_membership_changed (BurdockMembership *membership);
void burdock_membership_set_state (BurdockMembership *membership,
                                   BurdockMemberEntry *member, uint32_t state,
                                   uint64_t now_us);

/**
 * burdock_membership_merge() - takes over a record heard from a peer
 * @pass_on: false for a record of a page, as the members it came from have spread it
 * Returns the member, or NULL for a record about this process or an unsound one.
 */
BurdockMemberEntry *burdock_membership_merge (BurdockMembership *membership,
                                              const BurdockMemberRecord *record,
                                              bool pass_on, uint64_t now_us);

/**
 * burdock_membership_refute() - newer record that contradicts the suspicion in @record
 * Returns the member, or NULL if there is none. A suspicion about this process raises its
 * beat.
 */
const BurdockMemberEntry *burdock_membership_refute (BurdockMembership *membership,
                                                     const BurdockMemberRecord *record);

/** burdock_membership_digest() - digest of the view of all members, this one included */
uint64_t burdock_membership_digest (BurdockMembership *membership);

/** burdock_membership_take_updates() - fills @out with the next records to spread */
uint32_t burdock_membership_take_updates (BurdockMembership *membership,
                                          BurdockMemberRecord *out);
void burdock_membership_choose_targets (BurdockMembership *membership);

/** burdock_membership_watch() - suspects and removes silent members */
void burdock_membership_watch (BurdockMembership *membership, uint64_t now_us);

/** burdock_membership_forgive_pause() - forgets silence while this process was paused */
void burdock_membership_forgive_pause (BurdockMembership *membership, uint64_t now_us);

#endif
