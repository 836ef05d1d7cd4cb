#include "test.h"
#include "upstream-registry.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)

static void
ignore_log (void *ctx, const char *step, const char *id, const char *detail)
{
}

static void
put (BurdockUpstreamRegistry *registry, const char *id, uint32_t ipv4, bool leaving,
     uint64_t version)
{
  BurdockUpstream item = { .address = { ipv4, 80 }, .leaving = leaving, .slots = 1 };

  snprintf (item.id, sizeof item.id, "%s", id);
  burdock_upstream_registry_put (registry, &item, version, US_PER_S);
}

static bool
has (const BurdockUpstreamRegistry *registry, const char *id)
{
  BurdockUpstream items[8];
  uint32_t count = burdock_upstream_registry_count (registry);

  CU_ASSERT_TRUE_FATAL (count <= 8);
  burdock_upstream_registry_copy (registry, items);
  for (uint32_t i = 0; i < count; i++) {
    if (strcmp (items[i].id, id) == 0)
      return true;
  }
  return false;
}

typedef struct {
  const char *name;
  const char *first;
  uint64_t first_version;
  const char *second;
  uint64_t second_version;
  const char *kept;
} AddressCase;

static const AddressCase address_cases[] = {
  { "the later row comes last", "old", 1, "new", 2, "new" },
  { "the later row comes first", "new", 2, "old", 1, "new" },
};

/* After a loss of power the rows of the previous ids are still listed, in the order of
 * the ids. Guards against keeping two upstreams at one address: only one of them was
 * known as a rank of its group, and the other one got requests while the group was
 * broken. */
static void
the_latest_upstream_at_an_address_is_kept (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (address_cases); i++) {
    const AddressCase *row = &address_cases[i];
    BurdockUpstreamRegistry *registry = burdock_upstream_registry_new (ignore_log, NULL);

    burdock_upstream_registry_begin_listing (registry, 0, US_PER_S);
    put (registry, row->first, 7, false, row->first_version);
    put (registry, row->second, 7, false, row->second_version);
    put (registry, "elsewhere", 8, false, 1);
    burdock_upstream_registry_end_listing (registry, US_PER_S);
    if (burdock_upstream_registry_count (registry) != 2 || !has (registry, row->kept) ||
        !has (registry, "elsewhere"))
      CU_FAIL (row->name);
    burdock_upstream_registry_free (registry);
  }
}

typedef struct {
  const char *name;
  uint64_t rewrite_us; /* time from the removal until the row is written again, or 0 */
  bool outage;         /* the store was regained 1 s before the row is removed */
  bool leaving;
  bool kept_at_once; /* right after the removal */
  bool kept_finally; /* 3 s after the removal */
} RemovalCase;

static const RemovalCase removal_cases[] = {
  { "removed in calm times", 0, false, false, false, false },
  { "expired during an outage, upstream gone", 0, true, false, true, false },
  { "expired during an outage, upstream back", US_PER_S, true, false, true, true },
  { "left during an outage", 0, true, true, false, false },
};

/* Guards against upstreams that vanish with the rows that expired while the store was
 * away, and against upstreams that stay although they are gone. */
static void
rows_that_expired_in_an_outage_are_awaited (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (removal_cases); i++) {
    const RemovalCase *row = &removal_cases[i];
    BurdockUpstreamRegistry *registry = burdock_upstream_registry_new (ignore_log, NULL);
    uint64_t now_us = 10 * US_PER_S;
    bool changed;

    put (registry, "a", 7, row->leaving, 1);
    if (row->outage)
      burdock_upstream_registry_store_regained (registry, now_us - US_PER_S);
    burdock_upstream_registry_remove (registry, "a", now_us);
    CU_ASSERT_EQUAL (has (registry, "a"), row->kept_at_once);
    if (row->rewrite_us > 0)
      put (registry, "a", 7, false, 2);
    burdock_upstream_registry_expire (registry, now_us + 3 * US_PER_S, &changed);
    if (has (registry, "a") != row->kept_finally)
      CU_FAIL (row->name);
    burdock_upstream_registry_free (registry);
  }
}

