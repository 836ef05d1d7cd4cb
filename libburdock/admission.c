#include "admission.h"

#include "error.h"
#include "hash-table.h"
#include "limit-share.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <stdlib.h>
#include <string.h>

/* Token bucket for retries. In the long run retries add at most a tenth to the load; the
 * size of the bucket covers the loss of one upstream with many streams. */
#define RETRY_TOKENS_PER_SUCCESS 0.1
#define RETRY_TOKENS_MAX 100.0

#define BACKOFF_BASE_US UINT64_C (10000)
#define BACKOFF_MAX_US UINT64_C (1000000)

#define SERVICE_TIME_WINDOW 16 /* requests in the moving average */
#define P90_STEPS_UP 9

struct BurdockAdmission {
  apr_pool_t *memory;
  apr_hash_t *workspaces;
  BurdockAdmissionPool *pools;
  const BurdockSnapshot *snapshot;
  double retry_tokens;
  uint32_t running;
  uint32_t queued;
};

BurdockAdmission *
burdock_admission_new (void)
{
  BurdockAdmission *admission = calloc (1, sizeof *admission);

  apr_initialize ();
  apr_pool_create (&admission->memory, NULL);
  admission->workspaces = burdock_hash_table_new (admission->memory);
  admission->retry_tokens = RETRY_TOKENS_MAX;
  return admission;
}

void
burdock_admission_free (BurdockAdmission *admission)
{
  BurdockAdmissionPool *next;

  if (admission == NULL)
    return;
  for (apr_hash_index_t *at = apr_hash_first (NULL, admission->workspaces); at != NULL;
       at = apr_hash_next (at))
    free (apr_hash_this_val (at));
  for (BurdockAdmissionPool *pool = admission->pools; pool != NULL; pool = next) {
    next = pool->next;
    free (pool);
  }
  apr_pool_destroy (admission->memory);
  apr_terminate ();
  free (admission);
}

BurdockAdmissionPool *
burdock_admission_pools (BurdockAdmission *admission)
{
  return admission->pools;
}

/* Until a share has been granted, each entry may use its floor. */
static uint32_t
default_share (const BurdockSnapshot *snapshot, const char *workspace)
{
  const BurdockEffectiveSettings *effective =
      burdock_config_effective (snapshot->config, workspace, "");

  return effective != NULL
             ? burdock_limit_floor (effective->running_limit, snapshot->entry_count)
             : 0;
}

static uint32_t
workspace_share (const BurdockSnapshot *snapshot, const char *workspace)
{
  for (uint32_t i = 0; i < snapshot->share_count; i++) {
    if (strcmp (snapshot->shares[i].workspace, workspace) == 0)
      return snapshot->shares[i].running_limit;
  }
  return snapshot->config != NULL ? default_share (snapshot, workspace) : 0;
}

void
burdock_admission_set_snapshot (BurdockAdmission *admission,
                                const BurdockSnapshot *snapshot)
{
  admission->snapshot = snapshot;
  for (apr_hash_index_t *at = apr_hash_first (NULL, admission->workspaces); at != NULL;
       at = apr_hash_next (at)) {
    BurdockAdmissionWorkspace *workspace = apr_hash_this_val (at);

    workspace->share = workspace_share (snapshot, workspace->name);
  }
}

static BurdockAdmissionWorkspace *
find_or_add_workspace (BurdockAdmission *admission, const char *name)
{
  BurdockAdmissionWorkspace *workspace =
      apr_hash_get (admission->workspaces, name, APR_HASH_KEY_STRING);

  if (workspace != NULL)
    return workspace;
  workspace = calloc (1, sizeof *workspace);
  burdock_copy_name (workspace->name, sizeof workspace->name, name);
  workspace->share = workspace_share (admission->snapshot, name);
  apr_hash_set (admission->workspaces, workspace->name, APR_HASH_KEY_STRING, workspace);
  return workspace;
}

static BurdockAdmissionPool *
find_or_add_pool (BurdockAdmission *admission, const BurdockPool *config)
{
  BurdockAdmissionPool *pool = admission->pools;

  while (pool != NULL && strcmp (pool->name, config->name) != 0)
    pool = pool->next;
  if (pool == NULL) {
    pool = calloc (1, sizeof *pool);
    burdock_copy_name (pool->name, sizeof pool->name, config->name);
    pool->next = admission->pools;
    admission->pools = pool;
  }
  pool->queue_limit = config->queue_limit;
  return pool;
}

