/* A server and a client that sends more than the server can take, or sends too slowly. */
#include "http-server.h"
#include "test.h"

#include <apr_general.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT_BYTES (1u << 20)
#define MEMORY_MB 16

/* Ends a wait for a server that does not answer, so that the test fails instead of
 * hanging. */
#define WAIT_S 20

/**
 * struct Client - what a client sends
 * @head: end of the head of its request
 * @part_bytes: length of each part of the body; 0 for none
 * @part_count: number of parts
 * @pause_ms: time before each part
 * @memory_used: the memory budget has no room for large bodies
 * @status: expected status of the answer
 * @retry_after: the answer has a Retry-After header
 * @dispatched: the handler receives the request
 */
typedef struct {
  const char *name;
  const char *head;
  uint32_t part_bytes;
  uint32_t part_count;
  uint32_t pause_ms;
  bool memory_used;
  uint32_t status;
  bool retry_after;
  bool dispatched;
} Client;

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const Client clients[] = {
  { "whole body at the limit", "Content-Length: 1048576\r\n\r\n", 1048576, 1, 0, false,
    200, false, true },
  { "announced above the limit, sends on before it reads",
    "Content-Length: 8388608\r\n\r\n", 65536, 128, 0, false, 413, false, false },
  { "chunks above the limit, sends on before it reads", CHUNKED, 65536, 96, 0, false, 413,
    false, false },
  { "length that is no 64-bit number", "Content-Length: 18446744073709551614\r\n\r\n", 0,
    0, 0, false, 413, false, false },
  { "large body without room", "Content-Length: 1048576\r\n\r\n", 65536, 16, 0, true, 503,
    true, false },
  { "chunks without room", CHUNKED, 65536, 8, 0, true, 503, true, false },
  { "small body while large ones have no room", "Content-Length: 1000\r\n\r\n", 1000, 1,
    0, true, 200, false, true },
  { "large body that stops", "Content-Length: 1048576\r\n\r\n", 65536, 1, 0, false, 408,
    false, false },
  { "slow and steady large body", "Content-Length: 131072\r\n\r\n", 16384, 8, 700, false,
    200, false, true },
  { "small body with pauses", "Content-Length: 20\r\n\r\n", 10, 2, 3500, false, 200,
    false, true },
};

typedef struct {
  const Client *client;
  BurdockLoop *loop;
  uint16_t port;
  uint32_t status;
  bool retry_after;
  uint32_t dispatched;
  atomic_bool done;
} Play;

static void
send_parts (const Play *play, int peer)
{
  const Client *client = play->client;
  bool chunked = strcmp (client->head, CHUNKED) == 0;
  char *part = malloc (client->part_bytes + 32);
  size_t length = 0;

  if (part == NULL)
    abort ();
  if (chunked)
    length = (size_t)sprintf (part, "%x\r\n", client->part_bytes);
  memset (part + length, 'x', client->part_bytes);
  length += client->part_bytes;
  if (chunked)
    length += (size_t)sprintf (part + length, "\r\n");
  for (uint32_t i = 0; i < client->part_count; i++) {
    usleep (client->pause_ms * 1000);
    for (size_t at = 0; at < length;) {
      ssize_t sent = send (peer, part + at, length - at, MSG_NOSIGNAL);

      if (sent <= 0)
        break;
      at += (size_t)sent;
    }
  }
  free (part);
}

static void *
run_client (void *ctx)
{
  Play *play = ctx;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (play->port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct timeval timeout = { .tv_sec = WAIT_S };
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char text[1024];
  size_t length;
  ssize_t received;

  setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (peer, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (peer, (struct sockaddr *)&address, sizeof address) < 0)
    abort ();
  length = (size_t)snprintf (text, sizeof text, "POST /a HTTP/1.1\r\nHost: h\r\n%s",
                             play->client->head);
  if (send (peer, text, length, MSG_NOSIGNAL) < 0)
    abort ();
  send_parts (play, peer);
  length = 0;
  do {
    received = recv (peer, text + length, sizeof text - 1 - length, 0);
    if (received > 0)
      length += (size_t)received;
    text[length] = '\0';
  } while (received > 0 && strstr (text, "\r\n\r\n") == NULL);
  if (strncmp (text, "HTTP/1.1 ", 9) == 0)
    play->status = (uint32_t)strtoul (text + 9, NULL, 10);
  play->retry_after = strstr (text, "\r\nRetry-After: ") != NULL;
  close (peer);
  atomic_store (&play->done, true);
  return NULL;
}

static void
answer (void *ctx, BurdockHttpRequest *request)
{
  Play *play = ctx;

  play->dispatched++;
  burdock_http_respond (request, 200, "text/plain", strdup ("whole"), NULL);
}

static void
ignore_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
}

static uint64_t
stop_after_client (void *ctx, uint64_t now_us)
{
  Play *play = ctx;

  if (atomic_load (&play->done))
    burdock_loop_stop (play->loop);
  return now_us + 1000;
}

/* Takes all room for large bodies; returns the size of the reservation. */
static uint64_t
use_memory (BurdockMemoryBudget *budget)
{
  uint64_t bytes = budget->large_body_max_bytes - BURDOCK_MEMORY_SMALL_BYTES;

  CU_ASSERT_TRUE (burdock_memory_budget_resize (budget, BURDOCK_MEMORY_BODIES, 0, bytes));
  return bytes;
}

/* Guards against a body that is kept or read although there is no room for it, a refusal
 * that is lost as the connection is reset under a client that still sends, a refused
 * request that runs, a body that keeps its room for good, and honest clients that are
 * refused because they are slow. */
static void
bodies_are_taken_or_refused (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (clients); i++) {
    const Client *client = &clients[i];
    BurdockMemoryBudget budget;
    Play play = { .client = client, .loop = burdock_loop_new () };
    BurdockHttpHandler handler = { &play, answer, ignore_closed };
    BurdockHttpLimits limits = { .body_bytes = LIMIT_BYTES,
                                 .disconnect_check_ms = 100,
                                 .budget = &budget };
    BurdockAddress address = { .ipv4 = INADDR_LOOPBACK };
    uint64_t held_bytes = 0;
    BurdockHttpServer *server;
    pthread_t thread;

    burdock_memory_budget_init (&budget, MEMORY_MB);
    if (client->memory_used)
      held_bytes = use_memory (&budget);
    server =
        burdock_http_server_new_limited (play.loop, &address, NULL, &handler, &limits);
    CU_ASSERT_PTR_NOT_NULL_FATAL (server);
    play.port = address.port;
    burdock_loop_add_hook (play.loop, stop_after_client, &play);
    CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, NULL, run_client, &play), 0);
    burdock_loop_run (play.loop);
    pthread_join (thread, NULL);
    burdock_http_server_free (server);
    burdock_loop_free (play.loop);
    if (play.status != client->status || play.retry_after != client->retry_after ||
        play.dispatched != client->dispatched) {
      printf ("%s: status %u retry_after %d dispatched %u\n", client->name, play.status,
              play.retry_after, play.dispatched);
      CU_FAIL (client->name);
    }
    CU_ASSERT_EQUAL (burdock_memory_budget_used (&budget), held_bytes);
  }
}

static const Test tests[] = {
  { "a client takes memory without limits, or is refused for nothing",
    bodies_are_taken_or_refused },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("client-limits", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
