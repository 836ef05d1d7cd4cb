#include "event-stream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL_BASE 10
#define ID_FIELD "id:"

void
burdock_event_stream_clear (BurdockEventStream *stream)
{
  free (stream->buffer);
  *stream = (BurdockEventStream){ 0 };
}

void
burdock_event_stream_restart (BurdockEventStream *stream)
{
  stream->length_bytes = stream->idle_bytes = 0;
  stream->scanned_bytes = stream->searched_bytes = 0;
}

bool
burdock_event_stream_has_partial (const BurdockEventStream *stream)
{
  return stream->length_bytes > 0;
}

bool
burdock_event_stream_is_complete (const BurdockEventStream *stream)
{
  return stream->length_bytes == 0 && stream->last_id > 0;
}

/* Length of the first event at @offset of the buffer, including its terminating empty
 * line; 0 if it is incomplete. Lines end in LF or CR LF. Each byte is read once. */
static uint32_t
event_length (BurdockEventStream *stream, uint32_t offset)
{
  const char *data = stream->buffer + offset;
  uint32_t length_bytes = stream->length_bytes - offset;
  const char *end;

  while ((end = memchr (data + stream->searched_bytes, '\n',
                        length_bytes - stream->searched_bytes)) != NULL) {
    uint32_t line = stream->scanned_bytes;
    uint32_t line_bytes = (uint32_t)(end - data) - line;

    stream->scanned_bytes = stream->searched_bytes = (uint32_t)(end - data) + 1;
    if (line_bytes == 0 || (line_bytes == 1 && data[line] == '\r'))
      return stream->scanned_bytes;
  }
  stream->searched_bytes = length_bytes;
  return 0;
}

/* Number at the start of a field, after spaces; 0 for none and for one beyond 64 bits. */
static uint64_t
parse_number (const char *at, const char *end)
{
  uint64_t number = 0;

  while (at < end && *at == ' ')
    at++;
  for (; at < end && *at >= '0' && *at <= '9'; at++) {
    uint64_t digit = (uint64_t)(*at - '0');

    if (number > (UINT64_MAX - digit) / DECIMAL_BASE)
      return 0;
    number = number * DECIMAL_BASE + digit;
  }
  return number;
}

/* Id of an event, 0 if it has none. */
static uint64_t
event_id (const char *event, uint32_t length_bytes)
{
  const char *line = event;
  const char *end = event + length_bytes;

  while (line < end) {
    const char *next = memchr (line, '\n', (size_t)(end - line));

    if ((size_t)(end - line) >= strlen (ID_FIELD) &&
        memcmp (line, ID_FIELD, strlen (ID_FIELD)) == 0)
      return parse_number (line + strlen (ID_FIELD), end);
    if (next == NULL)
      return 0;
    line = next + 1;
  }
  return 0;
}

static int
append (BurdockEventStream *stream, const char *data, uint32_t length_bytes)
{
  uint32_t needed = stream->length_bytes + length_bytes + 1;

  if (needed > BURDOCK_STREAM_EVENT_MAX_BYTES)
    return -EMSGSIZE;
  if (needed > stream->capacity_bytes) {
    char *grown = realloc (stream->buffer, (size_t)needed * 2);

    if (grown == NULL)
      return -ENOMEM;
    stream->buffer = grown;
    stream->capacity_bytes = needed * 2;
  }
  memcpy (stream->buffer + stream->length_bytes, data, length_bytes);
  stream->length_bytes += length_bytes;
  stream->buffer[stream->length_bytes] = '\0';
  return 0;
}

static int
handle_event (BurdockEventStream *stream, const char *event, uint32_t length_bytes,
              BurdockEventStreamSink sink, void *ctx)
{
  uint64_t id = event_id (event, length_bytes);

  if (id != 0 && id <= stream->last_id)
    return 0;
  if (id != 0) {
    stream->last_id = id;
    stream->idle_bytes = 0;
  }
  return sink (ctx, event, length_bytes);
}

int
burdock_event_stream_feed (BurdockEventStream *stream, const char *data,
                           uint32_t length_bytes, BurdockEventStreamSink sink, void *ctx)
{
  int status = append (stream, data, length_bytes);
  uint32_t offset = 0;
  uint32_t length;

  if (status < 0)
    return status;
  stream->idle_bytes += length_bytes;
  while (status == 0 && (length = event_length (stream, offset)) > 0) {
    status = handle_event (stream, stream->buffer + offset, length, sink, ctx);
    offset += length;
    stream->scanned_bytes = stream->searched_bytes = 0;
  }
  stream->length_bytes -= offset;
  memmove (stream->buffer, stream->buffer + offset, stream->length_bytes);
  if (status < 0)
    return status;
  return stream->idle_bytes <= BURDOCK_STREAM_EVENT_MAX_BYTES ? 0 : -EMSGSIZE;
}
