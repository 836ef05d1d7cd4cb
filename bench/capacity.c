/**
 * DOC: capacity.c - growth of state, messages, CPU time and memory with the system size
 *
 * Prints a Markdown table with each quantity at several sizes, a least-squares line
 * through them, and the value of that line at the target size.
 */
#include "control-fleet.h"
#include "message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SIZES 4
#define SETTLE_US (5 * SIM_US_PER_S)
#define MEASURE_US (5 * SIM_US_PER_S)
#define CHANGE_US (5 * SIM_US_PER_S)
#define DAY_S 86400.0
#define CHANGES_PER_DAY 450.0
#define REPLACEMENTS_PER_DAY 271.0
#define TARGET_MEMBERS 930.0
#define TARGET_ENTRIES 330.0
#define TARGET_WORKSPACES 4000.0
#define TARGET_GROUPS 75.0 /* 2,400 ranks in groups of 32 */

/* 128 experts and a fifth of redundant copies on 32 ranks, that is 5 slots for each rank
 * and layer, in 58 layers. */
#define TARGET_SLOTS (58.0 * 5.0)
#define TARGET_MAP_SLOTS (58.0 * 5.0 * 32.0)

/**
 * struct Series - row of the table
 * @per: what @x counts
 * @target: value of @x for which to extrapolate
 */
typedef struct {
  const char *role;
  const char *quantity;
  const char *unit;
  const char *per;
  double target;
  uint32_t count;
  double x[SIZES];
  double y[SIZES];
} Series;

/**
 * struct Cost - cost of control for one member; reads and writes of the store for all
 * @change_bytes: bytes that a member sends for a configuration change
 */
typedef struct {
  double bytes_per_s;
  double messages_per_s;
  double cpu_us_per_s;
  double heap_bytes;
  double reads_per_s;
  double writes_per_s;
  double change_bytes;
} Cost;

static void
add_point (Series *series, double x, double y)
{
  series->x[series->count] = x;
  series->y[series->count++] = y;
}

static void
print_series (const Series *series)
{
  double n = series->count;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double slope;
  double intercept;

  for (uint32_t i = 0; i < series->count; i++) {
    sum_x += series->x[i];
    sum_y += series->y[i];
    sum_xx += series->x[i] * series->x[i];
    sum_xy += series->x[i] * series->y[i];
  }
  slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  intercept = (sum_y - slope * sum_x) / n;
  printf ("| %s | %s, %s | ", series->role, series->quantity, series->unit);
  for (uint32_t i = 0; i < series->count; i++)
    printf ("%s%.0f: %.4g", i > 0 ? "; " : "", series->x[i], series->y[i]);
  printf (" | %.4g + %.4g per %s | %.4g at %.0f |\n", intercept, slope, series->per,
          intercept + slope * series->target, series->target);
}

static void
submit_change (Sim *sim, uint32_t workspaces)
{
  char *text = control_fleet_config_text (workspaces, 0, 17);

  burdock_control_apply (sim->nodes[0]->control, 2, "capacity",
                         (BurdockBytes){ (const uint8_t *)text,
                                         (uint32_t)strlen (text) });
  sim_tick (sim->nodes[0]);
  free (text);
}

static double
total_bytes (const Sim *sim)
{
  double bytes = 0;

  for (uint32_t i = 0; i < sim->node_count; i++)
    bytes += (double)sim->nodes[i]->control_bytes;
  return bytes;
}

static double
total_messages (const Sim *sim)
{
  double messages = 0;

  for (uint32_t i = 0; i < sim->node_count; i++)
    messages += (double)sim->nodes[i]->control_messages;
  return messages;
}

/* The CPU time includes the event queue of the simulation. */
static Cost
measure_fleet (uint32_t entries, uint32_t agents, uint32_t workspaces)
{
  const ControlFleetSize size = { .entries = entries,
                                  .agents = agents,
                                  .domains = 7,
                                  .workspaces = workspaces,
                                  .members_known = true };
  size_t heap = control_fleet_heap_bytes ();
  Sim *sim = control_fleet_new (1, &size);
  double seconds = (double)MEASURE_US / SIM_US_PER_S;
  double bytes;
  double messages;
  uint64_t reads;
  uint64_t writes;
  clock_t start;
  Cost cost;

  sim_run_until (sim, sim->now_us + SETTLE_US);
  cost.heap_bytes = (double)(control_fleet_heap_bytes () - heap) / sim->node_count;
  bytes = total_bytes (sim);
  messages = total_messages (sim);
  reads = sim->store->reads;
  writes = sim->store->writes;
  start = clock ();
  sim_run_until (sim, sim->now_us + MEASURE_US);
  cost.cpu_us_per_s =
      1e6 * (double)(clock () - start) / CLOCKS_PER_SEC / seconds / sim->node_count;
  cost.bytes_per_s = (total_bytes (sim) - bytes) / seconds / sim->node_count;
  cost.messages_per_s = (total_messages (sim) - messages) / seconds / sim->node_count;
  cost.reads_per_s = (double)(sim->store->reads - reads) / seconds;
  cost.writes_per_s = (double)(sim->store->writes - writes) / seconds;
  bytes = total_bytes (sim);
  submit_change (sim, workspaces);
  sim_run_until (sim, sim->now_us + CHANGE_US);
  cost.change_bytes = (total_bytes (sim) - bytes) / sim->node_count -
                      cost.bytes_per_s * CHANGE_US / SIM_US_PER_S;
  sim_free (sim);
  return cost;
}

