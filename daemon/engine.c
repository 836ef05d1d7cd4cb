#include "engine.h"

#include "text.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503

/* Ids stay below 2^53, the limit for exact integers in JSON: 20 bits of prefix above the
 * low 32 bits of the library's call id. */
#define ID_PREFIX_BITS 20

/* An attempt ends this long after its cancellation, also without a confirmation by the
 * engine, and its connection with the next line. */
#define CANCEL_TIMEOUT_US UINT64_C (2000000)

#define CALL_ID_BITS 32

struct BurdockEngine {
  BurdockHttpClient *client;
  char *url;
  uint64_t id_prefix;
  BurdockEngineDone done;
  void *ctx;
  bool plain_service;
  struct PendingCall *streams; /* calls whose answers are streams of tokens */
};

/** struct PendingCall - call in progress
 * @ended: its end was reported
 * @cancelled_at_us: time of its cancellation, 0 before
 */
typedef struct PendingCall {
  struct PendingCall *next;
  struct PendingCall *previous;
  BurdockEngine *engine;
  uint64_t id;
  BurdockEngineOp op;
  uint32_t timeout_ms;
  bool ended;
  uint64_t cancelled_at_us;
} PendingCall;

BurdockEngine *
burdock_engine_new (BurdockHttpClient *client, const char *url, uint32_t id_prefix,
                    BurdockEngineDone done, void *ctx)
{
  BurdockEngine *engine = calloc (1, sizeof *engine);

  if (engine == NULL)
    return NULL;
  *engine =
      (BurdockEngine){ .client = client,
                       .url = strdup (url),
                       .id_prefix = (uint64_t)(id_prefix & ((1u << ID_PREFIX_BITS) - 1))
                                    << CALL_ID_BITS,
                       .done = done,
                       .ctx = ctx };
  return engine;
}

void
burdock_engine_free (BurdockEngine *engine)
{
  if (engine == NULL)
    return;
  free (engine->url);
  free (engine);
}

static json_int_t
upstream_id (const BurdockEngine *engine, uint64_t id)
{
  return (json_int_t)(engine->id_prefix | (id & UINT32_MAX));
}

static void
emit (PendingCall *pending, BurdockEngineEvent event)
{
  event.id = pending->id;
  event.op = pending->op;
  if (event.kind != BURDOCK_ENGINE_EVENT_TOKEN)
    pending->ended = true;
  pending->engine->done (pending->engine->ctx, &event);
}

static void
fail (PendingCall *pending, int32_t status)
{
  emit (pending,
        (BurdockEngineEvent){ .kind = BURDOCK_ENGINE_EVENT_FAILED, .status = status });
}

static BurdockBytes
string_bytes (json_t *text)
{
  return (BurdockBytes){ .data = (const uint8_t *)json_string_value (text),
                         .length_bytes = (uint32_t)json_string_length (text) };
}

static bool
skip_literal (const char **at, const char *end, const char *text)
{
  size_t length = strlen (text);

  if ((size_t)(end - *at) < length || memcmp (*at, text, length) != 0)
    return false;
  *at += length;
  return true;
}

/* Parses the common form of a token line, compact JSON without escapes, in place:
 * building a JSON tree for each token took 7 % of the agent's processor time. */
static bool
parse_token_line (const char *line, size_t line_bytes, BurdockEngineEvent *out)
{
  const char *at = line;
  const char *end = line + line_bytes;
  uint64_t index = 0;
  const char *digits;

  if (!skip_literal (&at, end, "{\"index\":"))
    return false;
  for (digits = at; at < end && *at >= '0' && *at <= '9' && at - digits < 9; at++)
    index = index * 10 + (uint64_t)(*at - '0');
  if (at == digits || !skip_literal (&at, end, ",\"token\":\""))
    return false;
  out->index = (uint32_t)index;
  out->body.data = (const uint8_t *)at;
  while (at < end && *at != '"' && *at != '\\' && (uint8_t)*at >= 0x20)
    at++;
  out->body.length_bytes = (uint32_t)((const uint8_t *)at - out->body.data);
  return skip_literal (&at, end, "\"}") && at == end && burdock_text_is_utf8 (out->body);
}

