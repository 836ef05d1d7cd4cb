/**
 * DOC: limit-controller.c - shares of the workspaces' limits
 *
 * Each workspace has a home entry, found by rendezvous hashing over the live entries. An
 * entry reports its demand and what it may still be using to the home, which answers with
 * a share. The home grants no more than the limit leaves after everything that other
 * entries may still be using, so a rise waits until the giver has reported that it gave
 * up. A grant counts only as the answer to the latest report and lapses with it; the home
 * keeps it reserved for longer. A new home only renews for as long as grants of the old
 * one may be in force.
 */
#include "controller.h"
#include "error.h"
#include "hash.h"
#include "limit-share.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define TICK_US (100 * US_PER_MS)
#define REPORT_US (1500 * US_PER_MS)

/* Spacing of reports while the share does not cover the demand. An answer is waited for
 * longer, as a new report makes it void. */
#define REPORT_URGENT_US (200 * US_PER_MS)
#define ANSWER_US (1000 * US_PER_MS)

/* Above the time after which a failed home is suspected (3 s), so that shares stay until
 * the next home answers. */
#define GRANT_US (5000 * US_PER_MS)

/* Traffic may start work by the old share until its next snapshot and usage record. */
#define GIVE_UP_US (1000 * US_PER_MS)

/* A silent entry loses its grant after GRANT_US, but its running work goes on. */
#define RESERVE_US (12000 * US_PER_MS)

/* Lifetime of the grants of an earlier home, and the time for news of it to spread. */
#define NEW_HOME_US (GRANT_US + 3000 * US_PER_MS)

/* Entries that started together have no earlier home; only news of them has to spread. */
#define FRESH_FLEET_S 10
#define FRESH_HOME_US (1500 * US_PER_MS)
#define INCARNATION_SECONDS_SHIFT 32

typedef struct {
  uint64_t workspace_id;
  uint32_t running_limit;
} LimitOf;

/* A workspace with demand at this entry. */
typedef struct {
  uint64_t id;
  char name[BURDOCK_NAME_BYTES];
  uint32_t limit;
  uint32_t demand;
  uint32_t running;
  uint32_t share;
  uint32_t old_share; /* still in use until @old_until_us */
  uint64_t old_until_us;
  uint64_t granted_until_us;
  uint64_t sequence;
  uint64_t reported_us;
  uint32_t reported_held; /* reserved at the home by the last report */
  bool answered;
  bool due;                       /* to be reported in this tick */
  const BurdockMemberEntry *home; /* valid during the tick */
} OwnShare;

/* What another entry may be using of a workspace whose home is here. */
typedef struct {
  uint64_t workspace_id;
  uint64_t entry_id;
  uint64_t entry_incarnation;
  uint64_t sequence;
  uint32_t demand;
  uint32_t reserved;
  uint64_t first_us;
  uint64_t until_us;
} Reservation;

typedef struct {
  BurdockCore *core;
  uint64_t next_us;
  uint64_t next_sequence;
  const BurdockConfig *config;
  uint64_t generation;
  uint32_t limit_count;
  LimitOf *limits;
  uint32_t own_count;
  uint32_t own_allocated;
  OwnShare *own;
  uint32_t reservation_count;
  uint32_t reservation_allocated;
  Reservation *reservations;
  uint64_t view; /* hash of the live entries, by which homes are found */
  uint64_t view_changed_us;
  bool view_moved;
  bool fresh_fleet;
  bool majority; /* more than half of the entries can be heard */
} Limits;

static int
compare_limits (const void *a, const void *b)
{
  uint64_t x = ((const LimitOf *)a)->workspace_id;
  uint64_t y = ((const LimitOf *)b)->workspace_id;

  return x < y ? -1 : x > y;
}

static void
read_config (Limits *limits)
{
  const BurdockConfigState *state = &limits->core->board.config;
  const BurdockEffectiveSettings *workspaces;
  uint32_t count = 0;

  if (state->config == NULL ||
      (limits->config == state->config && limits->generation == state->generation))
    return;
  workspaces = burdock_config_workspaces (state->config, &count);
  limits->limits = realloc (limits->limits, (count + 1) * sizeof *limits->limits);
  for (uint32_t i = 0; i < count; i++)
    limits->limits[i] =
        (LimitOf){ .workspace_id = burdock_member_id (workspaces[i].workspace),
                   .running_limit = workspaces[i].running_limit };
  qsort (limits->limits, count, sizeof *limits->limits, compare_limits);
  limits->limit_count = count;
  limits->config = state->config;
  limits->generation = state->generation;
}

