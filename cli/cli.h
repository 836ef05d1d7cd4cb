/**
 * DOC: cli.h - functions shared by the commands of burdockctl
 */
#ifndef BURDOCK_CLI_H
#define BURDOCK_CLI_H

#include "burdock.h"

#include <argp.h>
#include <jansson.h>

#define CLI_ENTRIES_MAX 32

/**
 * enum CliExit - exit statuses, documented in burdockctl(1)
 * @CLI_OK: done
 * @CLI_REFUSED: an entry refused the call, or the requested item does not exist
 * @CLI_USAGE: wrong usage or invalid file
 * @CLI_UNKNOWN: the outcome of a submission is unknown, or --wait timed out
 * @CLI_UNREACHABLE: no entry answered
 */
typedef enum {
  CLI_OK = 0,
  CLI_REFUSED = 1,
  CLI_USAGE = 2,
  CLI_UNKNOWN = 3,
  CLI_UNREACHABLE = 4,
} CliExit;

/**
 * struct Cli - options common to all commands
 * @entries: "HOST:PORT" of the entries to try, in this order
 * @entry_list: storage of the entries that come from BURDOCK_ENTRIES, or NULL
 * @json: whether to print JSON
 * @colour: whether to colour the output
 * @timeout_ms: timeout of one call to an entry
 * @key: operator key that signs calls, if @has_key
 */
typedef struct {
  uint32_t entry_count;
  const char *entries[CLI_ENTRIES_MAX];
  char *entry_list;
  bool json;
  bool colour;
  uint32_t timeout_ms;
  bool has_key;
  uint8_t key[BURDOCK_KEY_BYTES];
} Cli;

/**
 * struct CliCommand - sub-command
 * @arguments: synopsis of its arguments
 * @help: one-line description
 * @run: gets the arguments of the sub-command, with "burdockctl NAME" in argv[0]; returns
 *   an exit status
 */
typedef struct {
  const char *name;
  const char *arguments;
  const char *help;
  int (*run) (Cli *cli, int argc, char **argv);
} CliCommand;

int cli_apply (Cli *cli, int argc, char **argv);
int cli_check (Cli *cli, int argc, char **argv);
int cli_diff (Cli *cli, int argc, char **argv);
int cli_entries (Cli *cli, int argc, char **argv);
int cli_plan (Cli *cli, int argc, char **argv);
int cli_replay (Cli *cli, int argc, char **argv);
int cli_settle (Cli *cli, int argc, char **argv);
int cli_show (Cli *cli, int argc, char **argv);
int cli_status (Cli *cli, int argc, char **argv);
int cli_timeline (Cli *cli, int argc, char **argv);
int cli_story (Cli *cli, int argc, char **argv);

/**
 * cli_check_arguments() - checks the number of positional arguments
 * Returns 0, or -EINVAL with the usage printed.
 */
int cli_check_arguments (const char *command, int argc, int minimum, int maximum,
                         const char *usage);

/** cli_parse_options() - runs argp for one command; exits with CLI_USAGE on an error */
void cli_parse_options (const struct argp *argp, int argc, char **argv, void *input);

/* Output (output.c). */

typedef enum {
  CLI_PLAIN = 0,
  CLI_GOOD,
  CLI_WARN,
  CLI_BAD,
  CLI_DIM,
} CliColour;

/** cli_print() - prints to stdout, in @colour if cli->colour is set */
void cli_print (const Cli *cli, CliColour colour, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** cli_error() - prints a line to stderr, prefixed with the name of the program */
void cli_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** cli_print_json() - prints @root to stdout as indented JSON */
void cli_print_json (const json_t *root);

/** cli_json_string() - string member of an object, "-" if absent or empty; borrowed */
const char *cli_json_string (const json_t *object, const char *key);

/** cli_json_integer() - integer member of an object, 0 if absent */
json_int_t cli_json_integer (const json_t *object, const char *key);

/* Files and entries (client.c). */

/**
 * cli_read_file() - reads a file, up to BURDOCK_FRAME_MAX_BYTES + 1 bytes
 * Returns its text with a zero byte appended, to be released with free(), or NULL with a
 * message printed.
 */
char *cli_read_file (const char *path, uint32_t *length_bytes);

/**
 * cli_read_config() - reads and validates a franchise file
 * @text: receives the text of the file, to be released with free()
 * @config: receives the configuration, to be released with burdock_config_unref()
 * Returns CLI_OK; or CLI_USAGE with a message printed and both NULL.
 */
int cli_read_config (const char *path, char **text, BurdockConfig **config);

typedef enum {
  CLI_CALL_OK = 0,   /* answered, with any status */
  CLI_CALL_NOT_SENT, /* not connected: the call has not reached the entry */
  CLI_CALL_LOST,     /* the call may have reached the entry, no complete answer arrived */
} CliCallOutcome;

/**
 * struct CliResponse - answer of an entry
 * @status: HTTP status, 0 if none was received
 * @body: ends with a zero byte that @body_bytes does not count; NULL if empty
 */
typedef struct {
  long status;
  char *body;
  size_t body_bytes;
} CliResponse;

/**
 * cli_call() - makes one HTTP call to one address, signed if there is a key
 * @address: "HOST:PORT"
 * @target: path and query
 * @response: receives the answer; its body is to be released with free() for any outcome
 */
CliCallOutcome cli_call (const Cli *cli, const char *address, const char *method,
                         const char *target, BurdockBytes body, CliResponse *response);

/**
 * cli_get_report() - reads a report from the first entry that answers
 * @out: receives the report, to be released with json_decref(); NULL on failure
 * Returns CLI_OK, or another exit status with a message printed.
 */
int cli_get_report (const Cli *cli, const char *target, json_t **out);

/**
 * cli_require_entry_and_key() - checks that an entry and the operator key are given
 * Returns CLI_OK, or CLI_USAGE with a message printed.
 */
int cli_require_entry_and_key (const Cli *cli);

/** cli_url_escape() - URL-escaped copy of @text, to be released with free() */
char *cli_url_escape (const char *text);

/**
 * cli_settle_attempt() - settles an attempt at the first entry that reports its outcome
 * Prints the outcome; returns an exit status.
 */
int cli_settle_attempt (const Cli *cli, const char *attempt_id);

/** cli_print_outcome() - prints the answer to apply or settle; returns an exit status */
int cli_print_outcome (const Cli *cli, const json_t *answer, const char *attempt_id);

#endif
