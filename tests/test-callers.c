/* Tests the HTTP interface for callers (callers.c) over real connections, with a scripted
 * dispatcher in place of the real one. */
#include "entry.h"
#include "test.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US UINT64_C (20000000)
#define ANSWER_BYTES 4096
#define MODEL "Burdock-Workspace: w\r\nBurdock-Model: m\r\nBurdock-Key: k\r\n"
#define STREAM MODEL "Burdock-Stream: yes\r\n"
#define SERVICE "Burdock-Workspace: w\r\nBurdock-Service: s\r\n"

/**
 * struct CallerCase - request of a caller, deliveries of the dispatcher, expected answer
 * @headers: headers of the request, apart from Host, Connection and Content-Length
 * @script: deliveries in this order: t token, T many large tokens, e end, a end with a
 *   body, r refused, b broken; empty if the request must not reach the dispatcher
 * @status: HTTP status of the answer
 * @present: text that must be in the answer
 * @absent: text that must not be in the answer, or NULL
 */
typedef struct {
  const char *name;
  const char *headers;
  const char *body;
  const char *script;
  const char *status;
  const char *present;
  const char *absent;
} CallerCase;

static const CallerCase cases[] = {
  { "no workspace", "Burdock-Model: m\r\n", "", "", "400",
    "\"header\":\"Burdock-Workspace\",\"value\":\"\",\"allowed\":\"required\"", NULL },
  { "neither model nor service", "Burdock-Workspace: w\r\n", "", "", "400",
    "either Burdock-Model or Burdock-Service", NULL },
  { "model and service", MODEL "Burdock-Service: s\r\n", "", "", "400",
    "either Burdock-Model or Burdock-Service", NULL },
  { "unknown priority", MODEL "Burdock-Priority: urgent\r\n", "", "", "400",
    "\"key\":\"k\",\"refused\":\"bad-request\",\"ran\":\"not-run\","
    "\"header\":\"Burdock-Priority\",\"value\":\"urgent\",\"allowed\":\"low, normal or "
    "high\"",
    NULL },
  { "deadline of 0", MODEL "Burdock-Deadline-Ms: 0\r\n", "", "", "400", "1 to 3600000",
    NULL },
  { "deadline with a unit", MODEL "Burdock-Deadline-Ms: 5s\r\n", "", "", "400",
    "\"value\":\"5s\"", NULL },
  { "neither yes nor no", MODEL "Burdock-Idempotent: true\r\n", "", "", "400",
    "yes or no", NULL },
  { "name with a space", MODEL "Burdock-Branch: a b\r\n", "", "", "400",
    "\"header\":\"Burdock-Branch\"", NULL },
  { "stream of a service", SERVICE "Burdock-Key: k\r\nBurdock-Stream: yes\r\n", "", "",
    "400", "no with Burdock-Service", NULL },
  { "non-idempotent without a key", SERVICE, "", "", "400", "required for non-idempotent",
    NULL },
  { "body that is not UTF-8", MODEL, "\xff", "", "400", "\"header\":\"body\"", NULL },
  { "streamed answer", STREAM, "p", "tte", "200",
    "{\"key\":\"k\",\"end\":true,\"tokens\":2}\n", NULL },
  { "token with escapes", STREAM, "p", "te", "200",
    "{\"key\":\"k\",\"index\":0,\"token\":\"a\\\"\\n\"}\n", NULL },
  { "complete answer", MODEL, "p", "tte", "200",
    "{\"key\":\"k\",\"end\":true,\"tokens\":2,\"answer\":\"a\\\"\\na\\\"\\n\"}", NULL },
  { "answer of a service", SERVICE "Burdock-Key: k\r\n", "p", "a", "200",
    "\"answer\":\"done\"", NULL },
  { "refused", MODEL, "p", "r", "503",
    "{\"key\":\"k\",\"refused\":\"no-upstream\",\"ran\":\"not-run\"}", NULL },
  { "refused stream", STREAM, "p", "r", "503", "Burdock-Ran: not-run", NULL },
  { "broken stream", STREAM, "p", "tb", "200",
    "{\"key\":\"k\",\"error\":\"upstream-failed\",\"ran\":\"unknown\"}\n", "\"end\"" },
  { "broken answer", MODEL, "p", "tb", "502", "\"ran\":\"unknown\"", "\"answer\"" },
  { "delivery after the end", STREAM, "p", "etb", "200", "\"tokens\":0}", "error" },
  { "key in the header of the answer", MODEL, "p", "e", "200", "Burdock-Key: k", NULL },
};

typedef struct {
  BurdockEntryTraffic traffic; /* first member, as it is the context of the server */
  const CallerCase *row;
  BurdockRequest request;
  uint32_t submitted;
  uint32_t cancelled;
  uint32_t closed;
  bool ended_in_delivery;
  uint64_t deadline_us;
} Fixture;

