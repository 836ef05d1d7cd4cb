/**
 * DOC: request-work.h - how much longer than usual a request is expected to run
 *
 * Compares the tokens of a request with those of the others of its route lately. What
 * callers say of the length of an answer is right in the median and often far off, so the
 * result is bounded: a wrong statement makes one estimate wrong and breaks nothing else.
 * It performs no I/O.
 */
#ifndef BURDOCK_REQUEST_WORK_H
#define BURDOCK_REQUEST_WORK_H

#include <stdint.h>

#define BURDOCK_WORK_ROUTES 256

/**
 * struct BurdockRequestTokens - tokens of a request, as its caller states them
 * @answer_max: largest number of answer tokens, 0 if the caller states none
 * @answer_hint: expected number of answer tokens, 0 if the caller states none
 */
typedef struct {
  uint32_t prompt;
  uint32_t answer_max;
  uint32_t answer_hint;
} BurdockRequestTokens;

/** struct BurdockRequestWork - typical work of the requests of each route;
 * zero-initialised. Routes that share an entry replace each other. */
typedef struct {
  struct {
    uint64_t route; /* hash of its name */
    uint32_t count;
    double log_mean;
  } routes[BURDOCK_WORK_ROUTES];
} BurdockRequestWork;

/** burdock_request_work_record() - a request of @route was received */
void burdock_request_work_record (BurdockRequestWork *work, const char *route,
                                  const BurdockRequestTokens *tokens);

/**
 * burdock_request_work_ratio() - work of a request, as a multiple of that of a typical
 * one
 *
 * 1 if it is not known.
 */
double burdock_request_work_ratio (const BurdockRequestWork *work, const char *route,
                                   const BurdockRequestTokens *tokens);

#endif
