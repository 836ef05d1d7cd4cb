#!/usr/bin/env python3
"""Randomised soak: real gateways and rank agents, stand-ins of the platform, and faults.

Prints one line with the seed and the counts; exits with 1 if a promise was broken. All
processes that it ends were started by it.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

from standin import (EXPERTS, LAYERS, PLACES, SPARES, Group, HttpServer, Proxy, Runner, Store,
                     body_of, event_count, read_body, read_head)

GATEWAYS, GROUPS, RANKS, PLAIN = 3, 2, 4, 2
KEYS = {"key-a": "depot", "key-b": "press"}

# Bounds of the users' pages, in seconds.
DRAIN_S = 2.0
RECOVERY_S = 12.0

KINDS = {"stream": ("/stream/", "POST", 8000), "once": ("/once/", "POST", 1500),
         "safe": ("/safe/", "GET", 1500)}


class Check:
    """What runners ran and what callers got; finds broken promises."""

    def __init__(self):
        self.runs, self.promised, self.problems = {}, {}, []

    def broken(self, rule, text):
        self.problems.append(f"{rule}: {text}")

    def ran(self, runner, path, attempt, headers):
        count = self.runs[attempt] = self.runs.get(attempt, 0) + 1
        if path.startswith("/once/") and count > 1:
            self.broken("TWICE", f"{attempt} ran {count} times")
        if attempt in self.promised and count > 0:
            self.broken("REFUSED", f"{attempt} ran after {self.promised[attempt]}")
        if "authorization" in headers:
            self.broken("UNASKED", f"{attempt} came with the caller's key")
        if headers.get("burdockwind-tenant") not in KEYS.values():
            self.broken("UNASKED", f"{attempt} came without its workspace")
        if runner.left_at and time.monotonic() > runner.left_at + DRAIN_S:
            self.broken("DRAIN", f"{attempt} reached {runner.id} after it left")

    def refused(self, attempt, status, kind):
        if kind != "safe" and self.runs.get(attempt):
            self.broken("REFUSED", f"{attempt} was answered {status} and has run")
        if kind != "safe":
            self.promised[attempt] = status


class Process:
    """A program under test; restarted when it has ended."""

    def __init__(self, soak, name, arguments):
        self.soak, self.name, self.arguments = soak, name, arguments
        self.process = None
        self.lock = asyncio.Lock()

    async def start(self):
        log = open(os.path.join(self.soak.logs, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*self.arguments, stdout=log,
                                                            stderr=log)
        log.close()

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number, down_s):
        """Overlapping faults of one process follow each other."""
        async with self.lock:
            self.send(number)
            await self.process.wait()
            if self.process.returncode not in (0, -number):
                self.soak.check.broken("END", f"{self.name} ended by itself with "
                                              f"{self.process.returncode}")
            await asyncio.sleep(down_s)
            await self.start()

    async def freeze(self, for_s):
        async with self.lock:
            self.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self.send(signal.SIGCONT)


class Soak:
    def __init__(self, options):
        self.options, self.check = options, Check()
        self.random = random.Random(options.seed)
        random.seed(options.seed)
        self.logs = options.logs
        self.net = f"127.{options.net}"
        self.store = Store(f"{self.net}.9.1", 8000)
        self.version, self.counts = 1, {}
        self.faults_over = False
        self.served_late = [0, 0]

    def gateway_ip(self, k):
        return f"{self.net}.1.{k + 1}"

    async def start(self):
        os.makedirs(self.logs, exist_ok=True)
        self.groups = [Group(self.check, f"g{g}", RANKS) for g in range(GROUPS)]
        self.runners = [Runner(self.check, "model", f"{self.net}.2.{g * RANKS + r + 1}", group, r)
                        for g, group in enumerate(self.groups) for r in range(RANKS)]
        self.plain = [Runner(self.check, "plain", f"{self.net}.3.{k + 1}") for k in range(PLAIN)]
        self.proxies = [Proxy(self.gateway_ip(k), 8600, (f"{self.net}.9.1", 8000)) for k in range(GATEWAYS)]
        await self.store.http.start()
        for item in self.runners + self.plain:
            await item.http.start()
            await self.store.put("servers", item.id, item.entry())
        for proxy in self.proxies:
            await proxy.start()
        await self.store.put("op", "config", self.configuration())
        self.tasks = [asyncio.create_task(group.run()) for group in self.groups]
        self.gateways = [self.gateway(k) for k in range(GATEWAYS)]
        self.agents = [self.agent(k) for k in range(GROUPS * RANKS)]
        for process in self.gateways + self.agents:
            await process.start()
        await asyncio.sleep(2.5)

    def gateway(self, k):
        ip = self.gateway_ip(k)
        seeds = ",".join(f"{self.gateway_ip(i)}:1" for i in range(GATEWAYS))
        return Process(self, f"gateway-{k}", [
            f"{self.options.build}/gateway/burdock-gateway", f"--name=gateway-{k}",
            "--failure-domain=z", f"--control={ip}:7000", f"--http={ip}:8080",
            f"--ready={ip}:8081", f"--directory={ip}:8082", f"--store=http://{ip}:8600",
            f"--seeds={seeds}", "--stop-limit-ms=7200", "--retry-ratio=0.2",
            "--retry-allowance=90"])

    def agent(self, k):
        ip = f"{self.net}.2.{k + 1}"
        return Process(self, f"rank-{k}", [
            f"{self.options.build}/rank/burdock-rank", f"--name=rank-{k}",
            "--failure-domain=z", f"--control={ip}:7000", f"--upstream=http://{ip}:9000"])

    def configuration(self):
        routes = [{"name": kind, "host": "h", "prefix": prefix, "priority": 1,
                   "service": "model" if kind == "stream" else "plain",
                   "timeoutMs": limit, "sloMs": 400, "maxAttempts": 2,
                   "resumable": kind == "stream", "itlTargetMs": 120,
                   "routeType": {"stream": "streaming", "once": "non_idempotent",
                                 "safe": "idempotent"}[kind]}
                  for kind, (prefix, _, limit) in KINDS.items()]
        engine = {"layerSets": LAYERS, "experts": EXPERTS, "placements": PLACES,
                  "spares": SPARES, "expertMb": 10.0, "linkMbps": 800.0}
        return {"version": self.version, "routes": routes,
                "services": [{"name": "model", "backendEngine": engine}, {"name": "plain"}],
                "limits": {"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
                "tenants": [{"name": n, "apiKeys": [k], "priority": 1}
                            for k, n in KEYS.items()]}

    # Callers.

    async def resolve(self):
        for k in self.random.sample(range(GATEWAYS), GATEWAYS):
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

    async def caller(self, until):
        addresses, read_at, connection = None, 0.0, None
        while time.monotonic() < until():
            if addresses is None or time.monotonic() > read_at + 1:
                addresses, read_at = await self.resolve() or addresses, time.monotonic()
            if not addresses:
                await asyncio.sleep(0.2)
                continue
            kind = self.random.choice(("stream", "stream", "once", "safe"))
            connection = await self.request(kind, connection, addresses)
            await asyncio.sleep(self.random.random() * 0.2)

    async def request(self, kind, connection, addresses):
        """One request; returns the connection if it can be used again."""
        attempt = f"{self.random.getrandbits(64):016x}"
        started = time.monotonic()
        outcome, kept = "no connection", None
        try:
            if connection is None or connection[2] not in addresses:
                address = self.random.choice(addresses)
                ip, port = address.split(":")
                connection = (*await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1), address)
            outcome, kept = await asyncio.wait_for(
                self.exchange(kind, attempt, connection), KINDS[kind][2] / 1000 + 1)
        except asyncio.TimeoutError:
            outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome = "cut"
        if kept is None and connection is not None:
            connection[1].close()
        key = f"{kind} {outcome}"
        self.counts[key] = self.counts.get(key, 0) + 1
        if self.faults_over and started > self.faults_over + RECOVERY_S:
            self.served_late[0] += outcome == "200"
            self.served_late[1] += 1
        return kept

    async def exchange(self, kind, attempt, connection):
        reader, writer, _ = connection
        prefix, method, limit = KINDS[kind]
        key = self.random.choice(list(KEYS))
        body = "x" * 20 if method == "POST" else ""
        writer.write((f"{method} {prefix}p?q=1 HTTP/1.1\r\nHost: h\r\n"
                      f"Burdockwind-Attempt-Id: {attempt}\r\n"
                      f"Burdockwind-Deadline-Ms: {limit}\r\nAuthorization: Bearer {key}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return "cut", None
        status, headers = int(head[0].split()[1]), head[1]
        body = await read_body(reader, headers)
        self.judge(kind, attempt, status, headers, body)
        closes = headers.get("connection", "").lower() == "close"
        return str(status), None if closes else connection

    def judge(self, kind, attempt, status, headers, body):
        if status in (408, 421, 429, 503):
            self.check.refused(attempt, status, kind)
        if status in (401, 404):
            self.check.broken("DENIED", f"{attempt} was answered {status}")
        if status != 200:
            return
        wanted = body_of(attempt)
        if kind == "stream":
            wanted = "".join(f"id: {n}\ndata: {attempt}-{n}\n\n"
                             for n in range(1, event_count(attempt) + 1)).encode()
        if body != wanted or "burdockwind-instance-signature" not in headers:
            self.check.broken("MIXED", f"{attempt} ({kind}) got {body[:80]!r}")

    # Faults.

    async def fault(self):
        pick = self.random
        process = pick.choice(self.gateways + self.agents)
        gateway = pick.choice(self.gateways)
        down_s = 0.2 + pick.random() * 2
        name = pick.choice(("kill", "kill", "term", "freeze", "freeze", "hup", "store", "proxy",
                            "proxy", "history", "crash", "replace", "grey", "hang", "orders",
                            "reset", "config"))
        if self.options.verbose:
            print(f"{time.monotonic() - self.began:7.2f} {name}", flush=True)
        if name == "kill":
            await process.restart(signal.SIGKILL, down_s)
        elif name == "term":
            await gateway.restart(signal.SIGTERM, down_s)
        elif name == "freeze":
            await process.freeze(1 + pick.random() * 3)
        elif name == "hup":
            process.send(signal.SIGHUP)
        elif name == "store":
            self.store.mode = pick.choice(("busy", "silent", "up"))
            self.store.delay_s = pick.choice((0, 0.3))
            await asyncio.sleep(down_s)
            self.store.mode, self.store.delay_s = "up", 0
        elif name == "proxy":
            proxy = pick.choice(self.proxies)
            proxy.set_mode(pick.choice(("slow", "reset", "silent", "oneway")))
            await asyncio.sleep(down_s)
            proxy.set_mode("pass")
        elif name == "history":
            self.store.forget_history()
        elif name == "crash":
            group = pick.choice(self.groups)
            if group.open:
                await group.crash(down_s)
        elif name == "replace":
            await self.replace(pick.choice(self.plain))
        elif name == "grey":
            runner = pick.choice(pick.choice((self.runners, self.plain)))
            runner.grey = 0.3
            await asyncio.sleep(down_s)
            runner.grey = 0.0
        elif name == "hang":
            runner = pick.choice(pick.choice((self.runners, self.plain)))
            runner.hangs = True
            await asyncio.sleep(down_s)
            runner.hangs = False
        elif name == "orders":
            group = pick.choice(self.groups)
            group.lost_orders = 0.3
            await asyncio.sleep(down_s)
            group.lost_orders = 0.0
        elif name == "reset":
            pick.choice(self.runners + self.plain).http.reset_all()
        else:
            self.version += pick.randrange(1, 4)
            await self.store.put("op", "config", self.configuration())

    async def replace(self, runner):
        """A planned departure, then a new life at the same address."""
        if runner.state != "available" or self.store.mode != "up":
            return
        if any(proxy.mode != "pass" for proxy in self.proxies):
            return
        runner.state = "draining"
        await self.store.put("servers", runner.id, runner.entry())
        await asyncio.sleep(3.0)
        await self.store.remove("servers", runner.id)
        runner.renew()
        runner.state = "available"
        await self.store.put("servers", runner.id, runner.entry())

    async def run(self):
        self.began = time.monotonic()
        end = [self.began + self.options.seconds + RECOVERY_S + 6]
        callers = [asyncio.create_task(self.caller(lambda: end[0]))
                   for _ in range(self.options.callers)]
        pending = set()
        while time.monotonic() < self.began + self.options.seconds:
            pending.add(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.random() * 2 * self.options.gap)
        if pending:
            await asyncio.wait(pending)
        self.faults_over = time.monotonic()
        end[0] = self.faults_over + RECOVERY_S + 6
        for task in pending:
            if task.exception():
                raise task.exception()
        await asyncio.gather(*callers)
        served, asked = self.served_late
        if asked == 0 or served < 0.9 * asked:
            self.check.broken("RECOVER", f"{served} of {asked} served after the faults")

    async def stop(self):
        for process in self.gateways + self.agents:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
            await process.process.wait()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gap", type=float, default=0.8, help="mean time between faults")
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--logs", default="/tmp/burdock-soak")
    parser.add_argument("--net", type=int, default=0,
                        help="second number of the loopback addresses, for runs side by side")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    soak = Soak(options)
    await soak.start()
    try:
        await soak.run()
    finally:
        await soak.stop()
    for problem in soak.check.problems[:20]:
        print(problem)
    counts = " ".join(f"{k.replace(' ', '=')}:{v}" for k, v in sorted(soak.counts.items()))
    print(f"soak seed {options.seed}: problems={len(soak.check.problems)} {counts}")
    sys.stdout.flush()
    # Ends the handlers of the stand-ins without waiting for their calls.
    os._exit(1 if soak.check.problems else 0)


if __name__ == "__main__":
    asyncio.run(main())
