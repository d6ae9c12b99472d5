"""Measures of edits, planned stops, crashing requests and resource usage of requests."""

import hashlib
import json
import os
import random
import time

from bench_control import CHANGE_INTERVAL_S, CHANGES, convergence, process_usage
from bench_control import START_WAIT_S, ZONES
from bench_control import start as start_control
from harness import Fleet, HarnessError, preset_make, wait_for

HEAD = "masticpitch/head"
PART = "masticpitch/part/"
# Each edit writes a new value, starting above the default of 10,000 ms.
SLOW_START_MS = 10001
SERVICE = "katalogo"
STOPS = int(os.environ.get("STOPS", "40"))
CRASHES = int(os.environ.get("CRASHES", "1000"))
UPLOADS = int(os.environ.get("UPLOADS", "100"))
UPLOAD_MB = int(os.environ.get("UPLOAD_MB", "50"))
# Slower than the gossip that distributes crash reports (a probe every 300 ms).
CRASH_RATE = 10
CPU_RATE = 500
CPU_S = 10
CPU_ROUNDS = 3
# The deadline of uploads is 120 s.
UPLOAD_WAIT_S = 200


def report_line(text):
    print(f"{text}; load average {os.getloadavg()[0]:.1f}", flush=True)


def parts_read(fleet, digests):
    """The parts that hold services: {digest: object}."""
    parts = {}
    for digest in digests:
        _, value = fleet.key_read(PART + digest)
        part = json.loads(value)
        if "services" in part:
            parts[digest] = part
    return parts


def edit_directly(fleet, parts, service, slow_start_ms):
    """Edits one service of the preset in force without a client process:
    (version, wall clock s of the head's write)."""
    revision, value = fleet.key_read(HEAD)
    head = json.loads(value)
    name = head["in_force"]
    listed = head["presets"][name]["parts"]
    old = next(digest for digest, part in parts.items() if service in part["services"])
    part = parts.pop(old)
    part["services"][service]["slow_start_ms"] = slow_start_ms
    text = json.dumps(part, separators=(",", ":")).encode()
    new = hashlib.blake2b(text, digest_size=16).hexdigest()
    parts[new] = part
    listed[listed.index(old)] = new
    fleet.key_write(PART + new, text)
    head["version"] += 1
    fleet.operations += 1
    head["history"] = (head["history"] + [{
        "version": head["version"], "operation": f"{fleet.operations:032x}",
        "operator": "harness", "action": f"edit {name}",
        "at": int(time.time() * 1000)}])[-128:]
    started = time.time()
    if not fleet.key_write(HEAD, json.dumps(head), revision):
        raise HarnessError("could not write the head: another writer changed it")
    return head["version"], started


def measure_edits(nodes, settings, seed):
    """Like convergence_ms, but each change edits one service of the preset in force."""
    rng = random.Random(seed)
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start_control(fleet, nodes)
        head = fleet.head()
        parts = parts_read(fleet, head["presets"][head["in_force"]]["parts"])
        services = sorted(name for part in parts.values() for name in part["services"])
        commits = []
        for number in range(CHANGES):
            commits.append(edit_directly(
                fleet, parts, rng.choice(services), SLOW_START_MS + number))
            time.sleep(CHANGE_INTERVAL_S * (0.75 + rng.random() / 2))
        fleet.wait_versions(commits[-1][0], timeout=START_WAIT_S)
        report_line(f"edits, {nodes} nodes, {len(services)} services, "
                    f"{len(parts)} parts of services")
        return {"edit_convergence_ms": convergence(fleet, commits)}


def start_hosts(fleet, plans):
    """Starts a host for each (zone, service or None, options of the backend server)."""
    for zone, service, options in plans:
        fleet.host_add(zone, service, **options)
    fleet.preset_create("normal", preset_make([SERVICE]))
    fleet.wait_versions(fleet.use("normal"), timeout=START_WAIT_S)
    fleet.wait_instances(SERVICE, sum(1 for _, service, _ in plans if service),
                         timeout=START_WAIT_S)


def broken_requests(fleet, sent):
    """(requests with a violated guarantee, counts by kind) from the harness's verdict."""
    verdict = fleet.verdict()
    # Counted as lost: answered without a run, without a recorded end, or failed although
    # no host crashed. A refusal as not run is counted only if the request was run.
    verdict["unrecorded"] = sent - verdict["sent"]
    names = ("cut", "doubled", "wrong", "unknown", "failed", "answered_unrun",
             "refused_but_run", "unrecorded")
    return sum(verdict[name] for name in names), verdict


def measure_planned_stops(nodes, settings, seed):
    """Stops nodes as planned and restarts them, one after another, under load."""
    with Fleet(zones=2, settings=settings) as fleet:
        start_hosts(fleet, [(number % 2 + 1, SERVICE, {"slots": 20})
                            for number in range(nodes)])
        # The callers are ended by a signal after the last stop.
        common = {"seconds": 60 * STOPS, "failover": 3, "seed": seed}
        callers = [
            fleet.caller("calls", fleet.hosts, rate=60, mix="lookup=7,call=3", **common),
            fleet.caller("uploads", fleet.hosts, rate=6, mix="upload=1",
                         upload_bytes=600000, upload_pace=300000, **common)]
        for number in range(STOPS):
            host = fleet.hosts[number % nodes]
            host.node.terminate()
            if (code := host.node.wait(60)) != 0:
                raise HarnessError(f"stop {number} of {host.name}: exit code {code}")
            host.node_start()
            fleet.wait_instances(SERVICE, nodes, timeout=START_WAIT_S)
        for caller in callers:
            caller.process.terminate()
        sent = sum(caller.wait(90)["sent"] for caller in callers)
        broken, verdict = broken_requests(fleet, sent)
        report_line(f"planned stops, {nodes} nodes, {STOPS} stops: {verdict}")
        return {"planned_stop_broken": [broken]}


