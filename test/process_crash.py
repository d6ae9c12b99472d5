"""A request that crashes every backend server that runs it is sent repeatedly."""

from common_process import check, check_outcomes, run, start_mesh, wait_for

REQUESTS = 60
RATE = 8
# After two crashes a request is a suspect; one more may run before the crash reports have
# reached every node.
CRASHES_MAX = 3


def restart_crashed(fleet):
    """Restarts crashed backend servers; returns their number."""
    crashed = [host for host in fleet.hosts if not host.backend.alive()]
    for host in crashed:
        host.backend_start()
    return len(crashed)


def test_crash_request(fleet):
    """Guards against a caller that crashes every backend server by repeating one
    request."""
    start_mesh(fleet)
    caller = fleet.caller("crash", fleet.hosts, rate=RATE, seconds=REQUESTS / RATE,
                          mix="crash=1")
    others = fleet.caller("others", fleet.hosts, rate=40, seconds=REQUESTS / RATE)
    crashes = 0

    def ended():
        nonlocal crashes
        crashes += restart_crashed(fleet)
        return not caller.process.alive()
    wait_for(ended, "the crashing caller ends", 90, pause=0.2)
    report = caller.wait()
    check(1 <= crashes <= CRASHES_MAX,
          f"{crashes} crashes of servers after {REQUESTS} crashing requests: {report}")
    check(report["reasons"].get("refused:crash-suspect", 0) >= REQUESTS / 2,
          f"too few refusals as crash-suspect: {report['reasons']}")
    report = others.wait()
    check(report["answered"] >= 0.9 * report["sent"],
          f"other callers: only {report['answered']} of {report['sent']} answered")
    check_outcomes(fleet, planned=False)


run(test_crash_request)
