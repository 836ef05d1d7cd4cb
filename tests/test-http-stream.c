/* Streamed responses to callers that read slowly, and responses that are broken off. */
#include "http-server.h"
#include "test-certificate.h"
#include "test.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS UINT64_C (1000)
#define TEST_TIMEOUT_US (10000 * US_PER_MS)
#define BLOCK_BYTES (16u << 10)

/* A final answer is late 0.5 s after its time. */
#define END_MAX_US (500 * US_PER_MS)

/* Time in which the server closes its descriptor after that. */
#define CLOSE_MAX_US (20 * US_PER_MS)

#define IDLE_MAX 1000

/* State of a server in a planned stop. */
typedef enum { SERVING, KEEPALIVE_DISABLED, QUIESCED, STOP_STATE_COUNT } StopState;

static const char *const stop_state_names[] = { "serving", "keep-alive disabled",
                                                "quiesced" };

/* One caller with a socket of its own, and a handler that keeps the request. */
typedef struct {
  BurdockLoop *loop;
  BurdockHttpServer *server;
  BurdockAddress address;
  int caller;
  BurdockHttpRequest *request;
  bool in_handler_call;
  bool closed_in_handler_call;
  uint32_t closed_count;
  bool closed_complete;
  uint64_t deadline_us;
  bool timed_out;
  bool (*step) (void *ctx); /* called in each iteration; true ends the test */
  int write_status;
  int idle[IDLE_MAX];
  uint32_t idle_count;
  uint32_t idle_answered;
  const struct EndCase *end;
  StopState stop_state;
  bool request_sent;
  uint64_t begun_at_us; /* time of the first event, 0 before */
  uint64_t ended_at_us; /* time at which the handler ended the request, 0 before */
  uint64_t seen_at_us;  /* time at which the caller saw the end */
  bool secure;
  atomic_bool curl_done;
  CURLcode curl_status;
} Fixture;

static void end_in_handler (Fixture *fixture);

/* Connections that stay idle have asked for this path. */
static void
on_request (void *ctx, BurdockHttpRequest *request)
{
  Fixture *fixture = ctx;

  if (strcmp (burdock_http_path (request), "/idle") == 0) {
    burdock_http_respond (request, 200, "text/plain", strdup ("idle"), NULL);
    return;
  }
  fixture->request = request;
  end_in_handler (fixture);
}

static void
on_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
  Fixture *fixture = ctx;

  if (strcmp (burdock_http_path (request), "/idle") == 0) {
    fixture->idle_answered++;
    return;
  }
  fixture->closed_in_handler_call |= fixture->in_handler_call;
  fixture->closed_count++;
  fixture->closed_complete = complete;
  fixture->request = NULL;
}

static uint64_t
run_step (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;

  fixture->timed_out = now_us > fixture->deadline_us;
  if (fixture->timed_out || fixture->step (fixture))
    burdock_loop_stop (fixture->loop);
  return now_us + US_PER_MS;
}

