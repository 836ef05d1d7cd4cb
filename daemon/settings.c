#include "settings.h"

#include "auth.h"
#include "error.h"
#include "log.h"

#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#define US_PER_S UINT64_C (1000000)
#define NS_PER_US UINT64_C (1000)
#define INCARNATION_RANDOM_BITS 12

#define VARIABLE_BYTES 64

/* Last part of the grace time, for the last answers (BURDOCK_STOP_FINISH_MS) and the end
 * of the process, also on an instance that is slow; at most half of the grace time. */
#define GRACE_RESERVE_MS 600
#define MS_PER_S 1000
#define ENTRY (1u << BURDOCK_ROLE_ENTRY)
#define AGENT (1u << BURDOCK_ROLE_AGENT)
#define GATEWAY (1u << BURDOCK_ROLE_GATEWAY)
#define RANK_AGENT (1u << BURDOCK_ROLE_RANK_AGENT)
#define ENTRY_OR_AGENT (ENTRY | AGENT)
#define ALL_ROLES (ENTRY_OR_AGENT | GATEWAY | RANK_AGENT)
#define SEEDS_MAX 16

/* argp treats option keys in the range of a character as short options. */
#define FIRST_OPTION_KEY 1000

/* An empty TYPE_U32_OR_EMPTY selects the default: the platform's templates render one for
 * a setting that a deployment does not have. */
typedef enum {
  TYPE_NAME,
  TYPE_URL,
  TYPE_FILE,
  TYPE_ADDRESS,
  TYPE_U32,
  TYPE_U32_OR_EMPTY,
  TYPE_REAL,
  TYPE_REAL_OR_NONE, /* 0 if the value is empty */
  TYPE_SEEDS,
  TYPE_LEVEL,
} Type;

/**
 * struct Option - description of one setting
 * @argument: placeholder of the value in the help
 * @roles: bit mask of the roles that accept it
 * @required: bit mask of the roles that require it
 * @offset: offset of the field in &BurdockDaemonSettings
 * @minimum: lowest value of a TYPE_U32 or TYPE_REAL
 * @maximum: highest value of a TYPE_U32 or TYPE_REAL
 */
typedef struct {
  const char *name;
  const char *argument;
  const char *help;
  uint32_t roles;
  uint32_t required;
  Type type;
  size_t offset;
  uint32_t minimum;
  uint32_t maximum;
} Option;

#define FIELD(field) offsetof (BurdockDaemonSettings, field)

