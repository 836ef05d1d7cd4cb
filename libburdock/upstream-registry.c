#include "upstream-registry.h"

#include "gone-upstreams.h"
#include "hash-table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Rows may expire while the store is unreachable. Upstreams write them again within about
 * 2 s after it is reachable; for this time, removed rows do not remove their upstreams.
 */
#define REREGISTRATION_GRACE_US UINT64_C (2200000)

/* After a restore, the platform removes the rows of upstreams that have gone since the
 * copy when they have sent no heartbeats for three of their intervals. A row that is
 * still there after this time has been written again. */
#define RESTORE_HOLD_US UINT64_C (10000000)

/**
 * struct Entry - upstream and its row
 * @era: era of the store in which the row was last read
 * @version: version of the row as last read, to be compared within one era
 * @remove_at_us: time at which the entry is removed because its row was removed, 0 if the
 *   row exists
 * @listed: the row is part of the listing in progress
 */
typedef struct {
  BurdockUpstream upstream;
  uint64_t era;
  uint64_t version;
  uint64_t remove_at_us;
  bool listed;
} Entry;

/* Row of a copy that contradicts what is known since; used from @until_us on. */
typedef struct {
  BurdockUpstream upstream;
  uint64_t version;
  uint64_t until_us;
} HeldRow;

struct BurdockUpstreamRegistry {
  apr_pool_t *memory;
  apr_hash_t *entries;
  apr_hash_t *held;
  BurdockGoneUpstreams *gone;
  uint64_t era;
  uint64_t store_regained_us; /* 0 before the first outage */
  uint64_t restored_us;       /* 0 before the first restore */
  bool listing;
  BurdockUpstreamRegistryLog log;
  void *ctx;
};

BurdockUpstreamRegistry *
burdock_upstream_registry_new (BurdockUpstreamRegistryLog log, void *ctx)
{
  BurdockUpstreamRegistry *registry = calloc (1, sizeof *registry);

  if (registry == NULL || apr_pool_create (&registry->memory, NULL) != APR_SUCCESS) {
    free (registry);
    return NULL;
  }
  registry->entries = burdock_hash_table_new (registry->memory);
  registry->held = burdock_hash_table_new (registry->memory);
  registry->gone = burdock_gone_upstreams_new ();
  if (registry->gone == NULL) {
    burdock_upstream_registry_free (registry);
    return NULL;
  }
  registry->log = log;
  registry->ctx = ctx;
  return registry;
}

/* The keys are parts of the values. */
static void
clear_table (apr_hash_t *table)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, table); at != NULL;
       at = apr_hash_next (at)) {
    void *value = apr_hash_this_val (at);

    apr_hash_set (table, apr_hash_this_key (at), APR_HASH_KEY_STRING, NULL);
    free (value);
  }
}

void
burdock_upstream_registry_free (BurdockUpstreamRegistry *registry)
{
  if (registry == NULL)
    return;
  clear_table (registry->entries);
  clear_table (registry->held);
  burdock_gone_upstreams_free (registry->gone);
  apr_pool_destroy (registry->memory);
  free (registry);
}

static Entry *
find_entry (const BurdockUpstreamRegistry *registry, const char *id)
{
  return apr_hash_get (registry->entries, id, APR_HASH_KEY_STRING);
}

static void
release_held_row (BurdockUpstreamRegistry *registry, const char *id)
{
  HeldRow *held = apr_hash_get (registry->held, id, APR_HASH_KEY_STRING);

  if (held == NULL)
    return;
  apr_hash_set (registry->held, held->upstream.id, APR_HASH_KEY_STRING, NULL);
  free (held);
}

static void
delete_entry (BurdockUpstreamRegistry *registry, Entry *entry, const char *reason,
              uint64_t now_us)
{
  burdock_gone_upstreams_add (registry->gone, entry->upstream.id, entry->upstream.born_ms,
                              now_us);
  registry->log (registry->ctx, "upstream gone", entry->upstream.id, reason);
  apr_hash_set (registry->entries, entry->upstream.id, APR_HASH_KEY_STRING, NULL);
  free (entry);
}

/* Rows that upstreams have written since the copy are awaited like those that expired
 * during an outage. */
static void
enter_era (BurdockUpstreamRegistry *registry, uint64_t era, uint64_t now_us)
{
  if (era <= registry->era)
    return;
  if (registry->era != 0)
    registry->restored_us = registry->store_regained_us = now_us;
  registry->era = era;
}

void
burdock_upstream_registry_begin_listing (BurdockUpstreamRegistry *registry, uint64_t era,
                                         uint64_t now_us)
{
  enter_era (registry, era, now_us);
  registry->listing = true;
  clear_table (registry->held);
  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *entry = apr_hash_this_val (at);

    entry->listed = false;
  }
}

