#include "gateway.h"

#include "log.h"

#include <apr_hash.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Rows may expire while the store is unreachable. Upstreams write them again within about
 * 2 s after it is reachable; for this time, removed rows do not delete their entries. */
#define REREGISTRATION_GRACE_US UINT64_C (2200000)

/**
 * struct UpstreamEntry - row of an upstream in the store
 * @version: version of the row as last read
 * @remove_at_us: time at which the entry is deleted because its row was removed, 0 if the
 *   row exists
 * @seen: the row is part of the listing in progress
 */
typedef struct {
  BurdockUpstream upstream;
  uint64_t version;
  uint64_t remove_at_us;
  bool seen;
} UpstreamEntry;

static uint64_t
random_value (void *ctx)
{
  return burdock_runtime_random (ctx);
}

static void
notify_traffic (BurdockGateway *gateway)
{
  burdock_loop_post (gateway->traffic.runtime.loop, burdock_gateway_traffic_apply_updates,
                     gateway);
}

static void
publish_table (BurdockGateway *gateway, BurdockRouteTable *table)
{
  burdock_route_table_unref (burdock_slot_put (&gateway->published_table, table));
  notify_traffic (gateway);
}

static void
config_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  BurdockRouteTable *table;
  BurdockError error;

  if (strcmp (row->key, BURDOCK_PLATFORM_CONFIG_KEY) != 0 || row->value.data == NULL)
    return;
  if (burdock_platform_decode_routes (row->value, &table, &error) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, error.step, "-", "%s", error.detail);
    return;
  }
  if (table->version <= gateway->control.config_version) {
    burdock_route_table_unref (table);
    return;
  }
  gateway->control.config_version = table->version;
  burdock_log (BURDOCK_LOG_INFO, "configuration read", "-",
               "version %" PRIu64 " routes %u keys %u", table->version,
               apr_hash_count (table->routes), apr_hash_count (table->api_keys));
  publish_table (gateway, table);
}

static void
config_begin (void *ctx)
{
}

static void
config_end (void *ctx, bool listing)
{
}

static void
config_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  burdock_log (reachable ? BURDOCK_LOG_INFO : BURDOCK_LOG_WARNING,
               reachable ? "store regained" : "store lost", "-", "configuration: %s",
               reason);
}

static void
publish_upstreams (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;
  uint32_t count = apr_hash_count (control->upstreams);
  BurdockUpstreamList *list = malloc (sizeof *list + count * sizeof (BurdockUpstream));

  if (list == NULL)
    abort ();
  list->count = 0;
  for (apr_hash_index_t *at = apr_hash_first (NULL, control->upstreams); at != NULL;
       at = apr_hash_next (at)) {
    const UpstreamEntry *entry = apr_hash_this_val (at);

    list->items[list->count++] = entry->upstream;
  }
  free (burdock_slot_put (&gateway->published_upstreams, list));
  notify_traffic (gateway);
}

static void
delete_entry (BurdockGatewayControl *control, UpstreamEntry *entry, const char *reason)
{
  burdock_log (BURDOCK_LOG_INFO, "upstream gone", entry->upstream.id, "%s", reason);
  apr_hash_set (control->upstreams, entry->upstream.id, APR_HASH_KEY_STRING, NULL);
  free (entry);
}

/* A row that is removed right after an outage, and whose upstream did not announce that
 * it leaves, has probably expired. Its deletion is delayed, as it may be written again.
 */
static void
handle_removal (BurdockGatewayControl *control, UpstreamEntry *entry)
{
  uint64_t now_us = burdock_loop_now_us ();

  if (!entry->upstream.leaving && control->store_reachable_us != 0 &&
      now_us < control->store_reachable_us + REREGISTRATION_GRACE_US) {
    if (entry->remove_at_us == 0)
      entry->remove_at_us = control->store_reachable_us + REREGISTRATION_GRACE_US;
    return;
  }
  delete_entry (control, entry, "its entry was removed");
}

/* A restarted upstream has a new id at the same address; the row with its previous id
 * remains in the store until it expires. */
static void
delete_replaced_entries (BurdockGatewayControl *control, const UpstreamEntry *entry)
{
  const BurdockAddress *address = &entry->upstream.address;

  for (apr_hash_index_t *at = apr_hash_first (NULL, control->upstreams); at != NULL;
       at = apr_hash_next (at)) {
    UpstreamEntry *other = apr_hash_this_val (at);

    if (other != entry && other->version < entry->version &&
        other->upstream.address.ipv4 == address->ipv4 &&
        other->upstream.address.port == address->port)
      delete_entry (control, other, "another upstream has its address");
  }
}

