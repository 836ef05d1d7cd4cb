#include "message-fields.h"

#include "error.h"
#include "message-bounds.h"

#include <errno.h>
#include <msgpack.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_FIELD_COUNT 6

static void
pack_bytes (msgpack_packer *packer, const void *data, uint32_t length_bytes)
{
  msgpack_pack_bin (packer, length_bytes);
  if (length_bytes > 0)
    msgpack_pack_bin_body (packer, data, length_bytes);
}

static void
pack_name (msgpack_packer *packer, const char *text, uint32_t size_bytes)
{
  size_t length_bytes = strnlen (text, size_bytes - 1);

  msgpack_pack_str (packer, length_bytes);
  msgpack_pack_str_body (packer, text, length_bytes);
}

static int pack_struct (msgpack_packer *packer, const BurdockFieldTable *table,
                        const uint8_t *data);

static int
pack_list (msgpack_packer *packer, const BurdockField *field, const uint8_t *data)
{
  uint32_t count = 0;

  memcpy (&count, data + field->count_offset, sizeof count);
  if (count > field->limit)
    return -EINVAL;
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++) {
    const uint8_t *item = data + field->offset + (size_t)i * field->table->size_bytes;
    int status;

    msgpack_pack_array (packer, field->table->field_count);
    status = pack_struct (packer, field->table, item);
    if (status < 0)
      return status;
  }
  return 0;
}

static int
pack_field (msgpack_packer *packer, const BurdockField *field, const uint8_t *data)
{
  const void *member = data + field->offset;

  switch (field->kind) {
  case BURDOCK_FIELD_U64:
    msgpack_pack_uint64 (packer, *(const uint64_t *)member);
    return 0;
  case BURDOCK_FIELD_U32:
    msgpack_pack_uint32 (packer, *(const uint32_t *)member);
    return 0;
  case BURDOCK_FIELD_I32:
    msgpack_pack_int32 (packer, *(const int32_t *)member);
    return 0;
  case BURDOCK_FIELD_BOOL:
    if (*(const bool *)member)
      msgpack_pack_true (packer);
    else
      msgpack_pack_false (packer);
    return 0;
  case BURDOCK_FIELD_NAME:
    pack_name (packer, member, field->size_bytes);
    return 0;
  case BURDOCK_FIELD_BYTES: {
    const BurdockBytes *bytes = member;
    pack_bytes (packer, bytes->data, bytes->length_bytes);
    return 0;
  }
  case BURDOCK_FIELD_ADDRESS: {
    const BurdockAddress *address = member;
    msgpack_pack_uint64 (packer, ((uint64_t)address->ipv4 << 16) | address->port);
    return 0;
  }
  case BURDOCK_FIELD_BALLOT: {
    const BurdockBallot *ballot = member;
    msgpack_pack_array (packer, 2);
    msgpack_pack_uint32 (packer, ballot->round);
    msgpack_pack_uint64 (packer, ballot->proposer);
    return 0;
  }
  case BURDOCK_FIELD_STRUCT:
    msgpack_pack_array (packer, field->table->field_count);
    return pack_struct (packer, field->table, member);
  case BURDOCK_FIELD_LIST:
    return pack_list (packer, field, data);
  }
  return -EINVAL;
}

static int
pack_struct (msgpack_packer *packer, const BurdockFieldTable *table, const uint8_t *data)
{
  for (uint32_t i = 0; i < table->field_count; i++) {
    int status = pack_field (packer, &table->fields[i], data);

    if (status < 0)
      return status;
  }
  return 0;
}

static int
pack_message (msgpack_packer *packer, const BurdockMessage *message)
{
  const BurdockMessageHeader *header = &message->header;
  const BurdockFieldTable *table = &burdock_message_schema (header->type)->table;

  msgpack_pack_array (packer, HEADER_FIELD_COUNT + table->field_count);
  msgpack_pack_uint32 (packer, BURDOCK_MESSAGE_VERSION);
  msgpack_pack_uint32 (packer, header->type);
  msgpack_pack_uint64 (packer, header->hlc);
  msgpack_pack_uint64 (packer, header->sender_id);
  msgpack_pack_uint64 (packer, header->sender_incarnation);
  msgpack_pack_uint64 (packer, header->target_incarnation);
  return pack_struct (packer, table, (const uint8_t *)&message->attempt);
}

