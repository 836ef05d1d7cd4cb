"""A quiet hour: the agents of a group are killed between two switches of its expert map.

Model runners are those of tests/soak/standin.py with two properties of the protocol that these
lack: an idle group makes no passes, and orders without an answer are carried out seconds later.
"""
import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

from bed import manifest, play, read_answer, request_head  # noqa: E402
from standin import (COPY_S, EXPERT_SLOTS, EXPERTS, LAYERS, LOADS_MAX, STEP_S,  # noqa: E402
                     Group, Runner)

RANKS, GROUPS, GATEWAYS = 8, 2, 3

# Late orders (applied_late of the site file): share, duration in s, delay in s.
LATE_SHARE, LATE_FOR_S, LATE_DELAY_S = 0.35, 5.5, (2.0, 12.0)
# Time until a killed process runs again, in s.
RESTART_S = 0.3
# Time without a request in the quiet hour, in s.
QUIET_S = 13.0
# Time in which rounds begin, in s.
PLAY_S = 70.0


class QuietGroup(Group):
    """A group that makes passes only while it has requests."""

    def __init__(self, record, name, size):
        self.record, self.runners = record, []
        self.late_share, self.unanswered = 0.0, False
        self.popular = 0
        self.late_arms = []  # [rank, version, step, time] of arm orders that are still to come
        super().__init__(record, name, size)

    def active(self):
        return sum(runner.running for runner in self.runners)

    async def run(self):
        while True:
            await asyncio.sleep(STEP_S)
            if self.open and self.active() > 0 and self.step + 1 not in self.held:
                self.begin_step()

    def begin_step(self):
        before = [version for version, _ in self.maps]
        super().begin_step()
        after = [version for version, _ in self.maps]
        for rank in range(self.size):
            for i in range(LAYERS * EXPERTS):
                if i % EXPERTS == self.popular:
                    self.counts[rank][i] += 60
        if before != after:
            self.record.add(f"group {self.name} pass {self.step} begins with maps {after}")

    def handle_call(self, rank, target, body):
        if target.startswith("/order") and random.random() < self.late_share:
            self.unanswered = True
            delay_s = random.uniform(*LATE_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, self.apply_late, rank, body)
            self.note_late(rank, body, delay_s)
            return 202, {}
        status, reply = super().handle_call(rank, target, body)
        if target.startswith("/order"):
            self.record.add(f"group {self.name} rank {rank} order {short(body)}: {status}")
        if target == "/report" and isinstance(reply, dict):
            reply["active"] = self.active()
        return status, reply

    def loses_answer(self, path):
        unanswered, self.unanswered = self.unanswered, False
        return unanswered

    def note_late(self, rank, body, delay_s):
        order = decode(body)
        self.record.add(f"group {self.name} rank {rank} order {short(body)}: no answer, "
                        f"carried out {delay_s:.1f} s later")
        if order["operation"] == "arm":
            self.late_arms.append((rank, order["version"], order["step"],
                                   time.monotonic() + delay_s))

    def apply_late(self, rank, body):
        status = self.execute_order(rank, decode(body))
        self.record.add(f"group {self.name} rank {rank} late order {short(body)}: {status}")

    def waits_for_pass(self):
        """Whether the idle group waits for a pass after the next one to switch at, and an arm
        order for it is still to be carried out."""
        steps = {armed[1] for armed in self.armed if armed}
        if self.active() > 0 or len(steps) != 1 or None in self.armed or any(self.held):
            return False
        step = steps.pop()
        return step > self.step + 1 and any(
            late[2] == step and late[3] > time.monotonic() + 4 for late in self.late_arms)


def decode(body):
    return json.loads(body)


def short(body):
    order = decode(body)
    return " ".join(str(order[name]) for name in ("operation", "version", "step")
                    if name in order)


def configuration():
    engine = {"layerSets": LAYERS, "experts": EXPERTS, "placements": EXPERT_SLOTS,
              "spares": LOADS_MAX, "expertMb": 10.0, "linkMbps": 800.0}
    route = {"name": "r-1", "host": "ficu95.example", "prefix": "/stream/", "priority": 1,
             "service": "model", "routeType": "streaming", "timeoutMs": 8000, "sloMs": 400,
             "maxAttempts": 2, "resumable": True, "itlTargetMs": 120, "public": False,
             "sessionAffinity": True}
    return manifest(7, [route], [{"name": "model", "backendEngine": engine}])


