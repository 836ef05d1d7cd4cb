"""A complete small deployment on loopback: stand-ins, entries, agents, configuration."""

import json
import os
import re
import signal
import subprocess
import time

from callers import EntryDirectory, FixedDirectory, Request, send_with_retries
from system import (Fake, Failure, LogDirectory, Process, call, call_json, free_ports, metrics,
                    wait_until)

CLUSTER_KEY, OPERATOR_KEY = "11" * 32, "22" * 32
LAYERS, EXPERTS, SLOTS, RANKS = 2, 8, 3, 4
FAILURE_DOMAINS = ["akl", "wlg", "chc"]
START_DEADLINE_S, SPREAD_DEADLINE_S, STOP_DEADLINE_S = 20, 8, 20


def configuration(revision=1, groups=("west", "east"), checks_fencing=True):
    """
    Returns a franchise file in JSON, which is a subset of YAML.

    The revision changes one limit. Limits are high because an entry without a grant has
    only a quarter of its equal share: streams would wait for the grant and still be running
    when a test injects a fault of another kind.
    """
    group = {"pool": "drafting", "ranks": RANKS, "layers": LAYERS, "experts": EXPERTS,
             "slots_per_rank": SLOTS, "skew_weight": 1.0, "cost_weight": 0.05,
             "expert_bytes": 1000000, "rebalance_interval_ms": 500}
    drafting = [{"model": "draft", "version": "v1", "adapters": ["*"]}]
    return json.dumps({
        "franchise": "kaitiaki",
        "models": {"draft": {"versions": ["v1"], "adapters": ["bins"],
                             "weight_bytes": 1000000}},
        "pools": {
            "drafting": {"kind": "model", "models": ["draft"], "running_limit": 32,
                         "queue_limit": 200,
                         "checks_fencing": "yes" if checks_fencing else "no"},
            "booking": {"kind": "service", "service": "booking", "running_limit": 16,
                        "queue_limit": 200}},
        "groups": {name: group for name in groups},
        "defaults": {"models": drafting, "services": ["booking"], "running_limit": 1000,
                     "deadline_ms": 20000},
        "workspaces": {
            "porirua": {"priority": "high", "running_limit": 1000 + revision,
                        "branches": {"depot": {"priority": "low"}}},
            "napier": {}},
    }, indent=1)


