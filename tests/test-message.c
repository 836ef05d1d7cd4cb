#include "message.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const uint8_t key_a[BURDOCK_KEY_BYTES] = { 1 };
static const uint8_t key_b[BURDOCK_KEY_BYTES] = { 2 };

static BurdockMessage
make_attempt (void)
{
  BurdockMessage message = {
    .header = { .type = BURDOCK_MSG_ATTEMPT,
                .hlc = 7,
                .sender_id = 8,
                .sender_incarnation = UINT64_MAX,
                .target_incarnation = 9 },
    .attempt = { .request_id = 10,
                 .attempt = 2,
                 .generation = 3,
                 .idempotent = true,
                 .deadline_ms = 500,
                 .key = "k",
                 .workspace = "w",
                 .model = "m",
                 .body = { (const uint8_t *)"hello", 5 } },
  };

  return message;
}

/* Guards against a field that encoder and decoder treat differently, for example by
 * another position or width. */
static void
round_trip_keeps_every_field (void)
{
  BurdockMessage in = make_attempt ();
  BurdockMessage out;
  BurdockError error;
  uint8_t *frame;
  uint32_t length_bytes;

  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), 0);
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &out, &error), 0);
  CU_ASSERT_EQUAL (out.header.hlc, 7);
  CU_ASSERT_EQUAL (out.header.sender_id, 8);
  CU_ASSERT_EQUAL (out.header.sender_incarnation, UINT64_MAX);
  CU_ASSERT_EQUAL (out.header.target_incarnation, 9);
  CU_ASSERT_EQUAL (out.attempt.request_id, 10);
  CU_ASSERT_EQUAL (out.attempt.deadline_ms, 500);
  CU_ASSERT_TRUE (out.attempt.idempotent);
  CU_ASSERT_STRING_EQUAL (out.attempt.model, "m");
  CU_ASSERT_EQUAL (out.attempt.body.length_bytes, 5);
  CU_ASSERT_EQUAL (memcmp (out.attempt.body.data, "hello", 5), 0);
  free (frame);
}

/* Guards against list items that are lost or reordered, and against an item count above
 * the size of the array, which would read past its end. */
static void
nested_lists_keep_order_and_bounds (void)
{
  BurdockMessage in = { .header = { .type = BURDOCK_MSG_HEARTBEAT } };
  BurdockMessage out;
  BurdockError error;
  uint8_t *frame;
  uint32_t length_bytes;

  in.heartbeat.update_count = 2;
  in.heartbeat.updates[1] =
      (BurdockMemberRecord){ .id = 5, .name = "i", .control_address = { 1, 2 } };
  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), 0);
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &out, &error), 0);
  CU_ASSERT_EQUAL (out.heartbeat.update_count, 2);
  CU_ASSERT_EQUAL (out.heartbeat.updates[1].control_address.port, 2);
  free (frame);
  in.heartbeat.update_count = BURDOCK_HEARTBEAT_UPDATES_MAX + 1;
  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), -EINVAL);
}

/* Guards against a statement about a failure domain that another gateway reads in another
 * way, and against more of them than there is room for. */
static void
evacuations_are_sent_as_they_are (void)
{
  BurdockMessage in = { .header = { .type = BURDOCK_MSG_EVACUATION } };
  BurdockEvacuationMessage *evacuation = &in.evacuation;
  BurdockMessage out;
  BurdockError error;
  uint8_t *frame;
  uint32_t length_bytes;

  evacuation->item_count = BURDOCK_EVACUATION_ITEMS_MAX;
  evacuation->items[0] = (BurdockEvacuationItem){ "z-1", 2, UINT64_MAX, true };
  evacuation->items[1] = (BurdockEvacuationItem){ "z-2", 0, 7, false };
  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), 0);
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &out, &error), 0);
  CU_ASSERT_EQUAL (out.evacuation.item_count, BURDOCK_EVACUATION_ITEMS_MAX);
  for (uint32_t i = 0; i < 2; i++) {
    const BurdockEvacuationItem *item = &out.evacuation.items[i];

    CU_ASSERT_STRING_EQUAL (item->failure_domain, evacuation->items[i].failure_domain);
    CU_ASSERT_EQUAL (item->era, evacuation->items[i].era);
    CU_ASSERT_EQUAL (item->version, evacuation->items[i].version);
    CU_ASSERT_EQUAL (item->evacuated, evacuation->items[i].evacuated);
  }
  free (frame);
  evacuation->item_count++;
  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), -EINVAL);
}

/* Processes of different versions run together while they are replaced. Guards against a
 * message of a later version that is taken for another one. */
