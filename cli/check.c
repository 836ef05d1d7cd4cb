#include "cli.h"
#include "config.h"

#include <stdio.h>
#include <stdlib.h>

int
cli_check (Cli *cli, int argc, char **argv)
{
  BurdockConfig *config;
  uint32_t workspaces = 0;
  uint32_t pools = 0;
  uint32_t groups = 0;
  uint32_t models = 0;
  char *text;
  int status;

  if (cli_check_arguments (argv[0], argc, 1, 1, "FILE") < 0)
    return CLI_USAGE;
  status = cli_read_config (argv[1], &text, &config);
  if (status != CLI_OK)
    return status;
  burdock_config_workspaces (config, &workspaces);
  burdock_config_pools (config, &pools);
  burdock_config_groups (config, &groups);
  burdock_config_models (config, &models);
  if (cli->json)
    printf ("{\"valid\":true,\"workspaces\":%u,\"models\":%u,\"pools\":%u,"
            "\"groups\":%u}\n",
            workspaces, models, pools, groups);
  else
    printf ("%s: valid: franchise %s, %u workspaces, %u models, %u pools, %u groups\n",
            argv[1], burdock_config_franchise (config), workspaces, models, pools,
            groups);
  burdock_config_unref (config);
  free (text);
  return CLI_OK;
}
