#include "fake-group-private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOADS_MAX 4
#define FREEZE_DELAY_MS 4
#define WAKE_ORDER_MAX_US (60 * US_PER_MS)
#define WAKE_MESSAGE_MAX_US (20 * US_PER_MS)
#define DATAGRAM_DELAY_US (1 * US_PER_MS)
#define ORDER_DELAY_US (1 * US_PER_MS)
#define ORDER_TIMEOUT_US (BURDOCK_ORDER_TIMEOUT_MS * US_PER_MS)
#define REPORT_INTERVAL_US (100 * US_PER_MS)
#define ROSTER_INTERVAL_US (500 * US_PER_MS)
#define RESTART_DELAY_US (500 * US_PER_MS)
#define STOP_INTERVAL_US (10000 * US_PER_MS)
#define STOP_LIMIT_US (1500 * US_PER_MS)
#define STOP_AWAY_US (5000 * US_PER_MS)
#define PORT 7000
#define GATEWAY_IPV4 100

uint64_t
fake_group_random (FakeGroup *group)
{
  group->random ^= group->random << 13;
  group->random ^= group->random >> 7;
  group->random ^= group->random << 17;
  return group->random;
}

bool
fake_group_random_event (FakeGroup *group, double share)
{
  return (double)(fake_group_random (group) >> 11) / (double)(UINT64_C (1) << 53) < share;
}

uint64_t
fake_group_random_time_us (FakeGroup *group, uint64_t mean_us)
{
  return mean_us == 0 ? UINT64_MAX
                      : group->now_us + mean_us / 2 + fake_group_random (group) % mean_us;
}

static BurdockAddress
address_of (uint32_t rank)
{
  return (BurdockAddress){ .ipv4 = rank + 1, .port = PORT };
}

static Event *
add_event (FakeGroup *group, EventKind kind, uint64_t at_us)
{
  for (uint32_t i = 0; i < EVENTS_MAX; i++) {
    if (group->events[i].used)
      continue;
    group->events[i] = (Event){ .used = true, .kind = kind, .at_us = at_us };
    if (i >= group->event_limit)
      group->event_limit = i + 1;
    return &group->events[i];
  }
  abort ();
}

static void
record_gateway_state (FakeGroup *group, const BurdockAddress *to, uint32_t count)
{
  uint64_t gap_us = group->now_us - group->gateway_state_us;

  for (uint32_t i = 0; i < count; i++) {
    if (to[i].ipv4 != GATEWAY_IPV4)
      continue;
    if (group->gateway_state_us != 0 && gap_us > group->longest_gateway_gap_us)
      group->longest_gateway_gap_us = gap_us;
    group->gateway_state_us = group->now_us;
  }
}

static void
send_message (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
              uint32_t count)
{
  Process *process = ctx;
  FakeGroup *group = process->group;

  if (message->header.type == BURDOCK_MSG_RANK_STATE) {
    group->states += count;
    record_gateway_state (group, to, count);
  }
  if (message->header.type == BURDOCK_MSG_MAP_COMMAND &&
      message->map_command.kind == BURDOCK_MAP_LOAD)
    group->complete_maps += count;
  for (uint32_t i = 0; i < count; i++) {
    Event *event;

    if (to[i].ipv4 == 0 || to[i].ipv4 > group->ranks ||
        fake_group_random_event (group, group->faults.lost_datagrams))
      continue;
    event = add_event (group, EVENT_DATAGRAM, group->now_us + DATAGRAM_DELAY_US);
    event->from = process->rank;
    event->to = to[i].ipv4 - 1;
    if (burdock_message_encode (message, NULL, &event->frame, &event->frame_bytes) < 0)
      abort ();
  }
}

/* Lets the machine of an agent that gives an order freeze, if a freeze is due: at any
 * order of a switch, before or after its answer, and mostly the machine of the lowest
 * rank, the usual coordinator. */
static void
freeze_giver (FakeGroup *group, Process *giver)
{
  if (group->now_us < group->next_machine_freeze_us ||
      fake_group_random_event (group, giver->rank == 0 ? 0.7 : 0.97))
    return;
  group->next_machine_freeze_us =
      fake_group_random_time_us (group, group->faults.machine_freeze_every_us);
  giver->freeze_at_us =
      group->now_us + fake_group_random (group) % (FREEZE_DELAY_MS + 1) * US_PER_MS;
}

