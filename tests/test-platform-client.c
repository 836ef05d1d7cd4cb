#include "exchange.h"
#include "runner.h"
#include "script-server.h"
#include "table-watch.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define LIMIT_US UINT64_C (20000000)
#define TEXT_BYTES 512

typedef struct {
  BurdockLoop *loop;
  BurdockHttpClient *client;
  ScriptServer *server;
  BurdockTableWatch *watch;
  BurdockStoreClient store;
  char url[64];
  uint64_t until_us;
  bool timed_out;
  bool finished;
  char seen[TEXT_BYTES];
  const char *until;
  BurdockAnswerForm form;
  int32_t status;
  BurdockRankReport report;
  uint64_t since_us;
} Fixture;

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;

  if (fixture->watch != NULL)
    burdock_table_watch_tick (fixture->watch, now_us);
  if (fixture->until != NULL && strstr (fixture->seen, fixture->until) != NULL)
    fixture->finished = true;
  fixture->timed_out = now_us > fixture->until_us;
  if (fixture->finished || fixture->timed_out)
    burdock_loop_stop (fixture->loop);
  return now_us + 1000;
}

static void
open_fixture (Fixture *fixture, const char *const *answers, uint32_t count)
{
  *fixture = (Fixture){ .until_us = burdock_loop_now_us () + LIMIT_US };
  fixture->server = script_server_start (answers, count);
  snprintf (fixture->url, sizeof fixture->url, "http://127.0.0.1:%u",
            script_server_port (fixture->server));
  fixture->loop = burdock_loop_new ();
  fixture->client = burdock_http_client_new (fixture->loop);
  burdock_loop_add_hook (fixture->loop, check_done, fixture);
}

static void
close_fixture (Fixture *fixture)
{
  burdock_table_watch_free (fixture->watch);
  script_server_stop (fixture->server);
  CU_ASSERT_FALSE (fixture->timed_out);
  burdock_http_client_free (fixture->client);
  burdock_loop_free (fixture->loop);
}

static void
add_seen (Fixture *fixture, const char *text)
{
  size_t length = strlen (fixture->seen);

  snprintf (fixture->seen + length, sizeof fixture->seen - length, "%s", text);
}

static void
watch_begin (void *ctx)
{
  add_seen (ctx, "[");
}

static void
watch_row (void *ctx, const BurdockTableRow *row)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text, "%s%s=%.*s ", row->removed ? "-" : "", row->key,
            (int)row->value.length_bytes,
            row->value.data != NULL ? (const char *)row->value.data : "");
  add_seen (ctx, text);
}

static void
watch_end (void *ctx, bool whole)
{
  add_seen (ctx, whole ? "]" : ";");
}

static void
watch_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  Fixture *fixture = ctx;

  add_seen (ctx, reachable ? "+" : "!");
  fixture->since_us = since_us;
}

static uint64_t
no_spread (void *ctx)
{
  return 0;
}

typedef struct {
  const char *name;
  const char *answers[5];
  uint32_t count;
  const char *seen;
} WatchCase;

/* "YQ==" is a, "Yg==" is b. */
static const WatchCase watch_cases[] = {
  { "list and change",
    { "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\",\"schemaVersion\":3}],"
      "\"hasMore\":false,\"schemaVersion\":5}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"Yg==\",\"schemaVersion\":6},"
      "{\"key\":\"y\",\"deleted\":true,\"schemaVersion\":6}],\"schemaVersion\":6}" },
    2,
    "+[x=a ]x=b -y= ;" },
  { "two pages",
    { "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":true,"
      "\"schemaVersion\":5}",
      "200 {\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}],\"hasMore\":false,"
      "\"schemaVersion\":6}" },
    2,
    "+[x=a y=b ]" },
  { "history is gone",
    { "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}", "410 {}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":false,"
      "\"schemaVersion\":9}" },
    3,
    "+[][x=a ]" },
  { "store refuses and answers again",
    { "503 {}", "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}" },
    2,
    "!+[]" },
  { "list older than the changes that are known",
    { "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}", "410 {}",
      "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":4}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":false,"
      "\"schemaVersion\":8}" },
    4,
    "+[]!+[x=a ]" },
  { "bytes that cannot be read",
    { "200 {\"rows\":", "200 {\"rows\":[{\"key\":\"x\",\"data\":\"*\"}],"
                        "\"hasMore\":false,\"schemaVersion\":5}" },
    2,
    "!+[x= ]" },
};

