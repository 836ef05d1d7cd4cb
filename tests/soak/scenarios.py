#!/usr/bin/env python3
"""Incidents played against real gateways and rank agents, with a check of what upstreams get.

prompt-part: requests with one part in their prompts crash each upstream that runs them.
request: one request that comes again crashes each upstream that runs it.
slow-readers: large streams whose callers read them slowly.
stream-request: the same with a stream, at upstreams of two groups.
cold-upstreams: an upstream starts again, later all are cold at once, and gateways are killed.
limit: most upstreams name a limit of requests a second, and a gateway is started meanwhile.
endless-streams: bodies of streams without end, read quickly and slowly.
equal-callers: calls whose callers have more or less time, more than upstreams can end.
evacuation: failure domains are evacuated and used again; one gateway cannot reach the store.
event-ids: streams whose ids begin anywhere, broken off, and callers that resume them.
malformed-answers: answers whose heads are no heads of HTTP/1.1.
zero-status: answers with the status 000, to each kind of request.
faulty-answers: refusals written twice, heads cut, errors where a stream is to be resumed.
late-row: a row from before the notice of an upstream that leaves is written after it.
leaving-answers: an upstream says in its answers that it leaves, and the store is silent.
retry-after: an upstream rejects requests and names a time in which it wants none.
silent-poll: open connections of some gateways to the store go silent for good.
silent-poll-no-era: the same with a store that names no era.
silent-poll-all: the same at all gateways.
paused-stream: a stream pauses while all other upstreams are full.
odd-rows: other writers leave odd rows in all tables, and odd configurations.
planned-stop: gateways are stopped while callers stay with them and upstreams are slow.
stop-limit: requests run longer than the stops of their gateways.
stop-end: requests are sent when a gateway that is stopped would end.
restored: the store returns from a copy some seconds old, twice.
"""
import argparse
import asyncio
import os
import signal
import sys
import time

import soak
from cold import ColdUpstreamsScenario
from endless import EndlessStreamsScenario, SlowReadersScenario
from equal import EqualCallersScenario
from evacuation import EvacuationScenario
from eventids import EventIdsScenario
from faulty import FaultyAnswersScenario
from leaving import (LateRowScenario, LeavingAnswersScenario, PausedStreamScenario,
                     RetryAfterScenario)
from malformed import MalformedAnswersScenario, ZeroStatusScenario
from oddrows import OddRowsMixin
from restored import RestoredScenario
from standin import CRASHING_PART, CRASHING_PATH, CRASHING_STREAM_PATH, Runner
from stops import StopEndScenario, StopLimitScenario, StopScenario

# Bounds of the users' pages.
STABILITY_S = 3.0
CRASHES_MAX = 5
LATE_ARRIVALS_MAX = 3

GATEWAYS, RANKS, GROUPS = 9, 4, 2
CRASHING_SHARE = 0.15


# Limit that upstreams name, in requests a second, and the window of the users' check.
LIMIT_PER_S, LIMITED_SHARE = 2.0, 0.75
WINDOW_S, WINDOW_FACTOR, WINDOW_ALLOWANCE = 4.0, 1.5, 5
# Share of its limit that an upstream has to get while requests are refused or wait.
LIMIT_USE_MIN = 0.7


class Scenario(soak.Soak):
    """Callers that send streams to any gateway, each over a connection of its own."""

    def __init__(self, options):
        super().__init__(options)
        self.crashing = False
        # Start and whether the caller got a complete answer, of requests without the part.
        self.sound_requests = []

    def prompt(self):
        own = f"{self.random.getrandbits(64):016x}:674"
        if self.crashing and self.random.random() < CRASHING_SHARE:
            return f"5c1e07a2:40,{CRASHING_PART}:300,{own}"
        return f"5c1e07a2:40,{own}"

    async def exchange_stream(self, connection):
        prompt, started = self.prompt(), time.monotonic()
        attempt = f"{self.random.getrandbits(64):016x}"
        status = "cut"
        try:
            status, connection = await asyncio.wait_for(
                self.exchange("stream", attempt, connection,
                              f"Burdockwind-Prompt-Prefix: {prompt}\r\n"), 9)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.TimeoutError):
            connection = None
        if CRASHING_PART not in prompt:
            self.sound_requests.append((started, status == "200"))
        key = f"stream {status}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        return connection

    def pick_gateway(self):
        return self.random.randrange(GATEWAYS)

    async def stream_caller(self, end_time):
        connection = None
        while time.monotonic() < end_time:
            k = self.pick_gateway()
            try:
                reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8080)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            connection = await self.exchange_stream((reader, writer, ""))
            writer.close()
            await asyncio.sleep(self.random.random() * 0.3)
        return connection


