"""Test bed of the cases: a small deployment on loopback addresses.

Starts gateways and rank agents with the commands of deploy/system.toml as separate processes, and
stand-ins of store, runners and callers in this process. What was sent, answered and run goes to a
record, one line each.
"""
import asyncio
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from standin import HttpServer, Store, read_body, read_head  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
API_KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"

# Values of the settings file of a small deployment.
SETTINGS = {"bounds.retryBudgetRatio": 0.2, "bounds.retryAllowance": 94, "bounds.drainMs": 2000,
            "bounds.graceS": 8, "bounds.coldOverage": "", "bounds.coldAllowance": ""}
MEMORY = {"gateway": (260, 4100), "rank": (128, 2048)}


class CannotRun(Exception):
    """The case cannot run on this machine."""


def free_net():
    """First half of loopback addresses at which nobody listens, as in 127.91."""
    for _ in range(200):
        net = f"127.{random.randrange(20, 250)}"
        try:
            for last in ("9.1", "1.1"):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", 8000))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.broken = []

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def add_violation(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.add(f"BROKEN {rule}: {text}")


class Process:
    """A process of the project."""

    def __init__(self, bed, name, arguments):
        self.bed, self.name, self.arguments, self.process = bed, name, arguments, None

    async def start(self):
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *self.arguments, stdout=log, stderr=log, cwd=ROOT, env=environment)
        log.close()

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        await self.process.wait()


class Bed:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.net = free_net()
        self.store_address = f"{self.net}.9.1:8000"
        self.store = Store(f"{self.net}.9.1", 8000)
        self.processes, self.ended = [], False
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def command(self, role, values):
        """The run line of a role with its placeholders filled in."""
        def fill(match):
            name = match.group(1)
            if name not in values:
                raise CannotRun(f"the deploy file asks for {name}")
            return str(values[name])
        words = self.roles[role]["run"].split()
        arguments = [re.sub(r"\{\{([^}]*)\}\}", fill, word) for word in words]
        if not os.access(os.path.join(ROOT, arguments[0]), os.X_OK):
            raise CannotRun(f"{arguments[0]} is not built")
        return arguments

    def values(self, role, name, ip):
        memory_mb, max_fds = MEMORY[role]
        return {**SETTINGS, "nodeName": name, "zone": "akl-a", "ip": ip, "portRange.0": 7340,
                "listen.frontend": f"{ip}:8227", "listen.ready": f"{ip}:8220",
                "listen.registry": f"{ip}:8224", "platform.address": self.store_address,
                "seeds": ",".join(f"{self.gateway_ip(k)}:8229" for k in range(3)),
                "limits.memoryMb": memory_mb, "limits.maxFds": max_fds, "app": f"{ip}:9000"}

    def gateway_ip(self, k):
        return f"{self.net}.1.{k + 1}"

    def gateway(self, k):
        ip = self.gateway_ip(k)
        name = f"edge-akl-a-{k + 1}"
        return self.add(name, self.command("gateway", self.values("gateway", name, ip)))

    def rank(self, name, ip):
        return self.add(name, self.command("rank", self.values("rank", name, ip)))

    def add(self, name, arguments):
        process = Process(self, name, arguments)
        self.processes.append(process)
        return process

    async def until_ready(self, count):
        """Waits until the gateways answer their readiness checks with 200."""
        for k in range(count):
            for _ in range(200):
                if await self.is_ready(k):
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRun(f"gateway {k} is not ready after 10 s")

    async def is_ready(self, k):
        try:
            reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8220)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        self.ended = True
        for process in self.processes:
            await process.end()


def request_head(method, target, attempt, deadline_ms, lines=(), key=API_KEY):
    """Head of a request of a client, with its empty line."""
    lines = [f"{method} {target} HTTP/1.1", "Host: ficu95.example",
             f"Burdockwind-Attempt-Id: {attempt}", f"Burdockwind-Deadline-Ms: {deadline_ms}",
             f"Authorization: Bearer {key}", *lines]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Returns (status, headers, body); raises if the answer is not complete."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("closed without an answer")
    return int(head[0].split()[1]), head[1], await read_body(reader, head[1])


def play(case, folder, trouble):
    """Runs case(bed, record, trouble) and exits with the result of the case."""
    record = Record(os.path.join(folder, "record.txt"))
    logs = os.environ.get("LOGS")

    async def run(logs):
        # Connections that end with the case are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        bed = Bed(logs, record)
        try:
            await asyncio.wait_for(case(bed, record, trouble), 110)
        finally:
            await bed.end()

    try:
        with tempfile.TemporaryDirectory() as temporary:
            asyncio.run(run(logs or temporary))
    except Exception as error:  # An error of the case shows no fault.
        record.add(f"cannot run: {type(error).__name__} {error}")
        print(f"cannot run: {type(error).__name__} {error}")
        sys.exit(CANNOT_RUN)
    for line in record.broken:
        print(line)
    print(f"trouble {int(trouble)}: {'broken' if record.broken else 'held'}")
    sys.exit(BROKEN if record.broken else HELD)


def server_row(service, address, zone, slots, born_ms):
    return {"service": service, "address": address, "zone": zone, "version": "v1",
            "slots": slots, "state": "available", "coldLeftMs": 0, "sequence": 1,
            "born": born_ms}


def manifest(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}]}


__all__ = ["API_KEY", "TENANT", "Bed", "CannotRun", "HttpServer", "manifest", "play", "read_answer",
           "request_head", "server_row"]
