#include "claims.h"

#include "error.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)
#define CLAIM_EXPIRY_S (UINT64_C (24) * 3600)

/* Claims that are written again when the store has returned from a copy. */
#define KEPT_MAX 1024
#define KEPT_US (60 * US_PER_S)
#define REWRITE_DEADLINE_MS 3000

/* Time in which all claimants notice a restore and write their claims again. */
#define REWRITE_WAIT_US (5 * US_PER_S)

/* Claims are written again several times in REWRITE_WAIT_US: a claimant that has not
 * noticed the restore may take the row for a moment, and then releases it. */
#define REWRITE_PASSES 3
#define REWRITE_INTERVAL_US (US_PER_S * 3 / 2)

/* Era of a store that has not been restored yet. */
#define FIRST_ERA 1

/* Time limit of a release, which the caller of a refused request waits for. */
#define RELEASE_DEADLINE_MS 1000

/* Longest form of one byte of a workspace name in a row key: "%2F". */
#define ESCAPED_BYTES 3
#define CLAIM_KEY_BYTES                                                                  \
  (ESCAPED_BYTES * BURDOCK_NAME_BYTES + BURDOCK_REQUEST_KEY_BYTES + 8)
#define CLAIM_VALUE_BYTES 256

typedef enum {
  CLAIM_WRITING = 1,
  CLAIM_HELD,
  CLAIM_LOST,
  CLAIM_RELEASING,
} ClaimState;

/*
 * @version: version of the row as written by this claim
 * @era: era of the store when the claim was started
 * @abandoned: release the claim as soon as its write is confirmed
 * @replacing_row: the second write, which replaces a released or expired row, was started
 * @suppress_callback: end the release without a callback
 * @value: row as last written; unique to the write, see burdock_store_put_if()
 */
struct BurdockClaim {
  BurdockClaims *owner;
  ClaimState state;
  uint64_t request_id;
  uint64_t version;
  uint64_t era;
  uint32_t deadline_ms;
  bool abandoned;
  bool replacing_row;
  bool suppress_callback;
  char key[CLAIM_KEY_BYTES];
  char value[CLAIM_VALUE_BYTES];
  BurdockClaim *next;
  BurdockClaim *previous;
};

/* Confirmed claim. */
typedef struct {
  BurdockClaims *owner;
  char key[CLAIM_KEY_BYTES];
  uint64_t at_us;
} KeptClaim;

/*
 * @blocked_until_us: no key is claimed before this time
 * @passes_left: how often the kept claims are still to be written again
 * @next_pass_us: time of the next pass
 * @kept: ring of the claims that were confirmed last
 */
struct BurdockClaims {
  const BurdockEnv *env;
  BurdockStore *store;
  uint64_t incarnation;
  uint64_t next_attempt;
  BurdockClaimDone done;
  void *ctx;
  BurdockClaim *first;
  uint64_t era;
  uint64_t blocked_until_us;
  uint32_t passes_left;
  uint64_t next_pass_us;
  uint64_t kept_count;
  KeptClaim *kept;
};

BurdockClaims *
burdock_claims_new (const BurdockEnv *env, BurdockCounters *counters,
                    uint64_t incarnation, BurdockClaimDone done, void *ctx)
{
  BurdockClaims *claims = calloc (1, sizeof *claims);

  claims->env = env;
  claims->store = burdock_store_new (env, counters);
  claims->incarnation = incarnation;
  claims->done = done;
  claims->ctx = ctx;
  return claims;
}

static void
claim_free (BurdockClaim *claim)
{
  if (claim->previous != NULL)
    claim->previous->next = claim->next;
  else
    claim->owner->first = claim->next;
  if (claim->next != NULL)
    claim->next->previous = claim->previous;
  free (claim);
}

void
burdock_claims_free (BurdockClaims *claims)
{
  BurdockClaim *next;

  if (claims == NULL)
    return;
  burdock_store_free (claims->store);
  for (BurdockClaim *claim = claims->first; claim != NULL; claim = next) {
    next = claim->next;
    free (claim);
  }
  free (claims->kept);
  free (claims);
}

BurdockStore *
burdock_claims_store (BurdockClaims *claims)
{
  return claims->store;
}

static void
format_value (BurdockClaims *claims, const char *state, uint64_t request_id,
              char value[CLAIM_VALUE_BYTES])
{
  uint64_t wall_s = claims->env->wall_us (claims->env->ctx) / US_PER_S;
  uint64_t random = claims->env->random_u64 (claims->env->ctx);

  snprintf (value, CLAIM_VALUE_BYTES,
            "{\"state\":\"%s\",\"request\":\"%016" PRIx64 "\",\"entry\":\"%016" PRIx64
            "\",\"attempt\":\"%016" PRIx64 "-%" PRIu64 "\",\"time_s\":%" PRIu64 "}",
            state, request_id, claims->incarnation, random, ++claims->next_attempt,
            wall_s);
}

