#include "gateway.h"

#include "cold.h"
#include "gateway-evacuation.h"
#include "handover.h"
#include "leaving.h"
#include "log.h"
#include "quarantine.h"
#include "stop.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Request headers of up to 16 KiB, and a few KiB for the output buffer of a stream. */
#define CONNECTION_MEMORY_BYTES (24u << 10)
#define BODY_MAX_BYTES (4u << 20)

/* Connections of callers, at most. Shares of the connections that the process may have:
 * callers get three quarters, the directory an eighth, the three others the rest. */
#define CONNECTIONS_MAX 2500
#define CALLER_SHARE 18
#define DIRECTORY_SHARE 3
#define LOCAL_SHARE 1
#define ALL_SHARES (CALLER_SHARE + DIRECTORY_SHARE + 3 * LOCAL_SHARE)

/* Memory that libmicrohttpd and the gateway need for a connection beside its buffers. */
#define CONNECTION_OVERHEAD_BYTES (8u << 10)

/* Interval of checks for disconnected callers, so that an upstream does not work on a
 * request for another 500 ms after its caller has disconnected. */
#define DISCONNECT_CHECK_MS 100

/* Longer than the configured time for which callers may keep a connection idle. */
#define CONNECTION_IDLE_S 75

static void
apply_table (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockRouteTable *table = burdock_slot_take (&gateway->published_table);

  if (table == NULL)
    return;
  burdock_route_table_unref (traffic->table);
  traffic->table = table;
  burdock_gateway_cold_apply (gateway);
  burdock_log (BURDOCK_LOG_INFO, "configuration in force", "-", "version %" PRIu64,
               table->version);
}

static bool
was_sent_roster (const BurdockAgentPeer *agents, uint32_t count, BurdockAddress upstream)
{
  for (uint32_t i = 0; i < count; i++) {
    if (agents[i].upstream.ipv4 == upstream.ipv4 &&
        agents[i].upstream.port == upstream.port)
      return agents[i].roster_sent;
  }
  return false;
}

static void
list_agents (BurdockGateway *gateway, const BurdockUpstreamList *list)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t previous_count = traffic->agent_count;
  BurdockAgentPeer *previous = malloc ((previous_count + 1) * sizeof *previous);

  if (previous == NULL)
    abort ();
  memcpy (previous, traffic->agents, previous_count * sizeof *previous);
  traffic->agent_count = 0;
  for (uint32_t i = 0; i < list->count && i < BURDOCK_LOAD_ITEMS_MAX; i++) {
    BurdockAgentPeer *agent = &traffic->agents[traffic->agent_count++];

    agent->upstream = list->items[i].address;
    agent->address = (BurdockAddress){ list->items[i].address.ipv4,
                                       gateway->settings.library.control_address.port };
    agent->roster_sent = was_sent_roster (previous, previous_count, agent->upstream);
    memcpy (agent->pool, list->items[i].pool, sizeof agent->pool);
  }
  free (previous);
}

static void
apply_upstreams (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockUpstreamList *list = burdock_slot_take (&gateway->published_upstreams);

  if (list == NULL)
    return;
  traffic->upstreams_received = true;
  list_agents (gateway, list);
  burdock_gateway_leaving_apply (gateway, list);
  burdock_balancer_set_upstreams (traffic->balancer, list->items, list->count,
                                  burdock_loop_now_us ());
  free (traffic->gone);
  traffic->gone = list->gone;
  traffic->gone_count = list->gone_count;
  list->gone = NULL;
  burdock_gateway_free_upstreams (list);
}

void
burdock_gateway_traffic_apply_updates (void *ctx)
{
  BurdockGateway *gateway = ctx;

  apply_table (gateway);
  apply_upstreams (gateway);
}

