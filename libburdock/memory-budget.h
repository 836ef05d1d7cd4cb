/**
 * DOC: memory-budget.h - bound of the memory that a process holds for its clients
 *
 * Counts reservations and performs no I/O. Of the memory of an instance, three eighths
 * hold bodies, answers and output, a quarter holds connections, and the rest is left for
 * the program, its tables and calls, and the overhead of the allocator.
 *
 * A reservation of up to BURDOCK_MEMORY_SMALL_BYTES is small. Small ones may take all
 * that is free; a quarter is kept for them, so that large ones cannot shut out small
 * requests. Large request bodies take at most two thirds of what large ones may take, so
 * that the answers of the requests that were read still find room.
 *
 * Designed for some thousand reservations; each call takes constant time. Used by one
 * thread.
 */
#ifndef BURDOCK_MEMORY_BUDGET_H
#define BURDOCK_MEMORY_BUDGET_H

#include "burdock.h"

/* Requests and answers without documents are below it. */
#define BURDOCK_MEMORY_SMALL_BYTES (64u << 10)

/* Threshold for mallopt (M_MMAP_THRESHOLD). Setting it keeps glibc from raising it: large
 * buffers stay mapped, so that they grow by moving pages, take memory only as far as they
 * are filled, and go back to the system when they are freed. */
#define BURDOCK_MEMORY_MAP_BYTES (128 << 10)

/* Memory without a setting. Its share of connections is above the 2,500 of a gateway, and
 * it holds 45 request bodies of 4 MiB at once. */
#define BURDOCK_MEMORY_DEFAULT_MB 1024

/* File descriptors without a setting. */
#define BURDOCK_FDS_DEFAULT 4100

/**
 * typedef BurdockMemoryKind - what memory is held for
 * @BURDOCK_MEMORY_BODIES: bodies of requests, from their announcement to the end of the
 *   request
 * @BURDOCK_MEMORY_ANSWERS: answers that are buffered as a whole, until they are read
 * @BURDOCK_MEMORY_OUTPUT: parts of streams that have not been read
 */
typedef enum {
  BURDOCK_MEMORY_BODIES,
  BURDOCK_MEMORY_ANSWERS,
  BURDOCK_MEMORY_OUTPUT,
  BURDOCK_MEMORY_KINDS,
} BurdockMemoryKind;

/**
 * struct BurdockMemoryBudget - bounds and what is reserved, in bytes
 * @total_bytes: bound of all reservations
 * @large_max_bytes: bound of the large ones
 * @large_body_max_bytes: bound of large request bodies
 * @used_bytes: reserved for each kind, small and large
 * @large_bytes: large reservations of each kind
 * @peak_bytes: highest sum of all reservations
 * @refused: reservations that found no room, by kind
 */
typedef struct {
  uint64_t total_bytes;
  uint64_t large_max_bytes;
  uint64_t large_body_max_bytes;
  uint64_t used_bytes[BURDOCK_MEMORY_KINDS];
  uint64_t large_bytes[BURDOCK_MEMORY_KINDS];
  uint64_t peak_bytes;
  uint64_t refused[BURDOCK_MEMORY_KINDS];
} BurdockMemoryBudget;

/** burdock_memory_budget_init() - sets the bounds
 * @memory_mb: memory of the instance in units of 1,000,000 bytes; 0 for the default */
void burdock_memory_budget_init (BurdockMemoryBudget *budget, uint32_t memory_mb);

/**
 * burdock_memory_budget_resize() - changes a reservation
 * @budget: NULL for a process without a bound
 * @held_bytes: its present size, 0 for a new one
 * @wanted_bytes: its new size, 0 to release it
 * Returns false if there is no room, and counts a refusal; the reservation keeps its size
 * then. A reservation can always be made smaller.
 */
bool burdock_memory_budget_resize (BurdockMemoryBudget *budget, BurdockMemoryKind kind,
                                   uint64_t held_bytes, uint64_t wanted_bytes);

/** burdock_memory_budget_used() - sum of all reservations */
uint64_t burdock_memory_budget_used (const BurdockMemoryBudget *budget);

/** burdock_memory_kind_name() - name of a kind in metrics */
const char *burdock_memory_kind_name (BurdockMemoryKind kind);

/**
 * burdock_memory_connections_max() - connections that all servers of a process may have
 * @memory_mb: as above
 * @max_fds: file descriptors of the process; 0 for the default
 * @connection_bytes: memory of a connection
 * 200 descriptors are kept for files, and an eighth of the others for connections to
 * upstreams.
 */
uint32_t burdock_memory_connections_max (uint32_t memory_mb, uint32_t max_fds,
                                         uint32_t connection_bytes);

#endif
