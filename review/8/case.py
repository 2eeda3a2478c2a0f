"""A task that lasts fails, as it may at any time, and is sent to an executor that was lost for good
0.2 s before and is silent.  Within nine seconds the task must run again: six after its last run, and three in which
nothing runs although there is room; these and the four before them are calm."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from deployment import CannotRun, Broken, Executor, job, config, route, run_case

EXECUTORS = 5
FAILS_AFTER_S = 0.2
AFTER_RUN_S = 6.0
NOTHING_RUNS_S = 3.0
EARLIER = "00000000000000a1"
JOB = "5c0e7a21d94b36f8"
NEIGHBOUR = "00000000000000a2"
TASK = f"{JOB}.0.0.0"


def runs_on(deployment, task):
    return [e for e in deployment.executors.values() if e.is_up and task in e.runs]


async def submit(deployment, name, body):
    status, _ = await deployment.call(deployment.entries[0], "POST", f"/plans/{name}", body)
    if status != 200:
        raise CannotRun(f"job {name} was not accepted")


async def play(deployment, trouble):
    deployment.ticket_jobs |= {EARLIER, JOB, NEIGHBOUR}
    advised = route("r-plans", "/plans/", attempts=2, advice=deployment.advice_terms)
    executors = [Executor(deployment, f"i-{n}", rack=f"r1-{n}") for n in range(EXECUTORS)]
    await deployment.begin(config(7, [advised]), executors, 3)
    await deployment.until_leader()
    await asyncio.sleep(2)
    # Some work that was done before, on all executors.
    await submit(deployment, EARLIER, job(500, count=EXECUTORS, **{"max-per-server": 1}))
    if not await deployment.wait_for(lambda: len(deployment.events("end")) == EXECUTORS, 20):
        raise CannotRun("the earlier job did not end")
    lasting = {"long-running": True, "est-runtime-ms": 1000}
    await submit(deployment, JOB, job(0, **lasting))
    if not await deployment.wait_for(lambda: runs_on(deployment, TASK), 10):
        raise CannotRun("the task did not start")
    first = runs_on(deployment, TASK)[0]
    second = [executor for executor in executors if executor is not first][1]
    # The scheduler prefers executors that are partly used.
    await submit(deployment, NEIGHBOUR, job(0, cpu=3000, requires=second.rack, **lasting))
    if not await deployment.wait_for(lambda: runs_on(deployment, f"{NEIGHBOUR}.0.0.0"), 10):
        raise CannotRun("the neighbour did not start")
    await asyncio.sleep(8)
    if trouble:
        second.crash("lost for good, silent", dark=True)
        asyncio.ensure_future(second.forget())
    await asyncio.sleep(FAILS_AFTER_S)
    ended = time.monotonic()
    await first._end(TASK, "failed")
    await deployment.wait_for(lambda: runs_on(deployment, TASK), 50)
    away_s = time.monotonic() - ended
    bound_s = AFTER_RUN_S + NOTHING_RUNS_S
    deployment.record.note("case", f"away for {away_s:.1f} s, allowed {bound_s:.1f} s")
    if away_s > bound_s:
        raise Broken(f"LOST: task {TASK} had no run for {away_s:.1f} s")


run_case(play, HERE, trouble=os.environ.get("TROUBLE") != "0")
