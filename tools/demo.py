"""The demo: two small deployments under load, with configuration changes, planned stops,
crashes and a platform outage. Prints the outcomes that callers got; the exit status is
1 if a guarantee was violated."""

import sys
import time

from harness import Fleet, HarnessError, preset_make

CONVERGENCE_LIMIT_S = 3.0
LOAD = {"rate": 150, "mix": "lookup=70,call=20,internal=8,upload=2", "failover": 3,
        "upload_bytes": 400000, "upload_pace": 400000, "answer_bytes": 2000}
COLUMNS = ("sent", "answered", "refused", "unknown", "failed", "cut", "wrong", "doubled")


class Deployment:
    """One deployment: four hosts in two zones, each service on one host of each zone."""

    def __init__(self, fleet, title, services):
        self.fleet = fleet
        self.title = title
        self.services = services
        self.versions = {}
        self.broken = []
        self.switches = []
        self.rows = []
        self.phase_number = 0

    def report_violation(self, text):
        self.broken.append(text)
        print(f"  BROKEN: {text}")

    def watch(self, seconds):
        """Checks for a while that no node reverts to an older version."""
        end = time.monotonic() + seconds
        while True:
            for host in self.fleet.living():
                self.check_version(host)
            left = end - time.monotonic()
            if left <= 0:
                return
            time.sleep(min(0.05, left))

    def check_version(self, host):
        version = host.version()
        highest = self.versions.get(host.name, 0)
        if 0 < version < highest:
            self.report_violation(f"{host.name} reverted from version {highest} to {version}")
        self.versions[host.name] = max(highest, version)
        return version

    def start(self):
        for service in self.services:
            for zone in (1, 2):
                self.fleet.host_add(zone, service, slots=10)
        for name, deadline in (("normal", 2000), ("peak", 1500), ("maintenance", 4000)):
            self.fleet.preset_create(name, preset_make(self.services, deadline))
        version = self.fleet.use("normal")
        self.fleet.wait_versions(version)
        self.wait_instances_ready()

    def wait_instances_ready(self):
        for service in self.services:
            self.fleet.wait_instances(service, 2)

    def switch(self, name):
        """Puts a preset in force and waits until every node has it."""
        started = time.monotonic()
        version = self.fleet.use(name)
        while True:
            behind = [host.name for host in self.fleet.living()
                      if self.check_version(host) < version]
            elapsed_s = time.monotonic() - started
            if not behind:
                break
            if elapsed_s > 3 * CONVERGENCE_LIMIT_S:
                self.report_violation(f"version {version} is not on {', '.join(behind)}")
                break
        if elapsed_s > CONVERGENCE_LIMIT_S:
            self.report_violation(f"version {version} took {elapsed_s:.2f} s")
        self.switches.append((version, name, elapsed_s))

    def load_start(self, seconds):
        self.phase_number += 1
        targets = self.fleet.living()
        return [self.fleet.caller(f"p{self.phase_number}-{service}", targets,
                                  service=service, seconds=seconds,
                                  inner=f"/{other}/internal/x", levels=2,
                                  seed=self.phase_number, **LOAD)
                for service, other in (self.services, self.services[::-1])]

    def load_end(self, title, callers, planned):
        """Sums up a phase. planned: no process was killed, so each request is answered or
        truly refused."""
        reports = [caller.wait(60) for caller in callers]
        row = {name: sum(report.get(name, 0) for report in reports) for name in COLUMNS}
        reasons = {}
        for report in reports:
            for name, count in report["reasons"].items():
                reasons[name] = reasons.get(name, 0) + count
        self.rows.append((title, row, reasons))
        if planned and row["cut"] + row["unknown"] + row["failed"] > 0:
            self.report_violation(f"{title}: {row['cut']} cut, {row['unknown']} unknown, "
                                  f"{row['failed']} failed")
        if row["answered"] < row["sent"] / 2:
            self.report_violation(f"{title}: only {row['answered']} of {row['sent']} answered")

    def phase_switches(self):
        callers = self.load_start(3)
        for name in ("peak", "maintenance", "normal"):
            self.watch(0.6)
            self.switch(name)
        self.load_end("switches", callers, planned=True)

    def phase_leave(self):
        """Stops a host of the first service as planned and restarts it."""
        callers = self.load_start(4)
        self.watch(1)
        host = self.fleet.hosts[0]
        host.leave()
        for process in (host.backend, host.node):
            code = process.wait(20)
            if code != 0:
                self.report_violation(f"{process.name} ended its planned stop with {code}")
        self.watch(0.5)
        host.start()
        self.load_end("planned leave", callers, planned=True)
        self.wait_instances_ready()

    def phase_kills(self):
        """Kills a backend server, then a node of the other service, and restarts both."""
        callers = self.load_start(5)
        self.watch(1)
        self.fleet.hosts[1].backend.kill()
        self.watch(1)
        self.fleet.hosts[2].node.kill()
        self.watch(1)
        self.switch("peak")
        self.fleet.hosts[1].backend_start()
        self.fleet.hosts[2].node_start()
        self.load_end("kills", callers, planned=False)
        self.wait_instances_ready()

    def phase_outage(self):
        callers = self.load_start(4)
        self.watch(0.5)
        self.fleet.faults(outage=True)
        self.watch(2.5)
        self.fleet.faults(outage=False)
        self.load_end("platform down", callers, planned=True)
        self.switch("normal")

    def run(self):
        self.start()
        self.phase_switches()
        self.phase_leave()
        self.phase_kills()
        self.phase_outage()
        verdict = self.fleet.verdict()
        for name in ("wrong", "doubled", "refused_but_run", "answered_unrun"):
            if verdict[name] > 0:
                self.report_violation(f"{verdict[name]} requests {name}")
        for line in self.fleet.faults_found():
            self.report_violation(line)
        self.print(verdict)
        return not self.broken

    def print(self, verdict):
        print(f"\n{self.title}")
        print(f"  {'phase':<16}" + "".join(f"{name:>10}" for name in COLUMNS))
        for title, row, _ in self.rows:
            print(f"  {title:<16}" + "".join(f"{row[name]:>10}" for name in COLUMNS[:-1]))
        print(f"  {'all':<16}" + "".join(f"{verdict[name]:>10}" for name in COLUMNS))
        print(f"  refused as not run, but run: {verdict['refused_but_run']}; "
              f"answered, but not run: {verdict['answered_unrun']}")
        for title, _, reasons in self.rows:
            if reasons:
                texts = (f"{name} {count}" for name, count in sorted(reasons.items()))
                print(f"  {title}: {', '.join(texts)}")
        for version, name, elapsed_s in self.switches:
            print(f"  version {version} ({name}): on every node after {elapsed_s * 1000:.0f} ms")


def main():
    started = time.monotonic()
    good = True
    for title, services, settings, zones in (
            ("Bukal Ulan Foundation", ("katalogo", "pamigay"),
             {"configuration.spread": "fast"}, ["cebu-a", "cebu-b"]),
            ("Consorcio Campanas del Tranvía", ("vitrina", "taller"),
             {"configuration.spread": "frugal"}, ["poblado", "envigado"])):
        with Fleet(settings=settings, zone_names=zones) as fleet:
            deployment = Deployment(fleet, title, services)
            try:
                good &= deployment.run()
            except HarnessError as error:
                deployment.report_violation(str(error))
                fleet.keep_logs()
                good = False
    elapsed_s = time.monotonic() - started
    print(f"\ndemo: {'every guarantee held' if good else 'A GUARANTEE BROKE'}, "
          f"{elapsed_s:.0f} s")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
