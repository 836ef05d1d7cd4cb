#include "route-table.h"

#include <apr_strings.h>
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

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
  randombytes_buf (table->secret, sizeof table->secret);
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

/* Hosts are compared without regard to case. */
static void
copy_host (char *out, const char *host, size_t host_bytes)
{
  for (size_t i = 0; i < host_bytes; i++)
    out[i] = (char)tolower ((unsigned char)host[i]);
}

/* The key is host and prefix, separated by a byte that neither contains. */
void
burdock_route_table_add_route (BurdockRouteTable *table, const BurdockRoute *route)
{
  char *key = apr_pstrcat (table->memory, route->host, "\n", route->prefix, (char *)NULL);
  BurdockRoute *copy = apr_pmemdup (table->memory, route, sizeof *route);
  size_t host_bytes = strlen (route->host);
  size_t prefix_bytes = strlen (route->prefix);

  copy_host (key, route->host, host_bytes);
  if (host_bytes > table->host_bytes_max)
    table->host_bytes_max = host_bytes;
  if (prefix_bytes > table->prefix_bytes_max)
    table->prefix_bytes_max = prefix_bytes;
  apr_hash_set (table->routes, key, APR_HASH_KEY_STRING, copy);
}

static void
digest_key (const BurdockRouteTable *table, const char *key,
            uint8_t out[crypto_generichash_BYTES])
{
  crypto_generichash (out, crypto_generichash_BYTES, (const uint8_t *)key, strlen (key),
                      table->secret, sizeof table->secret);
}

void
burdock_route_table_add_api_key (BurdockRouteTable *table, const char *key,
                                 const BurdockWorkspaceEntry *workspace)
{
  uint8_t *digest = apr_palloc (table->memory, crypto_generichash_BYTES);

  digest_key (table, key, digest);
  apr_hash_set (table->api_keys, digest, crypto_generichash_BYTES, workspace);
}

/* Looks for the longest prefix, of at most @path_bytes; @key begins with the host. */
static const BurdockRoute *
find_prefix (const BurdockRouteTable *table, char *key, size_t host_bytes,
             const char *path, size_t path_bytes)
{
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

const BurdockRoute *
burdock_route_table_find (const BurdockRouteTable *table, const char *host,
                          const char *path)
{
  size_t host_bytes = strcspn (host, ":");
  size_t path_bytes = strcspn (path, "?");
  const BurdockRoute *route;
  char *key;

  if (host_bytes > table->host_bytes_max)
    return NULL;
  /* What is longer than all prefixes does not tell them apart. */
  if (path_bytes > table->prefix_bytes_max)
    path_bytes = table->prefix_bytes_max;
  key = malloc (host_bytes + 1 + path_bytes);
  if (key == NULL)
    abort ();
  copy_host (key, host, host_bytes);
  route = find_prefix (table, key, host_bytes, path, path_bytes);
  free (key);
  return route;
}

const BurdockWorkspaceEntry *
burdock_route_table_find_workspace (const BurdockRouteTable *table, const char *key)
{
  uint8_t digest[crypto_generichash_BYTES];

  digest_key (table, key, digest);
  return apr_hash_get (table->api_keys, digest, sizeof digest);
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
