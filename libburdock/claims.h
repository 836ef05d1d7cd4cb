/**
 * DOC: claims.h - claims of the keys of non-idempotent requests
 *
 * A claim is the row claim/WORKSPACE/KEY of the table service. It is written only if the
 * row is absent, was released by its claimant, or has expired. A request is dispatched
 * only once its claim is confirmed, so a request without a confirmed claim has not run.
 * A claimant that knows that its request has not run releases the claim. The release is
 * conditional on the version of the claimant's own write, so it cannot overwrite a later
 * claim.
 *
 * A store that returns from a copy has lost the latest claims. Each claimant writes those
 * of the last minute again, and none claims a key meanwhile.
 */
#ifndef BURDOCK_CLAIMS_H
#define BURDOCK_CLAIMS_H

#include "store.h"

typedef struct BurdockClaims BurdockClaims;
typedef struct BurdockClaim BurdockClaim;

typedef enum {
  BURDOCK_CLAIM_HELD = 1, /* this request may be dispatched */
  BURDOCK_CLAIM_TAKEN,    /* another request holds the key */
  BURDOCK_CLAIM_FAILED,   /* not confirmed by the store; the request must not run */
} BurdockClaimOutcome;

/**
 * typedef BurdockClaimDone - reports the outcome of a claim or the end of a release
 * Called once for each claim that was not abandoned, and once more with
 * BURDOCK_CLAIM_FAILED when burdock_claims_release() has ended, successful or not.
 */
typedef void (*BurdockClaimDone) (void *ctx, uint64_t request_id,
                                  BurdockClaimOutcome outcome);

/**
 * burdock_claims_new() - claims of one dispatcher, with a store client of their own
 * @env: used until burdock_claims_free()
 * @incarnation: incarnation of this entry, written into the rows
 * @done: called with @ctx
 */
BurdockClaims *burdock_claims_new (const BurdockEnv *env, BurdockCounters *counters,
                                   uint64_t incarnation, BurdockClaimDone done,
                                   void *ctx);

/** burdock_claims_free() - frees all claims; calls still open end without a callback */
void burdock_claims_free (BurdockClaims *claims);

/** burdock_claims_store() - store client, for its limits, ticks and results */
BurdockStore *burdock_claims_store (BurdockClaims *claims);

/** burdock_claims_tick() - runs due work, that of the store client included; returns the
 * time of the next call */
uint64_t burdock_claims_tick (BurdockClaims *claims);

/** burdock_claims_note_era() - the store has reached @era; 0 if it names none */
void burdock_claims_note_era (BurdockClaims *claims, uint64_t era);

/** burdock_claims_is_blocked() - whether the store has just returned from a copy, so that
 * it is not known which keys are claimed */
bool burdock_claims_is_blocked (const BurdockClaims *claims);

/**
 * burdock_claims_acquire() - starts to claim a key
 * @deadline_ms: time limit for each of at most two writes; the second one replaces a row
 *   that was released or has expired
 * Returns the claim, to be ended by burdock_claims_release(), burdock_claims_abandon() or
 * burdock_claims_keep(), or NULL if the store accepts no call now or has just returned
 * from a copy.
 */
BurdockClaim *burdock_claims_acquire (BurdockClaims *claims, const char *workspace,
                                      const char *key, uint64_t request_id,
                                      uint32_t deadline_ms);

/**
 * burdock_claims_release() - releases the claim of a request that never runs
 * Ends the claim; the caller must not use it again.
 * Returns true if the callback follows, false if the claim was not held or the store
 * accepts no call now.
 */
bool burdock_claims_release (BurdockClaim *claim);

/** burdock_claims_abandon() - like burdock_claims_release(), but without a callback and
 * in any state */
void burdock_claims_abandon (BurdockClaim *claim);

/** burdock_claims_keep() - ends the claim but leaves its row: the request may have run */
void burdock_claims_keep (BurdockClaim *claim);

#endif
