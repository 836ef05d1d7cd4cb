/* Rate limits that upstreams name, shared with the other gateways. */
#include "balancer-private.h"

#define US_PER_MS UINT64_C (1000)

/* Datagrams may be lost, so a new limit, or its end, is reported several times. */
#define RATE_REPORTS 5

bool
burdock_balancer_record_limit (BurdockBalancer *balancer, uint64_t upstream, double per_s,
                               uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL || !burdock_rate_share_state (&node->rate, per_s, now_us))
    return false;
  node->rate_reports_left = RATE_REPORTS;
  return true;
}

static uint32_t
statement_age_ms (const Node *node, uint64_t now_us)
{
  uint64_t age_ms = (now_us - node->rate.stated_us) / US_PER_MS;

  return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

uint32_t
burdock_balancer_own_rates (BurdockBalancer *balancer, uint64_t now_us,
                            uint32_t *demand_per_1000s, BurdockRateItem *items,
                            uint32_t limit)
{
  uint32_t start = balancer->rate_offset;
  uint32_t count = 0;

  *demand_per_1000s = (uint32_t)(balancer->demand_per_s * 1000);
  for (uint32_t i = 0; i < balancer->node_count && count < limit; i++) {
    uint32_t at = (start + i) % balancer->node_count;
    Node *node = balancer->nodes[at];

    if (!node->rate.limited && node->rate_reports_left == 0)
      continue;
    items[count++] = (BurdockRateItem){
      .upstream_id = node->info.key,
      .limit_per_1000s = node->rate.limited ? (uint32_t)(node->rate.limit_per_s * 1000)
                                            : BURDOCK_RATE_ITEM_UNLIMITED,
      .age_ms = statement_age_ms (node, now_us),
      .sent = node->rate.unreported,
    };
    node->rate.unreported = 0;
    if (node->rate_reports_left > 0)
      node->rate_reports_left--;
    balancer->rate_offset = at + 1;
  }
  return count;
}

void
burdock_balancer_merge_rates (BurdockBalancer *balancer, uint64_t peer,
                              uint32_t demand_per_1000s, const BurdockRateItem *items,
                              uint32_t count, uint64_t now_us)
{
  Peer *sender = apr_hash_get (balancer->peers, &peer, sizeof peer);

  balancer->now_us = now_us;
  if (sender != NULL)
    sender->demand_per_s = demand_per_1000s / 1000.0;
  for (uint32_t i = 0; i < count; i++) {
    Node *node = burdock_balancer_node (balancer, items[i].upstream_id);
    uint64_t age_us = items[i].age_ms * US_PER_MS;
    double per_s = items[i].limit_per_1000s == BURDOCK_RATE_ITEM_UNLIMITED
                       ? BURDOCK_RATE_UNLIMITED
                       : items[i].limit_per_1000s / 1000.0;

    if (node == NULL)
      continue;
    burdock_rate_share_state (&node->rate, per_s, now_us > age_us ? now_us - age_us : 0);
    burdock_rate_share_peer_sent (&node->rate, items[i].sent);
  }
}
