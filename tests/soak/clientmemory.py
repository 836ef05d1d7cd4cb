#!/usr/bin/env python3
"""Clients that send without limits, against real processes of burdock-gateway and burdock-entry.

For each kind of abuse a process is started, and a crowd of clients sends and keeps its
connections open. Checked is only what does not depend on the speed of the machine: the process
lives, its peak memory and open descriptors stay under their bounds, and one ordinary request is
answered while the connections are open. Guards against clients that end a process by memory or
descriptors. Exits with 1 if a check fails.
"""
import argparse
import asyncio
import os
import socket
import subprocess
import sys

from soak import WORKSPACES_BY_KEY, InvariantChecker
from standin import Runner, Store, answer, read_body, read_head

# Settings of the processes, and with them the bounds: the memory that an instance has, and the
# descriptors that a process may have.
MEMORY_MB, FDS_MAX = 64, 400
# Clients of a crowd, each of which sends up to the largest body that the process takes.
GATEWAY_CLIENTS, GATEWAY_BODY_BYTES = 40, 4 << 20
ENTRY_CLIENTS, ENTRY_BODY_BYTES = 100, 1 << 20
IDLE_CONNECTIONS = 600
# Clients stop this far before the end of a body.
MISSING_BYTES = 8
# A body far above the limit, and what of it is sent.
OVERSIZED_BYTES, OVERSIZED_SENT_BYTES = 64 << 20, 16 << 20
BLOCK_BYTES = 64 << 10
# Time after which clients that the process does not read from stop to send, in s, and limit of
# the waits for a process: they keep the test from hanging.
CROWD_S, WAIT_S = 8, 20


def announced(body_bytes):
    return f"Content-Length: {body_bytes}\r\n\r\n".encode()


def chunk(length):
    return b"%x\r\n" % length + b"x" * length + b"\r\n"


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


# The ways to send a request after its first headers: (rest of the head, blocks of the body).

def whole(limit):
    return announced(limit), [b"x" * (limit - MISSING_BYTES)]


def pieces(limit):
    sent = limit - MISSING_BYTES
    return announced(limit), [b"x" * min(BLOCK_BYTES, sent - at)
                              for at in range(0, sent, BLOCK_BYTES)]


