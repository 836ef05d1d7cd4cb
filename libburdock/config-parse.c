#include "config-internal.h"

#include "error.h"
#include "expert-map.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* 2^53: JSON parsers that store numbers as doubles round larger integers. */
#define MAX_EXACT_INTEGER (UINT64_C (1) << 53)
#define MAX_RUNNING 1000000
#define MAX_QUEUE 1000000
#define MAX_EXPERTS 4096
#define MAX_WEIGHT 1000000
#define MIN_REBALANCE_MS 100
#define MAX_REBALANCE_MS 3600000

/* An expert map has two bytes for each expert copy and must fit in a frame together with
 * the message header. */
#define MAX_MAP_COPIES 500000

#define COUNT(table) ((uint32_t)(sizeof (table) / sizeof ((table)[0])))

static const char *const pool_kinds[] = { "model", "service", NULL };

static const BurdockField model_table[] = {
  { "versions", BURDOCK_FIELD_NAMES, true, offsetof (BurdockModel, versions),
    offsetof (BurdockModel, version_count), 0, 0, NULL },
  { "adapters", BURDOCK_FIELD_NAMES, false, offsetof (BurdockModel, adapters),
    offsetof (BurdockModel, adapter_count), 0, 0, NULL },
  { "weight_bytes", BURDOCK_FIELD_U64, false, offsetof (BurdockModel, weight_bytes), 0, 0,
    MAX_EXACT_INTEGER, NULL },
};

static const BurdockField pool_table[] = {
  { "kind", BURDOCK_FIELD_CHOICE, true, offsetof (BurdockPool, kind), 0,
    BURDOCK_POOL_MODEL, 0, pool_kinds },
  { "models", BURDOCK_FIELD_NAMES, false, offsetof (BurdockPool, models),
    offsetof (BurdockPool, model_count), 0, 0, NULL },
  { "service", BURDOCK_FIELD_NAME, false, offsetof (BurdockPool, service), 0, 0, 0,
    NULL },
  { "running_limit", BURDOCK_FIELD_U32, true, offsetof (BurdockPool, running_limit), 0, 1,
    MAX_RUNNING, NULL },
  { "queue_limit", BURDOCK_FIELD_U32, true, offsetof (BurdockPool, queue_limit), 0, 0,
    MAX_QUEUE, NULL },
  { "checks_fencing", BURDOCK_FIELD_BOOL, false, offsetof (BurdockPool, checks_fencing),
    0, 0, 0, NULL },
};

static const BurdockField group_table[] = {
  { "pool", BURDOCK_FIELD_NAME, true, offsetof (BurdockGroupConfig, pool), 0, 0, 0,
    NULL },
  { "ranks", BURDOCK_FIELD_U32, true, offsetof (BurdockGroupConfig, ranks), 0, 1,
    BURDOCK_MAP_RANKS_MAX, NULL },
  { "layers", BURDOCK_FIELD_U32, true, offsetof (BurdockGroupConfig, layers), 0, 1,
    BURDOCK_MAP_LAYERS_MAX, NULL },
  { "experts", BURDOCK_FIELD_U32, true, offsetof (BurdockGroupConfig, experts), 0, 1,
    MAX_EXPERTS, NULL },
  { "slots_per_rank", BURDOCK_FIELD_U32, true,
    offsetof (BurdockGroupConfig, slots_per_rank), 0, 1, BURDOCK_MAP_SLOTS_MAX, NULL },
  { "skew_weight", BURDOCK_FIELD_REAL, true, offsetof (BurdockGroupConfig, skew_weight),
    0, 0, MAX_WEIGHT, NULL },
  { "cost_weight", BURDOCK_FIELD_REAL, true, offsetof (BurdockGroupConfig, cost_weight),
    0, 0, MAX_WEIGHT, NULL },
  { "expert_bytes", BURDOCK_FIELD_U64, true, offsetof (BurdockGroupConfig, expert_bytes),
    0, 1, MAX_EXACT_INTEGER, NULL },
  { "rebalance_interval_ms", BURDOCK_FIELD_U32, true,
    offsetof (BurdockGroupConfig, rebalance_interval_ms), 0, MIN_REBALANCE_MS,
    MAX_REBALANCE_MS, NULL },
};

