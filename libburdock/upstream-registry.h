/**
 * DOC: upstream-registry.h - upstreams according to their rows in the store
 *
 * Each upstream writes a row under its id and renews it. Rows expire when their upstream
 * is gone, but also while the store is unreachable; such rows are written again soon
 * after the outage. A store that returns from a copy lacks the rows of upstreams that
 * have started since, and has those of upstreams that have left; the registry goes by
 * what it knows until upstreams and platform have written again. The registry performs no
 * I/O and belongs to one thread.
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

/**
 * burdock_upstream_registry_begin_listing() - a complete list of the rows follows
 * @era: era of the store in which the list is read; after it has risen, rows that
 *   contradict what is known are held back for 10 s
 */
void burdock_upstream_registry_begin_listing (BurdockUpstreamRegistry *registry,
                                              uint64_t era, uint64_t now_us);

/**
 * burdock_upstream_registry_end_listing() - removes the upstreams that the list does not
 * contain, as burdock_upstream_registry_remove() does
 */
void burdock_upstream_registry_end_listing (BurdockUpstreamRegistry *registry,
                                            uint64_t now_us);

/**
 * burdock_upstream_registry_put() - handles the row of an upstream
 * @version: version of the row; a row with a higher version was written later in its era
 *
 * Of several upstreams at one address, only the one that started last is kept, or else
 * the one whose row was written last: a restarted upstream has a new id, and the row of
 * its previous id remains until it expires.
 */
void burdock_upstream_registry_put (BurdockUpstreamRegistry *registry,
                                    const BurdockUpstream *upstream, uint64_t version,
                                    uint64_t now_us);

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
void burdock_upstream_registry_reject (BurdockUpstreamRegistry *registry, const char *id,
                                       uint64_t now_us);

/** burdock_upstream_registry_store_regained() - the store answers again since @since_us
 */
void burdock_upstream_registry_store_regained (BurdockUpstreamRegistry *registry,
                                               uint64_t since_us);

/**
 * burdock_upstream_registry_note_gone() - another gateway knows that the start of @id at
 * @born_ms has gone
 *
 * If it is listed, the store has just been restored; its row is held back.
 * Returns whether the list has changed.
 */
bool burdock_upstream_registry_note_gone (BurdockUpstreamRegistry *registry,
                                          const char *id, uint64_t born_ms,
                                          uint64_t now_us);

/** burdock_upstream_registry_each_gone() - see burdock_gone_upstreams_each() */
void burdock_upstream_registry_each_gone (
    const BurdockUpstreamRegistry *registry, uint64_t now_us,
    void (*function) (void *ctx, const char *id, uint64_t born_ms), void *ctx);

/**
 * burdock_upstream_registry_expire() - removes the upstreams whose rows were not written
 * again in time after an outage, and applies rows that were held back
 * @changed: set to whether the list has changed
 * Returns the time of the next change, UINT64_MAX for none.
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
