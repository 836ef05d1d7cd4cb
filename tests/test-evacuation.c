#include "evacuation.h"
#include "hash.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)
#define STEP_US UINT64_C (50000)
#define GATEWAYS_MAX 330
#define STEPS_MAX 6
#define STATEMENTS_MAX 3

typedef enum {
  LISTING = 1, /* all rows of the table */
  CHANGES,
  GATEWAY, /* message of another gateway */
} StepKind;

typedef enum {
  ROW = 1,
  REMOVED,
  UNREADABLE,
} RowKind;

/* Row of an answer of the store, or statement of a message. */
typedef struct {
  const char *failure_domain;
  uint64_t version;
  RowKind kind;
} Statement;

typedef struct {
  StepKind kind;
  uint64_t era;
  uint64_t version; /* of the table */
  Statement statements[STATEMENTS_MAX];
  const char *evacuated; /* names of one letter, afterwards */
  bool behind;           /* the other gateway is */
} Step;

typedef struct {
  const char *name;
  Step steps[STEPS_MAX];
} StatementCase;

static const StatementCase statement_cases[] = {
  { "a row is written and removed",
    { { LISTING, 1, 5, { { 0 } }, "", false },
      { CHANGES, 1, 6, { { "a", 6, ROW } }, "a", false },
      { CHANGES, 1, 7, { { "b", 7, ROW } }, "ab", false },
      { CHANGES, 1, 8, { { "a", 8, REMOVED } }, "b", false } } },
  { "rows of one answer in another order",
    { { CHANGES, 1, 9, { { "a", 8, REMOVED }, { "a", 6, ROW } }, "", false },
      { CHANGES, 1, 12, { { "b", 12, ROW }, { "b", 11, REMOVED } }, "b", false } } },
  { "a row is missing in a listing",
    { { LISTING, 1, 5, { { "a", 3, ROW }, { "b", 4, ROW } }, "ab", false },
      { LISTING, 1, 9, { { "b", 4, ROW } }, "b", false },
      { GATEWAY, 1, 0, { { "a", 3, ROW } }, "b", true } } },
  { "a listing is older than what another gateway states",
    { { GATEWAY, 1, 0, { { "a", 7, ROW } }, "a", false },
      { LISTING, 1, 6, { { 0 } }, "a", false },
      { CHANGES, 1, 8, { { "a", 8, REMOVED } }, "", false } } },
  { "another gateway is older",
    { { LISTING, 1, 5, { { "a", 5, ROW } }, "a", false },
      { GATEWAY, 1, 0, { { "a", 4, REMOVED } }, "a", true },
      { CHANGES, 1, 6, { { "a", 6, REMOVED } }, "", false },
      { GATEWAY, 1, 0, { { "a", 5, ROW } }, "", true },
      { GATEWAY, 1, 0, { { "a", 6, REMOVED } }, "", false },
      { GATEWAY, 1, 0, { { "a", 4, REMOVED } }, "", false } } },
  { "another gateway is newer",
    { { LISTING, 1, 5, { { "a", 5, ROW } }, "a", false },
      { GATEWAY, 1, 0, { { "a", 6, REMOVED }, { "b", 7, ROW } }, "b", false } } },
  { "a statement about what a later listing does not show",
    { { LISTING, 1, 9, { { 0 } }, "", false },
      { GATEWAY, 1, 0, { { "a", 8, ROW } }, "", true },
      { GATEWAY, 1, 0, { { "a", 10, ROW } }, "a", false } } },
  { "the store returns from a copy without the row",
    { { LISTING, 1, 5, { { "a", 5, ROW } }, "a", false },
      { LISTING, 2, 4, { { 0 } }, "", false },
      { GATEWAY, 1, 0, { { "a", 9, ROW } }, "", true },
      { CHANGES, 2, 5, { { "a", 5, ROW } }, "a", false } } },
  { "the store returns from a copy with the row",
    { { CHANGES, 1, 9, { { "a", 9, REMOVED } }, "", false },
      { LISTING, 2, 5, { { "a", 4, ROW } }, "a", false },
      { GATEWAY, 1, 0, { { "a", 9, REMOVED } }, "a", true } } },
  { "a gateway that started after the restore knows nothing of the row",
    { { LISTING, 2, 4, { { 0 } }, "", false },
      { GATEWAY, 1, 0, { { "a", 9, ROW } }, "", true } } },
  { "another gateway has read the store after the restore",
    { { LISTING, 1, 5, { { "a", 5, ROW } }, "a", false },
      { GATEWAY, 2, 0, { { "a", 4, REMOVED } }, "", false },
      { LISTING, 1, 9, { { "a", 5, ROW } }, "", false } } },
  { "a store that names no era",
    { { LISTING, 0, 5, { { "a", 5, ROW } }, "a", false },
      { CHANGES, 0, 6, { { "a", 6, REMOVED } }, "", false },
      { GATEWAY, 0, 0, { { "a", 5, ROW } }, "", true } } },
  { "a row that cannot be read begins nothing",
    { { LISTING, 1, 5, { { "a", 5, UNREADABLE } }, "", false },
      { CHANGES, 1, 6, { { "a", 6, ROW } }, "a", false } } },
  { "a row that cannot be read ends nothing",
    { { LISTING, 1, 5, { { "a", 5, ROW } }, "a", false },
      { CHANGES, 1, 6, { { "a", 6, UNREADABLE } }, "a", false },
      { LISTING, 1, 6, { { "a", 6, UNREADABLE } }, "a", false },
      { LISTING, 2, 6, { { "a", 6, UNREADABLE } }, "a", false },
      { CHANGES, 2, 7, { { "a", 7, REMOVED } }, "", false } } },
  { "another gateway knows what a row was before it could not be read",
    { { LISTING, 1, 6, { { "a", 6, UNREADABLE } }, "", false },
      { GATEWAY, 1, 0, { { "a", 5, ROW } }, "a", false } } },
  { "another gateway states nothing about a row that it cannot read",
    { { GATEWAY, 0, 0, { { "a", 0, REMOVED } }, "", false },
      { LISTING, 1, 9, { { 0 } }, "", false },
      { GATEWAY, 1, 0, { { "a", 8, ROW } }, "", true } } },
};

