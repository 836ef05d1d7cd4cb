/**
 * DOC: cold.h - cold upstreams: what configuration and answers say of them, and the log
 */
#ifndef BURDOCK_GATEWAY_COLD_H
#define BURDOCK_GATEWAY_COLD_H

#include "exchange.h"
#include "gateway.h"

/** burdock_gateway_cold_apply() - applies what the configuration in force says */
void burdock_gateway_cold_apply (BurdockGateway *gateway);

/** burdock_gateway_cold_record_answer() - reads in an answer of @upstream how long it is
 * still cold */
void burdock_gateway_cold_record_answer (BurdockGateway *gateway, uint64_t upstream,
                                         BurdockHttpTransfer *transfer);

/** burdock_gateway_cold_changed() - see &BurdockBalancerHandler */
void burdock_gateway_cold_changed (void *ctx, const BurdockUpstream *upstream,
                                   uint32_t left_ms, double per_s);

#endif