static void
begin_machine_freezes (FakeGroup *group)
{
  for (uint32_t r = 0; r < group->ranks; r++) {
    Process *process = &group->processes[r];

    if (process->freeze_at_us == 0 || group->now_us < process->freeze_at_us)
      continue;
    process->freeze_at_us = 0;
    process->frozen_until_us = process->engine_frozen_until_us =
        group->now_us + 1000 * US_PER_MS + fake_group_random (group) % (3000 * US_PER_MS);
  }
}

/* A late order times out at the agent, but is still carried out afterwards. */
static void
send_order (void *ctx, const BurdockMapOrder *order)
{
  Process *process = ctx;
  FakeGroup *group = process->group;
  bool late = fake_group_random_event (group, group->faults.late_orders);
  uint64_t delay_us =
      late ? 2000 * US_PER_MS + fake_group_random (group) % (10000 * US_PER_MS)
           : ORDER_DELAY_US;
  Event *event = add_event (group, EVENT_ORDER, group->now_us + delay_us);

  event->from = process->rank;
  event->to = order->upstream.port != 0 ? order->upstream.ipv4 - 1 : process->rank;
  event->incarnation = process->incarnation;
  event->order = *order;
  event->answered = !late;
  if (order->map != NULL) {
    burdock_replica_map_init (&event->map, order->map->layers, order->map->ranks,
                              order->map->experts);
    burdock_replica_map_assign (&event->map, order->map);
  }
  freeze_giver (group, process);
  if (!late)
    return;
  event = add_event (group, EVENT_ANSWER, group->now_us + ORDER_TIMEOUT_US);
  event->to = process->rank;
  event->incarnation = process->incarnation;
  event->order = *order;
  event->status = -ETIMEDOUT;
}

static void
refresh (void *ctx, bool counts)
{
  Process *process = ctx;

  process->wants_report = true;
  process->wants_counts = process->wants_counts || counts;
}

static uint64_t
random_value (void *ctx)
{
  Process *process = ctx;

  return fake_group_random (process->group);
}

static void
log_decision (void *ctx, const char *step, const char *detail)
{
  Process *process = ctx;

  if (getenv ("FAKE_GROUP_LOG") != NULL)
    printf ("%9.3f rank %u %s: %s\n", (double)process->group->now_us / 1e6, process->rank,
            step, detail);
}

static void
log_warning (void *ctx, const char *step, const char *detail)
{
  Process *process = ctx;

  process->group->warnings++;
  log_decision (ctx, step, detail);
}

static void
start_process (FakeGroup *group, uint32_t rank)
{
  Process *process = &group->processes[rank];
  BurdockMapAgentHandler handler = { .ctx = process,
                                     .send = send_message,
                                     .order = send_order,
                                     .refresh = refresh,
                                     .random = random_value,
                                     .log = log_decision,
                                     .warn = log_warning };
  BurdockMapAgentSettings settings = { .id = rank + 1,
                                       .incarnation = group->now_us + rank + 1,
                                       .control = address_of (rank),
                                       .upstream = address_of (rank) };

  *process = (Process){ .group = group,
                        .rank = rank,
                        .incarnation = settings.incarnation,
                        .engine_frozen_until_us = process->engine_frozen_until_us,
                        .agent = burdock_map_agent_new (&settings, &handler) };
}

void
fake_group_set_shape (FakeGroup *group, const BurdockRosterMessage *shape)
{
  group->shape = shape->layers > 0
                     ? *shape
                     : (BurdockRosterMessage){ .layers = group->size.layers,
                                               .experts = group->size.experts,
                                               .slots = group->size.slots,
                                               .loads_max = LOADS_MAX,
                                               .expert_copy_us = LOAD_US };
}

FakeGroup *
fake_group_new (uint64_t seed, uint32_t ranks, const FakeFaults *faults)
{
  return fake_group_new_sized (
      seed, &(FakeGroupSize){ .ranks = ranks, .layers = 2, .experts = 16, .slots = 6 },
      faults);
}

