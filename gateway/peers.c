#include "gateway.h"

#include "gateway-evacuation.h"
#include "leaving.h"
#include "log.h"
#include "quarantine.h"

#include <inttypes.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Heartbeats carry the load of a gateway. A request occupies a slot of an upstream for
 * 1 s or more, so an interval of a tenth of that is short enough. With many gateways the
 * interval grows, so that each one receives at most about 160 heartbeats per second. */
#define HEARTBEAT_INTERVAL_MIN_MS 100
#define HEARTBEATS_MAX_PER_S 160

/* Peers that a heartbeat lists. The first heartbeats of a process list more, as many
 * gateways may start together; later a joining gateway hears from every peer that it
 * learns of, so that a few addresses in each heartbeat are enough. */
#define LISTED_PEERS 4
#define FULL_HEARTBEATS 30

/* A peer is considered unreachable without a heartbeat for this time and for
 * PEER_INTERVALS_MAX of its intervals. */
#define PEER_TIMEOUT_MIN_US UINT64_C (1000000)
#define PEER_INTERVALS_MAX 4

/* The directory may name a gateway for 7 s after it was killed, which is less than
 * PEER_INTERVALS_MAX intervals of more than 280 gateways. */
#define PEER_TIMEOUT_MAX_US UINT64_C (6500000)

/* A peer without a heartbeat for this time is removed and gets no more heartbeats. */
#define PEER_REMOVE_US UINT64_C (10000000)

/* Every gateway sends rosters to every agent, so that the agent knows the gateways; only
 * about three gateways per round include the ranks of its group. A new agent gets its
 * first roster at once. The interval grows with the number of gateways, so that an agent
 * receives at most about 50 rosters per second. */
#define ROSTER_INTERVAL_MIN_MS 500
#define ROSTERS_MAX_PER_S 50
#define ROSTER_SENDERS 3

/* Bits of the port in an address that is passed as one number. */
#define PORT_BITS 16

static BurdockGatewayPeer *
find_peer (BurdockGatewayTraffic *traffic, BurdockAddress address)
{
  for (uint32_t i = 0; i < traffic->peer_count; i++) {
    BurdockGatewayPeer *peer = &traffic->peers[i];

    if (peer->address.ipv4 == address.ipv4 && peer->address.port == address.port)
      return peer;
  }
  return NULL;
}

static BurdockGatewayPeer *
add_peer (BurdockGateway *gateway, BurdockAddress address)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockAddress own = gateway->settings.library.control_address;
  BurdockGatewayPeer *peer = find_peer (traffic, address);

  if (peer != NULL || (address.ipv4 == own.ipv4 && address.port == own.port))
    return peer;
  if (traffic->peer_count == BURDOCK_GATEWAY_PEERS_MAX)
    return NULL;
  peer = &traffic->peers[traffic->peer_count++];
  *peer = (BurdockGatewayPeer){ .address = address, .added_us = burdock_loop_now_us () };
  return peer;
}

bool
burdock_gateway_peer_is_alive (const BurdockGatewayPeer *peer, uint64_t now_us)
{
  uint64_t timeout_us = US_PER_MS * PEER_INTERVALS_MAX * peer->interval_ms;

  if (timeout_us < PEER_TIMEOUT_MIN_US)
    timeout_us = PEER_TIMEOUT_MIN_US;
  if (timeout_us > PEER_TIMEOUT_MAX_US)
    timeout_us = PEER_TIMEOUT_MAX_US;
  return peer->last_heartbeat_us != 0 && now_us - peer->last_heartbeat_us < timeout_us;
}

static void
add_alive_peers (BurdockGateway *gateway, BurdockGatewayLoadMessage *load,
                 uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t limit = traffic->heartbeats_sent < FULL_HEARTBEATS ? BURDOCK_GATEWAY_ITEMS_MAX
                                                              : LISTED_PEERS;

  for (uint32_t i = 0; i < traffic->peer_count && load->peer_count < limit; i++) {
    const BurdockGatewayPeer *peer =
        &traffic->peers[(traffic->peer_offset + i) % traffic->peer_count];

    if (burdock_gateway_peer_is_alive (peer, now_us))
      load->peers[load->peer_count++].address = peer->address;
  }
  traffic->peer_offset += limit;
  traffic->heartbeats_sent++;
}

/* Time between messages of which each of @senders sends one, so that a receiver gets at
 * most @max_per_s of them; at least @min_ms. */