static void
add_stream (PendingCall *pending)
{
  BurdockEngine *engine = pending->engine;

  if (pending->op != BURDOCK_ENGINE_GENERATE)
    return;
  pending->next = engine->streams;
  if (engine->streams != NULL)
    engine->streams->previous = pending;
  engine->streams = pending;
}

static void
free_call (void *ctx)
{
  PendingCall *pending = ctx;

  if (pending->previous != NULL)
    pending->previous->next = pending->next;
  else if (pending->engine->streams == pending)
    pending->engine->streams = pending->next;
  if (pending->next != NULL)
    pending->next->previous = pending->previous;
  free (pending);
}

static void
note_cancel (const BurdockEngine *engine, uint64_t id)
{
  for (PendingCall *stream = engine->streams; stream != NULL; stream = stream->next) {
    if (stream->id == id && stream->cancelled_at_us == 0)
      stream->cancelled_at_us = burdock_loop_now_us ();
  }
}

/* Whether nobody waits for the lines of a stream any more. Its engine may go on to send
 * them for as long as the connection is open. */
static bool
is_unwanted (const PendingCall *stream)
{
  return stream->ended ||
         (stream->cancelled_at_us != 0 &&
          burdock_loop_now_us () - stream->cancelled_at_us > CANCEL_TIMEOUT_US);
}

/* Reads member @name of @root; false if it is missing or no number of 32 bits. */
static bool
read_u32 (const json_t *root, const char *name, uint32_t *out)
{
  const json_t *value = json_object_get (root, name);

  if (!json_is_integer (value) || json_integer_value (value) < 0 ||
      json_integer_value (value) > UINT32_MAX)
    return false;
  *out = (uint32_t)json_integer_value (value);
  return true;
}

/* Handles one line of a token stream. */
static int
handle_line (void *ctx, const char *line, size_t line_bytes)
{
  PendingCall *pending = ctx;
  BurdockEngineEvent event = { .kind = BURDOCK_ENGINE_EVENT_TOKEN };
  json_t *root;
  json_t *token;
  uint32_t number;

  if (is_unwanted (pending))
    return -ECANCELED;
  if (line_bytes == 0)
    return 0;
  if (parse_token_line (line, line_bytes, &event)) {
    emit (pending, event);
    return 0;
  }
  root = json_loadb (line, line_bytes, 0, NULL);
  token = json_object_get (root, "token");
  if (json_is_string (token) && read_u32 (root, "index", &number))
    emit (pending, (BurdockEngineEvent){ .kind = BURDOCK_ENGINE_EVENT_TOKEN,
                                         .index = number,
                                         .body = string_bytes (token) });
  else if (!json_is_string (token) && json_is_true (json_object_get (root, "end")) &&
           read_u32 (root, "tokens", &number))
    emit (pending, (BurdockEngineEvent){ .kind = BURDOCK_ENGINE_EVENT_DONE,
                                         .token_count = number });
  else
    fail (pending, -EIO);
  json_decref (root);
  return 0;
}

static int32_t
result_status (const PendingCall *pending, const BurdockHttpResult *result)
{
  if (result->status < 0)
    return result->status;
  switch (result->http_status) {
  case HTTP_OK:
    return 0;
  case HTTP_FORBIDDEN:
    return -EPERM;
  case HTTP_CONFLICT:
    return pending->op == BURDOCK_ENGINE_MAP_HOLD ? -ESTALE : -EAGAIN;
  case HTTP_TOO_MANY:
  case HTTP_UNAVAILABLE:
    return -EAGAIN;
  default:
    return -EIO;
  }
}

static uint64_t
json_u64 (json_t *root, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (root, name));
}

static uint8_t *
parse_map (json_t *root, BurdockBytes *out)
{
  json_t *text = json_object_get (root, "map");
  size_t limit = json_string_length (text) / 2 + 1;
  size_t length_bytes = 0;
  uint8_t *map;

  if (!json_is_string (text))
    return NULL;
  map = malloc (limit);
  if (map == NULL ||
      sodium_hex2bin (map, limit, json_string_value (text), json_string_length (text),
                      NULL, &length_bytes, NULL) != 0) {
    free (map);
    return NULL;
  }
  *out = (BurdockBytes){ .data = map, .length_bytes = (uint32_t)length_bytes };
  return map;
}

