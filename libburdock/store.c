#include "store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)
#define NEVER_US UINT64_MAX

/* Timeout of the first attempt. It doubles with each retry up to the maximum, so that a
 * slow store is not mistaken for one that is down. */
#define ATTEMPT_TIMEOUT_MS 1000
#define ATTEMPT_TIMEOUT_MAX_MS 8000

/* Time after the timeout at which a call without any result is treated as timed out.
 * Normally the environment reports the timeout. */
#define RESULT_GRACE_US (500 * US_PER_MS)

#define BACKOFF_FIRST_US (50 * US_PER_MS)
#define BACKOFF_MAX_US (2 * US_PER_S)

#define DEFAULT_READS_PER_S 50.0
#define DEFAULT_WRITES_PER_S 25.0
#define DEFAULT_QUEUE_LIMIT 4096

typedef enum {
  PHASE_ISSUE = 1, /* the call itself */
  PHASE_READ_BACK, /* a read of the row of put @read_back_index */
} Phase;

/** struct PutCopy - owned copy of a conditional write or of an object */
typedef struct {
  char *key;
  uint8_t *value;
  uint32_t value_bytes;
  uint64_t if_version;
} PutCopy;

/**
 * struct Call - a call that has not been answered
 * @in_flight_id: id of the call of env->store in progress, 0 while there is none
 * @due_us: when to issue the call; while it is in flight, when to stop waiting for it
 * @era: era of the store when the call was started
 * @retries: number of retries, which determines backoff and timeout
 * @throttled: waits for a token of the budget; later calls of its kind queue behind it
 * @ambiguous: an earlier issue of the write may have taken effect or may still do so
 * @superseded: the row of the first put was written more than once since its @if_version
 * @read_back_index: index of the put whose row is read back
 * @key: NULL for a transaction and for the instance list
 * @puts: for ROW_PUT_IF its writes, for OBJECT_PUT the object
 */
typedef struct Call Call;
struct Call {
  Call *next;
  BurdockStoreOp op;
  Phase phase;
  uint64_t in_flight_id;
  uint64_t due_us;
  uint64_t deadline_us;
  uint64_t era;
  uint32_t retries;
  bool throttled;
  bool ambiguous;
  bool superseded;
  uint32_t read_back_index;
  char *key;
  uint32_t put_count;
  PutCopy puts[BURDOCK_STORE_PUTS_MAX];
  BurdockStoreDone done;
  void *ctx;
};

/** struct Bucket - token bucket for reads or writes; one token for each call issued */
typedef struct {
  double tokens;
  double rate_per_s;
  uint64_t refilled_us;
} Bucket;

struct BurdockStore {
  const BurdockEnv *env;
  BurdockCounters *counters;
  Bucket reads;
  Bucket writes;
  uint32_t queue_limit;
  uint32_t open_count;
  uint64_t next_id;
  uint64_t era;
  bool available;
  Call *calls; /* in the order of arrival */
};

static uint64_t
store_now (const BurdockStore *store)
{
  return store->env->now_us (store->env->ctx);
}

static double
bucket_capacity (const Bucket *bucket)
{
  return bucket->rate_per_s > 1 ? bucket->rate_per_s : 1;
}

static void
bucket_refill (Bucket *bucket, uint64_t now_us)
{
  double capacity = bucket_capacity (bucket);

  if (now_us > bucket->refilled_us)
    bucket->tokens +=
        bucket->rate_per_s * (double)(now_us - bucket->refilled_us) / (double)US_PER_S;
  bucket->refilled_us = now_us;
  if (bucket->tokens > capacity)
    bucket->tokens = capacity;
}

static uint64_t
bucket_ready_us (const Bucket *bucket, uint64_t now_us)
{
  double missing = 1 - bucket->tokens;

  if (missing <= 0)
    return now_us;
  return now_us + 1 + (uint64_t)(missing / bucket->rate_per_s * (double)US_PER_S);
}