static uint64_t
claims_now (const BurdockClaims *claims)
{
  return claims->env->now_us (claims->env->ctx);
}

static void
keep_claim (BurdockClaims *claims, const char *key)
{
  KeptClaim kept = { .owner = claims, .at_us = claims_now (claims) };

  if (!burdock_copy_text (kept.key, sizeof kept.key, key))
    return;
  if (claims->kept == NULL)
    claims->kept = calloc (KEPT_MAX, sizeof *claims->kept);
  if (claims->kept == NULL)
    return;
  claims->kept[claims->kept_count++ % KEPT_MAX] = kept;
}

static void
forget_claim (BurdockClaims *claims, const char *key)
{
  for (uint32_t i = 0; i < KEPT_MAX && claims->kept != NULL; i++) {
    if (strcmp (claims->kept[i].key, key) == 0)
      claims->kept[i] = (KeptClaim){ 0 };
  }
}

/* Whether the claim found in the row was released or has expired. */
static bool
row_is_reusable (const BurdockClaims *claims, BurdockBytes value)
{
  json_t *row = json_loadb ((const char *)value.data, value.length_bytes, 0, NULL);
  const char *state = json_string_value (json_object_get (row, "state"));
  json_int_t written_s = json_integer_value (json_object_get (row, "time_s"));
  uint64_t wall_s = claims->env->wall_us (claims->env->ctx) / US_PER_S;
  bool released = state != NULL && strcmp (state, "released") == 0;
  bool expired = written_s > 0 && wall_s > (uint64_t)written_s + CLAIM_EXPIRY_S;

  json_decref (row);
  return released || expired;
}

static void
write_again (KeptClaim *kept, uint64_t if_version, BurdockStoreDone done)
{
  BurdockClaims *claims = kept->owner;
  char value[CLAIM_VALUE_BYTES];
  BurdockStorePut write = { .key = kept->key, .if_version = if_version };

  format_value (claims, "claimed", 0, value);
  write.value = (BurdockBytes){ (const uint8_t *)value, (uint32_t)strlen (value) };
  burdock_store_put_if (claims->store, &write, 1, REWRITE_DEADLINE_MS, done, kept);
}

/* A row that is claimed, by this claim or another one, stays as it is. */
static void
rewrite_done (void *ctx, const BurdockStoreResult *result)
{
  KeptClaim *kept = ctx;

  if (result->status == -EEXIST && kept->key[0] != '\0' &&
      row_is_reusable (kept->owner, result->value))
    write_again (kept, result->version, NULL);
}

static void
run_pass (BurdockClaims *claims, uint64_t now_us)
{
  claims->passes_left--;
  claims->next_pass_us = now_us + REWRITE_INTERVAL_US;
  for (uint32_t i = 0; i < KEPT_MAX && claims->kept != NULL; i++) {
    KeptClaim *kept = &claims->kept[i];

    if (kept->key[0] != '\0' && now_us < kept->at_us + KEPT_US)
      write_again (kept, 0, rewrite_done);
  }
}

uint64_t
burdock_claims_tick (BurdockClaims *claims)
{
  uint64_t now_us = claims_now (claims);
  uint64_t store_us;

  if (claims->passes_left > 0 && now_us >= claims->next_pass_us)
    run_pass (claims, now_us);
  store_us = burdock_store_tick (claims->store);
  return claims->passes_left > 0 && claims->next_pass_us < store_us ? claims->next_pass_us
                                                                    : store_us;
}

void
burdock_claims_note_era (BurdockClaims *claims, uint64_t era)
{
  uint64_t now_us = claims_now (claims);

  if (era <= claims->era)
    return;
  claims->era = era;
  if (era == FIRST_ERA)
    return;
  claims->blocked_until_us = now_us + REWRITE_WAIT_US;
  claims->passes_left = REWRITE_PASSES;
  run_pass (claims, now_us);
}

bool
burdock_claims_is_blocked (const BurdockClaims *claims)
{
  return claims_now (claims) < claims->blocked_until_us;
}

static int
put_row (BurdockClaim *claim, uint64_t if_version, uint32_t deadline_ms,
         BurdockStoreDone done)
{
  BurdockStorePut write = {
    .key = claim->key,
    .value = { (const uint8_t *)claim->value, (uint32_t)strlen (claim->value) },
    .if_version = if_version,
  };

  return burdock_store_put_if (claim->owner->store, &write, 1, deadline_ms, done, claim);
}

static void
release_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockClaim *claim = ctx;
  BurdockClaims *claims = claim->owner;
  uint64_t request_id = claim->request_id;
  bool suppress_callback = claim->suppress_callback;

  /* If the release failed, the key stays claimed, which is safe. */
  if (result->status == 0)
    forget_claim (claims, claim->key);
  claim_free (claim);
  if (!suppress_callback)
    claims->done (claims->ctx, request_id, BURDOCK_CLAIM_FAILED);
}

