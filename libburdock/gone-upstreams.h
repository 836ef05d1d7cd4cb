/**
 * DOC: gone-upstreams.h - starts of upstreams that are known to have ended or left
 *
 * A store that returns from a copy still has the entries of upstreams that have gone
 * since. An upstream that has gone does not come back in the same start, so such an entry
 * can be told by its id and start time. Performs no I/O.
 */
#ifndef BURDOCK_GONE_UPSTREAMS_H
#define BURDOCK_GONE_UPSTREAMS_H

#include "balancer.h"

typedef struct BurdockGoneUpstreams BurdockGoneUpstreams;

/** burdock_gone_upstreams_new() - empty set; NULL without memory. Release with
 * burdock_gone_upstreams_free(), which accepts NULL. */
BurdockGoneUpstreams *burdock_gone_upstreams_new (void);
void burdock_gone_upstreams_free (BurdockGoneUpstreams *gone);

/**
 * burdock_gone_upstreams_add() - records that the upstream @id, started at @born_ms, has
 * gone
 *
 * A record is kept for 10 minutes; of more than 1024, the oldest is forgotten.
 */
void burdock_gone_upstreams_add (BurdockGoneUpstreams *gone, const char *id,
                                 uint64_t born_ms, uint64_t now_us);

/** burdock_gone_upstreams_remove() - the upstream is there again */
void burdock_gone_upstreams_remove (BurdockGoneUpstreams *gone, const char *id);

/** burdock_gone_upstreams_contains() - whether the start of the upstream @id at @born_ms,
 * or a later one, has gone */
bool burdock_gone_upstreams_contains (const BurdockGoneUpstreams *gone, const char *id,
                                      uint64_t born_ms, uint64_t now_us);

/** burdock_gone_upstreams_each() - calls @function for each record */
void burdock_gone_upstreams_each (const BurdockGoneUpstreams *gone, uint64_t now_us,
                                  void (*function) (void *ctx, const char *id,
                                                    uint64_t born_ms),
                                  void *ctx);

#endif
