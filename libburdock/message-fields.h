/**
 * DOC: message-fields.h - field tables that describe the body of each message type
 *
 * The tables are defined in message-fields.c and interpreted by the encoder and the
 * decoder in message.c.
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
  BURDOCK_FIELD_STRUCT,  /* embedded struct described by @table */
  BURDOCK_FIELD_LIST,    /* array of at most @limit structs; count at @count_offset */
} BurdockFieldKind;

typedef struct BurdockField BurdockField;

/**
 * struct BurdockFieldTable - fields of a struct, in the order in which they are encoded
 * @size_bytes: size of the struct
 */
typedef struct {
  uint32_t size_bytes;
  uint32_t field_count;
  const BurdockField *fields;
} BurdockFieldTable;

/**
 * struct BurdockField - one member of a struct
 * @offset: offset of the member in the struct, in bytes
 * @size_bytes: size of the member; not set for STRUCT and LIST
 * @table: for STRUCT and LIST, fields of the embedded struct or of one item
 * @limit: for LIST, largest number of items
 * @count_offset: for LIST, offset of the member of type uint32_t that holds the number of
 *   items
 */
struct BurdockField {
  BurdockFieldKind kind;
  uint32_t offset;
  uint32_t size_bytes;
  const BurdockFieldTable *table;
  uint32_t limit;
  uint32_t count_offset;
};

/** struct BurdockMessageSchema - name and body fields of one message type */
typedef struct {
  const char *name;
  BurdockFieldTable table;
} BurdockMessageSchema;

/** burdock_message_schema() - schema of a message type, or NULL for an unknown type */
const BurdockMessageSchema *burdock_message_schema (uint32_t type);

#endif
