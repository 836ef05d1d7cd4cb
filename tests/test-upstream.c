#include "engine.h"
#include "http-store.h"
#include "script-server.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_US UINT64_C (20000000)
#define TIMEOUT_MS 200
#define EVENTS_MAX 16

typedef struct {
  BurdockLoop *loop;
  BurdockHttpClient *client;
  ScriptServer *server;
  char url[64];
  uint64_t deadline_us;
  uint32_t expected_done;
  uint32_t done;
  bool timed_out;
  BurdockStoreResult store;
  char store_value[64];
  char instance[BURDOCK_NAME_BYTES];
  uint32_t event_count;
  BurdockEngineEvent events[EVENTS_MAX];
  char bodies[EVENTS_MAX][64];
  BurdockEngineState state;
} Fixture;

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;

  fixture->timed_out = now_us > fixture->deadline_us;
  if (fixture->done >= fixture->expected_done || fixture->timed_out)
    burdock_loop_stop (fixture->loop);
  return now_us + 1000;
}

static void
open_fixture (Fixture *fixture, const char *const *responses, uint32_t count)
{
  *fixture = (Fixture){ .expected_done = 1,
                        .deadline_us = burdock_loop_now_us () + TEST_TIMEOUT_US };
  fixture->server = script_server_start (responses, count);
  snprintf (fixture->url, sizeof fixture->url, "http://127.0.0.1:%u",
            script_server_port (fixture->server));
  fixture->loop = burdock_loop_new ();
  fixture->client = burdock_http_client_new (fixture->loop);
  burdock_loop_add_hook (fixture->loop, check_done, fixture);
}

/* Returns the number of requests that the server received. */
static uint32_t
close_fixture (Fixture *fixture)
{
  uint32_t received = fixture->server != NULL ? script_server_stop (fixture->server) : 0;

  CU_ASSERT_FALSE (fixture->timed_out);
  burdock_http_client_free (fixture->client);
  burdock_loop_free (fixture->loop);
  return received;
}

static void
copy_bytes (char out[64], BurdockBytes bytes)
{
  snprintf (out, 64, "%.*s", (int)bytes.length_bytes, (const char *)bytes.data);
}

static void
on_result (void *ctx, const BurdockStoreResult *result)
{
  Fixture *fixture = ctx;

  fixture->store = *result;
  copy_bytes (fixture->store_value, result->value);
  if (result->instance_count > 0)
    snprintf (fixture->instance, sizeof fixture->instance, "%s",
              result->instances[0].name);
  fixture->done++;
}

typedef struct {
  const char *name;
  BurdockStoreOp op;
  int32_t status;
  const char *response;
  uint64_t version;
  const char *value;
  const char *sent;
} StoreCase;

static const StoreCase store_cases[] = {
  { "row", BURDOCK_STORE_ROW_GET, 0, "200 {\"key\":\"a\",\"value\":\"v\",\"version\":7}",
    7, "v", "GET /table/lease%2Fa HTTP" },
  { "row not found", BURDOCK_STORE_ROW_GET, -ENOENT, "404 ", 0, "", NULL },
  { "store down", BURDOCK_STORE_ROW_GET, -EAGAIN, "503 ", 0, "", NULL },
  { "response that is not an object", BURDOCK_STORE_ROW_GET, -EIO, "200 []", 0, "",
    NULL },
  { "row written", BURDOCK_STORE_ROW_PUT_IF, 0, "200 {\"versions\":[3]}", 3, "",
    "{\"puts\":[{\"key\":\"lease/a\",\"value\":\"w\",\"if_version\":2}]}" },
  { "version conflict", BURDOCK_STORE_ROW_PUT_IF, -EEXIST,
    "409 {\"key\":\"a\",\"value\":\"x\",\"version\":9}", 9, "x", NULL },
  { "refused before any effect", BURDOCK_STORE_ROW_PUT_IF, -EAGAIN, "503 ", 0, "", NULL },
  { "response lost", BURDOCK_STORE_ROW_PUT_IF, -EIO, SCRIPT_CUT, 0, "", NULL },
  { "response late", BURDOCK_STORE_ROW_PUT_IF, -ETIMEDOUT, SCRIPT_STALL, 0, "", NULL },
  { "object", BURDOCK_STORE_OBJECT_GET, 0, "200 abc", 0, "abc",
    "GET /objects/lease%2Fa HTTP" },
  { "object written", BURDOCK_STORE_OBJECT_PUT, 0, "200 ", 0, "",
    "PUT /objects/lease%2Fa HTTP" },
  { "instances", BURDOCK_STORE_INSTANCE_LIST, 0,
    "200 {\"instances\":[{\"name\":\"e\",\"role\":\"entry\",\"control\":"
    "\"127.0.0.1:1\",\"state\":\"leaving\"}]}  ",
    0, "", "GET /instances HTTP" },
};

