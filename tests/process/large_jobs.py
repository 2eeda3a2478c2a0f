"""Small requests for jobs of very many tasks leave each process within its memory: what has no room is refused with a
time to come back, and what was accepted is known."""
import asyncio

import harness

JOBS = 24
TASKS = 100000
SETTLE_S = 3.0


async def case(lab):
    await lab.start()
    step = {"count": TASKS, "cpu": 64000, "mem-mb": 64, "est-runtime-ms": 100}  # wider than any executor
    accepted = []
    for _ in range(JOBS):
        job, status = await lab.submit(harness.ROUTE[0], [step], 100, tries=1)
        if status == 200:
            accepted.append(job)
        elif status not in (400, 413, 429, 503):
            lab.fail(f"{job}: {status}")
    await asyncio.sleep(SETTLE_S)
    print(f"{len(accepted)} of {JOBS} accepted; resident "
          + ", ".join(f"{lab.resident_mb(vm):.0f} MB" for vm in lab.vms))
    for vm in lab.vms:
        if not lab.has_sanitizer() and lab.resident_mb(vm) >= lab.memory_mb:
            lab.fail(f"{vm['name']} has {lab.resident_mb(vm):.0f} MB of {lab.memory_mb}")
    for job in accepted:
        status, _ = await lab.state(harness.ROUTE[0], job)
        if status != 200:
            lab.fail(f"{job}: accepted, then {status}")
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case)
