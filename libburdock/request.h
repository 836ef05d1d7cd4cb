/**
 * DOC: request.h - table of the open requests of one dispatcher
 */
#ifndef BURDOCK_REQUEST_H
#define BURDOCK_REQUEST_H

#include "claims.h"
#include "snapshot.h"

#define BURDOCK_PREFIX_BLOCKS_MAX 16
#define BURDOCK_TRIED_MAX 4

/* Largest answer of a model. Its text is kept until the answer is complete, to be resumed
 * at another upstream, and for a caller that does not read a stream. */
#define BURDOCK_ANSWER_MAX_BYTES (8u << 20)

/* Text of the answers to all open requests together. It is kept in up to two buffers,
 * each of up to twice its length, and an instance has 160 MB or more. */
#define BURDOCK_ANSWERS_MAX_BYTES (16u << 20)

typedef enum {
  BURDOCK_REQUEST_WAITING = 1, /* for capacity, a share, a backoff or a generation */
  BURDOCK_REQUEST_CLAIMING,    /* waits for the store to confirm the claim of its key */
  BURDOCK_REQUEST_RUNNING,     /* an attempt was sent to an agent and has not ended */
  BURDOCK_REQUEST_RELEASING,   /* refused; answered when its claim has been released */
} BurdockRequestPhase;

typedef struct BurdockAdmissionWorkspace BurdockAdmissionWorkspace;
typedef struct BurdockAdmissionPool BurdockAdmissionPool;

/**
 * struct BurdockRequestState - an open request
 * @request: copy of the request; its body points to @body
 * @id: starts at a random number in each shard, so that ids of the shards of a process
 *   are distinct with overwhelming probability
 * @body: owned copy of the request body
 * @delivered: text of the tokens delivered so far, kept for idempotent requests so that
 *   a stream can be resumed at another agent
 * @arrived_us: time of submission
 * @not_before_us: end of the backoff before the next attempt
 * @wanted_generation: generation needed by the agent that refused the last attempt
 * @attempt: number of the attempt in progress, or of the last one
 * @next_index: index of the next token to deliver
 * @answer_bytes: text of all tokens delivered so far
 * @may_have_run: an attempt was sent and there is no proof that it did not run
 * @admitted: counted as running by admission
 * @claim: claim of the key while it is pending or held, otherwise NULL
 * @refusal: reason of the refusal, set in phase RELEASING
 * @refusal_ran: what is known about the execution of a refused request
 * @agent_address: agent of the attempt in progress or of the last one; port 0 before
 * @started_us: time at which the first attempt was sent, 0 before
 * @last_progress_us: time of the last token, or of the start of the attempt
 * @tried: ids of the last agents that failed this request
 * @prefixes: hashes of ever longer prefixes of the prompt
 * @queue_previous: with @queue_next, neighbours in the queue of @pool while @queued
 * @previous: with @next, neighbours in the list of all open requests
 *
 * All times are in microseconds on the now_us clock.
 */
typedef struct BurdockRequestState BurdockRequestState;
struct BurdockRequestState {
  BurdockRequest request;
  uint64_t id;
  uint8_t *body;
  uint8_t *delivered;
  uint32_t delivered_bytes;
  uint32_t delivered_allocated;
  BurdockPriority priority;
  BurdockRequestPhase phase;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t not_before_us;
  uint64_t wanted_generation;
  uint32_t attempt;
  uint32_t next_index;
  uint32_t answer_bytes;
  bool may_have_run;
  bool admitted;
  BurdockClaim *claim;
  BurdockReason refusal;
  BurdockRan refusal_ran;

  BurdockAddress agent_address;
  uint64_t agent_id;
  uint64_t agent_incarnation;
  uint64_t started_us;
  uint64_t last_progress_us;
  uint32_t tried_count;
  uint64_t tried[BURDOCK_TRIED_MAX];

  uint32_t prefix_count;
  uint64_t prefixes[BURDOCK_PREFIX_BLOCKS_MAX];
  BurdockAdmissionWorkspace *workspace;
  BurdockAdmissionPool *pool;
  bool queued;
  BurdockRequestState *queue_previous;
  BurdockRequestState *queue_next;
  BurdockRequestState *previous;
  BurdockRequestState *next;
};

typedef struct BurdockRequests BurdockRequests;

/** burdock_requests_new() - empty table; ids are assigned from @first_id upwards */
BurdockRequests *burdock_requests_new (uint64_t first_id);
void burdock_requests_free (BurdockRequests *requests);

/**
 * burdock_requests_add() - adds a copy of @request, body included, in phase WAITING
 * The handle of @request must not be in use. The table owns the result.
 */
BurdockRequestState *burdock_requests_add (BurdockRequests *requests,
                                           const BurdockRequest *request,
                                           uint64_t now_us);

/** burdock_requests_remove() - removes and frees @state */
void burdock_requests_remove (BurdockRequests *requests, BurdockRequestState *state);

/** burdock_requests_find() - request with the internal @id, or NULL */
BurdockRequestState *burdock_requests_find (const BurdockRequests *requests, uint64_t id);

/** burdock_requests_find_handle() - request with the @handle of its submitter, or NULL */
BurdockRequestState *burdock_requests_find_handle (const BurdockRequests *requests,
                                                   uint64_t handle);

/** burdock_requests_first() - newest request, or NULL; continue with its @next */
BurdockRequestState *burdock_requests_first (const BurdockRequests *requests);
uint32_t burdock_requests_count (const BurdockRequests *requests);

/** burdock_requests_answers_bytes() - text of the answers to all requests of the table */
uint32_t burdock_requests_answers_bytes (const BurdockRequests *requests);

/** burdock_requests_largest_answer() - request with the most text among those that have
 * not been refused, or NULL */
BurdockRequestState *burdock_requests_largest_answer (const BurdockRequests *requests);

/** burdock_requests_add_answer() - counts the text of a token; appends it to @delivered
 * if the request is idempotent */
void burdock_requests_add_answer (BurdockRequests *requests, BurdockRequestState *state,
                                  BurdockBytes text);

#endif
