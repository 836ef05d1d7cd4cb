/**
 * DOC: fuzz-event-stream.c - splits arbitrary bytes into events
 *
 * The first byte gives the size of the parts in which the bytes arrive. The parser passes
 * on the same events as for all bytes at once. Each one ends with an empty line, and all
 * of them in turn are a part of the input.
 */
#include "event-stream.h"

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
  burdock_event_stream_clear (&whole);
  burdock_event_stream_clear (&parts);
  free (expected.text);
  free (events.text);
  return 0;
}
