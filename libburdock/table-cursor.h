/**
 * DOC: table-cursor.h - position of a reader in a table of a store that may be restored
 *
 * A reader lists a table page by page and then follows its changes. The store numbers its
 * changes with versions. When it returns from a copy, it gives the versions since the
 * copy out again for other changes, and its era rises. A version of one era therefore
 * says nothing about another: a reader that went on at its version would miss the changes
 * between the copy and that version without an error. Performs no I/O.
 */
#ifndef BURDOCK_TABLE_CURSOR_H
#define BURDOCK_TABLE_CURSOR_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockTableCursor - position of a reader; zero before the first answer
 * @era: era of what has been read, 0 if the store names none
 * @version: changes up to this version have been read
 * @snapshot_version: version of the first page of the listing in progress
 * @paging: a listing is in progress, and its first page has been read
 * @listed: the whole table was read; its changes follow
 */
typedef struct {
  uint64_t era;
  uint64_t version;
  uint64_t snapshot_version;
  bool paging;
  bool listed;
} BurdockTableCursor;

/** enum BurdockCursorVerdict - what to do with an answer of the store */
typedef enum {
  BURDOCK_CURSOR_USE = 1, /* it continues what has been read */
  BURDOCK_CURSOR_RESTART, /* drop it and list the table from its first page */
  BURDOCK_CURSOR_STALE, /* drop it and repeat the call: it is older than what was read */
} BurdockCursorVerdict;

/**
 * burdock_table_cursor_check() - compares an answer with what has been read
 * @store_era: highest era of the store that is known
 * @answer_era: era in which the answer was given, 0 if it names none
 * @version: version of the table in the answer
 */
BurdockCursorVerdict burdock_table_cursor_check (const BurdockTableCursor *cursor,
                                                 uint64_t store_era, uint64_t answer_era,
                                                 uint64_t version);

/** burdock_table_cursor_is_outdated() - whether the store has been restored since the
 * position was reached, so that the table has to be listed again */
bool burdock_table_cursor_is_outdated (const BurdockTableCursor *cursor,
                                       uint64_t store_era);

/** burdock_table_cursor_restart() - the next answer is the first page of a listing */
void burdock_table_cursor_restart (BurdockTableCursor *cursor);

/**
 * burdock_table_cursor_page() - takes over a page of a listing
 * @last: no page follows
 *
 * Changes made while the pages were read are delivered again by the polls that follow.
 */
void burdock_table_cursor_page (BurdockTableCursor *cursor, uint64_t answer_era,
                                uint64_t version, bool last);

/** burdock_table_cursor_changes() - takes over changes up to @version */
void burdock_table_cursor_changes (BurdockTableCursor *cursor, uint64_t version);

#endif
