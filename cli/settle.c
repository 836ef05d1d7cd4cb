#include "cli.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_BYTES 256

static int
outcome_exit_status (const char *outcome)
{
  if (strcmp (outcome, "accepted") == 0)
    return CLI_OK;
  if (strcmp (outcome, "refused-invalid") == 0)
    return CLI_USAGE;
  if (strncmp (outcome, "refused", strlen ("refused")) == 0)
    return CLI_REFUSED;
  return CLI_UNKNOWN;
}

int
cli_print_outcome (const Cli *cli, const json_t *answer, const char *attempt_id)
{
  const char *outcome = cli_json_string (answer, "outcome");
  int status = outcome_exit_status (outcome);

  if (cli->json) {
    cli_print_json (answer);
    return status;
  }
  if (status == CLI_OK)
    cli_print (cli, CLI_GOOD, "accepted: generation %lld (attempt %s)\n",
               (long long)cli_json_integer (answer, "generation"), attempt_id);
  else if (status == CLI_UNKNOWN)
    cli_print (cli, CLI_WARN, "unknown: %s\nresolve it with: burdockctl settle %s\n",
               cli_json_string (answer, "error"), attempt_id);
  else
    cli_print (cli, CLI_BAD, "refused: %s\n", cli_json_string (answer, "error"));
  return status;
}

int
cli_settle_attempt (const Cli *cli, const char *attempt_id)
{
  char *escaped = cli_url_escape (attempt_id);
  char target[TARGET_BYTES];

  snprintf (target, sizeof target, "/v1/admin/config/attempt/%s", escaped);
  free (escaped);
  for (uint32_t i = 0; i < cli->entry_count; i++) {
    CliResponse response;
    CliCallOutcome outcome = cli_call (cli, cli->entries[i], "GET", target,
                                       (BurdockBytes){ NULL, 0 }, &response);
    json_t *answer = json_loadb (response.body != NULL ? response.body : "",
                                 response.body_bytes, 0, NULL);
    bool answered = outcome == CLI_CALL_OK && json_object_get (answer, "outcome") != NULL;
    int status = CLI_UNREACHABLE;

    if (answered)
      status = cli_print_outcome (cli, answer, attempt_id);
    else if (outcome == CLI_CALL_OK)
      cli_error ("%s: status %ld: %s", cli->entries[i], response.status,
                 cli_json_string (answer, "error"));
    json_decref (answer);
    free (response.body);
    if (answered)
      return status;
  }
  cli_error ("no entry reported the outcome; resolve it with: burdockctl settle %s",
             attempt_id);
  return CLI_UNREACHABLE;
}

static bool
is_attempt_id (const char *text)
{
  size_t length_bytes = strlen (text);

  for (size_t i = 0; i < length_bytes; i++) {
    if (!isalnum ((unsigned char)text[i]) && text[i] != '-')
      return false;
  }
  return length_bytes > 0 && length_bytes < BURDOCK_NAME_BYTES;
}

int
cli_settle (Cli *cli, int argc, char **argv)
{
  if (cli_check_arguments (argv[0], argc, 1, 1, "ATTEMPT") < 0 ||
      cli_require_entry_and_key (cli) != 0)
    return CLI_USAGE;
  if (!is_attempt_id (argv[1])) {
    cli_error ("attempt \"%s\": allowed: 1 to %d letters, digits and \"-\"", argv[1],
               BURDOCK_NAME_BYTES - 1);
    return CLI_USAGE;
  }
  return cli_settle_attempt (cli, argv[1]);
}