typedef struct {
  const char *response;
  uint64_t era; /* 0 for none */
} EraCase;

static const EraCase era_cases[] = {
  { "200 <Burdock-Store-Era: 4>{\"key\":\"a\",\"value\":\"v\",\"version\":7}", 4 },
  { "404 <Burdock-Store-Era: 4>", 4 },
  { "503 <Burdock-Store-Era: 4>", 4 },
  { "404 <Burdock-Store-Era: -1>", 0 },
  { "404 <Burdock-Store-Era: 4x>", 0 },
  { "404 <Burdock-Store-Era: 18446744073709551616>", 0 },
  { "404 <Burdock-Store-Era: 18446744073709551615>", UINT64_MAX },
  { "404 <X-Era: 4>", 0 },
};

/* Guards against an era of the store that only some of its answers tell, and against text
 * that is taken for an era: no era that is lower is accepted any more. */
static void
responses_tell_the_era (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (era_cases); i++) {
    BurdockStoreCall call = {
      .id = 5, .op = BURDOCK_STORE_ROW_GET, .key = "a", .timeout_ms = TIMEOUT_MS
    };
    BurdockHttpStore *store;
    Fixture fixture;

    open_fixture (&fixture, &era_cases[i].response, 1);
    store = burdock_http_store_new (fixture.client, fixture.url, on_result, &fixture);
    CU_ASSERT_EQUAL (burdock_http_store_call (store, &call), 0);
    burdock_loop_run (fixture.loop);
    close_fixture (&fixture);
    CU_ASSERT_EQUAL (fixture.store.era, era_cases[i].era);
    burdock_http_store_free (store);
  }
}

/* Guards against a response of the store that is reported with the wrong status: a call
 * whose outcome is unknown must be distinguished from one that had no effect. */
static void
store_responses_map_to_statuses (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (store_cases); i++) {
    const StoreCase *row = &store_cases[i];
    BurdockStoreCall call = { .id = 5,
                              .op = row->op,
                              .key = "lease/a",
                              .value = { (const uint8_t *)"o", 1 },
                              .put_count = 1,
                              .timeout_ms = TIMEOUT_MS };
    BurdockHttpStore *store;
    Fixture fixture;

    call.puts[0] = (BurdockStorePut){ "lease/a", { (const uint8_t *)"w", 1 }, 2 };
    open_fixture (&fixture, &row->response, 1);
    store = burdock_http_store_new (fixture.client, fixture.url, on_result, &fixture);
    CU_ASSERT_EQUAL (burdock_http_store_call (store, &call), 0);
    burdock_loop_run (fixture.loop);
    CU_ASSERT_EQUAL (close_fixture (&fixture), 1);
    CU_ASSERT_EQUAL (fixture.store.id, 5);
    CU_ASSERT_EQUAL (fixture.store.status, row->status);
    CU_ASSERT_EQUAL (fixture.store.version, row->version);
    CU_ASSERT_STRING_EQUAL (fixture.store_value, row->value);
    if (row->sent != NULL)
      CU_ASSERT_PTR_NOT_NULL (strstr (script_server_last_request (), row->sent));
    if (row->op == BURDOCK_STORE_INSTANCE_LIST)
      CU_ASSERT_STRING_EQUAL (fixture.instance, "e");
    burdock_http_store_free (store);
  }
}

/* Guards against a refused connection that is reported as an unknown outcome, although no
 * request was sent. */
