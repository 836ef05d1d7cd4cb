#include "control-fleet.h"
#include "message.h"
#include "test.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Time in which the members of a new fleet must know each other. */
#define SETTLE_US (10 * SIM_US_PER_S)

/* Time in which all members must have the same view again after a fault. */
#define RECOVERY_US (30 * SIM_US_PER_S)

static const ControlFleetSize fleet_size = {
  .entries = 9,
  .agents = 19,
  .domains = 3,
  .workspaces = 2,
};

/* Writes the state of member @name in the view of process @observer to @out, which holds
 * 32 bytes; an empty string if the member is unknown. */
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

/* Number of running processes in whose view @node is not in @state. */
static uint32_t
count_disagreeing (Sim *sim, const SimNode *node, const char *state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->node_count; i++) {
    char state_seen[32];

    if (sim->nodes[i] == node || !sim->nodes[i]->alive)
      continue;
    reported_state (sim, i, node->settings.name, state_seen);
    count += strcmp (state_seen, state) != 0;
  }
  return count;
}

/* Guards against a member that stays unknown to others after a simultaneous start of the
 * fleet, because some of the messages that announce it are lost. */
static void
all_members_know_each_other (void)
{
  Sim *sim = control_fleet_new (1, &fleet_size);

  sim->network.loss_per_mille = 20;
  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t i = 0; i < sim->node_count; i++)
    CU_ASSERT_EQUAL (count_disagreeing (sim, sim->nodes[i], "alive"), 0);
  sim_free (sim);
}

/* Guards against the removal of a running member, because lost messages make it appear
 * silent. The fleet runs for five minutes with 2 % of the messages lost. */
static void
loss_removes_nobody (void)
{
  Sim *sim = control_fleet_new (2, &fleet_size);

  sim->network.loss_per_mille = 20;
  sim_run_until (sim, sim->now_us + 300 * SIM_US_PER_S);
  CU_ASSERT_EQUAL (control_fleet_sum_metric (sim, "members_removed_total"), 0);
  sim_free (sim);
}

/* Guards against a stopped member that some processes keep in their views, because nobody
 * detects its failure or the removal does not reach all members. */
static void
dead_member_is_removed_by_all (void)
{
  Sim *sim = control_fleet_new (3, &fleet_size);

  sim_run_until (sim, sim->now_us + SETTLE_US);
  sim_stop (sim->nodes[12]);
  sim_run_until (sim, sim->now_us + RECOVERY_US);
  CU_ASSERT_EQUAL (count_disagreeing (sim, sim->nodes[12], "removed"), 0);
  sim_free (sim);
}

/* Guards against the removal of members because of a network partition, and against
 * members that stay suspected after it. Failure domain 2 is cut off from domains 0 and 1
 * for two minutes. */
static void
cut_domain_is_suspected_and_comes_back (void)
{
  Sim *sim = control_fleet_new (4, &fleet_size);

  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t domain = 0; domain < 2; domain++)
    sim->domain_partitioned[domain][2] = sim->domain_partitioned[2][domain] = true;
  sim_run_until (sim, sim->now_us + 120 * SIM_US_PER_S);
  CU_ASSERT_EQUAL (control_fleet_sum_metric (sim, "members_removed_total"), 0);
  memset (sim->domain_partitioned, 0, sizeof sim->domain_partitioned);
  sim_run_until (sim, sim->now_us + RECOVERY_US);
  for (uint32_t i = 0; i < sim->node_count; i++)
    CU_ASSERT_EQUAL (count_disagreeing (sim, sim->nodes[i], "alive"), 0);
  sim_free (sim);
}

/* Delivers a heartbeat of @sender to process @observer alone, with a member record that
 * reports @about to be in @state. */
