#include "switch-rank.h"

#include <errno.h>
#include <string.h>

#define STATE_TIMEOUT_MS 1000
#define HOLD_TIMEOUT_MS 1000
#define RELEASE_TIMEOUT_MS 2000

/* The weight store limits the rate at which a rank loads its weights. */
#define LOAD_TIMEOUT_MS 120000

/* Random bits below the start time of a process in its incarnation. Hold numbers start at
 * the start time in microseconds: above those of earlier incarnations, with numbers left
 * for the holds of this one, and below 2^53, which JSON numbers can represent. */
#define INCARNATION_RANDOM_BITS 12

void
burdock_switch_rank_init (BurdockSwitchRank *rank, uint32_t index, uint64_t incarnation,
                          const BurdockSwitchRankCallbacks *callbacks)
{
  *rank = (BurdockSwitchRank){
    .callbacks = *callbacks,
    .rank = index,
    .incarnation = incarnation,
    .hold_number = incarnation >> INCARNATION_RANDOM_BITS,
  };
}

static bool
engine_has_hold (const BurdockEngineState *state)
{
  return state->held_epoch != 0 || state->held_number != 0;
}

bool
burdock_switch_rank_blocked (const BurdockSwitchRank *rank)
{
  return rank->state_known && (engine_has_hold (&rank->state) || rank->state.joining);
}

static uint64_t
max_u64 (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static void
update_state (BurdockSwitchRank *rank, const BurdockEngineState *state)
{
  rank->state = *state;
  rank->state.map = (BurdockBytes){ 0 };
  rank->state.expert_tokens = NULL;
  rank->state_known = true;
  rank->hold_number = max_u64 (rank->hold_number, state->held_number);
  rank->highest_epoch = max_u64 (rank->highest_epoch, state->map_epoch);
  rank->highest_epoch = max_u64 (rank->highest_epoch, state->held_epoch);
}

static void
call_state (BurdockSwitchRank *rank, BurdockSwitchJob job)
{
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_STATE, .timeout_ms = STATE_TIMEOUT_MS };

  rank->job = job;
  rank->callbacks.engine (rank->callbacks.ctx, &call);
}

/* Token of an order for a request: that of the request's lease, also if a newer one has
 * been seen since. A recovery has no lease; its orders have the newest token, as engines
 * that check tokens refuse a lower one. */
static uint64_t
order_fence (const BurdockSwitchRank *rank, const BurdockSwitchRequest *request)
{
  return request->fence != 0 ? request->fence : rank->fence;
}

static void
call_hold (BurdockSwitchRank *rank, BurdockSwitchJob job, uint64_t epoch, uint64_t step)
{
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_MAP_HOLD,
                             .epoch = epoch,
                             .step = step,
                             .hold_number = ++rank->hold_number,
                             .fence = order_fence (rank, &rank->request),
                             .timeout_ms = HOLD_TIMEOUT_MS };

  rank->job = job;
  rank->callbacks.engine (rank->callbacks.ctx, &call);
}

static void
call_release (BurdockSwitchRank *rank, uint64_t epoch, uint64_t number, bool commit)
{
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_MAP_RELEASE,
                             .epoch = epoch,
                             .hold_number = number,
                             .commit = commit,
                             .fence = order_fence (rank, &rank->request),
                             .timeout_ms = RELEASE_TIMEOUT_MS };

  rank->job = BURDOCK_JOB_RELEASE;
  rank->callbacks.engine (rank->callbacks.ctx, &call);
}

static void
call_load (BurdockSwitchRank *rank, uint64_t epoch, BurdockBytes map, bool background)
{
  const BurdockSwitchRequest *request =
      background ? &rank->loading_request : &rank->request;
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_MAP_LOAD,
                             .target_id = background,
                             .epoch = epoch,
                             .map = map,
                             .fence = order_fence (rank, request),
                             .timeout_ms = LOAD_TIMEOUT_MS };

  rank->callbacks.engine (rank->callbacks.ctx, &call);
}

