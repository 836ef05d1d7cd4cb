#include "event-stream.h"
#include "random.h"
#include "test.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OUTPUT_BYTES 512

#define DRAWN_NUMBERINGS 20
#define NUMBERINGS_SEED 1
#define FIRST_ID_BITS_MAX 62
#define ID_STEP_MAX 1000

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

#define NO_ID                                                                            \
  {                                                                                      \
    .is_set = false                                                                      \
  }
#define ID(number_)                                                                      \
  {                                                                                      \
    .is_set = true, .value = (number_)                                                   \
  }

/**
 * struct StreamCase - what a parser passes on
 * @delivered: id of the last event of an earlier run
 * @past_last_id: the stream cannot be resumed
 */
typedef struct {
  const char *name;
  const char *input;
  BurdockOptional delivered;
  const char *output;
  BurdockOptional last_id;
  uint32_t events;
  bool partial;
  bool past_last_id;
} StreamCase;

static const StreamCase stream_cases[] = {
  { "two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", NO_ID,
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ID (2), 2, false, false },
  { "incomplete event is held back", "id: 1\ndata: a\n\nid: 2\nda", NO_ID,
    "id: 1\ndata: a\n\n", ID (1), 1, true, false },
  { "carriage returns", "id: 7\r\ndata: a\r\n\r\n", NO_ID, "id: 7\r\ndata: a\r\n\r\n",
    ID (7), 1, false, false },
  { "delivered events are dropped", "id: 3\ndata: a\n\nid: 4\ndata: b\n\n", ID (3),
    "id: 4\ndata: b\n\n", ID (4), 1, false, false },
  { "id after another line", "burdock: 2\nid: 5\ndata: a\n\n", NO_ID,
    "burdock: 2\nid: 5\ndata: a\n\n", ID (5), 1, false, false },
  { "empty id before another event", "id:\n\nid: 7\ndata: a\n\n", NO_ID,
    "id:\n\nid: 7\ndata: a\n\n", ID (7), 2, false, false },
  { "empty id before digits", "id: \n\n9\n\n", NO_ID, "id: \n\n9\n\n", NO_ID, 2, false,
    false },
  { "id beyond 64 bits", "id: 18446744073709551616\n\nid: 2\n\n", NO_ID,
    "id: 18446744073709551616\n\nid: 2\n\n", ID (2), 2, false, false },
  { "highest id", "id: 18446744073709551615\n\n", NO_ID, "id: 18446744073709551615\n\n",
    ID (UINT64_MAX), 1, false, false },
  { "event without id", ": comment\n\n", ID (4), ": comment\n\n", ID (4), 1, false,
    false },
  { "first id 0", "id: 0\ndata: a\n\n", NO_ID, "id: 0\ndata: a\n\n", ID (0), 1, false,
    false },
  { "id 0 without a blank, with carriage returns", "id:0\r\n\r\n", NO_ID, "id:0\r\n\r\n",
    ID (0), 1, false, false },
  { "id 0 as the last line", "data: a\nid: 0\n\n", NO_ID, "data: a\nid: 0\n\n", ID (0), 1,
    false, false },
  { "event 0 again in one run", "id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 10\n\n", NO_ID,
    "id: 0\ndata: a\n\nid: 10\n\n", ID (10), 2, false, false },
  { "event 0 again in the next run", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", ID (0),
    "id: 1\ndata: b\n\n", ID (1), 1, false, false },
  { "only event 0, again in the next run", "id: 0\ndata: a\n\n", ID (0), "", ID (0), 0,
    false, false },
  { "comment before the first event", ": hello\n\n", NO_ID, ": hello\n\n", NO_ID, 1,
    false, false },
  { "leading zeros", "id: 000\n\nid: 007\n\n", NO_ID, "id: 000\n\nid: 007\n\n", ID (7), 2,
    false, false },
  { "ids beyond 64 bits only", "id: 18446744073709551616\n\n", NO_ID,
    "id: 18446744073709551616\n\n", NO_ID, 1, false, true },
  { "id beyond 64 bits after others", "id: 5\n\nid: 18446744073709551616\n\n", NO_ID,
    "id: 5\n\nid: 18446744073709551616\n\n", ID (5), 2, false, true },
  { "id that is text", "id: 12-a\n\nid: 12-b\n\n", NO_ID, "id: 12-a\n\nid: 12-b\n\n",
    NO_ID, 2, false, true },
  { "negative id", "id: -1\n\n", NO_ID, "id: -1\n\n", NO_ID, 1, false, true },
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
      BurdockEventStream stream = { .last_id = test->delivered };
      Output output = { 0 };

      burdock_event_stream_feed (&stream, test->input, split, record_event, &output);
      burdock_event_stream_feed (&stream, test->input + split, length - split,
                                 record_event, &output);
      CU_ASSERT_STRING_EQUAL (output.text, test->output);
      CU_ASSERT_EQUAL (output.events, test->events);
      if (!burdock_optional_equal (stream.last_id, test->last_id) ||
          stream.is_past_last_id != test->past_last_id)
        CU_FAIL (test->name);
      CU_ASSERT_EQUAL (burdock_event_stream_has_partial (&stream), test->partial);
      burdock_event_stream_clear (&stream);
    }
  }
}

