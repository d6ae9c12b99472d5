#!/usr/bin/env python3
"""The fault soak: real processes under random injected faults, drawn from a seed.

usage: tools/soak.py [--seconds S] [--hosts N] FIRST..LAST | regressions

Each seed starts a mesh, callers that send directly and through proxies, and a schedule
of overlapping faults. During the run no node may revert to an older version unless it
restarts, miss the time for a version while neither it nor the platform is disturbed, end without being asked to, or exceed the memory of the smallest host; no
withdrawn key may work there after that time; at the
end the outcomes that callers got are compared with the runs of backend servers. One line
per seed goes to standard output, with the faults injected; the exit status is 1 if any
seed violated a guarantee. Logs of such a seed are kept in the build directory.
"""
import argparse
import random
import re
import signal
import socket
import sys
import time

from harness import Fleet, HarnessError, http_call, preset_make
from soak_proxy import AnswerProxy, Proxy

SERVICE = "katalogo"
PRESETS = (("normal", 2000), ("peak", 1500), ("maintenance", 4000))
LOAD = {"rate": 60, "mix": "lookup=60,call=28,internal=8,upload=4", "failover": 3,
        "upload_bytes": 60000, "answer_bytes": 3000, "inner": f"/{SERVICE}/internal/x",
        "levels": 2, "key": "callers-key"}
GUARANTEES = ("wrong", "doubled", "refused_but_run", "answered_unrun")
ANSWERED_MIN_SHARE = 0.3  # share of the requests of a seed that must be answered
WORK_MS = 25  # of a run; long enough that a crash interrupts some runs
SETTLE_S = 2.0  # without new faults, so that the mesh recovers before the end
APPLY_S = 3.0  # from a change until it is in force everywhere, guarantee P9
CALM_S = 3.0  # after a fault, until its process counts as undisturbed again
CUT_S = 4.0  # of a node from all others
MEMORY_MAX_KB = 110 * 1024  # of a node: the memory of the smallest host
ANSWER_PROXIES_MAX = 4  # one thread each
# Seeds that failed once, by cause.
REGRESSIONS = (
    # SIGHUP ended a node that was starting.
    7003, 7005, 7007, 7009, 7011, 7014, 7018, 7019, 7022,
    # The same; besides, this soak started a second node beside the first one of a host.
    7015,
    # The same; besides, a node ended where its address was in use for less than 1 s.
    7013,
    # A late copy of an answer was taken for the answer to the next request.
    7010, 7016, 7020,
    # An answer without end to an upload outlasted the wait of this soak for its callers.
    9036)


