"""A VM starts although its ports are in use for a while, and ends with status 2 if they stay in use."""
import asyncio
import signal
import socket

import harness

HELD_S = 2.0  # a port is in use this long
READY_S = 5.0  # until a VM is ready after its port is free


def split(address):
    host, _, port = address.partition(":")
    return host, int(port)


def listen_on(address):
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(split(address))
    holder.listen()
    return [holder]


def connect_from(address):
    """An outgoing connection that was given the number of the port."""
    server = socket.socket()
    server.bind((harness.HOST, 0))
    server.listen()
    outgoing = socket.socket()
    outgoing.bind(split(address))
    outgoing.connect(server.getsockname())
    return [outgoing, server]


async def end_vm(vm):
    if vm["process"].poll() is None:
        vm["process"].kill()
    vm["process"].wait()
    await asyncio.sleep(0.1)


def take_new_ports(vm):
    """No connection of a former process is left on them."""
    settings = vm["settings"]
    for listener in settings["listen"]:
        settings["listen"][listener] = f"{harness.HOST}:{harness.laboratory.free_port()}"
    first = harness.laboratory.free_port()
    settings["port-range"] = [first, first + 1]


def has_ended(lab, vm, what):
    code = vm["process"].poll()
    if code is not None:
        lab.fail(f"{what}: the process ended with {code}")
    return code is not None


async def start_beside(lab, vm, listener, hold):
    """Starts the process while its port is in use, and frees the port."""
    what = f"{listener}, {hold.__name__}"
    await end_vm(vm)
    take_new_ports(vm)
    holders = hold(lab.address(vm, listener))
    lab.launch(vm)
    await asyncio.sleep(HELD_S)
    if not has_ended(lab, vm, what) and listener != "ready" and await lab.is_ready(vm):
        lab.fail(f"{what}: ready before it listens")
    for holder in holders:
        holder.close()
    if vm["process"].poll() is None and not await lab.becomes_ready(vm, READY_S):
        lab.fail(f"{what}: not ready {READY_S:.0f} s after the port was free")
    await asyncio.sleep(0.2)
    for event in ("port_in_use", "port_bound"):
        if len([line for line in lab.events(vm, event) if f"listener={listener}" in line]) == 0:
            lab.fail(f"{what}: no line {event}")


async def start_beside_former(lab, vm):
    """Starts the process while the one before it drains."""
    former = vm["process"]
    former.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    lab.launch(vm)
    await asyncio.to_thread(former.wait)
    if former.returncode != 0:
        lab.fail(f"the former process ended with {former.returncode}")
    if not has_ended(lab, vm, "former process") and not await lab.becomes_ready(vm, READY_S):
        lab.fail("not ready after the former process has ended")


async def stop_while_waiting(lab, vm):
    await end_vm(vm)
    holders = listen_on(lab.address(vm, "peer"))
    lab.launch(vm)
    await asyncio.sleep(1.0)
    vm["process"].send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(vm["process"].wait)
    if code != 0:
        lab.fail(f"SIGTERM while a port is in use: the process ended with {code}")
    for holder in holders:
        holder.close()
    lab.launch(vm)


async def start_without_address(lab, vm):
    """Starts the process with an address that this machine lacks: the rest of the start goes on meanwhile."""
    await end_vm(vm)
    take_new_ports(vm)
    own = vm["settings"]["listen"]["ready"]
    vm["settings"]["listen"]["ready"] = "192.0.2.1:1"
    lab.launch(vm)
    await asyncio.sleep(HELD_S)
    if not has_ended(lab, vm, "no such address") and not await lab.metrics(vm):
        lab.fail("no such address: the metrics do not answer meanwhile")
    lab.signal(vm, signal.SIGTERM)
    code = await asyncio.to_thread(vm["process"].wait)
    if code != 0:
        lab.fail(f"SIGTERM without the address: the process ended with {code}")
    vm["settings"]["listen"]["ready"] = own
    lab.launch(vm)


async def give_up(lab, vm):
    """Ports that stay in use end the start after a while."""
    await end_vm(vm)
    holders = listen_on(lab.address(vm, "front"))
    lab.launch(vm)
    code = await asyncio.to_thread(vm["process"].wait)
    last = lab.log_text(vm).splitlines()[-2:]
    if code != 2 or not any("event=start_failed" in line for line in last):
        lab.fail(f"a port that stays in use: the process ended with {code}, and {last}")
    if len(lab.events(vm, "port_given_up")) != 1:
        lab.fail("no line port_given_up")
    for holder in holders:
        holder.close()
    lab.launch(vm)


async def ports_in_series(lab, vm):
    for listener in harness.LISTENERS:
        for hold in (listen_on, connect_from):
            await start_beside(lab, vm, listener, hold)


async def case(lab):
    await lab.start()
    await asyncio.gather(ports_in_series(lab, lab.vms[0]), give_up(lab, lab.vms[1]),
                         start_beside_former(lab, lab.vms[2]))
    await stop_while_waiting(lab, lab.vms[2])
    await start_without_address(lab, lab.vms[2])
    await lab.check_all_serve()
    for vm in lab.vms:
        has_ended(lab, vm, vm["name"])


harness.run(case)
