"""A small deployment on loopback for the scripts of this review.

The entry VMs are processes of this project, started with the command line of the deploy file.  The
platform's store, the executors, the advice service and the consumers are stand-ins in this process:
they follow PROTOCOL.md of the users' pages, and are sound where it is silent.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
POLL_S = 0.005


# Below the ports that the system gives to outgoing connections.
PORTS = range(12000, 32000)
given_ports = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        given_ports.add(port)
        return port


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, who, text):
        line = f"{time.monotonic() - self.began:8.3f} {who}: {text}"
        self.file.write(line + "\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with keep-alive; `handle(method, path, query, headers, body)` gives (status, object),
    or None for no answer on a connection that stays open."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self._serve, HOST, port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    continue
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
        self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000

    def _item(self, key):
        return dict(self.items[key], key=key)

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.history.append(self._item(key))

    def _delete(self, key):
        if key in self.items:
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def put(self, key, value):
        """A write of the operator or of an executor."""
        self.revision += 1
        text = json.dumps(value).encode()
        self._write(key, base64.b64encode(text).decode(), 0)

    async def remove(self, key):
        self.revision += 1
        self._delete(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, row in self.leases.items() if row[1] <= now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
    
    def _txn(self, body):
        conditions = body.get("expected-rev", [])
        writes = body.get("set-keys", [])
        deletes = body.get("delete-keys", [])
        if max(len(conditions), len(writes), len(deletes)) > 32 or not writes and not deletes:
            return 400, {}
        for row in conditions:
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                items = [self._item(r["key"]) for r in conditions if r["key"] in self.items]
                return 412, {"items": items, "revision": self.revision}
        for row in writes:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in deletes:
            self._delete(key)
        return 200, {"revision": self.revision}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self._item(query["key"]), at=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            rows = [self._item(k) for k in keys[:500]]
            return 200, {"items": rows, "has-more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, min(int(json.loads(body)["ttl-ms"]), 600000))
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        match = re.fullmatch(r"/kv-keep/(\d+)", path)
        if match:
            row = self.leases.get(int(match[1]))
            if row is None:
                return 404, {}
            row[1] = time.monotonic() + row[0] / 1000
            return 200, {"ttl-ms": row[0]}
        match = re.fullmatch(r"/kv-lease-end/(\d+)", path)
        if match:
            if int(match[1]) not in self.leases:
                return 404, {}
            await self._end_lease(int(match[1]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [
                row
                for row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            await asyncio.sleep(POLL_S)


class Executor(HttpServer):
    """An executor.  What a task does stands in its job's `spec`, a JSON object: "ms" is how long it
    works, and "ends" how its runs end, by their order ("done" beyond the list)."""

    HEARTBEAT_S = 1.5

    def __init__(self, deployment, name, port=None, cpu=8000, rack="r1-1", service="desk"):
        super().__init__()
        self.deployment = deployment
        self.record = deployment.record
        self.id = name
        self.port = port or free_port()
        self.cpu = cpu
        self.rack = rack
        self.service = service
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.seq = 0
        self.state = "ready"
        self.is_up = False
        self.is_dark = False
        self.jobs = set()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def entry(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", self.rack],
            "born": self.born,
            "clock-ms": self.clock_ms(),
            "seq": self.seq,
        }

    async def start(self):
        await self.listen(self.port)
        self.is_up = True
        self.record.note(self.id, f"up at {HOST}:{self.port} born={self.born}")
        await self.deployment.store.put(f"servers/{self.id}", self.entry())
        self.jobs.add(asyncio.ensure_future(self._live()))

    async def _live(self):
        beat = time.monotonic()
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.deadline:
                for key in list(self.runs):
                    await self._end(key, "lapsed")
            for key, run in list(self.runs.items()):
                if run["stop"] is not None and time.monotonic() >= run["stop"]:
                    await self._end(key, "stopped")
                elif run["until"] is not None and time.monotonic() >= run["until"]:
                    await self._end(key, run["how"])
            if time.monotonic() - beat >= self.HEARTBEAT_S:
                beat = time.monotonic()
                await self.deployment.store.put(f"servers/{self.id}", self.entry())

    async def _end(self, key, how):
        run = self.runs.pop(key)
        self.highest[key] = max(self.highest.get(key, 0), run["run"])
        self.ended.append([self.next_end, key, run["run"], how, ""])
        self.record.note(self.id, f"end {self.next_end}: task {key} run {run['run']} {how}")
        self.deployment.history.append(
            {"what": "end", "at": time.monotonic(), "task": key, "run": run["run"], "how": how,
             "executor": self}
        )
        self.next_end += 1

    def crash(self, how="crashed", dark=False):
        """Everything that runs here is gone; nobody is told.  One that is dark is silent: its address
        still takes connections, and answers nothing."""
        self.is_up = False
        self.is_dark = dark
        for key, run in self.runs.items():
            self.record.note(self.id, f"{how} under task {key} run {run['run']}")
            self.deployment.history.append(
                {"what": "crash", "at": time.monotonic(), "task": key, "run": run["run"],
                 "executor": self}
            )
        if not self.runs:
            self.record.note(self.id, how)
        self.runs = {}
        if not dark:
            self.close()

    async def forget(self):
        """The store drops the entry after three heartbeats of silence."""
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        await self.deployment.store.remove(f"servers/{self.id}")

    def _extend(self, body):
        if "deadline-ms" in body:
            wanted = min(body["deadline-ms"], self.clock_ms() + self.deployment.hold_max_ms)
            self.deadline = max(self.deadline, wanted)

    def _answer(self, **fields):
        return dict(fields, **{"clock-ms": self.clock_ms(), "born": self.born})

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.001)
        if self.is_dark:
            await asyncio.Event().wait()
        target = headers.get("mimosastair-target-instance")
        if path == "/health":
            return 200, {}
        if target is not None and target != self.id:
            return 421, self._answer()
        body = json.loads(body) if body else {}
        if body.get("fence", 0) < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = body.get("fence", 0)
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        return 404, {}

    def _start(self, body):
        key, number = body["task"], body["run"]
        reason = None
        if body["deadline-ms"] <= self.clock_ms():
            reason = "late"
        elif key in self.runs and self.runs[key]["run"] == number:
            return 200, self._answer()
        elif self.highest.get(key, 0) >= number:
            reason = "old"
        elif not self.deployment.is_ticket_good(self, key, body.get("ticket")):
            reason = "ticket"
        if reason in (None, "old", "room"):
            self._extend(body)
        if reason is not None:
            self.record.note(
                self.id, f"start of task {key} run {number} ticket={body.get('ticket')}: 409 {reason}"
            )
            self.deployment.history.append(
                {"what": "rejected", "at": time.monotonic(), "task": key, "run": number,
                 "reason": reason, "executor": self}
            )
            return 409, self._answer(reason=reason)
        plan = json.loads(body["spec"])
        starts = [e for e in self.deployment.history if e["what"] == "start" and e["task"] == key]
        ends = plan.get("ends", [])
        how = ends[len(starts)] if len(starts) < len(ends) else "done"
        self.runs[key] = {
            "run": number,
            "since": time.monotonic(),
            "until": time.monotonic() + plan["ms"] / 1000 if plan["ms"] else None,
            "how": how,
            "stop": None,
        }
        self.record.note(self.id, f"start of task {key} run {number}: 200")
        self.deployment.history.append(
            {"what": "start", "at": time.monotonic(), "task": key, "run": number, "executor": self}
        )
        return 200, self._answer()

    def _stop(self, body):
        key, number = body["task"], body["run"]
        run = self.runs.get(key)
        if run is not None and run["run"] == number:
            run["stop"] = run["stop"] or time.monotonic() + 0.05
        else:
            self.highest[key] = max(self.highest.get(key, 0), number)
        self.record.note(self.id, f"stop of task {key} run {number}: 200")
        return 200, self._answer()

    async def _hold(self, body):
        self._extend(body)
        cursor = body.get("ack-cursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
        running = []
        for key, run in self.runs.items():
            span = (run["until"] - run["since"]) if run["until"] else 1.0
            percent = int((time.monotonic() - run["since"]) / span * 100)
            percent = min(percent, 99 if run["until"] else 100)
            running.append([key, run["run"], "", percent, 1000])
        return 200, self._answer(running=running, ended=self.ended[:500])


class Advice(HttpServer):
    """The service that knows which executors a step may run on: here all of them."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment

    async def handle(self, method, path, query, headers, body):
        body = json.loads(body)
        terms = self.deployment.advice_terms
        await asyncio.sleep(
            (terms["decide-ms"] + terms["period-ms"] * len(body["workers"])) / 1000
        )
        rows = []
        for name in body["workers"]:
            ticket = f"{body['step']}-{name}-{len(self.deployment.tickets)}"
            until = time.monotonic() + terms["validity-ms"] / 1000
            self.deployment.tickets[(body["step"], name, ticket)] = until
            rows.append([name, ticket])
        return 200, {"allowed": rows, "validity-ms": terms["validity-ms"]}


