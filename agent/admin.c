#include "agent.h"
#include "auth.h"
#include "text.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

/**
 * struct Call - request for the metrics or the timeline
 * @request_id: id of the HTTP request to answer
 * @timeline: whether the timeline is requested, otherwise the metrics
 * @executor_part: metrics or timeline of the executor, read on the traffic thread
 */
typedef struct {
  BurdockAgent *agent;
  uint64_t request_id;
  bool timeline;
  char *executor_part;
} Call;

static void
answer_call (BurdockAgentControl *control, BurdockHttpRequest *http, Call *call)
{
  BurdockText text = { 0 };
  char *control_part = call->timeline
                           ? burdock_control_report (control->control, "timeline")
                           : burdock_control_metrics (control->control);
  char *process = call->timeline ? NULL : burdock_runtime_metrics ();

  burdock_text_add_string (&text, call->timeline ? "{\"timelines\":[" : "");
  burdock_text_add_string (&text, control_part != NULL ? control_part : "");
  burdock_text_add_string (&text, call->timeline ? "," : "");
  burdock_text_add_string (&text, call->executor_part != NULL ? call->executor_part : "");
  burdock_text_add_string (&text, call->timeline ? "]}\n" : "");
  burdock_text_add_string (&text, process != NULL ? process : "");
  burdock_http_respond (http, 200, call->timeline ? JSON_TYPE : METRICS_TYPE,
                        burdock_text_take (&text), NULL);
  free (control_part);
  free (process);
}

/* Runs on the control thread. */
static void
finish_call (void *ctx)
{
  Call *call = ctx;
  BurdockAgentControl *control = &call->agent->control;
  BurdockHttpRequest *http = burdock_http_server_find (control->http, call->request_id);

  if (http != NULL)
    answer_call (control, http, call);
  free (call->executor_part);
  free (call);
}

/* Runs on the traffic thread, which owns the executor. */
static void
collect_executor_part (void *ctx)
{
  Call *call = ctx;
  BurdockExecutor *executor = call->agent->traffic.executor;

  call->executor_part = call->timeline ? burdock_executor_timeline (executor)
                                       : burdock_executor_metrics (executor);
  burdock_loop_post (call->agent->control.runtime.loop, finish_call, call);
}

static void
start_call (BurdockAgentControl *control, BurdockHttpRequest *http, bool timeline)
{
  Call *call = calloc (1, sizeof *call);

  if (call == NULL)
    abort ();
  *call = (Call){ .agent = control->agent,
                  .request_id = burdock_http_id (http),
                  .timeline = timeline };
  burdock_loop_post (control->agent->traffic.runtime.loop, collect_executor_part, call);
}

static bool
is_authentic (const BurdockAgentControl *control, const BurdockHttpRequest *http)
{
  const BurdockDaemonSettings *settings = &control->agent->settings;

  return settings->has_operator_key &&
         burdock_auth_verify (settings->operator_key, burdock_http_method (http),
                              burdock_http_target (http), (uint64_t)time (NULL),
                              burdock_http_body (http),
                              burdock_http_header (http, "Burdock-Auth")) == 0;
}

void
burdock_agent_handle_request (void *ctx, BurdockHttpRequest *http)
{
  BurdockAgentControl *control = ctx;
  const char *path = burdock_http_path (http);

  if (strcmp (burdock_http_method (http), "GET") != 0)
    burdock_http_respond (http, 405, JSON_TYPE, strdup ("{\"error\":\"allowed: GET\"}\n"),
                          NULL);
  else if (strcmp (path, "/health") == 0)
    burdock_http_respond (http, 200, JSON_TYPE, strdup ("{\"status\":\"ok\"}\n"), NULL);
  else if (strcmp (path, "/metrics") == 0)
    start_call (control, http, false);
  else if (strcmp (path, "/v1/admin/timeline") != 0)
    burdock_http_respond (http, 404, JSON_TYPE,
                          strdup ("{\"error\":\"known: /health, /metrics, "
                                  "/v1/admin/timeline\"}\n"),
                          NULL);
  else if (is_authentic (control, http))
    start_call (control, http, true);
  else
    burdock_http_respond (http, 401, JSON_TYPE,
                          strdup ("{\"error\":\"Burdock-Auth: missing or wrong\"}\n"),
                          NULL);
}
