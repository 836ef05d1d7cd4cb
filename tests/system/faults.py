#!/usr/bin/env python3
"""
make faults: fault scenarios with real processes.

A scenario injects its fault when the run has reached a certain state, not after a certain
time. At its end the outcomes that callers saw are compared with what the upstreams ran.
"""

import argparse
import http.client
import re
import signal
import socket
import sys
import threading
import time
from collections import Counter

from callers import (ConcurrentRequests, FixedDirectory, LoadGenerator, Request, check_refusal,
                     send_with_retries)
from cluster import Cluster
from system import Failure, call, call_json, metrics, wait_until
from verdict import check_outcomes

LONG_TOKENS = 300  # 1.5 s at 5 ms per step, longer than it takes to inject a fault
SETTLE_S = 30
LOG_LINES_MAX = 100000
SKEWED_WEIGHTS = [40, 30, 1, 1, 1, 1, 1, 1]
SKEWED_WEIGHTS_REVERSED = [1, 1, 1, 1, 1, 1, 30, 40]


def model_request(key, tokens=10, **fields):
    return Request(key, tokens=tokens, model="draft", version="v1", workspace="porirua",
                   **fields)


def booking_request(key, **fields):
    return Request(key, service="booking", workspace="porirua", **fields)


def mixed_request(number):
    """Model requests and service calls; every fourth one is not idempotent."""
    once = number % 4 == 3
    if number % 5 == 4:
        return booking_request(f"m{number}", idempotent=not once)
    return model_request(f"m{number}", 4 + number % 17, idempotent=not once,
                         stream=number % 3 > 0)


def expect(condition, text):
    """Raises Failure with the text unless the condition holds."""
    if not condition:
        raise Failure(text)


def holds_lease(port):
    """Whether the entry holds the lease of a group; False if it does not answer in 0.5 s."""
    try:
        status, text = call(port, "GET", "/metrics", timeout_s=0.5)
    except (OSError, http.client.HTTPException):
        return False
    return status == 200 and re.search(r"^burdock_leases_held(\{.*\})? [1-9]", text, re.M) is not None


class Trial:
    """Run of one scenario: the cluster and all requests that were sent to it."""

    def __init__(self, cluster):
        self.cluster, self.requests, self.loads = cluster, [], []
        self.sabotage = None

    def prepare(self):
        """Applies the first configuration and waits until all entries serve."""
        self.cluster.wait_generation(self.cluster.apply(1))
        self.cluster.wait_serving()

    def entry_port(self, entry):
        return self.cluster.http_ports[entry]

    def other_ports(self, entry):
        """HTTP ports of the running entries but this one."""
        return [port for name, port in self.cluster.live_entry_ports().items() if name != entry]

    def start_requests(self, requests, directory=None, retries=0):
        """Sends the requests at the same time and does not wait for them."""
        batch = ConcurrentRequests(requests, directory or self.cluster.directory(), retries)
        self.requests += batch.requests
        return batch

    def start_load(self, threads=8, retries=0, directory=None):
        """Starts continuous load and waits until 20 requests are answered."""
        load = LoadGenerator(directory or self.cluster.directory(), mixed_request, threads,
                             retries, pause_s=0.02)
        self.loads.append(load)
        wait_until("20 answers", lambda: load.answered() >= 20, 20)
        return load

    def wait_more_answers(self, load, count=40, deadline_s=SETTLE_S):
        """Waits until the load has received so many more answers."""
        goal = load.answered() + count
        wait_until(f"{count} more answers", lambda: load.answered() >= goal, deadline_s)

    def agent_by_request(self, requests):
        """Agent of group west whose engine has started a request, by request key."""
        found = {}
        for rank, stats in enumerate(self.cluster.group_stats("west")):
            for request in requests:
                if request.key in stats["generate"]:
                    found[request.key] = f"west-{rank}"
        return found

    def lease_holders(self):
        """Entries that hold the lease of a group."""
        return [name for name, port in self.cluster.live_entry_ports().items()
                if metrics(port).get("burdock_leases_held", 0) > 0]

    def begin_stalled_switch(self, weights=SKEWED_WEIGHTS):
        """Starts a map switch; returns while the hold order at rank 3 is stalled for 1 s."""
        engine = self.cluster.engines["west"]
        hits = engine.stats(3)["faults_hit"]
        engine.fault("stall", path="/map/hold", count=1, ms=1000, port=3)
        self.cluster.set_popularity("west", weights)
        wait_until("a hold order at rank 3", lambda: engine.stats(3)["faults_hit"] > hits, 20)

    def begin_stalled_load(self):
        """
        Starts a map switch; returns while the load order at rank 3 is stalled for 2 s.

        No release of an earlier switch is due then. The group also leaves its initial map by
        itself; a fault that is set earlier may hit that switch.
        """
        engine = self.cluster.engines["west"]
        hits = engine.stats(3)["faults_hit"]
        engine.fault("stall", path="/map/load", count=1, ms=2000, port=3)
        self.cluster.set_popularity("west", SKEWED_WEIGHTS)
        wait_until("a load order at rank 3", lambda: engine.stats(3)["faults_hit"] > hits, 20)

    def wait_group_advances(self):
        """Waits until all ranks of group west use one map epoch and steps continue."""
        before = self.cluster.group_stats("west")[0]["steps"]

        def settled():
            stats = self.cluster.group_stats("west")
            epochs = {rank["map_epoch"] for rank in stats}
            joining = [rank["rank"] for rank in stats if rank["joining"]]
            if joining or len(epochs) > 1 or stats[0]["steps"] < before + 50:
                raise Failure(f"map epochs {epochs}, ranks joining {joining}, "
                              f"steps {before} to {stats[0]['steps']}")
            return True
        wait_until("group west runs steps on one map", settled, SETTLE_S)

    def wait_next_holder(self, former):
        """Waits until an entry other than `former` holds the lease."""
        wait_until("another holder", lambda: any(
            holds_lease(port) for name, port in self.cluster.live_entry_ports().items()
            if name != former), SETTLE_S)

    def newest_fences(self):
        """Newest fencing token that has reached each rank of group west."""
        return [stats["fence"] for stats in self.cluster.group_stats("west")]

    def lease_log(self, step):
        """Time of each log line on a step of a lease, oldest first."""
        found = []
        for process in self.cluster.entries.values():
            lines = process.log_tail(LOG_LINES_MAX).splitlines()
            found += [line.split()[0] for line in lines if f'step="{step}"' in line]
        return sorted(found)

    def finish(self):
        """Ends all load and checks the outcomes of callers against the upstreams."""
        for load in self.loads:
            self.requests += load.stop()
        if self.sabotage:
            self.sabotage(self)
        counts, violations = check_outcomes(self.requests, self.cluster.run_counts())
        mismatches = self.cluster.map_mismatches()
        if mismatches:
            violations.append(f"{mismatches} steps in which ranks used different maps")
        stale, refused = self.cluster.old_token_orders()
        if stale:
            violations.append(f"{stale} orders carried out after one with a newer fencing token")
        if refused:
            violations.append(f"{refused} orders that only the engines' check of tokens refused")
        expect(not violations, "; ".join(violations[:5]))
        expect(counts["answered"] > 0, "no request was answered")
        return counts


