/* Requests that the gateway answers itself: readiness, directory of gateways, metrics. */
#include "gateway.h"

#include "exchange.h"
#include "text.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Callers cache an answer for this time, some of them for three times as long. A gateway
 * that shuts down continues to serve for longer than that (stop-policy.c). */
#define DIRECTORY_TTL_S 1

#define US_PER_MS UINT64_C (1000)

bool
burdock_gateway_has_state (const BurdockGateway *gateway)
{
  const BurdockGatewayTraffic *traffic = &gateway->traffic;

  return traffic->table != NULL && traffic->upstreams_received &&
         traffic->quarantine_loaded && traffic->handover_done;
}

bool
burdock_gateway_is_ready (const BurdockGateway *gateway)
{
  return !gateway->traffic.leaving && burdock_gateway_has_state (gateway);
}

static bool
accepts_callers (const BurdockGatewayPeer *peer, uint64_t now_us)
{
  return burdock_gateway_peer_is_alive (peer, now_us) && peer->ready && !peer->leaving;
}

bool
burdock_gateway_has_ready_peer (const BurdockGateway *gateway, uint64_t now_us)
{
  const BurdockGatewayTraffic *traffic = &gateway->traffic;

  for (uint32_t i = 0; i < traffic->peer_count; i++) {
    if (accepts_callers (&traffic->peers[i], now_us))
      return true;
  }
  return false;
}

static void
answer_resolve (BurdockGateway *gateway, BurdockHttpRequest *request)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockAddress addresses[BURDOCK_GATEWAY_PEERS_MAX + 1];
  uint64_t now_us = burdock_loop_now_us ();
  uint32_t count = 0;

  if (burdock_gateway_is_ready (gateway))
    addresses[count++] = gateway->settings.library.http_address;
  for (uint32_t i = 0; i < traffic->peer_count; i++) {
    const BurdockGatewayPeer *peer =
        &traffic->peers[(traffic->peer_offset + i) % traffic->peer_count];

    if (accepts_callers (peer, now_us))
      addresses[count++] = peer->http_address;
  }
  traffic->peer_offset++;
  if (count == 0) {
    burdock_http_respond (request, 503, "application/json",
                          strdup ("{\"error\":\"no gateway is ready\"}\n"), NULL);
    return;
  }
  burdock_exchange_answer_resolve (request, addresses, count, DIRECTORY_TTL_S);
}

static uint64_t
answer_age_ms (const BurdockTableWatch *watch)
{
  return (burdock_loop_now_us () - burdock_table_watch_answered_us (watch)) / US_PER_MS;
}

/* Memory held for callers, and what was refused to keep its bound and that of the
 * connections. */
static void
add_memory_metrics (BurdockGatewayTraffic *traffic, BurdockText *text)
{
  BurdockHttpServer *servers[] = { traffic->caller_server, traffic->directory_server,
                                   traffic->ready_server, traffic->metrics_server,
                                   traffic->peer_server };
  uint32_t count = sizeof servers / sizeof servers[0];

  burdock_http_metrics (text, &traffic->memory, servers, count);
}

static void
add_priority_metrics (BurdockText *text, const BurdockBalancerStats *stats)
{
  for (uint32_t i = 0; i < BURDOCK_PRIORITY_LEVELS; i++) {
    const BurdockPriorityStats *priority = &stats->priorities[i];

    if (priority->sent_at_once + priority->waited + priority->refused == 0)
      continue;
    burdock_text_format (text,
                         "burdock_priority_sent_at_once_total{priority=\"%u\"} %" PRIu64
                         "\n"
                         "burdock_priority_waited_total{priority=\"%u\"} %" PRIu64 "\n"
                         "burdock_priority_refused_total{priority=\"%u\"} %" PRIu64 "\n",
                         i, priority->sent_at_once, i, priority->waited, i,
                         priority->refused);
  }
}

