#include "burdock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* First byte of 0.0.0.0/8, which is no destination, and first bytes of multicast. */
#define THIS_NETWORK 0
#define MULTICAST_FIRST 224
#define MULTICAST_LAST 239
#define BROADCAST UINT32_MAX

uint64_t
burdock_member_id (const char *name)
{
  uint8_t hash[crypto_generichash_BYTES_MIN];
  uint64_t id = 0;

  crypto_generichash (hash, sizeof hash, (const uint8_t *)name, strlen (name), NULL, 0);
  for (uint32_t i = 0; i < sizeof id; i++)
    id = (id << 8) | hash[i];
  return id;
}

void
burdock_address_format (BurdockAddress address, char *text, size_t size_bytes)
{
  snprintf (text, size_bytes, "%u.%u.%u.%u:%u", address.ipv4 >> 24,
            (address.ipv4 >> 16) & 0xff, (address.ipv4 >> 8) & 0xff, address.ipv4 & 0xff,
            address.port);
}

int
burdock_address_parse (const char *text, BurdockAddress *out)
{
  const char *colon = strchr (text, ':');
  char host[INET_ADDRSTRLEN];
  struct in_addr ip;
  unsigned long port;
  char *end;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return -EINVAL;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &ip) != 1 || colon[1] < '0' || colon[1] > '9')
    return -EINVAL;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port > UINT16_MAX)
    return -EINVAL;
  *out = (BurdockAddress){ .ipv4 = ntohl (ip.s_addr), .port = (uint16_t)port };
  return 0;
}

bool
burdock_address_is_host (BurdockAddress address)
{
  uint32_t first = address.ipv4 >> 24;

  return address.port != 0 && first != THIS_NETWORK && address.ipv4 != BROADCAST &&
         (first < MULTICAST_FIRST || first > MULTICAST_LAST);
}
