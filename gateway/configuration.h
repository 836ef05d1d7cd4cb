/**
 * DOC: configuration.h - the configuration in force at this gateway; on the control
 * thread
 */
#ifndef BURDOCK_GATEWAY_CONFIGURATION_H
#define BURDOCK_GATEWAY_CONFIGURATION_H

#include "gateway.h"

/**
 * burdock_gateway_configuration_read() - puts a configuration in force if it is newer
 * @era: era of the store in which it was read
 * @source: for the log
 */
void burdock_gateway_configuration_read (BurdockGateway *gateway, BurdockBytes text,
                                         uint64_t era, const char *source);

/** burdock_gateway_configuration_check() - calls the store again, and another gateway, if
 * that one has had a newer configuration for a while; returns the time of the next check
 */
uint64_t burdock_gateway_configuration_check (BurdockGateway *gateway, uint64_t now_us);

#endif
