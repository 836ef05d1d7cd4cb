/**
 * DOC: answer-times.h - how long the upstreams of a route have lately needed for an
 * answer, or for its first part
 *
 * Shows whether a request that has no answer yet would have one by now elsewhere, and how
 * much time another attempt needs. It performs no I/O. The answers of the upstream that
 * has the request do not count: if it is slow, they say nothing about the others.
 */
#ifndef BURDOCK_ANSWER_TIMES_H
#define BURDOCK_ANSWER_TIMES_H

#include <stdint.h>

typedef struct BurdockAnswerTimes BurdockAnswerTimes;

/**
 * struct BurdockAnswerEstimate - times from the start of an attempt to its whole answer
 * @typical_us: median, 0 if too few answers are known
 * @long_us: time within which most answers come, 0 if it is not known
 * @needed_us: time that another attempt should have; longer than @long_us while only few
 *   answers are known, which are likely to be the short ones
 * @longest_us: longest of all lately if the upstream of the attempt works, as it has
 *   answered a request that it got later; otherwise 0
 */
typedef struct {
  uint64_t typical_us;
  uint64_t long_us;
  uint64_t needed_us;
  uint64_t longest_us;
} BurdockAnswerEstimate;

/** burdock_answer_times_new() - returns NULL if memory runs out */
BurdockAnswerTimes *burdock_answer_times_new (void);

/** burdock_answer_times_free() - accepts NULL */
void burdock_answer_times_free (BurdockAnswerTimes *times);

/** burdock_answer_times_record() - @upstream gave a whole answer @elapsed_us after the
 * start of the attempt */
void burdock_answer_times_record (BurdockAnswerTimes *times, const char *route,
                                  uint64_t upstream, uint64_t elapsed_us,
                                  uint64_t now_us);

/**
 * burdock_answer_times_note_wait() - an attempt at @upstream is late
 *
 * To be called for each of them before the estimates of a time @now_us. Used while the
 * route has few answers: at a start all of the first ones are short, as the others still
 * run.
 */
void burdock_answer_times_note_wait (BurdockAnswerTimes *times, const char *route,
                                     uint64_t upstream, uint64_t now_us);

/**
 * burdock_answer_times_estimate() - times of the upstreams of a route other than
 * @upstream
 * @sent_us: start of the attempt at @upstream
 */
BurdockAnswerEstimate burdock_answer_times_estimate (BurdockAnswerTimes *times,
                                                     const char *route, uint64_t upstream,
                                                     uint64_t sent_us, uint64_t now_us);

/** burdock_answer_times_typical_us() - median of all upstreams of a route, 0 if too few
 * answers are known */
uint64_t burdock_answer_times_typical_us (const BurdockAnswerTimes *times,
                                          const char *route, uint64_t now_us);

#endif
