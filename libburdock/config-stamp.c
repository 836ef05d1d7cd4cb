#include "config-stamp.h"

#include <sodium.h>

BurdockConfigStamp
burdock_config_stamp (uint64_t version, uint64_t era, BurdockBytes text)
{
  static const uint8_t key[crypto_shorthash_KEYBYTES] = { 0 };
  BurdockConfigStamp stamp = { .is_set = true, .version = version, .era = era };

  _Static_assert(sizeof stamp.digest == crypto_shorthash_BYTES, "size of the hash");
  crypto_shorthash ((uint8_t *)&stamp.digest, text.data, text.length_bytes, key);
  return stamp;
}

BurdockConfigOrder
burdock_config_order (const BurdockConfigStamp *in_force, const BurdockConfigStamp *read)
{
  if (!in_force->is_set)
    return BURDOCK_CONFIG_NEWER;
  if (read->version != in_force->version)
    return read->version > in_force->version ? BURDOCK_CONFIG_NEWER
                                             : BURDOCK_CONFIG_OLDER;
  if (read->digest == in_force->digest)
    return BURDOCK_CONFIG_SAME;
  if (read->digest == in_force->replaced_digest)
    return BURDOCK_CONFIG_OLDER;
  return read->era > in_force->era ? BURDOCK_CONFIG_NEWER : BURDOCK_CONFIG_CONFLICT;
}

BurdockOptional
burdock_config_stamp_version (const BurdockConfigStamp *stamp)
{
  return stamp->is_set ? burdock_optional (stamp->version) : (BurdockOptional){ 0 };
}

const char *
burdock_config_order_name (BurdockConfigOrder order)
{
  static const char *const names[] = { "unknown", "newer", "the same", "older",
                                       "in conflict" };

  return names[order];
}

void
burdock_config_stamp_replace (BurdockConfigStamp *in_force,
                              const BurdockConfigStamp *read)
{
  bool same_version = in_force->is_set && in_force->version == read->version;
  uint64_t replaced = same_version ? in_force->digest : 0;

  *in_force = *read;
  in_force->replaced_digest = replaced;
}