static void
print_fleet (void)
{
  static const uint32_t sizes[SIZES][2] = {
    { 9, 16 }, { 33, 60 }, { 110, 200 }, { 330, 600 }
  };
  Series bytes = { "every member", "control sent", "B/s", "member", TARGET_MEMBERS, 0,
                   { 0 },          { 0 } };
  Series messages = { "every member", "control messages sent",
                      "1/s",          "member",
                      TARGET_MEMBERS, 0,
                      { 0 },          { 0 } };
  Series cpu = { "every member", "control CPU", "us/s", "member", TARGET_MEMBERS, 0,
                 { 0 },          { 0 } };
  Series heap = {
    "every member", "heap of control", "B", "member", TARGET_MEMBERS, 0, { 0 }, { 0 }
  };
  Series reads = { "all entries", "store reads", "1/s", "entry", TARGET_ENTRIES, 0,
                   { 0 },         { 0 } };
  Series writes = { "all entries",  "store writes without claims",
                    "1/s",          "entry",
                    TARGET_ENTRIES, 0,
                    { 0 },          { 0 } };

  for (uint32_t i = 0; i < SIZES; i++) {
    Cost cost = measure_fleet (sizes[i][0], sizes[i][1], 10);
    double members = sizes[i][0] + sizes[i][1];

    add_point (&bytes, members, cost.bytes_per_s);
    add_point (&messages, members, cost.messages_per_s);
    add_point (&cpu, members, cost.cpu_us_per_s);
    add_point (&heap, members, cost.heap_bytes);
    add_point (&reads, sizes[i][0], cost.reads_per_s);
    add_point (&writes, sizes[i][0], cost.writes_per_s);
  }
  print_series (&bytes);
  print_series (&messages);
  print_series (&cpu);
  print_series (&heap);
  print_series (&reads);
  print_series (&writes);
}

/* The coordinator of each group renews its lease in the store. */
static void
print_leases (void)
{
  static const uint32_t groups[3] = { 5, 20, 75 };
  Series writes = { "all entries", "store writes for leases",
                    "1/s",         "group",
                    TARGET_GROUPS, 0,
                    { 0 },         { 0 } };

  for (uint32_t i = 0; i < 3; i++) {
    const ControlFleetSize size = { .entries = 30,
                                    .domains = 7,
                                    .workspaces = 10,
                                    .groups = groups[i],
                                    .members_known = true };
    Sim *sim = control_fleet_new (3, &size);
    uint64_t before;

    sim_run_until (sim, sim->now_us + 20 * SIM_US_PER_S);
    before = sim->store->writes;
    sim_run_until (sim, sim->now_us + 20 * SIM_US_PER_S);
    add_point (&writes, groups[i], (double)(sim->store->writes - before) / 20);
    sim_free (sim);
  }
  print_series (&writes);
}

/* Each configuration change sends its whole text to every member, so its cost is also
 * given as an average over a day. */
static void
print_changes (void)
{
  static const uint32_t workspaces[SIZES] = { 10, 500, 2000, 4000 };
  Series bytes = { "every member",
                   "bytes of one configuration change",
                   "B",
                   "workspace",
                   TARGET_WORKSPACES,
                   0,
                   { 0 },
                   { 0 } };
  Series daily = { "every member",
                   "configuration changes over a day",
                   "B/s",
                   "workspace",
                   TARGET_WORKSPACES,
                   0,
                   { 0 },
                   { 0 } };
  Series heap = {
    "entry, agent", "heap of control", "B", "workspace", TARGET_WORKSPACES, 0, { 0 },
    { 0 }
  };

  for (uint32_t i = 0; i < SIZES; i++) {
    Cost cost = measure_fleet (9, 16, workspaces[i]);

    add_point (&bytes, workspaces[i], cost.change_bytes);
    add_point (&daily, workspaces[i], cost.change_bytes * CHANGES_PER_DAY / DAY_S);
    add_point (&heap, workspaces[i], cost.heap_bytes);
  }
  print_series (&bytes);
  print_series (&daily);
  print_series (&heap);
}

