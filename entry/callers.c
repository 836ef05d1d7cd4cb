#include "entry.h"

#include "error.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MAX_MS 3600000
#define JSON_TYPE "application/json"

/**
 * struct Call - state of a caller's request, attached to its HTTP request
 * @key: request key as a quoted JSON string
 * @stream: whether the answer is streamed, one JSON line per token
 * @finished: the last part of the answer was delivered
 * @answer: text of the tokens received so far, if the answer is not streamed
 */
typedef struct {
  char *key;
  bool stream;
  bool finished;
  BurdockText answer;
} Call;

/**
 * struct HeaderError - first invalid header of a request
 * @header: name of the header, or "body"; NULL if the request is valid
 * @value: value found
 * @allowed: values allowed, as text for the caller
 */
typedef struct {
  const char *header;
  const char *value;
  const char *allowed;
} HeaderError;

static const uint32_t reason_status[BURDOCK_REASON_COUNT] = {
  [BURDOCK_REASON_BAD_REQUEST] = 400,     [BURDOCK_REASON_NOT_ALLOWED] = 403,
  [BURDOCK_REASON_LIMIT] = 429,           [BURDOCK_REASON_CLAIMED] = 409,
  [BURDOCK_REASON_DEADLINE] = 504,        [BURDOCK_REASON_CANCELLED] = 499,
  [BURDOCK_REASON_UPSTREAM_FAILED] = 502,
};

/* Reasons without a status of their own mean that the service is unavailable. */
static uint32_t
http_status (BurdockReason reason)
{
  if ((uint32_t)reason >= BURDOCK_REASON_COUNT || reason_status[reason] == 0)
    return 503;
  return reason_status[reason];
}

static const char *
ran_name (BurdockRan ran)
{
  return ran == BURDOCK_RAN_NOT_RUN ? "not-run" : "unknown";
}

static bool
is_valid_name (const char *value, size_t size_bytes)
{
  if (value[0] == '\0' || strlen (value) >= size_bytes)
    return false;
  for (const char *c = value; *c != '\0'; c++)
    if (!isgraph ((unsigned char)*c))
      return false;
  return true;
}

/* Copies the value of a header to @out. Without the header, @out is not changed. */
static bool
read_name (const BurdockHttpRequest *http, const char *header, const char *allowed,
           char *out, size_t size_bytes, HeaderError *error)
{
  const char *value = burdock_http_header (http, header);

  if (value == NULL)
    return true;
  if (is_valid_name (value, size_bytes) && burdock_copy_text (out, size_bytes, value))
    return true;
  *error = (HeaderError){ header, value, allowed };
  return false;
}

/* Sets @out to the index of the value in @names, and leaves it without the header. */
static bool
read_choice (const BurdockHttpRequest *http, const char *header, const char *const *names,
             uint32_t count, const char *allowed, uint32_t *out, HeaderError *error)
{
  const char *value = burdock_http_header (http, header);

  if (value == NULL)
    return true;
  for (uint32_t i = 0; i < count; i++) {
    if (strcmp (value, names[i]) != 0)
      continue;
    *out = i;
    return true;
  }
  *error = (HeaderError){ header, value, allowed };
  return false;
}

static bool
read_deadline_ms (const BurdockHttpRequest *http, uint32_t *out, HeaderError *error)
{
  const char *value = burdock_http_header (http, "Burdock-Deadline-Ms");
  unsigned long number;
  char *end;

  if (value == NULL)
    return true;
  errno = 0;
  number = strtoul (value, &end, 10);
  if (value[0] < '0' || value[0] > '9' || *end != '\0' || errno != 0 || number == 0 ||
      number > DEADLINE_MAX_MS) {
    *error = (HeaderError){ "Burdock-Deadline-Ms", value,
                            "a number of milliseconds, 1 to 3600000" };
    return false;
  }
  *out = (uint32_t)number;
  return true;
}

static bool
read_names (const BurdockHttpRequest *http, BurdockRequest *out, HeaderError *error)
{
  static const char name_rule[] = "1 to 63 printable ASCII characters without spaces";
  static const char key_rule[] = "1 to 127 printable ASCII characters without spaces";

  return read_name (http, "Burdock-Workspace", name_rule, out->workspace,
                    sizeof out->workspace, error) &&
         read_name (http, "Burdock-Branch", name_rule, out->branch, sizeof out->branch,
                    error) &&
         read_name (http, "Burdock-Model", name_rule, out->model, sizeof out->model,
                    error) &&
         read_name (http, "Burdock-Service", name_rule, out->service, sizeof out->service,
                    error) &&
         read_name (http, "Burdock-Adapter", name_rule, out->adapter, sizeof out->adapter,
                    error) &&
         read_name (http, "Burdock-Version", name_rule, out->version, sizeof out->version,
                    error) &&
         read_name (http, "Burdock-Key", key_rule, out->key, sizeof out->key, error);
}

