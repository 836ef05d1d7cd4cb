/**
 * DOC: handover.h - state that a gateway takes over from another one
 *
 * A store that has just returned from a copy lacks what gateways have read before. A
 * gateway that starts then asks one that is ready for its configuration and for the
 * upstreams that it knows to have gone, and is not ready before; one whose configuration
 * is behind that of another gateway for a while asks that one as well.
 *
 * Gateways ask each other over HTTP at the control address. Only addresses from which
 * heartbeats are received get an answer, as a configuration contains API keys.
 */
#ifndef BURDOCK_GATEWAY_HANDOVER_H
#define BURDOCK_GATEWAY_HANDOVER_H

#include "gateway.h"

/** burdock_gateway_handover_answer() - answers a request of another gateway; on the
 * traffic thread */
void burdock_gateway_handover_answer (void *ctx, BurdockHttpRequest *request);

/** burdock_gateway_handover_tick() - takes over state while the gateway starts; on the
 * control thread. Returns the time of the next call */
uint64_t burdock_gateway_handover_tick (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_handover_ask() - asks the gateway with the newest configuration,
 * unless a call is in progress; on the control thread */
void burdock_gateway_handover_ask (BurdockGateway *gateway, uint64_t now_us);

/** burdock_gateway_handover_clear() - cancels a call in progress */
void burdock_gateway_handover_clear (BurdockGateway *gateway);

#endif
