#include "memory-budget.h"

#define BYTES_PER_MB UINT64_C (1000000)

/* Descriptors that the platform reserves for files. */
#define FDS_RESERVED 200

/* A process that cannot have one connection serves nobody. */
#define CONNECTIONS_MIN 16

static uint64_t
memory_bytes (uint32_t memory_mb)
{
  return (memory_mb > 0 ? memory_mb : BURDOCK_MEMORY_DEFAULT_MB) * BYTES_PER_MB;
}

void
burdock_memory_budget_init (BurdockMemoryBudget *budget, uint32_t memory_mb)
{
  uint64_t total_bytes = memory_bytes (memory_mb) / 8 * 3;
  uint64_t large_max_bytes = total_bytes / 4 * 3;

  *budget = (BurdockMemoryBudget){ .total_bytes = total_bytes,
                                   .large_max_bytes = large_max_bytes,
                                   .large_body_max_bytes = large_max_bytes / 3 * 2 };
}

static uint64_t
sum (const uint64_t values[BURDOCK_MEMORY_KINDS])
{
  uint64_t total = 0;

  for (uint32_t i = 0; i < BURDOCK_MEMORY_KINDS; i++)
    total += values[i];
  return total;
}

uint64_t
burdock_memory_budget_used (const BurdockMemoryBudget *budget)
{
  return sum (budget->used_bytes);
}

static uint64_t
large_part (uint64_t bytes)
{
  return bytes > BURDOCK_MEMORY_SMALL_BYTES ? bytes : 0;
}

/* Whether a reservation that grows to @wanted_bytes has room. */
static bool
has_room (const BurdockMemoryBudget *budget, BurdockMemoryKind kind, uint64_t held_bytes,
          uint64_t wanted_bytes)
{
  uint64_t large_bytes = large_part (wanted_bytes);
  uint64_t freed_bytes = large_part (held_bytes);

  if (burdock_memory_budget_used (budget) - held_bytes + wanted_bytes >
      budget->total_bytes)
    return false;
  if (large_bytes == 0)
    return true;
  if (sum (budget->large_bytes) - freed_bytes + large_bytes > budget->large_max_bytes)
    return false;
  return kind != BURDOCK_MEMORY_BODIES ||
         budget->large_bytes[kind] - freed_bytes + large_bytes <=
             budget->large_body_max_bytes;
}

bool
burdock_memory_budget_resize (BurdockMemoryBudget *budget, BurdockMemoryKind kind,
                              uint64_t held_bytes, uint64_t wanted_bytes)
{
  uint64_t used_bytes;

  if (budget == NULL)
    return true;
  if (wanted_bytes > held_bytes && !has_room (budget, kind, held_bytes, wanted_bytes)) {
    budget->refused[kind]++;
    return false;
  }
  budget->used_bytes[kind] += wanted_bytes - held_bytes;
  budget->large_bytes[kind] += large_part (wanted_bytes) - large_part (held_bytes);
  used_bytes = burdock_memory_budget_used (budget);
  if (used_bytes > budget->peak_bytes)
    budget->peak_bytes = used_bytes;
  return true;
}

const char *
burdock_memory_kind_name (BurdockMemoryKind kind)
{
  static const char *const names[BURDOCK_MEMORY_KINDS] = {
    [BURDOCK_MEMORY_BODIES] = "bodies",
    [BURDOCK_MEMORY_ANSWERS] = "answers",
    [BURDOCK_MEMORY_OUTPUT] = "output",
  };

  return names[kind];
}

uint32_t
burdock_memory_connections_max (uint32_t memory_mb, uint32_t max_fds,
                                uint32_t connection_bytes)
{
  uint32_t fds = max_fds > 0 ? max_fds : BURDOCK_FDS_DEFAULT;
  uint64_t by_fds = fds > FDS_RESERVED ? (uint64_t)(fds - FDS_RESERVED) / 8 * 7 : 0;
  uint64_t by_memory = memory_bytes (memory_mb) / 4 / connection_bytes;
  uint64_t most = by_fds < by_memory ? by_fds : by_memory;

  return most > CONNECTIONS_MIN ? (uint32_t)most : CONNECTIONS_MIN;
}
