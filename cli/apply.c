#include "cli.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TARGET_BYTES 512
#define ATTEMPT_BYTES 40
#define WAIT_POLL_MS 100
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* Four times the 8 s within which a change must be in force on all members. */
#define WAIT_LIMIT_MS 32000

typedef struct {
  const char *file;
  const char *operator_name;
  bool wait;
} Arguments;

static const struct argp_option options[] = {
  { "operator", 'o', "NAME", 0, "name to be recorded with the generation", 0 },
  { "wait", 'w', NULL, 0, "wait until every member has the generation", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key) {
  case 'o':
    arguments->operator_name = argument;
    return 0;
  case 'w':
    arguments->wait = true;
    return 0;
  case ARGP_KEY_ARG:
    if (arguments->file != NULL)
      argp_usage (state);
    arguments->file = argument;
    return 0;
  case ARGP_KEY_NO_ARGS:
    argp_usage (state);
    return EINVAL;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static const char *
default_operator (void)
{
  static const char *const names[] = { "BURDOCK_OPERATOR", "USER", "LOGNAME" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
    const char *value = getenv (names[i]);

    if (value != NULL && value[0] != '\0')
      return value;
  }
  return "operator";
}

/* Returns the generation in the metrics of a member, 0 if it does not answer. */
static json_int_t
member_generation (const Cli *cli, const char *address)
{
  static const char metric[] = "burdock_config_generation{";
  CliResponse response;
  json_int_t generation = 0;
  const char *at = NULL;

  if (cli_call (cli, address, "GET", "/metrics", (BurdockBytes){ NULL, 0 }, &response) ==
          CLI_CALL_OK &&
      response.body != NULL)
    at = strstr (response.body, metric);
  if (at != NULL)
    at = strchr (at, '}');
  if (at != NULL)
    generation = strtoll (at + 1, NULL, 10);
  free (response.body);
  return generation;
}

/* Queries the member, as an entry learns the generations of its neighbours only. */
static bool
is_behind (const Cli *cli, const json_t *member, json_int_t generation)
{
  const char *address = cli_json_string (member, "http");

  if (strcmp (cli_json_string (member, "state"), "removed") == 0)
    return false;
  return strcmp (address, "-") == 0 || member_generation (cli, address) < generation;
}

/* Removes from the list the members that have @generation or a newer one, and those that
 * are no longer members. */
static void
remove_updated_members (const Cli *cli, json_t *pending, json_int_t generation)
{
  for (size_t i = json_array_size (pending); i > 0; i--) {
    if (!is_behind (cli, json_array_get (pending, i - 1), generation))
      json_array_remove (pending, i - 1);
  }
}

static int
print_wait_result (const Cli *cli, const json_t *pending, size_t total)
{
  const json_t *member;
  size_t i;

  if (json_array_size (pending) == 0) {
    if (!cli->json)
      printf ("in force on %zu of %zu members\n", total, total);
    return CLI_OK;
  }
  cli_error ("accepted, but in force on only %zu of %zu members after %d s",
             total - json_array_size (pending), total, WAIT_LIMIT_MS / MS_PER_S);
  json_array_foreach (pending, i, member)
      cli_error ("not confirmed by %s", cli_json_string (member, "name"));
  return CLI_UNKNOWN;
}

static uint64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

static int
wait_for_members (const Cli *cli, json_int_t generation)
{
  uint64_t limit_ms = clock_ms () + WAIT_LIMIT_MS;
  struct timespec pause = { .tv_nsec = (long)WAIT_POLL_MS * NS_PER_MS };
  json_t *report;
  json_t *pending;
  size_t total;
  int status = cli_get_report (cli, "/v1/admin/members", &report);

  if (status != CLI_OK)
    return status;
  pending = json_copy (json_object_get (report, "members"));
  json_array_append (pending, json_object_get (report, "self"));
  total = json_array_size (pending);
  remove_updated_members (cli, pending, generation);
  while (json_array_size (pending) > 0 && clock_ms () < limit_ms) {
    nanosleep (&pause, NULL);
    remove_updated_members (cli, pending, generation);
  }
  status = print_wait_result (cli, pending, total);
  json_decref (pending);
  json_decref (report);
  return status;
}

static int
report_outcome (const Cli *cli, const Arguments *arguments, const json_t *answer,
                const char *attempt_id)
{
  int status = cli_print_outcome (cli, answer, attempt_id);

  if (status == CLI_OK && arguments->wait)
    status = wait_for_members (cli, cli_json_integer (answer, "generation"));
  return status;
}

/* Evaluates the answer to a submission. Without an outcome, a status from 400 to 499
 * means that the entry refused the call before it submitted anything, for example for a
 * wrong key; with any other status the outcome is unknown and the attempt is settled. */
static int
handle_response (const Cli *cli, const Arguments *arguments, const CliResponse *response,
                 const char *attempt_id)
{
  json_t *answer = json_loadb (response->body != NULL ? response->body : "",
                               response->body_bytes, 0, NULL);
  bool refused = response->status >= 400 && response->status < 500;
  int status;

  if (json_object_get (answer, "outcome") != NULL) {
    status = report_outcome (cli, arguments, answer, attempt_id);
  } else if (refused) {
    cli_error ("status %ld: %s", response->status, cli_json_string (answer, "error"));
    status = CLI_REFUSED;
  } else {
    cli_error ("no outcome received; settling attempt %s", attempt_id);
    status = cli_settle_attempt (cli, attempt_id);
  }
  json_decref (answer);
  return status;
}

static void
format_target (const Arguments *arguments, const char *attempt_id,
               char target[TARGET_BYTES])
{
  char *operator_name = cli_url_escape (arguments->operator_name);

  snprintf (target, TARGET_BYTES, "/v1/admin/config?operator=%.200s&attempt=%s",
            operator_name, attempt_id);
  free (operator_name);
}

/* Submits the file to the first entry that accepts a connection. Once a call may have
 * reached an entry, the file is not submitted again; the attempt is settled instead. */
static int
submit (const Cli *cli, const Arguments *arguments, const char *text)
{
  BurdockBytes body = { (const uint8_t *)text, (uint32_t)strlen (text) };
  char attempt_id[ATTEMPT_BYTES];
  char target[TARGET_BYTES];
  uint64_t random[2];

  randombytes_buf (random, sizeof random);
  snprintf (attempt_id, sizeof attempt_id, "%016" PRIx64 "%016" PRIx64, random[0],
            random[1]);
  format_target (arguments, attempt_id, target);
  for (uint32_t i = 0; i < cli->entry_count; i++) {
    CliResponse response;
    CliCallOutcome outcome =
        cli_call (cli, cli->entries[i], "POST", target, body, &response);
    int status = CLI_UNREACHABLE;

    if (outcome == CLI_CALL_LOST)
      response.status = 0;
    if (outcome != CLI_CALL_NOT_SENT)
      status = handle_response (cli, arguments, &response, attempt_id);
    free (response.body);
    if (outcome != CLI_CALL_NOT_SENT)
      return status;
  }
  cli_error ("no entry reachable (%u tried); nothing was submitted", cli->entry_count);
  return CLI_UNREACHABLE;
}

int
cli_apply (Cli *cli, int argc, char **argv)
{
  static const struct argp argp = {
    options, parse_option, "FILE", "Submits a franchise file.", NULL, NULL, NULL
  };
  Arguments arguments = { .operator_name = default_operator () };
  BurdockConfig *config;
  char *text;
  int status;

  cli_parse_options (&argp, argc, argv, &arguments);
  if (cli_require_entry_and_key (cli) != 0)
    return CLI_USAGE;
  status = cli_read_config (arguments.file, &text, &config);
  if (status != CLI_OK)
    return status;
  burdock_config_unref (config);
  status = submit (cli, &arguments, text);
  free (text);
  return status;
}
