#include "fleet.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define BUCKET_US (100 * US_PER_MS)
#define WALL_START_US UINT64_C (1700000000000000)
#define TIMELINE_EVENTS 64
#define NETWORK_IPV4 UINT32_C (0x0a000000)
#define CONTROL_PORT 7000

typedef enum {
  EVENT_TICK = 1,
  EVENT_FRAME,
  EVENT_STORE_EFFECT,
  EVENT_STORE_RESULT,
} EventKind;

/**
 * struct FleetEvent - event due on virtual time
 * @sequence: orders events that are due at the same time
 * @slot: node that handles the event
 * @from: slot of the sender of a frame
 * @start_count: the event is dropped if the node has another start count; 0 for any
 * @answer_lost: whether the answer to the store call is lost
 */
struct FleetEvent {
  uint64_t due_us;
  uint64_t sequence;
  EventKind kind;
  uint32_t slot;
  uint32_t from;
  uint64_t start_count;
  bool answer_lost;
  uint8_t *data;
  uint32_t length_bytes;
  BurdockStoreCall *call;
  BurdockStoreResult result;
};

uint64_t
fleet_random (Fleet *fleet)
{
  uint64_t x = fleet->random_state += UINT64_C (0x9e3779b97f4a7c15);

  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

static bool
event_before (const FleetEvent *a, const FleetEvent *b)
{
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us;
  return a->sequence < b->sequence;
}

static void
swap_events (FleetEvent *a, FleetEvent *b)
{
  FleetEvent other = *a;

  *a = *b;
  *b = other;
}

static void
push_event (Fleet *fleet, FleetEvent event)
{
  uint32_t at = fleet->event_count++;

  if (at == fleet->event_allocated) {
    fleet->event_allocated = at > 0 ? 2 * at : 256;
    fleet->events =
        realloc (fleet->events, fleet->event_allocated * sizeof *fleet->events);
  }
  event.sequence = ++fleet->sequence;
  fleet->events[at] = event;
  while (at > 0 && event_before (&fleet->events[at], &fleet->events[(at - 1) / 2])) {
    swap_events (&fleet->events[at], &fleet->events[(at - 1) / 2]);
    at = (at - 1) / 2;
  }
}

static FleetEvent
pop_event (Fleet *fleet)
{
  FleetEvent first = fleet->events[0];
  uint32_t at = 0;

  fleet->events[0] = fleet->events[--fleet->event_count];
  fleet->events[fleet->event_count] = (FleetEvent){ .due_us = 0 };
  for (;;) {
    uint32_t child = 2 * at + 1;

    if (child + 1 < fleet->event_count &&
        event_before (&fleet->events[child + 1], &fleet->events[child]))
      child++;
    if (child >= fleet->event_count ||
        event_before (&fleet->events[at], &fleet->events[child]))
      return first;
    swap_events (&fleet->events[at], &fleet->events[child]);
    at = child;
  }
}

static void
free_event (FleetEvent *event)
{
  free (event->data);
  if (event->call != NULL)
    fake_call_free (event->call);
}

static void
count_call (Fleet *fleet, FleetRate *rate)
{
  uint64_t bucket = fleet->now_us / BUCKET_US;
  uint32_t sum = 0;

  if (bucket >= rate->bucket + FLEET_WINDOW_BUCKETS)
    memset (rate->counts, 0, sizeof rate->counts);
  for (uint64_t i = rate->bucket + 1;
       i <= bucket && i < rate->bucket + FLEET_WINDOW_BUCKETS; i++)
    rate->counts[i % FLEET_WINDOW_BUCKETS] = 0;
  rate->bucket = bucket;
  rate->total++;
  rate->counts[bucket % FLEET_WINDOW_BUCKETS]++;
  for (uint32_t i = 0; i < FLEET_WINDOW_BUCKETS; i++)
    sum += rate->counts[i];
  if (sum > rate->peak)
    rate->peak = sum;
}

/* Environment of a node. */

static uint64_t
env_now (void *ctx)
{
  return ((FleetNode *)ctx)->fleet->now_us;
}

static uint64_t
env_wall (void *ctx)
{
  return WALL_START_US + ((FleetNode *)ctx)->fleet->now_us;
}

static uint64_t
env_random (void *ctx)
{
  return fleet_random (((FleetNode *)ctx)->fleet);
}

static int
env_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  FleetNode *node = ctx;
  Fleet *fleet = node->fleet;
  uint32_t slot = to.ipv4 - NETWORK_IPV4;
  FleetEvent event = { .kind = EVENT_FRAME, .slot = slot, .from = node->slot };

  if (fleet_random (fleet) % 1000 < fleet->loss_per_mille ||
      (fleet->filter != NULL && !fleet->filter (fleet, node->slot, slot)))
    return 0;
  event.due_us =
      fleet->now_us + fleet->latency_us + fleet_random (fleet) % (fleet->latency_us + 1);
  event.data = malloc (length_bytes);
  memcpy (event.data, frame, length_bytes);
  event.length_bytes = length_bytes;
  push_event (fleet, event);
  return 0;
}

