/* Servers in trouble that send bytes without end, until the client closes the connection,
 * or that close it before the end of their answer; callers that send bytes without end.
 */
#include "engine.h"
#include "event-stream.h"
#include "http-client.h"
#include "http-server.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TIMEOUT_MS 1500
#define BLOCK_BYTES (64u << 10)

/* Ends a server that the client does not stop, so that the test fails instead of hanging.
 */
#define SERVE_MAX_S 5

/* A gateway instance has 160 MB or more for a few hundred requests. */
#define MEMORY_MAX_KB (24 << 10)

/**
 * struct EndlessServer - server of one connection
 * @prefix: sent once the request has arrived
 * @repeated: sent after it without end; NULL to close the connection instead
 */
typedef struct {
  int listener;
  const char *prefix;
  const char *repeated;
  size_t sent_bytes;
  bool stopped_by_client;
  pthread_t thread;
} EndlessServer;

static bool
send_all (EndlessServer *server, int peer, const char *data, size_t length_bytes)
{
  while (length_bytes > 0) {
    ssize_t sent = send (peer, data, length_bytes, MSG_NOSIGNAL);

    if (sent <= 0)
      return false;
    data += sent;
    length_bytes -= (size_t)sent;
    server->sent_bytes += (size_t)sent;
  }
  return true;
}

static void *
serve_prefix (void *ctx)
{
  EndlessServer *server = ctx;
  int peer = accept (server->listener, NULL, NULL);
  char request[2048];

  if (peer < 0)
    abort ();
  if (recv (peer, request, sizeof request, 0) > 0)
    send_all (server, peer, server->prefix, strlen (server->prefix));
  close (peer);
  return NULL;
}

static void *
serve (void *ctx)
{
  EndlessServer *server = ctx;
  int peer = accept (server->listener, NULL, NULL);
  size_t repeated_bytes = strlen (server->repeated);
  size_t block_bytes = BLOCK_BYTES / repeated_bytes * repeated_bytes;
  char *block = malloc (BLOCK_BYTES);
  char request[2048];
  time_t until_s = time (NULL) + SERVE_MAX_S;

  if (peer < 0 || block == NULL)
    abort ();
  for (size_t at = 0; at < block_bytes; at += repeated_bytes)
    memcpy (block + at, server->repeated, repeated_bytes);
  if (recv (peer, request, sizeof request, 0) > 0 &&
      send_all (server, peer, server->prefix, strlen (server->prefix))) {
    while (time (NULL) < until_s && send_all (server, peer, block, block_bytes))
      ;
  }
  server->stopped_by_client = time (NULL) < until_s;
  free (block);
  close (peer);
  return NULL;
}

static uint16_t
start_server (EndlessServer *server, const char *prefix, const char *repeated)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t address_bytes = sizeof address;

  *server = (EndlessServer){ .prefix = prefix, .repeated = repeated };
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) < 0 ||
      listen (server->listener, 1) < 0 ||
      getsockname (server->listener, (struct sockaddr *)&address, &address_bytes) < 0 ||
      pthread_create (&server->thread, NULL, repeated != NULL ? serve : serve_prefix,
                      server) != 0)
    abort ();
  return ntohs (address.sin_port);
}

typedef struct {
  BurdockLoop *loop;
  bool done;
  int32_t status;
} Call;

static void
call_done (void *ctx, const BurdockHttpResult *result)
{
  Call *call = ctx;

  call->done = true;
  call->status = result->status;
  burdock_loop_stop (call->loop);
}

static long
peak_memory_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

typedef struct {
  const char *name;
  const char *prefix;
  const char *repeated;
} EndlessCase;

static const EndlessCase endless_cases[] = {
  { "status line", "HTTP/1.1 200 ", "O" },
  { "no answer at all", "", "x" },
  { "empty lines", "", "\r\n" },
  { "one header line", HEAD "X-A: ", "y" },
  { "header lines", HEAD, "X-A: y\r\n" },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nX-A: y\r\n\r\n" },
  { "chunk size", CHUNKED, "0" },
  { "chunk extension", CHUNKED "1;", "x" },
  { "trailers", CHUNKED "1\r\nx\r\n0\r\n", "X-T: y\r\n" },
  { "chunks", CHUNKED, "4\r\nxxxx\r\n" },
  { "body without length", HEAD "Connection: close\r\n\r\n", "x" },
};

/* Guards against a client that stores what a server sends without end until the process
 * is killed for its memory, or that reads on after the time of the call has passed. */