class Check:
    """What a Runner of standin.py reports to."""

    def __init__(self, record):
        self.record = record

    def record_run(self, runner, path, attempt, headers):
        self.record.add(f"runner {runner.ip} runs {attempt}")

    def record_run_end(self, attempt, broke_off):
        self.record.add(f"{attempt} ended{', broken off' if broke_off else ''}")

    def was_disturbed(self, attempt, since):
        return True

    def add_violation(self, rule, text):
        self.record.add_violation(rule, text)


async def stream(bed, record, number):
    attempt = f"{number % GATEWAYS:02x}{random.getrandbits(56):014x}"
    ip = bed.gateway_ip(number % GATEWAYS)
    record.add(f"{attempt} sent to {ip}")
    try:
        reader, writer = await asyncio.open_connection(ip, 8227)
        body = b"p" * 600
        writer.write(request_head("POST", "/stream/p", attempt, 8000, [
            "Burdockwind-Model: m", "Burdockwind-Token-Usage: 600,160",
            f"Burdockwind-Prompt-Prefix: 5c1e07a2:40,{attempt[-8:]}:560",
            f"Content-Length: {len(body)}"]) + body)
        status, _, _ = await asyncio.wait_for(read_answer(reader), 10)
        record.add(f"{attempt} answered {status}")
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        record.add(f"{attempt} not answered: {type(error).__name__}")


async def busy(bed, record, group, for_s):
    """A few requests a second, for other experts than before."""
    end = time.monotonic() + for_s
    tasks, number = [], 0
    group.popular = (group.popular + 5) % EXPERTS
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(stream(bed, record, number)))
        number += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)


async def kill_agents(record, agents):
    record.add("the agents of group g0 are killed")
    for agent in agents:
        agent.send_signal(signal.SIGKILL)
    for agent in agents:
        await agent.process.wait()
    await asyncio.sleep(RESTART_S)
    for agent in agents:
        await agent.start()
    record.add("the agents of group g0 run again")


async def find_moment(bed, record, group, trouble):
    """Single requests until the group waits for its next pass with a switch ahead of it."""
    until = time.monotonic() + LATE_FOR_S
    if trouble:
        group.late_share = LATE_SHARE
        record.add(f"a share {LATE_SHARE} of the orders is carried out late from now on")
    number, found = 0, False
    while time.monotonic() < until and not found:
        group.popular = (group.popular + 5) % EXPERTS
        number += 1
        await stream(bed, record, number)
        looked_until = time.monotonic() + 0.6
        while time.monotonic() < looked_until and not found:
            found = trouble and group.waits_for_pass()
            await asyncio.sleep(0.002)
    return found, until


async def quiet_round(bed, record, groups, agents, trouble):
    """Single requests, in which the agents are killed once; then none for a while."""
    group = groups[0]
    group.late_arms.clear()
    found, late_until = await find_moment(bed, record, group, trouble)
    if trouble and not found:
        group.late_share = 0.0
        record.add("orders are answered again")
        await asyncio.sleep(1.0)
        return
    record.add(f"no request for {QUIET_S} s; maps armed {group.armed} before pass {group.step + 1}")
    quiet_until = time.monotonic() + QUIET_S
    if trouble:
        await kill_agents(record, agents[:RANKS])
    await asyncio.sleep(max(0.0, late_until - time.monotonic()))
    group.late_share = 0.0
    record.add("orders are answered again")
    await asyncio.sleep(max(0.0, quiet_until - time.monotonic()))
    record.add(f"the next request; maps armed {group.armed} before pass {group.step + 1}")
    for number in range(4):
        await stream(bed, record, number)
        await asyncio.sleep(0.5)


async def case(bed, record, trouble):
    groups = [QuietGroup(record, f"g{g}", RANKS) for g in range(GROUPS)]
    check = Check(record)
    await bed.store.http.start()
    for g, group in enumerate(groups):
        for rank in range(RANKS):
            runner = Runner(check, "model", f"{bed.net}.2.{g * RANKS + rank + 1}", group, rank,
                                 slots=12)
            runner.store = bed.store
            runner.zone = "akl-a"
            group.runners.append(runner)
            await runner.http.start()
            await bed.store.put("servers", runner.id, runner.store_row())
    await bed.store.put("op", "config", configuration())
    tasks = [asyncio.create_task(group.run()) for group in groups]
    for k in range(GATEWAYS):
        await bed.gateway(k).start()
    agents = [bed.rank(f"side-akl-a-{n + 1}", f"{bed.net}.2.{n + 1}")
              for n in range(GROUPS * RANKS)]
    for agent in agents:
        await agent.start()
    await bed.until_ready(GATEWAYS)
    await busy(bed, record, groups[0], 3.0)
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end and not record.broken:
        await quiet_round(bed, record, groups, agents, trouble)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    play(case, HERE)
