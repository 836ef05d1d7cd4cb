#include "control-fleet.h"
#include "message.h"
#include "test.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_US (10 * SIM_S)
#define HEAL_US (30 * SIM_S)

static const ControlFleetSize size = {
  .entries = 9,
  .agents = 19,
  .domains = 3,
  .workspaces = 2,
};

/* State of @name as process @observer reports it, in @out. */
static void
reported_state (Sim *sim, uint32_t observer, const char *name, char *out)
{
  char *text = burdock_control_report (sim->nodes[observer]->control, "members");
  json_t *root = json_loads (text, 0, NULL);
  const json_t *members = json_object_get (root, "members");

  out[0] = '\0';
  for (size_t i = 0; i < json_array_size (members); i++) {
    const json_t *member = json_array_get (members, i);
    const char *state = json_string_value (json_object_get (member, "state"));

    if (state != NULL &&
        strcmp (json_string_value (json_object_get (member, "name")), name) == 0)
      snprintf (out, 32, "%s", state);
  }
  json_decref (root);
  free (text);
}

/* Number of living processes that do not see @node in @state. */
static uint32_t
dissenters (Sim *sim, const SimNode *node, const char *state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->node_count; i++) {
    char seen[32];

    if (sim->nodes[i] == node || !sim->nodes[i]->alive)
      continue;
    reported_state (sim, i, node->settings.name, seen);
    count += strcmp (seen, state) != 0;
  }
  return count;
}

static void
all_members_know_each_other (void)
{
  Sim *sim = control_fleet_new (1, &size);

  sim->network.loss_per_mille = 20;
  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t i = 0; i < sim->node_count; i++)
    CU_ASSERT_EQUAL (dissenters (sim, sim->nodes[i], "alive"), 0);
  sim_free (sim);
}

static void
loss_removes_nobody (void)
{
  Sim *sim = control_fleet_new (2, &size);

  sim->network.loss_per_mille = 20;
  sim_run_until (sim, sim->now_us + 300 * SIM_S);
  CU_ASSERT_EQUAL (control_fleet_counter (sim, "members_removed_total"), 0);
  sim_free (sim);
}

static void
dead_member_is_removed_by_all (void)
{
  Sim *sim = control_fleet_new (3, &size);

  sim_run_until (sim, sim->now_us + SETTLE_US);
  sim_stop (sim->nodes[12]);
  sim_run_until (sim, sim->now_us + HEAL_US);
  CU_ASSERT_EQUAL (dissenters (sim, sim->nodes[12], "removed"), 0);
  sim_free (sim);
}

static void
cut_domain_is_suspected_and_comes_back (void)
{
  Sim *sim = control_fleet_new (4, &size);

  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t domain = 0; domain < 2; domain++)
    sim->domain_cut[domain][2] = sim->domain_cut[2][domain] = true;
  sim_run_until (sim, sim->now_us + 120 * SIM_S);
  CU_ASSERT_EQUAL (control_fleet_counter (sim, "members_removed_total"), 0);
  memset (sim->domain_cut, 0, sizeof sim->domain_cut);
  sim_run_until (sim, sim->now_us + HEAL_US);
  for (uint32_t i = 0; i < sim->node_count; i++)
    CU_ASSERT_EQUAL (dissenters (sim, sim->nodes[i], "alive"), 0);
  sim_free (sim);
}

/* A single process hears from a peer of another member's state. */
static void
tell (Sim *sim, uint32_t observer, uint32_t sender, const SimNode *about, uint32_t state)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockHeartbeatMessage *beat = &message->heartbeat;
  const BurdockSettings *from = &sim->nodes[sender]->settings;
  uint8_t *frame;
  uint32_t length_bytes;

  message->header.type = BURDOCK_MSG_HEARTBEAT;
  message->header.sender_id = burdock_member_id (from->name);
  message->header.sender_incarnation = from->incarnation;
  beat->update_count = 1;
  beat->updates[0] = (BurdockMemberRecord){
    .id = burdock_member_id (about->settings.name),
    .incarnation = about->settings.incarnation,
    .heartbeat_sequence = 100,
    .role = about->settings.role,
    .state = state,
    .control_address = about->settings.control_address,
  };
  snprintf (beat->updates[0].name, sizeof beat->updates[0].name, "%s",
            about->settings.name);
  burdock_message_encode (message, NULL, &frame, &length_bytes);
  burdock_control_receive (sim->nodes[observer]->control, from->control_address, frame,
                           length_bytes);
  free (frame);
  free (message);
}

static void
differing_views_converge (void)
{
  Sim *sim = control_fleet_new (5, &size);
  char seen[32];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  tell (sim, 20, 3, sim->nodes[15], BURDOCK_MEMBER_REMOVED);
  reported_state (sim, 20, sim->nodes[15]->settings.name, seen);
  CU_ASSERT_STRING_EQUAL (seen, "removed");
  sim_run_until (sim, sim->now_us + HEAL_US);
  CU_ASSERT_EQUAL (dissenters (sim, sim->nodes[15], "alive"), 0);
  sim_free (sim);
}

static void
restart_within_a_second_is_a_new_life (void)
{
  Sim *sim = control_fleet_new (6, &size);
  SimNode *node = sim->nodes[15];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t i = 0; i < 3; i++) {
    sim_stop (node);
    sim_run_until (sim, sim->now_us + 100 * SIM_MS);
    sim_start (node);
    sim_run_until (sim, sim->now_us + 100 * SIM_MS);
  }
  sim_run_until (sim, sim->now_us + HEAL_US);
  CU_ASSERT_EQUAL (dissenters (sim, node, "alive"), 0);
  sim_free (sim);
}

/* Everyone else has heard the notice and spread it while no message got through. */
static void
missed_leaving_notice_is_repeated (void)
{
  Sim *sim = control_fleet_new (7, &size);
  SimNode *node = sim->nodes[15];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  sim->network.loss_per_mille = 1000;
  for (uint32_t i = 0; i < sim->node_count; i++) {
    if (sim->nodes[i] != node)
      tell (sim, i, i == 3 ? 4 : 3, node, BURDOCK_MEMBER_LEAVING);
  }
  sim_run_until (sim, sim->now_us + 2500 * SIM_MS);
  sim->network.loss_per_mille = 0;
  sim_run_until (sim, sim->now_us + SETTLE_US);
  CU_ASSERT_EQUAL (dissenters (sim, node, "leaving"), 0);
  CU_ASSERT_TRUE (burdock_control_drained (node->control, 0));
  sim_free (sim);
}

static const Test tests[] = {
  { "a member stays unknown to some after a start of all", all_members_know_each_other },
  { "a living member is removed because messages were lost", loss_removes_nobody },
  { "a dead member stays in the view of some", dead_member_is_removed_by_all },
  { "a cut failure domain is removed or does not return",
    cut_domain_is_suspected_and_comes_back },
  { "two processes keep different views for good", differing_views_converge },
  { "a member never hears that it is leaving", missed_leaving_notice_is_repeated },
  { "a quick restart is taken for an older life", restart_within_a_second_is_a_new_life },
};

int
main (void)
{
  return test_main ("membership", tests, TEST_COUNT (tests));
}
