/**
 * DOC: era-share.h - when a gateway tells the others the era of the store
 *
 * A gateway whose call to the store has no answer learns of a restore from the others. As
 * most gateways meet the new era by themselves, a few of them tell it at once, and all
 * take turns in repeating it, so that a gateway receives about two messages a second
 * whatever the number of gateways. Performs no I/O.
 */
#ifndef BURDOCK_ERA_SHARE_H
#define BURDOCK_ERA_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockEraShare - schedule of one gateway
 * @gateway: id of the gateway
 * @era: era that is being told, 0 for none
 * @next_us: time of the next message
 */
typedef struct {
  uint64_t gateway;
  uint64_t era;
  uint64_t next_us;
} BurdockEraShare;

/**
 * burdock_era_share_is_due() - whether to send @era to the other gateways now
 * @era: highest era that this gateway knows, 0 for none
 * @gateways: number of gateways, this one included
 */
bool burdock_era_share_is_due (BurdockEraShare *share, uint64_t era, uint32_t gateways,
                               uint64_t now_us);

#endif
