/**
 * DOC: attempts.h - running attempts of an agent and tombstones of those that ended
 *
 * An attempt is identified by the incarnation of the entry, the request id and the
 * attempt number, and starts at most once. When it ends it becomes a tombstone, by which
 * duplicate frames are recognised. Tombstones are limited in age and number. Evicting one
 * raises a watermark: a frame sent no later than the latest evicted attempt may be a
 * duplicate of it and must not start an attempt.
 */
#ifndef BURDOCK_ATTEMPTS_H
#define BURDOCK_ATTEMPTS_H

#include "burdock.h"

typedef struct {
  uint64_t entry_incarnation;
  uint64_t request_id;
  uint64_t attempt;
} BurdockAttemptId;

typedef enum {
  BURDOCK_ATTEMPT_RUNNING = 1,
  BURDOCK_ATTEMPT_REFUSED,
  BURDOCK_ATTEMPT_ENDED,
} BurdockAttemptState;

/**
 * struct BurdockAttempt - attempt or tombstone
 * @engine_id: id of the engine call
 * @hlc: hybrid logical time of the frame that created it, set by the sender
 * @from: address that the outcome is sent to
 * @cancelled: a cancel has been sent to the engine
 * @resume_from: index of the first token of this attempt
 * @next_index: index of the next token from the engine
 * @deadline_us: when the engine call is cancelled; after a cancel, when the attempt ends
 *   without a confirmation by the engine
 * @last_token_us: time of the last token, 0 before the first
 * @reason: for REFUSED, reason of the refusal
 * @generation: for REFUSED, generation that the agent has
 * @status: for ENDED, status of the answer
 * @body: for ENDED, answer of a call that must not run again, resent when its frame is
 *   repeated; NULL if there is none or it was too large to keep
 */
typedef struct BurdockAttempt BurdockAttempt;
struct BurdockAttempt {
  BurdockAttemptId id;
  uint64_t engine_id;
  uint64_t hlc;
  BurdockAddress from;
  BurdockAttemptState state;
  bool service;
  bool idempotent;
  bool cancelled;
  uint32_t resume_from;
  uint32_t next_index;
  uint64_t deadline_us;
  uint64_t last_token_us;
  uint64_t ended_us;
  BurdockReason reason;
  uint64_t generation;
  int32_t status;
  BurdockRan ran;
  uint32_t token_count;
  uint8_t *body;
  uint32_t body_bytes;
  BurdockAttempt *previous;
  BurdockAttempt *next;
};

typedef struct BurdockAttempts BurdockAttempts;

/**
 * burdock_attempts_new() - empty table
 * @tombstone_limit: tombstones kept; above this the oldest is evicted
 * @retention_us: time after its end for which a tombstone is kept
 */
BurdockAttempts *burdock_attempts_new (uint32_t tombstone_limit, uint64_t retention_us);
void burdock_attempts_free (BurdockAttempts *attempts);

/** burdock_attempts_find() - attempt or tombstone with @id, or NULL */
BurdockAttempt *burdock_attempts_find (BurdockAttempts *attempts,
                                       const BurdockAttemptId *id);

/** burdock_attempts_find_by_engine_id() - running attempt with @engine_id, or NULL */
BurdockAttempt *burdock_attempts_find_by_engine_id (BurdockAttempts *attempts,
                                                    uint64_t engine_id);

/**
 * burdock_attempts_may_be_duplicate() - whether a frame may repeat an evicted attempt
 * @hlc: hybrid logical time of the frame
 * Call it only if burdock_attempts_find() finds no attempt of the same id.
 */
bool burdock_attempts_may_be_duplicate (const BurdockAttempts *attempts, uint64_t hlc);

/**
 * burdock_attempts_add() - adds a running attempt with a new engine id
 * @id must not be in the table. The table owns the result.
 */
BurdockAttempt *burdock_attempts_add (BurdockAttempts *attempts,
                                      const BurdockAttemptId *id, uint64_t hlc);

/**
 * burdock_attempts_end() - turns a running attempt into a tombstone
 * @state: BURDOCK_ATTEMPT_REFUSED or BURDOCK_ATTEMPT_ENDED
 *
 * Evicts and frees the oldest tombstone if there are too many.
 */
void burdock_attempts_end (BurdockAttempts *attempts, BurdockAttempt *attempt,
                           BurdockAttemptState state, uint64_t now_us);

/** burdock_attempts_expire() - evicts the tombstones whose retention time is over */
void burdock_attempts_expire (BurdockAttempts *attempts, uint64_t now_us);

/** burdock_attempts_running_count() - number of running attempts */
uint32_t burdock_attempts_running_count (const BurdockAttempts *attempts);

/** burdock_attempts_first_running() - oldest running attempt, or NULL; continue with its
 * @next */
BurdockAttempt *burdock_attempts_first_running (BurdockAttempts *attempts);

#endif
