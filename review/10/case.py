"""The reader of a gateway's log pauses for some seconds, a few times, while a client sends requests
with long paths of no route. Other requests have to be answered all the while."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from rig import (Rig, disrupted, read_answer, request_head, run_case, send_raw,  # noqa: E402
                 start_plain)

PAUSES, PAUSE_S, READING_S = 6, 5.0, 2.0
# Requests with long paths in each pause; the heads are inside maxHeaderBytes, 16,384.
LONG_REQUESTS, PATH_BYTES = 8, (9000, 15000)
# Ordinary requests, one after the other on each of some channels; timeoutMs of their route.
CHANNELS, REQUEST_PAUSE_S, TIMEOUT_S, LATE_S = 8, 0.1, 1.5, 0.5


class LogReader:
    """Reads the pipe to which a gateway writes its log, unless it is paused."""

    def __init__(self):
        self.end, self.paused, self.bytes = None, False, 0

    async def run(self):
        while True:
            if not self.paused:
                try:
                    chunk = os.read(self.end, 65536)
                    self.bytes += len(chunk)
                    if not chunk:
                        return
                    continue
                except BlockingIOError:
                    pass
            await asyncio.sleep(0.01)


class PipedRig(Rig):
    """Its gateway writes its log to a pipe."""

    def __init__(self, record):
        super().__init__(record)
        self.log_reader = LogReader()
        self.reading = None

    def open_log(self, name):
        self.log_reader.end, writing_end = os.pipe()
        os.set_blocking(self.log_reader.end, False)
        self.reading = asyncio.create_task(self.log_reader.run())
        return os.fdopen(writing_end, "wb")

    async def stop(self):
        await super().stop()
        if self.reading is not None:
            self.reading.cancel()


class Outcome:
    def __init__(self):
        self.sent, self.unanswered, self.late = 0, 0, 0


async def requester(rig, name, outcome, until):
    """Counts its requests that are unanswered at the timeout of the route, and half a second
    later."""
    number = 0
    while time.monotonic() < until:
        reader, writer = await rig.connect()
        while time.monotonic() < until:
            number += 1
            writer.write(request_head("GET", "/safe/ordinary", f"{name}-{number}"))
            outcome.sent += 1
            answer = asyncio.ensure_future(read_answer(reader))
            done, _ = await asyncio.wait([answer], timeout=TIMEOUT_S)
            if not done:
                outcome.unanswered += 1
                done, _ = await asyncio.wait([answer], timeout=LATE_S)
                if not done:
                    outcome.late += 1
                    rig.record.add(f"{name}-{number}: no answer {LATE_S} s after its timeout")
                    answer.cancel()
                    break
            if answer.result() is None:
                break
            await asyncio.sleep(REQUEST_PAUSE_S)
        writer.close()


async def long_request(rig, name):
    await asyncio.sleep(random.random() * 0.5)
    head = request_head("GET", "/gone/" + "p" * random.randint(*PATH_BYTES), name)
    await send_raw(rig, f"{name}, head of {len(head)} bytes", head, 0.2)


async def case(record):
    rig = await start_plain(record, rig_class=PipedRig)
    outcome = Outcome()
    try:
        until = time.monotonic() + PAUSES * (PAUSE_S + READING_S)
        callers = [asyncio.create_task(requester(rig, f"ordinary-{k}", outcome, until))
                   for k in range(CHANNELS)]
        for pause in range(PAUSES):
            await asyncio.sleep(READING_S)
            rig.log_reader.paused = disrupted()
            record.add(f"the reader of the log {'pauses' if disrupted() else 'goes on'}")
            await asyncio.gather(asyncio.sleep(PAUSE_S),
                                 *(long_request(rig, f"long-{pause}-{k}")
                                   for k in range(LONG_REQUESTS)))
            rig.log_reader.paused = False
            record.add("the reader of the log reads on")
        await asyncio.gather(*callers)
        await asyncio.sleep(1)
        again = await send_raw(rig, "after the pause", request_head("GET", "/safe/a", "after"))
        record.add(f"{outcome.sent} ordinary requests, {outcome.unanswered} unanswered at their "
                   f"route's timeoutMs, {outcome.late} of them half a second later; after the "
                   f"pause answered {again}")
        print(f"sent {outcome.sent} unanswered {outcome.unanswered} late {outcome.late}")
    finally:
        await rig.stop()
    if outcome.late * 2 <= outcome.unanswered or outcome.late == 0:
        return []
    return [f"{outcome.late} of the {outcome.unanswered} requests that were unanswered at their "
            "route's timeoutMs had no answer half a second later"]


run_case(FOLDER, case)
