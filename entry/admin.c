#include "auth.h"
#include "entry.h"
#include "error.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"
#define ADMIN_PREFIX "/v1/admin/"
#define ARGUMENT_BYTES (3 * BURDOCK_NAME_BYTES)

typedef enum {
  ADMIN_REPORT,
  ADMIN_TIMELINE,
  ADMIN_APPLY,
  ADMIN_SETTLE,
  ADMIN_METRICS,
} AdminKind;

/**
 * struct BurdockAdminCall - call of an operator, passed to the control thread and back
 * @next: next in the list of pending submissions
 * @request_id: id of the HTTP request to answer
 * @argument: name of the report, attempt id to settle, or attempt id that the operator
 *   chose for a submission, "" if none
 * @body: for ADMIN_APPLY, text of the configuration file
 * @handle: for ADMIN_APPLY and ADMIN_SETTLE, identifies the outcome to wait for
 * @status: HTTP status of the answer
 * @text: body of the answer, or the control's part of it
 */
struct BurdockAdminCall {
  BurdockAdminCall *next;
  BurdockEntry *entry;
  uint64_t request_id;
  AdminKind kind;
  char argument[ARGUMENT_BYTES];
  char operator_name[BURDOCK_NAME_BYTES];
  uint8_t *body;
  uint32_t body_bytes;
  uint64_t handle;
  uint32_t status;
  char *text;
};

static void
free_call (BurdockAdminCall *call)
{
  free (call->body);
  free (call->text);
  free (call);
}

static void
answer_error (BurdockHttpRequest *http, uint32_t status, const char *error)
{
  BurdockText text = { 0 };

  burdock_text_add_string (&text, "{\"error\":");
  burdock_text_add_json_string (&text, error);
  burdock_text_add_string (&text, "}\n");
  burdock_http_respond (http, status, JSON_TYPE, burdock_text_take (&text), NULL);
}

/* Joins the parts of a report that control and dispatcher wrote, and frees both. */
static char *
join_parts (const char *before, char *first, const char *between, char *second,
            const char *after)
{
  BurdockText text = { 0 };

  burdock_text_add_string (&text, before);
  burdock_text_add_string (&text, first != NULL ? first : "");
  burdock_text_add_string (&text, between);
  burdock_text_add_string (&text, second != NULL ? second : "");
  burdock_text_add_string (&text, after);
  free (first);
  free (second);
  return burdock_text_take (&text);
}

static char *
memory_metrics (const BurdockEntryTraffic *traffic)
{
  BurdockText text = { 0 };

  burdock_http_metrics (&text, &traffic->memory, &traffic->http, 1);
  return burdock_text_take (&text);
}

/* Runs on the traffic thread. Answers the operator, unless the HTTP request has ended. */
static void
send_result (void *ctx)
{
  BurdockAdminCall *call = ctx;
  BurdockEntryTraffic *traffic = &call->entry->traffic;
  BurdockHttpRequest *http = burdock_http_server_find (traffic->http, call->request_id);
  char *text = call->text;

  call->text = NULL;
  if (http == NULL) {
    free (text);
  } else if (call->kind == ADMIN_METRICS) {
    text =
        join_parts ("", text, "", burdock_dispatcher_metrics (traffic->dispatcher), "");
    text = join_parts ("", text, "", burdock_runtime_metrics (), "");
    text = join_parts ("", text, "", memory_metrics (traffic), "");
    burdock_http_respond (http, 200, METRICS_TYPE, text, NULL);
  } else if (call->kind == ADMIN_TIMELINE) {
    text = join_parts ("{\"timelines\":[", text, ",",
                       burdock_dispatcher_timeline (traffic->dispatcher), "]}\n");
    burdock_http_respond (http, 200, JSON_TYPE, text, NULL);
  } else if (text == NULL) {
    answer_error (http, 404, "not known here");
  } else {
    burdock_http_respond (http, call->status, JSON_TYPE, text, NULL);
  }
  free_call (call);
}

static void
post_result (BurdockAdminCall *call)
{
  burdock_loop_post (call->entry->traffic.runtime.loop, send_result, call);
}

static const char *
outcome_name (BurdockApplyOutcome outcome)
{
  switch (outcome) {
  case BURDOCK_APPLY_ACCEPTED:
    return "accepted";
  case BURDOCK_APPLY_REFUSED_INVALID:
    return "refused-invalid";
  case BURDOCK_APPLY_REFUSED_RACE:
    return "refused-race";
  case BURDOCK_APPLY_REFUSED_UNAVAILABLE:
    return "refused-unavailable";
  case BURDOCK_APPLY_UNKNOWN:
    break;
  }
  return "unknown";
}