static const Option options[] = {
  { "name", "NAME", "name of the instance, unique among all instances", ALL_ROLES,
    ALL_ROLES, TYPE_NAME, FIELD (library.name), 0, 0 },
  { "failure-domain", "NAME", "failure domain of the instance", ALL_ROLES, ALL_ROLES,
    TYPE_NAME, FIELD (library.failure_domain), 0, 0 },
  { "control", "IP:PORT", "address for messages between members", ALL_ROLES, ALL_ROLES,
    TYPE_ADDRESS, FIELD (library.control_address), 0, 0 },
  { "traffic", "IP:PORT", "address at which entries send attempts", AGENT, AGENT,
    TYPE_ADDRESS, FIELD (library.traffic_address), 0, 0 },
  { "http", "IP:PORT", "HTTP address: callers and operators of an entry, metrics",
    ENTRY_OR_AGENT | GATEWAY, ENTRY_OR_AGENT | GATEWAY, TYPE_ADDRESS,
    FIELD (library.http_address), 0, 0 },
  { "store", "URL", "base address of table service, object store and instance list",
    ENTRY | GATEWAY, ENTRY | GATEWAY, TYPE_URL, FIELD (store_url), 0, 0 },
  { "upstream", "URL", "base address of the local model engine or plain service",
    AGENT | RANK_AGENT, AGENT | RANK_AGENT, TYPE_URL, FIELD (upstream_url), 0, 0 },
  { "pool", "NAME", "pool of the local upstream", AGENT, AGENT, TYPE_NAME,
    FIELD (library.pool), 0, 0 },
  { "group", "NAME", "rank group of the local upstream, none by default", AGENT, 0,
    TYPE_NAME, FIELD (library.group), 0, 0 },
  { "rank", "N", "rank in the group, 0 by default", AGENT, 0, TYPE_U32,
    FIELD (library.rank), 0, 4095 },
  { "capacity", "N", "requests that the local upstream runs concurrently, 16 by default",
    AGENT, 0, TYPE_U32, FIELD (library.capacity), 1, 65535 },
  { "seeds", "IP:PORT,...", "control addresses contacted first, up to 16",
    ENTRY_OR_AGENT | GATEWAY, 0, TYPE_SEEDS, FIELD (library.seeds), 0, 0 },
  { "answer-lifetime-ms", "MS",
    "time for which callers keep a list of entries, 5000 by default", ENTRY, 0, TYPE_U32,
    FIELD (library.answer_lifetime_ms), 100, 3600000 },
  { "stop-limit-ms", "MS",
    "time that a planned stop waits for running requests, 60000 by default", ALL_ROLES, 0,
    TYPE_U32, FIELD (library.stop_limit_ms), 0, 86400000 },
  { "tls-certificate", "FILE", "PEM certificate of the HTTP address", ENTRY, 0, TYPE_FILE,
    FIELD (tls_certificate), 0, 0 },
  { "tls-key", "FILE", "PEM key of the HTTP address", ENTRY, 0, TYPE_FILE,
    FIELD (tls_key), 0, 0 },
  { "ready", "IP:PORT", "address of the readiness probe", GATEWAY, GATEWAY, TYPE_ADDRESS,
    FIELD (ready_address), 0, 0 },
  { "directory", "IP:PORT", "address at which callers ask which gateway to use", GATEWAY,
    GATEWAY, TYPE_ADDRESS, FIELD (directory_address), 0, 0 },
  { "metrics", "IP:PORT", "address of the metrics endpoint, none by default",
    GATEWAY | RANK_AGENT, 0, TYPE_ADDRESS, FIELD (metrics_address), 0, 0 },
  { "retry-ratio", "RATIO",
    "retries of all gateways together per request, 0.1 by default", GATEWAY, 0, TYPE_REAL,
    FIELD (retry_ratio), 0, 1 },
  { "retry-allowance", "N",
    "further retries of all gateways together in 10 s, 20 by default", GATEWAY, 0,
    TYPE_REAL, FIELD (retry_allowance), 0, 1000000 },
  { "drain-limit-ms", "MS",
    "time within which an upstream that leaves gets no more requests, 2000 by default",
    GATEWAY, 0, TYPE_REAL, FIELD (drain_limit_ms), 100, 3600000 },
  { "cold-overage", "RATIO",
    "requests of all gateways together to a cold upstream in a second, as a multiple of "
    "its coldPerS; empty for no bound",
    GATEWAY, 0, TYPE_REAL_OR_NONE, FIELD (cold_overage), 0, 1000 },
  { "cold-allowance", "N",
    "further requests of all gateways together to a cold upstream in a second", GATEWAY,
    0, TYPE_REAL_OR_NONE, FIELD (cold_allowance), 0, 1000000 },
  { "grace-s", "S",
    "time from SIGTERM until the process is killed; sets --stop-limit-ms to 0.6 s less, "
    "or to half of it",
    GATEWAY, 0, TYPE_REAL, FIELD (grace_s), 0, 86400 },
  { "memory-mb", "MB",
    "memory of the instance, which bounds what is held for clients; 1024 by default, "
    "also "
    "for an empty value",
    ENTRY | GATEWAY, 0, TYPE_U32_OR_EMPTY, FIELD (memory_mb), 16, 1000000 },
  { "max-fds", "N",
    "file descriptors of the process, which bound its connections; 4100 by default, also "
    "for an empty value",
    ENTRY | GATEWAY, 0, TYPE_U32_OR_EMPTY, FIELD (max_fds), 64, 1000000 },
  { "log-level", "LEVEL", "debug, info (default), warning or error", ALL_ROLES, 0,
    TYPE_LEVEL, FIELD (log_level), 0, 0 },
};

