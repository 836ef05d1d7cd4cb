/**
 * DOC: config-submit.c - submission of configurations by operators
 *
 * To accept a submission, the body is written to the object store, and then rows
 * config/current and config/attempt/ID in one transaction. The attempt row exists only if
 * the submission took effect, or if the operator settled the attempt before that, which
 * prevents it. The row therefore decides the outcome whenever the result of the
 * transaction is unknown.
 */
#include "config-controller.h"

#include "error.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROW_CURRENT "config/current"
#define ROW_ATTEMPT_PREFIX "config/attempt/"
#define ROW_KEY_BYTES (sizeof ROW_ATTEMPT_PREFIX + BURDOCK_NAME_BYTES)

#define READ_DEADLINE_MS 4000
#define WRITE_DEADLINE_MS 6000

/**
 * struct BurdockSubmission - submission or settlement in progress
 * @handle: chosen by the caller, returned with the outcome
 * @row: value of the rows to be written
 * @version: version that row config/current must still have when it is written
 * @body: copy of the file, NULL for a settlement
 */
struct BurdockSubmission {
  BurdockSubmission *next;
  BurdockConfigController *controller;
  uint64_t handle;
  BurdockConfigRow row;
  uint64_t version;
  uint8_t *body;
  uint32_t body_bytes;
};

static void
free_submission (BurdockSubmission *submission)
{
  free (submission->body);
  free (submission);
}

void
burdock_config_submissions_free (BurdockConfigController *controller)
{
  for (BurdockSubmission *submission = controller->submissions; submission != NULL;) {
    BurdockSubmission *next = submission->next;

    free_submission (submission);
    submission = next;
  }
  controller->submissions = NULL;
}

static const char *
outcome_name (BurdockApplyOutcome outcome)
{
  switch (outcome) {
  case BURDOCK_APPLY_ACCEPTED:
    return "accepted";
  case BURDOCK_APPLY_REFUSED_INVALID:
    return "refused, invalid";
  case BURDOCK_APPLY_REFUSED_RACE:
    return "refused, lost a race or was settled";
  case BURDOCK_APPLY_REFUSED_UNAVAILABLE:
    return "refused, store not available";
  case BURDOCK_APPLY_UNKNOWN:
    break;
  }
  return "unknown";
}

/* Reports the outcome and frees the submission. @detail is the error text for a negative
 * @code. */
static void
finish (BurdockSubmission *submission, BurdockApplyOutcome outcome, uint64_t generation,
        int code, const char *detail)
{
  BurdockConfigController *controller = submission->controller;
  BurdockCore *core = controller->core;
  BurdockSubmission **link = &controller->submissions;
  BurdockApplyResult result = { .handle = submission->handle,
                                .outcome = outcome,
                                .generation = generation };

  burdock_copy_name (result.attempt_id, sizeof result.attempt_id,
                     submission->row.attempt_id);
  if (code < 0)
    burdock_error_set (&result.error, code, "apply configuration", "%s", detail);
  burdock_timeline_add (core->timeline, BURDOCK_LOG_INFO, BURDOCK_EVENT_DECISION,
                        "configuration submitted", "-", submission->row.attempt_id,
                        "%s, generation %" PRIu64 ", operator %.40s",
                        outcome_name (outcome), generation,
                        submission->row.operator_name);
  while (*link != submission)
    link = &(*link)->next;
  *link = submission->next;
  free_submission (submission);
  if (core->env->apply_done != NULL)
    core->env->apply_done (core->env->ctx, &result);
}

static void
finish_unknown (BurdockSubmission *submission)
{
  finish (submission, BURDOCK_APPLY_UNKNOWN, 0, -ETIMEDOUT,
          "the store did not confirm the outcome; settle the attempt to decide it");
}

static void
finish_unavailable (BurdockSubmission *submission)
{
  finish (submission, BURDOCK_APPLY_REFUSED_UNAVAILABLE, 0, -EAGAIN,
          "the store is not available; nothing was written");
}

static void
attempt_key (const BurdockSubmission *submission, char key[ROW_KEY_BYTES])
{
  snprintf (key, ROW_KEY_BYTES, "%s%s", ROW_ATTEMPT_PREFIX, submission->row.attempt_id);
}

static void
accept_submission (BurdockSubmission *submission, uint64_t generation)
{
  if (submission->body != NULL && submission->row.generation == generation) {
    burdock_config_adopt (submission->controller, generation, submission->row.hash,
                          (BurdockBytes){ submission->body, submission->body_bytes });
    burdock_config_confirm (submission->controller, generation);
  }
  finish (submission, BURDOCK_APPLY_ACCEPTED, generation, 0, "");
}

