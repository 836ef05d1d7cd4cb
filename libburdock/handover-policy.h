/**
 * DOC: handover-policy.h - when a gateway that starts has all state that it needs
 *
 * The gateway has read the store and has to find out whether another gateway knows more.
 * Performs no I/O.
 */
#ifndef BURDOCK_HANDOVER_POLICY_H
#define BURDOCK_HANDOVER_POLICY_H

#include "optional.h"

/**
 * struct BurdockHandoverView - what a gateway that starts knows
 * @era: era of the store, 0 if it names none
 * @listed_us: time at which the store had been read, 0 if it has not been read yet
 * @peer_ready: another gateway that is ready was heard
 * @own_version: version of its configuration
 * @peer_version: highest version that another gateway has reported
 * @taken_over: the state of another gateway has been received
 * @failures: calls to other gateways that failed
 * @asked_us: time of the last call, 0 before the first one
 */
typedef struct {
  uint64_t era;
  uint64_t listed_us;
  bool peer_ready;
  BurdockOptional own_version;
  BurdockOptional peer_version;
  bool taken_over;
  uint32_t failures;
  uint64_t asked_us;
} BurdockHandoverView;

/** enum BurdockHandoverStep - what to do next */
typedef enum {
  BURDOCK_HANDOVER_WAIT = 1, /* until the time given */
  BURDOCK_HANDOVER_ASK,      /* another gateway for its state */
  BURDOCK_HANDOVER_DONE,     /* the gateway may serve callers */
} BurdockHandoverStep;

/**
 * burdock_handover_next() - next step of a gateway that starts, while no call is in
 * progress
 * @due_us: set to the time at which to ask again; UINT64_MAX until something changes
 *
 * A store that has not been restored yet has lost nothing, so the gateway starts with
 * what it has read, unless it has an older configuration than another gateway. In a later
 * era, without another gateway that is ready, the state in the store is all there is, and
 * the gateway waits for 0.3 s only. With an older configuration than another gateway, it
 * waits for up to 10 s after it has read the store.
 */
BurdockHandoverStep burdock_handover_next (const BurdockHandoverView *view,
                                           uint64_t now_us, uint64_t *due_us);

#endif
