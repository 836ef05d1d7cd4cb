#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
burdock_copy_text (char *out, size_t size_bytes, const char *text)
{
  size_t length_bytes = strnlen (text, size_bytes);
  bool fits = length_bytes < size_bytes;

  if (fits)
    memcpy (out, text, length_bytes);
  out[fits ? length_bytes : 0] = '\0';
  return fits;
}

void
burdock_copy_name (char *out, size_t size_bytes, const char *text)
{
  if (!burdock_copy_text (out, size_bytes, text))
    out[0] = '\0';
}

int
burdock_error_set (BurdockError *error, int code, const char *step, const char *format,
                   ...)
{
  va_list args;

  if (error == NULL)
    return code;
  error->code = code;
  burdock_copy_name (error->step, sizeof error->step, step);
  burdock_copy_name (error->peer, sizeof error->peer, "-");
  va_start (args, format);
  vsnprintf (error->detail, sizeof error->detail, format, args);
  va_end (args);
  return code;
}

void
burdock_error_set_peer (BurdockError *error, BurdockAddress peer)
{
  if (error != NULL)
    burdock_address_format (peer, error->peer, sizeof error->peer);
}