BurdockStore *
burdock_store_new (const BurdockEnv *env, BurdockCounters *counters)
{
  BurdockStore *store = calloc (1, sizeof *store);

  store->env = env;
  store->counters = counters;
  store->queue_limit = DEFAULT_QUEUE_LIMIT;
  store->reads.rate_per_s = DEFAULT_READS_PER_S;
  store->writes.rate_per_s = DEFAULT_WRITES_PER_S;
  store->reads.tokens = bucket_capacity (&store->reads);
  store->writes.tokens = bucket_capacity (&store->writes);
  store->reads.refilled_us = store_now (store);
  store->writes.refilled_us = store->reads.refilled_us;
  return store;
}

static void
free_call (Call *call)
{
  for (uint32_t i = 0; i < call->put_count; i++) {
    free (call->puts[i].key);
    free (call->puts[i].value);
  }
  free (call->key);
  free (call);
}

void
burdock_store_free (BurdockStore *store)
{
  if (store == NULL)
    return;
  for (Call *call = store->calls; call != NULL;) {
    Call *next = call->next;

    free_call (call);
    call = next;
  }
  free (store);
}

void
burdock_store_set_limits (BurdockStore *store, const BurdockStoreLimits *limits)
{
  uint64_t now_us = store_now (store);

  bucket_refill (&store->reads, now_us);
  bucket_refill (&store->writes, now_us);
  store->reads.rate_per_s = limits->reads_per_s;
  store->writes.rate_per_s = limits->writes_per_s;
  store->queue_limit = limits->queue_limit;
  bucket_refill (&store->reads, now_us);
  bucket_refill (&store->writes, now_us);
}

/* Removes the call before it runs the callback, which may start further calls. */
static void
finish_call (BurdockStore *store, Call *call, const BurdockStoreResult *result)
{
  Call **link = &store->calls;
  BurdockStoreResult copy = *result;

  while (*link != call)
    link = &(*link)->next;
  *link = call->next;
  store->open_count--;
  copy.op = call->op;
  if (call->done != NULL)
    call->done (call->ctx, &copy);
  free_call (call);
}

static void
finish_with_status (BurdockStore *store, Call *call, int32_t status)
{
  BurdockStoreResult result = { .status = status };

  finish_call (store, call, &result);
}

static bool
is_write (const Call *call)
{
  return call->phase == PHASE_ISSUE &&
         (call->op == BURDOCK_STORE_ROW_PUT_IF || call->op == BURDOCK_STORE_OBJECT_PUT);
}

/* Schedules a retry after a random delay below an exponentially growing limit. */
static void
back_off (BurdockStore *store, Call *call, uint64_t now_us)
{
  uint32_t shift = call->retries < 6 ? call->retries : 6;
  uint64_t limit_us = BACKOFF_FIRST_US << shift;

  if (limit_us > BACKOFF_MAX_US)
    limit_us = BACKOFF_MAX_US;
  call->in_flight_id = 0;
  call->due_us = now_us + 1 + store->env->random_u64 (store->env->ctx) % limit_us;
}

static uint32_t
attempt_timeout (const Call *call, uint64_t now_us)
{
  uint64_t left_ms = (call->deadline_us - now_us) / US_PER_MS;
  uint64_t timeout_ms = ATTEMPT_TIMEOUT_MS;

  for (uint32_t i = 0; i < call->retries && timeout_ms < ATTEMPT_TIMEOUT_MAX_MS; i++)
    timeout_ms *= 2;
  if (timeout_ms > left_ms)
    timeout_ms = left_ms;
  return timeout_ms > 0 ? (uint32_t)timeout_ms : 1;
}

static void
fill_puts (const Call *call, BurdockStoreCall *out)
{
  out->put_count = call->put_count;
  for (uint32_t i = 0; i < call->put_count; i++) {
    const PutCopy *put = &call->puts[i];

    out->puts[i] = (BurdockStorePut){ .key = put->key,
                                      .value = { put->value, put->value_bytes },
                                      .if_version = put->if_version };
  }
}