/* Guards against upstreams that a complete list no longer contains, and against one whose
 * row was overwritten with something unreadable. */
static void
missing_and_invalid_rows_are_dropped (void)
{
  BurdockUpstreamRegistry *registry = burdock_upstream_registry_new (ignore_log, NULL);

  put (registry, "a", 1, false, 1);
  put (registry, "b", 2, false, 2);
  put (registry, "c", 3, false, 3);
  burdock_upstream_registry_begin_listing (registry, 0, US_PER_S);
  put (registry, "b", 2, false, 4);
  put (registry, "c", 3, false, 5);
  burdock_upstream_registry_end_listing (registry, US_PER_S);
  CU_ASSERT_FALSE (has (registry, "a"));
  burdock_upstream_registry_reject (registry, "c", US_PER_S);
  burdock_upstream_registry_reject (registry, "unknown", US_PER_S);
  CU_ASSERT_TRUE (has (registry, "b"));
  CU_ASSERT_EQUAL (burdock_upstream_registry_count (registry), 1);
  burdock_upstream_registry_free (registry);
}

/** enum Step - what happens to the row of upstream "a" */
typedef enum {
  STEP_NONE,
  STEP_WRITE, /* it is written, with the state of the case */
  STEP_LEAVE,
  STEP_REMOVE,
  STEP_REPLACE, /* another upstream, "b", writes a row with its address */
} Step;

typedef struct {
  const char *name;
  Step before;           /* in the first era, after it was written */
  bool in_copy;          /* the listing after the restore has the row */
  uint64_t copy_born_ms; /* start of the upstream according to the copy */
  Step after;            /* 1 s after the restore, as a change */
  bool restored_again;   /* 2 s after the first restore, from the same copy */
  bool used_at_once;     /* after the listing */
  bool used_soon;        /* 3 s after it */
  bool used_late;        /* 13 s after it */
} RestoreCase;

static const RestoreCase restore_cases[] = {
  { "sound, in the copy", STEP_NONE, true, 5, STEP_NONE, false, true, true, true },
  { "started since, writes again", STEP_NONE, false, 5, STEP_WRITE, false, true, true,
    true },
  { "started since, gone", STEP_NONE, false, 5, STEP_NONE, false, true, false, false },
  { "gone since, removed again", STEP_REMOVE, true, 5, STEP_REMOVE, false, false, false,
    false },
  { "expired by mistake, writes again", STEP_REMOVE, true, 5, STEP_WRITE, false, false,
    true, true },
  { "expired by mistake, only renewed", STEP_REMOVE, true, 5, STEP_NONE, false, false,
    false, true },
  { "leaving since, available in the copy", STEP_LEAVE, true, 5, STEP_REMOVE, false,
    false, false, false },
  { "leaving since, unknown to the copy", STEP_LEAVE, false, 5, STEP_NONE, false, false,
    false, false },
  { "replaced at its address since", STEP_REPLACE, true, 5, STEP_REMOVE, false, false,
    false, false },
  { "the copy has its previous start", STEP_NONE, true, 4, STEP_WRITE, false, true, true,
    true },
  { "gone since, started again", STEP_REMOVE, true, 6, STEP_NONE, false, true, true,
    true },
  { "gone since, two restores", STEP_REMOVE, true, 5, STEP_NONE, true, false, false,
    true },
};

static void
put_start (BurdockUpstreamRegistry *registry, const char *id, bool leaving,
           uint64_t born_ms, uint64_t version, uint64_t now_us)
{
  BurdockUpstream item = {
    .address = { 7, 80 }, .leaving = leaving, .slots = 1, .born_ms = born_ms
  };

  snprintf (item.id, sizeof item.id, "%s", id);
  burdock_upstream_registry_put (registry, &item, version, now_us);
}

static void
run_step (BurdockUpstreamRegistry *registry, Step step, uint64_t version, uint64_t now_us)
{
  if (step == STEP_WRITE)
    put_start (registry, "a", false, 5, version, now_us);
  if (step == STEP_LEAVE)
    put_start (registry, "a", true, 5, version, now_us);
  if (step == STEP_REMOVE)
    burdock_upstream_registry_remove (registry, "a", now_us);
  if (step == STEP_REPLACE)
    put_start (registry, "b", false, 6, version, now_us);
}