static void
queue_insert (BurdockAdmission *admission, BurdockRequestState *state, bool front)
{
  BurdockAdmissionQueue *queue = &state->pool->queues[state->priority];

  state->queue_previous = front ? NULL : queue->last;
  state->queue_next = front ? queue->first : NULL;
  if (state->queue_previous != NULL)
    state->queue_previous->queue_next = state;
  else
    queue->first = state;
  if (state->queue_next != NULL)
    state->queue_next->queue_previous = state;
  else
    queue->last = state;
  queue->count++;
  state->pool->queued++;
  state->workspace->waiting++;
  admission->queued++;
  state->queued = true;
}

void
burdock_admission_dequeue (BurdockAdmission *admission, BurdockRequestState *state)
{
  BurdockAdmissionQueue *queue;

  if (!state->queued)
    return;
  queue = &state->pool->queues[state->priority];
  if (state->queue_previous != NULL)
    state->queue_previous->queue_next = state->queue_next;
  else
    queue->first = state->queue_next;
  if (state->queue_next != NULL)
    state->queue_next->queue_previous = state->queue_previous;
  else
    queue->last = state->queue_previous;
  queue->count--;
  state->pool->queued--;
  state->workspace->waiting--;
  admission->queued--;
  state->queued = false;
}

/* Newest request of the lowest priority below @priority; requests that have already run
 * are not evicted. */
static BurdockRequestState *
find_evictable (const BurdockAdmissionPool *pool, BurdockPriority priority)
{
  for (uint32_t i = 0; i < (uint32_t)priority; i++) {
    BurdockRequestState *last = pool->queues[i].last;

    if (last != NULL && last->attempt == 0)
      return last;
  }
  return NULL;
}

static uint64_t
expected_wait_us (const BurdockAdmissionPool *pool, BurdockPriority priority)
{
  uint64_t ahead = 0;

  for (uint32_t i = priority; i < BURDOCK_PRIORITY_COUNT; i++)
    ahead += pool->queues[i].count;
  return ahead * pool->service_time_us / (pool->running > 0 ? pool->running : 1);
}

/* Time that a request must have left before its deadline when it starts: the 90th
 * percentile of the service time, but no more than half of the time that its caller
 * allowed, so that long service times do not exclude short requests. */
static uint64_t
min_time_left_us (const BurdockRequestState *state)
{
  uint64_t half_us = (state->deadline_us - state->arrived_us) / 2;

  return state->pool->service_time_p90_us < half_us ? state->pool->service_time_p90_us
                                                    : half_us;
}

BurdockReason
burdock_admission_enqueue (BurdockAdmission *admission, BurdockRequestState *state,
                           const BurdockPool *pool, uint64_t now_us,
                           BurdockRequestState **evicted)
{
  uint64_t wait_us;

  *evicted = NULL;
  state->pool = find_or_add_pool (admission, pool);
  state->workspace = find_or_add_workspace (admission, state->request.workspace);
  state->workspace->references++;
  wait_us = expected_wait_us (state->pool, state->priority);
  if (now_us + wait_us + min_time_left_us (state) > state->deadline_us)
    return BURDOCK_REASON_DEADLINE;
  if (state->pool->queued >= state->pool->queue_limit && state->pool->queued > 0) {
    *evicted = find_evictable (state->pool, state->priority);
    if (*evicted == NULL)
      return BURDOCK_REASON_OVERLOAD;
    burdock_admission_dequeue (admission, *evicted);
  }
  queue_insert (admission, state, false);
  return BURDOCK_REASON_NONE;
}

void
burdock_admission_requeue (BurdockAdmission *admission, BurdockRequestState *state)
{
  if (!state->queued)
    queue_insert (admission, state, true);
}

bool
burdock_admission_workspace_full (const BurdockRequestState *state)
{
  return state->workspace->running >= state->workspace->share;
}

