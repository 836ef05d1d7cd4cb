/**
 * DOC: bench-limits.c - accuracy of running limits that entries enforce with shares
 *
 * Measures the largest excess of running requests over the limit of a workspace while
 * demand shifts, entries stop and restart, and entries become unreachable.
 */
#include "bench.h"
#include "controller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)
#define ENTRIES 9
#define WORKSPACES 4
#define RUNNING_LIMIT 60
#define RUNNING_MAX 128
#define END_US (600 * US_PER_S)
#define SEEDS 3
#define FRAMES_MAX 4096

/* Periods at which traffic reads its share and reports its usage. */
#define SNAPSHOT_PERIOD_US (20 * US_PER_MS)
#define USAGE_PERIOD_US (100 * US_PER_MS)

/* Time without a heartbeat after which a member is suspected and, if it has stopped,
 * removed. */
#define SUSPECT_AFTER_US (3 * US_PER_S)
#define REMOVE_AFTER_US (11 * US_PER_S)

/** struct LimitFrame - control message in flight to entry @to */
typedef struct {
  uint64_t due_us;
  uint32_t to;
  uint32_t length_bytes;
  uint8_t *data;
} LimitFrame;

typedef struct LimitRun LimitRun;

/**
 * struct LimitEntry - one entry
 * @demand: requests of each workspace that want to run
 * @share: part of the limit of each workspace that this entry may use
 * @running: running requests
 * @ends_us: times at which they end
 */
typedef struct {
  LimitRun *run;
  uint32_t index;
  uint64_t incarnation;
  bool alive;
  uint64_t unreachable_since_us; /* 0 while reachable */
  uint64_t unreachable_until_us;
  BurdockEnv env;
  BurdockCore core;
  BurdockController controller;
  uint32_t demand[WORKSPACES];
  uint32_t share[WORKSPACES];
  uint32_t running[WORKSPACES];
  uint64_t ends_us[WORKSPACES][RUNNING_MAX];
} LimitEntry;

/**
 * struct LimitRun - simulation of some entries
 * @used_sum: running requests, summed over all steps and workspaces
 * @usable_sum: the same if each workspace ran the lower of its demand and its limit
 * @worst_excess: largest excess over a limit, as share of it
 */
struct LimitRun {
  uint64_t now_us;
  uint64_t random_state;
  uint64_t next_incarnation;
  BurdockConfig *config;
  LimitEntry entries[ENTRIES];
  uint32_t frame_count;
  LimitFrame frames[FRAMES_MAX];
  uint64_t used_sum;
  uint64_t usable_sum;
  double worst_excess;
};

static uint64_t
limit_now_us (void *ctx)
{
  return ((LimitEntry *)ctx)->run->now_us;
}

static uint64_t
limit_random (void *ctx)
{
  LimitRun *run = ((LimitEntry *)ctx)->run;
  uint64_t z = run->random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint64_t
random_below (LimitRun *run, uint64_t limit)
{
  return limit_random (&run->entries[0]) % limit;
}

/* Frames take 1 to 41 ms, so they may be reordered. 2 % are lost, and all from and to
 * unreachable entries. */
static int
limit_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  LimitEntry *entry = ctx;
  LimitRun *run = entry->run;
  LimitFrame *out = &run->frames[run->frame_count];

  if (run->frame_count == FRAMES_MAX || random_below (run, 1000) < 20 ||
      entry->unreachable_since_us != 0 || run->entries[to.ipv4].unreachable_since_us != 0)
    return 0;
  *out = (LimitFrame){ .due_us =
                           run->now_us + US_PER_MS + random_below (run, 40 * US_PER_MS),
                       .to = to.ipv4,
                       .length_bytes = length_bytes,
                       .data = malloc (length_bytes) };
  memcpy (out->data, frame, length_bytes);
  run->frame_count++;
  return 0;
}

static void
start_entry (LimitEntry *entry)
{
  LimitRun *run = entry->run;
  BurdockSettings settings = { .role = BURDOCK_ROLE_ENTRY };

  snprintf (settings.name, sizeof settings.name, "entry-%u", entry->index);
  /* The upper half of an incarnation is the time of the start in seconds. */
  settings.incarnation =
      ((1000 + run->now_us / US_PER_S) << 32) | (++run->next_incarnation & 0xffff);
  entry->incarnation = settings.incarnation;
  entry->alive = true;
  entry->env = (BurdockEnv){ .ctx = entry,
                             .now_us = limit_now_us,
                             .wall_us = limit_now_us,
                             .random_u64 = limit_random,
                             .send = limit_send };
  entry->core = (BurdockCore){ .env = &entry->env };
  entry->core.timeline = burdock_timeline_new (&entry->env, 16);
  burdock_blackboard_init (&entry->core.board, &settings, run->now_us);
  entry->core.board.config.config = run->config;
  entry->core.board.config.generation = 1;
  entry->core.board.instances.count = ENTRIES;
  entry->core.board.instances.items = calloc (ENTRIES, sizeof (BurdockInstance));
  for (uint32_t i = 0; i < ENTRIES; i++) {
    entry->core.board.instances.items[i].role = BURDOCK_ROLE_ENTRY;
    entry->core.board.instances.items[i].state = BURDOCK_INSTANCE_LIVE;
  }
  entry->controller = burdock_limit_controller (&entry->core, 0);
}

