/* Tests the command story: which log records it shows for a request, in which order, and
 * the cause that it gives for the end of the request. */
#include "story.h"
#include "test.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Lines of several processes in one file, out of order, as a log collector may write
 * them. One has a prefix of the collector, one a quoted "subject=" inside its detail, one
 * a time that is not valid, and one is not a log record. */
static const char *const lines[] = {
  "time=2026-12-04T08:00:02.900Z level=info instance=g2 step=\"request ended\" peer=i-1 "
  "detail=\"outcome passed status 200 route r pool p sent 1 ran 1 reason none first_ms "
  "180 total_ms 900 placed_ms 0 events 9 pause_ms 60\" subject=other",
  "  18.2 g1 time=2026-12-04T08:00:02.100Z level=info instance=g1 step=\"request ended\" "
  "peer=i-2 detail=\"outcome failed status 502 route r pool p sent 1 ran 1 reason none "
  "first_ms 0 total_ms 1100 placed_ms 20 events 0 pause_ms 0\" subject=a1",
  "time=2026-12-04T08:00:02.050Z level=info instance=g1 step=\"attempt failed\" peer=i-2 "
  "detail=\"result 5 status -5 sent 1\" subject=a1",
  "time=2026-12-04T08:00:01.500Z level=warning instance=g3 step=\"upstream silent\" "
  "peer=i-2 detail=\"silent_ms 700\" subject=b7",
  "time=2026-12-04T08:00:02.080Z level=info instance=g3 step=\"upstream leaving\" "
  "peer=i-2 detail=\"pool p\"",
  "time=2026-12-04T08:00:01.600Z level=warning instance=g3 step=\"store lost\" peer=- "
  "detail=\"status -5\"",
  "time=2026-12-04T07:00:01.500Z level=info instance=g1 step=\"upstream gone\" peer=i-2 "
  "detail=\"its entry was removed\"",
  "time=2026-12-04T08:00:03.000Z level=info instance=g1 step=\"request ended\" peer=- "
  "detail=\"outcome refused status 503 route r pool p sent 0 ran 0 reason overload "
  "first_ms 0 total_ms 1000 placed_ms 0 events 0 pause_ms 0\" subject=c3",
  "time=2026-12-04T08:00:04.000Z level=info instance=g1 step=\"request ended\" peer=i-1 "
  "detail=\"outcome passed status 200 route r pool p sent 1 ran 1 reason none "
  "first_ms 950 total_ms 1900 placed_ms 800 events 9 pause_ms 90\" subject=d4",
  "time=2026-12-04T08:00:05.000Z level=info instance=g1 step=\"request rejected\" peer=- "
  "detail=\"status 404 path /x\\\" subject=a1 \" subject=e5",
  "time=2026-12-04T08:00:06.000Z level=info instance=g1 step=\"request timed out\" "
  "peer=i-9 detail=\"phase 2 limit_ms 400\" subject=f6",
  "time=2026-12-04T08:00:06.001Z level=info instance=g1 step=\"request ended\" peer=i-9 "
  "detail=\"outcome broken status 200 route r pool p sent 1 ran 0 reason none first_ms "
  "120 total_ms 400 placed_ms 0 events 2 pause_ms 90\" subject=f6",
  "time=2026-12-04T08:00:05.000Z level=info instance=r7 step=group peer=- detail=\"group "
  "x epoch 3 rank 1 of 8 broken map 0 step 9\"",
  "time=yesterday instance=g1 step=x peer=- detail=y subject=a1",
  "no line of a log",
};

/**
 * struct StoryCase - request and the text that is printed for it
 * @id: attempt id of the request
 * @record_count: number of records about the request
 * @has: texts that must be printed
 * @lacks: texts that must not be printed
 */
typedef struct {
  const char *name;
  const char *id;
  uint32_t record_count;
  const char *has[4];
  const char *lacks[3];
} StoryCase;

static const StoryCase cases[] = {
  { "lost answer, with what others saw of the upstream",
    "a1",
    2,
    { "upstream silent", "attempt failed", "cause: failed 502: may have run", NULL },
    { "store lost", "upstream gone", "404" } },
  { "refusal",
    "c3",
    1,
    { "cause: refused 503: found no place", "total 1000 ms" },
    { NULL } },
  { "late answer",
    "d4",
    1,
    { "cause: passed 200", "first event after 950 ms", "late: it waited for a place" },
    { NULL } },
  { "time limit, while a group was broken",
    "f6",
    2,
    { "epoch 3 rank 1 of 8 broken", "cause: broken 200: its time was up" },
    { NULL } },
  { "no end in the logs", "e5", 1, { "cause: unknown" }, { NULL } },
  { "unknown request", "ff", 0, { NULL }, { "cause" } },
};

static char *
print_story (const char *id, uint32_t *record_count)
{
  CliStory *story = cli_story_new (id);
  char *text = NULL;
  size_t size_bytes = 0;
  FILE *out = open_memstream (&text, &size_bytes);

  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    cli_story_add (story, lines[i]);
  *record_count = cli_story_print (story, out);
  fclose (out);
  cli_story_free (story);
  return text;
}

/* The logs of all processes are mixed. Fails if a record of the request is missed, or
 * what another gateway logged about its upstream; if a record of another request, of
 * another gateway's store or of an hour before is shown; or if the cause does not follow
 * from the records. */
static void
records_and_cause_are_shown (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const StoryCase *item = &cases[i];
    uint32_t record_count;
    char *text = print_story (item->id, &record_count);
    bool ok = record_count == item->record_count;

    for (uint32_t k = 0; k < 4 && item->has[k] != NULL; k++)
      ok = ok && strstr (text, item->has[k]) != NULL;
    for (uint32_t k = 0; k < 3 && item->lacks[k] != NULL; k++)
      ok = ok && strstr (text, item->lacks[k]) == NULL;
    if (!ok)
      fprintf (stderr, "%s:\n%s", item->name, text);
    CU_ASSERT_TRUE (ok);
    free (text);
  }
}

/* The lines of the request and of its upstream are out of order in the file. Fails if
 * they are not printed in the order of their times. */
static void
records_are_in_order (void)
{
  uint32_t record_count;
  char *text = print_story ("a1", &record_count);
  const char *silent = strstr (text, "upstream silent");
  const char *failed = strstr (text, "attempt failed");
  const char *leaving = strstr (text, "upstream leaving");
  const char *ended = strstr (text, "request ended");

  CU_ASSERT_TRUE (silent != NULL && silent < failed && failed < leaving &&
                  leaving < ended);
  free (text);
}

static const Test tests[] = {
  { "the cause of a request's end is not found in the logs",
    records_and_cause_are_shown },
  { "records are shown in the order of the files", records_are_in_order },
};

int
main (void)
{
  return test_main ("story", tests, TEST_COUNT (tests));
}