class Soak:
    """One seed."""

    def __init__(self, fleet, seed, seconds, hosts):
        self.fleet = fleet
        self.random = random.Random(seed)
        # Cuts have a generator of their own, so that a seed keeps its other faults.
        self.cut_random = random.Random(f"cuts {seed}")
        self.key_random = random.Random(f"keys {seed}")
        self.seed = seed
        self.seconds = seconds
        self.host_count = hosts
        self.injected = {}
        self.scheduled = []  # (time, function)
        self.proxies = []
        self.answer_proxies = []
        self.versions = {}  # (host, pid of its node): highest version
        self.disturbed = {}  # host, None for the platform: until when
        self.cut_until = 0.0  # of the cut of a node that lasts
        self.changes = []  # (time, version) whose time to apply is not over yet
        self.in_force = (0.0, "normal")  # time and preset of the last change
        self.next_key_check = 0.0
        self.ends = {}  # pid of a node: statuses that it may end with
        self.found = set()  # pids of nodes that are at fault
        self.peak_kb = 0  # highest resident memory of a node
        self.before_main = {}  # pid of a node: status by a signal that came too early
        self.known = []  # cases of KNOWN-RED.txt
        self.uploads = []  # connections that send bodies in small chunks
        self.broken = []

    def start(self):
        for number in range(self.host_count):
            host = self.fleet.host_add(number % len(self.fleet.zones) + 1, SERVICE,
                                       start=False, work_ms=WORK_MS)
            if number < ANSWER_PROXIES_MAX:
                address = f"{host.ip}:{self.fleet.port + 6}"
                host.backend_options["address"] = address
                self.answer_proxies.append(AnswerProxy(
                    address, host.backend_address, self.seed + number))
            host.start()
        for name, deadline in PRESETS:
            self.fleet.preset_create(name, {**preset_make([SERVICE], deadline), "workspaces": {
                "callers": {"keys": [LOAD["key"]]}, "probe": {"keys": [f"key-{name}"]}}})
        self.fleet.wait_versions(self.fleet.use("normal"))
        self.fleet.wait_instances(SERVICE, self.host_count)
        for host in self.fleet.hosts[:2]:
            ip, _, port = host.callers.partition(":")
            self.proxies.append(Proxy(f"{ip}:{int(port) + 7}", host.callers))
        targets = [proxy.address for proxy in self.proxies] + self.fleet.hosts
        return [self.fleet.caller(f"s{self.seed}-{number}", targets, service=SERVICE,
                                  seconds=self.seconds + SETTLE_S, seed=self.seed + number,
                                  **LOAD) for number in range(2)]

    def schedule(self, wait_s, function):
        self.scheduled.append((time.monotonic() + wait_s, function))

    def running_host(self):
        """A random host whose node runs; None if no more than two run."""
        living = self.fleet.living()
        return self.random.choice(living) if len(living) > 2 else None

    def disturb(self, host, seconds):
        """The host is undisturbed again CALM_S after that; None: the platform."""
        until = time.monotonic() + seconds + CALM_S
        self.disturbed[host] = max(self.disturbed.get(host, 0.0), until)

    # Faults; each one schedules its own end.

    def node_start(self, host):
        self.disturb(host, 0.0)
        if host.node.alive():
            return  # started already, by the end of another fault
        host.node_start()
        if self.random.random() < 0.4:
            self.hang_up(host)

    def hang_up(self, host):
        """A series of reloads."""
        self.disturb(host, 0.0)
        for _ in range(self.random.randint(1, 8)):
            time.sleep(self.random.choice((0.0, 0.001, 0.002, 0.008)))
            self.process_signal(host.node, signal.SIGHUP)

    def process_signal(self, process, number):
        """Sends a signal, and notes whether the program has begun: as its first statement
        it blocks the signals that it handles. KNOWN-RED.txt has the time before."""
        if process.alive():
            with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
                masks = re.findall(r"Sig(?:Blk|Cgt):\s*([0-9a-f]+)", file.read())
            if any(int(mask, 16) >> (number - 1) & 1 for mask in masks):
                self.before_main.pop(process.pid, None)
            else:
                self.before_main[process.pid] = -number
            process.signal(number)

    def end_expect(self, node, status):
        self.ends.setdefault(node.pid, set()).add(status)

    def node_kill(self, host):
        self.disturb(host, 60.0)
        self.end_expect(host.node, -signal.SIGKILL)
        host.node.kill()
        if self.random.random() < 0.3:
            self.address_hold(host)
        self.schedule(self.random.uniform(0.05, 1.5), lambda: self.node_start(host))

    def address_hold(self, host):
        """Another program takes an address of a node that is about to start."""
        address = self.random.choice(
            (host.callers, host.backend_servers, host.peers, host.operators))
        kind = socket.SOCK_STREAM
        if address == host.peers:  # datagrams and streams
            kind = self.random.choice((socket.SOCK_DGRAM, socket.SOCK_STREAM))
        holder = socket.socket(socket.AF_INET, kind)
        try:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind(Proxy.split(address))
            if kind == socket.SOCK_STREAM:
                holder.listen(0)
        except OSError:
            holder.close()
            return
        self.injected["address_hold"] = self.injected.get("address_hold", 0) + 1
        self.schedule(self.random.uniform(0.2, 1.0), holder.close)

    def node_pause(self, host):
        node = host.node
        seconds = self.random.choice((0.2, 1.0, 4.0))
        self.disturb(host, seconds + 1.0)
        node.pause()
        self.schedule(seconds, node.resume)

    def node_cut(self, host):
        """Cuts a node off from all others, with a change at the same moment; the platform
        serves it. Needs a build with fault hooks."""
        now = time.monotonic()
        others = [other for other in self.fleet.living() if other is not host]
        if self.cut_until > now or any(
                self.disturbed.get(other, 0.0) > now for other in [host] + others):
            return
        self.cut_until = now + CUT_S
        try:
            for other in others:
                host.fault(f"cut {other.ip}")
                other.fault(f"cut {host.ip}")
            self.change(self.cut_random)
            self.injected["node_cut"] = self.injected.get("node_cut", 0) + 1
        except HarnessError:
            pass  # built without hooks
        finally:
            self.schedule(CUT_S, lambda: self.heal([host] + others))

    @staticmethod
    def heal(hosts):
        for host in hosts:
            if host.node.alive():
                try:
                    host.fault("heal")
                except HarnessError:
                    pass  # paused; the fault ends with the seed

    def platform_cut(self, _host):
        """The platform answers no node of a zone."""
        zone = self.cut_random.randint(1, len(self.fleet.zones))
        self.fleet.faults(cut=self.fleet.platform_of(zone))
        self.schedule(self.cut_random.uniform(0.5, 4.0),
                      lambda: self.fleet.faults(cut=""))
        self.injected["platform_cut"] = self.injected.get("platform_cut", 0) + 1

    def restart(self, process, start):
        """Stops a process as planned and starts it again once it has ended."""
        self.process_signal(process, signal.SIGTERM)

        def start_again():
            if process.alive():
                self.schedule(0.1, start_again)
            else:
                start()
        self.schedule(0.1, start_again)

    def node_restart(self, host):
        self.disturb(host, 60.0)
        self.end_expect(host.node, 0)
        self.restart(host.node, lambda: self.node_start(host))

    def backend_kill(self, host):
        if host.backend.alive():
            host.backend.kill()
            self.schedule(self.random.uniform(0.1, 2.0), lambda: self.backend_start(host))

    def backend_start(self, host):
        if not host.backend.alive():
            host.backend_start()

    def backend_pause(self, host):
        backend = host.backend
        backend.pause()
        self.schedule(self.random.uniform(0.2, 1.5), backend.resume)

    def backend_leave(self, host):
        self.restart(host.backend, lambda: self.backend_start(host))

    def platform_fault(self, _host):
        name, value, normal = self.random.choice((
            ("outage", True, False), ("slow_ms", 700, 0), ("lose_answers", 0.5, 0)))
        seconds = self.random.uniform(0.5, 3.0)
        self.disturb(None, seconds + 1.0)
        self.fleet.faults(**{name: value})
        self.schedule(seconds, lambda: self.fleet.faults(**{name: normal}))

    def platform_restore(self, _host):
        """Restores the store from a copy; the operators write again what they wrote."""
        self.disturb(None, 5.0)
        copy = self.fleet.counts()

        def restore():
            try:
                written = self.fleet.values_read("masticpitch/part/")
                written["masticpitch/head"] = self.fleet.key_read("masticpitch/head")[1]
                self.fleet.faults(regress_to_revision=copy["revision"],
                                  restore_to_lease=copy["last_lease"])
                for key, value in written.items():
                    self.fleet.key_write(key, value)
            except (OSError, HarnessError):
                pass  # a platform fault is active
        self.schedule(self.random.uniform(0.5, 4.0), restore)

    def proxy_fault(self, _host):
        proxy = self.random.choice(self.proxies)
        proxy.set(self.random.choice(Proxy.MODES), self.random.uniform(0.005, 0.05))
        self.schedule(self.random.uniform(0.3, 1.5), lambda: proxy.set(None))

    def answer_fault(self, _host):
        proxy = self.random.choice(self.answer_proxies)
        proxy.set(self.random.choice(AnswerProxy.MODES))
        self.schedule(self.random.uniform(0.3, 1.5), lambda: proxy.set(None))

    def small_chunks(self, host):
        """Callers send bodies in chunks of one byte, and read nothing; often to a backend
        server that does not read either."""
        if self.random.random() < 0.7:
            self.backend_pause(host)
        uploads = []
        for number in range(self.random.randint(2, 8)):
            try:
                upload = socket.create_connection(Proxy.split(host.callers), 0.2)
                upload.sendall(b"POST /%s/upload/x?id=c%d-%d HTTP/1.1\r\nHost: x\r\n"
                               b"Transfer-Encoding: chunked\r\n\r\n" % (
                                   SERVICE.encode(), len(self.uploads), number))
                upload.setblocking(False)
                uploads.append(upload)
            except OSError:
                pass  # the node is leaving or paused
        self.uploads += uploads

        def end():
            for upload in uploads:
                self.uploads.remove(upload)
                upload.close()
        self.schedule(self.random.uniform(0.5, 3.0), end)

    def uploads_continue(self):
        for upload in self.uploads:
            try:
                while upload.send(b"1\r\nx\r\n" * 8000) > 24000:
                    pass
            except OSError:
                pass  # the node reads no more for now, or has closed

    def configuration_change(self, _host):
        self.change(self.random)

    def change(self, generator):
        name = generator.choice(PRESETS)[0]
        self.in_force = (time.monotonic() + APPLY_S, None)  # unknown if this fails
        try:
            version, _ = self.fleet.use_directly(name)
            self.changes.append((time.monotonic(), version))
            self.in_force = (time.monotonic(), name)
        except (OSError, HarnessError):
            pass  # a platform fault is active

    FAULTS = (node_kill, node_pause, node_restart, backend_kill, backend_pause,
              backend_leave, platform_fault, platform_restore, proxy_fault, proxy_fault,
              configuration_change, configuration_change, hang_up, answer_fault,
              answer_fault, small_chunks)
    CUTS = (node_cut, node_cut, platform_cut)

    def run_scheduled(self, everything=False):
        now = time.monotonic()
        while True:
            due = [item for item in self.scheduled if everything or item[0] <= now]
            if not due:
                return
            for item in due:
                self.scheduled.remove(item)
                item[1]()
            if everything:
                time.sleep(0.1)

    def check_versions(self):
        for host in self.fleet.living():
            key = (host.name, host.node.pid)
            version = host.version()
            highest = self.versions.get(key, 0)
            if 0 < version < highest:
                self.broken.append(f"{host.name} reverted from version {highest} to {version}")
            self.versions[key] = max(highest, version)

    def check_changes(self):
        """A change is in force in time on each host that was undisturbed all the while."""
        now = time.monotonic()
        due = [change for change in self.changes if now >= change[0] + APPLY_S]
        for change in due:
            self.changes.remove(change)
            changed_at, version = change
            if self.disturbed.get(None, 0.0) > changed_at:
                continue
            for host in self.fleet.living():
                calm = self.disturbed.get(host, 0.0) < changed_at
                found = host.version() if calm else version
                if 0 < found < version:
                    self.broken.append(f"CONFIG: {host.name} has version {found}, not "
                                       f"{version}, after {APPLY_S} s")

    def check_keys(self):
        """A key that the preset in force lacks works on no undisturbed host."""
        now = time.monotonic()
        changed_at, name = self.in_force
        if now < max(self.next_key_check, changed_at + APPLY_S) or name is None or \
                self.disturbed.get(None, 0.0) > changed_at:
            return
        self.next_key_check = now + 0.3
        host = self.key_random.choice(self.fleet.hosts)
        key = "key-" + self.key_random.choice(
            [preset for preset, _ in PRESETS if preset != name])
        if not host.node.alive() or self.disturbed.get(host, 0.0) > changed_at:
            return
        try:
            status, _, _ = http_call(host.callers, "GET", f"/{SERVICE}/lookup/key",
                                     headers={"Masticpitch-Key": key}, timeout=0.5)
        except OSError:
            return
        self.injected["key_check"] = self.injected.get("key_check", 0) + 1
        if status < 400:
            self.broken.append(f"ROUTE: {host.name} served {key}, withdrawn by {name}")

    def check_processes(self):
        """No node ends by itself, nor uses more memory than its host has."""
        for process in self.fleet.processes:
            if not process.name.startswith("node-") or process.pid in self.found:
                continue
            status = process.popen.poll()
            if status is not None:
                fault = f"ended with status {status}"
                ended = status not in self.ends.get(process.pid, ())
                if ended and self.before_main.get(process.pid) == status:
                    self.found.add(process.pid)
                    self.known.append(f"KNOWN: {process.name}, pid {process.pid}, {fault}, "
                                      "a signal before main")
                    continue
            else:
                with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
                    peak = re.search(r"VmHWM:\s*(\d+) kB", file.read())
                peak_kb = int(peak.group(1)) if peak else 0
                self.peak_kb = max(self.peak_kb, peak_kb)
                fault = f"used {peak_kb // 1024} MB"
                ended = peak_kb > MEMORY_MAX_KB
            if ended:
                self.found.add(process.pid)
                self.broken.append(f"FAULT: {process.name}, pid {process.pid}, {fault}")

    def run(self):
        callers = self.start()
        end = time.monotonic() + self.seconds
        next_fault = next_cut = time.monotonic()
        while time.monotonic() < end:
            self.run_scheduled()
            if time.monotonic() >= next_fault:
                fault = self.random.choice(self.FAULTS)
                host = self.running_host()
                if host is not None:
                    fault(self, host)
                    self.injected[fault.__name__] = \
                        self.injected.get(fault.__name__, 0) + 1
                # Often two or three faults in quick succession, then a pause.
                next_fault += self.random.choice((0.0, 0.1, 0.6, 1.2))
            if time.monotonic() >= next_cut:
                host = self.cut_random.choice(self.fleet.hosts)
                if host.node.alive():
                    self.cut_random.choice(self.CUTS)(self, host)
                next_cut += self.cut_random.uniform(0.5, 3.0)
            self.check_versions()
            self.check_changes()
            self.check_keys()
            self.check_processes()
            self.uploads_continue()
            time.sleep(0.03)
        self.run_scheduled(everything=True)
        for proxy in self.proxies:
            proxy.set(None)
        for proxy in self.answer_proxies:
            proxy.set("reset")  # an answer without end would last until its deadline
        for caller in callers:
            caller.wait(90)
        self.check_processes()
        verdict = self.fleet.verdict()
        self.broken += [f"{name}: {verdict[name]}" for name in GUARANTEES if verdict[name]]
        if verdict["answered"] < ANSWERED_MIN_SHARE * verdict["sent"]:
            self.broken.append(f"answered {verdict['answered']} of {verdict['sent']}")
        self.broken += self.fleet.faults_found()[:5]
        return verdict

    def close(self):
        for proxy in self.proxies + self.answer_proxies:
            proxy.close()


