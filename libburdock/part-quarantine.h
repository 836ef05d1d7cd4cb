/**
 * DOC: part-quarantine.h - keeps prompts that crash upstreams away from them
 *
 * A part of a prompt may crash each upstream that begins to answer a prompt with it. A
 * gateway sees only the crashes of its own requests, and each of them has several parts,
 * so the gateways share what they see: which upstream ended under which parts, and which
 * parts were answered since. A part under which upstreams keep ending, with no answer in
 * between, is quarantined: its requests are refused.
 *
 * A request that comes again, also one without a prompt, counts as a part that only its
 * copies share. An upstream often ends while it runs several requests, so a request is
 * blamed only for an upstream whose own process has ended, and not for crashes that a
 * request with more crashes explains. A request whose answer had begun, without an event,
 * when its upstream ended is blamed at once, as the next try may end another group,
 * unless a copy of it was answered lately.
 *
 * Every gateway derives the quarantine from the evidence alone. The evidence of a
 * quarantined part is also stored, for gateways that start. Performs no I/O and belongs
 * to one thread.
 */
#ifndef BURDOCK_PART_QUARANTINE_H
#define BURDOCK_PART_QUARANTINE_H

#include "message.h"
#include "prompt-parts.h"

typedef struct BurdockPartQuarantine BurdockPartQuarantine;

/** Most items that describe one part. */
#define BURDOCK_PART_CRASHES_MAX 8

/**
 * struct BurdockPartStatus - a part that was quarantined or released, or under which
 * another upstream ended
 * @request: the part is a request
 * @crashes: upstreams that ended under the part since its last answer
 * @local: evidence of this gateway caused the change
 */
typedef struct {
  uint64_t part;
  bool request;
  bool quarantined;
  uint32_t crashes;
  bool local;
} BurdockPartStatus;

/**
 * struct BurdockPartQuarantineHandler - callbacks
 * @has_ended: whether @upstream has ended since @since_us, or its group is broken
 * @has_ended_itself: whether the process of @upstream has ended since @since_us
 * @changed: a part was quarantined or released, or the evidence to be stored has changed
 */
typedef struct {
  void *ctx;
  bool (*has_ended) (void *ctx, uint64_t upstream, uint64_t since_us);
  bool (*has_ended_itself) (void *ctx, uint64_t upstream, uint64_t since_us);
  void (*changed) (void *ctx, const BurdockPartStatus *status);
} BurdockPartQuarantineHandler;

/**
 * burdock_part_quarantine_new() - creates a quarantine without evidence
 * @seed: differs between gateways, so that they do not try a part at the same time
 *
 * Returns NULL if memory runs out. Free with burdock_part_quarantine_free().
 */
BurdockPartQuarantine *
burdock_part_quarantine_new (uint64_t seed, const BurdockPartQuarantineHandler *handler);
void burdock_part_quarantine_free (BurdockPartQuarantine *quarantine);

/**
 * burdock_part_quarantine_admit() - whether a new request may be sent
 * @retry_after_ms: set if it may not; time until one of its parts is tried again
 *
 * When the time of a quarantined part is over, one request is admitted to try it, and
 * then one at a time until an upstream ends or answers.
 */
bool burdock_part_quarantine_admit (BurdockPartQuarantine *quarantine,
                                    const BurdockPromptParts *parts, uint64_t now_us,
                                    uint32_t *retry_after_ms);

/** burdock_part_quarantine_blocks() - whether a part of an admitted request has been
 * quarantined since */
bool burdock_part_quarantine_blocks (const BurdockPartQuarantine *quarantine,
                                     const BurdockPromptParts *parts, uint64_t now_us);

/** burdock_part_quarantine_is_suspect() - whether upstreams other than @upstream ended
 * under a part */
bool burdock_part_quarantine_is_suspect (const BurdockPartQuarantine *quarantine,
                                         const BurdockPromptParts *parts,
                                         uint64_t upstream);

/**
 * burdock_part_quarantine_record_break() - records a connection that ended before the
 * first event of an answer
 * @begun: the head of the answer had been received
 *
 * Becomes a crash if the upstream turns out to have ended.
 */
void burdock_part_quarantine_record_break (BurdockPartQuarantine *quarantine,
                                           const BurdockPromptParts *parts,
                                           uint64_t upstream, bool begun,
                                           uint64_t now_us);

/** burdock_part_quarantine_record_answer() - records that an upstream answered a prompt:
 * none of its parts crashes upstreams */
void burdock_part_quarantine_record_answer (BurdockPartQuarantine *quarantine,
                                            const BurdockPromptParts *parts,
                                            uint64_t now_us);

/**
 * burdock_part_quarantine_share() - evidence for the next heartbeat
 * @gateways: number of gateways, which take turns in repeating what is quarantined
 *
 * Returns the number of entries written to @items, at most @limit.
 */
uint32_t burdock_part_quarantine_share (BurdockPartQuarantine *quarantine,
                                        uint32_t gateways, uint64_t now_us,
                                        BurdockPartItem *items, uint32_t limit);

/**
 * burdock_part_quarantine_next_check() - upstream to which a connection is to be tried
 * @upstream: set to its key
 *
 * A connection to it has ended, and it is not known whether its process has. It is tried
 * at once and three times later. Returns false if no check is due.
 */
bool burdock_part_quarantine_next_check (BurdockPartQuarantine *quarantine,
                                         uint64_t now_us, uint64_t *upstream);

/** burdock_part_quarantine_has_news() - whether this gateway has evidence that it has not
 * shared yet */
bool burdock_part_quarantine_has_news (const BurdockPartQuarantine *quarantine);

/** burdock_part_quarantine_merge() - takes over evidence of other gateways, or stored
 * evidence */
void burdock_part_quarantine_merge (BurdockPartQuarantine *quarantine,
                                    const BurdockPartItem *items, uint32_t count,
                                    uint64_t now_us);

/**
 * burdock_part_quarantine_evidence() - evidence against one part, to be stored
 * Returns the number of entries written to @items, at most BURDOCK_PART_CRASHES_MAX.
 */
uint32_t burdock_part_quarantine_evidence (const BurdockPartQuarantine *quarantine,
                                           uint64_t part, uint64_t now_us,
                                           BurdockPartItem *items);

/** burdock_part_quarantine_list() - writes the quarantined parts to @parts, at most
 * @limit; returns their number */
uint32_t burdock_part_quarantine_list (const BurdockPartQuarantine *quarantine,
                                       uint64_t *parts, uint32_t limit);

/** burdock_part_quarantine_is_outdated() - whether evidence of this age is ignored */
bool burdock_part_quarantine_is_outdated (const BurdockPartItem *items, uint32_t count);

/** burdock_part_quarantine_count() - number of quarantined parts */
uint32_t burdock_part_quarantine_count (const BurdockPartQuarantine *quarantine);

/** burdock_part_quarantine_tick() - checks upstreams whose connections ended, forgets old
 * evidence; returns the time of the next call */
uint64_t burdock_part_quarantine_tick (BurdockPartQuarantine *quarantine,
                                       uint64_t now_us);

#endif