/* Guards against changes that are lost, or old ones that come back, when the store fails
 * or drops its history. */
static void
watches_deliver_the_table (void)
{
  for (uint32_t i = 0; i < sizeof watch_cases / sizeof watch_cases[0]; i++) {
    BurdockTableHandler handler;
    Fixture fixture;

    open_fixture (&fixture, watch_cases[i].answers, watch_cases[i].count);
    handler = (BurdockTableHandler){ &fixture, watch_begin, watch_row, watch_end,
                                     watch_reachable };
    fixture.store = (BurdockStoreClient){ .loop = fixture.loop,
                                          .client = fixture.client,
                                          .url = fixture.url,
                                          .random = no_spread };
    fixture.watch = burdock_table_watch_new (&fixture.store, "t", &handler);
    fixture.until = watch_cases[i].seen;
    burdock_loop_run (fixture.loop);
    if (strncmp (fixture.seen, watch_cases[i].seen, strlen (watch_cases[i].seen)) != 0)
      CU_FAIL (watch_cases[i].name);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *name;
  const char *answer;
  BurdockAnswerForm form;
} AnswerCase;

#define ID "Burdockwind-Attempt-Id: a1\r\n"
#define SIGNED "Burdockwind-Instance-Signature: s\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"

static const AnswerCase answer_cases[] = {
  { "whole", "HTTP/1.1 200 OK\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_WHOLE },
  { "stream", "HTTP/1.1 200 OK\r\n" ID SIGNED "Content-Type: text/event-stream\r\n" EMPTY,
    BURDOCK_ANSWER_STREAM },
  { "answer to another request",
    "HTTP/1.1 200 OK\r\nBurdockwind-Attempt-Id: b2\r\n" SIGNED EMPTY,
    BURDOCK_ANSWER_UNUSABLE },
  { "success without a signature", "HTTP/1.1 200 OK\r\n" ID EMPTY,
    BURDOCK_ANSWER_UNUSABLE },
  { "full", "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n" EMPTY,
    BURDOCK_ANSWER_NOT_RUN },
  { "503 that does not say that it did not run", "HTTP/1.1 503 x\r\n" ID SIGNED EMPTY,
    BURDOCK_ANSWER_UNUSABLE },
  { "429 that does not say that it did not run", "HTTP/1.1 429 x\r\n" ID SIGNED EMPTY,
    BURDOCK_ANSWER_UNUSABLE },
  { "another upstream", "HTTP/1.1 421 x\r\nBurdockwind-Instance-Id: i-2\r\n" EMPTY,
    BURDOCK_ANSWER_MISDIRECTED },
  { "failure", "HTTP/1.1 500 x\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_FAILURE },
  { "client error", "HTTP/1.1 404 x\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_WHOLE },
};

static int
take_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;

  fixture->form = burdock_exchange_judge (transfer, http_status, "a1");
  return 0;
}

static void
take_end (void *ctx, const BurdockHttpResult *result)
{
  Fixture *fixture = ctx;

  fixture->status = result->status;
  fixture->finished = true;
}

/* Guards against answers that are passed on as those of an upstream to this request, and
 * against refusals that an upstream did not give. */
static void
answers_are_judged_by_their_headers (void)
{
  for (uint32_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++) {
    Fixture fixture;
    BurdockHttpCall call = { .method = "POST", .head = take_head, .done = take_end };

    open_fixture (&fixture, &answer_cases[i].answer, 1);
    call.url = fixture.url;
    call.ctx = &fixture;
    CU_ASSERT_EQUAL (burdock_http_client_start (fixture.client, &call), 0);
    burdock_loop_run (fixture.loop);
    if (fixture.form != answer_cases[i].form)
      CU_FAIL (answer_cases[i].name);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *name;
  const char *answer;
  int32_t status;
} OrderCase;

static const OrderCase order_cases[] = {
  { "begun", "202 ", 0 },
  { "already so", "200 ", 0 },
  { "does not fit", "409 ", -EEXIST },
  { "old fencing number", "412 ", -EPERM },
  { "no such order", "400 ", -EINVAL },
  { "no answer", SCRIPT_STALL, -ETIMEDOUT },
  { "connection ends", SCRIPT_CUT, -ETIMEDOUT },
};

static void
take_ordered (void *ctx, uint64_t id, int32_t status)
{
  Fixture *fixture = ctx;

  fixture->status = status;
  fixture->finished = true;
}

/* Guards against an order that may still be carried out being taken for one that was
 * refused. */
static void
orders_end_with_what_is_known (void)
{
  for (uint32_t i = 0; i < sizeof order_cases / sizeof order_cases[0]; i++) {
    BurdockMapOrder order = {
      .id = 3, .kind = BURDOCK_ORDER_ARM, .epoch = 2, .version = 9, .step = 40
    };
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, &order_cases[i].answer, 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture, .ordered = take_ordered };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_order (runner, &order);
    burdock_loop_run (fixture.loop);
    if (fixture.status != order_cases[i].status)
      CU_FAIL (order_cases[i].name);
    close_fixture (&fixture);
    CU_ASSERT_PTR_NOT_NULL (
        strstr (script_server_last_request (),
                "{\"operation\":\"arm\",\"epoch\":2,\"version\":9,\"step\":40}"));
    burdock_runner_free (runner);
  }
}

static void
take_report (void *ctx, const BurdockRankReport *report)
{
  Fixture *fixture = ctx;

  if (report != NULL)
    fixture->report = *report;
  fixture->finished = true;
}

static const char *const reports[] = {
  "200 {\"group\":{\"name\":\"g0\",\"epoch\":3,\"rank\":2,\"state\":\"open\"},\"size\":8,"
  "\"active\":5,\"step\":66,\"mapping\":4,\"preloaded\":7,\"enabled\":null,"
  "\"held\":null}",
  "200 {\"group\":{\"name\":\"g0\",\"epoch\":3,\"rank\":2,\"state\":\"open\"},\"size\":8,"
  "\"active\":5,\"step\":66,\"mapping\":4,\"preloaded\":7,"
  "\"enabled\":{\"version\":7,\"step\":70},\"held\":70}",
};

static void
reports_are_decoded (void)
{
  for (uint32_t i = 0; i < 2; i++) {
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, &reports[i], 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture, .report = take_report };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_ask_report (runner);
    burdock_loop_run (fixture.loop);
    CU_ASSERT_EQUAL (fixture.report.epoch, 3);
    CU_ASSERT_EQUAL (fixture.report.rank, 2);
    CU_ASSERT_TRUE (fixture.report.open);
    CU_ASSERT_EQUAL (fixture.report.map_version, 4);
    CU_ASSERT_EQUAL (fixture.report.loaded_version, 7);
    CU_ASSERT_EQUAL (fixture.report.armed_version, i == 0 ? 0 : 7);
    CU_ASSERT_EQUAL (fixture.report.armed_step, i == 0 ? 0 : 70);
    CU_ASSERT_EQUAL (fixture.report.held_step, i == 0 ? 0 : 70);
    close_fixture (&fixture);
    burdock_runner_free (runner);
  }
}

/* Found by hunting on sementeira-campina (scale-2, seed 716127795627): a call that waited
 * for changes from the end of a cut on showed eight seconds later that the store was
 * back, and the removal that it brought was taken for a lapse of that moment. */
static void
return_of_the_store_dates_from_the_call (void)
{
  static const char *const answers[] = {
    "503 {}", "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}"
  };
  BurdockTableHandler handler;
  uint64_t started_us;
  Fixture fixture;

  open_fixture (&fixture, answers, 2);
  handler = (BurdockTableHandler){ &fixture, watch_begin, watch_row, watch_end,
                                   watch_reachable };
  fixture.store = (BurdockStoreClient){ .loop = fixture.loop,
                                        .client = fixture.client,
                                        .url = fixture.url,
                                        .random = no_spread };
  fixture.watch = burdock_table_watch_new (&fixture.store, "t", &handler);
  fixture.until = "!";
  burdock_loop_run (fixture.loop);
  /* The next call starts at a time of its own, which is not that of its answer. */
  started_us = burdock_loop_now_us () + 1000000;
  burdock_table_watch_tick (fixture.watch, started_us);
  fixture.finished = false;
  fixture.until = "+";
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.since_us, started_us);
  close_fixture (&fixture);
}

static const Test tests[] = {
  { "a removal long after an outage is taken for a lapse",
    return_of_the_store_dates_from_the_call },
  { "a change of a table is lost or taken back", watches_deliver_the_table },
  { "a foreign answer or refusal is passed on", answers_are_judged_by_their_headers },
  { "an order of unknown outcome counts as refused", orders_end_with_what_is_known },
  { "a report of a runner is misread", reports_are_decoded },
};

int
main (void)
{
  int status;

  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("platform-client", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
