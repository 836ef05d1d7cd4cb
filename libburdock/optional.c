#include "optional.h"

#include <inttypes.h>
#include <stdio.h>

#define DECIMAL_BASE 10

static const char *
skip_blanks (const char *at, const char *end)
{
  while (at < end && (*at == ' ' || *at == '\t'))
    at++;
  return at;
}

bool
burdock_optional_parse (const char *text, size_t length_bytes, BurdockOptional *out)
{
  const char *end = text + length_bytes;
  const char *at = skip_blanks (text, end);
  const char *digits = at;
  uint64_t value = 0;

  *out = (BurdockOptional){ 0 };
  for (; at < end && *at >= '0' && *at <= '9'; at++) {
    uint64_t digit = (uint64_t)(*at - '0');

    if (value > (UINT64_MAX - digit) / DECIMAL_BASE)
      return false;
    value = value * DECIMAL_BASE + digit;
  }
  if (at == digits || skip_blanks (at, end) < end)
    return false;
  *out = burdock_optional (value);
  return true;
}

void
burdock_optional_format (BurdockOptional number, char out[BURDOCK_OPTIONAL_BYTES])
{
  if (number.is_set)
    snprintf (out, BURDOCK_OPTIONAL_BYTES, "%" PRIu64, number.value);
  else
    snprintf (out, BURDOCK_OPTIONAL_BYTES, "none");
}