static void
messages_of_later_versions_are_refused (void)
{
  BurdockMessage in = { .header = { .type = BURDOCK_MSG_EVACUATION } };
  BurdockMessage out;
  BurdockError error;
  uint8_t *frame;
  uint32_t length_bytes;

  CU_ASSERT_EQUAL (burdock_message_encode (&in, NULL, &frame, &length_bytes), 0);
  /* After the length, the head of the array and the version of the format. */
  CU_ASSERT_EQUAL (frame[BURDOCK_LENGTH_PREFIX_BYTES + 2], BURDOCK_MSG_EVACUATION);
  frame[BURDOCK_LENGTH_PREFIX_BYTES + 2] = BURDOCK_MSG_TYPE_COUNT;
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &out, &error),
                   -ENOSYS);
  free (frame);
}

typedef struct {
  const char *name;
  BurdockFrameKeys sender;
  BurdockFrameKeys receiver;
  int status;
} KeyCase;

/* Guards against a frame that is accepted from a sender without the key, and against a
 * key rotation that interrupts traffic between processes with the old and the new key. */
static void
mac_accepts_current_and_previous_key_only (void)
{
  static const KeyCase cases[] = {
    { "same key", { key_a, NULL }, { key_a, NULL }, 0 },
    { "old key during key rotation", { key_a, NULL }, { key_b, key_a }, 0 },
    { "wrong key", { key_a, NULL }, { key_b, NULL }, -EACCES },
    { "no key", { NULL, NULL }, { key_a, NULL }, -EACCES },
  };

  for (uint32_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    BurdockMessage in = make_attempt ();
    BurdockMessage out;
    BurdockError error;
    uint8_t *frame;
    uint32_t length_bytes;

    burdock_message_encode (&in, &cases[i].sender, &frame, &length_bytes);
    CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, &cases[i].receiver,
                                             &out, &error),
                     cases[i].status);
    free (frame);
  }
}

/* Guards against a frame that is accepted although it was truncated, its array header was
 * altered, or its length prefix is above the limit. */
static void
truncated_and_altered_frames_are_refused (void)
{
  BurdockMessage in = make_attempt ();
  BurdockMessage out;
  BurdockError error;
  uint8_t *frame;
  uint32_t length_bytes;

  burdock_message_encode (&in, NULL, &frame, &length_bytes);
  for (uint32_t kept_bytes = 0; kept_bytes < length_bytes; kept_bytes++)
    CU_ASSERT_TRUE (burdock_message_decode (frame, kept_bytes, NULL, &out, &error) < 0);
  frame[BURDOCK_LENGTH_PREFIX_BYTES + 1] = 9;
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &out, &error),
                   -EPROTO);
  frame[0] = 0xff;
  CU_ASSERT_EQUAL (burdock_frame_length (frame, length_bytes), -EMSGSIZE);
  free (frame);
}

/* Guards against a frame of a few bytes that makes the decoder allocate gigabytes, as
 * msgpack-c allocates an array by the element count in its header. Found by fuzzing. */
static void
array_counts_beyond_the_frame_are_refused (void)
{
  static const uint8_t frames[][10] = {
    { 0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff },
    { 0, 0, 0, 6, 0x91, 0xdd, 0x10, 0x00, 0x00, 0x00 },
    { 0, 0, 0, 5, 0xdf, 0x7f, 0xff, 0xff, 0xff },
    { 0, 0, 0, 3, 0xdc, 0xff, 0xff },
    { 0, 0, 0, 5, 0xc6, 0xff, 0xff, 0xff, 0xff },
  };

  for (uint32_t i = 0; i < sizeof frames / sizeof frames[0]; i++) {
    BurdockMessage out;
    BurdockError error;
    uint32_t length_bytes = BURDOCK_LENGTH_PREFIX_BYTES + frames[i][3];

    CU_ASSERT_EQUAL (burdock_message_decode (frames[i], length_bytes, NULL, &out, &error),
                     -EPROTO);
    CU_ASSERT_STRING_EQUAL (error.step, "decode frame");
  }
}

static const Test tests[] = {
  { "a short frame makes the decoder allocate gigabytes",
    array_counts_beyond_the_frame_are_refused },
  { "a field is lost or altered by encoding and decoding", round_trip_keeps_every_field },
  { "a statement about a failure domain is altered", evacuations_are_sent_as_they_are },
  { "a message of a later version is taken for another one",
    messages_of_later_versions_are_refused },
  { "a list loses items or exceeds its bound", nested_lists_keep_order_and_bounds },
  { "a frame without a valid MAC is accepted",
    mac_accepts_current_and_previous_key_only },
  { "a malformed frame is accepted", truncated_and_altered_frames_are_refused },
};

int
main (void)
{
  return test_main ("message", tests, TEST_COUNT (tests));
}
