/**
 * DOC: gateway.h - burdock-gateway, which forwards requests of callers to upstreams
 *
 * The control thread reads the configuration and the upstreams from the store and
 * publishes immutable copies to the traffic thread, which serves callers and exchanges
 * heartbeats with other gateways. The main thread waits for signals.
 */
#ifndef BURDOCK_GATEWAY_H
#define BURDOCK_GATEWAY_H

#include "answer-times.h"
#include "balancer.h"
#include "config-stamp.h"
#include "datagram.h"
#include "evacuation.h"
#include "handover-policy.h"
#include "http-server.h"
#include "leaving-upstreams.h"
#include "memory-budget.h"
#include "part-quarantine.h"
#include "row-decoder.h"
#include "row-writer.h"
#include "route-table.h"
#include "request-work.h"
#include "runtime.h"
#include "settings.h"
#include "slot.h"
#include "stop-policy.h"
#include "store-share.h"
#include "table-watch.h"
#include "upstream-registry.h"

#define BURDOCK_GATEWAY_PEERS_MAX 512

typedef struct BurdockForward BurdockForward;

/** struct BurdockGoneUpstream - start of an upstream that has gone */
typedef struct {
  char id[BURDOCK_NAME_BYTES];
  uint64_t born_ms;
} BurdockGoneUpstream;

/**
 * struct BurdockUpstreamList - all upstreams in the store; the thread that takes it from
 * the slot frees it
 * @gone: upstreams that have gone lately, released with free()
 */
typedef struct {
  uint32_t gone_count;
  BurdockGoneUpstream *gone;
  uint32_t count;
  BurdockUpstream items[];
} BurdockUpstreamList;

/**
 * struct BurdockGatewayPeer - another gateway, with the data of its last heartbeat
 * @added_us: time at which its address became known
 * @last_heartbeat_us: time of its last heartbeat, 0 before the first one
 * @address: address for heartbeats
 * @http_address: address for callers
 * @ready: callers may be directed to it
 * @leaving: it is shutting down
 */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  uint64_t added_us;
  uint64_t last_heartbeat_us;
  uint32_t interval_ms; /* time between its heartbeats */
  BurdockAddress address;
  BurdockAddress http_address;
  bool ready;
  bool leaving;
} BurdockGatewayPeer;

/**
 * struct BurdockAgentPeer - possible agent of a rank, beside an upstream
 * @address: address for datagrams
 * @upstream: address of the upstream
 * @roster_sent: the agent was sent a roster since its upstream was listed
 */
typedef struct {
  BurdockAddress address;
  BurdockAddress upstream;
  bool roster_sent;
  char pool[BURDOCK_NAME_BYTES];
} BurdockAgentPeer;

/* Bucket i of a histogram counts times below 2^i ms that no lower bucket counts; the last
 * bucket counts all others. */
#define BURDOCK_HISTOGRAM_BUCKETS 16

/**
 * struct BurdockGatewayCounters - totals since the start
 * @requests: requests received
 * @complete: requests whose complete answer was passed to the HTTP server
 * @refused: requests that did not run, answered with 503
 * @failed: requests that may have run, answered with 502 or 504
 * @broken: streams that were aborted after a part was delivered
 * @rejected: requests rejected before they were submitted to the balancer
 * @abandoned: requests whose caller disconnected before the final answer
 * @resumed: streams that were resumed at another upstream
 * @events: stream events delivered
 * @connections: connections opened to upstreams
 * @malformed: answers of upstreams that were no HTTP/1.1 responses
 * @quarantined: requests refused because a part of their prompt crashes upstreams
 * @stop_requests: requests received in a planned stop
 * @stop_given_up: requests that may have run and that were given up at the end of the
 *   stop: failed, or broken off
 * @stop_cut: requests whose answer was not delivered when the process ended
 * @stop_unread: connections that the end of the process has reset, with bytes of a caller
 *   that had not been read
 * @first_event_ms: histogram of the time from a request to its first event
 */
typedef struct {
  uint64_t requests;
  uint64_t complete;
  uint64_t refused;
  uint64_t failed;
  uint64_t broken;
  uint64_t rejected;
  uint64_t abandoned;
  uint64_t resumed;
  uint64_t events;
  uint64_t connections;
  uint64_t malformed;
  uint64_t quarantined;
  uint64_t stop_requests;
  uint64_t stop_given_up;
  uint64_t stop_cut;
  uint64_t stop_unread;
  uint64_t first_event_ms[BURDOCK_HISTOGRAM_BUCKETS];
} BurdockGatewayCounters;