static void
stop_entry (LimitEntry *entry)
{
  entry->alive = false;
  entry->controller.free (entry->controller.ctx);
  entry->core.board.config.config = NULL;
  burdock_blackboard_clear (&entry->core.board);
  burdock_timeline_free (entry->core.timeline);
  memset (entry->running, 0, sizeof entry->running);
  memset (entry->share, 0, sizeof entry->share);
}

/* Updates the membership view that @entry has of @other. */
static void
update_member (LimitEntry *entry, const LimitEntry *other)
{
  LimitRun *run = entry->run;
  char name[BURDOCK_NAME_BYTES];
  BurdockMemberEntry *member;
  uint64_t silent_us = 0;

  if (entry == other)
    return;
  snprintf (name, sizeof name, "entry-%u", other->index);
  member = burdock_members_insert (&entry->core.board.members, burdock_member_id (name));
  if (other->alive && other->unreachable_since_us == 0 &&
      entry->unreachable_since_us == 0) {
    member->last_heartbeat_us = run->now_us;
    member->record.id = burdock_member_id (name);
    member->record.incarnation = other->incarnation;
    member->record.role = BURDOCK_ROLE_ENTRY;
    member->record.control_address.ipv4 = other->index;
  }
  silent_us = run->now_us - member->last_heartbeat_us;
  member->record.state = member->record.role == 0       ? BURDOCK_MEMBER_REMOVED
                         : silent_us < SUSPECT_AFTER_US ? BURDOCK_MEMBER_ALIVE
                         : silent_us < REMOVE_AFTER_US || other->alive
                             ? BURDOCK_MEMBER_SUSPECT
                             : BURDOCK_MEMBER_REMOVED;
}

static void
deliver_frames (LimitRun *run)
{
  for (uint32_t i = 0; i < run->frame_count; i++) {
    LimitFrame frame = run->frames[i];
    LimitEntry *to = &run->entries[frame.to];
    BurdockMessage message;
    BurdockError error;

    if (frame.due_us > run->now_us)
      continue;
    run->frames[i--] = run->frames[--run->frame_count];
    if (to->alive &&
        burdock_message_decode (frame.data, frame.length_bytes, &(BurdockFrameKeys){ 0 },
                                &message, &error) == 0 &&
        message.header.target_incarnation == to->incarnation)
      to->controller.message (to->controller.ctx, (BurdockAddress){ 0 }, &message);
    free (frame.data);
  }
}

static void
run_traffic (LimitEntry *entry, uint32_t workspace)
{
  LimitRun *run = entry->run;
  const BurdockShares *shares = &entry->core.board.shares;
  uint32_t *running = &entry->running[workspace];
  char name[BURDOCK_NAME_BYTES];
  uint32_t target;

  snprintf (name, sizeof name, "w%u", workspace);
  if (run->now_us % SNAPSHOT_PERIOD_US == 0) {
    entry->share[workspace] = RUNNING_LIMIT / 4 / ENTRIES;
    for (uint32_t i = 0; i < shares->count; i++) {
      if (strcmp (shares->items[i].workspace, name) == 0)
        entry->share[workspace] = shares->items[i].share;
    }
  }
  for (uint32_t i = 0; i < *running; i++) {
    if (entry->ends_us[workspace][i] <= run->now_us)
      entry->ends_us[workspace][i--] = entry->ends_us[workspace][--*running];
  }
  target = entry->demand[workspace] < entry->share[workspace] ? entry->demand[workspace]
                                                              : entry->share[workspace];
  while (*running < target && *running < RUNNING_MAX)
    entry->ends_us[workspace][(*running)++] =
        run->now_us + 200 * US_PER_MS + random_below (run, 4 * US_PER_S);
}

static void
report_usage (LimitEntry *entry)
{
  BurdockUsage *usage = &entry->core.board.usage;

  usage->workspace_count = 0;
  for (uint32_t i = 0; i < WORKSPACES; i++) {
    if (entry->demand[i] == 0 && entry->running[i] == 0)
      continue;
    snprintf (usage->workspaces[usage->workspace_count].workspace, BURDOCK_NAME_BYTES,
              "w%u", i);
    usage->workspaces[usage->workspace_count].running = entry->running[i];
    usage->workspaces[usage->workspace_count++].demand =
        entry->demand[i] > entry->running[i] ? entry->demand[i] : entry->running[i];
  }
}

