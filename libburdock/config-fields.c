#include "config-internal.h"

#include "error.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHOICES_TEXT_BYTES 160
#define DECIMAL 10

static const char *const kind_descriptions[] = {
  [BURDOCK_NODE_SCALAR] = "a single value",
  [BURDOCK_NODE_LIST] = "a list",
  [BURDOCK_NODE_MAP] = "a map of keys and values",
};

int
burdock_config_check_kind (const BurdockConfigParser *parser, const BurdockNode *node,
                           const char *key, BurdockNodeKind kind)
{
  if (node->kind == kind)
    return 0;
  return burdock_config_error (parser->diagnostics, node->line, key, node->text,
                               "allowed: %s", kind_descriptions[kind]);
}

int
burdock_config_check_name (const BurdockConfigParser *parser, const BurdockNode *node,
                           const char *key)
{
  int status = burdock_config_check_kind (parser, node, key, BURDOCK_NODE_SCALAR);
  size_t length_bytes;

  if (status < 0)
    return status;
  length_bytes = strlen (node->text);
  for (size_t i = 0; i < length_bytes; i++) {
    unsigned char c = (unsigned char)node->text[i];

    if (!isalnum (c) && strchr ("._-", c) == NULL)
      length_bytes = 0;
  }
  if (length_bytes > 0 && length_bytes < BURDOCK_NAME_BYTES)
    return 0;
  return burdock_config_error (parser->diagnostics, node->line, key, node->text,
                               "allowed: 1 to %d letters, digits, \".\", \"_\" and "
                               "\"-\"",
                               BURDOCK_NAME_BYTES - 1);
}

static int
read_integer (const BurdockConfigParser *parser, const BurdockNode *node,
              const BurdockField *field, uint64_t *out)
{
  char *end = NULL;
  unsigned long long value = 0;

  errno = 0;
  if (isdigit ((unsigned char)node->text[0]))
    value = strtoull (node->text, &end, DECIMAL);
  if (end == NULL || *end != '\0' || errno != 0 || value < field->minimum ||
      value > field->maximum)
    return burdock_config_error (parser->diagnostics, node->line, field->key, node->text,
                                 "allowed: a whole number from %llu to %llu",
                                 (unsigned long long)field->minimum,
                                 (unsigned long long)field->maximum);
  *out = value;
  return 0;
}

static int
read_real (const BurdockConfigParser *parser, const BurdockNode *node,
           const BurdockField *field, double *out)
{
  char *end = NULL;
  double value = strtod (node->text, &end);

  /* The negated comparison also rejects NaN. */
  if (end == node->text || *end != '\0' ||
      !(value >= (double)field->minimum && value <= (double)field->maximum))
    return burdock_config_error (parser->diagnostics, node->line, field->key, node->text,
                                 "allowed: a number from %llu to %llu",
                                 (unsigned long long)field->minimum,
                                 (unsigned long long)field->maximum);
  *out = value;
  return 0;
}

static void
join_choices (const char *const *choices, char *text, size_t size_bytes)
{
  size_t used = 0;

  text[0] = '\0';
  for (uint32_t i = 0; choices[i] != NULL && used < size_bytes; i++)
    used += (size_t)snprintf (text + used, size_bytes - used, "%s%s", i > 0 ? ", " : "",
                              choices[i]);
}

static int
read_choice (const BurdockConfigParser *parser, const BurdockNode *node, const char *key,
             const char *const *choices, uint32_t *out)
{
  char allowed[CHOICES_TEXT_BYTES];

  for (uint32_t i = 0; choices[i] != NULL; i++) {
    if (strcmp (node->text, choices[i]) == 0) {
      *out = i;
      return 0;
    }
  }
  join_choices (choices, allowed, sizeof allowed);
  return burdock_config_error (parser->diagnostics, node->line, key, node->text,
                               "allowed: %s", allowed);
}

static int
read_bool (const BurdockConfigParser *parser, const BurdockNode *node, const char *key,
           bool *out)
{
  static const char *const choices[] = { "no", "yes", "false", "true", NULL };
  uint32_t index = 0;
  int status = read_choice (parser, node, key, choices, &index);

  *out = index % 2 == 1;
  return status;
}

