"""A small deployment on loopback addresses for the cases of the second review: a store, plain
runners and gateways that are started with the commands of deploy/system.toml.

The store is that of tests/soak/standin.py. Runners and clients are small ones of this file, which
work on the bytes of a connection. A case derives its runner from PlainRunner.
"""
import asyncio
import os
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
from standin import Store, answer, read_head  # noqa: E402

# The bounds of sites/kaitiaki-slots.toml, as the settings of a process name them.
SETTINGS = {"bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "94",
            "bounds.drainMs": "2000", "bounds.graceS": "8", "limits.memoryMb": "260",
            "limits.maxFds": "4100", "bounds.coldOverage": "", "bounds.coldAllowance": ""}
KEY, TENANT, HOST = "n2ctnfzs989anu6wsjnb", "hule930", "ficu95.example"


def disrupted():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in record.txt beside the script of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def free_net():
    """Second octet of loopback addresses on which no gateway listens."""
    for net in range(60 + os.getpid() % 60, 250):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.9.1", 8223))
                return net
            except OSError:
                continue
    raise OSError("no free loopback addresses")


class PlainRunner:
    """Runner of a plain service; run() works on a request and returns whether to go on."""

    def __init__(self, record, ip, service, port=8228):
        self.record, self.ip, self.service, self.port = record, ip, service, port
        self.id = f"i-{ip.replace('.', '')}"
        self.born_ms = int(time.time() * 1000)
        self.slots = 6
        self.server = None
        self.runs = []

    def row(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "akl-a",
                "version": "v1", "slots": self.slots, "state": "available", "coldLeftMs": 0,
                "sequence": 1, "born": self.born_ms}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                attempt = headers.get("burdockwind-attempt-id", "")
                if headers.get("burdockwind-expect-instance") != self.id:
                    writer.write(answer(421, headers=[("Burdockwind-Instance-Id", self.id),
                                                      ("Burdockwind-Attempt-Id", attempt)]))
                    continue
                self.record.add(f"{self.id} runs {line!r} attempt {attempt} "
                                f"body {len(body)} bytes {body[:80]!r}")
                self.runs.append((line, headers, body))
                if not await self.run(line, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def head_fields(self, headers):
        return [("Burdockwind-Attempt-Id", headers.get("burdockwind-attempt-id", "")),
                ("Burdockwind-Instance-Signature", f"s.{self.id}")]

    async def run(self, line, headers, body, writer):
        writer.write(answer(200, b"answer to " + headers.get("burdockwind-attempt-id",
                                                             "").encode(),
                            self.head_fields(headers)))
        await writer.drain()
        return True


class Rig:
    def __init__(self, record, gateways=1):
        self.record = record
        self.net = f"127.{free_net()}"
        self.store = Store(f"{self.net}.9.1", 8223)
        self.store.names_era = False  # the pages in force have no such header
        self.runners, self.processes = [], []
        self.gateway_count = gateways
        self.logs = tempfile.mkdtemp(prefix="burdock-review-")
        self.version = 1

    def gateway_ip(self, k):
        return f"{self.net}.1.{k + 1}"

    def routes(self):
        return []

    def command(self, role, values):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"][role]["run"]
        words = re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], run).split()
        return [os.path.join(ROOT, words[0])] + words[1:]

    def gateway_command(self, k):
        ip = self.gateway_ip(k)
        seeds = ",".join(f"{self.gateway_ip(i)}:8229" for i in range(min(3, self.gateway_count)))
        return self.command("gateway", {
            **SETTINGS, "nodeName": f"edge-akl-a-{k + 1}", "zone": "akl-a", "ip": ip,
            "portRange.0": "7340", "listen.frontend": f"{ip}:8227", "listen.ready": f"{ip}:8220",
            "listen.registry": f"{ip}:8224", "platform.address": f"{self.net}.9.1:8223",
            "seeds": seeds})

    def open_log(self, name):
        """File that a process writes its log to; it is closed here once the process has it."""
        return open(os.path.join(self.logs, name), "ab")

    async def start_process(self, name, command):
        with self.open_log(name) as log:
            process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def manifest(self, routes, services, tenants=None):
        self.version += 1
        return {"version": self.version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": tenants or [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}

    async def start(self, manifest):
        await self.store.http.start()
        for runner in self.runners:
            await runner.start()
            await self.store.put("servers", runner.id, runner.row())
        await self.store.put("op", "config", manifest)
        self.gateways = [await self.start_process(f"gateway-{k}", self.gateway_command(k))
                         for k in range(self.gateway_count)]
        for k in range(self.gateway_count):
            await self.wait_ready(k)

    async def is_ready(self, k):
        try:
            reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8220)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, k, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready(k):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"gateway {k} is not ready")

    async def connect(self, k=0):
        return await asyncio.open_connection(self.gateway_ip(k), 8227)

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        shutil.rmtree(self.logs, ignore_errors=True)


