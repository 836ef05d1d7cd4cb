/**
 * DOC: control.c - control object: passes ticks, messages and results to its controllers
 */
#include "controller.h"

#include "error.h"
#include "report.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_TIMELINE_EVENTS 4096
#define CONTROLLERS_MAX 12

typedef BurdockController (*ControllerConstructor) (BurdockCore *core, uint32_t index);

struct BurdockControl {
  BurdockCore core;
  BurdockEnv env;
  uint32_t controller_count;
  BurdockController controllers[CONTROLLERS_MAX];
  uint32_t lifecycle_index;
  uint32_t config_index;
};

/* The publish controller comes last so that it publishes the changes of the same tick. */
static const ControllerConstructor entry_controllers[] = {
  burdock_lifecycle_controller,     burdock_config_controller,
  burdock_instance_list_controller, burdock_membership_controller,
  burdock_lease_controller,         burdock_limit_controller,
  burdock_rebalance_controller,     burdock_publish_controller,
};

static const ControllerConstructor agent_controllers[] = {
  burdock_lifecycle_controller, burdock_config_controller, burdock_membership_controller,
  burdock_order_controller,     burdock_rank_controller,   burdock_publish_controller,
};

static void
add_controllers (BurdockControl *control)
{
  bool entry = control->core.board.self.settings.role == BURDOCK_ROLE_ENTRY;
  const ControllerConstructor *table = entry ? entry_controllers : agent_controllers;
  uint32_t count = entry ? sizeof entry_controllers / sizeof entry_controllers[0]
                         : sizeof agent_controllers / sizeof agent_controllers[0];

  for (uint32_t i = 0; i < count; i++) {
    if (table[i] == burdock_config_controller)
      control->config_index = i;
    if (table[i] == burdock_lifecycle_controller)
      control->lifecycle_index = i;
    control->controllers[i] = table[i](&control->core, i);
  }
  control->controller_count = count;
}

BurdockControl *
burdock_control_new (const BurdockSettings *settings, const BurdockEnv *env)
{
  BurdockControl *control = calloc (1, sizeof *control);
  BurdockCore *core = &control->core;

  control->env = *env;
  core->env = &control->env;
  core->timeline = burdock_timeline_new (core->env, CONTROL_TIMELINE_EVENTS);
  core->store = burdock_store_new (core->env, &core->counters);
  burdock_blackboard_init (&core->board, settings, burdock_core_now (core));
  if (settings->has_key)
    core->keys.current = core->board.self.settings.key;
  if (settings->has_previous_key)
    core->keys.previous = core->board.self.settings.previous_key;
  add_controllers (control);
  return control;
}

void
burdock_control_free (BurdockControl *control)
{
  if (control == NULL)
    return;
  burdock_store_free (control->core.store);
  for (uint32_t i = 0; i < control->controller_count; i++)
    control->controllers[i].free (control->controllers[i].ctx);
  burdock_blackboard_clear (&control->core.board);
  burdock_timeline_free (control->core.timeline);
  free (control);
}

uint64_t
burdock_control_tick (BurdockControl *control)
{
  uint64_t now_us = burdock_core_now (&control->core);
  uint64_t next_us = burdock_store_tick (control->core.store);
  uint64_t store_due_us;

  for (uint32_t i = 0; i < control->controller_count; i++) {
    const BurdockController *controller = &control->controllers[i];
    uint64_t due_us;

    if (controller->tick == NULL)
      continue;
    due_us = controller->tick (controller->ctx, now_us);
    if (due_us < next_us)
      next_us = due_us;
  }
  /* The controllers may have started calls that wait for the rate budget of the store. */
  store_due_us = burdock_store_tick (control->core.store);
  return store_due_us < next_us ? store_due_us : next_us;
}

static int
check_target (BurdockControl *control, const BurdockMessage *message)
{
  const BurdockSelf *self = &control->core.board.self;
  uint64_t target = message->header.target_incarnation;

  if (target != 0 && target != self->settings.incarnation)
    return -ESTALE;
  if (message->header.sender_id == self->member_id &&
      message->header.sender_incarnation == self->settings.incarnation)
    return -ESTALE;
  return 0;
}

int
burdock_control_receive (BurdockControl *control, BurdockAddress from,
                         const uint8_t *frame, uint32_t length_bytes)
{
  BurdockCore *core = &control->core;
  const BurdockEnv *env = core->env;
  BurdockMessage message;
  BurdockError error;
  int status =
      burdock_message_decode (frame, length_bytes, &core->keys, &message, &error);

  burdock_count (&core->counters, BURDOCK_COUNTER_FRAMES_RECEIVED, 1);
  if (status < 0) {
    burdock_error_set_peer (&error, from);
    burdock_timeline_add_error (core->timeline, &error);
    burdock_count (&core->counters, BURDOCK_COUNTER_FRAMES_REFUSED, 1);
    return status;
  }
  status = check_target (control, &message);
  if (status < 0)
    return status;
  burdock_hlc_observe (burdock_timeline_hlc (core->timeline), message.header.hlc,
                       env->wall_us (env->ctx));
  status = -ENOSYS;
  for (uint32_t i = 0; i < control->controller_count; i++) {
    const BurdockController *controller = &control->controllers[i];

    if (controller->message != NULL &&
        controller->message (controller->ctx, from, &message))
      status = 0;
  }
  return status;
}

void
burdock_control_store_done (BurdockControl *control, const BurdockStoreResult *result)
{
  burdock_store_handle_result (control->core.store, result);
}

void
burdock_control_engine_event (BurdockControl *control, const BurdockEngineEvent *event)
{
  uint64_t index = event->id >> BURDOCK_CALL_INDEX_SHIFT;

  if (index < control->controller_count && control->controllers[index].engine != NULL)
    control->controllers[index].engine (control->controllers[index].ctx, event);
}

int
burdock_control_apply (BurdockControl *control, uint64_t handle,
                       const char *operator_name, BurdockBytes body)
{
  return burdock_config_controller_apply (control->controllers[control->config_index].ctx,
                                          handle, operator_name, NULL, body);
}

int
burdock_control_apply_attempt (BurdockControl *control, uint64_t handle,
                               const char *operator_name, const char *attempt_id,
                               BurdockBytes body)
{
  if (attempt_id == NULL)
    return -EINVAL;
  return burdock_config_controller_apply (control->controllers[control->config_index].ctx,
                                          handle, operator_name, attempt_id, body);
}

int
burdock_control_settle (BurdockControl *control, uint64_t handle, const char *attempt_id)
{
  return burdock_config_controller_settle (
      control->controllers[control->config_index].ctx, handle, attempt_id);
}

void
burdock_control_leave (BurdockControl *control)
{
  burdock_lifecycle_controller_leave (control->controllers[control->lifecycle_index].ctx);
}

bool
burdock_control_drained (const BurdockControl *control, uint32_t in_flight)
{
  return burdock_lifecycle_controller_drained (
      control->controllers[control->lifecycle_index].ctx, in_flight);
}

void
burdock_control_set_usage (BurdockControl *control, const BurdockUsage *usage)
{
  control->core.board.usage = *usage;
}

char *
burdock_control_metrics (BurdockControl *control)
{
  char *counters = burdock_counters_text (&control->core.counters, "control");
  char *groups = burdock_groups_text (&control->core.board.groups);
  char *text = NULL;

  if (counters == NULL || groups == NULL ||
      asprintf (&text, "%s%s", counters, groups) < 0)
    text = NULL;
  free (counters);
  free (groups);
  return text;
}

char *
burdock_control_report (BurdockControl *control, const char *what)
{
  return burdock_report_json (&control->core, what);
}