typedef struct {
  BurdockEvacuation *set;
  char evacuated[32]; /* as the callback tells it, in the order of the names */
  uint32_t changes;
} World;

/* Each change is told once. */
static void
note_change (void *ctx, const BurdockEvacuationItem *item, BurdockEvacuationSource source)
{
  World *world = ctx;
  char *at = strchr (world->evacuated, item->failure_domain[0]);
  char *end = world->evacuated + strlen (world->evacuated);

  CU_ASSERT_EQUAL (item->evacuated, at == NULL);
  world->changes++;
  if (at != NULL) {
    memmove (at, at + 1, strlen (at));
    return;
  }
  at = world->evacuated;
  while (*at != '\0' && *at < item->failure_domain[0])
    at++;
  memmove (at + 1, at, (size_t)(end - at) + 1);
  *at = item->failure_domain[0];
}

static void
set_up (World *world, uint64_t gateway)
{
  BurdockEvacuationHandler handler = { .ctx = world, .changed = note_change };

  memset (world, 0, sizeof *world);
  world->set = burdock_evacuation_new (gateway, &handler);
}

static BurdockEvacuationItem
item_of (const char *name, uint64_t era, uint64_t version, bool evacuated)
{
  BurdockEvacuationItem item = { .era = era, .version = version, .evacuated = evacuated };

  snprintf (item.failure_domain, sizeof item.failure_domain, "%s", name);
  return item;
}

