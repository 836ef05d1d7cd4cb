/**
 * DOC: limit-share.h - guaranteed part of a workspace's limit at each entry
 */
#ifndef BURDOCK_LIMIT_SHARE_H
#define BURDOCK_LIMIT_SHARE_H

#include <stdint.h>

/* A quarter of a limit is divided equally among the entries and needs no grant, so that
 * an entry that is partitioned from the others still has a share. */
#define BURDOCK_LIMIT_FLOOR_PARTS 4

/** burdock_limit_floor() - number of requests that each of @entries entries may run
 * without a grant */
static inline uint32_t
burdock_limit_floor (uint32_t limit, uint32_t entries)
{
  uint32_t floor = limit / BURDOCK_LIMIT_FLOOR_PARTS / (entries > 0 ? entries : 1);

  /* Allow one request without a round trip if this uses at most half of the limit. */
  return floor == 0 && limit >= 2 * entries ? 1 : floor;
}

#endif