/* Starts the release and returns true, or frees the claim and returns false if the store
 * accepts no call. */
static bool
start_release (BurdockClaim *claim, bool suppress_callback)
{
  claim->state = CLAIM_RELEASING;
  claim->suppress_callback = suppress_callback;
  format_value (claim->owner, "released", claim->request_id, claim->value);
  if (put_row (claim, claim->version, RELEASE_DEADLINE_MS, release_done) == 0)
    return true;
  claim_free (claim);
  return false;
}

static void
finish_acquire (BurdockClaim *claim, BurdockClaimOutcome outcome)
{
  BurdockClaims *claims = claim->owner;

  if (claim->abandoned && outcome == BURDOCK_CLAIM_HELD) {
    start_release (claim, true);
    return;
  }
  if (claim->abandoned) {
    claim_free (claim);
    return;
  }
  claim->state = outcome == BURDOCK_CLAIM_HELD ? CLAIM_HELD : CLAIM_LOST;
  if (outcome == BURDOCK_CLAIM_HELD)
    keep_claim (claims, claim->key);
  claims->done (claims->ctx, claim->request_id, outcome);
}

/* The store was restored meanwhile, and another claim of the key may have been lost. */
static void
reject_acquire (BurdockClaim *claim)
{
  BurdockClaims *claims = claim->owner;

  if (claim->abandoned) {
    start_release (claim, true);
    return;
  }
  claim->state = CLAIM_HELD;
  claims->done (claims->ctx, claim->request_id, BURDOCK_CLAIM_FAILED);
}

static void
acquire_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockClaim *claim = ctx;

  burdock_claims_note_era (claim->owner, burdock_store_era (claim->owner->store));
  if (result->status == 0 && claim->era != claim->owner->era &&
      burdock_claims_is_blocked (claim->owner)) {
    claim->version = result->version;
    reject_acquire (claim);
    return;
  }
  if (result->status == 0) {
    claim->version = result->version;
    finish_acquire (claim, BURDOCK_CLAIM_HELD);
    return;
  }
  if (result->status != -EEXIST) {
    finish_acquire (claim, BURDOCK_CLAIM_FAILED);
    return;
  }
  if (!claim->replacing_row && !claim->abandoned &&
      row_is_reusable (claim->owner, result->value)) {
    claim->replacing_row = true;
    if (put_row (claim, result->version, claim->deadline_ms, acquire_done) < 0)
      finish_acquire (claim, BURDOCK_CLAIM_FAILED);
    return;
  }
  finish_acquire (claim, BURDOCK_CLAIM_TAKEN);
}

/* Escapes the separator in the workspace, so that distinct pairs of workspace and key
 * have distinct rows. */
static void
format_key (BurdockClaim *claim, const char *workspace, const char *key)
{
  char escaped[ESCAPED_BYTES * BURDOCK_NAME_BYTES];
  size_t at = 0;

  for (const char *c = workspace; *c != '\0' && at + ESCAPED_BYTES < sizeof escaped;
       c++) {
    if (*c == '/' || *c == '%')
      at += (size_t)snprintf (escaped + at, sizeof escaped - at, "%%%02X", *c);
    else
      escaped[at++] = *c;
  }
  escaped[at] = '\0';
  snprintf (claim->key, sizeof claim->key, "claim/%s/%s", escaped, key);
}

BurdockClaim *
burdock_claims_acquire (BurdockClaims *claims, const char *workspace, const char *key,
                        uint64_t request_id, uint32_t deadline_ms)
{
  BurdockClaim *claim;

  if (burdock_claims_is_blocked (claims))
    return NULL;
  claim = calloc (1, sizeof *claim);
  claim->owner = claims;
  claim->era = claims->era;
  claim->state = CLAIM_WRITING;
  claim->request_id = request_id;
  claim->deadline_ms = deadline_ms;
  format_key (claim, workspace, key);
  format_value (claims, "claimed", request_id, claim->value);
  claim->next = claims->first;
  if (claim->next != NULL)
    claim->next->previous = claim;
  claims->first = claim;
  if (put_row (claim, 0, deadline_ms, acquire_done) == 0)
    return claim;
  claim_free (claim);
  return NULL;
}

bool
burdock_claims_release (BurdockClaim *claim)
{
  if (claim->state == CLAIM_HELD)
    return start_release (claim, false);
  claim_free (claim);
  return false;
}

void
burdock_claims_abandon (BurdockClaim *claim)
{
  if (claim->state == CLAIM_WRITING)
    claim->abandoned = true;
  else if (claim->state == CLAIM_RELEASING)
    claim->suppress_callback = true;
  else if (claim->state == CLAIM_HELD)
    start_release (claim, true);
  else
    claim_free (claim);
}

void
burdock_claims_keep (BurdockClaim *claim)
{
  claim_free (claim);
}
