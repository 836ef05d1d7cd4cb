#include "datagram.h"

#include "log.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bounds the time of one loop iteration when many peers send at once. */
#define RECEIVES_PER_ITERATION 128

struct BurdockDatagramSocket {
  BurdockLoop *loop;
  BurdockLoopSource source;
  int descriptor;
  BurdockDatagramReceive receive;
  void *ctx;
  BurdockMessage message;
  uint8_t buffer[BURDOCK_DATAGRAM_MAX_BYTES];
};

static struct sockaddr_in
to_sockaddr (BurdockAddress address)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (address.port),
                               .sin_addr.s_addr = htonl (address.ipv4) };
}

static void
decode_datagram (BurdockDatagramSocket *udp, BurdockAddress from, uint32_t length_bytes)
{
  BurdockError error;
  int status =
      burdock_message_decode (udp->buffer, length_bytes, NULL, &udp->message, &error);

  if (status < 0) {
    char peer[32];

    burdock_address_format (from, peer, sizeof peer);
    burdock_log (BURDOCK_LOG_WARNING, error.step, peer, "%s", error.detail);
    return;
  }
  udp->receive (udp->ctx, from, &udp->message);
}

static void
datagram_socket_ready (void *ctx, int16_t events)
{
  BurdockDatagramSocket *udp = ctx;

  for (uint32_t i = 0; i < RECEIVES_PER_ITERATION; i++) {
    struct sockaddr_in from = { 0 };
    socklen_t from_bytes = sizeof from;
    ssize_t received = recvfrom (udp->descriptor, udp->buffer, sizeof udp->buffer,
                                 MSG_DONTWAIT, (struct sockaddr *)&from, &from_bytes);

    if (received < 0)
      return;
    decode_datagram (udp,
                     (BurdockAddress){ ntohl (from.sin_addr.s_addr),
                                       ntohs (from.sin_port) },
                     (uint32_t)received);
  }
}

BurdockDatagramSocket *
burdock_datagram_socket_new (BurdockLoop *loop, BurdockAddress local,
                             BurdockDatagramReceive receive, void *ctx)
{
  BurdockDatagramSocket *udp = calloc (1, sizeof *udp);
  struct sockaddr_in address = to_sockaddr (local);

  if (udp == NULL)
    return NULL;
  udp->loop = loop;
  udp->receive = receive;
  udp->ctx = ctx;
  udp->descriptor = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (udp->descriptor < 0 ||
      bind (udp->descriptor, (struct sockaddr *)&address, sizeof address) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "bind datagrams", "-", "%s", strerror (errno));
    if (udp->descriptor >= 0)
      close (udp->descriptor);
    free (udp);
    return NULL;
  }
  udp->source = (BurdockLoopSource){ .ready = datagram_socket_ready, .ctx = udp };
  apr_os_sock_put (&udp->source.socket, &udp->descriptor, burdock_loop_pool (loop));
  burdock_loop_watch (loop, &udp->source, APR_POLLIN);
  return udp;
}

void
burdock_datagram_socket_free (BurdockDatagramSocket *udp)
{
  if (udp == NULL)
    return;
  burdock_loop_watch (udp->loop, &udp->source, 0);
  close (udp->descriptor);
  free (udp);
}

int
burdock_datagram_socket_send (BurdockDatagramSocket *udp, const BurdockMessage *message,
                              const BurdockAddress *to, uint32_t count)
{
  uint8_t *frame;
  uint32_t length_bytes;
  int status = burdock_message_encode (message, NULL, &frame, &length_bytes);

  if (status < 0)
    return status;
  for (uint32_t i = 0; i < count; i++) {
    struct sockaddr_in address = to_sockaddr (to[i]);

    if (sendto (udp->descriptor, frame, length_bytes, MSG_DONTWAIT,
                (struct sockaddr *)&address, sizeof address) < 0)
      status = -errno;
  }
  free (frame);
  return status;
}