static void
list_copy (BurdockUpstreamRegistry *registry, const RestoreCase *row, uint64_t era,
           uint64_t now_us)
{
  burdock_upstream_registry_begin_listing (registry, era, now_us);
  if (row->in_copy)
    put_start (registry, "a", false, row->copy_born_ms, 3, now_us);
  burdock_upstream_registry_end_listing (registry, now_us);
}

/* Whether "a" takes new requests. */
static bool
is_used (BurdockUpstreamRegistry *registry, uint64_t now_us)
{
  BurdockUpstream items[8];
  uint32_t count;
  bool changed;

  burdock_upstream_registry_expire (registry, now_us, &changed);
  count = burdock_upstream_registry_count (registry);
  CU_ASSERT_TRUE_FATAL (count <= 8);
  burdock_upstream_registry_copy (registry, items);
  for (uint32_t i = 0; i < count; i++) {
    if (strcmp (items[i].id, "a") == 0)
      return !items[i].leaving;
  }
  return false;
}

static bool
restore_case_holds (const RestoreCase *row)
{
  BurdockUpstreamRegistry *registry = burdock_upstream_registry_new (ignore_log, NULL);
  uint64_t at_us = 100 * US_PER_S;
  bool holds;

  burdock_upstream_registry_begin_listing (registry, 1, US_PER_S);
  put_start (registry, "a", false, 5, 3, US_PER_S);
  burdock_upstream_registry_end_listing (registry, US_PER_S);
  run_step (registry, row->before, 40, 90 * US_PER_S);
  list_copy (registry, row, 2, at_us);
  holds = is_used (registry, at_us) == row->used_at_once;
  run_step (registry, row->after, 4, at_us + US_PER_S);
  if (row->restored_again) {
    list_copy (registry, row, 3, at_us + 2 * US_PER_S);
    holds = holds && is_used (registry, at_us + 11 * US_PER_S) == row->used_soon;
  } else {
    holds = holds && is_used (registry, at_us + 3 * US_PER_S) == row->used_soon;
  }
  holds = holds && is_used (registry, at_us + 13 * US_PER_S) == row->used_late;
  burdock_upstream_registry_free (registry);
  return holds;
}

static void
what_is_known_goes_before_a_copy (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (restore_cases); i++) {
    if (!restore_case_holds (&restore_cases[i]))
      CU_FAIL (restore_cases[i].name);
  }
}

#define ORDER_ROWS 32

/* Guards against a list whose order differs between runs: the balancer then makes other
 * random choices, and a failure cannot be reproduced from its seed. */
static void
equal_rows_give_equal_lists (void)
{
  BurdockUpstream lists[2][ORDER_ROWS];

  for (uint32_t i = 0; i < 2; i++) {
    BurdockUpstreamRegistry *registry = burdock_upstream_registry_new (ignore_log, NULL);

    for (uint32_t r = 0; r < ORDER_ROWS; r++) {
      char id[16];

      snprintf (id, sizeof id, "i-%u", (unsigned)r);
      put (registry, id, r + 1, false, r + 1);
    }
    CU_ASSERT_EQUAL_FATAL (burdock_upstream_registry_count (registry), ORDER_ROWS);
    burdock_upstream_registry_copy (registry, lists[i]);
    burdock_upstream_registry_free (registry);
  }
  for (uint32_t r = 0; r < ORDER_ROWS; r++)
    CU_ASSERT_STRING_EQUAL (lists[0][r].id, lists[1][r].id);
}

static const Test tests[] = {
  { "an upstream that has gone is used again after a restore, or a new one is dropped",
    what_is_known_goes_before_a_copy },
  { "two upstreams are kept at one address", the_latest_upstream_at_an_address_is_kept },
  { "rows that expired in an outage remove their upstreams at once, or never",
    rows_that_expired_in_an_outage_are_awaited },
  { "equal rows give lists in different orders", equal_rows_give_equal_lists },
  { "missing or invalid rows keep their upstreams",
    missing_and_invalid_rows_are_dropped },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("upstream-registry", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
