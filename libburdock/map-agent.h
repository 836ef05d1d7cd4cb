/**
 * DOC: map-agent.h - switches the expert map of a rank together with its group
 *
 * One agent runs beside each rank. The agent of the lowest rank that is alive coordinates
 * the group: it collects the token counts of experts, plans a map, has all ranks load it
 * and switches them. A switch never lets ranks run a step with different maps:
 *
 * 1. The coordinator's own rank holds a future step. The group does not begin that step.
 * 2. All ranks are armed: they use the new map from that step on.
 * 3. The hold is released once every rank has confirmed that it is armed, usually before
 *    the step is reached.
 *
 * A coordinator that takes over makes all agents promise to reject lower ballots,
 * completes a switch that is armed at any rank, and releases the hold. When the group is
 * re-formed, no rank is armed or holds a step.
 *
 * The agent performs no I/O. It belongs to one thread.
 */
#ifndef BURDOCK_MAP_AGENT_H
#define BURDOCK_MAP_AGENT_H

#include "copy-plan.h"
#include "message.h"

/* An engine answers an order within about 2 ms, also from another failure domain. An
 * order that times out may still be carried out later; it is retried. */
#define BURDOCK_ORDER_TIMEOUT_MS 30

typedef struct BurdockMapAgent BurdockMapAgent;

/**
 * struct BurdockRankReport - state of a rank as the local engine reports it
 * @epoch: grows whenever the group is re-formed
 * @size: number of ranks in the group
 * @open: the group is complete and runs steps
 * @active: requests that the rank runs
 * @step: last step that was begun
 * @map_version: version of the map in use
 * @loaded_version: version whose experts have been loaded, 0 for none
 * @armed_version: version that the rank switches to at @armed_step, 0 for none
 * @armed_step: 0 if the engine does not report the step
 * @held_step: step that the group does not begin, 0 for none
 */
typedef struct {
  char group[BURDOCK_NAME_BYTES];
  uint64_t epoch;
  uint32_t rank;
  uint32_t size;
  bool open;
  uint32_t active;
  uint64_t step;
  uint64_t map_version;
  uint64_t loaded_version;
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
} BurdockRankReport;

/**
 * enum BurdockMapOrderKind - orders to an engine
 * @BURDOCK_ORDER_LOAD: load the experts of a map
 * @BURDOCK_ORDER_ARM: use a loaded map from a given step on
 * @BURDOCK_ORDER_HOLD: do not begin a given step
 * @BURDOCK_ORDER_RELEASE: end the hold of a given step
 */
typedef enum {
  BURDOCK_ORDER_LOAD = 1,
  BURDOCK_ORDER_ARM,
  BURDOCK_ORDER_HOLD,
  BURDOCK_ORDER_RELEASE,
} BurdockMapOrderKind;

/**
 * struct BurdockMapOrder - order to an engine, completed by
 * burdock_map_agent_order_done()
 * @upstream: address of the engine; port 0 for the local one
 * @map: map to load for BURDOCK_ORDER_LOAD, otherwise NULL; borrowed
 */
typedef struct {
  uint64_t id;
  BurdockAddress upstream;
  BurdockMapOrderKind kind;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  const BurdockReplicaMap *map;
} BurdockMapOrder;

/**
 * struct BurdockMapAgentHandler - callbacks through which the agent acts
 * @send: sends a datagram to @count agents or gateways
 * @order: sends an order to an engine
 * @refresh: requests a new report and, if @counts is set, new token counts
 * @random: returns a uniformly distributed 64-bit value
 * @log: logs a decision of the agent
 * @warn: logs a condition that does not pass by itself; NULL for none
 */
typedef struct {
  void *ctx;
  void (*send) (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
                uint32_t count);
  void (*order) (void *ctx, const BurdockMapOrder *order);
  void (*refresh) (void *ctx, bool counts);
  uint64_t (*random) (void *ctx);
  void (*log) (void *ctx, const char *step, const char *detail);
  void (*warn) (void *ctx, const char *step, const char *detail);
} BurdockMapAgentHandler;

