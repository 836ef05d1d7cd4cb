#include "gateway.h"

#include "configuration.h"
#include "error.h"
#include "gateway-evacuation.h"
#include "handover.h"
#include "log.h"
#include "quarantine.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Delay of the next call after a change of the configuration. Versions may come in quick
 * succession, and each has to be in force within 2 s or more. */
#define CONFIG_CHANGES_DELAY_MS 300

/* Delay of the next call after changes of upstreams, as a part of the time within which a
 * change has to be applied. Instances that start or leave together cause bursts of
 * changes, each of which ends the calls of all gateways. The store answers only so many
 * calls per second of all processes together, and rejects the others. */
#define CHANGES_DELAY_RATIO 0.25
#define CHANGES_DELAY_MAX_MS 1000

/* Time in which the gateways read a change after each other, beside that delay. */
#define UPSTREAM_LAG_MS 300

/* The store answers a call that is not a long poll well within this time. */
#define POLL_MIN_US UINT64_C (1000000)

static uint32_t
changes_delay_ms (double drain_limit_ms)
{
  double delay_ms = drain_limit_ms * CHANGES_DELAY_RATIO;

  return delay_ms < CHANGES_DELAY_MAX_MS ? (uint32_t)delay_ms : CHANGES_DELAY_MAX_MS;
}

static uint64_t
random_value (void *ctx)
{
  return burdock_runtime_random (ctx);
}

static void
notify_traffic (BurdockGateway *gateway)
{
  burdock_loop_post (gateway->traffic.runtime.loop, burdock_gateway_traffic_apply_updates,
                     gateway);
}

void
burdock_gateway_publish_table (BurdockGateway *gateway, BurdockRouteTable *table)
{
  burdock_route_table_unref (burdock_slot_put (&gateway->published_table, table));
  notify_traffic (gateway);
}

static const char *
config_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  char source[48];

  if (strcmp (row->key, BURDOCK_PLATFORM_CONFIG_KEY) != 0)
    return burdock_gateway_evacuation_row (gateway, row);
  if (row->value.data == NULL)
    return NULL;
  snprintf (source, sizeof source, "row version %" PRIu64, row->version);
  burdock_gateway_configuration_read (gateway, row->value, row->era, source);
  return NULL;
}

static void
config_begin (void *ctx, uint64_t era)
{
  burdock_gateway_evacuation_begin (ctx, era);
}

static void
config_end (void *ctx, bool listing)
{
  BurdockGateway *gateway = ctx;

  burdock_gateway_evacuation_end (gateway, listing);
  gateway->control.config_listed = true;
}

static void
config_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  burdock_log (reachable ? BURDOCK_LOG_INFO : BURDOCK_LOG_WARNING,
               reachable ? "store regained" : "store lost", "-", "configuration: %s",
               reason);
}

static void
add_gone (void *ctx, const char *id, uint64_t born_ms)
{
  BurdockUpstreamList *list = ctx;
  size_t size_bytes = (list->gone_count + 1) * sizeof (BurdockGoneUpstream);
  BurdockGoneUpstream *gone = realloc (list->gone, size_bytes);
  BurdockGoneUpstream added = { .born_ms = born_ms };

  if (gone == NULL)
    abort ();
  list->gone = gone;
  if (burdock_copy_text (added.id, sizeof added.id, id))
    gone[list->gone_count++] = added;
}

void
burdock_gateway_free_upstreams (BurdockUpstreamList *list)
{
  if (list != NULL)
    free (list->gone);
  free (list);
}

void
burdock_gateway_publish_upstreams (BurdockGateway *gateway)
{
  const BurdockUpstreamRegistry *registry = gateway->control.upstreams;
  uint32_t count = burdock_upstream_registry_count (registry);
  BurdockUpstreamList *list = malloc (sizeof *list + count * sizeof (BurdockUpstream));

  if (list == NULL)
    abort ();
  *list = (BurdockUpstreamList){ .count = count };
  burdock_upstream_registry_copy (registry, list->items);
  burdock_upstream_registry_each_gone (registry, burdock_loop_now_us (), add_gone, list);
  burdock_gateway_free_upstreams (burdock_slot_put (&gateway->published_upstreams, list));
  notify_traffic (gateway);
}

static void
log_upstream (void *ctx, const char *step, const char *id, const char *detail)
{
  burdock_log (BURDOCK_LOG_INFO, step, id, "%s", detail);
}

