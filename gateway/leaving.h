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

#endif
