"""The relay of a zone is killed, is paused until its lease has expired and then resumed,
or leaves."""

import json

from common_process import VersionMonitor, check, run, start_mesh, wait_for

ZONE = 1
CONVERGENCE_LIMIT_S = 3.0
# From the start: delay of a relay, three calls on the platform, joining and gossip.
GROUPS_MEET_LIMIT_S = 5.0


def relays(fleet):
    """Running nodes of the zone that report themselves as its relay."""
    return [host for host in fleet.living() if host.zone_number == ZONE
            and (host.status() or {}).get("relay")]


def lease_holder(fleet):
    """The host whose address is the value of the zone's relay key, or None."""
    _, value = fleet.key_read(f"masticpitch/relay/{fleet.zones[ZONE - 1]}")
    try:
        address = json.loads(value)["address"] if value else None
    except (ValueError, TypeError, KeyError, RecursionError):
        return None  # written by another program
    return next((host for host in fleet.hosts if host.peers == address), None)


def wait_lease(fleet, excluded=None):
    """Waits for a host other than the excluded one to hold the zone's lease; returns it."""
    def held():
        holder = lease_holder(fleet)
        return holder if holder is not excluded else None
    return wait_for(held, "another holder of the zone's lease", 40)


def groups_start(fleet, groups):
    """Starts a host in each of the zones; the seeds are the others of its group."""
    started = 0
    for zones in groups:
        hosts = [fleet.host_add(zone, start=False) for zone in zones]
        for host in hosts:
            host.settings = {"mesh.seeds": [other.peers for other in hosts
                                            if other is not host]}
            host.start()
        started += len(hosts)
    fleet.wait_members(started, timeout=GROUPS_MEET_LIMIT_S)


def test_groups_meet(fleet):
    """Guards against hosts that start in two groups, each of which knows nothing of the
    other, and stay so: the relay key of a zone is held by a stranger."""
    groups_start(fleet, ((1, 2), (1, 2)))


def test_zones_meet(fleet):
    """The same for groups that have no zone in common, so that no relay key is contested."""
    groups_start(fleet, ((1, 1), (2, 2)))


def test_foreign_entries(fleet):
    """Guards against entries that another program left among those of the relays: hosts
    that end, or that never meet because their zones' keys or the list cannot be read."""
    foreign = ["[" * 3000, '{"node":' + "9" * 400 + "}", "{" * 10 + "}" * 10, "",
               '{"node":"0000000000000001","address":"127.0.0.1:70000"}',
               '{"node":"0000000000000001","address":"127.0.0.1:0"}']
    for number, value in enumerate(foreign):
        fleet.key_write(f"masticpitch/relay/foreign-{number}", value)
    for zone, value in zip(fleet.zones, foreign):
        fleet.key_write(f"masticpitch/relay/{zone}", value)
    groups_start(fleet, ((1, 1), (2, 2)))
    check(wait_lease(fleet).node.alive(), "the relay of the zone has exited")


def test_killed(fleet):
    """Guards against a zone that gets no configuration after its relay was killed."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    monitor = VersionMonitor(fleet)
    relay = wait_lease(fleet)
    relay.node.kill()
    monitor.wait(fleet.use("peak"))
    wait_lease(fleet, excluded=relay)
    monitor.wait(fleet.use("maintenance"))
    relay.node_start()
    monitor.wait(fleet.use("normal"))


def test_paused(fleet):
    """Guards against a relay that acts on an expired lease and pushes an old version."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    monitor = VersionMonitor(fleet)
    relay = wait_lease(fleet)
    relay.node.pause()
    others = [host for host in fleet.hosts if host is not relay]
    try:
        wait_lease(fleet, excluded=relay)
        # Once the paused node's lease has expired, one lease per zone is left.
        wait_for(lambda: fleet.counts()["leases"] <= len(fleet.zones),
                 "the end of the paused node's lease", 40)
        fleet.use("peak")
        version = fleet.use("maintenance")
        fleet.wait_versions(version, others)
    finally:
        relay.node.resume()
    monitor.wait(version)
    wait_for(lambda: monitor.poll() and len(relays(fleet)) == 1, "one relay in the zone", 40)
    monitor.wait(fleet.use("normal"))
    check(relay.node.alive(), "the paused relay has exited")


def test_leaving(fleet):
    """Guards against a zone that gets no configuration while its relay is leaving and
    still serves requests."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    monitor = VersionMonitor(fleet)
    relay = wait_lease(fleet)
    relay.node.terminate()
    version = fleet.use("peak")
    others = [host for host in fleet.hosts if host is not relay]
    # Well before the end of the leaving node's shutdown, and within the guaranteed time.
    monitor.wait(version, others, timeout=CONVERGENCE_LIMIT_S)
    check(relay.node.alive(), "the leaving relay exited before the change arrived")


test_leaving.fleet = {"settings": {"shutdown.accept_ms": 8000, "shutdown.grace_ms": 15000}}
run(test_groups_meet, test_zones_meet, test_foreign_entries, test_killed, test_paused,
    test_leaving)
