/**
 * DOC: priority-share.h - how much of the room of a pool each priority may take
 *
 * The most urgent priority in use takes any free slot. Less urgent requests are paced: a
 * gateway sends one for each credit. Each slot that one of its own requests frees is
 * worth a credit of each priority, and each request that it sends takes one of its own
 * priority and of the less urgent ones. Besides, a gateway gets its part of the
 * difference between the slots in use and a limit, which may be negative. The limit
 * leaves slots free for the random spread of urgent arrivals until the next reports of
 * the other gateways (trunk reservation).
 *
 * So gateways whose view is old do not take the same free slot together, and the reports
 * of the slots in use are enough. The arrivals of all gateways are estimated from those
 * of this one; they only determine how many slots stay free.
 *
 * With one priority in use nothing is limited. It performs no I/O. Designed for up to 330
 * gateways; the cost of a request does not depend on their number.
 */
#ifndef BURDOCK_PRIORITY_SHARE_H
#define BURDOCK_PRIORITY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** Priorities that are told apart; a less urgent one counts as the last of them. */
#define BURDOCK_PRIORITY_LEVELS 8

/**
 * struct BurdockPriorityLevel - one priority of a pool in this gateway
 * @used_us: time of its last request, 0 before the first one
 * @waiting_since_us: time since which its requests have to wait, 0 if they do not
 * @sent_at_once: its last requests in a row that did not wait
 * @arrived: requests since the last update
 * @arrivals_per_s: smoothed
 * @income: credit received since the last update, less that of more urgent requests
 * @credit: requests that may be sent now
 * @starts_per_s: smoothed rate at which credit is received
 * @floor_credit: requests that may be sent like the most urgent ones
 * @return_us: last time that was promised to a refused caller
 */
typedef struct {
  uint64_t used_us;
  uint64_t waiting_since_us;
  uint32_t sent_at_once;
  uint32_t arrived;
  double arrivals_per_s;
  double income;
  double credit;
  double starts_per_s;
  double floor_credit;
  uint64_t return_us;
} BurdockPriorityLevel;

/** enum BurdockPriorityRule - what priorities decide */
typedef enum {
  BURDOCK_PRIORITY_SHARES = 0,  /* as described above */
  BURDOCK_PRIORITY_STRICT,      /* the same without a floor for less urgent requests */
  BURDOCK_PRIORITY_QUEUE_ORDER, /* the order in which requests wait, and nothing else */
} BurdockPriorityRule;

/**
 * struct BurdockPriorityShare - priorities of a pool; zero-initialised
 * @started: slots are known
 */
typedef struct {
  BurdockPriorityRule rule;
  bool started;
  uint64_t now_us;
  double arrived; /* of all priorities lately, older ones count less */
  double served;
  BurdockPriorityLevel levels[BURDOCK_PRIORITY_LEVELS];
} BurdockPriorityShare;

/**
 * struct BurdockPoolRoom - state of a pool for burdock_priority_share_advance()
 * @elapsed_us: time since the last call
 * @slots: slots that all gateways together may use
 * @in_use: slots in use by all gateways, as far as known
 * @gateways: number of gateways that share them
 * @update_us: time between the reports of another gateway
 */
typedef struct {
  uint64_t now_us;
  uint64_t elapsed_us;
  double slots;
  double in_use;
  uint32_t gateways;
  uint64_t update_us;
} BurdockPoolRoom;

/** burdock_priority_share_number() - number of the level of @priority */
uint32_t burdock_priority_share_number (uint32_t priority);

/** burdock_priority_share_level() - the level of @priority */
BurdockPriorityLevel *burdock_priority_share_level (BurdockPriorityShare *share,
                                                    uint32_t priority);

/** burdock_priority_share_arrived() - a request was received */
void burdock_priority_share_arrived (BurdockPriorityShare *share, uint32_t priority,
                                     uint64_t now_us);

/** burdock_priority_share_sent() - a request was sent */
void burdock_priority_share_sent (BurdockPriorityShare *share, uint32_t priority);

/** burdock_priority_share_freed() - a request of this gateway has left its slot */
void burdock_priority_share_freed (BurdockPriorityShare *share);

/** burdock_priority_share_is_limited() - whether more urgent requests are in use */
bool burdock_priority_share_is_limited (const BurdockPriorityShare *share,
                                        uint32_t priority);

/** burdock_priority_share_is_mixed() - whether several priorities are in use */
bool burdock_priority_share_is_mixed (const BurdockPriorityShare *share);

/** burdock_priority_share_has_room() - whether a request of @priority may start now */
bool burdock_priority_share_has_room (const BurdockPriorityShare *share,
                                      uint32_t priority);

/** burdock_priority_share_credit() - requests of a limited priority that may start now; 0
 * for one that is not limited */
double burdock_priority_share_credit (const BurdockPriorityShare *share,
                                      uint32_t priority);

/** burdock_priority_share_starts_per_s() - rate at which requests of a limited priority
 * may start in this gateway; not 0 */
double burdock_priority_share_starts_per_s (const BurdockPriorityShare *share,
                                            uint32_t priority);

/**
 * burdock_priority_share_take_floor() - whether a request that finds no room is one of
 * those that are sent like the most urgent, so that its priority is not shut out
 */
bool burdock_priority_share_take_floor (BurdockPriorityShare *share, uint32_t priority);

/** burdock_priority_share_return_floor() - a request of @priority that
 * burdock_priority_share_take_floor() allowed was refused all the same */
void burdock_priority_share_return_floor (BurdockPriorityShare *share, uint32_t priority);

/**
 * burdock_priority_share_promise() - time at which a refused caller may return
 * @earliest_us: time from which room is expected
 * @latest_us: time until which the caller returns
 *
 * Takes a place in the schedule of returns of this gateway, which has as many as this
 * gateway may start. Returns 0 if none is left in the time.
 */
uint64_t burdock_priority_share_promise (BurdockPriorityShare *share, uint32_t priority,
                                         uint64_t earliest_us, uint64_t latest_us);

/** burdock_priority_share_advance() - hands out credit; called with each tick, and when
 * the first slots become known, which gives this gateway its part of the free ones */
void burdock_priority_share_advance (BurdockPriorityShare *share,
                                     const BurdockPoolRoom *room);

#endif
