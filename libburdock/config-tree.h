/**
 * DOC: config-tree.h - YAML document as a tree of nodes with line numbers
 */
#ifndef BURDOCK_CONFIG_TREE_H
#define BURDOCK_CONFIG_TREE_H

#include "config.h"

typedef enum {
  BURDOCK_NODE_SCALAR = 1,
  BURDOCK_NODE_LIST,
  BURDOCK_NODE_MAP,
} BurdockNodeKind;

/**
 * struct BurdockNode - scalar, list or map
 * @line: line of the file where the node starts, counted from 1
 * @text: value of a scalar, NULL for lists and maps
 * @count: number of nodes in @items, twice the number of pairs for a map
 * @items: elements of a list, or alternating keys and values of a map
 */
typedef struct BurdockNode BurdockNode;
struct BurdockNode {
  BurdockNodeKind kind;
  uint32_t line;
  char *text;
  uint32_t count;
  uint32_t allocated;
  BurdockNode *items;
};

/**
 * struct BurdockConfigDiagnostics - file name for error messages and their destination
 * @error: receives the error; may be NULL
 */
typedef struct {
  const char *file;
  BurdockError *error;
} BurdockConfigDiagnostics;

/**
 * burdock_config_error() - reports an error at a line of the file
 * @key: key to which the error applies, "-" for none
 * @value: value found, NULL to leave it out of the message
 * @format: printf format of the reason
 * Returns -EINVAL.
 */
int burdock_config_error (const BurdockConfigDiagnostics *diagnostics, uint32_t line,
                          const char *key, const char *value, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/**
 * burdock_config_tree_read() - parses @text, which must contain exactly one document
 * Rejects anchors, aliases, tags, duplicate keys, keys that are not scalars, and nesting
 * beyond BURDOCK_CONFIG_MAX_DEPTH. The caller frees the content of @root with
 * burdock_config_tree_clear(), also after an error.
 * Returns 0, or -EINVAL with the error reported through @diagnostics.
 */
int burdock_config_tree_read (const BurdockConfigDiagnostics *diagnostics,
                              BurdockBytes text, BurdockNode *root);

/** burdock_config_tree_clear() - frees everything below @root, but not @root itself */
void burdock_config_tree_clear (BurdockNode *root);

#endif
