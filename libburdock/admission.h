/**
 * DOC: admission.h - admission control, queues and retry budget of one dispatcher
 *
 * Admission limits concurrency: a request starts when its workspace runs fewer requests
 * than its share and the router finds an upstream with free capacity. Until then it waits
 * in the queue of its pool, ordered by priority and then by arrival. A request that,
 * according to the observed service times, is unlikely to end before its deadline is
 * refused before it starts, as a request that is cancelled halfway takes capacity from
 * requests that would end in time.
 */
#ifndef BURDOCK_ADMISSION_H
#define BURDOCK_ADMISSION_H

#include "request.h"

/**
 * struct BurdockAdmissionWorkspace - usage of a workspace at this entry
 * @references: requests that refer to the workspace, including those that wait for a
 *   release; the workspace is freed with the last one
 * @share: maximum number of running requests
 */
struct BurdockAdmissionWorkspace {
  char name[BURDOCK_NAME_BYTES];
  uint32_t references;
  uint32_t running;
  uint32_t waiting;
  uint32_t share;
};

typedef struct {
  uint32_t count;
  BurdockRequestState *first;
  BurdockRequestState *last;
} BurdockAdmissionQueue;

/**
 * struct BurdockAdmissionPool - queue and service times of a pool
 * @queue_limit: maximum number of queued requests
 * @service_time_us: moving average of the time from start to end
 * @service_time_p90_us: estimate of the 90th percentile of the service time
 */
struct BurdockAdmissionPool {
  char name[BURDOCK_NAME_BYTES];
  uint32_t queue_limit;
  uint32_t running;
  uint32_t queued;
  uint64_t service_time_us;
  uint64_t service_time_p90_us;
  BurdockAdmissionQueue queues[BURDOCK_PRIORITY_COUNT];
  BurdockAdmissionPool *next;
};

typedef struct BurdockAdmission BurdockAdmission;

BurdockAdmission *burdock_admission_new (void);
void burdock_admission_free (BurdockAdmission *admission);

/**
 * burdock_admission_set_snapshot() - updates the shares of the workspaces
 * @snapshot: must stay valid until it is replaced
 */
void burdock_admission_set_snapshot (BurdockAdmission *admission,
                                     const BurdockSnapshot *snapshot);

/** burdock_admission_pools() - first pool of the list, NULL if there is none */
BurdockAdmissionPool *burdock_admission_pools (BurdockAdmission *admission);

/**
 * burdock_admission_enqueue() - puts a new request into the queue of @pool
 * @evicted: receives a dequeued request of lower priority that the caller has to refuse,
 *   or NULL
 * Returns BURDOCK_REASON_NONE, _OVERLOAD for a full queue, or _DEADLINE.
 */
BurdockReason burdock_admission_enqueue (BurdockAdmission *admission,
                                         BurdockRequestState *state,
                                         const BurdockPool *pool, uint64_t now_us,
                                         BurdockRequestState **evicted);

/** burdock_admission_requeue() - puts a request whose attempt ended at the head of the
 * queue of its priority */
void burdock_admission_requeue (BurdockAdmission *admission, BurdockRequestState *state);

/** burdock_admission_dequeue() - removes a request from its queue, if it is queued */
void burdock_admission_dequeue (BurdockAdmission *admission, BurdockRequestState *state);

/** burdock_admission_workspace_full() - whether the workspace runs as many requests as
 * its share allows */
bool burdock_admission_workspace_full (const BurdockRequestState *state);

/** burdock_admission_misses_deadline() - whether the request is unlikely to end before
 * its deadline */
bool burdock_admission_misses_deadline (const BurdockRequestState *state,
                                        uint64_t now_us);

/** burdock_admission_admit() - removes a request from its queue and counts it as running
 */
void burdock_admission_admit (BurdockAdmission *admission, BurdockRequestState *state);

/** burdock_admission_release() - no longer counts a request as running, if it was
 * admitted */
void burdock_admission_release (BurdockAdmission *admission, BurdockRequestState *state);

/** burdock_admission_record_success() - records a service time and adds to the retry
 * budget */
void burdock_admission_record_success (BurdockAdmission *admission,
                                       const BurdockRequestState *state, uint64_t now_us);

/** burdock_admission_take_retry() - takes one retry from the budget; false if it is empty
 */
bool burdock_admission_take_retry (BurdockAdmission *admission);

/** burdock_admission_remove() - removes a request that is about to be freed from its
 * queue and from all counts */
void burdock_admission_remove (BurdockAdmission *admission, BurdockRequestState *state);

/**
 * burdock_admission_usage() - running and queued requests, in total and by workspace
 *
 * Reports the BURDOCK_USAGE_WORKSPACES workspaces with the highest demand.
 */
void burdock_admission_usage (const BurdockAdmission *admission, BurdockUsage *out);

/** burdock_backoff_us() - exponential backoff with full jitter before attempt @attempt
 */
uint64_t burdock_backoff_us (uint32_t attempt, uint64_t random);

#endif
