#include "config-tree.h"

#include "error.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define INITIAL_ITEM_CAPACITY 4

typedef struct {
  const BurdockConfigDiagnostics *diagnostics;
  yaml_parser_t parser;
} TreeReader;

int
burdock_config_error (const BurdockConfigDiagnostics *diagnostics, uint32_t line,
                      const char *key, const char *value, const char *format, ...)
{
  char what[160];
  va_list args;

  va_start (args, format);
  vsnprintf (what, sizeof what, format, args);
  va_end (args);
  if (value == NULL)
    return burdock_error_set (diagnostics->error, -EINVAL, "read configuration",
                              "%.60s:%u: key \"%.40s\": %s", diagnostics->file, line, key,
                              what);
  return burdock_error_set (diagnostics->error, -EINVAL, "read configuration",
                            "%.60s:%u: key \"%.40s\", value \"%.40s\": %s",
                            diagnostics->file, line, key, value, what);
}

static int
next_event (TreeReader *tree, yaml_event_t *event)
{
  const yaml_parser_t *parser = &tree->parser;

  if (yaml_parser_parse (&tree->parser, event))
    return 0;
  return burdock_config_error (tree->diagnostics, (uint32_t)parser->problem_mark.line + 1,
                               "-", NULL, "not YAML: %s",
                               parser->problem != NULL ? parser->problem : "unreadable");
}

static BurdockNode *
append_item (BurdockNode *node)
{
  if (node->count == node->allocated) {
    node->allocated = node->allocated > 0 ? 2 * node->allocated : INITIAL_ITEM_CAPACITY;
    node->items = realloc (node->items, node->allocated * sizeof *node->items);
  }
  memset (&node->items[node->count], 0, sizeof *node->items);
  return &node->items[node->count++];
}

static int
reject_anchor_or_tag (TreeReader *tree, uint32_t line, const yaml_char_t *anchor,
                      const yaml_char_t *tag)
{
  if (anchor != NULL)
    return burdock_config_error (tree->diagnostics, line, "-", (const char *)anchor,
                                 "anchors are not allowed; write the value out");
  if (tag != NULL)
    return burdock_config_error (tree->diagnostics, line, "-", (const char *)tag,
                                 "tags are not allowed");
  return 0;
}

static int
read_scalar (TreeReader *tree, const yaml_event_t *event, BurdockNode *node)
{
  const char *text = (const char *)event->data.scalar.value;
  size_t length_bytes = event->data.scalar.length;

  node->kind = BURDOCK_NODE_SCALAR;
  if (memchr (text, '\0', length_bytes) != NULL)
    return burdock_config_error (tree->diagnostics, node->line, "-", text,
                                 "contains a NUL byte");
  node->text = strndup (text, length_bytes);
  return reject_anchor_or_tag (tree, node->line, event->data.scalar.anchor,
                               event->data.scalar.tag);
}

typedef struct {
  const char *key;
  uint32_t line;
} KeyLine;

static int
compare_keys (const void *a, const void *b)
{
  const KeyLine *left = a;
  const KeyLine *right = b;
  int order = strcmp (left->key, right->key);

  if (order != 0)
    return order;
  return left->line < right->line ? -1 : left->line > right->line;
}

/* Finds duplicate keys by sorting, as a map can have about 100,000 keys. */
static int
check_duplicate_keys (TreeReader *tree, const BurdockNode *node)
{
  uint32_t count = node->count / 2;
  KeyLine *keys;
  int status = 0;

  if (count < 2)
    return 0;
  keys = calloc (count, sizeof *keys);
  for (uint32_t i = 0; i < count; i++) {
    const BurdockNode *key = &node->items[2 * (size_t)i];

    keys[i] = (KeyLine){ .key = key->text, .line = key->line };
  }
  qsort (keys, count, sizeof *keys, compare_keys);
  for (uint32_t i = 1; status == 0 && i < count; i++) {
    if (strcmp (keys[i - 1].key, keys[i].key) == 0)
      status = burdock_config_error (tree->diagnostics, keys[i].line, keys[i].key, NULL,
                                     "duplicate key, first given in line %u",
                                     keys[i - 1].line);
  }
  free (keys);
  return status;
}

static int read_node (TreeReader *tree, const yaml_event_t *event, uint32_t depth,
                      BurdockNode *node);

static bool
is_end (const yaml_event_t *event)
{
  return event->type == YAML_SEQUENCE_END_EVENT || event->type == YAML_MAPPING_END_EVENT;
}