def large_chunks(limit):
    size = 512 << 10
    return CHUNKED, [chunk(size)] * (limit // size - 1) + [chunk(size)[:-2 - MISSING_BYTES]]


def small_chunks(limit):
    per_block = BLOCK_BYTES // 64
    count = limit // BLOCK_BYTES
    return CHUNKED, ([chunk(64) * per_block] * (count - 1)
                     + [(chunk(64) * per_block)[:-2 - MISSING_BYTES]])


def oversized_announced(limit):
    return announced(OVERSIZED_BYTES), [b"x" * BLOCK_BYTES] * (OVERSIZED_SENT_BYTES // BLOCK_BYTES)


def oversized_chunks(limit):
    size = 512 << 10
    return CHUNKED, [chunk(size)] * (OVERSIZED_SENT_BYTES // size)


BODIES = {"whole": whole, "pieces": pieces, "large-chunks": large_chunks,
          "small-chunks": small_chunks, "oversized-announced": oversized_announced,
          "oversized-chunks": oversized_chunks}
KINDS = [*BODIES, "connections", "unread-answers"]


class LargeAnswerRunner(Runner):
    """Answers requests for /safe/large with as much as the largest request body."""

    async def work(self, path, attempt, headers, writer):
        if path != "/safe/large":
            return await super().work(path, attempt, headers, writer)
        writer.write(answer(200, b"y" * GATEWAY_BODY_BYTES,
                            [("Burdockwind-Attempt-Id", attempt),
                             ("Burdockwind-Instance-Id", self.id),
                             ("Burdockwind-Instance-Signature", "s")]))
        await writer.drain()
        return True


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Program:
    """A process under test with its settings; subclasses start what it needs."""

    def __init__(self, options):
        self.options, self.process, self.failures = options, None, []

    def limits(self, program):
        """Flags of the limits, as far as the program knows them."""
        help_text = subprocess.run([program, "--help"], capture_output=True, text=True,
                                   check=True).stdout
        flags = {"--memory-mb": MEMORY_MB, "--max-fds": FDS_MAX}
        return [f"{flag}={value}" for flag, value in flags.items() if flag in help_text]

    async def spawn(self, name, arguments):
        os.makedirs(self.options.logs, exist_ok=True)
        log = open(os.path.join(self.options.logs, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(*arguments, stdout=log, stderr=log)
        log.close()
        return process

    async def connect(self, window_bytes=None):
        client = socket.socket()
        client.setblocking(False)
        if window_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(client, self.address), 2)
            return await asyncio.open_connection(sock=client, limit=1 << 16)
        except BaseException:
            client.close()
            raise

    async def request(self, body_bytes):
        """Sends an ordinary request over a new connection; returns its status, 0 without one."""
        writer = None
        try:
            reader, writer = await self.connect()
            writer.write(self.ordinary_head() + announced(body_bytes) + b"x" * body_bytes)
            head = await read_head(reader)
            if head is None:
                return 0
            await read_body(reader, head[1])
            return int(head[0].split()[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return 0
        finally:
            if writer:
                writer.close()

    async def wait_for_request(self):
        for _ in range(WAIT_S * 5):
            if await asyncio.wait_for(self.request(0), WAIT_S) == 200:
                return
            await asyncio.sleep(0.2)
        sys.exit(f"{self.name} does not start, see {self.options.logs}")

    async def send_body(self, body, opened):
        """Sends until the end of the blocks or until the process closes; stays connected."""
        try:
            reader, writer = await self.connect()
        except (OSError, asyncio.TimeoutError):
            return
        opened.append(writer)
        head_end, blocks = body
        try:
            writer.write(self.abusive_head() + head_end)
            for block in blocks:
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            pass

    async def open_only(self, opened):
        try:
            _, writer = await self.connect()
        except (OSError, asyncio.TimeoutError):
            return
        opened.append(writer)
        writer.write(self.abusive_head())

    async def leave_answer(self, opened):
        try:
            _, writer = await self.connect(4096)
        except (OSError, asyncio.TimeoutError):
            return
        opened.append(writer)
        writer.transport.pause_reading()
        writer.write(self.large_answer_head() + b"Content-Length: 0\r\n\r\n")
        await asyncio.sleep(CROWD_S)

    def crowd(self, kind, opened):
        if kind == "connections":
            return [self.open_only(opened) for _ in range(IDLE_CONNECTIONS)]
        if kind == "unread-answers":
            return [self.leave_answer(opened) for _ in range(self.clients)]
        body = BODIES[kind](self.body_bytes)
        return [self.send_body(body, opened) for _ in range(self.clients)]

    def sample(self):
        """Returns (peak memory in KiB, open descriptors); None if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                peak = [int(line.split()[1]) for line in file if line.startswith("VmHWM")]
            return peak[0], len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except (OSError, IndexError):
            return None

    async def watch(self, peaks):
        while True:
            sample = self.sample()
            if sample:
                peaks[:] = [max(a, b) for a, b in zip(peaks, sample)]
            await asyncio.sleep(0.05)

    def expect(self, kind, condition, text):
        if not condition:
            self.failures.append(f"{self.name} {kind}: {text}")

    async def play(self, kind):
        opened, peaks = [], [0, 0]
        await self.start()
        watcher = asyncio.create_task(self.watch(peaks))
        try:
            await self.wait_for_request()
            if kind == "whole" and self.whole_body_status:
                status = await asyncio.wait_for(self.request(self.body_bytes), WAIT_S)
                self.expect(kind, status == 200, f"a whole body in calm was answered {status}")
            await asyncio.wait([asyncio.create_task(task) for task in self.crowd(kind, opened)],
                               timeout=CROWD_S)
            try:
                status = await asyncio.wait_for(self.request(20), WAIT_S)
            except asyncio.TimeoutError:
                status = 0
            self.expect(kind, status == 200, f"an ordinary request was answered {status}")
            self.expect(kind, self.sample() and self.process.returncode is None,
                        "the process has ended")
            await asyncio.sleep(0.1)
        finally:
            watcher.cancel()
            for writer in opened:
                writer.transport.abort()
            await self.stop()
        self.expect(kind, peaks[0] <= MEMORY_MB << 10,
                    f"peak of {peaks[0]} KiB, bound {MEMORY_MB << 10} KiB")
        self.expect(kind, peaks[1] <= FDS_MAX, f"{peaks[1]} descriptors, bound {FDS_MAX}")
        print(f"{self.name} {kind}: clients {len(opened)} peak_kib {peaks[0]} "
              f"descriptors {peaks[1]} ordinary {status}", flush=True)

    async def stop_process(self, process):
        if process and process.returncode is None:
            process.kill()
            await process.wait()


class Gateway(Program):
    name, clients, body_bytes, whole_body_status = ("burdock-gateway", GATEWAY_CLIENTS,
                                                    GATEWAY_BODY_BYTES, True)

    async def start(self):
        net = f"127.{self.options.net}"
        ip, self.address = f"{net}.1.1", (f"{net}.1.1", 8080)
        check = InvariantChecker()
        self.store = Store(f"{net}.9.1", 8000)
        self.runner = LargeAnswerRunner(check, "plain", f"{net}.3.1", slots=100)
        self.runner.store = self.store
        await self.store.http.start()
        await self.runner.http.start()
        await self.store.put("servers", self.runner.id, self.runner.store_row())
        await self.store.put("op", "config", self.configuration())
        program = f"{self.options.build}/gateway/burdock-gateway"
        self.process = await self.spawn("gateway", [
            program, "--name=gateway-0", "--failure-domain=z", f"--control={ip}:7000",
            f"--http={ip}:8080", f"--ready={ip}:8081", f"--directory={ip}:8082",
            f"--store=http://{net}.9.1:8000", *self.limits(program)])

    def configuration(self):
        route = {"name": "safe", "host": "h", "prefix": "/safe/", "priority": 1,
                 "service": "plain", "timeoutMs": 20000, "sloMs": 400, "maxAttempts": 2,
                 "routeType": "idempotent"}
        return {"version": 1, "routes": [route], "services": [{"name": "plain"}],
                "limits": {"maxBodyBytes": GATEWAY_BODY_BYTES, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000},
                "tenants": [{"name": n, "apiKeys": [k], "priority": 1}
                            for k, n in WORKSPACES_BY_KEY.items()]}

    def head(self, path):
        return (f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
                f"Burdockwind-Attempt-Id: {os.urandom(8).hex()}\r\n").encode()

    def ordinary_head(self):
        return self.head("/safe/p")

    abusive_head = ordinary_head

    def large_answer_head(self):
        return self.head("/safe/large")

    async def stop(self):
        await self.stop_process(self.process)
        await self.runner.http.stop()
        await self.store.http.stop()


class Entry(Program):
    name, clients, body_bytes, whole_body_status = ("burdock-entry", ENTRY_CLIENTS,
                                                    ENTRY_BODY_BYTES, False)

    async def start(self):
        ports = [free_port() for _ in range(3)]
        self.address = ("127.0.0.1", ports[1])
        self.platform = await self.spawn("platform", [
            f"{self.options.build}/tests/fakes/fake-platform", "--port", str(ports[0])])
        program = f"{self.options.build}/entry/burdock-entry"
        self.process = await self.spawn("entry", [
            program, "--name=entry-0", "--failure-domain=z", f"--control=127.0.0.1:{ports[2]}",
            f"--http=127.0.0.1:{ports[1]}", f"--store=http://127.0.0.1:{ports[0]}",
            *self.limits(program)])

    def ordinary_head(self):
        return b"GET /health HTTP/1.1\r\nHost: h\r\n"

    def abusive_head(self):
        return b"POST /v1/requests HTTP/1.1\r\nHost: h\r\n"

    async def stop(self):
        await self.stop_process(self.process)
        await self.stop_process(self.platform)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("kinds", nargs="*", help=f"of {', '.join(KINDS)}; all by default")
    parser.add_argument("--build", default="build")
    parser.add_argument("--program", choices=("gateway", "entry"), help="both by default")
    parser.add_argument("--logs", default="/tmp/burdock-scenario")
    parser.add_argument("--net", type=int, default=0,
                        help="second number of the loopback addresses, for runs side by side")
    options = parser.parse_args()
    failures, count = [], 0
    for program_class in (Gateway, Entry):
        if options.program and options.program not in program_class.name:
            continue
        for kind in options.kinds or KINDS:
            # An entry has no buffered answers that a client can ask for without upstreams.
            if kind == "unread-answers" and program_class is Entry:
                continue
            program = program_class(options)
            await program.play(kind)
            failures += program.failures
            count += 1
    for failure in failures:
        print(failure)
    print(f"client-memory: kinds {count} problems={len(failures)}")
    sys.stdout.flush()
    # Exits without waiting for connections that the stand-ins still handle.
    os._exit(1 if failures else 0)


if __name__ == "__main__":
    asyncio.run(main())
