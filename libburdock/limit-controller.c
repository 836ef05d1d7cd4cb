/**
 * DOC: limit-controller.c - distributes the limits of the workspaces over the entries
 *
 * Each workspace has an owner, an entry that is found by rendezvous hashing over the live
 * entries. An entry reports to the owner its demand and the share that it may still be
 * using, and the owner answers with a grant. The owner grants at most the limit minus
 * everything that other entries may still be using, so the share of one entry rises only
 * after another one has reported that it has released a part of its own. A grant is valid
 * only as the answer to the latest report, and it expires; the owner keeps it reserved
 * for longer. While grants of the previous owner may still be valid, a new owner renews
 * shares but does not raise them.
 */
#include "controller.h"
#include "error.h"
#include "hash.h"
#include "limit-share.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define TICK_US (100 * US_PER_MS)
#define REPORT_INTERVAL_US (1500 * US_PER_MS)

/* Interval of reports while the share does not cover the demand. Until the grant arrives
 * the interval is longer, as a new report invalidates a grant for the previous one. */
#define URGENT_REPORT_INTERVAL_US (200 * US_PER_MS)
#define GRANT_TIMEOUT_US (1000 * US_PER_MS)

/* Longer than the time after which a failed owner is suspected (3 s), so that shares stay
 * valid until the next owner answers. */
#define GRANT_LIFETIME_US (5000 * US_PER_MS)

/* The traffic thread may start requests under the old share until its next snapshot and
 * usage record. */
#define SHARE_RELEASE_DELAY_US (1000 * US_PER_MS)

/* The grant of an entry that sends no reports expires after GRANT_LIFETIME_US, but its
 * running requests continue. */
#define RESERVATION_LIFETIME_US (12000 * US_PER_MS)

/* Lifetime of the grants of a previous owner, plus the time until all entries know of the
 * change. */
#define TAKEOVER_GRACE_US (GRANT_LIFETIME_US + 3000 * US_PER_MS)

/* Entries that started within COLD_START_WINDOW_S of each other have no previous owner;
 * they only have to learn of each other. */
#define COLD_START_WINDOW_S 10
#define COLD_START_GRACE_US (1500 * US_PER_MS)
#define INCARNATION_SECONDS_SHIFT 32

typedef struct {
  uint64_t workspace_id;
  uint32_t running_limit;
} WorkspaceLimit;

/* A workspace with demand at this entry. */
typedef struct {
  uint64_t id;
  char name[BURDOCK_NAME_BYTES];
  uint32_t limit;
  uint32_t demand;
  uint32_t running;
  uint32_t share;
  uint32_t old_share; /* may be in use until @old_share_until_us */
  uint64_t old_share_until_us;
  uint64_t grant_expires_us;
  uint64_t sequence;
  uint64_t reported_us;
  uint32_t reported_held; /* reserved at the owner by the last report */
  bool grant_received;
  bool report_due;                 /* in this tick */
  const BurdockMemberEntry *owner; /* valid during the tick */
} OwnShare;

/* Part of the limit of a workspace owned by this entry that @entry_id may be using. */
typedef struct {
  uint64_t workspace_id;
  uint64_t entry_id;
  uint64_t entry_incarnation;
  uint64_t sequence;
  uint32_t demand;
  uint32_t reserved;
  uint64_t created_us;
  uint64_t expires_us;
} Reservation;

typedef struct {
  BurdockCore *core;
  uint64_t next_tick_us;
  uint64_t next_sequence;
  const BurdockConfig *config;
  uint64_t generation;
  uint32_t limit_count;
  WorkspaceLimit *workspace_limits;
  uint32_t own_share_count;
  uint32_t own_share_capacity;
  OwnShare *own_shares;
  uint32_t reservation_count;
  uint32_t reservation_capacity;
  Reservation *reservations;
  uint64_t view_hash; /* hash of the live entries, which determine the owners */
  uint64_t view_changed_us;
  bool view_changed;
  bool is_cold_start;
  bool has_majority; /* more than half of the entries are seen alive */
} Limits;

