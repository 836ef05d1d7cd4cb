#include "cli.h"

#include <stdio.h>
#include <string.h>

static CliColour
state_colour (const char *state)
{
  if (strcmp (state, "alive") == 0)
    return CLI_GOOD;
  return strcmp (state, "leaving") == 0 ? CLI_WARN : CLI_BAD;
}

static void
print_member (const Cli *cli, const json_t *member)
{
  const char *state = cli_json_string (member, "state");

  printf ("  %-20s %-6s ", cli_json_string (member, "name"),
          cli_json_string (member, "role"));
  cli_print (cli, state_colour (state), "%-8s", state);
  printf (" generation %-6lld %-12s %-12s %-12s rank %lld\n",
          (long long)cli_json_integer (member, "generation"),
          cli_json_string (member, "failure_domain"), cli_json_string (member, "pool"),
          cli_json_string (member, "group"),
          (long long)cli_json_integer (member, "rank"));
}

static void
print_config (const Cli *cli, const json_t *config)
{
  const char *refusal = cli_json_string (config, "refusal");

  printf ("instance %s: generation %lld, store %s, work ",
          cli_json_string (config, "instance"),
          (long long)cli_json_integer (config, "generation"),
          json_is_true (json_object_get (config, "store_available")) ? "answers"
                                                                     : "does not answer");
  if (strcmp (refusal, "none") == 0)
    cli_print (cli, CLI_GOOD, "accepted\n");
  else
    cli_print (cli, CLI_BAD, "refused (%s)\n", refusal);
}

static void
print_members (const Cli *cli, const json_t *report)
{
  const json_t *list = json_object_get (report, "members");
  const json_t *member;
  size_t i;

  printf ("members (%zu), generations as last heard here:\n", json_array_size (list) + 1);
  print_member (cli, json_object_get (report, "self"));
  json_array_foreach (list, i, member) print_member (cli, member);
}

static void
print_leases (const json_t *report)
{
  const json_t *list = json_object_get (report, "leases");
  const json_t *lease;
  size_t i;

  json_array_foreach (list, i, lease)
  {
    if (json_is_true (json_object_get (lease, "held")))
      printf ("lease %s: fence %lld, valid for %lld ms\n",
              cli_json_string (lease, "name"),
              (long long)cli_json_integer (lease, "fence"),
              (long long)cli_json_integer (lease, "valid_ms"));
  }
}

static void
print_groups (const json_t *report)
{
  const json_t *list = json_object_get (report, "groups");
  const json_t *group;
  size_t i;

  json_array_foreach (list, i, group)
  {
    if (!json_is_true (json_object_get (group, "coordinating")))
      continue;
    printf ("group %s: map epoch %lld, step %lld, skew %lld us, switches %lld, aborts "
            "%lld, moves %lld (%lld bytes)\n",
            cli_json_string (group, "name"),
            (long long)cli_json_integer (group, "map_epoch"),
            (long long)cli_json_integer (group, "step"),
            (long long)cli_json_integer (group, "skew_us"),
            (long long)cli_json_integer (group, "switches"),
            (long long)cli_json_integer (group, "aborts"),
            (long long)cli_json_integer (group, "moves"),
            (long long)cli_json_integer (group, "moved_bytes"));
  }
}

static void
print_all (const Cli *cli, const json_t *all)
{
  if (cli->json) {
    cli_print_json (all);
    return;
  }
  print_config (cli, json_object_get (all, "config"));
  print_leases (json_object_get (all, "leases"));
  print_groups (json_object_get (all, "groups"));
  print_members (cli, json_object_get (all, "members"));
}

/* The reports agree with each other as long as the same entry answers all calls. */
int
cli_status (Cli *cli, int argc, char **argv)
{
  static const char *const reports[] = { "config", "members", "groups", "leases" };
  json_t *all = json_object ();
  int status = CLI_OK;

  if (cli_check_arguments (argv[0], argc, 0, 0, "") < 0 ||
      cli_require_entry_and_key (cli) != 0)
    status = CLI_USAGE;
  for (size_t i = 0; status == CLI_OK && i < sizeof reports / sizeof reports[0]; i++) {
    char target[64];
    json_t *report;

    snprintf (target, sizeof target, "/v1/admin/%s", reports[i]);
    status = cli_get_report (cli, target, &report);
    if (report != NULL)
      json_object_set_new (all, reports[i], report);
  }
  if (status == CLI_OK)
    print_all (cli, all);
  json_decref (all);
  return status;
}
