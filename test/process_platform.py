"""The platform is unavailable, slow, loses answers or is restored from a backup."""

import json

from common_process import VersionMonitor, check, check_equal, check_outcomes, run, \
    start_mesh, wait_for

CONVERGENCE_LIMIT_S = 3.0


def test_outage(fleet):
    """Guards against nodes that stop routing or drop their configuration during an outage
    of the platform."""
    version = start_mesh(fleet)
    fleet.faults(outage=True)
    caller = fleet.caller("outage", fleet.hosts, rate=50, seconds=3,
                          mix="lookup=8,call=2")
    code, _, errors = fleet.operator("use", "peak", "--timeout", "3000")
    check_equal(code, 5, f"exit code of a commit during an outage ({errors})")
    wait_for(lambda: any(not (host.status() or {}).get("platform", {})
                         .get("reachable", True) for host in fleet.hosts),
             "a node reports the outage")
    report = caller.wait()
    check_equal(report["answered"], report["sent"], "answered without the platform")
    for host in fleet.hosts:
        check_equal(host.version(), version, f"version of {host.name}")
    fleet.faults(outage=False)
    fleet.wait_versions(fleet.use("peak"))
    check_outcomes(fleet)


def test_slow(fleet):
    """Guards against nodes and commits that fail when each platform call is slow."""
    start_mesh(fleet)
    fleet.faults(slow_ms=700)
    caller = fleet.caller("slow", fleet.hosts, rate=50, seconds=3)
    fleet.wait_versions(fleet.use("peak"))
    report = caller.wait()
    check_equal(report["answered"], report["sent"], "answered with a slow platform")
    check_outcomes(fleet)


def test_answers_lost(fleet):
    """Guards against a commit that reports a failure, or is made twice, when its write
    took effect but the answer was lost."""
    start_mesh(fleet, hosts_per_zone=1, backends=False)
    for share in (1.0, 0.5, 0.5, 0.5):
        before = fleet.head()
        fleet.faults(lose_answers=share)
        name = "peak" if before["in_force"] != "peak" else "normal"
        code, _, errors = fleet.operator("use", name)
        fleet.faults(lose_answers=0)
        after = fleet.head()
        check_equal(code, 0, f"exit code with lost answers ({errors})")
        check_equal(after["version"], before["version"] + 1, "version after one commit")
        check_equal(after["in_force"], name, "preset in force")
        fleet.wait_versions(after["version"])


def test_regressed(fleet):
    """Guards against nodes that follow a platform restored from an old backup."""
    start_mesh(fleet, hosts_per_zone=2, backends=False)
    revision = fleet.counts()["revision"]
    fleet.use("peak")
    version = fleet.use("maintenance")
    monitor = VersionMonitor(fleet)
    monitor.wait(version)
    fleet.faults(regress_to_revision=revision)
    check(fleet.head()["version"] < version, "the platform's head did not go back")
    wait_for(lambda: monitor.poll() and any(
        "platform-regressed" in str((host.status() or {}).get("alarms", ""))
        for host in fleet.hosts), "a node raises platform-regressed")
    # A restarted node gets the version floor from its peers, not from the platform.
    fleet.hosts[-1].node.kill()
    fleet.hosts[-1].node_start()
    monitor.wait(version)
    for host in fleet.hosts:
        check_equal(host.version(), version, f"version of {host.name}")


def test_restored(fleet):
    """Guards against relays that go on with leases, and watches that go on with revisions,
    from before the platform's store was restored from a copy."""
    start_mesh(fleet, hosts_per_zone=2, backends=False)
    monitor = VersionMonitor(fleet)
    before = fleet.counts()
    # Each zone's relay key gets a lease that is younger than the copy.
    keys = [f"masticpitch/relay/{zone}" for zone in fleet.zones]
    old = {key: wait_for(lambda key=key: fleet.key_read(key)[1], key) for key in keys}
    relays = [host for host in fleet.hosts
              if any(json.loads(value)["address"] == host.peers for value in old.values())]
    copy = {"restore_to_lease": before["last_lease"],
            "regress_to_revision": before["revision"]}
    for relay in relays:
        relay.node.kill()
    wait_for(lambda: all(fleet.key_read(key)[1] not in (None, old[key]) for key in keys),
             "other relays", 40)
    fleet.use("peak")
    fleet.faults(**copy)
    # Others get the numbers of the lost leases, and the revisions are given out again.
    for _ in keys:
        fleet.lease_create(60000)
    for number in range(40):
        fleet.key_write(f"masticpitch/other/{number}", "x")
    monitor.wait(fleet.use("maintenance"), timeout=CONVERGENCE_LIMIT_S)
    wait_for(lambda: monitor.poll() and all(fleet.key_read(key)[1] not in (None, old[key])
                                            for key in keys), "the zones' relay keys", 10)


run(test_restored, test_outage, test_slow, test_answers_lost, test_regressed)
