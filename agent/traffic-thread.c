#include "agent.h"
#include "stop.h"

#include <errno.h>
#include <stdlib.h>

/* The control thread announces the load to entries about once per second. */
#define USAGE_INTERVAL_US UINT64_C (100000)

static int
receive_frame (void *ctx, BurdockAddress from, const uint8_t *frame,
               uint32_t length_bytes)
{
  BurdockAgentTraffic *traffic = ctx;

  return burdock_executor_receive (traffic->executor, from, frame, length_bytes);
}

static void
handle_connection_lost (void *ctx, BurdockAddress peer, bool connected)
{
  BurdockAgentTraffic *traffic = ctx;

  burdock_executor_peer_lost (traffic->executor, peer);
}

static void
engine_event (void *ctx, const BurdockEngineEvent *event)
{
  BurdockAgentTraffic *traffic = ctx;

  burdock_executor_engine_event (traffic->executor, event);
}

void
burdock_agent_set_snapshot (void *ctx)
{
  BurdockAgentTraffic *traffic = ctx;
  BurdockSnapshot *snapshot = burdock_slot_take (&traffic->agent->snapshot_slot);

  if (snapshot != NULL)
    burdock_executor_set_snapshot (traffic->executor, snapshot);
}

static void
report_usage (BurdockAgentTraffic *traffic, uint64_t now_us)
{
  BurdockUsage *usage = calloc (1, sizeof *usage);

  traffic->next_usage_us = now_us + USAGE_INTERVAL_US;
  if (usage == NULL)
    return;
  burdock_executor_usage (traffic->executor, usage);
  free (burdock_slot_put (&traffic->agent->usage_slot, usage));
}

static uint64_t
traffic_hook (void *ctx, uint64_t now_us)
{
  BurdockAgentTraffic *traffic = ctx;
  uint64_t due_us = burdock_executor_tick (traffic->executor);
  /* A planned stop also waits for the last answers to be written. */
  uint32_t in_flight = burdock_executor_in_flight (traffic->executor) +
                       burdock_transport_pending_count (traffic->runtime.transport);

  atomic_store (&traffic->agent->in_flight, in_flight);
  if (traffic->finishing && in_flight == 0)
    burdock_stop_notify_drained ();
  if (now_us >= traffic->next_usage_us)
    report_usage (traffic, now_us);
  return due_us < traffic->next_usage_us ? due_us : traffic->next_usage_us;
}

void
burdock_agent_traffic_leave (void *ctx)
{
  BurdockAgent *agent = ctx;

  burdock_executor_begin_stop (agent->traffic.executor, agent->stop_end_us);
}

void
burdock_agent_traffic_give_up (void *ctx)
{
  BurdockAgent *agent = ctx;

  agent->traffic.finishing = true;
  burdock_executor_give_up (agent->traffic.executor);
}

int
burdock_agent_traffic_init (BurdockAgent *agent)
{
  BurdockAgentTraffic *traffic = &agent->traffic;
  BurdockSettings *settings = &agent->settings.library;
  BurdockTransportHandler handler = { traffic, receive_frame, handle_connection_lost };
  BurdockEnv env;
  int status = burdock_runtime_init (&traffic->runtime);

  if (status < 0)
    return status;
  traffic->agent = agent;
  traffic->runtime.engine =
      burdock_engine_new (traffic->runtime.client, agent->settings.upstream_url,
                          (uint32_t)burdock_runtime_random (&traffic->runtime),
                          engine_event, traffic);
  burdock_loop_add_hook (traffic->runtime.loop, traffic_hook, traffic);
  traffic->runtime.transport =
      burdock_transport_new (traffic->runtime.loop, &handler, false);
  status =
      burdock_transport_listen (traffic->runtime.transport, &settings->traffic_address);
  if (status < 0)
    return status;
  env = burdock_runtime_env (&traffic->runtime);
  traffic->executor = burdock_executor_new (settings, &env);
  return traffic->executor != NULL ? 0 : -ENOMEM;
}

void
burdock_agent_traffic_clear (BurdockAgent *agent)
{
  burdock_executor_free (agent->traffic.executor);
  burdock_runtime_clear (&agent->traffic.runtime);
}