/**
 * struct BurdockGatewayControl - state of the control thread
 * @config: the last configuration that was published
 * @config_lag: how long another gateway has had a newer configuration
 * @upstream_lag: how long another gateway has read a later change of the upstreams
 * @upstream_lag_us: time in which this gateway normally reads such a change
 * @evacuation_lag: how long another gateway has read a later evacuation
 * @evacuation_answer: rows of the answer of the store that is being read, NULL for none
 * @store_turn: when this gateway repeats its calls to the store
 * @followed_era: era of the store for which this gateway has written its rows again
 * @config_listed: the table of the configuration was read at least once
 * @upstreams_listed: the table of upstreams was read at least once
 * @handover: what is known of the others while the gateway starts
 * @handover_transfer: call to another gateway, NULL for none
 * @handover_done: the start is over
 * @quarantine_watch: reads the stored quarantine once, then NULL
 * @quarantine_listed: the stored quarantine was read
 * @stored_evidence: rows of it that were read so far, NULL for none
 * @outdated_rows: rows of it that were removed
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockStoreClient store;
  BurdockTableWatch *config_watch;
  BurdockTableWatch *upstream_watch;
  BurdockConfigStamp config;
  BurdockUpstreamRegistry *upstreams;
  BurdockStoreLag config_lag;
  BurdockStoreLag upstream_lag;
  uint64_t upstream_lag_us;
  BurdockStoreLag evacuation_lag;
  struct BurdockGatewayEvacuationAnswer *evacuation_answer;
  BurdockStoreTurn store_turn;
  uint64_t followed_era;
  bool config_listed;
  bool upstreams_listed;
  BurdockHandoverView handover;
  BurdockHttpTransfer *handover_transfer;
  bool handover_done;
  BurdockTableWatch *quarantine_watch;
  BurdockRowWriter *quarantine_writer;
  bool quarantine_listed;
  struct BurdockStoredEvidence *stored_evidence;
  uint32_t outdated_rows;
} BurdockGatewayControl;

/**
 * struct BurdockGatewayColdLog - bounds the log of upstreams that become cold or warm
 * @from_us: start of the present second
 * @lines: lines in it
 * @left_out: changes without a line in it
 */
typedef struct {
  uint64_t from_us;
  uint32_t lines;
  uint32_t left_out;
} BurdockGatewayColdLog;

