#include "gateway.h"

#include "log.h"
#include "stop.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <malloc.h>
#include <sodium.h>
#include <stdlib.h>

#define PROGRAM "burdock-gateway"

#define US_PER_MS UINT64_C (1000)

static void
post_drain (void *ctx)
{
  BurdockGateway *gateway = ctx;
  uint64_t limit_us = gateway->settings.library.stop_limit_ms * US_PER_MS;

  gateway->stop_end_us = burdock_loop_now_us () + limit_us;
  burdock_loop_post (gateway->traffic.runtime.loop, burdock_gateway_traffic_drain,
                     gateway);
}

static void
post_finish (void *ctx)
{
  BurdockGateway *gateway = ctx;

  burdock_loop_post (gateway->traffic.runtime.loop, burdock_gateway_traffic_finish,
                     gateway);
}

/* Frees what the traffic thread has not taken before it ended. */
static void
free_published (BurdockGateway *gateway)
{
  while (burdock_loop_run_posted (gateway->control.runtime.loop) ||
         burdock_loop_run_posted (gateway->traffic.runtime.loop))
    ;
  burdock_route_table_unref (burdock_slot_take (&gateway->published_table));
  burdock_gateway_free_upstreams (burdock_slot_take (&gateway->published_upstreams));
}

static void
log_stopped (const BurdockGatewayCounters *counters, bool drained)
{
  bool lost = counters->stop_given_up + counters->stop_cut + counters->stop_unread > 0;

  burdock_log (lost ? BURDOCK_LOG_WARNING : BURDOCK_LOG_INFO, "stopped", "-",
               "drained %d received %" PRIu64 " given_up %" PRIu64 " cut %" PRIu64
               " unread %" PRIu64,
               drained, counters->stop_requests, counters->stop_given_up,
               counters->stop_cut, counters->stop_unread);
}

static int
run (BurdockGateway *gateway)
{
  BurdockStop stop = { .ctx = gateway,
                       .limit_ms = gateway->settings.library.stop_limit_ms,
                       .finish_ms = BURDOCK_STOP_FINISH_MS,
                       .drain = post_drain,
                       .finish = post_finish };
  bool drained;

  if (burdock_gateway_traffic_init (gateway) < 0 ||
      burdock_gateway_control_init (gateway) < 0)
    return EXIT_FAILURE;
  if (burdock_runtime_start (&gateway->traffic.runtime) < 0 ||
      burdock_runtime_start (&gateway->control.runtime) < 0)
    return EXIT_FAILURE;
  burdock_log (BURDOCK_LOG_INFO, "started", "-", "failure domain %s store %s",
               gateway->settings.library.failure_domain, gateway->settings.store_url);
  drained = burdock_stop_wait (&stop);
  burdock_runtime_stop (&gateway->control.runtime);
  burdock_runtime_stop (&gateway->traffic.runtime);
  free_published (gateway);
  burdock_gateway_control_clear (gateway);
  burdock_gateway_traffic_clear (gateway);
  log_stopped (&gateway->traffic.counters, drained);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static BurdockGateway gateway;
  int status;

  mallopt (M_MMAP_THRESHOLD, BURDOCK_MEMORY_MAP_BYTES);
  burdock_stop_block_signals ();
  if (sodium_init () < 0 || apr_initialize () != APR_SUCCESS ||
      curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_FAILURE;
  if (burdock_settings_parse (&gateway.settings, BURDOCK_ROLE_GATEWAY, PROGRAM, argc,
                              argv) < 0)
    return 2;
  gateway.id = burdock_member_id (gateway.settings.library.name);
  gateway.incarnation = gateway.settings.library.incarnation;
  burdock_log_init (gateway.settings.library.name, gateway.settings.log_level);
  burdock_log_to_stdout ();
  if (burdock_log_start () < 0)
    return EXIT_FAILURE;
  status = run (&gateway);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
