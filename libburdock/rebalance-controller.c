#include "controller.h"

#include "error.h"
#include "expert-map.h"
#include "group-load.h"
#include "planner.h"
#include "switch-coordinator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define TICK_US (200 * US_PER_MS)

/* Ranks report once a second; one that is silent for this long is reminded of the address
 * of the coordinator. */
#define REPORT_TIMEOUT_US (3000 * US_PER_MS)
#define ROUND_RETRY_INTERVAL_US (2000 * US_PER_MS)

/* With a shorter interval, plans would follow noise, as reports come once a second. */
#define REBALANCE_INTERVAL_MIN_MS 1000

/* Ranks report once a second. */
#define REPORT_INTERVAL_US (1000 * US_PER_MS)

/* Time for proposals to reach all engines before the step at which they hold. */
#define HOLD_LEAD_US (150 * US_PER_MS)
#define MARGIN_STEPS_MIN 3
#define MARGIN_STEPS_MAX 4096

/** struct RankMap - map that a rank reported in the current round */
typedef struct {
  uint64_t reminded_us;
  uint8_t *map;
  uint32_t map_bytes;
} RankMap;

/** struct Group - a rank group that this process coordinates */
typedef struct Group Group;
struct Group {
  Group *next;
  BurdockCore *core;
  char name[BURDOCK_NAME_BYTES];
  char lease_name[BURDOCK_NAME_BYTES + 8];
  BurdockGroupConfig config;
  uint64_t fence;
  BurdockSwitchCoordinator coordinator;
  BurdockSwitchPhase last_phase;
  bool map_known;
  BurdockExpertMap map;
  uint64_t map_epoch;
  bool has_plan;
  BurdockExpertMap plan;
  BurdockPlanResult plan_result;
  uint8_t *plan_bytes;
  uint32_t plan_length_bytes;
  BurdockGroupLoad load;
  RankMap ranks[BURDOCK_GROUP_RANKS_MAX];
  uint64_t next_interval_us;
  uint64_t next_plan_us;
  uint64_t next_round_us;
  uint32_t margin_factor;
};

typedef struct {
  BurdockCore *core;
  Group *groups;
  uint64_t next_tick_us;
} RebalanceController;

static BurdockGroupView *
get_group_view (BurdockCore *core, const char *name)
{
  BurdockGroups *groups = &core->board.groups;
  BurdockGroupView *view;

  for (uint32_t i = 0; i < groups->count; i++)
    if (strcmp (groups->items[i].name, name) == 0)
      return &groups->items[i];
  if (groups->count == groups->allocated) {
    groups->allocated = groups->allocated == 0 ? 4 : groups->allocated * 2;
    groups->items = realloc (groups->items, groups->allocated * sizeof *groups->items);
  }
  view = &groups->items[groups->count++];
  *view = (BurdockGroupView){ 0 };
  burdock_copy_name (view->name, sizeof view->name, name);
  return view;
}

static uint32_t
margin_steps (const Group *group)
{
  uint32_t slowest_us = burdock_group_load_slowest_us (&group->load);
  uint64_t margin = MARGIN_STEPS_MIN;

  if (slowest_us > 0)
    margin += HOLD_LEAD_US / slowest_us;
  margin *= group->margin_factor;
  return margin < MARGIN_STEPS_MAX ? (uint32_t)margin : MARGIN_STEPS_MAX;
}

/* Checks the lease before each message, so that nothing is sent if it expired during a
 * pause of this process. */
