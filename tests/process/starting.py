"""VMs that start together become ready, whether what they depend on is there at once, late or silent.

`starting.py BUILD_DIR SCENARIO [VMS [SECONDS]]`: prints the times from the start of all processes, or
from the end of the trouble (after so many seconds) if VMs can't be ready before, until each is ready.
"""
import asyncio
import sys
import time

import harness
from lab import SILENT, HttpServer

VMS = 6
TROUBLE_S = 4.0
POLL_S = 0.05
CALLS_AT_ONCE = 16
READY_ALL_S = 12.0  # the bound of recovery of the small sites


def silent_call(*_):
    return SILENT


async def never_answers(*_):
    return SILENT


class Scenario:
    """What is there at the start.  `begin` and `end` frame the trouble."""

    def __init__(self, lab, name):
        self.lab = lab
        self.name = name
        self.advice = HttpServer(never_answers, lab.advice_port)

    async def begin(self):
        lab = self.lab
        if self.name != "all_late":
            await lab.start_stand_ins()
        if self.name == "store_silent":
            lab.store.before = silent_call
        elif self.name == "executors_silent":
            for executor in lab.executors:
                executor.http.handle = never_answers
        elif self.name == "advice_silent":
            await self.advice.start()

    async def end(self):
        lab = self.lab
        if self.name == "all_late":
            await lab.start_stand_ins()
        elif self.name == "store_silent":
            lab.store.before = None
        elif self.name == "executors_silent":
            for executor in lab.executors:
                executor.http.handle = executor.handle


# Whether VMs can be ready while the trouble lasts.
SCENARIOS = {"at_once": True, "all_late": False, "store_silent": False, "advice_silent": True,
             "executors_silent": True}


async def until_ready(lab, vm, since, gate):
    """Seconds from `since` until the VM is ready; None if it isn't within the bound."""
    while time.monotonic() - since < READY_ALL_S:
        async with gate:
            if await lab.is_ready(vm):
                return max(time.monotonic() - since, 0.0)
        await asyncio.sleep(POLL_S)
    return None


def quantile(times, share):
    return sorted(times)[min(int(len(times) * share), len(times) - 1)]


async def case(lab):
    name = sys.argv[2]
    trouble_s = float(sys.argv[4]) if len(sys.argv) > 4 else TROUBLE_S
    scenario = Scenario(lab, name)
    await scenario.begin()
    gate = asyncio.Semaphore(CALLS_AT_ONCE)
    since = time.monotonic()
    lab.start_vms()
    launched_s = time.monotonic() - since
    if not SCENARIOS[name]:
        await asyncio.sleep(trouble_s)
        await scenario.end()
        since = time.monotonic()
    times = await asyncio.gather(*(until_ready(lab, vm, since, gate) for vm in lab.vms))
    missing = [vm["name"] for vm, value in zip(lab.vms, times) if value is None]
    if missing:
        lab.fail(f"not ready within {READY_ALL_S:.0f} s: {len(missing)} of {len(lab.vms)}")
    else:
        print(f"{name}: {len(times)} VMs launched in {launched_s:.2f} s, ready after"
              f" p50 {quantile(times, 0.5):.2f} s, p99 {quantile(times, 0.99):.2f} s")
    if SCENARIOS[name]:
        await scenario.end()
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case, vms=int(sys.argv[3]) if len(sys.argv) > 3 else VMS)