static void
deliver_record (Sim *sim, uint32_t observer, uint32_t sender, const SimNode *about,
                uint32_t state)
{
  BurdockMessage *message = calloc (1, sizeof *message);
  BurdockHeartbeatMessage *heartbeat = &message->heartbeat;
  const BurdockSettings *from = &sim->nodes[sender]->settings;
  uint8_t *frame;
  uint32_t length_bytes;

  message->header.type = BURDOCK_MSG_HEARTBEAT;
  message->header.sender_id = burdock_member_id (from->name);
  message->header.sender_incarnation = from->incarnation;
  heartbeat->update_count = 1;
  heartbeat->updates[0] = (BurdockMemberRecord){
    .id = burdock_member_id (about->settings.name),
    .incarnation = about->settings.incarnation,
    .heartbeat_sequence = 100,
    .role = about->settings.role,
    .state = state,
    .control_address = about->settings.control_address,
  };
  snprintf (heartbeat->updates[0].name, sizeof heartbeat->updates[0].name, "%s",
            about->settings.name);
  burdock_message_encode (message, NULL, &frame, &length_bytes);
  burdock_control_receive (sim->nodes[observer]->control, from->control_address, frame,
                           length_bytes);
  free (frame);
  free (message);
}

/* Guards against views that never agree again: a single process receives a record by
 * which a running member was removed. */
static void
differing_views_converge (void)
{
  Sim *sim = control_fleet_new (5, &fleet_size);
  char state_seen[32];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  deliver_record (sim, 20, 3, sim->nodes[15], BURDOCK_MEMBER_REMOVED);
  reported_state (sim, 20, sim->nodes[15]->settings.name, state_seen);
  CU_ASSERT_STRING_EQUAL (state_seen, "removed");
  sim_run_until (sim, sim->now_us + RECOVERY_US);
  CU_ASSERT_EQUAL (count_disagreeing (sim, sim->nodes[15], "alive"), 0);
  sim_free (sim);
}

/* Guards against a restarted process that others take for its former incarnation, or for
 * a failed one. The process restarts three times, faster than its absence is detected. */
static void
restart_within_a_second_is_a_new_incarnation (void)
{
  Sim *sim = control_fleet_new (6, &fleet_size);
  SimNode *node = sim->nodes[15];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t i = 0; i < 3; i++) {
    sim_stop (node);
    sim_run_until (sim, sim->now_us + 100 * SIM_US_PER_MS);
    sim_start (node);
    sim_run_until (sim, sim->now_us + 100 * SIM_US_PER_MS);
  }
  sim_run_until (sim, sim->now_us + RECOVERY_US);
  CU_ASSERT_EQUAL (count_disagreeing (sim, node, "alive"), 0);
  sim_free (sim);
}

/* Guards against a member that never learns that it is leaving: all others receive and
 * forward the record while every message is lost, so gossip does not send it again. */
static void
missed_leaving_notice_is_repeated (void)
{
  Sim *sim = control_fleet_new (7, &fleet_size);
  SimNode *node = sim->nodes[15];

  sim_run_until (sim, sim->now_us + SETTLE_US);
  sim->network.loss_per_mille = 1000;
  for (uint32_t i = 0; i < sim->node_count; i++) {
    if (sim->nodes[i] != node)
      deliver_record (sim, i, i == 3 ? 4 : 3, node, BURDOCK_MEMBER_LEAVING);
  }
  sim_run_until (sim, sim->now_us + 2500 * SIM_US_PER_MS);
  sim->network.loss_per_mille = 0;
  sim_run_until (sim, sim->now_us + SETTLE_US);
  CU_ASSERT_EQUAL (count_disagreeing (sim, node, "leaving"), 0);
  CU_ASSERT_TRUE (burdock_control_drained (node->control, 0));
  sim_free (sim);
}

static const Test tests[] = {
  { "a member stays unknown to others after a start of the fleet",
    all_members_know_each_other },
  { "a running member is removed because messages were lost", loss_removes_nobody },
  { "a stopped member stays in the view of others", dead_member_is_removed_by_all },
  { "a partitioned failure domain is removed or does not return",
    cut_domain_is_suspected_and_comes_back },
  { "two processes keep different views permanently", differing_views_converge },
  { "a member never learns that it is leaving", missed_leaving_notice_is_repeated },
  { "a quick restart is taken for the former incarnation",
    restart_within_a_second_is_a_new_incarnation },
};

int
main (void)
{
  return test_main ("membership", tests, TEST_COUNT (tests));
}
