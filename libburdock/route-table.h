/**
 * DOC: route-table.h - routes, workspaces and pools of one generation of the
 * configuration
 *
 * A table is filled by its decoder, sealed once and immutable from then on. All memory
 * belongs to the pool of the table. It is used by one thread at a time.
 */
#ifndef BURDOCK_ROUTE_TABLE_H
#define BURDOCK_ROUTE_TABLE_H

#include "burdock.h"

#include <apr_hash.h>
#include <apr_pools.h>

/** enum BurdockRouteKind - what may be repeated, and the form of the answer */
typedef enum {
  BURDOCK_ROUTE_IDEMPOTENT = 1,
  BURDOCK_ROUTE_ONCE,   /* runs at most once */
  BURDOCK_ROUTE_STREAM, /* answered by a stream of events */
} BurdockRouteKind;

/**
 * struct BurdockEngineShape - expert maps of a pool; @layers is 0 for plain services
 * @slots: copies of experts that a rank can hold in a layer
 * @loads_max: copies of a layer that one new map may add to a rank
 * @copy_us: time in which a rank loads one expert
 */
typedef struct {
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t loads_max;
  uint32_t copy_us;
} BurdockEngineShape;

typedef struct {
  const char *name;
  BurdockEngineShape shape;
} BurdockPool;

/** struct BurdockRouteTarget - pool with its share of the requests of a route */
typedef struct {
  const BurdockPool *pool;
  uint32_t weight;
} BurdockRouteTarget;

/**
 * struct BurdockRoute - requests whose path begins with @prefix
 * @open_access: needs no key
 * @resumable: a broken stream may be continued at another upstream
 * @timeout_ms: longest time to a final answer
 * @objective_ms: time to the answer, or to the first event of a stream
 * @pause_ms: longest pause between events that is still on time, 0 for none
 * @priority: 0 is the most urgent
 * @attempts_max: upstreams that may run one request
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
  uint32_t priority;
  uint32_t attempts_max;
  uint32_t target_count;
  BurdockRouteTarget *targets;
} BurdockRoute;

/** struct BurdockWorkspaceEntry - @priority replaces that of the route if it is set */
typedef struct {
  const char *name;
  bool has_priority;
  uint32_t priority;
} BurdockWorkspaceEntry;

/** struct BurdockRouteTable - @has_workspaces is false where no keys are asked for */
typedef struct {
  apr_pool_t *memory;
  uint32_t references;
  uint64_t version;
  bool has_workspaces;
  uint32_t body_bytes_max;
  uint32_t idle_timeout_ms;
  apr_hash_t *routes;
  apr_hash_t *keys;
  apr_hash_t *pools;
} BurdockRouteTable;

/** burdock_route_table_new() - empty table with one reference; NULL without memory */
BurdockRouteTable *burdock_route_table_new (uint64_t version);
BurdockRouteTable *burdock_route_table_ref (BurdockRouteTable *table);
void burdock_route_table_unref (BurdockRouteTable *table);

/** burdock_route_table_add_pool() - pool named @name, made if it is new */
BurdockPool *burdock_route_table_add_pool (BurdockRouteTable *table, const char *name);

/** burdock_route_table_add_route() - copies @route; its texts are in the table's pool */
void burdock_route_table_add_route (BurdockRouteTable *table, const BurdockRoute *route);

/** burdock_route_table_add_key() - a key of a workspace; texts are in the table's pool */
void burdock_route_table_add_key (BurdockRouteTable *table, const char *key,
                                  const BurdockWorkspaceEntry *workspace);

/** burdock_route_table_find() - route with the longest prefix of @path, or NULL */
const BurdockRoute *burdock_route_table_find (const BurdockRouteTable *table,
                                              const char *host, const char *path);

/** burdock_route_table_workspace() - workspace that holds @key, or NULL */
const BurdockWorkspaceEntry *
burdock_route_table_workspace (const BurdockRouteTable *table, const char *key);

/** burdock_route_pick() - pool for one request; @random is uniform over all values */
const BurdockPool *burdock_route_pick (const BurdockRoute *route, uint64_t random);

#endif