#define OPTION_COUNT (sizeof options / sizeof options[0])

/* argp prints the text behind the vertical tab after the list of options. */
#define ENVIRONMENT_HELP                                                                 \
  "\vEach option is also read from the environment variable BURDOCK_NAME, with the "     \
  "name "                                                                                \
  "of the option in upper case and _ for -. An option takes precedence over its "        \
  "variable.\n\n"                                                                        \
  "Keys have 64 hexadecimal digits and are read from the environment only: BURDOCK_KEY " \
  "authenticates messages between members, BURDOCK_KEY_PREVIOUS is accepted too while "  \
  "the key is being changed, BURDOCK_OPERATOR_KEY authenticates operators."

static const char entry_help[] =
    "Accepts requests of callers and routes them to upstreams." ENVIRONMENT_HELP;
static const char agent_help[] =
    "Runs requests of entries at the local upstream." ENVIRONMENT_HELP;
static const char gateway_help[] =
    "Forwards requests of callers to the upstreams of a platform." ENVIRONMENT_HELP;
static const char rank_agent_help[] =
    "Keeps the expert map of the local rank consistent with its group." ENVIRONMENT_HELP;

static const char *
role_help (uint32_t role)
{
  switch (role) {
  case ENTRY:
    return entry_help;
  case AGENT:
    return agent_help;
  case GATEWAY:
    return gateway_help;
  default:
    return rank_agent_help;
  }
}

typedef struct {
  BurdockDaemonSettings *settings;
  const char *program;
  uint32_t given_mask;
  int status;
} Parser;

static int
report_invalid (const char *program, const char *name, const char *value,
                const char *expected)
{
  fprintf (stderr, "%s: --%s: \"%s\" is not %s\n", program, name, value, expected);
  return -EINVAL;
}

static bool
copy_text (char *out, size_t size_bytes, const char *value)
{
  for (const char *c = value; *c != '\0'; c++)
    if (iscntrl ((unsigned char)*c) || *c == ' ')
      return false;
  return value[0] != '\0' && burdock_copy_text (out, size_bytes, value);
}

static bool
parse_url (char *out, const char *value)
{
  size_t length;

  if (strncmp (value, "http://", 7) != 0 && strncmp (value, "https://", 8) != 0)
    return false;
  if (!copy_text (out, BURDOCK_URL_BYTES, value))
    return false;
  length = strlen (out);
  while (length > 0 && out[length - 1] == '/')
    out[--length] = '\0';
  return true;
}

/* Parses a number in decimal notation, with a fraction or exponent if any. The platform
 * fills in settings in every form that TOML and JSON allow. strtod() alone would also
 * accept hexadecimal numbers, infinities and leading spaces. */
static bool
parse_real (const Option *option, double *out, const char *value)
{
  char *end;
  double number;

  if (value[0] < '0' || value[0] > '9' ||
      value[strspn (value, "0123456789.eE+-")] != '\0')
    return false;
  number = strtod (value, &end);
  if (*end != '\0' || !(number >= option->minimum) || !(number <= option->maximum))
    return false;
  *out = number;
  return true;
}

static bool
parse_u32 (const Option *option, uint32_t *out, const char *value)
{
  double number;

  if (!parse_real (option, &number, value) || number != (uint32_t)number)
    return false;
  *out = (uint32_t)number;
  return true;
}

static bool
parse_seeds (BurdockSettings *library, const char *value)
{
  char *copy = strdup (value);
  char *rest = NULL;
  bool valid = copy != NULL;

  library->seed_count = 0;
  for (char *item = valid ? strtok_r (copy, ",", &rest) : NULL; item != NULL && valid;
       item = strtok_r (NULL, ",", &rest))
    valid = library->seed_count < SEEDS_MAX &&
            burdock_address_parse (item, &library->seeds[library->seed_count++]) == 0;
  free (copy);
  return valid;
}

