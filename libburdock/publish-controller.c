/**
 * DOC: publish-controller.c - publishes snapshots for the traffic threads
 */
#include "controller.h"
#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Minimum time between snapshots, to batch changes into one of them. It grows with
 * the number of members, as a snapshot copies all of them and a large fleet changes often
 * while it starts. */
#define PUBLISH_GAP_US (20 * US_PER_MS)
#define PUBLISH_GAP_MEMBER_US 100

/* Time between snapshots without a new revision, since load and warm-up weights change
 * without one. */
#define PUBLISH_PERIOD_US (1000 * US_PER_MS)

/* The weight of a new upstream grows linearly from the first weight to 1 in this time. */
#define WARM_UP_US (10000 * US_PER_MS)
#define WARM_UP_FIRST_WEIGHT 0.1

/* Added to the answer lifetime before a leaving entry refuses work. */
#define STOP_MARGIN_US (200 * US_PER_MS)

/**
 * struct Publisher - state of the publish controller
 * @revision: revision of the blackboard in the last snapshot
 * @refusal: reason in the last snapshot
 * @published: whether there has been a snapshot yet
 */
typedef struct {
  BurdockCore *core;
  uint64_t revision;
  uint64_t last_publish_us;
  BurdockReason refusal;
  uint64_t store_era;
  bool published;
} Publisher;

/* Members first seen within WARM_UP_US / 2 of the start of this process were probably
 * running before it, and get their full weight. */
static double
warm_up_weight (const BurdockSelf *self, const BurdockMemberEntry *member,
                uint64_t now_us)
{
  uint64_t age_us = now_us - member->first_seen_us;

  if (member->first_seen_us < self->started_us + WARM_UP_US / 2 || age_us >= WARM_UP_US)
    return 1.0;
  return WARM_UP_FIRST_WEIGHT +
         (1.0 - WARM_UP_FIRST_WEIGHT) * (double)age_us / (double)WARM_UP_US;
}

static void
add_upstream (BurdockSnapshot *snapshot, const BurdockMemberEntry *member, double weight)
{
  const BurdockMemberRecord *record = &member->record;
  BurdockUpstream *upstream = &snapshot->upstreams[snapshot->upstream_count++];

  *upstream = (BurdockUpstream){
    .id = record->id,
    .incarnation = record->incarnation,
    .traffic_address = record->traffic_address,
    .rank = record->rank,
    .capacity = record->capacity,
    .running = member->running,
    .queued = member->queued,
    .joined_us = member->first_seen_us,
    .usable = record->state == BURDOCK_MEMBER_ALIVE,
    .weight = weight,
  };
  memcpy (upstream->name, record->name, sizeof upstream->name);
  memcpy (upstream->failure_domain, record->failure_domain,
          sizeof upstream->failure_domain);
  memcpy (upstream->pool, record->pool, sizeof upstream->pool);
  memcpy (upstream->group, record->group, sizeof upstream->group);
}

static void
add_entry (BurdockSnapshot *snapshot, const BurdockMemberRecord *record, uint32_t running)
{
  BurdockEntryInfo *entry = &snapshot->entries[snapshot->entry_count++];

  *entry = (BurdockEntryInfo){
    .id = record->id,
    .http_address = record->http_address,
    .running = running,
    .usable = record->state == BURDOCK_MEMBER_ALIVE,
  };
  memcpy (entry->failure_domain, record->failure_domain, sizeof entry->failure_domain);
}

static void
add_self (BurdockSnapshot *snapshot, const BurdockBlackboard *board)
{
  const BurdockSettings *settings = &board->self.settings;
  BurdockMemberRecord record = {
    .id = board->self.member_id,
    .http_address = settings->http_address,
    .state = board->self.leaving ? BURDOCK_MEMBER_LEAVING : BURDOCK_MEMBER_ALIVE,
  };

  if (settings->role != BURDOCK_ROLE_ENTRY)
    return;
  memcpy (record.failure_domain, settings->failure_domain, sizeof record.failure_domain);
  add_entry (snapshot, &record, board->usage.running);
}

