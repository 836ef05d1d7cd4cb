/**
 * DOC: blackboard.h - control state of one process, shared by its controllers
 *
 * Each section is written by one controller, named in its comment, and may be read by
 * all. The blackboard is used by the control thread only.
 */
#ifndef BURDOCK_BLACKBOARD_H
#define BURDOCK_BLACKBOARD_H

#include "config.h"
#include "message.h"

#define BURDOCK_HASH_BYTES 32

/**
 * struct BurdockSelf - this process; written by the lifecycle controller
 * @started_us: start of the process, on the now_us clock
 * @leaving: whether a planned stop has begun
 * @leaving_since_us: start of the planned stop, on the now_us clock
 */
typedef struct {
  BurdockSettings settings;
  uint64_t member_id;
  uint64_t started_us;
  bool leaving;
  uint64_t leaving_since_us;
} BurdockSelf;

/**
 * struct BurdockConfigState - configuration; written by the config controller
 * @generation: generation in force, 0 while none is known
 * @body: text of the generation in force
 * @confirmed: whether the store or more than half of the known entries have confirmed,
 *   since this process started, that @generation is the newest
 * @row_version: version of row config/current when last read or written
 * @refusal: reason to refuse all work, BURDOCK_REASON_NONE if work is accepted
 */
typedef struct {
  uint64_t generation;
  uint8_t hash[BURDOCK_HASH_BYTES];
  BurdockConfig *config;
  uint8_t *body;
  uint32_t body_bytes;
  bool confirmed;
  uint64_t row_version;
  BurdockReason refusal;
} BurdockConfigState;

/**
 * struct BurdockMemberEntry - a member as seen by this process; times on the now_us clock
 * @last_heartbeat_us: last heartbeat received from the member itself, 0 before the first
 * @silent_since_us: start of the time that counts towards a suspicion
 * @disagrees_since_us: time since which its view of the members has differed from that of
 *   this process, 0 while they agree
 */
typedef struct {
  BurdockMemberRecord record;
  uint64_t first_seen_us;
  uint64_t last_heartbeat_us;
  uint64_t silent_since_us;
  uint64_t disagrees_since_us;
  uint64_t suspect_since_us;
  uint32_t running;
  uint32_t queued;
} BurdockMemberEntry;

/**
 * struct BurdockMembers - other members; written by the membership controller
 * @items: members in the order in which they became known
 * @slots: open-addressing hash index by member id, which is a hash itself; holds the
 *   position of an item plus one, 0 for an empty slot
 */
typedef struct {
  uint32_t count;
  uint32_t allocated;
  BurdockMemberEntry *items;
  uint32_t slot_count;
  uint32_t *slots;
} BurdockMembers;

/** struct BurdockInstances - platform list; written by the instance-list controller */
typedef struct {
  uint64_t read_us;
  uint32_t count;
  BurdockInstance *items;
} BurdockInstances;

/**
 * struct BurdockLease - one lease that this process holds or is a candidate for
 * @fence: fencing token while held
 * @valid_until_us: the holder acts only before this time on the now_us clock; the margin
 *   is already subtracted
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  bool held;
  uint64_t fence;
  uint64_t valid_until_us;
} BurdockLease;

/** struct BurdockLeases - leases; written by the lease controller */
typedef struct {
  uint32_t count;
  uint32_t allocated;
  BurdockLease *items;
} BurdockLeases;

/**
 * struct BurdockGroupView - one rank group as seen by its coordinator
 * @coordinating: whether this process coordinates the group
 * @map_epoch: epoch of the map in use
 * @skew_us: step-time skew in the last reports of all ranks
 * @planned_skew_permille: skew of the map in use that the planner's model predicts, in
 *   thousandths of the mean step time
 * @pauses: number of intervals in which the group waited for the outcome of a switch
 * @pause_us: time that the group waited for outcomes of switches, from rank reports
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  bool coordinating;
  uint64_t map_epoch;
  uint64_t step;
  uint32_t skew_us;
  uint32_t planned_skew_permille;
  uint64_t switches;
  uint64_t aborts;
  uint64_t moves;
  uint64_t moved_bytes;
  uint64_t pauses;
  uint64_t pause_us;
} BurdockGroupView;

/** struct BurdockGroups - rank groups; written by the rebalance controller */
typedef struct {
  uint32_t count;
  uint32_t allocated;
  BurdockGroupView *items;
} BurdockGroups;

