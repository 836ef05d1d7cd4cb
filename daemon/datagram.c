#include "datagram.h"

#include "log.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bounds the time of one round when many processes send at once. */
#define RECEIVES_PER_ROUND 128

struct BurdockDatagrams {
  BurdockLoop *loop;
  BurdockLoopSource source;
  int descriptor;
  BurdockDatagramReceive receive;
  void *ctx;
  BurdockMessage message;
  uint8_t buffer[BURDOCK_DATAGRAM_MAX_BYTES];
};

static struct sockaddr_in
socket_address (BurdockAddress address)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (address.port),
                               .sin_addr.s_addr = htonl (address.ipv4) };
}

static void
take_datagram (BurdockDatagrams *datagrams, BurdockAddress from, uint32_t length_bytes)
{
  BurdockError error;
  int status = burdock_message_decode (datagrams->buffer, length_bytes, NULL,
                                       &datagrams->message, &error);

  if (status < 0) {
    char peer[32];

    burdock_address_format (from, peer, sizeof peer);
    burdock_log (BURDOCK_LOG_WARNING, error.step, peer, "%s", error.detail);
    return;
  }
  datagrams->receive (datagrams->ctx, from, &datagrams->message);
}

static void
datagrams_ready (void *ctx, int16_t events)
{
  BurdockDatagrams *datagrams = ctx;

  for (uint32_t i = 0; i < RECEIVES_PER_ROUND; i++) {
    struct sockaddr_in from = { 0 };
    socklen_t from_bytes = sizeof from;
    ssize_t got =
        recvfrom (datagrams->descriptor, datagrams->buffer, sizeof datagrams->buffer,
                  MSG_DONTWAIT, (struct sockaddr *)&from, &from_bytes);

    if (got < 0)
      return;
    take_datagram (datagrams,
                   (BurdockAddress){ ntohl (from.sin_addr.s_addr),
                                     ntohs (from.sin_port) },
                   (uint32_t)got);
  }
}

BurdockDatagrams *
burdock_datagrams_new (BurdockLoop *loop, BurdockAddress local,
                       BurdockDatagramReceive receive, void *ctx)
{
  BurdockDatagrams *datagrams = calloc (1, sizeof *datagrams);
  struct sockaddr_in address = socket_address (local);

  if (datagrams == NULL)
    return NULL;
  datagrams->loop = loop;
  datagrams->receive = receive;
  datagrams->ctx = ctx;
  datagrams->descriptor = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (datagrams->descriptor < 0 ||
      bind (datagrams->descriptor, (struct sockaddr *)&address, sizeof address) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "bind datagrams", "-", "%s", strerror (errno));
    if (datagrams->descriptor >= 0)
      close (datagrams->descriptor);
    free (datagrams);
    return NULL;
  }
  datagrams->source = (BurdockLoopSource){ .ready = datagrams_ready, .ctx = datagrams };
  apr_os_sock_put (&datagrams->source.socket, &datagrams->descriptor,
                   burdock_loop_pool (loop));
  burdock_loop_watch (loop, &datagrams->source, APR_POLLIN);
  return datagrams;
}

void
burdock_datagrams_free (BurdockDatagrams *datagrams)
{
  if (datagrams == NULL)
    return;
  burdock_loop_watch (datagrams->loop, &datagrams->source, 0);
  close (datagrams->descriptor);
  free (datagrams);
}

int
burdock_datagrams_send (BurdockDatagrams *datagrams, const BurdockMessage *message,
                        const BurdockAddress *to, uint32_t count)
{
  uint8_t *frame;
  uint32_t length_bytes;
  int status = burdock_message_encode (message, NULL, &frame, &length_bytes);

  if (status < 0)
    return status;
  for (uint32_t i = 0; i < count; i++) {
    struct sockaddr_in address = socket_address (to[i]);

    if (sendto (datagrams->descriptor, frame, length_bytes, MSG_DONTWAIT,
                (struct sockaddr *)&address, sizeof address) < 0)
      status = -errno;
  }
  free (frame);
  return status;
}
