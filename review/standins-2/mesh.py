"""A small mesh for the review's scripts: the project's node as it is deployed, on loopback
addresses, between stand-ins of the platform's store, of application instances and of
clients. The stand-ins follow the pages of the platform; each deviation is asked for by the
script that uses it.

Every process that is started is ended by its process id in Mesh.close(). If the script is
killed, the kernel ends the nodes (parent death signal).
"""

import base64
import ctypes
import http.server
import json
import os
import random
import re
import select
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "masticpitch")
TEMPLATE = os.path.join(ROOT, "deploy", "node.json")
# Bounds of sites/bukal-mesh.toml.
BOUNDS = ("seedLagS=3,addrReuseS=2,stableMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,"
          "lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,maxStretchMs=5000,"
          "retryBudgetRatio=0.2,budgetWindowS=10,budgetExtraTries=56,recoveryS=15")
HEARTBEAT_MS = 1500
DRAIN_S = 2.0
STABLE_S = 3.0
HOST = "pumps.example"
SCRIPT_LIMIT_S = 110.0
MACHINES_MAX = 10
# Of deploy/node.json.
OPERATORS_PORT = 9464

NOT_EXECUTED = "X-Masticpitch-Not-Executed"
ATTEMPT_ID = "X-Masticpitch-Attempt-Id"
DEADLINE = "X-Masticpitch-Deadline-Ms"
EXPECT = "X-Masticpitch-Expect-Instance"
CALLER = "X-Masticpitch-Caller-Service"
STAMP = "X-Masticpitch-Server-Stamp"


class CannotRun(Exception):
    """The case could not be brought about; exit code 2."""


def child_setup():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)
    signal.pthread_sigmask(signal.SIG_SETMASK, [])


