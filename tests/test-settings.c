#include "settings.h"
#include "stop.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ARGUMENTS_MAX 24

/* The settings that an agent requires; a case adds to them or omits the first @skip. */
static const char *const base[] = {
  "--name",    "a",           "--failure-domain", "akl",
  "--control", "127.0.0.1:1", "--traffic",        "127.0.0.1:2",
  "--http",    "127.0.0.1:3", "--upstream",       "http://127.0.0.1:4/",
  "--pool",    "drafting",
};

typedef struct {
  const char *name;
  uint32_t skip;
  int status;
  const char *flag;
  const char *value;
  const char *variable;
  const char *variable_value;
} SettingsCase;

static const SettingsCase cases[] = {
  { "complete", 0, 0, NULL, NULL, NULL, NULL },
  { "no name", 2, -EINVAL, NULL, NULL, NULL, NULL },
  { "name from the environment", 2, 0, NULL, NULL, "BURDOCK_NAME", "b" },
  { "name with a space", 0, -EINVAL, "--name", "a b", NULL, NULL },
  { "host name for an address", 0, -EINVAL, "--control", "localhost:1", NULL, NULL },
  { "address without a port", 0, -EINVAL, "--control", "127.0.0.1", NULL, NULL },
  { "port out of range", 0, -EINVAL, "--control", "127.0.0.1:65536", NULL, NULL },
  { "address for a URL", 0, -EINVAL, "--upstream", "127.0.0.1:4", NULL, NULL },
  { "rank", 0, 0, "--rank", "4095", NULL, NULL },
  { "negative rank", 0, -EINVAL, "--rank", "-1", NULL, NULL },
  { "rank with an exponent", 0, 0, "--rank", "4e3", NULL, NULL },
  { "rank with a zero fraction", 0, 0, "--rank", "7.000", NULL, NULL },
  { "rank with a fraction", 0, -EINVAL, "--rank", "7.5", NULL, NULL },
  { "rank beyond 32 bits", 0, -EINVAL, "--rank", "4294967303", NULL, NULL },
  { "rank beyond 64 bits", 0, -EINVAL, "--rank", "18446744073709551623", NULL, NULL },
  { "hexadecimal rank", 0, -EINVAL, "--rank", "0x10", NULL, NULL },
  { "number with a unit", 0, -EINVAL, "--stop-limit-ms", "5s", NULL, NULL },
  { "no capacity", 0, -EINVAL, "--capacity", "0", NULL, NULL },
  { "seeds", 0, 0, "--seeds", "127.0.0.1:1,127.0.0.1:2", NULL, NULL },
  { "invalid seed", 0, -EINVAL, "--seeds", "127.0.0.1:1,x", NULL, NULL },
  { "17 seeds", 0, -EINVAL, "--seeds",
    "1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,"
    "1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,1.1.1.1:1,"
    "1.1.1.1:1",
    NULL, NULL },
  { "unknown level", 0, -EINVAL, "--log-level", "loud", NULL, NULL },
  { "invalid variable", 0, -EINVAL, NULL, NULL, "BURDOCK_RANK", "x" },
  { "short key", 0, -EINVAL, NULL, NULL, "BURDOCK_KEY", "11" },
  { "previous key alone", 0, -EINVAL, NULL, NULL, "BURDOCK_KEY_PREVIOUS",
    "1111111111111111111111111111111111111111111111111111111111111111" },
  { "key", 0, 0, NULL, NULL, "BURDOCK_KEY",
    "1111111111111111111111111111111111111111111111111111111111111111" },
  { "unexpected argument", 0, -EINVAL, "x", NULL, NULL, NULL },
};

static int
parse (const SettingsCase *row, BurdockDaemonSettings *settings)
{
  const char *arguments[ARGUMENTS_MAX] = { "test" };
  int count = 1;

  for (uint32_t i = row->skip; i < TEST_COUNT (base); i++)
    arguments[count++] = base[i];
  if (row->flag != NULL)
    arguments[count++] = row->flag;
  if (row->value != NULL)
    arguments[count++] = row->value;
  return burdock_settings_parse (settings, BURDOCK_ROLE_AGENT, "test", count,
                                 (char **)arguments);
}

/* Guards against a process that starts with a missing or invalid setting and fails only
 * when it uses it. */
static void
invalid_settings_are_rejected_at_start (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    BurdockDaemonSettings settings;

    if (cases[i].variable != NULL)
      setenv (cases[i].variable, cases[i].variable_value, 1);
    CU_ASSERT_EQUAL (parse (&cases[i], &settings), cases[i].status);
    if (cases[i].variable != NULL)
      unsetenv (cases[i].variable);
  }
}

