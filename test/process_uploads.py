"""Hosts are stopped as planned while uploads and calls run."""

import time
from concurrent.futures import ThreadPoolExecutor

from common_process import check, check_equal, check_outcomes, run, start_mesh, wait_for
from harness import http_call

GRACE_MS = 1000

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


def stop_beside_silent_backends(fleet, between):
    """Stops a node while two of its calls run; between() is done in the grace period."""
    start_mesh(fleet, hosts_per_zone=1)
    host = fleet.hosts[0]
    for other in fleet.hosts:
        other.backend.pause()
    with ThreadPoolExecutor() as executor:
        calls = [executor.submit(http_call, host.callers, method, path, body, timeout=10)
                 for method, path, body in (("GET", "/katalogo/lookup/x?id=1", None),
                                            ("POST", "/katalogo/call/x?id=2", "x"))]
        wait_for(lambda: host.metrics()["requests_in_flight"] == 2, "the calls run")
        host.node.terminate()
        between(host)
        check_equal(host.node.wait(10), 0, "exit code")
        for call in calls:
            status, headers, _ = call.result()
            check_equal((status, headers.get("Masticpitch-Reason"),
                         headers.get("Masticpitch-Run")),
                        (503, "shutdown", "unknown"), "answer at the end of the grace period")


def test_stop_beside_a_silent_backend(fleet):
    """Guards against a planned stop that cuts a request at the end of the grace period in
    place of answering it (LOST)."""
    stop_beside_silent_backends(fleet, lambda host: None)


def test_stop_of_a_node_that_is_late(fleet):
    """Guards against a planned stop that cuts its requests because the process did not run
    at the end of the grace period (LOST)."""
    def pause(host):
        wait_for(lambda: "shutdown started" in host.node.log(), "the stop begins")
        host.node.pause()
        time.sleep(1.5 * GRACE_MS / 1000)
        host.node.resume()
    stop_beside_silent_backends(fleet, pause)


for test in (test_stop_beside_a_silent_backend, test_stop_of_a_node_that_is_late):
    test.fleet = {"settings": {"shutdown.grace_ms": GRACE_MS}}


run(test_rolling_restart, test_stop_beside_a_silent_backend, test_stop_of_a_node_that_is_late)