def entry_killed(trial):
    """
    Guards against streams that look complete after their entry was killed.

    The streams end without an end line. Callers retry with the same key at another entry:
    idempotent requests are answered, others end as "unknown" and do not run twice.
    """
    port = trial.entry_port("entry-0")
    repeatable = trial.start_requests(
        [model_request(f"again-{i}", LONG_TOKENS) for i in range(6)],
        FixedDirectory(port, *trial.other_ports("entry-0")), retries=4)
    once = trial.start_requests([model_request(f"once-{i}", LONG_TOKENS, idempotent=False)
                                 for i in range(4)],
                                FixedDirectory(port, *trial.other_ports("entry-0")), retries=4)
    repeatable.wait_started()
    once.wait_started()
    trial.cluster.entries["entry-0"].kill()
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    for request in once.join():
        expect(request.outcome == "unknown", f"{request.key}: {request.outcome}")


def start_long_streams(trial, prefix, retries=0):
    """
    Starts streams that run while the fault is injected, half of them not idempotent.

    Returns both batches, the agent by request key, and an agent that runs both kinds.
    """
    repeatable = trial.start_requests(
        [model_request(f"{prefix}-again-{i}", LONG_TOKENS) for i in range(12)], retries=retries)
    once = trial.start_requests(
        [model_request(f"{prefix}-once-{i}", LONG_TOKENS, idempotent=False) for i in range(12)],
        retries=retries)
    repeatable.wait_started()
    once.wait_started()
    over = [r.key for r in repeatable.requests + once.requests if r.outcome]
    expect(not over, f"streams ended before the fault: {over}")
    agent_of = trial.agent_by_request(repeatable.requests + once.requests)
    both = ({agent_of[r.key] for r in repeatable.requests}
            & {agent_of[r.key] for r in once.requests})
    expect(both, f"no agent runs requests of both kinds: {agent_of}")
    return repeatable, once, agent_of, sorted(both)[0]


def agent_killed(trial):
    """
    Guards against lost streams and second runs when an agent is killed.

    Idempotent streams resume at another agent with the next token; others end as "unknown".
    """
    repeatable, once, agent_of, victim = start_long_streams(trial, "killed")
    trial.cluster.agents[victim].kill()
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    for request in once.join():
        expected = "unknown" if agent_of[request.key] == victim else "answered"
        expect(request.outcome == expected, f"{request.key}: {request.outcome}")
    resumes = sum(metrics(port).get("burdock_resumes_total", 0)
                  for port in trial.cluster.live_entry_ports().values())
    expect(resumes > 0, "no stream was resumed")


def agent_frozen(trial):
    """
    Guards against late tokens of an agent that was paused and then resumed.

    By then its idempotent streams have resumed at other agents, so that the entries have to
    drop its tokens.
    """
    repeatable, once, agent_of, victim = start_long_streams(trial, "frozen")
    process = trial.cluster.agents[victim]
    process.signal(signal.SIGSTOP)
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    process.signal(signal.SIGCONT)
    load = trial.start_load()
    trial.wait_more_answers(load, 100)
    dropped = sum(metrics(port)["burdock_tokens_dropped_total"]
                  for port in trial.cluster.live_entry_ports().values())
    expect(dropped > 0, "no entry dropped late tokens of the paused agent")
    for request in once.join():
        if agent_of[request.key] != victim:
            expect(request.outcome == "answered", f"{request.key}: {request.outcome}")


