#include "story.h"

#include "cli.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Records about upstreams and dependencies are shown from this long before the first
 * record of the request on. Covers the pause of a silent upstream and some seconds of an
 * outage. */
#define CONTEXT_BEFORE_MS 5000

/* A first event after this time is reported as late. Without a fault or a queue, the
 * first event of a stream arrives earlier. */
#define LATE_FIRST_EVENT_MS 400

/** struct Record - one log record; a field is NULL if the line does not have it */
typedef struct {
  int64_t time_ms;
  char *instance;
  char *step;
  char *peer;
  char *subject;
  char *detail;
} Record;

/**
 * struct CliStory - records collected for one request
 * @id: attempt id of the request
 * @request_records: records about the request
 * @context_records: records that have no subject, and those about silent upstreams, which
 *   have another request as their subject
 */
struct CliStory {
  char *id;
  GPtrArray *request_records;
  GPtrArray *context_records;
};

/**
 * struct Cause - explanation of how a request ended
 * @outcome: outcome in the record "request ended"
 * @reason: reason in the record; empty for any
 * @status: HTTP status in the record; empty for any
 */
typedef struct {
  const char *outcome;
  const char *reason;
  const char *status;
  const char *text;
} Cause;

/* The first row that matches applies. */
static const Cause causes[] = {
  { "refused", "overload", "", "found no place: the upstreams were full" },
  { "refused", "no-upstream", "", "found no upstream: none was listed and not leaving" },
  { "refused", "deadline", "", "its time was up before it found a place" },
  { "refused", "", "", "each upstream that it was sent to refused it; it did not run" },
  { "failed", "", "",
    "may have run and its answer was lost; no further run was allowed, or there was no "
    "time, place or retry budget left" },
  { "broken", "", "", "its stream broke off and could not be resumed elsewhere" },
  { "abandoned", "", "", "its caller left first" },
  { "passed", "", "200", "the answer of the upstream was passed on" },
  { "passed", "", "", "the upstream itself gave this status; it was passed on" },
};

static void
free_record (gpointer data)
{
  Record *record = data;

  g_free (record->instance);
  g_free (record->step);
  g_free (record->peer);
  g_free (record->subject);
  g_free (record->detail);
  g_free (record);
}

CliStory *
cli_story_new (const char *id)
{
  CliStory *story = g_new0 (CliStory, 1);

  story->id = g_strdup (id);
  story->request_records = g_ptr_array_new_with_free_func (free_record);
  story->context_records = g_ptr_array_new_with_free_func (free_record);
  return story;
}

void
cli_story_free (CliStory *story)
{
  g_ptr_array_unref (story->request_records);
  g_ptr_array_unref (story->context_records);
  g_free (story->id);
  g_free (story);
}

/* Parses one key=value pair of a log record, with the value quoted or not. Returns the
 * text after it, or NULL if there is no pair. The caller frees @key and @value. */
static const char *
parse_field (const char *at, char **key, char **value)
{
  const char *end = at + strcspn (at, "= \r\n");
  char *escaped;

  *key = *value = NULL;
  if (*end != '=')
    return NULL;
  *key = g_strndup (at, (gsize)(end - at));
  at = end + 1;
  if (*at != '"') {
    end = at + strcspn (at, " \r\n");
    *value = g_strndup (at, (gsize)(end - at));
    return end + strspn (end, " ");
  }
  for (end = ++at; *end != '\0' && *end != '"'; end++) {
    if (*end == '\\' && end[1] != '\0')
      end++;
  }
  escaped = g_strndup (at, (gsize)(end - at));
  *value = g_strcompress (escaped);
  g_free (escaped);
  end += *end == '"';
  return end + strspn (end, " ");
}

/* Takes ownership of @value: stores it if @key names a field of the record, otherwise
 * frees it. */
static void
set_field (Record *record, const char *key, char *value)
{
  struct {
    const char *key;
    char **value;
  } fields[] = {
    { "instance", &record->instance }, { "step", &record->step },
    { "peer", &record->peer },         { "subject", &record->subject },
    { "detail", &record->detail },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++) {
    if (strcmp (fields[i].key, key) != 0)
      continue;
    g_free (*fields[i].value);
    *fields[i].value = value;
    return;
  }
  g_free (value);
}