static uint32_t
limit_of (const Limits *limits, uint64_t workspace_id)
{
  LimitOf key = { .workspace_id = workspace_id };
  const LimitOf *found = limits->limit_count > 0
                             ? bsearch (&key, limits->limits, limits->limit_count,
                                        sizeof *limits->limits, compare_limits)
                             : NULL;

  return found != NULL ? found->running_limit : 0;
}

static bool
is_entry (const BurdockMemberEntry *member)
{
  return member->record.role == BURDOCK_ROLE_ENTRY &&
         member->record.state != BURDOCK_MEMBER_REMOVED;
}

/* Entries that the platform lists; a process that has just started and is cut off knows
 * of the others by this list only. */
static uint32_t
listed_entries (const Limits *limits)
{
  const BurdockInstances *instances = &limits->core->board.instances;
  uint32_t count = 0;

  for (uint32_t i = 0; i < instances->count; i++)
    count += instances->items[i].role == BURDOCK_ROLE_ENTRY &&
             instances->items[i].state == BURDOCK_INSTANCE_LIVE;
  return count;
}

static uint32_t
entry_count (const Limits *limits)
{
  const BurdockMembers *members = &limits->core->board.members;
  uint32_t count = 1;

  for (uint32_t i = 0; i < members->count; i++)
    count += is_entry (&members->items[i]);
  return count > listed_entries (limits) ? count : listed_entries (limits);
}

/* Returns the home of a workspace; NULL for this process. */
static const BurdockMemberEntry *
home_of (const Limits *limits, uint64_t workspace_id)
{
  const BurdockMembers *members = &limits->core->board.members;
  const BurdockMemberEntry *home = NULL;
  uint64_t best = burdock_hash_pair (workspace_id, limits->core->board.self.member_id);

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberEntry *member = &members->items[i];
    uint64_t score = burdock_hash_pair (workspace_id, member->record.id);

    if (!is_entry (member) || member->record.state != BURDOCK_MEMBER_ALIVE ||
        score <= best)
      continue;
    home = member;
    best = score;
  }
  return home;
}

/* Notes when the set of live entries last changed, as homes may have moved then. */
static void
watch_view (Limits *limits, uint64_t now_us)
{
  const BurdockMembers *members = &limits->core->board.members;
  uint64_t own_s =
      limits->core->board.self.settings.incarnation >> INCARNATION_SECONDS_SHIFT;
  uint64_t view = 1;
  uint32_t alive = 1;
  bool fresh = true;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;
    uint64_t started_s = record->incarnation >> INCARNATION_SECONDS_SHIFT;

    if (!is_entry (&members->items[i]))
      continue;
    alive += record->state == BURDOCK_MEMBER_ALIVE;
    fresh = fresh && started_s + FRESH_FLEET_S > own_s &&
            own_s + FRESH_FLEET_S > started_s && record->state == BURDOCK_MEMBER_ALIVE;
    if (record->state == BURDOCK_MEMBER_ALIVE)
      view ^= burdock_hash_pair (record->id, record->incarnation);
  }
  limits->fresh_fleet = fresh;
  limits->majority = 2 * alive > entry_count (limits);
  if (!limits->majority)
    limits->reservation_count = 0; /* others may get their shares elsewhere by now */
  if (view == limits->view)
    return;
  limits->view_moved = true;
  limits->view = view;
  limits->view_changed_us = now_us;
}

/* The role of home */

static Reservation *
reservation_get (Limits *limits, uint64_t workspace_id, uint64_t entry_id)
{
  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    if (limits->reservations[i].workspace_id == workspace_id &&
        limits->reservations[i].entry_id == entry_id)
      return &limits->reservations[i];
  }
  if (limits->reservation_count == limits->reservation_allocated) {
    limits->reservation_allocated = limits->reservation_allocated * 2 + 32;
    limits->reservations =
        realloc (limits->reservations,
                 limits->reservation_allocated * sizeof *limits->reservations);
  }
  limits->reservations[limits->reservation_count] =
      (Reservation){ .workspace_id = workspace_id,
                     .entry_id = entry_id,
                     .first_us = burdock_core_now (limits->core) };
  return &limits->reservations[limits->reservation_count++];
}