/* Top level of the file; NULL for sections that are not given. */
typedef struct {
  char franchise[BURDOCK_NAME_BYTES];
  const BurdockNode *defaults;
  const BurdockNode *models;
  const BurdockNode *pools;
  const BurdockNode *groups;
  const BurdockNode *workspaces;
} RootNodes;

static const BurdockField section_table[] = {
  { "franchise", BURDOCK_FIELD_NAME, true, offsetof (RootNodes, franchise), 0, 0, 0,
    NULL },
  { "defaults", BURDOCK_FIELD_NODE, false, offsetof (RootNodes, defaults), 0, 0, 0,
    NULL },
  { "models", BURDOCK_FIELD_NODE, false, offsetof (RootNodes, models), 0, 0, 0, NULL },
  { "pools", BURDOCK_FIELD_NODE, true, offsetof (RootNodes, pools), 0, 0, 0, NULL },
  { "groups", BURDOCK_FIELD_NODE, false, offsetof (RootNodes, groups), 0, 0, 0, NULL },
  { "workspaces", BURDOCK_FIELD_NODE, true, offsetof (RootNodes, workspaces), 0, 0, 0,
    NULL },
};

/**
 * struct SectionSpec - section of the file that maps names to structs of one type
 * @item_bytes: size of the struct, whose first member is the name
 * @check: checks an item against the sections that were read before; may be NULL
 */
typedef struct {
  const char *key;
  size_t item_bytes;
  const BurdockField *table;
  uint32_t field_count;
  int (*check) (const BurdockConfigParser *parser, const BurdockNode *node, void *item);
} SectionSpec;

static int
read_section (const BurdockConfigParser *parser, const BurdockNode *node,
              const SectionSpec *section, void **items, uint32_t *count)
{
  uint8_t *item;
  int status;

  if (node == NULL)
    return 0;
  status = burdock_config_check_kind (parser, node, section->key, BURDOCK_NODE_MAP);
  if (status < 0)
    return status;
  *items = burdock_config_alloc (parser->config, node->count / 2, section->item_bytes);
  item = *items;
  for (uint32_t i = 0; i + 1 < node->count; i += 2, item += section->item_bytes) {
    const BurdockNode *name = &node->items[i];
    const BurdockNode *value = &node->items[i + 1];

    status = burdock_config_check_name (parser, name, section->key);
    if (status < 0)
      return status;
    burdock_copy_name ((char *)item, BURDOCK_NAME_BYTES, name->text);
    status = burdock_config_read_fields (parser, value, name->text, section->table,
                                         section->field_count, item);
    if (status == 0 && section->check != NULL)
      status = section->check (parser, value, item);
    if (status < 0)
      return status;
    ++*count;
  }
  return 0;
}

static int
check_pool_models (const BurdockConfigParser *parser, const BurdockNode *node,
                   const BurdockPool *pool)
{
  if (pool->service[0] != '\0')
    return burdock_config_error (parser->diagnostics, node->line, "service",
                                 pool->service,
                                 "pool \"%.40s\" has kind model; allowed: models",
                                 pool->name);
  if (pool->model_count == 0)
    return burdock_config_error (parser->diagnostics, node->line, pool->name, NULL,
                                 "a pool of kind model must name at least one model");
  for (uint32_t i = 0; i < pool->model_count; i++) {
    if (burdock_config_model (parser->config, pool->models[i]) == NULL)
      return burdock_config_error (parser->diagnostics, node->line, "models",
                                   pool->models[i],
                                   "no such model in the section models");
  }
  return 0;
}

