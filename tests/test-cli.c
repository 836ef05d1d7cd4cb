/* Tests how burdockctl submits and settles configurations, with scripted HTTP servers in
 * place of the entries. */
#include "cli.h"
#include "script-server.h"
#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCEPTED "200 {\"outcome\":\"accepted\",\"generation\":4}"
#define RACE "409 {\"outcome\":\"refused-race\",\"generation\":4,\"error\":\"x\"}"
#define INVALID "422 {\"outcome\":\"refused-invalid\",\"error\":\"line 1\"}"
#define DOWN "503 {\"outcome\":\"refused-unavailable\",\"error\":\"store\"}"
#define UNKNOWN "504 {\"outcome\":\"unknown\",\"error\":\"store\"}"
#define BAD_KEY "401 {\"error\":\"Burdock-Auth: missing or wrong\"}"

/* Port 1 is reserved and has no listener on the loopback of a test machine. */
#define UNREACHABLE_ADDRESS "127.0.0.1:1"

/**
 * struct ApplyCase - answers of two entries to a submission and to its settlement
 * @first: answers of the first entry, one for each request
 * @second: answers of the second entry
 * @requests: requests that each entry must have received
 * @status: exit status of the command
 * @skip_first: whether an address without a listener precedes the two entries
 */
typedef struct {
  const char *name;
  const char *first[3];
  const char *second[3];
  uint32_t requests[2];
  int status;
  bool skip_first;
} ApplyCase;

static const ApplyCase cases[] = {
  { "accepted", { ACCEPTED }, { NULL }, { 1, 0 }, CLI_OK, false },
  { "lost a race", { RACE }, { NULL }, { 1, 0 }, CLI_REFUSED, false },
  { "invalid for the entry", { INVALID }, { NULL }, { 1, 0 }, CLI_USAGE, false },
  { "store down", { DOWN }, { NULL }, { 1, 0 }, CLI_REFUSED, false },
  { "outcome unknown", { UNKNOWN }, { NULL }, { 1, 0 }, CLI_UNKNOWN, false },
  { "wrong key", { BAD_KEY }, { NULL }, { 1, 0 }, CLI_REFUSED, false },
  { "no entry at the first address", { ACCEPTED }, { NULL }, { 1, 0 }, CLI_OK, true },
  { "answer lost, settled by the same entry",
    { SCRIPT_CUT, ACCEPTED },
    { NULL },
    { 2, 0 },
    CLI_OK,
    false },
  { "answer lost, entry gone, settled by another",
    { SCRIPT_CUT, SCRIPT_CUT },
    { RACE },
    { 2, 1 },
    CLI_REFUSED,
    false },
  { "answer cut in the middle",
    { "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"outcome\":\"accepted\"}",
      UNKNOWN },
    { NULL },
    { 2, 0 },
    CLI_UNKNOWN,
    false },
  { "answer with a malformed length",
    { "HTTP/1.1 200 OK\r\nContent-Length: 22x\r\n\r\n{\"outcome\":\"accepted\"}",
      UNKNOWN },
    { NULL },
    { 2, 0 },
    CLI_UNKNOWN,
    false },
  { "answer with a blank in the name of a field",
    { "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 22\r\n\r\n"
      "{\"outcome\":\"accepted\"}",
      UNKNOWN },
    { NULL },
    { 2, 0 },
    CLI_UNKNOWN,
    false },
  { "answer with a malformed size of a chunk",
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "16 1\r\n{\"outcome\":\"accepted\"}\r\n0\r\n\r\n",
      UNKNOWN },
    { NULL },
    { 2, 0 },
    CLI_UNKNOWN,
    false },
  { "server error without an outcome",
    { "500 {}", ACCEPTED },
    { NULL },
    { 2, 0 },
    CLI_OK,
    false },
};

static uint32_t
count_answers (const char *const *answers)
{
  uint32_t count = 0;

  while (count < 3 && answers[count] != NULL)
    count++;
  return count;
}

static Cli
new_cli (char addresses[2][32], bool skip_first)
{
  Cli cli = { .timeout_ms = 5000, .has_key = true };

  if (skip_first)
    cli.entries[cli.entry_count++] = UNREACHABLE_ADDRESS;
  cli.entries[cli.entry_count++] = addresses[0];
  cli.entries[cli.entry_count++] = addresses[1];
  return cli;
}

/* The answer to a submission may be lost or cut off, or lack an outcome, after the entry
 * has received the file. Fails if burdockctl then submits the file again instead of
 * settling the attempt, or exits with a status that does not match the outcome. */
static void
submission_is_sent_once (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    const ApplyCase *c = &cases[i];
    const char *const *answers[2] = { c->first, c->second };
    ScriptServer *servers[2];
    char addresses[2][32];
    char name[] = "apply";
    char file[] = EXAMPLES "/kaitiaki.yaml";
    char *argv[] = { name, file, NULL };
    Cli cli;

    for (uint32_t j = 0; j < 2; j++) {
      servers[j] = script_server_start (answers[j], count_answers (answers[j]));
      snprintf (addresses[j], sizeof addresses[j], "127.0.0.1:%u",
                script_server_port (servers[j]));
    }
    cli = new_cli (addresses, c->skip_first);
    CU_ASSERT_EQUAL (cli_apply (&cli, 2, argv), c->status);
    for (uint32_t j = 0; j < 2; j++) {
      uint32_t requests = script_server_stop (servers[j]);

      CU_ASSERT_EQUAL (requests, c->requests[j]);
      if (requests != c->requests[j])
        printf ("%s: entry %u saw %u requests\n", c->name, j, requests);
    }
  }
}

/* Fails if a missing file, a malformed attempt id or a missing operator key is not
 * reported as wrong usage before an entry is called. A well-formed attempt id shows that
 * the same command does call the entry otherwise. */
static void
local_checks_come_first (void)
{
  char name[] = "apply";
  char file[] = EXAMPLES "/missing.yaml";
  char *argv[] = { name, file, NULL };
  Cli cli = { .timeout_ms = 100,
              .has_key = true,
              .entry_count = 1,
              .entries = { UNREACHABLE_ADDRESS } };

  CU_ASSERT_EQUAL (cli_apply (&cli, 2, argv), CLI_USAGE);
  CU_ASSERT_EQUAL (cli_check (&cli, 2, argv), CLI_USAGE);
  CU_ASSERT_EQUAL (cli_settle (&cli, 2, argv), CLI_USAGE);
  argv[1] = name;
  CU_ASSERT_EQUAL (cli_settle (&cli, 2, argv), CLI_UNREACHABLE);
  cli.has_key = false;
  CU_ASSERT_EQUAL (cli_settle (&cli, 2, argv), CLI_USAGE);
}

static const Test tests[] = {
  { "a file is submitted twice, or its outcome is reported wrongly",
    submission_is_sent_once },
  { "an entry is called although the command is wrong", local_checks_come_first },
};

int
main (void)
{
  return test_main ("cli", tests, TEST_COUNT (tests));
}
