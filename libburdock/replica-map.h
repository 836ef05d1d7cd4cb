/**
 * DOC: replica-map.h - which ranks of a group host a copy of which expert
 */
#ifndef BURDOCK_REPLICA_MAP_H
#define BURDOCK_REPLICA_MAP_H

#include "bit-set.h"
#include "burdock.h"

/* Largest group whose maps are planned. */
#define BURDOCK_REPLICA_RANKS_MAX BURDOCK_BIT_SET_BITS
#define BURDOCK_REPLICA_EXPERTS_MAX BURDOCK_BIT_SET_BITS
#define BURDOCK_REPLICA_LAYERS_MAX 255

/**
 * struct BurdockReplicaMap - ranks that host a copy of each expert
 * @hosts: layer by layer and expert by expert; owned
 */
typedef struct {
  uint32_t layers;
  uint32_t ranks;
  uint32_t experts;
  BurdockBitSet *hosts;
} BurdockReplicaMap;

/**
 * burdock_replica_map_init() - initialises @map without copies
 * Returns 0; -EINVAL for dimensions out of bounds; -ENOMEM. Release with
 * burdock_replica_map_clear().
 */
int burdock_replica_map_init (BurdockReplicaMap *map, uint32_t layers, uint32_t ranks,
                              uint32_t experts);

/** burdock_replica_map_clear() - releases the memory of @map and zeroes it */
void burdock_replica_map_clear (BurdockReplicaMap *map);

/** burdock_replica_map_copy() - initialises @to as a copy of @from; 0 or -ENOMEM */
int burdock_replica_map_copy (BurdockReplicaMap *to, const BurdockReplicaMap *from);

/** burdock_replica_map_assign() - copies the hosts of @from to @to, which has the same
 * dimensions */
void burdock_replica_map_assign (BurdockReplicaMap *to, const BurdockReplicaMap *from);

/** burdock_replica_map_spread() - places one copy of each expert, on the ranks in turn */
void burdock_replica_map_spread (BurdockReplicaMap *map);

/**
 * burdock_replica_map_encode() - encodes @map for the wire
 * @bytes: receives memory to be released with free()
 * Layers, the highest rank and the highest expert, then, layer by layer and rank by rank,
 * the number of experts and the experts, one byte each. Returns 0 or -ENOMEM.
 */
int burdock_replica_map_encode (const BurdockReplicaMap *map, uint8_t **bytes,
                                uint32_t *length_bytes);

/** burdock_replica_map_decode() - initialises @out from the wire format; -EPROTO for
 * malformed bytes */
int burdock_replica_map_decode (BurdockBytes bytes, BurdockReplicaMap *out);

/**
 * burdock_replica_map_encode_changes() - encodes the difference between two maps of the
 * same dimensions
 * @bytes: receives memory to be released with free()
 * Layer by layer, the number of changes, big-endian u16, then the expert and the rank of
 * each change, one byte each: the rank gets the expert if it does not host it, and drops
 * it if it does. Returns 0, -ENOMEM, or -EOVERFLOW for more changes in a layer than the
 * format allows.
 */
int burdock_replica_map_encode_changes (const BurdockReplicaMap *before,
                                        const BurdockReplicaMap *after, uint8_t **bytes,
                                        uint32_t *length_bytes);

/** burdock_replica_map_apply_changes() - applies encoded changes to @map; -EPROTO for
 * malformed bytes, which leave @map partly changed */
int burdock_replica_map_apply_changes (BurdockReplicaMap *map, BurdockBytes bytes);

/** burdock_replica_map_hosted_experts() - writes the experts that @rank hosts in @layer
 * to
 * @experts, which has room for all experts of a layer, and returns their number */
uint32_t burdock_replica_map_hosted_experts (const BurdockReplicaMap *map, uint32_t layer,
                                             uint32_t rank, uint8_t *experts);

/** burdock_replica_map_hash() - hash of the dimensions and hosts */
uint64_t burdock_replica_map_hash (const BurdockReplicaMap *map);

/** burdock_replica_map_equal() - whether two maps have the same dimensions and hosts */
bool burdock_replica_map_equal (const BurdockReplicaMap *a, const BurdockReplicaMap *b);

#endif
