"""
Test callers that send requests to entries and check every answer.

The stand-ins compute an answer from the request body alone, so that a caller knows every
token in advance and detects answers that are mixed up, cut or repeated.
"""

import http.client
import json
import random
import threading
import time
from collections import Counter

import system

FNV_OFFSET_BASIS, FNV_PRIME, MASK = 14695981039346656037, 1099511628211, (1 << 64) - 1
ANSWER_TIMEOUT_S = 30


def fnv1a(text, state=FNV_OFFSET_BASIS):
    """64-bit FNV-1a hash, as fake_hash() of the stand-ins computes it."""
    for byte in text.encode():
        state = ((state ^ byte) * FNV_PRIME) & MASK
    return state


def expected_tokens(prompt, count):
    """Tokens that the engine stand-in generates for a prompt."""
    start = fnv1a(prompt)
    return [f"{fnv1a(f'#{i}', start) & 0xFFFFFFFF:08x} " for i in range(count)]


def expected_answer(body):
    """Answer of the service stand-in to a call."""
    return f"done {fnv1a(body):016x}"


class ContractViolation(Exception):
    """An answer with wrong content: another request's, altered, or contradictory."""


class IncompleteAnswer(Exception):
    """An answer that ended early, so that the caller can tell that it is not whole."""


class Unreachable(Exception):
    """No connection to an entry; the request was not sent."""


class Request:
    """One request of a caller and its result."""

    def __init__(self, key, service=None, tokens=0, idempotent=True, stream=True, **headers):
        self.key, self.service, self.tokens = key, service, tokens
        self.idempotent, self.stream = idempotent, stream
        self.body = f"call of {key}" if service else f"prompt of {key} n={tokens}"
        self.expected_body = self.body  # the expected answer is computed from it
        self.headers = headers
        # answered, not-run, unknown, incomplete, wrong or unreachable
        self.outcome = None
        self.reason = ""
        self.started = threading.Event()  # the first token has arrived, or the request ended
        self.received_tokens = 0

    def header_fields(self):
        """HTTP headers of the request."""
        fields = {"Burdock-Key": self.key, "Burdock-Idempotent": "yes" if self.idempotent else "no"}
        fields["Burdock-Stream"] = "yes" if self.stream and not self.service else "no"
        if self.service:
            fields["Burdock-Service"] = self.service
        for name, value in self.headers.items():
            fields["Burdock-" + name.title().replace("_", "-")] = str(value)
        return fields


class EntryDirectory:
    """Entries from GET /v1/entries, cached for the lifetime that the answer states."""

    def __init__(self, known_ports):
        self.known_ports = list(known_ports)
        self.lock = threading.Lock()
        self.entries, self.expires_at = [], 0.0

    def refresh(self):
        """Asks the known entries in random order until one answers."""
        for port in random.sample(self.known_ports, len(self.known_ports)):
            try:
                answer = system.call_json(port, "GET", "/v1/entries")
            except (OSError, http.client.HTTPException, ValueError, system.Failure):
                continue
            found = [(int(entry["address"].rsplit(":", 1)[1]), float(entry.get("weight", 1)))
                     for entry in answer["entries"]]
            if found:
                self.entries = found
                self.expires_at = time.monotonic() + float(answer["lifetime_s"])
                return
        raise Unreachable("no entry answers /v1/entries")

    def pick(self, avoid=()):
        """Returns the port of a random entry by weight, outside of `avoid` if possible."""
        with self.lock:
            if time.monotonic() >= self.expires_at or all(p in avoid for p, _ in self.entries):
                self.refresh()
            usable = [e for e in self.entries if e[0] not in avoid] or self.entries
            ports, weights = zip(*usable)
            return random.choices(ports, [max(w, 0.01) for w in weights])[0]


def check_stream(request, response):
    """
    Reads a streamed answer and checks each token and the end.

    Returns "answered", or "unknown" if the stream ends with an error line.
    """
    expected = expected_tokens(request.expected_body, request.tokens)
    while True:
        line = response.readline()
        if not line.endswith(b"\n"):
            raise IncompleteAnswer(f"stream cut after {request.received_tokens} tokens")
        message = json.loads(line)
        if message.get("key") != request.key:
            raise ContractViolation(f"line has another key than {request.key}: {message}")
        if "token" in message:
            index = message["index"]
            if index != request.received_tokens or index >= len(expected):
                raise ContractViolation(f"index {index} after {request.received_tokens} "
                                        f"of {len(expected)} tokens")
            if message["token"] != expected[index]:
                raise ContractViolation(f"token {index} is {message['token']!r}, "
                                        f"not {expected[index]!r}")
            request.received_tokens += 1
            request.started.set()
        elif message.get("end"):
            if (message["tokens"] != request.received_tokens
                    or request.received_tokens != len(expected)):
                raise ContractViolation(f"end states {message['tokens']} tokens, received "
                                        f"{request.received_tokens} of {len(expected)}")
            if response.read():
                raise ContractViolation("data after the end line of the stream")
            return "answered"
        else:
            request.reason = message.get("error", "no reason")
            if message.get("ran") != "unknown":
                raise ContractViolation(f"stream ends with the invalid line {message}")
            return "unknown"


