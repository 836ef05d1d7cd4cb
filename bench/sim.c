#include "sim.h"

#include "message.h"

#include <apr_general.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Address of the first node; the others follow by index. */
#define NODE_IPV4_BASE UINT32_C (0x0a000000)
#define USAGE_PERIOD_US (50 * SIM_US_PER_MS)
/* Added to virtual time to get a plausible wall clock. */
#define WALL_CLOCK_OFFSET_US UINT64_C (1700000000000000)
#define SAME_DOMAIN_DELAY_DIVISOR 10

typedef struct SimEvent {
  uint64_t due_us;
  uint64_t sequence;
  SimEventHandler handler;
  void *data;
} SimEvent;

uint64_t
sim_random (Sim *sim)
{
  uint64_t z = (sim->random_state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

uint64_t
sim_random_below (Sim *sim, uint64_t limit)
{
  return limit > 0 ? sim_random (sim) % limit : 0;
}

static bool
event_before (const SimEvent *a, const SimEvent *b)
{
  return a->due_us != b->due_us ? a->due_us < b->due_us : a->sequence < b->sequence;
}

static void
swap_events (SimEvent *a, SimEvent *b)
{
  SimEvent saved = *a;

  *a = *b;
  *b = saved;
}

void
sim_schedule (Sim *sim, uint64_t due_us, SimEventHandler handler, void *data)
{
  uint32_t at = sim->heap_count++;

  if (sim->heap_count > sim->heap_allocated) {
    sim->heap_allocated = 2 * sim->heap_count + 1024;
    sim->heap = realloc (sim->heap, sim->heap_allocated * sizeof *sim->heap);
  }
  sim->heap[at] = (SimEvent){
    .due_us = due_us > sim->now_us ? due_us : sim->now_us,
    .sequence = sim->sequence++,
    .handler = handler,
    .data = data,
  };
  while (at > 0 && event_before (&sim->heap[at], &sim->heap[(at - 1) / 2])) {
    swap_events (&sim->heap[at], &sim->heap[(at - 1) / 2]);
    at = (at - 1) / 2;
  }
}

static SimEvent
pop_event (Sim *sim)
{
  SimEvent top = sim->heap[0];
  uint32_t at = 0;

  sim->heap[0] = sim->heap[--sim->heap_count];
  for (;;) {
    uint32_t least = at;

    for (uint32_t child = 2 * at + 1; child <= 2 * at + 2; child++) {
      if (child < sim->heap_count && event_before (&sim->heap[child], &sim->heap[least]))
        least = child;
    }
    if (least == at)
      return top;
    swap_events (&sim->heap[at], &sim->heap[least]);
    at = least;
  }
}

void
sim_run_until (Sim *sim, uint64_t until_us)
{
  while (sim->heap_count > 0 && sim->heap[0].due_us <= until_us) {
    SimEvent event = pop_event (sim);

    sim->now_us = event.due_us;
    sim->event_count++;
    event.handler (sim, event.data);
    free (event.data);
  }
  sim->now_us = until_us;
}

Sim *
sim_new (uint64_t seed, uint32_t node_limit)
{
  Sim *sim = calloc (1, sizeof *sim);

  apr_initialize ();
  apr_pool_create (&sim->pool, NULL);
  sim->random_state = seed;
  sim->now_us = SIM_US_PER_S;
  sim->nodes = calloc (node_limit, sizeof (SimNode *));
  sim->connection_epoch =
      calloc ((size_t)node_limit * node_limit, sizeof *sim->connection_epoch);
  sim->connection_last_us =
      calloc ((size_t)node_limit * node_limit, sizeof *sim->connection_last_us);
  sim->network = (SimNetwork){ .cross_domain_delay_us = 500, .jitter_us = 200 };
  sim->store = sim_store_new (sim);
  return sim;
}

static void
free_objects (SimNode *node)
{
  burdock_control_free (node->control);
  if (node->dispatcher != NULL)
    burdock_dispatcher_free (node->dispatcher);
  if (node->executor != NULL)
    burdock_executor_free (node->executor);
  burdock_snapshot_unref (node->snapshot);
  node->control = NULL;
  node->dispatcher = NULL;
  node->executor = NULL;
  node->snapshot = NULL;
}

void
sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < sim->node_count; i++) {
    free_objects (sim->nodes[i]);
    free (sim->nodes[i]);
  }
  for (uint32_t i = 0; i < sim->heap_count; i++)
    free (sim->heap[i].data);
  sim_store_free (sim->store);
  free (sim->heap);
  free (sim->nodes);
  free (sim->connection_epoch);
  free (sim->connection_last_us);
  apr_pool_destroy (sim->pool);
  apr_terminate ();
  free (sim);
}

