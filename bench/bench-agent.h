/**
 * DOC: bench-agent.h - simulated agents of benchmarks that use a single dispatcher
 */
#ifndef BENCH_AGENT_H
#define BENCH_AGENT_H

#include "message.h"

/**
 * bench_agent_send() - passes @message to @dispatcher as if agent number @agent had sent
 * it
 *
 * Sets the sender in the header of @message.
 */
void bench_agent_send (BurdockDispatcher *dispatcher, uint32_t agent,
                       BurdockMessage *message);

#endif
