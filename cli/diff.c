#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
print_value (const Cli *cli, CliColour colour, const char *mark, const json_t *value)
{
  char *text;

  if (value == NULL)
    return;
  text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  cli_print (cli, colour, "    %s %s\n", mark, text);
  free (text);
}

static void
print_settings (const Cli *cli, const json_t *settings)
{
  const json_t *setting;
  size_t i;

  json_array_foreach (settings, i, setting)
  {
    printf ("  %s\n", cli_json_string (setting, "setting"));
    print_value (cli, CLI_BAD, "-", json_object_get (setting, "before"));
    print_value (cli, CLI_GOOD, "+", json_object_get (setting, "after"));
  }
}

static size_t
print_section (const Cli *cli, const json_t *diff, const char *section)
{
  const json_t *changes = json_object_get (diff, section);
  const json_t *change;
  size_t i;

  json_array_foreach (changes, i, change)
  {
    printf ("%s %s: %s\n", section, cli_json_string (change, "name"),
            cli_json_string (change, "change"));
    print_value (cli, CLI_BAD, "-", json_object_get (change, "before"));
    print_value (cli, CLI_GOOD, "+", json_object_get (change, "after"));
  }
  return json_array_size (changes);
}

static void
print_diff (const Cli *cli, const json_t *diff, json_int_t generation)
{
  const json_t *branches = json_object_get (diff, "branches");
  const json_t *change;
  size_t count = json_array_size (branches);
  size_t i;

  printf ("against generation %lld\n", (long long)generation);
  count += print_section (cli, diff, "models");
  count += print_section (cli, diff, "pools");
  count += print_section (cli, diff, "groups");
  json_array_foreach (branches, i, change)
  {
    const char *branch = cli_json_string (change, "branch");

    if (strcmp (branch, "-") == 0)
      printf ("workspace %s: %s\n", cli_json_string (change, "workspace"),
              cli_json_string (change, "change"));
    else
      printf ("branch %s of %s: %s\n", branch, cli_json_string (change, "workspace"),
              cli_json_string (change, "change"));
    print_settings (cli, json_object_get (change, "settings"));
  }
  if (count == 0)
    printf ("no change\n");
}

static int
diff_against (const Cli *cli, const json_t *report, const BurdockConfig *after)
{
  const char *body = json_string_value (json_object_get (report, "body"));
  BurdockConfig *before = NULL;
  BurdockError error = { .code = 0 };
  char *text;
  json_t *diff;

  if (cli_json_integer (report, "generation") == 0) {
    printf ("no configuration is in force\n");
    return CLI_OK;
  }
  if (body == NULL || burdock_config_parse ("configuration in force",
                                            (BurdockBytes){ (const uint8_t *)body,
                                                            (uint32_t)strlen (body) },
                                            &before, &error) < 0) {
    cli_error ("the configuration in force cannot be read: %s", error.detail);
    return CLI_REFUSED;
  }
  text = burdock_config_diff_json (before, after);
  diff = json_loads (text, 0, NULL);
  if (cli->json)
    cli_print_json (diff);
  else
    print_diff (cli, diff, cli_json_integer (report, "generation"));
  json_decref (diff);
  free (text);
  burdock_config_unref (before);
  return CLI_OK;
}

int
cli_diff (Cli *cli, int argc, char **argv)
{
  BurdockConfig *after;
  json_t *report;
  char *text;
  int status;

  if (cli_check_arguments (argv[0], argc, 1, 1, "FILE") < 0 ||
      cli_require_entry_and_key (cli) != 0)
    return CLI_USAGE;
  status = cli_read_config (argv[1], &text, &after);
  if (status != CLI_OK)
    return status;
  status = cli_get_report (cli, "/v1/admin/config", &report);
  if (status == CLI_OK)
    status = diff_against (cli, report, after);
  json_decref (report);
  burdock_config_unref (after);
  free (text);
  return status;
}
