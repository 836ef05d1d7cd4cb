/* Streamed responses to callers that read slowly, and responses that are broken off. */
#include "http-server.h"
#include "test.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS UINT64_C (1000)
#define TEST_TIMEOUT_US (10000 * US_PER_MS)
#define BLOCK_BYTES (16u << 10)

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
} Fixture;

static void
on_request (void *ctx, BurdockHttpRequest *request)
{
  Fixture *fixture = ctx;

  fixture->request = request;
}

static void
on_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
  Fixture *fixture = ctx;

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
open_fixture (Fixture *fixture, const char *request, bool (*step) (void *ctx))
{
  BurdockHttpHandler handler = { fixture, on_request, on_closed };

  fixture->loop = burdock_loop_new ();
  fixture->address = (BurdockAddress){ .ipv4 = INADDR_LOOPBACK };
  fixture->server =
      burdock_http_server_new (fixture->loop, &fixture->address, NULL, &handler);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
  fixture->caller = connect_caller (fixture);
  send_request (fixture->caller, request);
  fixture->step = step;
  fixture->deadline_us = burdock_loop_now_us () + TEST_TIMEOUT_US;
  burdock_loop_add_hook (fixture->loop, run_step, fixture);
}

static void
close_fixture (Fixture *fixture)
{
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

static const Test tests[] = {
  { "a stream ends because of output that was sent", sent_output_does_not_wait },
  { "a request is released while its handler uses it",
    handler_learns_of_the_end_from_the_server_only },
};

int
main (void)
{
  apr_initialize ();
  return test_main ("http-stream", tests, TEST_COUNT (tests));
}
