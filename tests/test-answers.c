/* What a gateway reads from the head of an answer. */
#include "exchange.h"
#include "script-server.h"
#include "test.h"

#include <curl/curl.h>
#include <stdio.h>

#define TIMEOUT_MS 20000

typedef struct {
  BurdockLoop *loop;
  BurdockHttpClient *client;
  ScriptServer *server;
  char url[64];
  BurdockAnswerKind kind;
  bool first; /* on its connection */
  bool leaving;
  uint32_t pause_ms;
  bool has_cold_left;
  uint32_t cold_left_ms;
} Fixture;

static void
open_fixture (Fixture *fixture, const char *const *answers, uint32_t count)
{
  *fixture = (Fixture){ .server = script_server_start (answers, count) };
  snprintf (fixture->url, sizeof fixture->url, "http://127.0.0.1:%u",
            script_server_port (fixture->server));
  fixture->loop = burdock_loop_new ();
  fixture->client = burdock_http_client_new (fixture->loop);
}

static void
close_fixture (Fixture *fixture)
{
  script_server_stop (fixture->server);
  burdock_http_client_free (fixture->client);
  burdock_loop_free (fixture->loop);
}

static void
stop_loop (void *ctx, const BurdockHttpResult *result)
{
  Fixture *fixture = ctx;

  burdock_loop_stop (fixture->loop);
}

typedef struct {
  const char *name;
  const char *answer;
  BurdockAnswerKind kind;
} AnswerCase;

#define ID "Burdockwind-Attempt-Id: a1\r\n"
#define SIGNED "Burdockwind-Instance-Signature: s\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"

static const AnswerCase answer_cases[] = {
  { "complete", "HTTP/1.1 200 OK\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_COMPLETE },
  { "stream", "HTTP/1.1 200 OK\r\n" ID SIGNED "Content-Type: text/event-stream\r\n" EMPTY,
    BURDOCK_ANSWER_STREAM },
  { "answer to another request",
    "HTTP/1.1 200 OK\r\nBurdockwind-Attempt-Id: b2\r\n" SIGNED EMPTY,
    BURDOCK_ANSWER_INVALID },
  { "success without a signature", "HTTP/1.1 200 OK\r\n" ID EMPTY,
    BURDOCK_ANSWER_INVALID },
  { "upstream has no free slot",
    "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n" EMPTY, BURDOCK_ANSWER_NOT_RUN },
  { "503 without Not-Executed", "HTTP/1.1 503 x\r\n" ID SIGNED EMPTY,
    BURDOCK_ANSWER_INVALID },
  { "429 without Not-Executed", "HTTP/1.1 429 x\r\n" ID SIGNED EMPTY,
    BURDOCK_ANSWER_INVALID },
  { "another upstream", "HTTP/1.1 421 x\r\nBurdockwind-Instance-Id: i-2\r\n" EMPTY,
    BURDOCK_ANSWER_MISDIRECTED },
  { "error", "HTTP/1.1 500 x\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_ERROR },
  { "client error", "HTTP/1.1 404 x\r\n" ID SIGNED EMPTY, BURDOCK_ANSWER_COMPLETE },
};

static int
classify_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;

  fixture->first = burdock_http_transfer_is_first (transfer);
  fixture->kind = burdock_exchange_classify_answer (transfer, http_status, "a1");
  return 0;
}

/* Sends a request and runs until its transfer ends. */
static void
read_head (Fixture *fixture,
           int (*head) (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status))
{
  BurdockHttpCall call = { .method = "POST",
                           .url = fixture->url,
                           .ctx = fixture,
                           .head = head,
                           .timeout_ms = TIMEOUT_MS,
                           .done = stop_loop };

  CU_ASSERT_EQUAL (burdock_http_client_start (fixture->client, &call), 0);
  burdock_loop_run (fixture->loop);
}

/* Guards against forwarding an answer that belongs to another request or does not come
 * from an upstream, and against taking a refusal without the Not-Executed header as proof
 * that the request did not run. */
static void
answers_are_classified_by_their_headers (void)
{
  for (uint32_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++) {
    Fixture fixture;

    open_fixture (&fixture, &answer_cases[i].answer, 1);
    read_head (&fixture, classify_head);
    if (fixture.kind != answer_cases[i].kind)
      CU_FAIL (answer_cases[i].name);
    close_fixture (&fixture);
  }
}

/* Second answers on a connection. */
static const AnswerCase kept_cases[] = {
  { "a refusal of this request",
    "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n" ID EMPTY,
    BURDOCK_ANSWER_NOT_RUN },
  { "a refusal of another request",
    "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\nBurdockwind-Attempt-Id: "
    "b2\r\n" EMPTY,
    BURDOCK_ANSWER_INVALID },
  { "a refusal of an unknown request",
    "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n" EMPTY, BURDOCK_ANSWER_INVALID },
  { "another upstream, for an unknown request",
    "HTTP/1.1 421 x\r\nBurdockwind-Instance-Id: i-2\r\n" EMPTY, BURDOCK_ANSWER_INVALID },
  { "another upstream", "HTTP/1.1 421 x\r\n" ID EMPTY, BURDOCK_ANSWER_MISDIRECTED },
};

/* Guards against an earlier refusal, written once more on a kept connection, that is
 * taken as proof that a later request did not run. */
static void
refusals_on_a_kept_connection_name_their_request (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (kept_cases); i++) {
    const char *const answers[] = { "HTTP/1.1 200 OK\r\n" ID SIGNED EMPTY,
                                    kept_cases[i].answer };
    Fixture fixture;

    open_fixture (&fixture, answers, 2);
    read_head (&fixture, classify_head);
    read_head (&fixture, classify_head);
    CU_ASSERT_FALSE (fixture.first);
    if (fixture.kind != kept_cases[i].kind)
      CU_FAIL (kept_cases[i].name);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *name;
  const char *answer;
  bool leaving;
} LeavingCase;

static const LeavingCase leaving_cases[] = {
  { "it leaves", "HTTP/1.1 200 OK\r\n" ID SIGNED "Server-Leaving: 1\r\n" EMPTY, true },
  { "an error", "HTTP/1.1 500 x\r\n" ID SIGNED "server-leaving: 1\r\n" EMPTY, true },
  { "it stays", "HTTP/1.1 200 OK\r\n" ID SIGNED "Server-Leaving: 0\r\n" EMPTY, false },
  { "nothing is said", "HTTP/1.1 200 OK\r\n" ID SIGNED EMPTY, false },
};

static int
leaving_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;

  fixture->leaving = burdock_exchange_is_leaving (transfer);
  return 0;
}

