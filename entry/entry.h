/**
 * DOC: entry.h - internal interface of the entry daemon
 *
 * The control thread runs the control object; the traffic thread runs the HTTP server and
 * the dispatcher. Snapshots and load figures pass between them through slots, calls of
 * operators through burdock_loop_post().
 */
#ifndef BURDOCK_ENTRY_H
#define BURDOCK_ENTRY_H

#include "http-server.h"
#include "runtime.h"
#include "settings.h"
#include "slot.h"
#include "text.h"

#include <stdatomic.h>

typedef struct BurdockEntry BurdockEntry;
typedef struct BurdockAdminCall BurdockAdminCall;

/**
 * struct BurdockEntryControl - state of the control thread
 * @runtime: must be the first member, as its address is the context of the callbacks in
 *   &BurdockEnv
 * @pending_submissions: list of the operators' calls that wait for the outcome of a
 *   submission
 * @last_handle: handle of the newest submission
 * @leaving: a planned stop has begun
 * @finishing: control is drained and the traffic thread was notified to finish
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockEntry *entry;
  BurdockControl *control;
  BurdockAdminCall *pending_submissions;
  uint64_t last_handle;
  bool leaving;
  bool finishing;
} BurdockEntryControl;

/**
 * struct BurdockEntryTraffic - state of the traffic thread
 * @runtime: must be the first member, as in &BurdockEntryControl
 * @memory: bound of what is held for callers
 * @snapshot: snapshot in use, with a reference of its own
 * @line: buffer for the line of a streamed answer that is being written
 * @next_usage_us: time of the next load report to the control thread
 * @finishing: the entry ends listening; the process ends once no request is open
 * @end_us: earliest time of that end, 0 while the entry listens
 * @finished: the main thread was notified that no request is open
 */
typedef struct {
  BurdockRuntime runtime;
  BurdockEntry *entry;
  BurdockDispatcher *dispatcher;
  BurdockHttpServer *http;
  BurdockMemoryBudget memory;
  BurdockSnapshot *snapshot;
  BurdockText line;
  uint64_t next_usage_us;
  uint64_t end_us;
  bool finishing;
  bool finished;
} BurdockEntryTraffic;

/**
 * struct BurdockEntry - entry daemon
 * @snapshot_slot: newest snapshot, from the control thread to the traffic thread
 * @usage_slot: newest load figures, from the traffic thread to the control thread
 * @in_flight: number of open requests, written by the traffic thread
 * @stop_end_us: time at which a planned stop gives up the requests that still run; set
 *   before the traffic thread is told of the stop
 */
struct BurdockEntry {
  BurdockDaemonSettings settings;
  BurdockEntryControl control;
  BurdockEntryTraffic traffic;
  BurdockSlot snapshot_slot;
  BurdockSlot usage_slot;
  atomic_uint in_flight;
  uint64_t stop_end_us;
};

/* Functions posted to a loop (*_leave, *_finish, *_give_up) have the entry as @ctx. */

/* Control thread, control-thread.c. */

/**
 * burdock_entry_control_init() - creates the control object and listens
 * Returns 0 or a negative error number.
 */
int burdock_entry_control_init (BurdockEntry *entry);

/** burdock_entry_control_clear() - releases everything; the thread must have ended */
void burdock_entry_control_clear (BurdockEntry *entry);

/** burdock_entry_control_leave() - starts a planned stop */
void burdock_entry_control_leave (void *ctx);

/* Traffic thread, traffic-thread.c. */

/**
 * burdock_entry_traffic_init() - creates the HTTP server and the dispatcher
 * A port of 0 in the settings is replaced by the port bound. Returns 0 or a negative
 * error number.
 */
int burdock_entry_traffic_init (BurdockEntry *entry);

/** burdock_entry_traffic_clear() - releases everything; the thread must have ended */
void burdock_entry_traffic_clear (BurdockEntry *entry);

/** burdock_entry_traffic_leave() - from now on, each answer ends its connection, and
 * requests that may outlast the stop are refused */
void burdock_entry_traffic_leave (void *ctx);

/**
 * burdock_entry_traffic_finish() - accepts no further connections
 * Called when control is drained; the process ends 200 ms later, once no request is open.
 */
void burdock_entry_traffic_finish (void *ctx);

/**
 * burdock_entry_traffic_give_up() - ends all open requests and accepts no further
 * connections
 * Called at the end of a planned stop in which the entry was not drained.
 */
void burdock_entry_traffic_give_up (void *ctx);

/* Requests of callers, callers.c. */

/** burdock_callers_handle_request() - submits a request to the dispatcher, or answers 400
 */
void burdock_callers_handle_request (BurdockEntryTraffic *traffic,
                                     BurdockHttpRequest *http);

/** burdock_callers_deliver() - env->deliver; @ctx is the &BurdockEntryTraffic */
void burdock_callers_deliver (void *ctx, const BurdockDelivery *delivery);

/**
 * burdock_callers_handle_closed() - releases the state of a request that has ended
 * Cancels the request in the dispatcher if it has not been answered.
 */
void burdock_callers_handle_closed (BurdockEntryTraffic *traffic,
                                    BurdockHttpRequest *http, bool complete);

/* Calls of operators, and metrics, admin.c. */

/** burdock_admin_handle_request() - authenticates and handles a call of an operator */
void burdock_admin_handle_request (BurdockEntryTraffic *traffic,
                                   BurdockHttpRequest *http);
void burdock_admin_handle_metrics (BurdockEntryTraffic *traffic,
                                   BurdockHttpRequest *http);

/** burdock_admin_apply_done() - env->apply_done; @ctx is the &BurdockEntryControl */
void burdock_admin_apply_done (void *ctx, const BurdockApplyResult *result);

/** burdock_admin_free_pending() - releases the calls that still wait for an outcome */
void burdock_admin_free_pending (BurdockEntryControl *control);

#endif
