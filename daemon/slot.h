/**
 * DOC: slot.h - lock-free mailbox for one pointer between two threads
 *
 * The writer overwrites a value that the reader has not taken yet; the reader gets the
 * newest value or NULL. Neither waits for the other. The slot does not release values.
 */
#ifndef BURDOCK_SLOT_H
#define BURDOCK_SLOT_H

#include <stdatomic.h>
#include <stddef.h>

typedef struct {
  _Atomic (void *) value;
} BurdockSlot;

/** burdock_slot_put() - stores @value; returns the overwritten value, which the writer
 * releases, or NULL */
static inline void *
burdock_slot_put (BurdockSlot *slot, void *value)
{
  return atomic_exchange_explicit (&slot->value, value, memory_order_acq_rel);
}

/** burdock_slot_take() - empties the slot; returns its value, which the reader releases,
 * or NULL */
static inline void *
burdock_slot_take (BurdockSlot *slot)
{
  if (atomic_load_explicit (&slot->value, memory_order_relaxed) == NULL)
    return NULL;
  return atomic_exchange_explicit (&slot->value, NULL, memory_order_acq_rel);
}

#endif
