"""A small deployment on loopback addresses: gateways and rank agents as separate processes,
started with the commands of deploy/system.toml, and stand-ins of the store, the runners and
the requesters.

The store, the HTTP server and the group of ranks are those of tests/soak/standin.py.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from standin import (STEP_S, Group, HttpServer, Store, answer, read_body,  # noqa: E402
                     read_head)

HOST = "franchise.example"
KEY, TENANT = "key-depot-1", "depot"
HEARTBEAT_S = 1.2

# Bounds of the site kaitiaki-slots.
STABILITY_S, DRAIN_MS, GRACE_S, CONFIG_APPLY_S = 3.0, 2000, 8, 2.0
BOUNDS = {"retryBudgetRatio": 0.2, "retryAllowance": 94, "drainMs": DRAIN_MS, "graceS": GRACE_S}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time in s."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self):
        self.file.close()


def lookup(settings, path):
    value = settings
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value[name]
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def command(role, settings):
    """The run line of a role, its placeholders filled in from the settings of a process."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        words = tomllib.load(file)["roles"][role]["run"].split()
    return [re.sub(r"\{\{([\w.]+)\}\}", lambda m: lookup(settings, m.group(1)), word)
            for word in words]


class Process:
    """A process of the system; ended by its id."""

    def __init__(self, deployment, name, arguments):
        self.deployment, self.name, self.arguments = deployment, name, arguments
        self.process, self.returncode = None, None

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".log")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with open(path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def log_text(self):
        path = os.path.join(self.deployment.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


def can_bind(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class SteppingGroup(Group):
    """Ranks in lock-step; slowness is how many times longer their steps take."""

    slowness = 1.0

    async def run(self):
        while True:
            await asyncio.sleep(STEP_S * self.slowness)
            if self.open and self.step + 1 not in self.held:
                self.begin_step()


class Deployment:
    """Addresses: gateways at .11 and up, model runners at .101 and up, plain runners at .151 and
    up, the store at .2, proxies of the store at .31 and up."""

    def __init__(self, record, gateways=3, ranks=4, plain=2, routes=None):
        self.record, self.routes = record, routes
        self.gateway_count, self.rank_count, self.plain_count = gateways, ranks, plain
        self.folder = tempfile.mkdtemp(prefix="burdock-review-")
        self.version = 1
        self.ran = {}  # attempt: ids of the runners that began to work on it
        self.runners, self.processes, self.tasks = [], [], []
        self.pick_addresses()

    def pick_addresses(self):
        for _ in range(200):
            net = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
            port = random.randrange(20000, 30000, 10)
            if all(can_bind(f"{net}.{host}", port + i)
                   for host in (2, 11, 12, 13, 31, 101, 151) for i in range(8)):
                self.net, self.port = net, port
                return
        raise CannotRun("no free loopback addresses")

    def gateway_ip(self, k):
        return f"{self.net}.{11 + k}"

    def front(self, k):
        return self.gateway_ip(k), self.port + 1

    def settings(self, name, ip, **more):
        return {"nodeName": name, "ip": ip, "zone": "akl-a",
                "portRange": [self.port, self.port + 7],
                "seeds": [f"{self.gateway_ip(k)}:{self.port + 4}"
                          for k in range(min(3, self.gateway_count))],
                "bounds": BOUNDS,
                "platform": {"address": f"{self.store_address()[0]}:{self.store_address()[1]}"},
                "listen": {"frontend": f"{ip}:{self.port + 1}", "ready": f"{ip}:{self.port + 2}",
                           "registry": f"{ip}:{self.port + 3}"}, **more}

    def store_address(self):
        return f"{self.net}.2", self.port + 5

    def gateway_process(self, k):
        return Process(self, f"gateway-{k}",
                       command("gateway", self.settings(f"gateway-{k}", self.gateway_ip(k))))

    def rank_process(self, k):
        ip = f"{self.net}.{101 + k}"
        return Process(self, f"rank-{k}", command(
            "rank", self.settings(f"rank-{k}", ip, app=f"{ip}:{self.port + 6}")))

    def manifest(self):
        engine = {"layerSets": 2, "experts": 16, "placements": 6, "spares": 4,
                  "expertMb": 10.0, "linkMbps": 800.0}
        routes = self.routes or [
            {"name": "route-notes", "host": HOST, "prefix": "/notes/", "service": "burdock-pool",
             "routeType": "streaming", "resumable": True, "maxAttempts": 2, "timeoutMs": 8000,
             "sloMs": 400, "itlTargetMs": 120, "priority": 1},
            {"name": "slot-booking", "host": HOST, "prefix": "/booking/",
             "service": "booking-app", "routeType": "non_idempotent", "maxAttempts": 1,
             "timeoutMs": 1500, "sloMs": 300, "priority": 2},
            {"name": "slot-lookup", "host": HOST, "prefix": "/lookup/", "service": "booking-app",
             "routeType": "idempotent", "maxAttempts": 2, "timeoutMs": 1500, "sloMs": 300,
             "priority": 2}]
        return {"version": self.version, "routes": routes,
                "services": [{"name": "burdock-pool", "backendEngine": engine},
                             {"name": "booking-app"}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
                "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}

    async def start(self, make_runner):
        """make_runner(deployment, service, ip, group, rank) returns a Runner."""
        for program in ("target/gateway/burdock-gateway", "target/rank/burdock-rank"):
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CannotRun(f"{program} is not built")
        self.store = Store(*self.store_address())
        self.store.names_era = False
        await self.store.http.start()
        self.group = SteppingGroup(self, "g1", self.rank_count)
        for k in range(self.rank_count):
            self.runners.append(make_runner(self, "burdock-pool", f"{self.net}.{101 + k}",
                                            self.group, k))
        for k in range(self.plain_count):
            self.runners.append(make_runner(self, "booking-app", f"{self.net}.{151 + k}",
                                            None, 0))
        for runner in self.runners:
            await runner.start()
        await self.publish()
        self.tasks.append(asyncio.create_task(self.group.run()))
        self.gateways = [self.gateway_process(k) for k in range(self.gateway_count)]
        self.ranks = [self.rank_process(k) for k in range(self.rank_count)]
        self.processes = self.gateways + self.ranks
        for process in self.processes:
            await process.start()
        for k in range(self.gateway_count):
            await self.wait_ready(k)
        await asyncio.sleep(STABILITY_S)

    def add_violation(self, rule, text):
        """Called by the stand-in of the group."""
        self.record.add(f"group: {rule} {text}")

    async def publish(self):
        await self.store.put("op", "config", self.manifest())

    async def is_ready(self, k):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.gateway_ip(k), self.port + 2), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, k, limit_s=20.0):
        end = time.monotonic() + limit_s
        while not await self.is_ready(k):
            if time.monotonic() > end:
                raise CannotRun(f"gateway-{k} is not ready after {limit_s} s")
            await asyncio.sleep(0.05)

    async def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            if process.process is not None:
                await process.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Runner:
    """A sound runner. Subclasses replace work()."""

    def __init__(self, deployment, service, ip, group=None, rank=0, slots=12):
        self.deployment, self.service, self.ip = deployment, service, ip
        self.group, self.rank, self.slots = group, rank, slots
        self.port = deployment.port + 6
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self.state, self.sequence, self.running = "available", 0, 0
        self.work_s = 0.06
        self.http = HttpServer(ip, self.port, self.handle)

    @property
    def record(self):
        return self.deployment.record

    def row(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "akl-a",
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "sequence": self.sequence, "born": self.born_ms}

    async def start(self):
        await self.http.start()
        await self.register()
        self.deployment.tasks.append(asyncio.create_task(self.ping()))

    async def register(self):
        self.sequence += 1
        await self.deployment.store.put("servers", self.id, self.row())

    async def ping(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def headers(self, attempt):
        return [("Burdockwind-Attempt-Id", attempt),
                ("Burdockwind-Instance-Signature", f"{self.id}.{attempt}")]

    async def handle(self, method, target, headers, body, writer):
        if target.split("?")[0] in ("/report", "/picked", "/order"):
            status, reply = self.group.handle_call(self.rank, target, body)
            if "group" in reply:
                reply["active"] = self.running
            return await self.reply(writer, status, reply)
        attempt = headers.get("burdockwind-attempt-id", "")
        if headers.get("burdockwind-expect-instance", self.id) != self.id:
            writer.write(answer(421, headers=[("Burdockwind-Attempt-Id", attempt)]))
            return True
        if self.running >= self.slots or (self.group and not self.group.open):
            writer.write(answer(503, headers=[("Burdockwind-Not-Executed", "1"),
                                              ("Burdockwind-Attempt-Id", attempt)]))
            return True
        self.running += 1
        self.deployment.ran.setdefault(attempt, []).append(self.id)
        self.record.add(f"ran {attempt} {method} {target} at {self.id} ({self.service})")
        try:
            return await self.work(target, attempt, headers, writer)
        finally:
            self.running -= 1

    async def reply(self, writer, status, body):
        writer.write(answer(status, json.dumps(body).encode(),
                            [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def work(self, target, attempt, headers, writer):
        if self.service == "burdock-pool":
            return await self.stream(attempt, headers, writer)
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, answer_body(attempt), self.headers(attempt)))
        await writer.drain()
        return True

    def stream_head(self, attempt, framing):
        lines = [f"{name}: {value}" for name, value in self.headers(attempt)]
        return "\r\n".join(["HTTP/1.1 200 OK", framing, "Content-Type: text/event-stream",
                            *lines, "", ""]).encode()

    async def stream(self, attempt, headers, writer):
        writer.write(self.stream_head(attempt, "Transfer-Encoding: chunked"))
        epoch = self.group.epoch
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            step = self.group.step
            while self.group.step == step:
                await asyncio.sleep(0.01)
                if writer.is_closing() or self.group.epoch != epoch:
                    writer.transport.abort()
                    return False
            event = event_of(attempt, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


EVENTS = 20


def answer_body(attempt):
    return f"answer to {attempt} ".encode() * 25


def event_of(attempt, number):
    return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()


class Channel:
    """A connection of a requester to a gateway. answered counts the answers on it."""

    def __init__(self, deployment, gateway, reader, writer):
        self.deployment, self.gateway = deployment, gateway
        self.reader, self.writer, self.answered = reader, writer, 0

    @classmethod
    async def open(cls, deployment, gateway):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*deployment.front(gateway)), 1)
        return cls(deployment, gateway, reader, writer)

    def close(self):
        self.writer.close()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, path, attempt, deadline_ms, body=b"", more=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Burdockwind-Attempt-Id: {attempt}",
             f"Burdockwind-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}", *more,
             f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def receive(channel):
    """Reads one answer; returns (status, headers, body), None if the channel ended before the
    whole answer was read."""
    head = await read_head(channel.reader)
    if head is None:
        return None
    try:
        body = await read_body(channel.reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    channel.answered += 1
    return int(head[0].split()[1]), head[1], body


def run_case(folder, play):
    """Runs play(record, trouble), which returns a list of breaks of the rule; exits with 1 if
    there are some, 0 if there are none, 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, trouble), 116))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        record.close()
        print(f"could not run: {error!r}")
        os._exit(2)
    for text in breaks:
        record.add(f"broken: {text}")
        print(f"broken: {text}")
    print(f"trouble {int(trouble)}: {'broken' if breaks else 'held'}")
    record.add("broken" if breaks else "held")
    record.close()
    sys.stdout.flush()
    # Exits without waiting for requests that the stand-ins still handle.
    os._exit(1 if breaks else 0)
