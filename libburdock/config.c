#include "config-internal.h"

#include <stdlib.h>
#include <string.h>

/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_OFFSET UINT64_C (14695981039346656037)
#define FNV_PRIME UINT64_C (1099511628211)

void *
burdock_config_alloc (BurdockConfig *config, size_t count, size_t size_bytes)
{
  BurdockConfigAllocation *allocation =
      calloc (1, sizeof *allocation + count * size_bytes);

  allocation->next = config->allocations;
  config->allocations = allocation;
  return allocation->data;
}

BurdockConfig *
burdock_config_ref (BurdockConfig *config)
{
  __atomic_add_fetch (&config->references, 1, __ATOMIC_RELAXED);
  return config;
}

void
burdock_config_unref (BurdockConfig *config)
{
  if (config == NULL || __atomic_sub_fetch (&config->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  for (BurdockConfigAllocation *allocation = config->allocations; allocation != NULL;) {
    BurdockConfigAllocation *next = allocation->next;

    free (allocation);
    allocation = next;
  }
  free (config);
}

bool
burdock_names_contain (const char (*names)[BURDOCK_NAME_BYTES], uint32_t count,
                       const char *name)
{
  for (uint32_t i = 0; i < count; i++) {
    if (strcmp (names[i], name) == 0)
      return true;
  }
  return false;
}

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)*text) * FNV_PRIME;
  return hash;
}

static uint64_t
hash_scope (const char *workspace, const char *branch)
{
  uint64_t hash = hash_text (FNV_OFFSET, workspace);

  /* Names cannot contain "/", so the separator keeps "ab" + "c" and "a" + "bc" apart. */
  hash = hash_text (hash_text (hash, "/"), branch);
  return hash ^ (hash >> 32);
}

void
burdock_config_build_index (BurdockConfig *config)
{
  for (uint32_t i = 0; i < config->effective_count; i++) {
    const BurdockEffectiveSettings *effective = &config->effective[i];
    uint64_t slot = hash_scope (effective->workspace, effective->branch);

    while (config->slots[slot & config->slot_mask] != 0)
      slot++;
    config->slots[slot & config->slot_mask] = i + 1;
  }
}

const BurdockScope *
burdock_config_scope (const BurdockConfig *config, const char *workspace,
                      const char *branch)
{
  uint64_t slot = hash_scope (workspace, branch);

  if (config->effective_count == 0)
    return NULL;
  for (; config->slots[slot & config->slot_mask] != 0; slot++) {
    const BurdockScope *scope =
        &config->scopes[config->slots[slot & config->slot_mask] - 1];

    if (strcmp (scope->effective->workspace, workspace) == 0 &&
        strcmp (scope->effective->branch, branch) == 0)
      return scope;
  }
  return NULL;
}

const BurdockEffectiveSettings *
burdock_config_effective (const BurdockConfig *config, const char *workspace,
                          const char *branch)
{
  const BurdockScope *scope = burdock_config_scope (config, workspace, branch);

  return scope != NULL ? scope->effective : NULL;
}

const char *
burdock_config_franchise (const BurdockConfig *config)
{
  return config->franchise;
}

const BurdockModel *
burdock_config_models (const BurdockConfig *config, uint32_t *count)
{
  *count = config->model_count;
  return config->models;
}

const BurdockPool *
burdock_config_pools (const BurdockConfig *config, uint32_t *count)
{
  *count = config->pool_count;
  return config->pools;
}

const BurdockGroupConfig *
burdock_config_groups (const BurdockConfig *config, uint32_t *count)
{
  *count = config->group_count;
  return config->groups;
}

const BurdockEffectiveSettings *
burdock_config_workspaces (const BurdockConfig *config, uint32_t *count)
{
  *count = config->workspace_count;
  return config->effective;
}

const BurdockModel *
burdock_config_model (const BurdockConfig *config, const char *name)
{
  for (uint32_t i = 0; i < config->model_count; i++) {
    if (strcmp (config->models[i].name, name) == 0)
      return &config->models[i];
  }
  return NULL;
}

const BurdockPool *
burdock_config_pool (const BurdockConfig *config, const char *name)
{
  for (uint32_t i = 0; i < config->pool_count; i++) {
    if (strcmp (config->pools[i].name, name) == 0)
      return &config->pools[i];
  }
  return NULL;
}

const BurdockPool *
burdock_config_pool_for_model (const BurdockConfig *config, const char *model)
{
  for (uint32_t i = 0; i < config->pool_count; i++) {
    const BurdockPool *pool = &config->pools[i];

    if (burdock_names_contain ((const char (*)[BURDOCK_NAME_BYTES])pool->models,
                               pool->model_count, model))
      return pool;
  }
  return NULL;
}

const BurdockPool *
burdock_config_pool_for_service (const BurdockConfig *config, const char *service)
{
  for (uint32_t i = 0; i < config->pool_count; i++) {
    const BurdockPool *pool = &config->pools[i];

    if (pool->kind == BURDOCK_POOL_SERVICE && strcmp (pool->service, service) == 0)
      return pool;
  }
  return NULL;
}

const BurdockGroupConfig *
burdock_config_group (const BurdockConfig *config, const char *name)
{
  for (uint32_t i = 0; i < config->group_count; i++) {
    if (strcmp (config->groups[i].name, name) == 0)
      return &config->groups[i];
  }
  return NULL;
}