/* Guards against an environment variable that overrides a flag, and against settings that
 * are stored in the wrong field. */
static void
flags_take_precedence_over_variables (void)
{
  static const SettingsCase row = { .flag = "--rank", .value = "3" };
  BurdockDaemonSettings settings;

  setenv ("BURDOCK_RANK", "2", 1);
  setenv ("BURDOCK_GROUP", "west", 1);
  CU_ASSERT_EQUAL (parse (&row, &settings), 0);
  unsetenv ("BURDOCK_RANK");
  unsetenv ("BURDOCK_GROUP");
  CU_ASSERT_EQUAL (settings.library.rank, 3);
  CU_ASSERT_STRING_EQUAL (settings.library.group, "west");
  CU_ASSERT_STRING_EQUAL (settings.upstream_url, "http://127.0.0.1:4");
  CU_ASSERT_EQUAL (settings.library.control_address.ipv4, 0x7f000001);
  CU_ASSERT_NOT_EQUAL (settings.library.incarnation, 0);
}

/* Guards against a process that is restarted at once and gets a smaller incarnation than
 * its predecessor, so that members ignore it. */
static void
later_process_has_larger_incarnation (void)
{
  static const SettingsCase row = { 0 };
  uint64_t last = 0;

  for (uint32_t i = 0; i < 100; i++) {
    BurdockDaemonSettings settings;

    usleep (2); /* a process takes longer than this to start */
    CU_ASSERT_EQUAL (parse (&row, &settings), 0);
    CU_ASSERT_TRUE (settings.library.incarnation > last);
    last = settings.library.incarnation;
  }
}

typedef struct {
  const char *value;
  double expected; /* negative if the value is rejected */
} AllowanceCase;

static const AllowanceCase allowance_cases[] = {
  { "94", 94 },        { "94.0", 94 },   { "37.333333333333336", 37.333333333333336 },
  { "9.4e1", 94 },     { "1E+3", 1000 }, { "4e-1", 0.4 },
  { "0", 0 },          { "1e7", -1 },    { "18446744073709551616", -1 },
  { "1e999", -1 },     { "-1", -1 },     { "nan", -1 },
  { "inf", -1 },       { "0x10", -1 },   { " 5", -1 },
  { "5 retries", -1 }, { "", -1 },
};

/* Guards against a gateway that does not start because the platform writes a number as a
 * fraction or with an exponent, and against numbers that are stored altered. */
static void
numbers_are_read_in_every_notation (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (allowance_cases); i++) {
    const AllowanceCase *row = &allowance_cases[i];
    const char *arguments[] = { "test",
                                "--name",
                                "g",
                                "--failure-domain",
                                "a",
                                "--control",
                                "1.1.1.1:1",
                                "--http",
                                "1.1.1.1:2",
                                "--ready",
                                "1.1.1.1:3",
                                "--directory",
                                "1.1.1.1:4",
                                "--store",
                                "http://1.1.1.1:5",
                                "--retry-allowance",
                                row->value };
    BurdockDaemonSettings settings;
    int status = burdock_settings_parse (&settings, BURDOCK_ROLE_GATEWAY, "test",
                                         (int)TEST_COUNT (arguments), (char **)arguments);

    CU_ASSERT_EQUAL (status, row->expected >= 0 ? 0 : -EINVAL);
    if (status == 0)
      CU_ASSERT_EQUAL (settings.retry_allowance, row->expected);
  }
}

typedef struct {
  const char *value;
  int64_t expected; /* negative if the value is rejected */
} LimitCase;

static const LimitCase limit_cases[] = {
  { "160", 160 },  { "160.0", 160 }, { "", 0 },      { "15", -1 },
  { "160.5", -1 }, { "1e9", -1 },    { "none", -1 },
};

/* Guards against a process that does not start in a deployment without limits, for which
 * the platform renders an empty value. */
static void
an_empty_limit_selects_the_default (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (limit_cases); i++) {
    const LimitCase *row = &limit_cases[i];
    BurdockDaemonSettings settings;
    const char *arguments[] = { "test",
                                "--name=e",
                                "--failure-domain=a",
                                "--control=1.1.1.1:1",
                                "--http=1.1.1.1:2",
                                "--store=http://1.1.1.1:5",
                                "--max-fds=",
                                "--memory-mb",
                                row->value };
    int status = burdock_settings_parse (&settings, BURDOCK_ROLE_ENTRY, "test",
                                         (int)TEST_COUNT (arguments), (char **)arguments);

    CU_ASSERT_EQUAL (status, row->expected >= 0 ? 0 : -EINVAL);
    if (status == 0)
      CU_ASSERT_EQUAL (settings.memory_mb, row->expected);
    CU_ASSERT_EQUAL (settings.max_fds, 0);
  }
}

