#include "traffic-fleet-private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const fleet_rule_names[FLEET_RULE_COUNT] = { "whole", "once",  "not-run",
                                                         "ends",  "drain", "generation" };

uint64_t
fleet_next_random (Fleet *fleet)
{
  uint64_t z = fleet->random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

uint64_t
fleet_random_below (Fleet *fleet, uint64_t limit)
{
  return fleet_next_random (fleet) % limit;
}

bool
fleet_chance (Fleet *fleet, uint32_t per_mille)
{
  return fleet_random_below (fleet, 1000) < per_mille;
}

void
fleet_record_violation (Fleet *fleet, FleetRule rule, const char *what, uint64_t subject)
{
  if (fleet->result.violations[rule]++ == 0 && fleet->defect == FLEET_NO_DEFECT)
    printf ("%s: %s, subject %u at %u ms\n", fleet_rule_names[rule], what,
            (unsigned)subject, (unsigned)(fleet->now_us / TRAFFIC_US_PER_MS));
}
/* Events */

static bool
event_before (const Event *a, const Event *b)
{
  return a->due_us < b->due_us || (a->due_us == b->due_us && a->sequence < b->sequence);
}

void
fleet_schedule (Fleet *fleet, Event event)
{
  uint32_t at = fleet->event_count++;

  if (at == fleet->event_allocated) {
    fleet->event_allocated = fleet->event_allocated * 2 + 256;
    fleet->events =
        realloc (fleet->events, fleet->event_allocated * sizeof *fleet->events);
  }
  event.sequence = ++fleet->sequence;
  for (; at > 0 && event_before (&event, &fleet->events[(at - 1) / 2]); at = (at - 1) / 2)
    fleet->events[at] = fleet->events[(at - 1) / 2];
  fleet->events[at] = event;
}

static Event
pop_event (Fleet *fleet)
{
  Event first = fleet->events[0];
  Event last = fleet->events[--fleet->event_count];
  uint32_t at = 0;

  for (uint32_t child = 1; child < fleet->event_count; child = 2 * at + 1) {
    if (child + 1 < fleet->event_count &&
        event_before (&fleet->events[child + 1], &fleet->events[child]))
      child++;
    if (!event_before (&fleet->events[child], &last))
      break;
    fleet->events[at] = fleet->events[child];
    at = child;
  }
  fleet->events[at] = last;
  return first;
}

void
fleet_schedule_node (Fleet *fleet, EventKind kind, const Node *node, uint64_t delay_us)
{
  fleet_schedule (fleet, (Event){ .due_us = fleet->now_us + delay_us,
                                  .kind = kind,
                                  .node = node->index,
                                  .epoch = node->epoch });
}

/* Processes and faults */

static uint64_t
now_us (void *ctx)
{
  return ((Node *)ctx)->fleet->now_us;
}

/* The wall clocks of the processes differ by up to 70 ms. */
static uint64_t
wall_us (void *ctx)
{
  const Node *node = ctx;

  return UINT64_C (1700000000) * TRAFFIC_US_PER_S + node->fleet->now_us +
         TRAFFIC_US_PER_MS * 10 * node->index;
}

static uint64_t
random_u64 (void *ctx)
{
  return fleet_next_random (((Node *)ctx)->fleet);
}

static void
deliver_snapshot (Fleet *fleet, Node *node)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (traffic_config ());
  bool agent = node->index >= ENTRIES;

  node->announced_generation = fleet->generation;
  if (fleet->defect != FLEET_STALE_GENERATIONS || !agent || node->generation == 0)
    node->generation = fleet->generation;
  snapshot->generation = node->generation;
  snapshot->store_available = true;
  snapshot->live_entries = ENTRIES;
  if (node->leaving && node->leave_notice_us == 0)
    node->leave_notice_us = fleet->now_us;
  if (agent && node->leaving && fleet->defect != FLEET_LOSE_LEAVE_NOTICES)
    snapshot->refusal = BURDOCK_REASON_LEAVING;
  snapshot->upstreams = calloc (AGENTS, sizeof (BurdockUpstream));
  for (uint32_t i = 0; i < AGENTS; i++) {
    BurdockUpstream *upstream = &snapshot->upstreams[snapshot->upstream_count++];

    *upstream = (BurdockUpstream){ .id = burdock_member_id ("agent") + i,
                                   .incarnation = fleet->nodes[ENTRIES + i].incarnation,
                                   .traffic_address = { ENTRIES + i, 1 },
                                   .capacity = 16,
                                   .usable = true,
                                   .weight = 1 };
    snprintf (upstream->name, sizeof upstream->name, "agent-%u", i);
    upstream->id = burdock_member_id (upstream->name);
    snprintf (upstream->pool, sizeof upstream->pool, "%s",
              i < MODEL_AGENTS ? "models" : "services");
  }
  if (agent)
    burdock_executor_set_snapshot (node->executor, snapshot);
  else
    burdock_dispatcher_set_snapshot (node->dispatcher, snapshot);
}

