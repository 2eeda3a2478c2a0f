"""Guards against tasks that run twice because a start order whose outcome is not known is taken for settled, and the
next incarnation of the executor runs it.

usage: unsettled_orders.py BUILD_DIR CASE [--seed N]
"""
import asyncio
import random
import time

import harness
from harness import ROUTE
from restarting_executor import (CUT_S, DOWN_S, LONG_MS, TASKS, VICTIM, VICTIMS, cut_off, is_start, occupy_others,
                                 run_case, submit)

WAIT_MAX_S = 3.0  # for the orders that a case needs
RESTART_AFTER_S = (1.2, 2.5, 5.0, 8.0)  # after the order
LATE_S = (2.0, 12.0)  # a call without an answer may be carried out so long after it was sent
MIDDLE_INCARNATION_S = 1.6  # long enough to list what it runs; two runs that end unlisted fail their job
GAP_S = 0.3
OTHERS_MS = 1800  # long enough for a task that was lost with its executor to start there at once
ENTRY_DELAY_S = 0.3
CUT_AFTER_ENTRY_S = 0.05
CUT_AFTER_HOLD_S = 0.02
SHORT_MS = 200
FINISH_S = 40.0


class RecordingLab(harness.ProcessLab):
    """Knows the jobs that were accepted."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.jobs = []

    async def submit(self, *args, **options):
        job, status = await super().submit(*args, **options)
        if status == 200:
            self.jobs.append(job)
        return job, status

    async def check_jobs(self):
        """All jobs succeed in time."""
        until = time.monotonic() + FINISH_S
        for job in self.jobs:
            status, state = await self.state(ROUTE[0], job)
            while state in ("queued", "running") and time.monotonic() < until:
                await asyncio.sleep(0.3)
                status, state = await self.state(ROUTE[0], job)
            if (status, state) != (200, "succeeded"):
                self.fail(f"LOST: job {job} is {status} {state}")


def is_hold(path, _):
    return path == "/hold"


async def wait_for_orders(victims):
    """Each victim has kept a start order."""
    await asyncio.wait_for(asyncio.gather(*(victim.has_kept.wait() for victim in victims)), WAIT_MAX_S)


def keep_first_start(victims):
    """The first start order that each gets from now on has no answer and is not carried out yet."""
    for victim in victims:
        victim.keeps = lambda path, body, victim=victim: is_start(path, body) and not victim.kept


async def carry_out_after_restart(lab, victim, restart_after_s, middle_incarnations=0):
    """The next incarnation carries out the kept start order before any other call, and is cut off."""
    await victim.has_kept.wait()
    sent = time.monotonic()
    order = victim.kept[0]
    await asyncio.sleep(restart_after_s)
    for _ in range(middle_incarnations):
        await victim.restart()
        await asyncio.sleep(MIDDLE_INCARNATION_S)
    victim.is_cut = True
    await victim.restart(max(DOWN_S, sent + LATE_S[0] - time.monotonic()))
    age_s = time.monotonic() - sent
    if not LATE_S[0] <= age_s <= LATE_S[1]:
        raise RuntimeError(f"the order would be carried out {age_s:.3f} s after it was sent")
    lab.record("test", f"{victim.id} carries out an order {age_s:.3f} s after it was sent; it ended after "
               f"{restart_after_s} s, incarnations between: {middle_incarnations}")
    await victim.carry_out(lambda path, body: body is order[1])
    await cut_off(lab, [victim], CUT_S)


async def carry_out_all_after_restart(lab, victims, choices, middle_incarnations=0):
    times = random.sample(choices, VICTIMS)
    await asyncio.gather(*(carry_out_after_restart(lab, victim, restart_after_s, middle_incarnations)
                           for victim, restart_after_s in zip(victims, times)))


async def answered_by_next_incarnation(lab, victims, is_reached_by_hold=False):
    """Start orders that are sent just before the end and in the gap are answered by the next incarnation, which is cut
    off before it answers a hold request."""
    for victim in victims:
        victim.http.resets_connections = False
        victim.entry_delay_s = ENTRY_DELAY_S
    await submit(lab, SHORT_MS, VICTIM)  # opens connections for orders
    await asyncio.sleep(1.5)
    await occupy_others(lab, OTHERS_MS)
    await asyncio.sleep(OTHERS_MS / 1000 - 2 * GAP_S)  # they have room soon after the return
    jobs = []
    # Tasks that the former incarnation began start again first, which would delay the others beyond the hold request.
    if not is_reached_by_hold:
        jobs.append(asyncio.create_task(submit(lab, LONG_MS, count=TASKS // 2)))
        await asyncio.sleep(random.uniform(0.0, 0.03))
    restarts = [asyncio.create_task(victim.restart(GAP_S) if is_reached_by_hold else victim.restart(GAP_S, is_hold))
                for victim in victims]
    await asyncio.sleep(random.uniform(0.0, 0.1))
    jobs.append(asyncio.create_task(submit(lab, LONG_MS, count=TASKS // 2)))
    await asyncio.gather(*restarts)
    await asyncio.sleep(ENTRY_DELAY_S + CUT_AFTER_ENTRY_S)
    if is_reached_by_hold:
        await asyncio.wait_for(asyncio.gather(*(victim.has_answered_hold.wait() for victim in victims)), WAIT_MAX_S)
        await asyncio.sleep(CUT_AFTER_HOLD_S)
    lab.record("test", f"runs on the next incarnations: {sum(len(victim.running) for victim in victims)}")
    await cut_off(lab, victims, CUT_S)
    await asyncio.gather(*jobs)


async def answered_by_next_incarnation_and_hold(lab, victims):
    """As `answered_by_next_incarnation`, but cut off after the first answer to a hold request."""
    await answered_by_next_incarnation(lab, victims, is_reached_by_hold=True)


async def confirmed_stop(lab, victims, middle_incarnations=0):
    """A start order without an answer is carried out by the next incarnation, after the former one has confirmed its
    stop."""
    await occupy_others(lab, 2000)
    keep_first_start(victims)
    await submit(lab, LONG_MS)
    await wait_for_orders(victims)
    await carry_out_all_after_restart(lab, victims, RESTART_AFTER_S, middle_incarnations)


async def confirmed_stop_one_more_incarnation(lab, victims):
    """As `confirmed_stop`, but the incarnation after the next one carries the order out."""
    await confirmed_stop(lab, victims, middle_incarnations=1)


async def done_elsewhere(lab, victims):
    """A start order without an answer is carried out by the next incarnation, after a later run has ended `done`."""
    await occupy_others(lab, 1000)
    keep_first_start(victims)
    await submit(lab, SHORT_MS)
    await wait_for_orders(victims)
    await carry_out_all_after_restart(lab, victims, RESTART_AFTER_S[1:])


def with_job_check(case):
    async def play(lab, victims):
        await case(lab, victims)
        await lab.check_jobs()
    return play


CASES = {case.__name__: with_job_check(case) for case in (
    answered_by_next_incarnation, answered_by_next_incarnation_and_hold, confirmed_stop,
    confirmed_stop_one_more_incarnation, done_elsewhere)}

run_case(CASES, lab_class=RecordingLab, timeout_s=100)
