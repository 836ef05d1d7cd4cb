/**
 * DOC: forward.h - one request of a caller on its way through the gateway
 */
#ifndef BURDOCK_FORWARD_H
#define BURDOCK_FORWARD_H

#include "event-stream.h"
#include "exchange.h"
#include "gateway.h"

/** enum BurdockForwardPhase - where a request is */
typedef enum {
  BURDOCK_FORWARD_WAITING = 1, /* with the balancer */
  BURDOCK_FORWARD_SENT,        /* at an upstream */
  BURDOCK_FORWARD_DONE,        /* its final answer is with the HTTP server */
} BurdockForwardPhase;

/**
 * struct BurdockForward - request with its attempts
 * @ran: attempts that may have run
 * @sent: attempts in all
 * @upstream: upstream of the attempt in progress or of the last one
 * @form: form of the answer, 0 before its headers
 * @last_event_us: time of the last event
 * @last_sign_us: time of the last event of the attempt, or of its start
 * @outcome: last step, for the log
 */
struct BurdockForward {
  BurdockForward *next;
  BurdockForward *previous;
  BurdockGateway *gateway;
  BurdockHttpRequest *http;
  BurdockRouteTable *table;
  const BurdockRoute *route;
  const BurdockPool *pool;
  const char *workspace;
  BurdockCallerRequest call;
  BurdockPlacement placement;
  BurdockForwardPhase phase;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint32_t ran;
  uint32_t sent;
  BurdockUpstream upstream;
  BurdockHttpTransfer *transfer;
  BurdockHeaderLines lines;
  BurdockAnswerKind form;
  int32_t http_status;
  bool answer_started;
  bool sent_any; /* a part of the last attempt reached its upstream */
  uint32_t attempt_events;
  BurdockReason reason;
  BurdockEventStream events;
  uint64_t sent_us;
  uint64_t first_event_us;
  uint64_t last_event_us;
  uint64_t last_sign_us;
  uint64_t longest_pause_us;
  char *body;
  uint32_t body_bytes;
  uint32_t body_capacity_bytes;
  uint32_t answered_status;
  const char *outcome;
};

/** burdock_forward_send() - sends the request to the upstream it was placed at */
void burdock_forward_send (BurdockForward *forward);

/** burdock_forward_cancel() - ends the attempt in progress, if there is one */
void burdock_forward_cancel (BurdockForward *forward, BurdockUpstreamOutcome outcome);

/** burdock_forward_ended() - an attempt has ended with @result */
void burdock_forward_ended (BurdockForward *forward, BurdockAttemptResult result,
                            BurdockUpstreamOutcome outcome);

#endif