class Cluster:
    """All processes of a run; leaving the context kills those that still run."""

    def __init__(self, build, name, entries=3, groups=("west", "east"), services=2,
                 engine_options=(), checks_fencing=True):
        self.build = os.path.abspath(build)
        self.log_directory = LogDirectory(build, name)
        self.groups, self.service_count, self.entry_count = list(groups), services, entries
        self.engine_options = list(engine_options)
        self.checks_fencing = checks_fencing
        self.processes, self.entries, self.agents, self.engines = [], {}, {}, {}
        self.services, self.daemon_argv, self.http_ports = {}, {}, {}
        self.failed_exits = []
        self.keep_logs = True

    def __enter__(self):
        try:
            self.start_fakes()
            self.start_daemons()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.kill()
        if not self.keep_logs and kind is None:
            self.log_directory.remove()

    def program_path(self, path):
        """Path of a program, from its path in the build folder."""
        return os.path.join(self.build, path)

    def start_fake(self, name, program, ports, options):
        """Starts a stand-in and waits until it is ready."""
        path = self.program_path(f"tests/fakes/{program}")
        fake = Fake(name, path, ports, options, self.log_directory.path)
        self.processes.append(fake)
        return fake

    def start_fakes(self):
        ports = free_ports(1 + len(self.groups) * RANKS + self.service_count)
        self.platform = self.start_fake("platform", "fake-platform", ports[:1],
                                        ["--port", str(ports[0])])
        next_port = 1
        for group in self.groups:
            engine_ports = ports[next_port:next_port + RANKS]
            next_port += RANKS
            self.engines[group] = self.start_fake(
                "engine-" + group, "fake-engine", engine_ports,
                ["--group", group, "--ranks", str(RANKS),
                 "--ports", ",".join(map(str, engine_ports)),
                 "--layers", str(LAYERS), "--experts", str(EXPERTS), "--slots", str(SLOTS)]
                + self.engine_options + ["--checks-fencing"] * self.checks_fencing)
        for number in range(self.service_count):
            name = f"booking-{number}"
            self.services[name] = self.start_fake(
                name + "-service", "fake-service",
                ports[next_port + number:next_port + number + 1],
                ["--port", str(ports[next_port + number])])

    def publish_instance(self, name, role, port, state="live"):
        """Adds or changes an instance in the instance list of the platform."""
        call_json(self.platform.ports[0], "POST", "/instances",
                  {"name": name, "role": role, "control": f"127.0.0.1:{port}", "state": state})

    def start_daemon(self, name, program, options):
        """Starts an entry or agent and does not wait for it."""
        argv = [self.program_path(program), "--name", name] + options
        env = {"BURDOCK_KEY": CLUSTER_KEY, "BURDOCK_OPERATOR_KEY": OPERATOR_KEY}
        process = Process(name, argv, self.log_directory.path, env)
        self.processes.append(process)
        return process

    def start_daemons(self):
        """Starts all entries and agents; returns when each one answers /health."""
        agents = [(f"{group}-{rank}", "drafting", group, rank)
                  for group in self.groups for rank in range(RANKS)]
        agents += [(name, "booking", "", 0) for name in self.services]
        ports = free_ports(2 * self.entry_count + 3 * len(agents))
        self.control_ports = {}
        for number in range(self.entry_count):
            self.control_ports[f"entry-{number}"] = ports.pop()
            self.http_ports[f"entry-{number}"] = ports.pop()
        seeds = ",".join(f"127.0.0.1:{port}" for port in self.control_ports.values())
        platform = f"http://127.0.0.1:{self.platform.ports[0]}"
        for number, name in enumerate(list(self.control_ports)):
            self.publish_instance(name, "entry", self.control_ports[name])
            self.entries[name] = self.start_daemon(name, "entry/burdock-entry", [
                "--failure-domain", FAILURE_DOMAINS[number % 3], "--seeds", seeds,
                "--control", f"127.0.0.1:{self.control_ports[name]}",
                "--http", f"127.0.0.1:{self.http_ports[name]}", "--store", platform,
                "--answer-lifetime-ms", "1000"])
        for number, (name, pool, group, rank) in enumerate(agents):
            self.control_ports[name], self.http_ports[name] = ports.pop(), ports.pop()
            self.publish_instance(name, "agent", self.control_ports[name])
            options = ["--failure-domain", FAILURE_DOMAINS[number % 3], "--seeds", seeds,
                       "--control", f"127.0.0.1:{self.control_ports[name]}",
                       "--traffic", f"127.0.0.1:{ports.pop()}", "--pool", pool,
                       "--http", f"127.0.0.1:{self.http_ports[name]}"]
            if group:
                options += ["--group", group, "--rank", str(rank), "--upstream",
                            f"http://127.0.0.1:{self.engines[group].ports[rank]}"]
            else:
                options += ["--upstream", f"http://127.0.0.1:{self.services[name].ports[0]}"]
            self.agents[name] = self.start_daemon(name, "agent/burdock-agent", options)
        for name, port in self.http_ports.items():
            wait_until(f"{name} answers /health", lambda p=port: call(p, "GET", "/health"),
                       START_DEADLINE_S)

    def wait_serving(self):
        """Waits until each entry answers model requests and non-idempotent service calls."""
        def probe(name, port):
            key = f"probe-{name}-{time.monotonic_ns()}"
            for request in (Request(key, tokens=2, model="draft", workspace="napier"),
                            Request(key + "-once", service="booking", workspace="napier",
                                    idempotent=False)):
                if send_with_retries(request, FixedDirectory(port)).outcome != "answered":
                    raise Failure(f"{request.key}: {request.outcome}: {request.reason}")
            return True
        for name, port in self.live_entry_ports().items():
            wait_until(f"{name} serves", lambda n=name, p=port: probe(n, p), START_DEADLINE_S)

    def directory(self):
        """Directory that starts from all entries of the cluster."""
        return EntryDirectory([self.http_ports[name] for name in self.entries])

    def burdockctl(self, *argv, entry=None, deadline_s=20):
        """Runs burdockctl against one entry; returns its exit status and output."""
        port = self.http_ports[entry] if entry else next(iter(self.live_entry_ports().values()))
        env = dict(os.environ, BURDOCK_OPERATOR_KEY=OPERATOR_KEY, BURDOCK_OPERATOR="driver")
        result = subprocess.run(
            [self.program_path("cli/burdockctl"), "--entry", f"127.0.0.1:{port}", *argv], env=env,
            capture_output=True, text=True, timeout=deadline_s, cwd=self.log_directory.path)
        return result.returncode, result.stdout + result.stderr

    def live_entry_ports(self):
        """HTTP port of each entry that is running, by name."""
        return {name: self.http_ports[name] for name, process in self.entries.items()
                if process.is_running()}

    def write_configuration(self, revision):
        """Writes the franchise file of a revision; returns its path."""
        path = os.path.join(self.log_directory.path, f"franchise-{revision}.yaml")
        with open(path, "w") as file:
            file.write(configuration(revision, self.groups, self.checks_fencing))
        return path

    def apply(self, revision, entry=None):
        """Submits a configuration, which must be accepted; returns its generation."""
        status, text = self.burdockctl("apply", self.write_configuration(revision), entry=entry)
        found = re.search(r"generation (\d+)", text)
        if status != 0 or not found:
            raise Failure(f"burdockctl apply, revision {revision}: exit status {status}: {text}")
        return int(found[1])

    def generations(self):
        """Configuration generation of each running daemon, by name."""
        return {name: int(metrics(self.http_ports[name])["burdock_config_generation"])
                for name in self.running_daemons()}

    def running_daemons(self):
        return [name for name, process in {**self.entries, **self.agents}.items()
                if process.is_running()]

    def wait_generation(self, generation, deadline_s=SPREAD_DEADLINE_S):
        """Waits until every running daemon uses this configuration generation."""
        def all_current():
            found = self.generations()
            if set(found.values()) == {generation}:
                return True
            raise Failure(f"generations by daemon: {found}")
        wait_until(f"generation {generation} on all daemons", all_current, deadline_s)

    def group_stats(self, group):
        """Body of GET /stats of each rank of a group."""
        return [self.engines[group].stats(rank) for rank in range(RANKS)]

    def set_popularity(self, group, weights):
        """Sets the relative popularity of the experts; a skewed one causes a map switch."""
        call_json(self.engines[group].ports[0], "POST", "/popularity", {"weights": weights})

    def wait_commits(self, group, above, deadline_s=20):
        """Waits until each rank has committed more map switches than stated in `above`."""
        wait_until(f"map switch of {group} on all ranks",
                   lambda: all(s["commits"] > a for s, a in
                               zip(self.group_stats(group), above)), deadline_s)

    def commit_counts(self, group):
        """Number of committed map switches of each rank."""
        return [stats["commits"] for stats in self.group_stats(group)]

    def map_mismatches(self):
        """Number of steps in which the ranks of a group used different maps."""
        return sum(self.engines[group].stats()["map_mismatches"] for group in self.groups)

    def old_token_orders(self):
        """
        Number of orders that reached an engine after one with a newer fencing token.

        Returns those that were carried out and those that the check of the engine refused.
        """
        found = [stats for group in self.groups for stats in self.group_stats(group)]
        return (sum(stats["stale_orders"] for stats in found),
                sum(stats["refused_orders"] for stats in found))

    def run_counts(self):
        """Number of times that upstreams started each request, by key."""
        found = {}
        for group in self.groups:
            for stats in self.group_stats(group):
                for key, count in stats["generate"].items():
                    found[key] = found.get(key, 0) + count
        for service in self.services.values():
            for key, count in service.stats()["runs"].items():
                found[key] = found.get(key, 0) + count
        return found

    def stop_gracefully(self, name):
        """Sends SIGTERM to a daemon; raises Failure unless it exits with status 0."""
        process = self.entries.get(name) or self.agents[name]
        process.signal(signal.SIGTERM)
        status = process.wait_exit(STOP_DEADLINE_S)
        if status != 0:
            raise Failure(f"{name} exited with status {status}: {process.log_tail()}")

    def stop_all(self):
        """
        Sends SIGTERM to all agents and entries, then closes the input of the stand-ins.

        Raises Failure unless every process exits with status 0.
        """
        daemons = [(name, process) for name, process in {**self.agents, **self.entries}.items()
                   if process.is_running()]
        for _, process in daemons:
            process.signal(signal.SIGTERM)
        for name, process in daemons:
            status = process.wait_exit(STOP_DEADLINE_S)
            if status != 0:
                raise Failure(f"{name} exited with status {status}: {process.log_tail()}")
        for process in self.processes:
            if process.is_running():
                process.popen.stdin.close()
                if process.wait_exit(STOP_DEADLINE_S) != 0:
                    raise Failure(f"{process.name} did not exit with status 0")

    def still_running(self):
        """Names of the processes that have not exited."""
        return [process.name for process in self.processes if process.is_running()]
