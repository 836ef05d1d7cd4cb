#include "replica-map.h"

#include "hash.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Layers, the highest rank and the highest expert, one byte each. */
#define HEADER_BYTES 3

/* Number of the changes of a layer, and the expert and rank of a change. */
#define CHANGE_COUNT_BYTES 2
#define CHANGE_BYTES 2

int
burdock_replica_map_init (BurdockReplicaMap *map, uint32_t layers, uint32_t ranks,
                          uint32_t experts)
{
  if (layers == 0 || ranks == 0 || experts == 0 || layers > BURDOCK_REPLICA_LAYERS_MAX ||
      ranks > BURDOCK_REPLICA_RANKS_MAX || experts > BURDOCK_REPLICA_EXPERTS_MAX)
    return -EINVAL;
  *map = (BurdockReplicaMap){ .layers = layers, .ranks = ranks, .experts = experts };
  map->hosts = calloc ((size_t)layers * experts, sizeof *map->hosts);
  return map->hosts != NULL ? 0 : -ENOMEM;
}

void
burdock_replica_map_clear (BurdockReplicaMap *map)
{
  free (map->hosts);
  *map = (BurdockReplicaMap){ 0 };
}

static size_t
hosts_bytes (const BurdockReplicaMap *map)
{
  return (size_t)map->layers * map->experts * sizeof *map->hosts;
}

int
burdock_replica_map_copy (BurdockReplicaMap *to, const BurdockReplicaMap *from)
{
  int status = burdock_replica_map_init (to, from->layers, from->ranks, from->experts);

  if (status == 0)
    burdock_replica_map_assign (to, from);
  return status;
}

void
burdock_replica_map_assign (BurdockReplicaMap *to, const BurdockReplicaMap *from)
{
  memcpy (to->hosts, from->hosts, hosts_bytes (from));
}

void
burdock_replica_map_spread (BurdockReplicaMap *map)
{
  memset (map->hosts, 0, hosts_bytes (map));
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    burdock_bit_set_add (&map->hosts[i], i % map->experts % map->ranks);
}

bool
burdock_replica_map_equal (const BurdockReplicaMap *a, const BurdockReplicaMap *b)
{
  return a->layers == b->layers && a->ranks == b->ranks && a->experts == b->experts &&
         memcmp (a->hosts, b->hosts, hosts_bytes (a)) == 0;
}

uint64_t
burdock_replica_map_hash (const BurdockReplicaMap *map)
{
  uint64_t hash =
      burdock_hash_pair (map->layers, burdock_hash_pair (map->ranks, map->experts));

  for (uint32_t i = 0; i < map->layers * map->experts; i++) {
    for (uint32_t w = 0; w < BURDOCK_BIT_SET_WORDS; w++)
      hash = burdock_hash_pair (hash, map->hosts[i].words[w]);
  }
  return hash;
}

uint32_t
burdock_replica_map_hosted_experts (const BurdockReplicaMap *map, uint32_t layer,
                                    uint32_t rank, uint8_t *experts)
{
  uint32_t count = 0;

  for (uint32_t e = 0; e < map->experts; e++) {
    if (burdock_bit_set_has (&map->hosts[layer * map->experts + e], rank))
      experts[count++] = (uint8_t)e;
  }
  return count;
}

int
burdock_replica_map_encode (const BurdockReplicaMap *map, uint8_t **bytes,
                            uint32_t *length_bytes)
{
  uint32_t at = HEADER_BYTES;
  uint8_t *out;

  *length_bytes = HEADER_BYTES + map->layers * map->ranks;
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    *length_bytes += burdock_bit_set_count (&map->hosts[i]);
  out = malloc (*length_bytes + map->experts);
  if (out == NULL)
    return -ENOMEM;
  out[0] = (uint8_t)map->layers;
  out[1] = (uint8_t)(map->ranks - 1);
  out[2] = (uint8_t)(map->experts - 1);
  for (uint32_t i = 0; i < map->layers * map->ranks; i++) {
    uint32_t count = burdock_replica_map_hosted_experts (map, i / map->ranks,
                                                         i % map->ranks, out + at + 1);

    out[at] = (uint8_t)count;
    at += 1 + count;
  }
  *bytes = out;
  return 0;
}