static void
endless_answers_are_cut (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (endless_cases); i++) {
    EndlessServer server;
    char url[64];
    Call call = { .loop = burdock_loop_new () };
    BurdockHttpClient *client = burdock_http_client_new (call.loop);
    BurdockHttpCall options = { .method = "GET",
                                .url = url,
                                .timeout_ms = TIMEOUT_MS,
                                .ctx = &call,
                                .done = call_done };
    long memory_kb = peak_memory_kb ();

    snprintf (url, sizeof url, "http://127.0.0.1:%u",
              start_server (&server, endless_cases[i].prefix, endless_cases[i].repeated));
    CU_ASSERT_EQUAL (burdock_http_client_start (client, &options), 0);
    burdock_loop_run (call.loop);
    burdock_http_client_free (client);
    burdock_loop_free (call.loop);
    pthread_join (server.thread, NULL);
    close (server.listener);
    if (!call.done || call.status == 0 || !server.stopped_by_client ||
        peak_memory_kb () - memory_kb > MEMORY_MAX_KB) {
      printf ("%s: status %d, %zu bytes read, memory grew by %ld KB\n",
              endless_cases[i].name, call.status, server.sent_bytes,
              peak_memory_kb () - memory_kb);
      CU_FAIL (endless_cases[i].name);
    }
  }
}

typedef struct {
  const char *name;
  const char *answer;
  bool complete;
} TruncatedCase;

static const TruncatedCase truncated_cases[] = {
  { "no answer", "", false },
  { "part of the status line", "HTTP/1.1 20", false },
  { "a status line alone", HEAD, false },
  { "part of a header", HEAD "Content-Le", false },
  { "headers without their end", HEAD "Content-Length: 2\r\n", false },
  { "headers without a length and their end", HEAD "X-A: b\r\n", false },
  { "interim answer only", "HTTP/1.1 100 Continue\r\n\r\n", false },
  { "no body", HEAD "Content-Length: 5\r\n\r\n", false },
  { "part of the body", HEAD "Content-Length: 5\r\n\r\nabcd", false },
  { "no chunk", CHUNKED, false },
  { "part of a chunk size", CHUNKED "2\r\nab\r\n1", false },
  { "part of a chunk", CHUNKED "5\r\nab", false },
  { "chunk without its end", CHUNKED "2\r\nab", false },
  { "no last chunk", CHUNKED "2\r\nab\r\n", false },
  { "part of the last chunk", CHUNKED "2\r\nab\r\n0", false },
  { "last chunk without the end of the trailers", CHUNKED "2\r\nab\r\n0\r\n", false },
  { "part of a trailer", CHUNKED "2\r\nab\r\n0\r\nX-T: ", false },
  { "whole body", HEAD "Content-Length: 4\r\n\r\nabcd", true },
  { "all chunks", CHUNKED "2\r\nab\r\n0\r\n\r\n", true },
};

/* Guards against an answer that its server broke off and that reaches the caller as a
 * complete one. */
static void
truncated_answers_are_incomplete (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (truncated_cases); i++) {
    EndlessServer server;
    char url[64];
    Call call = { .loop = burdock_loop_new () };
    BurdockHttpClient *client = burdock_http_client_new (call.loop);
    BurdockHttpCall options = { .method = "POST",
                                .url = url,
                                .timeout_ms = TIMEOUT_MS,
                                .ctx = &call,
                                .done = call_done };

    snprintf (url, sizeof url, "http://127.0.0.1:%u",
              start_server (&server, truncated_cases[i].answer, NULL));
    CU_ASSERT_EQUAL (burdock_http_client_start (client, &options), 0);
    burdock_loop_run (call.loop);
    burdock_http_client_free (client);
    burdock_loop_free (call.loop);
    pthread_join (server.thread, NULL);
    close (server.listener);
    if (!call.done || (call.status == 0) != truncated_cases[i].complete ||
        call.status == -ETIMEDOUT) {
      printf ("%s: status %d\n", truncated_cases[i].name, call.status);
      CU_FAIL (truncated_cases[i].name);
    }
  }
}

typedef struct {
  const char *name;
  const char *block;
} StreamCase;

static const StreamCase stream_cases[] = {
  { "a line without end", "data: x" },
  { "lines of one event without end", "data: x\n" },
  { "comments", ": still here\n\n" },
  { "empty lines", "\n" },
  { "events without an id", "data: x\n\n" },
  { "an event that was delivered before", "id: 1\ndata: x\n\n" },
  { "an event 0 after event 1", "id: 0\ndata: x\n\n" },
  { "ids beyond 64 bits", "id: 18446744073709551616\ndata: x\n\n" },
};

