#!/usr/bin/env python3
"""
make run: a complete small deployment without faults.

A few hundred requests during a map switch, a change of configuration and the planned stop
of an entry and of an agent.
"""

import argparse
import sys
import time
from collections import Counter

from callers import LoadGenerator, Request
from cluster import Cluster
from system import Failure, wait_until
from verdict import check_outcomes

CALLERS = 12
PAUSE_S = 0.05
REQUESTS_MIN = 400
ANSWERED_SHARE_MIN = 0.95  # otherwise a run that refuses most requests would pass
SKEWED_WEIGHTS = [40, 30, 1, 1, 1, 1, 1, 1]


def mixed_request(number):
    """Streamed and whole answers and service calls, some of them not idempotent."""
    workspace = ("porirua", "napier")[number % 2]
    headers = {"workspace": workspace}
    if workspace == "porirua" and number % 3 == 0:
        headers["branch"] = "depot"
    kind = number % 5
    if kind == 4:
        return Request(f"r{number}", service="booking", idempotent=number % 2 == 0, **headers)
    return Request(f"r{number}", tokens=4 + number % 21, idempotent=kind != 3,
                   stream=kind != 2, model="draft", version="v1", **headers)


def log(text):
    print(f"run: {text}", flush=True)


def run_scenario(cluster):
    """Returns the load and the last generation; raises Failure if an event is late."""
    started = time.monotonic()
    generation = cluster.apply(1)
    cluster.wait_generation(generation)
    log(f"generation {generation} on all daemons after {time.monotonic() - started:.1f} s")
    cluster.wait_serving()
    load = LoadGenerator(cluster.directory(), mixed_request, CALLERS, pause_s=PAUSE_S)
    try:
        wait_until("50 answers", lambda: load.answered() >= 50, 20)
        before = cluster.commit_counts("west")
        cluster.set_popularity("west", SKEWED_WEIGHTS)
        cluster.wait_commits("west", before)
        log(f"map switch of group west committed on all ranks: {cluster.commit_counts('west')}")
        generation = cluster.apply(2)
        cluster.wait_generation(generation)
        log(f"generation {generation} on all daemons")
        cluster.stop_gracefully("entry-0")
        log("entry-0 stopped")
        cluster.stop_gracefully("west-1")
        log("agent west-1 stopped")
        wait_until(f"{REQUESTS_MIN} requests", lambda: len(load.finished()) >= REQUESTS_MIN, 20)
    finally:
        load.stop()
    cluster.wait_generation(2)
    return load, generation


def check_results(cluster, load, generation):
    """Returns counts by outcome, map mismatches and a list of violations."""
    counts, violations = check_outcomes(load.requests, cluster.run_counts())
    mismatches = cluster.map_mismatches()
    if mismatches:
        violations.append(f"{mismatches} steps in which ranks used different maps")
    if generation != 2:
        violations.append(f"generation {generation} after two configurations, expected 2")
    reasons = Counter(r.reason for r in load.requests if r.outcome != "answered")
    log(f"requests without an answer by reason: {dict(reasons)}")
    if counts["answered"] < ANSWERED_SHARE_MIN * counts["requests"]:
        violations.append(f"only {counts['answered']} of {counts['requests']} answered")
    return counts, mismatches, violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    counts, mismatches, generation, violations = {}, 0, 0, []
    cluster = Cluster(options.build, "run")
    try:
        with cluster:
            load, generation = run_scenario(cluster)
            counts, mismatches, violations = check_results(cluster, load, generation)
            cluster.stop_all()
            violations += [f"{name} was left running" for name in cluster.still_running()]
            cluster.keep_logs = bool(violations)
    except Failure as error:
        violations.append(str(error))
    for violation in violations[:20]:
        log(f"violation: {violation}")
    if violations:
        log(f"logs in {cluster.log_directory.path}")
    fields = ("requests", "answered", "refused_not_run", "unknown", "incomplete", "duplicated")
    text = " ".join(f"{name}={counts.get(name, 0)}" for name in fields)
    log(f"{text} map_mismatches={mismatches} generation={generation}")
    return 1 if violations or not counts else 0


if __name__ == "__main__":
    sys.exit(main())