/* Replaces one process in a fleet that is otherwise idle. */
static void
print_replacements (void)
{
  static const uint32_t sizes[3] = { 50, 150, 450 };
  Series bytes = {
    "every member", "bytes of one replacement", "B", "member", TARGET_MEMBERS, 0, { 0 },
    { 0 }
  };
  Series daily = { "every member", "failures and replacements over a day",
                   "B/s",          "member",
                   TARGET_MEMBERS, 0,
                   { 0 },          { 0 } };

  for (uint32_t i = 0; i < 3; i++) {
    const ControlFleetSize size = { .entries = sizes[i] / 3,
                                    .agents = sizes[i] - sizes[i] / 3,
                                    .domains = 7,
                                    .workspaces = 10,
                                    .members_known = true };
    Sim *sim = control_fleet_new (2, &size);
    double steady;
    double replacement;

    sim_run_until (sim, sim->now_us + SETTLE_US);
    steady = total_bytes (sim);
    sim_run_until (sim, sim->now_us + 20 * SIM_US_PER_S);
    steady = total_bytes (sim) - steady;
    replacement = total_bytes (sim);
    sim_stop (sim->nodes[sizes[i] / 2]);
    sim_start (sim->nodes[sizes[i] / 2]);
    sim_run_until (sim, sim->now_us + 20 * SIM_US_PER_S);
    replacement = (total_bytes (sim) - replacement - steady) / sim->node_count;
    add_point (&bytes, sizes[i], replacement);
    add_point (&daily, sizes[i], replacement * REPLACEMENTS_PER_DAY / DAY_S);
    sim_free (sim);
  }
  print_series (&bytes);
  print_series (&daily);
}

static double
frame_bytes (uint32_t type, uint32_t slots, uint32_t slot_bytes)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  uint8_t *data = calloc (slots, slot_bytes);
  BurdockBytes bytes = { data, slots * slot_bytes };
  uint8_t *frame = NULL;
  uint32_t length_bytes = 0;

  message->header.type = type;
  if (type == BURDOCK_MSG_POPULARITY)
    message->popularity.tokens = bytes;
  else
    message->switching.map = bytes;
  burdock_message_encode (message, NULL, &frame, &length_bytes);
  free (frame);
  free (data);
  free (message);
  return length_bytes;
}

static void
print_maps (void)
{
  static const uint32_t slots[3] = { 16, 128, 1024 };
  Series report = {
    "agent of a rank", "popularity report", "B", "slot", TARGET_SLOTS, 0, { 0 }, { 0 }
  };
  Series map = { "coordinator",
                 "map for one rank",
                 "B",
                 "slot of the group",
                 TARGET_MAP_SLOTS,
                 0,
                 { 0 },
                 { 0 } };

  for (uint32_t i = 0; i < 3; i++) {
    add_point (&report, slots[i], frame_bytes (BURDOCK_MSG_POPULARITY, slots[i], 4));
    add_point (&map, slots[i] * 8,
               frame_bytes (BURDOCK_MSG_SWITCH_PREPARE, slots[i] * 8, 2));
  }
  print_series (&report);
  print_series (&map);
}

static double
encoded_bytes (const BurdockMessage *message)
{
  uint8_t *frame = NULL;
  uint32_t length_bytes = 0;

  if (burdock_message_encode (message, NULL, &frame, &length_bytes) < 0)
    return 0;
  free (frame);
  return length_bytes;
}

/* Size of the heartbeat of a gateway with requests at @upstreams upstreams. */
static double
heartbeat_bytes (uint32_t upstreams)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockGatewayLoadMessage *load = &message->gateway_load;
  double bytes;

  message->header.type = BURDOCK_MSG_GATEWAY_LOAD;
  snprintf (load->name, sizeof load->name, "edge-failure-domain-1");
  load->http_address = (BurdockAddress){ 0x0a010028, 8227 };
  load->peer_count = BURDOCK_GATEWAY_ITEMS_MAX;
  for (uint32_t i = 0; i < load->peer_count; i++)
    load->peers[i].address = load->http_address;
  load->item_count = upstreams;
  for (uint32_t i = 0; i < upstreams; i++)
    load->items[i] = (BurdockLoadItem){ UINT64_MAX - i, 3 };
  bytes = encoded_bytes (message);
  free (message);
  return bytes;
}

