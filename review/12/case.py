"""The leader's VM is stopped and started again under a steady load of short tasks: tasks whose ends wait beyond the 500th are run again."""
import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-3"))
from lab3 import TROUBLE, play  # noqa: E402

PREFIX = "/lohu930/"
JOBS_PER_S = 13.0
LOAD_S = 25.0
STOP_AFTER_S = 5.0
RESTART_S = 0.5  # the platform starts a process that has ended again
FINISH_S = 25.0
STEP = {"count": 20, "cpu": 500, "mem-mb": 256, "est-runtime-ms": 900}  # sizes of the example in PROTOCOL.md


async def case(lab):
    lab.add_route("checks", PREFIX, attempts=3)
    await lab.start()
    submitting = []

    async def load():
        until = lab.now() + LOAD_S
        while lab.now() < until:
            submitting.append(asyncio.create_task(
                lab.submit(PREFIX, [STEP], "ms=900;cpu=500", vm=len(submitting) % len(lab.vms))))
            await asyncio.sleep(1 / JOBS_PER_S)
    loading = asyncio.create_task(load())
    await asyncio.sleep(STOP_AFTER_S)
    if TROUBLE:
        vm = lab.leader()
        vm.signal(signal.SIGTERM)
        await vm.process.wait()
        await asyncio.sleep(RESTART_S)
        await vm.launch()
    await loading
    await asyncio.gather(*submitting)
    await asyncio.sleep(FINISH_S)
    lab.check_twice()


play(Path(__file__).parent, case, executors=6)
