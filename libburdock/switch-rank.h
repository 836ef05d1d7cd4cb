/**
 * DOC: switch-rank.h - participation of one rank in map switches and recoveries
 *
 * Pure state machine without pointers to its own memory, so that a model checker can copy
 * it. The engine is the only durable storage of a rank: state that must survive a restart
 * of the agent is in the engine before the agent answers. Messages other than PREPARE
 * that arrive during a job are dropped, since every sender repeats them until they are
 * answered.
 */
#ifndef BURDOCK_SWITCH_RANK_H
#define BURDOCK_SWITCH_RANK_H

#include "switch-rules.h"

/**
 * struct BurdockSwitchRankCallbacks - environment of a rank
 * @send: replies to a proposer; the callback adds the map to SWITCH_STATE
 * @engine: starts an engine call, completed by burdock_switch_rank_engine_done();
 *   target_id is 1 for a load in the background of the jobs, 0 for the call of a job
 */
typedef struct {
  void *ctx;
  void (*send) (void *ctx, BurdockAddress to, uint32_t type, uint64_t target_incarnation,
                const BurdockSwitchMessage *message);
  void (*engine) (void *ctx, const BurdockEngineCall *call);
} BurdockSwitchRankCallbacks;

/** enum BurdockSwitchJob - engine calls that answer a request, by current call */
typedef enum {
  BURDOCK_JOB_NONE = 0,
  BURDOCK_JOB_READ,   /* reading the state to answer a query */
  BURDOCK_JOB_REHOLD, /* renewing the hold, which invalidates earlier releases */
  BURDOCK_JOB_REHOLD_READ,
  BURDOCK_JOB_LOADED_READ, /* reading the step, which bounds the step to hold at */
  BURDOCK_JOB_HOLD,        /* holding for a proposal */
  BURDOCK_JOB_HOLD_READ,
  BURDOCK_JOB_COMMIT_READ, /* reading the state to see whether the engine waits */
  BURDOCK_JOB_SETTLE_LOAD, /* loading the map that a recovery chose */
  BURDOCK_JOB_SETTLE_READ,
  BURDOCK_JOB_SETTLE_HOLD,
  BURDOCK_JOB_RELEASE,
  BURDOCK_JOB_RELEASE_READ,
} BurdockSwitchJob;

/** struct BurdockSwitchRequest - request that a job answers, without its map */
typedef struct {
  uint32_t type;
  uint32_t outcome;
  uint64_t sender;
  uint64_t epoch;
  uint64_t step;
  uint64_t fence;
  BurdockBallot ballot;
  BurdockAddress reply_to;
} BurdockSwitchRequest;

/**
 * struct BurdockSwitchRank - state of a rank
 * @disabled_rules: mask of rules that a test disables, 0 in production
 * @ballot: highest ballot answered by this incarnation of the agent
 * @fence: highest fencing token of a coordinator seen by this incarnation
 * @highest_epoch: highest epoch of a map in use, a hold or a prepared map
 * @hold_number: highest number of a hold requested or reported by the engine
 * @answered_instance: instance of the engine that the answer to @ballot described
 * @loaded_epoch: epoch whose map the engine instance @loaded_instance has loaded
 * @loading_epoch: epoch of the background load, 0 for none
 * @promised_epoch: epoch promised under @ballot, 0 for none
 * @promised_hold_number: hold on which the promise for @promised_epoch depends
 * @accepted_epoch: epoch of the accepted commit to forward once the engine waits at its
 *   step, 0 for none
 */
typedef struct {
  BurdockSwitchRankCallbacks callbacks;
  uint32_t disabled_rules;
  uint32_t rank;
  uint64_t incarnation;
  BurdockBallot ballot;
  uint64_t fence;
  uint64_t highest_epoch;
  uint64_t hold_number;
  uint64_t answered_instance;
  uint64_t loaded_epoch;
  uint64_t loaded_instance;
  uint64_t loading_epoch;
  uint64_t loading_instance;
  BurdockSwitchRequest loading_request;
  uint64_t promised_epoch;
  uint64_t promised_hold_number;
  uint64_t accepted_epoch;
  BurdockSwitchRequest accepted_request;
  BurdockSwitchJob job;
  bool settle_loaded; /* the current job has loaded the map of the recovery */
  BurdockSwitchRequest request;
  bool state_known;
  BurdockEngineState state; /* as last read, without its borrowed pointers */
} BurdockSwitchRank;

/**
 * burdock_switch_rank_init() - initialises the state after a start of the agent
 * @index: rank in the group
 * @incarnation: incarnation of the agent
 * @callbacks: copied
 */
void burdock_switch_rank_init (BurdockSwitchRank *rank, uint32_t index,
                               uint64_t incarnation,
                               const BurdockSwitchRankCallbacks *callbacks);

/**
 * burdock_switch_rank_handle_message() - handles a request of a proposer
 * @type: SWITCH_PREPARE, SWITCH_PROPOSE, SWITCH_OUTCOME or SWITCH_QUERY
 * @sender: incarnation of the proposer
 * @target: incarnation of the agent that the request is addressed to; QUERY accepts any
 */
void burdock_switch_rank_handle_message (BurdockSwitchRank *rank, uint32_t type,
                                         uint64_t sender, uint64_t target,
                                         const BurdockSwitchMessage *message);

/**
 * burdock_switch_rank_engine_done() - handles the result of an engine call
 * @background: target_id of the call
 * @status: 0, or the negative error number from BurdockEngineEvent
 * @state: result of a successful state read, otherwise NULL; not retained
 */
void burdock_switch_rank_engine_done (BurdockSwitchRank *rank, uint64_t background,
                                      int32_t status, const BurdockEngineState *state);

/**
 * burdock_switch_rank_update_state() - records a state that was read outside of a job
 * Forwards an accepted commit to the engine if the engine waits at its step.
 */
void burdock_switch_rank_update_state (BurdockSwitchRank *rank,
                                       const BurdockEngineState *state);

/**
 * burdock_switch_rank_commit_pending() - whether an accepted commit waits for the engine
 * to reach its step
 * The caller should read the state at short intervals until then.
 */
static inline bool
burdock_switch_rank_commit_pending (const BurdockSwitchRank *rank)
{
  return rank->accepted_epoch != 0;
}

/**
 * burdock_switch_rank_blocked() - whether the engine has a hold or is joining
 * The group then waits for an outcome; if this lasts, a recovery is due.
 */
bool burdock_switch_rank_blocked (const BurdockSwitchRank *rank);

#endif