static void
inject_change (LimitRun *run)
{
  LimitEntry *entry = &run->entries[random_below (run, ENTRIES)];

  switch (random_below (run, 10)) {
  case 0:
    if (entry->alive)
      stop_entry (entry);
    break;
  case 1:
    if (entry->alive && entry->unreachable_since_us == 0) {
      entry->unreachable_since_us = run->now_us;
      entry->unreachable_until_us =
          run->now_us + US_PER_S + random_below (run, 20 * US_PER_S);
    }
    break;
  default:
    /* Demand is high in one of three cases, so that few entries have most of it. */
    for (uint32_t i = 0; i < WORKSPACES; i++)
      entry->demand[i] =
          random_below (run, 3) == 0 ? (uint32_t)random_below (run, 80) : 2;
  }
  for (uint32_t i = 0; i < ENTRIES; i++) {
    if (!run->entries[i].alive && random_below (run, 4) == 0)
      start_entry (&run->entries[i]);
  }
}

static void
measure_excess (LimitRun *run)
{
  for (uint32_t i = 0; i < WORKSPACES; i++) {
    uint32_t running = 0;
    uint32_t demand = 0;
    double excess;

    for (uint32_t j = 0; j < ENTRIES; j++) {
      running += run->entries[j].running[i];
      demand += run->entries[j].alive ? run->entries[j].demand[i] : 0;
    }
    excess =
        running > RUNNING_LIMIT ? (double)(running - RUNNING_LIMIT) / RUNNING_LIMIT : 0;
    if (excess > run->worst_excess)
      run->worst_excess = excess;
    run->used_sum += running;
    run->usable_sum += demand < RUNNING_LIMIT ? demand : RUNNING_LIMIT;
  }
}

static void
run_tick (LimitRun *run)
{
  deliver_frames (run);
  for (uint32_t i = 0; i < ENTRIES; i++) {
    LimitEntry *entry = &run->entries[i];

    if (entry->unreachable_since_us != 0 && entry->unreachable_until_us <= run->now_us)
      entry->unreachable_since_us = 0;
    if (!entry->alive)
      continue;
    for (uint32_t j = 0; j < WORKSPACES; j++)
      run_traffic (entry, j);
    if (run->now_us % USAGE_PERIOD_US == 0)
      report_usage (entry);
    for (uint32_t j = 0; j < ENTRIES && run->now_us % USAGE_PERIOD_US == 0; j++)
      update_member (entry, &run->entries[j]);
    entry->controller.tick (entry->controller.ctx, run->now_us);
  }
  measure_excess (run);
}

static LimitRun *
run_limits (BurdockConfig *config, uint64_t seed)
{
  LimitRun *run = calloc (1, sizeof *run);
  uint64_t next_change_us = 20 * US_PER_S;

  run->config = config;
  run->random_state = seed;
  for (uint32_t i = 0; i < ENTRIES; i++) {
    run->entries[i].run = run;
    run->entries[i].index = i;
    start_entry (&run->entries[i]);
  }
  for (; run->now_us < END_US; run->now_us += 10 * US_PER_MS) {
    run_tick (run);
    if (run->now_us >= next_change_us) {
      inject_change (run);
      next_change_us = run->now_us + US_PER_S + random_below (run, 4 * US_PER_S);
    }
  }
  for (uint32_t i = 0; i < ENTRIES; i++) {
    if (run->entries[i].alive)
      stop_entry (&run->entries[i]);
  }
  for (uint32_t i = 0; i < run->frame_count; i++)
    free (run->frames[i].data);
  return run;
}

void
bench_limits (void)
{
  char text[1024];
  BurdockConfig *config = NULL;
  BurdockError error;
  double worst_excess = 0;
  double used_share = 0;
  int at = snprintf (text, sizeof text,
                     "franchise: bench\ndefaults:\n  priority: normal\n"
                     "  running_limit: %u\n  deadline_ms: 20000\n  services: [call]\n"
                     "pools:\n  calls:\n    kind: service\n    service: call\n"
                     "    running_limit: 8\n    queue_limit: 256\nworkspaces:\n",
                     RUNNING_LIMIT);

  for (uint32_t i = 0; i < WORKSPACES; i++)
    at += snprintf (text + at, sizeof text - (size_t)at,
                    "  w%u:\n    branches:\n      b: {}\n", i);
  if (burdock_config_parse ("bench", (BurdockBytes){ (uint8_t *)text, (uint32_t)at },
                            &config, &error) < 0) {
    fprintf (stderr, "bench: %s: %s\n", error.step, error.detail);
    return;
  }
  for (uint64_t seed = 1; seed <= SEEDS; seed++) {
    LimitRun *run = run_limits (config, seed);

    worst_excess = run->worst_excess > worst_excess ? run->worst_excess : worst_excess;
    used_share += (double)run->used_sum / (double)run->usable_sum / SEEDS;
    free (run);
  }
  bench_at_most ("limit_error", worst_excess, "share", 0.05);
  bench_without_target ("limit_used", used_share, "share");
  burdock_config_unref (config);
}