static bool
take_step (World *world, const Step *step)
{
  BurdockEvacuationItem items[STATEMENTS_MAX];
  BurdockEvacuationRow rows[STATEMENTS_MAX];
  BurdockEvacuationAnswer answer = { .listing = step->kind == LISTING,
                                     .era = step->era,
                                     .version = step->version,
                                     .rows = rows };

  for (const Statement *statement = step->statements;
       answer.count < STATEMENTS_MAX && statement->failure_domain != NULL; statement++) {
    items[answer.count] = item_of (statement->failure_domain, step->era,
                                   statement->version, statement->kind == ROW);
    rows[answer.count] =
        (BurdockEvacuationRow){ items[answer.count], statement->kind == UNREADABLE };
    answer.count++;
  }
  if (step->kind == GATEWAY)
    return burdock_evacuation_merge (world->set, items, answer.count, US_PER_S);
  CU_ASSERT_EQUAL (burdock_evacuation_read (world->set, &answer, US_PER_S), 0);
  return false;
}

/* Guards against a failure domain that is used while its row exists or is left out when
 * it is gone, against an older statement that replaces a newer one, and against a gateway
 * that is not told that it is behind. */
static void
the_newest_statement_counts (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (statement_cases); i++) {
    const StatementCase *row = &statement_cases[i];
    World world;

    set_up (&world, 1);
    for (uint32_t k = 0; k < STEPS_MAX && row->steps[k].kind != 0; k++) {
      const Step *step = &row->steps[k];
      bool behind = take_step (&world, step);

      if (strcmp (world.evacuated, step->evacuated) != 0 || behind != step->behind ||
          burdock_evacuation_count (world.set) != strlen (step->evacuated)) {
        printf ("%s, step %u: evacuated \"%s\" behind %d\n", row->name, k,
                world.evacuated, behind);
        CU_FAIL (row->name);
      }
    }
    burdock_evacuation_free (world.set);
  }
}

/* Two gateways that have read different parts come to the same set by their messages,
 * whichever is sent first. */
static void
gateways_agree_after_their_messages (void)
{
  static const Step parts[] = {
    { LISTING, 1, 5, { { "a", 3, ROW }, { "b", 4, ROW } }, "ab", false },
    { CHANGES, 1, 9, { { "a", 8, REMOVED }, { "c", 9, ROW } }, "bc", false },
    { LISTING, 2, 6, { { "c", 6, ROW } }, "c", false },
  };

  for (uint32_t read = 1; read <= TEST_COUNT (parts); read++) {
    World worlds[2];
    uint32_t count;

    for (uint32_t i = 0; i < 2; i++) {
      set_up (&worlds[i], i + 1);
      take_step (&worlds[i], &parts[0]);
    }
    for (uint32_t i = 1; i < read; i++)
      take_step (&worlds[0], &parts[i]);
    for (uint32_t i = 0; i < 4; i++) {
      const BurdockEvacuationItem *items =
          burdock_evacuation_items (worlds[(i + 1) % 2].set, &count);

      burdock_evacuation_merge (worlds[i % 2].set, items, count, US_PER_S);
    }
    CU_ASSERT_STRING_EQUAL (worlds[0].evacuated, parts[read - 1].evacuated);
    CU_ASSERT_STRING_EQUAL (worlds[1].evacuated, parts[read - 1].evacuated);
    for (uint32_t i = 0; i < 2; i++)
      burdock_evacuation_free (worlds[i].set);
  }
}

static void
ignore_change (void *ctx, const BurdockEvacuationItem *item,
               BurdockEvacuationSource source)
{
}

/* Guards against a row that was ignored for lack of room and is taken for removed later,
 * which other gateways would then be told. */