static int
compare_limits (const void *a, const void *b)
{
  uint64_t x = ((const WorkspaceLimit *)a)->workspace_id;
  uint64_t y = ((const WorkspaceLimit *)b)->workspace_id;

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
  limits->workspace_limits =
      realloc (limits->workspace_limits, (count + 1) * sizeof *limits->workspace_limits);
  for (uint32_t i = 0; i < count; i++)
    limits->workspace_limits[i] =
        (WorkspaceLimit){ .workspace_id = burdock_member_id (workspaces[i].workspace),
                          .running_limit = workspaces[i].running_limit };
  qsort (limits->workspace_limits, count, sizeof *limits->workspace_limits,
         compare_limits);
  limits->limit_count = count;
  limits->config = state->config;
  limits->generation = state->generation;
}

static uint32_t
limit_of (const Limits *limits, uint64_t workspace_id)
{
  WorkspaceLimit key = { .workspace_id = workspace_id };
  const WorkspaceLimit *found =
      limits->limit_count > 0
          ? bsearch (&key, limits->workspace_limits, limits->limit_count,
                     sizeof *limits->workspace_limits, compare_limits)
          : NULL;

  return found != NULL ? found->running_limit : 0;
}

static bool
is_entry (const BurdockMemberEntry *member)
{
  return member->record.role == BURDOCK_ROLE_ENTRY &&
         member->record.state != BURDOCK_MEMBER_REMOVED;
}

/* Number of live entries in the instance list of the platform. A process that was
 * partitioned when it started knows the other entries only from this list. */
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

/* Returns the owner of a workspace; NULL if it is this process. */
static const BurdockMemberEntry *
find_owner (const Limits *limits, uint64_t workspace_id)
{
  const BurdockMembers *members = &limits->core->board.members;
  const BurdockMemberEntry *owner = NULL;
  uint64_t best = burdock_hash_pair (workspace_id, limits->core->board.self.member_id);

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberEntry *member = &members->items[i];
    uint64_t score = burdock_hash_pair (workspace_id, member->record.id);

    if (!is_entry (member) || member->record.state != BURDOCK_MEMBER_ALIVE ||
        score <= best)
      continue;
    owner = member;
    best = score;
  }
  return owner;
}

/* Updates what is derived from the membership view. Records when the set of live entries
 * last changed, as owners may have changed at that time. */
static void
update_view (Limits *limits, uint64_t now_us)
{
  const BurdockMembers *members = &limits->core->board.members;
  uint64_t own_s =
      limits->core->board.self.settings.incarnation >> INCARNATION_SECONDS_SHIFT;
  uint64_t view_hash = 1;
  uint32_t alive = 1;
  bool is_cold_start = true;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;
    uint64_t started_s = record->incarnation >> INCARNATION_SECONDS_SHIFT;

    if (!is_entry (&members->items[i]))
      continue;
    alive += record->state == BURDOCK_MEMBER_ALIVE;
    is_cold_start = is_cold_start && started_s + COLD_START_WINDOW_S > own_s &&
                    own_s + COLD_START_WINDOW_S > started_s &&
                    record->state == BURDOCK_MEMBER_ALIVE;
    if (record->state == BURDOCK_MEMBER_ALIVE)
      view_hash ^= burdock_hash_pair (record->id, record->incarnation);
  }
  limits->is_cold_start = is_cold_start;
  limits->has_majority = 2 * alive > entry_count (limits);
  if (!limits->has_majority)
    limits->reservation_count = 0; /* other entries may have a new owner by now */
  if (view_hash == limits->view_hash)
    return;
  limits->view_changed = true;
  limits->view_hash = view_hash;
  limits->view_changed_us = now_us;
}

/* Owner of a workspace */

