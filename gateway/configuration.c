#include "configuration.h"

#include "handover.h"
#include "log.h"

#include <apr_hash.h>
#include <inttypes.h>

/* The gateways read a change within this time of each other, unless a call to the store
 * has no answer. */
#define CONFIG_LAG_US UINT64_C (800000)

static void
log_configuration (const char *step, const BurdockRouteTable *table, const char *source,
                   const char *order)
{
  burdock_log (BURDOCK_LOG_INFO, step, "-",
               "version %" PRIu64 " era %" PRIu64 " from %s %s routes %u keys %u",
               table->version, table->era, source, order, apr_hash_count (table->routes),
               apr_hash_count (table->api_keys));
}

void
burdock_gateway_configuration_read (BurdockGateway *gateway, BurdockBytes text,
                                    uint64_t era, const char *source)
{
  BurdockConfigStamp *in_force = &gateway->control.config;
  BurdockRouteTable *table;
  BurdockError error = { .step = "read configuration", .detail = "out of memory" };
  BurdockConfigStamp stamp;
  BurdockConfigOrder order;

  if (burdock_platform_decode_routes (text, &table, &error) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, error.step, "-", "from %s: %s", source, error.detail);
    return;
  }
  table->era = era;
  stamp = burdock_config_stamp (table->version, era, text);
  order = burdock_config_order (in_force, &stamp);
  if (order != BURDOCK_CONFIG_NEWER) {
    log_configuration ("configuration not applied", table, source,
                       burdock_config_order_name (order));
    burdock_route_table_unref (table);
    return;
  }
  burdock_config_stamp_replace (in_force, &stamp);
  log_configuration ("configuration read", table, source,
                     burdock_config_order_name (order));
  burdock_gateway_publish_table (gateway, table);
}

/* Another gateway has had a newer configuration for a while, so the answers to the calls
 * in progress were probably lost. Without this, the gateway would notice when the time
 * limit of the long poll ends. */
uint64_t
burdock_gateway_configuration_check (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  BurdockOptional own = burdock_config_stamp_version (&control->config);
  BurdockOptional reported = burdock_gateway_peer_config (gateway);
  char own_text[BURDOCK_OPTIONAL_BYTES];
  uint64_t due_us;

  if (!burdock_store_lag_is_due (&control->config_lag,
                                 burdock_optional_is_above (reported, own), CONFIG_LAG_US,
                                 now_us, &due_us))
    return due_us;
  burdock_optional_format (own, own_text);
  burdock_log (BURDOCK_LOG_WARNING, "configuration behind", "-",
               "version %s, another gateway has %" PRIu64
               "; calling the store and that gateway again",
               own_text, reported.value);
  burdock_table_watch_call_again (control->config_watch, CONFIG_LAG_US, now_us);
  burdock_table_watch_call_again (control->upstream_watch, CONFIG_LAG_US, now_us);
  burdock_gateway_handover_ask (gateway, now_us);
  return due_us;
}
