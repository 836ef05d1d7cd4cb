"""Streams whose event ids begin anywhere, broken off at any event, and callers that resume them."""
import asyncio
import os
import time
from dataclasses import dataclass, field

from events import FORMS, EventSequence
from soak import Soak
from standin import Runner, attempt_id

# Streams of each case, and time between two events in s.
REPEATS, EVENT_PAUSE_S = 4, 0.005
# More rests of streams than a gateway needs to learn the time of a route from them, and the time
# that each one takes.
RESTS, REST_S = 12, 0.1
# A request ends in the log after its caller has the whole answer.
LOG_WAIT_S = 5
BEYOND_64_BITS = 1 << 64


def numbered(first_id=0, id_step=1, count=6, form=FORMS[0]):
    return EventSequence(count, first_id, id_step, form)


@dataclass
class Case:
    """One stream and its caller.

    broken_after: events that the first run sends before it breaks off within the next one, or at
    the end of the stream. last_event_id: what the caller sends. ending: whole, or cut for a
    stream that cannot be resumed.
    """

    name: str
    events: EventSequence = field(default_factory=numbered)
    broken_after: int = None
    last_event_id: str = None
    ending: str = "whole"


TEXT_IDS = EventSequence(6, ids=[f"12-{letter}" for letter in "abcdef"])
LONG_IDS = EventSequence(6, ids=[BEYOND_64_BITS + index for index in range(6)])

CASES = [
    *(Case(f"ids from 0, broken off after {count} events", broken_after=count)
      for count in range(7)),
    *(Case(f"the ids 0, 10, 20, broken off after {count} events", numbered(0, 10),
           broken_after=count) for count in (1, 2, 6)),
    *(Case(f"ids from 0 in the form {form!r}, broken off", numbered(form=form), broken_after=1)
      for form in FORMS[1:]),
    *(Case(f"ids from {first_id}, broken off after {count} events", numbered(first_id),
           broken_after=count)
      for first_id in (1, 1 << 63, BEYOND_64_BITS - 6) for count in (1, 3)),
    Case("ids from 0, not broken off"),
    Case("event 0 alone", numbered(count=1)),
    Case("event 0 alone, broken off after it", numbered(count=1), broken_after=1),
    Case("event 1 alone, broken off after it", numbered(1, count=1), broken_after=1),
    *(Case(f"the caller resumes after {last_event_id}", last_event_id=last_event_id)
      for last_event_id in "0345"),
    *(Case(f"the caller resumes after 0, broken off after {count} more", broken_after=count,
           last_event_id="0") for count in range(5)),
    Case("the caller resumes after event 0, which is the only one", numbered(count=1),
         last_event_id="0"),
    *(Case(f"the caller names the event {text!r}", numbered(1), last_event_id=text)
      for text in ("abc", "-1", "", str(BEYOND_64_BITS))),
    *(Case(f"the caller names the event {text!r}, broken off", broken_after=2,
           last_event_id=text) for text in ("abc", "-1", "")),
    Case("ids that are text", TEXT_IDS),
    Case("ids that are text, broken off", TEXT_IDS, broken_after=2, ending="cut"),
    Case("ids beyond 64 bits", LONG_IDS),
    Case("ids beyond 64 bits, broken off", LONG_IDS, broken_after=2, ending="cut"),
    Case("ids beyond 64 bits, broken off within the first event", LONG_IDS, broken_after=0),
]


