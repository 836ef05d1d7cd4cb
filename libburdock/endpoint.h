/**
 * DOC: endpoint.h - sends and receives frames on traffic connections
 *
 * State shared by dispatcher and executor: identity, frame keys, timeline and counters.
 */
#ifndef BURDOCK_ENDPOINT_H
#define BURDOCK_ENDPOINT_H

#include "counters.h"
#include "message.h"
#include "timeline.h"

typedef struct {
  BurdockEnv env;
  char name[BURDOCK_NAME_BYTES];
  uint64_t member_id;
  uint64_t incarnation;
  uint8_t key[BURDOCK_KEY_BYTES];
  uint8_t previous_key[BURDOCK_KEY_BYTES];
  BurdockFrameKeys keys;
  BurdockTimeline *timeline;
  BurdockCounters counters;
} BurdockEndpoint;

/**
 * burdock_endpoint_init() - initialises a zeroed endpoint from copies of the arguments
 * The endpoint must not be moved afterwards, as it holds pointers to its own members.
 */
void burdock_endpoint_init (BurdockEndpoint *endpoint, const BurdockSettings *settings,
                            const BurdockEnv *env);

/** burdock_endpoint_clear() - frees the timeline, not @endpoint itself */
void burdock_endpoint_clear (BurdockEndpoint *endpoint);

static inline uint64_t
burdock_endpoint_now (const BurdockEndpoint *endpoint)
{
  return endpoint->env.now_us (endpoint->env.ctx);
}

static inline uint64_t
burdock_endpoint_random (const BurdockEndpoint *endpoint)
{
  return endpoint->env.random_u64 (endpoint->env.ctx);
}

/**
 * burdock_endpoint_send() - completes the header, encodes the message and sends it
 * @message: the caller sets type and target incarnation of the header
 * Returns 0, or a negative error number if the frame was not queued and never will be.
 */
int burdock_endpoint_send (BurdockEndpoint *endpoint, BurdockAddress to,
                           BurdockMessage *message);

/**
 * burdock_endpoint_decode() - decodes a frame and counts it; logs a failure
 * Returns 0 or the error of burdock_message_decode().
 */
int burdock_endpoint_decode (BurdockEndpoint *endpoint, BurdockAddress from,
                             const uint8_t *frame, uint32_t length_bytes,
                             BurdockMessage *out);

#endif
