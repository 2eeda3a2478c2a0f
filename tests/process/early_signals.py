"""No signal ends a process between its first instruction and its handlers but those meant to: SIGHUP changes
nothing, SIGTERM and SIGINT end it in order.  What comes before main(), while libraries are linked, is counted only.
"""
import asyncio
import random
import signal
import statistics
import subprocess
import time
from pathlib import Path

import harness

SEED = 39
RUNS = 24  # of each signal at random delays
DELAY_S = 0.060
WAIT_S = 10.0
IGNORED = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGPIPE, signal.SIGVTALRM, signal.SIGPROF,
           signal.SIGIO, signal.SIGWINCH, signal.SIGPWR, signal.SIGCONT, signal.SIGURG, signal.SIGCHLD)


def linking_s(lab):
    """How long a process takes that does little but link its libraries."""
    took = []
    for _ in range(7):
        began = time.monotonic()
        subprocess.run([lab.binary, "entry", "--version"], stdout=subprocess.DEVNULL, check=True)
        took.append(time.monotonic() - began)
    return statistics.median(took)


def is_covered(vm, number):
    """Whether the process blocks, ignores or handles the signal."""
    try:
        text = Path(f"/proc/{vm['process'].pid}/status").read_text()
    except OSError:
        return False
    masks = (int(line.split()[1], 16) for line in text.splitlines() if line[:6] in ("SigBlk", "SigIgn", "SigCgt"))
    return any(mask >> (number - 1) & 1 for mask in masks)


async def until(condition):
    end = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.005)
    return condition()


class Series:
    """Starts of one VM, each with a signal."""

    def __init__(self, lab, vm):
        self.lab, self.vm = lab, vm
        self.linking_s = linking_s(lab)
        self.uncovered = 0

    def launch(self):
        self.lab.log_path(self.vm).write_bytes(b"")
        self.lab.launch(self.vm)

    def is_running(self):
        return bool(self.lab.events(self.vm, "started"))

    async def kill(self):
        self.lab.signal(self.vm, signal.SIGKILL)
        self.vm["process"].wait()

    async def play(self, number, delay_s):
        """Sends the signal after the delay, or as soon as the log has a line if the delay is None."""
        self.launch()
        began = time.monotonic()
        while self.lab.log_path(self.vm).stat().st_size == 0 if delay_s is None else time.monotonic() - began < delay_s:
            pass
        has_log = self.lab.log_path(self.vm).stat().st_size > 0
        is_late = time.monotonic() - began > 2 * self.linking_s
        must_keep = is_covered(self.vm, number) or has_log or is_late
        self.lab.signal(self.vm, number)
        what = f"{number.name} after {1000 * (time.monotonic() - began):.1f} ms, linking takes {1000 * self.linking_s:.1f}"
        if not must_keep and not await self.survives(0.05):
            self.uncovered += 1
            return
        if number in (signal.SIGTERM, signal.SIGINT):
            await self.check_ends_in_order(what, must_keep)
        else:
            await self.check_goes_on(number, what)
        await self.kill()

    async def survives(self, seconds):
        await asyncio.sleep(seconds)
        return self.vm["process"].poll() in (None, 0)

    async def check_ends_in_order(self, what, must_keep):
        ended = await until(lambda: self.vm["process"].poll() is not None)
        last = (self.lab.log_text(self.vm).splitlines() or [""])[-1]
        if must_keep and (not ended or self.vm["process"].returncode != 0 or "event=stopped" not in last):
            self.lab.fail(f"{what}: the exit status is {self.vm['process'].poll()}, the last line {last}")

    async def check_goes_on(self, number, what):
        await until(lambda: self.is_running() or self.vm["process"].poll() is not None)
        if number == signal.SIGHUP:
            await until(lambda: self.lab.events(self.vm, "reload") or self.vm["process"].poll() is not None)
        if self.vm["process"].poll() is not None:
            self.lab.fail(f"{what}: ended with {self.vm['process'].returncode}")
        elif not self.is_running():
            self.lab.fail(f"{what}: not started")


async def case(lab):
    numbers = random.Random(SEED)
    await lab.start_stand_ins()
    lab.extra = ["--drain-delay-ms=0"]
    lab.start_vms()
    vm = lab.vms[0]
    series = Series(lab, vm)
    await series.kill()
    for number in (signal.SIGHUP, signal.SIGTERM):
        for _ in range(RUNS):
            await series.play(number, numbers.uniform(0, DELAY_S))
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, *IGNORED):
        await series.play(number, None)
    print(f"linking takes {1000 * series.linking_s:.1f} ms; {series.uncovered} of {2 * RUNS} signals came before main()")
    lab.extra = []
    series.launch()
    await lab.until_ready()
    for number in IGNORED + (signal.SIGHUP,):
        lab.signal(vm, number)
    await asyncio.sleep(0.3)
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case, vms=1)