/**
 * burdock_groups_text() - metrics of the groups that this process coordinates
 * Returns text to be released with free(), or NULL.
 */
char *burdock_groups_text (const BurdockGroups *groups);

/**
 * struct BurdockRankView - rank of this agent; written by the rank controller
 * @known: whether the state of the engine has been read
 * @held_epoch: epoch of the engine's hold, 0 for none
 * @engine_reachable: whether the last read of the state succeeded
 * @busy: whether the group waits for this rank, or will wait at the step of a hold
 */
typedef struct {
  bool known;
  uint64_t engine_instance;
  uint64_t map_epoch;
  uint64_t held_epoch;
  uint64_t step;
  uint32_t running;
  uint32_t queued;
  uint32_t step_time_us;
  bool engine_reachable;
  bool busy;
} BurdockRankView;

/**
 * struct BurdockOrders - accepted orders; written by the order controller
 * @fence_known: whether a fencing token has been accepted since the start
 * @highest_fence: highest fencing token accepted, over all leases
 */
typedef struct {
  bool fence_known;
  uint64_t highest_fence;
} BurdockOrders;

/**
 * struct BurdockShareState - share of this process in the limit of one workspace; written
 * by the limit controller
 */
typedef struct {
  char workspace[BURDOCK_NAME_BYTES];
  uint64_t workspace_id;
  uint32_t demand;
  uint32_t share;
} BurdockShareState;

typedef struct {
  uint32_t count;
  uint32_t allocated;
  BurdockShareState *items;
} BurdockShares;

/**
 * struct BurdockBlackboard - all sections
 * @revision: incremented by burdock_blackboard_touch() on a change that must be published
 *   to traffic
 */
typedef struct {
  uint64_t revision;
  BurdockSelf self;
  BurdockConfigState config;
  BurdockMembers members;
  BurdockInstances instances;
  BurdockLeases leases;
  BurdockGroups groups;
  BurdockRankView rank;
  BurdockOrders orders;
  BurdockShares shares;
  BurdockUsage usage;
} BurdockBlackboard;

/**
 * burdock_blackboard_init() - initialises the sections after a start of the process
 * @settings: copied
 * @now_us: start of the process
 */
void burdock_blackboard_init (BurdockBlackboard *board, const BurdockSettings *settings,
                              uint64_t now_us);

/** burdock_blackboard_clear() - frees everything that the sections own */
void burdock_blackboard_clear (BurdockBlackboard *board);

/**
 * burdock_blackboard_own_record() - record of this process, as sent to other members
 * @beat: number of the heartbeat, see BurdockMemberRecord
 */
BurdockMemberRecord burdock_blackboard_own_record (const BurdockBlackboard *board,
                                                   uint64_t beat);

/** burdock_blackboard_touch() - marks a change that must be published to traffic */
static inline void
burdock_blackboard_touch (BurdockBlackboard *board)
{
  board->revision++;
}

/** burdock_members_find() - member with @id, or NULL */
BurdockMemberEntry *burdock_members_find (const BurdockMembers *members, uint64_t id);

/** burdock_members_insert() - finds the entry for @id or inserts a zeroed one */
BurdockMemberEntry *burdock_members_insert (BurdockMembers *members, uint64_t id);

/** burdock_members_reindex() - rebuilds the index after items were moved or removed */
void burdock_members_reindex (BurdockMembers *members);

/** burdock_members_find_rank() - agent of @rank in @group that is not removed, or NULL */
BurdockMemberEntry *burdock_members_find_rank (const BurdockMembers *members,
                                               const char *group, uint32_t rank);

/** burdock_leases_find_valid() - lease @name if held and valid at @now_us, or NULL */
const BurdockLease *burdock_leases_find_valid (const BurdockLeases *leases,
                                               const char *name, uint64_t now_us);

#endif
