"""Ten thousand connections, however they end, leave no descriptor and no memory in use."""
import asyncio
import re

import harness

ROUNDS = 400
AT_ONCE = 5  # connections of each kind
ENDED_S = 5.0  # until the last connection is no longer counted
GROWTH_MB = 12.0
SPARE_DESCRIPTORS = 4  # calls to the store and to executors come and go

KEEP_ALIVE = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
KINDS = (
    b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    KEEP_ALIVE,
    b"GET /read",
    b"POST /readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
    b"\0\1\r\n\r\n",
)


async def one(address, text):
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(text)
        if b"GET /readiness" in text:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def play(lab, vm, rounds):
    for _ in range(rounds):
        await asyncio.gather(*(one(lab.address(vm, "front"), text)
                               for text in KINDS for _ in range(AT_ONCE)))


async def keeps_open(address):
    """Whether two requests are answered on one connection."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for _ in range(2):
            writer.write(KEEP_ALIVE)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            await reader.readexactly(int(re.search(rb"content-length: *(\d+)", head.lower())[1]))
            await asyncio.sleep(0.3)
        return True
    except (ConnectionError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


async def descriptors(lab, vm):
    return (await lab.metrics(vm))["mimosastair_process_descriptors"]


async def case(lab):
    await lab.start()
    vm = lab.vms[0]
    await play(lab, vm, ROUNDS // 10)
    await asyncio.sleep(1.0)
    before_mb, before = lab.resident_mb(vm), await descriptors(lab, vm)
    await play(lab, vm, ROUNDS)
    for _ in range(int(ENDED_S / 0.2)):
        after = await descriptors(lab, vm)
        if after <= before + SPARE_DESCRIPTORS:
            break
        await asyncio.sleep(0.2)
    growth_mb = lab.resident_mb(vm) - before_mb
    lab.record("test", f"descriptors {before:.0f}, then {after:.0f}; {before_mb:.1f} MB, and {growth_mb:.1f} more")
    if after > before + SPARE_DESCRIPTORS:
        lab.fail(f"{after:.0f} descriptors after, {before:.0f} before")
    if growth_mb > GROWTH_MB and not lab.has_sanitizer():
        lab.fail(f"{growth_mb:.1f} MB more resident")
    for listener in ("front", "ready", "metrics"):
        if not await keeps_open(lab.address(vm, listener)):
            lab.fail(f"{listener}: a connection is closed between two requests")
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case)
