/**
 * DOC: text.h - growing text buffer that can append JSON strings
 *
 * Used where JSON is written for each token, which is too often to build a JSON tree.
 */
#ifndef BURDOCK_TEXT_H
#define BURDOCK_TEXT_H

#include "burdock.h"

/** struct BurdockText - @data has a terminating zero, and is NULL until the first append
 */
typedef struct {
  char *data;
  uint32_t length_bytes;
  uint32_t capacity_bytes;
} BurdockText;

/* The functions that append abort the process when memory is exhausted. */
void burdock_text_add (BurdockText *text, const char *data, uint32_t length_bytes);
void burdock_text_add_string (BurdockText *text, const char *string);
void burdock_text_add_number (BurdockText *text, uint64_t number);

/** burdock_text_add_json() - appends UTF-8 text as a quoted and escaped JSON string */
void burdock_text_add_json (BurdockText *text, BurdockBytes value);
void burdock_text_add_json_string (BurdockText *text, const char *string);

/** burdock_text_format() - appends formatted text */
void burdock_text_format (BurdockText *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** burdock_text_take() - returns the text, to be released with free(), and resets the
 * buffer; never NULL */
char *burdock_text_take (BurdockText *text);
void burdock_text_clear (BurdockText *text);

/** burdock_text_is_utf8() - whether @bytes are valid UTF-8 without a zero byte */
bool burdock_text_is_utf8 (BurdockBytes bytes);

#endif
