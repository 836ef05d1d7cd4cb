/**
 * DOC: settings.h - settings of a daemon from flags and environment variables
 *
 * Each flag --some-name has the variable BURDOCK_SOME_NAME; the flag takes precedence.
 * Keys are read from the environment only, as flags are visible to other users.
 */
#ifndef BURDOCK_DAEMON_SETTINGS_H
#define BURDOCK_DAEMON_SETTINGS_H

#include "burdock.h"

#define BURDOCK_URL_BYTES 256

/**
 * struct BurdockDaemonSettings - settings of a process
 * @library: settings that the library uses
 * @store_url: entries and gateways: base address of the platform's store
 * @upstream_url: agents and rank agents: base address of the local upstream
 * @ready_address: gateways: address of the readiness probe
 * @directory_address: gateways: address at which callers look up which gateway to use
 * @metrics_address: gateways and rank agents: address of the metrics endpoint, port 0 for
 *   none
 * @retry_ratio: gateways: retries allowed to all gateways together per request of a pool
 * @retry_allowance: gateways: further retries allowed to all gateways together in 10 s
 * @drain_limit_ms: gateways: time within which an upstream that leaves gets no more
 *   requests
 * @cold_overage: gateways: all of them together may send a cold upstream this multiple of
 *   the rate that it takes, plus @cold_allowance requests, in any second; 0 for no bound
 * @grace_s: gateways: time from SIGTERM until the process is killed, 0 if unknown
 * @memory_mb: entries and gateways: memory of the instance in units of 1,000,000 bytes, 0
 *   if unknown
 * @max_fds: entries and gateways: file descriptors that the process may have, 0 if
 * unknown
 * @tls_certificate: entries: PEM file, empty for plain HTTP
 * @tls_key: entries: PEM file of the private key
 * @operator_key: key that authenticates operators, if @has_operator_key
 */
typedef struct {
  BurdockSettings library;
  char store_url[BURDOCK_URL_BYTES];
  char upstream_url[BURDOCK_URL_BYTES];
  BurdockAddress ready_address;
  BurdockAddress directory_address;
  BurdockAddress metrics_address;
  double retry_ratio;
  double retry_allowance;
  double drain_limit_ms;
  double cold_overage;
  double cold_allowance;
  double grace_s;
  uint32_t memory_mb;
  uint32_t max_fds;
  char tls_certificate[BURDOCK_URL_BYTES];
  char tls_key[BURDOCK_URL_BYTES];
  BurdockLogLevel log_level;
  uint8_t operator_key[BURDOCK_KEY_BYTES];
  bool has_operator_key;
} BurdockDaemonSettings;

/**
 * burdock_settings_parse() - reads and validates the settings of a daemon
 * @program: program name for messages
 * Returns 0. For a missing or invalid setting, prints an error to standard error and
 * returns -EINVAL. --help and --version end the process with status 0.
 */
int burdock_settings_parse (BurdockDaemonSettings *settings, BurdockRole role,
                            const char *program, int argc, char **argv);

#endif
