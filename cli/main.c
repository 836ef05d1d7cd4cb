#include "auth.h"
#include "cli.h"

#include <curl/curl.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_TIMEOUT_MS 15000
#define MAX_TIMEOUT_MS 600000

static const CliCommand commands[] = {
  { "check", "FILE", "check a franchise file without submitting it", cli_check },
  { "diff", "FILE", "show what a file would change, branch by branch", cli_diff },
  { "apply", "FILE [--wait]", "submit a franchise file", cli_apply },
  { "settle", "ATTEMPT", "decide the outcome of a submission", cli_settle },
  { "show", "[effective WORKSPACE [BRANCH]]", "show the configuration in force",
    cli_show },
  { "status", "", "show members, leases and rank groups", cli_status },
  { "entries", "[--failure-domain NAME]", "show the entries that callers are given",
    cli_entries },
  { "plan", "FILE GROUP TRACE", "plan a rank group from recorded popularity", cli_plan },
  { "replay", "FILE GROUP TRACE", "replay recorded popularity interval by interval",
    cli_replay },
  { "story", "ATTEMPT LOG...", "show the log records of one request", cli_story },
  { "timeline", "[FILTER...]", "show what happened, over all members", cli_timeline },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static const char documentation[] =
    "Command-line tool for operators of burdockwind.\v"
    "Commands:\n"
    "  check FILE                            check a franchise file\n"
    "  diff FILE                             show what a file would change\n"
    "  apply FILE [--wait]                   submit a franchise file\n"
    "  settle ATTEMPT                        decide the outcome of a submission\n"
    "  show [effective WORKSPACE [BRANCH]]   show the configuration in force\n"
    "  status                                show members, leases and rank groups\n"
    "  entries                               show the entries that callers are given\n"
    "  story ATTEMPT LOG...                  show the log records of one request\n"
    "  timeline                              show what happened, over all members\n"
    "  plan FILE GROUP TRACE                 plan a rank group from a trace\n"
    "  replay FILE GROUP TRACE               replay a trace interval by interval\n\n"
    "BURDOCK_ENTRIES lists entries, separated by commas; BURDOCK_OPERATOR_KEY holds the "
    "key of operators in hexadecimal. Exit status: 0 done, 1 refused, 2 wrong usage or "
    "invalid file, 3 outcome unknown, 4 no entry reachable.";

static const struct argp_option options[] = {
  { "entry", 'e', "HOST:PORT", 0, "entry to use; may be given several times", 0 },
  { "json", 'j', NULL, 0, "print JSON", 0 },
  { "timeout-ms", 't', "MS", 0, "time for one call to an entry (15000)", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

typedef struct {
  Cli *cli;
  int command_index;
} ParserInput;

static void
add_entry (Cli *cli, const char *entry, struct argp_state *state)
{
  if (strchr (entry, ':') == NULL)
    argp_error (state, "entry \"%s\" is not HOST:PORT", entry);
  if (cli->entry_count == CLI_ENTRIES_MAX)
    argp_error (state, "at most %d entries", CLI_ENTRIES_MAX);
  cli->entries[cli->entry_count++] = entry;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  ParserInput *input = state->input;
  char *end;

  switch (key) {
  case 'e':
    add_entry (input->cli, argument, state);
    return 0;
  case 'j':
    input->cli->json = true;
    return 0;
  case 't':
    input->cli->timeout_ms = (uint32_t)strtoul (argument, &end, 10);
    if (*end != '\0' || input->cli->timeout_ms == 0 ||
        input->cli->timeout_ms > MAX_TIMEOUT_MS)
      argp_error (state, "timeout \"%s\": allowed: 1 to %d", argument, MAX_TIMEOUT_MS);
    return 0;
  case ARGP_KEY_ARG:
    /* The remaining arguments belong to the command. */
    input->command_index = state->next - 1;
    state->next = state->argc;
    return 0;
  case ARGP_KEY_NO_ARGS:
    argp_usage (state);
    return EINVAL;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void
read_entries_from_environment (Cli *cli)
{
  const char *list = getenv ("BURDOCK_ENTRIES");
  char *rest;
  char *entry;

  if (cli->entry_count > 0 || list == NULL)
    return;
  cli->entry_list = strdup (list);
  entry = strtok_r (cli->entry_list, ", ", &rest);
  for (; entry != NULL && cli->entry_count < CLI_ENTRIES_MAX;
       entry = strtok_r (NULL, ", ", &rest))
    cli->entries[cli->entry_count++] = entry;
}

static int
read_environment (Cli *cli)
{
  const char *key = getenv ("BURDOCK_OPERATOR_KEY");

  read_entries_from_environment (cli);
  cli->colour = isatty (STDOUT_FILENO) == 1 && getenv ("NO_COLOR") == NULL;
  if (key == NULL)
    return CLI_OK;
  if (burdock_key_parse (key, cli->key) < 0) {
    cli_error ("BURDOCK_OPERATOR_KEY: allowed: %d hexadecimal digits",
               2 * BURDOCK_KEY_BYTES);
    return CLI_USAGE;
  }
  cli->has_key = true;
  return CLI_OK;
}

static int
run_command (Cli *cli, int argc, char **argv)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++) {
    char name[64];

    if (strcmp (commands[i].name, argv[0]) != 0)
      continue;
    snprintf (name, sizeof name, "burdockctl %s", commands[i].name);
    argv[0] = name;
    return commands[i].run (cli, argc, argv);
  }
  cli_error ("unknown command \"%s\"; see burdockctl --help", argv[0]);
  return CLI_USAGE;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { options,       parse_option, "COMMAND [ARGUMENT...]",
                                    documentation, NULL,         NULL,
                                    NULL };
  Cli cli = { .timeout_ms = DEFAULT_TIMEOUT_MS };
  ParserInput input = { .cli = &cli };
  int status;

  argp_err_exit_status = CLI_USAGE;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return CLI_USAGE;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &input);
  status = read_environment (&cli);
  if (status == CLI_OK)
    status = run_command (&cli, argc - input.command_index, argv + input.command_index);
  free (cli.entry_list);
  curl_global_cleanup ();
  return status;
}
