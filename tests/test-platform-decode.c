#include "exchange.h"
#include "row-decoder.h"
#include "test.h"

#include <apr_general.h>
#include <errno.h>
#include <string.h>

static BurdockBytes
bytes_of (const char *text)
{
  return (BurdockBytes){ (const uint8_t *)text, (uint32_t)strlen (text) };
}

typedef struct {
  const char *text;
  int status;
  bool leaving;
} UpstreamCase;

static const UpstreamCase upstream_cases[] = {
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"sequence\":1}",
    0, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"draining\",\"born\":5,\"more\":{}}",
    0, true },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"other\"}",
    -EINVAL, false },
  { "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":\"12\","
    "\"state\":\"available\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12.0,"
    "\"state\":\"available\",\"sequence\":18446744073709551616}",
    0, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1.2e1,"
    "\"state\":\"draining\"}",
    0, true },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1.5,"
    "\"state\":\"available\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"slots\":4294967296,\"state\":\"available\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":0,"
    "\"state\":\"available\"}",
    -EINVAL, false },
  { "[1,2]", -EINVAL, false },
  { "\xff\xfe{", -EINVAL, false },
  { "", -EINVAL, false },
};

/* Guards against sending requests to an upstream whose row is incomplete, has fields of
 * the wrong type or was written by another program. Unknown fields are ignored. */
static void
invalid_upstream_rows_are_rejected (void)
{
  for (uint32_t i = 0; i < sizeof upstream_cases / sizeof upstream_cases[0]; i++) {
    BurdockUpstream upstream;
    int status =
        burdock_platform_decode_upstream ("i-1", bytes_of (upstream_cases[i].text),
                                          &upstream);

    CU_ASSERT_EQUAL (status, upstream_cases[i].status);
    if (status == 0) {
      CU_ASSERT_EQUAL (upstream.leaving, upstream_cases[i].leaving);
      CU_ASSERT_EQUAL (upstream.address.port, 80);
      CU_ASSERT_STRING_EQUAL (upstream.pool, "s");
      CU_ASSERT_EQUAL (upstream.born_ms,
                       strstr (upstream_cases[i].text, "\"born\":5") != NULL ? 5 : 0);
    }
  }
}

static const char configuration[] =
    "{\"version\":7.0,\"revision\":36893488147419103232,\"routes\":["
    "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"routeType\":\"streaming\","
    "\"timeoutMs\":8e3,\"sloMs\":400.0,\"priority\":1,\"backends\":["
    "{\"service\":\"m\",\"weight\":90},{\"service\":\"n\",\"weight\":10}],"
    "\"maxAttempts\":2,\"public\":false,\"resumable\":true,\"itlTargetMs\":120},"
    "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/b/\",\"routeType\":\"non_idempotent\","
    "\"service\":\"n\",\"public\":true},"
    "{\"name\":\"c\",\"host\":\"h\",\"prefix\":\"/c/\",\"routeType\":\"unknown\","
    "\"service\":\"n\"},"
    "{\"name\":\"d\",\"host\":\"h\",\"prefix\":\"/d/\",\"routeType\":\"idempotent\"}],"
    "\"services\":[{\"name\":\"m\",\"backendEngine\":{\"layerSets\":6,\"experts\":64,"
    "\"placements\":11,\"spares\":4,\"expertMb\":1700.0,\"linkMbps\":92000.0}},"
    "{\"name\":\"n\"}],"
    "\"limits\":{\"maxBodyBytes\":1000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":3}]}";

/* Guards against losing or altering a field, and against using a route of an unknown type
 * or without a target. */