/**
 * struct BurdockMapAgentSettings - identity and addresses of the agent
 * @control: address of the agent; agents of other ranks use the same port
 * @upstream: address of the local engine
 */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  BurdockAddress control;
  BurdockAddress upstream;
} BurdockMapAgentSettings;

/**
 * struct BurdockMapAgentStats - metrics of the agent
 * @switches: map switches that this agent completed as coordinator
 * @switches_failed: plans and switches that this agent gave up as coordinator
 * @switches_failed_in_row: those since the last map switch of the group, 0 if another
 *   agent coordinates
 * @orders: orders sent to engines, retries included
 * @orders_failed: orders that were rejected or timed out
 * @loads: expert copies loaded by the planned maps
 * @changes_tried: changes whose gain the planner computed, a measure of its work
 * @recoveries: takeovers from another coordinator
 * @peak: load of the most loaded ranks at the last plan, relative to even loads
 */
typedef struct {
  uint64_t switches;
  uint64_t switches_failed;
  uint32_t switches_failed_in_row;
  uint64_t orders;
  uint64_t orders_failed;
  uint64_t loads;
  uint64_t changes_tried;
  uint64_t recoveries;
  double peak;
} BurdockMapAgentStats;

/**
 * burdock_map_agent_new() - creates an agent; @settings and @handler are copied
 * Returns NULL without memory. Release with burdock_map_agent_free().
 */
BurdockMapAgent *burdock_map_agent_new (const BurdockMapAgentSettings *settings,
                                        const BurdockMapAgentHandler *handler);
void burdock_map_agent_free (BurdockMapAgent *agent);

/** burdock_map_agent_handle_report() - handles a report of the local engine */
void burdock_map_agent_handle_report (BurdockMapAgent *agent,
                                      const BurdockRankReport *report, uint64_t now_us);

/**
 * burdock_map_agent_handle_counts() - handles the tokens of each expert since the engine
 * started
 * @counts: cumulative counts, layer by layer
 * @count: number of values
 */
void burdock_map_agent_handle_counts (BurdockMapAgent *agent, const uint64_t *counts,
                                      uint32_t count);

/**
 * burdock_map_agent_handle_hosted_experts() - handles the experts of the local rank in
 * map @version
 * @hosted: layer by layer, the number of experts and then the experts, one byte each
 */
void burdock_map_agent_handle_hosted_experts (BurdockMapAgent *agent, uint64_t epoch,
                                              uint64_t version, const uint8_t *hosted,
                                              uint32_t length_bytes);

/** burdock_map_agent_needs_hosted_experts() - whether the experts of the local rank in
 * the map in use are unknown; then call burdock_map_agent_handle_hosted_experts() */
bool burdock_map_agent_needs_hosted_experts (const BurdockMapAgent *agent);

/** burdock_map_agent_receive() - handles a roster, a rank state or a map command */
void burdock_map_agent_receive (BurdockMapAgent *agent, BurdockAddress from,
                                const BurdockMessage *message, uint64_t now_us);

/**
 * burdock_map_agent_order_done() - reports the result of an order
 * @id: id of the &struct BurdockMapOrder
 * @status: 0 if accepted or already in effect; -EEXIST if it conflicts with the engine's
 *   state; -ETIMEDOUT if unknown, the order may be carried out later; other errors: not
 *   carried out
 */
void burdock_map_agent_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                                   uint64_t now_us);

/** burdock_map_agent_tick() - runs due timers; returns the time of the next call, in us,
 * UINT64_MAX without a report of the engine */
uint64_t burdock_map_agent_tick (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_map_agent_leave() - begins a planned stop: a switch in which no rank holds a
 * step yet is abandoned, and no other one is begun */
void burdock_map_agent_leave (BurdockMapAgent *agent);

/** burdock_map_agent_may_end() - whether no rank holds a step that this agent would have
 * to release; to be called after each tick while the agent leaves */
bool burdock_map_agent_may_end (const BurdockMapAgent *agent);

BurdockMapAgentStats burdock_map_agent_stats (const BurdockMapAgent *agent);

#endif
