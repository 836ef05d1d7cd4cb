/* Receipt of a request: finds its route, sets its times and submits it to the balancer.
 */
#include "forward.h"

#include "log.h"
#include "request-digest.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Timeout of a request if neither the caller nor the route sets one. */
#define TIMEOUT_DEFAULT_MS 30000

/* The times of a route say little of a request whose caller allows less than twice as
 * much: it probably asks for little work. */
#define WORK_TIME_DIVISOR 2

static void
add_forward (BurdockGatewayTraffic *traffic, BurdockForward *forward)
{
  forward->next = traffic->forwards;
  if (traffic->forwards != NULL)
    traffic->forwards->previous = forward;
  traffic->forwards = forward;
  traffic->forward_count++;
}

/* Answers a request with an error before it is submitted to the balancer. */
static void
reject (BurdockGateway *gateway, BurdockHttpRequest *request,
        const BurdockCallerRequest *caller, uint32_t status, const char *reason)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t retry_after_ms = traffic->leaving
                                ? burdock_forward_retry_after_stop_ms (gateway)
                                : BURDOCK_RETRY_AFTER_DEFAULT_MS;

  traffic->counters.rejected++;
  burdock_log_subject (BURDOCK_LOG_INFO, "request rejected", caller->request_id, "-",
                       "status %u reason %s generation %u host %s path %s", status,
                       reason,
                       traffic->table != NULL ? (uint32_t)traffic->table->version : 0,
                       caller->host, burdock_http_path (request));
  burdock_forward_answer_error (request, status, "{\"error\":\"rejected\"}\n",
                                status == 503 ? retry_after_ms : 0);
}

static uint64_t
time_limit_ms (const BurdockRoute *route, const BurdockCallerRequest *caller)
{
  uint64_t limit_ms = route->timeout_ms > 0 ? route->timeout_ms : TIMEOUT_DEFAULT_MS;

  if (caller->has_timeout && caller->timeout_ms < limit_ms)
    limit_ms = caller->timeout_ms;
  return limit_ms;
}

static uint64_t
at_most (uint64_t time_us, uint64_t limit_us)
{
  return time_us < limit_us ? time_us : limit_us;
}

/* Expected time of a request by its tokens; 0 if the time of its route is not known. The
 * time to the first event of a stream hardly depends on the answer. */
static uint64_t
own_work_us (const BurdockForward *forward, uint64_t limit_us)
{
  const BurdockRequestTimes *times = &forward->placement.times;
  bool is_stream = forward->route->kind == BURDOCK_ROUTE_STREAM;
  uint64_t first_us = is_stream ? at_most (times->first_part_us, times->work_us) : 0;
  double ratio =
      burdock_request_work_ratio (&forward->gateway->traffic.request_work,
                                  forward->route->name, &forward->caller.tokens);

  return at_most (first_us + (uint64_t)(ratio * (double)(times->work_us - first_us)),
                  limit_us);
}

void
burdock_forward_set_times (BurdockForward *forward, uint64_t now_us)
{
  const BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  const BurdockRoute *route = forward->route;
  BurdockRequestTimes *times = &forward->placement.times;
  uint64_t heard_us =
      forward->answer_started ? forward->last_event_us : forward->received_us;
  uint64_t work_max_us =
      (forward->deadline_us - forward->received_us) / WORK_TIME_DIVISOR;
  bool is_stream = route->kind == BURDOCK_ROUTE_STREAM;

  times->deadline_us = times->first_part_deadline_us = forward->deadline_us;
  if (route->patience_ms > 0)
    times->first_part_deadline_us =
        at_most (forward->deadline_us, heard_us + route->patience_ms * US_PER_MS);
  times->work_us = at_most (burdock_answer_times_typical_us (traffic->answer_times,
                                                             route->name, now_us),
                            work_max_us);
  times->first_part_us = times->work_us;
  if (is_stream)
    times->first_part_us =
        at_most (burdock_answer_times_typical_us (traffic->first_event_times, route->name,
                                                  now_us),
                 work_max_us);
  times->own_work_us = own_work_us (forward, work_max_us);
  times->objective_us = 0;
  /* A request that was sent before may have run, and is late anyway. */
  if (forward->send_count == 0 && route->objective_ms * US_PER_MS > times->first_part_us)
    times->objective_us = forward->received_us + route->objective_ms * US_PER_MS;
  /* How much is left of a stream that goes on is not known. */
  if (forward->answer_started) {
    times->work_us = times->first_part_us;
    times->own_work_us = 0;
  }
}

/* Whether a request is answered before the end of a planned stop, if there is one. */
static bool
ends_before_stop (const BurdockGateway *gateway, const BurdockForward *forward)
{
  uint64_t limit_us = time_limit_ms (forward->route, &forward->caller) * US_PER_MS;

  return burdock_stop_policy_admits (&gateway->traffic.stop,
                                     burdock_loop_now_us () + limit_us);
}