static void
issue_call (BurdockStore *store, Call *call, uint64_t now_us)
{
  BurdockStoreCall out = { .id = ++store->next_id,
                           .op = call->op,
                           .key = call->key,
                           .timeout_ms = attempt_timeout (call, now_us) };
  bool write = is_write (call);

  if (call->phase == PHASE_READ_BACK) {
    out.op = BURDOCK_STORE_ROW_GET;
    out.key = call->puts[call->read_back_index].key;
  } else if (call->op == BURDOCK_STORE_ROW_PUT_IF) {
    fill_puts (call, &out);
  } else if (call->op == BURDOCK_STORE_OBJECT_PUT) {
    out.value = (BurdockBytes){ call->puts[0].value, call->puts[0].value_bytes };
  }
  call->in_flight_id = out.id;
  call->due_us = now_us + out.timeout_ms * US_PER_MS + RESULT_GRACE_US;
  burdock_count (store->counters,
                 write ? BURDOCK_COUNTER_STORE_WRITES : BURDOCK_COUNTER_STORE_READS, 1);
  if (store->env->store (store->env->ctx, &out) < 0) {
    store->available = false;
    call->retries++;
    back_off (store, call, now_us);
  }
}

static void
try_issue (BurdockStore *store, Call *call, uint64_t now_us)
{
  Bucket *bucket = is_write (call) ? &store->writes : &store->reads;

  bucket_refill (bucket, now_us);
  call->throttled = bucket->tokens < 1;
  if (call->throttled) {
    call->due_us = bucket_ready_us (bucket, now_us);
    return;
  }
  bucket->tokens -= 1;
  issue_call (store, call, now_us);
}

static Call *
new_call (BurdockStore *store, BurdockStoreOp op, const char *key, uint32_t deadline_ms,
          BurdockStoreDone done, void *ctx)
{
  uint64_t now_us = store_now (store);
  Call **link = &store->calls;
  Call *call;

  if (store->open_count >= store->queue_limit)
    return NULL;
  call = calloc (1, sizeof *call);
  call->op = op;
  call->phase = PHASE_ISSUE;
  call->key = key != NULL ? strdup (key) : NULL;
  call->due_us = now_us;
  call->deadline_us = now_us + deadline_ms * US_PER_MS;
  call->era = store->era;
  call->done = done;
  call->ctx = ctx;
  while (*link != NULL)
    link = &(*link)->next;
  *link = call;
  store->open_count++;
  return call;
}

static void
add_put (Call *call, const char *key, BurdockBytes value, uint64_t if_version)
{
  PutCopy *put = &call->puts[call->put_count++];

  put->key = strdup (key);
  put->value = malloc (value.length_bytes + 1);
  if (value.length_bytes > 0)
    memcpy (put->value, value.data, value.length_bytes);
  put->value_bytes = value.length_bytes;
  put->if_version = if_version;
}

/* Whether an earlier call of the same kind waits for the budget. */
static bool
must_wait (const BurdockStore *store, const Call *call)
{
  for (const Call *other = store->calls; other != NULL; other = other->next) {
    if (other->throttled && is_write (other) == is_write (call))
      return true;
  }
  return false;
}

static int
start_call (BurdockStore *store, Call *call)
{
  uint64_t now_us = store_now (store);

  if (call == NULL)
    return -EAGAIN;
  call->throttled = must_wait (store, call);
  if (call->throttled)
    call->due_us =
        bucket_ready_us (is_write (call) ? &store->writes : &store->reads, now_us);
  else
    try_issue (store, call, now_us);
  return 0;
}

int
burdock_store_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                   BurdockStoreDone done, void *ctx)
{
  return start_call (store, new_call (store, BURDOCK_STORE_ROW_GET, key, deadline_ms,
                                      done, ctx));
}

