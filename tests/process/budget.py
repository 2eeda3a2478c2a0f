"""No port of a VM can take the descriptors that another one needs."""
import asyncio
import resource
import time

import harness

SOFT, HARD = 64, 1024
CONNECTIONS = 900  # on the customers' and the other VMs' ports
IDLE_CHECKS = 64  # more than the bound of readiness and of metrics
CHECKS = 10
CHECK_S = 1.0  # until readiness and metrics answer


async def checks_answer(lab, vm, when):
    for _ in range(CHECKS):
        began = time.monotonic()
        ready, metrics = await asyncio.gather(lab.is_ready(vm), lab.metrics(vm))
        if not ready or not metrics or time.monotonic() - began > CHECK_S:
            lab.fail(f"{when}: readiness {ready}, {len(metrics)} metrics, after {time.monotonic() - began:.1f} s")
            return
        await asyncio.sleep(0.05)


async def check_bounds(lab, vm):
    metrics = await lab.metrics(vm)
    total = 0
    for name in harness.LISTENERS:
        count = metrics.get(f'mimosastair_listener_connections{{listener="{name}"}}', -1)
        bound = metrics.get(f'mimosastair_listener_connections_limit{{listener="{name}"}}', -1)
        lab.record("test", f"{name}: {count:.0f} of {bound:.0f}")
        total += bound
        if not 0 <= count <= 2 * bound or bound < 1:
            lab.fail(f"{name}: {count:.0f} connections, bound {bound:.0f}")
    if total > metrics.get("mimosastair_process_descriptors_limit", 0):
        lab.fail(f"the bounds add up to {total:.0f}")
    if not 0 < metrics.get("mimosastair_process_descriptors", 0) < HARD:
        lab.fail("all descriptors are in use, or unknown")


async def case(lab):
    lab.limits = {resource.RLIMIT_NOFILE: (SOFT, HARD)}
    await lab.start()
    for vm in lab.vms:
        if (await lab.metrics(vm)).get("mimosastair_process_descriptors_limit") != HARD:
            lab.fail(f"{vm['name']}: the soft limit is not raised")
        for event in ("descriptor_budget", "max_connections_lowered"):
            if len(lab.events(vm, event)) != 1:
                lab.fail(f"{vm['name']}: no line {event}")
    vm = lab.vms[0]
    opened = []
    for name in harness.LISTENERS:
        opened += harness.connect(lab.address(vm, name),
                          IDLE_CHECKS if name in ("ready", "metrics") else CONNECTIONS)
    await asyncio.sleep(0.5)
    await checks_answer(lab, vm, "with idle connections on all ports")
    await check_bounds(lab, vm)
    if lab.events(vm, "accepting_paused"):
        lab.fail("descriptors ran out")
    for sock in opened:
        sock.close()
    await lab.check_all_serve()
    lab.check_no_ends()


harness.run(case)
