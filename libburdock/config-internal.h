/**
 * DOC: config-internal.h - layout of BurdockConfig, shared by the config-*.c files
 */
#ifndef BURDOCK_CONFIG_INTERNAL_H
#define BURDOCK_CONFIG_INTERNAL_H

#include "config-tree.h"

/** enum BurdockSetting - settings that a workspace or a branch can override */
typedef enum {
  BURDOCK_SETTING_PRIORITY = 0,
  BURDOCK_SETTING_RUNNING_LIMIT,
  BURDOCK_SETTING_DEADLINE_MS,
  BURDOCK_SETTING_MODELS,
  BURDOCK_SETTING_SERVICES,
  BURDOCK_SETTING_COUNT,
} BurdockSetting;

extern const char *const burdock_setting_names[BURDOCK_SETTING_COUNT];
extern const char *const burdock_priority_names[BURDOCK_PRIORITY_COUNT + 1];

/** enum BurdockLevel - where a setting is given; a later level overrides earlier ones */
typedef enum {
  BURDOCK_LEVEL_BUILT_IN = 0,
  BURDOCK_LEVEL_FRANCHISE,
  BURDOCK_LEVEL_WORKSPACE,
  BURDOCK_LEVEL_BRANCH,
} BurdockLevel;

/** struct BurdockSettingOrigins - level and line of each setting; built-in: line 0 */
typedef struct {
  BurdockLevel levels[BURDOCK_SETTING_COUNT];
  uint32_t lines[BURDOCK_SETTING_COUNT];
} BurdockSettingOrigins;

/**
 * struct BurdockScope - effective settings of a workspace or branch with their origins
 * @line: line of the file that names the workspace or branch, counted from 1
 */
typedef struct {
  uint32_t line;
  BurdockSettingOrigins origins;
  const BurdockEffectiveSettings *effective;
} BurdockScope;

/** struct BurdockConfigAllocation - memory block that is freed with its configuration */
typedef struct BurdockConfigAllocation BurdockConfigAllocation;
struct BurdockConfigAllocation {
  BurdockConfigAllocation *next;
  max_align_t data[];
};

/**
 * struct BurdockConfig - parsed configuration file
 * @allocations: list of the memory blocks that hold the arrays below
 * @effective: settings of all workspaces, followed by those of all branches
 * @scopes: one for each element of @effective, in the same order
 * @slots: hash index of @effective with open addressing; 0 for an empty slot, otherwise
 *   the position in @effective plus one
 * @slot_mask: number of slots minus one; the number of slots is a power of two
 */
struct BurdockConfig {
  int32_t references;
  BurdockConfigAllocation *allocations;
  char franchise[BURDOCK_NAME_BYTES];
  uint32_t model_count;
  BurdockModel *models;
  uint32_t pool_count;
  BurdockPool *pools;
  uint32_t group_count;
  BurdockGroupConfig *groups;
  uint32_t workspace_count;
  uint32_t effective_count;
  BurdockEffectiveSettings *effective;
  BurdockScope *scopes;
  uint32_t *slots;
  uint32_t slot_mask;
};

/** burdock_config_alloc() - allocates zeroed memory that is freed with @config */
void *burdock_config_alloc (BurdockConfig *config, size_t count, size_t size_bytes);

typedef enum {
  BURDOCK_FIELD_NAME = 1, /* char[BURDOCK_NAME_BYTES] */
  BURDOCK_FIELD_U32,
  BURDOCK_FIELD_U64,
  BURDOCK_FIELD_REAL,   /* double from minimum to maximum */
  BURDOCK_FIELD_BOOL,   /* yes, no, true, false */
  BURDOCK_FIELD_CHOICE, /* enum; the value is minimum + index into choices */
  BURDOCK_FIELD_NAMES,  /* list of names; the count is stored at count_offset */
  BURDOCK_FIELD_NODE,   /* not parsed; stored as const BurdockNode * */
} BurdockFieldKind;

/**
 * struct BurdockField - key of a map, and the struct member that receives its value
 * @required: whether a map without the key is an error
 * @offset: offset of the member, in bytes
 * @count_offset: offset of the uint32_t with the length of the list, in bytes
 * @minimum: smallest number allowed
 * @maximum: largest number allowed
 */
typedef struct {
  const char *key;
  BurdockFieldKind kind;
  bool required;
  size_t offset;
  size_t count_offset;
  uint64_t minimum;
  uint64_t maximum;
  const char *const *choices; /* ends with NULL */
} BurdockField;

/** struct BurdockConfigParser - configuration under construction, and its diagnostics */
typedef struct {
  const BurdockConfigDiagnostics *diagnostics;
  BurdockConfig *config;
} BurdockConfigParser;

/*
 * The functions that take a parser return 0, or -EINVAL with the error reported through
 * its diagnostics. @key is the key that the error names.
 */

/**
 * burdock_config_read_fields() - reads map @node into the struct at @out
 * @table: keys that the map may have
 * @count: number of elements of @table, at most 31
 */
int burdock_config_read_fields (const BurdockConfigParser *parser,
                                const BurdockNode *node, const char *key,
                                const BurdockField *table, uint32_t count, void *out);

/** burdock_config_read_value() - reads the value of @field into the struct at @out */
int burdock_config_read_value (const BurdockConfigParser *parser, const BurdockNode *node,
                               const BurdockField *field, void *out);

/** burdock_config_check_kind() - fails for a node that is not of @kind */
int burdock_config_check_kind (const BurdockConfigParser *parser, const BurdockNode *node,
                               const char *key, BurdockNodeKind kind);

/** burdock_config_check_name() - fails for a node that is not a valid name */
int burdock_config_check_name (const BurdockConfigParser *parser, const BurdockNode *node,
                               const char *key);

/**
 * burdock_config_resolve() - builds the effective settings and their index
 * @defaults: section defaults, or NULL if the file has none
 * @workspaces: section workspaces
 */
int burdock_config_resolve (const BurdockConfigParser *parser,
                            const BurdockNode *defaults, const BurdockNode *workspaces);

/** burdock_config_build_index() - builds the hash index of the effective settings */
void burdock_config_build_index (BurdockConfig *config);

/** burdock_config_model() - finds a model, or returns NULL */
const BurdockModel *burdock_config_model (const BurdockConfig *config, const char *name);

/**
 * burdock_config_scope() - finds the scope of a workspace or branch, or returns NULL
 * @branch: name of the branch, "" for the workspace itself
 */
const BurdockScope *burdock_config_scope (const BurdockConfig *config,
                                          const char *workspace, const char *branch);

/** burdock_names_contain() - whether a list of names contains @name */
bool burdock_names_contain (const char (*names)[BURDOCK_NAME_BYTES], uint32_t count,
                            const char *name);

#endif
