"""Backend servers in need name a limit, while all nodes send them more and one restarts."""

from common_process import check, check_equal, check_outcomes, run, start_mesh, wait_for

LIMIT_PER_S = 10
WINDOW_S = 4
# What the operators allow in a window: half more than named, and some requests.
WINDOW_MAX = 1.5 * LIMIT_PER_S * WINDOW_S + 5


def run_times(host):
    """Times at which the backend server of a host began to run requests, in s."""
    with open(host.runs_path, encoding="utf-8", errors="replace") as file:
        return sorted(int(line.split()[-1]) / 1000 for line in file
                      if line.startswith("run "))


def most_in_window(times):
    """Most runs in any window of WINDOW_S seconds."""
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_limit(fleet):
    """Guards against nodes that together send a backend server more than it names, and
    against a restarted node that has forgotten the limit (LIMIT)."""
    start_mesh(fleet, rate_limit=LIMIT_PER_S)
    callers = [fleet.caller(f"flood-{host.name}", [host], rate=60, seconds=9,
                            mix="lookup=8,call=2") for host in fleet.hosts]
    restarted = fleet.hosts[0]
    wait_for(lambda: len(run_times(restarted)) > 2 * LIMIT_PER_S, "the limit binds")
    restarted.node.popen.kill()
    restarted.node.popen.wait()
    before = len(run_times(restarted))
    restarted.node_start()
    wait_for(lambda: len(run_times(restarted)) > before, "the restarted node serves")
    for caller in callers:
        report = caller.wait()
        check(report["answered"] > 0, f"nothing was answered: {report['reasons']}")
    for host in fleet.hosts:
        most = most_in_window(run_times(host))
        check(most <= WINDOW_MAX, f"{host.name}: {most} runs in {WINDOW_S} s, "
                                  f"{WINDOW_MAX:.0f} are allowed")
        if host is not restarted:
            check_equal(host.metrics().get("gate_rate_limit_per_min"),
                        60 * LIMIT_PER_S, f"limit that {host.name} reports")
    check_outcomes(fleet, planned=False)


run(test_limit)
