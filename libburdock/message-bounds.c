#include "message-bounds.h"

#include <stddef.h>

/* Encoding of the msgpack formats whose first byte lies in a range. */
typedef struct {
  uint8_t first;             /* lowest first byte */
  uint8_t last;              /* highest first byte */
  uint8_t length_mask;       /* bits of the first byte that hold a length */
  uint8_t length_bytes;      /* size of the length field that follows */
  uint8_t extra_bytes;       /* bytes of payload that the length does not count */
  uint8_t elements_per_unit; /* elements per unit of length; 0: the length is in bytes */
} Format;

static const Format formats[] = {
  { 0x00, 0x7f, 0, 0, 0, 0 },    /* positive fixint */
  { 0x80, 0x8f, 0x0f, 0, 0, 2 }, /* fixmap */
  { 0x90, 0x9f, 0x0f, 0, 0, 1 }, /* fixarray */
  { 0xa0, 0xbf, 0x1f, 0, 0, 0 }, /* fixstr */
  { 0xc0, 0xc0, 0, 0, 0, 0 },    /* nil */
  { 0xc2, 0xc3, 0, 0, 0, 0 },    /* boolean */
  { 0xc4, 0xc4, 0, 1, 0, 0 },    /* bin 8 */
  { 0xc5, 0xc5, 0, 2, 0, 0 },    /* bin 16 */
  { 0xc6, 0xc6, 0, 4, 0, 0 },    /* bin 32 */
  { 0xc7, 0xc7, 0, 1, 1, 0 },    /* ext 8 */
  { 0xc8, 0xc8, 0, 2, 1, 0 },    /* ext 16 */
  { 0xc9, 0xc9, 0, 4, 1, 0 },    /* ext 32 */
  { 0xca, 0xca, 0, 0, 4, 0 },    /* float 32 */
  { 0xcb, 0xcb, 0, 0, 8, 0 },    /* float 64 */
  { 0xcc, 0xcc, 0, 0, 1, 0 },    /* uint 8 to 64 */
  { 0xcd, 0xcd, 0, 0, 2, 0 },    { 0xce, 0xce, 0, 0, 4, 0 },
  { 0xcf, 0xcf, 0, 0, 8, 0 },    { 0xd0, 0xd0, 0, 0, 1, 0 }, /* int 8 to 64 */
  { 0xd1, 0xd1, 0, 0, 2, 0 },    { 0xd2, 0xd2, 0, 0, 4, 0 },
  { 0xd3, 0xd3, 0, 0, 8, 0 },    { 0xd4, 0xd4, 0, 0, 2, 0 }, /* fixext 1 to 16 */
  { 0xd5, 0xd5, 0, 0, 3, 0 },    { 0xd6, 0xd6, 0, 0, 5, 0 },
  { 0xd7, 0xd7, 0, 0, 9, 0 },    { 0xd8, 0xd8, 0, 0, 17, 0 },
  { 0xd9, 0xd9, 0, 1, 0, 0 }, /* str 8 to 32 */
  { 0xda, 0xda, 0, 2, 0, 0 },    { 0xdb, 0xdb, 0, 4, 0, 0 },
  { 0xdc, 0xdc, 0, 2, 0, 1 },                                /* array 16 and 32 */
  { 0xdd, 0xdd, 0, 4, 0, 1 },    { 0xde, 0xde, 0, 2, 0, 2 }, /* map 16 and 32 */
  { 0xdf, 0xdf, 0, 4, 0, 2 },    { 0xe0, 0xff, 0, 0, 0, 0 }, /* negative fixint */
};

static const Format *
find_format (uint8_t first_byte)
{
  for (size_t i = 0; i < sizeof formats / sizeof formats[0]; i++) {
    if (first_byte >= formats[i].first && first_byte <= formats[i].last)
      return &formats[i];
  }
  return NULL;
}

bool
burdock_msgpack_is_single_value (const uint8_t *data, uint32_t length_bytes)
{
  uint64_t elements_left = 1;
  uint64_t offset = 0;

  while (elements_left > 0) {
    const Format *format = offset < length_bytes ? find_format (data[offset]) : NULL;
    uint64_t length;

    if (format == NULL || offset + 1 + format->length_bytes > length_bytes)
      return false;
    length = data[offset++] & format->length_mask;
    for (uint8_t i = 0; i < format->length_bytes; i++)
      length = (length << 8) | data[offset++];
    elements_left = elements_left - 1 + length * format->elements_per_unit;
    offset += format->extra_bytes + (format->elements_per_unit == 0 ? length : 0);
    if (offset > length_bytes || elements_left > length_bytes - offset)
      return false;
  }
  return offset == length_bytes;
}
