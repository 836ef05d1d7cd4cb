/**
 * DOC: controller.h - interface and shared services of the controllers of a process
 *
 * A controller has one task. It reads the whole blackboard, writes its own section, and
 * acts through &BurdockCore. Controllers never call each other.
 */
#ifndef BURDOCK_CONTROLLER_H
#define BURDOCK_CONTROLLER_H

#include "blackboard.h"
#include "counters.h"
#include "store.h"
#include "timeline.h"

/**
 * struct BurdockCore - services that the control object shares with its controllers
 * @keys: keys of the frame MAC
 * @next_call_id: last id of an engine call, without the index of its controller
 */
typedef struct {
  const BurdockEnv *env;
  BurdockBlackboard board;
  BurdockTimeline *timeline;
  BurdockCounters counters;
  BurdockStore *store;
  BurdockFrameKeys keys;
  uint64_t next_call_id;
} BurdockCore;

/** burdock_core_now() - monotonic time in microseconds */
static inline uint64_t
burdock_core_now (const BurdockCore *core)
{
  return core->env->now_us (core->env->ctx);
}

static inline uint64_t
burdock_core_random (BurdockCore *core)
{
  return core->env->random_u64 (core->env->ctx);
}

/**
 * burdock_core_send() - sends a message
 * @message: its header is filled in, except type and target incarnation
 * Returns 0, or the error of burdock_message_encode() or env->send. A message may also be
 * lost after a return of 0.
 */
int burdock_core_send (BurdockCore *core, BurdockAddress to, BurdockMessage *message);

/**
 * struct BurdockController - one controller
 * @tick: runs due work and returns the next due time on the now_us clock
 * @message: receives every message; returns true if it handled this one
 * @engine: receives the events of engine calls that this controller started; agents only
 * All functions except @free may be NULL.
 */
typedef struct {
  const char *name;
  void *ctx;
  uint64_t (*tick) (void *ctx, uint64_t now_us);
  bool (*message) (void *ctx, BurdockAddress from, const BurdockMessage *message);
  void (*engine) (void *ctx, const BurdockEngineEvent *event);
  void (*free) (void *ctx);
} BurdockController;

/* Due time of a controller without pending work. */
#define BURDOCK_NEVER_US UINT64_MAX

/* Ids of engine calls carry the index of the controller in their upper 8 bits. */
#define BURDOCK_CALL_INDEX_SHIFT 56

/**
 * burdock_core_start_engine_call() - starts an engine call for a controller
 * @controller_index: index of the controller that receives the events of the call
 * @call: its id is filled in
 * Returns the result of env->engine.
 */
int burdock_core_start_engine_call (BurdockCore *core, uint32_t controller_index,
                                    BurdockEngineCall *call);

/* Constructors; @index is the position in the controllers of the process. */
BurdockController burdock_lifecycle_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_config_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_membership_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_instance_list_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_lease_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_rebalance_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_rank_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_order_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_limit_controller (BurdockCore *core, uint32_t index);
BurdockController burdock_publish_controller (BurdockCore *core, uint32_t index);

/* Functions of the public interface that one controller implements. */
int burdock_config_controller_apply (void *ctx, uint64_t handle,
                                     const char *operator_name, const char *attempt_id,
                                     BurdockBytes body);
int burdock_config_controller_settle (void *ctx, uint64_t handle, const char *attempt_id);
void burdock_lifecycle_controller_leave (void *ctx);
bool burdock_lifecycle_controller_drained (const void *ctx, uint32_t in_flight);

#endif
