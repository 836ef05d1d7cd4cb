#include "table-cursor.h"
#include "test.h"

typedef struct {
  const char *name;
  BurdockTableCursor cursor;
  uint64_t store_era;
  uint64_t answer_era;
  uint64_t version;
  BurdockCursorVerdict verdict;
} CheckCase;

#define LISTED(reached_era, reached)                                                     \
  {                                                                                      \
    .era = (reached_era), .version = (reached), .listed = true                           \
  }
#define PAGING(reached_era, first)                                                       \
  {                                                                                      \
    .era = (reached_era), .snapshot_version = (first), .paging = true                    \
  }
#define RELISTING(reached_era, reached)                                                  \
  {                                                                                      \
    .era = (reached_era), .version = (reached)                                           \
  }

static const CheckCase check_cases[] = {
  { "first answer", { 0 }, 1, 1, 9, BURDOCK_CURSOR_USE },
  { "changes of the same era", LISTED (1, 9), 1, 1, 12, BURDOCK_CURSOR_USE },
  { "changes after a version given out again", LISTED (1, 9), 2, 2, 12,
    BURDOCK_CURSOR_RESTART },
  { "changes of an era that no call has met yet", LISTED (1, 9), 1, 2, 12,
    BURDOCK_CURSOR_RESTART },
  { "late changes of the era before", LISTED (2, 5), 2, 1, 9, BURDOCK_CURSOR_STALE },
  { "late changes of the era before, position not yet renewed", LISTED (1, 9), 2, 1, 10,
    BURDOCK_CURSOR_STALE },
  { "second page of another era than the first", PAGING (1, 9), 2, 2, 6,
    BURDOCK_CURSOR_RESTART },
  { "late page of the era before", PAGING (2, 6), 2, 1, 9, BURDOCK_CURSOR_STALE },
  { "listing of the next era, with a lower version", RELISTING (1, 9), 2, 2, 4,
    BURDOCK_CURSOR_USE },
  { "listing of the same era, with a lower version", RELISTING (1, 9), 1, 1, 4,
    BURDOCK_CURSOR_STALE },
  { "listing two eras later", RELISTING (1, 9), 3, 3, 2, BURDOCK_CURSOR_USE },
  { "listing of an era that has ended since", RELISTING (1, 9), 3, 2, 20,
    BURDOCK_CURSOR_STALE },
  { "store without eras, changes", LISTED (0, 9), 0, 0, 12, BURDOCK_CURSOR_USE },
  { "store without eras, older listing", RELISTING (0, 9), 0, 0, 4,
    BURDOCK_CURSOR_STALE },
  { "answer without an era", LISTED (2, 9), 2, 0, 12, BURDOCK_CURSOR_USE },
};

static void
versions_of_two_eras_are_not_compared (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (check_cases); i++) {
    const CheckCase *row = &check_cases[i];

    if (burdock_table_cursor_check (&row->cursor, row->store_era, row->answer_era,
                                    row->version) != row->verdict)
      CU_FAIL (row->name);
  }
}

static void
a_position_moves_with_pages_and_changes (void)
{
  BurdockTableCursor cursor = { 0 };

  burdock_table_cursor_page (&cursor, 1, 9, false);
  CU_ASSERT_FALSE (burdock_table_cursor_is_outdated (&cursor, 1));
  burdock_table_cursor_page (&cursor, 1, 11, true);
  CU_ASSERT_TRUE (cursor.listed);
  CU_ASSERT_EQUAL (cursor.version, 9);
  burdock_table_cursor_changes (&cursor, 14);
  burdock_table_cursor_changes (&cursor, 13);
  CU_ASSERT_EQUAL (cursor.version, 14);
  CU_ASSERT_TRUE (burdock_table_cursor_is_outdated (&cursor, 2));
  burdock_table_cursor_restart (&cursor);
  CU_ASSERT_FALSE (burdock_table_cursor_is_outdated (&cursor, 2));
  burdock_table_cursor_page (&cursor, 2, 5, true);
  CU_ASSERT_EQUAL (cursor.era, 2);
  CU_ASSERT_EQUAL (cursor.version, 5);
}

static const Test tests[] = {
  { "changes are missed after the store was restored",
    versions_of_two_eras_are_not_compared },
  { "a listing is continued at a wrong version",
    a_position_moves_with_pages_and_changes },
};

int
main (void)
{
  return test_main ("table-cursor", tests, TEST_COUNT (tests));
}
