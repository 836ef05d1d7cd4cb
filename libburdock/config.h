/**
 * DOC: config.h - parsed configuration file
 *
 * A configuration is immutable after burdock_config_parse() and has an atomic reference
 * count, so that snapshots can share it between threads. All pointers returned by the
 * functions below point into the configuration and are valid as long as it is.
 *
 * A file describes one franchise, the top level of the configuration, with its models,
 * pools, rank groups and workspaces. A setting can be given as a default of the
 * franchise, by a workspace, and by a branch of a workspace. The value of a branch
 * overrides that of its workspace, which overrides the default of the franchise, which
 * overrides the built-in value.
 */
#ifndef BURDOCK_CONFIG_H
#define BURDOCK_CONFIG_H

#include "burdock.h"

/* A file is sent in one frame; the other 4096 bytes are for the message header. */
#define BURDOCK_CONFIG_MAX_BYTES (BURDOCK_FRAME_MAX_BYTES - 4096)

/* Levels of nested lists and maps in a file. */
#define BURDOCK_CONFIG_MAX_DEPTH 16

typedef struct {
  char name[BURDOCK_NAME_BYTES];
  uint32_t version_count;
  char (*versions)[BURDOCK_NAME_BYTES];
  uint32_t adapter_count;
  char (*adapters)[BURDOCK_NAME_BYTES];
  uint64_t weight_bytes; /* size of the weights, for the cost of loading them */
} BurdockModel;

typedef enum {
  BURDOCK_POOL_MODEL = 1,
  BURDOCK_POOL_SERVICE,
} BurdockPoolKind;

/**
 * struct BurdockPool - interchangeable upstreams
 * @service: service that the pool provides, for BURDOCK_POOL_SERVICE
 * @models: models that the pool serves, for BURDOCK_POOL_MODEL
 * @running_limit: most requests that one upstream can hold at a time
 * @queue_limit: most requests that one entry queues for the pool
 * @checks_fencing: whether the upstreams reject outdated fencing tokens
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  BurdockPoolKind kind;
  char service[BURDOCK_NAME_BYTES];
  uint32_t model_count;
  char (*models)[BURDOCK_NAME_BYTES];
  uint32_t running_limit;
  uint32_t queue_limit;
  bool checks_fencing;
} BurdockPool;

/**
 * struct BurdockGroupConfig - configuration of a rank group
 * @pool: pool of kind model to which the group belongs
 * @experts: experts in each layer
 * @slots_per_rank: expert copies that fit in the memory of a rank, per layer
 * @skew_weight: weight of step-time skew in the rebalancing plan
 * @cost_weight: weight of the cost of moving experts in the rebalancing plan
 * @expert_bytes: size of one expert of one layer
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  char pool[BURDOCK_NAME_BYTES];
  uint32_t ranks;
  uint32_t layers;
  uint32_t experts;
  uint32_t slots_per_rank;
  double skew_weight;
  double cost_weight;
  uint64_t expert_bytes;
  uint32_t rebalance_interval_ms;
} BurdockGroupConfig;

/** struct BurdockGrant - version of a model, with or without adapter, that may be used */
typedef struct {
  char model[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  char adapter[BURDOCK_NAME_BYTES]; /* empty: no adapter; "*": any adapter of the model */
} BurdockGrant;

/**
 * struct BurdockEffectiveSettings - settings of a workspace or branch after all overrides
 * @running_limit: most requests of the workspace that run at a time, over all entries
 * @deadline_ms: deadline of requests that name none
 * @workspace_index: position of the workspace in burdock_config_workspaces()
 */
typedef struct {
  char workspace[BURDOCK_NAME_BYTES];
  char branch[BURDOCK_NAME_BYTES]; /* empty for the workspace itself */
  BurdockPriority priority;
  uint32_t running_limit;
  uint32_t deadline_ms;
  uint32_t grant_count;
  const BurdockGrant *grants;
  uint32_t service_count;
  const char (*services)[BURDOCK_NAME_BYTES];
  uint32_t workspace_index;
} BurdockEffectiveSettings;

/** burdock_config_franchise() - name of the franchise */
const char *burdock_config_franchise (const BurdockConfig *config);

/* Arrays in the order of the file; the number of elements is stored in @count. */
const BurdockModel *burdock_config_models (const BurdockConfig *config, uint32_t *count);
const BurdockPool *burdock_config_pools (const BurdockConfig *config, uint32_t *count);
const BurdockGroupConfig *burdock_config_groups (const BurdockConfig *config,
                                                 uint32_t *count);

/**
 * burdock_config_workspaces() - effective settings of all workspaces, without branches
 * @count: number of workspaces, written
 */
const BurdockEffectiveSettings *burdock_config_workspaces (const BurdockConfig *config,
                                                           uint32_t *count);

/**
 * burdock_config_effective() - finds the settings of a branch in constant time
 * @branch: name of the branch, "" for the workspace itself
 * Returns NULL if the configuration has no such workspace or branch.
 */
const BurdockEffectiveSettings *burdock_config_effective (const BurdockConfig *config,
                                                          const char *workspace,
                                                          const char *branch);

/* The functions below return NULL if nothing matches. */

/** burdock_config_pool_for_model() - first pool of the file that serves @model */
const BurdockPool *burdock_config_pool_for_model (const BurdockConfig *config,
                                                  const char *model);
/** burdock_config_pool_for_service() - the only pool that provides @service */
const BurdockPool *burdock_config_pool_for_service (const BurdockConfig *config,
                                                    const char *service);
const BurdockPool *burdock_config_pool (const BurdockConfig *config, const char *name);
const BurdockGroupConfig *burdock_config_group (const BurdockConfig *config,
                                                const char *name);

#endif
