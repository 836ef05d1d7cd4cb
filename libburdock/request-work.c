#include "request-work.h"

#include "hash.h"

#include <math.h>
#include <stdbool.h>

/* An upstream reads the tokens of a prompt together and writes those of an answer one
 * after the other. The exact number matters little, as only ratios are used. */
#define PROMPT_TOKENS_PER_ANSWER_TOKEN 16.0

/* Averages over about 30 requests. */
#define WORK_GAIN 0.03

/* With fewer requests the typical work is not known. */
#define REQUESTS_MIN 8

/* Statements that are further off than this are more likely wrong than unusual. */
#define RATIO_MAX 4.0

static uint64_t
hash_name (const char *name)
{
  uint64_t hash = 0;

  for (; *name != '\0'; name++)
    hash = burdock_hash_pair (hash, (uint8_t)*name);
  return hash;
}

/* The statement on the answer counts, or else its bound; 0 if neither is known. */
static double
work_tokens (const BurdockRequestTokens *tokens)
{
  double answer = tokens->answer_hint > 0 ? tokens->answer_hint : tokens->answer_max;

  if (tokens->answer_max > 0)
    answer = fmin (answer, tokens->answer_max);
  return answer > 0 ? answer + tokens->prompt / PROMPT_TOKENS_PER_ANSWER_TOKEN : 0;
}

void
burdock_request_work_record (BurdockRequestWork *work, const char *route,
                             const BurdockRequestTokens *tokens)
{
  uint64_t hash = hash_name (route);
  uint32_t at = (uint32_t)(hash % BURDOCK_WORK_ROUTES);
  double count = work_tokens (tokens);
  double gain;

  if (count <= 0)
    return;
  if (work->routes[at].route != hash) {
    work->routes[at].route = hash;
    work->routes[at].count = 0;
    work->routes[at].log_mean = 0;
  }
  if (work->routes[at].count < UINT32_MAX)
    work->routes[at].count++;
  gain = fmax (1.0 / work->routes[at].count, WORK_GAIN);
  work->routes[at].log_mean += (log (count) - work->routes[at].log_mean) * gain;
}

double
burdock_request_work_ratio (const BurdockRequestWork *work, const char *route,
                            const BurdockRequestTokens *tokens)
{
  uint64_t hash = hash_name (route);
  uint32_t at = (uint32_t)(hash % BURDOCK_WORK_ROUTES);
  double count = work_tokens (tokens);
  bool known = work->routes[at].route == hash && work->routes[at].count >= REQUESTS_MIN;

  if (!known || count <= 0)
    return 1;
  return fmax (1 / RATIO_MAX, fmin (count / exp (work->routes[at].log_mean), RATIO_MAX));
}
