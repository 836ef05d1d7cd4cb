/**
 * DOC: config-stamp.h - order of configurations that are read from the store
 *
 * The operator numbers its configurations, and a higher number is a later one, also
 * across restores of the store: until the operator has written its last configuration
 * again, a restored store has an older one, which must not replace it. A number that the
 * operator gives out again after a restore is told by the content. Performs no I/O.
 */
#ifndef BURDOCK_CONFIG_STAMP_H
#define BURDOCK_CONFIG_STAMP_H

#include "burdock.h"
#include "optional.h"

/**
 * struct BurdockConfigStamp - identity of a configuration
 * @is_set: false for no configuration; initialize with zeros
 * @version: number given by the operator
 * @era: era of the store in which it was read
 * @digest: hash of its text
 * @replaced_digest: hash of the configuration with the same number that it has replaced,
 *   0 for none
 */
typedef struct {
  bool is_set;
  uint64_t version;
  uint64_t era;
  uint64_t digest;
  uint64_t replaced_digest;
} BurdockConfigStamp;

/** enum BurdockConfigOrder - a configuration that was read, beside the one in force */
typedef enum {
  BURDOCK_CONFIG_NEWER = 1,
  BURDOCK_CONFIG_SAME,
  BURDOCK_CONFIG_OLDER,
  BURDOCK_CONFIG_CONFLICT, /* same number and era, another content */
} BurdockConfigOrder;

/** burdock_config_stamp() - stamp of the configuration @text, read in @era */
BurdockConfigStamp burdock_config_stamp (uint64_t version, uint64_t era,
                                         BurdockBytes text);

/** burdock_config_order() - order of @read, beside @in_force; newer than none */
BurdockConfigOrder burdock_config_order (const BurdockConfigStamp *in_force,
                                         const BurdockConfigStamp *read);

/** burdock_config_stamp_version() - version of the configuration, none without one */
BurdockOptional burdock_config_stamp_version (const BurdockConfigStamp *stamp);

/** burdock_config_order_name() - text for the log */
const char *burdock_config_order_name (BurdockConfigOrder order);

/** burdock_config_stamp_replace() - @read is in force from now on; its order is
 * BURDOCK_CONFIG_NEWER */
void burdock_config_stamp_replace (BurdockConfigStamp *in_force,
                                   const BurdockConfigStamp *read);

#endif