def measure_crashes(nodes, settings, seed):
    """Repeats one request that crashes backend servers, alongside other traffic."""
    seconds = CRASHES / CRASH_RATE
    with Fleet(zones=2, settings=settings) as fleet:
        start_hosts(fleet, [(number % 2 + 1, SERVICE, {}) for number in range(nodes)])
        crashing = fleet.caller("crash", fleet.hosts, rate=CRASH_RATE, seconds=seconds,
                                mix="crash=1", seed=seed)
        others = fleet.caller("others", fleet.hosts, rate=60, seconds=seconds,
                              mix="lookup=7,call=3", seed=seed)
        crashes = 0

        def ended():
            nonlocal crashes
            for host in fleet.hosts:
                if not host.backend.alive():
                    crashes += 1
                    host.backend_start()
            return not (crashing.process.alive() or others.process.alive())
        wait_for(ended, "the callers end", seconds + 120, pause=0.05)
        report, other = crashing.wait(), others.wait()
        verdict = fleet.verdict()
        report_line(f"crashing request, {nodes} nodes: sent {report['sent']} times, "
                    f"{crashes} crashes of backend servers, reasons {report['reasons']}")
        report_line(f"other traffic: {other['answered']} of {other['sent']} answered "
                    f"({100 * other['answered'] / other['sent']:.2f}%), "
                    f"reasons {other['reasons']}, verdict {verdict}")
        return {"crash_deaths": [crashes]}


def start_pair(fleet, **backend_options):
    """Two hosts in one zone, only the second with a backend server: (entry, gate)."""
    start_hosts(fleet, [(1, None, {}), (1, SERVICE, backend_options)])
    return fleet.hosts


def max_concurrent_runs(host):
    """Largest number of concurrent runs on a host's backend server."""
    running = most = 0
    with open(host.runs_path, encoding="utf-8") as file:
        for line in file:
            running += {"run": 1, "end": -1}.get(line.split(" ")[0], 0)
            most = max(most, running)
    return most


def measure_uploads(nodes, settings, seed):
    """Sends concurrent uploads through one entry to another host; resident memory of both
    nodes, sampled until the last upload ends."""
    with Fleet(zones=1, settings=settings) as fleet:
        pair = start_pair(fleet, slots=UPLOADS, connections=UPLOADS + 10)
        before = [process_usage(host.node.pid)[0] for host in pair]
        peak, started = list(before), time.monotonic()
        caller = fleet.caller("uploads", pair[:1], rate=10 * UPLOADS, seconds=0.1,
                              mix="upload=1", upload_bytes=UPLOAD_MB * 1000000,
                              seed=seed)

        def ended():
            for index, host in enumerate(pair):
                peak[index] = max(peak[index], process_usage(host.node.pid)[0])
            return not caller.process.alive()
        wait_for(ended, "the uploads end", UPLOAD_WAIT_S)
        report = caller.wait()
        report_line(f"uploads, {report['answered']} of {report['sent']} of {UPLOAD_MB} MB "
                    f"answered in {time.monotonic() - started:.1f} s, at most "
                    f"{max_concurrent_runs(pair[1])} concurrent, reasons "
                    f"{report['reasons']}: entry's node {before[0]:.1f} MB before, "
                    f"{peak[0]:.1f} MB at peak; gate's node {before[1]:.1f} MB before, "
                    f"{peak[1]:.1f} MB at peak")
        if report["answered"] != UPLOADS:
            raise HarnessError(f"not all uploads were answered: {report}")
        return {"upload_rss_mb": peak, "upload_rss_before_mb": before}


def measure_cpu(nodes, settings, seed):
    """Processor time of both nodes together for each routed call, in CPU_ROUNDS rounds.
    It includes the usage of idle nodes, which is also printed."""
    with Fleet(zones=1, settings=settings) as fleet:
        pair = start_pair(fleet, work_ms=0)

        def usage():
            return [process_usage(host.node.pid)[1] for host in pair]
        time.sleep(2)  # until the nodes have finished their startup
        before, values = usage(), []
        time.sleep(CPU_S / 2)
        idle = [(after - start) / (CPU_S / 2) for start, after in zip(before, usage())]
        for turn in range(CPU_ROUNDS):
            before = usage()
            report = fleet.caller(
                f"cpu-{turn}", pair[:1], rate=CPU_RATE, seconds=CPU_S,
                mix="lookup=7,call=3", work_ms=0, seed=seed + turn).wait(90)
            used = [after - start for start, after in zip(before, usage())]
            if report["answered"] < 0.99 * report["sent"]:
                raise HarnessError(f"cpu: fewer than 99% of the calls were answered: {report}")
            values.append(1e6 * sum(used) / report["answered"])
            report_line(f"processor time a call: entry's node "
                        f"{1e6 * used[0] / report['answered']:.0f} us, gate's node "
                        f"{1e6 * used[1] / report['answered']:.0f} us; idle nodes "
                        f"{1e3 * idle[0]:.1f} and {1e3 * idle[1]:.1f} ms a second")
        return {"cpu_us_per_call": values}