#define RUN_EVENTS 6

/**
 * struct Numbering - ids of the events of a stream
 * @first_id: id of the first event
 * @id_step: difference between the ids of two events
 */
typedef struct {
  uint64_t first_id;
  uint64_t id_step;
} Numbering;

static const Numbering numberings[] = {
  { 0, 1 },
  { 0, 10 },
  { 0, UINT64_MAX / RUN_EVENTS },
  { 1, 1 },
  { 1, 7 },
  { UINT64_C (1) << 63, 1000 },
  { UINT64_MAX - RUN_EVENTS + 1, 1 },
};

/* Writes the events from @from on of a stream. */
static void
write_events (char out[OUTPUT_BYTES], const Numbering *numbering, uint32_t from)
{
  size_t bytes = 0;

  out[0] = '\0';
  for (uint32_t i = from; i < RUN_EVENTS; i++)
    bytes += (size_t)snprintf (out + bytes, OUTPUT_BYTES - bytes,
                               "id: %" PRIu64 "\ndata: e%u\n\n",
                               numbering->first_id + i * numbering->id_step, i);
}

/* First event that an upstream sends which is asked to go on after @last_id. */
static uint32_t
next_event (const Numbering *numbering, BurdockOptional last_id)
{
  uint32_t next = 0;

  while (last_id.is_set && next < RUN_EVENTS &&
         numbering->first_id + next * numbering->id_step <= last_id.value)
    next++;
  return next;
}

/* Plays a stream whose first run breaks off after @cut_bytes. The next one goes on after
 * the last id if @honours_last_id, or else begins again. */
static void
play_broken_stream (const Numbering *numbering, uint32_t cut_bytes, bool honours_last_id)
{
  BurdockEventStream stream = { 0 };
  Output output = { 0 };
  char whole[OUTPUT_BYTES];
  char rest[OUTPUT_BYTES];

  write_events (whole, numbering, 0);
  burdock_event_stream_feed (&stream, whole, cut_bytes, record_event, &output);
  burdock_event_stream_restart (&stream);
  write_events (rest, numbering,
                honours_last_id ? next_event (numbering, stream.last_id) : 0);
  burdock_event_stream_feed (&stream, rest, (uint32_t)strlen (rest), record_event,
                             &output);
  if (strcmp (output.text, whole) != 0 || !burdock_event_stream_is_complete (&stream)) {
    printf ("first id %" PRIu64 ", step %" PRIu64 ", cut after %u bytes\n",
            numbering->first_id, numbering->id_step, cut_bytes);
    CU_FAIL ("the stream is not whole");
  }
  burdock_event_stream_clear (&stream);
}

