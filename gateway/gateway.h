/**
 * DOC: gateway.h - burdock-gateway, the process between callers and upstreams
 *
 * The control thread reads configuration and upstreams from the store and hands immutable
 * copies to the traffic thread, which serves callers and exchanges heartbeats. The main
 * thread waits for signals.
 */
#ifndef BURDOCK_GATEWAY_H
#define BURDOCK_GATEWAY_H

#include "balancer.h"
#include "datagram.h"
#include "http-server.h"
#include "row-decoder.h"
#include "route-table.h"
#include "runtime.h"
#include "settings.h"
#include "slot.h"
#include "table-watch.h"

#define BURDOCK_PEERS_MAX 512

typedef struct BurdockForward BurdockForward;

/** struct BurdockUpstreamList - upstreams as last read; owned by who takes it */
typedef struct {
  uint32_t count;
  BurdockUpstream items[];
} BurdockUpstreamList;

/** struct BurdockGatewayPeer - another gateway, as it last described itself */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  uint64_t added_us;
  uint64_t heard_us;
  BurdockAddress address;
  BurdockAddress callers;
  bool ready;
  bool leaving;
} BurdockGatewayPeer;

/** struct BurdockAgentPeer - agent of a rank; @upstream is the address of its runner */
typedef struct {
  BurdockAddress address;
  BurdockAddress upstream;
  char pool[BURDOCK_NAME_BYTES];
} BurdockAgentPeer;

/* Bucket i counts times below 2^i ms, the last one all others. */
#define BURDOCK_HISTOGRAM_BUCKETS 16

/** struct BurdockGatewayCounters - totals since the start */
typedef struct {
  uint64_t requests;
  uint64_t whole;
  uint64_t refused;
  uint64_t failed;
  uint64_t broken;
  uint64_t rejected;
  uint64_t abandoned;
  uint64_t resumed;
  uint64_t events;
  uint64_t connections;
  uint64_t first_event_ms[BURDOCK_HISTOGRAM_BUCKETS];
} BurdockGatewayCounters;

/** struct BurdockGatewayControl - state of the control thread */
typedef struct {
  BurdockRuntime runtime;
  BurdockStoreClient store;
  BurdockTableWatch *config_watch;
  BurdockTableWatch *upstream_watch;
  uint64_t config_version;
  apr_hash_t *upstreams;
  uint64_t store_back_us;
  bool upstreams_whole;
} BurdockGatewayControl;

/** struct BurdockGatewayTraffic - state of the traffic thread */
typedef struct {
  BurdockRuntime runtime;
  BurdockHttpServer *callers;
  BurdockHttpServer *ready;
  BurdockHttpServer *directory;
  BurdockHttpServer *metrics;
  BurdockDatagrams *datagrams;
  BurdockBalancer *balancer;
  BurdockRouteTable *table;
  BurdockForward *forwards;
  uint32_t forward_count;
  uint64_t next_handle;
  uint64_t first_event_us; /* mean time from a send to the first event, 0 unknown */
  bool has_upstreams;
  uint32_t kept_max_s; /* idle time after which connections to upstreams are not used */
  bool leaving;
  uint64_t leaving_since_us;
  uint64_t next_heartbeat_us;
  uint64_t next_roster_us;
  uint64_t roster_round;
  uint32_t peer_count;
  BurdockGatewayPeer peers[BURDOCK_PEERS_MAX];
  uint32_t spread; /* start of the next list of peers */
  BurdockMessage outgoing;
  uint32_t agent_count;
  BurdockAgentPeer agents[BURDOCK_LOAD_ITEMS_MAX];
  BurdockGatewayCounters counters;
} BurdockGatewayTraffic;

typedef struct {
  BurdockDaemonSettings settings;
  uint64_t id;
  uint64_t incarnation;
  BurdockGatewayControl control;
  BurdockGatewayTraffic traffic;
  BurdockSlot tables;
  BurdockSlot upstreams;
} BurdockGateway;

int burdock_gateway_control_init (BurdockGateway *gateway);
void burdock_gateway_control_clear (BurdockGateway *gateway);

int burdock_gateway_traffic_init (BurdockGateway *gateway);
void burdock_gateway_traffic_clear (BurdockGateway *gateway);

/** burdock_gateway_traffic_wake() - takes what the control thread has published */
void burdock_gateway_traffic_wake (void *ctx);

/** burdock_gateway_traffic_leave() - starts the planned stop */
void burdock_gateway_traffic_leave (void *ctx);

/** burdock_gateway_is_ready() - whether callers may be sent here */
bool burdock_gateway_is_ready (const BurdockGateway *gateway);

/** burdock_gateway_peers_* - heartbeats between gateways, and news from agents */
void burdock_gateway_peers_receive (void *ctx, BurdockAddress from,
                                    const BurdockMessage *message);
bool burdock_gateway_peer_is_heard (const BurdockGatewayPeer *peer, uint64_t now_us);
uint64_t burdock_gateway_peers_tick (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_answer_question() - readiness, directory and metrics */
void burdock_gateway_answer_question (void *ctx, BurdockHttpRequest *request);

/** burdock_forward_* - requests of callers */
void burdock_forward_request (void *ctx, BurdockHttpRequest *request);
void burdock_forward_closed (void *ctx, BurdockHttpRequest *request, bool whole);
void burdock_forward_place (void *ctx, uint64_t handle, const BurdockUpstream *upstream);
void burdock_forward_refuse (void *ctx, uint64_t handle, BurdockReason reason,
                             uint32_t retry_after_ms);

/** burdock_forward_tick() - ends requests whose time is up; returns the next time */
uint64_t burdock_forward_tick (BurdockGateway *gateway, uint64_t now_us);

#endif
