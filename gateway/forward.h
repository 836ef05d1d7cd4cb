/**
 * DOC: forward.h - forwarding of one caller's request to upstreams
 */
#ifndef BURDOCK_FORWARD_H
#define BURDOCK_FORWARD_H

#include "event-stream.h"
#include "exchange.h"
#include "gateway.h"

/* Delay that is suggested to callers unless the balancer computed one; a new process gets
 * its configuration within about this time. */
#define BURDOCK_RETRY_AFTER_DEFAULT_MS 1000

/** enum BurdockForwardPhase - progress of a request; the value is logged */
typedef enum {
  BURDOCK_FORWARD_WAITING = 1, /* queued by the balancer */
  BURDOCK_FORWARD_SENT,        /* sent to an upstream */
  BURDOCK_FORWARD_CHECKING,    /* waits to know whether its upstream has ended */
  BURDOCK_FORWARD_RESUMING,    /* a stream that waits before it is queued again */
  BURDOCK_FORWARD_DONE,        /* its final answer was passed to the HTTP server */
} BurdockForwardPhase;

/**
 * struct BurdockForward - a request being forwarded, and its current attempt
 * @http_request: the caller's request; valid until burdock_forward_closed()
 * @table: route table that @route and @pool belong to; holds a reference
 * @workspace: workspace of the caller's API key, or NULL
 * @digest: tells the request when it comes again, see burdock_request_digest()
 * @run_count: attempts that may have run
 * @send_count: all attempts
 * @upstream: upstream of the current or last attempt
 * @transfer: HTTP transfer of the current attempt, NULL between attempts
 * @answer_kind: kind of the attempt's answer, 0 before its headers were received
 * @http_status: HTTP status of the attempt's answer, 0 before its headers were received
 * @answer_started: a part of a stream was passed to the HTTP server
 * @caller_lost: the HTTP server has refused a part of the stream and ends the request
 * @attempt_broke: the connection of the last attempt ended between the head of its answer
 *   and the first event
 * @check_until_us: time at which a request that waits for the check of its upstream is
 *   retried
 * @resume_at_us: time at which a stream that waits is queued again
 * @retry_paid: the next attempt is paid for from the retry budget
 * @reading_paused: nothing is read from the upstream until the caller has read more
 * @pause_began_us: start of the current pause
 * @paused_us: time of all pauses before it
 * @attempt_event_count: events of the current attempt that were delivered
 * @reason: why the request was not placed
 * @retry_after_ms: delay that was suggested to its caller, 0 for none
 * @upstream_version: version of the last change of the upstreams that was known when the
 *   current or last attempt was sent
 * @sent_us: start of the current or last attempt
 * @first_event_us: time of the first event, 0 before it
 * @last_event_us: time of the last event
 * @last_activity_us: time of the last event of the attempt with a new id, or of its start
 * @last_activity_id: highest id of the events delivered when the last one was
 * @longest_gap_us: longest time between two events of the same attempt
 * @body: body of an answer that is not a stream; complete before it is delivered
 * @final_status: HTTP status sent to the caller, 0 before the answer
 * @outcome: how the request ended, for the log; NULL before the end
 */
struct BurdockForward {
  BurdockForward *next;
  BurdockForward *previous;
  BurdockGateway *gateway;
  BurdockHttpRequest *http_request;
  BurdockRouteTable *table;
  const BurdockRoute *route;
  const BurdockPool *pool;
  const char *workspace;
  BurdockCallerRequest caller;
  uint64_t digest;
  BurdockPlacement placement;
  BurdockForwardPhase phase;
  uint64_t received_us;
  uint64_t deadline_us;
  uint32_t run_count;
  uint32_t send_count;
  BurdockUpstream upstream;
  BurdockHttpTransfer *transfer;
  BurdockHeaderLines headers;
  BurdockAnswerKind answer_kind;
  int32_t http_status;
  bool answer_started;
  bool caller_lost;
  bool attempt_sent; /* a part of the last attempt may have reached its upstream */
  bool attempt_broke;
  uint64_t check_until_us;
  uint64_t resume_at_us;
  bool retry_paid;
  bool reading_paused;
  uint64_t pause_began_us;
  uint64_t paused_us;
  uint32_t attempt_event_count;
  BurdockReason reason;
  uint32_t retry_after_ms;
  BurdockEventStream event_stream;
  uint64_t upstream_version;
  uint64_t sent_us;
  uint64_t first_event_us;
  uint64_t last_event_us;
  uint64_t last_activity_us;
  BurdockOptional last_activity_id;
  uint64_t longest_gap_us;
  char *body;
  uint32_t body_bytes;
  uint32_t body_capacity_bytes;
  uint32_t final_status;
  const char *outcome;
};

/**
 * burdock_forward_answer_error() - answers a request with an error of the gateway
 * @text: body, JSON
 * @retry_after_ms: delay that is suggested to the caller, 0 for none
 */
void burdock_forward_answer_error (BurdockHttpRequest *request, uint32_t status,
                                   const char *text, uint32_t retry_after_ms);

/** burdock_forward_retry_after_stop_ms() - delay to suggest to callers that are refused
 * in a planned stop */
uint32_t burdock_forward_retry_after_stop_ms (const BurdockGateway *gateway);

/** burdock_forward_set_times() - works out what the caller has left, and what the request
 * needs, for its next attempt */
void burdock_forward_set_times (BurdockForward *forward, uint64_t now_us);

/** burdock_forward_refuse_quarantined() - ends a request whose prompt crashes upstreams
 * and that no upstream runs */
void burdock_forward_refuse_quarantined (BurdockForward *forward,
                                         uint32_t retry_after_ms);

/** burdock_forward_send() - starts an attempt at @forward->upstream; its end, or a
 * failure to start it, leads to burdock_forward_attempt_ended() */
void burdock_forward_send (BurdockForward *forward);

/** burdock_forward_read_on() - ends a pause of an attempt if its caller has read enough;
 * the attempt may end */
void burdock_forward_read_on (BurdockForward *forward, uint64_t now_us);

/** burdock_forward_paused_us() - time in which nothing was read because of the caller */
uint64_t burdock_forward_paused_us (const BurdockForward *forward, uint64_t now_us);

/** burdock_forward_cancel() - cancels the current attempt, if there is one, and reports
 * @outcome to the balancer */
void burdock_forward_cancel (BurdockForward *forward, BurdockUpstreamOutcome outcome);

/**
 * burdock_forward_attempt_ended() - delivers the answer, retries, or ends the request
 * @result: how the attempt ended
 * @outcome: outcome to report to the balancer
 */
void burdock_forward_attempt_ended (BurdockForward *forward, BurdockAttemptResult result,
                                    BurdockUpstreamOutcome outcome);

#endif
