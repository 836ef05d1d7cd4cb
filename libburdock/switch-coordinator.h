/**
 * DOC: switch-coordinator.h - proposer of map switches and recoveries
 *
 * A round runs under one ballot. QUERY requests the state of all ranks; a rank that has
 * answered rejects older ballots from then on. If no rank has a hold or is joining, and
 * all use one map, the round may continue with a switch: PREPARE (load the map), PROPOSE
 * (hold at a step), and commit once all ranks have promised. Otherwise the round is a
 * recovery: PROPOSE makes the same incarnations of all ranks confirm their answers, and
 * the outcome brings every rank to the newest map in use. Either decision is thus made
 * after a point in time at which all ranks, in their current incarnations, followed this
 * ballot, which orders the decisions of all rounds.
 *
 * The lease holder proposes switches; agents propose recoveries. Pure state machine
 * without pointers to its own memory, so that it can be copied.
 */
#ifndef BURDOCK_SWITCH_COORDINATOR_H
#define BURDOCK_SWITCH_COORDINATOR_H

#include "switch-rules.h"

#ifndef BURDOCK_GROUP_RANKS_MAX /* the model checker builds with fewer, to copy less */
#define BURDOCK_GROUP_RANKS_MAX 64
#endif

/* Number of epochs per fencing token; epochs are unique, as each token has one holder. */
#define BURDOCK_EPOCHS_PER_FENCE 65536

/* Epoch of the initial map for a group whose engines were all replaced. */
#define BURDOCK_EPOCH_REINITIALISED 1

typedef enum {
  BURDOCK_SWITCH_IDLE = 0,
  BURDOCK_SWITCH_QUERY,
  BURDOCK_SWITCH_READY, /* no rank has a hold or is joining, and all use one map */
  BURDOCK_SWITCH_PREPARE,
  BURDOCK_SWITCH_PROPOSE,
  BURDOCK_SWITCH_CONFIRM,
  BURDOCK_SWITCH_OUTCOME,
} BurdockSwitchPhase;

/** struct BurdockSwitchPeer - state of a rank, from its answers in this round */
typedef struct {
  uint64_t incarnation;
  uint64_t map_epoch;
  uint64_t step;
  bool held;
  bool joining;
  bool answered; /* in the current phase */
} BurdockSwitchPeer;

/**
 * struct BurdockSwitchCoordinatorCallbacks - environment of a proposer
 * @send: sends a message to the agent of a rank; target 0 means any incarnation. The
 *   callback adds the map: the planned map to PREPARE, the map from the answer of
 *   @settle_rank to the outcome of a recovery
 */
typedef struct {
  void *ctx;
  void (*send) (void *ctx, uint32_t rank, uint32_t type, uint64_t target_incarnation,
                const BurdockSwitchMessage *message);
} BurdockSwitchCoordinatorCallbacks;

/**
 * struct BurdockSwitchCoordinator - state of a proposer
 * @disabled_rules: mask of rules that a test disables, 0 in production
 * @fence: fencing token of the lease, 0 for an agent
 * @highest_round: highest round used by this proposer or seen in refusals
 * @highest_epoch: highest epoch reported by any rank or used by this proposer
 * @outcome: decision of this round, BURDOCK_OUTCOME_UNDECIDED before
 * @epoch: epoch of the switch, or of the map that a recovery chooses
 * @step: step to hold at
 * @settle_rank: rank whose map a recovery chooses
 * @phase_since_us: start of the phase, on the now_us clock
 * @sent_us: last transmission, on the now_us clock
 */
typedef struct {
  BurdockSwitchCoordinatorCallbacks callbacks;
  uint32_t disabled_rules;
  uint32_t ranks;
  uint64_t incarnation;
  uint64_t fence;
  uint32_t highest_round;
  uint64_t highest_epoch;
  BurdockBallot ballot;
  BurdockSwitchPhase phase;
  BurdockSwitchOutcome outcome;
  uint64_t epoch;
  uint64_t step;
  uint32_t settle_rank;
  BurdockSwitchPeer peers[BURDOCK_GROUP_RANKS_MAX];
  uint64_t phase_since_us;
  uint64_t sent_us;
} BurdockSwitchCoordinator;

/**
 * burdock_switch_coordinator_init() - initialises an idle proposer
 * @ranks: size of the group, capped at BURDOCK_GROUP_RANKS_MAX
 * @incarnation: incarnation of the proposing process; distinguishes its ballots
 * @callbacks: copied
 */
void burdock_switch_coordinator_init (BurdockSwitchCoordinator *coordinator,
                                      uint32_t ranks, uint64_t incarnation,
                                      const BurdockSwitchCoordinatorCallbacks *callbacks);

/**
 * burdock_switch_coordinator_start() - starts a round under a new ballot
 * @fence: fencing token of the lease, 0 for a recovery by an agent
 */
void burdock_switch_coordinator_start (BurdockSwitchCoordinator *coordinator,
                                       uint64_t fence, uint64_t now_us);

/**
 * burdock_switch_coordinator_prepare() - continues from READY with a switch
 * Chooses a new epoch. Does nothing in any other phase or without a fencing token.
 */
void burdock_switch_coordinator_prepare (BurdockSwitchCoordinator *coordinator,
                                         uint64_t now_us);

/**
 * burdock_switch_coordinator_handle_reply() - handles the reply of a rank
 * @type: SWITCH_STATE, SWITCH_LOADED, SWITCH_PROMISE or SWITCH_OUTCOME_ACK
 * @sender: incarnation of the agent that replies
 * @margin_steps: steps between the most advanced rank and the step to hold at
 * Ignores replies that do not belong to the current phase and ballot.
 */
void burdock_switch_coordinator_handle_reply (BurdockSwitchCoordinator *coordinator,
                                              uint32_t type, uint64_t sender,
                                              const BurdockSwitchMessage *message,
                                              uint32_t margin_steps, uint64_t now_us);

/** burdock_switch_coordinator_resend() - resends the request of the phase to ranks that
 * have not answered */
void burdock_switch_coordinator_resend (BurdockSwitchCoordinator *coordinator,
                                        uint64_t now_us);

/** burdock_switch_coordinator_expire() - ends a phase that timed out: aborts a proposed
 * switch, ends the round in any other phase */
void burdock_switch_coordinator_expire (BurdockSwitchCoordinator *coordinator,
                                        uint64_t now_us);

/**
 * burdock_switch_coordinator_tick() - resends requests and expires phases when due
 * Returns the next due time on the now_us clock, UINT64_MAX when idle.
 */
uint64_t burdock_switch_coordinator_tick (BurdockSwitchCoordinator *coordinator,
                                          uint64_t now_us);

#endif