static void
an_ignored_row_is_not_absent (void)
{
  BurdockEvacuationHandler handler = { .changed = ignore_change };
  BurdockEvacuation *set = burdock_evacuation_new (1, &handler);
  BurdockEvacuationRow rows[BURDOCK_EVACUATION_ITEMS_MAX + 1] = { 0 };
  BurdockEvacuationAnswer answer = {
    .listing = true, .era = 1, .version = 9, .count = TEST_COUNT (rows), .rows = rows
  };
  BurdockEvacuationItem last;
  char name[16];

  for (uint32_t i = 0; i < TEST_COUNT (rows); i++) {
    snprintf (name, sizeof name, "z-%u", i);
    rows[i].item = item_of (name, 1, 5, true);
  }
  last = rows[TEST_COUNT (rows) - 1].item;
  CU_ASSERT_EQUAL (burdock_evacuation_read (set, &answer, US_PER_S), 1);
  answer = (BurdockEvacuationAnswer){ .era = 1, .version = 10, .count = 1, .rows = rows };
  rows[0].item.evacuated = false;
  rows[0].item.version = 10;
  CU_ASSERT_EQUAL (burdock_evacuation_read (set, &answer, US_PER_S), 0);
  CU_ASSERT_FALSE (burdock_evacuation_merge (set, &last, 1, US_PER_S));
  CU_ASSERT_EQUAL (burdock_evacuation_count (set), BURDOCK_EVACUATION_ITEMS_MAX);
  burdock_evacuation_free (set);
}

static uint32_t
read_row (BurdockEvacuation *set, uint32_t number, uint64_t version, bool evacuated)
{
  BurdockEvacuationRow row = { 0 };
  BurdockEvacuationAnswer answer = {
    .era = 1, .version = version, .count = 1, .rows = &row
  };
  char name[16];

  snprintf (name, sizeof name, "z-%u", number);
  row.item = item_of (name, 1, version, evacuated);
  return burdock_evacuation_read (set, &answer, US_PER_S);
}

/* Guards against memory that grows with the rows of another writer, and against rows that
 * are gone and keep out new ones. */
static void
the_set_is_bounded (void)
{
  BurdockEvacuationHandler handler = { .changed = ignore_change };
  BurdockEvacuation *set = burdock_evacuation_new (1, &handler);
  const uint32_t limit = BURDOCK_EVACUATION_ITEMS_MAX;
  uint64_t version = 1;
  uint32_t count;

  for (uint32_t i = 0; i < 4 * limit; i++) {
    CU_ASSERT_EQUAL (read_row (set, i, version++, true), 0);
    CU_ASSERT_EQUAL (read_row (set, i, version++, false), 0);
  }
  for (uint32_t i = 0; i < limit; i++)
    CU_ASSERT_EQUAL (read_row (set, 1000 + i, version++, true), 0);
  CU_ASSERT_EQUAL (read_row (set, 2000, version++, true), 1);
  CU_ASSERT_EQUAL (burdock_evacuation_count (set), limit);
  read_row (set, 1000, version++, false);
  CU_ASSERT_EQUAL (read_row (set, 2000, version++, true), 0);
  burdock_evacuation_items (set, &count);
  CU_ASSERT_EQUAL (count, limit);
  CU_ASSERT_EQUAL (burdock_evacuation_version (set, 1), version - 1);
  CU_ASSERT_EQUAL (burdock_evacuation_version (set, 2), 0);
  burdock_evacuation_free (set);
}

typedef struct {
  uint32_t gateways;
  uint32_t readers;  /* gateways that read the row in the store at 0 s */
  double lost;       /* share of the messages that are lost */
  double deaf_s;     /* the last gateway receives nothing for this time */
  double told_max_s; /* until the last gateway knows */
  double per_s_max;  /* messages that a gateway receives a second, from 5 s on */
} ShareCase;

/* The times come from the bound of the operator, 5 s, and the target of 1 s where enough
 * gateways reach the store. */
static const ShareCase share_cases[] = {
  { 2, 1, 0, 0, 0.1, 4 },     { 2, 1, 0, 0.3, 0.5, 4 },   { 3, 1, 0, 0, 0.1, 4 },
  { 9, 8, 0, 0.3, 0.5, 4 },   { 9, 8, 0.3, 0, 1, 4 },     { 32, 31, 0, 0, 0.5, 4 },
  { 32, 16, 0.3, 0, 1, 4 },   { 99, 98, 0.3, 0, 1, 4 },   { 330, 329, 0, 0, 0.5, 4 },
  { 330, 329, 0.3, 0, 1, 4 }, { 330, 165, 0.3, 0, 2, 4 }, { 330, 329, 0.3, 10, 12, 4 },
};

