/**
 * DOC: lease-controller.c - one lease for each rank group of the configuration
 *
 * The row lease/group/NAME names the holder. A holder renews it with a conditional write
 * and acts only until the time of the request plus LEASE_DURATION_US minus
 * LEASE_MARGIN_US. Another candidate takes over after it has seen the same version of the
 * row for LEASE_DURATION_US plus LEASE_MARGIN_US. Every new tenure, including a further
 * one of the same process, has a new fencing token.
 *
 * A store that returns from a copy may name a former holder, and gives the fencing tokens
 * since the copy out again. So with each new era of the store all tenures end, nobody
 * takes a lease before a holder that the copy does not know has expired, and the era is
 * the upper half of a fencing token.
 */
#include "controller.h"
#include "error.h"
#include "hash.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

#define LEASE_DURATION_US (6000 * US_PER_MS)
#define LEASE_MARGIN_US (1500 * US_PER_MS)
#define RENEW_PERIOD_US (2000 * US_PER_MS)
#define RETRY_US (500 * US_PER_MS)

/* A lease is valid from the time of the request, so a renewal that took longer would not
 * extend it by a useful time. */
#define RENEW_DEADLINE_MS 2500
#define READ_DEADLINE_MS 2000
#define READ_PERIOD_US (1500 * US_PER_MS)

/* Only the first candidates read a row, so that reads do not grow with the fleet. Each
 * further candidate waits longer, so that usually only one of them writes. */
#define CANDIDATES_MAX 3
#define CANDIDATE_STAGGER_US (1500 * US_PER_MS)

/* Time for a process that has just started to learn of the other candidates. */
#define START_DELAY_US (2500 * US_PER_MS)

#define ROW_PREFIX "lease/"
#define ROW_KEY_BYTES (sizeof ROW_PREFIX + BURDOCK_NAME_BYTES)
#define LEASE_PREFIX "group/"

/* Era of a store that has not been restored yet. */
#define FIRST_ERA 1

/* Bits of a fencing token that count within an era. */
#define FENCE_ERA_SHIFT 32

typedef struct Leases Leases;

/**
 * struct LeaseSlot - lease for which this process is a candidate
 * @wanted: whether the group of the lease is in the configuration
 * @call_pending: whether a store call is in flight
 * @due_us: time of the next read or write
 * @version: version of the row when last read or written, 0 for no row
 * @version_seen_us: when that version was first seen; 0 if the row must be read first
 * @read_us: time of the last read
 * @row_fence: fencing token in the row
 * @row_own: whether the row names this incarnation of this process
 * @row_released: whether the holder in the row has released the lease
 * @request_us: time at which the write in flight was sent
 * @request_fence: fencing token in the write in flight
 * @fence: fencing token of the tenure
 * @valid_until_us: end of the tenure, margin already subtracted
 */
typedef struct {
  Leases *leases;
  char name[BURDOCK_NAME_BYTES];
  bool wanted;
  bool call_pending;
  uint64_t due_us;
  uint64_t version;
  uint64_t version_seen_us;
  uint64_t read_us;
  uint64_t row_fence;
  bool row_own;
  bool row_released;
  uint64_t request_us;
  uint64_t request_fence;
  bool held;
  uint64_t fence;
  uint64_t valid_until_us;
} LeaseSlot;

/*
 * @era: highest era of the store that was taken into account, 0 for none
 * @restored_us: time at which a restore was noticed, 0 for none
 */
struct Leases {
  BurdockCore *core;
  uint64_t era;
  uint64_t restored_us;
  uint64_t writes;
  uint64_t generation;
  uint32_t slot_count;
  LeaseSlot **slots;
};

static bool
is_valid (const LeaseSlot *slot, uint64_t now_us)
{
  return slot->held && now_us < slot->valid_until_us;
}