static void
push_result (Fleet *fleet, uint32_t slot, uint64_t start_count, uint64_t due_us,
             const BurdockStoreResult *result)
{
  FleetEvent event = { .kind = EVENT_STORE_RESULT,
                       .due_us = due_us,
                       .slot = slot,
                       .start_count = start_count,
                       .result = *result };

  if (result->value.length_bytes > 0) {
    event.data = malloc (result->value.length_bytes);
    memcpy (event.data, result->value.data, result->value.length_bytes);
    event.result.value.data = event.data;
  }
  push_event (fleet, event);
}

static int
env_store (void *ctx, const BurdockStoreCall *call)
{
  FleetNode *node = ctx;
  Fleet *fleet = node->fleet;
  bool write =
      call->op == BURDOCK_STORE_ROW_PUT_IF || call->op == BURDOCK_STORE_OBJECT_PUT;
  BurdockStoreResult failed = { .id = call->id, .op = call->op, .status = -EAGAIN };
  FleetEvent effect = { .kind = EVENT_STORE_EFFECT,
                        .due_us = fleet->now_us + fleet->store_latency_us +
                                  fleet_random (fleet) % (fleet->store_latency_us + 1),
                        .slot = node->slot,
                        .start_count = node->start_count };

  count_call (fleet, write ? &fleet->writes : &fleet->reads);
  if (fleet->store_down) {
    push_result (fleet, node->slot, node->start_count, effect.due_us, &failed);
    return 0;
  }
  if (call->op == BURDOCK_STORE_ROW_PUT_IF && fleet->late_writes > 0) {
    fleet->late_writes--;
    effect.due_us += fleet->late_write_delay_us;
    effect.answer_lost = true;
  } else if (call->op == BURDOCK_STORE_ROW_PUT_IF && fleet->lose_answers > 0) {
    fleet->lose_answers--;
    effect.answer_lost = true;
  }
  effect.call = fake_call_copy (call);
  push_event (fleet, effect);
  if (effect.answer_lost) {
    failed.status = -ETIMEDOUT;
    push_result (fleet, node->slot, node->start_count,
                 fleet->now_us + call->timeout_ms * US_PER_MS, &failed);
  }
  return 0;
}

static int
env_engine (void *ctx, const BurdockEngineCall *call)
{
  return -ENOTSUP;
}

static void
env_publish (void *ctx, BurdockSnapshot *snapshot)
{
  burdock_snapshot_unref (snapshot);
}

static void
env_apply_done (void *ctx, const BurdockApplyResult *result)
{
  FleetNode *node = ctx;

  if (node->result_count < FLEET_RESULTS_MAX)
    node->results[node->result_count++] = *result;
}

static const BurdockEnv node_env = {
  .now_us = env_now,
  .wall_us = env_wall,
  .random_u64 = env_random,
  .send = env_send,
  .store = env_store,
  .engine = env_engine,
  .publish = env_publish,
  .apply_done = env_apply_done,
};

/* Start and stop of a node. */

static BurdockAddress
slot_address (uint32_t slot)
{
  return (BurdockAddress){ .ipv4 = NETWORK_IPV4 + slot, .port = CONTROL_PORT };
}