static void
coordinator_send (void *ctx, uint32_t rank, uint32_t type, uint64_t target,
                  const BurdockSwitchMessage *body)
{
  Group *group = ctx;
  BurdockCore *core = group->core;
  const BurdockLease *lease =
      burdock_leases_find_valid (&core->board.leases, group->lease_name,
                                 burdock_core_now (core));
  const BurdockMemberEntry *member =
      burdock_members_find_rank (&core->board.members, group->name, rank);
  BurdockMessage message = { .header = { .type = type, .target_incarnation = target },
                             .switching = *body };

  if (lease == NULL || lease->fence != group->fence || member == NULL)
    return;
  burdock_copy_name (message.switching.group, sizeof message.switching.group,
                     group->name);
  message.switching.reply_to = core->board.self.settings.control_address;
  if (type == BURDOCK_MSG_SWITCH_PREPARE)
    message.switching.map = (BurdockBytes){ group->plan_bytes, group->plan_length_bytes };
  if (type == BURDOCK_MSG_SWITCH_OUTCOME && body->outcome == BURDOCK_OUTCOME_SETTLE) {
    const RankMap *source = &group->ranks[group->coordinator.settle_rank];
    message.switching.map = (BurdockBytes){ source->map, source->map_bytes };
  }
  burdock_core_send (core, member->record.control_address, &message);
}

static void
discard_plan (Group *group)
{
  if (!group->has_plan)
    return;
  burdock_expert_map_clear (&group->plan);
  free (group->plan_bytes);
  group->plan_bytes = NULL;
  group->has_plan = false;
}

static void
discard_rank_maps (Group *group)
{
  for (uint32_t r = 0; r < BURDOCK_GROUP_RANKS_MAX; r++) {
    free (group->ranks[r].map);
    group->ranks[r].map = NULL;
    group->ranks[r].map_bytes = 0;
  }
}

static void
group_free (Group *group)
{
  discard_plan (group);
  discard_rank_maps (group);
  burdock_expert_map_clear (&group->map);
  burdock_group_load_clear (&group->load);
  free (group);
}

static Group *
group_new (BurdockCore *core, const BurdockGroupConfig *config, uint64_t fence,
           uint64_t now_us)
{
  Group *group = calloc (1, sizeof *group);
  BurdockSwitchCoordinatorCallbacks port = { .ctx = group, .send = coordinator_send };

  group->core = core;
  group->config = *config;
  group->fence = fence;
  group->margin_factor = 1;
  burdock_copy_name (group->name, sizeof group->name, config->name);
  snprintf (group->lease_name, sizeof group->lease_name, "group/%s", config->name);
  burdock_switch_coordinator_init (&group->coordinator, config->ranks,
                                   core->board.self.settings.incarnation, &port);
  burdock_group_load_init (&group->load, config->ranks, config->layers, config->experts);
  group->next_plan_us = now_us;
  return group;
}

static void
start_round (Group *group, uint64_t now_us)
{
  group->next_round_us = now_us + ROUND_RETRY_INTERVAL_US;
  discard_rank_maps (group);
  burdock_switch_coordinator_start (&group->coordinator, group->fence, now_us);
}

static bool
adopt_map (Group *group, BurdockBytes bytes, uint64_t epoch)
{
  BurdockExpertMap map;

  if (burdock_expert_map_decode (bytes, &map) < 0)
    return false;
  if (map.layers != group->config.layers || map.ranks != group->config.ranks ||
      burdock_expert_map_check (&map, group->config.experts) < 0) {
    burdock_expert_map_clear (&map);
    return false;
  }
  burdock_expert_map_clear (&group->map);
  group->map = map;
  group->map_epoch = epoch;
  group->map_known = true;
  return true;
}

static void
on_ready (Group *group, uint64_t now_us)
{
  const BurdockSwitchPeer *first = &group->coordinator.peers[0];
  BurdockBytes bytes = { group->ranks[0].map, group->ranks[0].map_bytes };

  if (!group->map_known || first->map_epoch != group->map_epoch) {
    discard_plan (group);
    if (!adopt_map (group, bytes, first->map_epoch))
      burdock_timeline_add (group->core->timeline, BURDOCK_LOG_ERROR, BURDOCK_EVENT_FAULT,
                            "map refused", "-", group->name,
                            "the map in use does not fit the configuration");
  }
  discard_rank_maps (group);
  if (group->has_plan)
    burdock_switch_coordinator_prepare (&group->coordinator, now_us);
  else
    group->coordinator.phase = BURDOCK_SWITCH_IDLE;
}