/* Whether @method can be passed on: a token of RFC 9110, but for CONNECT, which asks for
 * a tunnel. */
static bool
is_forwarded_method (const char *method)
{
  static const char token_marks[] = "!#$%&'*+-.^_`|~";

  for (const char *c = method; *c != '\0'; c++)
    if (!isalnum ((unsigned char)*c) && strchr (token_marks, *c) == NULL)
      return false;
  return method[0] != '\0' && strcmp (method, "CONNECT") != 0;
}

/* Finds the route and workspace of a request. Returns 0, or the HTTP status to reject the
 * request with and @reason for the log. */
static uint32_t
admit (const BurdockGateway *gateway, BurdockForward *forward, const char *path,
       const char **reason)
{
  const BurdockRouteTable *table = gateway->traffic.table;
  const BurdockWorkspaceEntry *workspace = NULL;

  if (!is_forwarded_method (burdock_http_method (forward->http_request))) {
    *reason = "method";
    return 501;
  }
  forward->route = burdock_route_table_find (table, forward->caller.host, path);
  if (forward->route == NULL) {
    *reason = "no route";
    return 404;
  }
  forward->placement.priority = forward->route->priority;
  if (table->has_workspaces && forward->caller.api_key[0] != '\0')
    workspace = burdock_route_table_find_workspace (table, forward->caller.api_key);
  if (workspace == NULL && table->has_workspaces && !forward->route->open_access) {
    *reason = "unknown key";
    return 401;
  }
  if (workspace != NULL) {
    forward->workspace = workspace->name;
    if (workspace->has_priority)
      forward->placement.priority = workspace->priority;
  }
  if (!ends_before_stop (gateway, forward)) {
    *reason = "planned stop ends before the request";
    return 503;
  }
  return 0;
}

static uint64_t
digest_request (const BurdockForward *forward)
{
  BurdockRequestContent content = {
    .method = burdock_http_method (forward->http_request),
    .host = forward->caller.host,
    .target = burdock_http_target (forward->http_request),
    .caller = forward->caller.api_key,
    .body = burdock_http_body (forward->http_request),
  };

  return burdock_request_digest (&content);
}

static void
start_forward (BurdockForward *forward)
{
  BurdockGateway *gateway = forward->gateway;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t retry_after_ms;

  forward->pool = burdock_route_pick_pool (forward->route,
                                           burdock_runtime_random (&traffic->runtime));
  forward->event_stream.last_id = forward->caller.last_event_id;
  forward->last_activity_id = forward->caller.last_event_id;
  forward->digest = digest_request (forward);
  forward->caller.prompt.request = forward->digest;
  forward->placement.handle = ++traffic->next_handle;
  forward->placement.pool = forward->pool->name;
  forward->phase = BURDOCK_FORWARD_WAITING;
  forward->received_us = burdock_loop_now_us ();
  forward->deadline_us =
      forward->received_us + time_limit_ms (forward->route, &forward->caller) * US_PER_MS;
  burdock_request_work_record (&traffic->request_work, forward->route->name,
                               &forward->caller.tokens);
  burdock_forward_set_times (forward, forward->received_us);
  add_forward (traffic, forward);
  burdock_http_set_data (forward->http_request, forward);
  if (forward->caller.resumes && !forward->caller.last_event_id.is_set)
    burdock_log_subject (BURDOCK_LOG_INFO, "last event unreadable",
                         forward->caller.request_id, "-",
                         "not a number of 64 bits; forwarded as received");
  if (!burdock_part_quarantine_admit (traffic->quarantine, &forward->caller.prompt,
                                      forward->received_us, &retry_after_ms)) {
    burdock_forward_refuse_quarantined (forward, retry_after_ms);
    return;
  }
  burdock_balancer_submit (traffic->balancer, &forward->placement, forward->received_us);
}

void
burdock_forward_request (void *ctx, BurdockHttpRequest *request)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockForward *forward;
  BurdockCallerRequest caller;
  const char *reason = NULL;
  uint32_t status;

  traffic->counters.requests++;
  if (traffic->leaving)
    traffic->counters.stop_requests++;
  burdock_exchange_parse_request (request, &caller);
  if (!burdock_gateway_has_state (gateway)) {
    reject (gateway, request, &caller, 503, "no configuration yet");
    return;
  }
  forward = calloc (1, sizeof *forward);
  if (forward == NULL) {
    reject (gateway, request, &caller, 503, "out of memory");
    return;
  }
  forward->gateway = gateway;
  forward->http_request = request;
  forward->caller = caller;
  forward->table = burdock_route_table_ref (traffic->table);
  status = admit (gateway, forward, burdock_http_target (request), &reason);
  if (status != 0) {
    burdock_route_table_unref (forward->table);
    free (forward);
    reject (gateway, request, &caller, status, reason);
    return;
  }
  start_forward (forward);
}