static uint32_t
bounded_interval_ms (uint32_t senders, uint32_t max_per_s, uint32_t min_ms)
{
  uint32_t interval_ms = senders * 1000 / max_per_s;

  return interval_ms > min_ms ? interval_ms : min_ms;
}

static uint32_t
heartbeat_interval_ms (const BurdockGatewayTraffic *traffic)
{
  return bounded_interval_ms (traffic->peer_count, HEARTBEATS_MAX_PER_S,
                              HEARTBEAT_INTERVAL_MIN_MS);
}

static uint32_t
roster_interval_ms (const BurdockGatewayTraffic *traffic)
{
  return bounded_interval_ms (traffic->peer_count + 1, ROSTERS_MAX_PER_S,
                              ROSTER_INTERVAL_MIN_MS);
}

static void
send_message (BurdockGateway *gateway, BurdockMessageType type, const BurdockAddress *to,
              uint32_t count)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->outgoing.header = (BurdockMessageHeader){
    .type = type, .sender_id = gateway->id, .sender_incarnation = gateway->incarnation
  };
  burdock_datagram_socket_send (traffic->datagrams, &traffic->outgoing, to, count);
}

static uint32_t
peer_addresses (const BurdockGatewayTraffic *traffic,
                BurdockAddress to[BURDOCK_GATEWAY_PEERS_MAX])
{
  for (uint32_t i = 0; i < traffic->peer_count; i++)
    to[i] = traffic->peers[i].address;
  return traffic->peer_count;
}

void
burdock_gateway_send_to_peers (BurdockGateway *gateway, BurdockMessageType type)
{
  BurdockAddress to[BURDOCK_GATEWAY_PEERS_MAX];

  send_message (gateway, type, to, peer_addresses (&gateway->traffic, to));
}

static void
send_heartbeat (BurdockGateway *gateway, const BurdockAddress *to, uint32_t count,
                uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockGatewayLoadMessage *load = &traffic->outgoing.gateway_load;

  load->http_address = gateway->settings.library.http_address;
  load->ready = burdock_gateway_is_ready (gateway);
  load->leaving = traffic->leaving;
  load->generation = traffic->table != NULL ? traffic->table->version : 0;
  load->waiting = burdock_balancer_stats (traffic->balancer).waiting;
  memcpy (load->name, gateway->settings.library.name, sizeof load->name);
  load->interval_ms = heartbeat_interval_ms (traffic);
  load->peer_count = 0;
  add_alive_peers (gateway, load, now_us);
  load->item_count =
      burdock_balancer_own_load (traffic->balancer, load->items, BURDOCK_LOAD_ITEMS_MAX);
  send_message (gateway, BURDOCK_MSG_GATEWAY_LOAD, to, count);
}

BurdockOptional
burdock_gateway_peer_config (const BurdockGateway *gateway)
{
  return gateway->peer_has_config ? burdock_optional (gateway->peer_config_version)
                                  : (BurdockOptional){ 0 };
}

/* Version of the configuration of a gateway. A heartbeat without one has the generation
 * 0, which may also be a version; only a gateway with a configuration is ready. */
static BurdockOptional
reported_config (const BurdockGatewayLoadMessage *load)
{
  return load->generation > 0 || load->ready ? burdock_optional (load->generation)
                                             : (BurdockOptional){ 0 };
}

/* Wakes the control thread if it may have to call the other gateway. */
static void
note_configuration (BurdockGateway *gateway, BurdockAddress from,
                    const BurdockGatewayLoadMessage *load)
{
  BurdockOptional known = burdock_gateway_peer_config (gateway);
  BurdockOptional reported = reported_config (load);
  bool newer = burdock_optional_is_above (reported, known);

  if (!newer && !(reported.is_set && burdock_optional_equal (reported, known)))
    return;
  gateway->newest_peer = ((uint64_t)from.ipv4 << PORT_BITS) | from.port;
  gateway->peer_config_version = load->generation;
  gateway->peer_has_config = true;
  gateway->peer_ready = gateway->peer_ready || load->ready;
  if (newer || !gateway->traffic.handover_done)
    burdock_loop_post (gateway->control.runtime.loop, burdock_gateway_control_wake,
                       gateway);
}

