/**
 * DOC: traffic.h - fake environment for tests of one dispatcher or executor
 *
 * Records the calls of the object under test. The clock stands still until the test
 * advances @now_us. Linked with a fake store and a fake configuration.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "message.h"
#include "snapshot.h"
#include "store.h"

#define TRAFFIC_MODEL "m"
#define TRAFFIC_SERVICE "s"

/* Calls of each kind that are kept; later ones overwrite the oldest. */
#define TRAFFIC_LOG_MAX 64

#define TRAFFIC_US_PER_MS UINT64_C (1000)
#define TRAFFIC_US_PER_S UINT64_C (1000000)

/**
 * struct TrafficEnv - environment that records the calls of the object under test
 * @send_status: result of env->send; frames are recorded only while it is 0
 * @frame_count: frames sent
 * @frames: decoded frames; byte ranges point into @frame_data
 * @frame_to: addresses that the frames were sent to
 * @store_call_id: id of the last store call; @store_value and @store_if_version are of
 *   its first write
 */
typedef struct {
  BurdockEnv env;
  uint64_t now_us;
  uint64_t random_state;
  int send_status;
  uint32_t frame_count;
  BurdockMessage frames[TRAFFIC_LOG_MAX];
  uint8_t *frame_data[TRAFFIC_LOG_MAX];
  BurdockAddress frame_to[TRAFFIC_LOG_MAX];
  uint32_t delivery_count;
  BurdockDelivery deliveries[TRAFFIC_LOG_MAX];
  uint32_t engine_call_count;
  BurdockEngineCall engine_calls[TRAFFIC_LOG_MAX];
  uint32_t store_call_count;
  uint64_t store_call_id;
  char store_value[256];
  uint64_t store_if_version;
} TrafficEnv;

/** traffic_init() - sets the clock to 1 s and the callbacks; end with traffic_clear() */
void traffic_init (TrafficEnv *traffic);
void traffic_clear (TrafficEnv *traffic);

/** traffic_config() - configuration of traffic-config.c, not to be freed */
BurdockConfig *traffic_config (void);

/**
 * traffic_snapshot() - snapshot with @agents agents of the model pool and as many of the
 * service pool
 * Ids and IPv4 addresses are 1, 2, ... for the models and 101, 102, ... for the service;
 * all agents have the incarnation @incarnation.
 * Returns a snapshot with one reference.
 */
BurdockSnapshot *traffic_snapshot (uint32_t agents, uint64_t incarnation,
                                   uint64_t generation);

/** traffic_frame_count() - number of recorded frames of @type */
uint32_t traffic_frame_count (const TrafficEnv *traffic, uint32_t type);

/**
 * traffic_last_frame() - last recorded frame of @type, or NULL
 * @to: receives the address that it was sent to; may be NULL
 */
const BurdockMessage *traffic_last_frame (const TrafficEnv *traffic, uint32_t type,
                                          BurdockAddress *to);

#endif