static BurdockSettings
node_settings (const Fleet *fleet, uint32_t slot, BurdockRole role, uint64_t start_count,
               uint32_t seed_slots)
{
  BurdockSettings settings = {
    /* Incarnations are unique per instance only: two instances may have the same. */
    .incarnation = ((WALL_START_US + fleet->now_us) << 8) + start_count,
    .role = role,
    .control_address = slot_address (slot),
    .http_address = { NETWORK_IPV4 + slot, CONTROL_PORT + 1 },
    .traffic_address = { NETWORK_IPV4 + slot, CONTROL_PORT + 2 },
    .capacity = 8,
    .answer_lifetime_ms = 1000,
  };

  snprintf (settings.name, sizeof settings.name, "%s-%u",
            role == BURDOCK_ROLE_ENTRY ? "entry" : "agent", slot);
  snprintf (settings.failure_domain, sizeof settings.failure_domain, "d%u", slot % 3);
  for (uint32_t i = 0; i < seed_slots && i < 16; i++)
    settings.seeds[settings.seed_count++] = slot_address (i);
  return settings;
}

static void
clear_node (FleetNode *node)
{
  if (!node->alive)
    return;
  burdock_store_free (node->core.store);
  for (uint32_t i = 0; i < node->controller_count; i++)
    node->controllers[i].free (node->controllers[i].ctx);
  burdock_blackboard_clear (&node->core.board);
  burdock_timeline_free (node->core.timeline);
  node->alive = false;
}

static FleetNode *
node_at (Fleet *fleet, uint32_t slot)
{
  if (slot >= fleet->node_count) {
    fleet->nodes = realloc (fleet->nodes, (slot + 1) * sizeof (FleetNode *));
    while (fleet->node_count <= slot) {
      fleet->nodes[fleet->node_count] = calloc (1, sizeof (FleetNode));
      fleet->nodes[fleet->node_count]->slot = fleet->node_count;
      fleet->nodes[fleet->node_count++]->fleet = fleet;
    }
  }
  return fleet->nodes[slot];
}

static void
push_tick (FleetNode *node, uint64_t due_us)
{
  node->tick_due_us = due_us;
  push_event (node->fleet, (FleetEvent){ .kind = EVENT_TICK,
                                         .due_us = due_us,
                                         .slot = node->slot,
                                         .start_count = node->start_count });
}

FleetNode *
fleet_start (Fleet *fleet, uint32_t slot, BurdockRole role,
             const FleetController *controllers, uint32_t controller_count,
             uint32_t seed_slots)
{
  FleetNode *node = node_at (fleet, slot);
  BurdockCore *core = &node->core;
  BurdockSettings settings;

  clear_node (node);
  node->alive = true;
  node->start_count++;
  node->paused_until_us = 0;
  node->result_count = 0;
  node->env = node_env;
  node->env.ctx = node;
  settings = node_settings (fleet, slot, role, node->start_count, seed_slots);
  memset (core, 0, sizeof *core);
  core->env = &node->env;
  core->timeline = burdock_timeline_new (core->env, TIMELINE_EVENTS);
  core->store = burdock_store_new (core->env, &core->counters);
  burdock_blackboard_init (&core->board, &settings, fleet->now_us);
  node->controller_count = controller_count;
  for (uint32_t i = 0; i < controller_count; i++)
    node->controllers[i] = controllers[i](core, i);
  push_tick (node, fleet->now_us);
  return node;
}

void
fleet_kill (Fleet *fleet, uint32_t slot)
{
  clear_node (fleet->nodes[slot]);
}

void
fleet_pause (Fleet *fleet, uint32_t slot, uint64_t duration_us)
{
  fleet->nodes[slot]->paused_until_us = fleet->now_us + duration_us;
}

static void
tick_node (FleetNode *node)
{
  uint64_t now_us = node->fleet->now_us;
  uint64_t next_us = burdock_store_tick (node->core.store);

  for (uint32_t i = 0; i < node->controller_count; i++) {
    const BurdockController *controller = &node->controllers[i];
    uint64_t due_us = BURDOCK_NEVER_US;

    if (controller->tick != NULL)
      due_us = controller->tick (controller->ctx, now_us);
    next_us = due_us < next_us ? due_us : next_us;
  }
  if (burdock_store_tick (node->core.store) < next_us)
    next_us = burdock_store_tick (node->core.store);
  push_tick (node, next_us > now_us ? next_us : now_us + 1);
}

