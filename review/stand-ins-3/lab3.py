"""Stand-ins for the cases 11 to 15 of the review: the platform's store, executors, the advice service and clients,
and the entry VMs as processes with the commands of deploy/system.toml, all on loopback and the real clock.

They follow PROTOCOL.md of the users' pages.  Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
ENDS_PER_ANSWER = 500  # "The others are returned again (500 at a time)."
TICKET_S = 1.5
VALUE_BYTES = 1048576  # `value-bytes` of the platform's store
BOUNDS = {"hold-max-ms": 6000, "gang-wait-ms": 3000, "remote-factor": 1.5, "stop-grace-ms": 900}


class CannotRun(Exception):
    """The case could not be played."""


class Broken(Exception):
    """A rule was broken; the check goes on to the end nevertheless."""


def reserve_ports(count):
    """Free ports below the range of outgoing connections; they stay bound until all are known."""
    held, ports = [], []
    for port in range(10000 + random.randrange(200) * 100, 32000):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            sock.close()
            continue
        held.append(sock)
        ports.append(port)
        if len(ports) == count:
            break
    for sock in held:
        sock.close()
    if len(ports) < count:
        raise CannotRun("no free ports")
    return ports


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, who, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who}: {text}\n")

    def close(self):
        self.file.close()


# ---- HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body, connection):
        self.method = method
        path, _, query = target.partition("?")
        self.path = urllib.parse.unquote(path)
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.connection = connection

    def json(self):
        return json.loads(self.body or b"{}")


class Connection:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer


NO_ANSWER = object()  # the channel stays open and returns nothing further
RESET = object()


async def read_request(connection):
    reader = connection.reader
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body, connection)


def format_answer(status, value, headers=()):
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {text}" for name, text in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Calls `handler(request)`, which returns (status, value), NO_ANSWER or RESET."""

    def __init__(self, handler, port):
        self.handler = handler
        self.port = port
        self.connections = set()
        self.server = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=8 * 1024 * 1024, backlog=1024)

    async def stop(self):
        self.server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                request = await read_request(connection)
                if request is None:
                    break
                answer = await self.handler(request)
                if answer is NO_ANSWER:
                    await reader.read()
                    break
                if answer is RESET:
                    writer.transport.abort()
                    break
                writer.write(format_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


async def http_call(address, method, target, headers=(), value=None, timeout_s=3.0):
    """Returns (status, value); status 0: no answer."""
    host, _, port = address.partition(":")
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {target} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
    if value is not None:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {text}" for name, text in headers]
    if not any(name == "Host" for name, _ in headers):
        lines.append(f"Host: {address}")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = None
            while True:
                line = (await reader.readline()).decode("latin-1").strip()
                if not line:
                    break
                name, _, text = line.partition(":")
                if name.lower() == "content-length":
                    length = int(text)
            data = await reader.readexactly(length) if length is not None else await reader.read()
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, None


# ---- The platform's store


class Store:
    def __init__(self, lab, port):
        self.lab = lab
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.events = []
        self.revision = 100
        self.leases = {}  # id -> [ttl_s, expires, keys]
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle, port)
        self.delay_s = 0.0
        self.trouble = None  # callable(request) -> answer or None

    async def start(self):
        await self.http.start()
        self.lab.spawn(self.expire_leases())

    def put(self, key, value, lease=0):
        """A write of the operator or of an executor, or of a transaction."""
        old = self.items.get(key)
        if old is not None and old["lease"] in self.leases:
            self.leases[old["lease"]][2].discard(key)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "created": old["created"] if old else self.revision, "lease": lease}
        if lease:
            self.leases[lease][2].add(key)
        self.events.append(dict(self.items[key]))

    def delete(self, key):
        old = self.items.pop(key, None)
        if old is None:
            return
        if old["lease"] in self.leases:
            self.leases[old["lease"]][2].discard(key)
        self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def commit(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write_json(self, key, value):
        self.revision += 1
        if value is None:
            self.delete(key)
        else:
            self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.commit()

    def end_lease(self, lease):
        _, _, keys = self.leases.pop(lease)
        if keys:
            self.revision += 1
            for key in list(keys):
                self.delete(key)
            self.commit()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self.end_lease(lease)

    def transact(self, body):
        for row in body.get("expected-rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in body["expected-rev"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items], "revision": self.revision}
        for row in body.get("set-keys", []):
            bytes_ = len(row["value"]) * 3 // 4 - row["value"][-2:].count("=")
            if bytes_ > VALUE_BYTES:
                self.lab.record("store", f"refuses {row['key']}: {bytes_} bytes are more than {VALUE_BYTES}")
                return 400, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("set-keys", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("delete-keys", []):
            self.delete(key)
        self.commit()
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            at = self.revision
            found = []
            for event in reversed(self.events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found[::-1], "at": at}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, request):
        if self.trouble is not None:
            answer = await self.trouble(request)
            if answer is not None:
                return answer
        if request.path != "/kv-watch":
            await asyncio.sleep(0.002 + self.delay_s)
        path = request.path
        if path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(request.query["prefix"])
                          and k > request.query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                         "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(request.query)
        if path == "/kv-txn":
            return self.transact(request.json())
        if path == "/kv-lease":
            ttl_ms = min(max(request.json()["ttl-ms"], 1000), 600000)
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000, set()]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl-ms": int(lease[0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}


# ---- Executors


class Run:
    def __init__(self, task, run, spec, now):
        self.task, self.run, self.spec, self.began = task, run, spec, now
        self.options = dict(part.split("=", 1) for part in spec.split(";") if "=" in part)
        self.work_s = int(self.options.get("ms", "1000")) / 1000
        self.how = self.options.get("end", "done")
        self.timer = None
        self.is_stopping = False

    def percent(self, now):
        if self.options.get("lasting"):
            return 100
        return min(99, int(100 * (now - self.began) / self.work_s))


class Executor:
    """One machine; restart() begins its next incarnation."""

    def __init__(self, lab, name, service, port, zone, rack, cpu=32000, mem=65536):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.labels = ["a", rack]
        self.http = HttpServer(self.handle, port)
        self.intercept = None  # async callable(executor, request) -> answer or None
        self.state = "ready"
        self.seq = 0
        self.has_lease = False
        self.lapses = []  # times
        self.reset()

    def reset(self):
        self.began = time.monotonic() - 1.0
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline = 0.0  # on its clock, seconds
        self.running = {}  # (task, run) -> Run
        self.ended = []  # rows
        self.next_end = 1
        self.acked = 0
        self.closed = {}  # task -> highest run that was stopped or has ended here
        self.news = asyncio.Event()
        self.seq = 0

    def clock(self):
        return time.monotonic() - self.began

    async def start(self):
        await self.http.start()
        self.lab.spawn(self.heartbeat())
        self.lab.spawn(self.watch_lease())

    async def heartbeat(self):
        while self.state != "gone":
            if self.state != "down":
                self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self, down_s):
        """Is down for so long, and starts again under its id with nothing of before."""
        self.lab.record(self.name, f"crashes with {', '.join(f'{t} run {r}' for t, r in self.running)}")
        await self.http.stop()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
            self.lab.note_loss(self, run)
        self.running.clear()
        self.state = "down"
        await asyncio.sleep(down_s)
        self.reset()
        await self.http.start()
        self.state = "ready"
        self.lab.record(self.name, f"is back, born {self.born}")
        self.report()

    async def leave(self):
        """Is lost for good: everything that runs on it terminates, and its entry goes after three intervals."""
        self.lab.record(self.name, f"is lost with {len(self.running)} runs")
        self.state = "gone"
        await self.http.stop()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        self.running.clear()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.lab.store.write_json(f"servers/{self.name}", None)
        self.lab.spawn(expire())

    def report(self):
        self.seq += 1
        self.lab.store.write_json(f"servers/{self.name}", {
            "service": self.service, "address": self.http.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold-left-ms": 0, "capacity": self.capacity, "labels": self.labels,
            "clock-ms": int(self.clock() * 1000), "born": self.born, "seq": self.seq})

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock() <= self.deadline:
                self.has_lease = True
                continue
            if self.has_lease:
                self.lapses.append(self.lab.now())
                self.lab.record(self.name, "its lease lapses")
            self.has_lease = False
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.get((run.task, run.run)) is not run:
            return
        del self.running[run.task, run.run]
        if run.timer is not None:
            run.timer.cancel()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, ""])
        self.lab.note_end(self, run, self.next_end, how)
        self.next_end += 1
        self.news.set()
        self.news = asyncio.Event()

    def take_deadline(self, body):
        if "deadline-ms" in body:
            wanted = min(body["deadline-ms"] / 1000, self.clock() + BOUNDS["hold-max-ms"] / 1000)
            self.deadline = max(self.deadline, wanted)

    def refuse(self, reason):
        return 409, {"clock-ms": int(self.clock() * 1000), "reason": reason}

    def accepted(self, **fields):
        return 200, {"clock-ms": int(self.clock() * 1000), **fields}

    def takes_fence(self, body):
        fence = body.get("fence", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def run_start(self, body):
        if not self.takes_fence(body):
            return self.refuse("fence")
        task, number = body["task"], body["run"]
        if body["deadline-ms"] / 1000 <= self.clock():
            return self.refuse("late")
        self.take_deadline(body)
        if (task, number) in self.running:
            return self.accepted()
        if number <= self.closed.get(task, 0):
            return self.refuse("old")
        if "needs=ticket" in body["spec"] and not self.lab.is_ticket(body.get("ticket"), task, self.name):
            self.lab.record(self.name, f"refuses {task} run {number}: ticket {body.get('ticket', 'missing')}")
            return self.refuse("ticket")
        run = Run(task, number, body["spec"], time.monotonic())
        self.running[task, number] = run
        self.lab.note_start(self, run, body)
        if not (run.options.get("lasting") and run.how == "done"):
            run.timer = asyncio.get_running_loop().call_later(run.work_s, self.end, run, run.how)
        return self.accepted()

    def run_stop(self, body):
        if not self.takes_fence(body):
            return self.refuse("fence")
        task, number = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.running.get((task, number))
        self.lab.record(self.name, f"stop of {task} run {number}: {'running' if run else 'not there'}")
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(0.05, self.end, run, "stopped")
        return self.accepted()

    async def hold(self, body):
        if not self.takes_fence(body):
            return self.refuse("fence")
        cursor = body.get("ack-cursor", 0)
        if cursor > self.acked:
            self.acked = cursor
            self.ended = [row for row in self.ended if row[0] > cursor]
            self.lab.note_ack(self, cursor)
        self.take_deadline(body)
        wait_s = body.get("wait-ms", 0) / 1000
        if wait_s > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[r.task, r.run, "", r.percent(now), 1] for r in self.running.values()]
        return self.accepted(born=self.born, running=running, ended=self.ended[:ENDS_PER_ANSWER])

    async def handle(self, request):
        if request.path == "/health":
            return 200, None, [("Mimosastair-Instance-Id", self.name)]
        target = request.headers.get("mimosastair-target-instance")
        if target not in (None, self.name):
            return 421, {"clock-ms": int(self.clock() * 1000)}
        if self.intercept is not None:
            answer = await self.intercept(self, request)
            if answer is not None:
                return answer
        return await self.carry_out(request.path, request.json())

    async def carry_out(self, path, body):
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        return 404, None


