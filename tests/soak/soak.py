#!/usr/bin/env python3
"""Randomised fault injection: real gateways and rank agents against a simulated platform.

Prints the violated invariants and one summary line with the seed, the number of violations and
the requests by kind and outcome. Exits with 1 if an invariant was violated. It signals only
processes that it started.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

from events import EventSequence
from standin import (EXPERTS, LAYERS, EXPERT_SLOTS, LOADS_MAX, Group, HttpServer, Proxy, Runner,
                     Store, attempt_id, body_of, gateway_of, read_body, read_head)
from stops import StopCheck, stop_process

GROUP_COUNT, RANK_COUNT, PLAIN_RUNNER_COUNT = 2, 4, 2
# API key: name of its workspace.
WORKSPACES_BY_KEY = {"key-a": "depot", "key-b": "press"}

# Versions of the configuration grow in uneven steps, from any number on.
FIRST_VERSIONS = (0, 1, 61, 1 << 40)

# Limits that the users documented, in s: after the start of a shutdown, an upstream gets no
# new requests; after the last fault, requests are answered again.
DRAIN_S = 2.0
RECOVERY_S = 12.0
# The limit of a shutdown holds for gateways that have met no fault for this time.
STABILITY_S = 3.0

# Kind of requests: path prefix, method, timeout in ms. "once" must not run twice, "safe" is
# idempotent.
REQUEST_KINDS = {"stream": ("/stream/", "POST", 8000), "once": ("/once/", "POST", 1500),
         "safe": ("/safe/", "GET", 1500)}


class InvariantChecker:
    """Records which requests ran and what callers received; finds violated invariants."""

    def __init__(self):
        self.run_counts, self.refusal_status, self.violations = {}, {}, []
        self.runs = {}  # by attempt: [start, end or None, whether the upstream broke off]
        self.disturbed_at = {}  # by name of the process

    def add_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def was_disturbed(self, attempt, since):
        """A gateway that was restarted or frozen may not know what it was told before."""
        return self.disturbed_at.get(f"gateway-{gateway_of(attempt)}", 0) >= since

    def record_run(self, runner, path, attempt, headers):
        count = self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
        self.runs.setdefault(attempt, []).append([time.monotonic(), None, False])
        if path.startswith("/once/") and count > 1:
            self.add_violation("TWICE", f"{attempt} ran {count} times")
        if attempt in self.refusal_status and count > 0:
            self.add_violation("REFUSED", f"{attempt} ran after it was refused with "
                                          f"{self.refusal_status[attempt]}")
        if "authorization" in headers:
            self.add_violation("UNASKED", f"{attempt} was forwarded with the caller's API key")
        if headers.get("burdockwind-tenant") not in WORKSPACES_BY_KEY.values():
            self.add_violation("UNASKED", f"{attempt} was forwarded without a valid workspace")
        if (runner.left_at and time.monotonic() > runner.left_at + DRAIN_S
                and not self.was_disturbed(attempt, runner.left_at)):
            self.add_violation("DRAIN", f"{attempt} was sent to {runner.id} after its drain time")

    def record_run_end(self, attempt, broke_off):
        run = next(run for run in self.runs[attempt] if run[1] is None)
        run[1], run[2] = time.monotonic(), broke_off

    def record_refusal(self, attempt, status, kind):
        if kind != "safe" and self.run_counts.get(attempt):
            self.add_violation("REFUSED", f"{attempt} was refused with {status} but ran before")
        if kind != "safe":
            self.refusal_status[attempt] = status


class Process:
    """A process under test."""

    def __init__(self, soak, name, arguments):
        self.soak, self.name, self.arguments = soak, name, arguments
        self.process = None
        self.lock = asyncio.Lock()

    async def start(self):
        log = open(os.path.join(self.soak.logs, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*self.arguments, stdout=log,
                                                            stderr=log)
        log.close()
        self.started_at = time.monotonic()

    def send_signal(self, signal_number):
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    def note_disturbance(self):
        self.soak.check.disturbed_at[self.name] = time.monotonic()

    async def restart(self, signal_number, down_s):
        """Ends the process with a signal and starts it again after a delay.

        Faults of the same process do not overlap.
        """
        async with self.lock:
            self.note_disturbance()
            self.send_signal(signal_number)
            await self.process.wait()
            if self.process.returncode not in (0, -signal_number):
                self.soak.check.add_violation("END", f"{self.name} ended unexpectedly with status "
                                                     f"{self.process.returncode}")
            await asyncio.sleep(down_s)
            await self.start()
            self.note_disturbance()

    async def freeze(self, duration_s):
        async with self.lock:
            self.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self.send_signal(signal.SIGCONT)
            self.note_disturbance()


class Soak:
    runner_class = Runner

    def __init__(self, options):
        self.options, self.check = options, InvariantChecker()
        self.stops = StopCheck(self.check)
        self.kinds, self.streams_resume = REQUEST_KINDS, True
        self.random = random.Random(options.seed)
        random.seed(options.seed)
        self.logs = options.logs
        self.net = f"127.{options.net}"
        self.store = Store(f"{self.net}.9.1", 8000)
        self.version = random.Random(f"version {options.seed}").choice(FIRST_VERSIONS)
        self.outcome_counts = {}
        self.faults_ended_at = False
        self.restoring = False
        self.late_requests = [0, 0]  # answered with 200, all; after the recovery time

    def gateway_ip(self, k):
        return f"{self.net}.1.{k + 1}"

    async def start(self):
        os.makedirs(self.logs, exist_ok=True)
        self.groups = [Group(self.check, f"g{g}", RANK_COUNT) for g in range(GROUP_COUNT)]
        self.runners = [self.runner_class(self.check, "model",
                                          f"{self.net}.2.{g * RANK_COUNT + r + 1}", group, r)
                        for g, group in enumerate(self.groups) for r in range(RANK_COUNT)]
        self.plain_runners = [self.runner_class(self.check, "plain", f"{self.net}.3.{k + 1}")
                              for k in range(PLAIN_RUNNER_COUNT)]
        self.proxies = [Proxy(self.gateway_ip(k), 8600, (f"{self.net}.9.1", 8000))
                        for k in range(self.options.gateways)]
        await self.store.http.start()
        for item in self.runners + self.plain_runners:
            item.store = self.store
            await item.http.start()
            await self.store.put("servers", item.id, item.store_row())
        for proxy in self.proxies:
            await proxy.start()
        await self.store.put("op", "config", self.configuration())
        self.tasks = [asyncio.create_task(group.run()) for group in self.groups]
        self.gateways = [self.gateway_process(k) for k in range(self.options.gateways)]
        self.agents = [self.agent_process(k) for k in range(GROUP_COUNT * RANK_COUNT)]
        for process in self.gateways + self.agents:
            await process.start()
        await asyncio.sleep(2.5)

    def gateway_process(self, k):
        ip = self.gateway_ip(k)
        seeds = ",".join(f"{self.gateway_ip(i)}:1" for i in range(self.options.gateways))
        return Process(self, f"gateway-{k}", [
            f"{self.options.build}/gateway/burdock-gateway", f"--name=gateway-{k}",
            "--failure-domain=z", f"--control={ip}:7000", f"--http={ip}:8080",
            f"--ready={ip}:8081", f"--directory={ip}:8082", f"--store=http://{ip}:8600",
            f"--seeds={seeds}", "--grace-s=8", "--retry-ratio=0.2",
            "--retry-allowance=90"])

    def agent_process(self, k):
        ip = f"{self.net}.2.{k + 1}"
        return Process(self, f"rank-{k}", [
            f"{self.options.build}/rank/burdock-rank", f"--name=rank-{k}",
            "--failure-domain=z", f"--control={ip}:7000", f"--upstream=http://{ip}:9000"])

    def configuration(self):
        routes = [{"name": kind, "host": "h", "prefix": prefix, "priority": 1,
                   "service": "model" if kind == "stream" else "plain",
                   "timeoutMs": limit, "sloMs": 400, "maxAttempts": 2,
                   "resumable": kind == "stream" and self.streams_resume, "itlTargetMs": 120,
                   "routeType": {"stream": "streaming", "once": "non_idempotent",
                                 "safe": "idempotent"}[kind]}
                  for kind, (prefix, _, limit) in self.kinds.items()]
        engine = {"layerSets": LAYERS, "experts": EXPERTS, "placements": EXPERT_SLOTS,
                  "spares": LOADS_MAX, "expertMb": 10.0, "linkMbps": 800.0}
        return {"version": self.version, "routes": routes,
                "services": [{"name": "model", "backendEngine": engine}, {"name": "plain"}],
                "limits": {"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
                "tenants": [{"name": n, "apiKeys": [k], "priority": 1}
                            for k, n in WORKSPACES_BY_KEY.items()]}

    # Simulated callers.

    async def resolve(self):
        for k in self.random.sample(range(self.options.gateways), self.options.gateways):
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway_ip(k), 8082), 1)
                writer.write(b"GET /resolve?name=h&region=r&zone=z HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                body = await read_body(reader, head[1])
                writer.close()
                if " 200 " in head[0]:
                    return json.loads(body)["addresses"]
            except (OSError, asyncio.TimeoutError, TypeError):
                continue
        return None

    async def caller(self, end_time):
        addresses, resolved_at, connection = None, 0.0, None
        while time.monotonic() < end_time():
            if addresses is None or time.monotonic() > resolved_at + 1:
                addresses, resolved_at = await self.resolve() or addresses, time.monotonic()
            if not addresses:
                await asyncio.sleep(0.2)
                continue
            kind = self.random.choice(("stream", "stream", "once", "safe"))
            connection = await self.request(kind, connection, addresses)
            await asyncio.sleep(self.random.random() * 0.2)

    async def request(self, kind, connection, addresses):
        """Sends one request; returns the connection if it can be reused, otherwise None."""
        started = time.monotonic()
        outcome, reusable = "no connection", None
        try:
            if connection is None or connection[2] not in addresses:
                address = self.random.choice(addresses)
                ip, port = address.split(":")
                connection = (*await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1), address)
            gateway = int(connection[2].split(":")[0].split(".")[3]) - 1
            outcome, reusable = await asyncio.wait_for(
                self.exchange(kind, attempt_id(self.random, gateway), connection),
                self.kinds[kind][2] / 1000 + 1)
        except asyncio.TimeoutError:
            outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome = "cut"
        if reusable is None and connection is not None:
            connection[1].close()
        key = f"{kind} {outcome}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        if self.faults_ended_at and started > self.faults_ended_at + RECOVERY_S:
            self.late_requests[0] += outcome == "200"
            self.late_requests[1] += 1
        return reusable

    async def exchange(self, kind, attempt, connection, header_lines="", own_prefix=None,
                       own_key=None):
        """Sends a request and reads its answer; returns the status and the connection, None if it
        cannot be used again."""
        sent = self.stops.begin(attempt, kind, gateway_of(attempt), self.kinds[kind][2] / 1000)
        try:
            result = await self.send_and_receive(sent, connection, header_lines, own_prefix,
                                                 own_key)
        except asyncio.CancelledError:
            sent.end("left")
            raise
        except (OSError, asyncio.IncompleteReadError, ValueError):
            sent.end("cut")
            raise
        if result[0] == "cut":
            sent.end("cut")
        else:
            sent.end_with_status(int(result[0]))
        return result

    async def write_request(self, writer, head, body):
        writer.write(head + body)
        await writer.drain()

    async def send_and_receive(self, sent, connection, header_lines, own_prefix, own_key):
        reader, writer, _ = connection
        kind, attempt = sent.kind, sent.attempt
        prefix, method, limit = self.kinds[kind]
        prefix = own_prefix or prefix
        key = own_key or self.random.choice(list(WORKSPACES_BY_KEY))
        body = b"x" * 20 if method == "POST" else b""
        head = (f"{method} {prefix}p?q=1 HTTP/1.1\r\nHost: h\r\n"
                f"Burdockwind-Attempt-Id: {attempt}\r\n"
                f"Burdockwind-Deadline-Ms: {limit}\r\nAuthorization: Bearer {key}\r\n"
                f"{header_lines}Content-Length: {len(body)}\r\n\r\n").encode()
        await self.write_request(writer, head, body)
        sent.sent_at = time.monotonic()
        head = await read_head(reader)
        if head is None:
            return "cut", None
        status, headers = int(head[0].split()[1]), head[1]
        body = await read_body(reader, headers)
        self.check_answer(kind, attempt, status, headers, body)
        closes = headers.get("connection", "").lower() == "close"
        return str(status), None if closes else connection

    def check_answer(self, kind, attempt, status, headers, body):
        if status in (408, 421, 429, 503):
            self.check.record_refusal(attempt, status, kind)
        if status in (401, 404):
            self.check.add_violation("DENIED", f"{attempt} was rejected with {status}")
        if status != 200:
            return
        expected = body_of(attempt)
        if kind == "stream":
            expected = EventSequence.of_attempt(attempt).text(attempt)
        if body != expected or "burdockwind-instance-signature" not in headers:
            self.check.add_violation("MIXED", f"{attempt} ({kind}) received a wrong answer: "
                                              f"{body[:80]!r}")

    # Fault injection.

    async def inject_fault(self):
        rng = self.random
        process = rng.choice(self.gateways + self.agents)
        gateway = rng.choice(self.gateways)
        down_s = 0.2 + rng.random() * 2
        name = rng.choice(("kill", "kill", "term", "freeze", "freeze", "hup", "store", "proxy",
                            "proxy", "history", "crash", "replace", "grey", "hang", "orders",
                            "reset", "config", "restore", "pause", "polls"))
        if self.options.verbose:
            print(f"{time.monotonic() - self.began:7.2f} {name}", flush=True)
        if name == "kill":
            await process.restart(signal.SIGKILL, down_s)
        elif name == "term":
            await gateway.restart(signal.SIGTERM, down_s)
        elif name == "freeze":
            await process.freeze(1 + rng.random() * 3)
        elif name == "hup":
            process.send_signal(signal.SIGHUP)
        elif name == "store":
            self.store.mode = rng.choice(("busy", "silent", "up"))
            self.store.delay_s = rng.choice((0, 0.3))
            await asyncio.sleep(down_s)
            self.store.mode, self.store.delay_s = "up", 0
        elif name == "proxy":
            proxy = rng.choice(self.proxies)
            proxy.set_mode(rng.choice(("slow", "reset", "silent", "oneway")))
            await asyncio.sleep(down_s)
            proxy.set_mode("pass")
        elif name == "history":
            self.store.discard_history()
        elif name == "crash":
            group = rng.choice(self.groups)
            if group.open:
                await group.crash(down_s)
        elif name == "replace":
            await self.replace(rng.choice(self.plain_runners))
        elif name == "grey":
            runner = rng.choice(rng.choice((self.runners, self.plain_runners)))
            runner.error_rate = 0.3
            await asyncio.sleep(down_s)
            runner.error_rate = 0.0
        elif name == "hang":
            runner = rng.choice(rng.choice((self.runners, self.plain_runners)))
            runner.hung = True
            await asyncio.sleep(down_s)
            runner.hung = False
        elif name == "orders":
            group = rng.choice(self.groups)
            group.order_loss_rate = 0.3
            await asyncio.sleep(down_s)
            group.order_loss_rate = 0.0
        elif name == "pause":
            runner = rng.choice(rng.choice((self.runners, self.plain_runners)))
            runner.retry_after_s = 0.5 + rng.random() * 2
            await asyncio.sleep(down_s)
            runner.retry_after_s = None
        elif name == "polls":
            rng.choice(self.proxies).silence_open()
        elif name == "restore":
            await self.restore_store(1 + rng.random() * 4, 0.2 + rng.random())
        elif name == "reset":
            rng.choice(self.runners + self.plain_runners).http.reset_all()
        else:
            self.version += rng.randrange(1, 4)
            await self.store.put("op", "config", self.configuration())

    async def replace(self, runner):
        """Drains an upstream, then restarts it with a new id at the same address. A row from
        before its notice may be written after it."""
        if runner.state != "available" or self.store.mode != "up":
            return
        if any(proxy.mode != "pass" for proxy in self.proxies):
            return
        available = runner.store_row()
        runner.state = "draining"
        await self.store.put("servers", runner.id, runner.store_row())
        runner.says_leaving = self.random.random() < 0.5
        await asyncio.sleep(1.0)
        if self.random.random() < 0.3:
            await self.store.put("servers", runner.id, available)
        await asyncio.sleep(2.0)
        await self.store.remove("servers", runner.id)
        runner.says_leaving, runner.left_at = False, None
        runner.assign_new_id()
        runner.state = "available"
        await self.store.put("servers", runner.id, runner.store_row())

    async def restore_store(self, age_s, away_s):
        """The store returns from a copy; upstreams and operator write again what it lost."""
        if self.restoring:
            return
        self.restoring = True
        copy = self.store.copy()
        await asyncio.sleep(age_s)
        await self.store.restore(copy, away_s)

        async def write_again(runner):
            await asyncio.sleep(self.random.random() * 1.8)
            await self.store.put("servers", runner.id, runner.store_row())
        await asyncio.gather(self.store.put("op", "config", self.configuration()),
                             *(write_again(runner)
                               for runner in self.runners + self.plain_runners))
        await asyncio.sleep(1.8)
        ids = {runner.id for runner in self.runners + self.plain_runners}
        for table, key in list(self.store.rows):
            if table == "servers" and key not in ids:
                await self.store.remove(table, key)
        self.restoring = False

    async def drain_when_calm(self):
        """Drains an upstream when all gateways are calm, and checks that it gets nothing once
        its drain time has passed. With --sabotage drain the gateways are not told, so that
        the check has to fail."""
        await asyncio.sleep(STABILITY_S)
        runner = self.plain_runners[0]
        runner.state = "draining"
        if self.options.sabotage != "drain":
            await self.store.put("servers", runner.id, runner.store_row())
        runner.left_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + 3)
        await self.store.remove("servers", runner.id)
        runner.left_at = None
        runner.state = "available"
        runner.assign_new_id()
        await self.store.put("servers", runner.id, runner.store_row())

    async def stop_when_calm(self):
        """Stops a gateway when all are calm. With --sabotage stop it is killed while a request
        runs that it has just taken, so that the check of lost requests has to fail."""
        await asyncio.sleep(STABILITY_S + 1)
        if self.options.sabotage != "stop":
            await stop_process(self.random.choice(self.gateways))
            return
        for runner in self.plain_runners:
            runner.work_s = (1.0, 1.2)
        began = time.monotonic()
        while (request := self.stops.find_running(began)) is None:
            await asyncio.sleep(0.01)
        await stop_process(self.gateways[request.gateway], sabotage=True)

    async def run(self):
        self.began = time.monotonic()
        end = [self.began + self.options.seconds + RECOVERY_S + 6]
        callers = [asyncio.create_task(self.caller(lambda: end[0]))
                   for _ in range(self.options.callers)]
        pending = set()
        while time.monotonic() < self.began + self.options.seconds:
            pending.add(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.random() * 2 * self.options.gap)
        if pending:
            await asyncio.wait(pending)
        self.faults_ended_at = time.monotonic()
        self.stops.disturbances.append((self.began, self.faults_ended_at))
        end[0] = self.faults_ended_at + RECOVERY_S + 6
        for task in pending:
            if task.exception():
                raise task.exception()
        await asyncio.gather(self.drain_when_calm(), self.stop_when_calm(), *callers)
        print(self.stops.report())
        served, asked = self.late_requests
        if asked == 0 or served < 0.9 * asked:
            self.check.add_violation("RECOVER", f"{served} of {asked} requests succeeded after the "
                                                "faults")

    async def stop(self):
        for process in self.gateways + self.agents:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
            await process.process.wait()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gap", type=float, default=0.8, help="mean time between faults")
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--logs", default="/tmp/burdock-soak")
    parser.add_argument("--net", type=int, default=0,
                        help="second number of the loopback addresses, for runs side by side")
    parser.add_argument("--sabotage", choices=("drain", "stop"),
                        help="break a promise, to show that its check can fail")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    soak = Soak(options)
    await soak.start()
    try:
        await soak.run()
    finally:
        await soak.stop()
    for problem in soak.check.violations[:20]:
        print(problem)
    counts = " ".join(f"{k.replace(' ', '=')}:{v}" for k, v in sorted(soak.outcome_counts.items()))
    print(f"soak seed {options.seed}: problems={len(soak.check.violations)} {counts}")
    sys.stdout.flush()
    # Exits without waiting for requests that the simulated platform still handles.
    os._exit(1 if soak.check.violations else 0)


if __name__ == "__main__":
    asyncio.run(main())
