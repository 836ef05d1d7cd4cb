/**
 * DOC: dispatcher-private.h - state shared by dispatcher.c and dispatch.c
 *
 * dispatcher.c handles submissions, frames and time; dispatch.c sends attempts, retries
 * them and delivers the outcome.
 */
#ifndef BURDOCK_DISPATCHER_PRIVATE_H
#define BURDOCK_DISPATCHER_PRIVATE_H

#include "endpoint.h"
#include "admission.h"
#include "outcomes.h"
#include "router.h"
#include "stop-policy.h"

/**
 * struct BurdockDispatcher - state of a dispatcher
 * @stop: planned stop of the process
 * @release_limit_us: time at which refused requests are answered although the claim is
 *   not released yet; UINT64_MAX until the requests are given up
 */
struct BurdockDispatcher {
  BurdockEndpoint endpoint;
  BurdockSnapshot *snapshot;
  BurdockRequests *requests;
  BurdockClaims *claims;
  BurdockOutcomes *outcomes;
  BurdockAdmission *admission;
  BurdockRouter *router;
  BurdockStopPolicy stop;
  uint64_t release_limit_us;
};

/* Outcomes; each function removes and frees the request, some after a store call. */

/** burdock_dispatch_answer() - delivers the end of a complete answer */
void burdock_dispatch_answer (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                              BurdockBytes body);

/**
 * burdock_dispatch_refuse() - ends a request without a complete answer
 * Delivers BROKEN if the caller has received tokens, REFUSED otherwise. The attempts made
 * so far determine whether it is reported as not run or as unknown. If the request has
 * not run and holds its claim, the claim is released first and the delivery follows.
 */
void burdock_dispatch_refuse (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                              BurdockReason reason);

/** burdock_dispatch_deliver_refusal() - delivers the outcome of a request in phase
 * RELEASING, whose claim need not be released yet */
void burdock_dispatch_deliver_refusal (BurdockDispatcher *dispatcher,
                                       BurdockRequestState *state);

/** burdock_dispatch_end_answer() - ends a request whose answer takes too much memory
 * @why: limit that was reached, for the time line
 */
void burdock_dispatch_end_answer (BurdockDispatcher *dispatcher,
                                  BurdockRequestState *state, const char *why);

/** burdock_dispatch_drop() - ends a request whose caller disconnected; no delivery */
void burdock_dispatch_drop (BurdockDispatcher *dispatcher, BurdockRequestState *state);

/* Attempts */

/** burdock_dispatch_queued() - starts every queued request that can start now */
void burdock_dispatch_queued (BurdockDispatcher *dispatcher);

/**
 * burdock_dispatch_attempt_failed() - handles an attempt that ended without an answer
 * @not_run: whether it is proven that the attempt has not run and will not run
 *
 * Queues the request for a retry, or ends it with @reason. An attempt that may have run
 * is retried only if the request is idempotent.
 */
void burdock_dispatch_attempt_failed (BurdockDispatcher *dispatcher,
                                      BurdockRequestState *state, BurdockReason reason,
                                      bool not_run);

/** burdock_dispatch_cancel_attempt() - sends a cancel for the attempt in progress */
void burdock_dispatch_cancel_attempt (BurdockDispatcher *dispatcher,
                                      const BurdockRequestState *state);

/** burdock_dispatch_claim_done() - &BurdockClaimDone of the dispatcher */
void burdock_dispatch_claim_done (void *ctx, uint64_t request_id,
                                  BurdockClaimOutcome outcome);

#endif
