/**
 * DOC: timeline.h - ring buffer of typed events with hybrid logical timestamps
 */
#ifndef BURDOCK_TIMELINE_H
#define BURDOCK_TIMELINE_H

#include "burdock.h"

/** struct BurdockHlc - hybrid logical clock: upper 48 bits milliseconds, lower 16 bits
 * counter */
typedef struct {
  uint64_t last;
} BurdockHlc;

/**
 * burdock_hlc_now() - timestamp of a local event, larger than any earlier one
 * @wall_us: wall clock in microseconds since 1970
 */
uint64_t burdock_hlc_now (BurdockHlc *hlc, uint64_t wall_us);

/** burdock_hlc_observe() - advances the clock past the timestamp of a received message */
void burdock_hlc_observe (BurdockHlc *hlc, uint64_t remote, uint64_t wall_us);

/**
 * burdock_timeline_new() - creates an empty timeline
 * @env: must outlive the timeline
 * @event_limit: number of events kept; later events overwrite the oldest
 */
BurdockTimeline *burdock_timeline_new (const BurdockEnv *env, uint32_t event_limit);
void burdock_timeline_free (BurdockTimeline *timeline);

/** burdock_timeline_hlc() - clock of the timeline, which owns it */
BurdockHlc *burdock_timeline_hlc (BurdockTimeline *timeline);

/**
 * burdock_timeline_add() - records an event and passes it to env->log
 * @step: what was done
 * @peer: peer involved, "-" where there is none
 * @subject: request key, group, workspace or instance that the event is about
 * @format: detail of the event, as for printf()
 */
void burdock_timeline_add (BurdockTimeline *timeline, BurdockLogLevel level,
                           BurdockEventKind kind, const char *step, const char *peer,
                           const char *subject, const char *format, ...)
    __attribute__ ((format (printf, 7, 8)));

/** burdock_timeline_add_error() - records @error as an event of kind FAULT */
void burdock_timeline_add_error (BurdockTimeline *timeline, const BurdockError *error);

/**
 * burdock_timeline_json() - {"instance":..,"overrun":n,"events":[..]}, oldest first
 * "overrun" is the number of events that were overwritten.
 * Returns text to be released with free().
 */
char *burdock_timeline_json (const BurdockTimeline *timeline, const char *instance);

#endif
