"""Clients that look up many slots at once, by a query of some hundred fields, beside others."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import plain  # noqa: E402
from bed import play, read_answer, request_head  # noqa: E402

GATEWAYS, CLIENTS, PLAY_S = 3, 9, 30.0
RESTART_S = 0.3

# Fields of a long query, without trouble and with it. A head then has about 5 KB of the 16,384
# bytes of maxHeaderBytes.
FEW, MANY = 60, 400

# Time that a client waits, in ms, and the bound of the rule CONFIG beyond timeoutMs, in s.
DEADLINE_MS, LATE_S = 1500, 0.5


class Judge:
    """CONFIG: requests that were unanswered at timeoutMs, and half a second later."""

    def __init__(self, record):
        self.record, self.late, self.never, self.answered, self.closed = record, 0, 0, 0, 0

    def add_answer(self, after_s):
        self.answered += 1
        self.late += after_s > plain.TIMEOUT_MS / 1000
        self.never += after_s > plain.TIMEOUT_MS / 1000 + LATE_S

    def add_silence(self):
        self.late += 1
        self.never += 1

    def conclude(self):
        self.record.add(f"of all requests {self.answered} were answered, {self.closed} ended with "
                        f"their channel; {self.late} were unanswered at timeoutMs, {self.never} "
                        f"of these 0.5 s later too")
        if self.never > self.late / 2:
            self.record.add_violation("CONFIG", f"{self.never} of {self.late} requests that were "
                                                f"unanswered at timeoutMs had no answer 0.5 s "
                                                f"later")


async def look_up(bed, record, judge, gateway, target):
    """Sends a request on a new channel, as a client that keeps none."""
    attempt = f"{random.getrandbits(64):016x}"
    began = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(bed.gateway_ip(gateway), 8227), 1)
        writer.write(request_head("GET", target, attempt, DEADLINE_MS))
        record.add(f"{attempt} sent to gateway {gateway}: target of {len(target)} bytes")
        began = time.monotonic()
        status, _, _ = await asyncio.wait_for(read_answer(reader), DEADLINE_MS / 1000)
        record.add(f"{attempt} answered {status} after {time.monotonic() - began:.3f} s")
        judge.add_answer(time.monotonic() - began)
    except asyncio.TimeoutError:
        if writer is not None:
            record.add(f"{attempt} not answered in {DEADLINE_MS} ms")
            judge.add_silence()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        record.add(f"{attempt} not answered, the channel ended: {type(error).__name__}")
        judge.closed += 1
    if writer is not None:
        writer.close()


async def client(bed, record, judge, end):
    while time.monotonic() < end:
        await look_up(bed, record, judge, random.randrange(GATEWAYS), "/safe/slots?zone=akl-a")
        await asyncio.sleep(random.uniform(0.1, 0.3))


async def searching_client(bed, record, judge, end, fields):
    number = 0
    while time.monotonic() < end:
        ids = "&".join(f"id={random.getrandbits(32):08x}" for _ in range(fields))
        await look_up(bed, record, judge, number % GATEWAYS, f"/safe/slots?{ids}")
        number += 1
        await asyncio.sleep(0.5)


async def keep_running(bed, record, process, ends):
    """Starts a process again that ends by itself, as the platform does."""
    while True:
        status = await process.process.wait()
        if status == 0 or bed.ended:
            return
        ends.append(process.name)
        record.add(f"{process.name} ended by itself with status {status}")
        await asyncio.sleep(RESTART_S)
        await process.start()


def respond(method, target, headers, body):
    return 200, [], b"b" * 800


async def case(bed, record, trouble):
    await plain.start(bed, record, respond, gateways=GATEWAYS)
    judge, ends = Judge(record), []
    gateways = [asyncio.create_task(keep_running(bed, record, process, ends))
                for process in bed.processes]
    end = time.monotonic() + PLAY_S
    await asyncio.gather(searching_client(bed, record, judge, end, MANY if trouble else FEW),
                         *(client(bed, record, judge, end) for _ in range(CLIENTS)))
    ready = [await bed.is_ready(k) for k in range(GATEWAYS)]
    record.add(f"at the end ready: {ready}; ended by themselves: {ends or 'none'}")
    for task in gateways:
        task.cancel()
    judge.conclude()
    if sum(ends.count(name) >= 3 for name in set(ends)) >= 2:
        record.add_violation("Fault", f"processes ended by themselves: {ends}")


if __name__ == "__main__":
    play(case, HERE, os.environ.get("TROUBLE", "1") != "0")
