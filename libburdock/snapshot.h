/**
 * DOC: snapshot.h - view of the control state that traffic threads read
 *
 * A snapshot is built by the publish controller and immutable afterwards. It has an
 * atomic reference count and keeps a reference to its configuration.
 */
#ifndef BURDOCK_SNAPSHOT_H
#define BURDOCK_SNAPSHOT_H

#include "config.h"
#include "message.h"

/**
 * struct BurdockUpstream - upstream and the agent through which it is reached
 * @running: requests running, as last reported
 * @queued: requests queued, as last reported
 * @joined_us: time at which the agent was first seen, on the now_us clock
 * @usable: whether the agent is alive, and neither suspected nor leaving
 * @weight: part of @capacity that may be used, from 0 to 1; below 1 during warm-up
 */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  BurdockAddress traffic_address;
  char name[BURDOCK_NAME_BYTES];
  char failure_domain[BURDOCK_NAME_BYTES];
  char pool[BURDOCK_NAME_BYTES];
  char group[BURDOCK_NAME_BYTES];
  uint32_t rank;
  uint32_t capacity;
  uint32_t running;
  uint32_t queued;
  uint64_t joined_us;
  bool usable;
  double weight;
} BurdockUpstream;

/**
 * struct BurdockEntryInfo - entry to which callers can be directed
 * @running: requests running, as last reported
 * @usable: whether the entry is alive, and neither suspected nor leaving
 */
typedef struct {
  uint64_t id;
  BurdockAddress http_address;
  char failure_domain[BURDOCK_NAME_BYTES];
  uint32_t running;
  bool usable;
} BurdockEntryInfo;

/** struct BurdockSnapshotShare - this entry's part of the running limit of a workspace */
typedef struct {
  char workspace[BURDOCK_NAME_BYTES];
  uint32_t running_limit;
} BurdockSnapshotShare;

/**
 * struct BurdockSnapshot - immutable view of the control state
 * @config: active configuration, NULL if there is none
 * @refusal: BURDOCK_REASON_NONE while new work is accepted, otherwise the reason why all
 *   of it is refused (no configuration, isolated, leaving)
 * @store_era: highest era of the store that is known, 0 for none
 * @live_entries: number of usable entries, this one included
 * @answer_lifetime_ms: how long callers may use an answer of /v1/entries
 * @answer_slot: number of the current answer lifetime; callers are distributed over the
 *   entries anew when it changes
 * @shares: shares of this entry in the running limits of workspaces
 */
struct BurdockSnapshot {
  int32_t references;
  uint64_t generation;
  BurdockConfig *config;
  BurdockReason refusal;
  bool store_available;
  uint64_t store_era;
  uint32_t live_entries;
  uint32_t answer_lifetime_ms;
  uint64_t answer_slot;
  char failure_domain[BURDOCK_NAME_BYTES];
  uint32_t upstream_count;
  BurdockUpstream *upstreams;
  uint32_t entry_count;
  BurdockEntryInfo *entries;
  uint32_t share_count;
  BurdockSnapshotShare *shares;
};

/**
 * burdock_snapshot_new() - creates an empty snapshot with one reference
 * @config: configuration, to which the snapshot takes its own reference; may be NULL
 */
BurdockSnapshot *burdock_snapshot_new (BurdockConfig *config);

#endif
