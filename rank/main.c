/**
 * DOC: main.c - burdock-rank, the agent of one rank, which runs beside its model runner
 *
 * One thread queries the state of the runner, exchanges datagrams with the agents of the
 * other ranks and with the gateways, and runs the map agent. The main thread waits for
 * signals.
 */
#include "datagram.h"
#include "http-server.h"
#include "log.h"
#include "map-agent.h"
#include "runner.h"
#include "runtime.h"
#include "settings.h"
#include "stop.h"
#include "text.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "burdock-rank"
#define US_PER_MS UINT64_C (1000)

/* Interval of queries for the report, so that a broken group is detected within a
 * fraction of a second. */
#define REPORT_INTERVAL_US (100 * US_PER_MS)

/* A switch in which a step is held takes less than 0.1 s, and 0.3 s if agents of other
 * ranks are gone. After this time, the next coordinator has to end it. */
#define STOP_LIMIT_MAX_MS 1500

typedef struct {
  BurdockDaemonSettings settings;
  BurdockRuntime runtime;
  BurdockDatagramSocket *datagrams;
  BurdockRunner *runner;
  BurdockMapAgent *agent;
  BurdockHttpServer *metrics;
  uint64_t next_report_us;
  bool reachable;
  bool reachability_known;
  bool leaving;
} Rank;

static void
set_reachable (Rank *rank, bool reachable)
{
  if (rank->reachability_known && rank->reachable == reachable)
    return;
  rank->reachability_known = true;
  rank->reachable = reachable;
  burdock_log (reachable ? BURDOCK_LOG_INFO : BURDOCK_LOG_WARNING,
               reachable ? "runner regained" : "runner lost", rank->settings.upstream_url,
               "%s",
               reachable ? "the runner answers" : "no valid report from the runner");
}

static void
handle_report (void *ctx, const BurdockRankReport *report)
{
  Rank *rank = ctx;

  set_reachable (rank, report != NULL);
  if (report == NULL)
    return;
  burdock_map_agent_handle_report (rank->agent, report, burdock_loop_now_us ());
  if (burdock_map_agent_needs_hosted_experts (rank->agent))
    burdock_runner_query_hosted_experts (rank->runner);
}

static void
handle_token_counts (void *ctx, const uint64_t *counts, uint32_t count)
{
  Rank *rank = ctx;

  burdock_map_agent_handle_counts (rank->agent, counts, count);
}

static void
handle_hosted_experts (void *ctx, uint64_t epoch, uint64_t version, const uint8_t *hosted,
                       uint32_t length_bytes)
{
  Rank *rank = ctx;

  burdock_map_agent_handle_hosted_experts (rank->agent, epoch, version, hosted,
                                           length_bytes);
}

static void
handle_order_done (void *ctx, uint64_t id, int32_t status)
{
  Rank *rank = ctx;

  burdock_map_agent_order_done (rank->agent, id, status, burdock_loop_now_us ());
}

static void
send_message (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
              uint32_t count)
{
  Rank *rank = ctx;
  int status = burdock_datagram_socket_send (rank->datagrams, message, to, count);

  if (status < 0 && status != -EAGAIN)
    burdock_log (BURDOCK_LOG_DEBUG, "send datagram", "-", "%s", strerror (-status));
}

static void
send_order (void *ctx, const BurdockMapOrder *order)
{
  Rank *rank = ctx;

  burdock_runner_send_order (rank->runner, order);
}

static void
request_refresh (void *ctx, bool counts)
{
  Rank *rank = ctx;

  burdock_runner_query_report (rank->runner);
  if (counts)
    burdock_runner_query_token_counts (rank->runner);
}

static uint64_t
random_value (void *ctx)
{
  Rank *rank = ctx;

  return burdock_runtime_random (&rank->runtime);
}

static void
log_decision (void *ctx, const char *step, const char *detail)
{
  burdock_log (BURDOCK_LOG_INFO, step, "-", "%s", detail);
}

static void
log_warning (void *ctx, const char *step, const char *detail)
{
  burdock_log (BURDOCK_LOG_WARNING, step, "-", "%s", detail);
}

static void
handle_datagram (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  Rank *rank = ctx;

  burdock_map_agent_receive (rank->agent, from, message, burdock_loop_now_us ());
}

static void
answer_metrics (void *ctx, BurdockHttpRequest *request)
{
  Rank *rank = ctx;
  BurdockMapAgentStats stats = burdock_map_agent_stats (rank->agent);
  BurdockText text = { 0 };
  char *process_metrics = burdock_runtime_metrics ();

  burdock_text_format (&text,
                       "burdock_map_switches_total %" PRIu64 "\n"
                       "burdock_map_switches_failed_total %" PRIu64 "\n"
                       "burdock_map_switches_failed_in_row %u\n"
                       "burdock_map_plan_changes_tried_total %" PRIu64 "\n"
                       "burdock_map_orders_total %" PRIu64 "\n"
                       "burdock_map_orders_failed_total %" PRIu64 "\n"
                       "burdock_map_loads_total %" PRIu64 "\n"
                       "burdock_map_takeovers_total %" PRIu64 "\n"
                       "burdock_map_peak %.3f\n",
                       stats.switches, stats.switches_failed,
                       stats.switches_failed_in_row, stats.changes_tried, stats.orders,
                       stats.orders_failed, stats.loads, stats.recoveries, stats.peak);
  if (process_metrics != NULL)
    burdock_text_add_string (&text, process_metrics);
  free (process_metrics);
  burdock_http_respond (request, 200, "text/plain", burdock_text_take (&text), NULL);
}

