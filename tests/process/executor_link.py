"""What lies between the entry VMs and a stand-in executor: calls that are carried out late, and cuts.

A call that gets no answer may be carried out LATE_S later, by the incarnation that is there then, also while the
executor is cut off.
"""
import asyncio
import time
import weakref

from harness import laboratory

LATE_S = (2.0, 12.0)
CALLS = ("/hold", "/run-start", "/run-stop")
SENT_IN_CUT_SHARE = 0.3  # of calls sent while the executor is cut off: they may arrive after the cut
NO_ANSWER_S = 3.0  # longer than callers wait
NEXT_S = 0.3
POLL_S = 0.005


class Link:
    """The link of one executor, over all of its incarnations.

    `may_carry_out(executor, incarnation, path, body)` is asked before a late call that was sent to `incarnation` is
    carried out.
    """

    COUNTS = ("late", "late in another incarnation", "late in a cut")

    def __init__(self, executor, draw, may_carry_out):
        self.executor = executor
        self.draw = draw
        self.may_carry_out = may_carry_out
        # Of calls that get no answer and are carried out late, or as soon as the next incarnation is there.
        self.late_share = 0.0
        self.next_share = 0.0
        self.healed = None  # set at the end of the cut; None: not cut off
        self.incarnations = weakref.WeakKeyDictionary()  # task that serves a connection -> born
        self.late_calls = set()  # tasks
        self.counts = dict.fromkeys(self.COUNTS, 0)
        self.inner = executor.http.handle
        executor.http.handle = self.handle

    def record(self, text):
        self.executor.lab.record(self.executor.id, text)

    # ---- Crashes and cuts.

    async def go_down(self, is_dark):
        """The executor ends.  If `is_dark`, calls on new connections wait for its next incarnation."""
        self.executor.crash()
        if is_dark:
            await self.executor.http.start()

    async def cut(self, seconds, entry_s):
        """Cuts the executor off; its entry is removed after `entry_s` of silence."""
        healed = self.healed = asyncio.Event()
        self.executor.is_cut_off = True
        self.record(f"cut off for {seconds:.1f} s")
        await asyncio.sleep(min(seconds, entry_s))
        if seconds > entry_s:
            self.executor.lab.store.delete(f"servers/{self.executor.id}")
            await asyncio.sleep(seconds - entry_s)
        self.executor.is_cut_off = False
        self.healed = None
        healed.set()
        self.record("no longer cut off")
        if self.executor.is_up:
            self.executor.register()

    async def until_up(self):
        while not self.executor.is_up:
            await asyncio.sleep(POLL_S)

    # ---- Calls.

    async def handle(self, *request):
        connection = asyncio.current_task()
        if connection not in self.incarnations:
            sent_to = self.executor.born
            await self.until_up()
            self.incarnations[connection] = self.executor.born
        else:
            sent_to = self.incarnations[connection]
        if self.healed is not None:
            return await self.lose(request, sent_to)
        if request[1] in CALLS:
            drawn = self.draw.random()
            if drawn < self.next_share and sent_to == self.executor.born:
                return await self.delay(request, sent_to, True)
            if drawn >= 1.0 - self.late_share:
                return await self.delay(request, sent_to, False)
        if not self.executor.is_up or self.incarnations[connection] != self.executor.born:
            return laboratory.RESET
        answer = await self.inner(*request)
        if self.healed is not None:
            await self.healed.wait()
            return laboratory.RESET
        return answer

    async def lose(self, request, sent_to):
        """A call that is sent while the executor is cut off."""
        healed = self.healed
        if request[1] in CALLS and self.draw.random() < SENT_IN_CUT_SHARE:
            self.begin_late_call(request, sent_to, self.draw.uniform(*LATE_S), healed.wait())
        await healed.wait()
        return laboratory.RESET

    async def delay(self, request, sent_to, until_next):
        if until_next:
            self.begin_late_call(request, sent_to, 0.0, self.until_next(self.executor.born))
            delay_s = NO_ANSWER_S
        else:
            delay_s = self.draw.uniform(*LATE_S)
            self.begin_late_call(request, sent_to, delay_s, asyncio.sleep(0))
        if self.draw.random() < 0.5:
            await asyncio.sleep(delay_s)
        return laboratory.RESET

    async def until_next(self, incarnation):
        """Waits for an incarnation after this one, and at times for its first calls."""
        while self.executor.born == incarnation or not self.executor.is_up:
            await asyncio.sleep(POLL_S)
        if self.draw.random() < 0.4:
            await asyncio.sleep(self.draw.uniform(0.0, NEXT_S))

    def begin_late_call(self, request, sent_to, delay_s, event):
        task = asyncio.create_task(self.carry_out(request[1], request[4], sent_to, delay_s, event))
        self.late_calls.add(task)
        task.add_done_callback(self.late_calls.discard)

    async def carry_out(self, path, body, sent_to, delay_s, event):
        """Carries the call out after the delay, and not before `event`, unless it would be too late."""
        executor = self.executor
        sent_at = time.monotonic()
        await asyncio.sleep(delay_s)
        try:
            await asyncio.wait_for(event, sent_at + LATE_S[1] - time.monotonic())
        except asyncio.TimeoutError:
            return
        if not executor.is_up or not self.may_carry_out(executor, sent_to, path, body):
            return
        is_other = executor.born != sent_to
        self.counts["late"] += 1
        self.counts["late in another incarnation"] += is_other
        self.counts["late in a cut"] += self.healed is not None
        self.record(f"late by {time.monotonic() - sent_at:.1f} s, sent to born={sent_to}: {path}"
                    f" fence={body.get('fence', 0)} of {executor.fence}"
                    f" deadline={body.get('deadline-ms')} of {executor.clock_ms()}"
                    f" acked={body.get('ack-cursor')} {body.get('task', '')} run={body.get('run')}")
        await executor.execute(path, body)
