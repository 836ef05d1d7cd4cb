/**
 * DOC: request-digest.h - tells whether two requests are the same, without keeping them
 */
#ifndef BURDOCK_REQUEST_DIGEST_H
#define BURDOCK_REQUEST_DIGEST_H

#include "burdock.h"

/**
 * struct BurdockRequestContent - what makes two requests the same
 * @target: path and query
 * @caller: API key of the caller, empty if it has none
 */
typedef struct {
  const char *method;
  const char *host;
  const char *target;
  const char *caller;
  BurdockBytes body;
} BurdockRequestContent;

/** burdock_request_digest() - hash of a request, the same in all processes; NULL texts
 * count as empty. The caller cannot be told from it */
uint64_t burdock_request_digest (const BurdockRequestContent *content);

#endif
