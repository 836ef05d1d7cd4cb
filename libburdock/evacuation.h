/**
 * DOC: evacuation.h - failure domains that take no new requests
 *
 * The operator evacuates a failure domain by a row in the store. Each gateway reads the
 * rows and tells the others, so that one that cannot reach the store learns them too. Of
 * two statements about a failure domain, the one of the later era of the store counts,
 * and within an era the one with the higher version. After a restore of the store, its
 * era is a later one, so that its content counts. Designed for 64 failure domains and 330
 * gateways. Performs no I/O and belongs to one thread.
 */
#ifndef BURDOCK_EVACUATION_H
#define BURDOCK_EVACUATION_H

#include "message.h"

typedef struct BurdockEvacuation BurdockEvacuation;

/** enum BurdockEvacuationSource - where a change was read */
typedef enum {
  BURDOCK_EVACUATION_STORE = 1,
  BURDOCK_EVACUATION_GATEWAY,
} BurdockEvacuationSource;

/**
 * struct BurdockEvacuationHandler - callback of a set
 * @changed: the evacuation of a failure domain begins or ends
 */
typedef struct {
  void *ctx;
  void (*changed) (void *ctx, const BurdockEvacuationItem *item,
                   BurdockEvacuationSource source);
} BurdockEvacuationHandler;

/**
 * struct BurdockEvacuationRow - a row of the store, or its removal
 * @unreadable: its value cannot be used; it neither begins nor ends an evacuation
 */
typedef struct {
  BurdockEvacuationItem item;
  bool unreadable;
} BurdockEvacuationRow;

/**
 * struct BurdockEvacuationAnswer - rows of one answer of the store, in any order
 * @listing: all rows that exist; otherwise rows that have changed
 * @version: version of the table that the answer shows
 */
typedef struct {
  bool listing;
  uint64_t era;
  uint64_t version;
  uint32_t count;
  const BurdockEvacuationRow *rows;
} BurdockEvacuationAnswer;

/**
 * burdock_evacuation_new() - creates an empty set; NULL without memory
 * @gateway: id of the gateway
 * @handler: copied
 *
 * Free with burdock_evacuation_free(), which accepts NULL.
 */
BurdockEvacuation *burdock_evacuation_new (uint64_t gateway,
                                           const BurdockEvacuationHandler *handler);
void burdock_evacuation_free (BurdockEvacuation *set);

/**
 * burdock_evacuation_read() - takes over an answer of the store
 *
 * Failure domains that a listing does not show are not evacuated as of its version,
 * unless a later statement is known. Returns the number of rows for which there was no
 * room: of more than BURDOCK_EVACUATION_ITEMS_MAX failure domains, the oldest that are
 * not evacuated are forgotten, and further ones are ignored.
 */
uint32_t burdock_evacuation_read (BurdockEvacuation *set,
                                  const BurdockEvacuationAnswer *answer, uint64_t now_us);

/**
 * burdock_evacuation_merge() - takes over what another gateway states
 *
 * Returns whether the other gateway holds a failure domain for evacuated, or for not
 * evacuated, that is known to have changed since; it should be told.
 */
bool burdock_evacuation_merge (BurdockEvacuation *set, const BurdockEvacuationItem *items,
                               uint32_t count, uint64_t now_us);

/** burdock_evacuation_items() - all statements, also about failure domains that are no
 * longer evacuated; valid until the next change */
const BurdockEvacuationItem *burdock_evacuation_items (const BurdockEvacuation *set,
                                                       uint32_t *count);

/** burdock_evacuation_count() - number of evacuated failure domains */
uint32_t burdock_evacuation_count (const BurdockEvacuation *set);

/** burdock_evacuation_version() - highest version of a statement of @era, 0 for none */
uint64_t burdock_evacuation_version (const BurdockEvacuation *set, uint64_t era);

/**
 * burdock_evacuation_is_share_due() - whether to send all statements to the other
 * gateways now
 * @gateways: number of gateways, this one included
 *
 * A few gateways send a change at once, several times. While a failure domain is
 * evacuated, and for a minute after a change, all take turns in repeating it, so that a
 * gateway receives about two messages a second whatever the number of gateways.
 */
bool burdock_evacuation_is_share_due (BurdockEvacuation *set, uint32_t gateways,
                                      uint64_t now_us);

/** burdock_evacuation_is_answerer() - whether this gateway is one of a few that tell the
 * gateway @peer what it does not know yet */
bool burdock_evacuation_is_answerer (const BurdockEvacuation *set, uint64_t peer,
                                     uint32_t gateways, uint64_t now_us);

#endif