static const char *
upstream_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  BurdockUpstreamRegistry *registry = gateway->control.upstreams;
  BurdockUpstream upstream;
  uint64_t now_us = burdock_loop_now_us ();

  if (row->version > gateway->upstream_version)
    gateway->upstream_version = row->version;
  if (row->removed) {
    burdock_upstream_registry_remove (registry, row->key, now_us);
  } else if (row->value.data == NULL ||
             burdock_platform_decode_upstream (row->key, row->value, &upstream) < 0) {
    burdock_upstream_registry_reject (registry, row->key, now_us);
    return "the entry is invalid and ignored";
  } else {
    upstream.row_version = row->version;
    upstream.read_us = now_us;
    burdock_upstream_registry_put (registry, &upstream, row->version, now_us);
  }
  return NULL;
}

static void
upstream_begin (void *ctx, uint64_t era)
{
  BurdockGateway *gateway = ctx;

  gateway->upstream_version = 0;
  burdock_upstream_registry_begin_listing (gateway->control.upstreams, era,
                                           burdock_loop_now_us ());
}

static void
upstream_end (void *ctx, bool listing)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  if (listing)
    burdock_upstream_registry_end_listing (control->upstreams, burdock_loop_now_us ());
  control->upstreams_listed = true;
  burdock_gateway_publish_upstreams (gateway);
}

static void
upstream_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  burdock_log (reachable ? BURDOCK_LOG_INFO : BURDOCK_LOG_WARNING,
               reachable ? "store regained" : "store lost", "-", "upstreams: %s", reason);
  if (reachable && control->upstreams_listed)
    burdock_upstream_registry_store_regained (control->upstreams, since_us);
}

static uint64_t
expire_upstreams (BurdockGateway *gateway, uint64_t now_us)
{
  bool changed;
  uint64_t next_us =
      burdock_upstream_registry_expire (gateway->control.upstreams, now_us, &changed);

  if (changed)
    burdock_gateway_publish_upstreams (gateway);
  return next_us;
}

void
burdock_gateway_control_wake (void *ctx)
{
}

/* Another gateway read a later change a while ago, so the answer was probably lost. */
static uint64_t
check_upstream_lag (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  uint64_t version = burdock_table_watch_version (control->upstream_watch);
  bool behind = control->upstreams_listed &&
                gateway->peer_store_era == control->store.era &&
                gateway->peer_upstream_version > version;
  uint64_t due_us;

  if (!burdock_store_lag_is_due (&control->upstream_lag, behind, control->upstream_lag_us,
                                 now_us, &due_us))
    return due_us;
  burdock_log (BURDOCK_LOG_WARNING, "upstreams behind", "-",
               "version %" PRIu64 ", another gateway has read %" PRIu64
               "; calling the store again",
               version, gateway->peer_upstream_version);
  burdock_table_watch_call_again (control->upstream_watch, control->upstream_lag_us,
                                  now_us);
  return due_us;
}

/* The long polls of all gateways may be without an answer at once. */
static uint64_t
take_store_turn (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;

  if (!control->upstreams_listed || gateway->gateway_count == 0)
    return BURDOCK_LOOP_NEVER_US;
  if (burdock_store_turn_is_due (&control->store_turn, gateway->gateway_count, now_us)) {
    burdock_table_watch_call_again (control->config_watch, POLL_MIN_US, now_us);
    burdock_table_watch_call_again (control->upstream_watch, POLL_MIN_US, now_us);
  }
  return control->store_turn.next_us;
}

static void
quarantine_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  if (!reachable)
    burdock_log (BURDOCK_LOG_WARNING, "store lost", "-", "quarantine: %s", reason);
}

/* The table is read once: later changes come from the other gateways. */
static uint64_t
tick_quarantine (BurdockGatewayControl *control, uint64_t now_us)
{
  uint64_t next_us = burdock_row_writer_tick (control->quarantine_writer, now_us);
  uint64_t watch_us;

  if (control->quarantine_listed) {
    burdock_table_watch_free (control->quarantine_watch);
    control->quarantine_watch = NULL;
    return next_us;
  }
  watch_us = burdock_table_watch_tick (control->quarantine_watch, now_us);
  return watch_us < next_us ? watch_us : next_us;
}

