"""Upstreams in trouble whose answers are no HTTP/1.1 responses."""
import asyncio
import random
import re

from events import EventSequence
from faulty import FaultyAnswersScenario
from standin import Runner, answer, body_of

MALFORMED_RATE = 0.2

FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")


def with_length(text):
    """Replaces the line with the length of the body, which comes first."""
    def change(lines, size):
        return [lines[0], text.format(size=size, half=size // 2)] + lines[2:]
    return change


def with_line(text):
    def change(lines, size):
        return lines + [text]
    return change


def with_status(code):
    def change(lines, size):
        return [f"HTTP/1.1 {code} x"] + lines[1:]
    return change


# Ways to spoil the lines of a head.
FORMS = [
    with_status("000"), with_status("2000"), with_status("20O"),
    with_length("Content-Length: {size}x"), with_length("Content-Length: 0x{size:x}"),
    with_length("Content-Length: {size}, {half}"), with_length("Content-Length: +{half}"),
    with_length("Content-Length: {half}\r\nContent-Length: {size}"),
    with_length("Content-Length: {size}\r\nContent-Length: {half}"),
    with_length("Content-Length: {half} {size}"), with_length("Content-Length: {half}.0"),
    with_length("Content-Length : {size}"), with_length("Content Length: {size}"),
    with_length("Content-Length\v: {size}"), with_length("Content-Length {size}"),
    with_length("Transfer-Encoding : chunked"), with_length("Transfer-Encoding: chunked, chunked"),
    with_line("spoilt"), with_line(": b"), with_line(" folded"), with_line("X A: b"),
    with_line("X-A : b"),
    with_line("X\x01A: b"), with_line("X\tA: b"), with_line("X-A: \x02"),
]


class MalformedRunner(Runner):
    """Spoils the heads of some answers, and closes their connections."""

    forms = FORMS

    async def work(self, path, attempt, headers, writer):
        if random.random() >= MALFORMED_RATE:
            return await super().work(path, attempt, headers, writer)
        body, more = body_of(attempt), []
        if path.startswith("/stream/"):
            events = EventSequence.of_attempt(attempt)
            body = events.text(attempt, events.first_after(headers.get("last-event-id")))
            more = [("Content-Type", "text/event-stream")]
        await asyncio.sleep(random.uniform(*self.work_s))
        sound = answer(200, body, self.answer_headers(attempt) + more)
        lines = sound[:sound.index(b"\r\n\r\n")].decode().split("\r\n")
        lines = random.choice(self.forms)(lines, len(body))
        counts = self.check.malformed_counts
        counts[attempt] = counts.get(attempt, 0) + 1
        self.check.malformed_paths.add(path.split("/")[1])
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return False


class MalformedAnswersScenario(FaultyAnswersScenario):
    """Beside the check of each answer of the soak: no malformed answer reaches a caller."""

    runner_class = MalformedRunner

    def __init__(self, options):
        super().__init__(options)
        self.check.malformed_counts, self.check.malformed_paths = {}, set()

    def check_answer(self, kind, attempt, status, headers, body):
        super().check_answer(kind, attempt, status, headers, body)
        spoilt = [name for name in headers if name and not FIELD_NAME.fullmatch(name)]
        if spoilt or not 200 <= status <= 599:
            self.check.add_violation("MIXED", f"{attempt} ({kind}) received a malformed head: "
                                              f"{status} {spoilt}")
        malformed = self.check.malformed_counts.get(attempt, 0)
        if status == 200 and malformed and malformed == self.check.run_counts[attempt]:
            self.check.add_violation("MIXED", f"{attempt} ({kind}) received a malformed answer")

    async def run(self):
        await super().run()
        if len(self.check.malformed_counts) < self.options.callers:
            self.check.add_violation("SETUP", "too few malformed answers to judge")


def with_status_line(text, line=None):
    def change(lines, size):
        return [text] + lines[1:] + ([line] if line else [])
    return change


class ZeroStatusRunner(MalformedRunner):
    """Answers with the status 000, at times with a statement that the request did not run."""

    forms = [with_status_line("HTTP/1.1 000"), with_status_line("HTTP/1.1 000 "),
             with_status_line("HTTP/1.1 000 OK"), with_status_line("HTTP/1.0 000 OK"),
             with_status_line("HTTP/1.1 000 OK", "Connection: close"),
             with_status_line("HTTP/1.1 000 x", "Burdockwind-Not-Executed: 1")]


class ZeroStatusScenario(MalformedAnswersScenario):
    """Guards against an answer with status 000 that is passed on, for each kind of request."""

    runner_class = ZeroStatusRunner

    async def run(self):
        await super().run()
        missing = {prefix.strip("/").split("/")[0]
                   for prefix, _, _ in self.kinds.values()} - self.check.malformed_paths
        if missing:
            self.check.add_violation("SETUP", f"no answer with status 000 for {missing}")
