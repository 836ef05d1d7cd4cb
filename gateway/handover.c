#include "handover.h"

#include "configuration.h"
#include "gateway-evacuation.h"
#include "json-fields.h"
#include "log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATE_PATH "/state"
#define URL_BYTES 64
#define CALL_TIMEOUT_MS 500
#define PORT_BITS 16

/* {"storeEra":2,"configuration":"{…}","gone":[{"id":"i-1","bornMs":1764860000000}],
 * "evacuation":[{"failureDomain":"z-1","era":2,"version":7,"evacuated":true}]} */
static char *
encode_state (const BurdockGatewayTraffic *traffic)
{
  json_t *gone = json_array ();
  json_t *state =
      json_pack ("{s:I,s:s%,s:o,s:o}", "storeEra", (json_int_t)traffic->table->era,
                 "configuration", (const char *)traffic->table->text.data,
                 (size_t)traffic->table->text.length_bytes, "gone", gone, "evacuation",
                 burdock_gateway_evacuation_encode (traffic));
  char *text = NULL;

  for (uint32_t i = 0; i < traffic->gone_count && state != NULL; i++)
    json_array_append_new (gone,
                           json_pack ("{s:s,s:I}", "id", traffic->gone[i].id, "bornMs",
                                      (json_int_t)traffic->gone[i].born_ms));
  if (state != NULL)
    text = json_dumps (state, JSON_COMPACT);
  json_decref (state);
  return text;
}

static bool
is_peer (const BurdockGatewayTraffic *traffic, uint32_t ipv4)
{
  for (uint32_t i = 0; i < traffic->peer_count; i++) {
    if (traffic->peers[i].address.ipv4 == ipv4 &&
        traffic->peers[i].last_heartbeat_us != 0)
      return true;
  }
  return false;
}

void
burdock_gateway_handover_answer (void *ctx, BurdockHttpRequest *request)
{
  BurdockGateway *gateway = ctx;
  const BurdockGatewayTraffic *traffic = &gateway->traffic;
  const char *error = NULL;
  uint32_t status = 200;
  char *text;

  if (strcmp (burdock_http_path (request), STATE_PATH) != 0) {
    status = 404;
    error = "{\"error\":\"unknown path\"}\n";
  } else if (!is_peer (traffic, burdock_http_peer (request))) {
    status = 403;
    error = "{\"error\":\"not a known gateway\"}\n";
  } else if (traffic->table == NULL) {
    status = 503;
    error = "{\"error\":\"no configuration yet\"}\n";
  }
  text = error != NULL ? strdup (error) : encode_state (traffic);
  burdock_http_respond (request, status, "application/json", text, NULL);
}

static void
merge_gone (BurdockGateway *gateway, const json_t *list)
{
  BurdockUpstreamRegistry *registry = gateway->control.upstreams;
  uint64_t now_us = burdock_loop_now_us ();
  bool changed = false;
  size_t index;
  const json_t *item;

  json_array_foreach (list, index, item)
  {
    const char *id = json_string_value (json_object_get (item, "id"));

    if (id != NULL)
      changed = burdock_upstream_registry_note_gone (registry, id,
                                                     burdock_json_u64 (item, "bornMs"),
                                                     now_us) ||
                changed;
  }
  if (changed)
    burdock_gateway_publish_upstreams (gateway);
}

static bool
take_over (BurdockGateway *gateway, const BurdockHttpResult *result)
{
  json_error_t error;
  json_t *state = burdock_json_load (result->body, result->body_bytes, &error);
  const json_t *configuration = json_object_get (state, "configuration");
  uint64_t era = burdock_json_u64 (state, "storeEra");
  BurdockBytes text = { (const uint8_t *)json_string_value (configuration),
                        (uint32_t)json_string_length (configuration) };

  if (text.data != NULL) {
    burdock_store_client_note_era (&gateway->control.store, era, "another gateway");
    burdock_gateway_configuration_read (gateway, text, era, "another gateway");
    burdock_gateway_evacuation_take_over (gateway, json_object_get (state, "evacuation"));
    if (!gateway->control.handover_done)
      merge_gone (gateway, json_object_get (state, "gone"));
  }
  json_decref (state);
  return text.data != NULL;
}

