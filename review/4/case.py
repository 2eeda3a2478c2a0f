"""Another writer's entry, whose address has no host, stands in the registry: see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lab as laboratory

VMS = 6
EXECUTORS = 8
RESTART_DELAY_S = 0.5  # the platform restarts a process that exits
WATCHED_S = 25.0
ENDS_A_VM = 3  # rule Fault: processes end by themselves three times
VMS_ENDED_MIN = 2  # ... on a tenth of the machines in use, two at least
TASK_MS = 800


def odd_entry(lab):
    """Like the entry of an executor, but its address has no host."""
    return {"service": "rota", "address": ":8080", "zone": lab.zones[0], "version": "v1", "slots": 8,
            "state": "ready", "cold-left-ms": 0,
            "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": 0}, "labels": ["a", "r1"],
            "clock-ms": 1, "seq": 1, "born": int(time.time() * 1000)}


async def supervise(lab, ends):
    """Restarts processes that end, as the platform does, and counts the ends."""
    while True:
        await asyncio.sleep(0.05)
        for vm in lab.vms:
            code = vm["process"].poll()
            if code is None:
                continue
            ends[vm["name"]] += 1
            lab.record(vm["name"], f"process {vm['process'].pid} ended by itself with {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            lab.launch(vm)


async def case(lab):
    lab.routes([("checks", "rota", {})])
    lab.executors = [laboratory.Executor(lab, f"i-{k:02}", "rota", lab.zones[k % 3])
                     for k in range(EXECUTORS)]
    await lab.start()
    ends = {vm["name"]: 0 for vm in lab.vms}
    supervisor = asyncio.create_task(supervise(lab, ends))
    if lab.trouble:
        lab.record("trouble", "another writer puts servers/other-1, whose address has no host")
        lab.store.put("servers/other-1", odd_entry(lab))
    jobs = []
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        jobs.append(await lab.submit("checks", [{"count": 2, "cpu": 2000, "mem-mb": 512,
                                                 "est-runtime-ms": TASK_MS}], TASK_MS, tries=1))
        await asyncio.sleep(0.5)
    supervisor.cancel()
    lab.record("test", f"{sum(s == 200 for _, s in jobs)} of {len(jobs)} jobs accepted;"
               f" processes that ended by themselves: {ends}")
    ended = [name for name, count in ends.items() if count >= ENDS_A_VM]
    if len(ended) >= VMS_ENDED_MIN:
        lab.fail(f"Fault: on {len(ended)} of {VMS} VMs processes ended by themselves {ENDS_A_VM}"
                 f" times or more in {WATCHED_S:.0f} s: {ends}")


laboratory.run(case, FOLDER, vms=VMS)