/**
 * struct BurdockGatewayTraffic - state of the traffic thread
 * @table: route table in use, NULL before the first one
 * @forwards: list of requests that have not been closed
 * @next_handle: last handle given to a request
 * @memory: bound of what is held for callers
 * @buffered_bytes: memory of the answers that are buffered until they are complete
 * @answer_times: times of whole answers, by route
 * @first_event_times: times to the first events of streams, by route
 * @request_work: tokens of the requests, by route
 * @leaving_upstreams: starts of upstreams that have said that they leave
 * @evacuation: failure domains that are evacuated
 * @evacuation_changed: this set has changed since it was given to the balancer
 * @quarantine: prompt parts that crash upstreams
 * @quarantine_loaded: the stored quarantine was received from the control thread
 * @upstreams_received: a list of upstreams was received from the control thread
 * @gone: upstreams that have gone lately
 * @handover_done: the control thread has taken over what other gateways know
 * @keep_alive_max_s: idle time after which a connection to an upstream is not reused, 0
 *   before an upstream has sent a keep-alive timeout
 * @leaving: the gateway is shutting down
 * @stop: which requests it takes meanwhile
 * @ended: the process ends; requests that are still open are cut off
 * @store_share: when the state of the store is sent to the other gateways
 * @roster_round: number of times that rosters were sent to all agents
 * @heartbeats_sent: number of heartbeats sent since the start
 * @peer_offset: index at which the next list of peers starts, so that all peers are
 *   listed in turn
 * @outgoing: buffer for the message being sent
 * @cold_log: which changes of cold upstreams are logged
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockHttpServer *caller_server;
  BurdockHttpServer *ready_server;
  BurdockHttpServer *directory_server;
  BurdockHttpServer *metrics_server;
  BurdockHttpServer *peer_server;
  BurdockDatagramSocket *datagrams;
  BurdockBalancer *balancer;
  BurdockAnswerTimes *answer_times;
  BurdockAnswerTimes *first_event_times;
  BurdockRequestWork request_work;
  BurdockLeavingUpstreams *leaving_upstreams;
  BurdockEvacuation *evacuation;
  bool evacuation_changed;
  BurdockPartQuarantine *quarantine;
  BurdockRouteTable *table;
  BurdockForward *forwards;
  uint32_t forward_count;
  uint64_t next_handle;
  BurdockMemoryBudget memory;
  size_t buffered_bytes;
  bool quarantine_loaded;
  bool upstreams_received;
  uint32_t gone_count;
  BurdockGoneUpstream *gone;
  bool handover_done;
  bool leaving;
  bool ended;
  uint32_t keep_alive_max_s;
  BurdockStopPolicy stop;
  uint64_t next_heartbeat_us;
  uint64_t next_roster_us;
  BurdockStoreShare store_share;
  uint64_t roster_round;
  uint32_t peer_count;
  BurdockGatewayPeer peers[BURDOCK_GATEWAY_PEERS_MAX];
  uint64_t heartbeats_sent;
  uint32_t peer_offset;
  BurdockMessage outgoing;
  BurdockGatewayColdLog cold_log;
  uint32_t agent_count;
  BurdockAgentPeer agents[BURDOCK_LOAD_ITEMS_MAX];
  BurdockGatewayCounters counters;
} BurdockGatewayTraffic;

/**
 * struct BurdockGateway - state of the process
 * @id: burdock_member_id() of the name of the gateway
 * @incarnation: distinguishes starts of the same gateway
 * @stop_end_us: time at which a planned stop gives up the requests that still run; set
 *   before the traffic thread is told of the stop
 * @published_table: &BurdockRouteTable from the control to the traffic thread
 * @peer_config_version: highest version of the configuration that another gateway has
 *   reported, from the traffic to the control thread; valid if @peer_has_config, see
 *   burdock_gateway_peer_config()
 * @newest_peer: control address of a gateway that has reported this version, as the IP
 *   address and 16 bits for the port; 0 for none
 * @peer_ready: a gateway that is ready was heard
 * @peer_store_era: highest era of the store that another gateway has reported, from the
 *   traffic to the control thread
 * @peer_upstream_version: highest version of a change of the upstreams in @peer_store_era
 *   that another gateway has reported
 * @upstream_version: version of the last change of the upstreams that was read in the
 *   present era, from the control to the traffic thread
 * @evacuation_era, @evacuation_version: the last change of an evacuation that this or
 *   another gateway has read, from the traffic to the control thread
 * @gateway_count: number of gateways, this one included, from the traffic to the control
 *   thread; 0 before the first heartbeat
 * @published_upstreams: &BurdockUpstreamList from the control to the traffic thread
 */
typedef struct {
  BurdockDaemonSettings settings;
  uint64_t id;
  uint64_t incarnation;
  uint64_t stop_end_us;
  BurdockGatewayControl control;
  BurdockGatewayTraffic traffic;
  BurdockSlot published_table;
  BurdockSlot published_upstreams;
  _Atomic uint64_t peer_config_version;
  _Atomic bool peer_has_config;
  _Atomic uint64_t newest_peer;
  _Atomic bool peer_ready;
  _Atomic uint64_t peer_store_era;
  _Atomic uint64_t peer_upstream_version;
  _Atomic uint64_t upstream_version;
  _Atomic uint64_t evacuation_era;
  _Atomic uint64_t evacuation_version;
  _Atomic uint32_t gateway_count;
} BurdockGateway;

/**
 * burdock_gateway_control_init() - sets up the state and loop of the control thread
 * Returns 0 or a negative errno value. The thread is started with
 * burdock_runtime_start().
 */
int burdock_gateway_control_init (BurdockGateway *gateway);
void burdock_gateway_control_clear (BurdockGateway *gateway);

/**
 * burdock_gateway_traffic_init() - sets up the state and loop of the traffic thread and
 * listens on all addresses
 * Returns 0; -EADDRNOTAVAIL if an address other than that of the metrics cannot be bound;
 * -ENOMEM; or the error of burdock_runtime_init(). The thread is started with
 * burdock_runtime_start().
 */
