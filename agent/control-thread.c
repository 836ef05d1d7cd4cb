#include "agent.h"
#include "stop.h"

#include <errno.h>
#include <stdlib.h>

static int
receive_frame (void *ctx, BurdockAddress from, const uint8_t *frame,
               uint32_t length_bytes)
{
  BurdockAgentControl *control = ctx;

  return burdock_control_receive (control->control, from, frame, length_bytes);
}

/* Heartbeats detect members that fail, so the loss of a connection needs no action. */
static void
ignore_connection_lost (void *ctx, BurdockAddress peer, bool connected)
{
}

static void
engine_event (void *ctx, const BurdockEngineEvent *event)
{
  BurdockAgentControl *control = ctx;

  burdock_control_engine_event (control->control, event);
}

static void
publish (void *ctx, BurdockSnapshot *snapshot)
{
  BurdockAgentControl *control = ctx;
  BurdockAgent *agent = control->agent;

  burdock_snapshot_unref (burdock_slot_put (&agent->snapshot_slot, snapshot));
  burdock_loop_post (agent->traffic.runtime.loop, burdock_agent_set_snapshot,
                     &agent->traffic);
}

static uint64_t
control_hook (void *ctx, uint64_t now_us)
{
  BurdockAgentControl *control = ctx;
  BurdockAgent *agent = control->agent;
  BurdockUsage *usage = burdock_slot_take (&agent->usage_slot);
  uint64_t due_us;

  if (usage != NULL)
    burdock_control_set_usage (control->control, usage);
  free (usage);
  due_us = burdock_control_tick (control->control);
  if (control->leaving && !control->finished &&
      burdock_control_drained (control->control, atomic_load (&agent->in_flight))) {
    control->finished = true;
    burdock_stop_notify_drained ();
  }
  return due_us;
}

static void
request_closed (void *ctx, BurdockHttpRequest *http, bool complete)
{
}

void
burdock_agent_control_leave (void *ctx)
{
  BurdockAgent *agent = ctx;

  agent->control.leaving = true;
  burdock_control_leave (agent->control.control);
}

int
burdock_agent_control_init (BurdockAgent *agent)
{
  BurdockAgentControl *control = &agent->control;
  BurdockSettings *settings = &agent->settings.library;
  BurdockTransportHandler handler = { control, receive_frame, ignore_connection_lost };
  BurdockHttpHandler http = { control, burdock_agent_handle_request, request_closed };
  BurdockEnv env;
  int status = burdock_runtime_init (&control->runtime);

  if (status < 0)
    return status;
  control->agent = agent;
  control->runtime.engine =
      burdock_engine_new (control->runtime.client, agent->settings.upstream_url,
                          (uint32_t)burdock_runtime_random (&control->runtime),
                          engine_event, control);
  control->http = burdock_http_server_new (control->runtime.loop, &settings->http_address,
                                           NULL, &http);
  if (control->http == NULL)
    return -EADDRINUSE;
  burdock_loop_add_hook (control->runtime.loop, control_hook, control);
  control->runtime.transport =
      burdock_transport_new (control->runtime.loop, &handler, true);
  status =
      burdock_transport_listen (control->runtime.transport, &settings->control_address);
  if (status < 0)
    return status;
  env = burdock_runtime_env (&control->runtime);
  env.publish = publish;
  control->control = burdock_control_new (settings, &env);
  return control->control != NULL ? 0 : -ENOMEM;
}

void
burdock_agent_control_clear (BurdockAgent *agent)
{
  BurdockAgentControl *control = &agent->control;

  burdock_http_server_free (control->http);
  burdock_control_free (control->control);
  burdock_runtime_clear (&control->runtime);
}
