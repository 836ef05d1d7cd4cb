#include "expert-map.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 12

static bool
sizes_valid (uint32_t layers, uint32_t ranks, uint32_t slots)
{
  return layers > 0 && layers <= BURDOCK_MAP_LAYERS_MAX && ranks > 0 &&
         ranks <= BURDOCK_MAP_RANKS_MAX && slots > 0 && slots <= BURDOCK_MAP_SLOTS_MAX;
}

int
burdock_expert_map_init (BurdockExpertMap *map, uint32_t layers, uint32_t ranks,
                         uint32_t slots)
{
  *map = (BurdockExpertMap){ .layers = layers, .ranks = ranks, .slots = slots };
  if (!sizes_valid (layers, ranks, slots))
    return -EINVAL;
  map->experts = calloc (burdock_expert_map_slot_count (map), sizeof *map->experts);
  return map->experts == NULL ? -ENOMEM : 0;
}

void
burdock_expert_map_clear (BurdockExpertMap *map)
{
  free (map->experts);
  *map = (BurdockExpertMap){ 0 };
}

void
burdock_expert_map_copy (BurdockExpertMap *out, const BurdockExpertMap *map)
{
  size_t size_bytes = burdock_expert_map_slot_count (map) * sizeof *map->experts;

  *out = *map;
  out->experts = malloc (size_bytes);
  memcpy (out->experts, map->experts, size_bytes);
}

void
burdock_expert_map_spread (BurdockExpertMap *map, uint32_t experts)
{
  uint32_t per_layer = map->ranks * map->slots;

  for (uint32_t i = 0; i < burdock_expert_map_slot_count (map); i++)
    map->experts[i] = (uint16_t)(i % per_layer % experts);
}

static bool
layer_is_complete (const BurdockExpertMap *map, uint32_t layer, uint32_t experts,
                   uint8_t *seen)
{
  const uint16_t *slots = burdock_expert_map_rank_slots (map, layer, 0);
  uint32_t distinct = 0;

  memset (seen, 0, experts);
  for (uint32_t i = 0; i < map->ranks * map->slots; i++) {
    if (slots[i] >= experts)
      return false;
    distinct += seen[slots[i]] == 0;
    seen[slots[i]] = 1;
  }
  return distinct == experts;
}

int
burdock_expert_map_check (const BurdockExpertMap *map, uint32_t experts)
{
  uint8_t *seen;
  int status = 0;

  if (experts == 0 || experts > UINT16_MAX)
    return -EINVAL;
  seen = malloc (experts);
  for (uint32_t l = 0; l < map->layers && status == 0; l++)
    status = layer_is_complete (map, l, experts, seen) ? 0 : -EINVAL;
  free (seen);
  return status;
}

static void
put_u32 (uint8_t *at, uint32_t value)
{
  at[0] = (uint8_t)(value >> 24);
  at[1] = (uint8_t)(value >> 16);
  at[2] = (uint8_t)(value >> 8);
  at[3] = (uint8_t)value;
}

static uint32_t
get_u32 (const uint8_t *at)
{
  return ((uint32_t)at[0] << 24) | ((uint32_t)at[1] << 16) | ((uint32_t)at[2] << 8) |
         at[3];
}

int
burdock_expert_map_encode (const BurdockExpertMap *map, uint8_t **bytes,
                           uint32_t *length_bytes)
{
  uint32_t count = burdock_expert_map_slot_count (map);
  uint8_t *at = malloc (HEADER_BYTES + (size_t)count * 2);

  if (at == NULL)
    return -ENOMEM;
  *bytes = at;
  *length_bytes = HEADER_BYTES + count * 2;
  put_u32 (at, map->layers);
  put_u32 (at + 4, map->ranks);
  put_u32 (at + 8, map->slots);
  at += HEADER_BYTES;
  for (uint32_t i = 0; i < count; i++) {
    at[(size_t)i * 2] = (uint8_t)(map->experts[i] >> 8);
    at[(size_t)i * 2 + 1] = (uint8_t)map->experts[i];
  }
  return 0;
}

int
burdock_expert_map_decode (BurdockBytes bytes, BurdockExpertMap *out)
{
  const uint8_t *at = bytes.data;
  uint32_t layers;
  uint32_t ranks;
  uint32_t slots;
  int status;

  *out = (BurdockExpertMap){ 0 };
  if (bytes.length_bytes < HEADER_BYTES)
    return -EPROTO;
  layers = get_u32 (at);
  ranks = get_u32 (at + 4);
  slots = get_u32 (at + 8);
  if (!sizes_valid (layers, ranks, slots) ||
      bytes.length_bytes != HEADER_BYTES + (uint64_t)layers * ranks * slots * 2)
    return -EPROTO;
  status = burdock_expert_map_init (out, layers, ranks, slots);
  if (status < 0)
    return status;
  at += HEADER_BYTES;
  for (uint32_t i = 0; i < layers * ranks * slots; i++)
    out->experts[i] = (uint16_t)((at[(size_t)i * 2] << 8) | at[(size_t)i * 2 + 1]);
  return 0;
}

static bool
slots_contain (const uint16_t *slots, uint32_t count, uint16_t expert)
{
  for (uint32_t i = 0; i < count; i++)
    if (slots[i] == expert)
      return true;
  return false;
}

uint64_t
burdock_expert_map_moves (const BurdockExpertMap *before, const BurdockExpertMap *after)
{
  uint64_t moves = 0;

  for (uint32_t l = 0; l < after->layers; l++) {
    for (uint32_t r = 0; r < after->ranks; r++) {
      const uint16_t *old_slots = burdock_expert_map_rank_slots (before, l, r);
      const uint16_t *new_slots = burdock_expert_map_rank_slots (after, l, r);

      for (uint32_t s = 0; s < after->slots; s++)
        moves += !slots_contain (old_slots, before->slots, new_slots[s]) &&
                 !slots_contain (new_slots, s, new_slots[s]);
    }
  }
  return moves;
}