static Reservation *
find_or_add_reservation (Limits *limits, uint64_t workspace_id, uint64_t entry_id)
{
  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    if (limits->reservations[i].workspace_id == workspace_id &&
        limits->reservations[i].entry_id == entry_id)
      return &limits->reservations[i];
  }
  if (limits->reservation_count == limits->reservation_capacity) {
    limits->reservation_capacity = limits->reservation_capacity * 2 + 32;
    limits->reservations =
        realloc (limits->reservations,
                 limits->reservation_capacity * sizeof *limits->reservations);
  }
  limits->reservations[limits->reservation_count] =
      (Reservation){ .workspace_id = workspace_id,
                     .entry_id = entry_id,
                     .created_us = burdock_core_now (limits->core) };
  return &limits->reservations[limits->reservation_count++];
}

/* Share of an entry without regard to what others still use. The part above the floor is
 * proportional to the demand above the floor. What the total demand leaves is divided
 * equally, so that a surge can start some requests immediately. */
static uint32_t
fair_share (uint32_t limit, uint32_t floor, uint32_t entries, uint32_t own_demand,
            uint64_t total_demand)
{
  uint64_t distributable = limit - (uint64_t)floor * entries;
  uint64_t own = own_demand > floor ? own_demand - floor : 0;

  if (total_demand <= distributable)
    return floor + (uint32_t)(own + (distributable - total_demand) / entries);
  return floor + (uint32_t)(distributable * own / total_demand);
}

/* Whether grants of a previous owner may still be valid. */
static bool
is_taking_over (const Limits *limits, uint64_t owner_since_us, uint64_t now_us)
{
  uint64_t wait_us = limits->is_cold_start ? COLD_START_GRACE_US : TAKEOVER_GRACE_US;

  return now_us < limits->view_changed_us + wait_us && now_us < owner_since_us + wait_us;
}

static uint32_t
compute_grant (Limits *limits, const Reservation *requester, uint32_t held,
               uint64_t now_us)
{
  uint32_t limit = limit_of (limits, requester->workspace_id);
  uint32_t entries = entry_count (limits);
  uint32_t floor = burdock_limit_floor (limit, entries);
  uint64_t reserved_by_others = 0;
  uint64_t demand = 0;
  uint32_t reporting_entries = 0;
  uint64_t owner_since_us = now_us;
  uint64_t available;
  uint32_t target;

  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    const Reservation *other = &limits->reservations[i];

    if (other->workspace_id != requester->workspace_id || other->expires_us <= now_us)
      continue;
    if (other->created_us < owner_since_us)
      owner_since_us = other->created_us;
    demand += other->demand > floor ? other->demand - floor : 0;
    if (other == requester)
      continue;
    reserved_by_others += other->reserved > floor ? other->reserved : floor;
    reporting_entries++;
  }
  if (reporting_entries + 1 < entries)
    reserved_by_others += (uint64_t)floor * (entries - reporting_entries - 1);
  /* The other side of a partition may have an owner of its own. */
  if (!limits->has_majority)
    return floor;
  target = fair_share (limit, floor, entries, requester->demand, demand);
  available = limit > reserved_by_others ? limit - reserved_by_others : 0;
  if (is_taking_over (limits, owner_since_us, now_us) && target > held)
    target = held > floor ? held : floor;
  return target < available ? target : (uint32_t)available;
}

