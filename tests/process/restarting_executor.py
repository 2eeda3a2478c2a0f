"""Executors that end and are back under their ids and addresses, with clocks that begin anew, and calls that they
carry out late.
"""
import argparse
import asyncio
import random
import time

import harness
from harness import ROUTE
from lab import SILENT, Executor, HttpServer, reset

EXECUTORS = 6
VICTIMS = 3
CLOCK_RATE = 0.98  # the slowest clock that an executor may have
DOWN_S = 0.6
STARTUP_S = 0.05  # on the clock of an executor when it is back
CUT_S = 13.0
LONG_MS = 12000
SETTLE_S = 4.0
TASKS_PER_EXECUTOR = 4
TASKS = VICTIMS * TASKS_PER_EXECUTOR  # as many as the victims, or the others, have room for
VICTIM, STEADY = "victim", "steady"  # labels


class Listener(HttpServer):
    """Stays open while no process listens, as a packet that finds none is sent again."""

    def __init__(self, handle, port):
        super().__init__(handle, port)
        self.resets_connections = True  # when a process ends

    async def start(self):
        if self.server is None:
            await super().start()

    def stop(self):
        if not self.resets_connections:
            return
        for writer in list(self.connections):
            reset(writer)


class RestartingExecutor(Executor):
    """The clock of its first incarnation is far ahead of those of the next ones."""

    def __init__(self, lab, name, zone):
        super().__init__(lab, name, ROUTE[1], zone)
        self.http = Listener(self.handle, self.http.port)
        self.clock_at_start_s = random.uniform(60.0, 100.0)  # of the next incarnation
        self.is_cut = False
        self.keeps = lambda path, body: False  # whether a call is left without an answer, to be carried out later
        self.kept = []  # (path, body) of these calls
        self.has_kept = asyncio.Event()
        self.ends_with_answer = False  # ends once it has answered with an end
        self.returned = asyncio.Event()
        self.entry_delay_s = 0.0  # from the return to the entry in the store
        self.has_answered_hold = asyncio.Event()  # since the return

    def begin_life(self):
        super().begin_life()
        self.clock_start = time.monotonic() - self.clock_at_start_s
        self.clock_at_start_s = STARTUP_S
        self.last_listed = 0
        self.has_answered_hold.clear()

    def register(self):
        if self.entry_delay_s == 0.0:
            super().register()
        else:
            asyncio.get_running_loop().call_later(self.entry_delay_s, super().register)

    def clock_ms(self):
        return int(super().clock_ms() * CLOCK_RATE)

    async def restart(self, down_s=DOWN_S, keeps=lambda path, body: False):
        self.keeps = keeps
        self.crash()
        await asyncio.sleep(down_s)
        await self.start()
        self.returned.set()

    async def handle(self, method, path, query, headers, body, count):
        if self.is_cut:
            return SILENT
        if self.keeps(path, body):
            self.keep(path, body)
            return SILENT
        if not self.is_up:
            if "deadline-ms" in body:
                self.keep(path, body)
            while not self.is_up:
                await asyncio.sleep(0.005)
            if self.is_cut:
                return SILENT
        born = self.born
        answer = await super().handle(method, path, query, headers, body, count)
        if self.is_cut or not self.is_up or self.born != born:
            return SILENT
        ended = answer[1].get("ended", ())
        self.last_listed = max([self.last_listed] + [number for number, *_ in ended])
        if ended and self.ends_with_answer:
            self.ends_with_answer = False
            asyncio.create_task(self.restart())
        if path == "/hold":
            self.has_answered_hold.set()
        return answer

    def keep(self, path, body):
        self.kept.append((path, body))
        self.has_kept.set()
        self.lab.record(self.id, f"keeps {path} {body}")

    async def carry_out(self, is_wanted=lambda path, body: True):
        """Carries out the calls that it has kept, or some of them."""
        for path, body in self.kept:
            if not is_wanted(path, body):
                continue
            status, answer, *_ = await self.execute(path, {**body, "wait-ms": 0})
            self.lab.record(self.id, f"carries out {path} {body} -> {status} {answer}")

    def forget_ends(self, acked):
        for number, task, run, how, _ in self.ends:
            if self.last_listed < number <= acked:
                self.lab.fail(f"{self.id}: end {number}, {task} run {run} {how}, is forgotten before it was listed")
        super().forget_ends(acked)


def has_deadline(path, body):
    return path == "/hold" and "deadline-ms" in body


def has_ack(path, body):
    return path == "/hold" and body.get("ack-cursor", 0) > 0


def is_start(path, _):
    return path == "/run-start"


async def submit(lab, work_ms, label=None, count=TASKS):
    step = {"count": count, "cpu": 32000 // TASKS_PER_EXECUTOR, "mem-mb": 64, "est-runtime-ms": work_ms}
    if label:
        step["requires"] = label
    job, status = await lab.submit(ROUTE[0], [step], work_ms)
    if status != 200:
        raise RuntimeError(f"a job is not accepted: {status}")
    return job


async def occupy_others(lab, work_ms):
    """Leaves no room but that of the victims for a time."""
    job = await submit(lab, work_ms, STEADY)
    while sum(len(executor.running) for executor in lab.running_on(job)) < TASKS:
        await asyncio.sleep(0.005)


async def cut_off(lab, victims, seconds, late_s=None):
    """Cuts executors off; their runs go on.  The calls that they have kept are carried out `late_s` into the cut."""
    lab.record("test", "cut begins")
    for victim in victims:
        victim.is_cut = True
    if late_s is not None:
        await asyncio.sleep(late_s)
        seconds -= late_s
        for victim in victims:
            await victim.carry_out()
    await asyncio.sleep(seconds)
    for victim in victims:
        victim.is_cut = False
    lab.record("test", "cut ends")
    await asyncio.sleep(SETTLE_S)


def run_case(cases, lab_class=harness.ProcessLab, timeout_s=60):
    """Plays the case of the command line: BUILD_DIR CASE [--seed N]."""
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("case", choices=cases)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()

    async def play(lab):
        random.seed(options.seed)
        lab.executors = [RestartingExecutor(lab, f"i-{k:02}", lab.zones[k % len(lab.zones)]) for k in range(EXECUTORS)]
        victims = random.sample(lab.executors, VICTIMS)
        for executor in lab.executors:
            executor.labels.append(VICTIM if executor in victims else STEADY)
        await lab.start()
        supervisor = asyncio.create_task(lab.supervise())
        await cases[options.case](lab, victims)
        for overlap in lab.overlaps():
            lab.fail(f"TWICE: overlap {overlap}")
        for start in lab.starts_after_done():
            lab.fail(f"TWICE: start after done {start}")
        supervisor.cancel()
        print(f"{options.case} seed {options.seed}: {len(lab.broken)} findings")

    harness.run(play, timeout_s=timeout_s, lab_class=lab_class, executors=0)
