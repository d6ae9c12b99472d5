"""Starts and ends the processes of tests, the demo and the bench.

A Fleet is one platform stand-in with nodes, backend servers and callers. Every process
is ended by its process id when the fleet is closed, on errors and on signals. If this
program is killed, the kernel ends its children (parent death signal).
"""

import datetime
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

from harness_process import (
    WAIT_S, HarnessError, Platform429, Process, child_setup, http_call, install_signals,
    wait_for)

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("MASTICPITCH_BUILD", "build"))
TOKEN = "token-of-the-operators"
SECRET = "5a" * 32
# Port ranges differ by process id, so that several programs can run on one machine.
PORT_FIRST = 10000
PORT_STEP = 8
PORT_SLOTS = 2600


def event_time(event):
    """Wall clock time of a log line, in seconds."""
    return datetime.datetime.fromisoformat(event["time"]).timestamp()


class Host:
    """A host: one node and, if it has a service, one backend server."""

    def __init__(self, fleet, zone, number, service=None, backend_options=None,
                 settings=None):
        self.fleet = fleet
        self.zone_number = zone
        self.zone = fleet.zones[zone - 1]
        self.ip = f"127.{zone}.{number // 250}.{number % 250 + 1}"
        self.name = f"{self.zone}-{number}"
        self.service = service
        self.backend_options = backend_options or {}
        self.settings = settings or {}
        self.node = None
        self.backend = None
        self.ready_total = 0
        port = fleet.port
        self.callers = f"{self.ip}:{port}"
        self.backend_servers = f"{self.ip}:{port + 1}"
        self.peers = f"{self.ip}:{port + 2}"
        self.operators = f"{self.ip}:{port + 3}"
        self.backend_address = f"{self.ip}:{port + 4}"
        self.fault_port = port + 5
        self.runs_path = fleet.path(f"runs-{self.name}")

    def settings_write(self):
        content = {
            "availability_zone": self.zone, "region": self.fleet.region,
            "listen": {"callers": self.callers, "backend_servers": self.backend_servers,
                       "peers": self.peers, "operators": self.operators},
            "platform": {
                "url": f"http://{self.fleet.platform_of(self.zone_number)}"},
            "mesh": {"seeds": self.fleet.seeds(self),
                     "keys": [{"id": 1, "secret": SECRET}]},
            "operators": {"token": TOKEN},
            "log": {"level": "info"},
        }
        for key, value in {**self.fleet.settings, **self.settings}.items():
            section, _, name = key.partition(".")
            content.setdefault(section, {})[name] = value
        path = self.fleet.path(f"settings-{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file, indent=1)
        return path

    def node_start(self):
        environment = {"MASTICPITCH_FAULT_PORT": str(self.fault_port)}
        self.node = self.fleet.spawn(
            f"node-{self.name}",
            [self.fleet.program, "node", "--settings", self.settings_write()],
            environment)

    def backend_start(self):
        options = {
            "listen": self.backend_address, "announce": self.backend_servers,
            "entry": self.callers, "service": self.service, "instance": self.name,
            "slots": 10, "connections": 110, "work-ms": 2, **self.backend_options}
        argv = [os.path.join(BUILD, "standin_backend")]
        for key, value in options.items():
            argv += [f"--{key}", str(value)]
        self.backend = self.fleet.spawn(
            f"backend-{self.name}", argv, output_path=self.runs_path)

    def start(self):
        self.node_start()
        if self.service:
            self.backend_start()

    def get(self, path, timeout=2.0):
        """A JSON answer of the operators' interface, or None on errors."""
        try:
            status, _, body = http_call(
                self.operators, "GET", path,
                headers={"Authorization": f"Bearer {TOKEN}"}, timeout=timeout)
            return json.loads(body) if status == 200 else None
        except (OSError, ValueError):
            return None

    def status(self):
        return self.get("/status")

    def version(self):
        status = self.status()
        return status.get("version", 0) if status else 0

    def metrics(self):
        """Metric values by name with labels; {} if the node does not answer."""
        try:
            _, _, body = http_call(self.operators, "GET", "/metrics", timeout=2.0)
        except OSError:
            return {}
        values = {}
        for line in body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            if name and not line.startswith("#"):
                values[name.removeprefix("masticpitch_")] = float(value)
        return values

    def fault(self, command):
        """Sends a fault command to the node's transport; needs a build with fault hooks."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.settimeout(1.0)
            sender.connect((self.ip, self.fault_port))
            for _ in range(5):
                try:
                    sender.send(command.encode())
                    if sender.recv(64).strip() == b"ok":
                        return
                except OSError:
                    continue
        raise HarnessError(f"{self.name} did not confirm the fault command {command!r}")

    def leave(self):
        """Starts a planned stop: backend server and node leave gracefully."""
        if self.backend:
            self.backend.terminate()
        self.node.terminate()

    def version_times(self):
        """(wall clock time in s, version) of each version that the node put in force."""
        return [(event_time(event), event["version"]) for event in self.log_events()
                if event.get("message") == "configuration in force"]

    def log_events(self):
        """The lines of the node's log as objects; other lines are skipped."""
        events = []
        for line in self.node.log().splitlines():
            if line.startswith("{"):
                try:
                    events.append(json.loads(line))
                except ValueError:
                    continue
        return events


class Caller:
    """One run of the caller stand-in."""

    def __init__(self, fleet, name, targets, options):
        self.outcomes_path = fleet.path(f"outcomes-{name}")
        self.report_path = fleet.path(f"report-{name}")
        argv = [os.path.join(BUILD, "standin_caller"), "--targets", ",".join(targets),
                "--prefix", name, "--outcomes", self.outcomes_path]
        for key, value in options.items():
            argv += [f"--{key.replace('_', '-')}", str(value)]
        self.process = fleet.spawn(f"caller-{name}", argv, output_path=self.report_path)

    def wait(self, timeout=60.0):
        code = self.process.wait(timeout)
        if code != 0:
            raise HarnessError(f"{self.process.name} ended with exit code {code}: "
                               f"{self.process.log()[-500:]}")
        with open(self.report_path, encoding="utf-8") as file:
            return json.loads(file.read())


class Fleet:
    """A platform, hosts and callers with a temporary directory; a context manager."""

    def __init__(self, zones=2, settings=None, region="visayas", zone_names=None,
                 keep=False):
        self.program = os.path.join(BUILD, "masticpitch")
        self.zones = zone_names or [f"zone-{chr(97 + i)}" for i in range(zones)]
        self.region = region
        self.settings = settings or {}
        self.keep = keep or os.environ.get("MASTICPITCH_KEEP") == "1"
        self.directory = tempfile.mkdtemp(prefix="masticpitch-")
        self.port = PORT_FIRST + os.getpid() % PORT_SLOTS * PORT_STEP
        self.processes = []
        self.hosts = []
        self.callers = []
        self.operations = 0
        self.platform = None
        self.platform_address = None

    def __enter__(self):
        install_signals()
        try:
            self.platform_start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind, _error, _trace):
        if kind is not None:
            self.keep_logs()
        self.close()

    def keep_logs(self, name=None):
        """Copies the logs of a failed run to the directory "failed" of the build."""
        target = os.path.join(BUILD, "failed", name or os.path.basename(sys.argv[0]))
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(self.directory, target)
        print(f"logs of the failed run: {os.path.relpath(target, ROOT)}", file=sys.stderr)

    def close(self):
        for process in self.processes:
            if process.alive():
                process.popen.kill()
        for process in self.processes:
            process.popen.wait()
        if not self.keep:
            shutil.rmtree(self.directory, ignore_errors=True)

    def path(self, name):
        return os.path.join(self.directory, name)

    def spawn(self, name, argv, environment=None, output_path=None):
        process = Process(name, argv, self.path(f"log-{name}"), environment, output_path)
        self.processes.append(process)
        return process

    # The platform.

    def platform_start(self):
        output = self.path("platform-output")
        # One address for each zone, so that a zone can be disconnected from the platform.
        addresses = [self.platform_of(zone) for zone in range(len(self.zones) + 1)]
        self.platform = self.spawn(
            "platform", [os.path.join(BUILD, "standin_platform"), "--listen",
                         ",".join(addresses)], output_path=output)

        def listening():
            with open(output, encoding="utf-8") as file:
                return file.read().count("listening") == len(addresses)
        wait_for(listening, "platform listens")
        self.platform_address = addresses[0]

    def platform_of(self, zone):
        """The platform's address for a zone; zone 0: for operators and the harness."""
        return f"127.0.0.{zone + 1}:{self.port + 6}"

    def faults(self, **faults):
        status, _, _ = http_call(self.platform_address, "POST", "/standin/faults",
                                 json.dumps(faults))
        if status != 200:
            raise HarnessError(f"platform stand-in refused the fault settings: status {status}")

    def counts(self):
        _, _, body = http_call(self.platform_address, "GET", "/standin/counts")
        return json.loads(body)

    def zone_cut(self, zone):
        """Partitions a zone from the platform and from the other zones."""
        self.faults(cut=self.platform_of(zone))
        for host in self.living():
            others = [zone] if host.zone_number != zone else [
                other for other in range(1, len(self.zones) + 1) if other != zone]
            for other in others:
                host.fault(f"cut-prefix 127.{other}.")

    def zone_heal(self):
        self.faults(cut="")
        for host in self.living():
            host.fault("heal")

    def key_read(self, key):
        """(revision, value) of a key, or (0, None)."""
        status, headers, body = http_call(
            self.platform_address, "GET", "/v1/kv/" + key)
        if status == 200:
            return int(headers["Revision"]), body
        if status == 404:
            return 0, None
        raise HarnessError(f"GET {key}: status {status}")

    def values_read(self, prefix):
        """The values of all keys with that prefix, by key."""
        status, _, body = http_call(
            self.platform_address, "GET", f"/v1/kv?prefix={prefix}")
        if status != 200:
            raise HarnessError(f"list {prefix}: status {status}")
        return {entry["key"]: entry["value"] for entry in json.loads(body)["entries"]}

    def key_write(self, key, value, expect=None):
        """The new revision, or None on a conflict with another write."""
        query = f"?expect={expect}" if expect is not None else ""
        status, _, body = http_call(
            self.platform_address, "PUT", f"/v1/kv/{key}{query}", value)
        if status == 429:
            raise Platform429
        if status not in (200, 409):
            raise HarnessError(f"PUT {key}: status {status}")
        return json.loads(body)["revision"] if status == 200 else None

    def lease_create(self, ttl_ms):
        """The number of a new lease on the platform."""
        status, _, body = http_call(
            self.platform_address, "POST", f"/v1/leases?ttl_ms={ttl_ms}", "")
        if status != 200:
            raise HarnessError(f"lease: status {status}")
        return json.loads(body)["lease"]

    def head(self):
        _, value = self.key_read("masticpitch/head")
        return json.loads(value) if value else None

    # The program's own client.

    def client(self, *arguments, timeout=20.0):
        """Runs a subcommand of the program; (exit code, output, error output)."""
        process = subprocess.Popen(
            [self.program, *arguments], stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, text=True, preexec_fn=child_setup)
        try:
            output, errors = process.communicate(timeout=timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            output, errors = process.communicate()
            raise HarnessError(f"{arguments} took longer than {timeout} s") from None
        return process.returncode, output, errors

    def operator(self, *arguments, operator="operator"):
        return self.client(*arguments, "--platform", f"http://{self.platform_address}",
                           "--operator", operator)

    def operator_must(self, *arguments, operator="operator"):
        code, output, errors = self.operator(*arguments, operator=operator)
        if code != 0:
            raise HarnessError(f"{' '.join(arguments)}: exit code {code}: {errors}{output}")
        return output

    def preset_file(self, name, content):
        path = self.path(f"preset-{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file)
        return path

    def preset_create(self, name, content):
        self.operator_must("preset", "create", name, "--file",
                           self.preset_file(name, content))

    def use(self, name, operator="operator"):
        """Puts a preset in force; returns the new version."""
        self.operator_must("use", name, operator=operator)
        return self.head()["version"]

    def use_directly(self, name):
        """Writes the head as a commit does, without a client process: (version, wall clock s).

        For measurements that the start of a process would distort.
        """
        for _ in range(20):
            revision, value = self.key_read("masticpitch/head")
            head = json.loads(value)
            head["version"] += 1
            head["in_force"] = name
            self.operations += 1
            head["history"] = (head["history"] + [{
                "version": head["version"], "operation": f"{self.operations:032x}",
                "operator": "harness", "action": f"use {name}",
                "at": int(time.time() * 1000)}])[-128:]
            started = time.time()
            if self.key_write("masticpitch/head", json.dumps(head), revision):
                return head["version"], started
        raise HarnessError("could not write the head: 20 conflicts in a row")

    # Hosts.

    def host_add(self, zone, service=None, start=True, settings=None, **backend_options):
        number = sum(1 for host in self.hosts if host.zone_number == zone)
        options = {key.replace("_", "-"): value for key, value in backend_options.items()}
        host = Host(self, zone, number, service, options, settings)
        self.hosts.append(host)
        if start:
            host.start()
        return host

    def seeds(self, host):
        """Seeds of a node: the first two other hosts of each zone."""
        seeds, seen = [], {}
        for other in self.hosts:
            seen[other.zone] = seen.get(other.zone, 0) + 1
            if other is not host and seen[other.zone] <= 2:
                seeds.append(other.peers)
        return seeds[:64]

    def living(self):
        return [host for host in self.hosts if host.node and host.node.alive()]

    def wait_versions(self, version, hosts=None, timeout=WAIT_S):
        """Waits until every running node has at least that version."""
        waiting = list(hosts or self.living())

        def reached():
            waiting[:] = [host for host in waiting if host.version() < version]
            return not waiting
        wait_for(reached, f"version {version} on every node", timeout)

    def wait_members(self, count, hosts=None, timeout=WAIT_S):
        """Waits until every node reports exactly that many members alive."""
        waiting = list(hosts or self.living())

        def alive(host):
            status = host.status() or {}
            return sum(member.get("state") == "alive"
                       for member in status.get("members", []))

        def reached():
            waiting[:] = [host for host in waiting if alive(host) != count]
            return not waiting
        wait_for(reached, f"{count} members alive on every node", timeout)

    def instances(self, host, service):
        """Nodes of the ready instances of a service that a node may use."""
        report = host.get("/instances") or {}
        return [item["node"] for item in report.get("instances", [])
                if item["service"] == service and item["state"] == "ready"
                and item["reachable"]]

    def wait_instances(self, service, count, hosts=None, timeout=WAIT_S):
        waiting = list(hosts or self.living())

        def reached():
            waiting[:] = [host for host in waiting
                          if len(self.instances(host, service)) != count]
            return not waiting
        wait_for(reached, f"{count} instances of {service} on every node", timeout)

    def caller(self, name, targets, **options):
        caller = Caller(self, name, [getattr(target, "callers", target)
                                     for target in targets], options)
        self.callers.append(caller)
        return caller

    # The verdict.

    def runs(self):
        """All runs: {id: [(marker, method, uri, wall clock ms, instance)]}."""
        runs = {}
        for host in self.hosts:
            if not os.path.exists(host.runs_path):
                continue
            with open(host.runs_path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    words = line.split()
                    if len(words) == 6 and words[0] == "run":
                        runs.setdefault(words[1], []).append((*words[2:], host.name))
        return runs

    def outcomes(self):
        """Outcomes of all callers: {id: (marker, class, outcome, reason, microseconds)}."""
        outcomes = {}
        for caller in self.callers:
            if not os.path.exists(caller.outcomes_path):
                continue
            with open(caller.outcomes_path, encoding="utf-8") as file:
                for line in file:
                    words = line.split()
                    if len(words) == 6:
                        outcomes[words[0]] = tuple(words[1:])
        return outcomes

    def verdict(self):
        """Compares the outcomes that callers got with the runs of backend servers."""
        runs, outcomes = self.runs(), self.outcomes()
        result = {name: 0 for name in ("sent", "answered", "refused", "unknown", "failed",
                                       "wrong", "cut")}
        result["sent"] = len(outcomes)
        for _, _, outcome, _, _ in outcomes.values():
            result[outcome] += 1
        result["doubled"] = sum(1 for items in runs.values()
                                if len(items) > 1 and items[0][0] == "once")
        result["refused_but_run"] = sum(
            1 for key, item in outcomes.items()
            if item[2] == "refused" and key in runs and item[1] != "crash")
        result["answered_unrun"] = sum(1 for key, item in outcomes.items()
                                       if item[2] == "answered" and key not in runs)
        return result

    def faults_found(self):
        """Sanitizer reports and violated invariants in the logs of all processes."""
        found = []
        for process in self.processes:
            for line in process.log().splitlines():
                if re.search(r"Sanitizer|runtime error:|invariant", line):
                    found.append(f"{process.name}: {line}")
        return found


def preset_make(services, deadline_ms=2000, **overrides):
    """A preset with the routes that the caller stand-in uses, for each service."""
    routes = []
    for service in services:
        for name, idempotent, method in (
                ("lookup", True, "GET"), ("internal", True, "GET"),
                ("call", False, "POST"), ("upload", False, "POST")):
            routes.append({
                "name": f"{service}-{name}", "methods": [method],
                "prefix": f"/{service}/{name}/", "service": service, "class": name,
                "idempotent": idempotent,
                "deadline_ms": 120000 if name == "upload" else deadline_ms,
                "min_attempt_ms": 5, "attempts": 3,
                "body_limit_bytes": 100000000 if name == "upload" else 65536,
                **overrides})
    return {"format": 1, "services": {service: {} for service in services},
            "routes": routes}