static uint32_t
outcome_http_status (BurdockApplyOutcome outcome)
{
  switch (outcome) {
  case BURDOCK_APPLY_ACCEPTED:
    return 200;
  case BURDOCK_APPLY_REFUSED_INVALID:
    return 422;
  case BURDOCK_APPLY_REFUSED_RACE:
    return 409;
  case BURDOCK_APPLY_REFUSED_UNAVAILABLE:
    return 503;
  case BURDOCK_APPLY_UNKNOWN:
    break;
  }
  return 504;
}

static void
set_result (BurdockAdminCall *call, const BurdockApplyResult *result)
{
  BurdockText text = { 0 };

  burdock_text_format (&text, "{\"outcome\":\"%s\",\"generation\":%llu,\"attempt\":",
                       outcome_name (result->outcome),
                       (unsigned long long)result->generation);
  burdock_text_add_json_string (&text, result->attempt_id);
  burdock_text_add_string (&text, ",\"error\":");
  burdock_text_add_json_string (&text, result->error.detail);
  burdock_text_add_string (&text, "}\n");
  call->status = outcome_http_status (result->outcome);
  call->text = burdock_text_take (&text);
}

void
burdock_admin_apply_done (void *ctx, const BurdockApplyResult *result)
{
  BurdockEntryControl *control = ctx;
  BurdockAdminCall **at = &control->pending_submissions;

  while (*at != NULL && (*at)->handle != result->handle)
    at = &(*at)->next;
  if (*at != NULL) {
    BurdockAdminCall *call = *at;

    *at = call->next;
    set_result (call, result);
    post_result (call);
  }
}

void
burdock_admin_free_pending (BurdockEntryControl *control)
{
  while (control->pending_submissions != NULL) {
    BurdockAdminCall *call = control->pending_submissions;

    control->pending_submissions = call->next;
    free_call (call);
  }
}

/* An operator who chose the attempt id can settle the attempt if the answer is lost. */
static int
submit (BurdockControl *control, const BurdockAdminCall *call)
{
  BurdockBytes body = { .data = call->body, .length_bytes = call->body_bytes };

  if (call->argument[0] == '\0')
    return burdock_control_apply (control, call->handle, call->operator_name, body);
  return burdock_control_apply_attempt (control, call->handle, call->operator_name,
                                        call->argument, body);
}

/* Starts a submission or settles an earlier one. The call is listed first, as the library
 * may report the outcome before burdock_control_apply() or _settle() returns. */
static void
start_submission (BurdockEntryControl *control, BurdockAdminCall *call)
{
  BurdockApplyResult refused = { .outcome = BURDOCK_APPLY_UNKNOWN };
  int status;

  call->handle = ++control->last_handle;
  call->next = control->pending_submissions;
  control->pending_submissions = call;
  if (call->kind == ADMIN_SETTLE)
    status = burdock_control_settle (control->control, call->handle, call->argument);
  else
    status = submit (control->control, call);
  if (status == 0)
    return;
  refused.handle = control->last_handle;
  if (call->kind == ADMIN_APPLY)
    refused.outcome = BURDOCK_APPLY_REFUSED_INVALID;
  snprintf (refused.error.detail, sizeof refused.error.detail, "not started: %s",
            strerror (-status));
  burdock_admin_apply_done (control, &refused);
}

/* Runs on the control thread. */
static void
run_call (void *ctx)
{
  BurdockAdminCall *call = ctx;
  BurdockEntryControl *control = &call->entry->control;

  call->status = 200;
  switch (call->kind) {
  case ADMIN_REPORT:
  case ADMIN_TIMELINE:
    call->text = burdock_control_report (control->control, call->argument);
    break;
  case ADMIN_METRICS:
    call->text = burdock_control_metrics (control->control);
    break;
  case ADMIN_APPLY:
  case ADMIN_SETTLE:
    start_submission (control, call);
    return;
  }
  post_result (call);
}

static BurdockAdminCall *
new_call (BurdockEntryTraffic *traffic, const BurdockHttpRequest *http, AdminKind kind)
{
  BurdockAdminCall *call = calloc (1, sizeof *call);

  if (call == NULL)
    abort ();
  call->entry = traffic->entry;
  call->request_id = burdock_http_id (http);
  call->kind = kind;
  return call;
}

static void
post_call (BurdockAdminCall *call)
{
  burdock_loop_post (call->entry->control.runtime.loop, run_call, call);
}

void
burdock_admin_handle_metrics (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  post_call (new_call (traffic, http, ADMIN_METRICS));
}