/* Checks required headers, combinations of headers, and the body. */
static bool
check_request (const BurdockRequest *request, bool stream, HeaderError *error)
{
  bool model = request->model[0] != '\0';
  bool service = request->service[0] != '\0';

  if (request->workspace[0] == '\0')
    *error = (HeaderError){ "Burdock-Workspace", "", "required" };
  else if (model == service)
    *error = (HeaderError){ "Burdock-Model", request->model,
                            "either Burdock-Model or Burdock-Service" };
  else if (service && (request->adapter[0] != '\0' || request->version[0] != '\0'))
    *error =
        (HeaderError){ "Burdock-Version", request->version,
                       "Burdock-Version and Burdock-Adapter with Burdock-Model only" };
  else if (service && stream)
    *error = (HeaderError){ "Burdock-Stream", "yes", "no with Burdock-Service" };
  else if (!request->idempotent && request->key[0] == '\0')
    *error = (HeaderError){ "Burdock-Key", "", "required for non-idempotent requests" };
  else if (!burdock_text_is_utf8 (request->body))
    *error = (HeaderError){ "body", "", "UTF-8 text without a zero byte" };
  return error->header == NULL;
}

/* Model requests are idempotent by default, requests of a service are not. */
static bool
read_request (const BurdockHttpRequest *http, BurdockRequest *out, bool *stream,
              HeaderError *error)
{
  static const char *const yes_no[] = { "no", "yes" };
  static const char *const priorities[] = { "low", "normal", "high" };
  uint32_t priority = BURDOCK_PRIORITY_NORMAL;
  uint32_t idempotent;
  uint32_t streamed = 0;

  if (!read_names (http, out, error))
    return false;
  idempotent = out->service[0] == '\0';
  if (!read_choice (http, "Burdock-Priority", priorities, 3, "low, normal or high",
                    &priority, error) ||
      !read_choice (http, "Burdock-Idempotent", yes_no, 2, "yes or no", &idempotent,
                    error) ||
      !read_choice (http, "Burdock-Stream", yes_no, 2, "yes or no", &streamed, error) ||
      !read_deadline_ms (http, &out->deadline_ms, error))
    return false;
  out->has_priority = burdock_http_header (http, "Burdock-Priority") != NULL;
  out->priority = (BurdockPriority)priority;
  out->idempotent = idempotent != 0;
  *stream = streamed != 0;
  out->body = burdock_http_body (http);
  return check_request (out, *stream, error);
}

static void
refuse_invalid (BurdockHttpRequest *http, const char *key, const HeaderError *error)
{
  BurdockText text = { 0 };

  burdock_text_add_string (&text, "{\"key\":");
  burdock_text_add_json_string (&text, key);
  burdock_text_add_string (&text, ",\"refused\":\"bad-request\",\"ran\":\"not-run\","
                                  "\"header\":");
  burdock_text_add_json_string (&text, error->header);
  burdock_text_add_string (&text, ",\"value\":");
  burdock_text_add_json_string (&text, burdock_text_is_utf8 ((BurdockBytes){
                                           (const uint8_t *)error->value,
                                           (uint32_t)strlen (error->value) })
                                           ? error->value
                                           : "not UTF-8");
  burdock_text_add_string (&text, ",\"allowed\":");
  burdock_text_add_json_string (&text, error->allowed);
  burdock_text_add_string (&text, "}\n");
  burdock_http_respond (http, 400, JSON_TYPE, burdock_text_take (&text), "not-run");
}

static Call *
new_call (const char *key, bool stream)
{
  Call *call = calloc (1, sizeof *call);
  BurdockText text = { 0 };

  if (call == NULL)
    abort ();
  burdock_text_add_json_string (&text, key);
  call->key = burdock_text_take (&text);
  call->stream = stream;
  return call;
}

void
burdock_callers_handle_request (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  BurdockRequest request = { .handle = burdock_http_id (http) };
  HeaderError error = { 0 };
  bool stream = false;

  if (!read_request (http, &request, &stream, &error)) {
    refuse_invalid (http, request.key, &error);
    return;
  }
  if (request.key[0] == '\0')
    snprintf (request.key, sizeof request.key, "%016llx%016llx",
              (unsigned long long)burdock_runtime_random (&traffic->runtime),
              (unsigned long long)burdock_runtime_random (&traffic->runtime));
  burdock_http_set_header (http, "Burdock-Key", request.key);
  burdock_http_set_data (http, new_call (request.key, stream));
  burdock_dispatcher_submit (traffic->dispatcher, &request);
}

