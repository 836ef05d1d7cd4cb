#include "subset.h"

#include "hash.h"

#include <stdlib.h>
#include <string.h>

/* Candidates of each entry, as a multiple of the subset size. With 3, the entries that
 * are matched last run out of upstreams with free capacity. */
#define CANDIDATE_FACTOR 4

/* Capacity of an upstream in entries, as a multiple of the mean, in the first and the
 * second pass. The first pass gives every upstream its entries before others get more;
 * without it the least used upstream gets a quarter of the mean. A smaller factor in the
 * second pass would move more pairs at a membership change. */
static const double capacity_factors[] = { 0.85, 1.08 };

typedef struct {
  uint64_t score;
  uint32_t entry;
  uint32_t upstream;
  bool matched;
} SubsetPair;

static int
compare_pairs (const void *a, const void *b)
{
  uint64_t x = ((const SubsetPair *)a)->score;
  uint64_t y = ((const SubsetPair *)b)->score;

  return x > y ? -1 : x < y;
}

static SubsetPair *
collect_pairs (const uint64_t *entries, uint32_t entry_count, const uint64_t *upstreams,
               uint32_t upstream_count, uint32_t size, uint32_t *pair_count)
{
  double ratio = (double)size * CANDIDATE_FACTOR / upstream_count;
  uint64_t threshold = ratio >= 1 ? 0 : (uint64_t)((1 - ratio) * 0x1.0p64);
  SubsetPair *pairs = malloc ((size_t)entry_count * upstream_count * sizeof *pairs);
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry_count; i++) {
    for (uint32_t j = 0; j < upstream_count; j++) {
      uint64_t score = burdock_hash_pair (upstreams[j], entries[i]);

      if (score >= threshold)
        pairs[count++] = (SubsetPair){ .score = score, .entry = i, .upstream = j };
    }
  }
  *pair_count = count;
  return pairs;
}

static void
match_pairs (SubsetPair *pairs, uint32_t pair_count, uint32_t *entry_uses, uint32_t size,
             uint32_t *upstream_uses, uint32_t capacity)
{
  for (uint32_t i = 0; i < pair_count; i++) {
    SubsetPair *pair = &pairs[i];

    if (pair->matched || entry_uses[pair->entry] == size ||
        upstream_uses[pair->upstream] >= capacity)
      continue;
    pair->matched = true;
    entry_uses[pair->entry]++;
    upstream_uses[pair->upstream]++;
  }
}

/* Completes the subset with the upstreams that have the fewest entries. */
static void
fill_subset (bool *chosen, uint32_t chosen_count, const uint32_t *upstream_uses,
             uint32_t upstream_count, uint32_t size)
{
  while (chosen_count < size) {
    uint32_t best = upstream_count;

    for (uint32_t j = 0; j < upstream_count; j++) {
      if (!chosen[j] &&
          (best == upstream_count || upstream_uses[j] < upstream_uses[best]))
        best = j;
    }
    chosen[best] = true;
    chosen_count++;
  }
}

void
burdock_subset_select (uint64_t self, const uint64_t *entries, uint32_t entry_count,
                       const uint64_t *upstreams, uint32_t upstream_count, uint32_t size,
                       bool *chosen)
{
  uint64_t *all_entries = malloc ((entry_count + 1) * sizeof *all_entries);
  uint32_t *entry_uses = calloc (entry_count + 1, sizeof *entry_uses);
  uint32_t *upstream_uses = calloc (upstream_count + 1, sizeof *upstream_uses);
  uint32_t self_index = entry_count;
  uint32_t pair_count = 0;
  uint32_t capacity;
  SubsetPair *pairs;

  for (uint32_t i = 0; i < upstream_count; i++)
    chosen[i] = upstream_count <= size;
  memcpy (all_entries, entries, entry_count * sizeof *all_entries);
  for (uint32_t i = 0; i < entry_count; i++)
    self_index = entries[i] == self ? i : self_index;
  if (self_index == entry_count)
    all_entries[entry_count++] = self;
  if (upstream_count > size) {
    pairs = collect_pairs (all_entries, entry_count, upstreams, upstream_count, size,
                           &pair_count);
    qsort (pairs, pair_count, sizeof *pairs, compare_pairs);
    for (uint32_t pass = 0; pass < sizeof capacity_factors / sizeof *capacity_factors;
         pass++) {
      capacity = (uint32_t)((double)entry_count * size * capacity_factors[pass] /
                            upstream_count);
      match_pairs (pairs, pair_count, entry_uses, size, upstream_uses, capacity + pass);
    }
    for (uint32_t i = 0; i < pair_count; i++) {
      if (pairs[i].matched && pairs[i].entry == self_index)
        chosen[pairs[i].upstream] = true;
    }
    free (pairs);
    fill_subset (chosen, entry_uses[self_index], upstream_uses, upstream_count, size);
  }
  free (all_entries);
  free (entry_uses);
  free (upstream_uses);
}
