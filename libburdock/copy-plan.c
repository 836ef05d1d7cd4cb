#include "copy-plan.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Cost of loading one expert: a change has to lower the load of the most loaded ranks by
 * this, divided by the number of ranks, for each expert that it loads. Steps take longer
 * while any rank loads, and all ranks load at the same time. */
#define GAIN_PER_LOAD_MIN 0.1

/* Smaller gains are rounding errors. */
#define GAIN_MIN 0.002

/* Changes considered in one plan; bounds its time. */
#define CHANGES_MAX 256

/* Load, relative to the counted load of the layer, that is split evenly over all experts
 * in addition, so that experts without recent tokens are spread too. */
#define BASELINE_SHARE 0.02

/** enum ChangeKind - rank @to gets @expert, possibly in place of @victim */
typedef enum {
  CHANGE_NONE = 0,
  CHANGE_COPY, /* adds a copy; @victim, if any, loses its copy at @to */
  CHANGE_MOVE, /* moves the copy at @from to @to, and @victim, if any, from @to to @from
                */
} ChangeKind;

#define NO_EXPERT UINT32_MAX

/* Layers, ranks and the highest expert, one byte each. */
#define HEADER_BYTES 3

typedef struct {
  ChangeKind kind;
  uint32_t expert;
  uint32_t from;
  uint32_t to;
  uint32_t victim;
  double gain;
} Change;

/**
 * struct Layer - state of one layer during planning; loads are relative to even loads
 * @initial_hosts: hosts before the plan
 * @hosted: experts that each rank hosts
 * @loaded: experts that each rank has to load for the plan
 * @best: best change found last
 */
