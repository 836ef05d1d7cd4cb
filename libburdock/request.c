#include "request.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <stdlib.h>
#include <string.h>

#define DELIVERED_MIN_BYTES 256

struct BurdockRequests {
  apr_pool_t *pool;
  apr_hash_t *by_id;
  apr_hash_t *by_handle;
  uint64_t next_id;
  uint32_t count;
  uint32_t answers_bytes;
  BurdockRequestState *first;
};

BurdockRequests *
burdock_requests_new (uint64_t first_id)
{
  BurdockRequests *requests = calloc (1, sizeof *requests);

  apr_initialize ();
  apr_pool_create (&requests->pool, NULL);
  requests->by_id = apr_hash_make (requests->pool);
  requests->by_handle = apr_hash_make (requests->pool);
  requests->next_id = first_id;
  return requests;
}

static void
request_free (BurdockRequestState *state)
{
  free (state->body);
  free (state->delivered);
  free (state);
}

void
burdock_requests_free (BurdockRequests *requests)
{
  BurdockRequestState *next;

  if (requests == NULL)
    return;
  for (BurdockRequestState *state = requests->first; state != NULL; state = next) {
    next = state->next;
    request_free (state);
  }
  apr_pool_destroy (requests->pool);
  apr_terminate ();
  free (requests);
}

BurdockRequestState *
burdock_requests_add (BurdockRequests *requests, const BurdockRequest *request,
                      uint64_t now_us)
{
  BurdockRequestState *state = calloc (1, sizeof *state);
  uint32_t body_bytes = request->body.length_bytes;

  state->request = *request;
  if (body_bytes > 0) {
    state->body = malloc (body_bytes);
    memcpy (state->body, request->body.data, body_bytes);
  }
  state->request.body.data = state->body;
  state->id = requests->next_id++;
  state->arrived_us = now_us;
  state->phase = BURDOCK_REQUEST_WAITING;
  state->next = requests->first;
  if (state->next != NULL)
    state->next->previous = state;
  requests->first = state;
  requests->count++;
  apr_hash_set (requests->by_id, &state->id, sizeof state->id, state);
  apr_hash_set (requests->by_handle, &state->request.handle, sizeof state->request.handle,
                state);
  return state;
}

void
burdock_requests_remove (BurdockRequests *requests, BurdockRequestState *state)
{
  if (state->previous != NULL)
    state->previous->next = state->next;
  else
    requests->first = state->next;
  if (state->next != NULL)
    state->next->previous = state->previous;
  requests->count--;
  requests->answers_bytes -= state->answer_bytes;
  apr_hash_set (requests->by_id, &state->id, sizeof state->id, NULL);
  apr_hash_set (requests->by_handle, &state->request.handle, sizeof state->request.handle,
                NULL);
  request_free (state);
}

BurdockRequestState *
burdock_requests_find (const BurdockRequests *requests, uint64_t id)
{
  return apr_hash_get (requests->by_id, &id, sizeof id);
}

BurdockRequestState *
burdock_requests_find_handle (const BurdockRequests *requests, uint64_t handle)
{
  return apr_hash_get (requests->by_handle, &handle, sizeof handle);
}

BurdockRequestState *
burdock_requests_first (const BurdockRequests *requests)
{
  return requests->first;
}

uint32_t
burdock_requests_count (const BurdockRequests *requests)
{
  return requests->count;
}

uint32_t
burdock_requests_answers_bytes (const BurdockRequests *requests)
{
  return requests->answers_bytes;
}

BurdockRequestState *
burdock_requests_largest_answer (const BurdockRequests *requests)
{
  BurdockRequestState *largest = NULL;

  for (BurdockRequestState *state = requests->first; state != NULL; state = state->next) {
    if (state->phase != BURDOCK_REQUEST_RELEASING &&
        (largest == NULL || state->answer_bytes > largest->answer_bytes))
      largest = state;
  }
  return largest;
}

static void
append_delivered (BurdockRequestState *state, BurdockBytes text)
{
  uint32_t needed = state->delivered_bytes + text.length_bytes;

  if (needed > state->delivered_allocated) {
    state->delivered_allocated = needed * 2 + DELIVERED_MIN_BYTES;
    state->delivered = realloc (state->delivered, state->delivered_allocated);
  }
  if (text.length_bytes > 0)
    memcpy (state->delivered + state->delivered_bytes, text.data, text.length_bytes);
  state->delivered_bytes = needed;
}

void
burdock_requests_add_answer (BurdockRequests *requests, BurdockRequestState *state,
                             BurdockBytes text)
{
  state->answer_bytes += text.length_bytes;
  requests->answers_bytes += text.length_bytes;
  if (state->request.idempotent)
    append_delivered (state, text);
}
