"""Measures of configuration and membership, with nodes without backend servers."""

import os
import random
import subprocess
import time

from harness import ROOT, Fleet, HarnessError, preset_make
from harness_poll import MetricPoll

ZONES = 5
SERVICES = 320
CHANGE_INTERVAL_S = 0.2
CHANGES = int(os.environ.get("CHANGES", "200"))
# 4,300 changes a day are one every 20 s.
QUIET_S = 20.0
KILLS = 10
FAULT_BUILD = os.path.join(ROOT, "build-faults")
START_WAIT_S = 60


def full_preset(deadline_ms):
    """A preset of full size: 320 services with their routes."""
    return preset_make([f"service-{number:03d}" for number in range(SERVICES)],
                       deadline_ms)


def start(fleet, nodes):
    for number in range(nodes):
        fleet.host_add(number % len(fleet.zones) + 1)
    fleet.preset_create("normal", full_preset(2000))
    fleet.preset_create("peak", full_preset(1500))
    version = fleet.use("normal")
    fleet.wait_versions(version, timeout=START_WAIT_S)
    fleet.wait_members(nodes, timeout=START_WAIT_S)


def convergence(fleet, commits):
    """For each commit (version, wall clock s): ms until the last node had it in force."""
    latest = {version: 0.0 for version, _ in commits}
    for host in fleet.living():
        applied = host.version_times()
        for version, _ in commits:
            times = [at for at, found in applied if found >= version]
            if not times:
                raise HarnessError(f"{host.name} never applied version {version}")
            latest[version] = max(latest[version], min(times))
    return [(latest[version] - started) * 1000 for version, started in commits]


def process_usage(pid):
    """(resident MB, processor seconds) of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return resident, (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def control_bytes(host):
    metrics = host.metrics()
    return (metrics.get("control_bytes_sent_total", 0)
            + metrics.get("control_bytes_received_total", 0))


def measure_quiet(fleet):
    """Resource usage at the target's rate of changes: one change in QUIET_S."""
    hosts = fleet.hosts
    bytes_before = [control_bytes(host) for host in hosts]
    usage_before = [process_usage(host.node.pid)[1] for host in hosts]
    platform_before = fleet.counts()["bytes_out"]
    started = time.monotonic()
    time.sleep(QUIET_S / 2)
    fleet.use_directly("peak")
    time.sleep(QUIET_S / 2)
    took = time.monotonic() - started
    usage = [process_usage(host.node.pid) for host in hosts]
    # Bytes sent by the platform count as control traffic, divided evenly over the nodes.
    platform = (fleet.counts()["bytes_out"] - platform_before) / len(hosts)
    return {
        "control_bytes_per_node_s": [
            (control_bytes(host) - before + platform) / took
            for host, before in zip(hosts, bytes_before)],
        "node_rss_mb": [resident for resident, _ in usage],
        "node_cpu_percent": [100 * (after - before) / took for (_, after), before
                             in zip(usage, usage_before)]}


def measure_changes(nodes, settings, seed):
    rng = random.Random(seed)
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes)
        result = measure_quiet(fleet)
        commits, calls, watches = [], [], []
        kinds = ("get", "list", "put", "delete", "watch")
        for number in range(CHANGES):
            before = fleet.counts()
            commits.append(fleet.use_directly("normal" if number % 2 == 0 else "peak"))
            time.sleep(CHANGE_INTERVAL_S * (0.75 + rng.random() / 2))
            after = fleet.counts()
            # Excludes the harness's own read and write of the head.
            calls.append(sum(after[kind] - before[kind] for kind in kinds) - 2)
            watches.append(after["waiting_watches"])
        fleet.wait_versions(commits[-1][0], timeout=START_WAIT_S)
        result["convergence_ms"] = convergence(fleet, commits)
        result["platform_calls_per_change"] = calls
        result["platform_waiting_watches"] = watches
        return result


def measure_return_storm(nodes, settings, seed):
    """Kills and restarts all nodes; time until each has the version in force again."""
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes)
        version = fleet.use("peak")
        fleet.wait_versions(version, timeout=START_WAIT_S)
        for host in fleet.hosts:
            host.node.popen.kill()
        for host in fleet.hosts:
            host.node.popen.wait()
        before, started = fleet.counts(), time.time()
        for host in fleet.hosts:
            host.node_start()
        fleet.wait_versions(version, timeout=START_WAIT_S)
        after = fleet.counts()
        print(f"return storm, {nodes} nodes: {after['calls'] - before['calls']} platform "
              f"calls, {after['refused_rate'] - before['refused_rate']} refused by rate",
              flush=True)
        values = []
        for host in fleet.hosts:
            times = [at for at, found in host.version_times()
                     if found >= version and at >= started]
            values.append((min(times) - started) * 1000)
        return {"return_storm_ms": values}


def measure_dead_host(nodes, settings, seed):
    """Kills nodes one after another; time until each other node has removed the victim."""
    rng = random.Random(seed)
    with Fleet(zones=ZONES, settings=settings) as fleet:
        start(fleet, nodes)
        values = []
        for victim in rng.sample(fleet.hosts, min(KILLS, nodes // 4)):
            others = [host for host in fleet.living() if host is not victim]
            left = set(others)
            with MetricPoll(others, "members_alive") as poll:
                poll.values()
                killed = time.monotonic()
                victim.node.kill()
                while left:
                    for host, (alive, at) in poll.values().items():
                        if host in left and alive == len(others):
                            left.discard(host)
                            values.append((at - killed) * 1000)
                    if time.monotonic() - killed > START_WAIT_S:
                        raise HarnessError(f"{victim.name} was not removed by every node")
        return {"dead_host_removed_ms": values}


def fault_build():
    """Builds the program with the transport's fault hooks, without sanitizers; its path."""
    subprocess.run(["cmake", "-S", ROOT, "-B", FAULT_BUILD, "-DMASTICPITCH_FAULTS=ON"],
                   check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["cmake", "--build", FAULT_BUILD, "--target", "masticpitch", "-j", "4"],
                   check=True, stdout=subprocess.DEVNULL)
    return os.path.join(FAULT_BUILD, "masticpitch")


def measure_heal(nodes, settings, seed):
    """Partitions a zone during a change; time from the end of the partition until each of
    its nodes has the change in force."""
    program = fault_build()
    with Fleet(zones=ZONES, settings=settings) as fleet:
        fleet.program = program
        start(fleet, nodes)
        values = []
        for name in ("peak", "normal", "peak"):
            fleet.zone_cut(ZONES)
            outside = [host for host in fleet.hosts if host.zone_number != ZONES]
            inside = [host for host in fleet.hosts if host.zone_number == ZONES]
            time.sleep(4)
            version, _ = fleet.use_directly(name)
            fleet.wait_versions(version, outside, timeout=START_WAIT_S)
            healed = time.time()
            fleet.zone_heal()
            fleet.wait_versions(version, timeout=START_WAIT_S)
            for host in inside:
                values.append(1000 * (min(
                    at for at, found in host.version_times() if found >= version)
                    - healed))
            if min(values) < 0:
                raise HarnessError("a node of the partitioned zone got the change during the partition")
        return {"heal_ms": values}
