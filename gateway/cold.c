#include "cold.h"

#include "log.h"

#include <apr_hash.h>
#include <stdlib.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)

/* All upstreams of a failure domain become cold at once. */
#define LINES_PER_S_MAX 8

void
burdock_gateway_cold_apply (BurdockGateway *gateway)
{
  apr_hash_t *pools = gateway->traffic.table->pools;
  BurdockColdPool *items = calloc (apr_hash_count (pools) + 1, sizeof *items);
  uint32_t count = 0;

  if (items == NULL)
    abort ();
  for (apr_hash_index_t *at = apr_hash_first (NULL, pools); at != NULL;
       at = apr_hash_next (at)) {
    const BurdockPool *pool = apr_hash_this_val (at);

    items[count++] =
        (BurdockColdPool){ .pool = pool->name,
                           .limit = { .start_us = pool->cold_start_ms * US_PER_MS,
                                      .per_s = pool->cold_per_s } };
  }
  burdock_balancer_set_cold_pools (gateway->traffic.balancer, items, count);
  free (items);
}

void
burdock_gateway_cold_record_answer (BurdockGateway *gateway, uint64_t upstream,
                                    BurdockHttpTransfer *transfer)
{
  uint32_t left_ms;

  if (burdock_exchange_read_cold_left (transfer, &left_ms))
    burdock_balancer_record_cold (gateway->traffic.balancer, upstream, left_ms,
                                  burdock_loop_now_us ());
}

static bool
take_line (BurdockGatewayColdLog *log, uint64_t now_us)
{
  if (now_us >= log->from_us + US_PER_S) {
    if (log->left_out > 0)
      burdock_log (BURDOCK_LOG_INFO, "upstreams cold or warm", "-",
                   "%u more changes without a line", log->left_out);
    *log = (BurdockGatewayColdLog){ .from_us = now_us };
  }
  if (log->lines == LINES_PER_S_MAX) {
    log->left_out++;
    return false;
  }
  log->lines++;
  return true;
}

void
burdock_gateway_cold_changed (void *ctx, const BurdockUpstream *upstream,
                              uint32_t left_ms, double per_s)
{
  BurdockGateway *gateway = ctx;

  if (!take_line (&gateway->traffic.cold_log, burdock_loop_now_us ()))
    return;
  if (left_ms > 0)
    burdock_log (BURDOCK_LOG_INFO, "upstream cold", upstream->id,
                 "left_ms %u pool %s, %.3f requests per second from this gateway",
                 left_ms, upstream->pool, per_s);
  else
    burdock_log (BURDOCK_LOG_INFO, "upstream warm", upstream->id, "pool %s",
                 upstream->pool);
}