FakeGroup *
fake_group_new_sized (uint64_t seed, const FakeGroupSize *size, const FakeFaults *faults)
{
  FakeGroup *group = calloc (1, sizeof *group);

  if (group == NULL || size->ranks > RANKS_MAX || size->layers > LAYERS_MAX ||
      size->experts > EXPERTS_MAX)
    abort ();
  group->size = *size;
  group->ranks = size->ranks;
  group->faults = *faults;
  group->random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  group->now_us = 1000 * US_PER_MS;
  group->last_step_us = group->next_step_us = group->now_us;
  /* Gateways have their configuration after the agents have their first report. */
  group->next_roster_us = group->now_us + ROSTER_INTERVAL_US;
  fake_group_set_shape (group, &(BurdockRosterMessage){ 0 });
  fake_group_form (group);
  for (uint32_t r = 0; r < group->ranks; r++)
    start_process (group, r);
  group->next_freeze_us = fake_group_random_time_us (group, faults->freeze_every_us);
  group->next_machine_freeze_us =
      fake_group_random_time_us (group, faults->machine_freeze_every_us);
  group->next_kill_us = fake_group_random_time_us (group, faults->kill_every_us);
  group->next_crash_us = fake_group_random_time_us (group, faults->crash_every_us);
  group->next_herd_kill_us =
      fake_group_random_time_us (group, faults->herd_kill_every_us);
  group->next_stop_us =
      faults->stopped_agents > 0 ? group->now_us + STOP_INTERVAL_US : UINT64_MAX;
  return group;
}

void
fake_group_free (FakeGroup *group)
{
  for (uint32_t i = 0; i < group->event_limit; i++) {
    free (group->events[i].frame);
    burdock_replica_map_clear (&group->events[i].map);
  }
  for (uint32_t r = 0; r < group->ranks; r++)
    burdock_map_agent_free (group->processes[r].agent);
  free (group);
}

static void
handle_order (FakeGroup *group, Event *event)
{
  int32_t status = fake_group_execute_order (group, event->to, event);
  Event *answer;

  burdock_replica_map_clear (&event->map);
  if (!event->answered)
    return;
  answer = add_event (group, EVENT_ANSWER, group->now_us + ORDER_DELAY_US);
  answer->to = event->from;
  answer->incarnation = event->incarnation;
  answer->order = event->order;
  answer->status = status;
}

static void
send_report (FakeGroup *group, Process *process)
{
  const Engine *engine = &group->engines[process->rank];
  BurdockRankReport report = { .group = "g",
                               .epoch = group->epoch,
                               .rank = process->rank,
                               .size = group->ranks,
                               .open = fake_group_is_open (group),
                               .active = 4,
                               .step = group->step,
                               .map_version = engine->map_version,
                               .loaded_version = engine->loaded_version,
                               .armed_version = engine->armed_version,
                               .held_step = engine->held_step };
  uint8_t hosted[LAYERS_MAX * (EXPERTS_MAX + 1)];
  uint32_t bytes = 0;

  burdock_map_agent_handle_report (process->agent, &report, group->now_us);
  /* The loop of burdock-rank runs its hooks after each report; without a report, the
   * agent names no time. */
  if (process->next_tick_us == UINT64_MAX)
    process->next_tick_us = group->now_us;
  if (!burdock_map_agent_needs_hosted_experts (process->agent))
    return;
  for (uint32_t layer = 0; layer < group->size.layers; layer++) {
    uint32_t at = bytes++;

    hosted[at] = 0;
    for (uint32_t e = 0; e < group->size.experts; e++) {
      if (!burdock_bit_set_has (&engine->hosts[layer * group->size.experts + e],
                                process->rank))
        continue;
      hosted[bytes++] = (uint8_t)e;
      hosted[at]++;
    }
  }
  burdock_map_agent_handle_hosted_experts (process->agent, group->epoch,
                                           engine->map_version, hosted, bytes);
}

static void
run_event (FakeGroup *group, Event *event)
{
  Process *process = &group->processes[event->to];
  BurdockMessage *message;
  BurdockError error;

  if (event->kind == EVENT_ORDER) {
    handle_order (group, event);
    event->used = false;
    return;
  }
  if (event->kind == EVENT_ANSWER) {
    if (event->incarnation == process->incarnation && process->agent != NULL)
      burdock_map_agent_order_done (process->agent, event->order.id, event->status,
                                    group->now_us);
    event->used = false;
    return;
  }
  message = malloc (sizeof *message);
  if (process->agent != NULL && burdock_message_decode (event->frame, event->frame_bytes,
                                                        NULL, message, &error) == 0)
    burdock_map_agent_receive (process->agent, address_of (event->from), message,
                               group->now_us);
  free (message);
  free (event->frame);
  event->frame = NULL;
  event->used = false;
}