/* The transaction lost a race. Row config/current names the submission that won it. */
static void
winning_row_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;
  BurdockConfigRow row = { .generation = 0 };
  char detail[160];

  if (result->status == 0)
    burdock_config_row_parse (result->value, &row);
  snprintf (detail, sizeof detail,
            "generation %" PRIu64 " of operator \"%.40s\" was accepted first",
            row.generation, row.operator_name);
  finish (submission, BURDOCK_APPLY_REFUSED_RACE, row.generation, -EEXIST, detail);
}

/* The attempt row shows whether the attempt took effect earlier (a generation above 0),
 * was settled (generation 0), or lost a race (no row). */
static void
attempt_row_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;
  BurdockStore *store = submission->controller->core->store;
  BurdockConfigRow row;

  if (result->status == -ENOENT) {
    if (burdock_store_get (store, ROW_CURRENT, READ_DEADLINE_MS, winning_row_done,
                           submission) < 0)
      finish (submission, BURDOCK_APPLY_REFUSED_RACE, 0, -EEXIST,
              "another submission was accepted first");
    return;
  }
  if (result->status < 0 || burdock_config_row_parse (result->value, &row) < 0)
    finish_unknown (submission);
  else if (row.generation > 0)
    accept_submission (submission, row.generation);
  else
    finish (submission, BURDOCK_APPLY_REFUSED_RACE,
            submission->controller->core->board.config.generation, -ECANCELED,
            "the attempt was settled; it has not taken effect and no longer can");
}

static void
read_attempt (BurdockSubmission *submission)
{
  char key[ROW_KEY_BYTES];

  attempt_key (submission, key);
  if (burdock_store_get (submission->controller->core->store, key, READ_DEADLINE_MS,
                         attempt_row_done, submission) < 0)
    finish_unknown (submission);
}

static void
write_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;

  if (result->status == 0)
    accept_submission (submission, submission->row.generation);
  else if (result->status == -EEXIST)
    read_attempt (submission);
  else if (result->status == -EAGAIN)
    finish_unavailable (submission);
  else
    finish_unknown (submission);
}

static BurdockBytes
text_bytes (const char *text)
{
  return (BurdockBytes){ (const uint8_t *)text, (uint32_t)strlen (text) };
}

static void
object_put_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;
  char key[ROW_KEY_BYTES];
  char *text;
  BurdockStorePut puts[2];
  int status;

  if (result->status < 0) {
    finish_unavailable (submission);
    return;
  }
  attempt_key (submission, key);
  text = burdock_config_row_text (&submission->row);
  puts[0] = (BurdockStorePut){ ROW_CURRENT, text_bytes (text), submission->version };
  puts[1] = (BurdockStorePut){ key, text_bytes (text), 0 };
  status = burdock_store_put_if (submission->controller->core->store, puts, 2,
                                 WRITE_DEADLINE_MS, write_done, submission);
  free (text);
  if (status < 0)
    finish_unavailable (submission);
}

/* The new generation is above both the stored and the active one, so that generations
 * grow even if the store has lost the latest row. */
static void
current_row_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;
  BurdockConfigController *controller = submission->controller;
  char key[BURDOCK_HASH_TEXT_BYTES];
  BurdockConfigRow row = { .generation = 0 };
  uint64_t newest = controller->core->board.config.generation;

  if (result->status < 0 && result->status != -ENOENT) {
    finish_unavailable (submission);
    return;
  }
  if (result->status == 0 && burdock_config_row_parse (result->value, &row) < 0) {
    finish (submission, BURDOCK_APPLY_REFUSED_UNAVAILABLE, 0, -EPROTO,
            "row config/current is malformed");
    return;
  }
  burdock_config_record_contact (controller);
  if (row.generation > newest)
    newest = row.generation;
  submission->row.generation = newest + 1;
  submission->version = result->status == 0 ? result->version : 0;
  burdock_config_hash_text (submission->row.hash, key);
  if (burdock_store_object_put (controller->core->store, key,
                                (BurdockBytes){ submission->body,
                                                submission->body_bytes },
                                WRITE_DEADLINE_MS, object_put_done, submission) < 0)
    finish_unavailable (submission);
}

