/**
 * DOC: expert-map.h - which rank hosts a copy of which expert, for each layer
 */
#ifndef BURDOCK_EXPERT_MAP_H
#define BURDOCK_EXPERT_MAP_H

#include "burdock.h"

/* Bounds of the memory that a malformed or malicious map can make the decoder allocate.
 */
#define BURDOCK_MAP_LAYERS_MAX 256
#define BURDOCK_MAP_RANKS_MAX 64
#define BURDOCK_MAP_SLOTS_MAX 512

/**
 * struct BurdockExpertMap - expert of each slot
 * @slots: slots per rank and layer
 * @experts: layer by layer, within a layer rank by rank, within a rank slot by slot;
 * owned
 */
typedef struct {
  uint32_t layers;
  uint32_t ranks;
  uint32_t slots;
  uint16_t *experts;
} BurdockExpertMap;

/**
 * burdock_expert_map_init() - initialises @map with expert 0 in all slots
 * Returns 0; -EINVAL for a dimension out of bounds; -ENOMEM. Release with
 * burdock_expert_map_clear().
 */
int burdock_expert_map_init (BurdockExpertMap *map, uint32_t layers, uint32_t ranks,
                             uint32_t slots);
/** burdock_expert_map_clear() - releases the memory of @map and zeroes it */
void burdock_expert_map_clear (BurdockExpertMap *map);

/** burdock_expert_map_copy() - initialises @out as a deep copy of @map */
void burdock_expert_map_copy (BurdockExpertMap *out, const BurdockExpertMap *map);

/** burdock_expert_map_spread() - fills the slots of each layer with 0..@experts-1 in
 * turn */
void burdock_expert_map_spread (BurdockExpertMap *map, uint32_t experts);

/** burdock_expert_map_check() - 0 if each layer has a copy of all of 0..@experts-1 and
 * of no other expert, otherwise -EINVAL */
int burdock_expert_map_check (const BurdockExpertMap *map, uint32_t experts);

/**
 * burdock_expert_map_encode() - encodes @map in the wire format of docs/platform.md
 * @bytes: receives memory to be released with free()
 * Layers, ranks and slots as big-endian u32, then the expert of each slot as big-endian
 * u16. Returns 0 or -ENOMEM.
 */
int burdock_expert_map_encode (const BurdockExpertMap *map, uint8_t **bytes,
                               uint32_t *length_bytes);

/** burdock_expert_map_decode() - initialises @out from the wire format; -EPROTO for
 * malformed bytes */
int burdock_expert_map_decode (BurdockBytes bytes, BurdockExpertMap *out);

/** burdock_expert_map_moves() - number of copies in @after whose rank hosts no copy of
 * the expert in @before */
uint64_t burdock_expert_map_moves (const BurdockExpertMap *before,
                                   const BurdockExpertMap *after);

/** burdock_expert_map_slot_count() - slots of all layers and ranks */
static inline uint32_t
burdock_expert_map_slot_count (const BurdockExpertMap *map)
{
  return map->layers * map->ranks * map->slots;
}

/** burdock_expert_map_rank_slots() - experts in the slots of @rank in @layer */
static inline uint16_t *
burdock_expert_map_rank_slots (const BurdockExpertMap *map, uint32_t layer, uint32_t rank)
{
  return map->experts + ((size_t)layer * map->ranks + rank) * map->slots;
}

#endif