/* Above the floor, shares are in proportion to the demand above the floor. What demand
 * does not use up is divided equally, so that a surge finds some room at once. */
static uint32_t
wanted_share (uint32_t limit, uint32_t floor, uint32_t entries, uint32_t own_demand,
              uint64_t total_demand)
{
  uint64_t divided = limit - (uint64_t)floor * entries;
  uint64_t own = own_demand > floor ? own_demand - floor : 0;

  if (total_demand <= divided)
    return floor + (uint32_t)(own + (divided - total_demand) / entries);
  return floor + (uint32_t)(divided * own / total_demand);
}

/* Whether grants of an earlier home may still be in force. */
static bool
is_new_home (const Limits *limits, uint64_t home_since_us, uint64_t now_us)
{
  uint64_t wait_us = limits->fresh_fleet ? FRESH_HOME_US : NEW_HOME_US;

  return now_us < limits->view_changed_us + wait_us && now_us < home_since_us + wait_us;
}

static uint32_t
grant (Limits *limits, const Reservation *asking, uint32_t held, uint64_t now_us)
{
  uint32_t limit = limit_of (limits, asking->workspace_id);
  uint32_t entries = entry_count (limits);
  uint32_t floor = burdock_limit_floor (limit, entries);
  uint64_t others = 0;
  uint64_t demand = 0;
  uint32_t reporting = 0;
  uint64_t home_since_us = now_us;
  uint64_t room;
  uint32_t wanted;

  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    const Reservation *other = &limits->reservations[i];

    if (other->workspace_id != asking->workspace_id || other->until_us <= now_us)
      continue;
    if (other->first_us < home_since_us)
      home_since_us = other->first_us;
    demand += other->demand > floor ? other->demand - floor : 0;
    if (other == asking)
      continue;
    others += other->reserved > floor ? other->reserved : floor;
    reporting++;
  }
  if (reporting + 1 < entries)
    others += (uint64_t)floor * (entries - reporting - 1);
  /* The other side of a cut may have a home of its own. */
  if (!limits->majority)
    return floor;
  wanted = wanted_share (limit, floor, entries, asking->demand, demand);
  room = limit > others ? limit - others : 0;
  if (is_new_home (limits, home_since_us, now_us) && wanted > held)
    wanted = held > floor ? held : floor;
  return wanted < room ? wanted : (uint32_t)room;
}

static uint32_t
take_report (Limits *limits, const BurdockMessageHeader *from,
             const BurdockLimitItem *item, uint64_t now_us)
{
  Reservation *asking = reservation_get (limits, item->workspace_id, from->sender_id);
  uint32_t share;

  if (asking->entry_incarnation == from->sender_incarnation &&
      item->sequence < asking->sequence)
    return UINT32_MAX;
  asking->entry_incarnation = from->sender_incarnation;
  asking->sequence = item->sequence;
  asking->demand = item->demand;
  asking->until_us = now_us + RESERVE_US;
  share = grant (limits, asking, item->share, now_us);
  asking->reserved = share > item->share ? share : item->share;
  return share;
}

static bool
receive_report (Limits *limits, const BurdockMessage *message)
{
  BurdockCore *core = limits->core;
  uint64_t now_us = burdock_core_now (core);
  const BurdockMemberEntry *member =
      burdock_members_find (&core->board.members, message->header.sender_id);
  BurdockMessage answer = { .header.type = BURDOCK_MSG_LIMIT_GRANT };

  if (member == NULL)
    return true;
  watch_view (limits, now_us);
  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    const BurdockLimitItem *item = &message->limit.items[i];
    uint32_t share = UINT32_MAX;

    /* The sender may know of a failed home before this process does; it asks again. */
    if (home_of (limits, item->workspace_id) == NULL)
      share = take_report (limits, &message->header, item, now_us);
    if (share == UINT32_MAX)
      continue;
    answer.limit.items[answer.limit.item_count] = *item;
    answer.limit.items[answer.limit.item_count++].share = share;
  }
  answer.header.target_incarnation = message->header.sender_incarnation;
  if (answer.limit.item_count > 0)
    burdock_core_send (core, member->record.control_address, &answer);
  return true;
}

