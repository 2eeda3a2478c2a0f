"""Listeners go on after the process ran out of descriptors, whatever its limit is."""
import asyncio
import os
import resource
import time

import harness

DESCRIPTORS = (64, 256, 1024)  # limit of each VM
FLOOD_S = 4.0
ACCEPT_S = 1.0  # until a listener accepts again after the first free descriptor
EXHAUSTED_S = 1.0
LOG_S = 2.0  # the log may be written this much later
CONNECTIONS = 12  # to each listener while no descriptor is free


async def flood(lab):
    """More connections on each port of each VM than the VM has descriptors."""
    opened = []
    for vm, limit in zip(lab.vms, DESCRIPTORS):
        for listener in harness.LISTENERS:
            opened += harness.connect(lab.address(vm, listener), limit * 3 // 2)
            await asyncio.sleep(0)
    await asyncio.sleep(FLOOD_S)
    for sock in opened:
        sock.close()


async def answers(lab, vm, listener, within_s):
    """Whether the listener accepts a connection and does something with it within the time."""
    until = time.monotonic() + within_s
    path = {"ready": "/readiness", "metrics": "/metrics"}.get(listener, "/")
    while time.monotonic() < until:
        if listener == "peer":
            if await is_closed_by_peer(lab.address(vm, listener)):
                return True
        elif (await harness.call(lab.address(vm, listener), "GET", path, timeout=within_s))[0]:
            return True
        await asyncio.sleep(0.05)
    return False


async def is_closed_by_peer(address):
    """A VM that does not lead closes the connections of other VMs, and one that leads those that
    send no frame of its protocol."""
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"\xff" * 64)
        await asyncio.wait_for(reader.read(1), 1.0)
        writer.close()
        return True
    except ConnectionError:
        return True
    except (asyncio.TimeoutError, OSError):
        return False


async def exhaust(lab, vm):
    """No descriptor is free for a while, then some are."""
    pid = vm["process"].pid
    before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    # Not below what is open: poll() refuses more descriptors than the limit.
    used = len(os.listdir(f"/proc/{pid}/fd"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, before[1]))
    opened = [sock for name in harness.LISTENERS for sock in harness.connect(lab.address(vm, name), CONNECTIONS)]
    await asyncio.sleep(EXHAUSTED_S)
    for sock in opened:
        sock.close()
    resource.prlimit(pid, resource.RLIMIT_NOFILE, before)
    accepting = await asyncio.gather(*(answers(lab, vm, name, ACCEPT_S) for name in harness.LISTENERS))
    for name, is_accepting in zip(harness.LISTENERS, accepting):
        if not is_accepting:
            lab.fail(f"{vm['name']}: {name} accepts nothing {ACCEPT_S:.0f} s after descriptors are free")


async def check_pauses_told(lab, vm):
    """Each pause has a log line at its start and at its end, and is counted."""
    until = time.monotonic() + LOG_S
    while True:
        paused, resumed = (len(lab.events(vm, f"accepting_{what}")) for what in ("paused", "resumed"))
        if paused == resumed or time.monotonic() > until:
            break
        await asyncio.sleep(0.1)
    if paused == 0 or paused != resumed:
        lab.fail(f"{vm['name']}: log lines of {paused} pauses and of {resumed} ends of a pause")
    metrics = await lab.metrics(vm)
    counted = sum(metrics.get(f'mimosastair_listener_pauses_total{{listener="{name}"}}', 0)
                  for name in harness.LISTENERS)
    if counted != paused:
        lab.fail(f"{vm['name']}: {counted:.0f} pauses in the metrics, {paused} in the log")


async def case(lab):
    await lab.start_stand_ins()
    for i, limit in enumerate(DESCRIPTORS):
        lab.limits = {resource.RLIMIT_NOFILE: (limit, limit)}
        lab.start_vm(i)
    await lab.until_ready()
    for vm in lab.vms:
        await exhaust(lab, vm)
    await lab.check_all_serve()
    await flood(lab)
    await lab.check_all_serve()
    for vm in lab.vms:
        await check_pauses_told(lab, vm)
    lab.check_no_ends()


harness.run(case)
