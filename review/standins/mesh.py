"""Stand-ins of the users' platform for the scripts of this review.

A small deployment on loopback addresses: the platform's key-value store, application
instances that report to the node of their machine, and nodes of this project, started
with the command of the deploy file. Every machine has its own address in 127.0.0.0/8.
Standard library only.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

TREE = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Figures of the small deployments (settings example of the deploy page).
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetExtraTries": 56, "recoveryS": 15,
}
HEARTBEAT_MS = 1500
ATTEMPT_ID = "x-masticpitch-attempt-id"
DEADLINE = "x-masticpitch-deadline-ms"
EXPECT = "x-masticpitch-expect-instance"
CALLER = "x-masticpitch-caller-service"
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def child_setup():
    """A node ends with the script, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, text):
        self.file.write(f"{self.now():9.3f} s  {who}: {text}\n")
        self.file.flush()


class Head:
    """Head of an HTTP message; field names in lower case."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name:
                return value
        return default


async def read_head(reader):
    """The next head; None if the connection ends before it."""
    lines = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return None
        line = line.rstrip(b"\r\n")
        if line:
            lines.append(line.decode("latin-1"))
        elif lines:
            break
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return Head(lines[0], fields)


async def body_pieces(reader, head):
    """Yields the pieces of a message's body."""
    if "chunked" in (head.get("transfer-encoding") or "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                yield await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return
    left = int(head.get("content-length") or 0)
    while left:
        piece = await reader.read(min(left, 65536))
        if not piece:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(piece)
        yield piece


async def read_body(reader, head):
    return b"".join([piece async for piece in body_pieces(reader, head)])


async def http_call(address, method, path, document=None, timeout=5.0, source=None):
    """One call with a JSON body on a new connection; (status, body)."""
    ip, port = address.rsplit(":", 1)
    body = b"" if document is None else document \
        if isinstance(document, bytes) else json.dumps(document).encode()

    async def run():
        reader, writer = await asyncio.open_connection(
            ip, int(port), local_addr=(source, 0) if source else None)
        try:
            kind = "Content-Type: application/json\r\n" if body else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{kind}"
                         f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                         .encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            return int(head.first.split()[1]), await read_body(reader, head)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Answer:
    """What a client got for one attempt; status 0: the connection ended without one."""

    def __init__(self, attempt, status=0, head=None, body=b"", whole=False):
        self.attempt = attempt
        self.status = status
        self.head = head
        self.body = body
        self.whole = whole


async def client_request(record, address, method, host, path, deadline_ms, pieces=(),
                         attempt=None, note=""):
    """
    One client attempt on a new connection. pieces: (seconds to wait, bytes) of a body
    whose length is their sum.
    """
    attempt = attempt or secrets.token_hex(8)
    ip, port = address.rsplit(":", 1)
    answer = Answer(attempt)
    length = sum(len(data) for _, data in pieces)

    async def send(writer):
        for pause, data in pieces:
            await asyncio.sleep(pause)
            writer.write(data)
            await writer.drain()

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        sender = None
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"X-Masticpitch-Attempt-Id: {attempt}\r\n"
                          f"X-Masticpitch-Deadline-Ms: {deadline_ms}\r\n"
                          + (f"Content-Length: {length}\r\n" if pieces else "")
                          + "\r\n").encode())
            record.write("client", f"{method} {path} attempt {attempt} to the node at "
                         f"{address}, body of {length} bytes, deadline {deadline_ms} ms"
                         f"{note}")
            sender = asyncio.create_task(send(writer))
            head = await read_head(reader)
            if head is not None:
                answer.head = head
                answer.status = int(head.first.split()[1])
                answer.body = await read_body(reader, head)
                answer.whole = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if sender is not None:
                sender.cancel()
                with contextlib.suppress(BaseException):
                    await sender
            writer.close()
    try:
        await asyncio.wait_for(run(), deadline_ms / 1000)
    except (asyncio.TimeoutError, OSError):
        pass
    record.write("client", f"attempt {attempt} got "
                 + (f"{answer.status} reason {answer.head.get('x-masticpitch-reason')}"
                    f" Retry-After {answer.head.get('retry-after')}"
                    if answer.status else "no answer"))
    return answer