static uint32_t
process_report (Limits *limits, const BurdockMessageHeader *from,
                const BurdockLimitItem *item, uint64_t now_us)
{
  Reservation *requester =
      find_or_add_reservation (limits, item->workspace_id, from->sender_id);
  uint32_t share;

  if (requester->entry_incarnation == from->sender_incarnation &&
      item->sequence < requester->sequence)
    return UINT32_MAX;
  requester->entry_incarnation = from->sender_incarnation;
  requester->sequence = item->sequence;
  requester->demand = item->demand;
  requester->expires_us = now_us + RESERVATION_LIFETIME_US;
  share = compute_grant (limits, requester, item->share, now_us);
  requester->reserved = share > item->share ? share : item->share;
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
  update_view (limits, now_us);
  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    const BurdockLimitItem *item = &message->limit.items[i];
    uint32_t share = UINT32_MAX;

    /* The sender may learn of a failed owner before this process does; it reports again.
     */
    if (find_owner (limits, item->workspace_id) == NULL)
      share = process_report (limits, &message->header, item, now_us);
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
expire_reservations (Limits *limits, uint64_t now_us)
{
  const BurdockMembers *members = &limits->core->board.members;
  uint64_t self_id = limits->core->board.self.member_id;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < limits->reservation_count; i++) {
    const Reservation *held = &limits->reservations[i];
    const BurdockMemberEntry *member = burdock_members_find (members, held->entry_id);
    bool removed = held->entry_id != self_id && (member == NULL || !is_entry (member));

    /* An owner that lost the workspace must not reuse old reservations when it becomes
     * the owner again, as others have granted shares in the meantime. */
    bool lost = limits->view_changed && find_owner (limits, held->workspace_id) != NULL;

    if (held->expires_us > now_us && !removed && !lost)
      limits->reservations[kept++] = *held;
  }
  limits->reservation_count = kept;
  limits->view_changed = false;
}

/* User of shares */

static void
set_share (Limits *limits, OwnShare *own, uint32_t share, uint64_t now_us)
{
  if (share == own->share)
    return;
  if (share < own->share) {
    bool still_old = own->old_share_until_us > now_us && own->old_share > own->share;

    own->old_share = still_old ? own->old_share : own->share;
    own->old_share_until_us = now_us + SHARE_RELEASE_DELAY_US;
  }
  own->share = share;
  burdock_blackboard_touch (&limits->core->board);
}

static uint32_t
held_share (const OwnShare *own, uint64_t now_us)
{
  uint32_t held = own->share > own->running ? own->share : own->running;

  return own->old_share_until_us > now_us && own->old_share > held ? own->old_share
                                                                   : held;
}

static bool
receive_grant (Limits *limits, const BurdockMessage *message)
{
  uint64_t now_us = burdock_core_now (limits->core);

  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    const BurdockLimitItem *item = &message->limit.items[i];

    for (uint32_t j = 0; j < limits->own_share_count; j++) {
      OwnShare *own = &limits->own_shares[j];

      if (own->id != item->workspace_id || own->sequence != item->sequence)
        continue;
      own->grant_received = true;
      own->grant_expires_us = own->reported_us + GRANT_LIFETIME_US;
      if (own->grant_expires_us > now_us)
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
find_or_add_own_share (Limits *limits, const char *name)
{
  OwnShare *own;

  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    if (strcmp (limits->own_shares[i].name, name) == 0)
      return &limits->own_shares[i];
  }
  if (limits->own_share_count == limits->own_share_capacity) {
    limits->own_share_capacity = limits->own_share_capacity * 2 + 16;
    limits->own_shares = realloc (limits->own_shares, limits->own_share_capacity *
                                                          sizeof *limits->own_shares);
  }
  own = &limits->own_shares[limits->own_share_count++];
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

  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    limits->own_shares[i].demand = 0;
    limits->own_shares[i].running = 0;
  }
  for (uint32_t i = 0; i < usage->workspace_count; i++) {
    OwnShare *own = find_or_add_own_share (limits, usage->workspaces[i].workspace);

    own->demand = usage->workspaces[i].demand;
    own->running = usage->workspaces[i].running;
  }
}

static bool
is_report_due (const OwnShare *own, uint32_t floor, uint64_t now_us)
{
  bool urgent = own->demand > own->share;
  uint64_t spacing_us = !urgent               ? REPORT_INTERVAL_US
                        : own->grant_received ? URGENT_REPORT_INTERVAL_US
                                              : GRANT_TIMEOUT_US;

  /* A released share is available to others only after it was reported to the owner. */
  if (own->demand <= floor && held_share (own, now_us) <= floor &&
      own->reported_held <= floor)
    return false;
  return own->sequence == 0 || own->reported_us + spacing_us <= now_us;
}

