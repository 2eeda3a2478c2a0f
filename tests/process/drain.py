"""A VM that gets SIGTERM answers the requests that it has read, and ends once they are answered."""
import asyncio
import signal
import time

import harness

WRITE_S = 0.5  # of the store, which holds requests open beyond the end of the drain delay
DRAIN_DELAY_S = 2.5  # default of --drain-delay-ms
INTERVAL_S = 0.1
END_S = DRAIN_DELAY_S + WRITE_S + 1.0


async def case(lab):
    await lab.start()
    execute = lab.store.http.handle

    async def handle(*request):
        if request[1] == "/kv-txn":
            await asyncio.sleep(WRITE_S)
        return await execute(*request)

    lab.store.http.handle = handle
    vm = lab.vms[1]
    vm["wanted_down"] = True
    lab.signal(vm, signal.SIGTERM)
    began = time.monotonic()

    async def submit():
        sent_s = time.monotonic() - began
        _, status = await lab.submit(harness.ROUTE[0], [{"count": 1, "cpu": 10, "mem-mb": 1, "est-runtime-ms": 5}],
                                     5, tries=1, vm=1)
        if status == 0:
            lab.fail(f"a request sent {sent_s:.1f} s after SIGTERM has no answer")

    requests = []
    while time.monotonic() - began < DRAIN_DELAY_S - INTERVAL_S:
        requests.append(asyncio.create_task(submit()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*requests)
    while vm["process"].poll() is None and time.monotonic() - began < END_S:
        await asyncio.sleep(0.02)
    if vm["process"].poll() != 0:
        lab.fail(f"the exit status is {vm['process'].poll()} {END_S} s after SIGTERM")
    if "module=library" in lab.log_text(vm):
        lab.fail("a library complains")


harness.run(case)
