/**
 * DOC: outcomes.h - bounded cache of recent outcomes of non-idempotent requests
 *
 * Lets a dispatcher answer a repeated key with the stored answer. A full cache overwrites
 * earlier outcomes; their keys stay protected by the claim rows in the store.
 */
#ifndef BURDOCK_OUTCOMES_H
#define BURDOCK_OUTCOMES_H

#include "burdock.h"

/**
 * struct BurdockOutcome - key of an open or recent request
 * @request_id: request that uses the key, or was the last to use it
 * @answered: whether @body holds the complete answer
 */
typedef struct {
  char workspace[BURDOCK_NAME_BYTES];
  char key[BURDOCK_REQUEST_KEY_BYTES];
  uint64_t request_id;
  bool answered;
  uint32_t body_bytes;
  uint8_t *body;
} BurdockOutcome;

typedef struct BurdockOutcomes BurdockOutcomes;

/** burdock_outcomes_new() - empty cache of @limit outcomes, at least 1 */
BurdockOutcomes *burdock_outcomes_new (uint32_t limit);
void burdock_outcomes_free (BurdockOutcomes *outcomes);

/**
 * burdock_outcomes_find() - outcome of a key, or NULL
 * The result belongs to the cache and is valid until the next change of it.
 */
const BurdockOutcome *burdock_outcomes_find (const BurdockOutcomes *outcomes,
                                             const char *workspace, const char *key);

/** burdock_outcomes_begin() - records that @request_id uses the key; replaces an earlier
 * outcome of the key */
void burdock_outcomes_begin (BurdockOutcomes *outcomes, const char *workspace,
                             const char *key, uint64_t request_id);

/**
 * burdock_outcomes_answer() - stores a copy of the complete answer of @request_id
 * Has no effect for an answer above 4096 bytes, or if the key is not recorded for
 * @request_id.
 */
void burdock_outcomes_answer (BurdockOutcomes *outcomes, const char *workspace,
                              const char *key, uint64_t request_id, BurdockBytes body);

/** burdock_outcomes_remove() - frees the key of @request_id, which has not run */
void burdock_outcomes_remove (BurdockOutcomes *outcomes, const char *workspace,
                              const char *key, uint64_t request_id);

#endif