class Entry:
    """An entry VM's process."""

    def __init__(self, deployment, name):
        self.deployment = deployment
        self.name = name
        self.ports = {key: free_port() for key in ("front", "ready", "peer", "metrics")}
        self.process = None

    def _fill(self, text):
        deployment = self.deployment
        values = {
            "node": self.name,
            "zone": "z1",
            "listen.front": f"{HOST}:{self.ports['front']}",
            "listen.ready": f"{HOST}:{self.ports['ready']}",
            "ip": HOST,
            "port-range.0": str(self.ports["peer"]),
            "port-range.1": str(self.ports["metrics"]),
            "platform.address": f"{HOST}:{deployment.store_port}",
            "advice": f"{HOST}:{deployment.advice_port}",
            "bounds.hold-max-ms": str(deployment.hold_max_ms),
            "bounds.gang-wait-ms": "3000",
            "limits.cpu-share": "0.25",
            "bounds.remote-factor": "3",
            "limits.max-fds": "4200",
            "limits.memory-mb": "260",
        }
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: values.get(m[1], ""), text)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        words = [self._fill(word) for word in role["run"].split(" ")]
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C.UTF-8"}
        env.update({key: self._fill(value) for key, value in role.get("env", {}).items()})
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        words[0] = os.path.join(ROOT, words[0])
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.deployment.record.note(self.name, f"started, pid {self.process.pid}")

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.record.note(self.name, f"sent {signal.Signals(number).name}")
        if self.process is not None and number == signal.SIGKILL:
            self.process.wait()


