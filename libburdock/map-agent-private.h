/**
 * DOC: map-agent-private.h - state shared by the agent, its coordinator and takeover
 */
#ifndef BURDOCK_MAP_AGENT_PRIVATE_H
#define BURDOCK_MAP_AGENT_PRIVATE_H

#include "map-agent.h"

#define BURDOCK_MAP_GATEWAYS_MAX 512
#define BURDOCK_HOSTED_BYTES_MAX 4096

/* Largest group whose agents exchange states. Maps are planned for up to
 * BURDOCK_REPLICA_RANKS_MAX ranks; a larger group keeps its initial map. */
#define BURDOCK_MAP_PEERS_MAX 4096

/** struct BurdockMapGateway - gateway that sent a roster and receives rank states */
typedef struct {
  BurdockAddress address;
  uint64_t expires_us; /* receives no states from then on, unless it sends a roster */
} BurdockMapGateway;

/**
 * struct BurdockMapPeer - rank of the group, the local one included
 * @known: the address of its agent is known
 * @last_state_us: time of the last state from its agent, 0 before the first one
 * @state: last reported state; its byte ranges are not kept
 * @hosted: experts of the rank in the map @hosted_version, encoded as in
 *   burdock_map_agent_handle_hosted_experts(); owned, NULL before the first ones
 * @direct_armed_version, @direct_armed_step: last arm order of the local coordinator to
 *   the engine, without its agent, that the engine has accepted; 0 for none. The peers
 * are those of one epoch
 */
typedef struct {
  bool known;
  uint64_t last_state_us;
  uint64_t incarnation;
  BurdockAddress control;
  BurdockRankStateMessage state;
  uint64_t hosted_version;
  uint64_t hosted_epoch;
  uint32_t hosted_bytes;
  uint8_t *hosted;
  uint64_t direct_armed_version;
  uint64_t direct_armed_step;
} BurdockMapPeer;

/** enum BurdockCoordinatorPhase - progress of a switch or takeover */
typedef enum {
  BURDOCK_COORDINATOR_IDLE = 0,
  BURDOCK_COORDINATOR_PLANNING, /* nothing has been sent yet */
  BURDOCK_COORDINATOR_LOADING,
  BURDOCK_COORDINATOR_HOLDING,
  BURDOCK_COORDINATOR_ARMING,
  BURDOCK_COORDINATOR_RELEASING,
  BURDOCK_COORDINATOR_SWITCHING,
  BURDOCK_COORDINATOR_PROMISING,  /* takes over the switch of another coordinator */
  BURDOCK_COORDINATOR_CONFIRMING, /* takes over the hold of the switch */
} BurdockCoordinatorPhase;

/** struct BurdockMapShape - fields of &struct BurdockRosterMessage that a plan depends on
 */
typedef struct {
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t loads_max;
  uint32_t expert_copy_us;
} BurdockMapShape;

/**
 * struct BurdockCoordinator - state of the agent that coordinates its group
 * @ballot: ballot of this coordinator; round 0 before the first one
 * @epoch, @version, @step, @map: switch in progress; @version is 0 in a takeover that
 * only releases a hold
 * @base, @base_version: map that was in use when @map was planned
 * @plan: plan in progress, which borrows @base; NULL in all other phases
 * @plan_epoch, @plan_shape: epoch and shape that the plan is for
 * @plan_since_us, @plan_steps: begin and steps of the plan
 * @failed_switches: switches that failed since the last one that was completed
 * @coordinates_since_us: time at which no lower rank was alive any more, 0 if one is
 * @holder, @held_step: rank that holds a step until the release, and the step; it is
 *   @step, or a step before it
 * @hold_suspected: a rank may hold a step that no report shows: its agent is silent, or
 *   this coordinator was paused
 * @hold_guessed: @held_step follows from the last step of the group only
 * @last_tick_us: time of the last call of burdock_coordinator_tick()
 * @hold_failed_us: last time that the engine rejected a hold
 * @rates: token counts with exponential decay, layer by layer
 * @samples: token reports added to @rates
 * @direct_order: order of the coordinator to an engine in progress, with the id 0 for
 * none
 * @direct_order_rank: rank of that engine
 */
typedef struct {
  BurdockCoordinatorPhase phase;
  BurdockBallot ballot;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  uint64_t held_step;
  uint32_t holder;
  bool hold_suspected;
  bool hold_guessed;
  uint64_t last_tick_us;
  BurdockReplicaMap map;
  BurdockReplicaMap base;
  uint64_t base_version;
  BurdockReplicaPlan *plan;
  uint64_t plan_epoch;
  BurdockMapShape plan_shape;
  uint64_t plan_since_us;
  uint32_t plan_steps;
  uint32_t failed_switches;
  uint64_t coordinates_since_us;
  uint64_t map_version; /* version of @map, kept after the switch */
  uint64_t map_epoch;
  bool has_map;
  uint64_t phase_since_us;
  uint64_t next_send_us;
  uint64_t next_plan_us;
  uint64_t hold_failed_us;
  uint64_t next_decay_us;
  double *rates;
  uint32_t rate_count;
  uint32_t samples;
  BurdockMapOrder direct_order;
  uint32_t direct_order_rank;
} BurdockCoordinator;