static void
drop_reservations (Limits *limits, uint64_t now_us)
{
  const BurdockMembers *members = &limits->core->board.members;
  uint64_t self_id = limits->core->board.self.member_id;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    const Reservation *held = &limits->reservations[i];
    const BurdockMemberEntry *member = burdock_members_find (members, held->entry_id);
    bool gone = held->entry_id != self_id && (member == NULL || !is_entry (member));

    /* A home that comes back must not know more than a new one: others granted since. */
    bool moved = limits->view_moved && home_of (limits, held->workspace_id) != NULL;

    if (held->until_us > now_us && !gone && !moved)
      limits->reservations[kept++] = *held;
  }
  limits->reservation_count = kept;
  limits->view_moved = false;
}

/* The role of a user of shares */

static void
set_share (Limits *limits, OwnShare *own, uint32_t share, uint64_t now_us)
{
  if (share == own->share)
    return;
  if (share < own->share) {
    bool still_old = own->old_until_us > now_us && own->old_share > own->share;

    own->old_share = still_old ? own->old_share : own->share;
    own->old_until_us = now_us + GIVE_UP_US;
  }
  own->share = share;
  burdock_blackboard_touch (&limits->core->board);
}

static uint32_t
held_by (const OwnShare *own, uint64_t now_us)
{
  uint32_t held = own->share > own->running ? own->share : own->running;

  return own->old_until_us > now_us && own->old_share > held ? own->old_share : held;
}

static bool
receive_grant (Limits *limits, const BurdockMessage *message)
{
  uint64_t now_us = burdock_core_now (limits->core);

  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    const BurdockLimitItem *item = &message->limit.items[i];

    for (uint32_t j = 0; j < limits->own_count; j++) {
      OwnShare *own = &limits->own[j];

      if (own->id != item->workspace_id || own->sequence != item->sequence)
        continue;
      own->answered = true;
      own->granted_until_us = own->reported_us + GRANT_US;
      if (own->granted_until_us > now_us)
        set_share (limits, own, item->share, now_us);
    }
  }
  return true;
}

static bool
limit_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  Limits *limits = ctx;

  (void)from;
  if (message->header.type == BURDOCK_MSG_LIMIT_REPORT)
    return receive_report (limits, message);
  if (message->header.type == BURDOCK_MSG_LIMIT_GRANT)
    return receive_grant (limits, message);
  return false;
}

static OwnShare *
own_get (Limits *limits, const char *name)
{
  OwnShare *own;

  for (uint32_t i = 0; i < limits->own_count; i++) {
    if (strcmp (limits->own[i].name, name) == 0)
      return &limits->own[i];
  }
  if (limits->own_count == limits->own_allocated) {
    limits->own_allocated = limits->own_allocated * 2 + 16;
    limits->own = realloc (limits->own, limits->own_allocated * sizeof *limits->own);
  }
  own = &limits->own[limits->own_count++];
  *own = (OwnShare){ .id = burdock_member_id (name) };
  burdock_copy_name (own->name, sizeof own->name, name);
  own->limit = limit_of (limits, own->id);
  own->share = burdock_limit_floor (own->limit, entry_count (limits));
  return own;
}

static void
read_usage (Limits *limits)
{
  const BurdockUsage *usage = &limits->core->board.usage;

  for (uint32_t i = 0; i < limits->own_count; i++) {
    limits->own[i].demand = 0;
    limits->own[i].running = 0;
  }
  for (uint32_t i = 0; i < usage->workspace_count; i++) {
    OwnShare *own = own_get (limits, usage->workspaces[i].workspace);

    own->demand = usage->workspaces[i].demand;
    own->running = usage->workspaces[i].running;
  }
}

static bool
due (const OwnShare *own, uint32_t floor, uint64_t now_us)
{
  bool urgent = own->demand > own->share;
  uint64_t spacing_us = !urgent         ? REPORT_US
                        : own->answered ? REPORT_URGENT_US
                                        : ANSWER_US;

  /* What was given up is free for others only when the home has been told. */
  if (own->demand <= floor && held_by (own, now_us) <= floor &&
      own->reported_held <= floor)
    return false;
  return own->sequence == 0 || own->reported_us + spacing_us <= now_us;
}