static void
on_outcome (Group *group)
{
  BurdockCore *core = group->core;
  BurdockGroupView *view = get_group_view (core, group->name);
  BurdockSwitchOutcome outcome = group->coordinator.outcome;

  if (outcome == BURDOCK_OUTCOME_COMMIT && group->has_plan) {
    uint64_t bytes = group->plan_result.moves * group->config.expert_bytes;

    burdock_expert_map_clear (&group->map);
    burdock_expert_map_copy (&group->map, &group->plan);
    group->map_epoch = group->coordinator.epoch;
    group->margin_factor = 1;
    view->switches++;
    view->moves += group->plan_result.moves;
    view->moved_bytes += bytes;
    burdock_count (&core->counters, BURDOCK_COUNTER_MAP_SWITCHES, 1);
    burdock_count (&core->counters, BURDOCK_COUNTER_MAP_MOVES, group->plan_result.moves);
    burdock_count (&core->counters, BURDOCK_COUNTER_MAP_MOVED_BYTES, bytes);
  } else if (outcome == BURDOCK_OUTCOME_ABORT) {
    view->aborts++;
    burdock_count (&core->counters, BURDOCK_COUNTER_MAP_ABORTS, 1);
    /* The usual cause is a proposal that reached a rank after the step to hold at, so the
     * next one gets more time. */
    if (group->margin_factor < 16)
      group->margin_factor *= 2;
  } else {
    group->map_known = false;
  }
  discard_plan (group);
  burdock_timeline_add (core->timeline, BURDOCK_LOG_INFO, BURDOCK_EVENT_MAP_SWITCH,
                        outcome == BURDOCK_OUTCOME_COMMIT  ? "commit"
                        : outcome == BURDOCK_OUTCOME_ABORT ? "abort"
                                                           : "settle",
                        "-", group->name, "epoch %llu at step %llu",
                        (unsigned long long)group->coordinator.epoch,
                        (unsigned long long)group->coordinator.step);
}

/* Handles changes of phase; a loop, as entering a phase can complete it at once. */
static void
handle_phase_changes (Group *group, uint64_t now_us)
{
  while (group->coordinator.phase != group->last_phase) {
    BurdockSwitchPhase previous = group->last_phase;
    BurdockSwitchPhase phase = group->coordinator.phase;

    group->last_phase = phase;
    if (phase == BURDOCK_SWITCH_READY)
      on_ready (group, now_us);
    else if (phase == BURDOCK_SWITCH_OUTCOME)
      on_outcome (group);
    else if (phase == BURDOCK_SWITCH_IDLE && previous == BURDOCK_SWITCH_PREPARE)
      discard_plan (group);
  }
}

static void
plan (Group *group, uint64_t now_us)
{
  BurdockGroupView *view = get_group_view (group->core, group->name);
  BurdockPlanInput input = { .current = &group->map,
                             .experts = group->config.experts,
                             .rates = burdock_popularity_rates (group->load.popularity),
                             .speed = group->load.speed,
                             .step_tokens = group->load.step_tokens,
                             .skew_weight = group->config.skew_weight,
                             .cost_weight = group->config.cost_weight };
  bool worthwhile = burdock_plan (&input, &group->plan, &group->plan_result);

  view->planned_skew_permille = (uint32_t)(group->plan_result.skew_before * 1000);
  group->has_plan = true;
  if (!worthwhile || burdock_expert_map_encode (&group->plan, &group->plan_bytes,
                                                &group->plan_length_bytes) < 0) {
    discard_plan (group);
    return;
  }
  burdock_timeline_add (group->core->timeline, BURDOCK_LOG_INFO, BURDOCK_EVENT_DECISION,
                        "plan", "-", group->name, "skew %.3f to %.3f, %llu moves",
                        group->plan_result.skew_before, group->plan_result.skew_after,
                        (unsigned long long)group->plan_result.moves);
  start_round (group, now_us);
}

/* A surge and an unfinished plan call for a new plan at once. */
static bool
plan_is_due (const Group *group, uint64_t now_us)
{
  return now_us >= group->next_plan_us || group->plan_result.unfinished ||
         burdock_popularity_surging (group->load.popularity) > 0;
}