class PromptPartScenario(Scenario):
    """All gateways are killed once in the middle, so that a successor knows only what lasts."""

    crashes_max = CRASHES_MAX

    def start_callers(self, end_time):
        return [self.stream_caller(end_time) for _ in range(self.options.callers)]

    async def kill_all_gateways(self):
        await asyncio.gather(*(gateway.restart(signal.SIGKILL, 0.3)
                               for gateway in self.gateways))

    async def run(self):
        self.began = time.monotonic()
        callers = [asyncio.create_task(caller)
                   for caller in self.start_callers(self.began + self.options.seconds)]
        await asyncio.sleep(5)
        self.crashing = True
        await asyncio.sleep((self.options.seconds - 5) * 0.6)
        await self.kill_all_gateways()
        await asyncio.gather(*callers)
        self.check_arrivals()
        self.check_sound_requests()

    def crash_times(self):
        return sorted(runner_crash for runner in self.runners + self.plain_runners
                      for runner_crash in runner.crash_times)

    def check_arrivals(self):
        crashes = self.crash_times()
        print(f"crashes: {' '.join(f'{t - self.began:.2f}' for t in crashes)}")
        if len(crashes) < self.crashes_max:
            return
        bound = crashes[self.crashes_max - 1] + STABILITY_S
        late = [t for runner in self.runners + self.plain_runners
                for t in runner.crashing_arrivals if t > bound]
        if len(late) > LATE_ARRIVALS_MAX:
            self.check.add_violation(
                "BUDGET", f"{len(late)} crashing requests reached upstreams later than "
                          f"{STABILITY_S} s after crash {self.crashes_max}; {len(crashes)} "
                          "crashes in all")

    def check_sound_requests(self):
        crashes = self.crash_times()
        if not crashes:
            self.check.add_violation("SETUP", "no upstream crashed")
            return
        since = crashes[min(len(crashes), self.crashes_max) - 1] + 2 * STABILITY_S
        before = [served for t, served in self.sound_requests if t < self.began + 5]
        after = [served for t, served in self.sound_requests if t > since]
        if len(after) < 20 or sum(after) * len(before) * 2 < sum(before) * len(after):
            self.check.add_violation("LOST", f"{sum(after)} of {len(after)} sound requests were "
                                             f"served after the crashes, before {sum(before)} of "
                                             f"{len(before)}")


class RequestScenario(PromptPartScenario):
    """Callers of a plain service; every third sound request is the same as others.

    The store returns from a copy of the start before all gateways are killed.
    """

    crashes_max = 3

    async def kill_all_gateways(self):
        runners = self.runners + self.plain_runners
        ids = {runner.id for runner in runners}
        await self.store.restore(self.copy, 0.3)
        for table, key in list(self.store.rows):
            if table == "servers" and key not in ids:
                await self.store.remove(table, key)
        for runner in runners:
            await self.store.put("servers", runner.id, runner.store_row())
        await asyncio.sleep(4)
        await super().kill_all_gateways()

    async def start(self):
        await super().start()
        runner = Runner(self.check, "plain", f"{self.net}.3.9")
        runner.store = self.store
        await runner.http.start()
        await self.store.put("servers", runner.id, runner.store_row())
        self.plain_runners.append(runner)
        self.copy = self.store.copy()

    def start_callers(self, end_time):
        return ([self.plain_caller(end_time) for _ in range(self.options.callers)]
                + [self.crashing_caller(end_time)])

    async def send(self, prefix):
        started, status, connection = time.monotonic(), "cut", None
        attempt = f"{self.random.getrandbits(64):016x}"
        try:
            connection = (*await asyncio.open_connection(
                self.gateway_ip(self.pick_gateway()), 8080), "")
            request = self.exchange("safe", attempt, connection, own_prefix=prefix,
                                    own_key=next(iter(soak.WORKSPACES_BY_KEY)))
            status = (await asyncio.wait_for(request, 2))[0]
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.TimeoutError):
            pass
        if connection is not None:
            connection[1].close()
        kind = "crash" if CRASHING_PATH.startswith(prefix) else "safe"
        key = f"{kind} {status}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        return started, status == "200"

    async def plain_caller(self, end_time):
        while time.monotonic() < end_time:
            own = "same" if self.random.random() < 0.33 else f"{self.random.getrandbits(32):x}"
            self.sound_requests.append(await self.send(f"/safe/{own}/"))
            await asyncio.sleep(0.1 + self.random.random() * 0.4)

    async def crashing_caller(self, end_time):
        while time.monotonic() < end_time:
            await asyncio.sleep(0.2 + self.random.random() * 0.3)
            if self.crashing:
                await self.send(CRASHING_PATH[:-1])