static void
send_reports (Limits *limits, const BurdockMemberEntry *home, BurdockMessage *message)
{
  BurdockCore *core = limits->core;

  message->header.type = BURDOCK_MSG_LIMIT_REPORT;
  if (home != NULL) {
    message->header.target_incarnation = home->record.incarnation;
    burdock_core_send (core, home->record.control_address, message);
    return;
  }
  message->header.sender_id = core->board.self.member_id;
  message->header.sender_incarnation = core->board.self.settings.incarnation;
  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    BurdockLimitItem *item = &message->limit.items[i];

    item->share = take_report (limits, &message->header, item, burdock_core_now (core));
  }
  receive_grant (limits, message);
}

static void
add_item (Limits *limits, OwnShare *own, BurdockMessage *message, uint64_t now_us)
{
  own->due = false;
  own->answered = false;
  own->sequence = ++limits->next_sequence;
  own->reported_us = now_us;
  own->reported_held = held_by (own, now_us);
  message->limit.items[message->limit.item_count++] =
      (BurdockLimitItem){ .workspace_id = own->id,
                          .sequence = own->sequence,
                          .demand = own->demand,
                          .share = held_by (own, now_us) };
}

/* Workspaces with the same home share a message. */
static void
report (Limits *limits, uint64_t now_us)
{
  uint32_t entries = entry_count (limits);

  for (uint32_t i = 0; i < limits->own_count; i++) {
    OwnShare *own = &limits->own[i];

    own->due = due (own, burdock_limit_floor (own->limit, entries), now_us);
    own->home = own->due ? home_of (limits, own->id) : NULL;
  }
  for (uint32_t i = 0; i < limits->own_count; i++) {
    const BurdockMemberEntry *home = limits->own[i].home;
    BurdockMessage message = { 0 };

    if (!limits->own[i].due)
      continue;
    for (uint32_t j = i; j < limits->own_count; j++) {
      OwnShare *own = &limits->own[j];

      if (own->due && own->home == home &&
          message.limit.item_count < BURDOCK_LIMIT_ITEMS_MAX)
        add_item (limits, own, &message, now_us);
    }
    send_reports (limits, home, &message);
  }
}

static void
lapse (Limits *limits, uint64_t now_us)
{
  uint32_t entries = entry_count (limits);
  uint32_t kept = 0;

  for (uint32_t i = 0; i < limits->own_count; i++) {
    OwnShare *own = &limits->own[i];
    uint32_t floor;

    own->limit = limit_of (limits, own->id);
    floor = burdock_limit_floor (own->limit, entries);
    if (own->granted_until_us <= now_us)
      set_share (limits, own, floor, now_us);
    if (own->demand > 0 || held_by (own, now_us) > floor || own->reported_held > floor)
      limits->own[kept++] = *own;
  }
  limits->own_count = kept;
}

static void
write_shares (Limits *limits)
{
  BurdockShares *shares = &limits->core->board.shares;

  if (shares->allocated < limits->own_count) {
    shares->allocated = limits->own_count * 2;
    shares->items = realloc (shares->items, shares->allocated * sizeof *shares->items);
  }
  shares->count = limits->own_count;
  for (uint32_t i = 0; i < limits->own_count; i++) {
    const OwnShare *own = &limits->own[i];
    BurdockShareState *out = &shares->items[i];

    *out = (BurdockShareState){ .workspace_id = own->id,
                                .demand = own->demand,
                                .share = own->share };
    memcpy (out->workspace, own->name, sizeof out->workspace);
  }
}

static uint64_t
limit_tick (void *ctx, uint64_t now_us)
{
  Limits *limits = ctx;

  if (now_us < limits->next_us)
    return limits->next_us;
  limits->next_us = now_us + TICK_US;
  read_config (limits);
  watch_view (limits, now_us);
  drop_reservations (limits, now_us);
  read_usage (limits);
  lapse (limits, now_us);
  report (limits, now_us);
  write_shares (limits);
  return limits->next_us;
}

static void
limit_free (void *ctx)
{
  Limits *limits = ctx;

  free (limits->limits);
  free (limits->own);
  free (limits->reservations);
  free (limits);
}

BurdockController
burdock_limit_controller (BurdockCore *core, uint32_t index)
{
  Limits *limits = calloc (1, sizeof *limits);

  (void)index;
  limits->core = core;
  return (BurdockController){ .name = "limit",
                              .ctx = limits,
                              .tick = limit_tick,
                              .message = limit_message,
                              .free = limit_free };
}