static int
set_option (Parser *parser, const Option *option, const char *value)
{
  BurdockDaemonSettings *settings = parser->settings;
  void *field = (char *)settings + option->offset;
  char expected[96];
  switch (option->type) {
  case TYPE_NAME:
    if (copy_text (field, BURDOCK_NAME_BYTES, value))
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "a name of 1 to 63 characters without spaces");
  case TYPE_FILE:
    if (copy_text (field, BURDOCK_URL_BYTES, value))
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "a file name of 1 to 255 characters without spaces");
  case TYPE_URL:
    if (parse_url (field, value))
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "a URL http://HOST[:PORT]");
  case TYPE_ADDRESS:
    if (burdock_address_parse (value, field) == 0)
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "an IPv4 address IP:PORT");
  case TYPE_U32_OR_EMPTY:
    if (value[0] == '\0')
      return 0;
    __attribute__ ((fallthrough));
  case TYPE_U32:
    if (parse_u32 (option, field, value))
      return 0;
    snprintf (expected, sizeof expected, "a whole number from %u to %u", option->minimum,
              option->maximum);
    return report_invalid (parser->program, option->name, value, expected);
  case TYPE_REAL_OR_NONE:
    if (value[0] == '\0') {
      memset (field, 0, sizeof (double));
      return 0;
    }
    /* fall through */
  case TYPE_REAL:
    if (parse_real (option, field, value))
      return 0;
    snprintf (expected, sizeof expected, "a number from %u to %u", option->minimum,
              option->maximum);
    return report_invalid (parser->program, option->name, value, expected);
  case TYPE_SEEDS:
    if (parse_seeds (&settings->library, value))
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "a list of up to 16 addresses IP:PORT");
  case TYPE_LEVEL:
    if (burdock_log_level_parse (value, field) == 0)
      return 0;
    return report_invalid (parser->program, option->name, value,
                           "debug, info, warning or error");
  }
  return -EINVAL;
}

static void
variable_name (const char *option, char out[VARIABLE_BYTES])
{
  size_t length = (size_t)snprintf (out, VARIABLE_BYTES, "BURDOCK_%s", option);

  for (size_t i = 0; i < length && i < VARIABLE_BYTES - 1; i++)
    out[i] = out[i] == '-' ? '_' : (char)toupper ((unsigned char)out[i]);
}

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  Parser *parser = state->input;

  if (key == ARGP_KEY_ARG) {
    fprintf (stderr, "%s: unexpected argument \"%s\"\n", parser->program, argument);
    parser->status = -EINVAL;
    return EINVAL;
  }
  if (key < FIRST_OPTION_KEY || key >= FIRST_OPTION_KEY + (int)OPTION_COUNT)
    return ARGP_ERR_UNKNOWN;
  if (set_option (parser, &options[key - FIRST_OPTION_KEY], argument) < 0) {
    parser->status = -EINVAL;
    return EINVAL;
  }
  parser->given_mask |= 1u << (key - FIRST_OPTION_KEY);
  return 0;
}

static int
read_environment (Parser *parser, uint32_t role)
{
  for (uint32_t i = 0; i < OPTION_COUNT; i++) {
    char variable[VARIABLE_BYTES];
    const char *value;

    variable_name (options[i].name, variable);
    value = getenv (variable);
    if (value == NULL || (options[i].roles & role) == 0)
      continue;
    if (set_option (parser, &options[i], value) < 0)
      return -EINVAL;
    parser->given_mask |= 1u << i;
  }
  return 0;
}

static int
read_key (const char *program, const char *variable, uint8_t *key, bool *present)
{
  const char *value = getenv (variable);

  *present = value != NULL;
  if (value == NULL || burdock_key_parse (value, key) == 0)
    return 0;
  fprintf (stderr, "%s: %s: not 64 hexadecimal digits\n", program, variable);
  return -EINVAL;
}

