#include "upstream-registry.h"

#include "hash-table.h"

#include <stdio.h>
#include <stdlib.h>

/* Rows may expire while the store is unreachable. Upstreams write them again within about
 * 2 s after it is reachable; for this time, removed rows do not remove their upstreams.
 */
#define REREGISTRATION_GRACE_US UINT64_C (2200000)

/**
 * struct Entry - upstream and its row
 * @version: version of the row as last read
 * @remove_at_us: time at which the entry is removed because its row was removed, 0 if the
 *   row exists
 * @listed: the row is part of the listing in progress
 */
typedef struct {
  BurdockUpstream upstream;
  uint64_t version;
  uint64_t remove_at_us;
  bool listed;
} Entry;

struct BurdockUpstreamRegistry {
  apr_pool_t *memory;
  apr_hash_t *entries;
  uint64_t store_regained_us; /* 0 before the first outage */
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
  registry->log = log;
  registry->ctx = ctx;
  return registry;
}

void
burdock_upstream_registry_free (BurdockUpstreamRegistry *registry)
{
  if (registry == NULL)
    return;
  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at))
    free (apr_hash_this_val (at));
  apr_pool_destroy (registry->memory);
  free (registry);
}

static Entry *
find_entry (const BurdockUpstreamRegistry *registry, const char *id)
{
  return apr_hash_get (registry->entries, id, APR_HASH_KEY_STRING);
}

static void
delete_entry (BurdockUpstreamRegistry *registry, Entry *entry, const char *reason)
{
  registry->log (registry->ctx, "upstream gone", entry->upstream.id, reason);
  apr_hash_set (registry->entries, entry->upstream.id, APR_HASH_KEY_STRING, NULL);
  free (entry);
}

void
burdock_upstream_registry_begin_listing (BurdockUpstreamRegistry *registry)
{
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
  delete_entry (registry, entry, "its entry was removed");
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
}

static bool
have_same_address (const Entry *a, const Entry *b)
{
  return a->upstream.address.ipv4 == b->upstream.address.ipv4 &&
         a->upstream.address.port == b->upstream.address.port;
}

/* Keeps the upstream at the address of @entry whose row was written last. Rows arrive in
 * the order of their ids in a listing, so that the later one may come first. */
static void
keep_latest_at_address (BurdockUpstreamRegistry *registry, Entry *entry)
{
  bool replaced = false;

  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *other = apr_hash_this_val (at);

    if (other == entry || !have_same_address (other, entry))
      continue;
    if (other->version > entry->version)
      replaced = true;
    else if (other->version < entry->version)
      delete_entry (registry, other, "another upstream has its address");
  }
  if (replaced)
    delete_entry (registry, entry, "another upstream has its address");
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

void
burdock_upstream_registry_put (BurdockUpstreamRegistry *registry,
                               const BurdockUpstream *upstream, uint64_t version)
{
  Entry *entry = find_entry (registry, upstream->id);
  char detail[BURDOCK_NAME_BYTES + 8];

  if (entry == NULL) {
    entry = add_entry (registry, upstream);
  } else if (upstream->leaving && !entry->upstream.leaving) {
    snprintf (detail, sizeof detail, "pool %s", upstream->pool);
    registry->log (registry->ctx, "upstream leaving", upstream->id, detail);
  }
  entry->upstream = *upstream;
  entry->version = version;
  entry->remove_at_us = 0;
  entry->listed = true;
  keep_latest_at_address (registry, entry);
} // NOLINT(clang-analyzer-unix.Malloc): registry->entries owns the entry

void
burdock_upstream_registry_remove (BurdockUpstreamRegistry *registry, const char *id,
                                  uint64_t now_us)
{
  Entry *entry = find_entry (registry, id);

  if (entry != NULL)
    handle_removal (registry, entry, now_us);
}

void
burdock_upstream_registry_reject (BurdockUpstreamRegistry *registry, const char *id)
{
  Entry *entry = find_entry (registry, id);

  if (entry != NULL)
    delete_entry (registry, entry, "its entry is invalid");
}

void
burdock_upstream_registry_store_regained (BurdockUpstreamRegistry *registry,
                                          uint64_t since_us)
{
  registry->store_regained_us = since_us;
}

uint64_t
burdock_upstream_registry_expire (BurdockUpstreamRegistry *registry, uint64_t now_us,
                                  bool *changed)
{
  uint64_t next_us = UINT64_MAX;

  *changed = false;
  for (apr_hash_index_t *at = apr_hash_first (NULL, registry->entries); at != NULL;
       at = apr_hash_next (at)) {
    Entry *entry = apr_hash_this_val (at);

    if (entry->remove_at_us == 0)
      continue;
    if (entry->remove_at_us > now_us) {
      next_us = entry->remove_at_us < next_us ? entry->remove_at_us : next_us;
      continue;
    }
    delete_entry (registry, entry, "its entry was not written again after the outage");
    *changed = true;
  }
  return next_us;
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