static void
upstream_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;
  UpstreamEntry *entry = apr_hash_get (control->upstreams, row->key, APR_HASH_KEY_STRING);
  BurdockUpstream upstream;

  if (row->removed) {
    if (entry != NULL)
      handle_removal (control, entry);
    return;
  }
  if (row->value.data == NULL ||
      burdock_platform_decode_upstream (row->key, row->value, &upstream) < 0) {
    burdock_log (BURDOCK_LOG_WARNING, "read upstream", row->key,
                 "the entry is invalid and ignored");
    if (entry != NULL)
      delete_entry (control, entry, "its entry is invalid");
    return;
  }
  if (entry == NULL) {
    entry = calloc (1, sizeof *entry);
    if (entry == NULL)
      abort ();
    entry->upstream = upstream;
    apr_hash_set (control->upstreams, entry->upstream.id, APR_HASH_KEY_STRING, entry);
    burdock_log (BURDOCK_LOG_INFO, "upstream found", row->key, "pool %s slots %u%s",
                 upstream.pool, upstream.slots, upstream.leaving ? " leaving" : "");
  } else if (upstream.leaving && !entry->upstream.leaving) {
    burdock_log (BURDOCK_LOG_INFO, "upstream leaving", row->key, "pool %s",
                 upstream.pool);
  }
  entry->upstream = upstream;
  entry->version = row->version;
  entry->remove_at_us = 0;
  entry->seen = true;
  delete_replaced_entries (control, entry);
} // NOLINT(clang-analyzer-unix.Malloc): control->upstreams owns the entry

static void
upstream_begin (void *ctx)
{
  BurdockGateway *gateway = ctx;

  for (apr_hash_index_t *at = apr_hash_first (NULL, gateway->control.upstreams);
       at != NULL; at = apr_hash_next (at)) {
    UpstreamEntry *entry = apr_hash_this_val (at);

    entry->seen = false;
  }
}

static void
upstream_end (void *ctx, bool listing)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  for (apr_hash_index_t *at = apr_hash_first (NULL, control->upstreams);
       listing && at != NULL; at = apr_hash_next (at)) {
    UpstreamEntry *entry = apr_hash_this_val (at);

    if (!entry->seen)
      handle_removal (control, entry);
  }
  control->upstreams_listed = true;
  publish_upstreams (gateway);
}

static void
upstream_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  burdock_log (reachable ? BURDOCK_LOG_INFO : BURDOCK_LOG_WARNING,
               reachable ? "store regained" : "store lost", "-", "upstreams: %s", reason);
  if (reachable && control->upstreams_listed)
    control->store_reachable_us = since_us;
}

/* Deletes the entries whose rows were not written again in time; returns the time of the
 * next deletion. */
static uint64_t
expire_entries (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  uint64_t next_us = BURDOCK_LOOP_NEVER_US;
  bool changed = false;

  for (apr_hash_index_t *at = apr_hash_first (NULL, control->upstreams); at != NULL;
       at = apr_hash_next (at)) {
    UpstreamEntry *entry = apr_hash_this_val (at);

    if (entry->remove_at_us == 0)
      continue;
    if (entry->remove_at_us > now_us) {
      next_us = entry->remove_at_us < next_us ? entry->remove_at_us : next_us;
      continue;
    }
    delete_entry (control, entry, "its entry was not written again after the outage");
    changed = true;
  }
  if (changed)
    publish_upstreams (gateway);
  return next_us;
}

static uint64_t
control_hook (void *ctx, uint64_t now_us)
{
  BurdockGateway *gateway = ctx;
  uint64_t next_us = expire_entries (gateway, now_us);
  uint64_t config_us = burdock_table_watch_tick (gateway->control.config_watch, now_us);
  uint64_t upstream_us =
      burdock_table_watch_tick (gateway->control.upstream_watch, now_us);

  next_us = config_us < next_us ? config_us : next_us;
  return upstream_us < next_us ? upstream_us : next_us;
}

int
burdock_gateway_control_init (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;
  BurdockTableHandler config = { .ctx = gateway,
                                 .begin = config_begin,
                                 .row = config_row,
                                 .end = config_end,
                                 .reachable = config_reachable };
  BurdockTableHandler upstreams = { .ctx = gateway,
                                    .begin = upstream_begin,
                                    .row = upstream_row,
                                    .end = upstream_end,
                                    .reachable = upstream_reachable };
  int status = burdock_runtime_init (&control->runtime);

  if (status < 0)
    return status;
  control->upstreams = apr_hash_make (burdock_loop_pool (control->runtime.loop));
  control->store = (BurdockStoreClient){ .loop = control->runtime.loop,
                                         .client = control->runtime.client,
                                         .random_ctx = &control->runtime,
                                         .random = random_value };
  control->store.url = gateway->settings.store_url;
  control->config_watch =
      burdock_table_watch_new (&control->store, BURDOCK_PLATFORM_CONFIG_TABLE, &config);
  control->upstream_watch =
      burdock_table_watch_new (&control->store, BURDOCK_PLATFORM_UPSTREAM_TABLE,
                               &upstreams);
  burdock_loop_add_hook (control->runtime.loop, control_hook, gateway);
  return 0;
}

void
burdock_gateway_control_clear (BurdockGateway *gateway)
{
  BurdockGatewayControl *control = &gateway->control;

  burdock_table_watch_free (control->config_watch);
  burdock_table_watch_free (control->upstream_watch);
  for (apr_hash_index_t *at = apr_hash_first (NULL, control->upstreams); at != NULL;
       at = apr_hash_next (at))
    free (apr_hash_this_val (at));
  burdock_runtime_clear (&control->runtime);
}
