/**
 * DOC: message-fields.h - description of the messages, shared by table and codec
 */
#ifndef BURDOCK_MESSAGE_FIELDS_H
#define BURDOCK_MESSAGE_FIELDS_H

#include "message.h"

typedef enum {
  BURDOCK_FIELD_U64,
  BURDOCK_FIELD_U32,
  BURDOCK_FIELD_I32,
  BURDOCK_FIELD_BOOL,
  BURDOCK_FIELD_NAME,    /* char array, @size_bytes with the terminator */
  BURDOCK_FIELD_BYTES,   /* BurdockBytes */
  BURDOCK_FIELD_ADDRESS, /* BurdockAddress */
  BURDOCK_FIELD_BALLOT,  /* BurdockBallot */
  BURDOCK_FIELD_STRUCT,  /* embedded struct described by @record */
  BURDOCK_FIELD_LIST,    /* array of at most @limit structs; count at @count_offset */
} BurdockFieldKind;

typedef struct BurdockField BurdockField;

typedef struct {
  uint32_t size_bytes;
  uint32_t field_count;
  const BurdockField *fields;
} BurdockFieldTable;

struct BurdockField {
  BurdockFieldKind kind;
  uint32_t offset;
  uint32_t size_bytes;
  const BurdockFieldTable *record;
  uint32_t limit;
  uint32_t count_offset;
};

/** struct BurdockMessageSchema - name and fields of one message type */
typedef struct {
  const char *name;
  BurdockFieldTable record;
} BurdockMessageSchema;

/** burdock_message_schema() - description of a type, or NULL for an unknown one */
const BurdockMessageSchema *burdock_message_schema (uint32_t type);

#endif
