/**
 * DOC: membership.h - membership controller, declarations shared by its source files
 *
 * membership-controller.c handles messages and timing, membership-records.c merges and
 * distributes member records, membership-watch.c chooses heartbeat targets and detects
 * failed members.
 */
#ifndef BURDOCK_MEMBERSHIP_H
#define BURDOCK_MEMBERSHIP_H

#include "controller.h"

#define BURDOCK_RING_COUNT 4

/* On each ring the successor and, while that is suspected, the next live member. */
#define BURDOCK_TARGETS_MAX (2 * BURDOCK_RING_COUNT)
#define BURDOCK_HEARTBEAT_PERIOD_US UINT64_C (1000000)

/* Three missed heartbeats and half a period. */
#define BURDOCK_SUSPECT_AFTER_US UINT64_C (3500000)

/**
 * struct BurdockPendingUpdate - member record that waits to be sent with heartbeats
 * @sends_left: heartbeat rounds in which it is still to be sent
 */
typedef struct {
  uint64_t id;
  uint32_t sends_left;
} BurdockPendingUpdate;

/**
 * struct BurdockMembership - state of the controller; times on the now_us clock
 * @heartbeat_sequence: sequence number of the last heartbeat sent
 * @next_heartbeat_us: time of the next regular heartbeat
 * @next_early_us: earliest time of an early heartbeat
 * @early_heartbeat: whether a change is to be sent before the next regular heartbeat
 * @announced_leaving, @announced_generation: own state when last checked for changes
 * @targets_revision: @members_revision for which @targets were chosen
 * @members_revision: incremented at each change of a record that others must learn of
 * @targets: ids of the members that heartbeats are sent to
 * @synced: false while the member records of a peer are to be fetched, page by page
 * @sync_index: index of the next record to fetch
 * @next_sync_us: earliest time of the next request for records
 * @has_sync_peer: whether to fetch from @sync_peer, until @sync_deadline_us; otherwise
 *   from a random seed or member
 * @digest: cached digest of the view, valid for @digest_revision and @digest_leaving
 */
typedef struct {
  BurdockCore *core;
  uint64_t heartbeat_sequence;
  uint64_t next_heartbeat_us;
  uint64_t next_early_us;
  uint64_t last_tick_us;
  bool early_heartbeat;
  bool announced_leaving;
  uint64_t announced_generation;
  uint64_t targets_revision;
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
  uint64_t sync_deadline_us;
  uint64_t digest;
  uint64_t digest_revision;
  bool digest_leaving;
} BurdockMembership;

static inline BurdockMembers *
burdock_membership_members (BurdockMembership *membership)
{
  return &membership->core->board.members;
}

/** burdock_membership_queue_update() - queues the record of @id for gossip and requests
 * an early heartbeat */
void burdock_membership_queue_update (BurdockMembership *membership, uint64_t id);

/** burdock_membership_mark_changed() - causes targets, digest and published snapshot to
 * be computed anew */
void burdock_membership_mark_changed (BurdockMembership *membership);

/** burdock_membership_set_state() - changes the state of a member, logs it and queues the
 * record */
void burdock_membership_set_state (BurdockMembership *membership,
                                   BurdockMemberEntry *member, uint32_t state,
                                   uint64_t now_us);

/**
 * burdock_membership_merge() - merges a record received from a peer
 * @forward: whether to queue a changed record for gossip; false for a record of a
 *   MEMBER_PAGE, which gossip has distributed already
 * Returns the member; NULL for an invalid record, one about this process, or one about an
 * unknown member that was removed.
 */
BurdockMemberEntry *burdock_membership_merge (BurdockMembership *membership,
                                              const BurdockMemberRecord *record,
                                              bool forward, uint64_t now_us);

/**
 * burdock_membership_refute() - finds a newer record that refutes a suspicion
 * @record: record of a suspected or removed member; any other is ignored
 * Returns the member, or NULL if there is no such record. If this process itself is
 * suspected, its heartbeat sequence is raised above that of @record and an early
 * heartbeat is requested.
 */
const BurdockMemberEntry *burdock_membership_refute (BurdockMembership *membership,
                                                     const BurdockMemberRecord *record);

/** burdock_membership_digest() - digest of the view of all members, this one included */
uint64_t burdock_membership_digest (BurdockMembership *membership);

/**
 * burdock_membership_dequeue_updates() - takes the next queued records for a heartbeat
 * @out: array of BURDOCK_HEARTBEAT_UPDATES_MAX records
 * Returns the number of records written.
 */
uint32_t burdock_membership_dequeue_updates (BurdockMembership *membership,
                                             BurdockMemberRecord *out);

/** burdock_membership_choose_targets() - chooses the targets anew if members changed */
void burdock_membership_choose_targets (BurdockMembership *membership);

/** burdock_membership_detect_failures() - marks silent members as suspect or removed */
void burdock_membership_detect_failures (BurdockMembership *membership, uint64_t now_us);

/** burdock_membership_reset_after_pause() - restarts the timers of silent members if this
 * process itself was paused */
void burdock_membership_reset_after_pause (BurdockMembership *membership,
                                           uint64_t now_us);

#endif
