"""Upstreams that leave, or want no requests for a time, while the store is of no help."""
import asyncio
import time

from soak import Soak


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
