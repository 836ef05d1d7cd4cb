"""GET requests with a body. Runners have to get the body as sent."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from rig import disrupted, request_head, run_case, send_raw, start_plain  # noqa: E402

REPEATS = 4
BODY = b'{"slot":"2026-12-09T10:00","branch":"akl-3"}'


async def case(record):
    rig = await start_plain(record)
    broken = []
    method = "GET" if disrupted() else "POST"
    try:
        for k in range(REPEATS):
            head = request_head(method, "/safe/slots", f"body-{k}", length=len(BODY))
            await send_raw(rig, f"body-{k}, {method}", head + BODY, 0.5)
            broken += [f"body-{k} was run with the body {body!r}" for runner in rig.runners
                       for _, headers, body in runner.runs
                       if headers.get("burdockwind-attempt-id") == f"body-{k}" and body != BODY]
    finally:
        await rig.stop()
    return broken


run_case(FOLDER, case)