static void
the_notice_of_an_upstream_is_read_from_its_answer (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (leaving_cases); i++) {
    Fixture fixture;

    open_fixture (&fixture, &leaving_cases[i].answer, 1);
    read_head (&fixture, leaving_head);
    if (fixture.leaving != leaving_cases[i].leaving)
      CU_FAIL (leaving_cases[i].name);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *name;
  const char *answer;
  uint32_t pause_ms;
} PauseCase;

#define REJECTED "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n"

static const PauseCase pause_cases[] = {
  { "whole seconds", REJECTED ID "Retry-After: 2\r\n" EMPTY, 2000 },
  { "a fraction", REJECTED ID "Retry-After: 0.25\r\n" EMPTY, 250 },
  { "no time", REJECTED ID EMPTY, 0 },
  { "a date", REJECTED ID "Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n" EMPTY, 0 },
  { "a negative time", REJECTED ID "Retry-After: -3\r\n" EMPTY, 0 },
  { "no number", REJECTED ID "Retry-After: nan\r\n" EMPTY, 0 },
  { "longer than an hour", REJECTED ID "Retry-After: 1e12\r\n" EMPTY, 3600000 },
  { "an answer to another request",
    REJECTED "Burdockwind-Attempt-Id: b2\r\nRetry-After: 2\r\n" EMPTY, 0 },
  { "another status", "HTTP/1.1 429 x\r\n" ID "Retry-After: 2\r\n" EMPTY, 0 },
};

static int
pause_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;

  fixture->pause_ms = burdock_exchange_pause_ms (transfer, http_status, "a1");
  return 0;
}

static void
the_pause_of_an_upstream_is_read_from_its_rejection (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (pause_cases); i++) {
    Fixture fixture;

    open_fixture (&fixture, &pause_cases[i].answer, 1);
    read_head (&fixture, pause_head);
    if (fixture.pause_ms != pause_cases[i].pause_ms)
      CU_FAIL (pause_cases[i].name);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *name;
  const char *answer;
  bool stated;
  uint32_t left_ms;
} ColdCase;

#define COLD(value)                                                                      \
  "HTTP/1.1 200 OK\r\n" ID SIGNED "Burdockwind-Cold-Start-Ms: " value "\r\n" EMPTY

static const ColdCase cold_cases[] = {
  { "cold", COLD ("2500"), true, 2500 },
  { "warm", COLD ("0"), true, 0 },
  { "a fraction", COLD ("1.5e3"), true, 1500 },
  { "beyond 32 bits", COLD ("1e12"), true, UINT32_MAX },
  { "a negative time", COLD ("-1"), false, 0 },
  { "no number", COLD ("nan"), false, 0 },
  { "a unit", COLD ("3s"), false, 0 },
  { "nothing is said", "HTTP/1.1 200 OK\r\n" ID SIGNED EMPTY, false, 0 },
  { "a refusal",
    "HTTP/1.1 503 x\r\nBurdockwind-Not-Executed: 1\r\n" ID
    "burdockwind-cold-start-ms: 700\r\n" EMPTY,
    true, 700 },
};

static int
cold_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;

  fixture->has_cold_left =
      burdock_exchange_read_cold_left (transfer, &fixture->cold_left_ms);
  return 0;
}

static void
the_cold_time_of_an_upstream_is_read_from_its_answer (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cold_cases); i++) {
    Fixture fixture;

    open_fixture (&fixture, &cold_cases[i].answer, 1);
    read_head (&fixture, cold_head);
    if (fixture.has_cold_left != cold_cases[i].stated ||
        fixture.cold_left_ms != cold_cases[i].left_ms)
      CU_FAIL (cold_cases[i].name);
    close_fixture (&fixture);
  }
}

static const Test tests[] = {
  { "the time for which an upstream is cold is ignored or misread",
    the_cold_time_of_an_upstream_is_read_from_its_answer },
  { "an upstream that says that it leaves gets requests, or one that stays gets none",
    the_notice_of_an_upstream_is_read_from_its_answer },
  { "the time in which an upstream wants no requests is ignored or misread",
    the_pause_of_an_upstream_is_read_from_its_rejection },
  { "a refusal of an earlier request is taken for that of the next one",
    refusals_on_a_kept_connection_name_their_request },
  { "an answer to another request, or an unproven refusal, is forwarded",
    answers_are_classified_by_their_headers },
};

int
main (void)
{
  int status;

  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("answers", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
