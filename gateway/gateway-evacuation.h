/**
 * DOC: gateway-evacuation.h - evacuated failure domains: rows of the store, exchange with
 * the other gateways, effect
 *
 * The traffic thread keeps the set; the control thread hands the rows over to it.
 */
#ifndef BURDOCK_GATEWAY_EVACUATION_H
#define BURDOCK_GATEWAY_EVACUATION_H

#include "gateway.h"

#include <jansson.h>

/** burdock_gateway_evacuation_begin(), burdock_gateway_evacuation_row(),
 * burdock_gateway_evacuation_end() - see &BurdockTableHandler, for the table of the
 * configuration; rows about something else are ignored */
void burdock_gateway_evacuation_begin (BurdockGateway *gateway, uint64_t era);
const char *burdock_gateway_evacuation_row (BurdockGateway *gateway,
                                            const BurdockTableRow *row);
void burdock_gateway_evacuation_end (BurdockGateway *gateway, bool listing);

/** burdock_gateway_evacuation_clear() - releases an answer of the store that was not read
 * to its end; runs on the control thread */
void burdock_gateway_evacuation_clear (BurdockGateway *gateway);

/** burdock_gateway_evacuation_check() - calls the store again if another gateway has read
 * a later change for a while; runs on the control thread, returns the time of the next
 * call */
uint64_t burdock_gateway_evacuation_check (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_evacuation_take_over() - takes over the list that another gateway has
 * encoded, NULL for none; runs on the control thread */
void burdock_gateway_evacuation_take_over (BurdockGateway *gateway, const json_t *list);

/** burdock_gateway_evacuation_encode() - list of all statements, for another gateway that
 * starts; NULL without memory. The following functions run on the traffic thread */
json_t *burdock_gateway_evacuation_encode (const BurdockGatewayTraffic *traffic);

/** burdock_gateway_evacuation_init() - sets up @evacuation of the traffic state, NULL
 * without memory */
void burdock_gateway_evacuation_init (BurdockGateway *gateway);

/** burdock_gateway_evacuation_merge() - takes over a message of another gateway; returns
 * whether this gateway has to tell it what it does not know yet */
bool burdock_gateway_evacuation_merge (BurdockGateway *gateway,
                                       const BurdockMessage *message);

/** burdock_gateway_evacuation_tell() - puts all statements into the outgoing message;
 * returns whether there are any */
bool burdock_gateway_evacuation_tell (BurdockGateway *gateway);

/** burdock_gateway_evacuation_share() - sends them to the other gateways when due */
void burdock_gateway_evacuation_share (BurdockGateway *gateway, uint64_t now_us);

#endif