SimNode *
sim_node_at (Sim *sim, uint32_t ipv4)
{
  uint32_t index = ipv4 - NODE_IPV4_BASE;

  return index < sim->node_count ? sim->nodes[index] : NULL;
}

/* Reschedules an event of a paused process to the end of the pause, which keeps the order
 * of its events. Returns whether it did so. The event gets a copy of @data, as the queue
 * releases @data itself. */
static bool
postpone (Sim *sim, const SimNode *node, SimEventHandler handler, const void *data,
          size_t size_bytes)
{
  void *copy;

  if (sim->now_us >= node->paused_until_us)
    return false;
  copy = malloc (size_bytes);
  memcpy (copy, data, size_bytes);
  sim_schedule (sim, node->paused_until_us, handler, copy);
  return true;
}

typedef struct {
  SimNode *to;
  uint64_t start_count;
  uint64_t sent_epoch; /* epoch when sent, 0 for control messages */
  uint64_t *connection_epoch;
  BurdockAddress from;
  uint16_t port;
  uint32_t length_bytes;
  uint8_t frame[];
} Packet;

typedef struct {
  SimNode *node;
  uint64_t start_count;
  BurdockAddress peer;
  bool connected;
} PeerLoss;

static void
deliver_peer_lost (Sim *sim, void *data)
{
  PeerLoss *loss = data;
  SimNode *node = loss->node;

  if (!node->alive || node->start_count != loss->start_count ||
      postpone (sim, node, deliver_peer_lost, loss, sizeof *loss))
    return;
  if (node->dispatcher != NULL)
    burdock_dispatcher_peer_lost (node->dispatcher, loss->peer, loss->connected);
  if (node->executor != NULL)
    burdock_executor_peer_lost (node->executor, loss->peer);
  sim_tick (node);
}

static void
schedule_peer_lost (SimNode *node, BurdockAddress peer, bool connected)
{
  PeerLoss *loss = malloc (sizeof *loss);

  *loss = (PeerLoss){
    .node = node, .start_count = node->start_count, .peer = peer, .connected = connected
  };
  sim_schedule (node->sim, node->sim->now_us + SIM_US_PER_MS, deliver_peer_lost, loss);
}

/* The epoch of a connection is stored under its pair of entry and agent. */
static uint64_t *
find_connection_epoch (Sim *sim, const SimNode *a, const SimNode *b)
{
  const SimNode *entry = a->settings.role == BURDOCK_ROLE_ENTRY ? a : b;
  const SimNode *agent = entry == a ? b : a;

  return &sim->connection_epoch[(size_t)entry->index * sim->node_count + agent->index];
}

void
sim_cut_connection (SimNode *a, SimNode *b)
{
  uint64_t *epoch = find_connection_epoch (a->sim, a, b);
  SimNode *entry = a->settings.role == BURDOCK_ROLE_ENTRY ? a : b;
  SimNode *agent = entry == a ? b : a;
  BurdockAddress entry_address = { entry->settings.control_address.ipv4,
                                   SIM_PORT_DISPATCHER };

  if (*epoch % 2 == 0)
    return;
  (*epoch)++;
  if (entry->alive)
    schedule_peer_lost (entry, agent->settings.traffic_address, true);
  if (agent->alive)
    schedule_peer_lost (agent, entry_address, true);
}

