/**
 * DOC: entries.c - chooses the entries that a caller should use
 *
 * Weighted rendezvous hashing over caller, entry and answer slot. It spreads callers
 * evenly without shared state, and the list of a caller changes little when an entry goes
 * away. A list has at most ANSWER_ENTRIES_MAX addresses, however large the fleet is.
 */
#include "hash.h"
#include "snapshot.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#define ANSWER_ENTRIES_MAX 8

/* Preference for entries in the failure domain of the caller. */
#define SAME_DOMAIN_FACTOR 4.0
#define WEIGHT_MIN 0.25

typedef struct {
  const BurdockEntryInfo *entry;
  double weight;
  double score;
} Candidate;

static double
mean_running (const BurdockSnapshot *snapshot)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < snapshot->entry_count; i++)
    sum += snapshot->entries[i].running;
  return snapshot->entry_count > 0 ? (double)sum / snapshot->entry_count : 0.0;
}

/* Returns 1 up to the mean load and less above it, down to WEIGHT_MIN at about 1.75 times
 * the mean. */
static double
load_weight (const BurdockEntryInfo *entry, double mean)
{
  double weight = 2.0 - (entry->running + 1.0) / (mean + 1.0);

  if (weight > 1.0)
    return 1.0;
  return weight < WEIGHT_MIN ? WEIGHT_MIN : weight;
}

/* Inserts @candidate into @best, which holds the ANSWER_ENTRIES_MAX highest scores in
 * descending order. Returns the new number of candidates. */
static uint32_t
keep_best (Candidate *best, uint32_t count, const Candidate *candidate)
{
  uint32_t at = count;

  if (count == ANSWER_ENTRIES_MAX && candidate->score <= best[count - 1].score)
    return count;
  if (count < ANSWER_ENTRIES_MAX)
    count++;
  else
    at--;
  for (; at > 0 && best[at - 1].score < candidate->score; at--)
    best[at] = best[at - 1];
  best[at] = *candidate;
  return count;
}

static uint32_t
select_candidates (const BurdockSnapshot *snapshot, uint32_t caller_ipv4,
                   const char *failure_domain, Candidate *out)
{
  double mean = mean_running (snapshot);
  uint64_t caller = burdock_hash_pair (caller_ipv4, snapshot->answer_slot);
  uint32_t count = 0;

  for (uint32_t i = 0; i < snapshot->entry_count; i++) {
    const BurdockEntryInfo *entry = &snapshot->entries[i];
    double weight = load_weight (entry, mean);
    double preference = weight;
    Candidate candidate;

    if (!entry->usable)
      continue;
    if (failure_domain != NULL && strcmp (failure_domain, entry->failure_domain) == 0)
      preference *= SAME_DOMAIN_FACTOR;
    candidate = (Candidate){
      .entry = entry,
      .weight = weight,
      .score =
          -preference / log (burdock_hash_unit (burdock_hash_pair (caller, entry->id))),
    };
    count = keep_best (out, count, &candidate);
  }
  return count;
}

char *
burdock_snapshot_entries_json (const BurdockSnapshot *snapshot, uint32_t caller_ipv4,
                               const char *failure_domain)
{
  Candidate candidates[ANSWER_ENTRIES_MAX];
  uint32_t count = select_candidates (snapshot, caller_ipv4, failure_domain, candidates);
  json_t *list = json_array ();
  json_t *root;
  char *text;

  for (uint32_t i = 0; i < count; i++) {
    char address[24];

    burdock_address_format (candidates[i].entry->http_address, address, sizeof address);
    json_array_append_new (list, json_pack ("{s:s, s:f}", "address", address, "weight",
                                            candidates[i].weight));
  }
  root = json_pack ("{s:f, s:o}", "lifetime_s", snapshot->answer_lifetime_ms / 1000.0,
                    "entries", list);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