/* Returns false if the request was refused and answered. */
static bool
authenticate (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  const BurdockDaemonSettings *settings = &traffic->entry->settings;
  int status;

  if (!settings->has_operator_key) {
    answer_error (http, 403, "this entry has no operator key");
    return false;
  }
  status = burdock_auth_verify (settings->operator_key, burdock_http_method (http),
                                burdock_http_target (http), (uint64_t)time (NULL),
                                burdock_http_body (http),
                                burdock_http_header (http, "Burdock-Auth"));
  if (status == -ESTALE)
    answer_error (http, 401, "Burdock-Auth: time differs by more than 300 s");
  else if (status < 0)
    answer_error (http, 401, "Burdock-Auth: missing or wrong");
  return status == 0;
}

static bool
is_name (const char *text)
{
  return strlen (text) < BURDOCK_NAME_BYTES;
}

static void
handle_apply (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  const char *operator_name = burdock_http_query (http, "operator");
  const char *attempt = burdock_http_query (http, "attempt");
  BurdockBytes body = burdock_http_body (http);
  BurdockAdminCall *call;

  if (operator_name == NULL || operator_name[0] == '\0' || !is_name (operator_name)) {
    answer_error (http, 400, "operator: a name of 1 to 63 characters is required");
    return;
  }
  if (attempt != NULL && !is_name (attempt)) {
    answer_error (http, 400, "attempt: an id of 1 to 63 characters is required");
    return;
  }
  call = new_call (traffic, http, ADMIN_APPLY);
  burdock_copy_name (call->argument, sizeof call->argument,
                     attempt != NULL ? attempt : "");
  burdock_copy_name (call->operator_name, sizeof call->operator_name, operator_name);
  call->body = malloc (body.length_bytes + 1);
  if (call->body == NULL)
    abort ();
  memcpy (call->body, body.data, body.length_bytes);
  call->body_bytes = body.length_bytes;
  post_call (call);
}

static void
handle_effective (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  const char *workspace = burdock_http_query (http, "workspace");
  const char *branch = burdock_http_query (http, "branch");
  BurdockAdminCall *call;

  if (workspace == NULL || workspace[0] == '\0' || !is_name (workspace)) {
    answer_error (http, 400, "workspace: a name of 1 to 63 characters is required");
    return;
  }
  if (branch != NULL && !is_name (branch)) {
    answer_error (http, 400, "branch: a name of 1 to 63 characters is required");
    return;
  }
  call = new_call (traffic, http, ADMIN_REPORT);
  snprintf (call->argument, sizeof call->argument, "effective/%s/%s", workspace,
            branch != NULL ? branch : "");
  post_call (call);
}

static void
handle_report (BurdockEntryTraffic *traffic, BurdockHttpRequest *http,
               const char *argument)
{
  static const char *const report_names[] = { "members", "groups", "config", "leases",
                                              "timeline" };

  for (uint32_t i = 0; i < sizeof report_names / sizeof report_names[0]; i++) {
    bool timeline = strcmp (argument, "timeline") == 0;
    BurdockAdminCall *call;

    if (strcmp (argument, report_names[i]) != 0)
      continue;
    call = new_call (traffic, http, timeline ? ADMIN_TIMELINE : ADMIN_REPORT);
    burdock_copy_name (call->argument, sizeof call->argument, argument);
    post_call (call);
    return;
  }
  answer_error (http, 404,
                "known: config, config/attempt/ID, members, groups, leases, timeline, "
                "effective");
}

static void
handle_settle (BurdockEntryTraffic *traffic, BurdockHttpRequest *http,
               const char *attempt_id)
{
  BurdockAdminCall *call;

  if (attempt_id[0] == '\0' || !is_name (attempt_id)) {
    answer_error (http, 400, "attempt: an id of 1 to 63 characters is required");
    return;
  }
  call = new_call (traffic, http, ADMIN_SETTLE);
  burdock_copy_name (call->argument, sizeof call->argument, attempt_id);
  post_call (call);
}

void
burdock_admin_handle_request (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  static const char attempt[] = "config/attempt/";
  const char *path = burdock_http_path (http) + strlen (ADMIN_PREFIX);
  const char *method = burdock_http_method (http);

  if (!authenticate (traffic, http))
    return;
  if (strcmp (method, "POST") == 0 && strcmp (path, "config") == 0)
    handle_apply (traffic, http);
  else if (strcmp (method, "GET") != 0)
    answer_error (http, 405, "allowed: GET, and POST of config");
  else if (strncmp (path, attempt, strlen (attempt)) == 0)
    handle_settle (traffic, http, path + strlen (attempt));
  else if (strcmp (path, "effective") == 0)
    handle_effective (traffic, http);
  else
    handle_report (traffic, http, path);
}
