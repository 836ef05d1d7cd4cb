#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_BYTES 512

static void
print_effective (const Cli *cli, const json_t *report)
{
  const json_t *setting;
  const char *name;

  printf ("workspace %s, branch %s (line %lld)\n", cli_json_string (report, "workspace"),
          cli_json_string (report, "branch"),
          (long long)cli_json_integer (report, "line"));
  json_object_foreach ((json_t *)json_object_get (report, "settings"), name, setting)
  {
    char *value =
        json_dumps (json_object_get (setting, "value"), JSON_ENCODE_ANY | JSON_COMPACT);

    printf ("  %-14s %s", name, value);
    cli_print (cli, CLI_DIM, "  from %s, line %lld\n", cli_json_string (setting, "from"),
               (long long)cli_json_integer (setting, "line"));
    free (value);
  }
}

static int
show_effective (const Cli *cli, const char *workspace, const char *branch)
{
  char *escaped_workspace = cli_url_escape (workspace);
  char *escaped_branch = cli_url_escape (branch);
  char target[TARGET_BYTES];
  json_t *report;
  int status;

  snprintf (target, sizeof target, "/v1/admin/effective?workspace=%.200s&branch=%.200s",
            escaped_workspace, escaped_branch);
  free (escaped_workspace);
  free (escaped_branch);
  status = cli_get_report (cli, target, &report);
  if (status == CLI_OK && json_object_get (report, "error") != NULL) {
    cli_error ("workspace %s, branch %s: %s", workspace, branch[0] != '\0' ? branch : "-",
               cli_json_string (report, "error"));
    status = CLI_REFUSED;
  } else if (status == CLI_OK && cli->json) {
    cli_print_json (report);
  } else if (status == CLI_OK) {
    print_effective (cli, report);
  }
  json_decref (report);
  return status;
}

static int
show_configuration (const Cli *cli)
{
  const char *body;
  json_t *report;
  int status = cli_get_report (cli, "/v1/admin/config", &report);

  if (status != CLI_OK)
    return status;
  body = json_string_value (json_object_get (report, "body"));
  if (cli->json) {
    cli_print_json (report);
  } else {
    cli_print (cli, CLI_DIM, "# generation %lld, hash %s, from %s\n",
               (long long)cli_json_integer (report, "generation"),
               cli_json_string (report, "hash"), cli_json_string (report, "instance"));
    fputs (body != NULL ? body : "", stdout);
  }
  json_decref (report);
  return CLI_OK;
}

int
cli_show (Cli *cli, int argc, char **argv)
{
  static const char usage[] = "[effective WORKSPACE [BRANCH]]";

  if (cli_check_arguments (argv[0], argc, 0, 3, usage) < 0 ||
      cli_require_entry_and_key (cli) != 0)
    return CLI_USAGE;
  if (argc == 1)
    return show_configuration (cli);
  if (argc == 2 || strcmp (argv[1], "effective") != 0) {
    cli_error ("usage: %s %s", argv[0], usage);
    return CLI_USAGE;
  }
  return show_effective (cli, argv[2], argc > 3 ? argv[3] : "");
}
