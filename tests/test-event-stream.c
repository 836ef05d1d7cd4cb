#include "event-stream.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define OUTPUT_BYTES 512

typedef struct {
  char text[OUTPUT_BYTES];
  uint32_t events;
} Output;

static int
record_event (void *ctx, const char *event, uint32_t length_bytes)
{
  Output *output = ctx;

  strncat (output->text, event, length_bytes);
  output->events++;
  return 0;
}

typedef struct {
  const char *name;
  const char *input;
  uint64_t last_delivered_id;
  const char *output;
  uint64_t last_id;
  uint32_t events;
  bool partial;
} StreamCase;

static const StreamCase stream_cases[] = {
  { "two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0,
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, 2, false },
  { "incomplete event is held back", "id: 1\ndata: a\n\nid: 2\nda", 0,
    "id: 1\ndata: a\n\n", 1, 1, true },
  { "carriage returns", "id: 7\r\ndata: a\r\n\r\n", 0, "id: 7\r\ndata: a\r\n\r\n", 7, 1,
    false },
  { "delivered events are dropped", "id: 3\ndata: a\n\nid: 4\ndata: b\n\n", 3,
    "id: 4\ndata: b\n\n", 4, 1, false },
  { "id after another line", "burdock: 2\nid: 5\ndata: a\n\n", 0,
    "burdock: 2\nid: 5\ndata: a\n\n", 5, 1, false },
  { "empty id before another event", "id:\n\nid: 7\ndata: a\n\n", 0,
    "id:\n\nid: 7\ndata: a\n\n", 7, 2, false },
  { "empty id before digits", "id: \n\n9\n\n", 0, "id: \n\n9\n\n", 0, 2, false },
  { "id beyond 64 bits", "id: 18446744073709551616\n\nid: 2\n\n", 0,
    "id: 18446744073709551616\n\nid: 2\n\n", 2, 2, false },
  { "highest id", "id: 18446744073709551615\n\n", 0, "id: 18446744073709551615\n\n",
    UINT64_MAX, 1, false },
  { "event without id", ": comment\n\n", 4, ": comment\n\n", 4, 1, false },
};

/* Guards against events that are truncated, joined, lost or repeated. Feeds each input in
 * two parts, split at every offset, as a network may deliver it. */
static void
events_stay_complete_at_every_split (void)
{
  for (uint32_t i = 0; i < sizeof stream_cases / sizeof stream_cases[0]; i++) {
    const StreamCase *test = &stream_cases[i];
    uint32_t length = (uint32_t)strlen (test->input);

    for (uint32_t split = 0; split <= length; split++) {
      BurdockEventStream stream = { .last_id = test->last_delivered_id };
      Output output = { 0 };

      burdock_event_stream_feed (&stream, test->input, split, record_event, &output);
      burdock_event_stream_feed (&stream, test->input + split, length - split,
                                 record_event, &output);
      CU_ASSERT_STRING_EQUAL (output.text, test->output);
      CU_ASSERT_EQUAL (output.events, test->events);
      CU_ASSERT_EQUAL (stream.last_id, test->last_id);
      CU_ASSERT_EQUAL (burdock_event_stream_has_partial (&stream), test->partial);
      burdock_event_stream_clear (&stream);
    }
  }
}

/* Guards against joining an incomplete event of a failed run with events of the next run.
 */
static void
restart_drops_the_incomplete_event (void)
{
  static const char first[] = "id: 1\ndata: a\n\nid: 2\ndata: lo";
  static const char second[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  BurdockEventStream stream = { 0 };
  Output output = { 0 };

  burdock_event_stream_feed (&stream, first, sizeof first - 1, record_event, &output);
  burdock_event_stream_restart (&stream);
  burdock_event_stream_feed (&stream, second, sizeof second - 1, record_event, &output);
  CU_ASSERT_STRING_EQUAL (output.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  burdock_event_stream_clear (&stream);
}

/* Guards against unbounded memory use by an event that never ends. */
static void
oversized_event_is_an_error (void)
{
  BurdockEventStream stream = { 0 };
  Output output = { 0 };
  char *block = malloc (BURDOCK_STREAM_EVENT_MAX_BYTES);

  memset (block, 'x', BURDOCK_STREAM_EVENT_MAX_BYTES);
  CU_ASSERT_EQUAL (burdock_event_stream_feed (&stream, block,
                                              BURDOCK_STREAM_EVENT_MAX_BYTES,
                                              record_event, &output),
                   -EMSGSIZE);
  free (block);
  burdock_event_stream_clear (&stream);
}

static int
ignore_event (void *ctx, const char *event, uint32_t length_bytes)
{
  return 0;
}

static int
refuse_event (void *ctx, const char *event, uint32_t length_bytes)
{
  uint32_t *count = ctx;

  (*count)++;
  return -EPIPE;
}

/* Guards against events that are passed on after their receiver has failed. */
static void
failed_sink_ends_the_feed (void)
{
  static const char events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  BurdockEventStream stream = { 0 };
  uint32_t count = 0;

  CU_ASSERT_EQUAL (burdock_event_stream_feed (&stream, events, sizeof events - 1,
                                              refuse_event, &count),
                   -EPIPE);
  CU_ASSERT_EQUAL (count, 1);
  burdock_event_stream_clear (&stream);
}

typedef struct {
  uint64_t resumed_after; /* id of the last event of an earlier run */
  const char *text;
  bool complete;
} EndCase;

static const EndCase end_cases[] = {
  { 0, "", false },
  { 0, ": comment\n\n", false },
  { 0, "id: 1\ndata: a\n\n", true },
  { 0, "id: 1\ndata: a\n\nid: 2\nda", false },
  { 7, "", true },
  { 7, "id: 8\n", false },
};

/* An upstream that ends while it begins an answer without a length leaves an empty one.
 */
static void
stream_that_broke_off_is_not_complete (void)
{
  for (size_t i = 0; i < TEST_COUNT (end_cases); i++) {
    BurdockEventStream stream = { .last_id = end_cases[i].resumed_after };
    const char *text = end_cases[i].text;

    CU_ASSERT_EQUAL (burdock_event_stream_feed (&stream, text, (uint32_t)strlen (text),
                                                ignore_event, NULL),
                     0);
    CU_ASSERT_EQUAL (burdock_event_stream_is_complete (&stream), end_cases[i].complete);
    burdock_event_stream_clear (&stream);
  }
}

static const Test tests[] = {
  { "an event is truncated, joined, lost or repeated",
    events_stay_complete_at_every_split },
  { "parts of events of two runs are joined", restart_drops_the_incomplete_event },
  { "an endless event uses all memory", oversized_event_is_an_error },
  { "events go on after their receiver has failed", failed_sink_ends_the_feed },
  { "a stream that broke off looks complete", stream_that_broke_off_is_not_complete },
};

int
main (void)
{
  return test_main ("event-stream", tests, TEST_COUNT (tests));
}
