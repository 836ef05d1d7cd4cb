#include "attempts.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <stdlib.h>

typedef struct {
  uint32_t count;
  BurdockAttempt *first;
  BurdockAttempt *last;
} AttemptList;

struct BurdockAttempts {
  apr_pool_t *pool;
  apr_hash_t *by_id;
  apr_hash_t *by_engine_id;
  AttemptList running;
  AttemptList tombstones;
  uint32_t tombstone_limit;
  uint64_t retention_us;
  uint64_t next_engine_id;
  uint64_t evicted_hlc; /* watermark: largest hlc of the tombstones evicted so far */
};

static void
list_append (AttemptList *list, BurdockAttempt *attempt)
{
  attempt->previous = list->last;
  attempt->next = NULL;
  if (list->last != NULL)
    list->last->next = attempt;
  else
    list->first = attempt;
  list->last = attempt;
  list->count++;
}

static void
list_remove (AttemptList *list, BurdockAttempt *attempt)
{
  if (attempt->previous != NULL)
    attempt->previous->next = attempt->next;
  else
    list->first = attempt->next;
  if (attempt->next != NULL)
    attempt->next->previous = attempt->previous;
  else
    list->last = attempt->previous;
  list->count--;
}

BurdockAttempts *
burdock_attempts_new (uint32_t tombstone_limit, uint64_t retention_us)
{
  BurdockAttempts *attempts = calloc (1, sizeof *attempts);

  apr_initialize ();
  apr_pool_create (&attempts->pool, NULL);
  attempts->by_id = apr_hash_make (attempts->pool);
  attempts->by_engine_id = apr_hash_make (attempts->pool);
  attempts->tombstone_limit = tombstone_limit;
  attempts->retention_us = retention_us;
  return attempts;
}

static void
list_free (AttemptList *list)
{
  BurdockAttempt *next;

  for (BurdockAttempt *attempt = list->first; attempt != NULL; attempt = next) {
    next = attempt->next;
    free (attempt->body);
    free (attempt);
  }
}

void
burdock_attempts_free (BurdockAttempts *attempts)
{
  if (attempts == NULL)
    return;
  list_free (&attempts->running);
  list_free (&attempts->tombstones);
  apr_pool_destroy (attempts->pool);
  apr_terminate ();
  free (attempts);
}

BurdockAttempt *
burdock_attempts_find (BurdockAttempts *attempts, const BurdockAttemptId *id)
{
  return apr_hash_get (attempts->by_id, id, sizeof *id);
}

BurdockAttempt *
burdock_attempts_find_by_engine_id (BurdockAttempts *attempts, uint64_t engine_id)
{
  return apr_hash_get (attempts->by_engine_id, &engine_id, sizeof engine_id);
}

bool
burdock_attempts_may_be_duplicate (const BurdockAttempts *attempts, uint64_t hlc)
{
  return hlc <= attempts->evicted_hlc;
}

BurdockAttempt *
burdock_attempts_add (BurdockAttempts *attempts, const BurdockAttemptId *id, uint64_t hlc)
{
  BurdockAttempt *attempt = calloc (1, sizeof *attempt);

  attempt->id = *id;
  attempt->hlc = hlc;
  attempt->state = BURDOCK_ATTEMPT_RUNNING;
  attempt->engine_id = ++attempts->next_engine_id;
  apr_hash_set (attempts->by_id, &attempt->id, sizeof attempt->id, attempt);
  apr_hash_set (attempts->by_engine_id, &attempt->engine_id, sizeof attempt->engine_id,
                attempt);
  list_append (&attempts->running, attempt);
  return attempt;
}

static void
evict (BurdockAttempts *attempts, BurdockAttempt *oldest)
{
  if (oldest->hlc > attempts->evicted_hlc)
    attempts->evicted_hlc = oldest->hlc;
  list_remove (&attempts->tombstones, oldest);
  apr_hash_set (attempts->by_id, &oldest->id, sizeof oldest->id, NULL);
  free (oldest->body);
  free (oldest);
}

void
burdock_attempts_end (BurdockAttempts *attempts, BurdockAttempt *attempt,
                      BurdockAttemptState state, uint64_t now_us)
{
  list_remove (&attempts->running, attempt);
  apr_hash_set (attempts->by_engine_id, &attempt->engine_id, sizeof attempt->engine_id,
                NULL);
  attempt->state = state;
  attempt->ended_us = now_us;
  list_append (&attempts->tombstones, attempt);
  if (attempts->tombstones.count > attempts->tombstone_limit)
    evict (attempts, attempts->tombstones.first);
}

void
burdock_attempts_expire (BurdockAttempts *attempts, uint64_t now_us)
{
  BurdockAttempt *next;

  for (BurdockAttempt *oldest = attempts->tombstones.first;
       oldest != NULL && oldest->ended_us + attempts->retention_us <= now_us;
       oldest = next) {
    next = oldest->next;
    evict (attempts, oldest);
  }
}

uint32_t
burdock_attempts_running_count (const BurdockAttempts *attempts)
{
  return attempts->running.count;
}

BurdockAttempt *
burdock_attempts_first_running (BurdockAttempts *attempts)
{
  return attempts->running.first;
}
