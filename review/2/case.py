"""The machine of the rank that coordinates its group freezes again and again as it gives orders to
runners, while runners leave a part of the orders unanswered and carry them out late."""
import asyncio
import json
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import deployment as lib  # noqa: E402
from deployment import Deployment, Runner, SteppingGroup, run_case  # noqa: E402

GATEWAYS, RANKS, EXPERTS, LAYERS = 2, 4, 16, 2
PLAY_S = 95.0

# As in day.toml: the share of late orders and when they are carried out; the freezes.
LATE_SHARE, LATE_S = 0.35, (2.0, 12.0)
FREEZE_S, FREEZE_EVERY_S = 2.4, 3.3

# Steps after which other experts are in demand.
DEMAND_STEPS = 12


class WatchedGroup(SteppingGroup):
    """Ranks in lock-step; no pass begins while the machine of a rank is frozen."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.frozen, self.mixed = False, []

    async def run(self):
        while True:
            await asyncio.sleep(lib.STEP_S)
            if self.open and not self.frozen and self.step + 1 not in self.held:
                self.begin_step()

    def begin_step(self):
        self.step += 1
        for rank in range(self.size):
            if self.armed[rank] and self.armed[rank][1] == self.step:
                self.maps[rank] = (self.armed[rank][0], self.prepared[rank][1][rank])
                self.armed[rank] = None
            for i in range(LAYERS * EXPERTS):
                hot = i % EXPERTS == self.step // DEMAND_STEPS % EXPERTS
                self.counts[rank][i] += 40 if hot else random.choice((1, 2))
        versions = [version for version, _ in self.maps]
        if len(set(versions)) > 1:
            self.mixed.append(f"step {self.step} began with map versions {versions}")
            self.check.record.add(self.mixed[-1])


class OrderedRunner(Runner):
    """A model runner; late tells whether it leaves orders unanswered. While its machine is frozen
    it handles nothing; what has arrived meanwhile is handled in that order afterwards."""

    late = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.status = 409
        self.awake, self.ordered = asyncio.Event(), asyncio.Event()
        self.awake.set()

    async def handle(self, method, target, headers, body, writer):
        if target == "/order":
            self.ordered.set()
        await self.awake.wait()
        if target != "/order" or not OrderedRunner.late or random.random() >= LATE_SHARE:
            if target == "/order":
                self.note(json.loads(body), self.group.handle_call(self.rank, target, body)[0])
                return await self.reply(writer, self.status, {})
            return await super().handle(method, target, headers, body, writer)
        asyncio.get_running_loop().call_later(random.uniform(*LATE_S), self.carry_out, body)
        await asyncio.sleep(LATE_S[1])
        return False

    def carry_out(self, body):
        self.note(json.loads(body), self.group.handle_call(self.rank, "/order", body)[0], "late")

    def note(self, order, status, when=""):
        self.status = status
        self.record.add(f"order {order['operation']} version {order.get('version')} step "
                        f"{order.get('step')} at rank {self.rank}: {status} {when}")


async def freeze_machine(deployment, rank):
    """Freezes the agent of a rank and its runner as the agent gives an order."""
    runner, agent = deployment.runners[rank], deployment.ranks[rank]
    runner.ordered.clear()
    await runner.ordered.wait()
    runner.awake.clear()
    deployment.group.frozen = True
    agent.send_signal(signal.SIGSTOP)
    deployment.record.add(f"machine of rank {rank} frozen")
    await asyncio.sleep(FREEZE_S)
    deployment.record.add(f"machine of rank {rank} awake")
    runner.awake.set()
    agent.send_signal(signal.SIGCONT)
    await asyncio.sleep(0)
    deployment.group.frozen = False


async def freeze_again_and_again(deployment, end):
    while time.monotonic() < end - FREEZE_S:
        began = time.monotonic()
        try:
            await asyncio.wait_for(freeze_machine(deployment, 0), end - began)
        except asyncio.TimeoutError:
            return
        await asyncio.sleep(max(0, began + FREEZE_EVERY_S - time.monotonic()))


async def play(record, trouble):
    lib.SteppingGroup = WatchedGroup
    deployment = Deployment(record, gateways=GATEWAYS, ranks=RANKS)
    try:
        await deployment.start(OrderedRunner)
        end = time.monotonic() + PLAY_S
        if trouble:
            OrderedRunner.late = True
            await freeze_again_and_again(deployment, end)
        await asyncio.sleep(max(0, end - time.monotonic()))
        maps = len({version for version, _ in deployment.group.maps}), deployment.group.maps[0][0]
        record.add(f"steps {deployment.group.step} newest map {maps[1]}")
        if maps[1] == 0:
            raise lib.CannotRun("no map was switched")
    finally:
        await deployment.stop()
    return [f"MAP: {text}" for text in deployment.group.mixed[:5]]


run_case(FOLDER, play)
