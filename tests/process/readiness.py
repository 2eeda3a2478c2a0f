"""A VM that cannot store jobs is not ready, so that the balancer sends customers to VMs that can.

With the leader on the same side of a cut, VMs stayed ready for as long as it lasted, and refused all jobs.
"""
import asyncio

import harness
from lab import SILENT

UNREADY_S = 2.5  # a call without an answer, and the balancer's two looks
READY_S = 12.0  # the bound of recovery of the small sites
POLL_S = 0.1


def silent_call(*_):
    return SILENT


async def becomes_unready(lab, vm):
    stopwatch = lab.stopwatch()
    while stopwatch.elapsed_s() < UNREADY_S:
        if not await lab.is_ready(vm):
            return True
        await asyncio.sleep(POLL_S)
    return False


async def case(lab):
    await lab.start()
    lab.store.before = silent_call
    for unready, vm in zip(await asyncio.gather(*(becomes_unready(lab, vm) for vm in lab.vms)), lab.vms):
        if not unready:
            lab.fail(f"{vm['name']} is still ready {UNREADY_S} s after the store fell silent for all VMs")
    lab.store.before = None
    for vm in lab.vms:
        if not await lab.becomes_ready(vm, READY_S):
            lab.fail(f"{vm['name']} is not ready {READY_S} s after the store was back")
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case)
