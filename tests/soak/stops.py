"""Planned stops: which requests a gateway that stops has to answer, and a scenario of them."""
import asyncio
import random
import signal
import time

from standin import Runner, attempt_id, read_head

# Bounds of the users' pages, in s: from SIGTERM to SIGKILL; from the last byte of a request until
# the end of its connection counts as a loss though it was not passed on; time of SIGTERM within
# which a request may be sent that is cut off at the end of the grace time.
GRACE_S, LOSS_SLACK_S, EARLY_S = 8.0, 0.2, 3.0
# A request whose upstream still works in the last part of the grace time may be cut off.
LAST_PART_S = GRACE_S / 6
# Answers are measured by callers that share one thread.
TIME_UP_SLACK_S = 0.05
# Time in which a program is loaded and reaches its first line on a busy machine.
LOAD_S = 1.0
# A request is not judged if something unplanned happened for this time before it.
STABILITY_S = 3.0


class SentRequest:
    """A request as its caller sees it; ending is whole, refused, failed, left or cut."""

    def __init__(self, attempt, kind, gateway, timeout_s):
        self.attempt, self.kind, self.gateway, self.timeout_s = attempt, kind, gateway, timeout_s
        self.sent_at = self.ended_at = self.ending = None

    def end(self, ending):
        self.ended_at, self.ending = time.monotonic(), ending

    def end_with_status(self, status):
        self.end("refused" if status in (408, 421, 429, 503) else
                 "failed" if status in (502, 504) else "whole")


class StopCheck:
    """Finds requests that a gateway has lost around a planned stop."""

    def __init__(self, check):
        self.check, self.requests, self.stops, self.disturbances = check, [], [], []

    def begin(self, attempt, kind, gateway, timeout_s):
        request = SentRequest(attempt, kind, gateway, timeout_s)
        self.requests.append(request)
        return request

    def find_running(self, since):
        """A plain request that was sent later and runs now, or None."""
        return next((request for request in self.requests
                     if request.kind != "stream" and request.ending is None
                     and (request.sent_at or 0) > since and request.attempt in self.check.runs), None)

    def stop_of(self, request):
        """Time of the last SIGTERM that the request falls under, or None."""
        for gateway, at in reversed(self.stops):
            if (gateway == request.gateway and request.ended_at >= at
                    and request.sent_at <= at + GRACE_S + 1):
                return at
        return None

    def is_disturbed(self, request):
        return any(began <= request.ended_at and ended >= request.sent_at - STABILITY_S
                   for began, ended in self.disturbances)

    def judge(self, request):
        """How a request ended: lost, or why it is not."""
        runs = self.check.runs.get(request.attempt, [])
        if request.ending in ("whole", "refused", "left"):
            return request.ending
        if self.is_disturbed(request):
            return "disturbed"
        if request.ended_at >= request.sent_at + request.timeout_s - TIME_UP_SLACK_S:
            return "time up"
        if any(broke for _, _, broke in runs):
            return "upstream broke off"
        if not runs and request.ended_at <= request.sent_at + LOSS_SLACK_S:
            return "not read"
        return self.judge_unanswered(request, runs)

    def judge_unanswered(self, request, runs):
        stopped_at = self.stop_of(request)
        if request.ending == "failed":
            in_stop = stopped_at is not None and request.sent_at > stopped_at
            return "lost" if in_stop else "failed"
        if stopped_at is None or request.sent_at > stopped_at + EARLY_S:
            return "lost"
        worked_last = any(ended is None or ended >= stopped_at + GRACE_S - LAST_PART_S
                          for _, ended, _ in runs)
        return "long, sent early" if worked_last else "lost"

    def report(self, needed=0):
        """Reports the lost requests, and a lack of requests to judge: needed is how many have to be
        sent in stops, and how many of them answered whole. Returns a line on the endings."""
        judged, in_stops = {}, {}
        for request in self.requests:
            if request.ending is None or request.sent_at is None:
                continue
            verdict, stopped_at = self.judge(request), self.stop_of(request)
            judged[verdict] = judged.get(verdict, 0) + 1
            if stopped_at is not None and request.sent_at > stopped_at:
                in_stops[verdict] = in_stops.get(verdict, 0) + 1
            if verdict == "lost":
                self.check.add_violation("LOST", self.describe(request, stopped_at))
        if sum(in_stops.values()) < needed or (needed and not in_stops.get("whole")):
            self.check.add_violation("SETUP", f"only {in_stops} in {len(self.stops)} stops")
        text = ", ".join(f"{verdict} {count}" for verdict, count in sorted(in_stops.items()))
        return f"{len(self.stops)} stops, requests sent in them: {text}; all requests: {judged}"

    def describe(self, request, stopped_at):
        ended = f"ended without a whole answer ({request.ending})"
        if stopped_at is None:
            return (f"{request.attempt} ({request.kind}) at gateway-{request.gateway} {ended} after "
                    f"{request.ended_at - request.sent_at:.2f} s, without a stop")
        return (f"{request.attempt} ({request.kind}), sent {request.sent_at - stopped_at:.2f} s "
                f"after SIGTERM to gateway-{request.gateway}, {ended} at "
                f"{request.ended_at - stopped_at:.2f} s")