static int
read_names (const BurdockConfigParser *parser, const BurdockNode *node,
            const BurdockField *field, uint8_t *out)
{
  int status = burdock_config_check_kind (parser, node, field->key, BURDOCK_NODE_LIST);
  char (*names)[BURDOCK_NAME_BYTES];

  if (status < 0)
    return status;
  names = burdock_config_alloc (parser->config, node->count, sizeof *names);
  for (uint32_t i = 0; i < node->count; i++) {
    const BurdockNode *item = &node->items[i];

    status = burdock_config_check_name (parser, item, field->key);
    if (status < 0)
      return status;
    if (burdock_names_contain ((const char (*)[BURDOCK_NAME_BYTES])names, i, item->text))
      return burdock_config_error (parser->diagnostics, item->line, field->key,
                                   item->text, "duplicate name in the list");
    burdock_copy_name (names[i], sizeof names[i], item->text);
  }
  *(void **)(void *)(out + field->offset) = names;
  memcpy (out + field->count_offset, &node->count, sizeof node->count);
  return 0;
}

static int
read_scalar (const BurdockConfigParser *parser, const BurdockNode *node,
             const BurdockField *field, uint8_t *out)
{
  int status = burdock_config_check_kind (parser, node, field->key, BURDOCK_NODE_SCALAR);
  uint64_t value_u64 = 0;
  uint32_t value_u32 = 0;

  if (status < 0)
    return status;
  switch (field->kind) {
  case BURDOCK_FIELD_U64:
    return read_integer (parser, node, field, (uint64_t *)(void *)(out + field->offset));
  case BURDOCK_FIELD_U32:
    status = read_integer (parser, node, field, &value_u64);
    value_u32 = (uint32_t)value_u64;
    break;
  case BURDOCK_FIELD_REAL:
    return read_real (parser, node, field, (double *)(void *)(out + field->offset));
  case BURDOCK_FIELD_BOOL:
    return read_bool (parser, node, field->key, (bool *)(out + field->offset));
  case BURDOCK_FIELD_CHOICE:
    status = read_choice (parser, node, field->key, field->choices, &value_u32);
    value_u32 += (uint32_t)field->minimum;
    break;
  default:
    return -EINVAL;
  }
  memcpy (out + field->offset, &value_u32, sizeof value_u32);
  return status;
}

int
burdock_config_read_value (const BurdockConfigParser *parser, const BurdockNode *node,
                           const BurdockField *field, void *out)
{
  uint8_t *target = out;
  int status;

  switch (field->kind) {
  case BURDOCK_FIELD_NAME:
    status = burdock_config_check_name (parser, node, field->key);
    if (status == 0)
      burdock_copy_name ((char *)target + field->offset, BURDOCK_NAME_BYTES, node->text);
    return status;
  case BURDOCK_FIELD_NAMES:
    return read_names (parser, node, field, target);
  case BURDOCK_FIELD_NODE:
    *(const BurdockNode **)(void *)(target + field->offset) = node;
    return 0;
  default:
    return read_scalar (parser, node, field, target);
  }
}

static const BurdockField *
find_field (const BurdockField *table, uint32_t count, const char *key)
{
  for (uint32_t i = 0; i < count; i++) {
    if (strcmp (table[i].key, key) == 0)
      return &table[i];
  }
  return NULL;
}

static int
reject_unknown_key (const BurdockConfigParser *parser, const BurdockNode *node,
                    const BurdockField *table, uint32_t count)
{
  const char *keys[32] = { NULL };
  char allowed[CHOICES_TEXT_BYTES];

  for (uint32_t i = 0; i < count; i++)
    keys[i] = table[i].key;
  join_choices (keys, allowed, sizeof allowed);
  return burdock_config_error (parser->diagnostics, node->line, node->text, NULL,
                               "unknown key; allowed: %s", allowed);
}

int
burdock_config_read_fields (const BurdockConfigParser *parser, const BurdockNode *node,
                            const char *key, const BurdockField *table, uint32_t count,
                            void *out)
{
  uint64_t seen = 0;
  int status = burdock_config_check_kind (parser, node, key, BURDOCK_NODE_MAP);

  if (status < 0)
    return status;
  for (uint32_t i = 0; i + 1 < node->count; i += 2) {
    const BurdockField *field = find_field (table, count, node->items[i].text);

    if (field == NULL)
      return reject_unknown_key (parser, &node->items[i], table, count);
    seen |= UINT64_C (1) << (field - table);
    status = burdock_config_read_value (parser, &node->items[i + 1], field, out);
    if (status < 0)
      return status;
  }
  for (uint32_t i = 0; i < count; i++) {
    if (table[i].required && (seen & (UINT64_C (1) << i)) == 0)
      return burdock_config_error (parser->diagnostics, node->line, key, NULL,
                                   "key \"%s\" is missing", table[i].key);
  }
  return 0;
}
