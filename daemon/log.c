#define G_LOG_USE_STRUCTURED
#include "log.h"

#include "error.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define TIME_BYTES 32

/* Lines that wait for a reader that has paused. */
#define WAITING_BYTES_MAX (256u << 10)

/* Longest wait for the reader as the process ends. */
#define FLUSH_MS 200

#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

/* Set by burdock_log_init() and burdock_log_to_stdout() before threads start. */
static char instance_name[BURDOCK_NAME_BYTES];
static BurdockLogLevel lowest_level = BURDOCK_LOG_INFO;
static bool to_stdout;

/**
 * struct Writer - thread that writes the log
 * @running: set before other threads start
 * @waiting: lines that are to be written, at most WAITING_BYTES_MAX
 * @writing: the thread writes lines, without the mutex
 * @dropped: lines dropped since the start, of which @unreported since the last record of
 *   their number
 */
static struct {
  pthread_mutex_t mutex;
  pthread_cond_t filled;
  pthread_cond_t written;
  bool running;
  GString *waiting;
  bool writing;
  uint64_t dropped;
  uint32_t unreported;
} writer = { .mutex = PTHREAD_MUTEX_INITIALIZER,
             .filled = PTHREAD_COND_INITIALIZER,
             .written = PTHREAD_COND_INITIALIZER };

static const char *const level_names[] = {
  [BURDOCK_LOG_DEBUG] = "debug",
  [BURDOCK_LOG_INFO] = "info",
  [BURDOCK_LOG_WARNING] = "warning",
  [BURDOCK_LOG_ERROR] = "error",
};

int
burdock_log_level_parse (const char *text, BurdockLogLevel *out)
{
  for (uint32_t i = BURDOCK_LOG_DEBUG; i <= BURDOCK_LOG_ERROR; i++) {
    if (strcmp (text, level_names[i]) != 0)
      continue;
    *out = (BurdockLogLevel)i;
    return 0;
  }
  return -EINVAL;
}

/* Appends " key=value"; an empty value, or one with spaces, quotes, '=' or control
 * characters, is quoted and escaped. */
static void
append_field (GString *line, const char *key, const char *value, gssize length)
{
  char *text = length < 0 ? g_strdup (value) : g_strndup (value, (gsize)length);
  bool plain = text[0] != '\0' && strpbrk (text, " \"=\\\n\r\t") == NULL;

  if (plain) {
    g_string_append_printf (line, " %s=%s", key, text);
  } else {
    char *escaped = g_strescape (text, NULL);

    g_string_append_printf (line, " %s=\"%s\"", key, escaped);
    g_free (escaped);
  }
  g_free (text);
}

static void
append_time (GString *line)
{
  struct timespec now;
  struct tm utc;
  char text[TIME_BYTES];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  g_string_append_printf (line, "time=%s.%03ldZ", text, now.tv_nsec / 1000000);
}

void
burdock_log_to_stdout (void)
{
  to_stdout = true;
}

static uint32_t
count_lines (const char *text, size_t length_bytes)
{
  uint32_t count = 0;

  for (size_t i = 0; i < length_bytes; i++)
    count += text[i] == '\n';
  return count;
}

static int
descriptor (void)
{
  return to_stdout ? STDOUT_FILENO : STDERR_FILENO;
}

/* Writes a text, and waits for its reader if need be. Returns the number of lines that
 * could not be written. */
static uint32_t
write_text (const char *text, size_t length_bytes)
{
  size_t at = 0;

  while (at < length_bytes) {
    ssize_t written = write (descriptor (), text + at, length_bytes - at);

    if (written >= 0) {
      at += (size_t)written;
    } else if (errno == EAGAIN) {
      struct pollfd state = { .fd = descriptor (), .events = POLLOUT };

      poll (&state, 1, -1);
    } else if (errno != EINTR) {
      return count_lines (text + at, length_bytes - at);
    }
  }
  return 0;
}

/* Appends a record with the number of dropped lines. */
static void
append_dropped_count (GString *out, uint32_t dropped)
{
  char *count = g_strdup_printf ("lines %" PRIu32, dropped);

  append_time (out);
  append_field (out, "level", level_names[BURDOCK_LOG_WARNING], -1);
  append_field (out, "instance", instance_name, -1);
  append_field (out, "step", "log lines dropped", -1);
  append_field (out, "peer", "-", -1);
  append_field (out, "detail", count, -1);
  g_string_append_c (out, '\n');
  g_free (count);
}

/* Runs on a thread of its own, the only one that waits for the reader of the log. */
static void *
run_writer (void *ctx)
{
  GString *text = g_string_sized_new (LINE_BYTES);

  pthread_mutex_lock (&writer.mutex);
  while (true) {
    GString *waiting = writer.waiting;
    uint32_t lost;

    while (waiting->len == 0)
      pthread_cond_wait (&writer.filled, &writer.mutex);
    writer.waiting = text;
    writer.writing = true;
    pthread_mutex_unlock (&writer.mutex);
    lost = write_text (waiting->str, waiting->len);
    g_string_truncate (waiting, 0);
    text = waiting;
    pthread_mutex_lock (&writer.mutex);
    writer.writing = false;
    writer.unreported += lost;
    writer.dropped += lost;
    pthread_cond_signal (&writer.written);
  }
  return NULL;
}

