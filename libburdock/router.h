/**
 * DOC: router.h - selection of the upstream for an attempt
 *
 * Combines the reported load, the attempts of this entry, and the estimated prefix cache
 * of each upstream in the subset of this entry.
 */
#ifndef BURDOCK_ROUTER_H
#define BURDOCK_ROUTER_H

#include "snapshot.h"

typedef struct BurdockRouter BurdockRouter;

/**
 * struct BurdockRouteQuery - properties of an attempt that needs an upstream
 * @pool: name of the pool
 * @service: whether the pool is a plain service, balanced by outstanding calls only
 * @prefixes: hashes of prefixes of the prompt, shortest first
 * @tried: upstreams that failed this request, selected only if no other one has capacity
 */
typedef struct {
  const char *pool;
  bool service;
  BurdockPriority priority;
  uint32_t prefix_count;
  const uint64_t *prefixes;
  uint32_t tried_count;
  const uint64_t *tried;
} BurdockRouteQuery;

/** struct BurdockUpstreamRef - identity and traffic address of the selected upstream */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  BurdockAddress address;
} BurdockUpstreamRef;

/**
 * burdock_router_new() - creates a router without upstreams
 * @entry_id: id of this entry, from which its subsets are computed
 *
 * Free with burdock_router_free().
 */
BurdockRouter *burdock_router_new (uint64_t entry_id);
void burdock_router_free (BurdockRouter *router);

/**
 * burdock_router_set_snapshot() - replaces the upstreams by those of a snapshot
 *
 * Keeps the state of an upstream that has the same incarnation as before.
 */
void burdock_router_set_snapshot (BurdockRouter *router, const BurdockSnapshot *snapshot,
                                  uint64_t now_us);

/**
 * burdock_router_pick() - selects an upstream
 * @random: random number that determines the random candidates
 * Returns 0; -ENOENT if the pool has no usable upstream; -EAGAIN if all are full.
 */
int burdock_router_pick (BurdockRouter *router, const BurdockRouteQuery *query,
                         uint64_t now_us, uint64_t random, BurdockUpstreamRef *out);

/** burdock_router_attempt_started() - records that an attempt was sent to an upstream,
 * which will cache its prefixes */
void burdock_router_attempt_started (BurdockRouter *router, uint64_t id,
                                     const BurdockRouteQuery *query, uint64_t now_us);

/** burdock_router_attempt_ended() - records the end of an attempt; ignored if the
 * upstream has another incarnation by now */
void burdock_router_attempt_ended (BurdockRouter *router, uint64_t id,
                                   uint64_t incarnation);

/**
 * burdock_router_cache_event() - records that an upstream has cached or evicted a prefix
 * @sequence: number of the event at the upstream; a gap lowers the confidence in the
 *   estimate of its cache
 * @inserted: true if cached, false if evicted
 */
void burdock_router_cache_event (BurdockRouter *router, uint64_t id, uint64_t sequence,
                                 bool inserted, uint64_t prefix, uint64_t now_us);

/** burdock_router_set_load() - records a load report of an upstream */
void burdock_router_set_load (BurdockRouter *router, uint64_t id,
                              const BurdockLoadMessage *load, uint64_t now_us);

/** burdock_router_record_activity() - records that the upstream has sent a frame */
void burdock_router_record_activity (BurdockRouter *router, uint64_t id, uint64_t now_us);

/** burdock_router_is_silent() - whether an upstream has reported load before but has sent
 * no frame since @since_us */
bool burdock_router_is_silent (const BurdockRouter *router, uint64_t id,
                               uint64_t since_us);

/** burdock_router_eject() - excludes the upstream from selection until @until_us */
void burdock_router_eject (BurdockRouter *router, uint64_t id, uint64_t until_us);

/**
 * burdock_router_next_load_request() - next upstream from which to request load reports
 * Returns false if every upstream of the subset has sent a frame or got a request
 * recently.
 */
bool burdock_router_next_load_request (BurdockRouter *router, uint64_t now_us,
                                       BurdockUpstreamRef *out);

#endif