def rank_dies_mid_switch(trial):
    """
    Guards against a group that stays blocked, or runs on two maps, after a rank restarts.

    Rank 2 loses its hold and loaded map in the middle of a switch and comes back as a new
    instance.
    """
    load = trial.start_load(retries=20)
    engine = trial.cluster.engines["west"]
    trial.begin_stalled_switch()
    engine.fault("die", port=2)
    engine.fault("restart", port=2)
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def coordinator_killed_mid_switch(trial):
    """
    Guards against a switch that stays open after its coordinator was killed.

    The entries that hold leases die while rank 3 is told to hold. Another entry has to end
    the switch, and a later switch has to succeed.
    """
    load = trial.start_load(retries=20)
    trial.begin_stalled_switch()
    for name in trial.lease_holders():
        trial.cluster.entries[name].kill()
    expect(trial.cluster.live_entry_ports(), "all entries held leases")
    trial.wait_group_advances()
    trial.wait_more_answers(load)
    before = trial.cluster.commit_counts("west")
    trial.cluster.set_popularity("west", SKEWED_WEIGHTS_REVERSED)
    trial.cluster.wait_commits("west", before, SETTLE_S)


def agent_killed_mid_switch(trial):
    """
    Guards against an engine that stays held because its agent lost the state of the switch.

    The restarted agent has to read the hold back from the engine, so that the group
    continues.
    """
    load = trial.start_load(retries=20)
    trial.begin_stalled_switch()
    agent = trial.cluster.agents["west-1"]
    agent.kill()
    agent.start()
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def store_down(trial):
    """
    Guards against an outage of traffic, or unprotected runs, while the store is down.

    Idempotent requests are answered. Others need a claim in the store and are refused as
    not run, until the store is back.
    """
    trial.start_requests([booking_request("before", idempotent=False)]).join()
    trial.cluster.platform.fault("down")
    repeatable = trial.start_requests([model_request(f"down-{i}") for i in range(20)]
                                      + [booking_request(f"down-b{i}") for i in range(10)])
    once = trial.start_requests([booking_request(f"down-once-{i}", idempotent=False)
                                 for i in range(10)])
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    for request in once.join():
        expect(request.outcome == "not-run", f"{request.key}: {request.outcome}")
    trial.cluster.platform.fault("none")
    after = [send_with_retries(booking_request("after", idempotent=False),
                               trial.cluster.directory(), 400)]
    trial.requests += after
    expect(after[0].outcome == "answered", f"after the outage: {after[0].outcome}")


def lost_answer_of_accept(trial):
    """
    Guards against a configuration that is accepted twice or reported as refused.

    The store performs the write that accepts it, but the response is lost.
    """
    platform = trial.cluster.platform
    hits = platform.stats()["faults_hit"]
    platform.fault("lose-answer", path="/table/transaction", match="config/current", count=1)
    generation = trial.cluster.apply(2)
    expect(platform.stats()["faults_hit"] > hits, "no write to the store met the lose-answer fault")
    expect(generation == 2, f"generation {generation}")
    trial.cluster.wait_generation(2)
    row = call_json(platform.ports[0], "GET", "/table/config%2Fcurrent")
    expect(row["version"] == 2, f"config/current has version {row['version']}")
    trial.start_requests([model_request("after")]).join()


def lost_answer_of_claim(trial):
    """
    Guards against a request that is refused, or runs twice, after an ambiguous claim.

    The store writes the claim of the request, but the response is lost.
    """
    platform = trial.cluster.platform
    hits = platform.stats()["faults_hit"]
    platform.fault("lose-answer", path="/table/transaction", match="lost-claim", count=1)
    request = trial.start_requests([booking_request("lost-claim", idempotent=False)]).join()[0]
    expect(platform.stats()["faults_hit"] > hits, "no write to the store met the lose-answer fault")
    expect(request.outcome == "answered", f"{request.outcome}: {request.reason}")


def store_restored(trial):
    """
    Guards against a second run of a request whose claim the store has lost, and against two
    holders of a lease, after the store has returned from a copy.

    The key is sent again to another entry at once, and until keys are claimed again.
    """
    platform = trial.cluster.platform.ports[0]
    ports = list(trial.cluster.live_entry_ports().values())
    wait_until("a lease holder", trial.lease_holders, 20)
    call_json(platform, "POST", "/copy", {})
    first = trial.start_requests([booking_request("kept", idempotent=False)],
                                 FixedDirectory(ports[0])).join()[0]
    expect(first.outcome == "answered", f"{first.outcome}: {first.reason}")
    time.sleep(1)
    call_json(platform, "POST", "/restore", {})
    until = time.monotonic() + 9
    while time.monotonic() < until:
        again = trial.start_requests([booking_request("kept", idempotent=False)],
                                     FixedDirectory(ports[1])).join()[0]
        expect(again.outcome != "answered", f"{again.key}: run again after the restore")
        expect(len(trial.lease_holders()) <= 1, "two holders of a lease")
        time.sleep(0.3)
    after = [send_with_retries(booking_request("after", idempotent=False),
                               trial.cluster.directory(), 400)]
    trial.requests += after
    expect(after[0].outcome == "answered", f"after the restore: {after[0].outcome}")
    wait_until("one lease holder", lambda: len(trial.lease_holders()) == 1, SETTLE_S)