int
burdock_store_object_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                          BurdockStoreDone done, void *ctx)
{
  return start_call (store, new_call (store, BURDOCK_STORE_OBJECT_GET, key, deadline_ms,
                                      done, ctx));
}

int
burdock_store_instances (BurdockStore *store, uint32_t deadline_ms, BurdockStoreDone done,
                         void *ctx)
{
  return start_call (store, new_call (store, BURDOCK_STORE_INSTANCE_LIST, NULL,
                                      deadline_ms, done, ctx));
}

int
burdock_store_object_put (BurdockStore *store, const char *key, BurdockBytes body,
                          uint32_t deadline_ms, BurdockStoreDone done, void *ctx)
{
  Call *call = new_call (store, BURDOCK_STORE_OBJECT_PUT, key, deadline_ms, done, ctx);

  if (call != NULL)
    add_put (call, key, body, 0);
  return start_call (store, call);
}

int
burdock_store_put_if (BurdockStore *store, const BurdockStorePut *puts,
                      uint32_t put_count, uint32_t deadline_ms, BurdockStoreDone done,
                      void *ctx)
{
  Call *call;

  if (put_count == 0 || put_count > BURDOCK_STORE_PUTS_MAX)
    return -EINVAL;
  call = new_call (store, BURDOCK_STORE_ROW_PUT_IF, NULL, deadline_ms, done, ctx);
  for (uint32_t i = 0; call != NULL && i < put_count; i++)
    add_put (call, puts[i].key, puts[i].value, puts[i].if_version);
  return start_call (store, call);
}

/* Whether the store has answered the call; otherwise it refused it, failed, or its answer
 * was lost. */
static bool
is_answer (int32_t status)
{
  return status == 0 || status == -ENOENT || status == -EEXIST;
}

/* Whether the store has been restored since the versions of the call were read. The first
 * call of a process finds out the era. */
static bool
is_of_ended_era (const BurdockStore *store, const Call *call)
{
  return call->era != 0 && call->era < store->era;
}

static bool
is_own_value (const Call *call, const BurdockStoreResult *result)
{
  const PutCopy *put = &call->puts[call->read_back_index];

  return result->status == 0 && result->value.length_bytes == put->value_bytes &&
         memcmp (result->value.data, put->value, put->value_bytes) == 0;
}

static void
retry_later (BurdockStore *store, Call *call, uint64_t now_us)
{
  call->retries++;
  back_off (store, call, now_us);
}

/*
 * Determines the outcome of an ambiguous transaction from a row that was read back. Each
 * write increments the version of its row by one, and a transaction writes all of its
 * rows or none, so one row can decide. If it holds the value of this write, the write
 * took effect. If it has its old version, the write did not and is issued again. If it
 * was written once, by another write, this one did not take effect and no longer can. If
 * it was written more than once, the row of the next put is read.
 */
static void
handle_read_back (BurdockStore *store, Call *call, const BurdockStoreResult *result,
                  uint64_t now_us)
{
  const PutCopy *put = &call->puts[call->read_back_index];
  uint64_t version = result->status == 0 ? result->version : 0;
  BurdockStoreResult out = *result;

  if (is_own_value (call, result)) {
    if (call->read_back_index > 0)
      out = (BurdockStoreResult){ .version = call->puts[0].if_version + 1 };
    finish_call (store, call, &out);
    return;
  }
  if (is_of_ended_era (store, call)) {
    finish_with_status (store, call, -ETIMEDOUT);
    return;
  }
  if (version == put->if_version && !call->superseded) {
    call->phase = PHASE_ISSUE;
    retry_later (store, call, now_us);
    return;
  }
  out.status = -EEXIST;
  if (version <= put->if_version + 1) {
    finish_call (store, call, &out);
    return;
  }
  if (call->read_back_index + 1 < call->put_count) {
    call->superseded = true;
    call->read_back_index++;
    call->retries = 0;
    call->due_us = now_us;
    call->in_flight_id = 0;
    try_issue (store, call, now_us);
    return;
  }
  out.status = -ETIMEDOUT;
  finish_call (store, call, &out);
}