class StreamRequestScenario(PromptPartScenario):
    """A caller sends the same crashing stream again and again; the other group goes on.

    Of the streams that start in any WINDOW_S, the share WORST_SHARE has to be served.
    """

    WINDOW_S, WORST_SHARE = 2.0, 0.5
    CRASHES_ALLOWED = 2

    async def kill_all_gateways(self):
        pass

    def start_callers(self, end_time):
        return [*super().start_callers(end_time), self.crashing_caller(end_time)]

    def prompt(self):
        return f"5c1e07a2:40,{self.random.getrandbits(64):016x}:674"

    async def crashing_caller(self, end_time):
        while time.monotonic() < end_time:
            await asyncio.sleep(0.2 + self.random.random() * 0.6)
            if self.crashing:
                await self.send_crashing_stream()

    async def send_crashing_stream(self):
        attempt, connection, status = f"{self.random.getrandbits(64):016x}", None, "cut"
        try:
            connection = (*await asyncio.open_connection(
                self.gateway_ip(self.pick_gateway()), 8080), "")
            request = self.exchange("stream", attempt, connection,
                                    own_prefix=CRASHING_STREAM_PATH[:-1],
                                    own_key=next(iter(soak.WORKSPACES_BY_KEY)))
            status = (await asyncio.wait_for(request, 3))[0]
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.TimeoutError):
            pass
        if connection is not None:
            connection[1].close()
        self.outcome_counts[f"crash {status}"] = self.outcome_counts.get(f"crash {status}", 0) + 1

    def check_sound_requests(self):
        crashes = self.crash_times()
        if not crashes or len(crashes) > self.CRASHES_ALLOWED:
            self.check.add_violation("BUDGET", f"one request ended {len(crashes)} upstreams")
        starts = sorted(self.sound_requests)
        windows = [[served for t, served in starts if begin <= t < begin + self.WINDOW_S]
                   for begin, _ in starts if begin < starts[-1][0] - self.WINDOW_S]
        shares = [sum(served) / len(served) for served in windows]
        print(f"worst window: {min(shares):.2f} of the streams served")
        if min(shares) < self.WORST_SHARE:
            self.check.add_violation("LOST", f"{min(shares):.2f} of the streams of one window were "
                                             "served")


class LimitScenario(Scenario):
    """More requests than the upstreams take; half of the callers use one gateway only."""

    def pick_gateway(self):
        return 0 if self.random.random() < 0.5 else self.random.randrange(GATEWAYS)

    async def run(self):
        self.began = time.monotonic()
        end_time = self.began + self.options.seconds
        callers = [asyncio.create_task(self.stream_caller(end_time))
                   for _ in range(self.options.callers)]
        await asyncio.sleep(3)
        limited = self.runners[:int(len(self.runners) * LIMITED_SHARE)]
        for runner in limited:
            runner.limit = LIMIT_PER_S
        self.limited_at = time.monotonic()
        await asyncio.sleep((self.options.seconds - 3) / 2)
        await self.gateways[1].restart(signal.SIGTERM, 0.3)
        await asyncio.gather(*callers)
        for runner in limited:
            self.check_limit(runner, end_time)

    def check_limit(self, runner, end_time):
        since = self.limited_at + STABILITY_S
        times = [t for t in runner.arrivals if since < t < end_time]
        most = max((sum(1 for u in times if t <= u < t + WINDOW_S) for t in times), default=0)
        allowed = WINDOW_FACTOR * LIMIT_PER_S * WINDOW_S + WINDOW_ALLOWANCE
        rate = len(times) / (end_time - since)
        print(f"{runner.id}: at most {most} requests in {WINDOW_S} s, {rate:.2f} a second")
        if most > allowed:
            self.check.add_violation("LIMIT", f"{runner.id} got {most} requests in {WINDOW_S} s, "
                                              f"allowed {allowed}")
        if rate < LIMIT_USE_MIN * LIMIT_PER_S:
            self.check.add_violation("USE", f"{runner.id} got {rate:.2f} requests a second of the "
                                            f"{LIMIT_PER_S} that it takes")