static int
connect_caller (const Fixture *fixture)
{
  struct sockaddr_in peer = { .sin_family = AF_INET,
                              .sin_port = htons (fixture->address.port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int caller = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (connect (caller, (struct sockaddr *)&peer, sizeof peer), 0);
  fcntl (caller, F_SETFL, O_NONBLOCK);
  return caller;
}

static void
send_request (int caller, const char *text)
{
  CU_ASSERT_EQUAL (send (caller, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

static void
start_server (Fixture *fixture)
{
  BurdockHttpHandler handler = { fixture, on_request, on_closed };
  BurdockHttpTls tls = { test_certificate, test_key };

  fixture->loop = burdock_loop_new ();
  fixture->address = (BurdockAddress){ .ipv4 = INADDR_LOOPBACK };
  fixture->server = burdock_http_server_new (fixture->loop, &fixture->address,
                                             fixture->secure ? &tls : NULL, &handler);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  fixture->deadline_us = burdock_loop_now_us () + TEST_TIMEOUT_US;
  burdock_loop_add_hook (fixture->loop, run_step, fixture);
}

static void
open_fixture (Fixture *fixture, const char *request, bool (*step) (void *ctx))
{
  fixture->step = step;
  start_server (fixture);
  fixture->caller = connect_caller (fixture);
  send_request (fixture->caller, request);
}

static void
close_fixture (Fixture *fixture)
{
  if (fixture->caller >= 0)
    close (fixture->caller);
  burdock_http_server_free (fixture->server);
  burdock_loop_free (fixture->loop);
}

/* Writes blocks until one is rejected. */
static void
exceed_output_limit (Fixture *fixture)
{
  static const char block[BLOCK_BYTES];

  do
    fixture->write_status =
        burdock_http_stream_write (fixture->request, block, sizeof block);
  while (fixture->write_status == 0);
}

static void
abort_request (Fixture *fixture)
{
  burdock_http_abort (fixture->request);
}

static void
abort_stream (Fixture *fixture)
{
  burdock_http_stream_write (fixture->request, "x", 1);
  burdock_http_abort (fixture->request);
}

typedef struct {
  const char *name;
  void (*end) (Fixture *fixture);
} OwnerCase;

static const OwnerCase owner_cases[] = {
  { "output above the limit", exceed_output_limit },
  { "abort before the response", abort_request },
  { "abort of a stream", abort_stream },
};

static const OwnerCase *owner_case;

/* Ends the request in one call, and uses it in the next ones, as a parser does that still
 * has events to pass on. */
static bool
end_and_use_request (void *ctx)
{
  Fixture *fixture = ctx;
  BurdockHttpRequest *request = fixture->request;

  if (request == NULL || fixture->closed_count > 0)
    return fixture->closed_count > 0;
  fixture->in_handler_call = true;
  owner_case->end (fixture);
  if (fixture->closed_count == 0) {
    CU_ASSERT_EQUAL (burdock_http_stream_write (request, "y", 1), -EPIPE);
    burdock_http_abort (request);
    burdock_http_stream_end (request);
  }
  fixture->in_handler_call = false;
  return fixture->closed_count > 0;
}

/* Guards against a gateway that ends, with the requests of all its callers: the server
 * told the handler of the end of a request, which released what belongs to it, from
 * within a call of the same handler. */
static void
handler_learns_of_the_end_from_the_server_only (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (owner_cases); i++) {
    Fixture fixture = { 0 };

    owner_case = &owner_cases[i];
    open_fixture (&fixture,
                  "POST /stream HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
                  end_and_use_request);
    burdock_loop_run (fixture.loop);
    if (fixture.timed_out || fixture.closed_in_handler_call)
      CU_FAIL (owner_case->name);
    CU_ASSERT_EQUAL (fixture.closed_count, 1);
    CU_ASSERT_FALSE (fixture.closed_complete);
    close_fixture (&fixture);
    CU_ASSERT_EQUAL (fixture.closed_count, 1);
  }
}

#define PIPED_BYTES (8u << 20)
#define PIPE_WAITING_BYTES (64u << 10)
#define READ_BYTES (8u << 10)

static uint32_t written_bytes;

/* Writes while little waits, and reads a part of it. */
static bool
write_faster_than_caller_reads (void *ctx)
{
  static const char block[BLOCK_BYTES];
  Fixture *fixture = ctx;
  char buffer[READ_BYTES];

  if (fixture->request != NULL && fixture->write_status == 0 &&
      burdock_http_stream_waiting_bytes (fixture->request) < PIPE_WAITING_BYTES) {
    fixture->write_status =
        burdock_http_stream_write (fixture->request, block, sizeof block);
    written_bytes += sizeof block;
  }
  while (recv (fixture->caller, buffer, sizeof buffer, MSG_DONTWAIT) > 0 &&
         fixture->request == NULL)
    ;
  return fixture->write_status != 0 || written_bytes >= PIPED_BYTES;
}

/* Guards against a stream that is ended for too much output although its handler waits
 * for a slow caller: output that had been sent counted as waiting. */
static void
sent_output_does_not_wait (void)
{
  Fixture fixture = { 0 };

  written_bytes = 0;
  open_fixture (&fixture, "POST /stream HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
                write_faster_than_caller_reads);
  burdock_loop_run (fixture.loop);
  CU_ASSERT_FALSE (fixture.timed_out);
  CU_ASSERT_EQUAL (fixture.write_status, 0);
  CU_ASSERT_EQUAL (fixture.closed_count, 0);
  close_fixture (&fixture);
}

#define POST(path) "POST " path " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
#define POST_AND_CLOSE                                                                   \
  "POST /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

/** struct EndCase - one way in which a connection ends
 * @end: ends the request; NULL if the server does
 * @in_handler: the handler ends the request as it receives it
 * @begun: the caller has received a part of a stream before
 * @stops_reading: the caller reads nothing until the request has ended
 */
typedef struct EndCase {
  const char *name;
  const char *request;
  void (*end) (Fixture *fixture);
  bool in_handler;
  bool begun;
  bool stops_reading;
} EndCase;

static void
complete_response (Fixture *fixture)
{
  burdock_http_respond (fixture->request, 200, "text/plain", strdup ("x"), NULL);
}

static void
complete_last_response (Fixture *fixture)
{
  burdock_http_server_disable_keepalive (fixture->server);
  complete_response (fixture);
}

static void
end_stream (Fixture *fixture)
{
  burdock_http_stream_end (fixture->request);
}

#define STREAM POST ("/stream")
#define STREAM_1_0 "POST /stream HTTP/1.0\r\nContent-Length: 0\r\n\r\n"

static const EndCase end_cases[] = {
  { "stream broken off", STREAM, .end = abort_request, .begun = true },
  { "output above the limit", STREAM, .end = exceed_output_limit, .begun = true },
  { "caller that has stopped reading", STREAM, .end = abort_request, .begun = true,
    .stops_reading = true },
  { "broken off with its first event", STREAM, .end = abort_stream },
  { "broken off before the head", STREAM, .end = abort_request },
  { "broken off by the handler", STREAM, .end = abort_request, .in_handler = true },
  { "HTTP/1.0, broken off", STREAM_1_0, .end = abort_request, .begun = true },
  { "HTTP/1.0, complete", STREAM_1_0, .end = end_stream, .begun = true },
  { "last response of a connection", POST_AND_CLOSE, .end = complete_response },
  { "last stream of a connection", POST_AND_CLOSE, .end = end_stream, .begun = true },
  { "last response of a server", STREAM, .end = complete_last_response },
  { "malformed request", "POST\r\n\r\n", .end = NULL },
  { "headers above the limit", "POST /stream HTTP/1.1\r\nHost: h\r\nX: ", .end = NULL },
};

static void
end_in_handler (Fixture *fixture)
{
  if (fixture->end == NULL || !fixture->end->in_handler)
    return;
  fixture->ended_at_us = burdock_loop_now_us ();
  fixture->end->end (fixture);
}

static void
connect_idle (Fixture *fixture, uint32_t count)
{
  for (; fixture->idle_count < count; fixture->idle_count++) {
    fixture->idle[fixture->idle_count] = connect_caller (fixture);
    send_request (fixture->idle[fixture->idle_count], POST ("/idle"));
  }
}

/* Writes until the caller that does not read has filled all buffers on the way. */
static bool
fills_buffers (Fixture *fixture)
{
  static const char block[BLOCK_BYTES];

  if (burdock_http_stream_waiting_bytes (fixture->request) > PIPE_WAITING_BYTES)
    return true;
  burdock_http_stream_write (fixture->request, block, sizeof block);
  return false;
}

/* Time in which a stream pauses before its end, so that its connection is suspended. */
#define PAUSE_US (50 * US_PER_MS)

static bool
has_begun (Fixture *fixture)
{
  char buffer[512];

  if (fixture->begun_at_us == 0) {
    burdock_http_stream_write (fixture->request, "x", 1);
    fixture->begun_at_us = burdock_loop_now_us ();
  }
  return burdock_loop_now_us () > fixture->begun_at_us + PAUSE_US &&
         (fixture->end->stops_reading ||
          recv (fixture->caller, buffer, sizeof buffer, MSG_DONTWAIT | MSG_PEEK) > 0);
}

static void
enter_stop_state (Fixture *fixture)
{
  if (fixture->stop_state != SERVING)
    burdock_http_server_disable_keepalive (fixture->server);
  if (fixture->stop_state == QUIESCED)
    burdock_http_server_quiesce (fixture->server);
}

static void
end_request_once (Fixture *fixture)
{
  if (fixture->ended_at_us != 0 || fixture->request == NULL || fixture->end->end == NULL)
    return;
  if (fixture->end->begun && !has_begun (fixture))
    return;
  if (fixture->end->stops_reading && !fills_buffers (fixture))
    return;
  if (fixture->end->begun)
    enter_stop_state (fixture);
  fixture->ended_at_us = burdock_loop_now_us ();
  fixture->end->end (fixture);
}

/* Whether the caller sees the end of its connection. */
static bool
reads_end (const Fixture *fixture)
{
  char buffer[4096];
  ssize_t received;

  while ((received = recv (fixture->caller, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
    ;
  return received == 0 || errno != EAGAIN;
}

/* Sends the request over an accepted connection; a planned stop begins before, unless a
 * stream is to be ended that began before it. */
static void
send_request_once (Fixture *fixture)
{
  static const char filler[BLOCK_BYTES] = { [0 ... BLOCK_BYTES - 1] = 'x' };

  if (fixture->request_sent || burdock_http_server_has_pending (fixture->server))
    return;
  fixture->request_sent = true;
  if (!fixture->end->begun)
    enter_stop_state (fixture);
  send_request (fixture->caller, fixture->end->request);
  if (fixture->end->end == NULL) {
    send (fixture->caller, filler, sizeof filler, MSG_NOSIGNAL);
    fixture->ended_at_us = burdock_loop_now_us ();
  }
}

static bool
end_and_watch_caller (void *ctx)
{
  Fixture *fixture = ctx;

  if (fixture->idle_answered < fixture->idle_count)
    return false;
  if (fixture->caller < 0)
    fixture->caller = connect_caller (fixture);
  send_request_once (fixture);
  end_request_once (fixture);
  if (fixture->ended_at_us == 0 ||
      (fixture->end->stops_reading && fixture->closed_count == 0))
    return false;
  if (fixture->seen_at_us == 0 && reads_end (fixture))
    fixture->seen_at_us = burdock_loop_now_us ();
  return fixture->seen_at_us != 0 && fixture->request == NULL &&
         burdock_loop_now_us () > fixture->seen_at_us + CLOSE_MAX_US;
}

static uint32_t
count_descriptors (void)
{
  uint32_t count = 0;

  for (int i = 0; i < 4 * IDLE_MAX; i++)
    count += fcntl (i, F_GETFD) >= 0;
  return count;
}

static void
check_end (const EndCase *test, StopState stop_state, uint32_t idle_count)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  /* The other end of each idle connection, and the socket of the caller; a server that
   * accepts no more connections has closed its listening socket. */
  int32_t expected = (int32_t)idle_count + 1 - (stop_state == QUIESCED);
  int32_t added;
  uint64_t lasted_us;
  uint32_t descriptors;

  fixture->end = test;
  fixture->stop_state = stop_state;
  fixture->step = end_and_watch_caller;
  start_server (fixture);
  connect_idle (fixture, idle_count);
  fixture->caller = -1;
  descriptors = count_descriptors ();
  burdock_loop_run (fixture->loop);
  lasted_us = fixture->seen_at_us - fixture->ended_at_us;
  if (fixture->timed_out || lasted_us > END_MAX_US) {
    printf ("%s, %s, %u idle: seen after %u ms, closed %u\n", test->name,
            stop_state_names[stop_state], idle_count,
            fixture->seen_at_us > 0 ? (unsigned)(lasted_us / US_PER_MS) : UINT32_MAX,
            fixture->closed_count);
    CU_FAIL (test->name);
  }
  added = (int32_t)count_descriptors () - (int32_t)descriptors;
  if (added != expected) {
    printf ("%s, %s, %u idle: %d descriptors more than before, expected %d\n", test->name,
            stop_state_names[stop_state], idle_count, added, expected);
    CU_FAIL (test->name);
  }
  for (uint32_t i = 0; i < fixture->idle_count; i++)
    close (fixture->idle[i]);
  close_fixture (fixture);
  free (fixture);
}

/* Guards against connections that stay open after their end, until the caller gives up:
 * libmicrohttpd closes a connection only once those that have been idle for longer are
 * closed. */
static void
ended_connections_are_closed_at_once (void)
{
  static const uint32_t idle_counts[] = { 0, 1, IDLE_MAX };

  for (uint32_t i = 0; i < TEST_COUNT (end_cases); i++) {
    for (uint32_t j = 0; j < TEST_COUNT (idle_counts); j++)
      check_end (&end_cases[i], SERVING, idle_counts[j]);
  }
}

/* As above, in a planned stop, which waits for the connections that are open. */
static void
ended_connections_are_closed_in_a_stop (void)
{
  static const uint32_t idle_counts[] = { 0, 1, IDLE_MAX };

  for (uint32_t i = 0; i < TEST_COUNT (end_cases); i++) {
    for (StopState state = KEEPALIVE_DISABLED; state < STOP_STATE_COUNT; state++) {
      for (uint32_t j = 0; j < TEST_COUNT (idle_counts); j++)
        check_end (&end_cases[i], state, idle_counts[j]);
    }
  }
}

/* Ends the loop as soon as the response is complete, before any of it is sent. */
static bool
respond_and_stop (void *ctx)
{
  Fixture *fixture = ctx;

  if (fixture->request == NULL)
    return false;
  complete_response (fixture);
  return true;
}

/* Guards against a process that ends and cuts off responses that are complete. */
static void
complete_response_is_sent_at_the_end (void)
{
  static const char body[] = "\r\n\r\nx";
  Fixture *fixture = calloc (1, sizeof *fixture);
  char answer[512] = "";
  int caller;

  open_fixture (fixture, STREAM, respond_and_stop);
  burdock_loop_run (fixture->loop);
  caller = dup (fixture->caller);
  close_fixture (fixture);
  CU_ASSERT_TRUE (recv (caller, answer, sizeof answer - 1, MSG_DONTWAIT) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, body));
  close (caller);
  free (fixture);
}

static size_t
ignore_body (char *data, size_t size, size_t count, void *ctx)
{
  return size * count;
}

static CURL *
new_caller (const Fixture *fixture, const char *path)
{
  CURL *easy = curl_easy_init ();
  char url[64];

  snprintf (url, sizeof url, "https://127.0.0.1:%u%s", fixture->address.port, path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_SSL_VERIFYPEER, 0L);
  curl_easy_setopt (easy, CURLOPT_SSL_VERIFYHOST, 0L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, ignore_body);
  return easy;
}

/* Leaves a connection idle, then reads a stream on another one. */
static void *
call_securely (void *ctx)
{
  Fixture *fixture = ctx;
  CURL *idle = new_caller (fixture, "/idle");
  CURL *caller = new_caller (fixture, "/stream");

  curl_easy_perform (idle);
  fixture->curl_status = curl_easy_perform (caller);
  atomic_store (&fixture->curl_done, true);
  curl_easy_cleanup (caller);
  curl_easy_cleanup (idle);
  return NULL;
}

static bool
abort_secure_stream (void *ctx)
{
  Fixture *fixture = ctx;
  uint64_t now_us = burdock_loop_now_us ();

  if (fixture->request != NULL && fixture->begun_at_us == 0) {
    burdock_http_stream_write (fixture->request, "x", 1);
    fixture->begun_at_us = now_us;
  }
  if (fixture->request != NULL && fixture->ended_at_us == 0 &&
      now_us > fixture->begun_at_us + PAUSE_US) {
    burdock_http_abort (fixture->request);
    fixture->ended_at_us = now_us;
  }
  return atomic_load (&fixture->curl_done);
}

/* As above, over TLS. */
static void
ended_secure_connections_are_closed_at_once (void)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  pthread_t caller;

  fixture->secure = true;
  fixture->step = abort_secure_stream;
  fixture->caller = -1;
  start_server (fixture);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&caller, NULL, call_securely, fixture), 0);
  burdock_loop_run (fixture->loop);
  CU_ASSERT_FALSE (fixture->timed_out);
  CU_ASSERT_TRUE (burdock_loop_now_us () - fixture->ended_at_us < END_MAX_US);
  CU_ASSERT_NOT_EQUAL (fixture->curl_status, CURLE_OK);
  close_fixture (fixture);
  pthread_join (caller, NULL);
  free (fixture);
}

static const Test tests[] = {
  { "the end of a server cuts a complete response off",
    complete_response_is_sent_at_the_end },
  { "a connection over TLS stays open after its end",
    ended_secure_connections_are_closed_at_once },
  { "a connection stays open after its end", ended_connections_are_closed_at_once },
  { "a connection stays open after its end in a planned stop",
    ended_connections_are_closed_in_a_stop },
  { "a stream ends because of output that was sent", sent_output_does_not_wait },
  { "a request is released while its handler uses it",
    handler_learns_of_the_end_from_the_server_only },
};

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return test_main ("http-stream", tests, TEST_COUNT (tests));
}
