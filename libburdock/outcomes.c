#include "outcomes.h"

#include "error.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FULL_KEY_BYTES (BURDOCK_NAME_BYTES + BURDOCK_REQUEST_KEY_BYTES + 24)

/* Larger answers are not stored; a request with the same key is refused as claimed. */
#define OUTCOME_BODY_MAX_BYTES 4096

typedef struct {
  BurdockOutcome outcome;
  bool used;
  char full_key[FULL_KEY_BYTES];
} Slot;

struct BurdockOutcomes {
  apr_pool_t *pool;
  apr_hash_t *by_key;
  uint32_t limit;
  uint32_t next;
  Slot **slots;
};

BurdockOutcomes *
burdock_outcomes_new (uint32_t limit)
{
  BurdockOutcomes *outcomes = calloc (1, sizeof *outcomes);

  apr_initialize ();
  apr_pool_create (&outcomes->pool, NULL);
  outcomes->by_key = apr_hash_make (outcomes->pool);
  outcomes->limit = limit;
  outcomes->slots = calloc (limit, sizeof (Slot *));
  return outcomes;
}

static void
slot_clear (BurdockOutcomes *outcomes, Slot *slot)
{
  if (slot->used)
    apr_hash_set (outcomes->by_key, slot->full_key, APR_HASH_KEY_STRING, NULL);
  free (slot->outcome.body);
  *slot = (Slot){ 0 };
}

void
burdock_outcomes_free (BurdockOutcomes *outcomes)
{
  if (outcomes == NULL)
    return;
  for (uint32_t i = 0; i < outcomes->limit; i++) {
    if (outcomes->slots[i] != NULL)
      slot_clear (outcomes, outcomes->slots[i]);
    free (outcomes->slots[i]);
  }
  free (outcomes->slots);
  apr_pool_destroy (outcomes->pool);
  apr_terminate ();
  free (outcomes);
}

/* The length of the workspace makes the key unique even if names contain the separator.
 */
static void
format_key (char full_key[FULL_KEY_BYTES], const char *workspace, const char *key)
{
  snprintf (full_key, FULL_KEY_BYTES, "%zu/%s/%s", strlen (workspace), workspace, key);
}

static Slot *
find_slot (const BurdockOutcomes *outcomes, const char *workspace, const char *key)
{
  char full_key[FULL_KEY_BYTES];

  format_key (full_key, workspace, key);
  return apr_hash_get (outcomes->by_key, full_key, APR_HASH_KEY_STRING);
}

const BurdockOutcome *
burdock_outcomes_find (const BurdockOutcomes *outcomes, const char *workspace,
                       const char *key)
{
  Slot *slot = find_slot (outcomes, workspace, key);

  return slot != NULL ? &slot->outcome : NULL;
}

void
burdock_outcomes_begin (BurdockOutcomes *outcomes, const char *workspace, const char *key,
                        uint64_t request_id)
{
  Slot *slot = find_slot (outcomes, workspace, key);
  uint32_t at = outcomes->next;

  if (slot == NULL) {
    outcomes->next = (at + 1) % outcomes->limit;
    if (outcomes->slots[at] == NULL)
      outcomes->slots[at] = calloc (1, sizeof (Slot));
    slot = outcomes->slots[at];
  }
  slot_clear (outcomes, slot);
  slot->used = true;
  slot->outcome.request_id = request_id;
  burdock_copy_name (slot->outcome.workspace, sizeof slot->outcome.workspace, workspace);
  burdock_copy_name (slot->outcome.key, sizeof slot->outcome.key, key);
  format_key (slot->full_key, workspace, key);
  apr_hash_set (outcomes->by_key, slot->full_key, APR_HASH_KEY_STRING, slot);
}

void
burdock_outcomes_answer (BurdockOutcomes *outcomes, const char *workspace,
                         const char *key, uint64_t request_id, BurdockBytes body)
{
  Slot *slot = find_slot (outcomes, workspace, key);

  if (slot == NULL || slot->outcome.request_id != request_id ||
      body.length_bytes > OUTCOME_BODY_MAX_BYTES)
    return;
  free (slot->outcome.body);
  slot->outcome.body = malloc (body.length_bytes + 1);
  if (body.length_bytes > 0)
    memcpy (slot->outcome.body, body.data, body.length_bytes);
  slot->outcome.body_bytes = body.length_bytes;
  slot->outcome.answered = true;
}

void
burdock_outcomes_remove (BurdockOutcomes *outcomes, const char *workspace,
                         const char *key, uint64_t request_id)
{
  Slot *slot = find_slot (outcomes, workspace, key);

  if (slot != NULL && slot->outcome.request_id == request_id)
    slot_clear (outcomes, slot);
}
