"""A request whose length is odd is answered, or its connection closed; it ends no process and takes no memory."""
import asyncio

import harness

LENGTHS = ("-1", "-9223372036854775808", "18446744073709551615", "9223372036854775807", "1e3", "0x10", "+5", " ")
CALL_S = 2.0
PAUSE_S = 3.0  # within the time for a request, beyond a second without a byte
BODY_BYTES = 200 * 1000


async def send(address, parts, pause_s=0.0):
    """Sends the parts with a pause between them.  Returns what is answered."""
    host, _, port = address.partition(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        for index, part in enumerate(parts):
            if index > 0:
                await asyncio.sleep(pause_s)
            writer.write(part)
            await writer.drain()
        return await asyncio.wait_for(reader.read(4096), CALL_S)
    except (OSError, asyncio.TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()


async def check_lengths(lab, vm, listener):
    for length in LENGTHS:
        head = f"POST /checks/1 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {length}\r\n\r\n".encode()
        answer = await send(lab.address(vm, listener), [head])
        if length.startswith("-") and not answer.startswith(b"HTTP/1.1 400"):
            lab.fail(f"{listener}, length {length}: {answer[:40]}")
        if not await lab.is_ready(vm):
            lab.fail(f"{listener}, length {length}: {vm['name']} is not ready")


async def check_pause(lab, vm):
    """A large body may pause while memory is free."""
    head = f"POST /checks/1 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
    parts = [head + b" " * (BODY_BYTES - 1), b" "]
    answer = await send(lab.address(vm, "front"), parts, PAUSE_S)
    if not answer.startswith(b"HTTP/1.1 4"):
        lab.fail(f"a large body that pauses for {PAUSE_S} s: {answer[:40]}")


async def case(lab):
    await lab.start()
    vm = lab.vms[0]
    for listener in ("front", "ready", "metrics"):
        await check_lengths(lab, vm, listener)
    await check_pause(lab, vm)
    used = [value for name, value in (await lab.metrics(vm)).items() if "memory_used_bytes{share=\"requests" in name]
    if used != [0]:
        lab.fail(f"memory of requests in use: {used}")
    lab.check_no_ends()


harness.run(case, vms=2)