int burdock_gateway_traffic_init (BurdockGateway *gateway);
void burdock_gateway_traffic_clear (BurdockGateway *gateway);

/** burdock_gateway_traffic_apply_updates() - applies the route table and upstreams that
 * the control thread has published; runs on the traffic thread */
void burdock_gateway_traffic_apply_updates (void *ctx);

/** burdock_gateway_control_wake() - lets the control thread compare its configuration
 * with that of the other gateways; runs on the control thread */
void burdock_gateway_control_wake (void *ctx);

/** burdock_gateway_publish_table() - hands a route table over to the traffic thread; runs
 * on the control thread */
void burdock_gateway_publish_table (BurdockGateway *gateway, BurdockRouteTable *table);

/** burdock_gateway_traffic_drain() - starts a graceful shutdown; runs on the traffic
 * thread */
void burdock_gateway_traffic_drain (void *ctx);

/** burdock_gateway_traffic_finish() - gives up the requests that still run at the end of
 * a shutdown and answers them; runs on the traffic thread */
void burdock_gateway_traffic_finish (void *ctx);

/** burdock_gateway_is_ready() - whether callers may be directed to this gateway */
bool burdock_gateway_is_ready (const BurdockGateway *gateway);

/** burdock_gateway_handle_datagram() - handles a heartbeat of another gateway or the rank
 * state of an agent */
void burdock_gateway_handle_datagram (void *ctx, BurdockAddress from,
                                      const BurdockMessage *message);

/** burdock_gateway_has_ready_peer() - whether callers may be directed to another gateway
 */
bool burdock_gateway_has_ready_peer (const BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_free_upstreams() - accepts NULL */
void burdock_gateway_free_upstreams (BurdockUpstreamList *list);

/** burdock_gateway_publish_upstreams() - hands the list of upstreams over to the traffic
 * thread; runs on the control thread */
void burdock_gateway_publish_upstreams (BurdockGateway *gateway);

/** burdock_gateway_has_state() - whether configuration, upstreams and quarantine have
 * been read since the start, and what the other gateways know */
bool burdock_gateway_has_state (const BurdockGateway *gateway);

/** burdock_gateway_peer_is_alive() - whether a heartbeat was received within the last
 * few heartbeat intervals of the peer */
bool burdock_gateway_peer_is_alive (const BurdockGatewayPeer *peer, uint64_t now_us);

/** burdock_gateway_peer_config() - highest version of the configuration that another
 * gateway has reported; callable from both threads */
BurdockOptional burdock_gateway_peer_config (const BurdockGateway *gateway);

/** burdock_gateway_send_to_peers() - sends the message of @type in @outgoing of the
 * traffic state to all gateways */
void burdock_gateway_send_to_peers (BurdockGateway *gateway, BurdockMessageType type);

/** burdock_gateway_peers_tick() - sends heartbeats and rosters when due; returns the time
 * of the next call */
uint64_t burdock_gateway_peers_tick (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_handle_local_request() - answers readiness, directory and metrics
 * requests */
void burdock_gateway_handle_local_request (void *ctx, BurdockHttpRequest *request);

/** burdock_forward_request(), burdock_forward_closed() - see &BurdockHttpHandler */
void burdock_forward_request (void *ctx, BurdockHttpRequest *request);
void burdock_forward_closed (void *ctx, BurdockHttpRequest *request, bool complete);

/** burdock_forward_place(), burdock_forward_refuse() - see &BurdockBalancerHandler */
void burdock_forward_place (void *ctx, uint64_t handle, const BurdockUpstream *upstream);
void burdock_forward_refuse (void *ctx, uint64_t handle, BurdockReason reason,
                             uint32_t retry_after_ms);

/** burdock_forward_give_up_all() - gives all open requests their final answer: a refusal
 * if they have not run, otherwise a failure; a stream that has begun is broken off */
void burdock_forward_give_up_all (BurdockGateway *gateway);

/** burdock_forward_withdraw_evacuated() - takes the requests back that have an upstream
 * in an evacuated failure domain and were not sent yet, and places them elsewhere */
void burdock_forward_withdraw_evacuated (BurdockGateway *gateway);

/** burdock_forward_tick() - ends requests that exceed their deadline and retries stalled
 * attempts; returns the time of the next call */
uint64_t burdock_forward_tick (BurdockGateway *gateway, uint64_t now_us);

#endif
