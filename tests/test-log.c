#include "log.h"
#include "test.h"

#include <apr_time.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* More than fits into a pipe: 64 KiB at about 120 bytes a line. */
#define LINES 5000

/* Writing to a full pipe must not block; formatting takes a few microseconds a line. */
#define MAX_WRITE_US (2 * APR_USEC_PER_SEC)

/* Logs LINES lines to a pipe that nobody reads, writes to @done whether that was fast
 * ('f') or slow ('s'), waits for a byte from @go and logs one more line. */
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
  byte = apr_time_now () - start < MAX_WRITE_US ? 'f' : 's';
  if (write (done, &byte, 1) != 1 || read (go, &byte, 1) != 1)
    _exit (1);
  burdock_log (BURDOCK_LOG_INFO, "line", "-", "last");
  _exit (0);
}

static void
count_line (const char *line, uint32_t *seen, uint32_t *dropped)
{
  const char *count_text = strstr (line, "detail=\"lines ");

  if (strstr (line, "step=\"log lines dropped\"") != NULL && count_text != NULL)
    *dropped += (uint32_t)strtoul (count_text + strlen ("detail=\"lines "), NULL, 10);
  else if (strstr (line, "step=line") != NULL)
    (*seen)++;
}

/* Counts the lines until the pipe is closed. */
static void
read_lines (FILE *in, uint32_t *seen, uint32_t *dropped)
{
  char *line = NULL;
  size_t size_bytes = 0;

  while (getline (&line, &size_bytes, in) >= 0)
    count_line (line, seen, dropped);
  free (line);
}

/* Counts the lines in the pipe now, without waiting for the writer to end. */
static void
count_buffered (int in, uint32_t *seen)
{
  char buffer[1 << 16];
  ssize_t received = read (in, buffer, sizeof buffer);

  for (ssize_t i = 0; i < received; i++)
    *seen += buffer[i] == '\n';
}

/* Guards against a process that blocks because its log is not read and the pipe is full,
 * and against dropped lines that are not counted in the log. */
static void
full_pipe_drops_lines_without_blocking (void)
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
  count_buffered (out[0], &seen);
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
  { "a process blocks on its log, or drops lines without reporting it",
    full_pipe_drops_lines_without_blocking },
};

int
main (void)
{
  return test_main ("log", tests, TEST_COUNT (tests));
}
