/**
 * DOC: event-stream.h - splits a text/event-stream body into whole events
 *
 * Only whole events are passed on, so that a stream that is continued elsewhere never
 * joins two halves of an event.
 */
#ifndef BURDOCK_EVENT_STREAM_H
#define BURDOCK_EVENT_STREAM_H

#include "burdock.h"

/* Events above this size end the stream. */
#define BURDOCK_STREAM_EVENT_MAX_BYTES (1u << 20)

/**
 * struct BurdockEventStream - parser of one answer
 * @last_id: id of the last whole event passed on, 0 before the first one
 */
typedef struct {
  char *buffer;
  uint32_t length_bytes;
  uint32_t capacity_bytes;
  uint64_t last_id;
} BurdockEventStream;

/** typedef BurdockEventStreamSink - receives one whole event, its empty line included */
typedef void (*BurdockEventStreamSink) (void *ctx, const char *event,
                                        uint32_t length_bytes);

/** burdock_event_stream_clear() - releases the buffer and forgets an incomplete event */
void burdock_event_stream_clear (BurdockEventStream *stream);

/** burdock_event_stream_restart() - drops an incomplete event; ids go on */
void burdock_event_stream_restart (BurdockEventStream *stream);

/**
 * burdock_event_stream_add() - takes bytes and passes on the events that became whole
 * Events whose id is not above @last_id were delivered before and are dropped. Returns 0;
 * -EMSGSIZE for an event above the bound; -ENOMEM.
 */
int burdock_event_stream_add (BurdockEventStream *stream, const char *data,
                              uint32_t length_bytes, BurdockEventStreamSink sink,
                              void *ctx);

/** burdock_event_stream_has_rest() - whether an incomplete event is left */
bool burdock_event_stream_has_rest (const BurdockEventStream *stream);

#endif
