#include "leaving.h"

#include "log.h"

static void
note (BurdockGateway *gateway, uint64_t upstream, uint64_t born_ms,
      BurdockNoticeSource source)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  const char *id;

  if (!burdock_leaving_upstreams_note (traffic->leaving_upstreams, upstream, born_ms,
                                       source, burdock_loop_now_us ()))
    return;
  id = burdock_balancer_set_leaving (traffic->balancer, upstream, born_ms);
  if (id != NULL)
    burdock_log (BURDOCK_LOG_INFO, "upstream leaving", id, "%s",
                 source == BURDOCK_NOTICE_ANSWER ? "its answer says so"
                                                 : "another gateway says so");
}

void
burdock_gateway_leaving_apply (BurdockGateway *gateway, BurdockUpstreamList *list)
{
  BurdockLeavingUpstreams *set = gateway->traffic.leaving_upstreams;
  uint64_t now_us = burdock_loop_now_us ();

  for (uint32_t i = 0; i < list->count; i++) {
    BurdockUpstream *upstream = &list->items[i];

    if (upstream->leaving)
      burdock_leaving_upstreams_note (set, upstream->key, upstream->born_ms,
                                      BURDOCK_NOTICE_ROW, now_us);
    else
      upstream->leaving = burdock_leaving_upstreams_contains (set, upstream->key,
                                                              upstream->born_ms, now_us);
  }
}

void
burdock_gateway_leaving_note (BurdockGateway *gateway, const BurdockUpstream *upstream)
{
  note (gateway, upstream->key, upstream->born_ms, BURDOCK_NOTICE_ANSWER);
}

void
burdock_gateway_leaving_merge (BurdockGateway *gateway,
                               const BurdockUpstreamsLeavingMessage *message)
{
  for (uint32_t i = 0; i < message->item_count; i++)
    note (gateway, message->items[i].upstream_id, message->items[i].born_ms,
          BURDOCK_NOTICE_GATEWAY);
}

bool
burdock_gateway_leaving_tell (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockUpstreamsLeavingMessage *message = &gateway->traffic.outgoing.upstreams_leaving;

  message->item_count =
      burdock_leaving_upstreams_list (gateway->traffic.leaving_upstreams, now_us,
                                      message->items, BURDOCK_LEAVING_ITEMS_MAX);
  return message->item_count > 0;
}

void
burdock_gateway_leaving_share (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockUpstreamsLeavingMessage *message = &traffic->outgoing.upstreams_leaving;

  message->item_count =
      burdock_leaving_upstreams_share (traffic->leaving_upstreams,
                                       traffic->peer_count + 1, now_us, message->items,
                                       BURDOCK_LEAVING_ITEMS_MAX);
  if (message->item_count > 0)
    burdock_gateway_send_to_peers (gateway, BURDOCK_MSG_UPSTREAMS_LEAVING);
}
