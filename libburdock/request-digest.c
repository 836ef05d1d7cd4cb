#include "request-digest.h"

#include <sodium.h>
#include <string.h>

/* The terminating zero separates the texts. */
static void
add_text (crypto_generichash_state *state, const char *text)
{
  const char *given = text != NULL ? text : "";

  crypto_generichash_update (state, (const uint8_t *)given, strlen (given) + 1);
}

uint64_t
burdock_request_digest (const BurdockRequestContent *content)
{
  crypto_generichash_state state;
  uint8_t hash[crypto_generichash_BYTES];
  uint64_t digest;

  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  add_text (&state, content->method);
  add_text (&state, content->host);
  add_text (&state, content->target);
  add_text (&state, content->caller);
  crypto_generichash_update (&state, content->body.data, content->body.length_bytes);
  crypto_generichash_final (&state, hash, sizeof hash);
  memcpy (&digest, hash, sizeof digest);
  return digest;
}
