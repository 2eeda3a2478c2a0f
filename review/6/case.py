"""An executor crashes while a task that lasts runs on it, and the leader's VM is killed at the same
moment.  Both are back after a second.  Within nine seconds the task must run again: six after its
last run, and three in which nothing runs although there is room; the seconds from the third on are
calm."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from deployment import CannotRun, Broken, Executor, job, config, route, run_case

TASKS = 4
DOWN_S = 1.0
AFTER_RUN_S = 6.0
CALM_BEFORE_S = 4.0
NOTHING_RUNS_S = 3.0
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"


def runs_of(deployment, task):
    return [e for e in deployment.executors.values() if e.is_up and task in e.runs]


async def play(deployment, trouble):
    advised = route("r-plans", "/plans/", attempts=2, advice=deployment.advice_terms)
    deployment.ticket_jobs.add(JOB)
    executors = [Executor(deployment, f"i-{name}") for name in "abcdef"]
    await deployment.begin(config(7, [advised]), executors, 3)
    leader = await deployment.until_leader()
    await asyncio.sleep(2)
    work = job(0, count=TASKS, **{"long-running": True, "est-runtime-ms": 1000})
    status, _ = await deployment.call(leader, "POST", f"/plans/{JOB}", work)
    if status != 200:
        raise CannotRun("the job was not accepted")
    if not await deployment.wait_for(lambda: len(deployment.events("start")) == TASKS, 10):
        raise CannotRun("the tasks did not start")
    await asyncio.sleep(5)
    ended = time.monotonic()
    if trouble:
        executor = deployment.events("start", TASK)[0]["executor"]
        leader.kill()
        executor.crash()
        asyncio.ensure_future(executor.forget())
        await asyncio.sleep(DOWN_S)
        leader.start()
        again = Executor(deployment, "i-g", port=executor.port)
        deployment.executors[again.id] = again
        await again.start()
        await deployment.until_ready(leader)
    calm_s = time.monotonic() - ended
    bound_s = max(AFTER_RUN_S, calm_s + CALM_BEFORE_S) + NOTHING_RUNS_S
    await deployment.wait_for(lambda: runs_of(deployment, TASK), 60)
    away_s = time.monotonic() - ended
    deployment.record.note("case", f"away for {away_s:.1f} s, allowed {bound_s:.1f} s")
    if away_s > bound_s:
        raise Broken(f"LOST: task {TASK} had no run for {away_s:.1f} s")
    await asyncio.sleep(10)
    if not runs_of(deployment, TASK):
        raise Broken(f"LOST: task {TASK} does not run")


run_case(play, HERE, trouble=os.environ.get("TROUBLE") != "0")
