#include "config-internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const level_names[] = {
  [BURDOCK_LEVEL_BUILT_IN] = "built-in",
  [BURDOCK_LEVEL_FRANCHISE] = "franchise",
  [BURDOCK_LEVEL_WORKSPACE] = "workspace",
  [BURDOCK_LEVEL_BRANCH] = "branch",
};

static json_t *
names_json (const char (*names)[BURDOCK_NAME_BYTES], uint32_t count)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (list, json_string (names[i]));
  return list;
}

static json_t *
grants_json (const BurdockEffectiveSettings *effective)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < effective->grant_count; i++) {
    const BurdockGrant *grant = &effective->grants[i];

    json_array_append_new (list,
                           json_pack ("{s:s, s:s, s:s}", "model", grant->model, "version",
                                      grant->version, "adapter", grant->adapter));
  }
  return list;
}

static json_t *
setting_json (const BurdockEffectiveSettings *effective, BurdockSetting setting)
{
  switch (setting) {
  case BURDOCK_SETTING_PRIORITY:
    return json_string (burdock_priority_names[effective->priority]);
  case BURDOCK_SETTING_RUNNING_LIMIT:
    return json_integer (effective->running_limit);
  case BURDOCK_SETTING_DEADLINE_MS:
    return json_integer (effective->deadline_ms);
  case BURDOCK_SETTING_MODELS:
    return grants_json (effective);
  case BURDOCK_SETTING_SERVICES:
    return names_json (effective->services, effective->service_count);
  default:
    return json_null ();
  }
}

