"""Upstreams that are cold after a start, or all at once without one."""
import asyncio
import signal
import time

from soak import Soak
from standin import Runner

# What the service states, and the bound of the users' pages for any second.
COLD_START_S, COLD_PER_S = 3.0, 26.0
COLD_OVERAGE, COLD_ALLOWANCE = 1.5, 5
BOUND = COLD_PER_S * COLD_OVERAGE + COLD_ALLOWANCE
# Time after which all gateways have read that an upstream is cold without a restart: they read
# changes of upstreams every 0.5 s.
KNOWN_S = 1.5


class ColdRunner(Runner):
    """States in its row and in its answers how long it is cold, and is slower meanwhile."""

    cold_until = 0.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cold_windows, self.sent_here = [], []

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def chill(self, duration_s, known_s):
        now = time.monotonic()
        self.cold_until = now + duration_s
        self.cold_windows.append((now + known_s, self.cold_until))

    def store_row(self):
        return {**super().store_row(), "coldLeftMs": self.cold_left_ms()}

    def answer_headers(self, attempt):
        return super().answer_headers(attempt) + [
            ("Burdockwind-Cold-Start-Ms", str(self.cold_left_ms()))]

    def assign_new_id(self):
        super().assign_new_id()
        if self.store is not None:
            self.chill(COLD_START_S, 0)

    async def handle(self, method, target, headers, body, writer):
        if headers.get("burdockwind-expect-instance") == self.id:
            self.sent_here.append(time.monotonic())
        if self.cold_left_ms() > 0:
            self.work_s = (0.8, 0.9)
        else:
            self.work_s = (0.03, 0.03)
        return await super().handle(method, target, headers, body, writer)


class ColdUpstreamsScenario(Soak):
    """An upstream starts again; later all are cold at once, and three gateways are killed."""

    CALLERS = 60

    def runner_class(self, check, service, *arguments):
        return (ColdRunner if service == "plain" else Runner)(check, service, *arguments)

    def configuration(self):
        configuration = super().configuration()
        for service in configuration["services"]:
            if service["name"] == "plain":
                service.update(coldStartS=COLD_START_S, coldPerS=COLD_PER_S)
        return configuration

    def gateway_process(self, k):
        process = super().gateway_process(k)
        process.arguments += [f"--cold-overage={COLD_OVERAGE}",
                              f"--cold-allowance={COLD_ALLOWANCE}"]
        return process

    async def safe_caller(self, end_time):
        while time.monotonic() < end_time:
            k = self.random.randrange(self.options.gateways)
            await self.request("safe", None, [f"{self.gateway_ip(k)}:8080"])
            await asyncio.sleep(self.random.random() * 0.1)

    async def run(self):
        began = time.monotonic()
        callers = [asyncio.create_task(self.safe_caller(began + 22)) for _ in range(self.CALLERS)]
        await asyncio.sleep(5)
        await self.plain_runners[0].restart()
        await asyncio.sleep(5)
        for runner in self.plain_runners:
            runner.chill(6, KNOWN_S)
            await self.store.put("servers", runner.id, runner.store_row())
        await asyncio.sleep(2)
        await asyncio.gather(*(gateway.restart(signal.SIGKILL, 0.3)
                               for gateway in self.gateways[:3]))
        await asyncio.gather(*callers)
        for runner in self.plain_runners:
            self.check_runner(runner)

    def check_runner(self, runner):
        for begin, end in runner.cold_windows:
            times = [t for t in runner.sent_here if begin <= t < end]
            most = max((sum(1 for u in times if t <= u < t + 1) for t in times), default=0)
            print(f"{runner.ip}: cold for {end - begin:.1f} s, {len(times)} requests, "
                  f"at most {most} in a second")
            if most > BOUND:
                self.check.add_violation("COLD", f"{runner.ip} got {most} requests in a second")
            if not times:
                self.check.add_violation("USE", f"{runner.ip} got no request while it was cold")
        if not any(t > runner.cold_until + 1 for t in runner.sent_here):
            self.check.add_violation("USE", f"{runner.ip} got no request after it was cold")