static bool
is_attempt_id (const char *text)
{
  size_t length_bytes = strlen (text);

  if (length_bytes == 0 || length_bytes >= BURDOCK_NAME_BYTES)
    return false;
  for (size_t i = 0; i < length_bytes; i++) {
    if (!isalnum ((unsigned char)text[i]) && text[i] != '-')
      return false;
  }
  return true;
}

static BurdockSubmission *
new_submission (BurdockConfigController *controller, uint64_t handle,
                const char *attempt_id)
{
  BurdockSubmission *submission = calloc (1, sizeof *submission);

  submission->controller = controller;
  submission->handle = handle;
  if (attempt_id != NULL)
    burdock_copy_name (submission->row.attempt_id, sizeof submission->row.attempt_id,
                       attempt_id);
  else
    snprintf (submission->row.attempt_id, sizeof submission->row.attempt_id,
              "%016" PRIx64 "%016" PRIx64 "-%" PRIu64,
              controller->core->board.self.member_id,
              controller->core->board.self.settings.incarnation,
              ++controller->attempt_count);
  submission->next = controller->submissions;
  controller->submissions = submission;
  return submission;
}

static void
refuse_invalid (BurdockConfigController *controller, uint64_t handle,
                const char *attempt_id, const BurdockError *error)
{
  const BurdockEnv *env = controller->core->env;
  BurdockApplyResult result = { .handle = handle,
                                .outcome = BURDOCK_APPLY_REFUSED_INVALID,
                                .error = *error };

  burdock_copy_name (result.attempt_id, sizeof result.attempt_id,
                     attempt_id != NULL ? attempt_id : "-");
  if (env->apply_done != NULL)
    env->apply_done (env->ctx, &result);
}

int
burdock_config_controller_apply (void *ctx, uint64_t handle, const char *operator_name,
                                 const char *attempt_id, BurdockBytes body)
{
  BurdockConfigController *controller = ctx;
  BurdockConfig *parsed = NULL;
  BurdockSubmission *submission;
  BurdockError error = { .code = 0 };

  if (!controller->is_entry)
    return -ENOTSUP;
  if (attempt_id != NULL && !is_attempt_id (attempt_id))
    return -EINVAL;
  if (burdock_config_parse ("configuration", body, &parsed, &error) < 0) {
    refuse_invalid (controller, handle, attempt_id, &error);
    return 0;
  }
  burdock_config_unref (parsed);
  submission = new_submission (controller, handle, attempt_id);
  burdock_copy_name (submission->row.operator_name, sizeof submission->row.operator_name,
                     operator_name);
  burdock_config_hash (body, submission->row.hash);
  submission->body = malloc (body.length_bytes + 1);
  memcpy (submission->body, body.data, body.length_bytes);
  submission->body_bytes = body.length_bytes;
  if (burdock_store_get (controller->core->store, ROW_CURRENT, READ_DEADLINE_MS,
                         current_row_done, submission) < 0)
    finish_unavailable (submission);
  return 0;
}

static void
settle_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockSubmission *submission = ctx;

  if (result->status == 0)
    finish (submission, BURDOCK_APPLY_REFUSED_RACE,
            submission->controller->core->board.config.generation, -ECANCELED,
            "the attempt was settled; it has not taken effect and no longer can");
  else if (result->status == -EEXIST)
    read_attempt (submission);
  else
    finish_unknown (submission);
}

/* Inserts an attempt row with generation 0. A transaction of the attempt that is still in
 * flight then fails. If the attempt has a row already, the insert fails and that row
 * holds the outcome. The outcome is final in both cases. */
int
burdock_config_controller_settle (void *ctx, uint64_t handle, const char *attempt_id)
{
  BurdockConfigController *controller = ctx;
  BurdockSubmission *submission;
  char key[ROW_KEY_BYTES];
  char *text;
  BurdockStorePut put;
  int status;

  if (!controller->is_entry)
    return -ENOTSUP;
  if (!is_attempt_id (attempt_id))
    return -EINVAL;
  submission = new_submission (controller, handle, attempt_id);
  snprintf (submission->row.operator_name, sizeof submission->row.operator_name,
            "settled-%016" PRIx64 "-%" PRIu64,
            controller->core->board.self.settings.incarnation,
            ++controller->attempt_count);
  attempt_key (submission, key);
  text = burdock_config_row_text (&submission->row);
  put = (BurdockStorePut){ key, text_bytes (text), 0 };
  status = burdock_store_put_if (controller->core->store, &put, 1, WRITE_DEADLINE_MS,
                                 settle_done, submission);
  free (text);
  if (status < 0)
    finish_unknown (submission);
  return 0;
}
