#include "gateway.h"

#include "log.h"
#include "stop.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Headers of callers are up to 16 KiB; the output of a stream needs a few KiB more. */
#define CONNECTION_MEMORY_BYTES (24u << 10)
#define BODY_MAX_BYTES (4u << 20)

/* Bounds the descriptors of a process: 4,100 less those of files and upstreams. */
#define CONNECTIONS_MAX 2500

/* Callers that went away must not keep an upstream at work for half a second. */
#define GONE_CHECK_MS 100

/* Longer than callers may stay idle on a connection by configuration. */
#define IDLE_S 75

/* Callers that know this address from the directory may connect for three times the
 * lifetime of its answers. */
#define LINGER_US UINT64_C (3500000)

static void
take_table (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockRouteTable *table = burdock_slot_take (&gateway->tables);

  if (table == NULL)
    return;
  burdock_route_table_unref (traffic->table);
  traffic->table = table;
  burdock_log (BURDOCK_LOG_INFO, "configuration in force", "-", "version %" PRIu64,
               table->version);
}

static void
list_agents (BurdockGateway *gateway, const BurdockUpstreamList *list)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->agent_count = 0;
  for (uint32_t i = 0; i < list->count && i < BURDOCK_LOAD_ITEMS_MAX; i++) {
    BurdockAgentPeer *agent = &traffic->agents[traffic->agent_count++];

    agent->upstream = list->items[i].address;
    agent->address = (BurdockAddress){ list->items[i].address.ipv4,
                                       gateway->settings.library.control_address.port };
    memcpy (agent->pool, list->items[i].pool, sizeof agent->pool);
  }
}

static void
take_upstreams (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockUpstreamList *list = burdock_slot_take (&gateway->upstreams);

  if (list == NULL)
    return;
  traffic->has_upstreams = true;
  traffic->next_roster_us = 0; /* agents of new ranks answer with their state */
  list_agents (gateway, list);
  burdock_balancer_set_upstreams (traffic->balancer, list->items, list->count,
                                  burdock_loop_now_us ());
  free (list);
}

void
burdock_gateway_traffic_wake (void *ctx)
{
  BurdockGateway *gateway = ctx;

  take_table (gateway);
  take_upstreams (gateway);
}

void
burdock_gateway_traffic_leave (void *ctx)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->leaving = true;
  traffic->leaving_since_us = burdock_loop_now_us ();
  traffic->next_heartbeat_us = 0;
  burdock_http_server_disable_keepalive (traffic->callers);
  burdock_log (BURDOCK_LOG_INFO, "leaving", "-", "requests in progress %u",
               traffic->forward_count);
}

static uint64_t
traffic_hook (void *ctx, uint64_t now_us)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint64_t next_us = burdock_balancer_tick (traffic->balancer, now_us);
  uint64_t forward_us = burdock_forward_tick (gateway, now_us);
  uint64_t peers_us = burdock_gateway_peers_tick (gateway, now_us);

  if (traffic->leaving && burdock_http_server_open_count (traffic->callers) == 0 &&
      now_us >= traffic->leaving_since_us + LINGER_US)
    burdock_stop_notify_drained ();
  next_us = forward_us < next_us ? forward_us : next_us;
  return peers_us < next_us ? peers_us : next_us;
}

static BurdockHttpServer *
listen_on (BurdockGateway *gateway, BurdockAddress address,
           const BurdockHttpHandler *handler)
{
  BurdockHttpLimits limits = { .body_bytes = BODY_MAX_BYTES,
                               .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
                               .connections = CONNECTIONS_MAX,
                               .idle_s = IDLE_S,
                               .disconnect_check_ms = GONE_CHECK_MS };
  BurdockHttpServer *server =
      burdock_http_server_new_limited (gateway->traffic.runtime.loop, &address, NULL,
                                       handler, &limits);
  char text[24];

  burdock_address_format (address, text, sizeof text);
  if (server == NULL)
    burdock_log (BURDOCK_LOG_ERROR, "listen", text, "address not available");
  return server;
}

static void
ignore_end (void *ctx, BurdockHttpRequest *request, bool whole)
{
}

static int
listen_on_all (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockHttpHandler requests = { .ctx = gateway,
                                  .request = burdock_forward_request,
                                  .closed = burdock_forward_closed };
  BurdockHttpHandler questions = { .ctx = gateway,
                                   .request = burdock_gateway_answer_question,
                                   .closed = ignore_end };

  traffic->callers =
      listen_on (gateway, gateway->settings.library.http_address, &requests);
  traffic->ready = listen_on (gateway, gateway->settings.ready_address, &questions);
  traffic->directory =
      listen_on (gateway, gateway->settings.directory_address, &questions);
  if (gateway->settings.metrics_address.port != 0)
    traffic->metrics = listen_on (gateway, gateway->settings.metrics_address, &questions);
  traffic->datagrams =
      burdock_datagram_socket_new (traffic->runtime.loop,
                                   gateway->settings.library.control_address,
                                   burdock_gateway_peers_receive, gateway);
  if (traffic->callers == NULL || traffic->ready == NULL || traffic->directory == NULL ||
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
  };
  BurdockBalancerHandler handler = { .ctx = gateway,
                                     .place = burdock_forward_place,
                                     .refuse = burdock_forward_refuse };
  int status = burdock_runtime_init (&traffic->runtime);

  if (status < 0)
    return status;
  memcpy (settings.failure_domain, gateway->settings.library.failure_domain,
          sizeof settings.failure_domain);
  traffic->balancer = burdock_balancer_new (&settings, &handler);
  if (traffic->balancer == NULL)
    return -ENOMEM;
  burdock_loop_add_hook (traffic->runtime.loop, traffic_hook, gateway);
  return listen_on_all (gateway);
}

void
burdock_gateway_traffic_clear (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  burdock_http_server_free (traffic->callers);
  burdock_http_server_free (traffic->ready);
  burdock_http_server_free (traffic->directory);
  burdock_http_server_free (traffic->metrics);
  burdock_datagram_socket_free (traffic->datagrams);
  burdock_balancer_free (traffic->balancer);
  burdock_route_table_unref (traffic->table);
  burdock_runtime_clear (&traffic->runtime);
}
