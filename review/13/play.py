"""Requests with keys that differ from a tenant's key only behind its 127th character."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import plain  # noqa: E402
from bed import API_KEY, TENANT, play  # noqa: E402

# Keys of 127 characters and more, as signed tokens have them; the pages set no length.
LONG_KEY = "".join(f"{n:04x}" for n in range(40))[:127]
LONGER_KEY = LONG_KEY + "-ham-c"
TENANTS = {API_KEY: TENANT, LONG_KEY: "lino204", LONGER_KEY: "vasu118"}
UNKNOWN_KEYS = (LONG_KEY + "x", LONG_KEY + "-akl-b", LONGER_KEY[:-1])
ROUNDS = 3


def respond(method, target, headers, body):
    return 200, [], b"b" * 800


async def case(bed, record, trouble):
    tenants = [{"name": name, "apiKeys": [key], "priority": 1} for key, name in TENANTS.items()]
    runners = await plain.start(bed, record, respond, tenants)
    channel, sent = plain.Channel(bed, record), {}
    plain_keys = {API_KEY: 200, LONG_KEY: 200, LONG_KEY[:-1]: 401}
    for number in range(ROUNDS):
        for key in (*plain_keys, *((LONGER_KEY, *UNKNOWN_KEYS) if trouble else ())):
            attempt = f"{number:08x}{len(sent):08x}"
            target, sent[attempt] = f"/safe/{number}/slots", key
            if key in plain_keys:
                await channel.check(plain_keys[key], "GET", target, attempt, key=key)
            else:
                await channel.exchange("GET", target, attempt, key=key)
    channel.close()
    for runner in runners:
        for attempt, tenant in runner.tenants:
            key = sent[attempt]
            if key not in TENANTS:
                record.add_violation("ROUTE", f"{attempt} ran, as {tenant}, with the key {key}, "
                                              f"which no manifest holds")
            elif TENANTS[key] != tenant:
                record.add_violation("UNASKED", f"{attempt} ran as {tenant} with the key {key} "
                                                f"of {TENANTS[key]}")


if __name__ == "__main__":
    play(case, HERE, os.environ.get("TROUBLE", "1") != "0")
