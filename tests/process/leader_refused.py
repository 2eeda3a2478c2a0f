"""A leader hands over if executors refuse its token though no other VM leads: the next leader's token is higher.  It kept
the record of the leader and acted no more, so that no task started (LOST)."""
import asyncio
import time

import harness

FENCE_STEPS = 1 << 20  # tokens of a leader
HAND_OVER_S = 8.0


async def case(lab):
    await lab.start()
    leader = lab.leader()["name"]
    for executor in lab.executors:
        executor.fence += FENCE_STEPS
    began = time.monotonic()
    job, status = await lab.submit(harness.ROUTE[0], [{"count": 6, "cpu": 1000, "mem-mb": 64, "est-runtime-ms": 100}], 100)
    state = None
    while state != "succeeded" and time.monotonic() < began + HAND_OVER_S:
        await asyncio.sleep(0.1)
        _, state = await lab.state(harness.ROUTE[0], job)
    print(f"{status}, {state} after {time.monotonic() - began:.2f} s; {leader} led before, {lab.leader()['name']} leads now")
    if state != "succeeded":
        lab.fail(f"LOST: job {job} is {state}")
    lab.check_no_ends()


harness.run(case)
