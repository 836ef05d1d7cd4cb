#include "copy-plan.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A change has to lower the load of the most loaded ranks by this, divided by the number
 * of ranks, for each expert that is loaded for it. Steps take longer while any rank
 * loads, and all ranks load at the same time. */
#define GAIN_PER_LOAD_MIN 0.1

/* Less is rounding noise. */
#define GAIN_MIN 0.002

/* Changes of one plan; bounds its time. */
#define CHANGES_MAX 256

/* Share of the load that every expert is assumed to have beside what was counted, so that
 * experts without recent tokens are spread too. */
#define FLOOR_SHARE 0.02

/** enum ChangeKind - rank @to gets @expert, for which @victim may give way */
typedef enum {
  CHANGE_NONE = 0,
  CHANGE_COPY, /* a further copy; @victim, if any, loses its copy at @to */
  CHANGE_MOVE, /* the copy at @from goes to @to, in exchange for @victim if there is one
                */
} ChangeKind;

#define NO_EXPERT UINT32_MAX

/* Encoded form: three bytes for the sizes, then the experts of each layer and rank. */
#define HEADER_BYTES 3

typedef struct {
  ChangeKind kind;
  uint32_t expert;
  uint32_t from;
  uint32_t to;
  uint32_t victim;
  double gain;
} Change;

/** struct Layer - one layer while it is planned; loads are relative to even ones */
typedef struct {
  uint32_t ranks;
  uint32_t experts;
  uint64_t *hosts;
  uint64_t initial[BURDOCK_COPY_EXPERTS_MAX];
  double rate[BURDOCK_COPY_EXPERTS_MAX];
  double load[BURDOCK_COPY_RANKS_MAX];
  uint32_t held[BURDOCK_COPY_RANKS_MAX];
  uint32_t loaded[BURDOCK_COPY_RANKS_MAX];
  Change best;
} Layer;

typedef struct {
  const BurdockCopyLimits *limits;
  uint32_t loaded[BURDOCK_COPY_RANKS_MAX];
} Budget;

int
burdock_copy_map_init (BurdockCopyMap *map, uint32_t layers, uint32_t ranks,
                       uint32_t experts)
{
  if (layers == 0 || ranks == 0 || experts == 0 || ranks > BURDOCK_COPY_RANKS_MAX ||
      experts > BURDOCK_COPY_EXPERTS_MAX)
    return -EINVAL;
  *map = (BurdockCopyMap){ .layers = layers, .ranks = ranks, .experts = experts };
  map->hosts = calloc ((size_t)layers * experts, sizeof *map->hosts);
  return map->hosts != NULL ? 0 : -ENOMEM;
}

void
burdock_copy_map_clear (BurdockCopyMap *map)
{
  free (map->hosts);
  *map = (BurdockCopyMap){ 0 };
}

void
burdock_copy_map_assign (BurdockCopyMap *to, const BurdockCopyMap *from)
{
  memcpy (to->hosts, from->hosts,
          (size_t)from->layers * from->experts * sizeof *from->hosts);
}

void
burdock_copy_map_spread (BurdockCopyMap *map)
{
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    map->hosts[i] = UINT64_C (1) << (i % map->experts % map->ranks);
}

static uint32_t
held_count (const BurdockCopyMap *map, uint32_t layer, uint32_t rank)
{
  uint32_t count = 0;

  for (uint32_t e = 0; e < map->experts; e++)
    count += map->hosts[layer * map->experts + e] >> rank & 1;
  return count;
}

int
burdock_copy_map_encode (const BurdockCopyMap *map, uint8_t **bytes,
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

    out[at++] = (uint8_t)held_count (map, layer, rank);
    for (uint32_t e = 0; e < map->experts; e++) {
      if ((map->hosts[layer * map->experts + e] >> rank & 1) != 0)
        out[at++] = (uint8_t)e;
    }
  }
  *bytes = out;
  return 0;
}

static bool
decode_ranks (BurdockBytes bytes, BurdockCopyMap *map)
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
burdock_copy_map_decode (BurdockBytes bytes, BurdockCopyMap *out)
{
  if (bytes.length_bytes < HEADER_BYTES ||
      burdock_copy_map_init (out, bytes.data[0], bytes.data[1], bytes.data[2] + 1u) < 0)
    return -EPROTO;
  if (decode_ranks (bytes, out))
    return 0;
  burdock_copy_map_clear (out);
  return -EPROTO;
}

static uint32_t
copies (uint64_t hosts)
{
  return (uint32_t)__builtin_popcountll (hosts);
}

static bool
holds (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return (layer->hosts[expert] >> rank & 1) != 0;
}