static void
add_members (BurdockSnapshot *snapshot, const BurdockBlackboard *board, uint64_t now_us)
{
  const BurdockMembers *members = &board->members;

  snapshot->upstreams = calloc (members->count + 1, sizeof *snapshot->upstreams);
  snapshot->entries = calloc (members->count + 1, sizeof *snapshot->entries);
  add_self (snapshot, board);
  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberEntry *member = &members->items[i];

    if (member->record.state == BURDOCK_MEMBER_REMOVED)
      continue;
    if (member->record.role == BURDOCK_ROLE_AGENT)
      add_upstream (snapshot, member, warm_up_weight (&board->self, member, now_us));
    else
      add_entry (snapshot, &member->record, member->running);
  }
  for (uint32_t i = 0; i < snapshot->entry_count; i++)
    snapshot->live_entries += snapshot->entries[i].usable;
}

static void
add_shares (BurdockSnapshot *snapshot, const BurdockShares *shares)
{
  snapshot->shares = calloc (shares->count + 1, sizeof *snapshot->shares);
  for (uint32_t i = 0; i < shares->count; i++) {
    BurdockSnapshotShare *share = &snapshot->shares[snapshot->share_count++];

    memcpy (share->workspace, shares->items[i].workspace, sizeof share->workspace);
    share->running_limit = shares->items[i].share;
  }
}

/* A leaving agent refuses work at once, as the dispatchers have been notified of it.
 * A leaving entry accepts work as long as callers may have an answer that names it. */
static BurdockReason
current_refusal (const BurdockBlackboard *board, uint64_t now_us)
{
  const BurdockSelf *self = &board->self;
  uint64_t grace_us = self->settings.answer_lifetime_ms * US_PER_MS + STOP_MARGIN_US;

  if (self->leaving && (self->settings.role == BURDOCK_ROLE_AGENT ||
                        now_us >= self->leaving_since_us + grace_us))
    return BURDOCK_REASON_LEAVING;
  return board->config.refusal;
}

static void
publish_snapshot (Publisher *publisher, uint64_t now_us)
{
  BurdockCore *core = publisher->core;
  const BurdockBlackboard *board = &core->board;
  const BurdockSettings *settings = &board->self.settings;
  BurdockSnapshot *snapshot = burdock_snapshot_new (board->config.config);
  uint64_t lifetime_us = settings->answer_lifetime_ms * US_PER_MS;

  snapshot->generation = board->config.generation;
  snapshot->refusal = publisher->refusal;
  snapshot->store_available = burdock_store_available (core->store);
  snapshot->store_era = publisher->store_era;
  snapshot->answer_lifetime_ms = settings->answer_lifetime_ms;
  snapshot->answer_slot = lifetime_us > 0 ? now_us / lifetime_us : 0;
  memcpy (snapshot->failure_domain, settings->failure_domain,
          sizeof snapshot->failure_domain);
  add_members (snapshot, board, now_us);
  add_shares (snapshot, &board->shares);
  core->env->publish (core->env->ctx, snapshot);
}

static uint64_t
publish_tick (void *ctx, uint64_t now_us)
{
  Publisher *publisher = ctx;
  const BurdockBlackboard *board = &publisher->core->board;
  BurdockReason refusal = current_refusal (board, now_us);
  bool changed = publisher->revision != board->revision || !publisher->published ||
                 publisher->refusal != refusal ||
                 publisher->store_era != burdock_store_era (publisher->core->store);
  uint64_t gap_us =
      changed ? PUBLISH_GAP_US + (uint64_t)board->members.count * PUBLISH_GAP_MEMBER_US
              : PUBLISH_PERIOD_US;

  if (publisher->published && now_us < publisher->last_publish_us + gap_us)
    return publisher->last_publish_us + gap_us;
  publisher->published = true;
  publisher->revision = board->revision;
  publisher->last_publish_us = now_us;
  publisher->refusal = refusal;
  publisher->store_era = burdock_store_era (publisher->core->store);
  publish_snapshot (publisher, now_us);
  return now_us + PUBLISH_PERIOD_US;
}

BurdockController
burdock_publish_controller (BurdockCore *core, uint32_t index)
{
  Publisher *publisher = calloc (1, sizeof *publisher);

  publisher->core = core;
  return (BurdockController){
    .name = "publish",
    .ctx = publisher,
    .tick = publish_tick,
    .free = free,
  };
}