static void
deliver_packet (Sim *sim, void *data)
{
  Packet *packet = data;
  SimNode *node = packet->to;

  if (!node->alive || node->start_count != packet->start_count)
    return;
  if (packet->connection_epoch != NULL && *packet->connection_epoch != packet->sent_epoch)
    return;
  if (postpone (sim, node, deliver_packet, packet, sizeof *packet + packet->length_bytes))
    return;
  if (packet->port == SIM_PORT_CONTROL)
    burdock_control_receive (node->control, packet->from, packet->frame,
                             packet->length_bytes);
  else if (packet->port == SIM_PORT_TRAFFIC && node->executor != NULL)
    burdock_executor_receive (node->executor, packet->from, packet->frame,
                              packet->length_bytes);
  else if (packet->port == SIM_PORT_DISPATCHER && node->dispatcher != NULL)
    burdock_dispatcher_receive (node->dispatcher, packet->from, packet->frame,
                                packet->length_bytes);
  sim_tick (node);
}

static uint64_t
random_delay_us (Sim *sim, const SimNode *a, const SimNode *b)
{
  uint64_t base = sim->network.cross_domain_delay_us;

  if (a->domain == b->domain)
    base /= SAME_DOMAIN_DELAY_DIVISOR;
  return base + sim_random_below (sim, sim->network.jitter_us + 1);
}

static Packet *
new_packet (SimNode *from, SimNode *to, uint16_t port, const uint8_t *frame,
            uint32_t length_bytes)
{
  Packet *packet = malloc (sizeof *packet + length_bytes);

  *packet = (Packet){
    .to = to,
    .start_count = to->start_count,
    .from = { from->settings.control_address.ipv4, SIM_PORT_CONTROL },
    .port = port,
    .length_bytes = length_bytes,
  };
  memcpy (packet->frame, frame, length_bytes);
  return packet;
}

static void
print_message (const SimNode *from, const SimNode *to, const uint8_t *frame,
               uint32_t length_bytes)
{
  BurdockMessage message;
  BurdockError error;

  if (!from->sim->print_messages ||
      burdock_message_decode (frame, length_bytes, NULL, &message, &error) < 0 ||
      message.header.type == BURDOCK_MSG_HEARTBEAT)
    return;
  printf ("%10.3f %-12s message    %s to %s",
          (double)from->sim->now_us / (double)SIM_US_PER_S, from->settings.name,
          burdock_message_name (message.header.type), to->settings.name);
  if (message.header.type >= BURDOCK_MSG_SWITCH_PREPARE &&
      message.header.type <= BURDOCK_MSG_SWITCH_STATE)
    printf (" rank=%u epoch=%llu step=%llu round=%u status=%d outcome=%u joining=%d",
            message.switching.rank, (unsigned long long)message.switching.epoch,
            (unsigned long long)message.switching.step, message.switching.ballot.round,
            message.switching.status, message.switching.outcome,
            message.switching.joining);
  printf ("\n");
}

static void
send_control (SimNode *from, SimNode *to, const uint8_t *frame, uint32_t length_bytes)
{
  Sim *sim = from->sim;
  uint32_t copies = 1;

  from->control_bytes += length_bytes;
  from->control_messages++;
  print_message (from, to, frame, length_bytes);
  if (!to->alive || sim->domain_partitioned[from->domain][to->domain])
    return;
  if (sim_random_below (sim, 1000) < sim->network.loss_per_mille)
    return;
  if (sim_random_below (sim, 1000) < sim->network.duplicate_per_mille)
    copies = 2;
  for (uint32_t i = 0; i < copies; i++)
    sim_schedule (sim, sim->now_us + random_delay_us (sim, from, to), deliver_packet,
                  new_packet (from, to, SIM_PORT_CONTROL, frame, length_bytes));
}

static int
send_traffic (SimNode *from, SimNode *to, BurdockAddress address, const uint8_t *frame,
              uint32_t length_bytes)
{
  Sim *sim = from->sim;
  uint64_t *epoch = find_connection_epoch (sim, from, to);
  uint64_t *last_us =
      &sim->connection_last_us[(size_t)from->index * sim->node_count + to->index];
  bool from_entry = from->settings.role == BURDOCK_ROLE_ENTRY;
  Packet *packet;
  uint64_t due_us;

  if (*epoch % 2 == 0) {
    if (!from_entry)
      return -ENOTCONN;
    if (!to->alive || sim->domain_partitioned[from->domain][to->domain]) {
      schedule_peer_lost (from, address, false);
      return 0;
    }
    (*epoch)++;
  }
  if (sim->domain_partitioned[from->domain][to->domain] ||
      sim_random_below (sim, 10000) < sim->network.loss_per_mille) {
    sim_cut_connection (from, to);
    return 0;
  }
  packet = new_packet (from, to, from_entry ? SIM_PORT_TRAFFIC : SIM_PORT_DISPATCHER,
                       frame, length_bytes);
  packet->from.port = from_entry ? SIM_PORT_DISPATCHER : SIM_PORT_TRAFFIC;
  packet->connection_epoch = epoch;
  packet->sent_epoch = *epoch;
  due_us = sim->now_us + random_delay_us (sim, from, to);
  *last_us = due_us > *last_us ? due_us : *last_us;
  sim_schedule (sim, *last_us, deliver_packet, packet);
  return 0;
}

