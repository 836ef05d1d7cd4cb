#include "hash.h"
#include "leaving-upstreams.h"
#include "test.h"

#define US_PER_S UINT64_C (1000000)
#define STEP_US UINT64_C (50000)
#define NOTICES 1024
#define GATEWAYS_MAX 330

typedef struct {
  const char *name;
  uint64_t noted_born_ms;
  uint64_t asked_born_ms;
  uint64_t after_s;
  bool leaving;
} StartCase;

static const StartCase start_cases[] = {
  { "the same start", 100, 100, 0, true },
  { "the same start, minutes later", 100, 100, 590, true },
  { "a start before it", 100, 90, 0, true },
  { "a start that a clock put before it", 100, 90, 61, false },
  { "a row without its start", 100, 0, 0, true },
  { "a later start under its id", 100, 101, 0, false },
  { "the same start, long after it has gone", 100, 100, 601, false },
  { "an upstream that names no start", 0, 0, 50, true },
  { "an upstream that names no start, back", 0, 0, 61, false },
  { "a start that is known after all", 0, 100, 1, false },
};

static void
a_notice_holds_for_one_start (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (start_cases); i++) {
    const StartCase *row = &start_cases[i];
    BurdockLeavingUpstreams *set = burdock_leaving_upstreams_new (1);

    CU_ASSERT_TRUE (burdock_leaving_upstreams_note (set, 7, row->noted_born_ms,
                                                    BURDOCK_NOTICE_ROW, US_PER_S));
    CU_ASSERT_FALSE (burdock_leaving_upstreams_note (set, 7, row->noted_born_ms,
                                                     BURDOCK_NOTICE_ROW, US_PER_S));
    CU_ASSERT_FALSE (burdock_leaving_upstreams_contains (set, 8, 100, US_PER_S));
    if (burdock_leaving_upstreams_contains (set, 7, row->asked_born_ms,
                                            (1 + row->after_s) * US_PER_S) !=
        row->leaving)
      CU_FAIL (row->name);
    burdock_leaving_upstreams_free (set);
  }
}

static void
the_oldest_notice_is_forgotten_first (void)
{
  BurdockLeavingUpstreams *set = burdock_leaving_upstreams_new (1);

  for (uint64_t i = 0; i <= NOTICES; i++)
    burdock_leaving_upstreams_note (set, i + 1, 100, BURDOCK_NOTICE_ROW, US_PER_S + i);
  CU_ASSERT_FALSE (burdock_leaving_upstreams_contains (set, 1, 100, 2 * US_PER_S));
  CU_ASSERT_TRUE (burdock_leaving_upstreams_contains (set, 2, 100, 2 * US_PER_S));
  CU_ASSERT_TRUE (
      burdock_leaving_upstreams_contains (set, NOTICES + 1, 100, 2 * US_PER_S));
  burdock_leaving_upstreams_free (set);
}

typedef struct {
  const char *name;
  uint32_t gateways;
  BurdockNoticeSource source; /* a row: all gateways but the last read it */
  uint32_t upstreams;
  uint32_t first_max; /* messages to a gateway in the first step */
  double lost;        /* share of the messages that are lost */
  double deaf_s;      /* the last gateway receives nothing for this time */
  double told_max_s;  /* until the last gateway knows all, after that */
  double per_s_max;   /* messages to a gateway a second, from 5 s on */
} ShareCase;

static const ShareCase share_cases[] = {
  { "an answer", 9, BURDOCK_NOTICE_ANSWER, 1, 1, 0, 0, 0.2, 4 },
  { "an answer, messages lost", 9, BURDOCK_NOTICE_ANSWER, 1, 1, 0.3, 0, 1, 4 },
  { "an answer, 99 gateways", 99, BURDOCK_NOTICE_ANSWER, 1, 1, 0.3, 0, 1, 4 },
  { "an answer, 330 gateways", 330, BURDOCK_NOTICE_ANSWER, 1, 1, 0.3, 0, 1, 4 },
  { "an answer, a gateway cut off", 9, BURDOCK_NOTICE_ANSWER, 1, 1, 0, 20, 1.5, 4 },
  { "a row", 9, BURDOCK_NOTICE_ROW, 1, 9, 0, 0, 1, 4 },
  { "a row, 99 gateways", 99, BURDOCK_NOTICE_ROW, 1, 12, 0, 0, 1, 4 },
  { "a row, 330 gateways", 330, BURDOCK_NOTICE_ROW, 1, 12, 0, 0, 1, 4 },
  { "twenty rows at once", 99, BURDOCK_NOTICE_ROW, 20, 99, 0, 0, 1.5, 4 },
  { "a hundred answers at once", 9, BURDOCK_NOTICE_ANSWER, 100, 1, 0, 0, 1, 4 },
};

typedef struct {
  BurdockLeavingUpstreams *sets[GATEWAYS_MAX];
  uint32_t known; /* by the last gateway */
  uint64_t told_us;
  uint32_t first_messages;
  uint32_t late_messages;
} Fleet;

