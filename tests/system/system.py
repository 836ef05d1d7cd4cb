"""Starts daemons and stand-ins on free loopback ports, watches them and stops them."""

import ctypes
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

PR_SET_PDEATHSIG = 1
# Below the ephemeral port range, from which the kernel takes ports of outgoing connections.
PORT_MIN, PORT_MAX = 12000, 32000
POLL_S = 0.02
LIBC = ctypes.CDLL(None, use_errno=True)


class Failure(Exception):
    """A check failed, or an expected event did not come in time."""


class PortBlock:
    """
    Block of loopback ports that this driver alone uses.

    Several drivers may run on one host. The first port of the block stays bound, which
    reserves the block against other drivers.
    """

    SIZE = 1000

    def __init__(self):
        blocks = list(range(PORT_MIN, PORT_MAX, self.SIZE))
        random.SystemRandom().shuffle(blocks)
        self.reservation = socket.socket()
        for start in blocks:
            try:
                self.reservation.bind(("127.0.0.1", start))
            except OSError:
                continue
            self.start, self.next = start, 0
            return
        raise Failure(f"no free block of {self.SIZE} ports from {PORT_MIN} to {PORT_MAX - 1}")

    def allocate(self, count):
        """Returns free ports in rotation, so that a port is reused as late as possible."""
        ports = []
        for _ in range(self.SIZE):
            self.next = self.next % (self.SIZE - 1) + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.start + self.next))
                except OSError:
                    continue
            ports.append(self.start + self.next)
            if len(ports) == count:
                return ports
        raise Failure(f"fewer than {count} free ports in the block from {self.start}")


PORT_BLOCK = None


def free_ports(count):
    """Returns free ports of the block of this driver."""
    global PORT_BLOCK
    PORT_BLOCK = PORT_BLOCK or PortBlock()
    return PORT_BLOCK.allocate(count)


def call(port, method, path, body=None, timeout_s=5, headers=None):
    """Sends one HTTP request; returns the status and the body as text."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        if body is not None and not isinstance(body, (str, bytes)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def call_json(port, method, path, body=None):
    """Sends one HTTP request; returns the JSON body, raises Failure unless status is 200."""
    status, text = call(port, method, path, body)
    if status != 200:
        raise Failure(f"{method} {path} on port {port}: status {status}: {text[:200]}")
    return json.loads(text)


def wait_until(what, condition, deadline_s):
    """
    Polls until the condition returns a true value, and returns that value.

    Failure, connection and parse errors in the condition count as not yet true. Raises
    Failure after the deadline.
    """
    end = time.monotonic() + deadline_s
    last = None
    while True:
        try:
            value = condition()
            if value:
                return value
            last = value
        except (OSError, http.client.HTTPException, ValueError, KeyError, Failure) as error:
            last = error
        if time.monotonic() > end:
            raise Failure(f"{what}: not within {deadline_s} s (last value or error: {last!r})")
        time.sleep(POLL_S)


class Process:
    """A daemon or stand-in, started at once; its output is appended to a log file."""

    def __init__(self, name, argv, directory, env=None, ready_line=False):
        self.name, self.argv, self.env = name, argv, env
        self.directory, self.ready_line = directory, ready_line
        self.popen = None
        self.start()

    def start(self):
        """Starts the process, also again after it has ended."""
        log = open(os.path.join(self.directory, self.name + ".log"), "ab")
        # The kernel kills the process if this driver dies.
        self.popen = subprocess.Popen(
            self.argv, stdin=subprocess.PIPE, stderr=log, cwd=self.directory,
            stdout=subprocess.PIPE if self.ready_line else log,
            env=dict(os.environ, **(self.env or {})),
            preexec_fn=lambda: LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL))
        log.close()
        if self.ready_line and self.popen.stdout.readline() != b"ready\n":
            raise Failure(f"{self.name} ended before it was ready: {self.log_tail()}")

    def log_tail(self, lines=8):
        with open(os.path.join(self.directory, self.name + ".log"), errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def is_running(self):
        return self.popen.poll() is None

    def signal(self, number):
        """Sends a signal if the process is running."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()
        if self.popen.stdin:
            self.popen.stdin.close()

    def wait_exit(self, deadline_s):
        """Returns the exit status; raises Failure with the state of the threads if late."""
        try:
            return self.popen.wait(deadline_s)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.name} did not exit within {deadline_s} s; system calls: "
                          f"{self.thread_syscalls()}") from None

    def thread_syscalls(self):
        """System call in which each thread of the process blocks, with its first arguments."""
        found = []
        base = f"/proc/{self.popen.pid}/task"
        for task in os.listdir(base):
            with open(f"{base}/{task}/comm") as comm, open(f"{base}/{task}/syscall") as syscall:
                found.append(f"{comm.read().strip()} in {syscall.read().split()[:4]}")
        return found


class Fake(Process):
    """A stand-in with one or more ports."""

    def __init__(self, name, program, ports, options, directory):
        self.ports = ports
        super().__init__(name, [program] + options, directory, ready_line=True)

    def fault(self, kind, path="", match="", count=0, ms=0, port=0):
        """Injects a fault, see POST /fault in fake.h; `port` is an index of self.ports."""
        body = {"kind": kind, "path": path, "match": match, "count": count, "ms": ms}
        call_json(self.ports[port], "POST", "/fault", body)

    def stats(self, port=0):
        """Returns GET /stats; `port` is an index of self.ports."""
        return call_json(self.ports[port], "GET", "/stats")


def metrics(port):
    """Reads /metrics; returns the sum of each metric over all label values."""
    status, text = call(port, "GET", "/metrics")
    if status != 200:
        raise Failure(f"/metrics on port {port}: status {status}")
    values = {}
    for match in re.finditer(r"^(\w+)(?:\{[^}]*\})? ([0-9.e+-]+)$", text, re.M):
        values[match[1]] = values.get(match[1], 0) + float(match[2])
    return values


class LogDirectory:
    """Folder for the logs of one run, kept if the run fails."""

    def __init__(self, build, name):
        base = os.path.join(os.path.abspath(build), "system-logs")
        os.makedirs(base, exist_ok=True)
        self.path = tempfile.mkdtemp(prefix=name + "-", dir=base)

    def remove(self):
        shutil.rmtree(self.path, ignore_errors=True)
