#include "traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_AGENT_ID 101

static uint64_t
now_us (void *ctx)
{
  return ((TrafficEnv *)ctx)->now_us;
}

static uint64_t
random_u64 (void *ctx)
{
  TrafficEnv *traffic = ctx;

  traffic->random_state = traffic->random_state * UINT64_C (6364136223846793005) + 1;
  return traffic->random_state >> 20;
}

static int
record_frame (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  TrafficEnv *traffic = ctx;
  uint32_t at = traffic->frame_count % TRAFFIC_LOG_MAX;
  BurdockError error;

  if (traffic->send_status < 0)
    return traffic->send_status;
  free (traffic->frame_data[at]);
  traffic->frame_data[at] = malloc (length_bytes);
  memcpy (traffic->frame_data[at], frame, length_bytes);
  traffic->frame_to[at] = to;
  traffic->frame_count++;
  return burdock_message_decode (traffic->frame_data[at], length_bytes,
                                 &(BurdockFrameKeys){ 0 }, &traffic->frames[at], &error);
}

static int
record_store (void *ctx, const BurdockStoreCall *call)
{
  TrafficEnv *traffic = ctx;

  traffic->store_call_count++;
  traffic->store_call_id = call->id;
  traffic->store_if_version = call->puts[0].if_version;
  snprintf (traffic->store_value, sizeof traffic->store_value, "%.*s",
            (int)call->puts[0].value.length_bytes,
            (const char *)call->puts[0].value.data);
  return 0;
}

static int
record_engine (void *ctx, const BurdockEngineCall *call)
{
  TrafficEnv *traffic = ctx;

  traffic->engine_calls[traffic->engine_call_count++ % TRAFFIC_LOG_MAX] = *call;
  return 0;
}

static void
record_delivery (void *ctx, const BurdockDelivery *delivery)
{
  TrafficEnv *traffic = ctx;

  traffic->deliveries[traffic->delivery_count++ % TRAFFIC_LOG_MAX] = *delivery;
}

void
traffic_init (TrafficEnv *traffic)
{
  *traffic = (TrafficEnv){ .now_us = TRAFFIC_US_PER_S };
  traffic->env = (BurdockEnv){ .ctx = traffic,
                               .now_us = now_us,
                               .wall_us = now_us,
                               .random_u64 = random_u64,
                               .send = record_frame,
                               .store = record_store,
                               .engine = record_engine,
                               .deliver = record_delivery };
}

void
traffic_clear (TrafficEnv *traffic)
{
  for (uint32_t i = 0; i < TRAFFIC_LOG_MAX; i++)
    free (traffic->frame_data[i]);
}

static void
set_upstream (BurdockUpstream *upstream, uint64_t id, uint64_t incarnation,
              const char *pool)
{
  *upstream = (BurdockUpstream){ .id = id,
                                 .incarnation = incarnation,
                                 .traffic_address = { (uint32_t)id, 1 },
                                 .capacity = 8,
                                 .usable = true,
                                 .weight = 1 };
  snprintf (upstream->pool, sizeof upstream->pool, "%s", pool);
}

BurdockSnapshot *
traffic_snapshot (uint32_t agents, uint64_t incarnation, uint64_t generation)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (traffic_config ());

  snapshot->generation = generation;
  snapshot->store_available = true;
  snapshot->live_entries = 1;
  snapshot->upstream_count = 2 * agents;
  snapshot->upstreams = calloc (2 * (size_t)agents + 1, sizeof (BurdockUpstream));
  for (uint32_t i = 0; i < agents; i++) {
    set_upstream (&snapshot->upstreams[i], i + 1, incarnation, "models");
    set_upstream (&snapshot->upstreams[agents + i], SERVICE_AGENT_ID + i, incarnation,
                  "services");
  }
  return snapshot;
}

uint32_t
traffic_frame_count (const TrafficEnv *traffic, uint32_t type)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < traffic->frame_count && i < TRAFFIC_LOG_MAX; i++)
    count += traffic->frames[i].header.type == type;
  return count;
}

const BurdockMessage *
traffic_last_frame (const TrafficEnv *traffic, uint32_t type, BurdockAddress *to)
{
  for (uint32_t i = traffic->frame_count; i > 0; i--) {
    uint32_t at = (i - 1) % TRAFFIC_LOG_MAX;

    if (traffic->frames[at].header.type != type)
      continue;
    if (to != NULL)
      *to = traffic->frame_to[at];
    return &traffic->frames[at];
  }
  return NULL;
}