static void
write_length (uint8_t *out, uint32_t length_bytes)
{
  out[0] = (uint8_t)(length_bytes >> 24);
  out[1] = (uint8_t)(length_bytes >> 16);
  out[2] = (uint8_t)(length_bytes >> 8);
  out[3] = (uint8_t)length_bytes;
}

/* Keyed BLAKE2b: 0.5 us for a frame of 100 bytes, against 3.3 us for crypto_auth
 * (HMAC-SHA-512). Each token takes two MACs. */
static void
compute_mac (uint8_t mac[BURDOCK_MAC_BYTES], const uint8_t *body, uint32_t body_bytes,
             const uint8_t key[BURDOCK_KEY_BYTES])
{
  crypto_generichash (mac, BURDOCK_MAC_BYTES, body, body_bytes, key, BURDOCK_KEY_BYTES);
}

static bool
mac_matches (const uint8_t *mac, const uint8_t *body, uint32_t body_bytes,
             const uint8_t *key)
{
  uint8_t expected[BURDOCK_MAC_BYTES];

  if (key == NULL)
    return false;
  compute_mac (expected, body, body_bytes, key);
  return sodium_memcmp (expected, mac, sizeof expected) == 0;
}

int
burdock_message_encode (const BurdockMessage *message, const BurdockFrameKeys *keys,
                        uint8_t **frame, uint32_t *length_bytes)
{
  static const uint8_t zeros[BURDOCK_MAC_BYTES];
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint32_t body_bytes;
  int status;

  if (burdock_message_schema (message->header.type) == NULL)
    return -EINVAL;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (&buffer, (const char *)zeros, BURDOCK_LENGTH_PREFIX_BYTES);
  status = pack_message (&packer, message);
  if (status == 0 && buffer.size + BURDOCK_MAC_BYTES > BURDOCK_FRAME_MAX_BYTES)
    status = -EMSGSIZE;
  if (status < 0) {
    msgpack_sbuffer_destroy (&buffer);
    return status;
  }
  body_bytes = (uint32_t)buffer.size - BURDOCK_LENGTH_PREFIX_BYTES;
  if (keys != NULL && keys->current != NULL) {
    msgpack_sbuffer_write (&buffer, (const char *)zeros, BURDOCK_MAC_BYTES);
    compute_mac ((uint8_t *)buffer.data + BURDOCK_LENGTH_PREFIX_BYTES + body_bytes,
                 (uint8_t *)buffer.data + BURDOCK_LENGTH_PREFIX_BYTES, body_bytes,
                 keys->current);
  }
  write_length ((uint8_t *)buffer.data,
                (uint32_t)buffer.size - BURDOCK_LENGTH_PREFIX_BYTES);
  *length_bytes = (uint32_t)buffer.size;
  *frame = (uint8_t *)msgpack_sbuffer_release (&buffer);
  return 0;
}

int64_t
burdock_frame_length (const uint8_t *data, uint32_t available_bytes)
{
  uint64_t length_bytes;

  if (available_bytes < BURDOCK_LENGTH_PREFIX_BYTES)
    return 0;
  length_bytes = ((uint64_t)data[0] << 24) | ((uint64_t)data[1] << 16) |
                 ((uint64_t)data[2] << 8) | data[3];
  length_bytes += BURDOCK_LENGTH_PREFIX_BYTES;
  if (length_bytes > BURDOCK_FRAME_MAX_BYTES)
    return -EMSGSIZE;
  return (int64_t)length_bytes;
}

static bool
read_u64 (const msgpack_object *object, uint64_t maximum, uint64_t *out)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > maximum)
    return false;
  *out = object->via.u64;
  return true;
}

static bool
read_name (const msgpack_object *object, char *out, uint32_t size_bytes)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size_bytes)
    return false;
  out[object->via.str.size] = '\0';
  if (object->via.str.size == 0)
    return true; /* msgpack gives a NULL pointer for an empty string */
  if (memchr (object->via.str.ptr, 0, object->via.str.size) != NULL)
    return false;
  memcpy (out, object->via.str.ptr, object->via.str.size);
  return true;
}