static void
unreachable_store_is_not_ambiguous (void)
{
  BurdockStoreCall call = { .op = BURDOCK_STORE_ROW_GET, .key = "a", .timeout_ms = 5000 };
  BurdockHttpStore *store;
  Fixture fixture;

  open_fixture (&fixture, NULL, 0);
  script_server_stop (fixture.server);
  fixture.server = NULL;
  store = burdock_http_store_new (fixture.client, fixture.url, on_result, &fixture);
  burdock_http_store_call (store, &call);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.store.status, -EAGAIN);
  close_fixture (&fixture);
  burdock_http_store_free (store);
}

#define CHECKS 12

static void
record_check (void *ctx, const BurdockHttpResult *result)
{
  Fixture *fixture = ctx;

  fixture->store.status = result->status;
  fixture->done++;
}

static uint32_t
open_descriptors (void)
{
  uint32_t count = 0;

  for (int fd = 0; fd < 1024; fd++)
    count += fcntl (fd, F_GETFD) >= 0;
  return count;
}

static void
check_connection (Fixture *fixture)
{
  BurdockHttpCall call = { .method = "GET",
                           .url = fixture->url,
                           .connect_only = true,
                           .timeout_ms = TIMEOUT_MS,
                           .ctx = fixture,
                           .done = record_check };

  fixture->done = 0;
  CU_ASSERT_EQUAL (burdock_http_client_start (fixture->client, &call), 0);
  burdock_loop_run (fixture->loop);
}

/* Guards against a check that sends a request, keeps its connection open, or takes a
 * sound upstream for one that has ended. */
static void
connection_checks_send_nothing (void)
{
  Fixture fixture;
  uint32_t descriptors = 0;

  open_fixture (&fixture, NULL, 0);
  for (uint32_t i = 0; i < CHECKS; i++) {
    check_connection (&fixture);
    CU_ASSERT_EQUAL (fixture.store.status, 0);
    if (i == CHECKS / 2)
      descriptors = open_descriptors ();
  }
  CU_ASSERT_TRUE (open_descriptors () <= descriptors + 2);
  CU_ASSERT_EQUAL (script_server_stop (fixture.server), 0);
  fixture.server = NULL;
  check_connection (&fixture);
  CU_ASSERT_EQUAL (fixture.store.status, -ECONNREFUSED);
  close_fixture (&fixture);
}

/* Guards against a request that is executed twice: libcurl resends a request by itself
 * when a connection reused from an earlier request ends without a response. */
static void
request_with_effect_is_not_resent (void)
{
  static const char *const responses[] = { "200 {\"versions\":[3]}", SCRIPT_CUT,
                                           "200 {\"versions\":[4]}" };
  BurdockStoreCall call = { .op = BURDOCK_STORE_ROW_PUT_IF, .put_count = 1 };
  BurdockHttpStore *store;
  Fixture fixture;

  call.puts[0] = (BurdockStorePut){ "a", { (const uint8_t *)"w", 1 }, 2 };
  call.timeout_ms = 5000;
  open_fixture (&fixture, responses, 3);
  store = burdock_http_store_new (fixture.client, fixture.url, on_result, &fixture);
  burdock_http_store_call (store, &call);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.store.status, 0);
  fixture.expected_done = 2;
  burdock_http_store_call (store, &call);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.store.status, -EIO);
  CU_ASSERT_EQUAL (close_fixture (&fixture), 2);
  burdock_http_store_free (store);
}

static void
on_event (void *ctx, const BurdockEngineEvent *event)
{
  Fixture *fixture = ctx;

  if (fixture->event_count < EVENTS_MAX) {
    copy_bytes (fixture->bodies[fixture->event_count], event->body);
    fixture->events[fixture->event_count++] = *event;
  }
  if (event->state != NULL)
    fixture->state = *event->state;
  if (event->kind != BURDOCK_ENGINE_EVENT_TOKEN)
    fixture->done++;
}

#define CHUNKED "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
#define TOKEN_0 "1c\r\n{\"index\":0,\"token\":\"a\\n b\"}\n\r\n"
#define END_2 "19\r\n{\"end\":true,\"tokens\":2} \n\r\n"

typedef struct {
  const char *name;
  BurdockEngineOp op;
  uint32_t token_count;
  int32_t status; /* 0 for DONE */
  uint32_t total;
  const char *response;
  const char *body;
  const char *sent;
  const char *token;
} EngineCase;

