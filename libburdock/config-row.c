#include "config-controller.h"

#include "error.h"

#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

/* JSON numbers are exact up to 2^53. After a higher one there may be no generation that a
 * row can have. */
#define GENERATION_MAX (INT64_C (1) << 53)

void
burdock_config_hash (BurdockBytes body, uint8_t hash[BURDOCK_HASH_BYTES])
{
  crypto_generichash (hash, BURDOCK_HASH_BYTES, body.data, body.length_bytes, NULL, 0);
}

void
burdock_config_hash_text (const uint8_t hash[BURDOCK_HASH_BYTES],
                          char text[BURDOCK_HASH_TEXT_BYTES])
{
  sodium_bin2hex (text, BURDOCK_HASH_TEXT_BYTES, hash, BURDOCK_HASH_BYTES);
}

static int
parse_row_object (const json_t *root, BurdockConfigRow *row)
{
  const char *hash = json_string_value (json_object_get (root, "hash"));
  const char *attempt = json_string_value (json_object_get (root, "attempt"));
  const char *operator_name = json_string_value (json_object_get (root, "operator"));
  const json_t *number = json_object_get (root, "generation");
  json_int_t generation = json_integer_value (number);
  size_t hash_bytes = 0;

  if (attempt == NULL || !json_is_integer (number) || generation < 0 ||
      generation > GENERATION_MAX)
    return -EPROTO;
  burdock_copy_name (row->attempt_id, sizeof row->attempt_id, attempt);
  if (operator_name != NULL)
    burdock_copy_name (row->operator_name, sizeof row->operator_name, operator_name);
  if (generation == 0)
    return 0;
  if (hash == NULL ||
      sodium_hex2bin (row->hash, sizeof row->hash, hash, strlen (hash), NULL, &hash_bytes,
                      NULL) != 0 ||
      hash_bytes != sizeof row->hash)
    return -EPROTO;
  row->generation = (uint64_t)generation;
  return 0;
}

int
burdock_config_row_parse (BurdockBytes value, BurdockConfigRow *row)
{
  json_t *root = NULL;
  int status = -EPROTO;

  memset (row, 0, sizeof *row);
  if (value.data != NULL && value.length_bytes > 0)
    root = json_loadb ((const char *)value.data, value.length_bytes, 0, NULL);
  if (root != NULL)
    status = parse_row_object (root, row);
  json_decref (root);
  return status;
}

char *
burdock_config_row_text (const BurdockConfigRow *row)
{
  char hash[BURDOCK_HASH_TEXT_BYTES];
  json_t *root;
  char *text;

  burdock_config_hash_text (row->hash, hash);
  root = json_pack ("{s:I, s:s, s:s, s:s}", "generation", (json_int_t)row->generation,
                    "hash", row->generation > 0 ? hash : "", "attempt", row->attempt_id,
                    "operator", row->operator_name);
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (root);
  return text;
}
