#include "table-cursor.h"

static bool
has_position (const BurdockTableCursor *cursor)
{
  return cursor->listed || cursor->paging;
}

BurdockCursorVerdict
burdock_table_cursor_check (const BurdockTableCursor *cursor, uint64_t store_era,
                            uint64_t answer_era, uint64_t version)
{
  if (answer_era != 0 && answer_era < store_era)
    return BURDOCK_CURSOR_STALE;
  if (answer_era != 0 && answer_era != cursor->era)
    return has_position (cursor) ? BURDOCK_CURSOR_RESTART : BURDOCK_CURSOR_USE;
  if (!cursor->listed && version < cursor->version)
    return BURDOCK_CURSOR_STALE;
  return BURDOCK_CURSOR_USE;
}

bool
burdock_table_cursor_is_outdated (const BurdockTableCursor *cursor, uint64_t store_era)
{
  return has_position (cursor) && cursor->era < store_era;
}

void
burdock_table_cursor_restart (BurdockTableCursor *cursor)
{
  cursor->listed = false;
  cursor->paging = false;
}

void
burdock_table_cursor_page (BurdockTableCursor *cursor, uint64_t answer_era,
                           uint64_t version, bool last)
{
  if (!cursor->paging) {
    if (answer_era != 0)
      cursor->era = answer_era;
    cursor->snapshot_version = version;
  }
  cursor->paging = !last;
  cursor->listed = last;
  if (last)
    cursor->version = cursor->snapshot_version;
}

void
burdock_table_cursor_changes (BurdockTableCursor *cursor, uint64_t version)
{
  if (version > cursor->version)
    cursor->version = version;
}
