/**
 * DOC: fuzz-http-framing.c - checks arbitrary bytes as a response
 *
 * The first byte gives the size of the parts in which a body arrives. The check accepts
 * or refuses the same bytes as for all of them at once, and nothing after it has refused
 * them.
 */
#include "http-framing.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

/* Reads the lines of the head, and returns where the body begins. */
static const char *
read_head (BurdockHttpFraming *framing, const char *text, const char *end)
{
  while (text < end && !burdock_http_framing_has_head (framing)) {
    const char *line_end = memchr (text, '\n', (size_t)(end - text));
    const char *next = line_end != NULL ? line_end + 1 : end;

    if (burdock_http_framing_read_line (framing, text, (size_t)(next - text)) < 0)
      break;
    text = next;
  }
  return text;
}

static int
read_parts (BurdockHttpFraming *framing, const char *text, const char *end,
            size_t part_bytes)
{
  int status = 0;

  while (text < end && status == 0) {
    size_t left_bytes = (size_t)(end - text);
    size_t bytes = left_bytes < part_bytes ? left_bytes : part_bytes;

    status = burdock_http_framing_read_body (framing, text, bytes);
    text += bytes;
  }
  return status;
}

static void
check_head (const BurdockHttpFraming *framing)
{
  if (framing->http_status < 200 || framing->http_status > 599 ||
      (framing->has_length && framing->chunked) || framing->body_bytes > INT64_MAX)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  const char *text = (const char *)data + 1;
  const char *end = (const char *)data + size_bytes;
  BurdockHttpFraming whole = { 0 };
  BurdockHttpFraming parts;
  int status;

  if (size_bytes < 2)
    return 0;
  text = read_head (&whole, text, end);
  if (whole.malformed != NULL) {
    if (burdock_http_framing_has_head (&whole) ||
        burdock_http_framing_read_line (&whole, "A: b\r\n", 6) != -EPROTO ||
        burdock_http_framing_read_body (&whole, "", 0) != -EPROTO)
      abort ();
    return 0;
  }
  if (!burdock_http_framing_has_head (&whole))
    return 0;
  check_head (&whole);
  parts = whole;
  status = read_parts (&whole, text, end, size_bytes);
  if (read_parts (&parts, text, end, data[0] + 1u) != status ||
      parts.malformed != whole.malformed || parts.chunk_part != whole.chunk_part ||
      parts.chunk_bytes != whole.chunk_bytes)
    abort ();
  return 0;
}
