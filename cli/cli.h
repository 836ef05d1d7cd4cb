/**
 * DOC: cli.h - what the commands of burdockctl share
 */
#ifndef BURDOCK_CLI_H
#define BURDOCK_CLI_H

#include "burdock.h"

#include <argp.h>
#include <jansson.h>

#define CLI_ENTRIES_MAX 32

/** enum CliExit - exit statuses, documented in burdockctl(1) */
typedef enum {
  CLI_OK = 0,
  CLI_REFUSED = 1,
  CLI_USAGE = 2,
  CLI_UNKNOWN = 3,
  CLI_UNREACHABLE = 4,
} CliExit;

/**
 * struct Cli - options that every command has
 * @entries: "HOST:PORT" of the entries to try, in this order
 * @colour: whether to colour the output
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
 * @arguments: for the help
 * @run: gets its own arguments, argv[0] being the full name of the command
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

/** cli_arguments() - checks the number of positional arguments; -EINVAL with a message */
int cli_arguments (const char *command, int argc, int minimum, int maximum,
                   const char *usage);

/** cli_parse() - runs argp for the options of one command; exits with CLI_USAGE */
void cli_parse (const struct argp *argp, int argc, char **argv, void *input);

/* Output (output.c). */

typedef enum {
  CLI_PLAIN = 0,
  CLI_GOOD,
  CLI_WARN,
  CLI_BAD,
  CLI_DIM,
} CliColour;

/** cli_print() - prints text in a colour if the output is a terminal */
void cli_print (const Cli *cli, CliColour colour, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void cli_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** cli_print_json() - prints @root as indented JSON */
void cli_print_json (const json_t *root);

/** cli_text() - string member of an object, "-" where absent or empty */
const char *cli_text (const json_t *object, const char *key);
json_int_t cli_number (const json_t *object, const char *key);

/* Files and entries (client.c). */

/** cli_read_file() - reads a whole file; NULL with a message printed */
char *cli_read_file (const char *path, uint32_t *length_bytes);

/** cli_read_config() - reads and checks a franchise file; returns an exit status */
int cli_read_config (const char *path, char **text, BurdockConfig **config);

typedef enum {
  CLI_CALL_OK = 0,
  CLI_CALL_NOT_SENT, /* no connection: the entry has not seen the call */
  CLI_CALL_LOST,     /* the call may have reached the entry */
} CliCallOutcome;

/** struct CliResponse - answer of an entry; @body ends with a zero byte */
typedef struct {
  long status;
  char *body;
  size_t body_bytes;
} CliResponse;

/** cli_call() - one call to one address; the answer is to be released with free() */
CliCallOutcome cli_call (const Cli *cli, const char *address, const char *method,
                         const char *target, BurdockBytes body, CliResponse *response);

/**
 * cli_get() - reads a report from the first entry that answers
 * Returns CLI_OK with @out, or an exit status with a message printed.
 */
int cli_get (const Cli *cli, const char *target, json_t **out);

/** cli_operators_key() - refuses commands that need the key of operators without it */
int cli_operators_key (const Cli *cli);

/** cli_escape() - URL-escaped copy, to be released with free() */
char *cli_escape (const char *text);

/** cli_settle_attempt() - asks entries for the outcome of an attempt, prints it */
int cli_settle_attempt (const Cli *cli, const char *attempt_id);

/** cli_print_outcome() - prints the answer to apply or settle; returns an exit status */
int cli_print_outcome (const Cli *cli, const json_t *answer, const char *attempt_id);

#endif