static int
env_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  SimNode *node = ctx;
  SimNode *peer = sim_node_at (node->sim, to.ipv4);

  if (peer == NULL)
    return -EHOSTUNREACH;
  if (to.port != SIM_PORT_CONTROL)
    return send_traffic (node, peer, to, frame, length_bytes);
  send_control (node, peer, frame, length_bytes);
  return 0;
}

static uint64_t
env_now_us (void *ctx)
{
  return ((SimNode *)ctx)->sim->now_us;
}

static uint64_t
env_wall_us (void *ctx)
{
  return WALL_CLOCK_OFFSET_US + ((SimNode *)ctx)->sim->now_us;
}

static uint64_t
env_random (void *ctx)
{
  return sim_random (((SimNode *)ctx)->sim);
}

static int
env_store_control (void *ctx, const BurdockStoreCall *call)
{
  return sim_store_call (ctx, call, true);
}

static int
env_store_traffic (void *ctx, const BurdockStoreCall *call)
{
  return sim_store_call (ctx, call, false);
}

static int
env_engine_control (void *ctx, const BurdockEngineCall *call)
{
  SimNode *node = ctx;

  if (node->sim->engine_call == NULL)
    return -ENOTCONN;
  node->sim->engine_call (node, call, true);
  return 0;
}

static int
env_engine_traffic (void *ctx, const BurdockEngineCall *call)
{
  SimNode *node = ctx;

  node->sim->engine_call (node, call, false);
  return 0;
}

static void
env_deliver (void *ctx, const BurdockDelivery *delivery)
{
  SimNode *node = ctx;

  if (node->sim->deliver != NULL)
    node->sim->deliver (node, delivery);
}

static void
env_publish (void *ctx, BurdockSnapshot *snapshot)
{
  SimNode *node = ctx;

  if (node->sim->published != NULL)
    node->sim->published (node, snapshot);
  burdock_snapshot_unref (node->snapshot);
  node->snapshot = snapshot;
  if (node->dispatcher != NULL)
    burdock_dispatcher_set_snapshot (node->dispatcher, burdock_snapshot_ref (snapshot));
  if (node->executor != NULL)
    burdock_executor_set_snapshot (node->executor, burdock_snapshot_ref (snapshot));
}

static void
env_apply_done (void *ctx, const BurdockApplyResult *result)
{
  SimNode *node = ctx;

  if (node->sim->apply_done != NULL)
    node->sim->apply_done (node, result);
}

static void
env_log (void *ctx, BurdockLogLevel level, const BurdockEvent *event)
{
  SimNode *node = ctx;

  if (!node->sim->verbose || level < BURDOCK_LOG_INFO)
    return;
  printf ("%10.3f %-12s %-10s %s peer=%s subject=%s %s\n",
          (double)node->sim->now_us / (double)SIM_US_PER_S, node->settings.name,
          burdock_event_kind_name (event->kind), event->step, event->peer, event->subject,
          event->detail);
}