static Fixture *current;

#define LARGE_TOKEN_BYTES (64u << 10)
#define LARGE_TOKENS 64

/* Delivers more tokens than wait for a caller that reads nothing. */
static void
deliver_large_tokens (uint64_t handle)
{
  static const uint8_t text[LARGE_TOKEN_BYTES];
  BurdockDelivery delivery = { .handle = handle,
                               .kind = BURDOCK_DELIVERY_TOKEN,
                               .body = { text, sizeof text } };

  for (uint32_t i = 0; i < LARGE_TOKENS; i++) {
    burdock_callers_deliver (&current->traffic, &delivery);
    current->ended_in_delivery |= current->closed > 0 || current->cancelled > 0;
  }
}

/* These replace the functions of the dispatcher that callers.c calls. */

void
burdock_dispatcher_submit (BurdockDispatcher *dispatcher, const BurdockRequest *request)
{
  BurdockDelivery delivery = { .handle = request->handle };
  uint32_t tokens = 0;

  current->submitted++;
  current->request = *request;
  for (const char *step = current->row->script; *step != '\0'; step++) {
    if (*step == 'T') {
      deliver_large_tokens (request->handle);
      continue;
    }
    delivery.body = (BurdockBytes){ (const uint8_t *)"a\"\n", 3 };
    delivery.reason = BURDOCK_REASON_UPSTREAM_FAILED;
    delivery.ran = BURDOCK_RAN_UNKNOWN;
    delivery.token_count = tokens;
    delivery.index = tokens;
    delivery.kind = BURDOCK_DELIVERY_BROKEN;
    if (*step == 't') {
      delivery.kind = BURDOCK_DELIVERY_TOKEN;
      tokens++;
    } else if (*step == 'e' || *step == 'a') {
      delivery.kind = BURDOCK_DELIVERY_END;
      delivery.body = (BurdockBytes){ (const uint8_t *)"done", *step == 'a' ? 4 : 0 };
    } else if (*step == 'r') {
      delivery.kind = BURDOCK_DELIVERY_REFUSED;
      delivery.reason = BURDOCK_REASON_NO_UPSTREAM;
      delivery.ran = BURDOCK_RAN_NOT_RUN;
    }
    burdock_callers_deliver (&current->traffic, &delivery);
  }
}

void
burdock_dispatcher_cancel (BurdockDispatcher *dispatcher, uint64_t handle)
{
  current->cancelled += handle == current->request.handle;
}

static void
handle_request (void *ctx, BurdockHttpRequest *request)
{
  burdock_callers_handle_request (ctx, request);
}

static void
handle_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
  burdock_callers_handle_closed (ctx, request, complete);
  current->closed++;
}

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  const Fixture *fixture = ctx;

  if (fixture->closed > 0 || now_us > fixture->deadline_us)
    burdock_loop_stop (fixture->traffic.runtime.loop);
  return now_us + 1000;
}

static int
send_request (const CallerCase *row, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int descriptor = socket (AF_INET, SOCK_STREAM, 0);
  char text[ANSWER_BYTES];
  int length = snprintf (text, sizeof text,
                         "POST /v1/requests HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                         "%sContent-Length: %zu\r\n\r\n%s",
                         row->headers, strlen (row->body), row->body);

  CU_ASSERT_EQUAL (connect (descriptor, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (descriptor, text, (size_t)length, 0), length);
  return descriptor;
}

static void
read_answer (int descriptor, char *out)
{
  size_t length = 0;
  ssize_t received;

  while ((received = recv (descriptor, out + length, ANSWER_BYTES - 1 - length,
                           MSG_DONTWAIT)) > 0)
    length += (size_t)received;
  out[length] = '\0';
}

static void
open_fixture (Fixture *fixture, const CallerCase *row, BurdockAddress *address)
{
  BurdockHttpHandler handler = { fixture, handle_request, handle_closed };

  *fixture = (Fixture){ .row = row, .deadline_us = burdock_loop_now_us () + TIMEOUT_US };
  current = fixture;
  *address = (BurdockAddress){ .ipv4 = INADDR_LOOPBACK };
  CU_ASSERT_EQUAL_FATAL (burdock_runtime_init (&fixture->traffic.runtime), 0);
  fixture->traffic.http =
      burdock_http_server_new (fixture->traffic.runtime.loop, address, NULL, &handler);
  burdock_loop_add_hook (fixture->traffic.runtime.loop, check_done, fixture);
}

static void
close_fixture (Fixture *fixture)
{
  burdock_http_server_free (fixture->traffic.http);
  burdock_text_clear (&fixture->traffic.line);
  burdock_runtime_clear (&fixture->traffic.runtime);
}

/* Fails if an invalid request is submitted instead of being answered with 400 and the
 * header at fault, or if a token, an end, a refusal or a broken stream is passed to the
 * caller with another status or JSON form. Also covers a delivery after the end, which
 * must be ignored. */
static void
answers_follow_the_protocol (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    const CallerCase *row = &cases[i];
    char answer[ANSWER_BYTES];
    BurdockAddress address;
    Fixture fixture;
    int descriptor;

    open_fixture (&fixture, row, &address);
    descriptor = send_request (row, address.port);
    burdock_loop_run (fixture.traffic.runtime.loop);
    read_answer (descriptor, answer);
    CU_ASSERT_EQUAL (strncmp (answer + strlen ("HTTP/1.1 "), row->status, 3), 0);
    CU_ASSERT_PTR_NOT_NULL (strstr (answer, row->present));
    if (row->absent != NULL)
      CU_ASSERT_PTR_NULL (strstr (answer, row->absent));
    CU_ASSERT_EQUAL (fixture.submitted, row->script[0] != '\0');
    CU_ASSERT_EQUAL (fixture.cancelled, 0);
    close (descriptor);
    close_fixture (&fixture);
  }
}