class EventIdRunner(Runner):
    """Sends the events of the case that the request names, those after its Last-Event-Id."""

    pause_s = EVENT_PAUSE_S

    async def stream(self, path, attempt, headers, writer):
        case = CASES[int(headers["x-case"])]
        first = case.events.first_after(headers.get("last-event-id"))
        breaks = case.broken_after is not None and self.check.run_counts[attempt] == 1
        self.check.starts.setdefault(attempt, []).append(first)
        writer.write(self.stream_head(attempt))
        for index in range(first, len(case.events)):
            if breaks and index == first + case.broken_after:
                return await self.break_off(writer, case.events.event(attempt, index)[:8])
            await self.send(writer, case.events.event(attempt, index))
        if breaks:
            return await self.break_off(writer, b"")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def send(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(EventIdRunner.pause_s)

    async def break_off(self, writer, part):
        if part:
            await self.send(writer, part)
        await asyncio.sleep(0.02)
        writer.transport.abort()
        return False


class EventIdsScenario(Soak):
    """Guards against events that are repeated, lost or taken for none because of their ids."""

    runner_class = EventIdRunner
    gateway_count = 2

    def __init__(self, options):
        super().__init__(options)
        self.check.starts = {}

    def gateway_process(self, k):
        """Most streams break off here, so the retry budget allows that."""
        process = super().gateway_process(k)
        process.arguments.append(f"--retry-allowance={100 * REPEATS * len(CASES)}")
        return process

    async def read_stream(self, k, number):
        """Reads the stream of a case; returns its attempt and what the caller saw."""
        case, attempt = CASES[number], attempt_id(self.random, k)
        self.check.bodies[attempt] = None
        lines = f"X-Case: {number}\r\n"
        if case.last_event_id is not None:
            lines += f"Last-Event-Id: {case.last_event_id}\r\n"
        reader, writer = await asyncio.open_connection(self.gateway_ip(k), 8080)
        try:
            # A path of its own: equal requests under which upstreams break off are refused.
            status, _ = await self.exchange("stream", attempt, (reader, writer, ""), lines,
                                            f"/stream/{attempt}/")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            status = "cut"
        finally:
            writer.close()
        return attempt, status

    def check_answer(self, kind, attempt, status, headers, body):
        self.check.bodies[attempt] = body

    async def play(self, k, number):
        case = CASES[number]
        attempt, status = await self.read_stream(k, number)
        body = self.check.bodies[attempt]
        first = case.events.first_after(case.last_event_id)
        ending = status
        if status == "200":
            ending = "whole" if body == case.events.text(attempt, first) else "wrong"
        key = ending if ending == case.ending else f"{ending} for {case.ending}"
        self.outcome_counts[key] = self.outcome_counts.get(key, 0) + 1
        starts = self.check.starts.get(attempt, [])
        if ending != case.ending:
            self.check.add_violation("ORDER", f"{case.name}: {ending} ({status}, {body!r}), runs "
                                              f"began at {starts}")
        if case.ending == "whole" and len(starts) > (1 if case.broken_after is None else 2):
            self.check.add_violation("RUNS", f"{case.name}: runs began at {starts}")

    def log_text(self, k):
        with open(os.path.join(self.logs, f"gateway-{k}.log"), encoding="utf-8") as log:
            log.seek(self.log_offsets[k])
            return log.read()

    async def start(self):
        self.check.bodies = {}
        paths = [os.path.join(self.logs, f"gateway-{k}.log") for k in range(self.options.gateways)]
        self.log_offsets = [os.path.getsize(path) if os.path.exists(path) else 0
                            for path in paths]
        await super().start()

    async def check_rests(self):
        """The rest of a stream after event 0 says nothing of the time that a whole one takes."""
        number = next(i for i, case in enumerate(CASES) if case.last_event_id == "0"
                      and case.broken_after is None)
        EventIdRunner.pause_s = REST_S / len(CASES[number].events)
        await asyncio.gather(*(self.play(0, number) for _ in range(RESTS)))
        EventIdRunner.pause_s = EVENT_PAUSE_S
        await self.play(0, number)
        ended, until = [], time.monotonic() + LOG_WAIT_S
        while len(ended) < RESTS + 1 and time.monotonic() < until:
            await asyncio.sleep(0.1)
            ended = [line for line in self.log_text(0).splitlines()
                     if 'step="request ended"' in line]
        if len(ended) != RESTS + 1 or any(" work_ms 0 " not in line for line in ended):
            self.check.add_violation("TIMES", f"of {RESTS} rests of streams, the gateway learned "
                                              f"the time of whole ones: {ended[-1:]}")

    async def run(self):
        began = time.monotonic()
        await self.check_rests()
        for number in range(len(CASES)):
            await asyncio.gather(*(self.play(repeat % self.options.gateways, number)
                                   for repeat in range(REPEATS)))
        print(f"{len(CASES)} cases of {REPEATS} streams in {time.monotonic() - began:.1f} s")