static void
handle_removal (BurdockUpstreamRegistry *registry, Entry *entry, uint64_t now_us)
{
  uint64_t grace_end_us = registry->store_regained_us + REREGISTRATION_GRACE_US;

  if (!entry->upstream.leaving && registry->store_regained_us != 0 &&
      now_us < grace_end_us) {
    if (entry->remove_at_us == 0)
      entry->remove_at_us = grace_end_us;
    return;
  }
  delete_entry (registry, entry, "its entry was removed", now_us);
}

void
burdock_upstream_registry_end_listing (BurdockUpstreamRegistry *registry, uint64_t now_us)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *entry = apr_hash_this_val (at);

    if (!entry->listed)
      handle_removal (registry, entry, now_us);
  }
  registry->listing = false;
}

static bool
have_same_address (const Entry *a, const Entry *b)
{
  return a->upstream.address.ipv4 == b->upstream.address.ipv4 &&
         a->upstream.address.port == b->upstream.address.port;
}

/* Whether the upstream of @a started after that of @b, or else wrote its row after it. */
static bool
is_later (const Entry *a, const Entry *b)
{
  uint64_t a_born_ms = a->upstream.born_ms;
  uint64_t b_born_ms = b->upstream.born_ms;

  if (a_born_ms != 0 && b_born_ms != 0 && a_born_ms != b_born_ms)
    return a_born_ms > b_born_ms;
  return a->era != b->era ? a->era > b->era : a->version > b->version;
}

/* Keeps the latest upstream at the address of @entry. Rows arrive in the order of their
 * ids in a listing, so that the later one may come first. */
static void
keep_latest_at_address (BurdockUpstreamRegistry *registry, Entry *entry, uint64_t now_us)
{
  bool replaced = false;

  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *other = apr_hash_this_val (at);

    if (other == entry || !have_same_address (other, entry))
      continue;
    if (is_later (other, entry))
      replaced = true;
    else if (is_later (entry, other))
      delete_entry (registry, other, "another upstream has its address", now_us);
  }
  if (replaced)
    delete_entry (registry, entry, "another upstream has its address", now_us);
}

static Entry *
add_entry (BurdockUpstreamRegistry *registry, const BurdockUpstream *upstream)
{
  Entry *entry = calloc (1, sizeof *entry);
  char detail[BURDOCK_NAME_BYTES + 64];

  if (entry == NULL)
    abort ();
  entry->upstream = *upstream;
  apr_hash_set (registry->entries, entry->upstream.id, APR_HASH_KEY_STRING, entry);
  snprintf (detail, sizeof detail, "pool %s slots %u%s", upstream->pool, upstream->slots,
            upstream->leaving ? " leaving" : "");
  registry->log (registry->ctx, "upstream found", upstream->id, detail);
  return entry;
}

static void
apply_row (BurdockUpstreamRegistry *registry, const BurdockUpstream *upstream,
           uint64_t version, uint64_t now_us)
{
  Entry *entry = find_entry (registry, upstream->id);
  char detail[BURDOCK_NAME_BYTES + 40];

  burdock_gone_upstreams_remove (registry->gone, upstream->id);
  if (entry == NULL) {
    entry = add_entry (registry, upstream);
  } else if (upstream->leaving != entry->upstream.leaving) {
    snprintf (detail, sizeof detail, "pool %s version %" PRIu64, upstream->pool, version);
    registry->log (registry->ctx,
                   upstream->leaving ? "upstream leaving" : "upstream available again",
                   upstream->id, detail);
  }
  entry->upstream = *upstream;
  entry->era = registry->era;
  entry->version = version;
  entry->remove_at_us = 0;
  entry->listed = true;
  keep_latest_at_address (registry, entry, now_us);
} // NOLINT(clang-analyzer-unix.Malloc): registry->entries owns the entry

/* Whether a row is older than what is known of its upstream: an upstream that has left or
 * gone does not come back in the same start. */
static bool
is_outdated (const BurdockUpstreamRegistry *registry, const BurdockUpstream *upstream,
             uint64_t now_us)
{
  const Entry *entry = find_entry (registry, upstream->id);

  if (entry == NULL)
    return burdock_gone_upstreams_contains (registry->gone, upstream->id,
                                            upstream->born_ms, now_us);
  if (upstream->born_ms != entry->upstream.born_ms)
    return upstream->born_ms < entry->upstream.born_ms;
  return entry->upstream.leaving && !upstream->leaving;
}

