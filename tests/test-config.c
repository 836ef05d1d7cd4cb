#include "config.h"
#include "test.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMON_SECTIONS                                                                  \
  "franchise: f\n"                                                                       \
  "models:\n"                                                                            \
  "  m: {versions: [v1, v2], adapters: [a]}\n"                                           \
  "  unserved: {versions: [v1]}\n"                                                       \
  "pools:\n"                                                                             \
  "  p: {kind: model, models: [m], running_limit: 4, queue_limit: 9}\n"                  \
  "  s: {kind: service, service: booking, running_limit: 4, queue_limit: 9}\n"
#define WORKSPACES "workspaces: {w: {}}\n"
#define GROUP(changes)                                                                   \
  COMMON_SECTIONS WORKSPACES "groups: {g: {pool: p, ranks: 2, layers: 1, experts: 4, "   \
                             "slots_per_rank: 2, skew_weight: 1, cost_weight: 1, "       \
                             "expert_bytes: 1, rebalance_interval_ms: 500" changes       \
                             "}}\n"

static int
parse (const char *text, BurdockConfig **out, BurdockError *error)
{
  return burdock_config_parse ("f.yaml",
                               (BurdockBytes){ (const uint8_t *)text,
                                               (uint32_t)strlen (text) },
                               out, error);
}

/**
 * struct RefusedCase - a file that must be refused
 * @line: file and line that the error must name
 * @names: other texts that the error must contain
 */
typedef struct {
  const char *text;
  const char *line;
  const char *names[3];
} RefusedCase;