void
burdock_gateway_traffic_drain (void *ctx)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->leaving = true;
  burdock_stop_policy_begin (&traffic->stop, burdock_loop_now_us (),
                             gateway->stop_end_us);
  traffic->next_heartbeat_us = 0;
  burdock_http_server_disable_keepalive (traffic->caller_server);
  burdock_log (BURDOCK_LOG_INFO, "leaving", "-", "requests in progress %u",
               traffic->forward_count);
}

void
burdock_gateway_traffic_finish (void *ctx)
{
  BurdockGateway *gateway = ctx;

  burdock_stop_policy_close (&gateway->traffic.stop, burdock_loop_now_us ());
  burdock_forward_give_up_all (gateway);
}

static uint64_t
stop_tick (BurdockGatewayTraffic *traffic, uint64_t now_us)
{
  BurdockHttpServer *server = traffic->caller_server;
  uint64_t next_us;
  bool busy;

  if (!traffic->leaving)
    return BURDOCK_LOOP_NEVER_US;
  busy = burdock_http_server_open_count (server) > 0 ||
         burdock_http_server_unread_count (server) > 0 ||
         burdock_http_server_has_pending (server);
  next_us = burdock_stop_policy_update (&traffic->stop, busy, now_us);
  if (traffic->stop.phase >= BURDOCK_STOP_CLOSING)
    burdock_http_server_quiesce (server);
  if (traffic->stop.phase == BURDOCK_STOP_ENDED)
    burdock_stop_notify_drained ();
  return next_us;
}

static uint64_t
traffic_hook (void *ctx, uint64_t now_us)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint64_t next_us = burdock_balancer_tick (traffic->balancer, now_us);
  uint64_t quarantine_us = burdock_gateway_quarantine_tick (gateway, now_us);
  uint64_t forward_us = burdock_forward_tick (gateway, now_us);
  uint64_t peers_us = burdock_gateway_peers_tick (gateway, now_us);
  uint64_t stop_us = stop_tick (traffic, now_us);

  next_us = stop_us < next_us ? stop_us : next_us;
  next_us = quarantine_us < next_us ? quarantine_us : next_us;
  next_us = forward_us < next_us ? forward_us : next_us;
  return peers_us < next_us ? peers_us : next_us;
}

static BurdockHttpServer *
listen_on (BurdockGateway *gateway, BurdockAddress address,
           const BurdockHttpHandler *handler, uint32_t share)
{
  const BurdockDaemonSettings *settings = &gateway->settings;
  uint32_t connections =
      burdock_memory_connections_max (settings->memory_mb, settings->max_fds,
                                      CONNECTION_MEMORY_BYTES +
                                          CONNECTION_OVERHEAD_BYTES);
  uint32_t own_connections = (connections * share + ALL_SHARES - 1) / ALL_SHARES;
  BurdockHttpLimits limits = { .body_bytes = BODY_MAX_BYTES,
                               .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
                               .connections = own_connections < CONNECTIONS_MAX
                                                  ? own_connections
                                                  : CONNECTIONS_MAX,
                               .idle_s = CONNECTION_IDLE_S,
                               .disconnect_check_ms = DISCONNECT_CHECK_MS,
                               .budget = &gateway->traffic.memory };
  BurdockHttpServer *server =
      burdock_http_server_new_limited (gateway->traffic.runtime.loop, &address, NULL,
                                       handler, &limits);
  char text[24];

  burdock_address_format (address, text, sizeof text);
  if (server == NULL)
    burdock_log (BURDOCK_LOG_ERROR, "listen", text, "cannot listen on the address");
  return server;
}

static void
ignore_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
}

