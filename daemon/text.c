#include "text.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY_BYTES 256
#define NUMBER_BYTES 24

static void
reserve (BurdockText *text, uint32_t added_bytes)
{
  uint32_t needed = text->length_bytes + added_bytes + 1;
  uint32_t capacity = needed + needed / 2;

  if (needed <= text->capacity_bytes)
    return;
  if (capacity < MIN_CAPACITY_BYTES)
    capacity = MIN_CAPACITY_BYTES;
  text->data = realloc (text->data, capacity);
  if (text->data == NULL)
    abort ();
  text->capacity_bytes = capacity;
}

void
burdock_text_add (BurdockText *text, const char *data, uint32_t length_bytes)
{
  reserve (text, length_bytes);
  if (length_bytes > 0)
    memcpy (text->data + text->length_bytes, data, length_bytes);
  text->length_bytes += length_bytes;
  text->data[text->length_bytes] = '\0';
}

void
burdock_text_add_string (BurdockText *text, const char *string)
{
  burdock_text_add (text, string, (uint32_t)strlen (string));
}

void
burdock_text_add_number (BurdockText *text, uint64_t number)
{
  char digits[NUMBER_BYTES];
  uint32_t at = NUMBER_BYTES;

  do {
    digits[--at] = (char)('0' + number % 10);
    number /= 10;
  } while (number > 0);
  burdock_text_add (text, digits + at, NUMBER_BYTES - at);
}

static bool
needs_no_escape (uint8_t byte)
{
  return byte >= 0x20 && byte != '"' && byte != '\\' && byte != 0x7f;
}

static void
add_escape (BurdockText *text, uint8_t byte)
{
  switch (byte) {
  case '"':
    burdock_text_add (text, "\\\"", 2);
    return;
  case '\\':
    burdock_text_add (text, "\\\\", 2);
    return;
  case '\n':
    burdock_text_add (text, "\\n", 2);
    return;
  default:
    burdock_text_format (text, "\\u%04x", byte);
  }
}

void
burdock_text_add_json (BurdockText *text, BurdockBytes value)
{
  uint32_t start = 0;

  reserve (text, value.length_bytes + 2);
  burdock_text_add (text, "\"", 1);
  for (uint32_t i = 0; i < value.length_bytes; i++) {
    if (needs_no_escape (value.data[i]))
      continue;
    burdock_text_add (text, (const char *)value.data + start, i - start);
    add_escape (text, value.data[i]);
    start = i + 1;
  }
  if (start < value.length_bytes)
    burdock_text_add (text, (const char *)value.data + start, value.length_bytes - start);
  burdock_text_add (text, "\"", 1);
}

void
burdock_text_add_json_string (BurdockText *text, const char *string)
{
  burdock_text_add_json (text,
                         (BurdockBytes){ .data = (const uint8_t *)string,
                                         .length_bytes = (uint32_t)strlen (string) });
}

void
burdock_text_format (BurdockText *text, const char *format, ...)
{
  char *added = NULL;
  va_list args;
  int length;

  va_start (args, format);
  length = vasprintf (&added, format, args);
  va_end (args);
  if (length < 0)
    abort ();
  burdock_text_add (text, added, (uint32_t)length);
  free (added);
}

char *
burdock_text_take (BurdockText *text)
{
  char *data;

  burdock_text_add (text, "", 0);
  data = text->data;
  *text = (BurdockText){ 0 };
  return data;
}

void
burdock_text_clear (BurdockText *text)
{
  free (text->data);
  *text = (BurdockText){ 0 };
}

/* Returns the length of the UTF-8 sequence at @at, or 0 if it is invalid. Overlong forms,
 * surrogates, code points above U+10FFFF and zero bytes are invalid. */
static uint32_t
sequence_bytes (const uint8_t *at, uint32_t left_bytes)
{
  static const uint32_t min_code_point[] = { 0, 0, 0x80, 0x800, 0x10000 };
  uint32_t length = at[0] < 0x80                     ? 1
                    : at[0] >= 0xc2 && at[0] <= 0xdf ? 2
                    : (at[0] & 0xf0) == 0xe0         ? 3
                    : at[0] >= 0xf0 && at[0] <= 0xf4 ? 4
                                                     : 0;
  uint32_t code_point = length > 1 ? at[0] & (0xff >> (length + 1)) : at[0];

  if (length == 0 || length > left_bytes || at[0] == 0)
    return 0;
  for (uint32_t i = 1; i < length; i++) {
    if ((at[i] & 0xc0) != 0x80)
      return 0;
    code_point = (code_point << 6) | (at[i] & 0x3f);
  }
  if (length > 1 && (code_point < min_code_point[length] || code_point > 0x10ffff ||
                     (code_point >= 0xd800 && code_point <= 0xdfff)))
    return 0;
  return length;
}

bool
burdock_text_is_utf8 (BurdockBytes bytes)
{
  uint32_t at = 0;

  while (at < bytes.length_bytes) {
    uint32_t length = sequence_bytes (bytes.data + at, bytes.length_bytes - at);

    if (length == 0)
      return false;
    at += length;
  }
  return true;
}