static void
break_off_everywhere (const Numbering *numbering)
{
  char whole[OUTPUT_BYTES];

  write_events (whole, numbering, 0);
  for (uint32_t cut_bytes = 0; cut_bytes < strlen (whole); cut_bytes++) {
    play_broken_stream (numbering, cut_bytes, true);
    play_broken_stream (numbering, cut_bytes, false);
  }
}

/* Guards against an event that comes twice or is lost in a resumed stream, wherever its
 * ids begin and however far apart they are, among them a first id of 0. */
static void
resumed_streams_are_whole (void)
{
  uint64_t random = random_seed (NUMBERINGS_SEED);

  for (size_t i = 0; i < TEST_COUNT (numberings); i++)
    break_off_everywhere (&numberings[i]);
  for (uint32_t i = 0; i < DRAWN_NUMBERINGS; i++) {
    Numbering numbering = {
      .first_id = (uint64_t)exp2 (random_unit (&random) * FIRST_ID_BITS_MAX) - 1,
      .id_step = 1 + (uint64_t)(random_unit (&random) * ID_STEP_MAX),
    };

    break_off_everywhere (&numbering);
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
  BurdockOptional resumed_after; /* id of the last event of an earlier run */
  const char *text;
  bool complete;
} EndCase;

static const EndCase end_cases[] = {
  { NO_ID, "", false },
  { NO_ID, ": comment\n\n", false },
  { NO_ID, "id: 1\ndata: a\n\n", true },
  { NO_ID, "id: 1\ndata: a\n\nid: 2\nda", false },
  { NO_ID, "id: 0\ndata: a\n\n", true },
  { NO_ID, "id: 0\ndata: a\n\nid: 1\nda", false },
  { NO_ID, "id: 18446744073709551616\ndata: a\n\n", true },
  { ID (7), "", true },
  { ID (7), "id: 8\n", false },
  { ID (0), "", true },
  { ID (0), "id: 1\n", false },
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

typedef struct {
  const char *text;
  bool valid;
  uint64_t number;
  const char *formatted;
} IdCase;

static const IdCase id_cases[] = {
  { "0", true, 0, "0" },
  { "00", true, 0, "0" },
  { " 12\t", true, 12, "12" },
  { "18446744073709551615", true, UINT64_MAX, "18446744073709551615" },
  { "18446744073709551616", false, 0, "none" },
  { "99999999999999999999999999", false, 0, "none" },
  { "", false, 0, "none" },
  { " ", false, 0, "none" },
  { "abc", false, 0, "none" },
  { "-1", false, 0, "none" },
  { "+1", false, 0, "none" },
  { "1 2", false, 0, "none" },
  { "1x", false, 0, "none" },
  { "0x10", false, 0, "none" },
};

/* Guards against text that is taken for a number, and against an id 0 that is taken for
 * none. */
static void
ids_are_numbers_or_none (void)
{
  for (size_t i = 0; i < TEST_COUNT (id_cases); i++) {
    const IdCase *test = &id_cases[i];
    BurdockOptional expected = { .is_set = test->valid, .value = test->number };
    char formatted[BURDOCK_OPTIONAL_BYTES];
    BurdockOptional id;

    if (burdock_optional_parse (test->text, strlen (test->text), &id) != test->valid ||
        !burdock_optional_equal (id, expected))
      CU_FAIL (test->text);
    burdock_optional_format (id, formatted);
    CU_ASSERT_STRING_EQUAL (formatted, test->formatted);
  }
}

static const Test tests[] = {
  { "an event is truncated, joined, lost or repeated",
    events_stay_complete_at_every_split },
  { "an event comes twice or is lost in a resumed stream", resumed_streams_are_whole },
  { "text is taken for an id, or the id 0 for none", ids_are_numbers_or_none },
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
