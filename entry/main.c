#include "entry.h"
#include "log.h"
#include "stop.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PROGRAM "burdock-entry"

/* Time for the last lines to open requests when a stop is cut short. */
#define FAREWELL_ROUNDS 100
#define FAREWELL_ROUND_US 10000

static void
print_addresses (const BurdockEntry *entry)
{
  char control[24];
  char http[24];

  burdock_address_format (entry->settings.library.control_address, control,
                          sizeof control);
  burdock_address_format (entry->settings.library.http_address, http, sizeof http);
  burdock_log (BURDOCK_LOG_INFO, "listening", "-", "control %s http %s", control, http);
}

static void
leave (void *ctx)
{
  BurdockEntry *entry = ctx;

  burdock_loop_post (entry->traffic.runtime.loop, burdock_entry_traffic_leave, entry);
  burdock_loop_post (entry->control.runtime.loop, burdock_entry_control_leave, entry);
}

static void
abandon_requests (BurdockEntry *entry)
{
  burdock_loop_post (entry->traffic.runtime.loop, burdock_entry_traffic_abandon, entry);
  for (uint32_t i = 0; i < FAREWELL_ROUNDS; i++) {
    usleep (FAREWELL_ROUND_US);
    if (atomic_load (&entry->in_flight) == 0)
      return;
  }
}

/* The HTTP address is bound first: a port of 0 must be known before control announces
 * it to other members. */
static int
run (BurdockEntry *entry)
{
  bool drained;

  if (burdock_entry_traffic_init (entry) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-", "HTTP address not available");
    return EXIT_FAILURE;
  }
  if (burdock_entry_control_init (entry) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-", "control address not available");
    return EXIT_FAILURE;
  }
  print_addresses (entry);
  if (burdock_runtime_start (&entry->traffic.runtime) < 0 ||
      burdock_runtime_start (&entry->control.runtime) < 0)
    return EXIT_FAILURE;
  drained = burdock_stop_wait (entry->settings.library.stop_limit_ms, leave, entry);
  if (!drained)
    abandon_requests (entry);
  burdock_runtime_stop (&entry->control.runtime);
  burdock_runtime_stop (&entry->traffic.runtime);
  /* What one thread has posted to the other still refers to the objects freed below. */
  while (burdock_loop_run_posted (entry->control.runtime.loop) ||
         burdock_loop_run_posted (entry->traffic.runtime.loop))
    ;
  burdock_entry_control_clear (entry);
  burdock_entry_traffic_clear (entry);
  burdock_snapshot_unref (burdock_slot_take (&entry->snapshots));
  free (burdock_slot_take (&entry->usages));
  return drained ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static BurdockEntry entry;
  int status;

  burdock_stop_block_signals ();
  if (sodium_init () < 0 || apr_initialize () != APR_SUCCESS ||
      curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_FAILURE;
  if (burdock_settings_parse (&entry.settings, BURDOCK_ROLE_ENTRY, PROGRAM, argc, argv) <
      0)
    return 2;
  burdock_log_init (entry.settings.library.name, entry.settings.log_level);
  status = run (&entry);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
