#include "event-stream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ID_FIELD "id:"

/** enum IdForm - what an event says of its id */
typedef enum {
  ID_MISSING = 1, /* no id, or an empty one, as in comments */
  ID_NUMBER,
  ID_UNREADABLE, /* not a number, or beyond 64 bits */
} IdForm;

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
  return stream->length_bytes == 0 && (stream->last_id.is_set || stream->is_past_last_id);
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

/* Form of the value of an id field, which ends before the end of its line. */
static IdForm
parse_id_field (const char *value, const char *line_end, BurdockOptional *out)
{
  const char *end = line_end > value && line_end[-1] == '\r' ? line_end - 1 : line_end;

  if (value + strspn (value, " \t") >= end)
    return ID_MISSING;
  return burdock_optional_parse (value, (size_t)(end - value), out) ? ID_NUMBER
                                                                    : ID_UNREADABLE;
}

/* Reads the id of a complete event, whose lines all end in LF. */
static IdForm
read_event_id (const char *event, uint32_t length_bytes, BurdockOptional *out)
{
  const char *line = event;
  const char *end = event + length_bytes;
  const char *line_end;

  *out = (BurdockOptional){ 0 };
  while ((line_end = memchr (line, '\n', (size_t)(end - line))) != NULL) {
    if ((size_t)(line_end - line) >= strlen (ID_FIELD) &&
        memcmp (line, ID_FIELD, strlen (ID_FIELD)) == 0)
      return parse_id_field (line + strlen (ID_FIELD), line_end, out);
    line = line_end + 1;
  }
  return ID_MISSING;
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
  BurdockOptional id;
  IdForm form = read_event_id (event, length_bytes, &id);

  if (form == ID_NUMBER) {
    if (!burdock_optional_is_above (id, stream->last_id))
      return 0;
    stream->last_id = id;
    stream->is_past_last_id = false;
    stream->idle_bytes = 0;
  } else if (form == ID_UNREADABLE) {
    stream->is_past_last_id = true;
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
