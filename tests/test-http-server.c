#include "http-client.h"
#include "http-server.h"
#include "test.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT_US UINT64_C (20000000)
#define LINES 2000
#define TEXT_BYTES 64
#define HALVES 8000

/* Server and client on one loop. */
typedef struct {
  BurdockLoop *loop;
  BurdockHttpServer *server;
  BurdockHttpClient *client;
  BurdockAddress address;
  uint64_t until_us;
  bool timed_out;
  BurdockHttpRequest *open;
  uint64_t id;
  uint32_t to_write;
  bool end;
  uint32_t lines;
  bool in_order;
  uint32_t closed;
  bool closed_whole;
  atomic_uint sent;
  uint32_t done;
  int32_t status;
  int32_t http_status;
  char body[TEXT_BYTES];
  bool (*finished) (void *ctx);
  BurdockHttpTransfer *transfer;
  uint32_t taken_bytes;
  char target[64];
  char header[64];
} Fixture;

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;

  fixture->timed_out = now_us > fixture->until_us;
  if (fixture->finished (fixture) || fixture->timed_out)
    burdock_loop_stop (fixture->loop);
  return now_us + 1000;
}

/* Writes one line in each round, so that the answer is suspended and resumed. */
static uint64_t
write_lines (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;
  char line[TEXT_BYTES];

  if (fixture->open == NULL || fixture->to_write == 0)
    return BURDOCK_LOOP_NEVER_US;
  snprintf (line, sizeof line, "%u\n", LINES - fixture->to_write);
  burdock_http_stream_write (fixture->open, line, (uint32_t)strlen (line));
  if (--fixture->to_write == 0 && fixture->end)
    burdock_http_stream_end (fixture->open);
  return now_us;
}

static void
take_request (void *ctx, BurdockHttpRequest *request)
{
  Fixture *fixture = ctx;

  fixture->id = burdock_http_id (request);
  snprintf (fixture->target, sizeof fixture->target, "%s", burdock_http_target (request));
  if (burdock_http_header (request, "X-Name") != NULL)
    snprintf (fixture->header, sizeof fixture->header, "%s",
              burdock_http_header (request, "X-Name"));
  if (strcmp (burdock_http_path (request), "/echo") == 0) {
    BurdockBytes body = burdock_http_body (request);
    char *text = strndup ((const char *)body.data, body.length_bytes);

    burdock_http_respond (request, 201, "text/plain", text, NULL);
    return;
  }
  fixture->open = request;
}

static void
take_closed (void *ctx, BurdockHttpRequest *request, bool whole)
{
  Fixture *fixture = ctx;

  fixture->closed++;
  fixture->closed_whole = whole;
  if (fixture->open == request)
    fixture->open = NULL;
}

static void
take_line (void *ctx, const char *line, size_t line_bytes)
{
  Fixture *fixture = ctx;

  fixture->in_order = fixture->in_order && strtoul (line, NULL, 10) == fixture->lines;
  fixture->lines++;
}

static void
take_done (void *ctx, const BurdockHttpResult *result)
{
  Fixture *fixture = ctx;

  fixture->done++;
  fixture->status = result->status;
  fixture->http_status = result->http_status;
  snprintf (fixture->body, sizeof fixture->body, "%.60s", result->body);
}

static void
open_fixture (Fixture *fixture, bool (*finished) (void *ctx))
{
  BurdockHttpHandler handler = { fixture, take_request, take_closed };

  fixture->loop = burdock_loop_new ();
  fixture->client = burdock_http_client_new (fixture->loop);
  fixture->address = (BurdockAddress){ .ipv4 = 0x7f000001 };
  burdock_loop_add_hook (fixture->loop, write_lines, fixture);
  fixture->server =
      burdock_http_server_new (fixture->loop, &fixture->address, NULL, &handler);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  fixture->until_us = burdock_loop_now_us () + LIMIT_US;
  fixture->finished = finished;
  fixture->in_order = true;
  burdock_loop_add_hook (fixture->loop, check_done, fixture);
}

