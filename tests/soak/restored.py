"""The store returns from a copy some seconds old, twice, while routes and upstreams change."""
import asyncio
import signal
import time

from standin import Runner
from soak import Soak

# Bounds of the users' pages, in s: a confirmed configuration is in force, and expired rows of
# upstreams are written again.
APPLY_S, REWRITE_S = 2.0, 2.0
# Time from the return of the store until the operator has written the configuration again.
OPERATOR_S = 2.5
# A gateway that has just started may refuse requests for this time.
START_S = 4.0
PROBE_GAP_S = 0.15
# A probe ends after this time. One that is in progress when its gateway is killed is cut.
PROBE_S = 2.0


class RestoredScenario(Soak):
    """Probes of each added route at each gateway, beside callers.

    In the era before the first restore, a route is added, an upstream leaves and another one
    starts. One gateway starts just after the return of the store.
    """

    def __init__(self, options):
        super().__init__(options)
        self.added_routes = {}  # prefix: time of the confirmation
        self.probes = []        # time, gateway, prefix, status
        self.probe_attempts = set()
        self.restarted_at = 0.0
        self.restored_at = []

    def configuration(self):
        configuration = super().configuration()
        safe = next(r for r in configuration["routes"] if r["name"] == "safe")
        configuration["routes"] += [{**safe, "name": prefix.strip("/"), "prefix": prefix}
                                    for prefix in self.added_routes]
        return configuration

    async def add_route(self, prefix):
        self.version += 1
        self.added_routes[prefix] = time.monotonic() + 3600
        await self.store.put("op", "config", self.configuration())
        self.added_routes[prefix] = time.monotonic()

    async def add_versions(self, count):
        for k in range(count):
            await self.store.put("other", f"row-{k}", {})

    async def probe(self, k, prefix):
        started, status = time.monotonic(), "cut"
        attempt = f"{self.random.getrandbits(64):016x}"
        try:
            connection = (*await asyncio.open_connection(self.gateway_ip(k), 8080), "")
            self.probe_attempts.add(attempt)
            request = self.exchange("safe", attempt, connection, own_prefix=prefix)
            status = (await asyncio.wait_for(request, PROBE_S))[0]
            connection[1].close()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.TimeoutError):
            pass
        self.probes.append((started, k, prefix, status))

    def check_answer(self, kind, attempt, status, headers, body):
        if attempt not in self.probe_attempts:
            super().check_answer(kind, attempt, status, headers, body)

    async def probe_routes(self, end_time):
        while time.monotonic() < end_time:
            for k in range(self.options.gateways):
                for prefix in list(self.added_routes):
                    await self.probe(k, prefix)
            await asyncio.sleep(PROBE_GAP_S)

    async def start_upstream(self, number):
        runner = Runner(self.check, "plain", f"{self.net}.3.{number}")
        runner.store = self.store
        await runner.http.start()
        await self.store.put("servers", runner.id, runner.store_row())
        self.plain_runners.append(runner)
        return runner

    async def retire_upstream(self, runner):
        """The upstream leaves; it goes on answering, so that a late request is seen."""
        runner.state = "draining"
        await self.store.put("servers", runner.id, runner.store_row())
        runner.left_at = time.monotonic()
        await asyncio.sleep(2.5)
        await self.store.remove("servers", runner.id)
        self.plain_runners.remove(runner)

    async def write_again(self, runner, delay_s):
        await asyncio.sleep(delay_s)
        await self.store.put("servers", runner.id, runner.store_row())

    async def expire(self, runner):
        """The platform removes the entry that the copy has of an upstream that is gone."""
        await asyncio.sleep(3.6)
        await self.store.remove("servers", runner.id)

    async def restore(self, copy, away_s, operator_s, gone):
        await self.store.restore(copy, away_s)
        self.restored_at.append(time.monotonic())
        rewrites = [self.write_again(runner, self.random.uniform(0.2, REWRITE_S - 0.2))
                    for runner in self.runners + self.plain_runners]
        tasks = [asyncio.create_task(work) for work in rewrites + [self.expire(gone)]]

        async def write_configuration():
            await asyncio.sleep(operator_s)
            await self.store.put("op", "config", self.configuration())
        tasks.append(asyncio.create_task(write_configuration()))
        return tasks

    async def run(self):
        self.began = time.monotonic()
        end_time = self.began + self.options.seconds
        tasks = [asyncio.create_task(self.caller(lambda: end_time))
                 for _ in range(self.options.callers)]
        tasks.append(asyncio.create_task(self.probe_routes(end_time)))
        gone = self.plain_runners[0]
        await asyncio.sleep(1)
        await self.add_route("/one/")
        await asyncio.sleep(1)
        copy = self.store.copy()
        await self.add_versions(60)
        await self.add_route("/two/")
        started = await self.start_upstream(9)
        await self.retire_upstream(gone)
        await asyncio.sleep(3)
        tasks += await self.restore(copy, 0.5, OPERATOR_S, gone)
        self.restarted_at = time.monotonic()
        await self.gateways[0].restart(signal.SIGKILL, 0.1)
        await asyncio.sleep(OPERATOR_S + 0.5)
        copy = self.store.copy()
        await self.add_route("/three/")
        await asyncio.sleep(2.5)
        tasks += await self.restore(copy, 0.3, 0.3, gone)
        await self.add_versions(12)
        await self.add_route("/four/")
        await asyncio.gather(*tasks)
        self.check_probes(end_time)
        self.check_started(started)

    def check_probes(self, end_time):
        for started, k, prefix, status in self.probes:
            age_s = started - self.added_routes[prefix]
            if age_s < APPLY_S or status == "200":
                continue
            since_restart_s = started - self.restarted_at
            if k == 0 and -PROBE_S < since_restart_s < START_S and status != "404":
                continue
            self.check.add_violation(
                "CONFIG", f"gateway-{k} answered {status} on {prefix} at "
                          f"{started - self.began:.2f} s, {age_s:.2f} s after its confirmation")
        last = {(k, prefix) for started, k, prefix, status in self.probes
                if status == "200" and started > end_time - 3}
        if len(last) != self.options.gateways * len(self.added_routes):
            self.check.add_violation("CONFIG", f"{len(last)} of the routes were served in the end")

    def check_started(self, runner):
        """An upstream that the copy does not know is used until it has written its entry."""
        since = self.restored_at[0]
        early = [t for t in runner.arrivals if since < t < since + REWRITE_S]
        late = [t for t in runner.arrivals if t > self.restored_at[-1] + REWRITE_S]
        print(f"restores at {' '.join(f'{t - self.began:.2f}' for t in self.restored_at)} s; "
              f"probes {len(self.probes)}; requests to the upstream unknown to the copy: "
              f"{len(early)} and {len(late)}")
        if not early or not late:
            self.check.add_violation("LOST", f"{runner.id} got {len(early)} and {len(late)} requests")
