#include "sim.h"

#include "hash-table.h"

#include <apr_strings.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define STORE_LATENCY_US (2 * SIM_US_PER_MS)
#define LATE_WRITE_MAX_US (5 * SIM_US_PER_S)
#define LIST_LAG_US (1 * SIM_US_PER_S)

typedef struct {
  uint64_t version;
  uint32_t length_bytes;
  uint8_t *data;
} Row;

/** struct StoreResponse - result on its way to @node, with its value or instances in
 * @payload */
typedef struct {
  SimNode *node;
  uint64_t start_count;
  bool for_control;
  BurdockStoreResult result;
  uint32_t payload_bytes;
  uint8_t payload[];
} StoreResponse;

/** struct LateWrite - transaction that takes effect after its call has timed out */
typedef struct {
  SimStore *store;
  uint32_t put_count;
  struct {
    char key[256];
    uint64_t if_version;
    uint32_t length_bytes;
    uint8_t data[1024];
  } puts[BURDOCK_STORE_PUTS_MAX];
} LateWrite;

typedef struct {
  SimStore *store;
  BurdockInstance instance;
} ListChange;

SimStore *
sim_store_new (Sim *sim)
{
  SimStore *store = calloc (1, sizeof *store);

  store->sim = sim;
  store->rows = burdock_hash_table_new (sim->pool);
  store->objects = burdock_hash_table_new (sim->pool);
  return store;
}

static void
free_rows (apr_hash_t *rows)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, rows); i != NULL;
       i = apr_hash_next (i)) {
    Row *row = apr_hash_this_val (i);

    free (row->data);
  }
}

void
sim_store_free (SimStore *store)
{
  free_rows (store->rows);
  free_rows (store->objects);
  free (store->instances);
  free (store);
}

static Row *
find_row (apr_hash_t *rows, const char *key)
{
  return apr_hash_get (rows, key, APR_HASH_KEY_STRING);
}

static Row *
make_row (SimStore *store, apr_hash_t *rows, const char *key)
{
  Row *row = find_row (rows, key);

  if (row != NULL)
    return row;
  row = apr_pcalloc (store->sim->pool, sizeof *row);
  apr_hash_set (rows, apr_pstrdup (store->sim->pool, key), APR_HASH_KEY_STRING, row);
  return row;
}

static void
write_row (Row *row, const uint8_t *data, uint32_t length_bytes)
{
  free (row->data);
  row->data = malloc (length_bytes + 1);
  memcpy (row->data, data, length_bytes);
  row->data[length_bytes] = '\0';
  row->length_bytes = length_bytes;
  row->version++;
}

const char *
sim_store_row (const SimStore *store, const char *key, uint64_t *version)
{
  const Row *row = find_row (store->rows, key);

  if (row == NULL)
    return NULL;
  if (version != NULL)
    *version = row->version;
  return (const char *)row->data;
}

static void
count_call (SimStore *store, bool write)
{
  uint64_t second = store->sim->now_us / SIM_US_PER_S;

  if (second != store->current_second) {
    store->current_second = second;
    store->reads_this_second = 0;
    store->writes_this_second = 0;
  }
  if (write) {
    store->writes++;
    if (++store->writes_this_second > store->peak_writes_per_s)
      store->peak_writes_per_s = store->writes_this_second;
    return;
  }
  store->reads++;
  if (++store->reads_this_second > store->peak_reads_per_s)
    store->peak_reads_per_s = store->reads_this_second;
}

static void
deliver_response (Sim *sim, void *data)
{
  StoreResponse *response = data;
  SimNode *node = response->node;
  size_t size_bytes = sizeof *response + response->payload_bytes;

  if (!node->alive || node->start_count != response->start_count)
    return;
  if (sim->now_us < node->paused_until_us) {
    StoreResponse *copy = malloc (size_bytes);

    memcpy (copy, response, size_bytes);
    sim_schedule (sim, node->paused_until_us, deliver_response, copy);
    return;
  }
  if (response->result.op == BURDOCK_STORE_INSTANCE_LIST)
    response->result.instances = (const BurdockInstance *)response->payload;
  else if (response->payload_bytes > 0)
    response->result.value = (BurdockBytes){ response->payload, response->payload_bytes };
  if (response->for_control)
    burdock_control_store_done (node->control, &response->result);
  else if (node->dispatcher != NULL)
    burdock_dispatcher_store_done (node->dispatcher, &response->result);
  sim_tick (node);
}

/* Doesn't copy the data: the row stays unchanged until build_response() has copied it. */
static void
copy_value (BurdockStoreResult *result, const Row *row)
{
  result->value = (BurdockBytes){ row->data, row->length_bytes };
  result->version = row->version;
}

static void
read_row (apr_hash_t *rows, const char *key, BurdockStoreResult *result)
{
  const Row *row = find_row (rows, key);

  if (row == NULL)
    result->status = -ENOENT;
  else
    copy_value (result, row);
}

static void
transact (SimStore *store, const BurdockStoreCall *call, BurdockStoreResult *result)
{
  for (uint32_t i = 0; i < call->put_count; i++) {
    const Row *row = find_row (store->rows, call->puts[i].key);
    uint64_t version = row != NULL ? row->version : 0;

    if (version == call->puts[i].if_version)
      continue;
    result->status = -EEXIST;
    if (row != NULL)
      copy_value (result, row);
    return;
  }
  for (uint32_t i = 0; i < call->put_count; i++) {
    Row *row = make_row (store, store->rows, call->puts[i].key);

    write_row (row, call->puts[i].value.data, call->puts[i].value.length_bytes);
    if (i == 0)
      result->version = row->version;
  }
}