typedef struct {
  const char *overage;
  const char *allowance;
  double expected[2];
  int status;
} ColdCase;

static const ColdCase cold_cases[] = {
  { "--cold-overage=1.5", "--cold-allowance=5", { 1.5, 5 }, 0 },
  { "--cold-overage=", "--cold-allowance=", { 0, 0 }, 0 },
  { "--cold-overage=1.5", "--cold-allowance=", { 1.5, 0 }, 0 },
  { "--cold-overage=0", "--cold-allowance=5.0", { 0, 5 }, 0 },
  { "--cold-overage=x", "--cold-allowance=5", { 0, 0 }, -EINVAL },
  { "--cold-overage=1.5", "--cold-allowance=-1", { 0, 0 }, -EINVAL },
  { "--cold-overage= ", "--cold-allowance=5", { 0, 0 }, -EINVAL },
};

/* Guards against a gateway that does not start where the platform has no bound of cold
 * upstreams, and against a bound that is lost. */
static void
the_bound_of_cold_upstreams_may_be_empty (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cold_cases); i++) {
    const ColdCase *row = &cold_cases[i];
    const char *arguments[] = { "test",
                                "--name=g",
                                "--failure-domain=a",
                                "--control=1.1.1.1:1",
                                "--http=1.1.1.1:2",
                                "--ready=1.1.1.1:3",
                                "--directory=1.1.1.1:4",
                                "--store=http://1.1.1.1:5",
                                row->overage,
                                row->allowance };
    BurdockDaemonSettings settings;
    int status = burdock_settings_parse (&settings, BURDOCK_ROLE_GATEWAY, "test",
                                         (int)TEST_COUNT (arguments), (char **)arguments);

    CU_ASSERT_EQUAL (status, row->status);
    if (status < 0)
      continue;
    CU_ASSERT_EQUAL (settings.cold_overage, row->expected[0]);
    CU_ASSERT_EQUAL (settings.cold_allowance, row->expected[1]);
  }
}

typedef struct {
  const char *grace_s;
  uint32_t stop_limit_ms;
} GraceCase;

static const GraceCase grace_cases[] = {
  { "8", 7400 }, { "60", 59400 }, { "2.5", 1900 }, { "1", 500 }, { "0", 60000 },
};

/* Guards against a planned stop that takes longer than the platform waits before it kills
 * the process, with its last requests. */
static void
a_stop_ends_within_the_grace_time (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (grace_cases); i++) {
    const char *arguments[] = { "test",
                                "--name",
                                "g",
                                "--failure-domain",
                                "a",
                                "--control",
                                "1.1.1.1:1",
                                "--http",
                                "1.1.1.1:2",
                                "--ready",
                                "1.1.1.1:3",
                                "--directory",
                                "1.1.1.1:4",
                                "--store",
                                "http://1.1.1.1:5",
                                "--grace-s",
                                grace_cases[i].grace_s };
    BurdockDaemonSettings settings;

    CU_ASSERT_EQUAL (burdock_settings_parse (&settings, BURDOCK_ROLE_GATEWAY, "test",
                                             (int)TEST_COUNT (arguments),
                                             (char **)arguments),
                     0);
    CU_ASSERT_EQUAL (settings.library.stop_limit_ms, grace_cases[i].stop_limit_ms);
    if (settings.grace_s > 0)
      CU_ASSERT (settings.library.stop_limit_ms + BURDOCK_STOP_FINISH_MS <
                 settings.grace_s * 1000);
  }
}

static const Test tests[] = {
  { "an empty limit keeps a process from starting", an_empty_limit_selects_the_default },
  { "an empty bound of cold upstreams is rejected, or one is lost",
    the_bound_of_cold_upstreams_may_be_empty },
  { "a planned stop takes longer than the grace time",
    a_stop_ends_within_the_grace_time },
  { "a number in an unusual notation is rejected or altered",
    numbers_are_read_in_every_notation },
  { "an invalid setting is not rejected at start",
    invalid_settings_are_rejected_at_start },
  { "an environment variable overrides a flag", flags_take_precedence_over_variables },
  { "a process restarted at once is taken for its predecessor",
    later_process_has_larger_incarnation },
};

int
main (void)
{
  return test_main ("settings", tests, TEST_COUNT (tests));
}