static void
handle_heartbeat (BurdockGateway *gateway, BurdockAddress from,
                  const BurdockMessage *message)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  const BurdockGatewayLoadMessage *load = &message->gateway_load;
  uint64_t now_us = burdock_loop_now_us ();
  BurdockGatewayPeer *peer = add_peer (gateway, from);
  bool first;

  if (peer == NULL || message->header.sender_incarnation < peer->incarnation)
    return;
  first = peer->last_heartbeat_us == 0 ||
          message->header.sender_incarnation != peer->incarnation;
  if (!burdock_gateway_peer_is_alive (peer, now_us) || load->leaving != peer->leaving)
    burdock_log (BURDOCK_LOG_INFO, load->leaving ? "gateway leaving" : "gateway heard",
                 load->name, "incarnation %" PRIu64 " ready %d generation %" PRIu64,
                 message->header.sender_incarnation, load->ready, load->generation);
  peer->id = message->header.sender_id;
  peer->incarnation = message->header.sender_incarnation;
  peer->last_heartbeat_us = now_us;
  peer->interval_ms = load->interval_ms;
  peer->http_address = load->http_address;
  peer->ready = load->ready;
  peer->leaving = load->leaving;
  for (uint32_t i = 0; i < load->peer_count; i++)
    add_peer (gateway, load->peers[i].address);
  note_configuration (gateway, from, load);
  burdock_balancer_set_peer_load (traffic->balancer, peer->id,
                                  load->interval_ms * US_PER_MS, load->items,
                                  load->item_count, now_us);
  if (!first)
    return;
  send_heartbeat (gateway, &from, 1, now_us);
  if (burdock_gateway_leaving_tell (gateway, now_us))
    send_message (gateway, BURDOCK_MSG_UPSTREAMS_LEAVING, &from, 1);
  if (burdock_gateway_evacuation_tell (gateway))
    send_message (gateway, BURDOCK_MSG_EVACUATION, &from, 1);
}

static void
handle_evacuation (BurdockGateway *gateway, BurdockAddress from,
                   const BurdockMessage *message)
{
  if (burdock_gateway_evacuation_merge (gateway, message) &&
      burdock_gateway_evacuation_tell (gateway))
    send_message (gateway, BURDOCK_MSG_EVACUATION, &from, 1);
}

static void
handle_store_state (BurdockGateway *gateway, const BurdockStoreStateMessage *state)
{
  if (state->era < gateway->peer_store_era ||
      (state->era == gateway->peer_store_era &&
       state->upstream_version <= gateway->peer_upstream_version))
    return;
  gateway->peer_store_era = state->era;
  gateway->peer_upstream_version = state->upstream_version;
  burdock_loop_post (gateway->control.runtime.loop, burdock_gateway_control_wake,
                     gateway);
}

void
burdock_gateway_handle_datagram (void *ctx, BurdockAddress from,
                                 const BurdockMessage *message)
{
  BurdockGateway *gateway = ctx;

  if (message->header.type == BURDOCK_MSG_GATEWAY_LOAD)
    handle_heartbeat (gateway, from, message);
  else if (message->header.type == BURDOCK_MSG_UPSTREAM_RATES)
    burdock_balancer_merge_rates (gateway->traffic.balancer, message->header.sender_id,
                                  message->upstream_rates.demand_per_1000s,
                                  message->upstream_rates.items,
                                  message->upstream_rates.item_count,
                                  burdock_loop_now_us ());
  else if (message->header.type == BURDOCK_MSG_PROMPT_PARTS)
    burdock_part_quarantine_merge (gateway->traffic.quarantine,
                                   message->prompt_parts.items,
                                   message->prompt_parts.item_count,
                                   burdock_loop_now_us ());
  else if (message->header.type == BURDOCK_MSG_STORE_STATE)
    handle_store_state (gateway, &message->store_state);
  else if (message->header.type == BURDOCK_MSG_UPSTREAMS_LEAVING)
    burdock_gateway_leaving_merge (gateway, &message->upstreams_leaving);
  else if (message->header.type == BURDOCK_MSG_EVACUATION)
    handle_evacuation (gateway, from, message);
  else if (message->header.type == BURDOCK_MSG_RANK_STATE)
    burdock_balancer_set_rank_state (gateway->traffic.balancer, &message->rank_state,
                                     burdock_loop_now_us ());
}

static void
send_upstream_rates (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockUpstreamRatesMessage *rates = &traffic->outgoing.upstream_rates;

  rates->item_count =
      burdock_balancer_own_rates (traffic->balancer, now_us, &rates->demand_per_1000s,
                                  rates->items, BURDOCK_RATE_ITEMS_MAX);
  if (rates->item_count > 0)
    burdock_gateway_send_to_peers (gateway, BURDOCK_MSG_UPSTREAM_RATES);
}