static int
ignore_event (void *ctx, const char *event, uint32_t length_bytes)
{
  return 0;
}

/* Guards against a stream that is read for as long as its upstream sends bytes, although
 * none of them make a new event. */
static void
streams_without_progress_end (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (stream_cases); i++) {
    const char *block = stream_cases[i].block;
    BurdockEventStream stream = { 0 };
    size_t fed_bytes = 0;
    int status =
        burdock_event_stream_feed (&stream, "id: 1\ndata: a\n\n", 15, ignore_event, NULL);

    for (; status == 0 && fed_bytes < (size_t)4 * BURDOCK_STREAM_EVENT_MAX_BYTES;
         fed_bytes += strlen (block))
      status = burdock_event_stream_feed (&stream, block, (uint32_t)strlen (block),
                                          ignore_event, NULL);
    if (status != -EMSGSIZE)
      CU_FAIL (stream_cases[i].name);
    CU_ASSERT_TRUE (stream.last_id.is_set && stream.last_id.value == 1);
    burdock_event_stream_clear (&stream);
  }
}

/**
 * struct EngineCase - token stream that its engine does not end
 * @end_kind: kind of the last event that is reported
 * @cancelled: the call is cancelled at its first token
 */
typedef struct {
  const char *name;
  const char *prefix;
  const char *repeated;
  BurdockEngineEventKind end_kind;
  bool cancelled;
} EngineCase;

static const EngineCase engine_cases[] = {
  { "lines after the end", HEAD "\r\n{\"end\":true,\"tokens\":0}\n",
    "{\"index\":0,\"token\":\"a\"}\n", BURDOCK_ENGINE_EVENT_DONE, false },
  { "empty lines after the end", HEAD "\r\n{\"end\":true,\"tokens\":0}\n", "\n",
    BURDOCK_ENGINE_EVENT_DONE, false },
  { "lines that are no tokens", HEAD "\r\n", "worker 3 waits\n",
    BURDOCK_ENGINE_EVENT_FAILED, false },
  { "tokens after a cancellation", HEAD "\r\n", "{\"index\":0,\"token\":\"a\"}\n",
    BURDOCK_ENGINE_EVENT_FAILED, true },
};

typedef struct {
  BurdockLoop *loop;
  BurdockEngine *engine;
  EndlessServer server;
  bool cancel;
  bool joined;
  BurdockEngineEventKind last_kind;
} EngineFixture;

static void
record_engine_event (void *ctx, const BurdockEngineEvent *event)
{
  EngineFixture *fixture = ctx;
  BurdockEngineCall cancel = { .op = BURDOCK_ENGINE_CANCEL, .id = 2, .target_id = 1 };

  if (event->op != BURDOCK_ENGINE_GENERATE)
    return;
  fixture->last_kind = event->kind;
  if (!fixture->cancel)
    return;
  fixture->cancel = false;
  CU_ASSERT_EQUAL (burdock_engine_call (fixture->engine, &cancel), 0);
}

static uint64_t
stop_after_server (void *ctx, uint64_t now_us)
{
  EngineFixture *fixture = ctx;

  if (!fixture->joined && pthread_tryjoin_np (fixture->server.thread, NULL) == 0) {
    fixture->joined = true;
    burdock_loop_stop (fixture->loop);
  }
  return now_us + 10000;
}

/* Guards against an agent that reads from its engine for good, although nobody waits for
 * what comes: a call without a time limit ended for the agent, but not its connection. */
static void
unwanted_token_streams_are_closed (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (engine_cases); i++) {
    const EngineCase *test = &engine_cases[i];
    EngineFixture fixture = { .cancel = test->cancelled };
    BurdockEngineCall call = { .op = BURDOCK_ENGINE_GENERATE, .id = 1 };
    BurdockHttpClient *client;
    char url[64];

    fixture.loop = burdock_loop_new ();
    client = burdock_http_client_new (fixture.loop);
    snprintf (url, sizeof url, "http://127.0.0.1:%u",
              start_server (&fixture.server, test->prefix, test->repeated));
    fixture.engine = burdock_engine_new (client, url, 1, record_engine_event, &fixture);
    burdock_loop_add_hook (fixture.loop, stop_after_server, &fixture);
    CU_ASSERT_EQUAL (burdock_engine_call (fixture.engine, &call), 0);
    burdock_loop_run (fixture.loop);
    if (!fixture.server.stopped_by_client || fixture.last_kind != test->end_kind)
      CU_FAIL (test->name);
    burdock_http_client_free (client);
    burdock_engine_free (fixture.engine);
    burdock_loop_free (fixture.loop);
    close (fixture.server.listener);
  }
}