/* An order to a frozen engine waits there. Its sender hears of a time-out. */
static void
delay_order (FakeGroup *group, Event *event)
{
  Event *answer;

  if (!event->answered || group->now_us < event->at_us + ORDER_TIMEOUT_US)
    return;
  event->answered = false;
  answer = add_event (group, EVENT_ANSWER, group->now_us);
  answer->to = event->from;
  answer->incarnation = event->incarnation;
  answer->order = event->order;
  answer->status = -ETIMEDOUT;
}

/* Messages to a frozen agent or engine wait in its sockets. They are handled in any order
 * after the freeze, and the agent may act before it has read them. */
static void
run_events (FakeGroup *group)
{
  while (group->event_limit > 0 && !group->events[group->event_limit - 1].used)
    group->event_limit--;
  for (uint32_t i = 0; i < group->event_limit; i++) {
    Event *event = &group->events[i];

    if (!event->used || event->at_us > group->now_us)
      continue;
    if (event->kind == EVENT_ORDER &&
        group->processes[event->to].engine_frozen_until_us > group->now_us) {
      delay_order (group, event);
      event->wait_us = WAKE_ORDER_MAX_US;
      continue;
    }
    if (event->kind != EVENT_ORDER &&
        group->processes[event->to].frozen_until_us > group->now_us) {
      event->wait_us = WAKE_MESSAGE_MAX_US;
      continue;
    }
    /* A busy agent handles what has come meanwhile before it acts again. */
    if (event->kind != EVENT_ORDER &&
        group->processes[event->to].plan_end_us > group->now_us)
      continue;
    if (event->wait_us > 0) {
      event->at_us = group->now_us + fake_group_random (group) % event->wait_us;
      event->wait_us = 0;
      if (event->at_us > group->now_us)
        continue;
    }
    run_event (group, event);
  }
}

static void
send_roster (FakeGroup *group)
{
  BurdockMessage *message = calloc (1, sizeof *message);

  message->header.type = BURDOCK_MSG_RANK_ROSTER;
  message->roster = group->shape;
  message->roster.rank_count = group->ranks;
  for (uint32_t r = 0; r < group->ranks; r++)
    message->roster.ranks[r] = (BurdockRosterRank){ address_of (r), r };
  for (uint32_t r = 0; r < group->ranks; r++) {
    if (group->processes[r].agent != NULL)
      burdock_map_agent_receive (group->processes[r].agent,
                                 (BurdockAddress){ GATEWAY_IPV4, PORT }, message,
                                 group->now_us);
  }
  free (message);
}

/* Ticks of the same plan follow each other within this time; the next plan begins later.
 */
#define PLAN_GAP_MAX_US (45 * US_PER_MS)

/* Occupies the agent for the time that its machine needs for the changes tried in a tick.
 */
static void
tick_process (FakeGroup *group, Process *process)
{
  uint64_t tried = burdock_map_agent_stats (process->agent).changes_tried;
  uint64_t busy_us;

  process->next_tick_us = burdock_map_agent_tick (process->agent, group->now_us);
  tried = burdock_map_agent_stats (process->agent).changes_tried - tried;
  busy_us = tried * group->faults.plan_change_ns / 1000;
  if (busy_us == 0)
    return;
  if (group->now_us > process->plan_end_us + PLAN_GAP_MAX_US)
    process->plan_us = 0;
  process->plan_us += busy_us;
  process->plan_end_us = group->now_us + busy_us;
  if (process->plan_us > group->longest_plan_us)
    group->longest_plan_us = process->plan_us;
  if (busy_us > group->longest_busy_us)
    group->longest_busy_us = busy_us;
}

static void
run_processes (FakeGroup *group)
{
  bool report = group->now_us >= group->next_report_us;

  if (report)
    group->next_report_us = group->now_us + REPORT_INTERVAL_US;
  if (group->now_us >= group->next_roster_us) {
    group->next_roster_us = group->now_us + ROSTER_INTERVAL_US;
    send_roster (group);
  }
  for (uint32_t r = 0; r < group->ranks; r++) {
    Process *process = &group->processes[r];

    if (process->frozen_until_us > group->now_us || process->plan_end_us > group->now_us)
      continue;
    if (process->agent == NULL)
      start_process (group, r);
    if (report || process->wants_report)
      send_report (group, process);
    if (process->wants_counts)
      burdock_map_agent_handle_counts (process->agent, group->engines[r].counts,
                                       fake_group_expert_count (group));
    process->wants_report = process->wants_counts = false;
    if (group->now_us >= process->next_tick_us)
      tick_process (group, process);
  }
}

