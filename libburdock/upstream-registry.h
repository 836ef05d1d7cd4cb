/**
 * DOC: upstream-registry.h - upstreams according to their rows in the store
 *
 * Each upstream writes a row under its id and renews it. Rows expire when their upstream
 * is gone, but also while the store is unreachable; such rows are written again soon
 * after the outage. The registry performs no I/O and belongs to one thread.
 */
#ifndef BURDOCK_UPSTREAM_REGISTRY_H
#define BURDOCK_UPSTREAM_REGISTRY_H

#include "balancer.h"

typedef struct BurdockUpstreamRegistry BurdockUpstreamRegistry;

/** BurdockUpstreamRegistryLog - logs a change of the upstream @id */
typedef void (*BurdockUpstreamRegistryLog) (void *ctx, const char *step, const char *id,
                                            const char *detail);

/** burdock_upstream_registry_new() - creates an empty registry; NULL without memory.
 * Release with burdock_upstream_registry_free(). */
BurdockUpstreamRegistry *burdock_upstream_registry_new (BurdockUpstreamRegistryLog log,
                                                        void *ctx);
void burdock_upstream_registry_free (BurdockUpstreamRegistry *registry);

/** burdock_upstream_registry_begin_listing() - a complete list of the rows follows */
void burdock_upstream_registry_begin_listing (BurdockUpstreamRegistry *registry);

/**
 * burdock_upstream_registry_end_listing() - removes the upstreams that the list does not
 * contain, as burdock_upstream_registry_remove() does
 */
void burdock_upstream_registry_end_listing (BurdockUpstreamRegistry *registry,
                                            uint64_t now_us);

/**
 * burdock_upstream_registry_put() - handles the row of an upstream
 * @version: version of the row; a row with a higher version was written later
 *
 * Of several upstreams at one address, only the one whose row was written last is kept:
 * a restarted upstream has a new id, and the row of its previous id remains until it
 * expires.
 */
void burdock_upstream_registry_put (BurdockUpstreamRegistry *registry,
                                    const BurdockUpstream *upstream, uint64_t version);

/**
 * burdock_upstream_registry_remove() - handles the removal of a row
 *
 * A row that is removed right after an outage, and whose upstream did not announce that
 * it leaves, has probably expired; the upstream is kept until
 * burdock_upstream_registry_expire() removes it.
 */
void burdock_upstream_registry_remove (BurdockUpstreamRegistry *registry, const char *id,
                                       uint64_t now_us);

/** burdock_upstream_registry_reject() - removes an upstream whose row is invalid */
void burdock_upstream_registry_reject (BurdockUpstreamRegistry *registry, const char *id);

/** burdock_upstream_registry_store_regained() - the store answers again since @since_us
 */
void burdock_upstream_registry_store_regained (BurdockUpstreamRegistry *registry,
                                               uint64_t since_us);

/**
 * burdock_upstream_registry_expire() - removes the upstreams whose rows were not written
 * again in time after an outage
 * @changed: set to whether any was removed
 * Returns the time of the next removal, UINT64_MAX for none.
 */
uint64_t burdock_upstream_registry_expire (BurdockUpstreamRegistry *registry,
                                           uint64_t now_us, bool *changed);

/** burdock_upstream_registry_count() - number of upstreams */
uint32_t burdock_upstream_registry_count (const BurdockUpstreamRegistry *registry);

/** burdock_upstream_registry_copy() - copies all upstreams to @items, which has room for
 * burdock_upstream_registry_count() of them */
void burdock_upstream_registry_copy (const BurdockUpstreamRegistry *registry,
                                     BurdockUpstream *items);

#endif