/* Rates relative to the even load of a rank, so that all layers count alike. */
static void
set_rates (Layer *layer, const double *rates)
{
  double total = 0;

  for (uint32_t e = 0; e < layer->experts; e++)
    total += rates[e];
  for (uint32_t e = 0; e < layer->experts; e++) {
    double share = total > 0 ? rates[e] / total : 0;

    share = (share + FLOOR_SHARE / layer->experts) / (1 + FLOOR_SHARE);
    layer->rate[e] = share * layer->ranks;
  }
}

static void
add_loads (Layer *layer)
{
  for (uint32_t e = 0; e < layer->experts; e++) {
    double share = layer->rate[e] / copies (layer->hosts[e]);

    for (uint64_t left = layer->hosts[e]; left != 0; left &= left - 1) {
      uint32_t rank = (uint32_t)__builtin_ctzll (left);

      layer->load[rank] += share;
      layer->held[rank]++;
    }
  }
}

static void
init_layer (Layer *layer, BurdockCopyMap *map, uint32_t index, const double *rates)
{
  size_t at = (size_t)index * map->experts;

  *layer =
      (Layer){ .ranks = map->ranks, .experts = map->experts, .hosts = map->hosts + at };
  memcpy (layer->initial, layer->hosts, map->experts * sizeof *layer->hosts);
  set_rates (layer, rates + at);
  add_loads (layer);
}

static double
peak_of (const Layer *layer)
{
  double peak = 0;

  for (uint32_t r = 0; r < layer->ranks; r++)
    peak = layer->load[r] > peak ? layer->load[r] : peak;
  return peak;
}

/* The eighth power lets the most loaded ranks decide, and still tells maps apart whose
 * most loaded ranks are alike. */
static double
power (double load)
{
  double square = load * load;
  double fourth = square * square;

  return fourth * fourth;
}

/* Smooth form of the largest load. */
static double
norm_of (const double *load, uint32_t ranks)
{
  double sum = 0;

  for (uint32_t r = 0; r < ranks; r++)
    sum += power (load[r]);
  return sqrt (sqrt (sqrt (sum)));
}

static void
set_hosts (const Layer *layer, double *load, uint32_t expert, uint64_t hosts)
{
  double before = layer->rate[expert] / copies (layer->hosts[expert]);
  double after = layer->rate[expert] / copies (hosts);

  for (uint64_t left = layer->hosts[expert]; left != 0; left &= left - 1)
    load[__builtin_ctzll (left)] -= before;
  for (uint64_t left = hosts; left != 0; left &= left - 1)
    load[__builtin_ctzll (left)] += after;
}

/* Hosts of both experts after a change. */
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
gain_of (const Layer *layer, const Change *change, double before)
{
  double load[BURDOCK_COPY_RANKS_MAX];
  uint64_t expert;
  uint64_t victim;

  memcpy (load, layer->load, layer->ranks * sizeof *load);
  changed_hosts (layer, change, &expert, &victim);
  set_hosts (layer, load, change->expert, expert);
  if (change->victim != NO_EXPERT)
    set_hosts (layer, load, change->victim, victim);
  return before - norm_of (load, layer->ranks);
}

/* Experts that a change makes ranks load. */
static uint32_t
loads_of (const Layer *layer, const Change *change)
{
  uint32_t loads = (layer->initial[change->expert] >> change->to & 1) == 0 ? 1 : 0;

  if (change->kind == CHANGE_MOVE && change->victim != NO_EXPERT &&
      (layer->initial[change->victim] >> change->from & 1) == 0)
    loads++;
  return loads;
}

/* Whether the rank may get the expert: one that it has at present costs no load. */
static bool
may_load (const Layer *layer, const Budget *budget, uint32_t rank, uint32_t expert)
{
  if ((layer->initial[expert] >> rank & 1) != 0)
    return true;
  return layer->loaded[rank] < budget->limits->loads_layer &&
         budget->loaded[rank] < budget->limits->loads_rank;
}

static void
try_change (Layer *layer, const Change *change, double before)
{
  Change tried = *change;

  tried.gain = gain_of (layer, change, before) -
               loads_of (layer, change) * GAIN_PER_LOAD_MIN / layer->ranks;
  if (tried.gain > layer->best.gain)
    layer->best = tried;
}

static void
try_victims (Layer *layer, const Budget *budget, Change *change, double before)
{
  for (uint32_t v = 0; v < layer->experts; v++) {
    if (!holds (layer, change->to, v) || v == change->expert)
      continue;
    change->victim = v;
    change->kind = CHANGE_COPY;
    if (copies (layer->hosts[v]) > 1)
      try_change (layer, change, before);
    change->kind = CHANGE_MOVE;
    if (!holds (layer, change->from, v) && may_load (layer, budget, change->from, v))
      try_change (layer, change, before);
  }
}

