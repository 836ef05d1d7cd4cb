#include "leaving.h"

void
burdock_gateway_leaving_apply (BurdockGateway *gateway, BurdockUpstreamList *list)
{
  BurdockLeavingUpstreams *set = gateway->traffic.leaving_upstreams;
  uint64_t now_us = burdock_loop_now_us ();

  for (uint32_t i = 0; i < list->count; i++) {
    BurdockUpstream *upstream = &list->items[i];

    if (upstream->leaving)
      burdock_leaving_upstreams_note (set, upstream->key, upstream->born_ms, now_us);
    else
      upstream->leaving = burdock_leaving_upstreams_contains (set, upstream->key,
                                                              upstream->born_ms, now_us);
  }
}