static const EngineCase engine_cases[] = {
  { "stream", BURDOCK_ENGINE_GENERATE, 1, 0, 2,
    CHUNKED "a\r\n{\"index\":0\r\n12\r\n,\"token\":\"a\\n b\"}\n\r\n" END_2 "0\r\n\r\n",
    "", "\"resume_from\":3,\"delivered\":\"d\"", "a\n b" },
  { "compact line without escapes", BURDOCK_ENGINE_GENERATE, 1, -EIO, 0,
    CHUNKED "1c\r\n{\"index\":0,\"token\":\"\u00e9 bc\"}\n\r\n0\r\n\r\n", "", NULL,
    "\u00e9 bc" },
  { "stream without its end", BURDOCK_ENGINE_GENERATE, 1, -EIO, 0,
    CHUNKED TOKEN_0 "0\r\n\r\n", "", NULL, "a\n b" },
  { "line that is not JSON", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    CHUNKED "2\r\nx\n\r\n0\r\n\r\n", "", NULL, NULL },
  { "token that is not UTF-8", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    CHUNKED "19\r\n{\"index\":0,\"token\":\"a\xff\"}\n\r\n0\r\n\r\n", "", NULL, NULL },
  { "token without an index", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"token\":\"a\"}\n{\"end\":true,\"tokens\":1}\n", "", NULL, NULL },
  { "index that is text", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"index\":\"0\",\"token\":\"a\"}\n{\"end\":true,\"tokens\":1}\n", "", NULL,
    NULL },
  { "index beyond 32 bits", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"index\":4294967296,\"token\":\"a\"}\n{\"end\":true,\"tokens\":1}\n", "", NULL,
    NULL },
  { "negative index", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"index\":-4294967296,\"token\":\"a\"}\n{\"end\":true,\"tokens\":1}\n", "",
    NULL, NULL },
  { "end without the number of tokens", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"end\":true}\n", "", NULL, NULL },
  { "end with a number beyond 32 bits", BURDOCK_ENGINE_GENERATE, 0, -EIO, 0,
    "200 {\"end\":true,\"tokens\":4294967296}\n", "", NULL, NULL },
  { "end of an answer without tokens", BURDOCK_ENGINE_GENERATE, 0, 0, 0,
    "200 {\"end\":true,\"tokens\":0}\n", "", NULL, NULL },
  { "engine full", BURDOCK_ENGINE_GENERATE, 0, -EAGAIN, 0, "429 ", "", NULL, NULL },
  { "engine joining", BURDOCK_ENGINE_GENERATE, 0, -EAGAIN, 0, "409 ", "", NULL, NULL },
  { "response of a service", BURDOCK_ENGINE_CALL, 0, 0, 0, "200 {\"answer\":\"y\"}", "y",
    "\"idempotent\":true,\"body\":\"b\"", NULL },
  { "response lost", BURDOCK_ENGINE_CALL, 0, -EIO, 0, SCRIPT_CUT, "", NULL, NULL },
  { "response late", BURDOCK_ENGINE_CALL, 0, -ETIMEDOUT, 0, SCRIPT_STALL, "", NULL,
    NULL },
  { "order with a stale fencing token", BURDOCK_ENGINE_ORDER, 0, -EPERM, 0, "403 ", "",
    "{\"fence\":4,\"name\":\"load\",\"argument\":\"b\"}", NULL },
  { "hold after its step has passed", BURDOCK_ENGINE_MAP_HOLD, 0, -ESTALE, 0,
    "409 {\"step\":9}", "", "{\"epoch\":2,\"step\":6,\"number\":9,\"fence\":4}", NULL },
  { "release", BURDOCK_ENGINE_MAP_RELEASE, 0, 0, 0, "200 {}", "",
    "{\"epoch\":2,\"number\":9,\"commit\":true,\"fence\":4}", NULL },
  { "map", BURDOCK_ENGINE_MAP_LOAD, 0, 0, 0, "200 {}", "",
    "{\"epoch\":2,\"map\":\"6d\",\"fence\":4}", NULL },
};

static BurdockEngineCall
engine_call (BurdockEngineOp op)
{
  return (BurdockEngineCall){ .id = 8,
                              .op = op,
                              .key = "k",
                              .idempotent = true,
                              .resume_from = 3,
                              .body = { (const uint8_t *)"b", 1 },
                              .delivered = { (const uint8_t *)"d", 1 },
                              .epoch = 2,
                              .step = 6,
                              .hold_number = 9,
                              .fence = 4,
                              .commit = true,
                              .map = { (const uint8_t *)"m", 1 },
                              .order_name = "load",
                              .timeout_ms = TIMEOUT_MS };
}

