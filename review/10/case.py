"""Requests with methods of eight letters and more. Runners have to get the method as sent."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from rig import disrupted, request_head, run_case, send_raw, start_plain  # noqa: E402

# Registered methods (RFC 4918, RFC 3253).
LONG_METHODS = ("PROPFIND", "PROPPATCH", "CHECKOUT", "MKWORKSPACE")
SHORT_METHODS = ("POST", "PUT", "REPORT", "OPTIONS")


async def case(record):
    rig = await start_plain(record)
    broken = []
    try:
        for method in LONG_METHODS if disrupted() else SHORT_METHODS:
            attempt = f"m-{method.lower()}"
            await send_raw(rig, method, request_head(method, "/once/a", attempt, length=3) + b"abc")
            lines = [line for runner in rig.runners for line, headers, _ in runner.runs
                     if headers.get("burdockwind-attempt-id") == attempt]
            broken += [f"{method} was run as {line.split()[0]}" for line in lines
                       if line.split()[0] != method]
    finally:
        await rig.stop()
    return broken


run_case(FOLDER, case)
