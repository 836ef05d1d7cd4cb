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
#define LIMIT_US UINT64_C (20000000)

/* Two ends on one loop: what each has received and lost. */
typedef struct {
  BurdockTransport *transport;
  uint32_t received;
  uint32_t lost;
  bool lost_connected;
  bool reply;
  int refuse;
  bool in_order;
} End;

typedef struct {
  BurdockLoop *loop;
  BurdockAddress address;
  End server;
  End client;
  bool (*done) (void *ctx);
  uint64_t until_us;
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
send_numbered (End *end, BurdockAddress to, uint32_t number)
{
  uint8_t *frame = make_frame (number, length_of (number));

  CU_ASSERT_EQUAL (burdock_transport_send (end->transport, to, frame, length_of (number)),
                   0);
  free (frame);
}

static int
take_frame (void *ctx, BurdockAddress from, const uint8_t *frame, uint32_t length_bytes)
{
  End *end = ctx;
  uint32_t number = ((uint32_t)frame[4] << 24) | ((uint32_t)frame[5] << 16) |
                    ((uint32_t)frame[6] << 8) | frame[7];

  end->in_order =
      end->in_order && number == end->received && length_bytes == length_of (number);
  end->received++;
  if (end->reply)
    send_numbered (end, from, number);
  return end->refuse;
}

static void
take_lost (void *ctx, BurdockAddress peer, bool connected)
{
  End *end = ctx;

  end->lost++;
  end->lost_connected = connected;
}

static uint64_t
check_done (void *ctx, uint64_t now_us)
{
  Pair *pair = ctx;

  pair->timed_out = now_us > pair->until_us;
  if (pair->done (pair) || pair->timed_out)
    burdock_loop_stop (pair->loop);
  return now_us + 1000;
}

static void
open_pair (Pair *pair, bool (*done) (void *ctx))
{
  BurdockTransportHandler server = { &pair->server, take_frame, take_lost };
  BurdockTransportHandler client = { &pair->client, take_frame, take_lost };

  pair->loop = burdock_loop_new ();
  pair->done = done;
  pair->until_us = burdock_loop_now_us () + LIMIT_US;
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
all_returned (void *ctx)
{
  Pair *pair = ctx;

  return pair->client.received == FRAMES;
}

static void
frames_arrive_whole_and_in_order (void)
{
  Pair pair = { .server.reply = true };

  open_pair (&pair, all_returned);
  for (uint32_t i = 0; i < FRAMES; i++)
    send_numbered (&pair.client, pair.address, i);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_EQUAL (pair.server.received, FRAMES);
  CU_ASSERT_TRUE (pair.server.in_order);
  CU_ASSERT_TRUE (pair.client.in_order);
  CU_ASSERT_EQUAL (pair.client.lost, 0);
  close_pair (&pair);
}

static bool
client_lost (void *ctx)
{
  Pair *pair = ctx;

  return pair->client.lost > 0;
}

static void
refused_connect_is_reported_as_never_connected (void)
{
  Pair closed = { 0 };
  Pair pair = { 0 };

  open_pair (&closed, client_lost);
  close_pair (&closed);
  open_pair (&pair, client_lost);
  send_numbered (&pair.client, closed.address, 0);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_FALSE (pair.client.lost_connected);
  close_pair (&pair);
}

static void
malformed_frame_closes_the_connection (void)
{
  Pair pair = { .server.refuse = -EPROTO };

  open_pair (&pair, client_lost);
  send_numbered (&pair.client, pair.address, 0);
  send_numbered (&pair.client, pair.address, 1);
  burdock_loop_run (pair.loop);
  CU_ASSERT_FALSE (pair.timed_out);
  CU_ASSERT_TRUE (pair.client.lost_connected);
  CU_ASSERT_EQUAL (pair.server.received, 1);
  CU_ASSERT_EQUAL (pair.server.lost, 1);
  close_pair (&pair);
}

static void
output_is_bounded_and_unknown_peers_are_refused (void)
{
  Pair pair = { 0 };
  uint32_t length_bytes = BURDOCK_FRAME_MAX_BYTES;
  uint8_t *frame = make_frame (0, length_bytes);
  uint32_t queued = 0;
  int status;

  open_pair (&pair, client_lost);
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
  { "a frame is cut, lost or overtaken", frames_arrive_whole_and_in_order },
  { "a refused connect counts as a connection that may have carried frames",
    refused_connect_is_reported_as_never_connected },
  { "a connection stays open after a malformed frame",
    malformed_frame_closes_the_connection },
  { "a slow peer takes all memory", output_is_bounded_and_unknown_peers_are_refused },
};

int
main (void)
{
  apr_initialize ();
  return test_main ("transport", tests, TEST_COUNT (tests));
}