static bool
read_i32 (const msgpack_object *object, int32_t *out)
{
  if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= INT32_MAX) {
    *out = (int32_t)object->via.u64;
    return true;
  }
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER && object->via.i64 >= INT32_MIN) {
    *out = (int32_t)object->via.i64;
    return true;
  }
  return false;
}

static bool
read_ballot (const msgpack_object *object, BurdockBallot *out)
{
  uint64_t round = 0;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2)
    return false;
  if (!read_u64 (&object->via.array.ptr[0], UINT32_MAX, &round))
    return false;
  out->round = (uint32_t)round;
  return read_u64 (&object->via.array.ptr[1], UINT64_MAX, &out->proposer);
}

static bool read_struct (const msgpack_object *items, uint32_t count,
                         const BurdockFieldTable *table, uint8_t *data);

static bool
read_list (const msgpack_object *object, const BurdockField *field, uint8_t *data)
{
  uint32_t count;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > field->limit)
    return false;
  count = object->via.array.size;
  memcpy (data + field->count_offset, &count, sizeof count);
  for (uint32_t i = 0; i < count; i++) {
    const msgpack_object *item = &object->via.array.ptr[i];

    if (item->type != MSGPACK_OBJECT_ARRAY)
      return false;
    if (!read_struct (item->via.array.ptr, item->via.array.size, field->table,
                      data + field->offset + (size_t)i * field->table->size_bytes))
      return false;
  }
  return true;
}

static bool
read_field (const msgpack_object *object, const BurdockField *field, uint8_t *data)
{
  void *member = data + field->offset;
  uint64_t number = 0;

  switch (field->kind) {
  case BURDOCK_FIELD_U64:
    return read_u64 (object, UINT64_MAX, member);
  case BURDOCK_FIELD_U32:
    if (!read_u64 (object, UINT32_MAX, &number))
      return false;
    *(uint32_t *)member = (uint32_t)number;
    return true;
  case BURDOCK_FIELD_I32:
    return read_i32 (object, member);
  case BURDOCK_FIELD_BOOL:
    if (object->type != MSGPACK_OBJECT_BOOLEAN)
      return false;
    *(bool *)member = object->via.boolean;
    return true;
  case BURDOCK_FIELD_NAME:
    return read_name (object, member, field->size_bytes);
  case BURDOCK_FIELD_BYTES: {
    BurdockBytes *bytes = member;
    if (object->type != MSGPACK_OBJECT_BIN)
      return false;
    bytes->data = (const uint8_t *)object->via.bin.ptr;
    bytes->length_bytes = object->via.bin.size;
    return true;
  }
  case BURDOCK_FIELD_ADDRESS: {
    BurdockAddress *address = member;
    if (!read_u64 (object, (UINT64_C (1) << 48) - 1, &number))
      return false;
    address->ipv4 = (uint32_t)(number >> 16);
    address->port = (uint16_t)number;
    return true;
  }
  case BURDOCK_FIELD_BALLOT:
    return read_ballot (object, member);
  case BURDOCK_FIELD_STRUCT:
    return object->type == MSGPACK_OBJECT_ARRAY &&
           read_struct (object->via.array.ptr, object->via.array.size, field->table,
                        member);
  case BURDOCK_FIELD_LIST:
    return read_list (object, field, data);
  }
  return false;
}

static bool
read_struct (const msgpack_object *items, uint32_t count, const BurdockFieldTable *table,
             uint8_t *data)
{
  if (count != table->field_count)
    return false;
  for (uint32_t i = 0; i < count; i++) {
    if (!read_field (&items[i], &table->fields[i], data))
      return false;
  }
  return true;
}

static bool
read_header (const msgpack_object *items, BurdockMessageHeader *out)
{
  uint64_t type = 0;

  if (!read_u64 (&items[1], UINT32_MAX, &type))
    return false;
  out->type = (uint32_t)type;
  return read_u64 (&items[2], UINT64_MAX, &out->hlc) &&
         read_u64 (&items[3], UINT64_MAX, &out->sender_id) &&
         read_u64 (&items[4], UINT64_MAX, &out->sender_incarnation) &&
         read_u64 (&items[5], UINT64_MAX, &out->target_incarnation);
}

