/* Fake of config.h for tests of dispatchers and executors: one model, one service and a
 * pool for each. Every workspace but "stranger" may use both. */
#include "traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct BurdockConfig {
  int references;
};

static BurdockConfig only_config;
static const BurdockGrant grants[] = { { .model = TRAFFIC_MODEL, .adapter = "*" } };
static const char services[][BURDOCK_NAME_BYTES] = { TRAFFIC_SERVICE };
static const BurdockEffectiveSettings effective = {
  .priority = BURDOCK_PRIORITY_NORMAL,
  .running_limit = 1000,
  .deadline_ms = 10000,
  .grant_count = 1,
  .grants = grants,
  .service_count = 1,
  .services = services,
};
static const BurdockPool model_pool = { .name = "models", .queue_limit = 64 };
static const BurdockPool service_pool = { .name = "services", .queue_limit = 64 };

BurdockConfig *
traffic_config (void)
{
  return &only_config;
}

BurdockConfig *
burdock_config_ref (BurdockConfig *config)
{
  return config;
}

void
burdock_config_unref (BurdockConfig *config)
{
  (void)config;
}

const BurdockEffectiveSettings *
burdock_config_effective (const BurdockConfig *config, const char *workspace,
                          const char *branch)
{
  (void)config;
  (void)branch;
  return strcmp (workspace, "stranger") == 0 ? NULL : &effective;
}

const BurdockPool *
burdock_config_pool_for_model (const BurdockConfig *config, const char *model)
{
  (void)config;
  return strcmp (model, TRAFFIC_MODEL) == 0 ? &model_pool : NULL;
}

const BurdockPool *
burdock_config_pool_for_service (const BurdockConfig *config, const char *service)
{
  (void)config;
  return strcmp (service, TRAFFIC_SERVICE) == 0 ? &service_pool : NULL;
}