# ---- Entry VMs


def fill(word, settings):
    def value(match):
        found = settings
        for part in match[1].split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([^}]*)\}\}", value, word)


class Vm:
    def __init__(self, lab, name, zone, ports, advice):
        self.lab, self.name, self.zone = lab, name, zone
        front, ready, peer, metrics = ports
        self.front, self.ready = f"{HOST}:{front}", f"{HOST}:{ready}"
        self.peer = f"{HOST}:{peer}"
        self.settings = {
            "node": name, "zone": zone, "ip": HOST, "listen": {"front": self.front, "ready": self.ready},
            "port-range": [peer, metrics], "platform": {"address": lab.store.http.address}, "advice": advice,
            "bounds": BOUNDS, "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4200}}
        self.process = None

    async def launch(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        words = [fill(word, self.settings) for word in role["run"].split()]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {name: fill(text, self.settings) for name, text in role.get("env", {}).items()}
        log = open(self.lab.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.lab.record(self.name, f"process {self.process.pid} started")

    def signal(self, number):
        self.lab.record(self.name, f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        try:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        except ProcessLookupError:
            pass
        await self.process.wait()


class Lab:
    def __init__(self, folder_of_case, executors=4, vms=3, cpu=32000, mem=65536):
        self.case = Path(folder_of_case)
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="mimosastair-review-"))
        self.tasks = []
        self.ports = reserve_ports(2 + executors + 4 * vms)
        self.store = Store(self, self.ports.pop())
        self.advice_server = HttpServer(self.handle_advice, self.ports.pop())
        self.version = 1
        self.routes = {}
        self.service = "rota"
        zones = ["za", "zb", "zc"]
        self.executors = [Executor(self, f"i-7f3a91{k:02x}", self.service, self.ports.pop(), zones[k % 3], f"r1-{k // 8}",
                                   cpu, mem) for k in range(executors)]
        self.vms = [Vm(self, f"vm-{k + 1}", zones[k % 3], [self.ports.pop() for _ in range(4)],
                       self.advice_server.address) for k in range(vms)]
        self.starts = {}  # task -> [(time, executor, run)]
        self.ends = {}  # task -> [(time, executor, run, number, how, born)]
        self.acks = {}  # (executor, born, number) -> time
        self.broken = []
        self.jobs = 0

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def now(self):
        return time.monotonic() - self.record.began

    # -- What executors saw

    def note_start(self, executor, run, body):
        extra = f" ticket {body['ticket']}" if "ticket" in body else ""
        self.record(executor.name, f"starts {run.task} run {run.run}{extra}")
        self.starts.setdefault(run.task, []).append((self.now(), executor.name, run.run))

    def note_end(self, executor, run, number, how):
        self.record(executor.name, f"end {number}: {run.task} run {run.run} {how}")
        self.ends.setdefault(run.task, []).append((self.now(), executor.name, run.run, number, how, executor.born))

    def note_loss(self, executor, run):
        self.ends.setdefault(run.task, []).append((self.now(), executor.name, run.run, 0, "lost", executor.born))

    def note_ack(self, executor, cursor):
        self.record(executor.name, f"ends up to {cursor} are taken note of")
        for number in range(cursor, 0, -1):
            key = (executor.name, executor.born, number)
            if key in self.acks:
                break
            self.acks[key] = self.now()

    def broke(self, rule, text):
        self.record("RULE", f"{rule}: {text}")
        self.broken.append((rule, text))

    # -- The operator

    def add_route(self, name, prefix, attempts=3, priority=1, stretch=4.0, target_ms=1000, advice=None):
        route = {"name": name, "host": "nony24.example", "prefix": prefix, "type": "unsafe", "timeout-ms": 3000,
                 "target-duration-ms": target_ms, "priority": priority, "service": self.service,
                 "attempts": attempts, "stretch": stretch}
        if advice:
            route["advice"] = advice
        self.routes[name] = route

    def write_config(self):
        self.version += 3
        self.store.write_json("op/config", {
            "version": self.version, "routes": list(self.routes.values()),
            "services": [{"name": self.service, "health-path": "/health", "max-conns": 64, "protocol": "h1",
                          "tls": False, "enforces-capacity": False, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        self.record("operator", f"version {self.version}: routes {', '.join(self.routes)}")

    # -- The advice service: allows all

    async def handle_advice(self, request):
        body = request.json()
        self.record("advice", f"asked about {body['step']} on {len(body['workers'])} executors")
        await asyncio.sleep(0.02)
        until = int((time.monotonic() + TICKET_S) * 1000)
        return 200, {"allowed": [[w, f"{until}/{body['step']}/{w}"] for w in body["workers"]],
                     "validity-ms": int(TICKET_S * 1000)}

    @staticmethod
    def is_ticket(ticket, task, executor):
        """Whether the ticket is for the step of the task and this executor, and still valid."""
        until, _, rest = (ticket or "0").partition("/")
        return rest == f"{task.rpartition('.')[0]}/{executor}" and int(until) > time.monotonic() * 1000

    # -- Clients

    def new_id(self):
        self.jobs += 1
        return f"{0xa1b2c3d400000000 + self.jobs:016x}"

    async def submit(self, prefix, steps, spec, vm=0, job=None, **fields):
        job = job or self.new_id()
        status = 0
        for attempt in range(6):
            target = self.vms[(vm + attempt) % len(self.vms)]
            status, _ = await http_call(target.front, "POST", prefix + job, self.headers(),
                                        {"spec": spec, "job-steps": steps, **fields})
            self.record("client", f"POST {job} to {target.name}: {status}")
            if status == 200:
                break
            await asyncio.sleep(0.3)
        return job, status

    @staticmethod
    def headers():
        return [("Host", "nony24.example"), ("Mimosastair-Deadline-Ms", "3000")]

    async def state(self, prefix, job, vm=0):
        status, value = await http_call(self.vms[vm].front, "GET", prefix + job, self.headers())
        text = value.get("state") if status == 200 and value else None
        self.record("client", f"GET {job} from {self.vms[vm].name}: {status} {text}")
        return status, text

    async def cancel(self, prefix, job, vm=0):
        status, _ = await http_call(self.vms[vm].front, "DELETE", prefix + job, self.headers())
        self.record("client", f"DELETE {job} to {self.vms[vm].name}: {status}")
        return status

    # -- The course of a case

    def leader(self):
        """The VM whose peer address stands in the leader's record."""
        for key, item in self.store.items.items():
            if key.startswith("claim/") and not key.endswith(".epoch"):
                value = base64.b64decode(item["value"])
                for vm in self.vms:
                    if vm.peer.encode() in value:
                        return vm
        return None

    async def until(self, condition, timeout_s, what):
        limit = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > limit:
                raise CannotRun(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.02)

    async def start(self):
        await self.store.start()
        await self.advice_server.start()
        self.write_config()
        for executor in self.executors:
            await executor.start()
        for vm in self.vms:
            await vm.launch()
        for vm in self.vms:
            limit = time.monotonic() + 15
            while (await http_call(vm.ready, "GET", "/readiness", timeout_s=1.0))[0] != 200:
                if time.monotonic() > limit:
                    raise CannotRun(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)
        await self.until(lambda: self.leader() is not None, 10, "a leader")
        await asyncio.sleep(1.5)

    async def close(self):
        for vm in self.vms:
            await vm.end()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    # -- Checks

    def check_twice(self):
        """TWICE: a start after a run of the task has ended `done`, if that end is taken note of then or later; or two
        runs at the same time."""
        for task, starts in self.starts.items():
            for at, name, _, number, how, born in self.ends.get(task, []):
                noted = self.acks.get((name, born, number))
                if how != "done" or noted is None or self.has_lapsed(name, at, noted):
                    continue
                for start, where, run in starts:
                    if start > at:
                        self.broke("TWICE", f"{task} ended done on {name} at {at:.3f} (end {number}, taken note of "
                                   f"at {noted:.3f}); run {run} began on {where} at {start:.3f}")
            spans = []
            for start, where, run in starts:
                stop = min((at for at, name, r, *_ in self.ends.get(task, []) if name == where and r == run),
                           default=float("inf"))
                spans.append((start, stop, where, run))
            spans.sort()
            for (_, stop, where, run), (start, _, other, later) in zip(spans, spans[1:]):
                if start < stop:
                    self.broke("TWICE", f"{task}: run {later} began on {other} at {start:.3f}, while run {run} was at "
                               f"work on {where}")

    def has_lapsed(self, name, since, until):
        """An end whose executor's lease lapsed before it was taken note of doesn't count as taken note of."""
        return any(since <= at <= until for e in self.executors if e.name == name for at in e.lapses)

    async def check_idle_job(self, prefix, job, tasks, window_s=3.0, vm=0):
        """LOST: for 3 s, the job has nothing running while the turn of `tasks` has come, there is capacity for it twice
        over, and under half of the service's capacity is in use.  `tasks`: {name: thousandths of a core}."""
        until = self.now() + window_s
        total = sum(e.capacity["cpu"] for e in self.executors)
        most = 0
        while self.now() < until:
            if any(run.task.startswith(job) for e in self.executors for run in e.running.values()):
                return
            if any(how == "done" for task in tasks for *_, how, _ in self.ends.get(task, [])):
                return
            used = {e.name: sum(self.cpu_of(run) for run in e.running.values()) for e in self.executors}
            most = max(most, sum(used.values()))
            largest = max(tasks.values())
            places = sum((e.capacity["cpu"] - used[e.name]) // largest for e in self.executors if e.state == "ready")
            if 2 * most >= total or places < 2 * len(tasks):
                return
            await asyncio.sleep(0.1)
        status, state = await self.state(prefix, job, vm)
        if (status, state) not in ((200, "succeeded"), (200, "cancelled")):
            self.broke("LOST", f"job {job} ({status}, {state}) has nothing running for {window_s} s, though the turn of "
                       f"{', '.join(tasks)} has come; at most {most} of {total} thousandths of a core are in use")

    @staticmethod
    def cpu_of(run):
        return int(run.options.get("cpu", "0"))


def play(folder, case, timeout_s=110.0, **options):
    """Runs the coroutine `case(lab)`; exits with 1 if a rule was broken, 0 if none, 2 if it could not run."""
    async def main():
        lab = Lab(folder, **options)
        status = 2
        try:
            await asyncio.wait_for(case(lab), timeout_s)
            status = 1 if lab.broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as problem:
            lab.record("case", f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
        finally:
            lab.record("case", f"exit {status}, trouble {int(TROUBLE)}, {len(lab.broken)} findings")
            for rule, text in lab.broken[:5]:
                print(f"{rule}: {text}")
            print(f"exit {status}: {len(lab.broken)} findings, trouble {int(TROUBLE)}")
            await lab.close()
        return status

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    sys.exit(asyncio.run(main()))
