/**
 * DOC: leaving-upstreams.h - starts of upstreams that have said that they leave
 *
 * An upstream that leaves does not come back in the same start (its id and time of
 * start), so its notice holds whatever an older row or message says later. Performs no
 * I/O and belongs to one thread.
 */
#ifndef BURDOCK_LEAVING_UPSTREAMS_H
#define BURDOCK_LEAVING_UPSTREAMS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct BurdockLeavingUpstreams BurdockLeavingUpstreams;

/** burdock_leaving_upstreams_new() - creates an empty set; NULL without memory. Release
 * with burdock_leaving_upstreams_free(). */
BurdockLeavingUpstreams *burdock_leaving_upstreams_new (void);
void burdock_leaving_upstreams_free (BurdockLeavingUpstreams *set);

/**
 * burdock_leaving_upstreams_note() - an upstream has said that it leaves
 * @upstream: burdock_member_id() of its id
 * @born_ms: time of day at which it started, 0 if it is not known
 *
 * Returns whether that was not known. Of more than 1,024 notices the oldest is forgotten.
 */
bool burdock_leaving_upstreams_note (BurdockLeavingUpstreams *set, uint64_t upstream,
                                     uint64_t born_ms, uint64_t now_us);

/**
 * burdock_leaving_upstreams_contains() - whether this start of an upstream, or a later
 * one, has said that it leaves
 *
 * A notice is kept for 10 minutes, for one minute if its start is not known.
 */
bool burdock_leaving_upstreams_contains (const BurdockLeavingUpstreams *set,
                                         uint64_t upstream, uint64_t born_ms,
                                         uint64_t now_us);

#endif