async def stop_process(process, sabotage=False):
    """Stops a process as the platform does, and starts it again. With sabotage it is killed
    long before the grace time is over, so that the check has to fail."""
    async with process.lock:
        process.note_disturbance()
        # A process that has not blocked the signals yet has read nothing, and SIGTERM ends it.
        allowed = [0, -signal.SIGKILL]
        if time.monotonic() < process.started_at + LOAD_S:
            allowed.append(-signal.SIGTERM)
        process.soak.stops.stops.append((int(process.name.split("-")[1]), time.monotonic()))
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.process.wait(), 0.3 if sabotage else GRACE_S)
        except asyncio.TimeoutError:
            process.send_signal(signal.SIGKILL)
            await process.process.wait()
            if not sabotage:
                process.soak.check.add_violation("LOST", f"{process.name} was still there at the "
                                                         "end of the grace time")
        if process.process.returncode not in allowed:
            process.soak.check.add_violation("END", f"{process.name} ended with status "
                                                    f"{process.process.returncode}")
        await process.start()
        process.note_disturbance()


def plan_stops(seed, begin_s, end_s, gateway_count):
    """Times in s and gateways of the planned stops of a seed: all at once at one of them, and one
    gateway alone at another one.

    The plan has a generator of its own. Drawn from the one that the callers use, the same seed
    gave from two to seven stops, depending on the order in which callers drew.
    """
    rng, times_s = random.Random(f"stops {seed}"), []
    at_s = begin_s
    while at_s < end_s:
        times_s.append(at_s)
        at_s += 3 + 9 * rng.random()
    counts = [rng.choice((1, 1, 1, 2, gateway_count)) for _ in times_s]
    counts[:2] = [gateway_count, 1][:len(counts)]
    rng.shuffle(counts)
    return [(at_s, rng.sample(range(gateway_count), count))
            for at_s, count in zip(times_s, counts)]


