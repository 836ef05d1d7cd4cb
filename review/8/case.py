"""Streams whose events are numbered from 0. For 5 s at a time, half of the runners break one stream
in twenty off after its first event; the gateway resumes it at another runner. No requester may get
a piece twice."""
import asyncio
import os
import re
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from rig import (HOST, SERVICES, PlainRunner, Rig, disrupted, read_answer, request_head,  # noqa: E402
                 run_case)

ROUTE = {"name": "notes", "host": HOST, "prefix": "/notes/", "service": "app",
         "routeType": "streaming", "resumable": True, "timeoutMs": 8000, "sloMs": 400,
         "itlTargetMs": 120, "maxAttempts": 2, "priority": 1}
RUNNERS, EVENTS, EVENT_PAUSE_S = 6, 8, 0.02
STREAMS, STREAM_PAUSE_S = 800, 0.05
# kinds: "garble: share (.5) break off or spoil x (.02) of their answers", for_s 5 if not said; the
# site's days have x up to 0.05. It comes for 5 s in each 10 s.
FAULTY_RUNNERS, BROKEN_OF, FAULTY_S, PERIOD_S = 3, 20, 5, 10


def event(attempt, number):
    text = f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(text), text)


class Runner(PlainRunner):
    """Streams pieces 0 to 7, or those after Last-Event-Id."""

    faulty = False
    streams = 0

    def is_faulty_now(self):
        elapsed_s = time.monotonic() - self.record.started_at
        return self.faulty and elapsed_s % PERIOD_S < FAULTY_S

    def reset(self, writer):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                   struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def run(self, line, headers, body, writer):
        attempt, last = headers["burdockwind-attempt-id"], headers.get("last-event-id")
        fields = "".join(f"{n}: {v}\r\n" for n, v in self.head_fields(headers))
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Transfer-Encoding: chunked\r\n{fields}\r\n").encode())
        first = 0 if last is None else int(last) + 1
        breaks = False
        if first == 0 and self.is_faulty_now():
            self.streams += 1
            breaks = disrupted() and self.streams % BROKEN_OF == 0
        self.record.add(f"{self.id} streams {attempt} from {first}, Last-Event-Id {last}"
                        f"{', breaks off in the second event' if breaks else ''}")
        for number in range(first, EVENTS):
            if breaks and number == 1:
                writer.write(event(attempt, number)[:12])
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
                self.reset(writer)
                return False
            writer.write(event(attempt, number))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def requester(rig, record, attempt, broken):
    reader, writer = await rig.connect()
    writer.write(request_head("POST", "/notes/a", attempt, length=2, deadline_ms=8000) + b"ok")
    got = await asyncio.wait_for(read_answer(reader), 9)
    writer.close()
    if got is None or got[0] != 200:
        record.add(f"{attempt}: {'broken off' if got is None else got[0]}")
        return 0
    numbers = [int(n) for n in re.findall(rb"^id: (\d+)$", got[2], re.MULTILINE)]
    if numbers != list(range(EVENTS)):
        broken.append(f"{attempt} was answered 200, complete, with the pieces {numbers}")
    return 1


async def case(record):
    rig = Rig(record)
    rig.runners = [Runner(record, f"{rig.net}.3.{k + 1}", "app") for k in range(RUNNERS)]
    for runner in rig.runners[:FAULTY_RUNNERS]:
        runner.faulty = True
    broken, tasks = [], []
    try:
        await rig.start(rig.manifest([ROUTE], SERVICES))
        for k in range(STREAMS):
            tasks.append(asyncio.create_task(requester(rig, record, f"stream-{k}", broken)))
            await asyncio.sleep(STREAM_PAUSE_S)
        whole = sum(await asyncio.gather(*tasks))
        record.add(f"{STREAMS} streams, {whole} answered as complete")
        if whole < STREAMS / 2:
            raise RuntimeError(f"only {whole} of {STREAMS} streams were answered")
    finally:
        await rig.stop()
    return broken


run_case(FOLDER, case)