def operators_race(trial):
    """
    Guards against a lost update when two operators submit configurations at the same time.

    One is accepted. The other is refused with the generation that won.
    """
    cluster = trial.cluster
    paths = {entry: cluster.write_configuration(revision)
             for revision, entry in ((2, "entry-0"), (3, "entry-1"))}
    # Both writes reach the store with the same expected version.
    cluster.platform.fault("stall", path="/table/transaction", match="config/current",
                           count=2, ms=500)
    results = {}
    threads = [threading.Thread(target=lambda e=entry, p=path: results.update(
        {e: cluster.burdockctl("apply", p, entry=e)})) for entry, path in paths.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [entry for entry, (status, _) in results.items() if status == 0]
    expect(len(accepted) == 1, f"{len(accepted)} accepted: {results}")
    cluster.wait_generation(2)
    refusal = next(text for status, text in results.values() if status != 0)
    expect("generation 2" in refusal, f"the refusal does not name generation 2: {refusal}")
    trial.start_requests([model_request("after")]).join()


def lease_holder_frozen(trial):
    """
    Guards against orders of a lease holder that was paused until its lease expired.

    Another entry takes the lease over. The old holder has to notice that when it resumes,
    and the engines must accept no order with its stale fencing token.
    """
    load = trial.start_load(retries=20)
    holders = wait_until("a lease holder", trial.lease_holders, 20)
    expect(len(holders) == 1, f"one group has several lease holders: {holders}")
    process = trial.cluster.entries[holders[0]]
    others = {n: p for n, p in trial.cluster.live_entry_ports().items() if n != holders[0]}
    process.signal(signal.SIGSTOP)
    wait_until("another holder", lambda: any(
        metrics(p).get("burdock_leases_held", 0) > 0 for p in others.values()), SETTLE_S)
    process.signal(signal.SIGCONT)
    wait_until("one holder", lambda: len(trial.lease_holders()) == 1, 10)
    before = trial.cluster.commit_counts("west")
    trial.cluster.set_popularity("west", SKEWED_WEIGHTS)
    trial.cluster.wait_commits("west", before, SETTLE_S)
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def coordinator_wakes_in_switch(trial):
    """
    Guards against orders of a coordinator that was frozen in a map switch and wakes up in a
    switch of the next one.

    The frozen entry has an open switch and the answers of the ranks to it. The time for it
    is over when it wakes up, so that it would end the switch: a release would end the holds
    of the next coordinator.
    """
    former = wait_until("a lease holder", trial.lease_holders, 20)[0]
    process = trial.cluster.entries[former]
    # Callers that wait for the frozen entry would leave the group without steps to plan for.
    load = trial.start_load(retries=20,
                            directory=FixedDirectory(*trial.other_ports(former)))
    trial.begin_stalled_switch()
    old = max(trial.newest_fences())
    process.signal(signal.SIGSTOP)
    trial.wait_next_holder(former)
    trial.begin_stalled_switch(SKEWED_WEIGHTS_REVERSED)
    fences = trial.newest_fences()
    expect(min(fences) > old, f"tokens {fences} at the ranks, {old} before")
    process.signal(signal.SIGCONT)
    wait_until("one holder", lambda: len(trial.lease_holders()) == 1, 10)
    trial.wait_group_advances()
    before = trial.cluster.commit_counts("west")
    trial.cluster.set_popularity("west", SKEWED_WEIGHTS)
    trial.cluster.wait_commits("west", before, SETTLE_S)
    trial.wait_more_answers(load)


def lease_handed_over_in_switch(trial):
    """
    Guards against two coordinators that both order while a lease is handed over.

    The holder of the lease is told to stop in a map switch and releases the lease, so that
    the next one takes it over without waiting.
    """
    load = trial.start_load(retries=20)
    former = wait_until("a lease holder", trial.lease_holders, 20)[0]
    process = trial.cluster.entries[former]
    trial.begin_stalled_switch()
    old = max(trial.newest_fences())
    process.signal(signal.SIGTERM)
    trial.wait_next_holder(former)
    trial.cluster.set_popularity("west", SKEWED_WEIGHTS_REVERSED)
    wait_until("orders of the next holder", lambda: min(trial.newest_fences()) > old, SETTLE_S)
    released, taken = trial.lease_log("lease released"), trial.lease_log("lease taken")
    expect(released and len(taken) > 1 and released[0] <= taken[1],
           f"times of lease changes: released {released}, taken {taken}")
    expect(process.wait_exit(20) == 0, f"{former} does not exit with status 0")
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def same_key_twice(trial):
    """
    Guards against two runs of a non-idempotent request that two entries receive at once.

    Both have the same key: one is answered, the other one ends as "unknown".
    """
    ports = list(trial.cluster.live_entry_ports().values())
    pairs = []
    for number in range(20):
        make = booking_request if number % 2 else model_request
        pairs.append([trial.start_requests([make(f"twice-{number}", idempotent=False)],
                                           FixedDirectory(port))
                      for port in ports[:2]])
    for pair in pairs:
        outcomes = sorted(group.join()[0].outcome for group in pair)
        expect(outcomes == ["answered", "unknown"],
               f"{pair[0].requests[0].key}: outcomes {outcomes}")


def entry_stops(trial):
    """Guards against requests that a planned stop of their entry cuts or loses."""
    load = trial.start_load(16)
    trial.cluster.stop_gracefully("entry-1")
    trial.wait_more_answers(load, 100)


def entry_stop_cut_short(trial):
    """
    Guards against requests without an outcome when SIGINT cuts a stop short.

    The entry exits at once with status 1, after it has ended its open requests with the
    reason "leaving": as "unknown" if they run, as "not-run" if their claim is not written
    yet.
    """
    port, entry = trial.entry_port("entry-0"), trial.cluster.entries["entry-0"]
    platform = trial.cluster.platform
    hits = platform.stats()["faults_hit"]
    platform.fault("stall", path="/table/transaction", match="waiting", count=1, ms=8000)
    waiting = trial.start_requests([booking_request("waiting", idempotent=False)],
                                   FixedDirectory(port))
    wait_until("the write of the claim", lambda: platform.stats()["faults_hit"] > hits, 10)
    repeatable = trial.start_requests(
        [model_request(f"again-{i}", LONG_TOKENS) for i in range(6)],
        FixedDirectory(port, *trial.other_ports("entry-0")), retries=4)
    interrupted = trial.start_requests(
        [model_request(f"told-{i}", LONG_TOKENS, stream=i % 2 == 0) for i in range(6)],
        FixedDirectory(port))
    repeatable.wait_started()
    wait_until("all requests run", lambda: all(
        request.started.is_set() if request.stream else trial.agent_by_request([request])
        for request in interrupted.requests), 10)
    entry.signal(signal.SIGTERM)
    wait_until("the start of the planned stop", lambda: "planned stop" in entry.log_tail(), 10)
    entry.signal(signal.SIGINT)
    expect(entry.wait_exit(10) == 1, "entry-0 does not exit with status 1 after SIGINT")
    request = waiting.join()[0]
    expect(request.outcome == "not-run" and request.reason == "leaving",
           f"{request.key}: {request.outcome}: {request.reason}")
    for request in interrupted.join():
        expect(request.outcome == "unknown" and request.reason == "leaving",
               f"{request.key}: {request.outcome}: {request.reason}")
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")


def entry_stops_with_kept_connections(trial):
    """
    Guards against requests that a stopped entry cuts as it closes its listening socket.

    Callers that have a connection send their request when the entry refuses new ones. Each
    gets a refusal as not run.
    """
    port, entry = trial.entry_port("entry-0"), trial.cluster.entries["entry-0"]
    connections = [http.client.HTTPConnection("127.0.0.1", port, timeout=10) for _ in range(20)]
    for connection in connections:
        connection.connect()
    entry.signal(signal.SIGTERM)
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
        except ConnectionRefusedError:
            break
        time.sleep(0.002)
    outcomes = []
    for number, connection in enumerate(connections):
        request = booking_request(f"kept-{number}", idempotent=False)
        try:
            connection.request("POST", "/v1/requests", request.body, request.header_fields())
            outcomes.append(check_refusal(request, connection.getresponse()))
        except (OSError, http.client.HTTPException) as error:
            outcomes.append(repr(error))
    expect(set(outcomes) == {"not-run"}, f"outcomes {Counter(outcomes)}")
    expect(entry.wait_exit(10) == 0, "entry-0 does not exit with status 0")
    trial.start_requests([model_request("after")]).join()


def entry_stops_with_new_connections(trial):
    """
    Guards against connections that a stopped entry resets as it closes its listening socket.

    The entry is frozen at that moment, so that connections with requests wait to be
    accepted. Each gets a refusal as not run.
    """
    port, entry = trial.entry_port("entry-0"), trial.cluster.entries["entry-0"]
    entry.signal(signal.SIGTERM)
    time.sleep(1.3)
    entry.signal(signal.SIGSTOP)
    time.sleep(0.4)
    batch = trial.start_requests([booking_request(f"new-{i}", idempotent=False)
                                  for i in range(100)], FixedDirectory(port))
    time.sleep(0.3)
    entry.signal(signal.SIGCONT)
    for request in batch.join():
        expect(request.outcome == "not-run" and request.reason == "leaving",
               f"{request.key}: {request.outcome}: {request.reason}")
    expect(entry.wait_exit(10) == 0, "entry-0 does not exit with status 0")
    trial.start_requests([model_request("after")]).join()


def sigterm_repeated(trial):
    """
    Guards against streams that are cut off because a platform repeats SIGTERM.

    An entry and an agent get SIGTERM three times while long streams run. All streams are
    answered, and both processes exit with status 0.
    """
    repeatable, once, _, agent = start_long_streams(trial, "repeated")
    processes = [trial.cluster.entries["entry-0"], trial.cluster.agents[agent]]
    for _ in range(3):
        for process in processes:
            process.signal(signal.SIGTERM)
        time.sleep(0.1)
    for request in repeatable.join() + once.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    for process in processes:
        expect(process.wait_exit(20) == 0, f"{process.name} does not exit with status 0")


def limit_stop(trial, processes, limit_ms):
    """Restarts daemons with this stop limit and waits until all entries serve again."""
    for process in processes:
        process.signal(signal.SIGTERM)
    for process in processes:
        expect(process.wait_exit(20) == 0, f"{process.name} does not exit with status 0")
        process.argv = process.argv + ["--stop-limit-ms", str(limit_ms)]
        process.start()
    for process in processes:
        wait_until(f"{process.name} answers /health", lambda p=process: call(
            trial.cluster.http_ports[p.name], "GET", "/health"), 10)
    trial.cluster.wait_generation(1)
    trial.cluster.wait_serving()


def request_in_stop(number):
    """Requests of 3 s, longer than a short stop, and requests that end before it does."""
    once = number % 2 == 1
    if number % 4 < 2:
        return model_request(f"stop-long-{number}", 2 * LONG_TOKENS, idempotent=not once)
    return model_request(f"stop-short-{number}", 10, idempotent=not once, stream=once,
                         deadline_ms=700)


def expect_no_loss(request):
    """Checks that a request from a stop was answered, refused, or late on its own account."""
    expect(request.outcome in ("answered", "not-run") or request.reason == "deadline",
           f"{request.key}: {request.outcome}: {request.reason}")


def entry_stops_at_limit(trial):
    """
    Guards against requests that an entry takes in a stop and cuts off at the stop limit.

    The stop limit is 2 s. A request that is sent to the entry in the stop is answered, or
    refused as not run so that another entry can serve it. One from before the stop that
    still runs at the limit ends as "unknown" with the reason "leaving".
    """
    port, entry = trial.entry_port("entry-0"), trial.cluster.entries["entry-0"]
    limit_stop(trial, [entry], 2000)
    before = trial.start_requests([model_request(f"before-{i}", 3 * LONG_TOKENS, stream=i > 1)
                                   for i in range(4)], FixedDirectory(port))
    wait_until("all requests run", lambda: len(trial.agent_by_request(before.requests)) == 4, 10)
    entry.signal(signal.SIGTERM)
    batches = []
    for number in range(24):
        batches.append(trial.start_requests([request_in_stop(number)], FixedDirectory(port)))
        time.sleep(0.05)
    requests = [request for batch in batches for request in batch.join()]
    for request in requests:
        expect_no_loss(request)
    for request in before.join():
        expect(request.outcome == "unknown" and request.reason == "leaving",
               f"{request.key}: {request.outcome}: {request.reason}")
    expect(sum(request.outcome == "answered" for request in requests) > 0,
           "no request was answered in the stop")
    expect(entry.wait_exit(10) == 1, "entry-0 does not exit with status 1 at its stop limit")


def agent_stops_at_limit(trial):
    """
    Guards against requests without an outcome, or second runs, when an agent reaches its
    stop limit, and against streams that its engine goes on with.

    The stop limit is 1 s. Idempotent streams that still run are resumed elsewhere, others
    end as "unknown". Requests sent in the stop are not lost.
    """
    ranks = [f"west-{rank}" for rank in range(4)]
    limit_stop(trial, [trial.cluster.agents[name] for name in ranks], 1000)
    old = trial.start_requests([model_request(f"old-{i}", 3 * LONG_TOKENS, idempotent=i % 2 == 0)
                                for i in range(24)])
    old.wait_started()
    agent_of = trial.agent_by_request(old.requests)
    victim = max(ranks, key=lambda name: len(
        {r.idempotent for r in old.requests if agent_of.get(r.key) == name}))
    agent = trial.cluster.agents[victim]
    agent.signal(signal.SIGTERM)
    batches = []
    for number in range(24):
        batches.append(trial.start_requests([request_in_stop(number)]))
        time.sleep(0.05)
    expect(agent.wait_exit(10) == 1, f"{victim} does not exit with status 1 at its stop limit")
    wait_until(f"the engine of {victim} has no stream", lambda: trial.cluster.group_stats(
        "west")[ranks.index(victim)]["streams"] == 0, 1)
    for request in [request for batch in batches for request in batch.join()]:
        expect_no_loss(request)
    for request in old.join():
        cut = agent_of.get(request.key) == victim and not request.idempotent
        expect(request.outcome == ("unknown" if cut else "answered"),
               f"{request.key}: {request.outcome}: {request.reason}")


def agent_stops(trial):
    """Guards against requests that a planned stop of an agent cuts, and new work for it."""
    load = trial.start_load(16)
    trial.cluster.stop_gracefully("west-2")
    trial.cluster.stop_gracefully(next(iter(trial.cluster.services)))
    trial.wait_more_answers(load, 100)


def agent_stops_in_hold(trial):
    """
    Guards against a group that stays blocked because an idle agent exited during a hold.

    The engines do not receive the release of a map switch while the agent stops. It has to
    stay until the release has arrived.
    """
    load = trial.start_load(2, retries=20)
    cluster, engine = trial.cluster, trial.cluster.engines["west"]
    trial.begin_stalled_load()
    for rank in range(3):
        engine.fault("cut", path="/map/release", port=rank)
    wait_until("release orders at ranks 0 to 2",
               lambda: all(engine.stats(r)["faults_hit"] for r in range(3)), 20)
    # Two callers leave at least one of three ranks without a stream.
    idle = next(r for r in range(3) if engine.stats(r)["streams"] == 0)
    agent, other = cluster.agents[f"west-{idle}"], cluster.agents["booking-0"]
    agent.signal(signal.SIGTERM)
    other.signal(signal.SIGTERM)
    expect(other.wait_exit(20) == 0, "booking-0 does not exit with status 0")
    expect(agent.is_running(), f"agent west-{idle} exited while its engine was held")
    for rank in range(3):
        engine.fault("none", port=rank)
    expect(agent.wait_exit(20) == 0, f"agent west-{idle} does not exit with status 0")
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def agent_stops_before_hold(trial):
    """
    Guards against an agent that joins a map switch while it is leaving, and then exits.

    Rank 3 is still loading its map when the agent of rank 1 is told to stop. That agent must
    accept no hold any more: rank 1 receives no release, so that a hold would block the group
    and the stop.
    """
    load = trial.start_load(retries=20)
    cluster, engine = trial.cluster, trial.cluster.engines["west"]
    trial.begin_stalled_load()
    engine.fault("cut", path="/map/release", port=1)
    cluster.stop_gracefully("west-1")
    engine.fault("none", port=1)
    trial.wait_group_advances()
    trial.wait_more_answers(load)


def instance_list_notice(trial):
    """Guards against new work, 3 s later, for an upstream that is listed as leaving."""
    cluster = trial.cluster
    load = trial.start_load(16, retries=5)
    cluster.publish_instance("west-1", "agent", cluster.control_ports["west-1"], "leaving")
    wait_until("an instance listed as leaving", lambda: any(
        i["state"] == "leaving" for i in call_json(cluster.platform.ports[0], "GET",
                                                   "/instances")["instances"]), 10)
    noticed = time.monotonic()
    while True:
        since, started = time.monotonic(), sum(cluster.group_stats("west")[1]["generate"].values())
        trial.wait_more_answers(load, 60)
        if sum(cluster.group_stats("west")[1]["generate"].values()) == started:
            break
        expect(since < noticed + 3, "west-1 gets new work 3 s after it was listed as leaving")


def entry_and_agent_killed(trial):
    """
    Guards against lost answers, answers of other requests, and second runs when an entry
    and an agent are killed together.
    """
    repeatable, once, _, victim = start_long_streams(trial, "both", retries=6)
    trial.cluster.entries["entry-1"].kill()
    trial.cluster.agents[victim].kill()
    for request in repeatable.join():
        expect(request.outcome == "answered", f"{request.key}: {request.outcome}")
    for request in once.join():
        expect(request.outcome in ("answered", "unknown"), f"{request.key}: {request.outcome}")


def agent_killed_twice(trial):
    """Guards against a restarted agent that gets no work after two kills under load."""
    load = trial.start_load(12, retries=10)
    agent = trial.cluster.agents["west-0"]

    def runs():
        return sum(trial.cluster.group_stats("west")[0]["generate"].values())
    for _ in range(2):
        agent.kill()
        agent.start()
        before = runs()
        wait_until("the new agent gets work", lambda: runs() > before + 3, SETTLE_S)
    trial.wait_more_answers(load)


def entry_restarts_in_outage(trial):
    """
    Guards against an entry without a configuration if it starts while the store is down.

    It has to learn the current generation from its peers and must use no older one.
    """
    trial.cluster.wait_generation(trial.cluster.apply(2))
    trial.cluster.platform.fault("down")
    entry = trial.cluster.entries["entry-2"]
    entry.kill()
    entry.start()
    port = trial.entry_port("entry-2")
    seen = set()

    def current():
        status, _ = call(port, "GET", "/health")
        seen.add(int(metrics(port)["burdock_config_generation"]))
        return status and 2 in seen
    wait_until("entry-2 has generation 2", current, 20)
    expect(seen <= {0, 2}, f"generations seen: {seen}")
    wait_until("entry-2 serves", lambda: send_with_retries(
        model_request(f"restart-{time.monotonic_ns()}"),
        FixedDirectory(port)).outcome == "answered", 10)
    request = trial.start_requests([model_request("after-restart")],
                                   FixedDirectory(port)).join()[0]
    expect(request.outcome == "answered", f"{request.outcome}: {request.reason}")


SCENARIOS = [entry_killed, agent_killed, agent_frozen, rank_dies_mid_switch,
             coordinator_killed_mid_switch, agent_killed_mid_switch, store_down,
             store_restored,
             lost_answer_of_accept, lost_answer_of_claim, operators_race, lease_holder_frozen,
             coordinator_wakes_in_switch, lease_handed_over_in_switch,
             same_key_twice, entry_stops,
             entry_stops_with_kept_connections, entry_stops_with_new_connections,
             entry_stop_cut_short, sigterm_repeated,
             entry_stops_at_limit, agent_stops_at_limit, agent_stops, agent_stops_in_hold,
             agent_stops_before_hold, instance_list_notice, entry_and_agent_killed,
             agent_killed_twice, entry_restarts_in_outage]


# Scenarios in which lease holders change or agents lose the token that they have seen. They
# run with engines that check tokens as well; all run with engines that ignore them, which
# carry out each order that the programs let through.
TOKEN_SCENARIOS = {coordinator_killed_mid_switch, agent_killed_mid_switch, store_restored,
                   lease_holder_frozen, coordinator_wakes_in_switch,
                   lease_handed_over_in_switch}


def run_again(trial):
    """Violation: a service runs a non-idempotent request twice."""
    key = "sabotage-once"
    for service in list(trial.cluster.services.values())[:2]:
        call_json(service.ports[0], "POST", "/call",
                  {"id": 1, "key": key, "idempotent": False, "body": "x"})
    request = booking_request(key, idempotent=False)
    request.outcome = "answered"
    trial.requests.append(request)


def run_refused(trial):
    """Violation: a service runs a request whose caller got "not-run"."""
    call_json(next(iter(trial.cluster.services.values())).ports[0], "POST", "/call",
              {"id": 1, "key": "sabotage-refused", "idempotent": False, "body": "x"})
    request = booking_request("sabotage-refused", idempotent=False)
    request.outcome = "not-run"
    trial.requests.append(request)


def other_answer(trial):
    """Violation: a caller gets an answer that belongs to another prompt."""
    request = model_request("sabotage-answer")
    request.expected_body = "another prompt n=10"
    trial.requests.append(send_with_retries(request, trial.cluster.directory(), 5))


def other_map(trial):
    """Violation: one rank uses another map, committed without its agent."""
    port = trial.cluster.engines["west"].ports[0]
    state = call_json(port, "GET", "/state")
    head, slots = state["map"][:24], state["map"][24:]
    entries = [slots[i:i + 4] for i in range(0, len(slots), 4)]
    other = head + "".join(entries[1:] + entries[:1])
    epoch, step = state["map_epoch"] + 1, state["step"] + 200
    fence = call_json(port, "GET", "/stats")["fence"]
    call_json(port, "POST", "/map/load", {"epoch": epoch, "map": other, "fence": fence})
    number = state["held_number"] + (1 << 52)
    call_json(port, "POST", "/map/hold",
              {"epoch": epoch, "step": step, "number": number, "fence": fence})
    call_json(port, "POST", "/map/release",
              {"epoch": epoch, "number": number, "commit": True, "fence": fence})
    wait_until("steps on the other map",
               lambda: call_json(port, "GET", "/stats")["steps"] > step + 2, 10)


def former_holder(trial):
    """Violation: a rank gets an order of a lease holder again after one of the next holder."""
    engine = trial.cluster.engines["west"]
    state, fence = call_json(engine.ports[0], "GET", "/state"), engine.stats()["fence"]
    for token in (fence + 1, fence + 2, fence + 1):
        call(engine.ports[0], "POST", "/map/load",
             {"epoch": state["map_epoch"], "map": state["map"], "fence": token})


# Violations that finish() must detect; --sabotage tests the checks with them.
SABOTAGES = {f.__name__: f for f in (run_again, run_refused, other_answer, other_map,
                                     former_holder)}


def run_scenario(scenario, build, sabotage, checks_fencing):
    """Runs a scenario on a cluster of its own and prints its result line."""
    name = scenario.__name__ + ("+tokens_checked" if checks_fencing else "")
    started = time.monotonic()
    text, passed = "", False
    cluster = Cluster(build, name, groups=("west",), checks_fencing=checks_fencing)
    try:
        with cluster:
            trial = Trial(cluster)
            trial.sabotage = SABOTAGES.get(sabotage)
            trial.prepare()
            scenario(trial)
            counts = trial.finish()
            text = " ".join(f"{name}={value}" for name, value in counts.items())
            passed, cluster.keep_logs = True, False
    except Failure as error:
        text = f"{error}; logs in {cluster.log_directory.path}"
    print(f"faults: {name} {'ok' if passed else 'FAILED'} "
          f"{time.monotonic() - started:.1f}s {text}", flush=True)
    return passed


def main():
    names = {scenario.__name__: scenario for scenario in SCENARIOS}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--only", choices=names, action="append", help="run this scenario")
    parser.add_argument("--sabotage", choices=SABOTAGES,
                        help="inject a violation; every scenario must then fail")
    options = parser.parse_args()
    chosen = [names[name] for name in options.only] if options.only else SCENARIOS
    runs = [(s, checks) for s in chosen
            for checks in ((False, True) if s in TOKEN_SCENARIOS else (False,))]
    passed = sum(run_scenario(s, options.build, options.sabotage, checks) for s, checks in runs)
    print(f"faults: scenarios={len(runs)} passed={passed} failed={len(runs) - passed}")
    return 0 if passed == len(runs) else 1


if __name__ == "__main__":
    sys.exit(main())