static int
check_pool (const BurdockConfigParser *parser, const BurdockNode *node, void *item)
{
  const BurdockPool *pool = item;
  const BurdockConfig *config = parser->config;

  if (pool->kind == BURDOCK_POOL_MODEL)
    return check_pool_models (parser, node, pool);
  if (pool->service[0] == '\0')
    return burdock_config_error (parser->diagnostics, node->line, pool->name, NULL,
                                 "a pool of kind service must name its service");
  if (pool->model_count > 0)
    return burdock_config_error (parser->diagnostics, node->line, "models",
                                 pool->models[0],
                                 "pool \"%.40s\" has kind service; allowed: service",
                                 pool->name);
  if (burdock_config_pool_for_service (config, pool->service) != NULL)
    return burdock_config_error (parser->diagnostics, node->line, "service",
                                 pool->service,
                                 "another pool already provides this service");
  return 0;
}

static int
check_group (const BurdockConfigParser *parser, const BurdockNode *node, void *item)
{
  const BurdockGroupConfig *group = item;
  const BurdockPool *pool = burdock_config_pool (parser->config, group->pool);
  uint64_t slots = (uint64_t)group->ranks * group->slots_per_rank;

  if (pool == NULL || pool->kind != BURDOCK_POOL_MODEL)
    return burdock_config_error (parser->diagnostics, node->line, "pool", group->pool,
                                 "allowed: a pool of kind model");
  if (slots < group->experts)
    return burdock_config_error (parser->diagnostics, node->line, group->name, NULL,
                                 "%u ranks with %u slots each cannot hold %u experts",
                                 group->ranks, group->slots_per_rank, group->experts);
  if (slots * group->layers > MAX_MAP_COPIES)
    return burdock_config_error (parser->diagnostics, node->line, group->name, NULL,
                                 "layers, ranks and slots_per_rank give %" PRIu64
                                 " expert copies; allowed: at most %u",
                                 slots * group->layers, MAX_MAP_COPIES);
  return 0;
}

static const SectionSpec model_section = { "models", sizeof (BurdockModel), model_table,
                                           COUNT (model_table), NULL };
static const SectionSpec pool_section = { "pools", sizeof (BurdockPool), pool_table,
                                          COUNT (pool_table), check_pool };
static const SectionSpec group_section = { "groups", sizeof (BurdockGroupConfig),
                                           group_table, COUNT (group_table),
                                           check_group };

static int
read_root (const BurdockConfigParser *parser, const BurdockNode *root)
{
  BurdockConfig *config = parser->config;
  RootNodes sections = { .defaults = NULL };
  int status = burdock_config_read_fields (parser, root, "franchise", section_table,
                                           COUNT (section_table), &sections);

  if (status < 0)
    return status;
  burdock_copy_name (config->franchise, sizeof config->franchise, sections.franchise);
  status = read_section (parser, sections.models, &model_section,
                         (void **)&config->models, &config->model_count);
  if (status == 0)
    status = read_section (parser, sections.pools, &pool_section, (void **)&config->pools,
                           &config->pool_count);
  if (status == 0)
    status = read_section (parser, sections.groups, &group_section,
                           (void **)&config->groups, &config->group_count);
  if (status == 0)
    status = burdock_config_resolve (parser, sections.defaults, sections.workspaces);
  return status;
}

int
burdock_config_parse (const char *file, BurdockBytes text, BurdockConfig **out,
                      BurdockError *error)
{
  BurdockConfigDiagnostics diagnostics = { .file = file, .error = error };
  BurdockConfigParser parser = { .diagnostics = &diagnostics };
  BurdockNode root;
  int status = burdock_config_tree_read (&diagnostics, text, &root);

  *out = NULL;
  if (status == 0) {
    parser.config = calloc (1, sizeof *parser.config);
    parser.config->references = 1;
    status = read_root (&parser, &root);
  }
  burdock_config_tree_clear (&root);
  if (status < 0)
    burdock_config_unref (parser.config);
  else
    *out = parser.config;
  return status;
}