def seed_run(seed, seconds, hosts):
    """Runs one seed; True if every guarantee held."""
    with Fleet(zones=2) as fleet:
        soak = Soak(fleet, seed, seconds, hosts)
        verdict = {name: 0 for name in ("sent", "answered", "refused", "unknown", "cut")}
        try:
            verdict = soak.run()
        except (OSError, HarnessError) as error:
            soak.broken.append(f"error: {error!r}")
        finally:
            soak.close()
        if soak.broken:
            fleet.keep_logs(f"soak-{seed}")
    faults = " ".join(f"{name}={count}" for name, count in sorted(soak.injected.items()))
    print(f"seed {seed}: {'BROKEN ' + '; '.join(soak.broken) if soak.broken else 'held'} "
          f"requests {verdict['sent']} answered {verdict['answered']} refused "
          f"{verdict['refused']} unknown {verdict['unknown']} cut {verdict['cut']} "
          f"peak {soak.peak_kb // 1024} MB faults {faults} {'; '.join(soak.known)}", flush=True)
    return not soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=8.0, help="of faults a seed")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("seeds", help="FIRST..LAST, or regressions")
    arguments = parser.parse_args()
    seeds = REGRESSIONS
    if arguments.seeds != "regressions":
        first, _, last = arguments.seeds.partition("..")
        seeds = range(int(first), int(last or first) + 1)
    failed = 0
    for seed in seeds:
        failed += not seed_run(seed, arguments.seconds, arguments.hosts)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