def check_body(request, text):
    """Checks an answer that is not streamed."""
    message = json.loads(text)
    if message.get("key") != request.key or message.get("end") is not True:
        raise ContractViolation(f"answer has another key than {request.key} or no end: "
                                f"{text[:200]}")
    expected = (expected_answer(request.expected_body) if request.service
                else "".join(expected_tokens(request.expected_body, request.tokens)))
    if message.get("answer") != expected:
        raise ContractViolation(f"answer {message.get('answer')!r}, not {expected!r}")


def check_refusal(request, response):
    """Returns "not-run" or "unknown", which header and body have to state alike."""
    message = json.loads(response.read())
    ran = response.getheader("Burdock-Ran")
    if message.get("key") not in (request.key, "") or message.get("ran") != ran:
        raise ContractViolation(f"body {message} does not match Burdock-Ran: {ran}")
    if ran not in ("not-run", "unknown"):
        raise ContractViolation(f"status {response.status} with invalid Burdock-Ran: {ran}")
    request.reason = message.get("refused", "")
    return ran


def send_once(request, port):
    """Sends a request to one entry without retries; returns its outcome."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
    try:
        try:
            connection.connect()
        except OSError as error:
            raise Unreachable(f"port {port}: {error}") from error
        try:
            connection.request("POST", "/v1/requests", request.body, request.header_fields())
            response = connection.getresponse()
            if response.getheader("Burdock-Key", request.key) != request.key:
                raise ContractViolation(f"header Burdock-Key is "
                                        f"{response.getheader('Burdock-Key')}, not {request.key}")
            if response.status != 200:
                return check_refusal(request, response)
            if request.stream and not request.service:
                return check_stream(request, response)
            check_body(request, response.read())
            return "answered"
        except (OSError, http.client.HTTPException) as error:
            raise IncompleteAnswer(f"port {port}: {error!r}") from error
        except (ValueError, KeyError) as error:
            raise ContractViolation(f"answer cannot be parsed: {error!r}") from error
    finally:
        connection.close()


def send_with_retries(request, directory, retries=0):
    """
    Sends a request and sets its outcome.

    While retries are left, it is sent again with the same key, to another entry if there is
    one: after a connection that failed or broke, after "not-run", and after "unknown" if
    the request is idempotent. A wrong answer is final.
    """
    avoid = set()
    for retries_left in range(retries, -1, -1):
        port = None
        request.received_tokens = 0
        try:
            port = directory.pick(avoid)
            request.outcome = send_once(request, port)
            retryable = request.outcome == "not-run" or (
                request.outcome == "unknown" and request.idempotent)
            if not retryable or retries_left == 0:
                break
            time.sleep(0.05)  # delay between retries
        except Unreachable as error:
            request.outcome, request.reason = "unreachable", str(error)
        except IncompleteAnswer as error:
            request.outcome, request.reason = "incomplete", str(error)
        except ContractViolation as error:
            request.outcome, request.reason = "wrong", str(error)
            break
        if port is not None:
            avoid.add(port)
    request.started.set()
    return request


class FixedDirectory:
    """Directory with a fixed list of ports, used in their order."""

    def __init__(self, *ports):
        self.ports = ports

    def pick(self, avoid=()):
        """Returns the first port outside of `avoid`, or the last port if there is none."""
        return next((port for port in self.ports if port not in avoid), self.ports[-1])


class ConcurrentRequests:
    """Requests that run at the same time, each in a thread of its own."""

    def __init__(self, requests, directory, retries=0):
        self.requests = list(requests)
        self.threads = [threading.Thread(target=send_with_retries,
                                         args=(request, directory, retries), daemon=True)
                        for request in self.requests]
        for thread in self.threads:
            thread.start()

    def wait_started(self, deadline_s=10):
        """Waits until each request has its first token, or has ended."""
        for request in self.requests:
            if not request.started.wait(deadline_s):
                raise system.Failure(f"{request.key}: no first token within {deadline_s} s")

    def join(self):
        for thread in self.threads:
            thread.join(ANSWER_TIMEOUT_S * 2)
        return self.requests


class LoadGenerator:
    """
    Closed-loop load: each thread sends one request after the other until stop().

    make_request(number) builds the request with a running number.
    """

    def __init__(self, directory, make_request, threads, retries=0, pause_s=0.0):
        self.directory, self.make_request = directory, make_request
        self.retries, self.pause_s = retries, pause_s
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.requests, self.count = [], 0
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while not self.stopping.is_set():
            with self.lock:
                number = self.count
                self.count += 1
                request = self.make_request(number)
                self.requests.append(request)
            send_with_retries(request, self.directory, self.retries)
            self.stopping.wait(self.pause_s)

    def finished(self):
        """Requests that have an outcome."""
        return [request for request in list(self.requests) if request.outcome]

    def answered(self):
        """Number of requests that were answered."""
        return sum(request.outcome == "answered" for request in list(self.requests))

    def stop(self):
        """Ends the load after the requests in flight; returns all requests."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(ANSWER_TIMEOUT_S * 2)
        return self.requests


def count_outcomes(requests):
    """Number of requests by outcome, "none" for those without one."""
    return Counter(request.outcome or "none" for request in requests)