/* Fails if the value of a header is dropped or stored in the wrong field of the request,
 * or if a model request without Burdock-Idempotent is not idempotent. */
static void
headers_arrive_at_the_dispatcher (void)
{
  static const CallerCase row = {
    .headers = MODEL "Burdock-Branch: b\r\nBurdock-Version: v\r\nBurdock-Adapter: a\r\n"
                     "Burdock-Priority: high\r\nBurdock-Deadline-Ms: 1500\r\n",
    .body = "p",
    .script = "e",
  };
  BurdockAddress address;
  Fixture fixture;
  int descriptor;

  open_fixture (&fixture, &row, &address);
  descriptor = send_request (&row, address.port);
  burdock_loop_run (fixture.traffic.runtime.loop);
  CU_ASSERT_STRING_EQUAL (fixture.request.workspace, "w");
  CU_ASSERT_STRING_EQUAL (fixture.request.branch, "b");
  CU_ASSERT_STRING_EQUAL (fixture.request.model, "m");
  CU_ASSERT_STRING_EQUAL (fixture.request.version, "v");
  CU_ASSERT_STRING_EQUAL (fixture.request.adapter, "a");
  CU_ASSERT_EQUAL (fixture.request.priority, BURDOCK_PRIORITY_HIGH);
  CU_ASSERT_TRUE (fixture.request.has_priority);
  CU_ASSERT_TRUE (fixture.request.idempotent);
  CU_ASSERT_EQUAL (fixture.request.deadline_ms, 1500);
  close (descriptor);
  close_fixture (&fixture);
}

/* A caller closes its connection after the first token of a stream. Fails if its request
 * is not cancelled in the dispatcher and so goes on using the upstream. */
static void
disconnected_caller_cancels_its_request (void)
{
  static const CallerCase row = { .headers = STREAM, .body = "p", .script = "t" };
  BurdockAddress address;
  Fixture fixture;

  open_fixture (&fixture, &row, &address);
  close (send_request (&row, address.port));
  burdock_loop_run (fixture.traffic.runtime.loop);
  CU_ASSERT_EQUAL (fixture.submitted, 1);
  CU_ASSERT_EQUAL (fixture.cancelled, 1);
  close_fixture (&fixture);
}

/* A stream has more output than waits for its caller. Fails if the request is cancelled
 * or released while the dispatcher delivers a token to it, which goes on to use it. */
static void
request_lasts_until_the_end_of_a_delivery (void)
{
  static const CallerCase row = { .headers = STREAM, .body = "p", .script = "T" };
  BurdockAddress address;
  Fixture fixture;
  int descriptor;

  open_fixture (&fixture, &row, &address);
  descriptor = send_request (&row, address.port);
  burdock_loop_run (fixture.traffic.runtime.loop);
  CU_ASSERT_FALSE (fixture.ended_in_delivery);
  CU_ASSERT_EQUAL (fixture.closed, 1);
  CU_ASSERT_EQUAL (fixture.cancelled, 1);
  close (descriptor);
  close_fixture (&fixture);
}

static const Test tests[] = {
  { "a request is released while a token is delivered to it",
    request_lasts_until_the_end_of_a_delivery },
  { "an invalid request is accepted, or an answer violates the protocol",
    answers_follow_the_protocol },
  { "a header is lost or mistaken for another", headers_arrive_at_the_dispatcher },
  { "a request goes on after its caller disconnected",
    disconnected_caller_cancels_its_request },
};

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return test_main ("callers", tests, TEST_COUNT (tests));
}