static int
read_keys (const char *program, BurdockDaemonSettings *settings)
{
  BurdockSettings *library = &settings->library;

  if (read_key (program, "BURDOCK_KEY", library->key, &library->has_key) < 0 ||
      read_key (program, "BURDOCK_KEY_PREVIOUS", library->previous_key,
                &library->has_previous_key) < 0 ||
      read_key (program, "BURDOCK_OPERATOR_KEY", settings->operator_key,
                &settings->has_operator_key) < 0)
    return -EINVAL;
  if (library->has_previous_key && !library->has_key) {
    fprintf (stderr, "%s: BURDOCK_KEY_PREVIOUS requires BURDOCK_KEY\n", program);
    return -EINVAL;
  }
  return 0;
}

static int
check_required (const Parser *parser, uint32_t role)
{
  for (uint32_t i = 0; i < OPTION_COUNT; i++) {
    char variable[VARIABLE_BYTES];

    if ((options[i].required & role) == 0 || (parser->given_mask & (1u << i)) != 0)
      continue;
    variable_name (options[i].name, variable);
    fprintf (stderr, "%s: --%s or %s is required: %s\n", parser->program, options[i].name,
             variable, options[i].help);
    return -EINVAL;
  }
  if ((parser->settings->tls_certificate[0] == '\0') !=
      (parser->settings->tls_key[0] == '\0')) {
    fprintf (stderr, "%s: --tls-certificate and --tls-key must be given together\n",
             parser->program);
    return -EINVAL;
  }
  return 0;
}

/* The upper bits are microseconds, so that a process restarted within the same second
 * also gets a larger incarnation: members ignore a smaller one as that of an earlier
 * process. */
static uint64_t
new_incarnation (void)
{
  struct timespec now;
  uint16_t low = 0;

  if (getrandom (&low, sizeof low, 0) != sizeof low)
    abort ();
  clock_gettime (CLOCK_REALTIME, &now);
  return (((uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US)
          << INCARNATION_RANDOM_BITS) |
         (low & ((1 << INCARNATION_RANDOM_BITS) - 1));
}

static int
run_argp (Parser *parser, uint32_t role, int argc, char **argv)
{
  struct argp_option rows[OPTION_COUNT + 1] = { 0 };
  struct argp argp = { .options = rows, .parser = parse_flag, .doc = role_help (role) };
  uint32_t count = 0;

  for (uint32_t i = 0; i < OPTION_COUNT; i++)
    if ((options[i].roles & role) != 0)
      rows[count++] = (struct argp_option){ .name = options[i].name,
                                            .key = FIRST_OPTION_KEY + (int)i,
                                            .arg = options[i].argument,
                                            .doc = options[i].help };
  argv[0] = (char *)parser->program;
  argp_program_version = "burdockwind " BURDOCK_VERSION;
  if (argp_parse (&argp, argc, argv, 0, NULL, parser) != 0)
    return -EINVAL;
  return parser->status;
}

static uint32_t
stop_limit_ms (double grace_ms)
{
  if (grace_ms > 2 * GRACE_RESERVE_MS)
    return (uint32_t)(grace_ms - GRACE_RESERVE_MS);
  return (uint32_t)(grace_ms / 2);
}

int
burdock_settings_parse (BurdockDaemonSettings *settings, BurdockRole role,
                        const char *program, int argc, char **argv)
{
  Parser parser = { .settings = settings, .program = program };
  uint32_t role_bit = 1u << role;

  *settings = (BurdockDaemonSettings){ .log_level = BURDOCK_LOG_INFO };
  settings->library.role = role;
  settings->library.capacity = 16;
  settings->library.answer_lifetime_ms = 5000;
  settings->library.stop_limit_ms = 60000;
  settings->retry_ratio = 0.1;
  settings->retry_allowance = 20;
  settings->drain_limit_ms = 2000;
  settings->library.incarnation = new_incarnation ();
  if (read_environment (&parser, role_bit) < 0 ||
      run_argp (&parser, role_bit, argc, argv) < 0 ||
      check_required (&parser, role_bit) < 0)
    return -EINVAL;
  if (settings->grace_s > 0)
    settings->library.stop_limit_ms = stop_limit_ms (settings->grace_s * MS_PER_S);
  return read_keys (program, settings);
}
