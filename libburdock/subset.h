/**
 * DOC: subset.h - deterministic subsetting of upstreams
 */
#ifndef BURDOCK_SUBSET_H
#define BURDOCK_SUBSET_H

#include <stdbool.h>
#include <stdint.h>

/* Upstreams of a pool that an entry uses. Bounds the number of load reports that an entry
 * and an agent exchange. Pools of up to this size, such as those of the present
 * deployments, are used as a whole. */
#define BURDOCK_SUBSET_SIZE 20

/**
 * burdock_subset_select() - selects the upstreams that entry @self uses
 * @self: id of this entry
 * @entries: ids of all entries; may or may not contain @self
 * @upstreams: ids of the upstreams of the pool
 * @size: number of upstreams to select
 * @chosen: receives a flag for each upstream
 *
 * All entries compute the same assignment: pairs of entry and upstream are matched in the
 * order of their rendezvous score, until the entry has @size upstreams or the upstream
 * has its share of the entries. This is a stable matching, in which a membership change
 * moves few pairs.
 */
void burdock_subset_select (uint64_t self, const uint64_t *entries, uint32_t entry_count,
                            const uint64_t *upstreams, uint32_t upstream_count,
                            uint32_t size, bool *chosen);

#endif
