#!/usr/bin/env python3
"""The fault soak: real processes under random injected faults, drawn from a seed.

usage: tools/soak.py [--seconds S] [--hosts N] FIRST..LAST

Each seed starts a mesh, callers that send directly and through proxies, and a schedule
of overlapping faults. During the run no node may revert to an older version unless it
restarts; at the end the outcomes that callers got are compared with the runs of backend
servers. One line per seed goes to standard output, with the faults injected; the exit
status is 1 if any seed violated a guarantee. Logs of such a seed are kept in the build
directory.
"""
import argparse
import random
import sys
import time

from harness import Fleet, HarnessError, preset_make
from soak_proxy import Proxy

SERVICE = "katalogo"
PRESETS = (("normal", 2000), ("peak", 1500), ("maintenance", 4000))
LOAD = {"rate": 60, "mix": "lookup=60,call=28,internal=8,upload=4", "failover": 3,
        "upload_bytes": 60000, "answer_bytes": 3000, "inner": f"/{SERVICE}/internal/x",
        "levels": 2}
GUARANTEES = ("wrong", "doubled", "refused_but_run", "answered_unrun")
ANSWERED_MIN_SHARE = 0.3  # share of the requests of a seed that must be answered
WORK_MS = 25  # of a run; long enough that a crash interrupts some runs
SETTLE_S = 2.0  # without new faults, so that the mesh recovers before the end


class Soak:
    """One seed."""

    def __init__(self, fleet, seed, seconds, hosts):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.host_count = hosts
        self.injected = {}
        self.scheduled = []  # (time, function)
        self.proxies = []
        self.versions = {}  # (host, pid of its node): highest version
        self.broken = []

    def start(self):
        for number in range(self.host_count):
            self.fleet.host_add(number % len(self.fleet.zones) + 1, SERVICE,
                                work_ms=WORK_MS)
        for name, deadline in PRESETS:
            self.fleet.preset_create(name, preset_make([SERVICE], deadline))
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

    # Faults; each one schedules its own end.

    def node_kill(self, host):
        host.node.kill()
        self.schedule(self.random.uniform(0.05, 1.5), host.node_start)

    def node_pause(self, host):
        node = host.node
        node.pause()
        self.schedule(self.random.choice((0.2, 1.0, 4.0)), node.resume)

    def restart(self, process, start):
        """Stops a process as planned and starts it again once it has ended."""
        process.terminate()

        def start_again():
            if process.alive():
                self.schedule(0.1, start_again)
            else:
                start()
        self.schedule(0.1, start_again)

    def node_restart(self, host):
        self.restart(host.node, host.node_start)

    def backend_kill(self, host):
        if host.backend.alive():
            host.backend.kill()
            self.schedule(self.random.uniform(0.1, 2.0), host.backend_start)

    def backend_pause(self, host):
        backend = host.backend
        backend.pause()
        self.schedule(self.random.uniform(0.2, 1.5), backend.resume)

    def backend_leave(self, host):
        self.restart(host.backend, host.backend_start)

    def platform_fault(self, _host):
        name, value, normal = self.random.choice((
            ("outage", True, False), ("slow_ms", 700, 0), ("lose_answers", 0.5, 0)))
        self.fleet.faults(**{name: value})
        self.schedule(self.random.uniform(0.5, 3.0), lambda: self.fleet.faults(
            **{name: normal}))

    def platform_restore(self, _host):
        """Restores the store from a copy; the operators write again what they wrote."""
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

    def configuration_change(self, _host):
        try:
            self.fleet.use_directly(self.random.choice(PRESETS)[0])
        except (OSError, HarnessError):
            pass  # a platform fault is active

    FAULTS = (node_kill, node_pause, node_restart, backend_kill, backend_pause,
              backend_leave, platform_fault, platform_restore, proxy_fault, proxy_fault,
              configuration_change, configuration_change)

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

    def run(self):
        callers = self.start()
        end = time.monotonic() + self.seconds
        next_fault = time.monotonic()
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
            self.check_versions()
            time.sleep(0.03)
        self.run_scheduled(everything=True)
        for proxy in self.proxies:
            proxy.set(None)
        for caller in callers:
            caller.wait(90)
        verdict = self.fleet.verdict()
        self.broken += [f"{name}: {verdict[name]}" for name in GUARANTEES if verdict[name]]
        if verdict["answered"] < ANSWERED_MIN_SHARE * verdict["sent"]:
            self.broken.append(f"answered {verdict['answered']} of {verdict['sent']}")
        self.broken += self.fleet.faults_found()[:5]
        return verdict

    def close(self):
        for proxy in self.proxies:
            proxy.close()


def seed_run(seed, seconds, hosts):
    """Runs one seed; True if every guarantee held."""
    with Fleet(zones=2) as fleet:
        soak = Soak(fleet, seed, seconds, hosts)
        try:
            verdict = soak.run()
        finally:
            soak.close()
        if soak.broken:
            fleet.keep_logs()
    faults = " ".join(f"{name}={count}" for name, count in sorted(soak.injected.items()))
    print(f"seed {seed}: {'BROKEN ' + '; '.join(soak.broken) if soak.broken else 'held'} "
          f"requests {verdict['sent']} answered {verdict['answered']} refused "
          f"{verdict['refused']} unknown {verdict['unknown']} cut {verdict['cut']} "
          f"faults {faults}", flush=True)
    return not soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=8.0, help="of faults a seed")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("seeds", help="FIRST..LAST")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("..")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        failed += not seed_run(seed, arguments.seconds, arguments.hosts)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