/* Writes the leases to the blackboard, in the order of the slots. */
static void
publish_leases (Leases *leases)
{
  BurdockLeases *section = &leases->core->board.leases;
  uint64_t now_us = burdock_core_now (leases->core);
  uint64_t held = 0;

  if (section->allocated < leases->slot_count) {
    section->allocated = leases->slot_count;
    section->items =
        realloc (section->items, section->allocated * sizeof *section->items);
  }
  section->count = 0;
  for (uint32_t i = 0; i < leases->slot_count; i++) {
    const LeaseSlot *slot = leases->slots[i];
    BurdockLease *lease = &section->items[section->count];

    if (!slot->wanted && !slot->held)
      continue;
    *lease = (BurdockLease){ .held = is_valid (slot, now_us),
                             .fence = slot->fence,
                             .valid_until_us = slot->valid_until_us };
    burdock_copy_name (lease->name, sizeof lease->name, slot->name);
    held += lease->held;
    section->count++;
  }
  burdock_gauge (&leases->core->counters, BURDOCK_COUNTER_LEASES_HELD, held);
}

static void
log_lease (const LeaseSlot *slot, const char *step)
{
  burdock_timeline_add (slot->leases->core->timeline, BURDOCK_LOG_INFO,
                        BURDOCK_EVENT_LEASE, step, "-", slot->name, "fence %" PRIu64,
                        slot->fence);
}

static void
end_tenure (LeaseSlot *slot, const char *step)
{
  if (!slot->held)
    return;
  slot->held = false;
  log_lease (slot, step);
  burdock_blackboard_touch (&slot->leases->core->board);
}

/* Ends all tenures when the store has returned from a copy; their rows are read again. A
 * process that starts cannot tell when a later era than the first one began. */
static void
follow_era (Leases *leases)
{
  uint64_t era = burdock_store_era (leases->core->store);
  bool restored = era > leases->era && era > FIRST_ERA;

  leases->era = era;
  if (!restored)
    return;
  leases->restored_us = burdock_core_now (leases->core);
  for (uint32_t i = 0; i < leases->slot_count; i++) {
    end_tenure (leases->slots[i], "lease lost, the store was restored");
    leases->slots[i]->version_seen_us = 0;
  }
  publish_leases (leases);
}

/* Time from which on a holder that the restored store does not know has expired. */
static uint64_t
lost_tenures_end_us (const Leases *leases)
{
  if (leases->restored_us == 0)
    return 0;
  return leases->restored_us + LEASE_DURATION_US + LEASE_MARGIN_US;
}

/* The version of a row grows with each write in an era, also if a write of a paused
 * process met its condition by chance and put an older token into the row. */
static uint64_t
next_fence (const LeaseSlot *slot)
{
  uint64_t first = (slot->leases->era << FENCE_ERA_SHIFT) + slot->version + 1;

  return slot->row_fence + 1 > first ? slot->row_fence + 1 : first;
}

/* Token in a row, 0 for one that no holder has had: each is at most the version of the
 * row that it was written with. The token after a higher one could be the last one. */
static uint64_t
read_fence (const LeaseSlot *slot, const json_t *value)
{
  uint64_t highest = (slot->leases->era << FENCE_ERA_SHIFT) + slot->version;
  json_int_t fence = json_integer_value (value);

  return fence > 0 && (uint64_t)fence <= highest ? (uint64_t)fence : 0;
}

/* Reads holder and fencing token of a row; a malformed row counts as held by another. */
static void
parse_row (LeaseSlot *slot, BurdockBytes value)
{
  const BurdockSelf *self = &slot->leases->core->board.self;
  char own[24];
  json_t *root = json_loadb ((const char *)value.data, value.length_bytes, 0, NULL);
  const char *incarnation = json_string_value (json_object_get (root, "incarnation"));
  const char *holder = json_string_value (json_object_get (root, "holder"));

  snprintf (own, sizeof own, "%016" PRIx64, self->settings.incarnation);
  slot->row_fence = read_fence (slot, json_object_get (root, "fence"));
  slot->row_own = incarnation != NULL && strcmp (incarnation, own) == 0 &&
                  holder != NULL && strcmp (holder, self->settings.name) == 0;
  slot->row_released = json_is_true (json_object_get (root, "released"));
  json_decref (root);
}