/* Passes a line to the writer, or drops it if the writer is too far behind. */
static void
enqueue (const GString *line)
{
  pthread_mutex_lock (&writer.mutex);
  if (writer.waiting->len + line->len > WAITING_BYTES_MAX) {
    writer.unreported++;
    writer.dropped++;
  } else {
    if (writer.unreported > 0)
      append_dropped_count (writer.waiting, writer.unreported);
    writer.unreported = 0;
    g_string_append_len (writer.waiting, line->str, (gssize)line->len);
    if (!writer.writing)
      pthread_cond_signal (&writer.filled);
  }
  pthread_mutex_unlock (&writer.mutex);
}

void
burdock_log_flush (void)
{
  struct timespec end;

  if (!writer.running)
    return;
  clock_gettime (CLOCK_MONOTONIC, &end);
  end.tv_nsec += FLUSH_MS * NS_PER_MS;
  end.tv_sec += end.tv_nsec / NS_PER_S;
  end.tv_nsec %= NS_PER_S;
  pthread_mutex_lock (&writer.mutex);
  while (writer.waiting->len > 0 || writer.writing)
    if (pthread_cond_clockwait (&writer.written, &writer.mutex, CLOCK_MONOTONIC, &end) !=
        0)
      break;
  pthread_mutex_unlock (&writer.mutex);
}

int
burdock_log_start (void)
{
  pthread_t thread;

  writer.waiting = g_string_sized_new (LINE_BYTES);
  if (pthread_create (&thread, NULL, run_writer, NULL) != 0)
    return -EAGAIN;
  pthread_detach (thread);
  writer.running = true;
  atexit (burdock_log_flush);
  return 0;
}

uint64_t
burdock_log_dropped_count (void)
{
  uint64_t count;

  pthread_mutex_lock (&writer.mutex);
  count = writer.dropped;
  pthread_mutex_unlock (&writer.mutex);
  return count;
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize field_count,
            gpointer ctx)
{
  GString *line = g_string_sized_new (LINE_BYTES);

  append_time (line);
  for (gsize i = 0; i < field_count; i++) {
    char *key = g_ascii_strdown (fields[i].key, -1);

    if (strcmp (key, "glib_domain") != 0 && strncmp (key, "code_", 5) != 0 &&
        strcmp (key, "priority") != 0)
      append_field (line, key, fields[i].value, fields[i].length);
    g_free (key);
  }
  g_string_append_c (line, '\n');
  if (writer.running)
    enqueue (line);
  else
    write_text (line->str, line->len);
  g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

void
burdock_log_init (const char *instance, BurdockLogLevel level)
{
  burdock_copy_name (instance_name, sizeof instance_name, instance);
  lowest_level = level;
  g_log_set_writer_func (write_line, NULL, NULL);
}

static GLogLevelFlags
glib_level (BurdockLogLevel level)
{
  switch (level) {
  case BURDOCK_LOG_DEBUG:
    return G_LOG_LEVEL_DEBUG;
  case BURDOCK_LOG_WARNING:
    return G_LOG_LEVEL_WARNING;
  case BURDOCK_LOG_ERROR:
    return G_LOG_LEVEL_CRITICAL;
  default:
    return G_LOG_LEVEL_INFO;
  }
}

void
burdock_log_event (void *ctx, BurdockLogLevel level, const BurdockEvent *event)
{
  char hlc[24];
  GLogField fields[] = {
    { "LEVEL", level_names[level], -1 },
    { "INSTANCE", instance_name, -1 },
    { "HLC", hlc, -1 },
    { "KIND", burdock_event_kind_name (event->kind), -1 },
    { "STEP", event->step, -1 },
    { "PEER", event->peer, -1 },
    { "SUBJECT", event->subject, -1 },
    { "DETAIL", event->detail, -1 },
  };

  if (level < lowest_level)
    return;
  snprintf (hlc, sizeof hlc, "%" PRIu64, event->hlc);
  g_log_structured_array (glib_level (level), fields, G_N_ELEMENTS (fields));
}

static void __attribute__ ((format (printf, 5, 0)))
log_text (BurdockLogLevel level, const char *step, const char *subject, const char *peer,
          const char *format, va_list args)
{
  char *detail = g_strdup_vprintf (format, args);
  GLogField fields[] = {
    { "LEVEL", level_names[level], -1 },
    { "INSTANCE", instance_name, -1 },
    { "STEP", step, -1 },
    { "PEER", peer, -1 },
    { "DETAIL", detail, -1 },
    { "SUBJECT", subject, -1 },
  };

  g_log_structured_array (glib_level (level), fields,
                          G_N_ELEMENTS (fields) - (subject == NULL ? 1 : 0));
  g_free (detail);
}

void
burdock_log (BurdockLogLevel level, const char *step, const char *peer,
             const char *format, ...)
{
  va_list args;

  if (level < lowest_level)
    return;
  va_start (args, format);
  log_text (level, step, NULL, peer, format, args);
  va_end (args);
}

void
burdock_log_subject (BurdockLogLevel level, const char *step, const char *subject,
                     const char *peer, const char *format, ...)
{
  va_list args;

  if (level < lowest_level)
    return;
  va_start (args, format);
  log_text (level, step, subject, peer, format, args);
  va_end (args);
}
