#include "auth.h"

#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HASH_BYTES 32
#define HASH_HEX_BYTES (2 * HASH_BYTES + 1)
#define MAC_HEX_BYTES (2 * crypto_auth_BYTES + 1)

static void
compute_mac (const uint8_t *key, const char *method, const char *target, uint64_t time_s,
             BurdockBytes body, char mac_hex[MAC_HEX_BYTES])
{
  uint8_t hash[HASH_BYTES];
  uint8_t mac[crypto_auth_BYTES];
  char hash_hex[HASH_HEX_BYTES];
  char *text = NULL;
  int length;

  crypto_generichash (hash, sizeof hash, body.data, body.length_bytes, NULL, 0);
  sodium_bin2hex (hash_hex, sizeof hash_hex, hash, sizeof hash);
  length = asprintf (&text, "%s\n%s\n%" PRIu64 "\n%s", method, target, time_s, hash_hex);
  if (length < 0)
    abort ();
  crypto_auth (mac, (const uint8_t *)text, (unsigned long long)length, key);
  sodium_bin2hex (mac_hex, MAC_HEX_BYTES, mac, sizeof mac);
  free (text);
}

void
burdock_auth_sign (const uint8_t key[BURDOCK_KEY_BYTES], const char *method,
                   const char *target, uint64_t time_s, BurdockBytes body,
                   char out[BURDOCK_AUTH_TEXT_BYTES])
{
  char mac_hex[MAC_HEX_BYTES];

  compute_mac (key, method, target, time_s, body, mac_hex);
  snprintf (out, BURDOCK_AUTH_TEXT_BYTES, "%" PRIu64 ":%s", time_s, mac_hex);
}

int
burdock_auth_verify (const uint8_t key[BURDOCK_KEY_BYTES], const char *method,
                     const char *target, uint64_t now_s, BurdockBytes body,
                     const char *value)
{
  char mac_hex[MAC_HEX_BYTES];
  uint64_t time_s;
  char *end;

  if (value == NULL || value[0] < '0' || value[0] > '9')
    return -EACCES;
  time_s = strtoull (value, &end, 10);
  if (*end != ':' || strlen (end + 1) != MAC_HEX_BYTES - 1)
    return -EACCES;
  compute_mac (key, method, target, time_s, body, mac_hex);
  if (sodium_memcmp (mac_hex, end + 1, MAC_HEX_BYTES - 1) != 0)
    return -EACCES;
  if (time_s + BURDOCK_AUTH_MAX_CLOCK_SKEW_S < now_s ||
      time_s > now_s + BURDOCK_AUTH_MAX_CLOCK_SKEW_S)
    return -ESTALE;
  return 0;
}

int
burdock_key_parse (const char *text, uint8_t key[BURDOCK_KEY_BYTES])
{
  size_t length_bytes = 0;
  const char *end = NULL;

  if (sodium_hex2bin (key, BURDOCK_KEY_BYTES, text, strlen (text), NULL, &length_bytes,
                      &end) != 0 ||
      length_bytes != BURDOCK_KEY_BYTES || *end != '\0')
    return -EINVAL;
  return 0;
}
