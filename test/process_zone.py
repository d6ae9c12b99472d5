"""A zone is cut off from the platform and from the other zone, then reconnected."""

from common_process import VersionMonitor, check, check_equal, check_outcomes, run, \
    start_mesh, wait_for

CONVERGENCE_LIMIT_S = 3.0


def zone_reachable(host, zone_name):
    """Whether a node reports a zone as reachable; None if its status does not list it."""
    for zone in (host.status() or {}).get("zones", []):
        if zone["zone"] == zone_name:
            return zone["reachable"]
    return None


def test_cut(fleet):
    """Guards against a cut zone that stops serving, whose members the other zone declares
    down, or that does not converge after the cut."""
    version = start_mesh(fleet)
    monitor = VersionMonitor(fleet)
    monitor.wait(version)
    inside = [host for host in fleet.hosts if host.zone_number == 2]
    outside = [host for host in fleet.hosts if host.zone_number == 1]
    fleet.zone_cut(2)
    for host in inside + outside:
        other = fleet.zones[0 if host in inside else 1]
        wait_for(lambda host=host, other=other: zone_reachable(host, other) is False,
                 f"{host.name} reports {other} as unreachable")
    callers = [fleet.caller("inside", inside, rate=50, seconds=3, mix="lookup=8,call=2"),
               fleet.caller("outside", outside, rate=50, seconds=3,
                            mix="lookup=8,call=2")]
    newer = fleet.use("peak")
    monitor.wait(newer, outside)
    for caller in callers:
        report = caller.wait()
        check(report["answered"] >= 0.99 * report["sent"],
              f"only {report['answered']} of {report['sent']} answered: "
              f"{report['reasons']}")
    for host in inside:
        check_equal(host.version(), version, f"version of {host.name} while cut")
    for host in fleet.hosts:
        for member in (host.status() or {}).get("members", []):
            check(member["state"] != "down", f"{host.name} declared {member} down")
    fleet.zone_heal()
    monitor.wait(newer)
    for host in fleet.hosts:
        wait_for(lambda host=host: all(zone_reachable(host, name) is not False
                                       for name in fleet.zones),
                 f"{host.name} reaches every zone")
    check_outcomes(fleet)


def test_node_cut(fleet):
    """Guards against a node that serves an older version for seconds, since it is cut off
    from all others while the platform serves it."""
    start_mesh(fleet, hosts_per_zone=3, backends=False)
    monitor = VersionMonitor(fleet)
    alone = next(host for host in fleet.hosts if not (host.status() or {}).get("watching"))
    for other in fleet.hosts:
        if other is not alone:
            alone.fault(f"cut {other.ip}")
            other.fault(f"cut {alone.ip}")
    monitor.wait(fleet.use("peak"), timeout=CONVERGENCE_LIMIT_S)
    check(alone.status()["watching"], f"{alone.name} does not read the platform itself")


run(test_cut, test_node_cut)