class SilentPollScenario(Scenario):
    """An upstream leaves while a third of the gateways get no answer to their long polls."""

    names_era, silent_gateways = True, GATEWAYS // 3

    def log_path(self, k):
        return os.path.join(self.logs, f"gateway-{k}.log")

    async def start(self):
        self.store.names_era = self.names_era
        # A folder of logs may have those of an earlier run.
        self.log_offsets = [os.path.getsize(path) if os.path.exists(path) else 0
                            for path in map(self.log_path, range(GATEWAYS))]
        await super().start()

    async def run(self):
        self.began = time.monotonic()
        end_time = self.began + self.options.seconds
        callers = [asyncio.create_task(self.caller(lambda: end_time))
                   for _ in range(self.options.callers)]
        await asyncio.sleep(3)
        for proxy in self.proxies[:self.silent_gateways]:
            proxy.silence_open()
        await asyncio.sleep(1)
        runner = self.plain_runners[0]
        runner.state = "draining"
        await self.store.put("servers", runner.id, runner.store_row())
        runner.left_at = time.monotonic()
        await asyncio.gather(*callers)
        if not any(key.endswith(" 200") for key in self.outcome_counts):
            self.check.add_violation("SETUP", "no request was answered")
        self.check_logs()

    def check_logs(self):
        for k in range(self.silent_gateways):
            self.check_repeats(k)

    def check_repeats(self, k):
        """The repeated call does not use another connection that has gone silent."""
        with open(self.log_path(k), encoding="utf-8") as log:
            log.seek(self.log_offsets[k])
            repeats = sum('step="upstreams behind"' in line for line in log)
        if repeats > 1:
            self.check.add_violation("STORE", f"gateway-{k} repeated its call {repeats} times")


class SilentPollNoEraScenario(SilentPollScenario):
    """The store names no era, as one that was never restored, and the first configuration has
    the version 0."""

    names_era = False

    def __init__(self, options):
        super().__init__(options)
        self.version = 0


class SilentPollAllScenario(SilentPollNoEraScenario):
    """All gateways get no answer to their long polls."""

    silent_gateways = GATEWAYS

    def check_logs(self):
        pass


class EndlessBodiesScenario(EndlessStreamsScenario, soak.Soak):
    pass


class SlowCallersScenario(SlowReadersScenario, soak.Soak):
    pass


class PlannedStopScenario(StopScenario, soak.Soak):
    gateway_count = 3


class RequestsAtLimitScenario(StopLimitScenario, soak.Soak):
    gateway_count = 2


class LateRequestScenario(StopEndScenario, soak.Soak):
    pass


class OddRowsScenario(OddRowsMixin, soak.Soak):
    gateway_count = 3


SCENARIOS = {"cold-upstreams": ColdUpstreamsScenario,
             "endless-streams": EndlessBodiesScenario, "equal-callers": EqualCallersScenario,
             "evacuation": EvacuationScenario, "event-ids": EventIdsScenario,
             "faulty-answers": FaultyAnswersScenario, "late-row": LateRowScenario,
             "leaving-answers": LeavingAnswersScenario,
             "limit": LimitScenario, "malformed-answers": MalformedAnswersScenario,
             "odd-rows": OddRowsScenario,
             "paused-stream": PausedStreamScenario,
             "planned-stop": PlannedStopScenario, "prompt-part": PromptPartScenario,
             "request": RequestScenario, "restored": RestoredScenario,
             "retry-after": RetryAfterScenario,
             "slow-readers": SlowCallersScenario, "stream-request": StreamRequestScenario,
             "stop-end": LateRequestScenario, "stop-limit": RequestsAtLimitScenario,
             "silent-poll": SilentPollScenario, "silent-poll-no-era": SilentPollNoEraScenario,
             "silent-poll-all": SilentPollAllScenario,
             "zero-status": ZeroStatusScenario}


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=35)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--logs", default="/tmp/burdock-scenario")
    parser.add_argument("--net", type=int, default=0,
                        help="second number of the loopback addresses, for runs side by side")
    options = parser.parse_args()
    scenario_class = SCENARIOS[options.scenario]
    options.gateways = getattr(scenario_class, "gateway_count", GATEWAYS)
    options.sabotage, options.verbose = None, False
    scenario = scenario_class(options)
    await scenario.start()
    try:
        await scenario.run()
    finally:
        await scenario.stop()
    for violation in scenario.check.violations[:20]:
        print(violation)
    counts = " ".join(f"{k.replace(' ', '=')}:{v}"
                      for k, v in sorted(scenario.outcome_counts.items()))
    print(f"{options.scenario} seed {options.seed}: "
          f"problems={len(scenario.check.violations)} {counts}")
    sys.stdout.flush()
    # Exits without waiting for requests that the simulated platform still handles.
    os._exit(1 if scenario.check.violations else 0)


if __name__ == "__main__":
    asyncio.run(main())