class Deployment:
    def __init__(self, folder, record, hold_max_ms=10000):
        self.folder = folder
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.history = []
        self.tickets = {}
        self.ticket_jobs = set()
        self.advice_terms = {"decide-ms": 7.0, "period-ms": 0.1, "validity-ms": 1500}
        self.store = Store(record)
        self.store_port = free_port()
        self.advice = Advice(self)
        self.advice_port = free_port()
        self.executors = {}
        self.entries = []
        self.background = []

    def is_ticket_good(self, executor, task, ticket):
        """Tickets are checked for the jobs of queues that have advice."""
        job, occurrence, step, _ = task.split(".")
        if job not in self.ticket_jobs:
            return True
        until = self.tickets.get((f"{job}.{occurrence}.{step}", executor.id, ticket), 0)
        return time.monotonic() < until

    async def begin(self, config, executors, entry_count):
        await self.store.listen(self.store_port)
        await self.advice.listen(self.advice_port)
        self.background.append(asyncio.ensure_future(self.store.expire_leases()))
        await self.configure(config)
        for executor in executors:
            self.executors[executor.id] = executor
            await executor.start()
        self.entries = [Entry(self, f"front-z1-{i + 1}") for i in range(entry_count)]
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.until_ready(entry)

    async def configure(self, config):
        await self.store.put("op/config", config)
        names = [route["name"] for route in config["routes"]]
        self.record.note("operator", f"desired state {config['version']} confirmed, routes {names}")

    async def until_ready(self, entry, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = await self.call(entry, "GET", "/readiness", port="ready", quiet=True)
            if status == 200:
                self.record.note(entry.name, "ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} did not get ready")

    async def call(self, entry, method, path, body=None, host="desk.example", port="front",
                   timeout_s=3.0, quiet=False):
        """Returns (status, object); (0, None) without an answer."""
        try:
            status, value = await asyncio.wait_for(
                self._call(entry, method, path, body, host, port, timeout_s), timeout_s
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, value = 0, None
        if not quiet:
            self.record.note(
                "consumer", f"{method} {path} at {entry.name} -> {status} {json.dumps(value)}"
            )
        return status, value

    async def _call(self, entry, method, path, body, host, port, timeout_s):
        reader, writer = await asyncio.open_connection(HOST, entry.ports[port])
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"Mimosastair-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data
            )
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            match = re.search(rb"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(match[1])) if match else b""
            return status, json.loads(text) if text else None
        finally:
            writer.close()

    def leader(self):
        """The entry VM that wrote the leader's record."""
        for key, item in self.store.items.items():
            if key.startswith("claim/") and not key.endswith(".epoch"):
                value = base64.b64decode(item["value"])
                for entry in self.entries:
                    if entry.name.encode() in value:
                        return entry
        return None

    async def until_leader(self, not_entry=None, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            leader = self.leader()
            if leader is not None and leader is not not_entry:
                return leader
            await asyncio.sleep(0.05)
        raise CannotRun("no leader")

    async def wait_for(self, condition, limit_s):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False

    def events(self, what, task=None):
        return [e for e in self.history if e["what"] == what and task in (None, e["task"])]

    def end(self):
        for entry in self.entries:
            entry.kill()
        for executor in self.executors.values():
            executor.is_up = False
            executor.close()
        self.store.close()
        self.advice.close()
        for job in self.background:
            job.cancel()


class CannotRun(Exception):
    pass


class Broken(Exception):
    """The rule was broken."""


def route(name, prefix, attempts, **more):
    """A route of the one service, as in a small deployment."""
    return dict(
        {
            "name": name,
            "host": "desk.example",
            "prefix": prefix,
            "type": "unsafe",
            "timeout-ms": 3000,
            "target-duration-ms": 1000,
            "priority": 1,
            "service": "desk",
            "attempts": attempts,
            "stretch": 4.0,
        },
        **more,
    )


def config(version, routes):
    service = {
        "name": "desk",
        "health-path": "/health",
        "max-conns": 64,
        "protocol": "h1",
        "tls": False,
        "enforces-capacity": False,
        "standby": False,
    }
    return {"version": version, "routes": routes, "services": [service], "limits": {}}


def job(work_ms, ends=(), **step):
    """A job with one step; by default of one task."""
    first = {"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": work_ms}
    spec = json.dumps({"ms": work_ms, "ends": list(ends)})
    return {"spec": spec, "job-steps": [dict(first, **step)]}


def run_case(play, folder, trouble):
    """Plays the case, without its disruption unless `trouble`; exits with 0, 1 or 2 as issue 54 has it."""
    import tempfile

    record = Record(os.path.join(folder, "record.txt"))
    record.note("case", f"trouble={int(trouble)}")
    code = 2
    with tempfile.TemporaryDirectory() as logs:
        async def whole():
            deployment = Deployment(logs, record)
            try:
                await asyncio.wait_for(play(deployment, trouble), 110)
            finally:
                deployment.end()

        try:
            asyncio.run(whole())
            record.note("case", "the rule held")
            code = 0
        except Broken as broken:
            record.note("case", f"the rule was broken: {broken}")
            code = 1
        except (CannotRun, asyncio.TimeoutError, OSError) as problem:
            record.note("case", f"could not run: {problem!r}")
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(logs, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read()[-1500:])
    sys.exit(code)
