#include "message.h"
#include "test.h"
#include "transport.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define LOOPBACK 0x7f000001u
#define FRAMES 300
#define TEST_TIMEOUT_US UINT64_C (20000000)

/* One of the two transports on a loop, with counts of its frames and lost connections. */
typedef struct {
  BurdockTransport *transport;
  uint32_t received;
  uint32_t disconnected_count;
  bool disconnected_after_connect;
  bool reply;
  int refuse;
  bool in_order;
} Endpoint;

typedef struct {
  BurdockLoop *loop;
  BurdockAddress address;
  Endpoint server;
  Endpoint client;
  bool (*done) (void *ctx);
  uint64_t deadline_us;
  bool timed_out;
} Pair;

static uint8_t *
make_frame (uint32_t number, uint32_t length_bytes)
{
  uint8_t *frame = calloc (1, length_bytes);
  uint32_t body_bytes = length_bytes - BURDOCK_LENGTH_PREFIX_BYTES;

  for (uint32_t i = 0; i < 4; i++) {
    frame[i] = (uint8_t)(body_bytes >> (24 - 8 * i));
    frame[4 + i] = (uint8_t)(number >> (24 - 8 * i));
  }
  return frame;
}

static uint32_t
length_of (uint32_t number)
{
  return 8 + (number * 7919) % 20000;
}

static void
send_numbered (Endpoint *endpoint, BurdockAddress to, uint32_t number)
{
  uint8_t *frame = make_frame (number, length_of (number));

  CU_ASSERT_EQUAL (burdock_transport_send (endpoint->transport, to, frame,
                                           length_of (number)),
                   0);
  free (frame);
}

static int
on_frame (void *ctx, BurdockAddress from, const uint8_t *frame, uint32_t length_bytes)
{
  Endpoint *endpoint = ctx;
  uint32_t number = ((uint32_t)frame[4] << 24) | ((uint32_t)frame[5] << 16) |
                    ((uint32_t)frame[6] << 8) | frame[7];

  endpoint->in_order = endpoint->in_order && number == endpoint->received &&
                       length_bytes == length_of (number);
  endpoint->received++;
  if (endpoint->reply)
    send_numbered (endpoint, from, number);
  return endpoint->refuse;
}

static void
on_disconnected (void *ctx, BurdockAddress peer, bool connected)
{
  Endpoint *endpoint = ctx;

  endpoint->disconnected_count++;
  endpoint->disconnected_after_connect = connected;
}

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  Pair *pair = ctx;

  pair->timed_out = now_us > pair->deadline_us;
  if (pair->done (pair) || pair->timed_out)
    burdock_loop_stop (pair->loop);
  return now_us + 1000;
}

static void
open_pair (Pair *pair, bool (*done) (void *ctx))
{
  BurdockTransportHandler server = { &pair->server, on_frame, on_disconnected };
  BurdockTransportHandler client = { &pair->client, on_frame, on_disconnected };

  pair->loop = burdock_loop_new ();
  pair->done = done;
  pair->deadline_us = burdock_loop_now_us () + TEST_TIMEOUT_US;
  pair->server.in_order = pair->client.in_order = true;
  burdock_loop_add_hook (pair->loop, check_done, pair);
  pair->server.transport = burdock_transport_new (pair->loop, &server, false);
  pair->client.transport = burdock_transport_new (pair->loop, &client, true);
  pair->address = (BurdockAddress){ .ipv4 = LOOPBACK };
  CU_ASSERT_EQUAL (burdock_transport_listen (pair->server.transport, &pair->address), 0);
  CU_ASSERT_NOT_EQUAL (pair->address.port, 0);
}

static void
close_pair (Pair *pair)
{
  burdock_transport_free (pair->client.transport);
  burdock_transport_free (pair->server.transport);
  burdock_loop_free (pair->loop);
}

static bool
all_replies_received (void *ctx)
{
  Pair *pair = ctx;

  return pair->client.received == FRAMES;
}

/* Guards against frames that are split, lost or reordered when a read or write ends in
 * the middle of a frame. */
static void
frames_arrive_complete_and_in_order (void)
{
  Pair pair = { .server.reply = true };

  open_pair (&pair, all_replies_received);
  for (uint32_t i = 0; i < FRAMES; i++)
    send_numbered (&pair.client, pair.address, i);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_EQUAL (pair.server.received, FRAMES);
  CU_ASSERT_TRUE (pair.server.in_order);
  CU_ASSERT_TRUE (pair.client.in_order);
  CU_ASSERT_EQUAL (pair.client.disconnected_count, 0);
  close_pair (&pair);
}

static bool
client_disconnected (void *ctx)
{
  Pair *pair = ctx;

  return pair->client.disconnected_count > 0;
}

/* Guards against a refused connect that is reported like the loss of an established
 * connection, on which frames may have been delivered. */
static void
refused_connect_is_reported_as_never_connected (void)
{
  Pair closed = { 0 };
  Pair pair = { 0 };

  open_pair (&closed, client_disconnected);
  close_pair (&closed);
  open_pair (&pair, client_disconnected);
  send_numbered (&pair.client, closed.address, 0);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_FALSE (pair.client.disconnected_after_connect);
  close_pair (&pair);
}

/* Guards against further frames being read from a connection after a malformed one. */
static void
malformed_frame_closes_the_connection (void)
{
  Pair pair = { .server.refuse = -EPROTO };

  open_pair (&pair, client_disconnected);
  send_numbered (&pair.client, pair.address, 0);
  send_numbered (&pair.client, pair.address, 1);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_TRUE (pair.client.disconnected_after_connect);
  CU_ASSERT_EQUAL (pair.server.received, 1);
  CU_ASSERT_EQUAL (pair.server.disconnected_count, 1);
  close_pair (&pair);
}

/* Guards against output for a slow peer that exhausts memory, and against a transport
 * that must not connect but opens a connection to an unknown peer. */
static void
output_is_bounded_and_unknown_peers_are_refused (void)
{
  Pair pair = { 0 };
  uint32_t length_bytes = BURDOCK_FRAME_MAX_BYTES;
  uint8_t *frame = make_frame (0, length_bytes);
  uint32_t queued = 0;
  int status;

  open_pair (&pair, client_disconnected);
  do
    status =
        burdock_transport_send (pair.client.transport, pair.address, frame, length_bytes);
  while (status == 0 && ++queued < 64);
  CU_ASSERT_EQUAL (status, -EAGAIN);
  CU_ASSERT_EQUAL (queued, 8);
  CU_ASSERT_EQUAL (burdock_transport_send (pair.server.transport,
                                           (BurdockAddress){ LOOPBACK, 1 }, frame, 8),
                   -ENOTCONN);
  free (frame);
  close_pair (&pair);
}

static const Test tests[] = {
  { "a frame is truncated, lost or reordered", frames_arrive_complete_and_in_order },
  { "a refused connect counts as a connection that may have carried frames",
    refused_connect_is_reported_as_never_connected },
  { "a connection stays open after a malformed frame",
    malformed_frame_closes_the_connection },
  { "output for a slow peer exhausts memory",
    output_is_bounded_and_unknown_peers_are_refused },
};

int
main (void)
{
  apr_initialize ();
  return test_main ("transport", tests, TEST_COUNT (tests));
}