static void
ignore_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
}

/* A failure is not fatal: the agent also works without metrics. */
static void
serve_metrics (Rank *rank)
{
  BurdockHttpHandler handler = { rank, answer_metrics, ignore_closed };
  BurdockAddress address = rank->settings.metrics_address;

  if (address.port == 0)
    return;
  rank->metrics = burdock_http_server_new (rank->runtime.loop, &address, NULL, &handler);
  if (rank->metrics == NULL)
    burdock_log (BURDOCK_LOG_WARNING, "listen", "-",
                 "cannot listen on the metrics address");
}

static uint64_t
rank_hook (void *ctx, uint64_t now_us)
{
  Rank *rank = ctx;
  uint64_t next_us;

  if (now_us >= rank->next_report_us) {
    rank->next_report_us = now_us + REPORT_INTERVAL_US;
    burdock_runner_query_report (rank->runner);
  }
  next_us = burdock_map_agent_tick (rank->agent, now_us);
  if (rank->leaving && burdock_map_agent_may_end (rank->agent))
    burdock_stop_notify_drained ();
  return next_us < rank->next_report_us ? next_us : rank->next_report_us;
}

static void
leave (void *ctx)
{
  Rank *rank = ctx;

  rank->leaving = true;
  burdock_map_agent_leave (rank->agent);
}

static void
post_leave (void *ctx)
{
  Rank *rank = ctx;

  burdock_loop_post (rank->runtime.loop, leave, rank);
}

static int
init (Rank *rank)
{
  const BurdockSettings *library = &rank->settings.library;
  BurdockMapAgentSettings settings = { .id = burdock_member_id (library->name),
                                       .incarnation = library->incarnation,
                                       .control = library->control_address };
  BurdockMapAgentHandler handler = { .ctx = rank,
                                     .send = send_message,
                                     .order = send_order,
                                     .refresh = request_refresh,
                                     .random = random_value,
                                     .log = log_decision,
                                     .warn = log_warning };
  BurdockRunnerHandler runner_handler = { .ctx = rank,
                                          .report = handle_report,
                                          .token_counts = handle_token_counts,
                                          .hosted_experts = handle_hosted_experts,
                                          .order_done = handle_order_done };
  const char *address = strstr (rank->settings.upstream_url, "://");

  if (address == NULL || burdock_address_parse (address + 3, &settings.upstream) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "read settings", rank->settings.upstream_url,
                 "the URL of the runner must contain an IPv4 address and a port");
    return -EINVAL;
  }
  if (burdock_runtime_init (&rank->runtime) < 0)
    return -ENOMEM;
  rank->agent = burdock_map_agent_new (&settings, &handler);
  rank->runner = burdock_runner_new (rank->runtime.client, rank->settings.upstream_url,
                                     &runner_handler);
  rank->datagrams =
      burdock_datagram_socket_new (rank->runtime.loop, library->control_address,
                                   handle_datagram, rank);
  if (rank->agent == NULL || rank->runner == NULL || rank->datagrams == NULL)
    return -ENOMEM;
  serve_metrics (rank);
  burdock_loop_add_hook (rank->runtime.loop, rank_hook, rank);
  return burdock_runtime_start (&rank->runtime);
}

int
main (int argc, char **argv)
{
  static Rank rank;
  BurdockStop stop = { .ctx = &rank, .drain = post_leave };

  burdock_stop_block_signals ();
  if (sodium_init () < 0 || apr_initialize () != APR_SUCCESS ||
      curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_FAILURE;
  if (burdock_settings_parse (&rank.settings, BURDOCK_ROLE_RANK_AGENT, PROGRAM, argc,
                              argv) < 0)
    return 2;
  burdock_log_init (rank.settings.library.name, rank.settings.log_level);
  burdock_log_to_stdout ();
  if (burdock_log_start () < 0)
    return EXIT_FAILURE;
  if (init (&rank) < 0)
    return EXIT_FAILURE;
  burdock_log (BURDOCK_LOG_INFO, "started", rank.settings.upstream_url,
               "failure domain %s", rank.settings.library.failure_domain);
  stop.limit_ms = rank.settings.library.stop_limit_ms;
  if (stop.limit_ms > STOP_LIMIT_MAX_MS)
    stop.limit_ms = STOP_LIMIT_MAX_MS;
  burdock_stop_wait (&stop);
  burdock_runtime_stop (&rank.runtime);
  burdock_log (BURDOCK_LOG_INFO, "stopped", "-", "orders %u",
               (uint32_t)burdock_map_agent_stats (rank.agent).orders);
  burdock_http_server_free (rank.metrics);
  burdock_datagram_socket_free (rank.datagrams);
  burdock_runtime_clear (&rank.runtime);
  burdock_runner_free (rank.runner);
  burdock_map_agent_free (rank.agent);
  curl_global_cleanup ();
  apr_terminate ();
  return EXIT_SUCCESS;
}
