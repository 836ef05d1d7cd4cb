/**
 * DOC: attempt-policy.h - retry policy: what to do after an attempt has ended
 *
 * Pure functions of the state of the request and of the result of its last attempt.
 */
#ifndef BURDOCK_ATTEMPT_POLICY_H
#define BURDOCK_ATTEMPT_POLICY_H

#include "answer-times.h"
#include "route-table.h"

/** enum BurdockAttemptResult - how an attempt ended */
typedef enum {
  BURDOCK_ATTEMPT_COMPLETE = 1, /* complete answer, with any status */
  BURDOCK_ATTEMPT_ERROR,   /* complete answer that reports an error; the request ran */
  BURDOCK_ATTEMPT_NOT_RUN, /* refused by the upstream, or not sent */
  BURDOCK_ATTEMPT_MISDIRECTED, /* another upstream now has the address; not run */
  BURDOCK_ATTEMPT_LOST,        /* no answer, or an unusable one; may have run */
  BURDOCK_ATTEMPT_TRUNCATED,   /* a stream that ended after some of its events */
} BurdockAttemptResult;

/** enum BurdockAttemptAction - what to do next */
typedef enum {
  BURDOCK_ACTION_FORWARD = 1, /* forward the answer of the upstream to the caller */
  BURDOCK_ACTION_RETRY,       /* send the request to another upstream */
  BURDOCK_ACTION_RESUME,      /* continue the stream at another upstream */
  BURDOCK_ACTION_WAIT,        /* continue the stream at another upstream later */
  BURDOCK_ACTION_REFUSE,      /* report to the caller that the request did not run */
  BURDOCK_ACTION_FAIL,        /* report to the caller that the outcome is unknown */
  BURDOCK_ACTION_ABORT, /* close the caller's connection: a part was already delivered */
} BurdockAttemptAction;

/**
 * struct BurdockAttemptContext - state of a request after an attempt
 * @route: route of the request, with its kind and its limit of attempts
 * @result: how the last attempt ended
 * @run_count: attempts that may have run, including the last one
 * @send_count: all attempts, including those that did not run
 * @answer_started: the caller has received a part of an answer
 * @past_last_id: the caller has received events whose ids cannot be read, so no upstream
 *   can be told where to go on
 * @enough_time: another attempt can end before the deadline
 */
typedef struct {
  const BurdockRoute *route;
  BurdockAttemptResult result;
  uint32_t run_count;
  uint32_t send_count;
  bool answer_started;
  bool past_last_id;
  bool enough_time;
} BurdockAttemptContext;

/**
 * burdock_attempt_next_action() - what to do next with a request
 *
 * The caller must take a retry from the retry budget before it carries out RETRY or
 * RESUME. If the budget is empty, it uses burdock_attempt_final_action() instead.
 */
BurdockAttemptAction burdock_attempt_next_action (const BurdockAttemptContext *state);

/**
 * burdock_attempt_stall_min_us() - time without data before which no attempt is stalled
 * @allowed_us: time that the caller, or the route, allows for the whole answer
 */
uint64_t burdock_attempt_stall_min_us (const BurdockRoute *route, uint64_t allowed_us);

/**
 * burdock_attempt_stall_timeout_us() - time without data after which an attempt is
 * stalled
 * @allowed_us: time that the caller, or the route, allows for the whole answer
 * @estimate: times of whole answers of the route; not used for streams
 *
 * An attempt that is not a stream is stalled if it has taken clearly longer than others
 * take elsewhere. If all upstreams need that long, another attempt would only begin the
 * same work again. At an upstream that works it may be one of the few requests that take
 * longer wherever they run. Streams share the steps of their group, so the times of
 * others say little; their callers leave after a known time without an event.
 */
uint64_t burdock_attempt_stall_timeout_us (const BurdockRoute *route, uint64_t allowed_us,
                                           const BurdockAnswerEstimate *estimate);

/**
 * burdock_attempt_connect_timeout_ms() - limit for opening a connection to an upstream
 * @left_ms: time until the deadline of the request, of which the other half is left for
 *   another upstream
 */
uint32_t burdock_attempt_connect_timeout_ms (uint32_t left_ms);

/**
 * burdock_attempt_silence_us() - time since the last activity of an attempt, 0 if it was
 * sent after @now_us was read
 */
uint64_t burdock_attempt_silence_us (uint64_t now_us, uint64_t last_activity_us);

/**
 * burdock_attempt_has_time() - whether an attempt that begins now ends before the
 * deadline
 * @needed_us: time that the attempt needs, 0 if it is not known
 */
bool burdock_attempt_has_time (uint64_t now_us, uint64_t deadline_us, uint64_t needed_us);

/**
 * burdock_attempt_unpaid_action() - what to do if the retry budget allows no further
 * attempt now
 */
BurdockAttemptAction burdock_attempt_unpaid_action (const BurdockAttemptContext *state);

/** burdock_attempt_final_action() - what to do with a request that is not sent again */
BurdockAttemptAction burdock_attempt_final_action (const BurdockAttemptContext *state);

#endif