static uint32_t *
parse_expert_tokens (json_t *root, uint32_t *count)
{
  json_t *list = json_object_get (root, "tokens");
  size_t size = json_array_size (list);
  uint32_t *tokens = size > 0 ? calloc (size, sizeof *tokens) : NULL;

  *count = tokens != NULL ? (uint32_t)size : 0;
  for (uint32_t i = 0; i < *count; i++)
    tokens[i] = (uint32_t)json_integer_value (json_array_get (list, i));
  return tokens;
}

static void
emit_state (PendingCall *pending, json_t *root)
{
  BurdockEngineState state = {
    .engine_instance = json_u64 (root, "instance"),
    .map_epoch = json_u64 (root, "map_epoch"),
    .held_epoch = json_u64 (root, "held_epoch"),
    .held_step = json_u64 (root, "held_step"),
    .held_number = json_u64 (root, "held_number"),
    .step = json_u64 (root, "step"),
    .waiting = json_is_true (json_object_get (root, "waiting")),
    .joining = json_is_true (json_object_get (root, "joining")),
    .running = (uint32_t)json_u64 (root, "running"),
    .queued = (uint32_t)json_u64 (root, "queued"),
    .capacity = (uint32_t)json_u64 (root, "capacity"),
    .step_time_us = (uint32_t)json_u64 (root, "step_time_us"),
  };
  uint8_t *map = parse_map (root, &state.map);
  uint32_t *tokens = parse_expert_tokens (root, &state.slot_count);

  state.expert_tokens = tokens;
  emit (pending,
        (BurdockEngineEvent){ .kind = BURDOCK_ENGINE_EVENT_DONE, .state = &state });
  free (map);
  free (tokens);
}

/* Ends a call whose response had status 200. */
static void
finish_call (PendingCall *pending, const BurdockHttpResult *result)
{
  BurdockEngineEvent done = { .kind = BURDOCK_ENGINE_EVENT_DONE };
  json_t *root;
  json_t *answer;

  if (pending->op != BURDOCK_ENGINE_CALL && pending->op != BURDOCK_ENGINE_STATE) {
    if (pending->op == BURDOCK_ENGINE_GENERATE)
      fail (pending, -EIO); /* the stream ended without its end line */
    else
      emit (pending, done);
    return;
  }
  root = json_loadb (result->body, result->body_bytes, 0, NULL);
  answer = json_object_get (root, "answer");
  if (pending->op == BURDOCK_ENGINE_STATE && json_is_object (root)) {
    emit_state (pending, root);
  } else if (json_is_string (answer)) {
    done.body = string_bytes (answer);
    emit (pending, done);
  } else {
    fail (pending, -EIO);
  }
  json_decref (root);
}

static int request_state (BurdockEngine *engine, PendingCall *pending);

static void
call_done (void *ctx, const BurdockHttpResult *result)
{
  PendingCall *pending = ctx;
  int32_t status = result_status (pending, result);

  if (pending->op == BURDOCK_ENGINE_STATE && result->http_status == HTTP_NOT_FOUND &&
      !pending->engine->plain_service) {
    pending->engine->plain_service = true;
    if (request_state (pending->engine, pending) == 0)
      return;
  }
  if (!pending->ended && status < 0)
    fail (pending, status);
  else if (!pending->ended)
    finish_call (pending, result);
  free_call (pending);
}

static int
start_request (BurdockEngine *engine, PendingCall *pending, const char *path,
               const char *body)
{
  BurdockHttpCall http = { .method = body != NULL ? "POST" : "GET",
                           .body = body,
                           .body_bytes = body != NULL ? strlen (body) : 0,
                           .at_most_once = true,
                           .timeout_ms = pending->timeout_ms,
                           .ctx = pending,
                           .done = call_done,
                           .free_ctx = free_call };
  char *url = NULL;
  int status;

  if (asprintf (&url, "%s%s", engine->url, path) < 0)
    return -ENOMEM;
  http.url = url;
  if (pending->op == BURDOCK_ENGINE_GENERATE)
    http.line = handle_line;
  status = burdock_http_client_start (engine->client, &http);
  free (url);
  return status;
}

static int
request_state (BurdockEngine *engine, PendingCall *pending)
{
  return start_request (engine, pending, engine->plain_service ? "/load" : "/state",
                        NULL);
}

