#include "route-table.h"

#include <apr_strings.h>
#include <string.h>

/* Size of the lookup key of host, separator and path; longer ones match no route. */
#define LOOKUP_BYTES_MAX 2048

BurdockRouteTable *
burdock_route_table_new (uint64_t version)
{
  apr_pool_t *memory;
  BurdockRouteTable *table;

  if (apr_pool_create (&memory, NULL) != APR_SUCCESS)
    return NULL;
  table = apr_pcalloc (memory, sizeof *table);
  table->memory = memory;
  table->references = 1;
  table->version = version;
  table->routes = apr_hash_make (memory);
  table->api_keys = apr_hash_make (memory);
  table->pools = apr_hash_make (memory);
  return table;
}

BurdockRouteTable *
burdock_route_table_ref (BurdockRouteTable *table)
{
  table->references++;
  return table;
}

void
burdock_route_table_unref (BurdockRouteTable *table)
{
  if (table != NULL && --table->references == 0)
    apr_pool_destroy (table->memory);
}

BurdockPool *
burdock_route_table_add_pool (BurdockRouteTable *table, const char *name)
{
  BurdockPool *pool = apr_hash_get (table->pools, name, APR_HASH_KEY_STRING);

  if (pool != NULL)
    return pool;
  pool = apr_pcalloc (table->memory, sizeof *pool);
  pool->name = apr_pstrdup (table->memory, name);
  apr_hash_set (table->pools, pool->name, APR_HASH_KEY_STRING, pool);
  return pool;
}

/* The key is host and prefix, separated by a byte that neither contains. */
void
burdock_route_table_add_route (BurdockRouteTable *table, const BurdockRoute *route)
{
  const char *key =
      apr_pstrcat (table->memory, route->host, "\n", route->prefix, (char *)NULL);
  BurdockRoute *copy = apr_pmemdup (table->memory, route, sizeof *route);

  apr_hash_set (table->routes, key, APR_HASH_KEY_STRING, copy);
}

void
burdock_route_table_add_api_key (BurdockRouteTable *table, const char *key,
                                 const BurdockWorkspaceEntry *workspace)
{
  apr_hash_set (table->api_keys, key, APR_HASH_KEY_STRING, workspace);
}

const BurdockRoute *
burdock_route_table_find (const BurdockRouteTable *table, const char *host,
                          const char *path)
{
  char key[LOOKUP_BYTES_MAX];
  size_t host_bytes = strcspn (host, ":");
  size_t path_bytes = strcspn (path, "?");

  if (host_bytes + 1 + path_bytes >= sizeof key)
    return NULL;
  memcpy (key, host, host_bytes);
  key[host_bytes] = '\n';
  memcpy (key + host_bytes + 1, path, path_bytes);
  for (size_t length = path_bytes; length > 0; length--) {
    const BurdockRoute *route;

    if (path[length - 1] != '/')
      continue;
    route = apr_hash_get (table->routes, key, (apr_ssize_t)(host_bytes + 1 + length));
    if (route != NULL)
      return route;
  }
  return NULL;
}

const BurdockWorkspaceEntry *
burdock_route_table_find_workspace (const BurdockRouteTable *table, const char *key)
{
  return apr_hash_get (table->api_keys, key, APR_HASH_KEY_STRING);
}

const BurdockPool *
burdock_route_pick_pool (const BurdockRoute *route, uint64_t random)
{
  uint64_t total = 0;
  uint64_t at;

  for (uint32_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return route->target_count > 0 ? route->targets[0].pool : NULL;
  at = random % total;
  for (uint32_t i = 0; i < route->target_count; i++) {
    if (at < route->targets[i].weight)
      return route->targets[i].pool;
    at -= route->targets[i].weight;
  }
  return NULL;
}