class Record:
    """What was sent, answered and run, one JSON object a line, with seconds from the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, what, **fields):
        event = {"at": round(self.now(), 4), "what": what, **fields}
        with self.lock:
            self.events.append(event)
            self.file.write(json.dumps(event) + "\n")
            self.file.flush()
        return event

    def of(self, what):
        with self.lock:
            return [event for event in self.events if event["what"] == what]


class ThreadServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """A peer that has gone is no error of the stand-in."""


def serve(address, handler, **attributes):
    ip, port = address.split(":")
    server = ThreadServer((ip, int(port)), handler)
    for name, value in attributes.items():
        setattr(server, name, value)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


# The platform's store.

class Store:
    """The key-value store: items, revisions, watches, transactions and leases."""

    def __init__(self, address):
        self.address = address
        self.changed = threading.Condition()
        self.items = {}      # key: (value in base64, revision, revision of creation, lease)
        self.history = []    # (revision, key, item or None)
        self.leases = {}     # lease: (ends at, ttl in ms)
        self.revision = 100
        self.next_lease = 1000
        self.server = serve(address, StoreHandler, store=self)

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "createdAt": created,
                "lease": lease}

    def expire(self):
        now = time.monotonic()
        for lease in [l for l, (end, _) in self.leases.items() if end <= now]:
            self.lease_end(lease)

    def lease_end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.change({}, keys)

    def change(self, writes, removes):
        """One change of the store; the lock is held."""
        self.revision += 1
        for key, (value, lease) in writes.items():
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, key, self.item(key)))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self.changed.notify_all()
        return self.revision

    def operator_write(self, key, content):
        text = base64.b64encode(json.dumps(content).encode()).decode()
        with self.changed:
            return self.change({key: (text, 0)}, [])


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        pass

    def reply(self, status, content):
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        size = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(size) or b"{}")

    def do_GET(self):
        store = self.server.store
        parts = urllib.parse.urlsplit(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        with store.changed:
            store.expire()
            if parts.path == "/-/kv-key":
                key = query.get("key", "")
                if key in store.items:
                    answer = 200, {**store.item(key), "at": store.revision}
                else:
                    answer = 404, {"at": store.revision}
            elif parts.path == "/-/kv-range":
                start = query.get("prefix", "")
                keys = sorted(k for k in store.items
                              if k.startswith(start) and k > query.get("after", ""))
                answer = 200, {"items": [store.item(k) for k in keys[:500]],
                               "hasMore": len(keys) > 500, "at": store.revision}
            elif parts.path == "/-/kv-watch":
                answer = self.watch(store, query)
            else:
                answer = 404, {}
        self.reply(*answer)

    def watch(self, store, query):
        start = query.get("prefix", "")
        after = int(query.get("after", "0"))
        end = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            events = [item if item is not None
                      else {"key": key, "revision": revision, "deleted": True}
                      for revision, key, item in store.history
                      if revision > after and key.startswith(start)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": store.revision}
            store.changed.wait(min(left, 0.5))
            store.expire()

    def do_POST(self):
        store = self.server.store
        content = self.body()
        with store.changed:
            store.expire()
            if self.path == "/-/kv-txn":
                answer = self.transaction(store, content)
            elif self.path == "/-/kv-lease":
                store.next_lease += 1
                ttl = max(int(content["ttlMs"]), 1000)
                store.leases[store.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                answer = 200, {"lease": store.next_lease, "ttlMs": ttl, "at": store.revision}
            elif self.path.startswith("/-/kv-keep/"):
                lease = int(self.path.rsplit("/", 1)[1])
                if lease in store.leases:
                    ttl = store.leases[lease][1]
                    store.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                    answer = 200, {"lease": lease, "ttlMs": ttl, "at": store.revision}
                else:
                    answer = 404, {"at": store.revision}
            else:
                answer = 404, {}
        self.reply(*answer)

    def transaction(self, store, content):
        rows = content.get("expectedRev", [])
        current = [store.item(row["key"]) if row["key"] in store.items
                   else {"key": row["key"], "revision": 0} for row in rows]
        if any(row["revision"] != item["revision"] for row, item in zip(rows, current)):
            return 412, {"items": current, "at": store.revision}
        writes = {w["key"]: (w["value"], w.get("lease", 0)) for w in content.get("writes", [])}
        if any(key.startswith(("op/", "servers/")) for key in writes):
            return 403, {"at": store.revision}
        if any(lease and lease not in store.leases for _, lease in writes.values()):
            return 404, {"at": store.revision}
        revision = store.change(writes, content.get("remove", []))
        return 200, {"revision": revision, "at": revision}

    def do_DELETE(self):
        store = self.server.store
        with store.changed:
            store.lease_end(int(self.path.rsplit("/", 1)[1]))
        self.reply(200, {"at": store.revision})


# Application instances.

class Instance:
    """One incarnation of an application instance and the heartbeats that it sends."""

    def __init__(self, machine, service, work_s=0.02, slots=9):
        self.machine = machine
        self.record = machine.mesh.record
        self.service = service
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.work_s = work_s
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.leaving = False        # says so in its answers
        self.running = 0
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.server = serve(machine.app, InstanceHandler, instance=self)
        threading.Thread(target=self.beats, daemon=True).start()

    def heartbeat(self, **changes):
        """The body of the next heartbeat; changes: of its info."""
        with self.lock:
            self.sequence += 1
            return {"address": self.machine.app, "born": self.born,
                    "info": {"service": self.service, "version": "v1",
                             "zone": self.machine.zone, "slots": self.slots, **changes},
                    "status": {"state": self.state, "seq": self.sequence, "coldLeftMs": 0}}

    def beats(self):
        while not self.stopped.is_set():
            call(self.machine.control, "POST", f"/-/Instances.Heartbeat/{self.id}",
                 self.heartbeat())
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def beats_stop(self):
        self.stopped.set()

    def deregister(self):
        """True if the node acknowledged that the instance leaves."""
        self.beats_stop()
        status = call(self.machine.control, "POST", f"/-/Instances.Deregister/{self.id}",
                      {"born": self.born})
        self.leaving = True
        return status == 200


class InstanceHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = 10

    def log_message(self, *_arguments):
        pass

    def reply(self, status, body, **headers):
        instance = self.server.instance
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header(ATTEMPT_ID, self.headers.get(ATTEMPT_ID, ""))
        self.send_header("X-Masticpitch-Server-Load",
                         f"{instance.running},0,{instance.slots}")
        if instance.leaving:
            self.send_header("Server-Leaving", "1")
            self.send_header("Connection", "close")
            self.close_connection = True
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def handle_request(self):
        instance = self.server.instance
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == "/health":
            self.reply(503 if instance.leaving else 200, b"",
                       X_Masticpitch_Instance_Id=instance.id)
            return
        attempt = self.headers.get(ATTEMPT_ID)
        expected = self.headers.get(EXPECT)
        if attempt is None:
            self.reply(400, b"", X_Masticpitch_Not_Executed="1")
            return
        if expected is not None and expected != instance.id:
            self.reply(421, b"", X_Masticpitch_Instance_Id=instance.id)
            return
        with instance.lock:
            full = instance.running >= instance.slots
            if not full:
                instance.running += 1
        if full:
            self.reply(503, b"", X_Masticpitch_Not_Executed="1")
            return
        instance.record.add("run", id=attempt, instance=instance.id,
                            service=instance.service, machine=instance.machine.name,
                            caller=self.headers.get(CALLER), path=self.path)
        finished = self.work(attempt)
        with instance.lock:
            instance.running -= 1
        if not finished:
            self.close_connection = True
            return
        self.reply(200, f"answer to {attempt}".encode(),
                   X_Masticpitch_Server_Stamp=f"stamp.{instance.id}.{attempt}")

    def work(self, attempt):
        """Works on a request; False: its connection was closed, and the rest is dropped."""
        instance = self.server.instance
        work_s = instance.work_s() if callable(instance.work_s) else instance.work_s
        end = time.monotonic() + work_s
        while (left := end - time.monotonic()) > 0:
            readable, _, _ = select.select([self.connection], [], [], left)
            if readable and not self.connection.recv(1, socket.MSG_PEEK):
                instance.record.add("broken off", id=attempt, instance=instance.id,
                                    left_s=round(end - time.monotonic(), 3))
                return False
            if readable:
                time.sleep(min(left, 0.05))
        return True

    do_GET = do_POST = do_HEAD = handle_request


def call(address, method, path, content=None, timeout=1.0):
    """One call on a connection of its own; the status, or None without an answer."""
    body = b"" if content is None else json.dumps(content).encode()
    head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n").encode()
    ip, port = address.split(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(head + body)
            answer = b""
            while b"\r\n\r\n" not in answer:
                piece = connection.recv(65536)
                if not piece:
                    return None
                answer += piece
            return int(answer.split(b" ", 2)[1])
    except (OSError, ValueError, IndexError):
        return None


# Machines, clients, and all of it.

class Machine:
    """A host with a node and, beside it, at most one instance."""

    def __init__(self, mesh, number, zone, service):
        self.mesh = mesh
        self.zone = zone
        self.service = service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{mesh.net}.{number}"
        self.outbound, self.ready, self.control, self.app, self.peers = (
            f"{self.ip}:{mesh.port + offset}" for offset in range(5))
        self.path = os.path.join(mesh.directory, f"{self.name}.conf")
        self.log_path = os.path.join(mesh.directory, f"{self.name}.log")
        self.process = None

    def settings(self):
        ports = self.mesh.port + 4
        seeds = [m.control for m in self.mesh.machines if m is not self][:3]
        return {"nodeName": self.name, "role": "node", "machineClass": "sidecar",
                "ip": self.ip, "zone": self.zone, "region": "visayas",
                "listen": {"outbound": self.outbound, "ready": self.ready,
                           "control": self.control},
                "portRange": [ports, ports + 15], "seedNodes": seeds,
                "limits": {"linkMbps": 1000.0}, "heartbeatMs": HEARTBEAT_MS,
                "bounds": BOUNDS.split(","), "appAddr": self.app, "service": self.service,
                "platform": {"address": self.mesh.store_address}}

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(template_fill(open(TEMPLATE, encoding="utf-8").read(), self.settings()))
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "node", "--settings", self.path], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=child_setup)
        self.mesh.processes.append(self.process)
        self.mesh.record.add("node started", machine=self.name)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.mesh.record.add("node killed", machine=self.name)

    def terminate(self):
        """Begins a planned stop."""
        self.process.send_signal(signal.SIGTERM)
        return self.mesh.record.add("SIGTERM", machine=self.name)["at"]

    def is_ready(self):
        return call(self.ready, "GET", "/-/readiness", timeout=0.5) == 200


def template_fill(text, fields):
    """The platform's way to fill in the template, as far as deploy/node.json uses it."""
    def find(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        value = find(match.group(1))
        return "" if value is None else match.group(2).replace("{{.}}", str(value))

    def field(match):
        value = find(match.group(1))
        if match.group(2):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


class Client:
    """Sends requests to the node of its machine at an even rate, each on a connection of its
    own, and records what it got."""

    def __init__(self, machine, path, per_s, method="GET", deadline_ms=1500):
        self.machine = machine
        self.record = machine.mesh.record
        self.path = path
        self.method = method
        self.deadline_ms = deadline_ms
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, args=(per_s,), daemon=True)
        self.thread.start()

    def run(self, per_s):
        due = time.monotonic()
        while not self.stopped.is_set():
            threading.Thread(target=self.request, daemon=True).start()
            due += 1 / per_s
            self.stopped.wait(max(due - time.monotonic(), 0))

    def request(self):
        attempt = f"{random.getrandbits(64):016x}"
        ip, port = self.machine.outbound.split(":")
        head = (f"{self.method} {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"{ATTEMPT_ID}: {attempt}\r\n{DEADLINE}: {self.deadline_ms}\r\n"
                f"Content-Length: 0\r\n\r\n").encode()
        self.record.add("sent", id=attempt, machine=self.machine.name, path=self.path)
        answer = b""
        try:
            with socket.create_connection((ip, int(port)), timeout=1.0) as connection:
                connection.settimeout(self.deadline_ms / 1000 + 0.5)
                connection.sendall(head)
                while b"\r\n\r\n" not in answer:
                    piece = connection.recv(65536)
                    if not piece:
                        break
                    answer += piece
        except OSError as error:
            self.record.add("answered", id=attempt, status=0, error=str(error))
            return
        status = answer.split(b" ", 2)[1].decode() if answer.count(b" ") >= 2 else "0"
        reason = re.search(rb"X-Masticpitch-Reason: (\S+)", answer)
        stamp = re.search(STAMP.encode() + rb": (\S+)", answer)
        self.record.add("answered", id=attempt, status=int(status),
                        reason=reason.group(1).decode() if reason else None,
                        stamp=stamp.group(1).decode() if stamp else None)

    def stop(self):
        self.stopped.set()
        self.thread.join(5)


