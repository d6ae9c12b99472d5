"""The relay of a zone dies, or is paused past its lease and goes on."""

import json

from common_process import VersionWatch, check, run, start_mesh, wait_for

ZONE = 1
CONVERGENCE_LIMIT_S = 3.0


def relays(fleet):
    """Living nodes of the zone that hold themselves for its relay."""
    return [host for host in fleet.living() if host.zone_number == ZONE
            and (host.status() or {}).get("relay")]


def lease_holder(fleet):
    """The host that the zone's key names, or None."""
    _, value = fleet.key_read(f"masticpitch/relay/{fleet.zones[ZONE - 1]}")
    address = json.loads(value)["address"] if value else None
    return next((host for host in fleet.hosts if host.peers == address), None)


def wait_lease(fleet, without=None):
    """Waits until a node, and not the given one, holds the zone's lease."""
    def held():
        holder = lease_holder(fleet)
        return holder if holder is not without else None
    return wait_for(held, "another holder of the zone's lease", 40)


def test_killed(fleet):
    """Guards against a zone that gets no configuration after its relay's death."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    watch = VersionWatch(fleet)
    relay = wait_lease(fleet)
    relay.node.kill()
    watch.wait(fleet.use("peak"))
    wait_lease(fleet, without=relay)
    watch.wait(fleet.use("maintenance"))
    relay.node_start()
    watch.wait(fleet.use("normal"))


def test_paused(fleet):
    """Guards against a relay that acts on an expired lease and pushes what is old."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    watch = VersionWatch(fleet)
    relay = wait_lease(fleet)
    relay.node.pause()
    others = [host for host in fleet.hosts if host is not relay]
    try:
        wait_lease(fleet, without=relay)
        # The paused node's lease ends: one lease a zone is left.
        wait_for(lambda: fleet.counts()["leases"] <= len(fleet.zones), "lease's end", 40)
        fleet.use("peak")
        version = fleet.use("maintenance")
        fleet.wait_versions(version, others)
    finally:
        relay.node.resume()
    watch.wait(version)
    wait_for(lambda: watch.look() and len(relays(fleet)) == 1, "one relay in the zone", 40)
    watch.wait(fleet.use("normal"))
    check(relay.node.alive(), "the paused relay is gone")


def test_leaving(fleet):
    """Guards against a zone without a relay while one leaves and still serves."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    watch = VersionWatch(fleet)
    relay = wait_lease(fleet)
    relay.node.terminate()
    version = fleet.use("peak")
    others = [host for host in fleet.hosts if host is not relay]
    # Well before the leaving node withdraws, and within the guaranteed time.
    watch.wait(version, others, timeout=CONVERGENCE_LIMIT_S)
    check(relay.node.alive(), "the leaving relay was gone before the change")


test_leaving.fleet = {"settings": {"shutdown.accept_ms": 8000, "shutdown.grace_ms": 15000}}
run(test_killed, test_paused, test_leaving)
