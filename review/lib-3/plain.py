"""A plain service behind one gateway: runners whose answers a case chooses, and kept channels."""
import asyncio
import time

from bed import API_KEY, CannotRun, HttpServer, manifest, read_answer, request_head, server_row

SERVICE = "booking-app"
RUNNERS = 3

# Of all routes, in ms.
TIMEOUT_MS = 800


class PlainRunner:
    """Runs each request once and answers as respond(method, target, headers, body) says, with
    (status, headers, body)."""

    def __init__(self, record, ip, number, respond):
        self.record, self.ip, self.respond = record, ip, respond
        self.id = f"i-{number:08x}"
        self.runs = []  # (attempt, method, target, body)
        self.tenants = []  # (attempt, tenant)
        self.http = HttpServer(ip, 9000, self.handle)

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("burdockwind-attempt-id", "")
        if headers.get("burdockwind-expect-instance") != self.id:
            writer.write(message(421, [("Burdockwind-Attempt-Id", attempt),
                                       ("Burdockwind-Instance-Id", self.id)], b""))
            return True
        self.runs.append((attempt, method, target, body))
        self.tenants.append((attempt, headers.get("burdockwind-tenant")))
        self.record.add(f"{self.id} runs {attempt}: {method} {target}, body of {len(body)} bytes")
        status, more, answer = self.respond(method, target, headers, body)
        data = message(status, [("Burdockwind-Attempt-Id", attempt),
                                ("Burdockwind-Instance-Signature", self.id),
                                ("Burdockwind-Instance-Load", "1,0,6"), *more], answer)
        writer.write(data)
        await writer.drain()
        return True


def message(status, headers, body):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def route(name, prefix, kind):
    return {"name": name, "host": "ficu95.example", "prefix": prefix, "priority": 2,
            "service": SERVICE, "routeType": kind, "timeoutMs": TIMEOUT_MS, "sloMs": 300,
            "maxAttempts": 2, "public": False}


async def start(bed, record, respond, tenants=None, gateways=1):
    """Starts store, runners and gateways; returns the runners. The manifest has one tenant if
    tenants is None."""
    await bed.store.http.start()
    runners = [PlainRunner(record, f"{bed.net}.3.{n + 1}", n + 1, respond) for n in range(RUNNERS)]
    for runner in runners:
        await runner.http.start()
        row = server_row(SERVICE, f"{runner.ip}:9000", "akl-a", 6, int(time.time() * 1000))
        await bed.store.put("servers", runner.id, row)
    config = manifest(7, [route("slot-booking", "/once/", "non_idempotent"),
                          route("slot-lookup", "/safe/", "idempotent")], [{"name": SERVICE}])
    await bed.store.put("op", "config", {**config, "tenants": tenants or config["tenants"]})
    for k in range(gateways):
        await bed.gateway(k).start()
    await bed.until_ready(gateways)
    return runners


class Channel:
    """A kept channel of a client."""

    def __init__(self, bed, record):
        self.bed, self.record, self.streams = bed, record, None

    async def exchange(self, method, target, attempt, lines=(), body=b"", key=API_KEY):
        """Sends a request and returns (status, body), or None if the channel ends without a whole
        answer."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.bed.gateway_ip(0), 8227)
        reader, writer = self.streams
        head = request_head(method, target, attempt, 1500,
                            [*lines, f"Content-Length: {len(body)}"] if body else lines, key)
        self.record.add(f"{attempt} sent: {method} {target}, head of {len(head)} bytes, "
                        f"body of {len(body)} bytes")
        try:
            writer.write(head + body)
            status, headers, answer = await asyncio.wait_for(read_answer(reader), 3)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.add(f"{attempt} not answered, the channel ended: {type(error).__name__}")
            self.close()
            return None
        self.record.add(f"{attempt} answered {status}, body of {len(answer)} bytes")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, answer

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def check(self, status, *arguments, **more):
        """An exchange that has to end with a status in any case."""
        reply = await self.exchange(*arguments, **more)
        if reply is None or reply[0] != status:
            raise CannotRun(f"answered {reply and reply[0]} instead of {status}")
