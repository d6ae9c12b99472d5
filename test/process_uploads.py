"""Every host is restarted, one after another, while uploads and calls run."""

from common_process import check, check_equal, check_outcomes, run, start_mesh


def test_rolling_restart(fleet):
    """Guards against a planned stop that cuts or loses a request or runs it twice."""
    start_mesh(fleet, slots=20)
    uploads = fleet.caller("uploads", fleet.hosts, rate=6, seconds=14, mix="upload=1",
                           upload_bytes=600000, upload_pace=300000, failover=3)
    calls = fleet.caller("calls", fleet.hosts, rate=60, seconds=14,
                         mix="lookup=7,call=3", failover=3)
    for host in fleet.hosts:
        host.leave()
        for process in (host.backend, host.node):
            check_equal(process.wait(30), 0, f"exit code of {process.name}")
        host.start()
        fleet.wait_instances("katalogo", len(fleet.hosts))
    for caller in (uploads, calls):
        report = caller.wait(90)
        check(report["answered"] >= 0.99 * report["sent"],
              f"{report['answered']} of {report['sent']} answered: {report['reasons']}")
    check_outcomes(fleet)


run(test_rolling_restart)