void
fleet_tick_now (Fleet *fleet, uint32_t slot)
{
  push_tick (fleet->nodes[slot], fleet->now_us);
}

static void
receive_frame (FleetNode *node, const FleetEvent *event)
{
  BurdockCore *core = &node->core;
  BurdockMessage *message = malloc (sizeof *message);
  BurdockError error;
  uint64_t target;

  if (burdock_message_decode (event->data, event->length_bytes, &core->keys, message,
                              &error) == 0) {
    target = message->header.target_incarnation;
    for (uint32_t i = 0; i < node->controller_count; i++) {
      const BurdockController *controller = &node->controllers[i];

      if (controller->message != NULL &&
          (target == 0 || target == core->board.self.settings.incarnation))
        controller->message (controller->ctx, slot_address (event->from), message);
    }
  }
  free (message);
}

static void
apply_store_call (Fleet *fleet, const FleetEvent *event)
{
  BurdockStoreResult result;

  fake_store_apply (&fleet->store, event->call, &result);
  if (!event->answer_lost)
    push_result (fleet, event->slot, event->start_count,
                 fleet->now_us + fleet->store_latency_us +
                     fleet_random (fleet) % (fleet->store_latency_us + 1),
                 &result);
}

static void
handle_event (FleetNode *node, const FleetEvent *event)
{
  switch (event->kind) {
  case EVENT_TICK:
    if (event->due_us == node->tick_due_us || node->fleet->now_us >= node->tick_due_us)
      tick_node (node);
    break;
  case EVENT_FRAME:
    receive_frame (node, event);
    break;
  case EVENT_STORE_RESULT:
    burdock_store_handle_result (node->core.store, &event->result);
    break;
  case EVENT_STORE_EFFECT:
    break;
  }
}

/* Defers an event of a paused node until the end of the pause. */
static void
defer_event (FleetNode *node, FleetEvent event)
{
  event.due_us = node->paused_until_us;
  if (event.kind == EVENT_TICK)
    node->tick_due_us = event.due_us;
  push_event (node->fleet, event);
}

bool
fleet_step (Fleet *fleet, uint64_t until_us)
{
  FleetEvent event;
  FleetNode *node;

  if (fleet->event_count == 0 || fleet->events[0].due_us > until_us)
    return false;
  event = pop_event (fleet);
  if (event.due_us > fleet->now_us)
    fleet->now_us = event.due_us;
  if (event.kind == EVENT_STORE_EFFECT) {
    apply_store_call (fleet, &event);
    free_event (&event);
    return true;
  }
  node = event.slot < fleet->node_count ? fleet->nodes[event.slot] : NULL;
  if (node == NULL || !node->alive ||
      (event.start_count != 0 && event.start_count != node->start_count)) {
    free_event (&event);
  } else if (node->paused_until_us > fleet->now_us) {
    defer_event (node, event);
  } else {
    handle_event (node, &event);
    free_event (&event);
  }
  return true;
}

void
fleet_run (Fleet *fleet, uint64_t duration_us)
{
  uint64_t until_us = fleet->now_us + duration_us;

  while (fleet_step (fleet, until_us))
    continue;
  fleet->now_us = until_us;
}

Fleet *
fleet_new (uint64_t seed)
{
  Fleet *fleet = calloc (1, sizeof *fleet);

  fleet->random_state = seed;
  fleet->now_us = 1000 * US_PER_MS;
  fleet->latency_us = US_PER_MS;
  fleet->store_latency_us = 2 * US_PER_MS;
  fake_store_init (&fleet->store);
  return fleet;
}

void
fleet_free (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++) {
    clear_node (fleet->nodes[i]);
    free (fleet->nodes[i]);
  }
  for (uint32_t i = 0; i < fleet->event_count; i++)
    free_event (&fleet->events[i]);
  free (fleet->nodes);
  free (fleet->events);
  fake_store_clear (&fleet->store);
  free (fleet);
}