/* Guards against a response or token stream of the upstream that is truncated, or
 * reported with the wrong status, and against a number that is missing and taken for 0.
 */
static void
upstream_responses_map_to_events (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (engine_cases); i++) {
    const EngineCase *row = &engine_cases[i];
    BurdockEngineCall call = engine_call (row->op);
    const BurdockEngineEvent *last;
    BurdockEngine *engine;
    Fixture fixture;

    open_fixture (&fixture, &row->response, 1);
    engine = burdock_engine_new (fixture.client, fixture.url, 1, on_event, &fixture);
    CU_ASSERT_EQUAL (burdock_engine_call (engine, &call), 0);
    burdock_loop_run (fixture.loop);
    close_fixture (&fixture);
    CU_ASSERT_EQUAL (fixture.done, 1);
    CU_ASSERT_EQUAL_FATAL (fixture.event_count, row->token_count + 1);
    last = &fixture.events[fixture.event_count - 1];
    CU_ASSERT_EQUAL (last->id, 8);
    CU_ASSERT_EQUAL (last->kind, row->status == 0 ? BURDOCK_ENGINE_EVENT_DONE
                                                  : BURDOCK_ENGINE_EVENT_FAILED);
    CU_ASSERT_EQUAL (last->status, row->status);
    CU_ASSERT_EQUAL (last->token_count, row->total);
    CU_ASSERT_STRING_EQUAL (fixture.bodies[fixture.event_count - 1], row->body);
    if (row->token_count > 0)
      CU_ASSERT_STRING_EQUAL (fixture.bodies[0], row->token);
    if (row->sent != NULL)
      CU_ASSERT_PTR_NOT_NULL (strstr (script_server_last_request (), row->sent));
    burdock_engine_free (engine);
  }
}

/* Guards against fields of /state that are misread, and against a plain service whose
 * load is unknown because it has no /state. */
static void
state_is_read_from_engines_and_services (void)
{
  static const char rank_state[] =
      "200 {\"instance\":4,\"held_number\":7,\"waiting\":true,\"map\":\"0a0b\","
      "\"tokens\":[1,2,3],\"step\":9} ";
  static const char *const responses[] = {
    rank_state,
    "404 ",
    "200 {\"running\":2,\"capacity\":16}",
  };
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_STATE, .timeout_ms = 5000 };
  BurdockEngine *engine;
  Fixture fixture;

  open_fixture (&fixture, responses, 3);
  engine = burdock_engine_new (fixture.client, fixture.url, 1, on_event, &fixture);
  burdock_engine_call (engine, &call);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.state.engine_instance, 4);
  CU_ASSERT_EQUAL (fixture.state.step, 9);
  CU_ASSERT_TRUE (fixture.state.waiting);
  CU_ASSERT_EQUAL (fixture.state.held_number, 7);
  CU_ASSERT_EQUAL (fixture.state.map.length_bytes, 2);
  CU_ASSERT_EQUAL (fixture.state.slot_count, 3);
  fixture.expected_done = 2;
  burdock_engine_call (engine, &call);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.state.capacity, 16);
  CU_ASSERT_EQUAL (fixture.state.running, 2);
  CU_ASSERT_EQUAL (close_fixture (&fixture), 3);
  burdock_engine_free (engine);
}

static const Test tests[] = {
  { "an upstream is taken for ended, or gets an empty request",
    connection_checks_send_nothing },
  { "a restored store is not noticed", responses_tell_the_era },
  { "a response of the store is reported with the wrong status",
    store_responses_map_to_statuses },
  { "a write to an unreachable store counts as ambiguous",
    unreachable_store_is_not_ambiguous },
  { "a request with an effect is sent twice", request_with_effect_is_not_resent },
  { "a response of the upstream is truncated or reported with the wrong status",
    upstream_responses_map_to_events },
  { "the state of an upstream is misread", state_is_read_from_engines_and_services },
};

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return test_main ("upstream", tests, TEST_COUNT (tests));
}
