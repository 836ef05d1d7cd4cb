#include "agent.h"
#include "log.h"
#include "stop.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdlib.h>

#define PROGRAM "burdock-agent"

#define US_PER_MS UINT64_C (1000)

/* Time for the last outcomes of a planned stop; the executor waits for half of it until
 * the engine confirms that an attempt has ended. */
#define FINISH_MS 500

static void
log_addresses (const BurdockSettings *settings)
{
  char control[24];
  char traffic[24];
  char http[24];

  burdock_address_format (settings->control_address, control, sizeof control);
  burdock_address_format (settings->traffic_address, traffic, sizeof traffic);
  burdock_address_format (settings->http_address, http, sizeof http);
  burdock_log (BURDOCK_LOG_INFO, "listening", "-", "control %s traffic %s http %s",
               control, traffic, http);
}

static void
start_planned_stop (void *ctx)
{
  BurdockAgent *agent = ctx;
  uint64_t limit_us = agent->settings.library.stop_limit_ms * US_PER_MS;

  agent->stop_end_us = burdock_loop_now_us () + limit_us;
  burdock_loop_post (agent->traffic.runtime.loop, burdock_agent_traffic_leave, agent);
  burdock_loop_post (agent->control.runtime.loop, burdock_agent_control_leave, agent);
}

static void
give_up_attempts (void *ctx)
{
  BurdockAgent *agent = ctx;

  burdock_loop_post (agent->traffic.runtime.loop, burdock_agent_traffic_give_up, agent);
}

/* The traffic address is bound first: with port 0, control must know the port that was
 * bound before it announces the address. */
static int
run (BurdockAgent *agent)
{
  BurdockStop stop = { .ctx = agent,
                       .limit_ms = agent->settings.library.stop_limit_ms,
                       .finish_ms = FINISH_MS,
                       .drain = start_planned_stop,
                       .finish = give_up_attempts };
  bool drained;

  if (burdock_agent_traffic_init (agent) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-",
                 "cannot listen on the traffic address");
    return EXIT_FAILURE;
  }
  if (burdock_agent_control_init (agent) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-",
                 "cannot listen on the control or the HTTP address");
    return EXIT_FAILURE;
  }
  log_addresses (&agent->settings.library);
  if (burdock_runtime_start (&agent->traffic.runtime) < 0 ||
      burdock_runtime_start (&agent->control.runtime) < 0)
    return EXIT_FAILURE;
  drained = burdock_stop_wait (&stop);
  burdock_runtime_stop (&agent->control.runtime);
  burdock_runtime_stop (&agent->traffic.runtime);
  /* Functions that one thread has posted to the other still refer to the objects that are
   * freed below. */
  while (burdock_loop_run_posted (agent->control.runtime.loop) ||
         burdock_loop_run_posted (agent->traffic.runtime.loop))
    ;
  burdock_agent_control_clear (agent);
  burdock_agent_traffic_clear (agent);
  burdock_snapshot_unref (burdock_slot_take (&agent->snapshot_slot));
  free (burdock_slot_take (&agent->usage_slot));
  return drained ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static BurdockAgent agent;
  int status;

  burdock_stop_block_signals ();
  if (sodium_init () < 0 || apr_initialize () != APR_SUCCESS ||
      curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_FAILURE;
  if (burdock_settings_parse (&agent.settings, BURDOCK_ROLE_AGENT, PROGRAM, argc, argv) <
      0)
    return 2;
  burdock_log_init (agent.settings.library.name, agent.settings.log_level);
  if (burdock_log_start () < 0)
    return EXIT_FAILURE;
  status = run (&agent);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
