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

static void
take_event (void *ctx, const char *event, uint32_t length_bytes)
{
  Output *output = ctx;

  strncat (output->text, event, length_bytes);
  output->events++;
}

typedef struct {
  const char *name;
  const char *input;
  uint64_t delivered_id;
  const char *output;
  uint64_t last_id;
  uint32_t events;
  bool rest;
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
  { "id behind another line", "burdock: 2\nid: 5\ndata: a\n\n", 0,
    "burdock: 2\nid: 5\ndata: a\n\n", 5, 1, false },
  { "event without id", ": comment\n\n", 4, ": comment\n\n", 4, 1, false },
};

/* Guards against events that are torn, joined, lost or repeated, however the network cuts
 * the bytes. */
static void
events_stay_whole_at_every_cut (void)
{
  for (uint32_t i = 0; i < sizeof stream_cases / sizeof stream_cases[0]; i++) {
    const StreamCase *test = &stream_cases[i];
    uint32_t length = (uint32_t)strlen (test->input);

    for (uint32_t cut = 0; cut <= length; cut++) {
      BurdockEventStream stream = { .last_id = test->delivered_id };
      Output output = { 0 };

      burdock_event_stream_add (&stream, test->input, cut, take_event, &output);
      burdock_event_stream_add (&stream, test->input + cut, length - cut, take_event,
                                &output);
      CU_ASSERT_STRING_EQUAL (output.text, test->output);
      CU_ASSERT_EQUAL (output.events, test->events);
      CU_ASSERT_EQUAL (stream.last_id, test->last_id);
      CU_ASSERT_EQUAL (burdock_event_stream_has_rest (&stream), test->rest);
      burdock_event_stream_clear (&stream);
    }
  }
}

/* Guards against half an event of a broken run being joined with the next run. */
static void
restart_drops_the_incomplete_event (void)
{
  static const char first[] = "id: 1\ndata: a\n\nid: 2\ndata: lo";
  static const char second[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  BurdockEventStream stream = { 0 };
  Output output = { 0 };

  burdock_event_stream_add (&stream, first, sizeof first - 1, take_event, &output);
  burdock_event_stream_restart (&stream);
  burdock_event_stream_add (&stream, second, sizeof second - 1, take_event, &output);
  CU_ASSERT_STRING_EQUAL (output.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  burdock_event_stream_clear (&stream);
}

static void
endless_event_is_refused (void)
{
  BurdockEventStream stream = { 0 };
  Output output = { 0 };
  char *block = malloc (BURDOCK_STREAM_EVENT_MAX_BYTES);

  memset (block, 'x', BURDOCK_STREAM_EVENT_MAX_BYTES);
  CU_ASSERT_EQUAL (burdock_event_stream_add (&stream, block,
                                             BURDOCK_STREAM_EVENT_MAX_BYTES, take_event,
                                             &output),
                   -EMSGSIZE);
  free (block);
  burdock_event_stream_clear (&stream);
}

static const Test tests[] = {
  { "an event is torn, joined, lost or repeated", events_stay_whole_at_every_cut },
  { "pieces of two runs are joined", restart_drops_the_incomplete_event },
  { "an event without end takes all memory", endless_event_is_refused },
};

int
main (void)
{
  return test_main ("event-stream", tests, TEST_COUNT (tests));
}
