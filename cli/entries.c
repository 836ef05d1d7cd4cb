#include "cli.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#define TARGET_BYTES 256

static const struct argp_option options[] = {
  { "failure-domain", 'd', "NAME", 0, "failure domain of the caller", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  const char **failure_domain = state->input;

  switch (key) {
  case 'd':
    *failure_domain = argument;
    return 0;
  case ARGP_KEY_ARG:
    argp_usage (state);
    return EINVAL;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void
print_entries (const json_t *report)
{
  const json_t *entry;
  size_t i;

  printf ("lifetime %.1f s\n",
          json_number_value (json_object_get (report, "lifetime_s")));
  json_array_foreach (json_object_get (report, "entries"), i, entry)
      printf ("  %-24s weight %.3f\n", cli_json_string (entry, "address"),
              json_number_value (json_object_get (entry, "weight")));
}

int
cli_entries (Cli *cli, int argc, char **argv)
{
  static const struct argp argp = { options, parse_option,
                                    "",      "Shows the entries that callers are given.",
                                    NULL,    NULL,
                                    NULL };
  const char *failure_domain = "";
  char target[TARGET_BYTES];
  char *escaped;
  json_t *report;
  int status;

  cli_parse_options (&argp, argc, argv, &failure_domain);
  if (cli->entry_count == 0) {
    cli_error ("no entry given: use --entry or BURDOCK_ENTRIES");
    return CLI_USAGE;
  }
  escaped = cli_url_escape (failure_domain);
  snprintf (target, sizeof target, "/v1/entries%s%.200s",
            escaped[0] != '\0' ? "?failure_domain=" : "", escaped);
  free (escaped);
  status = cli_get_report (cli, target, &report);
  if (status == CLI_OK && cli->json)
    cli_print_json (report);
  else if (status == CLI_OK)
    print_entries (report);
  json_decref (report);
  return status;
}