static void
send_store_state (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockStoreState state = { gateway->control.store.era, gateway->upstream_version };

  if (!burdock_store_share_is_due (&traffic->store_share, &state, traffic->peer_count + 1,
                                   now_us))
    return;
  traffic->outgoing.store_state =
      (BurdockStoreStateMessage){ state.era, state.upstream_version };
  burdock_gateway_send_to_peers (gateway, BURDOCK_MSG_STORE_STATE);
}

static bool
sends_rank_list (const BurdockGateway *gateway, const BurdockAgentPeer *agent)
{
  uint64_t gateways = gateway->traffic.peer_count + 1;

  if (gateways <= ROSTER_SENDERS)
    return true;
  return (gateway->id + agent->address.ipv4 + gateway->traffic.roster_round) %
             (gateways / ROSTER_SENDERS) ==
         0;
}

/* An agent listens on the control port that all gateways and agents use, at the IP
 * address of its runner. */
static void
send_roster (BurdockGateway *gateway, BurdockAgentPeer *agent)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockRosterMessage *roster = &traffic->outgoing.roster;
  const BurdockPool *pool =
      apr_hash_get (traffic->table->pools, agent->pool, APR_HASH_KEY_STRING);

  if (pool == NULL || pool->shape.layers == 0)
    return;
  agent->roster_sent = true;
  traffic->outgoing.header =
      (BurdockMessageHeader){ .type = BURDOCK_MSG_RANK_ROSTER,
                              .sender_id = gateway->id,
                              .sender_incarnation = gateway->incarnation };
  roster->layers = pool->shape.layers;
  roster->experts = pool->shape.experts;
  roster->slots = pool->shape.slots;
  roster->loads_max = pool->shape.loads_max;
  roster->expert_copy_us = pool->shape.expert_copy_us;
  roster->interval_ms = roster_interval_ms (traffic);
  roster->wants_state =
      !burdock_balancer_knows_group (traffic->balancer, agent->upstream);
  roster->rank_count = 0;
  if (sends_rank_list (gateway, agent))
    roster->rank_count =
        burdock_balancer_group_ranks (traffic->balancer, agent->upstream, roster->ranks,
                                      BURDOCK_ROSTER_RANKS_MAX);
  burdock_datagram_socket_send (traffic->datagrams, &traffic->outgoing, &agent->address,
                                1);
}

static void
remove_silent_peers (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < traffic->peer_count; i++) {
    const BurdockGatewayPeer *peer = &traffic->peers[i];
    uint64_t since_us = peer->last_heartbeat_us > peer->added_us ? peer->last_heartbeat_us
                                                                 : peer->added_us;

    if (now_us - since_us < PEER_REMOVE_US)
      traffic->peers[kept++] = *peer;
  }
  traffic->peer_count = kept;
}

/* Sends rosters to all agents when due, otherwise to new ones only. */
static void
send_rosters (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  bool due = now_us >= traffic->next_roster_us;

  if (due) {
    traffic->next_roster_us = now_us + roster_interval_ms (traffic) * US_PER_MS;
    traffic->roster_round++;
  }
  for (uint32_t i = 0; i < traffic->agent_count; i++) {
    if (due || !traffic->agents[i].roster_sent)
      send_roster (gateway, &traffic->agents[i]);
  }
}

uint64_t
burdock_gateway_peers_tick (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  const BurdockSettings *library = &gateway->settings.library;
  BurdockAddress to[BURDOCK_GATEWAY_PEERS_MAX];
  bool due = now_us >= traffic->next_heartbeat_us;

  if (due) {
    traffic->next_heartbeat_us = now_us + heartbeat_interval_ms (traffic) * US_PER_MS;
    remove_silent_peers (gateway, now_us);
    /* All gateways of a deployment use the same control port; the ports of the seeds are
     * ignored. */
    for (uint32_t i = 0; i < library->seed_count; i++)
      add_peer (gateway, (BurdockAddress){ library->seeds[i].ipv4,
                                           library->control_address.port });
    gateway->gateway_count = traffic->peer_count + 1;
    send_heartbeat (gateway, to, peer_addresses (traffic, to), now_us);
    send_upstream_rates (gateway, now_us);
  }
  burdock_gateway_quarantine_share (gateway, due, now_us);
  send_store_state (gateway, now_us);
  burdock_gateway_leaving_share (gateway, now_us);
  burdock_gateway_evacuation_share (gateway, now_us);
  if (traffic->table != NULL)
    send_rosters (gateway, now_us);
  return traffic->next_heartbeat_us < traffic->next_roster_us ? traffic->next_heartbeat_us
                                                              : traffic->next_roster_us;
}