/* NOLINTNEXTLINE(misc-no-recursion): bounded by BURDOCK_CONFIG_MAX_DEPTH */
static int
read_items (TreeReader *tree, uint32_t depth, BurdockNode *node)
{
  for (;;) {
    yaml_event_t event = { .type = YAML_NO_EVENT };
    BurdockNode *item;
    int status = next_event (tree, &event);

    if (status < 0)
      return status;
    if (is_end (&event)) {
      yaml_event_delete (&event);
      return node->kind == BURDOCK_NODE_MAP ? check_duplicate_keys (tree, node) : 0;
    }
    item = append_item (node);
    status = read_node (tree, &event, depth + 1, item);
    yaml_event_delete (&event);
    if (status < 0)
      return status;
    if (node->kind == BURDOCK_NODE_MAP && node->count % 2 == 1 &&
        item->kind != BURDOCK_NODE_SCALAR)
      return burdock_config_error (tree->diagnostics, item->line, "-", NULL,
                                   "a key must be a scalar");
  }
}

/* NOLINTNEXTLINE(misc-no-recursion): bounded by BURDOCK_CONFIG_MAX_DEPTH */
static int
read_node (TreeReader *tree, const yaml_event_t *event, uint32_t depth, BurdockNode *node)
{
  int status;

  node->line = (uint32_t)event->start_mark.line + 1;
  if (depth > BURDOCK_CONFIG_MAX_DEPTH)
    return burdock_config_error (tree->diagnostics, node->line, "-", NULL,
                                 "nested deeper than %u levels",
                                 BURDOCK_CONFIG_MAX_DEPTH);
  switch (event->type) {
  case YAML_SCALAR_EVENT:
    return read_scalar (tree, event, node);
  case YAML_SEQUENCE_START_EVENT:
    node->kind = BURDOCK_NODE_LIST;
    status = reject_anchor_or_tag (tree, node->line, event->data.sequence_start.anchor,
                                   event->data.sequence_start.tag);
    break;
  case YAML_MAPPING_START_EVENT:
    node->kind = BURDOCK_NODE_MAP;
    status = reject_anchor_or_tag (tree, node->line, event->data.mapping_start.anchor,
                                   event->data.mapping_start.tag);
    break;
  case YAML_ALIAS_EVENT:
    return burdock_config_error (tree->diagnostics, node->line, "-",
                                 (const char *)event->data.alias.anchor,
                                 "aliases are not allowed; write the value out");
  default:
    return burdock_config_error (tree->diagnostics, node->line, "-", NULL,
                                 "the file is empty");
  }
  return status < 0 ? status : read_items (tree, depth, node);
}

/* Consumes one event; fails with @problem if it is not of @type. */
static int
expect_event (TreeReader *tree, yaml_event_type_t type, const char *problem)
{
  yaml_event_t event = { .type = YAML_NO_EVENT };
  int status = next_event (tree, &event);

  if (status < 0)
    return status;
  if (event.type != type)
    status = burdock_config_error (tree->diagnostics, (uint32_t)event.start_mark.line + 1,
                                   "-", NULL, "%s", problem);
  yaml_event_delete (&event);
  return status;
}

static int
read_document (TreeReader *tree, BurdockNode *root)
{
  yaml_event_t event = { .type = YAML_NO_EVENT };
  int status = expect_event (tree, YAML_STREAM_START_EVENT, "not YAML");

  if (status == 0)
    status = expect_event (tree, YAML_DOCUMENT_START_EVENT, "the file is empty");
  if (status == 0)
    status = next_event (tree, &event);
  if (status < 0)
    return status;
  status = read_node (tree, &event, 1, root);
  yaml_event_delete (&event);
  if (status == 0)
    status = expect_event (tree, YAML_DOCUMENT_END_EVENT, "not YAML");
  if (status == 0)
    status =
        expect_event (tree, YAML_STREAM_END_EVENT, "the file has more than one document");
  return status;
}

int
burdock_config_tree_read (const BurdockConfigDiagnostics *diagnostics, BurdockBytes text,
                          BurdockNode *root)
{
  TreeReader tree = { .diagnostics = diagnostics };
  int status;

  memset (root, 0, sizeof *root);
  if (text.length_bytes > BURDOCK_CONFIG_MAX_BYTES)
    return burdock_config_error (diagnostics, 1, "-", NULL,
                                 "the file has %u bytes; allowed: at most %u",
                                 text.length_bytes, BURDOCK_CONFIG_MAX_BYTES);
  if (!yaml_parser_initialize (&tree.parser))
    return burdock_config_error (diagnostics, 1, "-", NULL, "out of memory");
  yaml_parser_set_encoding (&tree.parser, YAML_UTF8_ENCODING);
  yaml_parser_set_input_string (&tree.parser, text.data, text.length_bytes);
  status = read_document (&tree, root);
  yaml_parser_delete (&tree.parser);
  return status;
}

/* NOLINTNEXTLINE(misc-no-recursion): bounded by BURDOCK_CONFIG_MAX_DEPTH */
void
burdock_config_tree_clear (BurdockNode *root)
{
  for (uint32_t i = 0; i < root->count; i++)
    burdock_config_tree_clear (&root->items[i]);
  free (root->items);
  free (root->text);
  memset (root, 0, sizeof *root);
}
