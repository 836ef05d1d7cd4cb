#!/usr/bin/env python3
"""
make load: latency and CPU time that entries and agents add to an engine.

The same load is sent at a fixed rate to the engines directly and then through the entries.
"""

import argparse
import json
import os
import subprocess
import sys

from cluster import Cluster
from system import Failure

STEP_US = 1000  # duration of an engine step


def cpu_us(cluster):
    """CPU time, user and system, that all entries and agents have used."""
    ticks = 0
    for process in list(cluster.entries.values()) + list(cluster.agents.values()):
        with open(f"/proc/{process.popen.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks * 1_000_000 // os.sysconf("SC_CLK_TCK")


def run_load(cluster, options, targets, seed, direct=False):
    """Runs burdock-load on these ports; returns its results."""
    argv = [cluster.program_path("bench/burdock-load"), "--seed", str(seed), "--rate",
            str(options.rate), "--seconds", str(options.seconds), "--tokens", str(options.tokens)]
    result = subprocess.run(argv + (["--direct"] if direct else []) +
                            [f"127.0.0.1:{port}" for port in targets],
                            capture_output=True, text=True, timeout=options.seconds + 60)
    if not result.stdout:
        raise Failure(f"burdock-load printed no results, exit status {result.returncode}: "
                      f"{result.stderr}")
    if result.stderr:
        print(f"load: {result.stderr.strip()}")
    return json.loads(result.stdout)


def measure(options):
    """Prints the results; returns the number of requests that failed."""
    cluster = Cluster(options.build, "load", entries=options.entries,
                      engine_options=["--step-us", str(STEP_US)])
    with cluster:
        cluster.wait_generation(cluster.apply(1))
        entries = [cluster.http_ports[name] for name in cluster.entries]
        engines = [port for engine in cluster.engines.values() for port in engine.ports]
        cluster.wait_serving()
        direct = run_load(cluster, options, engines, options.seed, direct=True)
        before = cpu_us(cluster)
        proxied = run_load(cluster, options, entries, options.seed)
        used = cpu_us(cluster) - before
        cluster.stop_all()
        cluster.keep_logs = proxied["errors"] > 0
    added = {q: proxied[f"first_token_{q}_us"] - direct[f"first_token_{q}_us"]
             for q in ("p95", "p99")}
    print(f"load: between_tokens_p95_us={proxied['between_tokens_p95_us']} "
          f"direct_between_tokens_p95_us={direct['between_tokens_p95_us']}")
    errors = proxied["errors"] + direct["errors"]
    print(f"load: rps={proxied['requests'] / options.seconds:.0f} "
          f"first_token_p95_us={proxied['first_token_p95_us']} "
          f"direct_p95_us={direct['first_token_p95_us']} added_p95_us={added['p95']} "
          f"added_p99_us={added['p99']} "
          f"cpu_us_per_request={used // max(proxied['requests'], 1)} errors={errors}")
    return errors


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tokens", type=int, default=20)
    parser.add_argument("--entries", type=int, default=3)
    try:
        return 1 if measure(parser.parse_args()) else 0
    except Failure as error:
        print(f"load: {error}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
