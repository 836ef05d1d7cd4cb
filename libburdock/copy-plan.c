#include "copy-plan.h"

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

/* Ranks considered as receivers of a copy, the least loaded ones. Bounds the time of a
 * plan in large groups. */
#define RECEIVERS_MAX 32

/* Load, relative to the counted load of the layer, that is split evenly over all experts
 * in addition, so that experts without recent tokens are spread too. */
#define BASELINE_SHARE 0.02

/** enum ChangeKind - rank @to gets @expert, possibly in place of @victim */
typedef enum {
  CHANGE_NONE = 0,
  CHANGE_COPY,  /* adds a copy; @victim, if any, loses its copy at @to */
  CHANGE_MOVE,  /* moves the copy at @from to @to, and @victim, if any, from @to to @from
                 */
  CHANGE_SPLIT, /* adds a copy, and moves @victim from @to to @from */
} ChangeKind;

#define NO_EXPERT UINT32_MAX

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
 * @power: eighth power of @load
 * @power_sum: sum of @power
 * @host_count: number of hosts of each expert
 * @hosted: experts that each rank hosts
 * @hosted_count: their number
 * @loaded: experts that each rank has to load for the plan
 * @order: ranks in order of their load, the lower rank first among equal loads
 * @best: best change found last
 */
typedef struct {
  uint32_t ranks;
  uint32_t experts;
  BurdockBitSet *hosts;
  const BurdockBitSet *initial_hosts;
  double rate[BURDOCK_REPLICA_EXPERTS_MAX];
  double load[BURDOCK_REPLICA_RANKS_MAX];
  double power[BURDOCK_REPLICA_RANKS_MAX];
  double power_sum;
  uint32_t host_count[BURDOCK_REPLICA_EXPERTS_MAX];
  BurdockBitSet hosted[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t hosted_count[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t order[BURDOCK_REPLICA_RANKS_MAX];
  Change best;
} Layer;

/** struct Budget - limits of a plan and the experts that each rank has to load for it */
typedef struct {
  BurdockReplicaLimits limits;
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
} Budget;

/**
 * struct Victim - expert that a receiver hosts and may lose
 * @share: load of one of its copies
 * @growth: what each other copy gets in addition if the one at the receiver is dropped
 * @drop_sum: change of the power sum at the ranks of the other copies in that case
 * @droppable: the expert has another copy
 * @movable: it can move to the hottest rank, which has to load it for @move_loads 1
 */
typedef struct {
  uint32_t expert;
  double share;
  double growth;
  double drop_sum;
  bool droppable;
  bool movable;
  uint32_t move_loads;
} Victim;

/**
 * struct Receiver - rank considered as receiver of a copy
 * @has_slot: it hosts fewer experts than it can
 * @victims: index of its first victim
 */
typedef struct {
  uint32_t rank;
  bool has_slot;
  uint32_t victims;
  uint32_t victim_count;
} Receiver;

/* Changes need 0 to 2 loads. */
#define LOAD_CLASSES 3

/**
 * struct Search - search for the best change of a layer
 * @layer: NULL if no search is in progress
 * @hottest: the most loaded rank, which the change is to relieve
 * @experts: experts of that rank that have not been considered yet
 * @drop_sum: change of the power sum if any copy of an expert is dropped, for all of its
 *   hosts; only for the experts in @has_drop_sum
 * @sum: lowest power sum of the changes that need this number of loads
 * @change: those changes. Their gains differ by the cost of the loads only, so that the
 *   norm is computed once for each of them
 */
typedef struct {
  Layer *layer;
  uint32_t hottest;
  bool hottest_has_slot;
  BurdockBitSet experts;
  uint32_t receiver_count;
  Receiver receivers[RECEIVERS_MAX];
  Victim victims[RECEIVERS_MAX * BURDOCK_REPLICA_EXPERTS_MAX];
  double drop_sum[BURDOCK_REPLICA_EXPERTS_MAX];
  BurdockBitSet has_drop_sum;
  double sum[LOAD_CLASSES];
  Change change[LOAD_CLASSES];
} Search;

/**
 * struct BurdockReplicaPlan - plan in progress
 * @next_layer: first layer that has not been initialised, then first one that has not
 *   been searched
 * @changes: changes considered so far
 * @work: work done so far, in changes tried and comparable operations
 */
struct BurdockReplicaPlan {
  BurdockReplicaMap map;
  const BurdockReplicaMap *base;
  double *rates;
  Budget budget;
  Layer *layers;
  uint32_t next_layer;
  bool initialised;
  uint32_t changes;
  uint64_t work;
  uint64_t changes_tried;
  double before;
  Search search;
};

static bool
is_hosted (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return burdock_bit_set_has (&layer->hosts[expert], rank);
}

static bool
is_hosted_initially (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return burdock_bit_set_has (&layer->initial_hosts[expert], rank);
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

/* With the eighth power, the most loaded ranks dominate the norm, but maps with equal
 * peak loads still differ. */
static inline double
eighth_power (double load)
{
  double square = load * load;
  double fourth = square * square;

  return fourth * fourth;
}

/* The 8-norm, a smooth approximation of the largest load. */
static double
norm_of_power_sum (double sum)
{
  return sum > 0 ? sqrt (sqrt (sqrt (sum))) : 0;
}

static void
compute_loads (Layer *layer)
{
  for (uint32_t e = 0; e < layer->experts; e++) {
    const BurdockBitSet *hosts = &layer->hosts[e];
    double share;

    layer->host_count[e] = burdock_bit_set_count (hosts);
    share = layer->rate[e] / layer->host_count[e];
    for (uint32_t r = burdock_bit_set_next (hosts, 0); r < BURDOCK_BIT_SET_BITS;
         r = burdock_bit_set_next (hosts, r + 1)) {
      layer->load[r] += share;
      burdock_bit_set_add (&layer->hosted[r], e);
      layer->hosted_count[r]++;
    }
  }
  for (uint32_t r = 0; r < layer->ranks; r++)
    layer->power[r] = eighth_power (layer->load[r]);
}

/* Computed anew after each change, so that rounding errors do not add up. */
static void
compute_power_sum (Layer *layer)
{
  layer->power_sum = 0;
  for (uint32_t r = 0; r < layer->ranks; r++)
    layer->power_sum += layer->power[r];
}

static bool
precedes (const Layer *layer, uint32_t a, uint32_t b)
{
  return layer->load[a] < layer->load[b] || (layer->load[a] == layer->load[b] && a < b);
}

/* Sorts by insertion: a change moves only the few ranks that it affects. */
static void
sort_ranks (Layer *layer)
{
  for (uint32_t i = 1; i < layer->ranks; i++) {
    uint32_t rank = layer->order[i];
    uint32_t at = i;

    for (; at > 0 && precedes (layer, rank, layer->order[at - 1]); at--)
      layer->order[at] = layer->order[at - 1];
    layer->order[at] = rank;
  }
}

static void
init_layer (Layer *layer, BurdockReplicaMap *map, const BurdockReplicaMap *base,
            uint32_t index, const double *rates)
{
  size_t at = (size_t)index * map->experts;

  *layer = (Layer){ .ranks = map->ranks,
                    .experts = map->experts,
                    .hosts = map->hosts + at,
                    .initial_hosts = base->hosts + at };
  set_rates (layer, rates + at);
  compute_loads (layer);
  compute_power_sum (layer);
  for (uint32_t r = 0; r < layer->ranks; r++)
    layer->order[r] = r;
  sort_ranks (layer);
}

static double
peak_load (const Layer *layer)
{
  return layer->load[layer->order[layer->ranks - 1]];
}

/* The lowest of the most loaded ranks. */
static uint32_t
hottest_rank (const Layer *layer)
{
  uint32_t at = layer->ranks - 1;

  while (at > 0 && layer->load[layer->order[at - 1]] == layer->load[layer->order[at]])
    at--;
  return layer->order[at];
}

/* Whether the limits let the rank get the expert. An expert that it hosts in the map in
 * use needs no load. */
static bool
can_load (const Layer *layer, const Budget *budget, uint32_t rank, uint32_t expert)
{
  if (is_hosted_initially (layer, rank, expert))
    return true;
  return layer->loaded[rank] < budget->limits.loads_per_layer &&
         budget->loaded[rank] < budget->limits.loads_per_rank;
}

/* Whether the limits still allow a change that was found earlier: changes of other layers
 * may have used up the load limit of a rank. */
static bool
is_allowed (const Layer *layer, const Budget *budget, const Change *change)
{
  if (!can_load (layer, budget, change->to, change->expert))
    return false;
  return change->kind == CHANGE_COPY || change->victim == NO_EXPERT ||
         can_load (layer, budget, change->from, change->victim);
}

/* Change of the eighth power of the load of @rank by additional @load. */
static inline double
power_change (const Layer *layer, uint32_t rank, double load)
{
  return eighth_power (layer->load[rank] + load) - layer->power[rank];
}

/* Change of the power sum if each host of @expert gets @load in addition. */
static double
hosts_power_change (const Layer *layer, uint32_t expert, double load)
{
  const BurdockBitSet *hosts = &layer->hosts[expert];
  double sum = 0;

  for (uint32_t r = burdock_bit_set_next (hosts, 0); r < BURDOCK_BIT_SET_BITS;
       r = burdock_bit_set_next (hosts, r + 1))
    sum += power_change (layer, r, load);
  return sum;
}

/* The sum over all hosts of an expert is kept for the search, as other receivers may host
 * it too. */
static double
drop_sum (Search *search, uint32_t expert, double growth)
{
  if (!burdock_bit_set_has (&search->has_drop_sum, expert)) {
    search->drop_sum[expert] = hosts_power_change (search->layer, expert, growth);
    burdock_bit_set_add (&search->has_drop_sum, expert);
  }
  return search->drop_sum[expert];
}

static void
add_victim (Search *search, const Budget *budget, Receiver *receiver, uint32_t expert)
{
  const Layer *layer = search->layer;
  Victim *victim = &search->victims[receiver->victims + receiver->victim_count++];
  uint32_t copies = layer->host_count[expert];
  uint32_t from = search->hottest;

  *victim = (Victim){ .expert = expert, .share = layer->rate[expert] / copies };
  if (copies > 1) {
    victim->droppable = true;
    victim->growth = layer->rate[expert] / (copies - 1) - victim->share;
    victim->drop_sum = drop_sum (search, expert, victim->growth) -
                       power_change (layer, receiver->rank, victim->growth);
  }
  if (!is_hosted (layer, from, expert) && can_load (layer, budget, from, expert)) {
    victim->movable = true;
    victim->move_loads = is_hosted_initially (layer, from, expert) ? 0 : 1;
  }
}

/* The least loaded ranks receive copies. */
static void
add_receivers (Search *search, const Budget *budget)
{
  const Layer *layer = search->layer;
  uint32_t victims = 0;

  search->receiver_count = layer->ranks < RECEIVERS_MAX ? layer->ranks : RECEIVERS_MAX;
  for (uint32_t i = 0; i < search->receiver_count; i++) {
    uint32_t rank = layer->order[i];
    Receiver *receiver = &search->receivers[i];
    const BurdockBitSet *hosted = &layer->hosted[rank];

    *receiver = (Receiver){ .rank = rank,
                            .has_slot = layer->hosted_count[rank] < budget->limits.slots,
                            .victims = victims };
    for (uint32_t e = burdock_bit_set_next (hosted, 0); e < BURDOCK_BIT_SET_BITS;
         e = burdock_bit_set_next (hosted, e + 1))
      add_victim (search, budget, receiver, e);
    victims += receiver->victim_count;
  }
}

/* Begins to search the change that relieves the most loaded rank best; returns its work.
 */
static uint32_t
begin_search (Search *search, Layer *layer, const Budget *budget)
{
  const Receiver *last;

  search->layer = layer;
  search->hottest = hottest_rank (layer);
  search->hottest_has_slot = layer->hosted_count[search->hottest] < budget->limits.slots;
  search->experts = layer->hosted[search->hottest];
  search->has_drop_sum = (BurdockBitSet){ 0 };
  for (uint32_t i = 0; i < LOAD_CLASSES; i++) {
    search->sum[i] = HUGE_VAL;
    search->change[i] = (Change){ 0 };
  }
  add_receivers (search, budget);
  last = &search->receivers[search->receiver_count - 1];
  return layer->ranks + last->victims + last->victim_count;
}

/**
 * struct Source - expert of the hottest rank, of which a receiver gets a copy
 * @share: load of one of its copies now
 * @new_share: and with one copy more
 * @copy_sum: change of the power sum at its hosts in that case
 * @split_sum: the same without the hottest rank
 */
typedef struct {
  uint32_t expert;
  double share;
  double new_share;
  double copy_sum;
  double split_sum;
} Source;

static inline void
try_change (Search *search, ChangeKind kind, const Source *source, uint32_t to,
            uint32_t victim, uint32_t loads, double sum)
{
  if (sum >= search->sum[loads])
    return;
  search->sum[loads] = sum;
  search->change[loads] = (Change){ .kind = kind,
                                    .expert = source->expert,
                                    .from = search->hottest,
                                    .to = to,
                                    .victim = victim };
}

/* Corrects the sum of two changes of the power sum at the ranks that host both experts:
 * the hosts of the source lose load there, those of the victim get some. */
static double
overlap_correction (const Layer *layer, const Source *source, const Victim *victim)
{
  double loss = source->new_share - source->share;
  double sum = 0;

  for (uint32_t i = 0; i < BURDOCK_BIT_SET_WORDS; i++) {
    uint64_t both =
        layer->hosts[source->expert].words[i] & layer->hosts[victim->expert].words[i];

    for (; both != 0; both &= both - 1) {
      uint32_t rank = i * 64 + (uint32_t)__builtin_ctzll (both);

      sum += power_change (layer, rank, loss + victim->growth) -
             power_change (layer, rank, loss) -
             power_change (layer, rank, victim->growth);
    }
  }
  return sum;
}

static uint32_t
try_victim (Search *search, const Source *source, uint32_t to, uint32_t loads,
            const Victim *victim)
{
  const Layer *layer = search->layer;
  double copy_load = source->new_share - victim->share;
  double move_load = source->share - victim->share;
  uint32_t tried = 0;

  if (victim->droppable) {
    try_change (search, CHANGE_COPY, source, to, victim->expert, loads,
                layer->power_sum + source->copy_sum + victim->drop_sum +
                    power_change (layer, to, copy_load) +
                    overlap_correction (layer, source, victim));
    tried++;
  }
  if (!victim->movable)
    return tried;
  try_change (search, CHANGE_MOVE, source, to, victim->expert, loads + victim->move_loads,
              layer->power_sum + power_change (layer, to, move_load) +
                  power_change (layer, search->hottest, -move_load));
  tried++;
  if (!search->hottest_has_slot)
    return tried;
  try_change (search, CHANGE_SPLIT, source, to, victim->expert,
              loads + victim->move_loads,
              layer->power_sum + source->split_sum + power_change (layer, to, copy_load) +
                  power_change (layer, search->hottest,
                                source->new_share - source->share + victim->share));
  return tried + 1;
}

static uint32_t
try_receiver (Search *search, const Budget *budget, const Source *source,
              const Receiver *receiver)
{
  const Layer *layer = search->layer;
  uint32_t to = receiver->rank;
  uint32_t loads = is_hosted_initially (layer, to, source->expert) ? 0 : 1;
  uint32_t tried = 0;

  if (is_hosted (layer, to, source->expert) ||
      !can_load (layer, budget, to, source->expert))
    return 0;
  if (receiver->has_slot) {
    try_change (search, CHANGE_COPY, source, to, NO_EXPERT, loads,
                layer->power_sum + source->copy_sum +
                    power_change (layer, to, source->new_share));
    try_change (search, CHANGE_MOVE, source, to, NO_EXPERT, loads,
                layer->power_sum + power_change (layer, to, source->share) +
                    power_change (layer, search->hottest, -source->share));
    tried = 2;
  }
  for (uint32_t i = 0; i < receiver->victim_count; i++)
    tried +=
        try_victim (search, source, to, loads, &search->victims[receiver->victims + i]);
  return tried;
}

/* Tries all changes with the next expert of the hottest rank; returns their number. */
static uint32_t
try_next_source (Search *search, const Budget *budget)
{
  const Layer *layer = search->layer;
  uint32_t expert = burdock_bit_set_next (&search->experts, 0);
  uint32_t copies = layer->host_count[expert];
  Source source = { .expert = expert,
                    .share = layer->rate[expert] / copies,
                    .new_share = layer->rate[expert] / (copies + 1) };
  double loss = source.new_share - source.share;
  uint32_t tried = 0;

  source.copy_sum = hosts_power_change (layer, expert, loss);
  source.split_sum = source.copy_sum - power_change (layer, search->hottest, loss);
  burdock_bit_set_remove (&search->experts, expert);
  for (uint32_t i = 0; i < search->receiver_count; i++)
    tried += try_receiver (search, budget, &source, &search->receivers[i]);
  return tried;
}

static bool
search_is_complete (const Search *search)
{
  return burdock_bit_set_next (&search->experts, 0) == BURDOCK_BIT_SET_BITS;
}

static void
end_search (Search *search)
{
  Layer *layer = search->layer;
  double norm = norm_of_power_sum (layer->power_sum);

  layer->best = (Change){ .gain = GAIN_MIN };
  for (uint32_t loads = 0; loads < LOAD_CLASSES; loads++) {
    Change *change = &search->change[loads];

    if (change->kind == CHANGE_NONE)
      continue;
    change->gain = norm - norm_of_power_sum (search->sum[loads]) -
                   loads * GAIN_PER_LOAD_MIN / layer->ranks;
    if (change->gain > layer->best.gain)
      layer->best = *change;
  }
  search->layer = NULL;
}

/* Records that @rank gets an expert or drops it. */
static void
update_counts (Layer *layer, Budget *budget, uint32_t expert, uint32_t rank, bool hosted)
{
  if (hosted)
    burdock_bit_set_add (&layer->hosted[rank], expert);
  else
    burdock_bit_set_remove (&layer->hosted[rank], expert);
  layer->hosted_count[rank] += hosted ? 1 : -1u;
  if (is_hosted_initially (layer, rank, expert))
    return;
  layer->loaded[rank] += hosted ? 1 : -1u;
  budget->loaded[rank] += hosted ? 1 : -1u;
}

/* Moves the load of an expert to its new hosts. */
static void
change_hosts (Layer *layer, Budget *budget, uint32_t expert, const BurdockBitSet *hosts)
{
  BurdockBitSet *current = &layer->hosts[expert];
  uint32_t count = burdock_bit_set_count (hosts);
  double before = layer->rate[expert] / layer->host_count[expert];
  double after = layer->rate[expert] / count;
  BurdockBitSet all = *current;

  for (uint32_t i = 0; i < BURDOCK_BIT_SET_WORDS; i++)
    all.words[i] |= hosts->words[i];
  for (uint32_t r = burdock_bit_set_next (&all, 0); r < BURDOCK_BIT_SET_BITS;
       r = burdock_bit_set_next (&all, r + 1)) {
    bool hosted = burdock_bit_set_has (hosts, r);
    bool was_hosted = burdock_bit_set_has (current, r);

    if (hosted != was_hosted)
      update_counts (layer, budget, expert, r, hosted);
    layer->load[r] += (hosted ? after : 0) - (was_hosted ? before : 0);
    layer->power[r] = eighth_power (layer->load[r]);
  }
  *current = *hosts;
  layer->host_count[expert] = count;
}

static void
apply_best_change (Layer *layer, Budget *budget)
{
  const Change change = layer->best;
  BurdockBitSet hosts = layer->hosts[change.expert];

  burdock_bit_set_add (&hosts, change.to);
  if (change.kind == CHANGE_MOVE)
    burdock_bit_set_remove (&hosts, change.from);
  change_hosts (layer, budget, change.expert, &hosts);
  if (change.victim != NO_EXPERT) {
    hosts = layer->hosts[change.victim];
    burdock_bit_set_remove (&hosts, change.to);
    if (change.kind != CHANGE_COPY)
      burdock_bit_set_add (&hosts, change.from);
    change_hosts (layer, budget, change.victim, &hosts);
  }
  compute_power_sum (layer);
  sort_ranks (layer);
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

BurdockReplicaPlan *
burdock_replica_plan_begin (const BurdockReplicaMap *base, const double *rates,
                            const BurdockReplicaLimits *limits)
{
  BurdockReplicaPlan *plan = calloc (1, sizeof *plan);
  size_t rates_bytes = (size_t)base->layers * base->experts * sizeof *rates;

  if (plan == NULL)
    return NULL;
  plan->base = base;
  plan->budget.limits = *limits;
  plan->layers = calloc (base->layers, sizeof *plan->layers);
  plan->rates = malloc (rates_bytes);
  if (plan->layers == NULL || plan->rates == NULL ||
      burdock_replica_map_copy (&plan->map, base) < 0) {
    burdock_replica_plan_free (plan);
    return NULL;
  }
  memcpy (plan->rates, rates, rates_bytes);
  return plan;
}

void
burdock_replica_plan_free (BurdockReplicaPlan *plan)
{
  if (plan == NULL)
    return;
  burdock_replica_map_clear (&plan->map);
  free (plan->layers);
  free (plan->rates);
  free (plan);
}

static void
init_next_layer (BurdockReplicaPlan *plan)
{
  BurdockReplicaLimits *limits = &plan->budget.limits;
  uint32_t index = plan->next_layer++;

  init_layer (&plan->layers[index], &plan->map, plan->base, index, plan->rates);
  plan->work += plan->map.ranks + plan->map.experts;
  if (plan->next_layer < plan->map.layers)
    return;
  plan->before = mean_peak (plan->layers, plan->map.layers);
  if (plan->before < limits->balanced_peak &&
      limits->loads_per_rank > limits->balanced_loads_per_rank)
    limits->loads_per_rank = limits->balanced_loads_per_rank;
  plan->initialised = true;
  plan->next_layer = 0;
}

/* Applies the best change of the worst layer; returns the layer, whose next change has to
 * be found, NULL if the plan is complete. */
static Layer *
change_worst_layer (BurdockReplicaPlan *plan)
{
  Layer *layer = worst_layer (plan->layers, plan->map.layers);

  if (layer == NULL || plan->changes == CHANGES_MAX)
    return NULL;
  plan->changes++;
  if (is_allowed (layer, &plan->budget, &layer->best))
    apply_best_change (layer, &plan->budget);
  return layer;
}

/* Continues with the search in progress, or begins the next one; false if the plan is
 * complete. */
static bool
advance (BurdockReplicaPlan *plan)
{
  Search *search = &plan->search;
  uint32_t tried;

  if (search->layer != NULL) {
    if (search_is_complete (search)) {
      end_search (search);
      return true;
    }
    tried = try_next_source (search, &plan->budget);
    plan->changes_tried += tried;
    plan->work += search->receiver_count + tried;
    return true;
  }
  if (!plan->initialised) {
    init_next_layer (plan);
    return true;
  }
  search->layer = plan->next_layer < plan->map.layers ? &plan->layers[plan->next_layer++]
                                                      : change_worst_layer (plan);
  if (search->layer == NULL)
    return false;
  plan->work += begin_search (search, search->layer, &plan->budget);
  return true;
}

bool
burdock_replica_plan_step (BurdockReplicaPlan *plan, uint32_t work)
{
  uint64_t end = plan->work + work;

  while (plan->work < end) {
    if (!advance (plan))
      return true;
  }
  return false;
}

BurdockReplicaPlanResult
burdock_replica_plan_result (const BurdockReplicaPlan *plan)
{
  BurdockReplicaPlanResult result = { .changes_tried = plan->changes_tried };

  if (!plan->initialised)
    return result;
  result.before = plan->before;
  result.after = mean_peak (plan->layers, plan->map.layers);
  for (uint32_t r = 0; r < plan->map.ranks; r++) {
    result.loads += plan->budget.loaded[r];
    if (plan->budget.loaded[r] > result.max_rank_loads)
      result.max_rank_loads = plan->budget.loaded[r];
  }
  return result;
}

void
burdock_replica_plan_finish (BurdockReplicaPlan *plan, BurdockReplicaMap *map)
{
  *map = plan->map;
  plan->map = (BurdockReplicaMap){ 0 };
  burdock_replica_plan_free (plan);
}

BurdockReplicaPlanResult
burdock_replica_plan (BurdockReplicaMap *map, const double *rates,
                      const BurdockReplicaLimits *limits)
{
  BurdockReplicaPlan *plan = burdock_replica_plan_begin (map, rates, limits);
  BurdockReplicaPlanResult result = { 0 };

  if (plan == NULL)
    return result;
  while (!burdock_replica_plan_step (plan, UINT32_MAX))
    continue;
  result = burdock_replica_plan_result (plan);
  burdock_replica_map_assign (map, &plan->map);
  burdock_replica_plan_free (plan);
  return result;
}

double
burdock_replica_map_peak (const BurdockReplicaMap *map, const double *rates)
{
  BurdockReplicaMap copy = *map;
  Layer *layer = malloc (sizeof *layer);
  double sum = 0;

  if (layer == NULL)
    return 0;
  for (uint32_t i = 0; i < map->layers; i++) {
    init_layer (layer, &copy, map, i, rates);
    sum += peak_load (layer);
  }
  free (layer);
  return sum / map->layers;
}
