#include "config-internal.h"

#include "error.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_RUNNING_LIMIT 64
#define DEFAULT_DEADLINE_MS 30000
#define MAX_RUNNING 1000000
#define MAX_DEADLINE_MS 3600000
#define MAX_GRANTS 1000

#define ANY_ADAPTER "*"

const char *const burdock_setting_names[BURDOCK_SETTING_COUNT] = {
  "priority", "running_limit", "deadline_ms", "models", "services",
};

const char *const burdock_priority_names[BURDOCK_PRIORITY_COUNT + 1] = { "low", "normal",
                                                                         "high", NULL };

static const BurdockField priority_field = {
  .key = "priority",
  .kind = BURDOCK_FIELD_CHOICE,
  .offset = offsetof (BurdockEffectiveSettings, priority),
  .choices = burdock_priority_names,
};

static const BurdockField running_field = {
  .key = "running_limit",
  .kind = BURDOCK_FIELD_U32,
  .offset = offsetof (BurdockEffectiveSettings, running_limit),
  .maximum = MAX_RUNNING,
};

static const BurdockField deadline_field = {
  .key = "deadline_ms",
  .kind = BURDOCK_FIELD_U32,
  .offset = offsetof (BurdockEffectiveSettings, deadline_ms),
  .minimum = 1,
  .maximum = MAX_DEADLINE_MS,
};

static const BurdockField services_field = {
  .key = "services",
  .kind = BURDOCK_FIELD_NAMES,
  .offset = offsetof (BurdockEffectiveSettings, services),
  .count_offset = offsetof (BurdockEffectiveSettings, service_count),
};

/* Unparsed settings of one level; NULL for those that the file does not give. */
typedef struct {
  const BurdockNode *settings[BURDOCK_SETTING_COUNT];
  const BurdockNode *branches;
} Overrides;

#define SETTING(name, index)                                                             \
  {                                                                                      \
    .key = (name), .kind = BURDOCK_FIELD_NODE,                                           \
    .offset = offsetof (Overrides, settings) + (index) * sizeof (BurdockNode *)          \
  }

/* Key "branches" comes last, so that it can be left out for defaults and branches, which
 * must not contain it. */
static const BurdockField override_table[] = {
  SETTING ("priority", BURDOCK_SETTING_PRIORITY),
  SETTING ("running_limit", BURDOCK_SETTING_RUNNING_LIMIT),
  SETTING ("deadline_ms", BURDOCK_SETTING_DEADLINE_MS),
  SETTING ("models", BURDOCK_SETTING_MODELS),
  SETTING ("services", BURDOCK_SETTING_SERVICES),
  { .key = "branches",
    .kind = BURDOCK_FIELD_NODE,
    .offset = offsetof (Overrides, branches) },
};

