/**
 * DOC: balancer.h - selection of the upstream for each request, and queueing
 *
 * Each gateway has one balancer, which is used by its traffic thread only. It counts the
 * outstanding requests of all gateways at each upstream: its own, and those that the
 * other gateways report in their heartbeats. A request is placed at the least loaded of a
 * few eligible upstreams, queued until one is eligible, or refused. A group whose
 * inter-event gaps exceed their target gets a lower concurrency limit.
 *
 * The balancer performs no I/O. It reports its decisions through callbacks, which may
 * already run during burdock_balancer_submit().
 */
#ifndef BURDOCK_BALANCER_H
#define BURDOCK_BALANCER_H

#include "burdock.h"
#include "cold-start.h"
#include "message.h"
#include "priority-share.h"
#include "queue-policy.h"

typedef struct BurdockBalancer BurdockBalancer;

#define BURDOCK_EXCLUDED_MAX 4

/** Rate limit of an upstream that names none. */
#define BURDOCK_RATE_UNLIMITED (-1.0)

/**
 * struct BurdockUpstream - upstream of a pool
 * @key: burdock_member_id() of @id
 * @born_ms: time of day at which it started, 0 if it is not known
 * @leaving: takes no new requests
 * @slots: maximum number of concurrent requests
 * @has_cold_left: its row states @cold_left_ms
 * @cold_left_ms: time for which it was still cold when its row was read
 * @row_version: version of its row
 * @read_us: when its row was read
 */
typedef struct {
  char id[BURDOCK_NAME_BYTES];
  uint64_t key;
  uint64_t born_ms;
  char pool[BURDOCK_NAME_BYTES];
  char failure_domain[BURDOCK_NAME_BYTES];
  BurdockAddress address;
  bool leaving;
  uint32_t slots;
  bool has_cold_left;
  uint32_t cold_left_ms;
  uint64_t row_version;
  uint64_t read_us;
} BurdockUpstream;

/**
 * struct BurdockPlacement - request to be placed at an upstream
 * @handle: identifies the request in the callbacks; not 0
 * @priority: 0 is the most urgent
 * @times: what its caller has and needs
 * @admitted: it was placed before, and has lost its upstream
 * @excluded: keys of the upstreams that the request was already sent to
 */
typedef struct {
  uint64_t handle;
  const char *pool;
  uint32_t priority;
  BurdockRequestTimes times;
  bool admitted;
  uint32_t excluded_count;
  uint64_t excluded[BURDOCK_EXCLUDED_MAX];
} BurdockPlacement;

/**
 * struct BurdockBalancerHandler - callbacks for the decisions of a balancer
 * @place: send the request to @upstream; the caller reports its end with
 *   burdock_balancer_finish()
 * @refuse: the request was not placed; @retry_after_ms is the delay to suggest to the
 *   caller before it retries
 * @cold_changed: @upstream has become cold for another @left_ms, with @per_s requests per
 *   second of this gateway, or warm if @left_ms is 0; may be NULL
 */
typedef struct {
  void *ctx;
  void (*place) (void *ctx, uint64_t handle, const BurdockUpstream *upstream);
  void (*refuse) (void *ctx, uint64_t handle, BurdockReason reason,
                  uint32_t retry_after_ms);
  void (*cold_changed) (void *ctx, const BurdockUpstream *upstream, uint32_t left_ms,
                        double per_s);
} BurdockBalancerHandler;

/**
 * struct BurdockBalancerSettings - settings of a balancer
 * @seed: seed of the random choices; differs between gateways
 * @failure_domain: upstreams in this domain are preferred at equal load
 * @retry_ratio: retries that all gateways together may send for each request of a pool
 * @retry_allowance: retries that all gateways together may send in addition within the
 *   retry window of 10 s
 * @cold_overage: all gateways together may send a cold upstream this multiple of the rate
 *   that it takes, plus @cold_allowance requests, in any second; 0 for no such bound, and
 *   no upstream is treated as cold
 * @priority_rule: the others are baselines of the comparison in bench/
 */
typedef struct {
  uint64_t seed;
  char failure_domain[BURDOCK_NAME_BYTES];
  double retry_ratio;
  double retry_allowance;
  double cold_overage;
  double cold_allowance;
  BurdockPriorityRule priority_rule;
} BurdockBalancerSettings;