bool
burdock_admission_misses_deadline (const BurdockRequestState *state, uint64_t now_us)
{
  uint64_t min_left_us = state->attempt == 0 ? min_time_left_us (state) : 0;

  return now_us + min_left_us >= state->deadline_us;
}

void
burdock_admission_admit (BurdockAdmission *admission, BurdockRequestState *state)
{
  burdock_admission_dequeue (admission, state);
  if (state->admitted)
    return;
  state->admitted = true;
  state->workspace->running++;
  state->pool->running++;
  admission->running++;
}

void
burdock_admission_release (BurdockAdmission *admission, BurdockRequestState *state)
{
  if (!state->admitted)
    return;
  state->admitted = false;
  state->workspace->running--;
  state->pool->running--;
  admission->running--;
}

void
burdock_admission_record_success (BurdockAdmission *admission,
                                  const BurdockRequestState *state, uint64_t now_us)
{
  BurdockAdmissionPool *pool = state->pool;
  uint64_t elapsed_us = now_us - state->started_us;
  uint64_t step_us = pool->service_time_us / 64 + 1;

  admission->retry_tokens += RETRY_TOKENS_PER_SUCCESS;
  if (admission->retry_tokens > RETRY_TOKENS_MAX)
    admission->retry_tokens = RETRY_TOKENS_MAX;
  if (pool->service_time_us == 0) {
    pool->service_time_us = elapsed_us;
    pool->service_time_p90_us = elapsed_us * 2;
    return;
  }
  pool->service_time_us =
      (pool->service_time_us * (SERVICE_TIME_WINDOW - 1) + elapsed_us) /
      SERVICE_TIME_WINDOW;
  /* Steps up and down in the ratio 9:1 converge to the value that one in ten requests
   * exceeds. */
  if (elapsed_us > pool->service_time_p90_us)
    pool->service_time_p90_us += step_us * P90_STEPS_UP;
  else if (pool->service_time_p90_us > step_us)
    pool->service_time_p90_us -= step_us;
}

bool
burdock_admission_take_retry (BurdockAdmission *admission)
{
  if (admission->retry_tokens < 1.0)
    return false;
  admission->retry_tokens -= 1.0;
  return true;
}

void
burdock_admission_remove (BurdockAdmission *admission, BurdockRequestState *state)
{
  BurdockAdmissionWorkspace *workspace = state->workspace;

  burdock_admission_dequeue (admission, state);
  burdock_admission_release (admission, state);
  if (workspace == NULL || --workspace->references > 0)
    return;
  apr_hash_set (admission->workspaces, workspace->name, APR_HASH_KEY_STRING, NULL);
  state->workspace = NULL;
  free (workspace);
}

static void
add_workspace_usage (BurdockUsage *out, const BurdockAdmissionWorkspace *workspace)
{
  uint32_t demand = workspace->running + workspace->waiting;
  uint32_t at = out->workspace_count;

  if (at == BURDOCK_USAGE_WORKSPACES) {
    at = 0;
    for (uint32_t i = 1; i < out->workspace_count; i++) {
      if (out->workspaces[i].demand < out->workspaces[at].demand)
        at = i;
    }
    if (out->workspaces[at].demand >= demand)
      return;
  } else {
    out->workspace_count++;
  }
  out->workspaces[at].demand = demand;
  out->workspaces[at].running = workspace->running;
  burdock_copy_name (out->workspaces[at].workspace, sizeof out->workspaces[at].workspace,
                     workspace->name);
}

void
burdock_admission_usage (const BurdockAdmission *admission, BurdockUsage *out)
{
  *out = (BurdockUsage){ .running = admission->running, .queued = admission->queued };
  for (apr_hash_index_t *at = apr_hash_first (NULL, admission->workspaces); at != NULL;
       at = apr_hash_next (at))
    add_workspace_usage (out, apr_hash_this_val (at));
}

uint64_t
burdock_backoff_us (uint32_t attempt, uint64_t random)
{
  uint32_t doublings = attempt > 16 ? 16 : attempt;
  uint64_t ceiling_us = BACKOFF_BASE_US << doublings;

  if (ceiling_us > BACKOFF_MAX_US)
    ceiling_us = BACKOFF_MAX_US;
  return random % (ceiling_us + 1);
}
