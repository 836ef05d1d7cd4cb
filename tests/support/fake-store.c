#include "fake-store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

void
fake_store_init (FakeStore *store)
{
  memset (store, 0, sizeof *store);
}

void
fake_store_clear (FakeStore *store)
{
  for (uint32_t i = 0; i < store->row_count; i++) {
    free (store->rows[i].key);
    free (store->rows[i].value);
  }
  free (store->rows);
  memset (store, 0, sizeof *store);
}

const FakeRow *
fake_store_row (const FakeStore *store, const char *key)
{
  for (uint32_t i = 0; i < store->row_count; i++) {
    if (strcmp (store->rows[i].key, key) == 0)
      return &store->rows[i];
  }
  return NULL;
}

static FakeRow *
find_or_add_row (FakeStore *store, const char *key)
{
  FakeRow *row = (FakeRow *)fake_store_row (store, key);

  if (row != NULL)
    return row;
  store->rows = realloc (store->rows, (store->row_count + 1) * sizeof *store->rows);
  row = &store->rows[store->row_count++];
  memset (row, 0, sizeof *row);
  row->key = strdup (key);
  return row;
}

static uint64_t
write_row (FakeStore *store, const char *key, BurdockBytes value)
{
  FakeRow *row = find_or_add_row (store, key);

  row->value = realloc (row->value, value.length_bytes + 1);
  if (value.length_bytes > 0)
    memcpy (row->value, value.data, value.length_bytes);
  row->value_bytes = value.length_bytes;
  return ++row->version;
}

static void
read_row (const FakeStore *store, const char *key, int32_t absent_status,
          BurdockStoreResult *out)
{
  const FakeRow *row = fake_store_row (store, key);

  if (row == NULL) {
    out->status = absent_status;
    return;
  }
  out->version = row->version;
  out->value = (BurdockBytes){ row->value, row->value_bytes };
}

static void
put_if (FakeStore *store, const BurdockStoreCall *call, BurdockStoreResult *out)
{
  for (uint32_t i = 0; i < call->put_count; i++) {
    const BurdockStorePut *put = &call->puts[i];
    const FakeRow *row = fake_store_row (store, put->key);

    if ((row != NULL ? row->version : 0) != put->if_version) {
      out->status = -EEXIST;
      read_row (store, put->key, -EEXIST, out);
      return;
    }
  }
  for (uint32_t i = call->put_count; i > 0; i--)
    out->version = write_row (store, call->puts[i - 1].key, call->puts[i - 1].value);
}

void
fake_store_apply (FakeStore *store, const BurdockStoreCall *call, BurdockStoreResult *out)
{
  *out = (BurdockStoreResult){ .id = call->id, .op = call->op, .era = store->era };
  switch (call->op) {
  case BURDOCK_STORE_ROW_GET:
  case BURDOCK_STORE_OBJECT_GET:
    read_row (store, call->key, -ENOENT, out);
    break;
  case BURDOCK_STORE_ROW_PUT_IF:
    put_if (store, call, out);
    break;
  case BURDOCK_STORE_OBJECT_PUT:
    write_row (store, call->key, call->value);
    break;
  case BURDOCK_STORE_INSTANCE_LIST:
    out->instance_count = store->instance_count;
    out->instances = store->instances;
    break;
  }
}

void
fake_store_copy (const FakeStore *store, FakeStore *copy)
{
  *copy = *store;
  copy->rows = calloc (store->row_count + 1, sizeof *copy->rows);
  for (uint32_t i = 0; i < store->row_count; i++) {
    const FakeRow *row = &store->rows[i];

    copy->rows[i] = *row;
    copy->rows[i].key = strdup (row->key);
    copy->rows[i].value = malloc (row->value_bytes + 1);
    memcpy (copy->rows[i].value, row->value, row->value_bytes);
  }
}

void
fake_store_restore (FakeStore *store, const FakeStore *copy)
{
  uint64_t era = store->era + 1;

  fake_store_clear (store);
  fake_store_copy (copy, store);
  store->era = era;
}

static BurdockBytes
copy_bytes (BurdockBytes bytes)
{
  uint8_t *copy = malloc (bytes.length_bytes + 1);

  if (bytes.length_bytes > 0)
    memcpy (copy, bytes.data, bytes.length_bytes);
  return (BurdockBytes){ copy, bytes.length_bytes };
}

BurdockStoreCall *
fake_call_copy (const BurdockStoreCall *call)
{
  BurdockStoreCall *copy = malloc (sizeof *copy);

  *copy = *call;
  copy->key = call->key != NULL ? strdup (call->key) : NULL;
  copy->value = copy_bytes (call->value);
  for (uint32_t i = 0; i < call->put_count; i++) {
    copy->puts[i].key = strdup (call->puts[i].key);
    copy->puts[i].value = copy_bytes (call->puts[i].value);
  }
  return copy;
}

void
fake_call_free (BurdockStoreCall *call)
{
  for (uint32_t i = 0; i < call->put_count; i++) {
    free ((char *)call->puts[i].key);
    free ((uint8_t *)call->puts[i].value.data);
  }
  free ((char *)call->key);
  free ((uint8_t *)call->value.data);
  free (call);
}
