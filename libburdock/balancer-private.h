/**
 * DOC: balancer-private.h - state shared by the files of the balancer
 *
 * balancer.c tracks the state of upstreams, groups and other gateways; balancer-queue.c
 * queues, refuses and places requests; balancer-select.c selects their upstreams;
 * balancer-evacuation.c keeps the evacuated failure domains;
 * balancer-limit.c adjusts how many requests a group runs; balancer-rates.c keeps the
 * rate limits of upstreams; balancer-cold.c knows which upstreams are cold.
 */
#ifndef BURDOCK_BALANCER_PRIVATE_H
#define BURDOCK_BALANCER_PRIVATE_H

#include "balancer.h"
#include "optional.h"
#include "rate-share.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* Activity of an upstream, or of a group as a whole. */
typedef struct {
  uint64_t last_activity_us;
  uint64_t silence_detected_us; /* when it was last marked silent */
  uint64_t silent_until_us;     /* gets no requests until then */
} Liveness;

/* Ranks that start each step together. */
typedef struct Group {
  const char *name;
  uint64_t epoch;
  bool open;
  uint64_t broken_us;       /* when it was last reported as broken */
  uint64_t closed_for_us;   /* how long it was closed the last time, 0 if never */
  uint64_t last_report_us;  /* from any of its agents */
  double utilization_limit; /* share of the slots that may be in use */
  uint32_t slots;
  uint32_t outstanding;
  uint32_t gap_count;
  uint32_t stream_count;  /* that have ended, and the sums of their longest gaps */
  double longest_gap_sum; /* as multiples of their targets, and of the deviations */
  double deviation_sum;
  double longest_gap;           /* smoothed */
  double longest_gap_deviation; /* mean deviation from it, smoothed */
  double relative_gap_sum;      /* gaps as multiples of their target */
  double credit;                /* waiting requests that this gateway may place now */
  Liveness liveness;
  BurdockOptional silent_step; /* first step reported since it was marked silent */
  uint32_t silent_step_rank;   /* rank that reported it */
} Group;

/* Interval of burdock_balancer_tick(). */
#define TICK_US UINT64_C (50000)

typedef struct QueuedRequest {
  struct QueuedRequest *next;
  BurdockPlacement placement; /* with the priority whose room it takes */
  uint32_t own_priority;
  uint64_t latest_start_us;
  uint64_t since_us; /* when it began to wait */
} QueuedRequest;

typedef struct Pool {
  struct Pool *next;
  const char *name;
  QueuedRequest *queue; /* in the order in which they start */
  BurdockPriorityShare priorities;
  uint64_t closed_us;       /* last tick at which no upstream took requests, 0 if none */
  uint32_t own_outstanding; /* requests of this gateway at its upstreams */
  uint32_t outstanding;     /* of all gateways, at the last tick */
  double usable_slots;      /* that all gateways may use, at the last tick */
  double ended;             /* requests of this gateway lately, older ones count less */
  double running_us;        /* time for which its requests kept their places meanwhile */
  double retries_left;
  BurdockColdLimit cold; /* of its cold upstreams */
  double cold_slowness;  /* their times as multiples of the expected ones, 0 if unknown */
} Pool;

/* An upstream, its load and its health. */
typedef struct {
  BurdockUpstream info;
  Pool *pool;
  Group *group;
  uint32_t rank;
  bool listed;
  bool evacuated; /* its failure domain is; it does not count in its group */
  uint32_t own_outstanding;
  uint32_t peer_outstanding; /* reported by other gateways */
  double failure_rate;
  uint64_t ejected_until_us;
  uint64_t paused_until_us; /* by its own word */
  BurdockRateShare rate;
  uint32_t rate_reports_left; /* reports of a new statement of the upstream */
  uint64_t unreachable_us;    /* when it last refused a connection */
  BurdockColdStart cold;
  Liveness liveness;
} Node;

