/**
 * DOC: store-share.h - when a gateway tells the others what it has read from the store
 *
 * A gateway whose call to the store has no answer learns from the others that there is
 * more to read. As most gateways read it by themselves, a few of them tell it at once,
 * and all take turns in repeating it, so that a gateway receives about two messages a
 * second whatever the number of gateways. If the calls of all of them have no answer,
 * none is behind another, so they also take turns in repeating a call. Performs no I/O.
 */
#ifndef BURDOCK_STORE_SHARE_H
#define BURDOCK_STORE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockStoreState - what a gateway has read from the store
 * @era: highest era of the store that it knows, 0 if the store names none
 * @upstream_version: version of the last change of the upstreams in this era, 0 before
 * the first one
 */
typedef struct {
  uint64_t era;
  uint64_t upstream_version;
} BurdockStoreState;

/**
 * struct BurdockStoreShare - schedule of one gateway
 * @gateway: id of the gateway
 * @state: state that is being told
 * @next_us: time of the next message
 */
typedef struct {
  uint64_t gateway;
  BurdockStoreState state;
  uint64_t next_us;
} BurdockStoreShare;

/**
 * burdock_store_share_is_due() - whether to send @state to the other gateways now
 * @gateways: number of gateways, this one included
 */
bool burdock_store_share_is_due (BurdockStoreShare *share, const BurdockStoreState *state,
                                 uint32_t gateways, uint64_t now_us);

/**
 * struct BurdockStoreLag - how long a gateway has been behind another one
 * @since_us: 0 while it is not
 */
typedef struct {
  uint64_t since_us;
} BurdockStoreLag;

/**
 * burdock_store_lag_is_due() - whether to call the store again
 * @behind: another gateway has read more
 * @limit_us: time in which the answer of the store normally arrives
 * @due_us: set to the time of the next check, UINT64_MAX while not behind
 *
 * Returns true each time that @limit_us has passed.
 */
bool burdock_store_lag_is_due (BurdockStoreLag *lag, bool behind, uint64_t limit_us,
                               uint64_t now_us, uint64_t *due_us);

/**
 * struct BurdockStoreTurn - when a gateway repeats its calls to the store
 * @gateway: id of the gateway
 * @next_us: time of its next turn, 0 before the first call of
 *   burdock_store_turn_is_due()
 */
typedef struct {
  uint64_t gateway;
  uint64_t next_us;
} BurdockStoreTurn;

/**
 * burdock_store_turn_is_due() - whether it is the turn of this gateway
 * @gateways: number of gateways, this one included
 *
 * About two gateways a second have their turn, whatever their number; one that is alone
 * every two seconds.
 */
bool burdock_store_turn_is_due (BurdockStoreTurn *turn, uint32_t gateways,
                                uint64_t now_us);

#endif
