#include "log.h"
#include "test.h"

#include <apr_time.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* More than a pipe holds: 64 KiB at about 120 bytes a line. */
#define LINES 5000

/* Writing to a full pipe must not wait; formatting takes some microseconds a line. */
#define LIMIT_US (2 * APR_USEC_PER_SEC)

/* Writes LINES lines to a pipe that nobody reads, tells so through @done, waits for @go
 * and writes one more. */
static void
write_lines (int out, int done, int go)
{
  apr_time_t start = apr_time_now ();
  char byte = 0;

  dup2 (out, STDOUT_FILENO);
  burdock_log_init ("writer", BURDOCK_LOG_INFO);
  burdock_log_to_stdout ();
  for (uint32_t i = 0; i < LINES; i++)
    burdock_log (BURDOCK_LOG_INFO, "line", "-", "number %u", i);
  byte = apr_time_now () - start < LIMIT_US ? 'f' : 's';
  if (write (done, &byte, 1) != 1 || read (go, &byte, 1) != 1)
    _exit (1);
  burdock_log (BURDOCK_LOG_INFO, "line", "-", "last");
  _exit (0);
}

static void
count_line (const char *line, uint32_t *seen, uint32_t *dropped)
{
  const char *at = strstr (line, "detail=\"lines ");

  if (strstr (line, "step=\"log lines dropped\"") != NULL && at != NULL)
    *dropped += (uint32_t)strtoul (at + strlen ("detail=\"lines "), NULL, 10);
  else if (strstr (line, "step=line") != NULL)
    (*seen)++;
}

/* Reads until @seen has the last line, or the pipe ends. */
static void
read_lines (FILE *in, uint32_t *seen, uint32_t *dropped)
{
  char *line = NULL;
  size_t size_bytes = 0;

  while (getline (&line, &size_bytes, in) >= 0)
    count_line (line, seen, dropped);
  free (line);
}

/* Empties the pipe as far as it is filled now; the end of the writer is not awaited. */
static void
drain (int in, uint32_t *seen)
{
  char buffer[1 << 16];
  ssize_t got = read (in, buffer, sizeof buffer);

  for (ssize_t i = 0; i < got; i++)
    *seen += buffer[i] == '\n';
}

/* Guards against a process that waits for the reader of its log, and against lines that
 * are lost without a trace. */
static void
unread_logs_cost_lines_and_no_time (void)
{
  int out[2];
  int done[2];
  int go[2];
  uint32_t seen = 0;
  uint32_t dropped = 0;
  char byte = 0;
  int status = -1;
  FILE *in;
  pid_t child;

  CU_ASSERT_EQUAL_FATAL (pipe (out) | pipe (done) | pipe (go), 0);
  child = fork ();
  if (child == 0)
    write_lines (out[1], done[1], go[0]);
  close (out[1]);
  CU_ASSERT_EQUAL (read (done[0], &byte, 1), 1);
  CU_ASSERT_EQUAL (byte, 'f');
  drain (out[0], &seen);
  CU_ASSERT_TRUE (seen > 0 && seen < LINES);
  CU_ASSERT_EQUAL (write (go[1], &byte, 1), 1);
  in = fdopen (out[0], "r");
  read_lines (in, &seen, &dropped);
  fclose (in);
  waitpid (child, &status, 0);
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_TRUE (dropped > 0);
  CU_ASSERT_EQUAL (seen + dropped, LINES + 1);
}

static const Test tests[] = {
  { "a process waits for the reader of its log, or loses lines without saying so",
    unread_logs_cost_lines_and_no_time },
};

int
main (void)
{
  return test_main ("log", tests, TEST_COUNT (tests));
}