static int
listen_on_all (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockHttpHandler caller_handler = { .ctx = gateway,
                                        .request = burdock_forward_request,
                                        .closed = burdock_forward_closed };
  BurdockHttpHandler local_handler = { .ctx = gateway,
                                       .request = burdock_gateway_handle_local_request,
                                       .closed = ignore_closed };
  BurdockHttpHandler peer_handler = { .ctx = gateway,
                                      .request = burdock_gateway_handover_answer,
                                      .closed = ignore_closed };

  traffic->caller_server = listen_on (gateway, gateway->settings.library.http_address,
                                      &caller_handler, CALLER_SHARE);
  traffic->ready_server =
      listen_on (gateway, gateway->settings.ready_address, &local_handler, LOCAL_SHARE);
  traffic->directory_server = listen_on (gateway, gateway->settings.directory_address,
                                         &local_handler, DIRECTORY_SHARE);
  if (gateway->settings.metrics_address.port != 0)
    traffic->metrics_server = listen_on (gateway, gateway->settings.metrics_address,
                                         &local_handler, LOCAL_SHARE);
  traffic->peer_server = listen_on (gateway, gateway->settings.library.control_address,
                                    &peer_handler, LOCAL_SHARE);
  traffic->datagrams =
      burdock_datagram_socket_new (traffic->runtime.loop,
                                   gateway->settings.library.control_address,
                                   burdock_gateway_handle_datagram, gateway);
  if (traffic->caller_server == NULL || traffic->ready_server == NULL ||
      traffic->directory_server == NULL || traffic->peer_server == NULL ||
      traffic->datagrams == NULL)
    return -EADDRNOTAVAIL;
  return 0;
}

int
burdock_gateway_traffic_init (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockBalancerSettings settings = {
    .seed = gateway->incarnation,
    .retry_ratio = gateway->settings.retry_ratio,
    .retry_allowance = gateway->settings.retry_allowance,
    .cold_overage = gateway->settings.cold_overage,
    .cold_allowance = gateway->settings.cold_allowance,
  };
  BurdockBalancerHandler handler = { .ctx = gateway,
                                     .place = burdock_forward_place,
                                     .refuse = burdock_forward_refuse,
                                     .cold_changed = burdock_gateway_cold_changed };
  int status = burdock_runtime_init (&traffic->runtime);

  burdock_memory_budget_init (&traffic->memory, gateway->settings.memory_mb);
  if (status < 0)
    return status;
  traffic->store_share.gateway = gateway->id;
  memcpy (settings.failure_domain, gateway->settings.library.failure_domain,
          sizeof settings.failure_domain);
  traffic->balancer = burdock_balancer_new (&settings, &handler);
  traffic->answer_times = burdock_answer_times_new ();
  traffic->first_event_times = burdock_answer_times_new ();
  traffic->leaving_upstreams = burdock_leaving_upstreams_new (gateway->id);
  burdock_gateway_evacuation_init (gateway);
  if (traffic->balancer == NULL || traffic->evacuation == NULL ||
      traffic->answer_times == NULL || traffic->first_event_times == NULL ||
      traffic->leaving_upstreams == NULL || burdock_gateway_quarantine_init (gateway) < 0)
    return -ENOMEM;
  burdock_loop_add_hook (traffic->runtime.loop, traffic_hook, gateway);
  return listen_on_all (gateway);
}

void
burdock_gateway_traffic_clear (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->ended = true;
  if (traffic->caller_server != NULL)
    traffic->counters.stop_unread =
        burdock_http_server_unread_count (traffic->caller_server);
  burdock_http_server_free (traffic->caller_server);
  burdock_http_server_free (traffic->ready_server);
  burdock_http_server_free (traffic->directory_server);
  burdock_http_server_free (traffic->metrics_server);
  burdock_http_server_free (traffic->peer_server);
  burdock_datagram_socket_free (traffic->datagrams);
  burdock_balancer_free (traffic->balancer);
  burdock_answer_times_free (traffic->answer_times);
  burdock_answer_times_free (traffic->first_event_times);
  burdock_leaving_upstreams_free (traffic->leaving_upstreams);
  burdock_evacuation_free (traffic->evacuation);
  burdock_part_quarantine_free (traffic->quarantine);
  burdock_route_table_unref (traffic->table);
  free (traffic->gone);
  burdock_runtime_clear (&traffic->runtime);
}