static void
reply (BurdockSwitchRank *rank, const BurdockSwitchRequest *to, uint32_t type,
       int32_t status)
{
  const BurdockEngineState *state = &rank->state;
  BurdockSwitchMessage message = {
    .rank = rank->rank,
    .epoch = type == BURDOCK_MSG_SWITCH_STATE ? rank->highest_epoch : to->epoch,
    .step = state->step,
    .fence = rank->fence,
    .ballot = status == 0 ? to->ballot : rank->ballot,
    .status = status,
    .outcome = to->outcome,
    .map_epoch = state->map_epoch,
    .held_epoch = state->held_epoch,
    .held = engine_has_hold (state),
    .engine_instance = state->engine_instance,
    .waiting = state->waiting,
    .joining = state->joining,
  };

  rank->callbacks.send (rank->callbacks.ctx, to->reply_to, type, to->sender, &message);
}

static void
finish_job (BurdockSwitchRank *rank, uint32_t type, int32_t status)
{
  rank->job = BURDOCK_JOB_NONE;
  reply (rank, &rank->request, type, status);
}

static int32_t
check_fence (BurdockSwitchRank *rank, uint64_t fence)
{
  if (fence < rank->fence)
    return -EPERM;
  rank->fence = fence;
  return 0;
}

/* Query. The state reported under a ballot must not change before the outcome. */

static void
on_query (BurdockSwitchRank *rank)
{
  const BurdockSwitchRequest *request = &rank->request;

  if (request->fence != 0 && check_fence (rank, request->fence) < 0) {
    reply (rank, request, BURDOCK_MSG_SWITCH_STATE, -EPERM);
    return;
  }
  if (request->ballot.round != 0) {
    if (burdock_ballot_compare (request->ballot, rank->ballot) < 0) {
      reply (rank, request, BURDOCK_MSG_SWITCH_STATE, -ESTALE);
      return;
    }
    if (burdock_ballot_compare (request->ballot, rank->ballot) > 0)
      rank->promised_epoch = rank->accepted_epoch = 0;
    rank->ballot = request->ballot;
  }
  call_state (rank, BURDOCK_JOB_READ);
}

static void
answer_query (BurdockSwitchRank *rank)
{
  if (rank->request.ballot.round != 0)
    rank->answered_instance = rank->state.engine_instance;
  finish_job (rank, BURDOCK_MSG_SWITCH_STATE, 0);
}

static void
on_query_read (BurdockSwitchRank *rank)
{
  bool own_hold =
      rank->promised_epoch != 0 && rank->state.held_number == rank->promised_hold_number;

  if (rank->request.ballot.round == 0 || !engine_has_hold (&rank->state) || own_hold ||
      burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_REHOLD)) {
    answer_query (rank);
    return;
  }
  /* A release sent by an earlier incarnation may still be in flight; the new hold number
   * invalidates it. */
  call_hold (rank, BURDOCK_JOB_REHOLD, rank->state.held_epoch, rank->state.held_step);
}

/* Prepare. The load runs in the background of the jobs, as it may take minutes. */

static void
answer_prepare (BurdockSwitchRank *rank, const BurdockSwitchRequest *request,
                int32_t status)
{
  if (status < 0) {
    reply (rank, request, BURDOCK_MSG_SWITCH_LOADED, status);
  } else if (rank->job == BURDOCK_JOB_NONE) {
    rank->request = *request;
    call_state (rank, BURDOCK_JOB_LOADED_READ);
  }
}

static void
on_prepare (BurdockSwitchRank *rank, const BurdockSwitchRequest *request,
            BurdockBytes map)
{
  int32_t status = check_fence (rank, request->fence);

  if (status == 0 && burdock_ballot_compare (request->ballot, rank->ballot) != 0)
    status = -ESTALE;
  if (status == 0 && (rank->state.joining || request->epoch <= rank->state.map_epoch))
    status = -ESTALE;
  if (status == 0 && (rank->loaded_epoch != request->epoch ||
                      rank->loaded_instance != rank->state.engine_instance)) {
    if (rank->loading_epoch != 0)
      return;
    rank->highest_epoch = max_u64 (rank->highest_epoch, request->epoch);
    rank->loading_epoch = request->epoch;
    rank->loading_instance = rank->state.engine_instance;
    rank->loading_request = *request;
    call_load (rank, request->epoch, map, true);
    return;
  }
  answer_prepare (rank, request, status);
}

