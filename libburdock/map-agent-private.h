/**
 * DOC: map-agent-private.h - state shared by the two halves of a map agent
 */
#ifndef BURDOCK_MAP_AGENT_PRIVATE_H
#define BURDOCK_MAP_AGENT_PRIVATE_H

#include "map-agent.h"

#define BURDOCK_MAP_GATEWAYS_MAX 512
#define BURDOCK_HOSTED_BYTES_MAX 4096

/** struct BurdockMapGateway - gateway that sent a roster */
typedef struct {
  BurdockAddress address;
  uint64_t heard_us;
} BurdockMapGateway;

/**
 * struct BurdockMapPeer - rank of the group, the own one included
 * @state: as last reported; its byte ranges are not kept
 * @armed_directly: the coordinator armed the engine itself
 */
typedef struct {
  bool known;
  uint64_t heard_us;
  uint64_t incarnation;
  BurdockAddress control;
  BurdockRankStateMessage state;
  uint64_t hosted_version;
  uint64_t hosted_epoch;
  uint32_t hosted_bytes;
  uint8_t hosted[BURDOCK_HOSTED_BYTES_MAX];
  bool armed_directly;
} BurdockMapPeer;

typedef enum {
  BURDOCK_COORDINATOR_IDLE = 0,
  BURDOCK_COORDINATOR_LOADING,
  BURDOCK_COORDINATOR_HOLDING,
  BURDOCK_COORDINATOR_ARMING,
  BURDOCK_COORDINATOR_RELEASING,
  BURDOCK_COORDINATOR_SWITCHING,
  BURDOCK_COORDINATOR_PROMISING, /* takes over what an earlier coordinator began */
} BurdockCoordinatorPhase;

/**
 * struct BurdockCoordinator - state of the agent that coordinates its group
 * @ballot: of this coordinator; round 0 before the first one
 * @version, @step, @map: switch in progress
 * @holder: rank that holds @step
 * @suspects: the group stands, and a rank whose agent is silent may hold its next step
 * @rates: decayed tokens, layer by layer
 */
typedef struct {
  BurdockCoordinatorPhase phase;
  BurdockBallot ballot;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  uint32_t holder;
  bool suspects;
  BurdockCopyMap map;
  uint64_t map_version; /* of @map, also after the switch */
  uint64_t map_epoch;
  bool has_map;
  uint64_t since_us;
  uint64_t next_send_us;
  uint64_t next_plan_us;
  uint64_t hold_failed_us;
  uint64_t next_decay_us;
  double *rates;
  uint32_t rate_count;
  uint32_t samples;
  uint64_t direct_id;
  uint32_t direct_rank;
  BurdockMapOrderKind direct_kind;
} BurdockCoordinator;

struct BurdockMapAgent {
  BurdockMapAgentSettings settings;
  BurdockMapAgentHandler handler;
  BurdockRosterMessage shape; /* sizes of the maps; its list of ranks is not used */
  BurdockRankReport report;
  uint64_t report_us;
  uint64_t step_time_us;
  uint64_t step_changed_us;
  uint64_t progress_us; /* last time that a step began or nothing was to be done */
  BurdockBallot promised;
  uint64_t refused_version;
  uint64_t loading_version; /* of the last load that the engine accepted */
  uint64_t armed_step;
  uint64_t unanswered_us; /* last time that an order got no answer, 0 for never */
  uint64_t next_order_id;
  uint64_t order_id; /* order to the local engine in progress, 0 for none */
  BurdockMapOrder order;
  BurdockBallot order_ballot; /* of the coordinator that asked for the order */
  uint32_t order_tries;
  BurdockCopyMap order_map;
  uint64_t *counts;
  uint32_t *fresh; /* tokens since the last report to the coordinator */
  uint8_t *fresh_bytes;
  uint64_t next_state_us;
  uint64_t next_gateways_us;
  uint64_t next_counts_us;
  uint32_t count_count;
  uint32_t gateway_count;
  bool has_shape;
  bool has_report;
  bool has_order_map;
  bool has_counts;
  bool state_changed; /* gateways have not been told yet */
  BurdockMapGateway gateways[BURDOCK_MAP_GATEWAYS_MAX];
  BurdockMapPeer peers[BURDOCK_COPY_RANKS_MAX];
  BurdockCoordinator coordinator;
  BurdockMapAgentFigures figures;
  BurdockMessage outgoing;
};

/** burdock_map_agent_own() - the agent's own entry among the ranks */
BurdockMapPeer *burdock_map_agent_own (BurdockMapAgent *agent);

/** burdock_map_agent_command() - obeys a coordinator, which may be this agent */
void burdock_map_agent_command (BurdockMapAgent *agent, BurdockAddress from,
                                const BurdockMapCommandMessage *command, uint64_t now_us);

/** burdock_map_agent_send_state() - sends the state of the rank, with tokens if @whole */
void burdock_map_agent_send_state (BurdockMapAgent *agent, const BurdockAddress *to,
                                   uint32_t count, bool whole);

bool burdock_map_agent_is_heard (const BurdockMapPeer *peer, uint64_t now_us);

/** burdock_ballot_compare() - negative, 0 or positive, as memcmp() */
int burdock_ballot_compare (BurdockBallot a, BurdockBallot b);

/** burdock_coordinator_is_self() - whether this agent is the one to coordinate */
bool burdock_coordinator_is_self (const BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_tokens() - tokens of a rank since its last report */
void burdock_coordinator_tokens (BurdockMapAgent *agent, uint32_t rank,
                                 BurdockBytes tokens);

/** burdock_coordinator_order_done() - end of an order of the coordinator */
void burdock_coordinator_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                                     uint64_t now_us);

uint64_t burdock_coordinator_tick (BurdockMapAgent *agent, uint64_t now_us);

void burdock_map_agent_log (BurdockMapAgent *agent, const char *step, const char *format,
                            ...) __attribute__ ((format (printf, 3, 4)));

#endif
