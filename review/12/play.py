"""Look-ups with a method of more than seven letters, and look-ups by GET that have a body."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

from bed import play  # noqa: E402
from plain import Channel, start  # noqa: E402

QUERY = b'{"from":"2026-12-07","to":"2026-12-14"}'

# Method and body; the first ones are also sent without trouble.
PLAIN = (("GET", b""), ("POST", QUERY), ("PUT", QUERY), ("DELETE", b""), ("OPTIONS", b""))
UNUSUAL = (("PROPFIND", QUERY), ("SUBSCRIBE", b""), ("GET", QUERY), ("MKCALENDAR", QUERY))
ROUNDS = 3


def respond(method, target, headers, body):
    return 200, [], b"b" * 800


async def case(bed, record, trouble):
    runners = await start(bed, record, respond)
    channel, sent = Channel(bed, record), {}
    for number in range(ROUNDS):
        for method, body in PLAIN + (UNUSUAL if trouble else ()):
            attempt = f"{number:08x}{len(sent):08x}"
            target = f"/safe/{number}/slots?zone=akl-a"
            sent[attempt] = (method, target, body)
            if (method, body) in PLAIN:
                await channel.check(200, method, target, attempt, (), body)
            else:
                await channel.exchange(method, target, attempt, (), body)
    channel.close()
    for runner in runners:
        for attempt, method, target, body in runner.runs:
            if sent.get(attempt) != (method, target, body):
                record.add_violation("UNASKED", f"{attempt} was sent as {sent.get(attempt)} and "
                                                f"run as {(method, target, body)}")


if __name__ == "__main__":
    play(case, HERE, os.environ.get("TROUBLE", "1") != "0")