static void
on_loaded (BurdockSwitchRank *rank, int32_t status)
{
  uint64_t epoch = rank->loading_epoch;

  rank->loading_epoch = 0;
  if (status == 0) {
    rank->loaded_epoch = epoch;
    rank->loaded_instance = rank->loading_instance;
  }
  if (burdock_ballot_compare (rank->loading_request.ballot, rank->ballot) == 0)
    answer_prepare (rank, &rank->loading_request, status);
}

/* Propose. A rank promises only after the engine has confirmed the hold. */

static int32_t
check_proposal (BurdockSwitchRank *rank)
{
  const BurdockSwitchRequest *request = &rank->request;
  int32_t status = 0;

  if (request->fence != 0)
    status = check_fence (rank, request->fence);
  if (status == 0 && burdock_ballot_compare (request->ballot, rank->ballot) != 0)
    status = -ESTALE;
  if (status == 0 && request->outcome == BURDOCK_OUTCOME_COMMIT &&
      rank->loaded_epoch != request->epoch)
    status = -ENOENT;
  return status;
}

static void
on_propose (BurdockSwitchRank *rank)
{
  const BurdockSwitchRequest *request = &rank->request;
  int32_t status = check_proposal (rank);

  if (status < 0 || request->outcome == BURDOCK_OUTCOME_SETTLE) {
    reply (rank, request, BURDOCK_MSG_SWITCH_PROMISE, status);
    return;
  }
  if (rank->promised_epoch == request->epoch) {
    call_state (rank, BURDOCK_JOB_HOLD_READ);
    return;
  }
  call_hold (rank, BURDOCK_JOB_HOLD, request->epoch, request->step);
  if (burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_HOLD_FIRST)) {
    rank->promised_epoch = request->epoch;
    rank->promised_hold_number = rank->hold_number;
    reply (rank, request, BURDOCK_MSG_SWITCH_PROMISE, 0);
  }
}

static bool
hold_is_in_force (const BurdockSwitchRank *rank)
{
  const BurdockEngineState *state = &rank->state;

  if (state->held_epoch != rank->request.epoch || state->joining)
    return false;
  if (state->held_number != 0 && state->held_number != rank->hold_number)
    return false;
  return state->engine_instance == rank->answered_instance &&
         state->engine_instance == rank->loaded_instance;
}

static void
on_hold_read (BurdockSwitchRank *rank)
{
  if (!hold_is_in_force (rank)) {
    finish_job (rank, BURDOCK_MSG_SWITCH_PROMISE, -ESTALE);
    return;
  }
  rank->promised_epoch = rank->request.epoch;
  rank->promised_hold_number = rank->hold_number;
  finish_job (rank, BURDOCK_MSG_SWITCH_PROMISE, 0);
}

/* Outcome. */