static void
start_node (Fleet *fleet, Node *node)
{
  BurdockSettings settings = { .incarnation = ++fleet->next_incarnation, .capacity = 16 };
  bool agent = node->index >= ENTRIES;

  snprintf (settings.name, sizeof settings.name, agent ? "agent-%u" : "entry-%u",
            agent ? node->index - ENTRIES : node->index);
  node->incarnation = settings.incarnation;
  node->generation = 0;
  node->leaving = false;
  node->leave_notice_us = 0;
  node->env = (BurdockEnv){ .ctx = node,
                            .now_us = now_us,
                            .wall_us = wall_us,
                            .random_u64 = random_u64,
                            .send = fleet_send_frame,
                            .store = fleet_call_store,
                            .engine = fleet_call_engine,
                            .deliver = fleet_deliver };
  if (agent)
    node->executor = burdock_executor_new (&settings, &node->env);
  else
    node->dispatcher = burdock_dispatcher_new (&settings, &node->env);
  deliver_snapshot (fleet, node);
  fleet_schedule_node (fleet, EVENT_TICK, node, 0);
  for (uint32_t i = 0; i < ENTRIES; i++)
    fleet_schedule_node (fleet, EVENT_SNAPSHOT, &fleet->nodes[i],
                         fleet_random_below (fleet, TRAFFIC_US_PER_S));
}

/* Ends a process at once, as in a crash. */
static void
stop_node (Fleet *fleet, Node *node)
{
  for (uint32_t i = 0; i < ENTRIES; i++) {
    for (uint32_t j = 0; j < AGENTS; j++) {
      if (node->index == i || node->index == ENTRIES + j)
        fleet_break_connection (fleet, i, j);
    }
  }
  for (uint32_t j = 0; j < AGENTS && node->index < ENTRIES; j++)
    fleet->connections[node->index][j].broken = false;
  burdock_dispatcher_free (node->dispatcher);
  burdock_executor_free (node->executor);
  node->dispatcher = NULL;
  node->executor = NULL;
  node->paused_until_us = 0;
  node->epoch++;
}

/* Delivers a copy of one of the last RECENT_MAX frames. */
static void
duplicate_frame (Fleet *fleet)
{
  uint64_t at = fleet_random_below (fleet, RECENT_MAX);
  Event event = fleet->recent[at];

  if (event.length_bytes == 0)
    return;
  event.data = malloc (event.length_bytes);
  memcpy (event.data, fleet->recent_data[at], event.length_bytes);
  event.kind = EVENT_DUPLICATE;
  event.due_us = fleet->now_us;
  fleet_schedule (fleet, event);
}

static void
inject_fault (Fleet *fleet)
{
  Node *node = &fleet->nodes[fleet_random_below (fleet, NODES)];
  uint64_t agent = fleet_random_below (fleet, AGENTS);

  fleet->result.faults++;
  switch (fleet_random_below (fleet, 12)) {
  case 0:
  case 1:
    fleet_break_connection (fleet, (uint32_t)fleet_random_below (fleet, ENTRIES),
                            (uint32_t)agent);
    break;
  case 2:
    if (node->dispatcher == NULL && node->executor == NULL)
      break;
    stop_node (fleet, node);
    fleet_schedule_node (fleet, EVENT_RESTART, node,
                         fleet_random_below (fleet, 2 * TRAFFIC_US_PER_S));
    break;
  case 3:
    if (node->paused_until_us <= fleet->now_us)
      node->paused_until_us =
          fleet->now_us + fleet_random_below (fleet, 4 * TRAFFIC_US_PER_S);
    break;
  case 4:
    fleet->store_down_until_us =
        fleet->now_us + fleet_random_below (fleet, 3 * TRAFFIC_US_PER_S);
    break;
  case 5:
    fleet->generation++;
    for (uint32_t i = 0; i < NODES; i++)
      fleet_schedule_node (fleet, EVENT_SNAPSHOT, &fleet->nodes[i],
                           fleet_random_below (fleet, TRAFFIC_US_PER_S));
    break;
  case 6:
    node = &fleet->nodes[ENTRIES + agent];
    if (node->executor == NULL || node->leaving)
      break;
    node->leaving = true;
    fleet_schedule_node (fleet, EVENT_SNAPSHOT, node, 0);
    fleet_schedule_node (fleet, EVENT_RESTART, node, 6 * TRAFFIC_US_PER_S);
    break;
  default:
    duplicate_frame (fleet);
  }
}

static void
handle_restart (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];

  if (node->epoch != event->epoch)
    return;
  if (node->dispatcher != NULL || node->executor != NULL)
    stop_node (fleet, node);
  start_node (fleet, node);
}