/* Looks for the change that relieves the most loaded rank best. */
static void
find_best (Layer *layer, const Budget *budget)
{
  double before = norm_of (layer->load, layer->ranks);
  uint32_t hot = 0;

  for (uint32_t r = 1; r < layer->ranks; r++)
    hot = layer->load[r] > layer->load[hot] ? r : hot;
  layer->best = (Change){ .gain = GAIN_MIN };
  for (uint32_t e = 0; e < layer->experts; e++) {
    if (!holds (layer, hot, e))
      continue;
    for (uint32_t r = 0; r < layer->ranks; r++) {
      Change change = { .expert = e, .from = hot, .to = r, .victim = NO_EXPERT };

      if (holds (layer, r, e) || !may_load (layer, budget, r, e))
        continue;
      if (layer->held[r] < budget->limits->slots) {
        change.kind = CHANGE_COPY;
        try_change (layer, &change, before);
        change.kind = CHANGE_MOVE;
        try_change (layer, &change, before);
      }
      try_victims (layer, budget, &change, before);
    }
  }
}

static void
count_loads (Layer *layer, Budget *budget, uint32_t expert, uint64_t hosts)
{
  uint64_t added = hosts & ~layer->hosts[expert];
  uint64_t removed = layer->hosts[expert] & ~hosts;
  uint64_t is_new = ~layer->initial[expert];

  for (uint64_t left = added; left != 0; left &= left - 1) {
    uint32_t rank = (uint32_t)__builtin_ctzll (left);

    layer->held[rank]++;
    if ((is_new >> rank & 1) != 0) {
      layer->loaded[rank]++;
      budget->loaded[rank]++;
    }
  }
  for (uint64_t left = removed; left != 0; left &= left - 1) {
    uint32_t rank = (uint32_t)__builtin_ctzll (left);

    layer->held[rank]--;
    if ((is_new >> rank & 1) != 0) {
      layer->loaded[rank]--;
      budget->loaded[rank]--;
    }
  }
}

static void
apply (Layer *layer, Budget *budget)
{
  const Change *change = &layer->best;
  uint64_t expert;
  uint64_t victim;

  changed_hosts (layer, change, &expert, &victim);
  set_hosts (layer, layer->load, change->expert, expert);
  count_loads (layer, budget, change->expert, expert);
  layer->hosts[change->expert] = expert;
  if (change->victim == NO_EXPERT)
    return;
  set_hosts (layer, layer->load, change->victim, victim);
  count_loads (layer, budget, change->victim, victim);
  layer->hosts[change->victim] = victim;
}

/* The layer whose most loaded rank stands out most and that can still be improved. */
static Layer *
worst_layer (Layer *layers, uint32_t count)
{
  Layer *worst = NULL;

  for (uint32_t i = 0; i < count; i++) {
    if (layers[i].best.kind == CHANGE_NONE)
      continue;
    if (worst == NULL || peak_of (&layers[i]) > peak_of (worst))
      worst = &layers[i];
  }
  return worst;
}

static double
mean_peak (const Layer *layers, uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += peak_of (&layers[i]);
  return sum / count;
}

BurdockCopyResult
burdock_copy_plan (BurdockCopyMap *map, const double *rates,
                   const BurdockCopyLimits *limits)
{
  Budget budget = { .limits = limits };
  Layer *layers = calloc (map->layers, sizeof *layers);
  BurdockCopyResult result = { 0 };
  Layer *layer;

  if (layers == NULL)
    return result;
  for (uint32_t i = 0; i < map->layers; i++) {
    init_layer (&layers[i], map, i, rates);
    find_best (&layers[i], &budget);
  }
  result.before = mean_peak (layers, map->layers);
  for (uint32_t i = 0;
       i < CHANGES_MAX && (layer = worst_layer (layers, map->layers)) != NULL; i++) {
    /* Changes of other layers may have used up the loads of a rank. */
    find_best (layer, &budget);
    if (layer->best.kind == CHANGE_NONE)
      continue;
    apply (layer, &budget);
    find_best (layer, &budget);
  }
  result.after = mean_peak (layers, map->layers);
  for (uint32_t r = 0; r < map->ranks; r++) {
    result.loads += budget.loaded[r];
    if (budget.loaded[r] > result.loads_most)
      result.loads_most = budget.loaded[r];
  }
  free (layers);
  return result;
}

double
burdock_copy_map_peak (const BurdockCopyMap *map, const double *rates)
{
  BurdockCopyMap copy = *map;
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
