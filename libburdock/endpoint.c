#include "endpoint.h"

#include "error.h"

#include <stdlib.h>
#include <string.h>

#define TRAFFIC_TIMELINE_EVENTS 2048

void
burdock_endpoint_init (BurdockEndpoint *endpoint, const BurdockSettings *settings,
                       const BurdockEnv *env)
{
  endpoint->env = *env;
  burdock_copy_name (endpoint->name, sizeof endpoint->name, settings->name);
  endpoint->member_id = burdock_member_id (settings->name);
  endpoint->incarnation = settings->incarnation;
  memcpy (endpoint->key, settings->key, sizeof endpoint->key);
  memcpy (endpoint->previous_key, settings->previous_key, sizeof endpoint->previous_key);
  if (settings->has_key)
    endpoint->keys.current = endpoint->key;
  if (settings->has_previous_key)
    endpoint->keys.previous = endpoint->previous_key;
  endpoint->timeline = burdock_timeline_new (&endpoint->env, TRAFFIC_TIMELINE_EVENTS);
}

void
burdock_endpoint_clear (BurdockEndpoint *endpoint)
{
  burdock_timeline_free (endpoint->timeline);
}

int
burdock_endpoint_send (BurdockEndpoint *endpoint, BurdockAddress to,
                       BurdockMessage *message)
{
  const BurdockEnv *env = &endpoint->env;
  uint8_t *frame = NULL;
  uint32_t length_bytes = 0;
  int status;

  message->header.hlc = burdock_hlc_now (burdock_timeline_hlc (endpoint->timeline),
                                         env->wall_us (env->ctx));
  message->header.sender_id = endpoint->member_id;
  message->header.sender_incarnation = endpoint->incarnation;
  status = burdock_message_encode (message, &endpoint->keys, &frame, &length_bytes);
  if (status < 0)
    return status;
  status = env->send (env->ctx, to, frame, length_bytes);
  free (frame);
  if (status < 0)
    return status;
  burdock_count (&endpoint->counters, BURDOCK_COUNTER_FRAMES_SENT, 1);
  burdock_count (&endpoint->counters, BURDOCK_COUNTER_FRAME_BYTES_SENT, length_bytes);
  return 0;
}

int
burdock_endpoint_decode (BurdockEndpoint *endpoint, BurdockAddress from,
                         const uint8_t *frame, uint32_t length_bytes, BurdockMessage *out)
{
  const BurdockEnv *env = &endpoint->env;
  BurdockError error;
  int status = burdock_message_decode (frame, length_bytes, &endpoint->keys, out, &error);

  burdock_count (&endpoint->counters, BURDOCK_COUNTER_FRAMES_RECEIVED, 1);
  if (status < 0) {
    burdock_error_set_peer (&error, from);
    burdock_timeline_add_error (endpoint->timeline, &error);
    burdock_count (&endpoint->counters, BURDOCK_COUNTER_FRAMES_REFUSED, 1);
    return status;
  }
  burdock_hlc_observe (burdock_timeline_hlc (endpoint->timeline), out->header.hlc,
                       env->wall_us (env->ctx));
  return 0;
}