class Mesh:
    """The store, the machines and the record of a script."""

    def __init__(self, record_path):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy file")
        self.record = Record(record_path)
        self.processes = []
        self.machines = []
        # The operators' port of the deploy file is fixed, so addresses differ by process.
        self.net = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
        self.port = self.free_ports()
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store_address = f"{self.net}.250:{self.port + 5}"
        self.store = Store(self.store_address)

    def free_ports(self):
        """The first of six ports that are free on the addresses of the machines and the
        store, as is the operators' port of the deploy file."""
        hosts = [f"{self.net}.{number}" for number in (*range(1, MACHINES_MAX + 1), 250)]
        for first in range(21000 + os.getpid() % 1000, 30000, 40):
            try:
                for host in hosts:
                    for port in (*range(first, first + 6), OPERATORS_PORT):
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    def machine(self, zone, service):
        machine = Machine(self, len(self.machines) + 1, zone, service)
        self.machines.append(machine)
        return machine

    def wait(self, predicate, what, timeout=15.0):
        end = time.monotonic() + timeout
        while not predicate():
            if time.monotonic() > end:
                raise CannotRun(f"not reached within {timeout} s: {what}")
            time.sleep(0.02)

    def configuration(self, version, routes, services, timeout_ms=1200):
        """Writes a configuration; routes: name to (prefix, kind, service, attempts)."""
        self.store.operator_write("op/config", {
            "version": f"{version:08x}",
            "routes": {name: {"host": HOST, "prefix": prefix, "kind": kind,
                              "timeoutMs": timeout_ms,
                              "targetLatencyMs": 400, "priority": 1, "service": service,
                              "maxAttempts": attempts}
                       for name, (prefix, kind, service, attempts) in routes.items()},
            "services": {name: {"healthPath": "/health", "maxConnections": 110,
                                "protocol": "h1", "tls": False} for name in services},
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record.add("configuration acknowledged", version=version)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP") == "1":
            print(f"logs of the nodes: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def late(delay_s, action, *arguments):
    """Runs an action after a delay, in a thread of its own."""
    timer = threading.Timer(delay_s, action, arguments)
    timer.daemon = True
    timer.start()
    return timer


def main(script, record_path):
    """Runs script(mesh, trouble), which returns a list of breaches; exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(2))
    signal.alarm(int(SCRIPT_LIMIT_S))
    mesh = None
    try:
        mesh = Mesh(record_path)
        breaches = script(mesh, trouble)
    except Exception as error:  # any fault of the script itself: it says nothing of the rule
        print(f"cannot run: {type(error).__name__}: {error}")
        return 2
    finally:
        if mesh is not None:
            mesh.close()
    for line in breaches[:10]:
        print(line)
    verdict = "broken" if breaches else "held"
    mesh.record.add("verdict", rule=verdict, breaches=len(breaches))
    print(f"rule {verdict}, {len(breaches)} breaches")
    return 1 if breaches else 0