static const RefusedCase refused[] = {
  { "", "f.yaml:1", { "empty" } },
  { "a: [", "f.yaml:2", { "not YAML" } },
  { "[1]", "f.yaml:1", { "map of keys" } },
  { "franchise: f\n---\nfranchise: g\n", "f.yaml:2", { "more than one document" } },
  { "franchise: &x f\n", "f.yaml:1", { "anchors", "\"x\"" } },
  { "franchise: f\nmodels: *x\n", "f.yaml:2", { "aliases" } },
  { "franchise: !!str f\n", "f.yaml:1", { "tags" } },
  { "franchise: f\nfranchise: g\n", "f.yaml:2", { "duplicate key", "line 1" } },
  { "franchise: f\n{a: b}: c\n", "f.yaml:2", { "scalar" } },
  { "? [a]\n: b\n", "f.yaml:1", { "scalar" } },
  { "[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]", "f.yaml:1", { "deeper than 16" } },
  { "franchise: f\nbranchs: {}\n", "f.yaml:2", { "\"branchs\"", "workspaces" } },
  { "franchise: f\npools: {}\n", "f.yaml:1", { "\"workspaces\" is missing" } },
  { COMMON_SECTIONS "workspaces: {\"w/x\": {}}\n", "f.yaml:8", { "\"w/x\"", "letters" } },
  { COMMON_SECTIONS "workspaces: {w: {priority: urgent}}\n",
    "f.yaml:8",
    { "\"priority\"", "\"urgent\"", "low, normal, high" } },
  { COMMON_SECTIONS "workspaces:\n  w:\n    running_limit: -1\n",
    "f.yaml:10",
    { "\"running_limit\"", "\"-1\"", "0 to 1000000" } },
  { COMMON_SECTIONS "workspaces: {w: {deadline_ms: 0}}\n",
    "f.yaml:8",
    { "1 to 3600000" } },
  { COMMON_SECTIONS "workspaces: {w: {deadline_ms: 99999999999999999999999}}\n",
    "f.yaml:8",
    { "1 to 3600000" } },
  { COMMON_SECTIONS "workspaces: {w: {branches: {b: {branches: {}}}}}\n",
    "f.yaml:8",
    { "\"branches\"", "unknown key" } },
  { COMMON_SECTIONS "workspaces: {w: {models: [{model: x, version: v1}]}}\n",
    "f.yaml:8",
    { "\"x\"", "section models" } },
  { COMMON_SECTIONS "workspaces: {w: {models: [{model: m, version: v9}]}}\n",
    "f.yaml:8",
    { "\"v9\"", "version of model" } },
  { COMMON_SECTIONS
    "workspaces: {w: {models: [{model: m, version: v1, adapters: [b]}]}}\n",
    "f.yaml:8",
    { "\"b\"", "adapter of model" } },
  { COMMON_SECTIONS "workspaces: {w: {models: [{model: unserved, version: v1}]}}\n",
    "f.yaml:8",
    { "no pool serves" } },
  { COMMON_SECTIONS "workspaces: {w: {services: [mail]}}\n", "f.yaml:8", { "\"mail\"" } },
  { COMMON_SECTIONS
    "  s2: {kind: service, service: booking, running_limit: 4, queue_limit: "
    "9}\n" WORKSPACES,
    "f.yaml:8",
    { "another pool" } },
  { COMMON_SECTIONS "  t: {kind: service, running_limit: 4, queue_limit: 9}\n" WORKSPACES,
    "f.yaml:8",
    { "must name its service" } },
  { COMMON_SECTIONS
    "  t: {kind: model, models: [x], running_limit: 4, queue_limit: 9}\n" WORKSPACES,
    "f.yaml:8",
    { "\"x\"" } },
  { GROUP (", pool: s"), "f.yaml:9", { "duplicate key" } },
  { COMMON_SECTIONS WORKSPACES "groups: {g: {pool: s, ranks: 2, layers: 1, experts: 4, "
                               "slots_per_rank: 2, skew_weight: 1, cost_weight: 1, "
                               "expert_bytes: 1, rebalance_interval_ms: 500}}\n",
    "f.yaml:9",
    { "pool of kind model" } },
  { COMMON_SECTIONS WORKSPACES "groups: {g: {pool: p, ranks: 2, layers: 1, experts: 5, "
                               "slots_per_rank: 2, skew_weight: nan, cost_weight: 1, "
                               "expert_bytes: 1, rebalance_interval_ms: 500}}\n",
    "f.yaml:9",
    { "\"nan\"" } },
  { COMMON_SECTIONS WORKSPACES "groups: {g: {pool: p, ranks: 2, layers: 1, experts: 5, "
                               "slots_per_rank: 2, skew_weight: 1, cost_weight: 1, "
                               "expert_bytes: 1, rebalance_interval_ms: 500}}\n",
    "f.yaml:9",
    { "cannot hold 5 experts" } },
};

/* Each case breaks one rule of the file format. It guards against a parser that accepts
 * such a file, and against an error that names another line, key or rule. */
static void
refused_files_name_line_and_rule (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (refused); i++) {
    BurdockConfig *config;
    BurdockError error = { .code = 0 };
    bool named;

    CU_ASSERT_EQUAL (parse (refused[i].text, &config, &error), -EINVAL);
    CU_ASSERT_PTR_NULL (config);
    named = strstr (error.detail, refused[i].line) != NULL;
    for (uint32_t j = 0; j < 3 && refused[i].names[j] != NULL; j++)
      named = named && strstr (error.detail, refused[i].names[j]) != NULL;
    if (!named)
      printf ("case %u: %s\n", i, error.detail);
    CU_ASSERT_TRUE (named);
  }
}

/* A file one byte above the limit would not fit in a frame. The padding is a YAML
 * comment, so that nothing but the size can cause the error. */
static void
size_is_bounded (void)
{
  static const char head[] = COMMON_SECTIONS WORKSPACES "#";
  static uint8_t text[BURDOCK_CONFIG_MAX_BYTES + 1];
  BurdockConfig *config;
  BurdockError error;

  memset (text, 'x', sizeof text);
  memcpy (text, head, sizeof head - 1);
  CU_ASSERT_EQUAL (burdock_config_parse ("f", (BurdockBytes){ text, sizeof text },
                                         &config, &error),
                   -EINVAL);
  CU_ASSERT_EQUAL (burdock_config_parse ("f", (BurdockBytes){ text, sizeof text - 1 },
                                         &config, &error),
                   0);
  burdock_config_unref (config);
}

