/**
 * DOC: optional.h - a number, or none
 *
 * For numbers that come from outside and may be absent: each value of such a number, 0
 * too, is one that it can have, so none of them may stand for its absence.
 */
#ifndef BURDOCK_OPTIONAL_H
#define BURDOCK_OPTIONAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a formatted number, including the terminating zero byte. */
#define BURDOCK_OPTIONAL_BYTES 24

/**
 * struct BurdockOptional - a number, or none; none when initialized with zeros
 * @value: valid if @is_set
 */
typedef struct {
  bool is_set;
  uint64_t value;
} BurdockOptional;

/** burdock_optional() - the number @value */
static inline BurdockOptional
burdock_optional (uint64_t value)
{
  return (BurdockOptional){ .is_set = true, .value = value };
}

/** burdock_optional_equal() - whether both are none, or the same number */
static inline bool
burdock_optional_equal (BurdockOptional a, BurdockOptional b)
{
  return a.is_set == b.is_set && (!a.is_set || a.value == b.value);
}

/** burdock_optional_is_above() - whether @a is a number, and @b none or a lower one */
static inline bool
burdock_optional_is_above (BurdockOptional a, BurdockOptional b)
{
  return a.is_set && (!b.is_set || a.value > b.value);
}

/**
 * burdock_optional_parse() - parses a decimal number
 * @text: @length_bytes bytes; blanks around the digits are allowed
 * @out: receives the number, none on failure
 *
 * Returns false unless the text is a number up to 2^64 - 1.
 */
bool burdock_optional_parse (const char *text, size_t length_bytes, BurdockOptional *out);

/** burdock_optional_format() - writes the number in decimal digits, or "none" */
void burdock_optional_format (BurdockOptional number, char out[BURDOCK_OPTIONAL_BYTES]);

#endif
