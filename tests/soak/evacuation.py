"""Failure domains are evacuated and used again, with gateways that cannot reach the store, that
start meanwhile, and with a store that returns from a copy."""
import asyncio
import json
import os
import signal
import socket
import time

from soak import Soak
from standin import Runner, attempt_id, gateway_of, read_body, read_head

# After the store has confirmed a row, upstreams of the failure domain get nothing later than
# EFFECT_S, and once it is removed they get requests of each gateway again within USE_S. A gateway
# that starts serves within START_S. If no gateway gets an answer to its open call, they repeat
# their calls in turn; then the operator's bound holds.
EFFECT_S, USE_S, START_S, BOUND_S = 1.0, 4.0, 8.0, 5.0
HOLD_S, REFUSAL_S, SERVED_MIN = 3.0, 0.3, 0.9
# Of an upstream to which connections are not established: time until its evacuation, which is
# less than the 0.7 s of an attempt to connect.
UNCONNECTED_S = 0.4
UNSENT_PLAYS_MAX = 5
ZONES = ("z-a", "z-b")


class ZoneRunner(Runner):
    """Notes the time and the gateway of each request."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.by_gateway = []

    async def handle(self, method, target, headers, body, writer):
        if headers.get("burdockwind-expect-instance") == self.id:
            attempt = headers["burdockwind-attempt-id"]
            self.by_gateway.append((time.monotonic(), gateway_of(attempt)))
        return await super().handle(method, target, headers, body, writer)


class EvacuationScenario(Soak):
    gateway_count = 3
    created = 0

    def runner_class(self, check, service, *arguments):
        runner = ZoneRunner(check, service, *arguments)
        runner.zone = ZONES[self.created % len(ZONES)]
        self.created += 1
        return runner

    async def request(self, kind, connection, addresses):
        """Callers come back to a gateway that was started again: each request has a connection
        of its own."""
        connection = await super().request(kind, None, addresses)
        if connection is not None:
            connection[1].close()

    def in_zone(self, zone):
        return [r for r in self.runners + self.plain_runners if r.zone == zone]

    async def evacuate(self, zone):
        await self.store.put("op", f"evacuate/{zone}", {})
        return time.monotonic()

    async def release(self, zone):
        await self.store.remove("op", f"evacuate/{zone}")
        return time.monotonic()

    def expect_nothing(self, zone, since, text, bound=EFFECT_S):
        now = time.monotonic()
        for runner in self.in_zone(zone):
            late = [t - since for t, _ in runner.by_gateway if since + bound < t < now]
            if late:
                self.check.add_violation("EVACUATED", f"{text}: {runner.id} in {zone} got "
                                         f"{len(late)} requests, the last after {late[-1]:.2f} s")
        last = [t - since for runner in self.in_zone(zone) for t, _ in runner.by_gateway
                if t > since]
        print(f"{text}: last request {max(last, default=0):.3f} s after the row")

    async def expect_use(self, zone, since, text):
        missing = set(range(self.options.gateways))
        while missing and time.monotonic() < since + USE_S:
            await asyncio.sleep(0.1)
            missing -= {gateway for runner in self.in_zone(zone)
                        for t, gateway in runner.by_gateway if t > since}
        print(f"{text}: used again by all gateways after {time.monotonic() - since:.1f} s")
        if missing:
            self.check.add_violation("USE", f"{text}: {zone} got no request of gateways {missing}")

    def counts(self):
        served = sum(n for key, n in self.outcome_counts.items() if key.endswith(" 200"))
        return served, sum(self.outcome_counts.values())

    def expect_served(self, before, text):
        served, sent = (now - then for now, then in zip(self.counts(), before))
        if sent < 20 or served < SERVED_MIN * sent:
            self.check.add_violation("LOST", f"{text}: {served} of {sent} requests were served")

    async def hold(self, zones, since, text):
        await asyncio.sleep(HOLD_S)
        for zone in zones:
            self.expect_nothing(zone, since, text)

    async def play_without_store(self):
        """The first gateway gets no answers of the store; it learns from the others."""
        self.proxies[0].set_mode("silent")
        before, since = self.counts(), await self.evacuate("z-a")
        await self.hold(["z-a"], since, "a gateway without the store")
        self.expect_served(before, "one failure domain is evacuated")
        await self.expect_use("z-a", await self.release("z-a"), "a gateway without the store")
        self.proxies[0].set_mode("pass")
        await asyncio.sleep(1)

    async def play_unsent(self):
        """Requests that were placed at an upstream and not sent to it yet are sent elsewhere.
        Few are placed there in the time of one play, and none in some."""
        offsets = [os.path.getsize(self.log_path(k)) for k in range(self.options.gateways)]
        with socket.socket() as server, socket.socket() as filler, socket.socket() as other:
            # With a full queue of connections, further ones are not established.
            server.bind((f"{self.net}.3.9", 9000))
            server.listen(0)
            for client in (filler, other):
                client.setblocking(False)
                client.connect_ex((f"{self.net}.3.9", 9000))
            withdrawn = plays = 0
            while withdrawn == 0 and plays < UNSENT_PLAYS_MAX:
                await self.play_unconnected(f"i-unconnected-{plays}")
                withdrawn, plays = self.count_withdrawn(offsets), plays + 1
        print(f"requests that were not sent: {withdrawn} sent elsewhere, plays {plays}")
        if withdrawn == 0:
            self.check.add_violation("UNSENT", "no request was taken back")

    async def play_unconnected(self, name):
        """An upstream to which no connection is established is evacuated and removed."""
        row = {**self.plain_runners[0].store_row(), "zone": "z-c",
               "address": f"{self.net}.3.9:9000"}
        await self.store.put("servers", name, row)
        await asyncio.sleep(UNCONNECTED_S)
        before = self.counts()
        await self.evacuate("z-c")
        await asyncio.sleep(1)
        self.expect_served(before, "requests that were not sent")
        await self.store.remove("servers", name)
        await self.release("z-c")
        await asyncio.sleep(EFFECT_S)

    def count_withdrawn(self, offsets):
        withdrawn = 0
        for k, offset in enumerate(offsets):
            with open(self.log_path(k), encoding="utf-8") as log:
                log.seek(offset)
                withdrawn += sum('step="attempt withdrawn"' in line for line in log)
        return withdrawn

    async def play_silent(self):
        """No gateway gets an answer to the calls that it has open."""
        for proxy in self.proxies:
            proxy.silence_open()
        since = await self.evacuate("z-b")
        await asyncio.sleep(BOUND_S + 1)
        self.expect_nothing("z-b", since, "open calls are silent", BOUND_S)
        await self.expect_use("z-b", await self.release("z-b"), "open calls were silent")

    def log_path(self, k):
        return os.path.join(self.logs, f"gateway-{k}.log")

    async def expect_state(self, zone):
        """A gateway hands over what is evacuated to another one that asks, from its address."""
        reader, writer = await asyncio.open_connection(self.gateway_ip(1), 7000,
                                                       local_addr=(self.gateway_ip(0), 0))
        writer.write(b"GET /state HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await read_head(reader)
        state = json.loads(await read_body(reader, head[1]))
        writer.close()
        evacuated = [item["failureDomain"] for item in state["evacuation"] if item["evacuated"]]
        if evacuated != [zone]:
            self.check.add_violation("STATE", f"{evacuated} is handed over instead of {zone}")

    async def play_all(self):
        """The second failure domain is evacuated while the first one is; the rows are odd for a
        time, which neither ends nor begins an evacuation."""
        since = await self.evacuate("z-a")
        await asyncio.sleep(1)
        await self.store.write("op", "evacuate/z-a", "*")
        await self.store.put("op", "evacuate/", {})
        await self.store.put("op", "evacuate/z-b", [])
        before = self.counts()
        await asyncio.sleep(2)
        self.expect_served(before, "a row about the other failure domain is odd")
        since_all = await self.evacuate("z-b")
        await asyncio.sleep(EFFECT_S)
        for k in range(self.options.gateways):
            await self.expect_refusal(k)
        self.expect_nothing("z-a", since, "an odd row")
        await self.hold(["z-b"], since_all, "both")
        await self.release("z-b")
        await self.expect_use("z-b", time.monotonic(), "one of both")
        self.expect_nothing("z-a", since, "the other of both")

    async def expect_refusal(self, k):
        started = time.monotonic()
        connection = (*await asyncio.open_connection(self.gateway_ip(k), 8080), "")
        status, _ = await self.exchange("safe", attempt_id(self.random, k), connection)
        took = time.monotonic() - started
        if status != "503" or took > REFUSAL_S or not self.retry_after:
            self.check.add_violation("REFUSAL", f"gateway-{k} answered {status} after {took:.2f} s "
                                     f"with Retry-After {self.retry_after}")

    def check_answer(self, kind, attempt, status, headers, body):
        self.retry_after = headers.get("retry-after")
        super().check_answer(kind, attempt, status, headers, body)

    async def play_start(self):
        """A gateway starts while a failure domain is evacuated (z-a still is)."""
        await self.gateways[1].restart(signal.SIGKILL, 0.2)
        since = time.monotonic() - EFFECT_S
        await asyncio.sleep(START_S)
        self.expect_nothing("z-a", since, "a gateway that has started")
        await self.expect_state("z-a")

    async def play_restored(self):
        """The store returns from a copy without the row: its content counts."""
        await self.evacuate("z-a")
        copy = self.store.copy()
        await self.expect_use("z-a", await self.release("z-a"), "removed")
        since = await self.evacuate("z-b")
        await self.hold(["z-b"], since, "before the copy")
        await self.store.restore(copy, 0.5)
        restored_at = time.monotonic()
        await self.expect_use("z-b", restored_at, "the copy has no row")
        # The gateways call again after at most the time between two retries.
        await self.hold(["z-a"], restored_at + 1.5, "the copy has a row")
        await self.release("z-a")

    async def run(self):
        ended = False
        callers = [asyncio.create_task(self.caller(lambda: 0 if ended else float("inf")))
                   for _ in range(self.options.callers)]
        await asyncio.sleep(2)
        await self.play_without_store()
        await self.play_unsent()
        await self.play_silent()
        await self.play_all()
        cut = sum(n for key, n in self.outcome_counts.items()
                  if key.endswith((" cut", " timeout", " 502", " 504")))
        if cut > 0:
            self.check.add_violation("LOST", f"{cut} requests in flight were disturbed")
        await self.play_start()
        await self.play_restored()
        ended = True
        await asyncio.gather(*callers)
