/**
 * DOC: transport.h - frames over TCP on an event loop
 *
 * Connections are keyed by the remote address. A frame for an address without a
 * connection opens one; an accepted connection carries the replies to its remote address.
 * The frames sent in one loop iteration are written with one system call per connection.
 * A connection that was idle for 120 s is closed.
 */
#ifndef BURDOCK_TRANSPORT_H
#define BURDOCK_TRANSPORT_H

#include "burdock.h"
#include "loop.h"

typedef struct BurdockTransport BurdockTransport;

/**
 * struct BurdockTransportHandler - receiver of frames
 * @frame: called with a complete frame, length field included, which is valid during the
 *   call; a result of -EPROTO, -EMSGSIZE or -EACCES closes the connection, others leave
 *   it open
 * @disconnected: called when a connection has ended; @connected is false if it was never
 *   established. Never called from within burdock_transport_send()
 */
typedef struct {
  void *ctx;
  int (*frame) (void *ctx, BurdockAddress from, const uint8_t *frame,
                uint32_t length_bytes);
  void (*disconnected) (void *ctx, BurdockAddress peer, bool connected);
} BurdockTransportHandler;

/**
 * burdock_transport_new() - transport without a listening socket
 * @handler: copied
 * @can_connect: whether a frame for an address without a connection opens one; otherwise
 *   it is refused with -ENOTCONN
 * Adds a hook to @loop that writes the frames of the iteration, so it must be created
 * after the hooks that send. Returns NULL without memory.
 */
BurdockTransport *burdock_transport_new (BurdockLoop *loop,
                                         const BurdockTransportHandler *handler,
                                         bool can_connect);
void burdock_transport_free (BurdockTransport *transport);

/**
 * burdock_transport_listen() - accepts connections at @address
 * @address: a port of 0 is replaced by the port bound
 * Returns 0, -EMFILE, -EADDRINUSE or -EIO.
 */
int burdock_transport_listen (BurdockTransport *transport, BurdockAddress *address);

/**
 * burdock_transport_send() - queues a copy of a frame
 * Returns 0; -EAGAIN if the output buffer is full; -ENOTCONN, -ECONNREFUSED, -EMFILE or
 * -ENOMEM if there is no connection. After an error the frame will not be sent.
 */
int burdock_transport_send (BurdockTransport *transport, BurdockAddress to,
                            const uint8_t *frame, uint32_t length_bytes);

/** burdock_transport_pending_count() - number of connections with unwritten frames */
uint32_t burdock_transport_pending_count (const BurdockTransport *transport);

#endif