static void
start (Fixture *fixture, const char *path, const char *body, size_t body_bytes,
       uint32_t timeout_ms)
{
  BurdockHttpCall call = { .method = "POST",
                           .body = body,
                           .body_bytes = body_bytes,
                           .timeout_ms = timeout_ms,
                           .ctx = fixture,
                           .done = take_done };
  char url[TEXT_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", fixture->address.port, path);
  call.url = url;
  if (strcmp (path, "/stream") == 0)
    call.line = take_line;
  CU_ASSERT_EQUAL (burdock_http_client_start (fixture->client, &call), 0);
}

static void
run_and_close (Fixture *fixture)
{
  burdock_loop_run (fixture->loop);
  CU_ASSERT_FALSE (fixture->timed_out);
  burdock_http_client_free (fixture->client);
  burdock_http_server_free (fixture->server);
  burdock_loop_free (fixture->loop);
}

static bool
both_done (void *ctx)
{
  Fixture *fixture = ctx;

  return fixture->done > 0 && fixture->closed > 0;
}

static bool
two_done (void *ctx)
{
  Fixture *fixture = ctx;

  return fixture->done == 2;
}

static void
stream_arrives_whole (void)
{
  Fixture fixture = { .to_write = LINES, .end = true };

  open_fixture (&fixture, both_done);
  start (&fixture, "/stream", "x", 1, 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.lines, LINES);
  CU_ASSERT_TRUE (fixture.in_order);
  CU_ASSERT_EQUAL (fixture.status, 0);
  CU_ASSERT_TRUE (fixture.closed_whole);
}

/* The request is suspended, which keeps libmicrohttpd from noticing the end. */
static void
caller_that_goes_away_is_noticed (void)
{
  Fixture fixture = { 0 };

  open_fixture (&fixture, both_done);
  start (&fixture, "/wait", "x", 1, 50);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.status, -ETIMEDOUT);
  CU_ASSERT_EQUAL (fixture.closed, 1);
  CU_ASSERT_FALSE (fixture.closed_whole);
  CU_ASSERT_PTR_NULL (fixture.open);
}

static bool
cut_when_started (void *ctx)
{
  Fixture *fixture = ctx;
  char large[TEXT_BYTES] = { 0 };

  /* The peer is not read from within one round, so this exceeds the bound. */
  while (fixture->lines == 1 && fixture->open != NULL &&
         burdock_http_stream_write (fixture->open, large, sizeof large) == 0)
    ;
  return both_done (ctx);
}

static void
stream_cut_by_the_server_is_visible (void)
{
  Fixture fixture = { .to_write = 1 };

  open_fixture (&fixture, cut_when_started);
  start (&fixture, "/stream", "x", 1, 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.status, -EIO);
  CU_ASSERT_FALSE (fixture.closed_whole);
}

static void
body_arrives_and_is_bounded (void)
{
  size_t large_bytes = (1u << 20) + 1;
  char *large = calloc (1, large_bytes);
  Fixture fixture = { 0 };

  memset (large, 'x', large_bytes);
  open_fixture (&fixture, both_done);
  start (&fixture, "/echo", "hello", 5, 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.http_status, 201);
  CU_ASSERT_STRING_EQUAL (fixture.body, "hello");
  fixture = (Fixture){ .done = 1 };
  open_fixture (&fixture, two_done);
  start (&fixture, "/echo", large, large_bytes, 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.http_status, 413);
  CU_ASSERT_EQUAL (fixture.id, 0);
  free (large);
}

static bool
none_open (void *ctx)
{
  Fixture *fixture = ctx;

  return atomic_load (&fixture->sent) == HALVES &&
         burdock_http_server_open_count (fixture->server) == 0;
}

static void *
send_halves (void *ctx)
{
  static const char half[] =
      "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab";
  Fixture *fixture = ctx;
  struct sockaddr_in peer = { .sin_family = AF_INET,
                              .sin_port = htons (fixture->address.port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  for (uint32_t i = 0; i < HALVES; i++) {
    int descriptor = socket (AF_INET, SOCK_STREAM, 0);

    if (connect (descriptor, (struct sockaddr *)&peer, sizeof peer) == 0)
      send (descriptor, half, strlen (half), MSG_NOSIGNAL);
    close (descriptor);
    atomic_fetch_add (&fixture->sent, 1);
  }
  return NULL;
}

/* A planned stop waits for open requests, so one that will never be whole must end. Now
 * and then libmicrohttpd misses the end of such a connection. */
static void
half_sent_requests_do_not_stay_open (void)
{
  Fixture fixture = { 0 };
  pthread_t sender;

  open_fixture (&fixture, none_open);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&sender, NULL, send_halves, &fixture), 0);
  run_and_close (&fixture);
  pthread_join (sender, NULL);
  CU_ASSERT_EQUAL (fixture.id, 0);
}

/* A caller that sees a stream end must not take it for whole when the gateway gave it up.
 */
static bool
abort_when_started (void *ctx)
{
  Fixture *fixture = ctx;

  if (fixture->lines == 1 && fixture->open != NULL)
    burdock_http_abort (fixture->open);
  return both_done (ctx);
}

