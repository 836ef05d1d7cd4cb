#include "exchange.h"
#include "quarantine-row.h"
#include "row-decoder.h"
#include "test.h"

#include <apr_general.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
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
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":9007199254740993}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":18446744073709549568}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":1e400}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":-1}",
    0, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":null}",
    0, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":\"1764860000000\"}",
    -EINVAL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":12,"
    "\"state\":\"available\",\"born\":{}}",
    -EINVAL, false },
  { "[1,2]", -EINVAL, false },
  { "\xff\xfe{", -EINVAL, false },
  { "", -EINVAL, false },
};

/* Guards against sending requests to an upstream whose row is incomplete, has fields of
 * the wrong type or was written by another program. Unknown fields are ignored. A start
 * beyond 2^53 ms would make the upstream the last one at its address for good. */
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

typedef struct {
  const char *address;
  bool valid;
} AddressCase;

static const AddressCase address_cases[] = {
  { "10.0.0.1:1", true },          { "127.0.0.1:65535", true },
  { "223.255.255.255:80", true },  { "240.0.0.1:80", true },
  { "10.0.0.1:0", false },         { "10.0.0.1:65536", false },
  { "10.0.0.1:-1", false },        { "10.0.0.1:18446744073709551617", false },
  { "10.0.0.1:", false },          { "10.0.0.1", false },
  { "10.0.0.1:80 ", false },       { "10.0.0.1: 80", false },
  { "0.0.0.0:80", false },         { "0.1.2.3:80", false },
  { "255.255.255.255:80", false }, { "224.0.0.1:80", false },
  { "239.255.255.255:80", false }, { "10.0.0.256:80", false },
  { "[::1]:80", false },           { "", false },
};

/* Guards against requests, and connections that check an upstream, to an address that no
 * process can be connected to: port 0, and addresses that name no single host. */