static void
observe_row (LeaseSlot *slot, const BurdockStoreResult *result)
{
  uint64_t now_us = burdock_core_now (slot->leases->core);
  uint64_t version = result->status == -ENOENT ? 0 : result->version;

  if (slot->version_seen_us == 0 || version != slot->version) {
    slot->version = version;
    slot->version_seen_us = now_us;
  }
  slot->row_own = false;
  slot->row_released = false;
  if (version == 0)
    slot->row_fence = 0;
  else
    parse_row (slot, result->value);
}

static char *
row_text (LeaseSlot *slot, uint64_t fence, bool released)
{
  const BurdockSelf *self = &slot->leases->core->board.self;
  char incarnation[24];
  json_t *root;
  char *text;

  snprintf (incarnation, sizeof incarnation, "%016" PRIx64, self->settings.incarnation);
  root = json_pack ("{s:s, s:s, s:I, s:I, s:b}", "holder", self->settings.name,
                    "incarnation", incarnation, "fence", (json_int_t)fence, "write",
                    (json_int_t)++slot->leases->writes, "released", (int)released);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
confirm_tenure (LeaseSlot *slot)
{
  bool new_tenure = !slot->held || slot->fence != slot->request_fence;

  slot->held = true;
  slot->fence = slot->request_fence;
  slot->valid_until_us = slot->request_us + LEASE_DURATION_US - LEASE_MARGIN_US;
  if (new_tenure) {
    log_lease (slot, "lease taken");
    burdock_blackboard_touch (&slot->leases->core->board);
  }
}

static void
write_done (void *ctx, const BurdockStoreResult *result)
{
  LeaseSlot *slot = ctx;
  uint64_t now_us = burdock_core_now (slot->leases->core);
  uint64_t era = slot->leases->era;
  bool same_era;

  slot->call_pending = false;
  slot->due_us = now_us + RETRY_US;
  follow_era (slot->leases);
  same_era = era == 0 || era == slot->leases->era;
  if (same_era && result->status == 0) {
    slot->version = result->version;
    slot->version_seen_us = now_us;
    slot->row_fence = slot->request_fence;
    slot->row_own = true;
    slot->row_released = false;
    confirm_tenure (slot);
    slot->due_us = slot->request_us + RENEW_PERIOD_US;
  } else if (same_era && result->status == -EEXIST) {
    /* Read the row again, as it may come from an earlier write of this process. */
    end_tenure (slot, "lease lost");
    slot->version_seen_us = 0;
    slot->due_us = now_us;
  } else {
    /* Unknown outcome, not written, or a condition that a row of another era has met: the
     * row is read again, and a tenure lasts until valid_until_us. */
    slot->version_seen_us = 0;
  }
  publish_leases (slot->leases);
}

static void
write_row (LeaseSlot *slot, uint64_t fence, bool released, BurdockStoreDone done)
{
  BurdockCore *core = slot->leases->core;
  char key[ROW_KEY_BYTES];
  char *text = row_text (slot, fence, released);
  BurdockStorePut put;

  snprintf (key, sizeof key, "%s%s", ROW_PREFIX, slot->name);
  put = (BurdockStorePut){ key,
                           { (const uint8_t *)text, (uint32_t)strlen (text) },
                           slot->version };
  slot->request_us = burdock_core_now (core);
  slot->request_fence = fence;
  slot->due_us = slot->request_us + RETRY_US;
  slot->call_pending =
      burdock_store_put_if (core->store, &put, 1, RENEW_DEADLINE_MS, done, slot) == 0;
  free (text);
}

static void
read_done (void *ctx, const BurdockStoreResult *result)
{
  LeaseSlot *slot = ctx;

  slot->call_pending = false;
  slot->due_us = burdock_core_now (slot->leases->core) + READ_PERIOD_US;
  follow_era (slot->leases);
  if (result->status < 0 && result->status != -ENOENT)
    return;
  observe_row (slot, result);
  slot->read_us = burdock_core_now (slot->leases->core);
  slot->due_us = slot->read_us;
}

static void
read_row (LeaseSlot *slot)
{
  char key[ROW_KEY_BYTES];

  snprintf (key, sizeof key, "%s%s", ROW_PREFIX, slot->name);
  slot->due_us = burdock_core_now (slot->leases->core) + RETRY_US;
  slot->call_pending = burdock_store_get (slot->leases->core->store, key,
                                          READ_DEADLINE_MS, read_done, slot) == 0;
}

/* Position of this process among the live entries by rendezvous hash, 0 for the first. */
static uint32_t
candidate_position (const LeaseSlot *slot)
{
  const BurdockBlackboard *board = &slot->leases->core->board;
  uint64_t lease = burdock_member_id (slot->name);
  uint64_t own = burdock_hash_pair (lease, board->self.member_id);
  uint32_t position = 0;

  for (uint32_t i = 0; i < board->members.count; i++) {
    const BurdockMemberRecord *record = &board->members.items[i].record;

    if (record->role == BURDOCK_ROLE_ENTRY && record->state == BURDOCK_MEMBER_ALIVE)
      position += burdock_hash_pair (lease, record->id) > own;
  }
  return position;
}

static uint64_t
takeover_wait (const LeaseSlot *slot, uint32_t position)
{
  uint64_t wait_us = position * CANDIDATE_STAGGER_US;

  /* An absent, released or own row has no other holder to wait for. */
  if (slot->version == 0 || slot->row_released || slot->row_own)
    return slot->row_own ? 0 : wait_us;
  return wait_us + LEASE_DURATION_US + LEASE_MARGIN_US;
}

static void
run_candidate (LeaseSlot *slot, uint64_t now_us)
{
  uint32_t position = candidate_position (slot);
  uint64_t takeover_us = slot->version_seen_us + takeover_wait (slot, position);
  uint64_t read_us = slot->read_us + READ_PERIOD_US;

  if (takeover_us < lost_tenures_end_us (slot->leases))
    takeover_us = lost_tenures_end_us (slot->leases) + position * CANDIDATE_STAGGER_US;
  if (position >= CANDIDATES_MAX) {
    slot->due_us = now_us + READ_PERIOD_US;
    slot->version_seen_us = 0;
    return;
  }
  /* A process that was paused reads the row again before it writes. */
  if (slot->version_seen_us > 0 && now_us >= takeover_us &&
      now_us < read_us + READ_PERIOD_US) {
    write_row (slot, next_fence (slot), false, write_done);
    return;
  }
  if (slot->version_seen_us == 0 || now_us >= read_us) {
    read_row (slot);
    return;
  }
  slot->due_us = takeover_us < read_us ? takeover_us : read_us;
}

/* Renews the lease; reads the row first if the outcome of a write is unknown. */
static void
run_holder (LeaseSlot *slot)
{
  if (slot->version_seen_us == 0) {
    read_row (slot);
    return;
  }
  if (!slot->row_own || slot->row_fence != slot->fence) {
    end_tenure (slot, "lease lost");
    publish_leases (slot->leases);
    return;
  }
  write_row (slot, slot->fence, false, write_done);
}

static void
release_done (void *ctx, const BurdockStoreResult *result)
{
  LeaseSlot *slot = ctx;

  slot->call_pending = false;
  slot->version_seen_us = 0;
  slot->due_us = burdock_core_now (slot->leases->core) + READ_PERIOD_US;
  follow_era (slot->leases);
}

/* A leaving process releases its leases, so that the next candidate need not wait. */
static void
release (LeaseSlot *slot)
{
  if (!slot->held || slot->call_pending)
    return;
  end_tenure (slot, "lease released");
  publish_leases (slot->leases);
  if (slot->version_seen_us > 0)
    write_row (slot, slot->fence, true, release_done);
}

static void
run_slot (LeaseSlot *slot, uint64_t now_us)
{
  if (slot->held && !is_valid (slot, now_us)) {
    end_tenure (slot, "lease expired");
    publish_leases (slot->leases);
  }
  if (slot->leases->core->board.self.leaving || !slot->wanted) {
    release (slot);
    return;
  }
  if (slot->call_pending || now_us < slot->due_us)
    return;
  if (slot->held)
    run_holder (slot);
  else
    run_candidate (slot, now_us);
}

static LeaseSlot *
find_slot (Leases *leases, const char *name)
{
  for (uint32_t i = 0; i < leases->slot_count; i++) {
    if (strcmp (leases->slots[i]->name, name) == 0)
      return leases->slots[i];
  }
  return NULL;
}

static LeaseSlot *
add_slot (Leases *leases, const char *name)
{
  LeaseSlot *slot = calloc (1, sizeof *slot);

  slot->leases = leases;
  burdock_copy_name (slot->name, sizeof slot->name, name);
  slot->due_us = leases->core->board.self.started_us + START_DELAY_US +
                 burdock_core_random (leases->core) % RENEW_PERIOD_US;
  leases->slots =
      realloc (leases->slots, (leases->slot_count + 1) * sizeof (LeaseSlot *));
  leases->slots[leases->slot_count++] = slot;
  return slot;
}

static void
apply_configuration (Leases *leases)
{
  const BurdockConfigState *state = &leases->core->board.config;
  const BurdockGroupConfig *groups;
  uint32_t count = 0;

  if (state->config == NULL || leases->generation == state->generation)
    return;
  leases->generation = state->generation;
  groups = burdock_config_groups (state->config, &count);
  for (uint32_t i = 0; i < leases->slot_count; i++)
    leases->slots[i]->wanted = false;
  for (uint32_t i = 0; i < count; i++) {
    char name[BURDOCK_NAME_BYTES + sizeof LEASE_PREFIX];
    LeaseSlot *slot;

    snprintf (name, sizeof name, "%s%s", LEASE_PREFIX, groups[i].name);
    slot = find_slot (leases, name);
    if (slot == NULL)
      slot = add_slot (leases, name);
    slot->wanted = true;
  }
  publish_leases (leases);
}

static bool
is_unscheduled (const LeaseSlot *slot)
{
  return slot->call_pending || !slot->wanted || slot->leases->core->board.self.leaving;
}

static uint64_t
slot_due (const LeaseSlot *slot, uint64_t now_us)
{
  uint64_t due_us = is_unscheduled (slot) ? BURDOCK_NEVER_US : slot->due_us;

  if (slot->held && slot->valid_until_us < due_us)
    due_us = slot->valid_until_us;
  return due_us > now_us ? due_us : now_us + 1;
}

static uint64_t
leases_tick (void *ctx, uint64_t now_us)
{
  Leases *leases = ctx;
  uint64_t next_us = now_us + RETRY_US;

  apply_configuration (leases);
  follow_era (leases);
  for (uint32_t i = 0; i < leases->slot_count; i++) {
    uint64_t due_us;

    run_slot (leases->slots[i], now_us);
    due_us = slot_due (leases->slots[i], now_us);
    if (due_us < next_us)
      next_us = due_us;
  }
  return next_us;
}

static void
leases_free (void *ctx)
{
  Leases *leases = ctx;

  for (uint32_t i = 0; i < leases->slot_count; i++)
    free (leases->slots[i]);
  free (leases->slots);
  free (leases);
}

BurdockController
burdock_lease_controller (BurdockCore *core, uint32_t index)
{
  Leases *leases = calloc (1, sizeof *leases);

  leases->core = core;
  return (BurdockController){
    .name = "lease",
    .ctx = leases,
    .tick = leases_tick,
    .free = leases_free,
  };
}