/** struct BurdockColdPool - what the cold upstreams of a pool take */
typedef struct {
  const char *pool;
  BurdockColdLimit limit;
} BurdockColdPool;

/** enum BurdockUpstreamOutcome - how a request at an upstream ended */
typedef enum {
  BURDOCK_UPSTREAM_OK = 1,
  BURDOCK_UPSTREAM_FAILED,      /* invalid, truncated or error response */
  BURDOCK_UPSTREAM_BUSY,        /* refused the request, which did not run */
  BURDOCK_UPSTREAM_UNREACHABLE, /* connection failed */
  BURDOCK_UPSTREAM_STALLED,     /* sent nothing while other upstreams did; cancelled */
  BURDOCK_UPSTREAM_REPLACED,    /* another upstream now has the address */
  BURDOCK_UPSTREAM_ABANDONED,   /* ended by the caller; no evidence about the upstream */
} BurdockUpstreamOutcome;

/**
 * struct BurdockPriorityStats - requests of one priority
 * @sent_at_once: sent when they were received
 * @waited: sent after they had waited
 * @refused: refused at once, or after they had waited
 */
typedef struct {
  uint64_t sent_at_once;
  uint64_t waited;
  uint64_t refused;
} BurdockPriorityStats;

/**
 * struct BurdockBalancerStats - counters for metrics and logs
 * @waiting: requests in the queues
 * @upstreams: upstreams in the current list
 * @leaving: upstreams in the current list that take no new requests
 * @cold: upstreams in the current list that are cold
 * @outstanding_own: requests that this gateway has at upstreams
 * @outstanding_all: requests that all known gateways have at upstreams
 * @retries: retries granted by burdock_balancer_take_retry()
 * @retries_denied: retries denied because the budget was empty
 * @cold_waits: requests that had to wait although a cold upstream had a free place
 * @cold_refused: requests that were refused although a cold upstream had one
 * @priorities: requests by priority, in all pools; the last one includes less urgent ones
 */
typedef struct {
  uint32_t waiting;
  uint32_t upstreams;
  uint32_t leaving;
  uint32_t cold;
  uint32_t outstanding_own;
  uint32_t outstanding_all;
  uint64_t placed;
  uint64_t refused;
  uint64_t retries;
  uint64_t retries_denied;
  uint64_t cold_waits;
  uint64_t cold_refused;
  BurdockPriorityStats priorities[BURDOCK_PRIORITY_LEVELS];
} BurdockBalancerStats;

/**
 * burdock_balancer_new() - creates a balancer without upstreams
 * @settings: copied
 * @handler: copied
 *
 * Returns NULL if memory runs out. Free with burdock_balancer_free().
 */
BurdockBalancer *burdock_balancer_new (const BurdockBalancerSettings *settings,
                                       const BurdockBalancerHandler *handler);
void burdock_balancer_free (BurdockBalancer *balancer);

/** burdock_balancer_set_upstreams() - replaces the list of upstreams */
void burdock_balancer_set_upstreams (BurdockBalancer *balancer,
                                     const BurdockUpstream *upstreams, uint32_t count,
                                     uint64_t now_us);

/** burdock_balancer_set_cold_pools() - replaces what the cold upstreams of all pools
 * take; pools that are not listed have no limit */
void burdock_balancer_set_cold_pools (BurdockBalancer *balancer,
                                      const BurdockColdPool *items, uint32_t count);

/** burdock_balancer_record_cold() - @upstream says in an answer that it is cold for
 * another @left_ms, 0 if it is warm */
void burdock_balancer_record_cold (BurdockBalancer *balancer, uint64_t upstream,
                                   uint32_t left_ms, uint64_t now_us);

/**
 * burdock_balancer_record_cold_time() - an upstream that is cold, or was until just now,
 * has given an answer or its first part, or has lost its caller before
 * @answered: it was given; otherwise it would have taken @elapsed_us or longer
 * @elapsed_us: time from the start of the attempt
 * @expected_us: time that the request was expected to take, 0 if it is not known
 */
void burdock_balancer_record_cold_time (BurdockBalancer *balancer, uint64_t upstream,
                                        bool answered, uint64_t elapsed_us,
                                        uint64_t expected_us);

/** burdock_balancer_is_slow() - whether slow answers of @upstream are to be expected, as
 * it is cold or was until just now */