static void
start_read_back (BurdockStore *store, Call *call, uint64_t now_us)
{
  if (!call->ambiguous)
    burdock_count (store->counters, BURDOCK_COUNTER_STORE_AMBIGUOUS, 1);
  call->ambiguous = true;
  call->phase = PHASE_READ_BACK;
  call->read_back_index = 0;
  call->superseded = false;
  retry_later (store, call, now_us);
}

static void
handle_result (BurdockStore *store, Call *call, const BurdockStoreResult *result,
               uint64_t now_us)
{
  bool conditional = call->op == BURDOCK_STORE_ROW_PUT_IF && call->phase == PHASE_ISSUE;
  bool answered = is_answer (result->status);
  /* A version mismatch may stem from an earlier issue of the same write. */
  bool outcome_unknown =
      answered ? result->status == -EEXIST && call->ambiguous : result->status != -EAGAIN;

  call->in_flight_id = 0;
  store->available = answered;
  if (conditional && outcome_unknown)
    start_read_back (store, call, now_us);
  else if (!answered)
    retry_later (store, call, now_us);
  else if (call->phase == PHASE_READ_BACK)
    handle_read_back (store, call, result, now_us);
  else
    finish_call (store, call, result);
}

/* A late answer of an earlier era tells nothing about the present one. */
static BurdockStoreResult
present_result (BurdockStore *store, const BurdockStoreResult *result)
{
  if (result->era > store->era)
    store->era = result->era;
  if (result->era == 0 || result->era == store->era)
    return *result;
  return (BurdockStoreResult){ .id = result->id, .status = -ETIMEDOUT };
}

void
burdock_store_handle_result (BurdockStore *store, const BurdockStoreResult *result)
{
  BurdockStoreResult present = present_result (store, result);

  for (Call *call = store->calls; call != NULL; call = call->next) {
    if (call->in_flight_id == result->id && result->id != 0) {
      handle_result (store, call, &present, store_now (store));
      return;
    }
  }
}

static void
expire_call (BurdockStore *store, Call *call)
{
  bool write = call->op == BURDOCK_STORE_ROW_PUT_IF;
  bool not_written = write && !call->ambiguous &&
                     (call->in_flight_id == 0 || call->phase != PHASE_ISSUE);

  if (call->in_flight_id != 0)
    store->available = false;
  finish_with_status (store, call, not_written ? -EAGAIN : -ETIMEDOUT);
}

static void
run_call (BurdockStore *store, Call *call, uint64_t now_us)
{
  BurdockStoreResult timed_out = { .status = -ETIMEDOUT };

  if (now_us >= call->deadline_us)
    expire_call (store, call);
  else if (call->in_flight_id != 0)
    handle_result (store, call, &timed_out, now_us);
  else
    try_issue (store, call, now_us);
}

uint64_t
burdock_store_tick (BurdockStore *store)
{
  uint64_t now_us = store_now (store);
  uint64_t next_us = NEVER_US;
  Call *call = store->calls;

  /* A callback may add calls; they are appended, so @next stays valid. */
  while (call != NULL) {
    Call *next = call->next;

    if (now_us >= call->deadline_us || now_us >= call->due_us)
      run_call (store, call, now_us);
    call = next;
  }
  for (call = store->calls; call != NULL; call = call->next) {
    uint64_t due_us = call->due_us < call->deadline_us ? call->due_us : call->deadline_us;

    if (due_us < next_us)
      next_us = due_us;
  }
  return next_us;
}

bool
burdock_store_available (const BurdockStore *store)
{
  return store->available;
}

uint64_t
burdock_store_era (const BurdockStore *store)
{
  return store->era;
}
