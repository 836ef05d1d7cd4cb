/**
 * DOC: event-stream.h - splits a text/event-stream body into complete events
 *
 * Only complete events are passed on, so that a stream that is resumed at another
 * upstream never joins parts of two events.
 */
#ifndef BURDOCK_EVENT_STREAM_H
#define BURDOCK_EVENT_STREAM_H

#include "burdock.h"
#include "optional.h"

/* Maximum size of an event, and of all bytes between two events with new ids; more is an
 * error. */
#define BURDOCK_STREAM_EVENT_MAX_BYTES (1u << 20)

/**
 * struct BurdockEventStream - incremental parser of one answer
 * @scanned_bytes: bytes of complete lines in the buffer that do not end an event
 * @searched_bytes: bytes of the buffer that were searched for the end of a line
 * @idle_bytes: bytes received since the last event with a new id
 * @last_id: highest id of a complete event
 * @is_past_last_id: events whose ids are not numbers were passed on since the one with
 *   @last_id, so that the stream cannot be resumed after what was passed on
 *
 * Initialize with zeros, or with the @last_id of the events that were passed on before;
 * release with burdock_event_stream_clear().
 */
typedef struct {
  char *buffer;
  uint32_t length_bytes;
  uint32_t capacity_bytes;
  uint32_t scanned_bytes;
  uint32_t searched_bytes;
  uint32_t idle_bytes;
  BurdockOptional last_id;
  bool is_past_last_id;
} BurdockEventStream;

/** typedef BurdockEventStreamSink - receives one complete event, including its
 * terminating empty line; the event is valid during the call only. Returns 0, or a
 * negative error, which ends the feed. Must not clear the parser. */
typedef int (*BurdockEventStreamSink) (void *ctx, const char *event,
                                       uint32_t length_bytes);

/** burdock_event_stream_clear() - releases the buffer and resets the parser */
void burdock_event_stream_clear (BurdockEventStream *stream);

/** burdock_event_stream_restart() - discards an incomplete event; keeps
 * @last_id, so that repeated events are dropped, and @is_past_last_id */
void burdock_event_stream_restart (BurdockEventStream *stream);

/**
 * burdock_event_stream_feed() - parses bytes and passes on the events that they complete
 *
 * Events whose id is not above @last_id were already delivered and are dropped; blocks
 * without an id, such as comments, and events whose id is not a number are passed on.
 * Returns 0; -EMSGSIZE if more than
 * BURDOCK_STREAM_EVENT_MAX_BYTES arrive without an event that has a new id; -ENOMEM; or
 * the error of @sink, after which no further event is passed on.
 */
int burdock_event_stream_feed (BurdockEventStream *stream, const char *data,
                               uint32_t length_bytes, BurdockEventStreamSink sink,
                               void *ctx);

/** burdock_event_stream_has_partial() - whether an incomplete event is buffered */
bool burdock_event_stream_has_partial (const BurdockEventStream *stream);

/**
 * burdock_event_stream_is_complete() - whether a stream may end here
 *
 * An answer without a length ends with its connection, also when its upstream has ended.
 * A stream that ends within an event, or before any event, was broken off.
 */
bool burdock_event_stream_is_complete (const BurdockEventStream *stream);

#endif