static void
on_outcome (BurdockSwitchRank *rank, BurdockBytes map)
{
  const BurdockSwitchRequest *request = &rank->request;
  bool commit = request->outcome == BURDOCK_OUTCOME_COMMIT;

  if (request->fence != 0 && check_fence (rank, request->fence) < 0) {
    reply (rank, request, BURDOCK_MSG_SWITCH_OUTCOME_ACK, -EPERM);
    return;
  }
  if (burdock_ballot_compare (request->ballot, rank->ballot) != 0 &&
      !burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_BALLOT)) {
    reply (rank, request, BURDOCK_MSG_SWITCH_OUTCOME_ACK, -ESTALE);
    return;
  }
  if (request->outcome == BURDOCK_OUTCOME_SETTLE) {
    rank->settle_loaded = false;
    if (rank->state.map_epoch == request->epoch && !rank->state.joining) {
      call_state (rank, BURDOCK_JOB_SETTLE_READ);
      return;
    }
    rank->settle_loaded = true;
    rank->job = BURDOCK_JOB_SETTLE_LOAD;
    call_load (rank, request->epoch, map, false);
    return;
  }
  if (!commit) {
    call_release (rank, request->epoch, rank->hold_number, false);
    return;
  }
  if (rank->promised_epoch != request->epoch) {
    if (burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_BALLOT) ||
        burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_INCARNATION)) {
      call_release (rank, request->epoch, rank->hold_number, true);
      return;
    }
    call_state (rank, BURDOCK_JOB_RELEASE_READ);
    return;
  }
  rank->accepted_epoch = request->epoch;
  rank->accepted_request = *request;
  call_state (rank, BURDOCK_JOB_COMMIT_READ);
}

/* The commit is forwarded only while the engine waits. An earlier commit would be in
 * force but not visible in the engine's state, so a recovery could miss it. A commit is
 * dropped if its lease has a newer holder: the first round of that holder settles the
 * group. */
static void
forward_commit (BurdockSwitchRank *rank)
{
  const BurdockEngineState *state = &rank->state;

  if (rank->accepted_epoch == 0 || rank->job != BURDOCK_JOB_NONE)
    return;
  rank->request = rank->accepted_request;
  if (rank->request.fence != 0 && rank->request.fence < rank->fence) {
    rank->accepted_epoch = 0;
    finish_job (rank, BURDOCK_MSG_SWITCH_OUTCOME_ACK, -EPERM);
    return;
  }
  if (state->held_epoch != rank->accepted_epoch) {
    rank->accepted_epoch = 0;
    call_state (rank, BURDOCK_JOB_RELEASE_READ);
    return;
  }
  if (!state->waiting &&
      !burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_COMMIT_WHILE_WAITING))
    return;
  call_release (rank, rank->accepted_epoch, rank->promised_hold_number, true);
}

void
burdock_switch_rank_update_state (BurdockSwitchRank *rank,
                                  const BurdockEngineState *state)
{
  update_state (rank, state);
  forward_commit (rank);
}

static void
on_settle_read (BurdockSwitchRank *rank)
{
  const BurdockEngineState *state = &rank->state;
  bool at_target_map = state->map_epoch == rank->request.epoch && !state->joining;

  if (at_target_map && !engine_has_hold (state)) {
    finish_job (rank, BURDOCK_MSG_SWITCH_OUTCOME_ACK, 0);
    return;
  }
  if (at_target_map) {
    call_release (rank, state->held_epoch, state->held_number,
                  state->held_epoch == state->map_epoch);
    return;
  }
  /* The engine was replaced after its last report; the resent outcome loads the map. */
  if (!rank->settle_loaded) {
    finish_job (rank, BURDOCK_MSG_SWITCH_OUTCOME_ACK, -EAGAIN);
    return;
  }
  call_hold (rank, BURDOCK_JOB_SETTLE_HOLD, rank->request.epoch,
             engine_has_hold (state) ? state->held_step : state->step);
}

static void
on_release_read (BurdockSwitchRank *rank)
{
  const BurdockEngineState *state = &rank->state;
  bool map_expected = rank->request.outcome == BURDOCK_OUTCOME_ABORT
                          ? state->map_epoch != rank->request.epoch
                          : state->map_epoch == rank->request.epoch;

  if (map_expected && !state->joining && !engine_has_hold (state))
    finish_job (rank, BURDOCK_MSG_SWITCH_OUTCOME_ACK, 0);
  else
    finish_job (rank, BURDOCK_MSG_SWITCH_OUTCOME_ACK, -EAGAIN);
}

/* A job whose engine call failed usually ends without an answer; the proposer resends its
 * request, and the next job starts from the state that the engine reports then. */