static void
handle_tick (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];
  uint64_t due_us = fleet->now_us;

  if (node->epoch != event->epoch)
    return;
  if (node->dispatcher != NULL)
    due_us = burdock_dispatcher_tick (node->dispatcher);
  else if (node->executor != NULL)
    due_us = burdock_executor_tick (node->executor);
  if (due_us > fleet->now_us + 20 * TRAFFIC_US_PER_MS)
    due_us = fleet->now_us + 20 * TRAFFIC_US_PER_MS;
  if (due_us <= fleet->now_us)
    due_us = fleet->now_us + TRAFFIC_US_PER_MS;
  fleet_schedule_node (fleet, EVENT_TICK, node, due_us - fleet->now_us);
}

/* Postpones an event until the pause of its process ends; returns false if the event can
 * run now. Writes at the store, restarts, faults and new requests ignore the pause. */
static bool
defer_if_paused (Fleet *fleet, const Event *event)
{
  const Node *node = &fleet->nodes[event->node];
  Event later = *event;

  if (node->paused_until_us <= fleet->now_us || event->kind == EVENT_WRITE ||
      event->kind == EVENT_RESTART || event->kind == EVENT_FAULT ||
      event->kind == EVENT_CALL)
    return false;
  later.due_us = node->paused_until_us;
  fleet_schedule (fleet, later);
  return true;
}

static void
handle_node_event (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];

  switch (event->kind) {
  case EVENT_FRAME:
  case EVENT_DUPLICATE:
    fleet_handle_frame (fleet, event);
    break;
  case EVENT_DISCONNECT:
    fleet_handle_disconnect (fleet, event);
    break;
  case EVENT_EXECUTION:
    fleet_handle_execution (fleet, event);
    break;
  case EVENT_ENGINE:
    if (node->epoch == event->epoch && node->executor != NULL)
      burdock_executor_engine_event (node->executor, &event->engine);
    break;
  case EVENT_STORE:
    fleet_handle_store (fleet, event);
    break;
  case EVENT_TICK:
    handle_tick (fleet, event);
    break;
  default:
    if (node->dispatcher != NULL || node->executor != NULL)
      deliver_snapshot (fleet, node);
  }
}

static void
handle_event (Fleet *fleet, const Event *event)
{
  switch (event->kind) {
  case EVENT_WRITE:
    fleet_handle_write (fleet, event);
    break;
  case EVENT_FAULT:
    inject_fault (fleet);
    if (fleet->now_us < CALLS_END_US)
      fleet_schedule (fleet,
                      (Event){ .due_us =
                                   fleet->now_us +
                                   fleet_random_below (fleet, 400 * TRAFFIC_US_PER_MS),
                               .kind = EVENT_FAULT });
    break;
  case EVENT_CALL:
    if (event->value == UINT64_MAX)
      fleet_handle_new_calls (fleet);
    else
      fleet_handle_call (fleet, event);
    break;
  case EVENT_RESTART:
    handle_restart (fleet, event);
    break;
  default:
    handle_node_event (fleet, event);
  }
}

static void
check_calls (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->call_count; i++) {
    const Call *call = &fleet->calls[i];

    if (call->ends > 0 && call->ran == BURDOCK_RAN_NOT_RUN && call->executions > 0)
      fleet_record_violation (fleet, FLEET_RULE_NOT_RUN, "refused as not-run and has run",
                              i);
    if (call->ends == 0 && call->deadline_us != 0 && !call->cancelled &&
        call->entry_epoch == fleet->nodes[call->entry].epoch)
      fleet_record_violation (fleet, FLEET_RULE_ENDS, "no end", i);
  }
}

FleetResult
traffic_fleet_run (uint64_t seed, FleetDefect defect)
{
  Fleet *fleet = calloc (1, sizeof *fleet);
  FleetResult out;

  fleet->random_state = seed;
  fleet->defect = defect;
  fleet->generation = 1;
  for (uint32_t i = 0; i < NODES; i++)
    fleet->nodes[i] = (Node){ .fleet = fleet, .index = i };
  for (uint32_t i = NODES; i-- > 0;)
    start_node (fleet, &fleet->nodes[i]);
  fleet_schedule (fleet, (Event){ .kind = EVENT_FAULT });
  fleet_schedule (fleet, (Event){ .kind = EVENT_CALL, .value = UINT64_MAX });
  while (fleet->event_count > 0 && fleet->now_us < RUN_END_US) {
    Event event = pop_event (fleet);

    fleet->now_us = event.due_us;
    if (defer_if_paused (fleet, &event))
      continue;
    handle_event (fleet, &event);
    free (event.data);
  }
  check_calls (fleet);
  out = fleet->result;
  for (uint32_t i = 0; i < NODES; i++) {
    burdock_dispatcher_free (fleet->nodes[i].dispatcher);
    burdock_executor_free (fleet->nodes[i].executor);
  }
  for (uint32_t i = 0; i < fleet->event_count; i++)
    free (fleet->events[i].data);
  free (fleet->events);
  free (fleet);
  return out;
}