static void
aborted_stream_is_visible (void)
{
  Fixture fixture = { .to_write = 1 };

  open_fixture (&fixture, abort_when_started);
  start (&fixture, "/stream", "x", 1, 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.status, -EIO);
  CU_ASSERT_FALSE (fixture.closed_whole);
}

static int
take_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Fixture *fixture = ctx;
  const char *type = burdock_http_transfer_header (transfer, "Content-Type");

  snprintf (fixture->body, sizeof fixture->body, "%d %s", http_status,
            type != NULL ? type : "-");
  return 0;
}

static int
take_data (void *ctx, const char *data, size_t length_bytes)
{
  Fixture *fixture = ctx;

  fixture->taken_bytes += (uint32_t)length_bytes;
  return 0;
}

static void
count_done (void *ctx, const BurdockHttpResult *result)
{
  Fixture *fixture = ctx;

  fixture->done++;
  fixture->status = result->status;
}

static BurdockHttpTransfer *
open_transfer (Fixture *fixture, const char *target)
{
  static const char *const headers[] = { "X-Name: value" };
  BurdockHttpTransfer *transfer = NULL;
  char url[TEXT_BYTES];
  BurdockHttpCall call = { .method = "POST",
                           .url = url,
                           .target = target,
                           .headers = headers,
                           .header_count = 1,
                           .body = "hello",
                           .body_bytes = 5,
                           .at_most_once = true,
                           .ctx = fixture,
                           .head = take_head,
                           .data = take_data,
                           .done = count_done };

  snprintf (url, sizeof url, "http://127.0.0.1:%u", fixture->address.port);
  CU_ASSERT_EQUAL (burdock_http_client_start_transfer (fixture->client, &call, &transfer),
                   0);
  return transfer;
}

/* Guards against a request line, a header or a body that is altered on the way. */
static void
transfer_is_taken_in_parts (void)
{
  Fixture fixture = { 0 };

  open_fixture (&fixture, both_done);
  open_transfer (&fixture, "/echo?a=%2F&b");
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.status, 0);
  CU_ASSERT_STRING_EQUAL (fixture.body, "201 text/plain");
  CU_ASSERT_EQUAL (fixture.taken_bytes, 5);
  CU_ASSERT_STRING_EQUAL (fixture.target, "/echo?a=%2F&b");
  CU_ASSERT_STRING_EQUAL (fixture.header, "value");
}

/* Guards against a wait for the body of an answer that has none. */
static void
head_request_ends_with_its_headers (void)
{
  Fixture fixture = { 0 };
  char url[TEXT_BYTES];
  BurdockHttpCall call = {
    .method = "HEAD", .url = url, .ctx = &fixture, .head = take_head, .done = count_done
  };

  open_fixture (&fixture, both_done);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/echo", fixture.address.port);
  CU_ASSERT_EQUAL (burdock_http_client_start (fixture.client, &call), 0);
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.status, 0);
  CU_ASSERT_STRING_EQUAL (fixture.body, "201 text/plain");
}

static bool
cancel_when_open (void *ctx)
{
  Fixture *fixture = ctx;

  if (fixture->open != NULL && fixture->transfer != NULL) {
    burdock_http_transfer_cancel (fixture->transfer);
    fixture->transfer = NULL;
  }
  return fixture->closed > 0;
}

/* Guards against an upstream that works on for a caller that has left, and against a
 * callback into a request that is gone. */
static void
cancelled_transfer_ends_its_connection (void)
{
  Fixture fixture = { 0 };

  open_fixture (&fixture, cancel_when_open);
  fixture.transfer = open_transfer (&fixture, "/wait");
  run_and_close (&fixture);
  CU_ASSERT_EQUAL (fixture.done, 0);
  CU_ASSERT_EQUAL (fixture.closed, 1);
  CU_ASSERT_FALSE (fixture.closed_whole);
}

static const Test tests[] = {
  { "a stream that was given up looks whole", aborted_stream_is_visible },
  { "a request or answer is altered on the way", transfer_is_taken_in_parts },
  { "a caller waits for the body of a HEAD request", head_request_ends_with_its_headers },
  { "a peer works on after a transfer was cancelled",
    cancelled_transfer_ends_its_connection },
  { "a streamed answer loses lines or its end", stream_arrives_whole },
  { "a request goes on for a caller that went away", caller_that_goes_away_is_noticed },
  { "a stream that was cut off looks whole", stream_cut_by_the_server_is_visible },
  { "a request that is never whole keeps a process from stopping",
    half_sent_requests_do_not_stay_open },
  { "a body is altered, or takes all memory", body_arrives_and_is_bounded },
};

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return test_main ("http-server", tests, TEST_COUNT (tests));
}
