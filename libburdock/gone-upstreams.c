#include "gone-upstreams.h"

#include "error.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 1024
#define KEPT_US UINT64_C (600000000)

typedef struct {
  char id[BURDOCK_NAME_BYTES];
  uint64_t born_ms;
  uint64_t at_us;
} Record;

struct BurdockGoneUpstreams {
  uint32_t count;
  uint32_t capacity;
  Record *records;
};

BurdockGoneUpstreams *
burdock_gone_upstreams_new (void)
{
  return calloc (1, sizeof (BurdockGoneUpstreams));
}

void
burdock_gone_upstreams_free (BurdockGoneUpstreams *gone)
{
  if (gone == NULL)
    return;
  free (gone->records);
  free (gone);
}

static Record *
find_record (const BurdockGoneUpstreams *gone, const char *id)
{
  for (uint32_t i = 0; i < gone->count; i++) {
    if (strcmp (gone->records[i].id, id) == 0)
      return &gone->records[i];
  }
  return NULL;
}

static Record *
oldest_record (const BurdockGoneUpstreams *gone)
{
  Record *oldest = &gone->records[0];

  for (uint32_t i = 1; i < gone->count; i++) {
    if (gone->records[i].at_us < oldest->at_us)
      oldest = &gone->records[i];
  }
  return oldest;
}

static Record *
new_record (BurdockGoneUpstreams *gone)
{
  if (gone->count == RECORDS_MAX)
    return oldest_record (gone);
  if (gone->count == gone->capacity) {
    gone->capacity = gone->capacity == 0 ? 16 : gone->capacity * 2;
    gone->records = realloc (gone->records, gone->capacity * sizeof (Record));
    if (gone->records == NULL)
      abort ();
  }
  return &gone->records[gone->count++];
}

void
burdock_gone_upstreams_add (BurdockGoneUpstreams *gone, const char *id, uint64_t born_ms,
                            uint64_t now_us)
{
  Record *record = find_record (gone, id);
  Record added = { .born_ms = born_ms, .at_us = now_us };

  if (record != NULL && record->born_ms > born_ms)
    return;
  if (!burdock_copy_text (added.id, sizeof added.id, id))
    return;
  if (record == NULL)
    record = new_record (gone);
  *record = added;
}

void
burdock_gone_upstreams_remove (BurdockGoneUpstreams *gone, const char *id)
{
  Record *record = find_record (gone, id);

  if (record != NULL)
    *record = gone->records[--gone->count];
}

static bool
is_kept (const Record *record, uint64_t now_us)
{
  return now_us < record->at_us + KEPT_US;
}

bool
burdock_gone_upstreams_contains (const BurdockGoneUpstreams *gone, const char *id,
                                 uint64_t born_ms, uint64_t now_us)
{
  const Record *record = find_record (gone, id);

  return record != NULL && is_kept (record, now_us) && born_ms <= record->born_ms;
}

void
burdock_gone_upstreams_each (const BurdockGoneUpstreams *gone, uint64_t now_us,
                             void (*function) (void *ctx, const char *id,
                                               uint64_t born_ms),
                             void *ctx)
{
  for (uint32_t i = 0; i < gone->count; i++) {
    if (is_kept (&gone->records[i], now_us))
      function (ctx, gone->records[i].id, gone->records[i].born_ms);
  }
}