static void
send_report (Limits *limits, const BurdockMemberEntry *owner, BurdockMessage *message)
{
  BurdockCore *core = limits->core;

  message->header.type = BURDOCK_MSG_LIMIT_REPORT;
  if (owner != NULL) {
    message->header.target_incarnation = owner->record.incarnation;
    burdock_core_send (core, owner->record.control_address, message);
    return;
  }
  message->header.sender_id = core->board.self.member_id;
  message->header.sender_incarnation = core->board.self.settings.incarnation;
  for (uint32_t i = 0; i < message->limit.item_count; i++) {
    BurdockLimitItem *item = &message->limit.items[i];

    item->share =
        process_report (limits, &message->header, item, burdock_core_now (core));
  }
  receive_grant (limits, message);
}

static void
add_report_item (Limits *limits, OwnShare *own, BurdockMessage *message, uint64_t now_us)
{
  own->report_due = false;
  own->grant_received = false;
  own->sequence = ++limits->next_sequence;
  own->reported_us = now_us;
  own->reported_held = held_share (own, now_us);
  message->limit.items[message->limit.item_count++] =
      (BurdockLimitItem){ .workspace_id = own->id,
                          .sequence = own->sequence,
                          .demand = own->demand,
                          .share = held_share (own, now_us) };
}

/* Sends the reports that are due; workspaces with the same owner share a message. */
static void
send_due_reports (Limits *limits, uint64_t now_us)
{
  uint32_t entries = entry_count (limits);

  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    OwnShare *own = &limits->own_shares[i];

    own->report_due =
        is_report_due (own, burdock_limit_floor (own->limit, entries), now_us);
    own->owner = own->report_due ? find_owner (limits, own->id) : NULL;
  }
  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    const BurdockMemberEntry *owner = limits->own_shares[i].owner;
    BurdockMessage message = { 0 };

    if (!limits->own_shares[i].report_due)
      continue;
    for (uint32_t j = i; j < limits->own_share_count; j++) {
      OwnShare *own = &limits->own_shares[j];

      if (own->report_due && own->owner == owner &&
          message.limit.item_count < BURDOCK_LIMIT_ITEMS_MAX)
        add_report_item (limits, own, &message, now_us);
    }
    send_report (limits, owner, &message);
  }
}

static void
expire_grants (Limits *limits, uint64_t now_us)
{
  uint32_t entries = entry_count (limits);
  uint32_t kept = 0;

  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    OwnShare *own = &limits->own_shares[i];
    uint32_t floor;

    own->limit = limit_of (limits, own->id);
    floor = burdock_limit_floor (own->limit, entries);
    if (own->grant_expires_us <= now_us)
      set_share (limits, own, floor, now_us);
    if (own->demand > 0 || held_share (own, now_us) > floor || own->reported_held > floor)
      limits->own_shares[kept++] = *own;
  }
  limits->own_share_count = kept;
}

static void
publish_shares (Limits *limits)
{
  BurdockShares *shares = &limits->core->board.shares;

  if (shares->allocated < limits->own_share_count) {
    shares->allocated = limits->own_share_count * 2;
    shares->items = realloc (shares->items, shares->allocated * sizeof *shares->items);
  }
  shares->count = limits->own_share_count;
  for (uint32_t i = 0; i < limits->own_share_count; i++) {
    const OwnShare *own = &limits->own_shares[i];
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

  if (now_us < limits->next_tick_us)
    return limits->next_tick_us;
  limits->next_tick_us = now_us + TICK_US;
  read_config (limits);
  update_view (limits, now_us);
  expire_reservations (limits, now_us);
  read_usage (limits);
  expire_grants (limits, now_us);
  send_due_reports (limits, now_us);
  publish_shares (limits);
  return limits->next_tick_us;
}

static void
limit_free (void *ctx)
{
  Limits *limits = ctx;

  free (limits->workspace_limits);
  free (limits->own_shares);
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