struct BurdockMapAgent {
  BurdockMapAgentSettings settings;
  BurdockMapAgentHandler handler;
  BurdockRosterMessage shape; /* map dimensions; its list of ranks is not used */
  BurdockRankReport report;
  uint64_t report_us;
  uint64_t step_time_us;
  uint64_t step_changed_us;
  uint64_t progress_us; /* last time that a step began or the rank had no requests */
  BurdockBallot promised_ballot; /* lower ballots are rejected */
  uint64_t refused_version;
  uint64_t loading_version; /* last load that the engine accepted */
  uint64_t armed_step;
  uint64_t last_order_timeout_us; /* last time that an order timed out, 0 for never */
  uint64_t next_order_id;
  uint64_t order_id; /* order to the local engine in progress, 0 for none */
  BurdockMapOrder order;
  BurdockBallot order_ballot; /* promised ballot when the order was first sent */
  uint32_t order_attempts;
  BurdockReplicaMap order_map; /* of the last order to load, if has_order_map */
  uint64_t order_map_version;
  uint64_t order_map_epoch;
  BurdockReplicaMap current_map; /* the map in use, if knows_map */
  uint64_t current_map_version;
  uint64_t *counts;
  uint32_t *unreported; /* tokens not yet reported to the coordinator */
  uint8_t *encoded_tokens;
  uint64_t next_state_us;
  uint64_t next_gateway_state_us;
  uint64_t next_counts_us;
  uint32_t counts_length;
  uint32_t gateway_count;
  bool has_shape;
  bool shape_refused; /* by the last roster that stated one */
  bool has_report;
  bool leaving; /* planned stop: no switch is begun any more */
  bool has_order_map;
  bool knows_map;
  bool has_counts;
  bool state_changed; /* gateways have not received the change yet */
  BurdockMapGateway gateways[BURDOCK_MAP_GATEWAYS_MAX];
  BurdockMapPeer *peers; /* one for each rank of the group */
  uint32_t peer_count;
  BurdockCoordinator coordinator;
  BurdockMapAgentStats stats;
  BurdockMessage outgoing;
};

/* Ranks of a group that report token counts. More counts make the estimate of the demand
 * little better, and their reports fill the link of the coordinator. */
#define BURDOCK_MAP_REPORTERS_MAX 32

/** burdock_map_agent_reporter_stride() - ranks that are multiples of this report counts
 */
static inline uint32_t
burdock_map_agent_reporter_stride (const BurdockMapAgent *agent)
{
  uint32_t stride =
      (agent->peer_count + BURDOCK_MAP_REPORTERS_MAX - 1) / BURDOCK_MAP_REPORTERS_MAX;

  return stride > 0 ? stride : 1;
}

/** burdock_map_agent_reporter_count() - number of ranks that report counts */
static inline uint32_t
burdock_map_agent_reporter_count (const BurdockMapAgent *agent)
{
  uint32_t stride = burdock_map_agent_reporter_stride (agent);

  return (agent->peer_count + stride - 1) / stride;
}

/** burdock_map_agent_own_peer() - entry of the local rank; NULL without a report */
BurdockMapPeer *burdock_map_agent_own_peer (BurdockMapAgent *agent);

/** burdock_map_agent_update_state() - updates the entry of the local rank from the last
 * report and the accepted orders */
void burdock_map_agent_update_state (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_map_agent_handle_command() - handles a command of the coordinator; @from has
 * port 0 if this agent coordinates. Commands of other epochs or of ballots below the
 * promised one are ignored. */
void burdock_map_agent_handle_command (BurdockMapAgent *agent, BurdockAddress from,
                                       const BurdockMapCommandMessage *command,
                                       uint64_t now_us);

/** burdock_map_agent_send_state() - sends the state of the rank to @count addresses, with
 * its experts and tokens if @full */
void burdock_map_agent_send_state (BurdockMapAgent *agent, const BurdockAddress *to,
                                   uint32_t count, bool full);

/** burdock_map_peer_is_alive() - whether its agent sent its state recently */
bool burdock_map_peer_is_alive (const BurdockMapPeer *peer, uint64_t now_us);

/** burdock_ballot_compare() - negative, 0 or positive, like memcmp() */
int burdock_ballot_compare (BurdockBallot a, BurdockBallot b);

/** burdock_coordinator_is_self() - whether this agent coordinates its group */
bool burdock_coordinator_is_self (const BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_add_tokens() - adds the tokens of a rank since its last report;
 * @tokens is encoded as in &struct BurdockRankStateMessage */
void burdock_coordinator_add_tokens (BurdockMapAgent *agent, uint32_t rank,
                                     BurdockBytes tokens);

/** burdock_coordinator_order_done() - reports the result of a direct order; ignores other
 * ids */
void burdock_coordinator_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                                     uint64_t now_us);

/** burdock_coordinator_may_hold() - whether a rank may hold a step that this coordinator
 * has to release */
bool burdock_coordinator_may_hold (const BurdockMapAgent *agent);

/** burdock_coordinator_tick() - runs the current phase; returns the time of the next
 * call, in us, UINT64_MAX if another agent coordinates or this one is done and leaves */
uint64_t burdock_coordinator_tick (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_map_agent_log() - formats a detail and passes it to the log callback */
void burdock_map_agent_log (BurdockMapAgent *agent, const char *step, const char *format,
                            ...) __attribute__ ((format (printf, 3, 4)));

#endif
