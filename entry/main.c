#include "entry.h"
#include "log.h"
#include "stop.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "burdock-entry"

#define US_PER_MS UINT64_C (1000)

/* Time for the last answers of a planned stop; those that wait for the store to release a
 * claim are written after half of it at the latest. */
#define FINISH_MS 1000

static void
log_addresses (const BurdockEntry *entry)
{
  char control[24];
  char http[24];

  burdock_address_format (entry->settings.library.control_address, control,
                          sizeof control);
  burdock_address_format (entry->settings.library.http_address, http, sizeof http);
  burdock_log (BURDOCK_LOG_INFO, "listening", "-", "control %s http %s", control, http);
}

static void
start_planned_stop (void *ctx)
{
  BurdockEntry *entry = ctx;
  uint64_t limit_us = entry->settings.library.stop_limit_ms * US_PER_MS;

  entry->stop_end_us = burdock_loop_now_us () + limit_us;
  burdock_loop_post (entry->traffic.runtime.loop, burdock_entry_traffic_leave, entry);
  burdock_loop_post (entry->control.runtime.loop, burdock_entry_control_leave, entry);
}

static void
give_up_requests (void *ctx)
{
  BurdockEntry *entry = ctx;

  burdock_loop_post (entry->traffic.runtime.loop, burdock_entry_traffic_give_up, entry);
}

/* The HTTP address is bound first: with port 0, control must know the port that was bound
 * before it announces the address to other members. */
static int
run (BurdockEntry *entry)
{
  BurdockStop stop = { .ctx = entry,
                       .limit_ms = entry->settings.library.stop_limit_ms,
                       .finish_ms = FINISH_MS,
                       .drain = start_planned_stop,
                       .finish = give_up_requests };
  bool drained;

  if (burdock_entry_traffic_init (entry) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-", "cannot start the HTTP server");
    return EXIT_FAILURE;
  }
  if (burdock_entry_control_init (entry) < 0) {
    burdock_log (BURDOCK_LOG_ERROR, "listen", "-",
                 "cannot listen on the control address");
    return EXIT_FAILURE;
  }
  log_addresses (entry);
  if (burdock_runtime_start (&entry->traffic.runtime) < 0 ||
      burdock_runtime_start (&entry->control.runtime) < 0)
    return EXIT_FAILURE;
  drained = burdock_stop_wait (&stop);
  burdock_runtime_stop (&entry->control.runtime);
  burdock_runtime_stop (&entry->traffic.runtime);
  /* Functions that one thread has posted to the other still refer to the objects that are
   * freed below. */
  while (burdock_loop_run_posted (entry->control.runtime.loop) ||
         burdock_loop_run_posted (entry->traffic.runtime.loop))
    ;
  burdock_log (BURDOCK_LOG_INFO, "stopped", "-", "drained %s cut %u unread %u",
               drained ? "yes" : "no",
               burdock_http_server_open_count (entry->traffic.http),
               burdock_http_server_unread_count (entry->traffic.http));
  burdock_entry_control_clear (entry);
  burdock_entry_traffic_clear (entry);
  burdock_snapshot_unref (burdock_slot_take (&entry->snapshot_slot));
  free (burdock_slot_take (&entry->usage_slot));
  return drained ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static BurdockEntry entry;
  int status;

  mallopt (M_MMAP_THRESHOLD, BURDOCK_MEMORY_MAP_BYTES);
  burdock_stop_block_signals ();
  if (sodium_init () < 0 || apr_initialize () != APR_SUCCESS ||
      curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return EXIT_FAILURE;
  if (burdock_settings_parse (&entry.settings, BURDOCK_ROLE_ENTRY, PROGRAM, argc, argv) <
      0)
    return 2;
  burdock_log_init (entry.settings.library.name, entry.settings.log_level);
  if (burdock_log_start () < 0)
    return EXIT_FAILURE;
  status = run (&entry);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
