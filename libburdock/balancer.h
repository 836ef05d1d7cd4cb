/**
 * DOC: balancer.h - which upstream runs a request, and when
 *
 * One balancer belongs to the traffic thread of a gateway. It counts the requests of all
 * gateways at each upstream: its own, and those that the others report in their
 * heartbeats. A request is placed at the least loaded upstream with a free slot, waits
 * for one, or is refused. Groups whose steps take too long get fewer requests at once.
 *
 * The balancer performs no I/O. Decisions leave through the callbacks, also from within
 * burdock_balancer_submit().
 */
#ifndef BURDOCK_BALANCER_H
#define BURDOCK_BALANCER_H

#include "burdock.h"
#include "message.h"

typedef struct BurdockBalancer BurdockBalancer;

#define BURDOCK_EXCLUDED_MAX 4

/**
 * struct BurdockUpstream - upstream of a pool
 * @key: burdock_member_id() of @id
 * @leaving: takes no new requests
 * @slots: requests that it runs at once
 */
typedef struct {
  char id[BURDOCK_NAME_BYTES];
  uint64_t key;
  char pool[BURDOCK_NAME_BYTES];
  char failure_domain[BURDOCK_NAME_BYTES];
  BurdockAddress address;
  bool leaving;
  uint32_t slots;
} BurdockUpstream;

/**
 * struct BurdockPlacement - a request to be placed
 * @handle: identifies the request in the callbacks; not 0
 * @priority: 0 is the most urgent
 * @on_time_until_us: a request that starts later misses its objective
 * @give_up_us: a request that has not started by then is refused
 * @excluded: keys of the upstreams that it was sent to before
 */
typedef struct {
  uint64_t handle;
  const char *pool;
  uint32_t priority;
  uint64_t on_time_until_us;
  uint64_t give_up_us;
  uint32_t excluded_count;
  uint64_t excluded[BURDOCK_EXCLUDED_MAX];
} BurdockPlacement;

/**
 * struct BurdockBalancerHandler - decisions
 * @place: send the request to @upstream; ends with burdock_balancer_finish()
 * @refuse: the request was not placed; @retry_after_ms tells when to come back
 */
typedef struct {
  void *ctx;
  void (*place) (void *ctx, uint64_t handle, const BurdockUpstream *upstream);
  void (*refuse) (void *ctx, uint64_t handle, BurdockReason reason,
                  uint32_t retry_after_ms);
} BurdockBalancerHandler;

/**
 * struct BurdockBalancerSettings - deployment of the balancer
 * @seed: differs between gateways
 * @failure_domain: upstreams there are preferred among equals
 * @retry_ratio: repeated sends allowed to all gateways for each request of a pool
 * @retry_allowance: further repeated sends allowed to all gateways in a window
 */
typedef struct {
  uint64_t seed;
  char failure_domain[BURDOCK_NAME_BYTES];
  double retry_ratio;
  uint32_t retry_allowance;
} BurdockBalancerSettings;

/** enum BurdockUpstreamOutcome - how a request at an upstream ended */
typedef enum {
  BURDOCK_UPSTREAM_OK = 1,
  BURDOCK_UPSTREAM_FAILED,      /* wrong, broken or failing answer */
  BURDOCK_UPSTREAM_BUSY,        /* refused the request, which did not run */
  BURDOCK_UPSTREAM_UNREACHABLE, /* no connection */
  BURDOCK_UPSTREAM_STALLED,     /* gave no sign while others did; the request was ended */
  BURDOCK_UPSTREAM_REPLACED,    /* another upstream has the address */
  BURDOCK_UPSTREAM_ABANDONED,   /* ended by the caller; says nothing of the upstream */
} BurdockUpstreamOutcome;

/** struct BurdockBalancerFigures - for metrics and logs */
typedef struct {
  uint32_t waiting;
  uint32_t upstreams;
  uint32_t outstanding_own;
  uint32_t outstanding_all;
  uint64_t placed;
  uint64_t refused;
  uint64_t repeats;
  uint64_t repeats_denied;
} BurdockBalancerFigures;

BurdockBalancer *burdock_balancer_new (const BurdockBalancerSettings *settings,
                                       const BurdockBalancerHandler *handler);
void burdock_balancer_free (BurdockBalancer *balancer);

/** burdock_balancer_set_upstreams() - replaces the list of upstreams */
void burdock_balancer_set_upstreams (BurdockBalancer *balancer,
                                     const BurdockUpstream *upstreams, uint32_t count,
                                     uint64_t now_us);

/** burdock_balancer_peer_load() - heartbeat of the gateway @peer */
void burdock_balancer_peer_load (BurdockBalancer *balancer, uint64_t peer,
                                 const BurdockLoadItem *items, uint32_t count,
                                 uint64_t now_us);

/** burdock_balancer_rank_state() - the upstream at the address is a rank of a group */
void burdock_balancer_rank_state (BurdockBalancer *balancer,
                                  const BurdockRankStateMessage *state, uint64_t now_us);

/** burdock_balancer_group_ranks() - members of the group of the upstream at @address
 * Returns the number of entries written to @ranks. */
uint32_t burdock_balancer_group_ranks (const BurdockBalancer *balancer,
                                       BurdockAddress address, BurdockRosterRank *ranks,
                                       uint32_t limit);

/** burdock_balancer_own_load() - requests of this gateway, for its heartbeat */
uint32_t burdock_balancer_own_load (const BurdockBalancer *balancer,
                                    BurdockLoadItem *items, uint32_t limit);

/** burdock_balancer_submit() - places a request, lets it wait, or refuses it */
void burdock_balancer_submit (BurdockBalancer *balancer,
                              const BurdockPlacement *placement, uint64_t now_us);

/** burdock_balancer_has_room() - whether a request could be placed at once, other than at
 * @upstream */
bool burdock_balancer_has_room (BurdockBalancer *balancer,
                                const BurdockPlacement *placement, uint64_t upstream);

/** burdock_balancer_withdraw() - forgets a waiting request */
void burdock_balancer_withdraw (BurdockBalancer *balancer, uint64_t handle);

/** burdock_balancer_finish() - a placed request has ended at its upstream */
void burdock_balancer_finish (BurdockBalancer *balancer, uint64_t upstream,
                              BurdockUpstreamOutcome outcome, uint64_t now_us);

/**
 * burdock_balancer_event() - an upstream sent a part of an answer
 * @pause_us: time since the part before, 0 for the first one
 * @target_ms: longest pause that is on time, 0 for none
 */
void burdock_balancer_event (BurdockBalancer *balancer, uint64_t upstream,
                             uint64_t pause_us, uint32_t target_ms, uint64_t now_us);

/**
 * burdock_balancer_silent() - a request has waited too long for a part of its answer
 * @silent_us: time since the last part, or since the request was sent
 *
 * If no other request had a sign of life from the upstream meanwhile, it gets no further
 * requests for a while, or until the next sign. Callers that leave free places at it, and
 * what is sent there would be read only after they have left, too.
 *
 * Returns true if the upstream was not known to be silent.
 */
bool burdock_balancer_silent (BurdockBalancer *balancer, uint64_t upstream,
                              uint64_t silent_us, uint64_t now_us);

/** burdock_balancer_may_repeat() - takes one repeated send from the budget of a pool */
bool burdock_balancer_may_repeat (BurdockBalancer *balancer, const char *pool);

/** burdock_balancer_tick() - time passes; returns when to call again */
uint64_t burdock_balancer_tick (BurdockBalancer *balancer, uint64_t now_us);

BurdockBalancerFigures burdock_balancer_figures (const BurdockBalancer *balancer);

#endif
