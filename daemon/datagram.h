/**
 * DOC: datagram.h - frames over UDP on the loop of one thread
 *
 * For messages that are repeated until their effect is seen, so that losses are harmless
 * and no connection can go silent.
 */
#ifndef BURDOCK_DATAGRAM_H
#define BURDOCK_DATAGRAM_H

#include "loop.h"
#include "message.h"

/* Largest payload of a UDP datagram over IPv4. */
#define BURDOCK_DATAGRAM_MAX_BYTES 65507

typedef struct BurdockDatagrams BurdockDatagrams;

/** typedef BurdockDatagramReceive - @message is valid during the call */
typedef void (*BurdockDatagramReceive) (void *ctx, BurdockAddress from,
                                        const BurdockMessage *message);

/** burdock_datagrams_new() - binds @local; returns NULL if that fails */
BurdockDatagrams *burdock_datagrams_new (BurdockLoop *loop, BurdockAddress local,
                                         BurdockDatagramReceive receive, void *ctx);
void burdock_datagrams_free (BurdockDatagrams *datagrams);

/**
 * burdock_datagrams_send() - encodes and sends @message to each address
 * Returns 0, or the error of the encoder or of the last send that failed; the message is
 * to be repeated in any case.
 */
int burdock_datagrams_send (BurdockDatagrams *datagrams, const BurdockMessage *message,
                            const BurdockAddress *to, uint32_t count);

#endif