static void
apply_late_write (Sim *sim, void *data)
{
  LateWrite *late = data;
  BurdockStoreCall call = { .put_count = late->put_count };
  BurdockStoreResult ignored = { 0 };

  for (uint32_t i = 0; i < late->put_count; i++)
    call.puts[i] = (BurdockStorePut){
      .key = late->puts[i].key,
      .value = { late->puts[i].data, late->puts[i].length_bytes },
      .if_version = late->puts[i].if_version,
    };
  transact (late->store, &call, &ignored);
}

static void
schedule_late_write (SimStore *store, const BurdockStoreCall *call)
{
  LateWrite *late = calloc (1, sizeof *late);

  late->store = store;
  late->put_count = call->put_count;
  for (uint32_t i = 0; i < call->put_count; i++) {
    strncpy (late->puts[i].key, call->puts[i].key, sizeof late->puts[i].key - 1);
    late->puts[i].if_version = call->puts[i].if_version;
    late->puts[i].length_bytes = call->puts[i].value.length_bytes;
    if (late->puts[i].length_bytes > sizeof late->puts[i].data)
      abort ();
    memcpy (late->puts[i].data, call->puts[i].value.data, late->puts[i].length_bytes);
  }
  sim_schedule (store->sim,
                store->sim->now_us + sim_random_below (store->sim, LATE_WRITE_MAX_US),
                apply_late_write, late);
}

static void
perform (SimStore *store, const BurdockStoreCall *call, BurdockStoreResult *result)
{
  switch (call->op) {
  case BURDOCK_STORE_ROW_GET:
    read_row (store->rows, call->key, result);
    break;
  case BURDOCK_STORE_OBJECT_GET:
    read_row (store->objects, call->key, result);
    break;
  case BURDOCK_STORE_OBJECT_PUT:
    write_row (make_row (store, store->objects, call->key), call->value.data,
               call->value.length_bytes);
    break;
  case BURDOCK_STORE_ROW_PUT_IF:
    transact (store, call, result);
    break;
  case BURDOCK_STORE_INSTANCE_LIST:
    result->instance_count = store->instance_count;
    result->instances = store->instances;
    break;
  }
}

static StoreResponse *
build_response (SimNode *node, bool for_control, const BurdockStoreResult *result)
{
  const void *from = result->value.data;
  uint32_t bytes = result->value.length_bytes;
  StoreResponse *response;

  if (result->op == BURDOCK_STORE_INSTANCE_LIST) {
    from = result->instances;
    bytes = result->instance_count * (uint32_t)sizeof *result->instances;
  }
  response = malloc (sizeof *response + bytes);
  *response = (StoreResponse){
    .node = node,
    .start_count = node->start_count,
    .for_control = for_control,
    .result = *result,
    .payload_bytes = bytes,
  };
  if (bytes > 0)
    memcpy (response->payload, from, bytes);
  return response;
}

/* Performs a call under the injected faults. Returns the time until its response in
 * microseconds. */
static uint64_t
perform_with_faults (SimStore *store, const BurdockStoreCall *call,
                     BurdockStoreResult *result)
{
  Sim *sim = store->sim;
  bool write =
      call->op == BURDOCK_STORE_ROW_PUT_IF || call->op == BURDOCK_STORE_OBJECT_PUT;
  uint64_t timeout_us = call->timeout_ms * SIM_US_PER_MS;
  uint64_t latency_us = STORE_LATENCY_US + store->faults.delay_us +
                        sim_random_below (sim, STORE_LATENCY_US);

  count_call (store, write);
  if (store->faults.down) {
    result->status = sim_random_below (sim, 2) == 0 ? -EAGAIN : -ETIMEDOUT;
    return result->status == -ETIMEDOUT ? timeout_us : latency_us;
  }
  if (call->op == BURDOCK_STORE_ROW_PUT_IF &&
      sim_random_below (sim, 1000) < store->faults.late_write_per_mille) {
    schedule_late_write (store, call);
    result->status = -ETIMEDOUT;
    return timeout_us;
  }
  perform (store, call, result);
  if (write && sim_random_below (sim, 1000) < store->faults.lose_response_per_mille)
    *result = (BurdockStoreResult){ .id = call->id, .op = call->op, .status = -EIO };
  return latency_us;
}

int
sim_store_call (SimNode *node, const BurdockStoreCall *call, bool for_control)
{
  BurdockStoreResult result = { .id = call->id, .op = call->op };
  uint64_t latency_us = perform_with_faults (node->sim->store, call, &result);

  sim_schedule (node->sim, node->sim->now_us + latency_us, deliver_response,
                build_response (node, for_control, &result));
  return 0;
}

static void
apply_list_change (Sim *sim, void *data)
{
  ListChange *change = data;
  SimStore *store = change->store;
  uint32_t at = 0;

  while (at < store->instance_count &&
         strcmp (store->instances[at].name, change->instance.name) != 0)
    at++;
  if (change->instance.state == 0) {
    if (at < store->instance_count)
      store->instances[at] = store->instances[--store->instance_count];
    return;
  }
  if (at == store->instance_count) {
    store->instance_count++;
    store->instances =
        realloc (store->instances, store->instance_count * sizeof *store->instances);
  }
  store->instances[at] = change->instance;
}

void
sim_store_set_instance (SimStore *store, const SimNode *node, BurdockInstanceState state)
{
  ListChange *change = calloc (1, sizeof *change);

  change->store = store;
  memcpy (change->instance.name, node->settings.name, sizeof change->instance.name);
  change->instance.role = node->settings.role;
  change->instance.control_address = node->settings.control_address;
  change->instance.state = state;
  sim_schedule (store->sim, store->sim->now_us + LIST_LAG_US, apply_list_change, change);
}