static void
call_done (void *ctx, const BurdockHttpResult *result)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  control->handover_transfer = NULL;
  if (result->status == 0 && result->http_status == 200 && take_over (gateway, result)) {
    control->handover.taken_over = true;
  } else {
    control->handover.failures++;
    burdock_log (BURDOCK_LOG_WARNING, "take over state", "-", "status %d, HTTP %d",
                 result->status, result->http_status);
  }
  burdock_loop_wake_at (control->runtime.loop, burdock_loop_now_us ());
}

/* Versions of the own configuration and of the highest one of another gateway, for the
 * log. */
static void
format_versions (const BurdockGateway *gateway, char own[BURDOCK_OPTIONAL_BYTES],
                 char reported[BURDOCK_OPTIONAL_BYTES])
{
  burdock_optional_format (burdock_config_stamp_version (&gateway->control.config), own);
  burdock_optional_format (burdock_gateway_peer_config (gateway), reported);
}

void
burdock_gateway_handover_ask (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  uint64_t peer = gateway->newest_peer;
  BurdockAddress address = { .ipv4 = (uint32_t)(peer >> PORT_BITS),
                             .port = (uint16_t)peer };
  char text[24];
  char source[24];
  char url[URL_BYTES];
  char own[BURDOCK_OPTIONAL_BYTES];
  char reported[BURDOCK_OPTIONAL_BYTES];
  BurdockHttpCall call = { .method = "GET",
                           .url = url,
                           .source_ip = source,
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .connect_timeout_ms = CALL_TIMEOUT_MS,
                           .ctx = gateway,
                           .done = call_done };

  if (control->handover_transfer != NULL || peer == 0)
    return;
  control->handover.asked_us = now_us;
  burdock_address_format (address, text, sizeof text);
  burdock_address_format (gateway->settings.library.control_address, source,
                          sizeof source);
  *strchr (source, ':') = '\0';
  snprintf (url, sizeof url, "http://%s" STATE_PATH, text);
  format_versions (gateway, own, reported);
  burdock_log (BURDOCK_LOG_INFO, "take over state", text,
               "own version %s, reported version %s", own, reported);
  if (burdock_http_client_start_transfer (control->runtime.client, &call,
                                          &control->handover_transfer) < 0)
    control->handover_transfer = NULL;
}

/* Runs on the traffic thread. */
static void
mark_done (void *ctx)
{
  BurdockGateway *gateway = ctx;

  gateway->traffic.handover_done = true;
}

static void
finish_start (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;
  bool behind =
      burdock_optional_is_above (burdock_gateway_peer_config (gateway),
                                 burdock_config_stamp_version (&control->config));
  char own[BURDOCK_OPTIONAL_BYTES];
  char reported[BURDOCK_OPTIONAL_BYTES];

  control->handover_done = true;
  format_versions (gateway, own, reported);
  burdock_log (behind ? BURDOCK_LOG_WARNING : BURDOCK_LOG_INFO, "state complete", "-",
               "version %s, reported version %s taken over %d", own, reported,
               control->handover.taken_over);
  burdock_loop_post (gateway->traffic.runtime.loop, mark_done, gateway);
}

uint64_t
burdock_gateway_handover_tick (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  BurdockHandoverView *view = &control->handover;
  uint64_t due_us = BURDOCK_LOOP_NEVER_US;

  if (control->handover_done || control->handover_transfer != NULL)
    return BURDOCK_LOOP_NEVER_US;
  if (view->listed_us == 0 && control->config_listed && control->upstreams_listed)
    view->listed_us = now_us;
  view->era = control->store.era;
  view->peer_ready = gateway->peer_ready;
  view->peer_version = burdock_gateway_peer_config (gateway);
  view->own_version = burdock_config_stamp_version (&control->config);
  switch (burdock_handover_next (view, now_us, &due_us)) {
  case BURDOCK_HANDOVER_WAIT:
    return due_us;
  case BURDOCK_HANDOVER_ASK:
    burdock_gateway_handover_ask (gateway, now_us);
    return BURDOCK_LOOP_NEVER_US;
  case BURDOCK_HANDOVER_DONE:
    finish_start (gateway);
    break;
  }
  return BURDOCK_LOOP_NEVER_US;
}

void
burdock_gateway_handover_clear (BurdockGateway *gateway)
{
  if (gateway->control.handover_transfer != NULL)
    burdock_http_transfer_cancel (gateway->control.handover_transfer);
}
