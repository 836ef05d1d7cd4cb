"""Model runners in trouble send bodies of streams without end, to quick and slow readers."""
import asyncio
import random
import socket
import time

from events import EventSequence
from standin import Runner, attempt_id, read_body, read_head

# Bodies of streams without end; {} is the attempt. The functions take the number of the block.
BODIES = {
    "lines and empty lines": lambda attempt, number: b"worker 3 depth 4, state waiting\n\n" * 100,
    "zeros and empty lines": lambda attempt, number: (b"\0" * 60 + b"\n\n") * 100,
    "comments": lambda attempt, number: b": still here\n\n" * 300,
    "empty lines": lambda attempt, number: b"\n" * 4096,
    "one line": lambda attempt, number: b"x" * 4096,
    "half empty lines": lambda attempt, number: b"\r\n\r" * 1024,
    "the same event": lambda attempt, number: b"id: 1\ndata: again\n\n" * 200,
    "well-formed events": lambda attempt, number: b"".join(
        b"id: %d\ndata: %s\n\n" % (number * 100 + i + 1, attempt.encode()) for i in range(100)),
    "large events": lambda attempt, number: b"id: %d\ndata: %s\n\n" % (number + 1, b"y" * 200000),
    "long ids": lambda attempt, number: b"id: " + b"7" * 4000 + b"\n\n",
}

# Share of the streams that have no end. The others keep the runners in use.
ENDLESS_RATE = 0.3
# The runner gives up here, so that a fault does not fill the memory of the machine.
LIMIT_BYTES = 512 << 20
# An instance has 260 MB for all its requests.
MEMORY_MAX_KB = 160 << 10
# Time in which a gateway has to end a stream after its route's timeout.
LATE_S = 0.5


class EndlessRunner(Runner):
    """Sends the body in use in some streams, until the gateway closes the connection."""

    body = None

    async def stream(self, path, attempt, headers, writer):
        body = EndlessRunner.body
        if body is None or random.random() >= ENDLESS_RATE:
            return await super().stream(path, attempt, headers, writer)
        writer.write(self.stream_head(attempt, unframed=True))
        number = sent_bytes = 0
        while sent_bytes < LIMIT_BYTES:
            block = body(attempt, number)
            writer.write(block)
            await writer.drain()
            number, sent_bytes = number + 1, sent_bytes + len(block)
            await asyncio.sleep(0)
        return False


class EndlessStreamsScenario:
    """Requests that sound runners work on have to be answered, and the gateways go on."""

    runner_class = EndlessRunner
    gateway_count = 2
    TIMEOUT_MS, QUICK_READERS, SLOW_READERS, SLOW_BYTES_PER_S = 2000, 3, 3, 100000

    def __init__(self, options):
        super().__init__(options)
        self.kinds = {**self.kinds, "stream": (*self.kinds["stream"][:2], self.TIMEOUT_MS)}

    async def sound_caller(self, k, end_time):
        """Sends plain requests on a connection that it keeps."""
        connection, addresses = None, [f"{self.gateway_ip(k)}:8080"]
        while time.monotonic() < end_time:
            kind = self.random.choice(("once", "safe"))
            connection = await self.request(kind, connection, addresses)

    async def reader(self, k, slow, end_time):
        while time.monotonic() < end_time:
            began, ending = time.monotonic(), "no connection"
            attempt = attempt_id(self.random, k)
            try:
                ending = await asyncio.wait_for(self.read_stream(k, attempt, slow),
                                                self.TIMEOUT_MS / 1000 + 5)
            except asyncio.TimeoutError:
                ending = "open"
            except OSError:
                await asyncio.sleep(0.1)
            lasted_s = time.monotonic() - began
            if not slow and lasted_s > self.TIMEOUT_MS / 1000 + LATE_S:
                self.check.add_violation("CONFIG", f"stream {attempt} at gateway-{k} ended after "
                                                   f"{lasted_s:.2f} s ({ending})")
            key = f"{'slow' if slow else 'quick'} {ending}"
            self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1

    async def read_stream(self, k, attempt, slow):
        reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8080, limit=1 << 14)
        try:
            writer.write(f"POST /stream/p HTTP/1.1\r\nHost: h\r\nBurdockwind-Attempt-Id: {attempt}"
                         f"\r\nAuthorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n".encode())
            head = await read_head(reader)
            if head is not None and " 200 " not in head[0]:
                await read_body(reader, head[1])
                return head[0].split()[1]
            last = b""
            while data := await reader.read(4096 if slow else 1 << 16):
                last = (last + data)[-7:]
                if last == b"\r\n0\r\n\r\n":
                    return "complete"
                if slow:
                    await asyncio.sleep(len(data) / self.SLOW_BYTES_PER_S)
        except ConnectionError:
            pass
        finally:
            writer.close()
        return "broken off"

    async def run(self):
        """Plays each body for the same time."""
        end_time = time.monotonic() + self.options.seconds
        tasks = [asyncio.create_task(self.sound_caller(k, end_time))
                 for k in range(len(self.gateways)) for _ in range(self.options.callers)]
        tasks += [asyncio.create_task(self.reader(k, slow, end_time))
                  for k in range(len(self.gateways))
                  for slow in [False] * self.QUICK_READERS + [True] * self.SLOW_READERS]
        for name, body in BODIES.items():
            EndlessRunner.body = body
            await asyncio.sleep(self.options.seconds / len(BODIES))
            self.check_gateways(name)
        await asyncio.gather(*tasks)
        EndlessRunner.body = None
        print(self.stops.report())
        if not any(key.startswith("quick broken off") for key in self.outcome_counts):
            self.check.add_violation("SETUP", "no stream without end was read")

    def check_gateways(self, name):
        for gateway in self.gateways:
            if gateway.process.returncode is not None:
                self.check.add_violation("END", f"{gateway.name} ended by itself with status "
                                                f"{gateway.process.returncode} ({name})")
                continue
            with open(f"/proc/{gateway.process.pid}/status", encoding="ascii") as file:
                peak_kb = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
            if peak_kb > MEMORY_MAX_KB:
                self.check.add_violation("MEMORY", f"{gateway.name} took {peak_kb} KiB ({name})")


