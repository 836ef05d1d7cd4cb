/**
 * DOC: fuzz-event-stream.c - splits arbitrary bytes into events
 *
 * The first byte gives the size of the parts in which the bytes arrive. The parser passes
 * on the same events as for all bytes at once. Each one ends with an empty line, and all
 * of them in turn are a part of the input. A second, simple reader of lines and ids tells
 * which blocks are passed on and what the last id is.
 */
#include "event-stream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct Events - events that one parser has passed on
 * @text: all events in turn
 * @hash: of the events and their lengths
 */
typedef struct {
  char *text;
  size_t text_bytes;
  uint64_t hash;
  uint32_t count;
} Events;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

static int
add_event (void *ctx, const char *event, uint32_t length_bytes)
{
  Events *events = ctx;

  if (length_bytes == 0 || event[length_bytes - 1] != '\n' ||
      (length_bytes > 1 && event[length_bytes - 2] != '\n' &&
       event[length_bytes - 2] != '\r'))
    abort ();
  memcpy (events->text + events->text_bytes, event, length_bytes);
  events->text_bytes += length_bytes;
  events->hash = events->hash * 31 + length_bytes;
  events->count++;
  return 0;
}

/* Ends the process if the events are not a subsequence of the input. */
static void
check_order (const Events *events, const char *data, size_t size_bytes)
{
  size_t found = 0;

  for (size_t i = 0; i < size_bytes && found < events->text_bytes; i++)
    found += data[i] == events->text[found];
  if (found < events->text_bytes)
    abort ();
}

/**
 * struct Reader - the second reader
 * @has_last: a block with a number as its id was read; @last is the highest one
 * @past_last: a block whose id is no number was read since
 * @block_has_id: the block in progress has an id line
 * @block_has_number, @block_id: its id, if that is a number
 * @block_is_odd: its id is neither empty nor a number
 * @block_count: blocks to pass on
 */
typedef struct {
  bool has_last;
  unsigned long long last;
  bool past_last;
  bool block_has_id;
  bool block_has_number;
  bool block_is_odd;
  unsigned long long block_id;
  uint32_t block_count;
} Reader;

/* Reads the value of the first id line of a block, which is ended by a zero byte. */
static void
read_id (Reader *reader, char *value)
{
  char *end = value + strlen (value);

  while (end > value && strchr (" \t", end[-1]) != NULL)
    *--end = '\0';
  value += strspn (value, " \t");
  reader->block_has_id = true;
  if (*value == '\0')
    return;
  errno = 0;
  reader->block_id = strtoull (value, NULL, 10);
  reader->block_has_number =
      strspn (value, "0123456789") == strlen (value) && errno != ERANGE;
  reader->block_is_odd = !reader->block_has_number;
}

static void
end_block (Reader *reader)
{
  bool is_old =
      reader->block_has_number && reader->has_last && reader->block_id <= reader->last;

  if (!is_old) {
    reader->block_count++;
    reader->past_last =
        !reader->block_has_number && (reader->past_last || reader->block_is_odd);
    if (reader->block_has_number)
      reader->last = reader->block_id;
    reader->has_last |= reader->block_has_number;
  }
  reader->block_has_id = reader->block_has_number = reader->block_is_odd = false;
}

/* Reads one line without its end; an empty one ends a block. */
static void
read_line (Reader *reader, char *line, size_t line_bytes)
{
  if (line_bytes == 0) {
    end_block (reader);
  } else if (!reader->block_has_id && strncmp (line, "id:", 3) == 0) {
    /* A value with a zero byte is no number. */
    if (strlen (line) < line_bytes)
      memcpy (line, "id:x", sizeof "id:x");
    read_id (reader, line + 3);
  }
}

static void
read_lines (Reader *reader, const char *text, size_t text_bytes)
{
  char *line = malloc (text_bytes + 1);
  size_t start = 0;

  for (size_t i = 0; i < text_bytes; i++) {
    size_t line_bytes = i - start;

    if (text[i] != '\n')
      continue;
    memcpy (line, text + start, line_bytes);
    if (line_bytes > 0 && line[line_bytes - 1] == '\r')
      line_bytes--;
    line[line_bytes] = '\0';
    read_line (reader, line, line_bytes);
    start = i + 1;
  }
  free (line);
}

/* Ends the process if the parser and the second reader disagree. */
static void
check_reading (const BurdockEventStream *stream, const Events *events, const char *text,
               size_t text_bytes)
{
  Reader reader = { 0 };

  read_lines (&reader, text, text_bytes);
  if (events->count != reader.block_count || stream->last_id.is_set != reader.has_last ||
      (reader.has_last && stream->last_id.value != reader.last) ||
      stream->is_past_last_id != reader.past_last)
    abort ();
}

static int
feed (BurdockEventStream *stream, const char *data, size_t size_bytes, size_t part_bytes,
      Events *events)
{
  int status = 0;

  for (size_t at = 0; at < size_bytes && status == 0; at += part_bytes) {
    size_t left_bytes = size_bytes - at;

    status = burdock_event_stream_feed (stream, data + at,
                                        (uint32_t)(left_bytes < part_bytes ? left_bytes
                                                                           : part_bytes),
                                        add_event, events);
  }
  return status;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  const char *text = (const char *)data + 1;
  size_t text_bytes = size_bytes - 1;
  BurdockEventStream whole = { 0 };
  BurdockEventStream parts = { 0 };
  Events expected = { 0 };
  Events events = { 0 };

  /* Above the largest event, the limit is met at another byte for each size of a part. */
  if (size_bytes < 2 || size_bytes >= BURDOCK_STREAM_EVENT_MAX_BYTES)
    return 0;
  expected.text = malloc (text_bytes);
  events.text = malloc (text_bytes);
  if (feed (&whole, text, text_bytes, text_bytes, &expected) != 0 ||
      feed (&parts, text, text_bytes, data[0] + 1u, &events) != 0)
    abort ();
  if (events.count != expected.count || events.hash != expected.hash ||
      events.text_bytes != expected.text_bytes ||
      memcmp (events.text, expected.text, events.text_bytes) != 0 ||
      !burdock_optional_equal (whole.last_id, parts.last_id) ||
      whole.is_past_last_id != parts.is_past_last_id ||
      burdock_event_stream_is_complete (&whole) !=
          burdock_event_stream_is_complete (&parts))
    abort ();
  check_order (&events, text, text_bytes);
  check_reading (&whole, &expected, text, text_bytes);
  burdock_event_stream_clear (&whole);
  burdock_event_stream_clear (&parts);
  free (expected.text);
  free (events.text);
  return 0;
}