typedef struct {
  const char *workspace;
  const char *branch;
  BurdockPriority priority;
  uint32_t running_limit;
  uint32_t deadline_ms;
  uint32_t grant_count;
  uint32_t service_count;
  const char *json_parts[3]; /* texts that burdock_config_effective_json() must contain */
} EffectiveCase;

static const char layers_file[] =
    COMMON_SECTIONS "defaults:\n"
                    "  running_limit: 7\n"
                    "  models: [{model: m, version: v1, adapters: [a]}]\n"
                    "  services: [booking]\n"
                    "workspaces:\n"
                    "  w:\n"
                    "    priority: high\n"
                    "    running_limit: 8\n"
                    "    branches:\n"
                    "      b:\n"
                    "        running_limit: 0\n"
                    "        models: [{model: m, version: v2}]\n"
                    "        services: []\n"
                    "      c: {}\n"
                    "  v: {}\n";

/* Each case is a scope of layers_file that overrides other settings, or none. It guards
 * against an override that is lost, is applied in the wrong order, or reaches another
 * scope, and against a report that names the wrong level or line for a setting. */
static void
overrides_apply_in_order (void)
{
  static const EffectiveCase cases[] = {
    { "v",
      "",
      BURDOCK_PRIORITY_NORMAL,
      7,
      30000,
      2,
      1,
      { "\"running_limit\":{\"value\":7,\"from\":\"franchise\",\"line\":9}",
        "\"priority\":{\"value\":\"normal\",\"from\":\"built-in\",\"line\":0}" } },
    { "w",
      "",
      BURDOCK_PRIORITY_HIGH,
      8,
      30000,
      2,
      1,
      { "\"running_limit\":{\"value\":8,\"from\":\"workspace\",\"line\":15}" } },
    { "w",
      "b",
      BURDOCK_PRIORITY_HIGH,
      0,
      30000,
      1,
      0,
      { "\"running_limit\":{\"value\":0,\"from\":\"branch\",\"line\":18}",
        "\"priority\":{\"value\":\"high\",\"from\":\"workspace\",\"line\":14}",
        "\"services\":{\"value\":[],\"from\":\"branch\",\"line\":20}" } },
    { "w", "c", BURDOCK_PRIORITY_HIGH, 8, 30000, 2, 1, { "\"from\":\"workspace\"" } },
  };
  BurdockConfig *config;
  BurdockError error = { .code = 0 };

  CU_ASSERT_EQUAL_FATAL (parse (layers_file, &config, &error), 0);
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    const EffectiveCase *expected = &cases[i];
    const BurdockEffectiveSettings *found =
        burdock_config_effective (config, expected->workspace, expected->branch);
    char *json =
        burdock_config_effective_json (config, expected->workspace, expected->branch);

    CU_ASSERT_PTR_NOT_NULL (found);
    if (found == NULL || json == NULL)
      continue;
    CU_ASSERT_EQUAL (found->priority, expected->priority);
    CU_ASSERT_EQUAL (found->running_limit, expected->running_limit);
    CU_ASSERT_EQUAL (found->deadline_ms, expected->deadline_ms);
    CU_ASSERT_EQUAL (found->grant_count, expected->grant_count);
    CU_ASSERT_EQUAL (found->service_count, expected->service_count);
    for (uint32_t j = 0; j < 3 && expected->json_parts[j] != NULL; j++)
      CU_ASSERT_PTR_NOT_NULL (strstr (json, expected->json_parts[j]));
    free (json);
  }
  CU_ASSERT_PTR_NULL (burdock_config_effective (config, "w", "d"));
  CU_ASSERT_PTR_NULL (burdock_config_effective (config, "wb", ""));
  CU_ASSERT_PTR_NULL (burdock_config_effective (config, "", ""));
  burdock_config_unref (config);
}

