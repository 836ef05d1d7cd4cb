/**
 * DOC: agent.h - internal interface of the agent daemon
 *
 * The control thread runs the control object and an HTTP server for health, metrics and
 * the timeline; the traffic thread runs the executor. Each thread has its own client to
 * the upstream.
 */
#ifndef BURDOCK_AGENT_H
#define BURDOCK_AGENT_H

#include "http-server.h"
#include "runtime.h"
#include "settings.h"
#include "slot.h"

#include <stdatomic.h>

typedef struct BurdockAgent BurdockAgent;

/**
 * struct BurdockAgentControl - state of the control thread
 * @runtime: must be the first member, as its address is the context of the callbacks in
 *   &BurdockEnv
 * @leaving: a planned stop has begun
 * @finished: the main thread was notified that the agent is drained
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockAgent *agent;
  BurdockControl *control;
  BurdockHttpServer *http;
  bool leaving;
  bool finished;
} BurdockAgentControl;

/**
 * struct BurdockAgentTraffic - state of the traffic thread
 * @runtime: must be the first member, as in &BurdockAgentControl
 * @next_usage_us: time of the next load report to the control thread
 * @finishing: the process ends once the outcome of each attempt is written
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockAgent *agent;
  BurdockExecutor *executor;
  uint64_t next_usage_us;
  bool finishing;
} BurdockAgentTraffic;

/**
 * struct BurdockAgent - agent daemon
 * @snapshot_slot: newest snapshot, from the control thread to the traffic thread
 * @usage_slot: newest load figures, from the traffic thread to the control thread
 * @in_flight: number of attempts that have not ended, plus the number of connections with
 *   answers that are not written yet; set by the traffic thread
 * @stop_end_us: time at which a planned stop gives up the attempts that still run; set
 *   before the traffic thread is told of the stop
 */
struct BurdockAgent {
  BurdockDaemonSettings settings;
  BurdockAgentControl control;
  BurdockAgentTraffic traffic;
  BurdockSlot snapshot_slot;
  BurdockSlot usage_slot;
  atomic_uint in_flight;
  uint64_t stop_end_us;
};

/* Control thread, control-thread.c. */

/**
 * burdock_agent_control_init() - creates the control object and listens
 * A port of 0 in the settings is replaced by the port bound. Returns 0 or a negative
 * error number.
 */
int burdock_agent_control_init (BurdockAgent *agent);

/** burdock_agent_control_clear() - releases everything; the thread must have ended */
void burdock_agent_control_clear (BurdockAgent *agent);

/** burdock_agent_control_leave() - starts a planned stop; @ctx is the &BurdockAgent */
void burdock_agent_control_leave (void *ctx);

/* Traffic thread, traffic-thread.c. */

/**
 * burdock_agent_traffic_init() - creates the executor and listens
 * A port of 0 in the settings is replaced by the port bound. Returns 0 or a negative
 * error number.
 */
int burdock_agent_traffic_init (BurdockAgent *agent);

/** burdock_agent_traffic_clear() - releases everything; the thread must have ended */
void burdock_agent_traffic_clear (BurdockAgent *agent);

/** burdock_agent_traffic_leave() - from now on, attempts that may outlast the stop are
 * refused; @ctx is the &BurdockAgent */
void burdock_agent_traffic_leave (void *ctx);

/** burdock_agent_traffic_give_up() - ends all attempts at the end of a planned stop in
 * which the agent was not drained; @ctx is the &BurdockAgent */
void burdock_agent_traffic_give_up (void *ctx);

/**
 * burdock_agent_set_snapshot() - passes the newest published snapshot to the executor
 * @ctx: the &BurdockAgentTraffic; runs on the traffic thread
 */
void burdock_agent_set_snapshot (void *ctx);

/* Health, metrics and timeline, admin.c. */

/** burdock_agent_handle_request() - answers a request; @ctx is the &BurdockAgentControl
 */
void burdock_agent_handle_request (void *ctx, BurdockHttpRequest *http);

#endif