static int
read_message (const msgpack_object *root, BurdockMessage *out, BurdockError *error)
{
  const msgpack_object *items;
  const BurdockFieldTable *table;
  uint64_t version = 0;

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < HEADER_FIELD_COUNT)
    return burdock_error_set (error, -EPROTO, "decode header",
                              "not an array with a header");
  items = root->via.array.ptr;
  if (!read_u64 (&items[0], UINT32_MAX, &version) || version != BURDOCK_MESSAGE_VERSION)
    return burdock_error_set (error, -EPROTO, "decode header",
                              "message version %llu is not supported; allowed: %d",
                              (unsigned long long)version, BURDOCK_MESSAGE_VERSION);
  if (!read_header (items, &out->header))
    return burdock_error_set (error, -EPROTO, "decode header",
                              "wrong type or range of a header field");
  if (burdock_message_schema (out->header.type) == NULL)
    return burdock_error_set (error, -ENOSYS, "decode header", "unknown message type %u",
                              out->header.type);
  table = &burdock_message_schema (out->header.type)->table;
  /* The union is as large as a page of member records; only the member for this type is
   * cleared. */
  memset (&out->attempt, 0, table->size_bytes);
  if (!read_struct (items + HEADER_FIELD_COUNT, root->via.array.size - HEADER_FIELD_COUNT,
                    table, (uint8_t *)&out->attempt))
    return burdock_error_set (error, -EPROTO, "decode body",
                              "wrong number, type or range of the fields of %s",
                              burdock_message_name (out->header.type));
  return 0;
}

static int
check_mac (const uint8_t *body, uint32_t *body_bytes, const BurdockFrameKeys *keys,
           BurdockError *error)
{
  const uint8_t *mac;

  if (keys == NULL || keys->current == NULL)
    return 0;
  if (*body_bytes < BURDOCK_MAC_BYTES)
    return burdock_error_set (error, -EACCES, "check MAC",
                              "frame is too short for a MAC");
  *body_bytes -= BURDOCK_MAC_BYTES;
  mac = body + *body_bytes;
  if (mac_matches (mac, body, *body_bytes, keys->current) ||
      mac_matches (mac, body, *body_bytes, keys->previous))
    return 0;
  return burdock_error_set (error, -EACCES, "check MAC",
                            "MAC matches neither the current nor the previous key");
}

int
burdock_message_decode (const uint8_t *frame, uint32_t length_bytes,
                        const BurdockFrameKeys *keys, BurdockMessage *out,
                        BurdockError *error)
{
  int64_t frame_bytes = burdock_frame_length (frame, length_bytes);
  const uint8_t *body = frame + BURDOCK_LENGTH_PREFIX_BYTES;
  uint32_t body_bytes = length_bytes - BURDOCK_LENGTH_PREFIX_BYTES;
  msgpack_unpacked unpacked;
  size_t offset = 0;
  int status;

  out->header = (BurdockMessageHeader){ 0 };
  if (frame_bytes < 0)
    return burdock_error_set (error, -EMSGSIZE, "read length",
                              "frame length above %u bytes", BURDOCK_FRAME_MAX_BYTES);
  if (length_bytes < BURDOCK_LENGTH_PREFIX_BYTES || frame_bytes != (int64_t)length_bytes)
    return burdock_error_set (error, -EPROTO, "read length",
                              "length prefix says %lld bytes for a frame of %u bytes",
                              (long long)frame_bytes, length_bytes);
  status = check_mac (body, &body_bytes, keys, error);
  if (status < 0)
    return status;
  if (!burdock_msgpack_is_single_value (body, body_bytes))
    return burdock_error_set (error, -EPROTO, "decode frame",
                              "not exactly one msgpack value");
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)body, body_bytes, &offset) !=
          MSGPACK_UNPACK_SUCCESS ||
      offset != body_bytes)
    status = burdock_error_set (error, -EPROTO, "decode frame",
                                "not exactly one msgpack value");
  else
    status = read_message (&unpacked.data, out, error);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}
