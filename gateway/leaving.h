/**
 * DOC: leaving.h - what a gateway knows of upstreams that leave
 *
 * All functions run on the traffic thread.
 */
#ifndef BURDOCK_GATEWAY_LEAVING_H
#define BURDOCK_GATEWAY_LEAVING_H

#include "gateway.h"

/**
 * burdock_gateway_leaving_apply() - marks the upstreams of a list from the store that
 * have said before that they leave, and notes those that say so in it
 */
void burdock_gateway_leaving_apply (BurdockGateway *gateway, BurdockUpstreamList *list);

/** burdock_gateway_leaving_note() - an answer of @upstream says that it leaves */
void burdock_gateway_leaving_note (BurdockGateway *gateway,
                                   const BurdockUpstream *upstream);

/** burdock_gateway_leaving_merge() - takes over what another gateway knows */
void burdock_gateway_leaving_merge (BurdockGateway *gateway,
                                    const BurdockUpstreamsLeavingMessage *message);

/** burdock_gateway_leaving_tell() - puts what a gateway that has just started has to know
 * into the outgoing message; returns whether there is anything */
bool burdock_gateway_leaving_tell (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_leaving_share() - sends notices to the other gateways when due */
void burdock_gateway_leaving_share (BurdockGateway *gateway, uint64_t now_us);

#endif