typedef struct {
  uint32_t ranks;
  uint32_t experts;
  uint64_t *hosts;
  uint64_t initial_hosts[BURDOCK_REPLICA_EXPERTS_MAX];
  double rate[BURDOCK_REPLICA_EXPERTS_MAX];
  double load[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t hosted[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
  Change best;
} Layer;

/** struct Budget - limits of a plan and the experts that each rank has to load for it */
typedef struct {
  const BurdockReplicaLimits *limits;
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
} Budget;

int
burdock_replica_map_init (BurdockReplicaMap *map, uint32_t layers, uint32_t ranks,
                          uint32_t experts)
{
  if (layers == 0 || ranks == 0 || experts == 0 || ranks > BURDOCK_REPLICA_RANKS_MAX ||
      experts > BURDOCK_REPLICA_EXPERTS_MAX)
    return -EINVAL;
  *map = (BurdockReplicaMap){ .layers = layers, .ranks = ranks, .experts = experts };
  map->hosts = calloc ((size_t)layers * experts, sizeof *map->hosts);
  return map->hosts != NULL ? 0 : -ENOMEM;
}

void
burdock_replica_map_clear (BurdockReplicaMap *map)
{
  free (map->hosts);
  *map = (BurdockReplicaMap){ 0 };
}

void
burdock_replica_map_assign (BurdockReplicaMap *to, const BurdockReplicaMap *from)
{
  memcpy (to->hosts, from->hosts,
          (size_t)from->layers * from->experts * sizeof *from->hosts);
}

void
burdock_replica_map_spread (BurdockReplicaMap *map)
{
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    map->hosts[i] = UINT64_C (1) << (i % map->experts % map->ranks);
}

static uint32_t
count_hosted (const BurdockReplicaMap *map, uint32_t layer, uint32_t rank)
{
  uint32_t count = 0;

  for (uint32_t e = 0; e < map->experts; e++)
    count += map->hosts[layer * map->experts + e] >> rank & 1;
  return count;
}

int
burdock_replica_map_encode (const BurdockReplicaMap *map, uint8_t **bytes,
                            uint32_t *length_bytes)
{
  uint32_t at = HEADER_BYTES;
  uint8_t *out;

  *length_bytes = HEADER_BYTES + map->layers * map->ranks;
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    *length_bytes += (uint32_t)__builtin_popcountll (map->hosts[i]);
  out = malloc (*length_bytes);
  if (out == NULL)
    return -ENOMEM;
  out[0] = (uint8_t)map->layers;
  out[1] = (uint8_t)map->ranks;
  out[2] = (uint8_t)(map->experts - 1);
  for (uint32_t i = 0; i < map->layers * map->ranks; i++) {
    uint32_t layer = i / map->ranks;
    uint32_t rank = i % map->ranks;

    out[at++] = (uint8_t)count_hosted (map, layer, rank);
    for (uint32_t e = 0; e < map->experts; e++) {
      if ((map->hosts[layer * map->experts + e] >> rank & 1) != 0)
        out[at++] = (uint8_t)e;
    }
  }
  *bytes = out;
  return 0;
}

static bool
decode_ranks (BurdockBytes bytes, BurdockReplicaMap *map)
{
  uint32_t at = HEADER_BYTES;

  for (uint32_t i = 0; i < map->layers * map->ranks; i++) {
    uint32_t count = at < bytes.length_bytes ? bytes.data[at++] : UINT32_MAX;

    if (count > bytes.length_bytes - at)
      return false;
    for (uint32_t k = 0; k < count; k++, at++) {
      if (bytes.data[at] >= map->experts)
        return false;
      map->hosts[i / map->ranks * map->experts + bytes.data[at]] |= UINT64_C (1)
                                                                    << (i % map->ranks);
    }
  }
  return at == bytes.length_bytes;
}

int
burdock_replica_map_decode (BurdockBytes bytes, BurdockReplicaMap *out)
{
  if (bytes.length_bytes < HEADER_BYTES ||
      burdock_replica_map_init (out, bytes.data[0], bytes.data[1], bytes.data[2] + 1u) <
          0)
    return -EPROTO;
  if (decode_ranks (bytes, out))
    return 0;
  burdock_replica_map_clear (out);
  return -EPROTO;
}

static uint32_t
copy_count (uint64_t hosts)
{
  return (uint32_t)__builtin_popcountll (hosts);
}

static bool
is_hosted (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return (layer->hosts[expert] >> rank & 1) != 0;
}

/* Sets the rates relative to the even load of a rank, so that all layers have the same
 * weight. */
static void
set_rates (Layer *layer, const double *rates)
{
  double total = 0;

  for (uint32_t e = 0; e < layer->experts; e++)
    total += rates[e];
  for (uint32_t e = 0; e < layer->experts; e++) {
    double share = total > 0 ? rates[e] / total : 0;

    share = (share + BASELINE_SHARE / layer->experts) / (1 + BASELINE_SHARE);
    layer->rate[e] = share * layer->ranks;
  }
}

static void
compute_loads (Layer *layer)
{
  for (uint32_t e = 0; e < layer->experts; e++) {
    double share = layer->rate[e] / copy_count (layer->hosts[e]);

    for (uint64_t left = layer->hosts[e]; left != 0; left &= left - 1) {
      uint32_t rank = (uint32_t)__builtin_ctzll (left);

      layer->load[rank] += share;
      layer->hosted[rank]++;
    }
  }
}

static void
init_layer (Layer *layer, BurdockReplicaMap *map, uint32_t index, const double *rates)
{
  size_t at = (size_t)index * map->experts;

  *layer =
      (Layer){ .ranks = map->ranks, .experts = map->experts, .hosts = map->hosts + at };
  memcpy (layer->initial_hosts, layer->hosts, map->experts * sizeof *layer->hosts);
  set_rates (layer, rates + at);
  compute_loads (layer);
}

static double
peak_load (const Layer *layer)
{
  double peak = 0;

  for (uint32_t r = 0; r < layer->ranks; r++)
    peak = layer->load[r] > peak ? layer->load[r] : peak;
  return peak;
}

/* With the eighth power, the most loaded ranks dominate the norm, but maps with equal
 * peak loads still differ. */
static double
eighth_power (double load)
{
  double square = load * load;
  double fourth = square * square;

  return fourth * fourth;
}

/* The 8-norm, a smooth approximation of the largest load. */
static double
load_norm (const double *load, uint32_t ranks)
{
  double sum = 0;

  for (uint32_t r = 0; r < ranks; r++)
    sum += eighth_power (load[r]);
  return sqrt (sqrt (sqrt (sum)));
}

static void
shift_load (const Layer *layer, double *load, uint32_t expert, uint64_t hosts)
{
  double before = layer->rate[expert] / copy_count (layer->hosts[expert]);
  double after = layer->rate[expert] / copy_count (hosts);

  for (uint64_t left = layer->hosts[expert]; left != 0; left &= left - 1)
    load[__builtin_ctzll (left)] -= before;
  for (uint64_t left = hosts; left != 0; left &= left - 1)
    load[__builtin_ctzll (left)] += after;
}

/* Computes the hosts of both experts after a change. */
static void
changed_hosts (const Layer *layer, const Change *change, uint64_t *expert,
               uint64_t *victim)
{
  uint64_t to = UINT64_C (1) << change->to;
  uint64_t from = UINT64_C (1) << change->from;

  *expert = layer->hosts[change->expert] | to;
  *victim = change->victim != NO_EXPERT ? layer->hosts[change->victim] & ~to : 0;
  if (change->kind != CHANGE_MOVE)
    return;
  *expert &= ~from;
  if (change->victim != NO_EXPERT)
    *victim |= from;
}

static double
evaluate_gain (const Layer *layer, const Change *change, double norm_before)
{
  double load[BURDOCK_REPLICA_RANKS_MAX];
  uint64_t expert;
  uint64_t victim;

  memcpy (load, layer->load, layer->ranks * sizeof *load);
  changed_hosts (layer, change, &expert, &victim);
  shift_load (layer, load, change->expert, expert);
  if (change->victim != NO_EXPERT)
    shift_load (layer, load, change->victim, victim);
  return norm_before - load_norm (load, layer->ranks);
}

/* Number of experts that ranks have to load for a change. */
static uint32_t
loads_needed (const Layer *layer, const Change *change)
{
  uint32_t loads = (layer->initial_hosts[change->expert] >> change->to & 1) == 0 ? 1 : 0;

  if (change->kind == CHANGE_MOVE && change->victim != NO_EXPERT &&
      (layer->initial_hosts[change->victim] >> change->from & 1) == 0)
    loads++;
  return loads;
}

/* Whether the limits let the rank get the expert. An expert that it hosts in the map in
 * use needs no load. */
static bool
can_load (const Layer *layer, const Budget *budget, uint32_t rank, uint32_t expert)
{
  if ((layer->initial_hosts[expert] >> rank & 1) != 0)
    return true;
  return layer->loaded[rank] < budget->limits->loads_per_layer &&
         budget->loaded[rank] < budget->limits->loads_per_rank;
}

static void
try_change (Layer *layer, const Change *change, double norm_before)
{
  Change tried = *change;

  tried.gain = evaluate_gain (layer, change, norm_before) -
               loads_needed (layer, change) * GAIN_PER_LOAD_MIN / layer->ranks;
  if (tried.gain > layer->best.gain)
    layer->best = tried;
}

static void
try_victims (Layer *layer, const Budget *budget, Change *change, double norm_before)
{
  for (uint32_t v = 0; v < layer->experts; v++) {
    if (!is_hosted (layer, change->to, v) || v == change->expert)
      continue;
    change->victim = v;
    change->kind = CHANGE_COPY;
    if (copy_count (layer->hosts[v]) > 1)
      try_change (layer, change, norm_before);
    change->kind = CHANGE_MOVE;
    if (!is_hosted (layer, change->from, v) && can_load (layer, budget, change->from, v))
      try_change (layer, change, norm_before);
  }
}

/* Finds the change that relieves the most loaded rank best. */
static void
find_best_change (Layer *layer, const Budget *budget)
{
  double norm_before = load_norm (layer->load, layer->ranks);
  uint32_t hottest = 0;

  for (uint32_t r = 1; r < layer->ranks; r++)
    hottest = layer->load[r] > layer->load[hottest] ? r : hottest;
  layer->best = (Change){ .gain = GAIN_MIN };
  for (uint32_t e = 0; e < layer->experts; e++) {
    if (!is_hosted (layer, hottest, e))
      continue;
    for (uint32_t r = 0; r < layer->ranks; r++) {
      Change change = { .expert = e, .from = hottest, .to = r, .victim = NO_EXPERT };

      if (is_hosted (layer, r, e) || !can_load (layer, budget, r, e))
        continue;
      if (layer->hosted[r] < budget->limits->slots) {
        change.kind = CHANGE_COPY;
        try_change (layer, &change, norm_before);
        change.kind = CHANGE_MOVE;
        try_change (layer, &change, norm_before);
      }
      try_victims (layer, budget, &change, norm_before);
    }
  }
}

static void
update_counts (Layer *layer, Budget *budget, uint32_t expert, uint64_t hosts)
{
  uint64_t added = hosts & ~layer->hosts[expert];
  uint64_t removed = layer->hosts[expert] & ~hosts;
  uint64_t not_initial = ~layer->initial_hosts[expert];

  for (uint64_t left = added; left != 0; left &= left - 1) {
    uint32_t rank = (uint32_t)__builtin_ctzll (left);

    layer->hosted[rank]++;
    if ((not_initial >> rank & 1) != 0) {
      layer->loaded[rank]++;
      budget->loaded[rank]++;
    }
  }
  for (uint64_t left = removed; left != 0; left &= left - 1) {
    uint32_t rank = (uint32_t)__builtin_ctzll (left);

    layer->hosted[rank]--;
    if ((not_initial >> rank & 1) != 0) {
      layer->loaded[rank]--;
      budget->loaded[rank]--;
    }
  }
}

static void
apply_best_change (Layer *layer, Budget *budget)
{
  const Change *change = &layer->best;
  uint64_t expert;
  uint64_t victim;

  changed_hosts (layer, change, &expert, &victim);
  shift_load (layer, layer->load, change->expert, expert);
  update_counts (layer, budget, change->expert, expert);
  layer->hosts[change->expert] = expert;
  if (change->victim == NO_EXPERT)
    return;
  shift_load (layer, layer->load, change->victim, victim);
  update_counts (layer, budget, change->victim, victim);
  layer->hosts[change->victim] = victim;
}

/* Returns the layer with the highest peak load among those that can still be improved. */
static Layer *
worst_layer (Layer *layers, uint32_t count)
{
  Layer *worst = NULL;

  for (uint32_t i = 0; i < count; i++) {
    if (layers[i].best.kind == CHANGE_NONE)
      continue;
    if (worst == NULL || peak_load (&layers[i]) > peak_load (worst))
      worst = &layers[i];
  }
  return worst;
}

static double
mean_peak (const Layer *layers, uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += peak_load (&layers[i]);
  return sum / count;
}

BurdockReplicaPlanResult
burdock_replica_plan (BurdockReplicaMap *map, const double *rates,
                      const BurdockReplicaLimits *limits)
{
  Budget budget = { .limits = limits };
  Layer *layers = calloc (map->layers, sizeof *layers);
  BurdockReplicaPlanResult result = { 0 };
  Layer *layer;

  if (layers == NULL)
    return result;
  for (uint32_t i = 0; i < map->layers; i++) {
    init_layer (&layers[i], map, i, rates);
    find_best_change (&layers[i], &budget);
  }
  result.before = mean_peak (layers, map->layers);
  for (uint32_t i = 0;
       i < CHANGES_MAX && (layer = worst_layer (layers, map->layers)) != NULL; i++) {
    /* Changes of other layers may have exhausted the load limit of a rank. */
    find_best_change (layer, &budget);
    if (layer->best.kind == CHANGE_NONE)
      continue;
    apply_best_change (layer, &budget);
    find_best_change (layer, &budget);
  }
  result.after = mean_peak (layers, map->layers);
  for (uint32_t r = 0; r < map->ranks; r++) {
    result.loads += budget.loaded[r];
    if (budget.loaded[r] > result.max_rank_loads)
      result.max_rank_loads = budget.loaded[r];
  }
  free (layers);
  return result;
}

double
burdock_replica_map_peak (const BurdockReplicaMap *map, const double *rates)
{
  BurdockReplicaMap copy = *map;
  Layer *layers = calloc (map->layers, sizeof *layers);
  double peak;

  if (layers == NULL)
    return 0;
  for (uint32_t i = 0; i < map->layers; i++)
    init_layer (&layers[i], &copy, i, rates);
  peak = mean_peak (layers, map->layers);
  free (layers);
  return peak;
}
