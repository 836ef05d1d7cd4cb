/**
 * DOC: event-stream.h - splits a text/event-stream body into complete events
 *
 * Only complete events are passed on, so that a stream that is resumed at another
 * upstream never joins parts of two events.
 */
#ifndef BURDOCK_EVENT_STREAM_H
#define BURDOCK_EVENT_STREAM_H

#include "burdock.h"

/* Maximum size of an event; a longer one is an error. */
#define BURDOCK_STREAM_EVENT_MAX_BYTES (1u << 20)

/**
 * struct BurdockEventStream - incremental parser of one answer
 * @last_id: id of the last complete event with an id, 0 before the first one
 *
 * Initialize with zeros; release with burdock_event_stream_clear().
 */
typedef struct {
  char *buffer;
  uint32_t length_bytes;
  uint32_t capacity_bytes;
  uint64_t last_id;
} BurdockEventStream;

/** typedef BurdockEventStreamSink - receives one complete event, including its
 * terminating empty line; the event is valid during the call only */
typedef void (*BurdockEventStreamSink) (void *ctx, const char *event,
                                        uint32_t length_bytes);

/** burdock_event_stream_clear() - releases the buffer and resets the parser */
void burdock_event_stream_clear (BurdockEventStream *stream);

/** burdock_event_stream_restart() - discards an incomplete event; keeps
 * @last_id, so that repeated events are dropped */
void burdock_event_stream_restart (BurdockEventStream *stream);

/**
 * burdock_event_stream_feed() - parses bytes and passes on the events that they complete
 *
 * Events whose id is not above @last_id were already delivered and are dropped. Returns
 * 0; -EMSGSIZE if the buffered bytes would exceed BURDOCK_STREAM_EVENT_MAX_BYTES;
 * -ENOMEM.
 */
int burdock_event_stream_feed (BurdockEventStream *stream, const char *data,
                               uint32_t length_bytes, BurdockEventStreamSink sink,
                               void *ctx);

/** burdock_event_stream_has_partial() - whether an incomplete event is buffered */
bool burdock_event_stream_has_partial (const BurdockEventStream *stream);

#endif