/* Element of a models list; it becomes one or more grants. */
typedef struct {
  char model[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  const BurdockNode *adapters;
} GrantItem;

static const BurdockField grant_table[] = {
  { .key = "model",
    .kind = BURDOCK_FIELD_NAME,
    .required = true,
    .offset = offsetof (GrantItem, model) },
  { .key = "version",
    .kind = BURDOCK_FIELD_NAME,
    .required = true,
    .offset = offsetof (GrantItem, version) },
  { .key = "adapters",
    .kind = BURDOCK_FIELD_NODE,
    .offset = offsetof (GrantItem, adapters) },
};

static int
check_grant (const BurdockConfigParser *parser, const BurdockNode *node,
             const GrantItem *item)
{
  const BurdockModel *model = burdock_config_model (parser->config, item->model);

  if (model == NULL)
    return burdock_config_error (parser->diagnostics, node->line, "model", item->model,
                                 "no such model in the section models");
  if (!burdock_names_contain ((const char (*)[BURDOCK_NAME_BYTES])model->versions,
                              model->version_count, item->version))
    return burdock_config_error (parser->diagnostics, node->line, "version",
                                 item->version, "allowed: a version of model \"%s\"",
                                 item->model);
  if (burdock_config_pool_for_model (parser->config, item->model) == NULL)
    return burdock_config_error (parser->diagnostics, node->line, "model", item->model,
                                 "no pool serves this model");
  return 0;
}

static int
check_adapter (const BurdockConfigParser *parser, const BurdockNode *node,
               const char *model_name)
{
  const BurdockModel *model = burdock_config_model (parser->config, model_name);
  int status = burdock_config_check_kind (parser, node, "adapters", BURDOCK_NODE_SCALAR);

  if (status < 0 || strcmp (node->text, ANY_ADAPTER) == 0)
    return status;
  if (burdock_names_contain ((const char (*)[BURDOCK_NAME_BYTES])model->adapters,
                             model->adapter_count, node->text))
    return 0;
  return burdock_config_error (parser->diagnostics, node->line, "adapters", node->text,
                               "allowed: \"*\" or an adapter of model \"%s\"",
                               model_name);
}

/* Appends a grant without adapter and one for each listed adapter to @grants, an array
 * of MAX_GRANTS. */
static int
read_grant (const BurdockConfigParser *parser, const BurdockNode *node,
            BurdockGrant *grants, uint32_t *count)
{
  GrantItem item = { .adapters = NULL };
  uint32_t adapters = 0;
  int status =
      burdock_config_read_fields (parser, node, "models", grant_table,
                                  sizeof grant_table / sizeof grant_table[0], &item);

  if (status == 0)
    status = check_grant (parser, node, &item);
  if (status == 0 && item.adapters != NULL) {
    status =
        burdock_config_check_kind (parser, item.adapters, "adapters", BURDOCK_NODE_LIST);
    adapters = item.adapters->count;
  }
  for (uint32_t i = 0; status == 0 && i <= adapters && *count < MAX_GRANTS; i++) {
    BurdockGrant *grant = &grants[*count];

    burdock_copy_name (grant->model, sizeof grant->model, item.model);
    burdock_copy_name (grant->version, sizeof grant->version, item.version);
    if (i > 0) {
      status = check_adapter (parser, &item.adapters->items[i - 1], item.model);
      if (status == 0)
        burdock_copy_name (grant->adapter, sizeof grant->adapter,
                           item.adapters->items[i - 1].text);
    }
    ++*count;
  }
  if (status == 0 && *count == MAX_GRANTS)
    return burdock_config_error (parser->diagnostics, node->line, "models", NULL,
                                 "the list gives more than %u combinations of model, "
                                 "version and adapter",
                                 MAX_GRANTS - 1);
  return status;
}

static int
read_grants (const BurdockConfigParser *parser, const BurdockNode *node,
             BurdockEffectiveSettings *out)
{
  BurdockGrant *scratch;
  BurdockGrant *grants;
  uint32_t count = 0;
  int status = burdock_config_check_kind (parser, node, "models", BURDOCK_NODE_LIST);

  if (status < 0)
    return status;
  scratch = calloc (MAX_GRANTS, sizeof *scratch);
  for (uint32_t i = 0; status == 0 && i < node->count; i++)
    status = read_grant (parser, &node->items[i], scratch, &count);
  grants = burdock_config_alloc (parser->config, count, sizeof *grants);
  memcpy (grants, scratch, count * sizeof *grants);
  free (scratch);
  out->grants = grants;
  out->grant_count = count;
  return status;
}

static int
read_services (const BurdockConfigParser *parser, const BurdockNode *node,
               BurdockEffectiveSettings *out)
{
  int status = burdock_config_read_value (parser, node, &services_field, out);

  for (uint32_t i = 0; status == 0 && i < out->service_count; i++) {
    if (burdock_config_pool_for_service (parser->config, out->services[i]) == NULL)
      status = burdock_config_error (parser->diagnostics, node->items[i].line, "services",
                                     out->services[i], "no pool provides this service");
  }
  return status;
}

static int
read_setting (const BurdockConfigParser *parser, BurdockSetting setting,
              const BurdockNode *node, BurdockEffectiveSettings *out)
{
  switch (setting) {
  case BURDOCK_SETTING_PRIORITY:
    return burdock_config_read_value (parser, node, &priority_field, out);
  case BURDOCK_SETTING_RUNNING_LIMIT:
    return burdock_config_read_value (parser, node, &running_field, out);
  case BURDOCK_SETTING_DEADLINE_MS:
    return burdock_config_read_value (parser, node, &deadline_field, out);
  case BURDOCK_SETTING_MODELS:
    return read_grants (parser, node, out);
  case BURDOCK_SETTING_SERVICES:
    return read_services (parser, node, out);
  default:
    return -EINVAL;
  }
}

/* Reads map @node into @overrides, replaces the settings of @effective that it gives, and
 * records their level and line in @origins. */
static int
apply_overrides (const BurdockConfigParser *parser, const BurdockNode *node,
                 const char *key, BurdockLevel level, Overrides *overrides,
                 BurdockEffectiveSettings *effective, BurdockSettingOrigins *origins)
{
  uint32_t count = sizeof override_table / sizeof override_table[0];
  int status;

  if (level != BURDOCK_LEVEL_WORKSPACE)
    count--;
  status =
      burdock_config_read_fields (parser, node, key, override_table, count, overrides);
  for (uint32_t i = 0; status == 0 && i < BURDOCK_SETTING_COUNT; i++) {
    const BurdockNode *value = overrides->settings[i];

    if (value == NULL)
      continue;
    origins->levels[i] = level;
    origins->lines[i] = value->line;
    status = read_setting (parser, (BurdockSetting)i, value, effective);
  }
  return status;
}

/* @next_branch is the position of the next branch in the array of effective settings. */
typedef struct {
  const BurdockConfigParser *parser;
  BurdockEffectiveSettings defaults;
  BurdockSettingOrigins default_origins;
  uint32_t next_branch;
} Resolver;

static int
resolve_branch (Resolver *resolver, const BurdockNode *name, const BurdockNode *node,
                uint32_t workspace)
{
  BurdockConfig *config = resolver->parser->config;
  BurdockEffectiveSettings *effective = &config->effective[resolver->next_branch];
  BurdockScope *scope = &config->scopes[resolver->next_branch];
  Overrides overrides = { .branches = NULL };
  int status = burdock_config_check_name (resolver->parser, name, "branches");

  if (status < 0)
    return status;
  *effective = config->effective[workspace];
  *scope = config->scopes[workspace];
  scope->effective = effective;
  scope->line = name->line;
  burdock_copy_name (effective->branch, sizeof effective->branch, name->text);
  resolver->next_branch++;
  return apply_overrides (resolver->parser, node, name->text, BURDOCK_LEVEL_BRANCH,
                          &overrides, effective, &scope->origins);
}

static int
resolve_workspace (Resolver *resolver, const BurdockNode *name, const BurdockNode *node,
                   uint32_t workspace)
{
  const BurdockConfigParser *parser = resolver->parser;
  BurdockEffectiveSettings *effective = &parser->config->effective[workspace];
  BurdockScope *scope = &parser->config->scopes[workspace];
  Overrides overrides = { .branches = NULL };
  int status = burdock_config_check_name (parser, name, "workspaces");

  if (status < 0)
    return status;
  *effective = resolver->defaults;
  *scope = (BurdockScope){ .line = name->line,
                           .origins = resolver->default_origins,
                           .effective = effective };
  burdock_copy_name (effective->workspace, sizeof effective->workspace, name->text);
  effective->workspace_index = workspace;
  status = apply_overrides (parser, node, name->text, BURDOCK_LEVEL_WORKSPACE, &overrides,
                            effective, &scope->origins);
  if (status == 0 && overrides.branches != NULL)
    status = burdock_config_check_kind (parser, overrides.branches, "branches",
                                        BURDOCK_NODE_MAP);
  if (status < 0 || overrides.branches == NULL)
    return status;
  for (uint32_t i = 0; status == 0 && i + 1 < overrides.branches->count; i += 2)
    status = resolve_branch (resolver, &overrides.branches->items[i],
                             &overrides.branches->items[i + 1], workspace);
  return status;
}

/* Counts the branches of a workspace node that has not been validated yet. */
static uint32_t
count_branches (const BurdockNode *workspace)
{
  if (workspace->kind != BURDOCK_NODE_MAP)
    return 0;
  for (uint32_t i = 0; i + 1 < workspace->count; i += 2) {
    if (strcmp (workspace->items[i].text, "branches") == 0)
      return workspace->items[i + 1].count / 2;
  }
  return 0;
}

static void
allocate_scopes (BurdockConfig *config, const BurdockNode *workspaces)
{
  uint32_t slot_count = 1;

  config->workspace_count = workspaces->count / 2;
  config->effective_count = config->workspace_count;
  for (uint32_t i = 1; i < workspaces->count; i += 2)
    config->effective_count += count_branches (&workspaces->items[i]);
  config->effective =
      burdock_config_alloc (config, config->effective_count, sizeof *config->effective);
  config->scopes =
      burdock_config_alloc (config, config->effective_count, sizeof *config->scopes);
  while (slot_count < 2 * config->effective_count)
    slot_count *= 2;
  config->slots = burdock_config_alloc (config, slot_count, sizeof *config->slots);
  config->slot_mask = slot_count - 1;
}

int
burdock_config_resolve (const BurdockConfigParser *parser, const BurdockNode *defaults,
                        const BurdockNode *workspaces)
{
  Overrides overrides = { .branches = NULL };
  Resolver resolver = { .parser = parser,
                        .defaults = { .priority = BURDOCK_PRIORITY_NORMAL,
                                      .running_limit = DEFAULT_RUNNING_LIMIT,
                                      .deadline_ms = DEFAULT_DEADLINE_MS } };
  int status =
      burdock_config_check_kind (parser, workspaces, "workspaces", BURDOCK_NODE_MAP);

  if (status == 0 && defaults != NULL)
    status = apply_overrides (parser, defaults, "defaults", BURDOCK_LEVEL_FRANCHISE,
                              &overrides, &resolver.defaults, &resolver.default_origins);
  if (status < 0)
    return status;
  allocate_scopes (parser->config, workspaces);
  resolver.next_branch = parser->config->workspace_count;
  for (uint32_t i = 0; status == 0 && i + 1 < workspaces->count; i += 2)
    status = resolve_workspace (&resolver, &workspaces->items[i],
                                &workspaces->items[i + 1], i / 2);
  if (status == 0)
    burdock_config_build_index (parser->config);
  return status;
}
