/**
 * DOC: balancer-fixture.h - a balancer that records its decisions
 */
#ifndef BALANCER_FIXTURE_H
#define BALANCER_FIXTURE_H

#include "balancer.h"
#include "test.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define HEARTBEAT_US UINT64_C (100000)
#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define REQUESTS_MAX 512

typedef struct {
  BurdockBalancer *balancer;
  uint64_t now_us;
  uint64_t next_handle;
  uint64_t placed_at[REQUESTS_MAX]; /* key of the upstream, 0 for none */
  bool refused[REQUESTS_MAX];
  uint32_t placed;
  uint32_t refusals;
  BurdockReason reason;
  uint32_t retry_after_ms;
  uint64_t order[REQUESTS_MAX]; /* handles in the order of placement */
} Fixture;

static inline void
record_placement (void *ctx, uint64_t handle, const BurdockUpstream *upstream)
{
  Fixture *fixture = ctx;

  fixture->placed_at[handle] = upstream->key;
  fixture->order[fixture->placed++] = handle;
}

static inline void
record_refusal (void *ctx, uint64_t handle, BurdockReason reason, uint32_t retry_after_ms)
{
  Fixture *fixture = ctx;

  fixture->refused[handle] = true;
  fixture->refusals++;
  fixture->reason = reason;
  fixture->retry_after_ms = retry_after_ms;
}

static inline BurdockUpstream
upstream (uint64_t key, const char *domain, uint32_t slots)
{
  BurdockUpstream item = { .key = key, .slots = slots };

  snprintf (item.id, sizeof item.id, "u%u", (unsigned)key);
  snprintf (item.pool, sizeof item.pool, "pool");
  snprintf (item.failure_domain, sizeof item.failure_domain, "%s", domain);
  item.address = (BurdockAddress){ (uint32_t)key, 80 };
  return item;
}

static inline void
set_up (Fixture *fixture, const BurdockUpstream *upstreams, uint32_t count)
{
  BurdockBalancerSettings settings = { .failure_domain = "a",
                                       .retry_ratio = 0.2,
                                       .retry_allowance = 90 };
  BurdockBalancerHandler handler = { .ctx = fixture,
                                     .place = record_placement,
                                     .refuse = record_refusal };

  memset (fixture, 0, sizeof *fixture);
  fixture->now_us = US_PER_S;
  fixture->balancer = burdock_balancer_new (&settings, &handler);
  burdock_balancer_set_upstreams (fixture->balancer, upstreams, count, fixture->now_us);
}

/* A stream whose caller leaves if it has not begun within a second. */
static inline BurdockPlacement
placement (Fixture *fixture, uint32_t priority)
{
  return (BurdockPlacement){ .handle = ++fixture->next_handle,
                             .pool = "pool",
                             .priority = priority,
                             .times = { .deadline_us = fixture->now_us + 8 * US_PER_S,
                                        .first_part_deadline_us =
                                            fixture->now_us + US_PER_S } };
}

static inline uint64_t
submit (Fixture *fixture, uint32_t priority)
{
  BurdockPlacement item = placement (fixture, priority);

  burdock_balancer_submit (fixture->balancer, &item, fixture->now_us);
  return item.handle;
}

static inline void
advance_time (Fixture *fixture, uint64_t time_us)
{
  uint64_t until_us = fixture->now_us + time_us;

  while (fixture->now_us < until_us) {
    fixture->now_us += 50 * US_PER_MS;
    burdock_balancer_tick (fixture->balancer, fixture->now_us);
  }
}

#endif
