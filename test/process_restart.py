"""Nodes are killed and restarted, with and without the platform."""

from common_process import VersionMonitor, check, check_equal, check_outcomes, run, \
    start_mesh, wait_for
from harness import http_call


def restart_all(fleet):
    for host in fleet.hosts:
        host.node.popen.kill()
    for host in fleet.hosts:
        host.node.popen.wait()
    for host in fleet.hosts:
        host.node_start()


def refusal_without_configuration(host):
    """Reason and run state of a refusal, or None while the node does not listen yet."""
    try:
        _, headers, _ = http_call(host.callers, "GET", "/katalogo/lookup/x?id=none")
    except OSError:
        return None
    return headers.get("Masticpitch-Reason"), headers.get("Masticpitch-Run")


def test_all_killed(fleet):
    """Guards against a start with an older version and against a burst of reads that
    exceeds the platform's rate limit."""
    start_mesh(fleet, hosts_per_zone=3)
    version = fleet.use("peak")
    monitor = VersionMonitor(fleet)
    monitor.wait(version)
    before = fleet.counts()
    restart_all(fleet)
    monitor.wait(version)
    fleet.wait_members(len(fleet.hosts))
    fleet.wait_instances("katalogo", len(fleet.hosts))
    after = fleet.counts()
    check_equal(after["refused_rate"] - before["refused_rate"], 0,
                "calls refused by the platform's rate limit")
    caller = fleet.caller("after", fleet.hosts, rate=100, seconds=1, mix="lookup=8,call=2")
    report = caller.wait()
    check_equal(report["answered"], report["sent"], "answered after the restart")
    check_outcomes(fleet)


def test_without_platform(fleet):
    """Guards against routing with a version that neither the platform nor a peer can
    confirm as current."""
    version = start_mesh(fleet)
    monitor = VersionMonitor(fleet)
    fleet.faults(outage=True)
    restart_all(fleet)
    for host in fleet.hosts:
        reason = wait_for(lambda host=host: refusal_without_configuration(host),
                          "the node listens")
        check_equal(reason, ("no-configuration", "no"), "refusal without configuration")
    fleet.faults(outage=False)
    monitor.wait(version, timeout=40)
    check_equal(max(host.version() for host in fleet.hosts), version, "version")


def test_one_without_platform(fleet):
    """Guards against a node that cannot start during an outage of the platform although
    its peers have the configuration."""
    start_mesh(fleet)
    version = fleet.use("peak")
    monitor = VersionMonitor(fleet)
    monitor.wait(version)
    fleet.faults(outage=True)
    fleet.hosts[0].node.kill()
    fleet.hosts[0].node_start()
    monitor.wait(version, timeout=30)
    check(fleet.hosts[0].version() == version, "the restarted node has another version")


run(test_all_killed, test_without_platform, test_one_without_platform)
