"""Clients send heads of nearly maxHeaderBytes; the answers set cookies of the usual size."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

from bed import play  # noqa: E402
from plain import Channel, start  # noqa: E402

CHANNELS, REQUESTS = 4, 3

# A cookie of the largest size that clients have to keep, 4096 bytes (RFC 6265, section 6.1).
COOKIE_BYTES = 4000
COOKIES_SENT, COOKIES_SET = 4, 2

# The rule allows three.
LOST_MAX = 3


def cookie(number):
    name = f"session{number}="
    return name + "c" * (COOKIE_BYTES - len(name))


def respond(method, target, headers, body):
    return 200, [("Set-Cookie", cookie(n)) for n in range(COOKIES_SET)], b"b" * 800


async def client(bed, record, number, trouble):
    """Keeps a channel; the first request on it is small. Returns the attempts that ended with the
    channel."""
    channel, ended = Channel(bed, record), []
    for index in range(REQUESTS):
        attempt = f"{number:08x}{index:08x}"
        await channel.exchange("POST", "/once/p", f"{attempt[:-1]}f", (), b"x" * 600)
        lines = ([f"Cookie: {cookie(n)}" for n in range(COOKIES_SENT)]) if trouble else []
        if await channel.exchange("POST", "/once/p", attempt, lines, b"x" * 600) is None:
            ended.append(attempt)
    channel.close()
    return ended


async def case(bed, record, trouble):
    runners = await start(bed, record, respond)
    ended = await asyncio.gather(*[client(bed, record, n, trouble) for n in range(CHANNELS)])
    ran = {attempt for runner in runners for attempt, _, _, _ in runner.runs}
    lost = [attempt for attempts in ended for attempt in attempts if attempt in ran]
    record.add(f"{len(lost)} requests were run and their channels ended without an answer")
    if len(lost) > LOST_MAX:
        record.add_violation("LOST", f"{len(lost)} of {CHANNELS * REQUESTS} requests on kept "
                                     "channels were run and their channels closed without an answer")


if __name__ == "__main__":
    play(case, HERE)
