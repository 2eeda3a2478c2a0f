"""A store and an advice service that answer without end leave the process within its memory."""
import asyncio
import signal

import harness
from lab import HttpServer
from traffic import KINDS, TROUBLE_S, Client, Watch

READS = ("/kv-range", "/kv-watch", "/kv-key")
ADVISED = ("advised", "rota", {"advice": {"decide-ms": 5, "period-ms": 1, "validity-ms": 5000}})


async def store_floods(lab, watch, part):
    """Every `part`th read is answered so, also to a VM that starts and reads all lists."""
    for what, answer in KINDS:
        client = Client(lab)
        count = 0

        def before(_, path, __, answer=answer):
            nonlocal count
            count += path in READS
            return answer if path in READS and count % part == 0 else None
        lab.store.before = before
        lab.signal(lab.vms[0], signal.SIGKILL)
        lab.vms[0]["process"].wait()
        lab.launch(lab.vms[0])
        await asyncio.sleep(TROUBLE_S)
        lab.store.before = None
        watch.check(f"one read of {part} {what}")
        await lab.check_all_serve()
        await client.check(0)


async def advice_floods(lab, watch):
    async def handle(*_):
        return KINDS[0][1]
    server = HttpServer(handle, lab.advice_port)
    await server.start()
    await lab.submit("advised", [{"count": 20, "cpu": 1000, "mem-mb": 64, "est-runtime-ms": 50}], 50)
    await asyncio.sleep(TROUBLE_S)
    watch.check("advice")
    server.stop()


async def case(lab):
    lab.routes([harness.ROUTE, ADVISED])
    await lab.start()
    watch = Watch(lab)
    for part in (1, 2):
        await store_floods(lab, watch, part)
    await advice_floods(lab, watch)
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case, memory_mb=160)
