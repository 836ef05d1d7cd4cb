/**
 * DOC: fuzz-maps.c - decodes arbitrary bytes as expert maps and rows of the store
 *
 * The first byte selects the format. A decoder either rejects the bytes or returns a
 * value that, encoded and decoded again, is the same.
 */
#include "config-controller.h"
#include "expert-map.h"
#include "replica-map.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

static void
decode_expert_map (BurdockBytes bytes)
{
  BurdockExpertMap map = { 0 };
  uint8_t *again = NULL;
  uint32_t again_bytes = 0;

  if (burdock_expert_map_decode (bytes, &map) < 0)
    return;
  if (burdock_expert_map_encode (&map, &again, &again_bytes) < 0 ||
      again_bytes != bytes.length_bytes || memcmp (again, bytes.data, again_bytes) != 0)
    abort ();
  free (again);
  burdock_expert_map_clear (&map);
}

static void
decode_replica_map (BurdockBytes bytes)
{
  BurdockReplicaMap map = { 0 };
  BurdockReplicaMap again = { 0 };
  uint8_t *encoded = NULL;
  uint32_t encoded_bytes = 0;

  if (burdock_replica_map_decode (bytes, &map) < 0)
    return;
  if (burdock_replica_map_encode (&map, &encoded, &encoded_bytes) < 0 ||
      burdock_replica_map_decode ((BurdockBytes){ encoded, encoded_bytes }, &again) < 0 ||
      burdock_replica_map_hash (&map) != burdock_replica_map_hash (&again))
    abort ();
  free (encoded);
  burdock_replica_map_clear (&map);
  burdock_replica_map_clear (&again);
}

/* The changes between the spread map and the result are the changes that were applied. */
static void
apply_changes (BurdockBytes bytes)
{
  BurdockReplicaMap before = { 0 };
  BurdockReplicaMap after = { 0 };
  uint8_t *encoded = NULL;
  uint32_t encoded_bytes = 0;

  if (burdock_replica_map_init (&before, 2, 4, 8) < 0)
    abort ();
  burdock_replica_map_spread (&before);
  if (burdock_replica_map_copy (&after, &before) < 0)
    abort ();
  if (burdock_replica_map_apply_changes (&after, bytes) == 0) {
    if (burdock_replica_map_encode_changes (&before, &after, &encoded, &encoded_bytes) <
            0 ||
        burdock_replica_map_apply_changes (&before,
                                           (BurdockBytes){ encoded, encoded_bytes }) <
            0 ||
        burdock_replica_map_hash (&before) != burdock_replica_map_hash (&after))
      abort ();
    free (encoded);
  }
  burdock_replica_map_clear (&before);
  burdock_replica_map_clear (&after);
}

static void
parse_config_row (BurdockBytes bytes)
{
  BurdockConfigRow row = { 0 };
  BurdockConfigRow again = { 0 };
  char *text;

  if (burdock_config_row_parse (bytes, &row) < 0)
    return;
  text = burdock_config_row_text (&row);
  if (text == NULL ||
      burdock_config_row_parse ((BurdockBytes){ (const uint8_t *)text,
                                                (uint32_t)strlen (text) },
                                &again) < 0 ||
      again.generation != row.generation)
    abort ();
  free (text);
}

static void (*const decoders[]) (BurdockBytes bytes) = {
  decode_expert_map, decode_replica_map, apply_changes, parse_config_row
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  if (size_bytes > 0)
    decoders[data[0] % (sizeof decoders / sizeof decoders[0])](
        (BurdockBytes){ data + 1, (uint32_t)size_bytes - 1 });
  return 0;
}