#define REQUEST "POST /a HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED_REQUEST REQUEST "Transfer-Encoding: chunked\r\n\r\n"

static const EndlessCase caller_cases[] = {
  { "no request at all", "", "x" },
  { "request target", "POST /", "a" },
  { "empty lines", "", "\r\n" },
  { "one header line", REQUEST "X-A: ", "y" },
  { "header lines", REQUEST, "X-A: y\r\n" },
  { "trailers", CHUNKED_REQUEST "1\r\nx\r\n0\r\n", "X-T: y\r\n" },
  { "body above its limit", REQUEST "Content-Length: 99999999999\r\n\r\n", "x" },
  { "chunk size", CHUNKED_REQUEST, "0" },
  { "chunk extension", CHUNKED_REQUEST "1;", "x" },
  { "chunks", CHUNKED_REQUEST, "4\r\nxxxx\r\n" },
};

typedef struct {
  BurdockLoop *loop;
  uint16_t port;
  const EndlessCase *test;
  bool stopped_by_server;
  atomic_bool done;
} EndlessCaller;

/* Sends until the server closes the connection. */
static void *
call_without_end (void *ctx)
{
  EndlessCaller *caller = ctx;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (caller->port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const char *repeated = caller->test->repeated;
  size_t repeated_bytes = strlen (repeated);
  char block[4096];
  size_t block_bytes = sizeof block / repeated_bytes * repeated_bytes;
  time_t until_s = time (NULL) + SERVE_MAX_S;
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval timeout = { .tv_sec = SERVE_MAX_S };

  for (size_t at = 0; at < block_bytes; at += repeated_bytes)
    memcpy (block + at, repeated, repeated_bytes);
  if (connect (peer, (struct sockaddr *)&address, sizeof address) < 0)
    abort ();
  setsockopt (peer, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (send (peer, caller->test->prefix, strlen (caller->test->prefix), MSG_NOSIGNAL) < 0)
    abort ();
  while (time (NULL) < until_s && send (peer, block, block_bytes, MSG_NOSIGNAL) > 0)
    ;
  caller->stopped_by_server = time (NULL) < until_s;
  close (peer);
  atomic_store (&caller->done, true);
  return NULL;
}

static void
refuse_request (void *ctx, BurdockHttpRequest *request)
{
  burdock_http_respond (request, 400, "text/plain", strdup ("refused"), NULL);
}

static void
ignore_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
}

static uint64_t
stop_after_caller (void *ctx, uint64_t now_us)
{
  EndlessCaller *caller = ctx;

  if (atomic_load (&caller->done))
    burdock_loop_stop (caller->loop);
  return now_us + 1000;
}

/* Guards against a server that stores what a caller sends without end, or reads it for as
 * long as the caller sends. */
static void
endless_requests_are_cut (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (caller_cases); i++) {
    BurdockHttpHandler handler = { NULL, refuse_request, ignore_closed };
    BurdockAddress address = { .ipv4 = INADDR_LOOPBACK };
    EndlessCaller caller = { .loop = burdock_loop_new (), .test = &caller_cases[i] };
    BurdockHttpServer *server =
        burdock_http_server_new (caller.loop, &address, NULL, &handler);
    long memory_kb = peak_memory_kb ();
    pthread_t thread;

    caller.port = address.port;
    burdock_loop_add_hook (caller.loop, stop_after_caller, &caller);
    CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, NULL, call_without_end, &caller), 0);
    burdock_loop_run (caller.loop);
    pthread_join (thread, NULL);
    burdock_http_server_free (server);
    burdock_loop_free (caller.loop);
    if (!caller.stopped_by_server || peak_memory_kb () - memory_kb > MEMORY_MAX_KB) {
      printf ("%s: stopped %d, memory grew by %ld KB\n", caller_cases[i].name,
              caller.stopped_by_server, peak_memory_kb () - memory_kb);
      CU_FAIL (caller_cases[i].name);
    }
  }
}

static const Test tests[] = {
  { "an agent reads from its engine for good", unwanted_token_streams_are_closed },
  { "an answer without end takes all memory, or all the time", endless_answers_are_cut },
  { "a stream without new events never ends", streams_without_progress_end },
  { "an answer that was broken off looks complete", truncated_answers_are_incomplete },
  { "a request without end takes all memory, or all the time", endless_requests_are_cut },
};

int
main (void)
{
  int status;

  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("endless", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
