/**
 * DOC: leaving-upstreams.h - starts of upstreams that have said that they leave
 *
 * An upstream that leaves does not come back in the same start (its id and time of
 * start), so its notice holds whatever an older row or message says later. The notice
 * stands in its row, which all gateways read, and in its answers, which one gateway gets,
 * so the gateways tell each other: at once, and for a minute in turns. Performs no I/O
 * and belongs to one thread.
 */
#ifndef BURDOCK_LEAVING_UPSTREAMS_H
#define BURDOCK_LEAVING_UPSTREAMS_H

#include "message.h"

/** enum BurdockNoticeSource - where a notice was read */
typedef enum {
  BURDOCK_NOTICE_ROW = 1, /* in the store, where the other gateways read it too */
  BURDOCK_NOTICE_ANSWER,  /* in an answer to this gateway */
  BURDOCK_NOTICE_GATEWAY, /* in a message of another gateway */
} BurdockNoticeSource;

typedef struct BurdockLeavingUpstreams BurdockLeavingUpstreams;

/**
 * burdock_leaving_upstreams_new() - creates an empty set; NULL without memory
 * @gateway: id of the gateway
 *
 * Release with burdock_leaving_upstreams_free().
 */
BurdockLeavingUpstreams *burdock_leaving_upstreams_new (uint64_t gateway);
void burdock_leaving_upstreams_free (BurdockLeavingUpstreams *set);

/**
 * burdock_leaving_upstreams_note() - an upstream has said that it leaves
 * @upstream: burdock_member_id() of its id
 * @born_ms: time of day at which it started, 0 if it is not known
 *
 * Returns whether that was not known. Of more than 1,024 notices the oldest is forgotten.
 */
bool burdock_leaving_upstreams_note (BurdockLeavingUpstreams *set, uint64_t upstream,
                                     uint64_t born_ms, BurdockNoticeSource source,
                                     uint64_t now_us);

/**
 * burdock_leaving_upstreams_contains() - whether this start of an upstream, or a later
 * one, has said that it leaves
 *
 * A notice is kept for 10 minutes, for a start that is not known or before it for one
 * minute.
 */
bool burdock_leaving_upstreams_contains (const BurdockLeavingUpstreams *set,
                                         uint64_t upstream, uint64_t born_ms,
                                         uint64_t now_us);

/**
 * burdock_leaving_upstreams_share() - notices to send to all other gateways now
 * @gateways: number of gateways, this one included
 *
 * Returns the number of entries written to @items, at most @limit; the next call goes on
 * with the others.
 */
uint32_t burdock_leaving_upstreams_share (BurdockLeavingUpstreams *set, uint32_t gateways,
                                          uint64_t now_us, BurdockLeavingItem *items,
                                          uint32_t limit);

/** burdock_leaving_upstreams_list() - notices of the last minute, for a gateway that has
 * just started; as burdock_leaving_upstreams_share() */
uint32_t burdock_leaving_upstreams_list (const BurdockLeavingUpstreams *set,
                                         uint64_t now_us, BurdockLeavingItem *items,
                                         uint32_t limit);

#endif
