/**
 * DOC: map-agent.h - keeps the expert map of a rank in step with its group
 *
 * One agent runs beside each rank. The agent of the lowest rank that is heard coordinates
 * the group: it collects the popularity of experts, plans a map, has all ranks load it
 * and switches them. A switch never lets ranks run a step with different maps:
 *
 * 1. The coordinator's own rank holds a step that lies a little ahead. The group does not
 *    begin that step.
 * 2. All ranks are armed: they use the new map from that step on.
 * 3. Only when every rank has confirmed that, the hold is released, usually before the
 *    step is reached.
 *
 * A coordinator that takes over has all agents promise to obey no older one, completes
 * what was armed at any rank, and releases the hold. Whatever is armed or held is gone
 * when the group is formed anew.
 *
 * The agent performs no I/O. It belongs to one thread.
 */
#ifndef BURDOCK_MAP_AGENT_H
#define BURDOCK_MAP_AGENT_H

#include "copy-plan.h"
#include "message.h"

/* Orders are answered within about two milliseconds, also by an engine in another failure
 * domain. One that is not answered by then may be carried out later; it is given again.
 */
#define BURDOCK_ORDER_TIMEOUT_MS 30

typedef struct BurdockMapAgent BurdockMapAgent;

/**
 * struct BurdockRankReport - what the local engine says of itself
 * @active: requests that the rank runs
 * @armed_step: 0 if the engine does not tell the step
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

/** enum BurdockMapOrderKind - orders to an engine */
typedef enum {
  BURDOCK_ORDER_LOAD = 1,
  BURDOCK_ORDER_ARM,
  BURDOCK_ORDER_HOLD,
  BURDOCK_ORDER_RELEASE,
} BurdockMapOrderKind;

/**
 * struct BurdockMapOrder - order to an engine, answered by burdock_map_agent_order_done()
 * @upstream: engine; port 0 for the local one
 * @map: for LOAD, otherwise NULL
 */
typedef struct {
  uint64_t id;
  BurdockAddress upstream;
  BurdockMapOrderKind kind;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  const BurdockCopyMap *map;
} BurdockMapOrder;

/**
 * struct BurdockMapAgentHandler - effects
 * @send: datagram to agents or gateways
 * @order: order to an engine
 * @refresh: asks for a new report and, if @counts, for new counts
 * @random: uniform value
 * @log: decision of the agent
 */
typedef struct {
  void *ctx;
  void (*send) (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
                uint32_t count);
  void (*order) (void *ctx, const BurdockMapOrder *order);
  void (*refresh) (void *ctx, bool counts);
  uint64_t (*random) (void *ctx);
  void (*log) (void *ctx, const char *step, const char *detail);
} BurdockMapAgentHandler;

/**
 * struct BurdockMapAgentSettings - identity of the agent
 * @control: address of the agent; agents of other ranks use the same port
 * @upstream: address of the local engine
 */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  BurdockAddress control;
  BurdockAddress upstream;
} BurdockMapAgentSettings;

/** struct BurdockMapAgentFigures - for metrics */
typedef struct {
  uint64_t switches;
  uint64_t orders;
  uint64_t orders_failed;
  uint64_t loads;
  uint64_t recoveries;
  double peak;
} BurdockMapAgentFigures;

BurdockMapAgent *burdock_map_agent_new (const BurdockMapAgentSettings *settings,
                                        const BurdockMapAgentHandler *handler);
void burdock_map_agent_free (BurdockMapAgent *agent);

/** burdock_map_agent_report() - state of the local engine */
void burdock_map_agent_report (BurdockMapAgent *agent, const BurdockRankReport *report,
                               uint64_t now_us);

/**
 * burdock_map_agent_counts() - tokens of each expert since the engine started
 * @counts: layer by layer; @count values
 */
void burdock_map_agent_counts (BurdockMapAgent *agent, const uint64_t *counts,
                               uint32_t count);

/**
 * burdock_map_agent_hosted() - experts of the local rank in the map of @version
 * @hosted: layer by layer, the number of experts and then the experts
 */
void burdock_map_agent_hosted (BurdockMapAgent *agent, uint64_t epoch, uint64_t version,
                               const uint8_t *hosted, uint32_t length_bytes);

/** burdock_map_agent_needs_hosted() - whether the experts of the local rank are unknown
 */
bool burdock_map_agent_needs_hosted (const BurdockMapAgent *agent);

void burdock_map_agent_receive (BurdockMapAgent *agent, BurdockAddress from,
                                const BurdockMessage *message, uint64_t now_us);

/**
 * burdock_map_agent_order_done() - end of an order
 * @status: 0 accepted or already so; -EEXIST the engine's state does not fit; -ETIMEDOUT
 *   unknown, may be carried out later; other errors: not carried out
 */
void burdock_map_agent_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                                   uint64_t now_us);

/** burdock_map_agent_tick() - time passes; returns when to call again */
uint64_t burdock_map_agent_tick (BurdockMapAgent *agent, uint64_t now_us);

BurdockMapAgentFigures burdock_map_agent_figures (const BurdockMapAgent *agent);

#endif
