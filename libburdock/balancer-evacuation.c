/* Failure domains whose upstreams take no new requests. */
#include "balancer-private.h"
#include "error.h"

#include <stdio.h>
#include <string.h>

bool
burdock_balancer_is_evacuated (const BurdockBalancer *balancer,
                               const char *failure_domain)
{
  for (uint32_t i = 0; i < balancer->evacuated_count; i++) {
    if (strcmp (balancer->evacuated[i], failure_domain) == 0)
      return true;
  }
  return false;
}

void
burdock_balancer_set_evacuated (BurdockBalancer *balancer,
                                const BurdockEvacuationItem *items, uint32_t count,
                                uint64_t now_us)
{
  balancer->now_us = now_us;
  balancer->evacuated_count = 0;
  for (uint32_t i = 0; i < count && i < BURDOCK_EVACUATION_ITEMS_MAX; i++) {
    if (items[i].evacuated)
      burdock_copy_name (balancer->evacuated[balancer->evacuated_count++],
                         BURDOCK_NAME_BYTES, items[i].failure_domain);
  }
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    burdock_balancer_subtract_from_group (node);
    node->evacuated = burdock_balancer_is_evacuated (balancer, node->info.failure_domain);
    burdock_balancer_add_to_group (node);
  }
  /* Refuses what can no longer start in time, and places what can. */
  burdock_balancer_tick_queue (balancer);
}

uint32_t
burdock_balancer_domain_count (const BurdockBalancer *balancer,
                               const char *failure_domain)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    count += node->listed && strcmp (node->info.failure_domain, failure_domain) == 0;
  }
  return count;
}
