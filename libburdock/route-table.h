/**
 * DOC: route-table.h - routes, workspaces and pools of one generation of the
 * configuration
 *
 * The decoder fills a table; from then on the table is immutable. All of its memory is in
 * the APR pool @memory. A table is used by one thread at a time.
 */
#ifndef BURDOCK_ROUTE_TABLE_H
#define BURDOCK_ROUTE_TABLE_H

#include "burdock.h"

#include <apr_hash.h>
#include <apr_pools.h>

/** enum BurdockRouteKind - whether requests may be retried, and the form of the answer */
typedef enum {
  BURDOCK_ROUTE_IDEMPOTENT = 1,
  BURDOCK_ROUTE_NON_IDEMPOTENT, /* runs at most once */
  BURDOCK_ROUTE_STREAM,         /* answered by a stream of server-sent events */
} BurdockRouteKind;

/**
 * struct BurdockEngineShape - dimensions of the expert maps of a pool
 * @layers: number of layers, 0 for plain services
 * @experts: number of experts of a layer
 * @slots: copies of experts that a rank can hold in a layer
 * @loads_max: copies of a layer that one new map may add to a rank
 * @expert_copy_us: time in which a rank loads one expert
 */
typedef struct {
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t loads_max;
  uint32_t expert_copy_us;
} BurdockEngineShape;

/**
 * struct BurdockPool - upstreams that serve the same requests
 * @cold_start_ms: time for which an upstream is cold after its start, 0 if it never is
 * @cold_per_s: requests per second that a cold upstream takes, 0 for no limit
 */
typedef struct {
  const char *name;
  BurdockEngineShape shape;
  uint32_t cold_start_ms;
  double cold_per_s;
} BurdockPool;

/**
 * struct BurdockRouteTarget - pool that serves a part of the requests of a route
 * @weight: part of the requests, relative to the sum of the weights of the route
 */
typedef struct {
  const BurdockPool *pool;
  uint32_t weight;
} BurdockRouteTarget;

/**
 * struct BurdockRoute - how requests to a host and path prefix are handled
 * @host: host without a port
 * @prefix: path prefix, ends in "/"
 * @open_access: requests need no API key
 * @resumable: a broken stream may be resumed at another upstream
 * @timeout_ms: time limit for the complete answer
 * @objective_ms: latency objective for the answer, or for the first event of a stream
 * @pause_ms: latency objective for the time between two events of a stream, 0 for none
 * @patience_ms: callers leave a stream if no event has come for this time, 0 if they stay
 *   until their deadline
 * @priority: 0 is the highest priority
 * @attempts_max: number of upstreams that may execute the same request
 */
typedef struct {
  const char *name;
  const char *host;
  const char *prefix;
  BurdockRouteKind kind;
  bool open_access;
  bool resumable;
  uint32_t timeout_ms;
  uint32_t objective_ms;
  uint32_t pause_ms;
  uint32_t patience_ms;
  uint32_t priority;
  uint32_t attempts_max;
  uint32_t target_count;
  BurdockRouteTarget *targets;
} BurdockRoute;

/**
 * struct BurdockWorkspaceEntry - workspace that an API key belongs to
 * @priority: overrides the priority of the route if @has_priority
 */
typedef struct {
  const char *name;
  bool has_priority;
  uint32_t priority;
} BurdockWorkspaceEntry;

/**
 * struct BurdockRouteTable - routes, API keys and pools of one generation
 * @memory: APR pool that holds the table and everything in it
 * @version: number that the operator gave the configuration
 * @era: era of the store in which the configuration was read
 * @text: the configuration as it is stored
 * @has_workspaces: whether workspaces are configured; if not, no API key is required
 * @body_bytes_max: largest request body
 * @routes: &BurdockRoute by host and prefix
 * @host_bytes_max: length of the longest host
 * @prefix_bytes_max: length of the longest prefix
 * @secret: key of the digests in @api_keys
 * @api_keys: &BurdockWorkspaceEntry by the digest of an API key
 * @pools: &BurdockPool by name
 */
typedef struct {
  apr_pool_t *memory;
  uint32_t references;
  uint64_t version;
  uint64_t era;
  BurdockBytes text;
  bool has_workspaces;
  uint32_t body_bytes_max;
  uint32_t idle_timeout_ms;
  apr_hash_t *routes;
  size_t host_bytes_max;
  size_t prefix_bytes_max;
  uint8_t secret[BURDOCK_KEY_BYTES];
  apr_hash_t *api_keys;
  apr_hash_t *pools;
} BurdockRouteTable;

/** burdock_route_table_new() - empty table with one reference, or NULL if the APR pool
 * cannot be created */
BurdockRouteTable *burdock_route_table_new (uint64_t version);
BurdockRouteTable *burdock_route_table_ref (BurdockRouteTable *table);

/** burdock_route_table_unref() - drops a reference, the last one frees; accepts NULL */
void burdock_route_table_unref (BurdockRouteTable *table);

/** burdock_route_table_add_pool() - returns the pool @name, created if it does not exist
 */
BurdockPool *burdock_route_table_add_pool (BurdockRouteTable *table, const char *name);

/**
 * burdock_route_table_add_route() - adds a copy of @route
 * Strings and targets are not copied; they must live as long as the table, for example in
 * its @memory. A route with the same host and prefix is replaced.
 */
void burdock_route_table_add_route (BurdockRouteTable *table, const BurdockRoute *route);

/**
 * burdock_route_table_add_api_key() - adds an API key of @workspace
 * @workspace: not copied; must live as long as the table
 */
void burdock_route_table_add_api_key (BurdockRouteTable *table, const char *key,
                                      const BurdockWorkspaceEntry *workspace);

/**
 * burdock_route_table_find() - route with the longest prefix of @path
 * @host: host of the request, in any case; a port is ignored
 * @path: path of the request, of any length; a query string is ignored
 * Returns NULL if no route matches.
 */
const BurdockRoute *burdock_route_table_find (const BurdockRouteTable *table,
                                              const char *host, const char *path);

/**
 * burdock_route_table_find_workspace() - workspace of the API key @key, or NULL
 *
 * Keys are compared whole, by digests that only this table can compute, so that the time
 * of a search tells nothing of its keys.
 */
const BurdockWorkspaceEntry *
burdock_route_table_find_workspace (const BurdockRouteTable *table, const char *key);

/**
 * burdock_route_pick_pool() - chooses a pool for one request, by the weights
 * @random: uniformly distributed over all 64-bit values
 * Returns NULL if the route has no target.
 */
const BurdockPool *burdock_route_pick_pool (const BurdockRoute *route, uint64_t random);

#endif
