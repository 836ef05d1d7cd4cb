/**
 * DOC: copy-plan.h - plans a new expert map that is near to the one in use
 *
 * For engines that load a bounded number of experts for each new map and whose ranks may
 * leave places empty. A step lasts, layer by layer, as long as its most loaded rank; the
 * tokens of an expert are shared evenly by the ranks that hold it.
 *
 * The plan is a sequence of single changes, each the one that saves most in its layer.
 */
#ifndef BURDOCK_COPY_PLAN_H
#define BURDOCK_COPY_PLAN_H

#include "burdock.h"

#define BURDOCK_COPY_RANKS_MAX 64
#define BURDOCK_COPY_EXPERTS_MAX 256

/**
 * struct BurdockCopyMap - ranks that hold each expert
 * @hosts: a bit for each rank, layer by layer and expert by expert
 */
typedef struct {
  uint32_t layers;
  uint32_t ranks;
  uint32_t experts;
  uint64_t *hosts;
} BurdockCopyMap;

/**
 * struct BurdockCopyLimits - what one new map may change
 * @slots: experts that a rank can hold in a layer
 * @loads_layer: experts that a rank may load in one layer
 * @loads_rank: experts that a rank may load in all layers
 */
typedef struct {
  uint32_t slots;
  uint32_t loads_layer;
  uint32_t loads_rank;
} BurdockCopyLimits;

/**
 * struct BurdockCopyResult - loads of the most loaded ranks, relative to even loads
 * @before, @after: mean over the layers; 1 is the best
 * @loads: experts to load, all ranks together
 * @loads_most: experts to load at the rank that loads most
 */
typedef struct {
  double before;
  double after;
  uint32_t loads;
  uint32_t loads_most;
} BurdockCopyResult;

/** burdock_copy_map_init() - map without copies; -EINVAL for sizes out of bounds */
int burdock_copy_map_init (BurdockCopyMap *map, uint32_t layers, uint32_t ranks,
                           uint32_t experts);
void burdock_copy_map_clear (BurdockCopyMap *map);
void burdock_copy_map_assign (BurdockCopyMap *to, const BurdockCopyMap *from);

/** burdock_copy_map_spread() - experts in turn, one copy each */
void burdock_copy_map_spread (BurdockCopyMap *map);

/**
 * burdock_copy_map_encode() - layers, ranks and highest expert, one byte each, then layer
 * by layer and rank by rank the number of experts and the experts
 * @bytes: receives memory to be released with free()
 */
int burdock_copy_map_encode (const BurdockCopyMap *map, uint8_t **bytes,
                             uint32_t *length_bytes);

/** burdock_copy_map_decode() - initialises @out; -EPROTO if the bytes do not fit */
int burdock_copy_map_decode (BurdockBytes bytes, BurdockCopyMap *out);

/** burdock_copy_map_peak() - mean over the layers of the load of the most loaded rank,
 * relative to even loads */
double burdock_copy_map_peak (const BurdockCopyMap *map, const double *rates);

/**
 * burdock_copy_plan() - improves @map in place
 * @rates: load of each expert, layer by layer; any unit
 */
BurdockCopyResult burdock_copy_plan (BurdockCopyMap *map, const double *rates,
                                     const BurdockCopyLimits *limits);

#endif