static bool
parse_time (const char *text, int64_t *time_ms)
{
  GDateTime *time = g_date_time_new_from_iso8601 (text, NULL);

  if (time == NULL)
    return false;
  *time_ms =
      g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return true;
}

/* Returns NULL if the line is not a log record. Text before "time=" is ignored. */
static Record *
parse_record (const char *line)
{
  Record *record = g_new0 (Record, 1);
  const char *at = strstr (line, "time=");
  bool has_time = false;

  while (at != NULL) {
    char *key;
    char *value;

    at = parse_field (at, &key, &value);
    if (at != NULL && strcmp (key, "time") == 0)
      has_time = parse_time (value, &record->time_ms);
    if (at != NULL)
      set_field (record, key, value);
    g_free (key);
  }
  if (has_time)
    return record;
  free_record (record);
  return NULL;
}

void
cli_story_add (CliStory *story, const char *line)
{
  Record *record = parse_record (line);

  if (record == NULL)
    return;
  if (g_strcmp0 (record->subject, story->id) == 0)
    g_ptr_array_add (story->request_records, record);
  else if (record->subject == NULL || g_strcmp0 (record->step, "upstream silent") == 0)
    g_ptr_array_add (story->context_records, record);
  else
    free_record (record);
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const Record *first = *(Record *const *)a;
  const Record *second = *(Record *const *)b;

  return (first->time_ms > second->time_ms) - (first->time_ms < second->time_ms);
}

/* Whether a record is about an upstream of the request, about a dependency of the gateway
 * that handled it, or about a rank group that broke or opened, as a broken group leaves
 * less capacity for all requests. */
static bool
is_related (const CliStory *story, const Record *record)
{
  if (g_strcmp0 (record->step, "group") == 0)
    return true;
  for (guint i = 0; i < story->request_records->len; i++) {
    const Record *request = g_ptr_array_index (story->request_records, i);

    if (g_strcmp0 (request->peer, "-") != 0 &&
        g_strcmp0 (request->peer, record->peer) == 0)
      return true;
    if (g_strcmp0 (request->instance, record->instance) == 0 &&
        (g_strcmp0 (record->peer, "-") == 0 ||
         g_strcmp0 (record->step, "upstream silent") == 0))
      return true;
  }
  return false;
}

static void
print_record (FILE *out, const Record *record, const char *mark)
{
  GDateTime *time = g_date_time_new_from_unix_utc (record->time_ms / 1000);
  char *text = g_date_time_format (time, "%H:%M:%S");

  fprintf (out, "%s %s.%03d  %s  %s  %s  %s\n", mark, text, (int)(record->time_ms % 1000),
           record->instance != NULL ? record->instance : "-",
           record->step != NULL ? record->step : "-",
           record->peer != NULL ? record->peer : "-",
           record->detail != NULL ? record->detail : "");
  g_free (text);
  g_date_time_unref (time);
}

/* Returns a copy of the word after " NAME " in the detail of a record, or of "". */
static char *
detail_word (const Record *record, const char *name)
{
  char *detail = g_strdup_printf (" %s ", record->detail != NULL ? record->detail : "");
  char *start = g_strdup_printf (" %s ", name);
  const char *at = strstr (detail, start);
  char *word = at != NULL
                   ? g_strndup (at + strlen (start), strcspn (at + strlen (start), " "))
                   : g_strdup ("");

  g_free (start);
  g_free (detail);
  return word;
}

static uint64_t
detail_number (const Record *record, const char *name)
{
  char *word = detail_word (record, name);
  uint64_t number = strtoull (word, NULL, 10);

  g_free (word);
  return number;
}

static bool
matches (const char *pattern, const char *value)
{
  return pattern[0] == '\0' || strcmp (pattern, value) == 0;
}

static const char *
find_cause (const char *outcome, const char *reason, const char *status)
{
  for (size_t i = 0; i < G_N_ELEMENTS (causes); i++) {
    if (strcmp (causes[i].outcome, outcome) == 0 && matches (causes[i].reason, reason) &&
        matches (causes[i].status, status))
      return causes[i].text;
  }
  return "the log names an end that this program does not know";
}

