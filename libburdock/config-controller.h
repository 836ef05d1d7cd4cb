/**
 * DOC: config-controller.h - state and functions shared by the config controller's files
 */
#ifndef BURDOCK_CONFIG_CONTROLLER_H
#define BURDOCK_CONFIG_CONTROLLER_H

#include "controller.h"

/* A hash in hexadecimal, with the terminating zero. */
#define BURDOCK_HASH_TEXT_BYTES (2 * BURDOCK_HASH_BYTES + 1)

/* Members remembered as sources of a generation. */
#define BURDOCK_CONFIG_MAX_SOURCES 8

/**
 * struct BurdockConfigRow - value of row config/current or config/attempt/ID
 * @generation: generation that the attempt created, 0 for a settled attempt that has no
 *   effect
 * @hash: hash of the body, whose hexadecimal form is its key in the object store; zero
 * for generation 0
 */
typedef struct {
  uint64_t generation;
  uint8_t hash[BURDOCK_HASH_BYTES];
  char attempt_id[BURDOCK_NAME_BYTES];
  char operator_name[BURDOCK_NAME_BYTES];
} BurdockConfigRow;

typedef struct BurdockSubmission BurdockSubmission;

/**
 * struct BurdockConfigController - state of the config controller, one per process
 * @is_entry: whether this process is an entry; others do not read from the store here
 * @polling: whether a read of row config/current is in progress
 * @fetching_object: whether a read from the object store is in progress
 * @pending_generation: newest generation that the store or a member has named; it is to
 *   be fetched while it is newer than the active one
 * @behind_since_us: time since which a generation newer than the active one is pending
 * @unreadable_generation: last generation whose file this process could not parse
 * @pending_hash: hash of the body of @pending_generation
 * @sources: control addresses of members that have @pending_generation
 * @next_source: index of the source to fetch from next, modulo @source_count
 * @next_query: index of the member to query next, modulo the number of members
 * @query_rounds: rounds of queries since a generation was last adopted
 * @confirmed_by: ids of the entries that have confirmed a generation since this process
 *   started; freed once the generation is confirmed here
 * @announce_round: rounds of announcements already sent, 0 if none are due
 * @last_contact_us: time of the last message or store result that counts as contact
 * @contact_valid_from_us: messages and results before this time do not count as contact
 * @attempt_count: makes generated attempt ids and names of settlements unique
 * @submissions: submissions and settlements in progress
 */
typedef struct {
  BurdockCore *core;
  bool is_entry;
  uint64_t poll_due_us;
  bool polling;
  bool fetching_object;
  uint64_t fetch_due_us;
  uint64_t pending_generation;
  uint64_t behind_since_us;
  uint64_t unreadable_generation;
  uint8_t pending_hash[BURDOCK_HASH_BYTES];
  uint32_t source_count;
  uint32_t next_source;
  BurdockAddress sources[BURDOCK_CONFIG_MAX_SOURCES];
  uint64_t query_due_us;
  uint32_t next_query;
  uint32_t query_rounds;
  uint32_t confirmed_by_count;
  uint32_t confirmed_by_allocated;
  uint64_t *confirmed_by;
  uint32_t announce_round;
  uint64_t announce_due_us;
  uint64_t last_contact_us;
  uint64_t contact_valid_from_us;
  uint64_t last_tick_us;
  uint64_t limits_due_us;
  uint64_t attempt_count;
  BurdockSubmission *submissions;
} BurdockConfigController;

/** burdock_config_hash() - BLAKE2b-256 of a body */
void burdock_config_hash (BurdockBytes body, uint8_t hash[BURDOCK_HASH_BYTES]);

/** burdock_config_hash_text() - writes a hash as hexadecimal digits */
void burdock_config_hash_text (const uint8_t hash[BURDOCK_HASH_BYTES],
                               char text[BURDOCK_HASH_TEXT_BYTES]);

/**
 * burdock_config_row_parse() - parses the value of a row
 * Returns 0, or -EPROTO if @value is malformed.
 */
int burdock_config_row_parse (BurdockBytes value, BurdockConfigRow *row);

/** burdock_config_row_text() - value of a row as JSON text, to be released with free() */
char *burdock_config_row_text (const BurdockConfigRow *row);

/**
 * burdock_config_adopt() - makes a generation the active one if it is newer and valid
 * @body: text of the configuration file, copied
 * Returns 0, -ESTALE if @generation is not newer than the active one, -EBADMSG if @body
 * does not match @hash, or -EINVAL if this version of the software cannot parse @body.
 */
int burdock_config_adopt (BurdockConfigController *controller, uint64_t generation,
                          const uint8_t hash[BURDOCK_HASH_BYTES], BurdockBytes body);

/** burdock_config_record_contact() - records a message or store result as contact */
void burdock_config_record_contact (BurdockConfigController *controller);

/**
 * burdock_config_confirm() - confirms the active generation by the row of the store
 * @generation: generation in row config/current, 0 if there is no such row
 * Has no effect if @generation or the pending one is newer than the active one.
 */
void burdock_config_confirm (BurdockConfigController *controller, uint64_t generation);

/** burdock_config_submissions_free() - frees submissions in progress without an outcome
 */
void burdock_config_submissions_free (BurdockConfigController *controller);

#endif