static void
configurations_are_decoded (void)
{
  BurdockRouteTable *table;
  BurdockError error;
  const BurdockRoute *route;
  const BurdockWorkspaceEntry *workspace;

  CU_ASSERT_EQUAL_FATAL (burdock_platform_decode_routes (bytes_of (configuration), &table,
                                                         &error),
                         0);
  CU_ASSERT_EQUAL (table->version, 7);
  CU_ASSERT_EQUAL (table->body_bytes_max, 1000);
  route = burdock_route_table_find (table, "h", "/a/x");
  CU_ASSERT_PTR_NOT_NULL (route);
  if (route == NULL)
    return;
  CU_ASSERT_EQUAL (route->kind, BURDOCK_ROUTE_STREAM);
  CU_ASSERT_EQUAL (route->objective_ms, 400);
  CU_ASSERT_EQUAL (route->pause_ms, 120);
  CU_ASSERT_TRUE (route->resumable);
  CU_ASSERT_EQUAL (route->target_count, 2);
  CU_ASSERT_EQUAL (route->targets[0].pool->shape.slots, 11);
  CU_ASSERT_EQUAL (route->targets[0].pool->shape.expert_copy_us, 147826);
  CU_ASSERT_EQUAL (route->targets[1].pool->shape.layers, 0);
  route = burdock_route_table_find (table, "h", "/b/x");
  CU_ASSERT_PTR_NOT_NULL (route);
  if (route == NULL)
    return;
  CU_ASSERT_EQUAL (route->kind, BURDOCK_ROUTE_NON_IDEMPOTENT);
  CU_ASSERT_TRUE (route->open_access);
  CU_ASSERT_EQUAL (route->attempts_max, 1);
  CU_ASSERT_PTR_NULL (burdock_route_table_find (table, "h", "/c/x"));
  CU_ASSERT_PTR_NULL (burdock_route_table_find (table, "h", "/d/x"));
  workspace = burdock_route_table_find_workspace (table, "k2");
  CU_ASSERT_PTR_NOT_NULL (workspace);
  if (workspace == NULL)
    return;
  CU_ASSERT_EQUAL (workspace->priority, 3);
  CU_ASSERT_TRUE (table->has_workspaces);
  burdock_route_table_unref (table);
}

static const char *const invalid_configurations[] = {
  "",
  "{",
  "[]",
  "{\"version\":\"7\",\"routes\":[]}",
  "{\"version\":7}",
  "{\"routes\":[]}",
};

/* Guards against replacing the configuration in use by one that is not valid JSON or has
 * no valid version or routes. */
static void
invalid_configurations_are_rejected (void)
{
  for (uint32_t i = 0;
       i < sizeof invalid_configurations / sizeof invalid_configurations[0]; i++) {
    BurdockRouteTable *table = NULL;
    BurdockError error;

    CU_ASSERT_EQUAL (burdock_platform_decode_routes (bytes_of (invalid_configurations[i]),
                                                     &table, &error),
                     -EINVAL);
    CU_ASSERT_PTR_NULL (table);
    CU_ASSERT_STRING_EQUAL (error.step, "read configuration");
  }
}

typedef struct {
  const char *list;
  uint32_t count;
  uint64_t first;
} PromptCase;

static const PromptCase prompt_cases[] = {
  { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 2, 0x5c1e07a2 },
  { " 5C1E07A2:800, 91bd3f06:410,1:2", 2, 0x5c1e07a2 },
  { "ffffffffffffffff:1,2:3", 1, UINT64_MAX },
  { "\xc3\xa9:1,2:3", 1, UINT64_C (0x7895b35a6a42cb55) },
  { "7:1", 0, 0 },
  { "", 0, 0 },
  { NULL, 0, 0 },
};

/* Guards against a part that is taken for the request's own one, and the reverse, and
 * against identifiers that depend on the signedness of char: they are keys of shared
 * rows. */
static void
shared_parts_of_a_prompt_are_parsed (void)
{
  BurdockPromptParts other;
  BurdockPromptParts parts;

  for (size_t i = 0; i < TEST_COUNT (prompt_cases); i++) {
    burdock_exchange_parse_prompt (prompt_cases[i].list, &parts);
    CU_ASSERT_EQUAL (parts.count, prompt_cases[i].count);
    if (parts.count > 0)
      CU_ASSERT_EQUAL (parts.ids[0], prompt_cases[i].first);
  }
  burdock_exchange_parse_prompt ("0123456789abcdef01:1,x:2", &parts);
  burdock_exchange_parse_prompt ("0123456789abcdef02:1,x:2", &other);
  CU_ASSERT_NOT_EQUAL (parts.ids[0], other.ids[0]);
}

static const Test tests[] = {
  { "an invalid row is used as an upstream", invalid_upstream_rows_are_rejected },
  { "a field of a configuration is lost or altered", configurations_are_decoded },
  { "an invalid configuration is accepted", invalid_configurations_are_rejected },
  { "a shared part of a prompt is not recognized", shared_parts_of_a_prompt_are_parsed },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("platform-decode", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