static void
on_job_done (BurdockSwitchRank *rank, int32_t status)
{
  BurdockSwitchJob job = rank->job;

  rank->job = BURDOCK_JOB_NONE;
  switch (job) {
  case BURDOCK_JOB_READ:
    if (status == 0)
      on_query_read (rank);
    return;
  case BURDOCK_JOB_REHOLD:
    if (status == 0 || status == -ESTALE)
      call_state (rank, BURDOCK_JOB_REHOLD_READ);
    return;
  case BURDOCK_JOB_REHOLD_READ:
    if (status == 0 &&
        (rank->state.held_number == 0 || rank->state.held_number == rank->hold_number))
      answer_query (rank);
    return;
  case BURDOCK_JOB_LOADED_READ:
    if (status == 0)
      finish_job (rank, BURDOCK_MSG_SWITCH_LOADED,
                  rank->state.engine_instance == rank->loaded_instance ? 0 : -ESTALE);
    return;
  case BURDOCK_JOB_HOLD:
    if (burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_HOLD_FIRST))
      return;
    if (status == 0)
      call_state (rank, BURDOCK_JOB_HOLD_READ);
    else if (status == -ESTALE || status == -EPERM)
      finish_job (rank, BURDOCK_MSG_SWITCH_PROMISE, status);
    return;
  case BURDOCK_JOB_HOLD_READ:
    if (status == 0)
      on_hold_read (rank);
    return;
  case BURDOCK_JOB_COMMIT_READ:
    if (status == 0)
      forward_commit (rank);
    return;
  case BURDOCK_JOB_SETTLE_LOAD:
    if (status == 0)
      call_state (rank, BURDOCK_JOB_SETTLE_READ);
    return;
  case BURDOCK_JOB_SETTLE_READ:
    if (status == 0)
      on_settle_read (rank);
    return;
  case BURDOCK_JOB_SETTLE_HOLD:
    if (status == 0)
      call_release (rank, rank->request.epoch, rank->hold_number, true);
    return;
  case BURDOCK_JOB_RELEASE:
    call_state (rank, BURDOCK_JOB_RELEASE_READ);
    return;
  case BURDOCK_JOB_RELEASE_READ:
    if (status == 0)
      on_release_read (rank);
    return;
  case BURDOCK_JOB_NONE:
    return;
  }
}

void
burdock_switch_rank_engine_done (BurdockSwitchRank *rank, uint64_t background,
                                 int32_t status, const BurdockEngineState *state)
{
  if (status == 0 && state != NULL)
    update_state (rank, state);
  if (background != 0)
    on_loaded (rank, status);
  else
    on_job_done (rank, status);
}

void
burdock_switch_rank_handle_message (BurdockSwitchRank *rank, uint32_t type,
                                    uint64_t sender, uint64_t target,
                                    const BurdockSwitchMessage *message)
{
  BurdockSwitchRequest request = {
    .type = type,
    .outcome = message->outcome,
    .sender = sender,
    .epoch = message->epoch,
    .step = message->step,
    .fence = message->fence,
    .ballot = message->ballot,
    .reply_to = message->reply_to,
  };

  /* Only a query may address any incarnation of the agent; all other requests refer to
   * earlier answers of this incarnation. */
  if (type != BURDOCK_MSG_SWITCH_QUERY && target != rank->incarnation &&
      !burdock_rule_disabled (rank->disabled_rules, BURDOCK_RULE_INCARNATION))
    return;
  if (type == BURDOCK_MSG_SWITCH_PREPARE) {
    on_prepare (rank, &request, message->map);
    return;
  }
  if (rank->job != BURDOCK_JOB_NONE)
    return;
  rank->request = request;
  if (type == BURDOCK_MSG_SWITCH_QUERY)
    on_query (rank);
  else if (type == BURDOCK_MSG_SWITCH_PROPOSE)
    on_propose (rank);
  else if (type == BURDOCK_MSG_SWITCH_OUTCOME)
    on_outcome (rank, message->map);
}