static void
hold_row (BurdockUpstreamRegistry *registry, const BurdockUpstream *upstream,
          uint64_t version)
{
  HeldRow *held = calloc (1, sizeof *held);
  Entry *entry = find_entry (registry, upstream->id);

  if (held == NULL)
    abort ();
  *held = (HeldRow){ *upstream, version, registry->restored_us + RESTORE_HOLD_US };
  release_held_row (registry, upstream->id);
  apr_hash_set (registry->held, held->upstream.id, APR_HASH_KEY_STRING, held);
  if (entry != NULL && entry->upstream.born_ms == upstream->born_ms)
    entry->listed = true;
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): registry->held owns the row */
  registry->log (registry->ctx, "upstream entry held", upstream->id,
                 "the copy of the store is older than what is known");
}

void
burdock_upstream_registry_put (BurdockUpstreamRegistry *registry,
                               const BurdockUpstream *upstream, uint64_t version,
                               uint64_t now_us)
{
  bool may_be_of_copy = registry->listing && registry->restored_us != 0 &&
                        now_us < registry->restored_us + RESTORE_HOLD_US;

  if (may_be_of_copy && is_outdated (registry, upstream, now_us)) {
    hold_row (registry, upstream, version);
    return;
  }
  release_held_row (registry, upstream->id);
  apply_row (registry, upstream, version, now_us);
}

void
burdock_upstream_registry_remove (BurdockUpstreamRegistry *registry, const char *id,
                                  uint64_t now_us)
{
  Entry *entry = find_entry (registry, id);

  release_held_row (registry, id);
  if (entry != NULL)
    handle_removal (registry, entry, now_us);
}

void
burdock_upstream_registry_reject (BurdockUpstreamRegistry *registry, const char *id,
                                  uint64_t now_us)
{
  Entry *entry = find_entry (registry, id);

  release_held_row (registry, id);
  if (entry != NULL)
    delete_entry (registry, entry, "its entry is invalid", now_us);
}

void
burdock_upstream_registry_store_regained (BurdockUpstreamRegistry *registry,
                                          uint64_t since_us)
{
  registry->store_regained_us = since_us;
}

bool
burdock_upstream_registry_note_gone (BurdockUpstreamRegistry *registry, const char *id,
                                     uint64_t born_ms, uint64_t now_us)
{
  Entry *entry = find_entry (registry, id);

  if (entry == NULL) {
    burdock_gone_upstreams_add (registry->gone, id, born_ms, now_us);
    return false;
  }
  if (entry->upstream.born_ms > born_ms)
    return false;
  registry->restored_us = now_us;
  hold_row (registry, &entry->upstream, entry->version);
  delete_entry (registry, entry, "another gateway knows that it has gone", now_us);
  return true;
}

void
burdock_upstream_registry_each_gone (
    const BurdockUpstreamRegistry *registry, uint64_t now_us,
    void (*function) (void *ctx, const char *id, uint64_t born_ms), void *ctx)
{
  burdock_gone_upstreams_each (registry->gone, now_us, function, ctx);
}

static uint64_t
expire_entries (BurdockUpstreamRegistry *registry, uint64_t now_us, bool *changed)
{
  uint64_t next_us = UINT64_MAX;

  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *entry = apr_hash_this_val (at);

    if (entry->remove_at_us == 0)
      continue;
    if (entry->remove_at_us > now_us) {
      next_us = entry->remove_at_us < next_us ? entry->remove_at_us : next_us;
      continue;
    }
    delete_entry (registry, entry, "its entry was not written again after the outage",
                  now_us);
    *changed = true;
  }
  return next_us;
}

static uint64_t
use_held_rows (BurdockUpstreamRegistry *registry, uint64_t now_us, bool *changed)
{
  uint64_t next_us = UINT64_MAX;

  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->held); at != NULL;
       at = apr_hash_next (at)) {
    HeldRow *held = apr_hash_this_val (at);

    if (held->until_us > now_us) {
      next_us = held->until_us < next_us ? held->until_us : next_us;
      continue;
    }
    apr_hash_set (registry->held, held->upstream.id, APR_HASH_KEY_STRING, NULL);
    apply_row (registry, &held->upstream, held->version, now_us);
    free (held);
    *changed = true;
  }
  return next_us;
}

uint64_t
burdock_upstream_registry_expire (BurdockUpstreamRegistry *registry, uint64_t now_us,
                                  bool *changed)
{
  uint64_t entries_us;
  uint64_t held_us;

  *changed = false;
  entries_us = expire_entries (registry, now_us, changed);
  held_us = use_held_rows (registry, now_us, changed);
  return entries_us < held_us ? entries_us : held_us;
}

uint32_t
burdock_upstream_registry_count (const BurdockUpstreamRegistry *registry)
{
  return apr_hash_count (registry->entries);
}

void
burdock_upstream_registry_copy (const BurdockUpstreamRegistry *registry,
                                BurdockUpstream *items)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    const Entry *entry = apr_hash_this_val (at);

    *items++ = entry->upstream;
  }
}