/* Picks the agent of the lowest rank, the usual coordinator, half of the time. */
static Process *
pick_victim (FakeGroup *group)
{
  return &group->processes[fake_group_random_event (group, 0.5)
                               ? 0
                               : fake_group_random (group) % group->ranks];
}

static void
kill_agent (FakeGroup *group, Process *victim)
{
  burdock_map_agent_free (victim->agent);
  victim->agent = NULL;
  victim->incarnation = 0;
  victim->frozen_until_us = group->now_us + RESTART_DELAY_US;
}

/* An agent that is stopped runs on until it may end, as burdock-rank does. */
static void
run_planned_stops (FakeGroup *group)
{
  if (group->now_us >= group->next_stop_us && fake_group_any_holds (group)) {
    group->next_stop_us = group->now_us + STOP_INTERVAL_US;
    for (uint32_t r = 0; r < group->faults.stopped_agents && r < group->ranks; r++) {
      group->processes[r].stop_end_us = group->now_us + STOP_LIMIT_US;
      burdock_map_agent_leave (group->processes[r].agent);
    }
  }
  for (uint32_t r = 0; r < group->ranks; r++) {
    Process *process = &group->processes[r];

    if (process->stop_end_us == 0 || (group->now_us < process->stop_end_us &&
                                      !burdock_map_agent_may_end (process->agent)))
      continue;
    process->stop_end_us = 0;
    kill_agent (group, process);
    process->frozen_until_us = group->now_us + STOP_AWAY_US;
  }
}

static void
run_faults (FakeGroup *group)
{
  run_planned_stops (group);
  begin_machine_freezes (group);
  if (group->now_us >= group->next_freeze_us) {
    group->next_freeze_us =
        fake_group_random_time_us (group, group->faults.freeze_every_us);
    pick_victim (group)->frozen_until_us =
        group->now_us + 1000 * US_PER_MS + fake_group_random (group) % (3000 * US_PER_MS);
  }
  if (group->now_us >= group->next_kill_us) {
    group->next_kill_us = fake_group_random_time_us (group, group->faults.kill_every_us);
    kill_agent (group, pick_victim (group));
  }
  if (group->now_us >= group->next_herd_kill_us) {
    group->next_herd_kill_us =
        fake_group_random_time_us (group, group->faults.herd_kill_every_us);
    for (uint32_t r = 0; r < group->ranks * 3 / 4; r++)
      kill_agent (group, &group->processes[r]);
  }
}

void
fake_group_run (FakeGroup *group, uint64_t until_us)
{
  while (group->now_us < until_us) {
    fake_group_run_engines (group);
    run_events (group);
    run_faults (group);
    run_processes (group);
    group->now_us += TICK_US;
  }
  fake_group_record_stall (group);
}

uint32_t
fake_group_mixed_steps (const FakeGroup *group)
{
  return group->mixed_steps;
}

uint32_t
fake_group_steps (const FakeGroup *group)
{
  return group->steps;
}

uint32_t
fake_group_switches (const FakeGroup *group)
{
  return group->switches;
}

uint64_t
fake_group_longest_stall_us (const FakeGroup *group)
{
  return group->longest_stall_us;
}

uint32_t
fake_group_failed_in_row (const FakeGroup *group, uint32_t rank)
{
  return burdock_map_agent_stats (group->processes[rank].agent).switches_failed_in_row;
}

uint32_t
fake_group_warnings (const FakeGroup *group)
{
  return group->warnings;
}

uint64_t
fake_group_longest_plan_us (const FakeGroup *group)
{
  return group->longest_plan_us;
}

uint64_t
fake_group_longest_busy_us (const FakeGroup *group)
{
  return group->longest_busy_us;
}

uint32_t
fake_group_states (const FakeGroup *group)
{
  return group->states;
}

uint64_t
fake_group_longest_gateway_gap_us (const FakeGroup *group)
{
  return group->longest_gateway_gap_us;
}

uint32_t
fake_group_complete_maps (const FakeGroup *group)
{
  return group->complete_maps;
}