static bool
decode_ranks (BurdockBytes bytes, BurdockReplicaMap *map)
{
  uint32_t at = HEADER_BYTES;

  for (uint32_t i = 0; i < map->layers * map->ranks; i++) {
    uint32_t count = at < bytes.length_bytes ? bytes.data[at++] : UINT32_MAX;

    if (count > bytes.length_bytes - at)
      return false;
    for (uint32_t k = 0; k < count; k++, at++) {
      if (bytes.data[at] >= map->experts)
        return false;
      burdock_bit_set_add (&map->hosts[i / map->ranks * map->experts + bytes.data[at]],
                           i % map->ranks);
    }
  }
  return at == bytes.length_bytes;
}

int
burdock_replica_map_decode (BurdockBytes bytes, BurdockReplicaMap *out)
{
  if (bytes.length_bytes < HEADER_BYTES ||
      burdock_replica_map_init (out, bytes.data[0], bytes.data[1] + 1u,
                                bytes.data[2] + 1u) < 0)
    return -EPROTO;
  if (decode_ranks (bytes, out))
    return 0;
  burdock_replica_map_clear (out);
  return -EPROTO;
}

static BurdockBitSet
difference (const BurdockBitSet *a, const BurdockBitSet *b)
{
  BurdockBitSet changed;

  for (uint32_t i = 0; i < BURDOCK_BIT_SET_WORDS; i++)
    changed.words[i] = a->words[i] ^ b->words[i];
  return changed;
}

static uint32_t
count_changes (const BurdockReplicaMap *before, const BurdockReplicaMap *after)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < before->layers * before->experts; i++) {
    BurdockBitSet changed = difference (&before->hosts[i], &after->hosts[i]);

    count += burdock_bit_set_count (&changed);
  }
  return count;
}

/* Writes the changes of one layer and returns their number. */
static uint32_t
encode_layer_changes (const BurdockReplicaMap *before, const BurdockReplicaMap *after,
                      uint32_t layer, uint8_t *out)
{
  uint32_t count = 0;

  for (uint32_t e = 0; e < before->experts; e++) {
    uint32_t at = layer * before->experts + e;
    BurdockBitSet changed = difference (&before->hosts[at], &after->hosts[at]);

    for (uint32_t r = burdock_bit_set_next (&changed, 0); r < BURDOCK_BIT_SET_BITS;
         r = burdock_bit_set_next (&changed, r + 1)) {
      *out++ = (uint8_t)e;
      *out++ = (uint8_t)r;
      count++;
    }
  }
  return count;
}

int
burdock_replica_map_encode_changes (const BurdockReplicaMap *before,
                                    const BurdockReplicaMap *after, uint8_t **bytes,
                                    uint32_t *length_bytes)
{
  uint32_t total = count_changes (before, after);
  size_t at = 0;
  uint8_t *out;

  if (total > UINT16_MAX)
    return -EOVERFLOW;
  *length_bytes = before->layers * CHANGE_COUNT_BYTES + total * CHANGE_BYTES;
  out = malloc (*length_bytes);
  if (out == NULL)
    return -ENOMEM;
  for (uint32_t layer = 0; layer < before->layers; layer++) {
    uint32_t count =
        encode_layer_changes (before, after, layer, out + at + CHANGE_COUNT_BYTES);

    out[at] = (uint8_t)(count >> 8);
    out[at + 1] = (uint8_t)count;
    at += CHANGE_COUNT_BYTES + (size_t)count * CHANGE_BYTES;
  }
  *bytes = out;
  return 0;
}

static bool
apply_change (BurdockReplicaMap *map, uint32_t layer, uint32_t expert, uint32_t rank)
{
  BurdockBitSet *hosts = &map->hosts[layer * map->experts + expert];

  if (expert >= map->experts || rank >= map->ranks)
    return false;
  if (burdock_bit_set_has (hosts, rank))
    burdock_bit_set_remove (hosts, rank);
  else
    burdock_bit_set_add (hosts, rank);
  return true;
}

int
burdock_replica_map_apply_changes (BurdockReplicaMap *map, BurdockBytes bytes)
{
  uint32_t at = 0;

  for (uint32_t layer = 0; layer < map->layers; layer++) {
    uint32_t count;

    if (bytes.length_bytes - at < CHANGE_COUNT_BYTES)
      return -EPROTO;
    count = (uint32_t)bytes.data[at] << 8 | bytes.data[at + 1];
    at += CHANGE_COUNT_BYTES;
    if (count > (bytes.length_bytes - at) / CHANGE_BYTES)
      return -EPROTO;
    for (uint32_t i = 0; i < count; i++, at += CHANGE_BYTES) {
      if (!apply_change (map, layer, bytes.data[at], bytes.data[at + 1]))
        return -EPROTO;
    }
  }
  return at == bytes.length_bytes ? 0 : -EPROTO;
}