static void
addresses_can_be_connected_to (void)
{
  for (size_t i = 0; i < TEST_COUNT (address_cases); i++) {
    BurdockUpstream upstream;
    char text[256];

    snprintf (text, sizeof text,
              "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":1,"
              "\"state\":\"available\"}",
              address_cases[i].address);
    if ((burdock_platform_decode_upstream ("i-1", bytes_of (text), &upstream) == 0) !=
        address_cases[i].valid)
      CU_FAIL (address_cases[i].address);
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

typedef struct {
  const char *fields;
  uint32_t start_ms;
  double per_s;
} ColdPoolCase;

static const ColdPoolCase cold_pool_cases[] = {
  { "", 0, 0 },
  { ",\"coldStartS\":3.0,\"coldPerS\":26.0", 3000, 26 },
  { ",\"coldStartS\":0,\"coldPerS\":0", 0, 0 },
  { ",\"coldStartS\":0.25,\"coldPerS\":1.5", 250, 1.5 },
  { ",\"coldStartS\":-3,\"coldPerS\":-26", 0, 0 },
  { ",\"coldStartS\":\"3\",\"coldPerS\":null", 0, 0 },
  { ",\"coldStartS\":1e300,\"coldPerS\":26", UINT32_MAX, 26 },
};

/* Guards against a cold upstream that gets the full load, and against a limit where none
 * is configured. */
static void
limits_of_cold_upstreams_are_decoded (void)
{
  for (size_t i = 0; i < TEST_COUNT (cold_pool_cases); i++) {
    BurdockRouteTable *table = NULL;
    BurdockError error;
    BurdockPool *pool;
    char text[256];

    snprintf (text, sizeof text,
              "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\"%s}]}",
              cold_pool_cases[i].fields);
    CU_ASSERT_EQUAL_FATAL (burdock_platform_decode_routes (bytes_of (text), &table,
                                                           &error),
                           0);
    pool = burdock_route_table_add_pool (table, "s");
    CU_ASSERT_EQUAL (pool->cold_start_ms, cold_pool_cases[i].start_ms);
    CU_ASSERT_EQUAL (pool->cold_per_s, cold_pool_cases[i].per_s);
    burdock_route_table_unref (table);
  }
}

typedef struct {
  const char *field;
  bool stated;
  uint32_t left_ms;
} ColdRowCase;

static const ColdRowCase cold_row_cases[] = {
  { "", false, 0 },
  { ",\"coldLeftMs\":2500", true, 2500 },
  { ",\"coldLeftMs\":2.5e3", true, 2500 },
  { ",\"coldLeftMs\":0", true, 0 },
  { ",\"coldLeftMs\":-1", true, 0 },
  { ",\"coldLeftMs\":1e300", true, UINT32_MAX },
  { ",\"coldLeftMs\":\"2500\"", false, 0 },
  { ",\"coldLeftMs\":null", false, 0 },
};

/* Guards against a row whose cold time is lost, and against an odd one that makes the row
 * invalid, so that its upstream is lost. */
static void
cold_times_of_rows_are_decoded (void)
{
  for (size_t i = 0; i < TEST_COUNT (cold_row_cases); i++) {
    BurdockUpstream upstream;
    char text[256];

    snprintf (text, sizeof text,
              "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
              "\"slots\":12,\"state\":\"available\"%s}",
              cold_row_cases[i].field);
    CU_ASSERT_EQUAL (burdock_platform_decode_upstream ("i-1", bytes_of (text), &upstream),
                     0);
    CU_ASSERT_EQUAL (upstream.has_cold_left, cold_row_cases[i].stated);
    CU_ASSERT_EQUAL (upstream.cold_left_ms, cold_row_cases[i].left_ms);
  }
}

#define ROUTE_IN_REGIONS                                                                 \
  "{\"version\":7,\"routes\":[{\"host\":\"h\",\"prefix\":\"/a/\","                       \
  "\"service\":\"s\",\"routeType\":\"idempotent\",\"maxAttempts\":2%s}],"                \
  "\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}]}"

static const char *const region_fields[] = {
  "",
  ",\"allowedRegions\":[]",
  ",\"allowedRegions\":[\"west\"]",
  ",\"allowedRegions\":[\"west\",\"east\",\"s\",\"t\",\"*\"]",
  ",\"allowedRegions\":[{\"service\":\"t\"}]",
  ",\"allowedRegions\":\"t\"",
  ",\"allowedRegions\":null",
  ",\"allowedRegions\":{\"host\":\"*\",\"prefix\":\"/\"}",
};

/* Guards against a configuration that is rejected as it names the regions of a route, and
 * against requests that go to another pool or are matched by another path for them. */
static void
regions_of_a_route_change_nothing (void)
{
  for (size_t i = 0; i < TEST_COUNT (region_fields); i++) {
    BurdockRouteTable *table = NULL;
    BurdockError error;
    const BurdockRoute *route;
    char text[512];

    snprintf (text, sizeof text, ROUTE_IN_REGIONS, region_fields[i]);
    CU_ASSERT_EQUAL_FATAL (burdock_platform_decode_routes (bytes_of (text), &table,
                                                           &error),
                           0);
    CU_ASSERT_EQUAL (apr_hash_count (table->routes), 1);
    route = burdock_route_table_find (table, "h", "/a/x");
    CU_ASSERT_PTR_NOT_NULL (route);
    if (route == NULL)
      return;
    CU_ASSERT_EQUAL (route->attempts_max, 2);
    CU_ASSERT_FALSE (route->open_access);
    CU_ASSERT_EQUAL (route->target_count, 1);
    CU_ASSERT_STRING_EQUAL (route->targets[0].pool->name, "s");
    CU_ASSERT_PTR_NULL (burdock_route_table_find (table, "h", "/b/x"));
    CU_ASSERT_PTR_NULL (burdock_route_table_find (table, "west", "/a/x"));
    burdock_route_table_unref (table);
  }
}

#define ROUTE(host, prefix, service)                                                     \
  "{\"host\":\"" host "\",\"prefix\":\"" prefix "\",\"service\":\"" service              \
  "\",\"routeType\":\"idempotent\"}"
#define UNUSABLE_ROUTES                                                                  \
  ROUTE ("", "/a/", "s") "," ROUTE ("h", "", "s") "," ROUTE ("h", "/a/", "")

static const char *const invalid_configurations[] = {
  "",
  "{",
  "[]",
  "{\"version\":\"7\",\"routes\":[]}",
  "{\"version\":7}",
  "{\"routes\":[]}",
  "{\"version\":-7,\"routes\":[]}",
  "{\"version\":7.5,\"routes\":[]}",
  "{\"version\":null,\"routes\":[]}",
  "{\"version\":9007199254740993,\"routes\":[]}",
  "{\"version\":9223372036854775807,\"routes\":[]}",
  "{\"version\":10000000000000000000,\"routes\":[]}",
  "{\"version\":36893488147419103232,\"routes\":[]}",
  "{\"version\":1e400,\"routes\":[]}",
  "{\"version\":7,\"version\":8,\"routes\":[]}",
  "{\"version\":7,\"routes\":{}}",
  "{\"version\":7,\"routes\":[7,null,{},[]]}",
  ("{\"version\":7,\"routes\":[" UNUSABLE_ROUTES "]}"),
  "{\"version\":7,\"routes\":[]} \xff",
  "{\"version\":7,\"routes\":[],\"name\":\"a\\u0000\"}",
};

/* Guards against replacing the configuration in use by one that is not valid JSON or has
 * no valid version or routes. A version beyond 2^53 would keep out all later ones. */
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

static uint32_t log_lines;

static GLogWriterOutput
count_line (GLogLevelFlags level, const GLogField *fields, gsize field_count, void *ctx)
{
  log_lines++;
  return G_LOG_WRITER_HANDLED;
}

#define SOUND_ROUTE                                                                      \
  "{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\",\"routeType\":\"idempotent\","   \
  "\"timeoutMs\":%s,\"sloMs\":%s,\"maxAttempts\":%s,\"priority\":%s}"
#define ODD_ROUTES 5000

/* Guards against a sound route that is lost beside thousands of others that are not, and
 * against a line of the log for each of them. */
static void
sound_routes_beside_odd_ones_are_used (void)
{
  char *text = malloc (ODD_ROUTES * 8 + 512);
  char *end = text + sprintf (text, "{\"version\":9007199254740992,\"routes\":[");
  BurdockRouteTable *table = NULL;
  BurdockError error;

  for (uint32_t i = 0; i < ODD_ROUTES; i++)
    end += sprintf (end, "{},");
  sprintf (end, SOUND_ROUTE "]}", "8", "4", "2", "1");
  log_lines = 0;
  CU_ASSERT_EQUAL (burdock_platform_decode_routes (bytes_of (text), &table, &error), 0);
  CU_ASSERT_TRUE (log_lines > 0 && log_lines <= 4);
  if (table != NULL)
    CU_ASSERT_PTR_NOT_NULL (burdock_route_table_find (table, "h", "/a/x"));
  burdock_route_table_unref (table);
  free (text);
}

static const char *const odd_numbers[] = {
  "-1", "-1e300", "1e300", "4294967296", "36893488147419103232", "null", "\"7\"", "[[7]]",
};

/* Guards against a time, limit or count that is wrapped or undefined: it counts as
 * missing then. */
static void
odd_numbers_of_a_route_count_as_missing (void)
{
  for (size_t i = 0; i < TEST_COUNT (odd_numbers); i++) {
    const char *number = odd_numbers[i];
    char text[1024];
    BurdockRouteTable *table = NULL;
    BurdockError error;
    const BurdockRoute *route;

    snprintf (text, sizeof text,
              "{\"version\":7,\"routes\":[" SOUND_ROUTE "],"
              "\"limits\":{\"maxBodyBytes\":%s},\"services\":[{\"name\":\"s\","
              "\"backendEngine\":{\"layerSets\":%s,\"expertMb\":1e300,\"linkMbps\":1}},"
              "{\"name\":\"t\",\"backendEngine\":{\"expertMb\":-1,\"linkMbps\":1}}]}",
              number, number, number, number, number, number);
    CU_ASSERT_EQUAL_FATAL (burdock_platform_decode_routes (bytes_of (text), &table,
                                                           &error),
                           0);
    route = burdock_route_table_find (table, "h", "/a/x");
    CU_ASSERT_PTR_NOT_NULL (route);
    if (route == NULL)
      return;
    CU_ASSERT_EQUAL (route->timeout_ms, 0);
    CU_ASSERT_EQUAL (route->objective_ms, 0);
    CU_ASSERT_EQUAL (route->attempts_max, 1);
    CU_ASSERT_EQUAL (table->body_bytes_max, 4u << 20);
    CU_ASSERT_EQUAL (route->targets[0].pool->shape.layers, 0);
    CU_ASSERT_EQUAL (route->targets[0].pool->shape.expert_copy_us, UINT32_MAX);
    CU_ASSERT_EQUAL (burdock_route_table_add_pool (table, "t")->shape.expert_copy_us, 0);
    burdock_route_table_unref (table);
  }
}

typedef struct {
  const char *kind;
  const char *slo_ms;
  const char *pause_ms;
  uint32_t patience_ms;
} PatienceCase;

static const PatienceCase patience_cases[] = {
  { "streaming", "400", "120", 2000 },       { "streaming", "600", "120", 2400 },
  { "streaming", "400", "300", 2400 },       { "streaming", "0", "0", 2000 },
  { "streaming", "4e9", "120", UINT32_MAX }, { "idempotent", "600", "300", 0 },
};

/* The protocol says how long callers of a stream wait for an event. Guards against
 * requests that begin after their callers have left, or are refused too early. */
static void
patience_follows_from_the_route (void)
{
  for (size_t i = 0; i < TEST_COUNT (patience_cases); i++) {
    const PatienceCase *row = &patience_cases[i];
    BurdockRouteTable *table;
    BurdockError error;
    const BurdockRoute *route;
    char text[512];

    snprintf (text, sizeof text,
              "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
              "\"prefix\":\"/a/\",\"routeType\":\"%s\",\"service\":\"s\","
              "\"sloMs\":%s,\"itlTargetMs\":%s}],\"services\":[{\"name\":\"s\"}]}",
              row->kind, row->slo_ms, row->pause_ms);
    CU_ASSERT_EQUAL_FATAL (burdock_platform_decode_routes (bytes_of (text), &table,
                                                           &error),
                           0);
    route = burdock_route_table_find (table, "h", "/a/x");
    CU_ASSERT_PTR_NOT_NULL (route);
    if (route == NULL)
      return;
    CU_ASSERT_EQUAL (route->patience_ms, row->patience_ms);
    burdock_route_table_unref (table);
  }
}

typedef struct {
  const char *key;
  const char *value;
  uint32_t count; /* of crashes that are used */
} EvidenceCase;

#define WALL_MS 1764860000000
#define CRASH "\"upstream\":\"00000000000000f1\",\"depth\":1,\"begun\":true,\"atMs\":"
#define SOUND_CRASH "{" CRASH "1764859990000}"

static const EvidenceCase evidence_cases[] = {
  { "a1", "{\"crashes\":[" SOUND_CRASH "]}", 1 },
  { "ffffffffffffffff", "{\"crashes\":[" SOUND_CRASH "," SOUND_CRASH "]}", 2 },
  { "a1", "{\"crashes\":[{" CRASH "1.76485999e12}]}", 1 },
  { "a1", "{\"crashes\":[{" CRASH "1764860000500}]}", 1 }, /* clocks differ */
  { "a1", "{\"crashes\":[7,null,{},[],\"\"," SOUND_CRASH "]}", 1 },
  { "a1", "{\"crashes\":[{" CRASH "1864860000000}]}", 0 },
  { "a1", "{\"crashes\":[{" CRASH "9223372036854775807}]}", 0 },
  { "a1", "{\"crashes\":[{" CRASH "18446744073709551616}]}", 0 },
  { "a1", "{\"crashes\":[{" CRASH "1e400}]}", 0 },
  { "a1", "{\"crashes\":[{" CRASH "-1}]}", 0 },
  { "a1", "{\"crashes\":[{" CRASH "\"1764859990000\"}]}", 0 },
  { "a1", "{\"crashes\":[{\"upstream\":\"f1\",\"atMs\":1764859990000}]}", 0 },
  { "a1", "{\"crashes\":[{\"upstream\":\"\",\"atMs\":1764859990000}]}", 0 },
  { "a1", "{\"crashes\":[{\"upstream\":\"-000000000000001\",\"atMs\":1764859990000}]}",
    0 },
  { "a1", "{\"crashes\":[{\"upstream\":241,\"atMs\":1764859990000}]}", 0 },
  { "a1", "{\"crashes\":{\"0\":" SOUND_CRASH "}}", 0 },
  { "a1", "[" SOUND_CRASH "]", 0 },
  { "a1", "", 0 },
  { "a1", "\xff", 0 },
  { "0", "{\"crashes\":[" SOUND_CRASH "]}", 1 },
  { "", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "00", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "-0", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "-1", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "A1", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "0xa1", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "00a1", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "a1 ", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "zebra", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
  { "1ffffffffffffffff", "{\"crashes\":[" SOUND_CRASH "]}", 0 },
};

/* Guards against a quarantine, and a removal, of a part that the row of another writer is
 * not about, against one that never ends because its crashes are in the future, and
 * against one of the part 0 that is lost with the last gateway. */
static void
only_sound_evidence_is_read (void)
{
  for (size_t i = 0; i < TEST_COUNT (evidence_cases); i++) {
    const EvidenceCase *item = &evidence_cases[i];
    char key[BURDOCK_QUARANTINE_KEY_BYTES];
    BurdockQuarantineRow row;
    int status =
        burdock_quarantine_row_decode (item->key, bytes_of (item->value), WALL_MS, &row);

    if ((status == 0) != (item->count > 0) || (status == 0 && row.count != item->count)) {
      CU_FAIL (item->value);
      continue;
    }
    if (status < 0)
      continue;
    burdock_quarantine_row_key (row.part, key);
    CU_ASSERT_STRING_EQUAL (key, item->key);
    CU_ASSERT_EQUAL (row.items[0].upstream_id, 0xf1);
    CU_ASSERT_TRUE (row.items[0].age_ms <= 10000);
  }
}

/* Guards against evidence that is altered on its way through the store. */
static void
evidence_is_stored_as_it_is (void)
{
  BurdockQuarantineRow row = { .part = 0xa1, .count = BURDOCK_PART_CRASHES_MAX };
  BurdockQuarantineRow read;
  char *text;

  for (uint32_t i = 0; i < row.count; i++)
    row.items[i] = (BurdockPartItem){ .part = 0xa1,
                                      .kind = i % 2 == 0 ? BURDOCK_PART_CRASHED
                                                         : BURDOCK_PART_CRASHED_BEGUN,
                                      .upstream_id = UINT64_MAX - i,
                                      .depth = i == 0 ? BURDOCK_REQUEST_DEPTH : i,
                                      .age_ms = i * 1000 };
  text = burdock_quarantine_row_encode (&row, WALL_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT_EQUAL (burdock_quarantine_row_decode ("a1", bytes_of (text), WALL_MS, &read),
                   0);
  CU_ASSERT_EQUAL (read.count, row.count);
  for (uint32_t i = 0; i < row.count; i++) {
    CU_ASSERT_EQUAL (read.items[i].kind, row.items[i].kind);
    CU_ASSERT_EQUAL (read.items[i].upstream_id, row.items[i].upstream_id);
    CU_ASSERT_EQUAL (read.items[i].depth, row.items[i].depth);
    CU_ASSERT_EQUAL (read.items[i].age_ms, row.items[i].age_ms);
  }
  free (text);
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

typedef struct {
  const char *key;
  int status;
  const char *failure_domain;
} EvacuationKeyCase;

static const EvacuationKeyCase evacuation_key_cases[] = {
  { "evacuate/z-1", 0, "z-1" },
  { "evacuate/a/b", 0, "a/b" },
  { "evacuate/", -EINVAL, NULL },
  { "evacuate/0123456789012345678901234567890123456789012345678901234567890123", -EINVAL,
    NULL },
  { "evacuate", -ENOENT, NULL },
  { "evacuated/z-1", -ENOENT, NULL },
  { "Evacuate/z-1", -ENOENT, NULL },
  { "config", -ENOENT, NULL },
  { "", -ENOENT, NULL },
};

typedef struct {
  const char *value; /* NULL for a value that is no base64 */
  bool evacuates;
} EvacuationValueCase;

static const EvacuationValueCase evacuation_value_cases[] = {
  { "{}", true },      { "{\"since\":5}", true },
  { " {} ", true },    { NULL, false },
  { "", false },       { "[]", false },
  { "null", false },   { "true", false },
  { "\"{}\"", false }, { "{", false },
  { "{}{}", false },
};

/* Guards against an evacuation by a row that is about something else, that names no
 * failure domain, or that cannot be read. */
static void
rows_of_evacuations_are_decoded (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (evacuation_key_cases); i++) {
    const EvacuationKeyCase *row = &evacuation_key_cases[i];
    char failure_domain[BURDOCK_NAME_BYTES];
    int status = burdock_platform_decode_evacuation_key (row->key, failure_domain);

    if (status != row->status ||
        (status == 0 && strcmp (failure_domain, row->failure_domain) != 0))
      CU_FAIL (row->key);
  }
  for (size_t i = 0; i < G_N_ELEMENTS (evacuation_value_cases); i++) {
    const EvacuationValueCase *row = &evacuation_value_cases[i];
    BurdockBytes value = { 0 };

    if (row->value != NULL)
      value = bytes_of (row->value);
    if (burdock_platform_is_evacuation (value) != row->evacuates)
      CU_FAIL (row->value);
  }
}

typedef struct {
  const char *usage;
  const char *hint;
  BurdockRequestTokens tokens;
} TokensCase;

static const TokensCase tokens_cases[] = {
  { "812,256", "40", { 812, 256, 40 } },
  { " 812 , 256 ", " 40 ", { 812, 256, 40 } },
  { "812", NULL, { 812, 0, 0 } },
  { "812,", "", { 812, 0, 0 } },
  { ",256", "-1", { 0, 256, 0 } },
  { "x,256x", "40x", { 0, 0, 0 } },
  { "4294967295,4294967296", "99999999999999999999999", { UINT32_MAX, 0, 0 } },
  { "1,2,3", "1.5", { 1, 0, 0 } },
  { "", "1e3", { 0, 0, 0 } },
  { NULL, NULL, { 0, 0, 0 } },
};

/* Guards against odd statements of a caller that are used as numbers. */
static void
tokens_of_a_request_are_parsed (void)
{
  for (size_t i = 0; i < TEST_COUNT (tokens_cases); i++) {
    const TokensCase *row = &tokens_cases[i];
    BurdockRequestTokens tokens;

    burdock_exchange_parse_tokens (row->usage, row->hint, &tokens);
    CU_ASSERT_EQUAL (tokens.prompt, row->tokens.prompt);
    CU_ASSERT_EQUAL (tokens.answer_max, row->tokens.answer_max);
    CU_ASSERT_EQUAL (tokens.answer_hint, row->tokens.answer_hint);
  }
}

typedef struct {
  const char *value;
  bool resumes;
  BurdockOptional id;
} LastEventCase;

static const LastEventCase last_event_cases[] = {
  { NULL, false, { .is_set = false } },
  { "0", true, { .is_set = true, .value = 0 } },
  { "12", true, { .is_set = true, .value = 12 } },
  { "18446744073709551615", true, { .is_set = true, .value = UINT64_MAX } },
  { "18446744073709551616", true, { .is_set = false } },
  { "", true, { .is_set = false } },
  { "abc", true, { .is_set = false } },
  { "-1", true, { .is_set = false } },
  { "1,2", true, { .is_set = false } },
};

/* Guards against a caller that goes on after event 0 and gets it again, and against odd
 * text that is taken for an id, so that the events up to it are dropped. */
static void
last_events_of_callers_are_parsed (void)
{
  for (size_t i = 0; i < TEST_COUNT (last_event_cases); i++) {
    const LastEventCase *row = &last_event_cases[i];
    BurdockCallerRequest caller = { .last_event_id = { .is_set = true, .value = 3 } };

    burdock_exchange_parse_last_event (row->value, &caller);
    if (caller.resumes != row->resumes ||
        !burdock_optional_equal (caller.last_event_id, row->id))
      CU_FAIL (row->value);
  }
}

static const Test tests[] = {
  { "a caller goes on elsewhere than after the event that it names",
    last_events_of_callers_are_parsed },
  { "a request begins after its caller has left a stream",
    patience_follows_from_the_route },
  { "the limits of cold upstreams are lost or invented",
    limits_of_cold_upstreams_are_decoded },
  { "the cold time of a row is lost, or its row", cold_times_of_rows_are_decoded },
  { "the regions of a route break or widen it", regions_of_a_route_change_nothing },
  { "an invalid row is used as an upstream", invalid_upstream_rows_are_rejected },
  { "an upstream has an address that cannot be connected to",
    addresses_can_be_connected_to },
  { "a field of a configuration is lost or altered", configurations_are_decoded },
  { "an invalid configuration is accepted", invalid_configurations_are_rejected },
  { "a sound route is lost beside odd ones, or those fill the log",
    sound_routes_beside_odd_ones_are_used },
  { "a number out of range is used", odd_numbers_of_a_route_count_as_missing },
  { "a failure domain is evacuated by a row that does not say so",
    rows_of_evacuations_are_decoded },
  { "a part is quarantined by a row that is not about it", only_sound_evidence_is_read },
  { "evidence is altered in the store", evidence_is_stored_as_it_is },
  { "a shared part of a prompt is not recognized", shared_parts_of_a_prompt_are_parsed },
  { "the tokens of a request are misread", tokens_of_a_request_are_parsed },
};

int
main (void)
{
  int status;

  apr_initialize ();
  g_log_set_writer_func (count_line, NULL, NULL);
  status = test_main ("platform-decode", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
