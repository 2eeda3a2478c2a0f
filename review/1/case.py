"""An executor starts again under its id, then the VM that calls it freezes: see claim.txt."""
import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lab as laboratory

VMS = 6
EXECUTORS = 8  # one of them crashes: 0.125; srv_crash: share 0.14
DOWN_S = 1.0  # srv_crash: for_s 4.5
FREEZE_S = 4.0  # node_freeze: count 1, for_s 4.0
WARM_UP_S = 8.0
WARM_UP_JOBS_PER_S = 60
TASK_MS = 2500
FREEZE_BEFORE_END_S = 0.7
SETTLE_S = 14.0


def step(count, work_ms):
    return [{"count": count, "cpu": 2000, "mem-mb": 512, "est-runtime-ms": work_ms}]


async def traffic(lab, jobs):
    """Short tasks, so that each executor has ends that were acknowledged."""
    until = time.monotonic() + WARM_UP_S
    while time.monotonic() < until:
        jobs.append(asyncio.create_task(lab.submit("checks", step(2, 800), 800)))
        await asyncio.sleep(random.expovariate(WARM_UP_JOBS_PER_S))


async def choose_executor(lab):
    """An executor that is called by another VM than the leader's, and the name of that VM."""
    for executor in lab.executors:
        holder, leader = lab.holder(executor)
        if holder is not None and holder != leader and executor.next_end > 40:
            return executor, holder
    raise RuntimeError("no executor fits")


async def case(lab):
    lab.routes([("checks", "rota", {})])
    lab.executors = [laboratory.Executor(lab, f"i-{k:02}", "rota", lab.zones[k % 3])
                     for k in range(EXECUTORS)]
    await lab.start()
    jobs = []
    await traffic(lab, jobs)
    await asyncio.sleep(2)
    executor, holder = await choose_executor(lab)
    if lab.trouble:
        lab.record("trouble", f"{executor.id} crashes for {DOWN_S} s")
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        await asyncio.sleep(1.0)
    for _ in range(8):
        jobs.append(asyncio.create_task(lab.submit("checks", step(12, TASK_MS), TASK_MS)))
    begun = time.monotonic()
    await asyncio.sleep(TASK_MS / 1000 - FREEZE_BEFORE_END_S)
    lab.record("test", f"{executor.id} has {len(executor.running)} tasks and is called by {holder}")
    if lab.trouble:
        if len(executor.running) == 0:
            raise RuntimeError("nothing runs on the executor that started again")
        process = lab.vm(holder)["process"]
        lab.record("trouble", f"{holder} freezes for {FREEZE_S} s")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)
        lab.record("trouble", f"{holder} goes on")
    await asyncio.sleep(max(begun + SETTLE_S - time.monotonic(), 0))
    for at, task, executor_id, run, done_at, done_on, done_run in lab.starts_after_done():
        lab.fail(f"TWICE: task {task} was started on {executor_id} as run {run},"
                 f" {at - done_at:.3f} s after run {done_run} had ended `done` on {done_on};"
                 " that end was taken note of")
    for at, task, executor_id, run, other, number, since in lab.overlaps():
        lab.fail(f"TWICE: task {task} was started on {executor_id} as run {run} while run {number}"
                 f" had been at work on {other} for {since * 1000:.0f} ms")
    accepted = [job for job, status in [await task for task in jobs] if status == 200]
    lab.record("test", f"{len(accepted)} jobs accepted")
    for job in accepted:
        status, state = await lab.state("checks", job)
        if state != "succeeded":
            lab.record("test", f"job {job} is {state} ({status}) at the end")


laboratory.run(case, FOLDER, vms=VMS)