static void
print_times (FILE *out, const Record *end)
{
  uint64_t placed_ms = detail_number (end, "placed_ms");
  uint64_t first_ms = detail_number (end, "first_ms");

  fprintf (out,
           "       total %" G_GUINT64_FORMAT " ms, last sent after %" G_GUINT64_FORMAT
           " ms, ",
           detail_number (end, "total_ms"), placed_ms);
  if (first_ms == 0)
    fprintf (out, "no event");
  else
    fprintf (out,
             "first event after %" G_GUINT64_FORMAT " ms, longest pause "
             "%" G_GUINT64_FORMAT " ms",
             first_ms, detail_number (end, "pause_ms"));
  fprintf (out, "\n");
  if (first_ms > LATE_FIRST_EVENT_MS)
    fprintf (out, "       late: %s\n",
             placed_ms * 2 > first_ms ? "it waited for a place, or was sent again"
                                      : "the upstream took long to begin");
}

static void
print_cause (FILE *out, const Record *end, bool timed_out)
{
  char *outcome = detail_word (end, "outcome");
  char *reason = detail_word (end, "reason");
  char *status = detail_word (end, "status");

  fprintf (out, "cause: %s %s: %s\n", outcome, status,
           timed_out ? "its time was up while the upstream still worked on it"
                     : find_cause (outcome, reason, status));
  print_times (out, end);
  g_free (status);
  g_free (outcome);
  g_free (reason);
}

/* Returns the last record about the request with @step, or NULL. */
static const Record *
last_record (const CliStory *story, const char *step)
{
  const Record *last = NULL;

  for (guint i = 0; i < story->request_records->len; i++) {
    const Record *record = g_ptr_array_index (story->request_records, i);

    if (g_strcmp0 (record->step, step) == 0)
      last = record;
  }
  return last;
}

static void
add_context (CliStory *story, GPtrArray *all)
{
  const Record *first = g_ptr_array_index (story->request_records, 0);
  const Record *last =
      g_ptr_array_index (story->request_records, story->request_records->len - 1);

  for (guint i = 0; i < story->context_records->len; i++) {
    Record *record = g_ptr_array_index (story->context_records, i);

    if (record->time_ms >= first->time_ms - CONTEXT_BEFORE_MS &&
        record->time_ms <= last->time_ms && is_related (story, record))
      g_ptr_array_add (all, record);
  }
}

uint32_t
cli_story_print (CliStory *story, FILE *out)
{
  GPtrArray *all = g_ptr_array_new ();
  const Record *end;

  g_ptr_array_sort (story->request_records, compare_times);
  if (story->request_records->len > 0)
    add_context (story, all);
  for (guint i = 0; i < story->request_records->len; i++)
    g_ptr_array_add (all, g_ptr_array_index (story->request_records, i));
  g_ptr_array_sort (all, compare_times);
  for (guint i = 0; i < all->len; i++) {
    const Record *record = g_ptr_array_index (all, i);
    bool is_request = g_strcmp0 (record->subject, story->id) == 0;

    print_record (out, record, is_request ? "*" : " ");
  }
  g_ptr_array_unref (all);
  end = last_record (story, "request ended");
  if (end != NULL)
    print_cause (out, end, last_record (story, "request timed out") != NULL);
  else if (story->request_records->len > 0)
    fprintf (out, "cause: unknown: the logs do not hold the end of the request\n");
  return story->request_records->len;
}

static int
read_log (CliStory *story, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t size = 0;

  if (file == NULL) {
    cli_error ("%s: %s", path, strerror (errno));
    return CLI_USAGE;
  }
  while (getline (&line, &size, file) >= 0)
    cli_story_add (story, line);
  free (line);
  if (file != stdin)
    fclose (file);
  return CLI_OK;
}

int
cli_story (Cli *cli, int argc, char **argv)
{
  CliStory *story;
  int status = CLI_OK;

  if (cli_check_arguments (argv[0], argc, 2, INT16_MAX, "ATTEMPT LOG...") < 0)
    return CLI_USAGE;
  story = cli_story_new (argv[1]);
  for (int i = 2; i < argc && status == CLI_OK; i++)
    status = read_log (story, argv[i]);
  if (status == CLI_OK && cli_story_print (story, stdout) == 0) {
    cli_error ("no record about attempt %s", argv[1]);
    status = CLI_REFUSED;
  }
  cli_story_free (story);
  return status;
}