async def read_answer(reader, method="POST"):
    """Returns (status, headers, body), or None if the connection ends before a whole answer."""
    head = await read_head(reader)
    if head is None:
        return None
    status, headers = int(head[0].split()[1]), head[1]
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(await reader.readline(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return status, headers, body
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def request_head(method, target, attempt, more=(), length=None, key=KEY, deadline_ms=1500):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
             f"Burdockwind-Attempt-Id: {attempt}", f"Burdockwind-Deadline-Ms: {deadline_ms}",
             f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in more]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


ROUTE = {"sloMs": 300, "timeoutMs": 1500, "maxAttempts": 2, "priority": 0}
ROUTES = [{"name": "once", "host": HOST, "prefix": "/once/", "service": "app",
           "routeType": "non_idempotent", **ROUTE},
          {"name": "safe", "host": HOST, "prefix": "/safe/", "service": "app",
           "routeType": "idempotent", **ROUTE}]
SERVICES = [{"name": "app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1",
             "tls": False}]
LIMIT_S = 100


async def start_plain(record, runner_class=PlainRunner, runners=3, rig_class=Rig):
    """A deployment with the plain service of a small installation only."""
    rig = rig_class(record)
    rig.runners = [runner_class(record, f"{rig.net}.3.{k + 1}", "app") for k in range(runners)]
    try:
        await rig.start(rig.manifest(ROUTES, SERVICES))
        await check_calm(rig)
    except BaseException:
        await rig.stop()
        raise
    return rig


async def check_calm(rig):
    """Raises unless an ordinary request is answered by a runner."""
    reader, writer = await rig.connect()
    writer.write(request_head("POST", "/once/calm", "calm", length=2) + b"ok")
    got = await asyncio.wait_for(read_answer(reader), 5)
    writer.close()
    if got is None or got[0] != 200 or got[2] != b"answer to calm":
        raise RuntimeError(f"an ordinary request was answered with {got}")


async def send_raw(rig, name, data, wait_s=1.0):
    """Sends bytes on a connection of their own; returns the statuses of all answers until the
    connection ends or is silent for wait_s."""
    reader, writer = await rig.connect()
    rig.record.add(f"{name}: sends {len(data)} bytes, {data[:60]!r}...")
    received = b""
    try:
        writer.write(data)
        await writer.drain()
        while chunk := await asyncio.wait_for(reader.read(65536), wait_s):
            received += chunk
        end = "closed"
    except asyncio.TimeoutError:
        end = "open"
    except ConnectionError:
        end = "reset"
    writer.close()
    statuses = [int(s) for s in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]
    rig.record.add(f"{name}: answered {statuses}, the connection is {end}")
    return statuses


def run_case(folder, case):
    """Runs case(record), which returns what broke the rule, and exits with its verdict."""
    record = Record(folder)

    async def bounded():
        task = asyncio.ensure_future(case(record))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, LIMIT_S)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.add(f"the case could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    for line in broken:
        record.add(f"BROKEN {line}")
    verdict = "broken" if broken else "held"
    record.add(f"the rule {verdict}")
    print(f"the rule {verdict}" + "".join(f"\n  {line}" for line in broken[:5]))
    sys.exit(1 if broken else 0)
