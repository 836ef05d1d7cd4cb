#include "http-framing.h"

#include <errno.h>
#include <string.h>

#define VERSION_TEXT "HTTP/1."
#define STATUS_DIGITS 3
#define FINAL_STATUS_MIN 200
#define STATUS_MIN 100
#define STATUS_MAX 599
#define SWITCHING_PROTOCOLS 101

static int
refuse (BurdockHttpFraming *framing, const char *reason)
{
  framing->malformed = reason;
  return -EPROTO;
}

static bool
is_digit (char byte)
{
  return byte >= '0' && byte <= '9';
}

/* A tab is a blank, not a control byte. */
static bool
is_control (char byte)
{
  uint8_t code = (uint8_t)byte;

  return (code < ' ' && code != '\t') || code == 0x7f;
}

static bool
has_control (const char *text, size_t length_bytes)
{
  for (size_t i = 0; i < length_bytes; i++)
    if (is_control (text[i]))
      return true;
  return false;
}

static int
read_version (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  size_t prefix_bytes = strlen (VERSION_TEXT);

  if (length_bytes < prefix_bytes + 2 || memcmp (line, VERSION_TEXT, prefix_bytes) != 0 ||
      (line[prefix_bytes] != '0' && line[prefix_bytes] != '1') ||
      line[prefix_bytes + 1] != ' ')
    return refuse (framing, "the version is not HTTP/1.0 or HTTP/1.1");
  framing->minor_version = line[prefix_bytes] - '0';
  return 0;
}

/* Reads "HTTP/1.1 200 OK"; servers that send no reason often leave its blank out. */
static int
read_status_line (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  const char *code = line + strlen (VERSION_TEXT "1 ");
  size_t rest_bytes;
  int32_t status = 0;

  if (read_version (framing, line, length_bytes) < 0)
    return -EPROTO;
  rest_bytes = length_bytes - (size_t)(code - line);
  for (size_t i = 0; i < STATUS_DIGITS; i++) {
    if (i >= rest_bytes || !is_digit (code[i]))
      return refuse (framing, "the status code is not of three digits");
    status = status * 10 + code[i] - '0';
  }
  if (rest_bytes > STATUS_DIGITS && code[STATUS_DIGITS] != ' ')
    return refuse (framing, "the status code is not of three digits");
  if (status < STATUS_MIN || status > STATUS_MAX)
    return refuse (framing, "the status code is not between 100 and 599");
  /* No request asks for it. */
  if (status == SWITCHING_PROTOCOLS)
    return refuse (framing, "the server switches to another protocol");
  if (has_control (code, rest_bytes))
    return refuse (framing, "the status line has a control byte");
  framing->http_status = status;
  framing->part = BURDOCK_HTTP_FIELDS;
  return 0;
}

/* Whether a field name may contain @byte (RFC 9110, section 5.6.2). */
static bool
is_name_byte (char byte)
{
  return is_digit (byte) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Also refuses a line that goes on with the field before it: RFC 9112 forbids servers to
 * send one, and clients differ in how they read it. */
static int
read_field (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  const char *colon = memchr (line, ':', length_bytes);

  if (colon == NULL)
    return refuse (framing, "a line of the head is no field");
  if (colon == line)
    return refuse (framing, "a field has no name");
  for (const char *at = line; at < colon; at++)
    if (!is_name_byte (*at))
      return refuse (framing, "the name of a field has a byte that names cannot have");
  if (has_control (colon, length_bytes - (size_t)(colon - line)))
    return refuse (framing, "the value of a field has a control byte");
  return 0;
}

static int
end_head (BurdockHttpFraming *framing)
{
  framing->part = framing->http_status < FINAL_STATUS_MIN ? BURDOCK_HTTP_STATUS_LINE
                                                          : BURDOCK_HTTP_TRAILERS;
  return 0;
}

int
burdock_http_framing_read_line (BurdockHttpFraming *framing, const char *line,
                                size_t length_bytes)
{
  if (framing->malformed != NULL)
    return -EPROTO;
  if (length_bytes < 2 || line[length_bytes - 2] != '\r' ||
      line[length_bytes - 1] != '\n')
    return refuse (framing, "a line does not end with CR and LF");
  length_bytes -= 2;
  if (framing->part == BURDOCK_HTTP_STATUS_LINE)
    return read_status_line (framing, line, length_bytes);
  return length_bytes == 0 ? end_head (framing)
                           : read_field (framing, line, length_bytes);
}

bool
burdock_http_framing_has_head (const BurdockHttpFraming *framing)
{
  return framing->part == BURDOCK_HTTP_TRAILERS && framing->malformed == NULL;
}