class LargeStreamRunner(Runner):
    """Sends sound streams as fast as they are read."""

    EVENTS = 1500

    FILLING = "y" * 2000

    async def stream(self, path, attempt, headers, writer):
        writer.write(self.stream_head(attempt))
        events = EventSequence.of_attempt(attempt, self.EVENTS)
        for index in range(events.first_after(headers.get("last-event-id")), self.EVENTS):
            event = events.event(attempt, index, self.FILLING)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class SlowReadersScenario:
    """Streams of 3 MB, more than a gateway keeps, whose callers read them slowly."""

    runner_class = LargeStreamRunner
    gateway_count = 2
    READERS, READ_BYTES, READ_S, WINDOW_BYTES = 4, 1 << 15, 0.02, 1 << 16

    async def reader(self, k, end_time):
        while time.monotonic() < end_time:
            attempt = attempt_id(self.random, k)
            try:
                body = await asyncio.wait_for(self.read_stream(k, attempt), 9)
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                body = repr(error)
            events = EventSequence.of_attempt(attempt, LargeStreamRunner.EVENTS)
            whole = events.text(attempt, filling=LargeStreamRunner.FILLING)
            ending = "whole" if body == whole else "wrong"
            if body != whole:
                self.check.add_violation("CUT", f"a stream at gateway-{k} was read slowly and "
                                                f"ended with {(body or b'')[-80:]!r}")
            self.outcome_counts[ending] = self.outcome_counts.get(ending, 0) + 1

    async def read_stream(self, k, attempt):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, (self.gateway_ip(k), 8080))
        reader, writer = await asyncio.open_connection(sock=caller, limit=self.READ_BYTES)
        try:
            writer.write(f"POST /stream/p HTTP/1.1\r\nHost: h\r\nBurdockwind-Attempt-Id: {attempt}"
                         f"\r\nAuthorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n".encode())
            head = await read_head(reader)
            if head is None or " 200 " not in head[0]:
                return head and head[0]
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
                if len(body) // self.READ_BYTES > (len(body) - size) // self.READ_BYTES:
                    await asyncio.sleep(self.READ_S)
            return body
        finally:
            writer.close()

    async def run(self):
        end_time = time.monotonic() + self.options.seconds
        await asyncio.gather(*(self.reader(k, end_time) for k in range(len(self.gateways))
                               for _ in range(self.READERS)))
        if self.outcome_counts.get("whole", 0) < 2 * self.READERS:
            self.check.add_violation("SETUP", f"only {self.outcome_counts}")