static void
process_interval (Group *group, uint64_t now_us)
{
  uint64_t interval_ms = group->config.rebalance_interval_ms;

  if (!group->map_known || now_us < group->next_interval_us ||
      !burdock_group_load_complete (&group->load))
    return;
  group->next_interval_us = now_us + REPORT_INTERVAL_US - TICK_US;
  burdock_group_load_end_interval (&group->load);
  if (group->load.pause_us > 0) {
    BurdockGroupView *view = get_group_view (group->core, group->name);

    view->pauses++;
    view->pause_us += group->load.pause_us;
  }
  if (group->coordinator.phase != BURDOCK_SWITCH_IDLE || !plan_is_due (group, now_us))
    return;
  if (interval_ms < REBALANCE_INTERVAL_MIN_MS)
    interval_ms = REBALANCE_INTERVAL_MIN_MS;
  group->next_plan_us = now_us + interval_ms * US_PER_MS;
  plan (group, now_us);
}

/* Sends silent ranks the address of the coordinator. The query has round 0, so that it
 * binds no rank to a ballot. */
static void
remind_silent_ranks (Group *group, uint64_t now_us)
{
  BurdockSwitchMessage query = { .fence = group->fence };

  for (uint32_t r = 0; r < group->config.ranks; r++) {
    if (now_us < group->load.reports[r].last_report_us + REPORT_TIMEOUT_US ||
        now_us < group->ranks[r].reminded_us + REPORT_TIMEOUT_US)
      continue;
    group->ranks[r].reminded_us = now_us;
    query.rank = r;
    coordinator_send (group, r, BURDOCK_MSG_SWITCH_QUERY, 0, &query);
  }
}

static void
group_tick (Group *group, uint64_t now_us)
{
  burdock_switch_coordinator_tick (&group->coordinator, now_us);
  handle_phase_changes (group, now_us);
  process_interval (group, now_us);
  if (group->coordinator.phase != BURDOCK_SWITCH_IDLE)
    return;
  if (!group->map_known && now_us >= group->next_round_us)
    start_round (group, now_us);
  handle_phase_changes (group, now_us);
  remind_silent_ranks (group, now_us);
}

static void
on_popularity (Group *group, const BurdockPopularityMessage *message, uint64_t now_us)
{
  BurdockGroupView *view = get_group_view (group->core, group->name);
  bool same_map = group->map_known && message->map_epoch == group->map_epoch;

  burdock_group_load_add_report (&group->load, message, same_map ? &group->map : NULL,
                                 now_us);
  view->step = message->step;
  view->skew_us = burdock_group_load_skew_us (&group->load);
  burdock_gauge (&group->core->counters, BURDOCK_COUNTER_MAP_SKEW_US, view->skew_us);
  /* Another proposer has settled the group on a different map. */
  if (!same_map && group->coordinator.phase == BURDOCK_SWITCH_IDLE)
    group->map_known = false;
}

static void
store_rank_map (Group *group, const BurdockSwitchMessage *message)
{
  RankMap *report = &group->ranks[message->rank];

  free (report->map);
  report->map_bytes = message->map.length_bytes;
  report->map = malloc (report->map_bytes + 1);
  if (report->map_bytes > 0)
    memcpy (report->map, message->map.data, report->map_bytes);
}

static void
on_switch_reply (Group *group, const BurdockMessage *message, uint64_t now_us)
{
  const BurdockSwitchMessage *body = &message->switching;

  if (body->rank >= group->config.ranks)
    return;
  if (message->header.type == BURDOCK_MSG_SWITCH_STATE &&
      group->coordinator.phase == BURDOCK_SWITCH_QUERY && body->status == 0)
    store_rank_map (group, body);
  burdock_switch_coordinator_handle_reply (&group->coordinator, message->header.type,
                                           message->header.sender_incarnation, body,
                                           margin_steps (group), now_us);
  handle_phase_changes (group, now_us);
}

static Group *
find_group (const RebalanceController *self, const char *name)
{
  for (Group *group = self->groups; group != NULL; group = group->next)
    if (strcmp (group->name, name) == 0)
      return group;
  return NULL;
}