/* Another gateway and the load that it last reported. */
typedef struct {
  uint64_t id;
  uint64_t last_heartbeat_us;
  uint64_t interval_us; /* time between its heartbeats */
  double demand_per_s;  /* requests that it receives, 0 if it has not reported any */
  uint32_t count;
  BurdockLoadItem items[BURDOCK_LOAD_ITEMS_MAX];
} Peer;

struct BurdockBalancer {
  apr_pool_t *memory;
  BurdockBalancerSettings settings;
  BurdockBalancerHandler handler;
  Node **nodes;
  uint32_t node_count;
  uint32_t node_capacity;
  apr_hash_t *nodes_by_key;
  apr_hash_t *peers;
  apr_hash_t *groups;
  Pool *pools;
  bool dispatching;
  bool dispatch_again; /* requested while dispatching */
  uint64_t random_state;
  uint64_t now_us;
  uint64_t last_tick_us;
  uint64_t next_adjust_us;
  uint64_t next_rate_us;
  uint32_t submitted; /* new requests in the current rate interval */
  double demand_per_s;
  uint32_t rate_offset;           /* node at which the next report of rates starts */
  uint64_t heartbeat_interval_us; /* of the gateway heard last, 0 before the first one */
  uint32_t evacuated_count;
  char evacuated[BURDOCK_EVACUATION_ITEMS_MAX][BURDOCK_NAME_BYTES];
  BurdockColdFleet cold_fleet;
  uint64_t newest_born_ms; /* latest start of all upstreams in the lists before */
  BurdockBalancerStats stats;
};

/* Initial utilization limit of a group, as a share of its slots, at which most steps meet
 * their target even while demand changes. */
#define BURDOCK_GROUP_UTILIZATION_INITIAL 0.7

/* Number of values that burdock_balancer_random() returns. */
#define BURDOCK_BALANCER_RANDOM_RANGE 2147483648.0

static inline uint32_t
burdock_balancer_random (BurdockBalancer *balancer)
{
  balancer->random_state = balancer->random_state * UINT64_C (6364136223846793005) + 1;
  return (uint32_t)(balancer->random_state >> 33);
}

static inline uint64_t
burdock_balancer_report_interval_us (const BurdockBalancer *balancer)
{
  return balancer->heartbeat_interval_us > TICK_US ? balancer->heartbeat_interval_us
                                                   : TICK_US;
}

static inline uint32_t
outstanding (const Node *node)
{
  return node->own_outstanding + node->peer_outstanding;
}

/** burdock_balancer_pool() - finds the pool @name, or creates it */
Pool *burdock_balancer_pool (BurdockBalancer *balancer, const char *name);

/** burdock_balancer_node() - finds an upstream by its key; NULL if unknown */
Node *burdock_balancer_node (const BurdockBalancer *balancer, uint64_t key);

/** burdock_balancer_subtract_from_group(), burdock_balancer_add_to_group() - remove a
 * node from the totals of its group before a change of the node, and add it again after
 * it */
void burdock_balancer_subtract_from_group (Node *node);
void burdock_balancer_add_to_group (Node *node);

/**
 * burdock_balancer_select() - the least loaded of a few eligible upstreams; NULL for none
 * @waited: the request has waited, and needs credit
 */
Node *burdock_balancer_select (BurdockBalancer *balancer, const Pool *pool,
                               const BurdockPlacement *placement, bool waited);

/** burdock_balancer_usable_slots() - slots of the pool of @node that all gateways may use
 * at it, by the limit of its group */
double burdock_balancer_usable_slots (const BurdockBalancer *balancer, const Node *node);

/** burdock_balancer_opens_us() - time at which an upstream is expected to take requests,
 * not after the present time if one does; UINT64_MAX if there is none */
uint64_t burdock_balancer_opens_us (const BurdockBalancer *balancer, const Pool *pool,
                                    const BurdockPlacement *placement);