/* Appends traffic->line to the streamed answer and empties the buffer. */
static void
flush_line (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  burdock_http_stream_write (http, traffic->line.data, traffic->line.length_bytes);
  traffic->line.length_bytes = 0;
}

static void
begin_line (BurdockText *line, const Call *call)
{
  burdock_text_add (line, "{\"key\":", 7);
  burdock_text_add_string (line, call->key);
}

static void
deliver_token (BurdockEntryTraffic *traffic, BurdockHttpRequest *http, Call *call,
               const BurdockDelivery *delivery)
{
  BurdockText *line = &traffic->line;

  if (!call->stream) {
    burdock_text_add (&call->answer, (const char *)delivery->body.data,
                      delivery->body.length_bytes);
    return;
  }
  begin_line (line, call);
  burdock_text_add (line, ",\"index\":", 9);
  burdock_text_add_number (line, delivery->index);
  burdock_text_add (line, ",\"token\":", 9);
  burdock_text_add_json (line, delivery->body);
  burdock_text_add (line, "}\n", 2);
  flush_line (traffic, http);
}

static void
deliver_end (BurdockEntryTraffic *traffic, BurdockHttpRequest *http, Call *call,
             const BurdockDelivery *delivery)
{
  BurdockText answer = { 0 };
  BurdockText *out = call->stream ? &traffic->line : &answer;
  BurdockBytes body = delivery->body;

  begin_line (out, call);
  burdock_text_add_string (out, ",\"end\":true,\"tokens\":");
  burdock_text_add_number (out, delivery->token_count);
  if (call->stream) {
    burdock_text_add (out, "}\n", 2);
    flush_line (traffic, http);
    burdock_http_stream_end (http);
    return;
  }
  if (call->answer.length_bytes > 0)
    body = (BurdockBytes){ .data = (const uint8_t *)call->answer.data,
                           .length_bytes = call->answer.length_bytes };
  burdock_text_add_string (out, ",\"answer\":");
  burdock_text_add_json (out, body);
  burdock_text_add (out, "}\n", 2);
  burdock_http_respond (http, 200, JSON_TYPE, burdock_text_take (out), NULL);
}

/* Ends a request that was refused, or whose answer cannot be completed. */
static void
deliver_failure (BurdockEntryTraffic *traffic, BurdockHttpRequest *http, const Call *call,
                 BurdockReason reason, BurdockRan ran)
{
  BurdockText answer = { 0 };
  bool streaming = burdock_http_streaming (http);
  BurdockText *out = streaming ? &traffic->line : &answer;

  begin_line (out, call);
  burdock_text_format (out, ",\"%s\":\"%s\",\"ran\":\"%s\"}\n",
                       streaming ? "error" : "refused", burdock_reason_name (reason),
                       ran_name (ran));
  if (!streaming) {
    burdock_http_respond (http, http_status (reason), JSON_TYPE, burdock_text_take (out),
                          ran_name (ran));
    return;
  }
  flush_line (traffic, http);
  burdock_http_stream_end (http);
}

void
burdock_callers_deliver (void *ctx, const BurdockDelivery *delivery)
{
  BurdockEntryTraffic *traffic = ctx;
  BurdockHttpRequest *http = burdock_http_server_find (traffic->http, delivery->handle);
  Call *call = http != NULL ? burdock_http_data (http) : NULL;

  if (call == NULL || call->finished)
    return;
  call->finished = delivery->kind != BURDOCK_DELIVERY_TOKEN;
  switch (delivery->kind) {
  case BURDOCK_DELIVERY_TOKEN:
    deliver_token (traffic, http, call, delivery);
    return;
  case BURDOCK_DELIVERY_END:
    deliver_end (traffic, http, call, delivery);
    return;
  case BURDOCK_DELIVERY_REFUSED:
  case BURDOCK_DELIVERY_BROKEN:
    deliver_failure (traffic, http, call, delivery->reason, delivery->ran);
    return;
  }
}

void
burdock_callers_handle_closed (BurdockEntryTraffic *traffic, BurdockHttpRequest *http,
                               bool complete)
{
  Call *call = burdock_http_data (http);

  if (call == NULL)
    return;
  if (!call->finished)
    burdock_dispatcher_cancel (traffic->dispatcher, burdock_http_id (http));
  burdock_text_clear (&call->answer);
  free (call->key);
  free (call);
  burdock_http_set_data (http, NULL);
}