static void
answer_metrics (BurdockGateway *gateway, BurdockHttpRequest *request)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  const BurdockGatewayCounters *counters = &traffic->counters;
  BurdockBalancerStats stats = burdock_balancer_stats (traffic->balancer);
  BurdockText text = { 0 };
  struct {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "burdock_requests_total", counters->requests },
    { "burdock_answers_whole_total", counters->complete },
    { "burdock_requests_refused_total", counters->refused },
    { "burdock_requests_failed_total", counters->failed },
    { "burdock_streams_broken_total", counters->broken },
    { "burdock_requests_rejected_total", counters->rejected },
    { "burdock_requests_abandoned_total", counters->abandoned },
    { "burdock_streams_resumed_total", counters->resumed },
    { "burdock_events_total", counters->events },
    { "burdock_upstream_connections_total", counters->connections },
    { "burdock_malformed_answers_total", counters->malformed },
    { "burdock_requests_quarantined_total", counters->quarantined },
    { "burdock_stop_requests_total", counters->stop_requests },
    { "burdock_parts_quarantined", burdock_part_quarantine_count (traffic->quarantine) },
    { "burdock_requests_waiting", stats.waiting },
    { "burdock_upstreams", stats.upstreams },
    { "burdock_outstanding_own", stats.outstanding_own },
    { "burdock_outstanding_all", stats.outstanding_all },
    { "burdock_repeats_total", stats.retries },
    { "burdock_repeats_denied_total", stats.retries_denied },
    { "burdock_generation", traffic->table != NULL ? traffic->table->version : 0 },
    { "burdock_peers", traffic->peer_count },
    { "burdock_store_calls_total", gateway->control.store.calls },
    { "burdock_store_failures_total", gateway->control.store.failures },
    { "burdock_store_era", gateway->control.store.era },
    { "burdock_upstreams_version", gateway->upstream_version },
    { "burdock_upstreams_leaving", stats.leaving },
    { "burdock_evacuated_failure_domains",
      burdock_evacuation_count (traffic->evacuation) },
    { "burdock_upstreams_cold", stats.cold },
    { "burdock_requests_cold_waits_total", stats.cold_waits },
    { "burdock_requests_cold_refused_total", stats.cold_refused },
    { "burdock_upstreams_answer_age_ms",
      answer_age_ms (gateway->control.upstream_watch) },
    { "burdock_configuration_answer_age_ms",
      answer_age_ms (gateway->control.config_watch) },
  };
  char *process_metrics = burdock_runtime_metrics ();

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    burdock_text_format (&text, "%s %" PRIu64 "\n", rows[i].name, rows[i].value);
  add_priority_metrics (&text, &stats);
  for (uint32_t i = 0; i < BURDOCK_HISTOGRAM_BUCKETS; i++)
    burdock_text_format (&text, "burdock_first_event_ms{below=\"%u\"} %" PRIu64 "\n",
                         1u << i, counters->first_event_ms[i]);
  add_memory_metrics (traffic, &text);
  if (process_metrics != NULL)
    burdock_text_add_string (&text, process_metrics);
  free (process_metrics);
  burdock_http_respond (request, 200, "text/plain", burdock_text_take (&text), NULL);
}

void
burdock_gateway_handle_local_request (void *ctx, BurdockHttpRequest *request)
{
  BurdockGateway *gateway = ctx;

  if (burdock_exchange_is_resolve_request (request)) {
    answer_resolve (gateway, request);
  } else if (burdock_exchange_is_readiness_check (request)) {
    bool ready = burdock_gateway_is_ready (gateway);

    burdock_http_respond (request, ready ? 200 : 503, "application/json",
                          strdup (ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"),
                          NULL);
  } else if (strcmp (burdock_http_path (request), "/metrics") == 0) {
    answer_metrics (gateway, request);
  } else {
    burdock_http_respond (request, 404, "application/json",
                          strdup ("{\"error\":\"no such question\"}\n"), NULL);
  }
}