static bool
rebalance_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  RebalanceController *self = ctx;
  uint64_t now_us = burdock_core_now (self->core);
  Group *group;

  (void)from;
  switch (message->header.type) {
  case BURDOCK_MSG_POPULARITY:
    group = find_group (self, message->popularity.group);
    if (group != NULL)
      on_popularity (group, &message->popularity, now_us);
    return true;
  case BURDOCK_MSG_SWITCH_LOADED:
  case BURDOCK_MSG_SWITCH_PROMISE:
  case BURDOCK_MSG_SWITCH_OUTCOME_ACK:
  case BURDOCK_MSG_SWITCH_STATE:
    group = find_group (self, message->switching.group);
    if (group != NULL)
      on_switch_reply (group, message, now_us);
    return true;
  default:
    return false;
  }
}

static bool
same_shape (const BurdockGroupConfig *a, const BurdockGroupConfig *b)
{
  return a->ranks == b->ranks && a->layers == b->layers && a->experts == b->experts &&
         a->slots_per_rank == b->slots_per_rank;
}

static const BurdockGroupConfig *
find_config (const BurdockCore *core, const char *name)
{
  const BurdockConfig *config = core->board.config.config;

  return config == NULL ? NULL : burdock_config_group (config, name);
}

/* Removes groups whose lease is lost or held under a new fencing token, and groups that
 * the configuration no longer contains in the same shape. */
static void
remove_lost_groups (RebalanceController *self, uint64_t now_us)
{
  Group **at = &self->groups;

  while (*at != NULL) {
    Group *group = *at;
    const BurdockLease *lease =
        burdock_leases_find_valid (&self->core->board.leases, group->lease_name, now_us);
    const BurdockGroupConfig *config = find_config (self->core, group->name);

    if (lease != NULL && lease->fence == group->fence && config != NULL &&
        same_shape (config, &group->config)) {
      group->config = *config;
      at = &group->next;
      continue;
    }
    get_group_view (self->core, group->name)->coordinating = false;
    *at = group->next;
    group_free (group);
  }
}

/* Adds the groups whose lease this process holds. */
static void
add_held_groups (RebalanceController *self, uint64_t now_us)
{
  const BurdockConfig *config = self->core->board.config.config;
  const BurdockGroupConfig *groups;
  uint32_t count = 0;

  if (config == NULL)
    return;
  groups = burdock_config_groups (config, &count);
  for (uint32_t i = 0; i < count; i++) {
    char name[BURDOCK_NAME_BYTES + 8];
    const BurdockLease *lease;
    Group *group;

    snprintf (name, sizeof name, "group/%s", groups[i].name);
    lease = burdock_leases_find_valid (&self->core->board.leases, name, now_us);
    if (lease == NULL || groups[i].ranks > BURDOCK_GROUP_RANKS_MAX ||
        find_group (self, groups[i].name) != NULL)
      continue;
    group = group_new (self->core, &groups[i], lease->fence, now_us);
    group->next = self->groups;
    self->groups = group;
  }
}

static uint64_t
rebalance_tick (void *ctx, uint64_t now_us)
{
  RebalanceController *self = ctx;

  if (now_us < self->next_tick_us)
    return self->next_tick_us;
  self->next_tick_us = now_us + TICK_US;
  remove_lost_groups (self, now_us);
  add_held_groups (self, now_us);
  for (Group *group = self->groups; group != NULL; group = group->next) {
    BurdockGroupView *view = get_group_view (self->core, group->name);

    view->coordinating = true;
    group_tick (group, now_us);
    view->map_epoch = group->map_epoch;
  }
  return self->next_tick_us;
}

static void
rebalance_free (void *ctx)
{
  RebalanceController *self = ctx;

  while (self->groups != NULL) {
    Group *group = self->groups;

    self->groups = group->next;
    group_free (group);
  }
  free (self);
}

BurdockController
burdock_rebalance_controller (BurdockCore *core, uint32_t index)
{
  RebalanceController *self = calloc (1, sizeof *self);

  (void)index;
  self->core = core;
  return (BurdockController){ .name = "rebalance",
                              .ctx = self,
                              .tick = rebalance_tick,
                              .message = rebalance_message,
                              .free = rebalance_free };
}
