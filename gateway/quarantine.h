/**
 * DOC: quarantine.h - quarantine of prompt parts: callbacks, heartbeats, stored rows
 *
 * The quarantine itself belongs to the traffic thread, the rows to the control thread.
 */
#ifndef BURDOCK_GATEWAY_QUARANTINE_H
#define BURDOCK_GATEWAY_QUARANTINE_H

#include "gateway.h"
#include "row-writer.h"

#define BURDOCK_QUARANTINE_TABLE "burdock-quarantine"

/** burdock_gateway_quarantine_init() - creates the quarantine of the traffic thread;
 * returns 0 or -ENOMEM */
int burdock_gateway_quarantine_init (BurdockGateway *gateway);

/** burdock_gateway_quarantine_tick() - checks upstreams whose connections ended; returns
 * the time of the next call */
uint64_t burdock_gateway_quarantine_tick (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_quarantine_share() - sends evidence to the other gateways
 * @due: a heartbeat is being sent; otherwise only news are sent */
void burdock_gateway_quarantine_share (BurdockGateway *gateway, bool due,
                                       uint64_t now_us);

/** burdock_gateway_quarantine_store_again() - stores all evidence again, after the store
 * has returned from a copy; on the traffic thread */
void burdock_gateway_quarantine_store_again (void *ctx);

/** burdock_gateway_quarantine_begin() - a listing of the stored rows starts; on the
 * control thread */
void burdock_gateway_quarantine_begin (void *ctx, uint64_t era);

/** burdock_gateway_quarantine_clear() - releases what was read of the stored rows; on the
 * control thread */
void burdock_gateway_quarantine_clear (BurdockGateway *gateway);

/** burdock_gateway_quarantine_row() - handles a stored row; on the control thread;
 * returns why it is ignored, for the log, or NULL */
const char *burdock_gateway_quarantine_row (void *ctx, const BurdockTableRow *row);

/** burdock_gateway_quarantine_listed() - all stored rows were read; on the control
 * thread */
void burdock_gateway_quarantine_listed (void *ctx, bool listing);

#endif