/** burdock_balancer_adjust_limits() - adjusts how many requests the groups run; called
 * with each tick */
void burdock_balancer_adjust_limits (BurdockBalancer *balancer);

/** burdock_balancer_bounds_cold() - whether the rate of cold upstreams is bounded */
bool burdock_balancer_bounds_cold (const BurdockBalancer *balancer);

/**
 * burdock_balancer_apply_cold_row() - applies the listed row of @node
 * @added: the node was not known before
 */
void burdock_balancer_apply_cold_row (BurdockBalancer *balancer, Node *node, bool added);

/** burdock_balancer_note_starts() - notes the latest start in a list that was applied */
void burdock_balancer_note_starts (BurdockBalancer *balancer);

/** burdock_balancer_is_cold(), burdock_balancer_count_cold() - state of the upstreams */
bool burdock_balancer_is_cold (const BurdockBalancer *balancer, const Node *node);
uint32_t burdock_balancer_count_cold (const BurdockBalancer *balancer);

/** burdock_balancer_node_is_slow() - see burdock_balancer_is_slow() */
bool burdock_balancer_node_is_slow (const BurdockBalancer *balancer, const Node *node,
                                    uint64_t now_us);

/** burdock_balancer_cold_allows() - whether @node is warm or has a permit */
bool burdock_balancer_cold_allows (const BurdockBalancer *balancer, const Node *node);

/** burdock_balancer_cold_times() - what a request needs at a cold upstream of @pool */
BurdockRequestTimes burdock_balancer_cold_times (const Pool *pool,
                                                 const BurdockRequestTimes *times);

/** burdock_balancer_cold_is_in_time() - whether @placement, if it starts now, is expected
 * to end in time at @node; true if the node is warm */
bool burdock_balancer_cold_is_in_time (const BurdockBalancer *balancer, const Node *node,
                                       const BurdockPlacement *placement);

/** burdock_balancer_cold_load() - load that the cold time of @node adds */
double burdock_balancer_cold_load (const BurdockBalancer *balancer, const Node *node);

/** burdock_balancer_cold_opens_us(), burdock_balancer_cold_until_us() - time of the next
 * permit, and of the end of the cold time */
uint64_t burdock_balancer_cold_opens_us (const BurdockBalancer *balancer,
                                         const Node *node);
uint64_t burdock_balancer_cold_until_us (const BurdockBalancer *balancer,
                                         const Node *node);

/** burdock_balancer_tick_cold() - issues permits; called with each tick */
void burdock_balancer_tick_cold (BurdockBalancer *balancer);

/**
 * burdock_balancer_permits() - permits for the cold upstreams that could take @placement
 * @warm_us: receives when the first upstream takes requests without a permit, UINT64_MAX
 *   if none will
 * Returns their number per second.
 */
double burdock_balancer_permits (const BurdockBalancer *balancer, const Pool *pool,
                                 const BurdockPlacement *placement, uint64_t *warm_us);

/** burdock_balancer_lacks_permit() - whether only permits keep @placement from an
 * upstream */
bool burdock_balancer_lacks_permit (const BurdockBalancer *balancer, const Pool *pool,
                                    const BurdockPlacement *placement);

/** burdock_balancer_dispatch() - places queued requests while upstreams are eligible */
void burdock_balancer_dispatch (BurdockBalancer *balancer);

/** burdock_balancer_place_freed() - a request of this gateway at @node has ended */
void burdock_balancer_place_freed (Node *node);

/** burdock_balancer_count_outstanding() - counts the requests that free places of the
 * pools when they end */
void burdock_balancer_count_outstanding (BurdockBalancer *balancer);
/** burdock_balancer_start_sharing() - shares the slots of pools that had none before */
void burdock_balancer_start_sharing (BurdockBalancer *balancer);

/** burdock_balancer_tick_queue() - expires queued requests, refills the retry budgets */
void burdock_balancer_tick_queue (BurdockBalancer *balancer);

#endif