class StopScenario:
    """Callers keep their connections and their answers of the directory while gateways are
    stopped, one at a time or all together, and upstreams are slow."""

    SLOW_WORK_S, LONG_PAUSE_S, PLAIN_SLOTS = (0.03, 4.5), 1.4, 64
    SLOW_BODY_RATE, SLOW_BODY_S = 0.1, 1.5
    TIMEOUTS_MS = {"stream": 8000, "once": 6000, "safe": 6000}
    # Until all processes know each other, and again until callers have connections.
    START_S = 1.5
    NEEDED = 10

    def __init__(self, options):
        super().__init__(options)
        self.kinds = {kind: (prefix, method, self.TIMEOUTS_MS[kind])
                      for kind, (prefix, method, _) in self.kinds.items()}
        self.has_pauses = options.seed % 2 == 0
        self.streams_resume = options.seed % 3 != 0

    def runner_class(self, check, service, *arguments):
        if service == "plain":
            runner = Runner(check, service, *arguments, slots=self.PLAIN_SLOTS)
            runner.work_s = self.SLOW_WORK_S
        else:
            runner = Runner(check, service, *arguments)
            runner.pause_s = self.LONG_PAUSE_S if self.has_pauses else 0.0
        return runner

    async def write_request(self, writer, head, body):
        """Some callers send the body later than the head."""
        if not body or self.random.random() > self.SLOW_BODY_RATE:
            return await super().write_request(writer, head, body)
        writer.write(head + body[:len(body) // 2])
        await asyncio.sleep(self.random.random() * self.SLOW_BODY_S)
        writer.write(body[len(body) // 2:])
        return await writer.drain()

    async def sticky_caller(self, end_time):
        """Stays with its connection, and with the addresses that it was given at first."""
        await asyncio.sleep(self.START_S)
        addresses, connection = await self.resolve(), None
        while time.monotonic() < end_time:
            kind = self.random.choice(("stream", "stream", "once", "safe"))
            connection = await self.request(kind, connection, addresses)
            await asyncio.sleep(self.random.random() * 0.3)

    async def change_configuration(self, end_time):
        while time.monotonic() < end_time:
            await asyncio.sleep(1 + 4 * self.random.random())
            self.version += 1
            await self.store.put("op", "config", self.configuration())
            self.random.choice(self.gateways).send_signal(signal.SIGHUP)

    async def run(self):
        self.began = time.monotonic()
        end_time = self.began + self.options.seconds
        stops_end = end_time - GRACE_S - 1
        tasks = [asyncio.create_task(self.sticky_caller(end_time))
                 for _ in range(self.options.callers)]
        tasks.append(asyncio.create_task(self.change_configuration(stops_end)))
        for at_s, gateways in plan_stops(self.options.seed, 2 * self.START_S,
                                         stops_end - self.began, len(self.gateways)):
            await asyncio.sleep(self.began + at_s - time.monotonic())
            for k in gateways:
                tasks.append(asyncio.create_task(stop_process(self.gateways[k])))
        await asyncio.gather(*tasks)
        print(self.stops.report(self.NEEDED))


class StopEndScenario:
    """Gateways without requests are stopped, each with one caller that sends a part of a request
    line just before the gateway may end, and the rest of its request when it would."""

    # A gateway accepts connections for this time after SIGTERM, in s.
    ACCEPT_S = 3.5
    SPREAD_S = 0.1

    async def send_in_two_parts(self, text, attempt, k, stopped_at):
        """Returns the status, or cut."""
        begun = stopped_at + self.ACCEPT_S - self.SPREAD_S * self.random.random()
        rest_at = stopped_at + self.ACCEPT_S + self.SPREAD_S * self.random.random()
        first_bytes = self.random.randrange(1, text.index(b"\r\n"))
        try:
            await asyncio.sleep(begun - time.monotonic())
            try:
                reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8080)
            except ConnectionRefusedError:
                return "not accepted"
            writer.write(text[:first_bytes])
            await asyncio.sleep(rest_at - time.monotonic())
            writer.write(text[first_bytes:])
            head = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            head = None
        status = "cut" if head is None else head[0].split()[1]
        if status not in ("200", "503"):
            self.check.add_violation(
                "LOST", f"{attempt}, begun {begun - stopped_at:.2f} s after SIGTERM to gateway-{k} "
                        f"and sent whole at {rest_at - stopped_at:.2f} s, ended {status}")
        return status

    async def stop_gateway(self, k):
        attempt = attempt_id(self.random, k)
        text = (f"GET /safe/p?q=1 HTTP/1.1\r\nHost: h\r\nBurdockwind-Attempt-Id: {attempt}\r\n"
                "Burdockwind-Deadline-Ms: 1500\r\nAuthorization: Bearer key-a\r\n\r\n").encode()
        stop = asyncio.create_task(stop_process(self.gateways[k]))
        await asyncio.sleep(0)
        status = await self.send_in_two_parts(text, attempt, k, time.monotonic())
        key = f"late {status}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        await stop

    async def run(self):
        for _ in range(2):
            await asyncio.gather(*(self.stop_gateway(k) for k in range(len(self.gateways))))
            await asyncio.sleep(2)
        if self.outcome_counts.get("late 503", 0) + self.outcome_counts.get("late 200", 0) < 10:
            self.check.add_violation("SETUP", f"only {self.outcome_counts}")


class StopLimitScenario:
    """Requests that must not be repeated run longer than the stops of their gateways; some wait
    for an upstream when an operator ends a stop early."""

    TIMEOUT_MS, WORK_S, SLOTS, COUNT = 15000, (12.0, 12.5), 4, 4
    # The stop of a gateway with the grace time of the soak gives requests up at this time.
    LIMIT_S = 7.4

    def __init__(self, options):
        super().__init__(options)
        self.kinds = {**self.kinds, "once": (*self.kinds["once"][:2], self.TIMEOUT_MS)}

    def runner_class(self, check, service, *arguments):
        runner = Runner(check, service, *arguments, slots=self.SLOTS)
        runner.work_s = self.WORK_S
        return runner

    async def send(self, k):
        """Returns the status and the time of the answer."""
        attempt = attempt_id(self.random, k)
        status = "cut"
        try:
            reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8080)
            status, _ = await self.exchange("once", attempt, (reader, writer, ""))
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.outcome_counts[f"once {status}"] = self.outcome_counts.get(f"once {status}", 0) + 1
        return status, time.monotonic(), attempt in self.check.runs

    async def play(self, k, count, early):
        answers = [asyncio.create_task(self.send(k)) for _ in range(count)]
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(stop_process(self.gateways[k]))
        await asyncio.sleep(0)
        # Taken before the signal is sent; a time that is taken here may be later than its receipt.
        stopped_at = next(at for gateway, at in reversed(self.stops.stops) if gateway == k)
        if early:
            await asyncio.sleep(0.3)
            self.gateways[k].send_signal(signal.SIGINT)
        for status, ended_at, ran in await asyncio.gather(*answers):
            due = 0.3 if early else self.LIMIT_S
            if status != ("502" if ran else "503") or not due <= ended_at - stopped_at <= GRACE_S:
                self.check.add_violation(
                    "LOST", f"a request that {'ran' if ran else 'did not run'} ended with {status} "
                            f"{ended_at - stopped_at:.2f} s after SIGTERM to gateway-{k}")
        await stop

    async def run(self):
        limit = asyncio.create_task(self.play(1, self.COUNT, early=False))
        await asyncio.sleep(1)
        await self.play(0, 2 * self.COUNT, early=True)
        await limit
        if self.outcome_counts != {"once 502": 2 * self.COUNT, "once 503": self.COUNT}:
            self.check.add_violation("SETUP", f"unexpected outcomes: {self.outcome_counts}")
