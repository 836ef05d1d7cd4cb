"""A model runner in trouble sends answers whose bodies go on without end, while requesters use
kept channels for requests to the sound runners of another service."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from deployment import (Channel, Deployment, Runner, new_attempt, receive,  # noqa: E402
                        request_bytes, run_case)

GATEWAYS, REQUESTERS_PER_GATEWAY, READERS_PER_GATEWAY = 3, 6, 2
CALM_S, TROUBLE_S, AFTER_S = 3.0, 4.0, 3.0

# LOST is broken if a machine does this to more requests than this.
LOST_MAX = 3

# Bytes that are no answer, as a log that is written into the wrong descriptor.
NO_ANSWER = b"worker 3 queue 17 depth 4 retry in 20 ms, last error: broken pipe, state waiting\n\n"
LIMIT_BYTES = 256 << 20


class TroubledRunner(Runner):
    """Sends bytes that are no answer in the bodies of streams while in trouble, each until the
    gateway closes the connection."""

    in_trouble = False

    async def stream(self, attempt, headers, writer):
        if not self.in_trouble:
            return await super().stream(attempt, headers, writer)
        sent_bytes = 0
        writer.write(self.stream_head(attempt, "Connection: close"))
        try:
            while sent_bytes < LIMIT_BYTES:
                writer.write(NO_ANSWER * 100)
                sent_bytes += len(NO_ANSWER) * 100
                await writer.drain()
        except ConnectionError:
            pass
        self.record.add(f"runner {self.id} closed an endless answer to {attempt} after "
                        f"{sent_bytes} bytes")
        return False


class Play:
    def __init__(self, record):
        self.record, self.lost = record, [[] for _ in range(GATEWAYS)]
        self.end = 0.0

    async def requester(self, deployment, gateway):
        """Sends bookings one after the other on a channel that it keeps."""
        channel = None
        while time.monotonic() < self.end:
            try:
                if channel is None:
                    channel = await Channel.open(deployment, gateway)
                if not await self.book(channel):
                    channel = None
            except (OSError, asyncio.TimeoutError):
                channel = None
                await asyncio.sleep(0.2)

    async def book(self, channel):
        """Returns whether the channel can be used again."""
        attempt = new_attempt()
        kept = channel.answered > 0
        channel.writer.write(request_bytes("POST", "/booking/slot", attempt, 1500, b"x" * 200))
        self.record.add(f"sent {attempt} to gateway-{channel.gateway} kept channel {int(kept)}")
        reply = await asyncio.wait_for(receive(channel), 3)
        self.record.add(f"answered {attempt} {reply[0] if reply else 'channel closed'}")
        if reply is None and kept and attempt in channel.deployment.ran:
            self.lost[channel.gateway].append(attempt)
        if reply is None or reply[1].get("connection", "").lower() == "close":
            channel.close()
            return False
        return True

    async def reader(self, deployment, gateway):
        """Has streams drafted one after the other and reads what comes until each ends."""
        while time.monotonic() < self.end:
            try:
                await self.draft(await Channel.open(deployment, gateway))
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)

    async def draft(self, channel):
        attempt = new_attempt()
        channel.writer.write(request_bytes("POST", "/notes/draft", attempt, 8000, b"x" * 700))
        self.record.add(f"sent {attempt} to gateway-{channel.gateway}, a stream")
        try:
            reply = await asyncio.wait_for(receive(channel), 8)
            self.record.add(f"answered {attempt} {reply[0] if reply else 'channel closed'}")
        finally:
            channel.close()


async def play(record, trouble):
    deployment = Deployment(record, gateways=GATEWAYS)
    case = Play(record)
    try:
        await deployment.start(TroubledRunner)
        for runner in deployment.runners:
            runner.work_s = 0.3
        case.end = time.monotonic() + CALM_S + TROUBLE_S + AFTER_S
        tasks = [asyncio.create_task(work(deployment, gateway)) for gateway in range(GATEWAYS)
                 for work in [case.requester] * REQUESTERS_PER_GATEWAY
                 + [case.reader] * READERS_PER_GATEWAY]
        await asyncio.sleep(CALM_S)
        deployment.runners[0].in_trouble = trouble
        await asyncio.sleep(TROUBLE_S)
        deployment.runners[0].in_trouble = False
        await asyncio.gather(*tasks)
        for process in deployment.processes:
            if not process.is_running():
                record.add(f"{process.name} ended with status {process.process.returncode}")
    finally:
        await deployment.stop()
    return [f"LOST: gateway-{k} closed the kept channels of {len(lost)} requests that sound "
            f"runners had" for k, lost in enumerate(case.lost) if len(lost) > LOST_MAX]


run_case(FOLDER, play)