bool burdock_balancer_is_slow (const BurdockBalancer *balancer, uint64_t upstream,
                               uint64_t now_us);

/**
 * burdock_balancer_set_peer_load() - replaces the load reported by another gateway
 * @peer: id of the gateway whose heartbeat was received
 * @interval_us: time until its next heartbeat
 * @items: its outstanding requests by upstream
 * @count: number of items; the report is ignored above BURDOCK_LOAD_ITEMS_MAX
 */
void burdock_balancer_set_peer_load (BurdockBalancer *balancer, uint64_t peer,
                                     uint64_t interval_us, const BurdockLoadItem *items,
                                     uint32_t count, uint64_t now_us);

/**
 * burdock_balancer_set_rank_state() - handles the state report of a rank's agent
 *
 * Makes the upstream at the reported address a rank of the reported group. Ignored if the
 * address belongs to no listed upstream.
 */
void burdock_balancer_set_rank_state (BurdockBalancer *balancer,
                                      const BurdockRankStateMessage *state,
                                      uint64_t now_us);

/** burdock_balancer_knows_group() - whether an agent has reported the group of the
 * upstream at @address */
bool burdock_balancer_knows_group (const BurdockBalancer *balancer,
                                   BurdockAddress address);

/**
 * burdock_balancer_group_ranks() - ranks of the group of the upstream at @address
 * Returns the number of entries written to @ranks, at most @limit.
 */
uint32_t burdock_balancer_group_ranks (const BurdockBalancer *balancer,
                                       BurdockAddress address, BurdockRosterRank *ranks,
                                       uint32_t limit);

/**
 * burdock_balancer_has_ended() - whether the process of an upstream ended at about
 * @since_us or later
 *
 * Its connections were refused, its group broke, or it is no longer listed.
 */
bool burdock_balancer_has_ended (const BurdockBalancer *balancer, uint64_t upstream,
                                 uint64_t since_us);

/** burdock_balancer_has_ended_itself() - as burdock_balancer_has_ended(), but not if only
 * its group broke */
bool burdock_balancer_has_ended_itself (const BurdockBalancer *balancer,
                                        uint64_t upstream, uint64_t since_us);

/** burdock_balancer_record_refusal() - a connection to @upstream was refused */
void burdock_balancer_record_refusal (BurdockBalancer *balancer, uint64_t upstream,
                                      uint64_t now_us);

/**
 * burdock_balancer_set_evacuated() - replaces the set of evacuated failure domains
 * @items: also those that are not evacuated; at most BURDOCK_EVACUATION_ITEMS_MAX
 *
 * From now on, their upstreams get nothing new, and neither their slots nor the requests
 * that still run there count.
 */
void burdock_balancer_set_evacuated (BurdockBalancer *balancer,
                                     const BurdockEvacuationItem *items, uint32_t count,
                                     uint64_t now_us);

/** burdock_balancer_is_evacuated() - whether a failure domain is evacuated */
bool burdock_balancer_is_evacuated (const BurdockBalancer *balancer,
                                    const char *failure_domain);

/** burdock_balancer_domain_count() - number of listed upstreams in a failure domain */
uint32_t burdock_balancer_domain_count (const BurdockBalancer *balancer,
                                        const char *failure_domain);

/** burdock_balancer_address() - address of a listed upstream; false if it is not listed
 */
bool burdock_balancer_address (const BurdockBalancer *balancer, uint64_t upstream,
                               BurdockAddress *out);

/**
 * burdock_balancer_set_leaving() - an upstream has said that it leaves: it gets no new
 * requests
 * @born_ms: start of the upstream; a later start is not meant
 *
 * Returns its id, NULL if it is not listed or was known to leave.
 */
const char *burdock_balancer_set_leaving (BurdockBalancer *balancer, uint64_t upstream,
                                          uint64_t born_ms);

/**
 * burdock_balancer_pause() - an upstream wants no requests of this gateway for a time
 *
 * Ends early if the upstream starts again; a shorter time does not replace a longer one.
 */
void burdock_balancer_pause (BurdockBalancer *balancer, uint64_t upstream,
                             uint64_t time_us, uint64_t now_us);

/**
 * burdock_balancer_own_load() - outstanding requests of this gateway, for its heartbeat
 * Returns the number of entries written to @items, at most @limit.
 */
