/**
 * DOC: balancer-private.h - state shared by the two halves of a balancer
 *
 * balancer.c keeps what is known of upstreams, groups and other gateways;
 * balancer-queue.c places, holds and refuses requests.
 */
#ifndef BURDOCK_BALANCER_PRIVATE_H
#define BURDOCK_BALANCER_PRIVATE_H

#include "balancer.h"

#include <apr_hash.h>
#include <apr_pools.h>

/* Whether an upstream, or a group as a whole, gives signs of life. */
typedef struct {
  uint64_t heard_us;        /* time of the last sign */
  uint64_t silent_us;       /* time at which it was last found silent */
  uint64_t silent_until_us; /* gets no requests until then */
} Liveness;

typedef struct Group {
  char name[BURDOCK_NAME_BYTES];
  uint64_t epoch;
  bool open;
  uint64_t heard_us; /* last report of any of its agents */
  double share;
  uint32_t slots;
  uint32_t outstanding;
  uint32_t pauses;
  uint32_t late_pauses;
  double late_part;   /* of the pauses, smoothed */
  double pause_sum;   /* in parts of the target */
  double late_credit; /* late requests that this gateway may place */
  Liveness liveness;
} Group;

/* Interval at which a balancer works without an event. */
#define TICK_US UINT64_C (50000)

typedef struct Waiting {
  struct Waiting *next;
  BurdockPlacement placement;
} Waiting;

typedef struct Pool {
  struct Pool *next;
  char name[BURDOCK_NAME_BYTES];
  Waiting *waiting;
  Waiting **tail;
  uint32_t waiting_count;
  uint32_t placed;
  double placed_per_s;
  double repeats_left;
} Pool;

typedef struct {
  BurdockUpstream info;
  Pool *pool;
  Group *group;
  uint32_t rank;
  uint64_t rank_heard_us;
  uint64_t step; /* last step that its agent reported */
  bool listed;
  uint32_t own;
  uint32_t others;
  double failure_rate;
  uint64_t paused_until_us;
  Liveness liveness;
} Node;

typedef struct {
  uint64_t id;
  uint64_t heard_us;
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
  apr_hash_t *by_key;
  apr_hash_t *peers;
  apr_hash_t *groups;
  Pool *pools;
  bool dispatching;
  bool again;
  uint64_t random;
  uint64_t now_us;
  uint64_t ticked_us;
  uint64_t next_adjust_us;
  uint64_t next_rate_us;
  double heartbeat_us; /* mean time between the heartbeats of a gateway */
  BurdockBalancerFigures figures;
};

static inline uint32_t
outstanding (const Node *node)
{
  return node->own + node->others;
}

/** burdock_balancer_pool() - pool named @name, made if it is new */
Pool *burdock_balancer_pool (BurdockBalancer *balancer, const char *name);
Node *burdock_balancer_node (const BurdockBalancer *balancer, uint64_t key);

/** burdock_balancer_detach(), burdock_balancer_attach() - take a node out of the sums of
 * its group around a change of the node */
void burdock_balancer_detach (Node *node);
void burdock_balancer_attach (Node *node);

/** burdock_balancer_dispatch() - places waiting requests as far as there is room */
void burdock_balancer_dispatch (BurdockBalancer *balancer);

/** burdock_balancer_tick_queue() - expires waiting requests, refills the retry budget */
void burdock_balancer_tick_queue (BurdockBalancer *balancer);

#endif