/* Returns @root as text and drops the reference to it. */
static char *
dump_and_release (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

char *
burdock_config_effective_json (const BurdockConfig *config, const char *workspace,
                               const char *branch)
{
  const BurdockScope *scope = burdock_config_scope (config, workspace, branch);
  json_t *settings = json_object ();

  if (scope == NULL) {
    json_decref (settings);
    return dump_and_release (json_pack ("{s:s, s:s, s:s}", "workspace", workspace,
                                        "branch", branch, "error",
                                        "not in the configuration"));
  }
  for (uint32_t i = 0; i < BURDOCK_SETTING_COUNT; i++) {
    json_t *value = setting_json (scope->effective, (BurdockSetting)i);

    json_object_set_new (settings, burdock_setting_names[i],
                         json_pack ("{s:o, s:s, s:i}", "value", value, "from",
                                    level_names[scope->origins.levels[i]], "line",
                                    (int)scope->origins.lines[i]));
  }
  return dump_and_release (json_pack ("{s:s, s:s, s:s, s:i, s:o}", "franchise",
                                      config->franchise, "workspace", workspace, "branch",
                                      branch, "line", (int)scope->line, "settings",
                                      settings));
}

static json_t *
model_json (const BurdockConfig *config, uint32_t index)
{
  const BurdockModel *model = &config->models[index];

  return json_pack ("{s:o, s:o, s:I}", "versions",
                    names_json ((const char (*)[BURDOCK_NAME_BYTES])model->versions,
                                model->version_count),
                    "adapters",
                    names_json ((const char (*)[BURDOCK_NAME_BYTES])model->adapters,
                                model->adapter_count),
                    "weight_bytes", (json_int_t)model->weight_bytes);
}

static json_t *
pool_json (const BurdockConfig *config, uint32_t index)
{
  const BurdockPool *pool = &config->pools[index];

  return json_pack ("{s:s, s:s, s:o, s:i, s:i, s:b}", "kind",
                    pool->kind == BURDOCK_POOL_MODEL ? "model" : "service", "service",
                    pool->service, "models",
                    names_json ((const char (*)[BURDOCK_NAME_BYTES])pool->models,
                                pool->model_count),
                    "running_limit", (int)pool->running_limit, "queue_limit",
                    (int)pool->queue_limit, "checks_fencing", (int)pool->checks_fencing);
}

static json_t *
group_json (const BurdockConfig *config, uint32_t index)
{
  const BurdockGroupConfig *group = &config->groups[index];

  return json_pack ("{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:I, s:i}", "pool", group->pool,
                    "ranks", (int)group->ranks, "layers", (int)group->layers, "experts",
                    (int)group->experts, "slots_per_rank", (int)group->slots_per_rank,
                    "skew_weight", group->skew_weight, "cost_weight", group->cost_weight,
                    "expert_bytes", (json_int_t)group->expert_bytes,
                    "rebalance_interval_ms", (int)group->rebalance_interval_ms);
}

/* Returns the @count items of a section as an object with their names as keys. @names
 * points to the first item; items are structs of @item_bytes that start with the name. */
static json_t *
section_json (const BurdockConfig *config, uint32_t count, const void *names,
              size_t item_bytes,
              json_t *(*item_json) (const BurdockConfig *config, uint32_t index))
{
  json_t *section = json_object ();

  for (uint32_t i = 0; i < count; i++)
    json_object_set_new (section, (const char *)names + i * item_bytes,
                         item_json (config, i));
  return section;
}

static json_t *
sections_json (const BurdockConfig *config)
{
  return json_pack ("{s:o, s:o, s:o}", "models",
                    section_json (config, config->model_count, config->models,
                                  sizeof (BurdockModel), model_json),
                    "pools",
                    section_json (config, config->pool_count, config->pools,
                                  sizeof (BurdockPool), pool_json),
                    "groups",
                    section_json (config, config->group_count, config->groups,
                                  sizeof (BurdockGroupConfig), group_json));
}

static json_t *
change_json (const char *name, json_t *before, json_t *after)
{
  json_t *change = json_pack ("{s:s, s:s}", "name", name, "change",
                              before == NULL  ? "added"
                              : after == NULL ? "removed"
                                              : "changed");

  if (before != NULL)
    json_object_set (change, "before", before);
  if (after != NULL)
    json_object_set (change, "after", after);
  return change;
}

static json_t *
diff_objects (json_t *before, json_t *after)
{
  json_t *changes = json_array ();
  const char *name;
  json_t *item;

  json_object_foreach (before, name, item)
  {
    json_t *other = json_object_get (after, name);

    if (other == NULL || !json_equal (item, other))
      json_array_append_new (changes, change_json (name, item, other));
  }
  json_object_foreach (after, name, item)
  {
    if (json_object_get (before, name) == NULL)
      json_array_append_new (changes, change_json (name, NULL, item));
  }
  return changes;
}

static json_t *
diff_settings (const BurdockEffectiveSettings *before,
               const BurdockEffectiveSettings *after)
{
  json_t *changes = json_array ();

  for (uint32_t i = 0; i < BURDOCK_SETTING_COUNT; i++) {
    json_t *old_value = setting_json (before, (BurdockSetting)i);
    json_t *new_value = setting_json (after, (BurdockSetting)i);

    if (!json_equal (old_value, new_value))
      json_array_append_new (changes, json_pack ("{s:s, s:O, s:O}", "setting",
                                                 burdock_setting_names[i], "before",
                                                 old_value, "after", new_value));
    json_decref (old_value);
    json_decref (new_value);
  }
  return changes;
}

static json_t *
scope_change (const BurdockEffectiveSettings *effective, const char *change)
{
  return json_pack ("{s:s, s:s, s:s}", "workspace", effective->workspace, "branch",
                    effective->branch, "change", change);
}

static void
diff_scope (const BurdockEffectiveSettings *before, const BurdockEffectiveSettings *after,
            json_t *out)
{
  json_t *settings = diff_settings (before, after);
  json_t *change;

  if (json_array_size (settings) == 0) {
    json_decref (settings);
    return;
  }
  change = scope_change (after, "changed");
  json_object_set_new (change, "settings", settings);
  json_array_append_new (out, change);
}

static json_t *
diff_scopes (const BurdockConfig *before, const BurdockConfig *after)
{
  json_t *changes = json_array ();

  for (uint32_t i = 0; i < before->effective_count; i++) {
    const BurdockEffectiveSettings *old_scope = &before->effective[i];
    const BurdockEffectiveSettings *new_scope =
        burdock_config_effective (after, old_scope->workspace, old_scope->branch);

    if (new_scope != NULL)
      diff_scope (old_scope, new_scope, changes);
    else
      json_array_append_new (changes, scope_change (old_scope, "removed"));
  }
  for (uint32_t i = 0; i < after->effective_count; i++) {
    const BurdockEffectiveSettings *scope = &after->effective[i];

    if (burdock_config_effective (before, scope->workspace, scope->branch) == NULL)
      json_array_append_new (changes, scope_change (scope, "added"));
  }
  return changes;
}

char *
burdock_config_diff_json (const BurdockConfig *before, const BurdockConfig *after)
{
  static const char *const names[] = { "models", "pools", "groups" };
  json_t *old_sections = sections_json (before);
  json_t *new_sections = sections_json (after);
  json_t *root = json_object ();

  if (strcmp (before->franchise, after->franchise) != 0)
    json_object_set_new (root, "franchise",
                         json_pack ("{s:s, s:s}", "before", before->franchise, "after",
                                    after->franchise));
  for (uint32_t i = 0; i < sizeof names / sizeof names[0]; i++)
    json_object_set_new (root, names[i],
                         diff_objects (json_object_get (old_sections, names[i]),
                                       json_object_get (new_sections, names[i])));
  json_object_set_new (root, "branches", diff_scopes (before, after));
  json_decref (old_sections);
  json_decref (new_sections);
  return dump_and_release (root);
}
