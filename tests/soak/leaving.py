"""Upstreams that leave, pause in streams, or want no requests for a time, while the store is of no help."""
import asyncio
import time

from soak import Soak
from standin import Runner, answer


class LeavingScenario(Soak):
    """Callers use all gateways; after 3 s, one upstream of the plain service changes."""

    async def run(self):
        end_time = time.monotonic() + self.options.seconds
        callers = [asyncio.create_task(self.caller(lambda: end_time))
                   for _ in range(self.options.callers)]
        await asyncio.sleep(3)
        await self.change(self.plain_runners[0])
        await asyncio.gather(*callers)

    async def change(self, runner):
        raise NotImplementedError


class LateRowScenario(LeavingScenario):
    """A write from before its notice reaches the store late, as its last one."""

    async def change(self, runner):
        available = runner.store_row()
        runner.state = "draining"
        await self.store.put("servers", runner.id, runner.store_row())
        runner.left_at = time.monotonic()
        await asyncio.sleep(1)
        await self.store.put("servers", runner.id, available)


class LeavingAnswersScenario(LeavingScenario):
    """No gateway gets an answer from the store; the upstream says in its answers that it
    leaves."""

    async def change(self, runner):
        for proxy in self.proxies:
            proxy.set_mode("silent")
        await asyncio.sleep(1)
        runner.says_leaving = True


class RetryAfterScenario(LeavingScenario):
    """The upstream rejects requests and names a time in which it wants none."""

    RETRY_AFTER_S = 2.5

    async def change(self, runner):
        runner.retry_after_s = self.RETRY_AFTER_S
        await asyncio.sleep(self.options.seconds - 6)
        runner.retry_after_s = None
        resumed_at, count = time.monotonic(), len(runner.arrivals)
        await asyncio.sleep(3)
        if len(runner.arrivals) == count:
            self.check.add_violation("USE", f"{runner.id} got no request in the "
                                            f"{time.monotonic() - resumed_at:.1f} s after its "
                                            "last rejection")


class PausingRunner(Runner):
    """Makes a pause in a stream; meanwhile all runners of the service reject streams."""

    PAUSE_AFTER, PAUSE_S, FULL_S = 5, 1.5, 2.0
    full_until = 0.0

    async def handle(self, method, target, headers, body, writer):
        if target.startswith("/stream/") and time.monotonic() < PausingRunner.full_until:
            attempt = headers.get("burdockwind-attempt-id", "")
            writer.write(answer(503, headers=[("Burdockwind-Not-Executed", "1"),
                                              ("Burdockwind-Attempt-Id", attempt)]))
            return True
        return await super().handle(method, target, headers, body, writer)

    async def pause_before(self, index):
        if index == self.PAUSE_AFTER and time.monotonic() > PausingRunner.full_until:
            PausingRunner.full_until = time.monotonic() + self.FULL_S
            await asyncio.sleep(self.PAUSE_S)


class PausedStreamScenario(Soak):
    """A stream pauses for longer than the stall timeout while all other upstreams are full."""

    STREAMS = 5

    def runner_class(self, check, service, *arguments):
        return (PausingRunner if service == "model" else Runner)(check, service, *arguments)

    async def run(self):
        addresses, connection = await self.resolve(), None
        for _ in range(self.STREAMS):
            connection = await self.request("stream", connection, addresses)
            await asyncio.sleep(max(0, PausingRunner.full_until - time.monotonic()) + 0.5)
        whole = self.outcome_counts.get("stream 200", 0)
        if whole < self.STREAMS:
            self.check.add_violation("LOST", f"{self.STREAMS - whole} of {self.STREAMS} streams "
                                             "had no whole answer")