/* A diff of a configuration with itself must be empty; one against a different file must
 * list the added group, the removed branch and the changed setting. */
static void
diff_names_changed_branches_only (void)
{
  BurdockConfig *before;
  BurdockConfig *after;
  BurdockError error;
  char *json;

  CU_ASSERT_EQUAL_FATAL (parse (layers_file, &before, &error), 0);
  CU_ASSERT_EQUAL_FATAL (parse (GROUP (""), &after, &error), 0);
  json = burdock_config_diff_json (before, before);
  CU_ASSERT_STRING_EQUAL (json,
                          "{\"models\":[],\"pools\":[],\"groups\":[],\"branches\":[]}");
  free (json);
  json = burdock_config_diff_json (before, after);
  CU_ASSERT_PTR_NOT_NULL (strstr (json, "{\"name\":\"g\",\"change\":\"added\""));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json, "{\"workspace\":\"w\",\"branch\":\"b\",\"change\":\"removed\"}"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (json, "{\"setting\":\"running_limit\",\"before\":8,\"after\":64}"));
  free (json);
  burdock_config_unref (before);
  burdock_config_unref (after);
}

/* At 4,000 workspaces, the size that the software is designed for, many names collide in
 * the hash index. Every branch must still be found. The time of a lookup is not checked,
 * so a linear search would pass. */
static void
target_size_is_indexed (void)
{
  size_t used = strlen (COMMON_SECTIONS) + strlen ("workspaces:\n");
  char *text = malloc (BURDOCK_CONFIG_MAX_BYTES);
  BurdockConfig *config;
  BurdockError error = { .code = 0 };
  uint32_t count = 0;
  uint32_t found = 0;

  memcpy (text, COMMON_SECTIONS "workspaces:\n", used);
  for (uint32_t i = 0; i < 4000; i++)
    used += (size_t)sprintf (text + used,
                             "  w%u: {running_limit: %u, branches: {a: {}, b: "
                             "{running_limit: %u}}}\n",
                             i, i, i + 1);
  CU_ASSERT_EQUAL_FATAL (parse (text, &config, &error), 0);
  burdock_config_workspaces (config, &count);
  CU_ASSERT_EQUAL (count, 4000);
  for (uint32_t i = 0; i < 4000; i++) {
    char name[16];
    const BurdockEffectiveSettings *effective;

    sprintf (name, "w%u", i);
    effective = burdock_config_effective (config, name, "b");
    found += effective != NULL && effective->running_limit == i + 1 &&
             effective->workspace_index == i;
  }
  CU_ASSERT_EQUAL (found, 4000);
  burdock_config_unref (config);
  free (text);
}

/* Guards against a parser change that makes it reject the example files. */
static void
examples_are_accepted (void)
{
  static const char *const files[] = { "kaitiaki", "sementeira" };

  for (uint32_t i = 0; i < TEST_COUNT (files); i++) {
    char path[256];
    static char text[65536];
    BurdockConfig *config;
    BurdockError error = { .code = 0 };
    FILE *file;

    snprintf (path, sizeof path, "%s/%s.yaml", EXAMPLES, files[i]);
    file = fopen (path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL (file);
    text[fread (text, 1, sizeof text - 1, file)] = '\0';
    fclose (file);
    CU_ASSERT_EQUAL (parse (text, &config, &error), 0);
    if (config == NULL)
      printf ("%s\n", error.detail);
    burdock_config_unref (config);
  }
}

static const Test tests[] = {
  { "a file that breaks a rule is accepted or the error does not name the line",
    refused_files_name_line_and_rule },
  { "a file that does not fit in a frame is accepted", size_is_bounded },
  { "an override is lost or attributed to the wrong line", overrides_apply_in_order },
  { "the diff misses a change or reports one that did not happen",
    diff_names_changed_branches_only },
  { "a branch is not found with 4,000 workspaces", target_size_is_indexed },
  { "an example file is refused", examples_are_accepted },
};

int
main (void)
{
  return test_main ("config", tests, TEST_COUNT (tests));
}