SimNode *
sim_add_node (Sim *sim, const BurdockSettings *settings, uint32_t domain)
{
  SimNode *node = calloc (1, sizeof *node);
  uint32_t ipv4 = NODE_IPV4_BASE + sim->node_count;

  node->sim = sim;
  node->index = sim->node_count;
  node->domain = domain;
  node->settings = *settings;
  node->settings.control_address = (BurdockAddress){ ipv4, SIM_PORT_CONTROL };
  node->settings.traffic_address = (BurdockAddress){ ipv4, SIM_PORT_TRAFFIC };
  node->settings.http_address = (BurdockAddress){ ipv4, SIM_PORT_HTTP };
  node->env = (BurdockEnv){
    .ctx = node,
    .now_us = env_now_us,
    .wall_us = env_wall_us,
    .random_u64 = env_random,
    .send = env_send,
    .store = env_store_control,
    .engine = env_engine_control,
    .deliver = env_deliver,
    .publish = env_publish,
    .apply_done = env_apply_done,
    .log = env_log,
  };
  sim->nodes[sim->node_count++] = node;
  return node;
}

static void
update_usage (SimNode *node)
{
  Sim *sim = node->sim;
  BurdockUsage usage;

  if (sim->now_us < node->usage_due_us)
    return;
  node->usage_due_us = sim->now_us + USAGE_PERIOD_US;
  if (node->dispatcher != NULL)
    burdock_dispatcher_usage (node->dispatcher, &usage);
  else if (node->executor != NULL)
    burdock_executor_usage (node->executor, &usage);
  else
    return;
  burdock_control_set_usage (node->control, &usage);
}

typedef struct {
  SimNode *node;
  uint64_t start_count;
  uint64_t due_us;
} Tick;

static void
run_tick (Sim *sim, void *data)
{
  Tick *tick = data;
  SimNode *node = tick->node;

  if (!node->alive || node->start_count != tick->start_count ||
      node->tick_due_us != tick->due_us)
    return;
  sim_tick (node);
}

void
sim_tick (SimNode *node)
{
  Sim *sim = node->sim;
  uint64_t next_us;
  uint64_t traffic_us = UINT64_MAX;
  Tick *tick;

  if (!node->alive)
    return;
  if (sim->now_us < node->paused_until_us) {
    next_us = node->paused_until_us;
  } else {
    update_usage (node);
    next_us = burdock_control_tick (node->control);
    if (node->dispatcher != NULL)
      traffic_us = burdock_dispatcher_tick (node->dispatcher);
    else if (node->executor != NULL)
      traffic_us = burdock_executor_tick (node->executor);
    if (traffic_us < next_us)
      next_us = traffic_us;
  }
  if (next_us <= sim->now_us)
    next_us = sim->now_us + 1;
  if (next_us == node->tick_due_us)
    return;
  node->tick_due_us = next_us;
  tick = malloc (sizeof *tick);
  *tick = (Tick){ .node = node, .start_count = node->start_count, .due_us = next_us };
  sim_schedule (sim, next_us, run_tick, tick);
}

void
sim_start (SimNode *node)
{
  Sim *sim = node->sim;
  BurdockEnv traffic = node->env;

  if (node->alive)
    return;
  node->alive = true;
  node->start_count++;
  node->paused_until_us = 0;
  node->tick_due_us = 0;
  node->started_us = sim->now_us;
  node->leaving_notice_us = 0;
  node->generation = 0;
  node->settings.incarnation =
      ((WALL_CLOCK_OFFSET_US + sim->now_us) << 12) | (sim_random (sim) >> 52);
  traffic.store = env_store_traffic;
  traffic.engine = env_engine_traffic;
  if (sim->traffic && node->settings.role == BURDOCK_ROLE_ENTRY)
    node->dispatcher = burdock_dispatcher_new (&node->settings, &traffic);
  if (sim->traffic && node->settings.role == BURDOCK_ROLE_AGENT)
    node->executor = burdock_executor_new (&node->settings, &traffic);
  node->control = burdock_control_new (&node->settings, &node->env);
  sim_tick (node);
}

void
sim_stop (SimNode *node)
{
  Sim *sim = node->sim;

  if (!node->alive)
    return;
  for (uint32_t i = 0; i < sim->node_count; i++) {
    if (sim->nodes[i]->settings.role != node->settings.role)
      sim_cut_connection (node, sim->nodes[i]);
  }
  node->alive = false;
  free_objects (node);
}

void
sim_pause (SimNode *node, uint64_t duration_us)
{
  uint64_t until_us = node->sim->now_us + duration_us;

  if (until_us > node->paused_until_us)
    node->paused_until_us = until_us;
  sim_tick (node);
}
