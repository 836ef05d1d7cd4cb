/**
 * DOC: datagram.h - messages over UDP on the event loop of one thread
 *
 * For messages that the sender repeats until it sees their effect: a lost datagram is
 * harmless, and there is no connection that could stall without an error.
 */
#ifndef BURDOCK_DATAGRAM_H
#define BURDOCK_DATAGRAM_H

#include "loop.h"
#include "message.h"

/* Largest payload of a UDP datagram over IPv4. */
#define BURDOCK_DATAGRAM_MAX_BYTES 65507

typedef struct BurdockDatagramSocket BurdockDatagramSocket;

/** typedef BurdockDatagramReceive - received message, valid during the call */
typedef void (*BurdockDatagramReceive) (void *ctx, BurdockAddress from,
                                        const BurdockMessage *message);

/** burdock_datagram_socket_new() - opens a UDP socket bound to @local; NULL on failure */
BurdockDatagramSocket *burdock_datagram_socket_new (BurdockLoop *loop,
                                                    BurdockAddress local,
                                                    BurdockDatagramReceive receive,
                                                    void *ctx);
void burdock_datagram_socket_free (BurdockDatagramSocket *udp);

/**
 * burdock_datagram_socket_send() - encodes and sends @message to each address
 * Does not block. Returns 0, or the error of the encoder or of the last send that failed.
 * A result of 0 does not mean delivery: the caller repeats the message in any case.
 */
int burdock_datagram_socket_send (BurdockDatagramSocket *udp,
                                  const BurdockMessage *message, const BurdockAddress *to,
                                  uint32_t count);

#endif