class Store:
    """The platform's key-value store."""

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.tasks.append(asyncio.create_task(self.expire()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    async def put(self, key, value, lease=0):
        async with self.changed:
            self.write(key, value, lease)
            self.changed.notify_all()

    def write(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "lease": lease,
            "createdAt": old["createdAt"] if old else self.revision}
        self.events.append(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def lease_drop(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [n for n, lease in self.leases.items() if lease[1] <= now]
            if ended:
                async with self.changed:
                    for lease in ended:
                        self.lease_drop(lease)
                    self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                method, target, _ = head.first.split()
                await asyncio.sleep(0.004)
                status, document = await self.handle(method, target, body)
                text = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: 1\r\nContent-Length: {len(text)}\r\n\r\n"
                             .encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        path = parts.path
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        document = json.loads(body) if body else {}
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {"at": self.revision}) if item is None \
                else (200, {**item, "at": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        async with self.changed:
            try:
                return self.change(method, path, document)
            finally:
                self.changed.notify_all()

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000

        def found():
            return [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(prefix)]
        async with self.changed:
            while not found() and time.monotonic() < end:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            return 200, {"events": found(), "at": self.revision}

    def change(self, method, path, document):
        if path == "/-/kv-txn":
            current = [self.items[r["key"]] for r in document.get("expectedRev", [])
                       if r["key"] in self.items]
            for row in document.get("expectedRev", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": current}
            for row in document.get("writes", []):
                if row["key"].startswith(("op/", "servers/")):
                    return 403, {}
                if row.get("lease") and row["lease"] not in self.leases:
                    return 404, {}
            for row in document.get("writes", []):
                self.write(row["key"], base64.b64decode(row["value"]),
                           row.get("lease", 0))
            for key in document.get("remove", []):
                self.delete(key)
            return 200, {"revision": self.revision}
        if path == "/-/kv-lease":
            ttl = max(1000, min(600000, int(document["ttlMs"])))
            lease = random.randrange(1, 1 << 31)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self.lease_drop(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


class Request:
    """A request as an instance got it; the body is not read yet."""

    def __init__(self, head, reader, writer):
        self.method, self.path, _ = head.first.split()
        self.head = head
        self.reader = reader
        self.writer = writer
        self.attempt = head.get(ATTEMPT_ID)
        self.started = False


class Instance:
    """An application instance of one service beside a node."""

    def __init__(self, record, name, service, zone, ip, slots=9, work_s=0.02):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.control = None
        self.beat_ms = HEARTBEAT_MS
        self.runs = []  # (seconds, attempt, method, path, caller service)
        self.server = None
        self.address = None
        self.beats = None
        self.connections = set()
        self.first_ack = asyncio.Event()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def beats_start(self, control):
        self.control = control
        self.beats = asyncio.create_task(self.beat())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()

    def heartbeat(self):
        self.seq += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldLeftMs": 0}}

    async def beat_send(self, document, note=""):
        """One call; the status of its answer, 0: none within a second."""
        try:
            status, _ = await http_call(
                self.control, "POST", f"/-/Instances.Heartbeat/{self.name}", document,
                timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        if note or status != 200:
            self.record.write(f"instance {self.name}", f"heartbeat seq "
                              f"{document['status']['seq']} state "
                              f"{document['status']['state']}{note}: answer {status}")
        return status

    async def beat(self):
        while True:
            if await self.beat_send(self.heartbeat()) == 200:
                self.first_ack.set()
                await asyncio.sleep(self.beat_ms / 1000)
            else:
                await asyncio.sleep(0.2)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                request = Request(head, reader, writer)
                if request.path == "/health":
                    await self.reply(request, 200, b"")
                elif request.head.get(EXPECT) not in (None, self.name):
                    await read_body(reader, head)
                    self.record.write(f"instance {self.name}", f"rejects attempt "
                                      f"{request.attempt} for "
                                      f"{request.head.get(EXPECT)}: 421")
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\n"
                                 f"X-Masticpitch-Attempt-Id: {request.attempt}\r\n"
                                 f"X-Masticpitch-Instance-Id: {self.name}\r\n"
                                 f"Content-Length: 0\r\n\r\n".encode())
                else:
                    await self.handle(request)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def run_begin(self, request):
        self.runs.append((self.record.now(), request.attempt, request.method,
                          request.path, request.head.get(CALLER)))
        self.record.write(f"instance {self.name}", f"runs attempt {request.attempt} "
                          f"{request.method} {request.path}, caller service "
                          f"{request.head.get(CALLER)}, deadline "
                          f"{request.head.get(DEADLINE)} ms")

    async def handle(self, request):
        """Runs a request: reads it, works, answers with success."""
        await read_body(request.reader, request.head)
        self.run_begin(request)
        await asyncio.sleep(self.work_s)
        await self.reply(request, 200, f"{self.name} {request.path}".encode())

    async def reply(self, request, status, body, extra=""):
        request.writer.write(
            f"HTTP/1.1 {status} X\r\n"
            f"X-Masticpitch-Attempt-Id: {request.attempt}\r\n"
            f"X-Masticpitch-Server-Stamp: {secrets.token_hex(12)}\r\n"
            f"X-Masticpitch-Server-Load: 1,0,{self.slots}\r\n"
            f"X-Masticpitch-Instance-Id: {self.name}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await request.writer.drain()


def template_fill(text, fields):
    """Fills in the settings template by the rules of the deploy page."""
    def find(path, scope):
        if path == ".":
            return scope
        for start in (scope, fields):
            value = start
            for name in path.split("."):
                if isinstance(value, dict) and name in value:
                    value = value[name]
                elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
                    value = value[int(name)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(match, scope):
        path, _, form = match.group(1).partition("|")
        value = find(path, scope)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    def section(match):
        value = find(match.group(1), fields)
        return "" if not value else re.sub(
            r"\{\{([^{}#/]+)\}\}", lambda m: show(m, value), match.group(2))
    text = re.sub(r"\{\{#([^{}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^{}#/]+)\}\}", lambda m: show(m, fields), text)


class Machine:
    """One machine: a node of this project and the instance beside it."""

    def __init__(self, mesh, name, zone, service, instance):
        self.mesh = mesh
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = mesh.ip_next()
        self.instance = instance
        instance.ip = self.ip
        self.ports = {}
        self.process = None
        self.started_at = None
        self.restarts = 0

    def at(self, what):
        return f"{self.ip}:{self.ports[what]}"

    def settings_write(self):
        fields = {
            "nodeName": self.name, "zone": self.zone, "region": "visayas", "ip": self.ip,
            "listen": {k: self.at(k) for k in ("outbound", "inbound", "ready", "control")},
            "portRange": [self.ports["peers"], self.ports["peers"] + 15],
            "seedNodes": self.mesh.seeds, "heartbeatMs": HEARTBEAT_MS,
            "limits": {"linkMbps": 1000.0}, "bounds": self.mesh.bounds,
            "appAddr": self.instance.address, "service": self.service,
            "platform": {"address": self.mesh.store.address},
        }
        text = (TREE / self.mesh.role["template"]).read_text()
        path = self.mesh.folder / f"{self.name}.conf"
        path.write_text(template_fill(text, fields))
        return path

    async def start(self):
        settings = self.settings_write()
        words = self.mesh.role["run"].split()
        words = [str(settings) if word.startswith("/etc/") else word for word in words]
        log = open(self.mesh.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=TREE, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=child_setup,
            env={"PATH": os.environ.get("PATH", ""), "MASTICPITCH_CONFIG": str(settings)})
        log.close()
        self.started_at = self.mesh.record.now()
        self.mesh.record.write(self.name, f"node started, service {self.service}, zone "
                               f"{self.zone}, clients at {self.at('outbound')}")

    async def signal(self, number):
        self.mesh.record.write(self.name, f"{signal.Signals(number).name} to the node")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            await self.process.wait()

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError):
                status, _ = await http_call(
                    self.at("ready"), "GET", "/-/readiness", timeout=1.0)
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} did not become ready")

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Mesh:
    """The deployment of a case; ends everything that it started."""

    def __init__(self, record, bounds=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.host = 0
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store(record, self.ip_next())
        self.machines = []
        self.seeds = []
        with open(TREE / "deploy" / "system.toml", "rb") as file:
            (self.role,) = tomllib.load(file)["roles"].values()
        if not (TREE / self.role["run"].split()[0]).exists():
            raise CaseError("the deploy file's build is missing")

    def ip_next(self):
        self.host += 1
        return f"{self.block}.{self.host}"

    def add(self, zone, service, instance):
        machine = Machine(self, f"sidecar-{zone}-{self.host + 1}", zone, service, instance)
        self.machines.append(machine)
        return machine

    def ports_choose(self):
        """The same free ports on all machines, with room for the port range."""
        for _ in range(50):
            base = random.randrange(20000, 50000)
            names = ("outbound", "inbound", "ready", "control", "peers")
            ports = {name: base + i for i, name in enumerate(names)}
            try:
                for machine in self.machines:
                    for port in [*ports.values(), 9464]:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((machine.ip, port))
            except OSError:
                continue
            for machine in self.machines:
                machine.ports = ports
            return
        raise CaseError("no free ports")

    async def start(self, config):
        await self.store.start()
        self.ports_choose()
        await self.configure(config)
        self.seeds = [machine.at("control") for machine in self.machines[:3]]
        for machine in self.machines:
            await machine.instance.start()
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            machine.instance.beats_start(machine.at("control"))
        for machine in self.machines:
            await machine.wait_ready()
            await asyncio.wait_for(machine.instance.first_ack.wait(), 10)

    async def configure(self, config):
        self.record.write("operator", f"writes op/config version {config['version']}")
        await self.store.put("op/config", json.dumps(config).encode())

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
            with contextlib.suppress(Exception):
                await machine.instance.stop()
        with contextlib.suppress(Exception):
            await self.store.stop()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


HOST = "ficu95.example"


def route(prefix, kind, service, timeout_ms, target_ms, attempts=2, priority=1):
    return {"host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": priority, "service": service,
            "maxAttempts": attempts}


def config_make(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes,
            "services": {name: {"healthPath": "/health", "maxConnections": 110,
                                "protocol": "h1", "tls": False} for name in services},
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def case_run(folder, case):
    """Runs case(record, trouble); exits with its verdict."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", "with the disruption" if trouble else "without the disruption")
    try:
        verdict = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (CaseError, asyncio.TimeoutError, OSError) as error:
        record.write("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(verdict, "not run")
    record.write("case", text)
    print(text)
    sys.exit(verdict)