static json_t *
make_generate_body (const BurdockEngine *engine, const BurdockEngineCall *call)
{
  return json_pack ("{s:I, s:s, s:s, s:s, s:s, s:s, s:i, s:s%, s:I, s:s%}", "id",
                    upstream_id (engine, call->id), "key", call->key, "workspace",
                    call->workspace, "model", call->model, "adapter", call->adapter,
                    "version", call->version, "priority", (int)call->priority, "prompt",
                    call->body.data != NULL ? (const char *)call->body.data : "",
                    (size_t)call->body.length_bytes, "resume_from",
                    (json_int_t)call->resume_from, "delivered",
                    call->delivered.data != NULL ? (const char *)call->delivered.data
                                                 : "",
                    (size_t)call->delivered.length_bytes);
}

static json_t *
make_map_body (const BurdockEngineCall *call)
{
  size_t hex_bytes = (size_t)call->map.length_bytes * 2 + 1;
  char *hex = malloc (hex_bytes);
  json_t *body;

  if (hex == NULL)
    return NULL;
  sodium_bin2hex (hex, hex_bytes, call->map.data, call->map.length_bytes);
  body = json_pack ("{s:I, s:s, s:I}", "epoch", (json_int_t)call->epoch, "map", hex,
                    "fence", (json_int_t)call->fence);
  free (hex);
  return body;
}

/* Returns the request body of a call and sets its path; NULL for text that is not UTF-8.
 */
static json_t *
make_request_body (const BurdockEngine *engine, const BurdockEngineCall *call,
                   const char **path)
{
  json_int_t epoch = (json_int_t)call->epoch;
  json_int_t fence = (json_int_t)call->fence;
  json_int_t hold = (json_int_t)call->hold_number;
  const char *text = call->body.data != NULL ? (const char *)call->body.data : "";

  switch (call->op) {
  case BURDOCK_ENGINE_GENERATE:
    *path = "/generate";
    return make_generate_body (engine, call);
  case BURDOCK_ENGINE_CALL:
    *path = "/call";
    return json_pack ("{s:I, s:s, s:s, s:b, s:s%}", "id", upstream_id (engine, call->id),
                      "key", call->key, "workspace", call->workspace, "idempotent",
                      call->idempotent, "body", text, (size_t)call->body.length_bytes);
  case BURDOCK_ENGINE_CANCEL:
    *path = "/cancel";
    return json_pack ("{s:I}", "id", upstream_id (engine, call->target_id));
  case BURDOCK_ENGINE_MAP_LOAD:
    *path = "/map/load";
    return make_map_body (call);
  case BURDOCK_ENGINE_MAP_HOLD:
    *path = "/map/hold";
    return json_pack ("{s:I, s:I, s:I, s:I}", "epoch", epoch, "step",
                      (json_int_t)call->step, "number", hold, "fence", fence);
  case BURDOCK_ENGINE_MAP_RELEASE:
    *path = "/map/release";
    return json_pack ("{s:I, s:I, s:b, s:I}", "epoch", epoch, "number", hold, "commit",
                      call->commit, "fence", fence);
  case BURDOCK_ENGINE_ORDER:
    *path = "/order";
    return json_pack ("{s:I, s:s, s:s%}", "fence", fence, "name", call->order_name,
                      "argument", text, (size_t)call->body.length_bytes);
  default:
    return NULL;
  }
}

static int
request_post (BurdockEngine *engine, PendingCall *pending, const BurdockEngineCall *call)
{
  const char *path = "";
  json_t *body = make_request_body (engine, call, &path);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  int status = text != NULL ? start_request (engine, pending, path, text) : -EINVAL;

  free (text);
  json_decref (body);
  return status;
}

int
burdock_engine_call (BurdockEngine *engine, const BurdockEngineCall *call)
{
  PendingCall *pending = malloc (sizeof *pending);
  int status;

  if (pending == NULL)
    return -ENOMEM;
  *pending = (PendingCall){
    .engine = engine, .id = call->id, .op = call->op, .timeout_ms = call->timeout_ms
  };
  add_stream (pending);
  if (call->op == BURDOCK_ENGINE_CANCEL)
    note_cancel (engine, call->target_id);
  status = call->op == BURDOCK_ENGINE_STATE ? request_state (engine, pending)
                                            : request_post (engine, pending, call);
  if (status < 0)
    free_call (pending);
  return status;
}