static void
receive (Fleet *fleet, const ShareCase *row, const BurdockLeavingItem *items,
         uint32_t count, uint64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    fleet->known +=
        burdock_leaving_upstreams_note (fleet->sets[row->gateways - 1],
                                        items[i].upstream_id, items[i].born_ms,
                                        BURDOCK_NOTICE_GATEWAY, now_us);
  if (fleet->known == row->upstreams && fleet->told_us == 0)
    fleet->told_us = now_us;
}

static void
share_all (Fleet *fleet, const ShareCase *row, uint64_t now_us)
{
  BurdockLeavingItem items[BURDOCK_LEAVING_ITEMS_MAX];

  for (uint32_t i = 0; i + 1 < row->gateways; i++) {
    double draw = burdock_hash_unit (burdock_hash_pair (now_us, i));
    uint32_t count =
        burdock_leaving_upstreams_share (fleet->sets[i], row->gateways, now_us, items,
                                         BURDOCK_LEAVING_ITEMS_MAX);

    if (count == 0)
      continue;
    fleet->first_messages += now_us == STEP_US;
    fleet->late_messages += now_us > 5 * US_PER_S;
    if (draw >= row->lost && (double)now_us > row->deaf_s * (double)US_PER_S)
      receive (fleet, row, items, count, now_us);
  }
}

static void
note_all (Fleet *fleet, const ShareCase *row)
{
  uint32_t readers = row->source == BURDOCK_NOTICE_ANSWER ? 1 : row->gateways - 1;

  for (uint32_t i = 0; i < row->gateways; i++)
    fleet->sets[i] = burdock_leaving_upstreams_new (burdock_hash_mix (i + 1));
  for (uint32_t i = 0; i + 1 < row->gateways; i++) {
    for (uint64_t k = 1; k <= row->upstreams; k++)
      burdock_leaving_upstreams_note (fleet->sets[i], burdock_hash_mix (k), 100,
                                      i < readers ? row->source : BURDOCK_NOTICE_GATEWAY,
                                      STEP_US);
  }
}

/* The targets: a notice is known well within the 2 s in which its upstream may get
 * requests, and a gateway receives at most four messages a second. */
static void
the_last_gateway_is_told (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (share_cases); i++) {
    const ShareCase *row = &share_cases[i];
    uint64_t deaf_us = (uint64_t)(row->deaf_s * (double)US_PER_S);
    uint64_t end_us = deaf_us + 20 * US_PER_S;
    Fleet fleet = { .known = 0 };

    note_all (&fleet, row);
    for (uint64_t now_us = STEP_US; now_us < end_us; now_us += STEP_US)
      share_all (&fleet, row, now_us);
    if (fleet.told_us == 0 ||
        (double)(fleet.told_us - deaf_us) > row->told_max_s * (double)US_PER_S ||
        fleet.first_messages > row->first_max ||
        fleet.late_messages / (row->deaf_s + 15) > row->per_s_max)
      CU_FAIL (row->name);
    for (uint32_t k = 0; k < row->gateways; k++)
      burdock_leaving_upstreams_free (fleet.sets[k]);
  }
}

static void
old_notices_are_not_repeated (void)
{
  BurdockLeavingUpstreams *set = burdock_leaving_upstreams_new (1);
  BurdockLeavingItem item;

  burdock_leaving_upstreams_note (set, 7, 100, BURDOCK_NOTICE_ANSWER, US_PER_S);
  CU_ASSERT_EQUAL (burdock_leaving_upstreams_list (set, 2 * US_PER_S, &item, 1), 1);
  CU_ASSERT_EQUAL (item.upstream_id, 7);
  CU_ASSERT_EQUAL (item.born_ms, 100);
  for (uint64_t now_us = US_PER_S; now_us < 61 * US_PER_S; now_us += STEP_US)
    burdock_leaving_upstreams_share (set, 3, now_us, &item, 1);
  CU_ASSERT_EQUAL (burdock_leaving_upstreams_list (set, 62 * US_PER_S, &item, 1), 0);
  for (uint64_t now_us = 62 * US_PER_S; now_us < 70 * US_PER_S; now_us += STEP_US)
    CU_ASSERT_EQUAL (burdock_leaving_upstreams_share (set, 3, now_us, &item, 1), 0);
  burdock_leaving_upstreams_free (set);
}

static const Test tests[] = {
  { "an upstream that leaves is used again in the same start, or not in the next one",
    a_notice_holds_for_one_start },
  { "notices fill the memory, or new ones are lost",
    the_oldest_notice_is_forgotten_first },
  { "a gateway does not hear that an upstream leaves, or hears it all the time",
    the_last_gateway_is_told },
  { "gateways repeat notices of upstreams that have gone", old_notices_are_not_repeated },
};

int
main (void)
{
  return test_main ("leaving-upstreams", tests, TEST_COUNT (tests));
}