/* Size of the state of a rank with token counts of @experts experts, over all layers. */
static double
rank_state_bytes (uint32_t experts)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  uint8_t *data = calloc (experts + 1, 1);
  double bytes;

  message->header.type = BURDOCK_MSG_RANK_STATE;
  snprintf (message->rank_state.group, sizeof message->rank_state.group, "g0-0");
  message->rank_state.tokens = (BurdockBytes){ data, experts };
  bytes = encoded_bytes (message);
  free (data);
  free (message);
  return bytes;
}

/* Size of the command to load a map with @slots slots in all. */
static double
map_command_bytes (uint32_t slots)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  uint8_t *data = calloc (slots, 1);
  double bytes;

  message->header.type = BURDOCK_MSG_MAP_COMMAND;
  message->map_command.map = (BurdockBytes){ data, slots };
  bytes = encoded_bytes (message);
  free (data);
  free (message);
  return bytes;
}

/* Size of the evidence about prompt parts under which @crashes upstreams ended. */
static double
prompt_parts_bytes (uint32_t crashes)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockPromptPartsMessage *parts = &message->prompt_parts;
  double bytes;

  message->header.type = BURDOCK_MSG_PROMPT_PARTS;
  parts->item_count = crashes;
  for (uint32_t i = 0; i < crashes; i++)
    parts->items[i] = (BurdockPartItem){ .part = UINT32_MAX,
                                         .kind = BURDOCK_PART_CRASHED,
                                         .upstream_id = UINT64_MAX - i,
                                         .depth = 1,
                                         .age_ms = 100000 };
  bytes = encoded_bytes (message);
  free (message);
  return bytes;
}

/* Size of a report about @upstreams that name a rate limit. */
static double
upstream_rates_bytes (uint32_t upstreams)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockUpstreamRatesMessage *rates = &message->upstream_rates;
  double bytes;

  message->header.type = BURDOCK_MSG_UPSTREAM_RATES;
  rates->demand_per_1000s = 10600;
  rates->item_count = upstreams;
  for (uint32_t i = 0; i < upstreams; i++)
    rates->items[i] = (BurdockRateItem){
      .upstream_id = UINT64_MAX - i, .limit_per_1000s = 2200, .age_ms = 1000, .sent = 1
    };
  bytes = encoded_bytes (message);
  free (message);
  return bytes;
}

/* Size of a message that tells the state of the store. */
static double
store_state_bytes (uint64_t era)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  double bytes;

  message->header = (BurdockMessageHeader){ .type = BURDOCK_MSG_STORE_STATE,
                                            .sender_id = UINT64_MAX,
                                            .sender_incarnation = UINT64_MAX };
  message->store_state.era = era;
  message->store_state.upstream_version = UINT32_MAX;
  bytes = encoded_bytes (message);
  free (message);
  return bytes;
}

static void
print_gateways (void)
{
  Series heartbeat = { .role = "gateway",
                       .quantity = "heartbeat",
                       .unit = "B",
                       .per = "upstream in use",
                       .target = 60 };
  Series state = { .role = "rank agent",
                   .quantity = "state with counts",
                   .unit = "B",
                   .per = "expert of all layers",
                   .target = 12 * 128 };
  Series parts = { .role = "gateway",
                   .quantity = "evidence about prompt parts",
                   .unit = "B",
                   .per = "crash",
                   .target = BURDOCK_PART_ITEMS_MAX };
  Series rates = { .role = "gateway",
                   .quantity = "report of rate limits",
                   .unit = "B",
                   .per = "limited upstream",
                   .target = BURDOCK_RATE_ITEMS_MAX };
  Series command = { .role = "rank agent that coordinates",
                     .quantity = "map for one rank",
                     .unit = "B",
                     .per = "copy of an expert",
                     .target = 12 * 32 * 6 };

  for (uint32_t i = 1; i <= SIZES; i++) {
    add_point (&heartbeat, i * 10, heartbeat_bytes (i * 10));
    add_point (&parts, i * 8, prompt_parts_bytes (i * 8));
    add_point (&rates, i * 8, upstream_rates_bytes (i * 8));
    add_point (&state, i * 384, rank_state_bytes (i * 384));
    add_point (&command, i * 576, map_command_bytes (i * 576));
  }
  print_series (&heartbeat);
  print_series (&parts);
  print_series (&rates);
  print_series (&state);
  print_series (&command);
  printf ("| gateway | state of the store, B | era 3: %.4g; era 1000: %.4g | - | - |\n",
          store_state_bytes (3), store_state_bytes (1000));
}

int
main (void)
{
  printf ("| role | quantity | measured at | slope | by the slope at the target |\n"
          "|---|---|---|---|---|\n");
  print_fleet ();
  print_replacements ();
  print_leases ();
  print_changes ();
  print_maps ();
  print_gateways ();
  return 0;
}