typedef struct {
  uint64_t told_us; /* 0 if the last gateway was not told */
  uint32_t late;    /* messages from 5 s on */
} Told;

static Told
play_sharing (const ShareCase *row)
{
  BurdockEvacuationHandler handler = { .changed = ignore_change };
  BurdockEvacuation *sets[GATEWAYS_MAX] = { NULL };
  const uint32_t readers = row->readers;
  Told told = { 0 };

  for (uint32_t k = 0; k < readers; k++) {
    sets[k] = burdock_evacuation_new (burdock_hash_mix (k + 1), &handler);
    read_row (sets[k], 1, 7, true);
  }
  for (uint64_t now_us = US_PER_S; now_us < 31 * US_PER_S; now_us += STEP_US) {
    for (uint32_t k = 0; k < readers; k++) {
      if (!burdock_evacuation_is_share_due (sets[k], row->gateways, now_us))
        continue;
      told.late += now_us > 6 * US_PER_S;
      if (told.told_us == 0 && (double)now_us >= (1 + row->deaf_s) * US_PER_S &&
          burdock_hash_unit (burdock_hash_pair (now_us, k)) >= row->lost)
        told.told_us = now_us;
    }
  }
  for (uint32_t k = 0; k < readers; k++)
    burdock_evacuation_free (sets[k]);
  return told;
}

/* Guards against a gateway cut off from the store that is not told in time, and against
 * messages that grow with the number of gateways. */
static void
the_last_gateway_is_told (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (share_cases); i++) {
    const ShareCase *row = &share_cases[i];
    Told told = play_sharing (row);
    double after_s = ((double)told.told_us - US_PER_S) / US_PER_S;
    double per_s = told.late / 25.0;

    if (told.told_us != 0 && after_s <= row->told_max_s && per_s <= row->per_s_max)
      continue;
    printf ("%u gateways, %u readers: told after %.2f s, %.1f messages a second\n",
            row->gateways, row->readers, after_s, per_s);
    CU_FAIL ("told too late or too often");
  }
}

/* Guards against messages that are sent while nothing is evacuated, for good. */
static void
nothing_is_sent_without_an_evacuation (void)
{
  BurdockEvacuationHandler handler = { .changed = ignore_change };
  BurdockEvacuation *set = burdock_evacuation_new (1, &handler);
  uint32_t sent = 0;

  for (uint64_t now_us = US_PER_S; now_us < 9 * US_PER_S; now_us += STEP_US)
    sent += burdock_evacuation_is_share_due (set, 2, now_us);
  CU_ASSERT_EQUAL (sent, 0);
  read_row (set, 1, 6, true);
  read_row (set, 1, 7, false);
  for (uint64_t now_us = 9 * US_PER_S; now_us < 90 * US_PER_S; now_us += STEP_US)
    burdock_evacuation_is_share_due (set, 2, now_us);
  for (uint64_t now_us = 90 * US_PER_S; now_us < 120 * US_PER_S; now_us += STEP_US)
    sent += burdock_evacuation_is_share_due (set, 2, now_us);
  CU_ASSERT_EQUAL (sent, 0);
  burdock_evacuation_free (set);
}

static const Test tests[] = {
  { "a failure domain is used or left out against the newest statement",
    the_newest_statement_counts },
  { "two gateways disagree after their messages", gateways_agree_after_their_messages },
  { "the set grows without bound, or is full of rows that are gone", the_set_is_bounded },
  { "an evacuation ends for lack of room", an_ignored_row_is_not_absent },
  { "a gateway without the store is told too late", the_last_gateway_is_told },
  { "gateways send messages about nothing", nothing_is_sent_without_an_evacuation },
};

int
main (void)
{
  return test_main ("evacuation", tests, TEST_COUNT (tests));
}
