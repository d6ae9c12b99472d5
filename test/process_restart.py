"""All nodes die at once and come back, with and without the platform."""

from common_process import VersionWatch, check, check_equal, check_verdict, run, \
    start_mesh, wait_for
from harness import http_call


def restart_all(fleet):
    for host in fleet.hosts:
        host.node.popen.kill()
    for host in fleet.hosts:
        host.node.popen.wait()
    for host in fleet.hosts:
        host.node_start()


def refused_without_configuration(host):
    """The refusal's reason and run state, or None while the node does not listen."""
    try:
        _, headers, _ = http_call(host.callers, "GET", "/katalogo/lookup/x?id=none")
    except OSError:
        return None
    return headers.get("Masticpitch-Reason"), headers.get("Masticpitch-Run")


def test_all_killed(fleet):
    """Guards against a return to an older version and against a storm of reads."""
    start_mesh(fleet, hosts_per_zone=3)
    version = fleet.use("peak")
    watch = VersionWatch(fleet)
    watch.wait(version)
    before = fleet.counts()
    restart_all(fleet)
    watch.wait(version)
    fleet.wait_members(len(fleet.hosts))
    fleet.wait_instances("katalogo", len(fleet.hosts))
    after = fleet.counts()
    check_equal(after["refused_rate"] - before["refused_rate"], 0,
                "calls refused by the platform's rate")
    caller = fleet.caller("after", fleet.hosts, rate=100, seconds=1, mix="lookup=8,call=2")
    report = caller.wait()
    check_equal(report["answered"], report["sent"], "answered after the restart")
    check_verdict(fleet)


def test_without_platform(fleet):
    """Guards against routing with a version that nobody can confirm as current."""
    version = start_mesh(fleet)
    watch = VersionWatch(fleet)
    fleet.faults(outage=True)
    restart_all(fleet)
    for host in fleet.hosts:
        reason = wait_for(lambda host=host: refused_without_configuration(host),
                          "the node listens")
        check_equal(reason, ("no-configuration", "no"), "refusal without configuration")
    fleet.faults(outage=False)
    watch.wait(version, timeout=40)
    check_equal(max(host.version() for host in fleet.hosts), version, "version")


def test_one_without_platform(fleet):
    """Guards against a node that cannot return while the platform is down although its
    peers know the configuration."""
    start_mesh(fleet)
    version = fleet.use("peak")
    watch = VersionWatch(fleet)
    watch.wait(version)
    fleet.faults(outage=True)
    fleet.hosts[0].node.kill()
    fleet.hosts[0].node_start()
    watch.wait(version, timeout=30)
    check(fleet.hosts[0].version() == version, "the returning node holds another version")


run(test_all_killed, test_without_platform, test_one_without_platform)