uint32_t burdock_balancer_own_load (const BurdockBalancer *balancer,
                                    BurdockLoadItem *items, uint32_t limit);

/** burdock_balancer_submit() - places a request, queues it, or refuses it */
void burdock_balancer_submit (BurdockBalancer *balancer,
                              const BurdockPlacement *placement, uint64_t now_us);

/**
 * burdock_balancer_has_capacity() - whether a request could be placed immediately
 * @upstream: key of an upstream that does not count
 */
bool burdock_balancer_has_capacity (BurdockBalancer *balancer,
                                    const BurdockPlacement *placement, uint64_t upstream);

/**
 * burdock_balancer_retry_after_ms() - delay to suggest to the caller of a request that
 * has not run and is not sent again
 */
uint32_t burdock_balancer_retry_after_ms (BurdockBalancer *balancer,
                                          const BurdockPlacement *placement,
                                          uint64_t now_us);

/** burdock_balancer_withdraw() - removes a queued request without a callback */
void burdock_balancer_withdraw (BurdockBalancer *balancer, uint64_t handle);

/** burdock_balancer_finish() - reports that a placed request has ended */
void burdock_balancer_finish (BurdockBalancer *balancer, uint64_t upstream,
                              BurdockUpstreamOutcome outcome, uint64_t now_us);

/**
 * burdock_balancer_record_event() - records that an upstream sent a stream event
 * @gap_us: time since the previous event of the stream, 0 for the first one
 * @target_ms: longest gap that meets the target, 0 for no target
 */
void burdock_balancer_record_event (BurdockBalancer *balancer, uint64_t upstream,
                                    uint64_t gap_us, uint32_t target_ms, uint64_t now_us);

/**
 * burdock_balancer_record_stream() - records that a stream has ended
 * @longest_gap_us: longest time between two of its events, 0 if it had fewer
 * @target_ms: longest gap that meets the target, 0 for no target
 */
void burdock_balancer_record_stream (BurdockBalancer *balancer, uint64_t upstream,
                                     uint64_t longest_gap_us, uint32_t target_ms);

/**
 * burdock_balancer_record_limit() - records the rate limit in an answer of an upstream
 * @per_s: requests per second from all gateways together, or BURDOCK_RATE_UNLIMITED
 *
 * Returns whether it differs from the limit known so far.
 */
bool burdock_balancer_record_limit (BurdockBalancer *balancer, uint64_t upstream,
                                    double per_s, uint64_t now_us);

/**
 * burdock_balancer_own_rates() - rate limits of upstreams for the other gateways
 * @demand_per_1000s: receives the demand of this gateway
 *
 * Returns the number of entries written to @items, at most @limit; the next call goes on
 * with the others.
 */
uint32_t burdock_balancer_own_rates (BurdockBalancer *balancer, uint64_t now_us,
                                     uint32_t *demand_per_1000s, BurdockRateItem *items,
                                     uint32_t limit);

/** burdock_balancer_merge_rates() - applies the report of another gateway, see
 * &struct BurdockUpstreamRatesMessage */
void burdock_balancer_merge_rates (BurdockBalancer *balancer, uint64_t peer,
                                   uint32_t demand_per_1000s,
                                   const BurdockRateItem *items, uint32_t count,
                                   uint64_t now_us);

/**
 * burdock_balancer_report_silence() - reports a request that receives no data
 * @silent_us: time since the last data, or since the request was sent
 *
 * If no other request received data from the upstream in the meantime, the upstream is
 * ejected for a limited time or until its next activity. Without this, the slots that
 * are freed when callers time out would be refilled with requests that the upstream reads
 * only after their callers have left as well.
 *
 * Returns true if the upstream, or its group, was not yet marked silent.
 */
bool burdock_balancer_report_silence (BurdockBalancer *balancer, uint64_t upstream,
                                      uint64_t silent_us, uint64_t now_us);

/**
 * burdock_balancer_take_retry() - takes one retry from the budget of a pool
 * Returns false if the budget is empty.
 */
bool burdock_balancer_take_retry (BurdockBalancer *balancer, const char *pool);

/**
 * burdock_balancer_tick() - runs the periodic work of a balancer
 * Returns the time of the next call.
 */
uint64_t burdock_balancer_tick (BurdockBalancer *balancer, uint64_t now_us);

BurdockBalancerStats burdock_balancer_stats (const BurdockBalancer *balancer);

#endif