/* What was written since the copy is gone when the store has returned from it. */
static void
follow_era (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;
  uint64_t era;

  burdock_store_client_note_era (&control->store, gateway->peer_store_era,
                                 "another gateway");
  era = control->store.era;
  if (era == control->followed_era)
    return;
  if (control->followed_era != 0)
    burdock_loop_post (gateway->traffic.runtime.loop,
                       burdock_gateway_quarantine_store_again, gateway);
  control->followed_era = era;
}

static uint64_t
earlier (uint64_t a_us, uint64_t b_us)
{
  return a_us < b_us ? a_us : b_us;
}

static uint64_t
control_hook (void *ctx, uint64_t now_us)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;
  uint64_t next_us = expire_upstreams (gateway, now_us);

  follow_era (gateway);
  next_us = earlier (next_us, burdock_gateway_configuration_check (gateway, now_us));
  next_us = earlier (next_us, check_upstream_lag (gateway, now_us));
  next_us = earlier (next_us, burdock_gateway_evacuation_check (gateway, now_us));
  next_us = earlier (next_us, take_store_turn (gateway, now_us));
  next_us = earlier (next_us, burdock_table_watch_tick (control->config_watch, now_us));
  next_us = earlier (next_us, burdock_table_watch_tick (control->upstream_watch, now_us));
  next_us = earlier (next_us, tick_quarantine (control, now_us));
  return earlier (next_us, burdock_gateway_handover_tick (gateway, now_us));
}

int
burdock_gateway_control_init (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;
  BurdockTableHandler config = { .ctx = gateway,
                                 .begin = config_begin,
                                 .row = config_row,
                                 .end = config_end,
                                 .reachable = config_reachable };
  BurdockTableHandler upstreams = { .ctx = gateway,
                                    .begin = upstream_begin,
                                    .row = upstream_row,
                                    .end = upstream_end,
                                    .reachable = upstream_reachable };
  BurdockTableHandler quarantine = { .ctx = gateway,
                                     .begin = burdock_gateway_quarantine_begin,
                                     .row = burdock_gateway_quarantine_row,
                                     .end = burdock_gateway_quarantine_listed,
                                     .reachable = quarantine_reachable };
  int status = burdock_runtime_init (&control->runtime);

  if (status < 0)
    return status;
  control->upstreams = burdock_upstream_registry_new (log_upstream, gateway);
  if (control->upstreams == NULL)
    return -ENOMEM;
  control->store = (BurdockStoreClient){ .loop = control->runtime.loop,
                                         .client = control->runtime.client,
                                         .random_ctx = &control->runtime,
                                         .random = random_value };
  control->store.url = gateway->settings.store_url;
  control->config_watch =
      burdock_table_watch_new (&control->store, BURDOCK_PLATFORM_CONFIG_TABLE,
                               CONFIG_CHANGES_DELAY_MS, &config);
  control->store_turn.gateway = gateway->id;
  control->upstream_lag_us =
      (changes_delay_ms (gateway->settings.drain_limit_ms) + UPSTREAM_LAG_MS) * US_PER_MS;
  control->upstream_watch =
      burdock_table_watch_new (&control->store, BURDOCK_PLATFORM_UPSTREAM_TABLE,
                               changes_delay_ms (gateway->settings.drain_limit_ms),
                               &upstreams);
  control->quarantine_watch =
      burdock_table_watch_new (&control->store, BURDOCK_QUARANTINE_TABLE, 0, &quarantine);
  control->quarantine_writer =
      burdock_row_writer_new (&control->store, BURDOCK_QUARANTINE_TABLE);
  if (control->quarantine_watch == NULL || control->quarantine_writer == NULL)
    return -ENOMEM;
  burdock_loop_add_hook (control->runtime.loop, control_hook, gateway);
  return 0;
}

void
burdock_gateway_control_clear (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;

  burdock_gateway_handover_clear (gateway);
  burdock_table_watch_free (control->config_watch);
  burdock_table_watch_free (control->upstream_watch);
  burdock_table_watch_free (control->quarantine_watch);
  burdock_row_writer_free (control->quarantine_writer);
  burdock_gateway_quarantine_clear (gateway);
  burdock_gateway_evacuation_clear (gateway);
  burdock_upstream_registry_free (control->upstreams);
  burdock_runtime_clear (&control->runtime);
}
