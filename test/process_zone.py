"""A zone is cut off from the platform and from the other zone, then reconnected."""

from common_process import VersionMonitor, check, check_equal, check_outcomes, run, \
    start_mesh, wait_for

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


run(test_cut)
