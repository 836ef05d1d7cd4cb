/**
 * DOC: switch-model.h - model of a rank group for the exploration of map switches
 *
 * The whole state of agents, engines, coordinators and network is one value that can be
 * copied. The agents and coordinators are the state machines of the library.
 *
 * Every choice of the scheduler and every fault is an action: delivery of any message in
 * flight, in any order, once or twice; execution of engine calls, also after the agent
 * that sent them has restarted; restarts; timeouts. Budgets limit the number of faults
 * and so bound the exploration.
 *
 * Proposers are numbered: the recovery of each rank by its rank, then the coordinators.
 */
#ifndef SWITCH_MODEL_H
#define SWITCH_MODEL_H

#include "switch-coordinator.h"
#include "switch-rank.h"

#define MODEL_RANKS_MAX 3
#define MODEL_COORDINATORS 2
#define MODEL_MESSAGES_MAX 40
#define MODEL_LATE_CALLS_MAX 6
#define MODEL_ACTIONS_MAX 128

/** struct ModelBudget - number of faults of each kind that may still happen */
typedef struct {
  uint8_t agent_restarts;
  uint8_t engine_restarts;
  uint8_t duplicates;
  uint8_t timeouts;     /* engine calls that time out, whether executed or delayed */
  uint8_t expiries;     /* proposers whose deadline expires */
  uint8_t resends;      /* proposers that resend their messages */
  uint8_t recoveries;   /* recoveries started by ranks */
  uint8_t coordinators; /* additional coordinators that start */
} ModelBudget;

/**
 * struct ModelMessage - message in flight
 * @used: whether this element of the array holds a message
 * @duplicated: a copy has been delivered already
 * @receiver: rank if @to_rank, otherwise proposer
 * @sender: incarnation of the sender
 * @target: incarnation that the message is meant for
 * @body: map.length_bytes stands for the map
 */
typedef struct {
  bool used;
  bool duplicated;
  bool to_rank;
  uint8_t receiver;
  uint32_t type;
  uint64_t sender;
  uint64_t target;
  BurdockSwitchMessage body;
} ModelMessage;

/** struct ModelLateCall - engine call in flight that its agent no longer waits for */
typedef struct {
  uint8_t rank;
  bool used;
  BurdockEngineCall call;
} ModelLateCall;

typedef struct {
  bool pending;
  BurdockEngineCall call;
} ModelCall;

/**
 * struct ModelEngine - engine of one rank
 * @map: number that stands for the map in use
 * @held_number: number of the hold in effect, 0 for none
 * @highest_number: highest hold number accepted; holds with lower numbers are stale
 * @next_step: step from which @next_map is used, because it was committed before that
 *   step; 0 for none
 * @entered: whether the rank has entered the current step of the group
 * @entered_map: map that it uses in that step
 */
typedef struct {
  uint64_t instance;
  bool joining;
  uint64_t map_epoch;
  uint32_t map;
  uint64_t held_epoch;
  uint64_t held_step;
  uint64_t held_number;
  uint64_t highest_number;
  bool loaded;
  uint64_t loaded_epoch;
  uint32_t loaded_map;
  uint64_t next_step;
  uint32_t next_map;
  bool entered;
  uint32_t entered_map;
} ModelEngine;

/**
 * struct ModelAgent - agent of one rank
 * @start_count: number of starts, part of the incarnation
 * @job: engine call of the current request
 * @background: engine call that loads a map
 * @last_read_map: map in the last state read from the engine
 */
typedef struct {
  uint32_t start_count;
  BurdockSwitchRank rank;
  BurdockSwitchCoordinator recovery;
  ModelCall job;
  ModelCall background;
  uint32_t last_read_map;
} ModelAgent;

/**
 * struct Model - state of a group
 * @disabled_rules: mask of protocol rules that the state machines leave out
 * @ignore_hold_numbers: engines accept holds with any number and releases of any hold of
 *   the epoch, which violates their contract
 * @step: current step of the group
 * @last_step: step at which the group stops
 * @peer_maps: map in the last state that each proposer received from each rank
 * @dropped_messages: messages without room in @messages, which count as lost
 * @violated: whether two ranks used different maps in one step
 * @violation: description of it
 */
typedef struct {
  uint32_t ranks;
  uint32_t disabled_rules;
  bool ignore_hold_numbers;
  uint64_t step;
  uint64_t last_step;
  ModelBudget budget;
  ModelAgent agents[MODEL_RANKS_MAX];
  ModelEngine engines[MODEL_RANKS_MAX];
  BurdockSwitchCoordinator coordinators[MODEL_COORDINATORS];
  uint32_t coordinators_started;
  uint32_t peer_maps[MODEL_RANKS_MAX + MODEL_COORDINATORS][MODEL_RANKS_MAX];
  ModelMessage messages[MODEL_MESSAGES_MAX];
  ModelLateCall late_calls[MODEL_LATE_CALLS_MAX];
  uint32_t dropped_messages;
  bool violated;
  char violation[128];
} Model;

/**
 * enum ModelActionKind - possible actions
 *
 * The index of an action is a message for the two deliveries, a late call for
 * ACTION_EXECUTE_LATE_CALL, a proposer for ACTION_RESEND and ACTION_EXPIRE, and otherwise
 * a rank.
 */
typedef enum {
  ACTION_DELIVER = 1,
  ACTION_DELIVER_COPY, /* the message stays in flight */
  ACTION_EXECUTE_CALL,
  ACTION_EXECUTE_BACKGROUND_CALL,
  ACTION_LOSE_CALL_RESULT, /* the call is executed and times out at the agent */
  ACTION_DELAY_CALL,       /* the call times out at the agent and stays in flight */
  ACTION_EXECUTE_LATE_CALL,
  ACTION_AGENT_RESTART,
  ACTION_ENGINE_RESTART,
  ACTION_ENTER_STEP, /* the rank starts the current step with its map */
  ACTION_POLL,       /* the agent reads the state of its engine */
  ACTION_RECOVER,
  ACTION_RESEND,
  ACTION_EXPIRE,
  ACTION_START_COORDINATOR,
} ModelActionKind;

typedef struct {
  uint8_t kind;
  uint8_t index;
} ModelAction;

/**
 * model_init() - group that uses its initial map, with a coordinator that starts a switch
 *
 * Keeps @disabled_rules and @ignore_hold_numbers of @model, so they must be set.
 */
void model_init (Model *model, uint32_t ranks, const ModelBudget *budget);

/** model_run_until_propose() - runs without faults until the first coordinator has sent
 * its proposals */
void model_run_until_propose (Model *model);

/** model_list_actions() - writes the possible actions, at most MODEL_ACTIONS_MAX; returns
 * their number */
uint32_t model_list_actions (const Model *model, ModelAction *actions);

/** model_apply() - performs an action that model_list_actions() gave for this state */
void model_apply (Model *model, ModelAction action);

/** model_hash() - hash of everything that determines the further behaviour */
uint64_t model_hash (const Model *model);

/** model_describe_action() - writes an action of the state @model as text */
void model_describe_action (const Model *model, ModelAction action, char *text,
                            size_t bytes);

/** model_run_to_completion() - continues with a fair schedule and without faults; returns
 * whether the group reaches its last step */
bool model_run_to_completion (Model *model);

#endif
