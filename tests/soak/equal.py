"""Callers that differ only in the time that they have, at a load above what upstreams can end."""
import asyncio
import time

import soak
from standin import body_of, read_body, read_head

ROUTE_MS = 3000
# Time in ms that each kind of caller has; both are enough.
LEFT_MS = (3000, 2800)
WORK_S = 0.16
LOAD = 1.5
# Equal callers are answered equally often, and what the upstreams can end is answered.
DIFFERENCE_MAX = 0.05
ENDED_MIN = 0.9
WARM_UP_S = 4.0


class EqualCallersScenario(soak.Soak):
    """Each caller sends one call and waits for its answer until its time ends."""

    gateway_count = 2

    def __init__(self, options):
        super().__init__(options)
        self.kinds = {**self.kinds, "safe": ("/safe/", "GET", ROUTE_MS)}
        self.results = []  # kind of caller, answered

    async def send(self, left_ms):
        attempt = soak.attempt_id(self.random, self.random.randrange(self.gateway_count))
        reader, writer = await asyncio.open_connection(
            self.gateway_ip(soak.gateway_of(attempt)), 8080)
        try:
            writer.write((f"GET /safe/p?q=1 HTTP/1.1\r\nHost: h\r\n"
                          f"Burdockwind-Attempt-Id: {attempt}\r\n"
                          f"Burdockwind-Deadline-Ms: {left_ms}\r\n"
                          f"Authorization: Bearer key-a\r\n\r\n").encode())
            head = await read_head(reader)
            if head is None:
                return "cut"
            body = await read_body(reader, head[1])
            status = head[0].split()[1]
            if status == "200" and body != body_of(attempt):
                self.check.add_violation("MIXED", f"{attempt} received a wrong answer")
            return status
        finally:
            writer.close()

    async def call(self, kind, counted):
        left_ms = LEFT_MS[kind]
        try:
            status = await asyncio.wait_for(self.send(left_ms), left_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = "left"
        key = f"{left_ms}ms {status}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        if counted:
            self.results.append((kind, status == "200"))

    async def run(self):
        slots = sum(runner.slots for runner in self.plain_runners)
        for runner in self.plain_runners:
            runner.work_s = (WORK_S, WORK_S)
        possible_per_s = slots / WORK_S
        began, due, calls = time.monotonic(), time.monotonic(), []
        while due < began + self.options.seconds:
            await asyncio.sleep(max(0, due - time.monotonic()))
            counted = due > began + WARM_UP_S
            calls.append(asyncio.create_task(self.call(self.random.randrange(2), counted)))
            due += self.random.expovariate(possible_per_s * LOAD)
        await asyncio.gather(*calls)
        self.check_results(possible_per_s * (self.options.seconds - WARM_UP_S))

    def check_results(self, possible):
        answered = [[a for k, a in self.results if k == kind] for kind in range(2)]
        shares = [sum(a) / max(1, len(a)) for a in answered]
        ended = sum(map(sum, answered)) / possible
        print(f"answered {shares[0]:.3f} of {LEFT_MS[0]} ms, {shares[1]:.3f} of {LEFT_MS[1]} ms; "
              f"{ended:.3f} of what the upstreams can end")
        if abs(shares[0] - shares[1]) > DIFFERENCE_MAX:
            self.check.add_violation("EQUAL", "equal callers are not answered equally often")
        if ended < ENDED_MIN:
            self.check.add_violation("ENDED", f"{ended:.3f} of what the upstreams can end")
